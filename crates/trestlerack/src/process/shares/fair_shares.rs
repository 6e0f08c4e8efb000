//! Max-min fair shares.

/// What a customer asks of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareDemand {
    /// Weight of its share; 0 counts as 1.
    pub weight: u32,
    /// Milliseconds of work that it asks for each second.
    pub asked: f64,
}

impl ShareDemand {
    fn weight(&self) -> f64 {
        f64::from(self.weight.max(1))
    }

    fn level(&self) -> f64 {
        self.asked / self.weight()
    }
}

/// Returns the share of each demand in `room`, in milliseconds of work a second.
///
/// Nobody gets more than it asks for, and what one leaves the others take, by weight. So either all room
/// is given or every demand is met.
pub fn fair_shares(room: f64, demands: &[ShareDemand]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by(|a, b| demands[*a].level().total_cmp(&demands[*b].level()));
    let mut left = room.max(0.0);
    let mut weight_left: f64 = demands.iter().map(ShareDemand::weight).sum();
    let mut shares = vec![0.0; demands.len()];
    for index in order {
        let demand = &demands[index];
        let share = demand.asked.min(left * demand.weight() / weight_left);
        shares[index] = share;
        left = (left - share).max(0.0);
        weight_left -= demand.weight();
    }
    shares
}
