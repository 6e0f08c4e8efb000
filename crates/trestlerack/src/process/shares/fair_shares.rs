//! Max-min fair shares.

/// Demand of a customer for a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareDemand {
    /// Weight of the customer's share; 0 counts as 1.
    pub weight: u32,
    /// Requested work, in milliseconds of work a second.
    pub requested: f64,
}

impl ShareDemand {
    fn weight(&self) -> f64 {
        f64::from(self.weight.max(1))
    }

    fn demand_per_weight(&self) -> f64 {
        self.requested / self.weight()
    }
}

/// Returns the share of each demand in `capacity`, in milliseconds of work a second.
///
/// No share exceeds its demand, and unused capacity is divided among the other customers by weight. So either all
/// capacity is allocated or every demand is met.
pub fn fair_shares(capacity: f64, demands: &[ShareDemand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].demand_per_weight().total_cmp(&demands[*b].demand_per_weight()));
    let mut capacity_left = capacity.max(0.0);
    let mut weight_left: f64 = demands.iter().map(ShareDemand::weight).sum();
    let mut shares = vec![0.0; demands.len()];
    for index in order {
        let demand = &demands[index];
        let share = demand.requested.min(capacity_left * demand.weight() / weight_left);
        shares[index] = share;
        capacity_left = (capacity_left - share).max(0.0);
        weight_left -= demand.weight();
    }
    shares
}
