//! Tells whether a customer has more than its share of a service.

/// What is known of the customers' shares.
pub trait ShareView: Send + Sync {
    /// Returns whether a customer has more than its share of a service already.
    fn is_over_share(&self, service: &str, customer: Option<&str>) -> bool;
}

/// Nobody's share is known, so nobody is over it.
#[derive(Debug, Default)]
pub struct NoShares;

impl ShareView for NoShares {
    fn is_over_share(&self, _service: &str, _customer: Option<&str>) -> bool {
        false
    }
}
