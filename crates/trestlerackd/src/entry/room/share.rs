//! Tells whether a customer has more than its share of a service.

use trestlerack::Name;

/// What is known of the customers' shares.
pub trait ShareView: Send + Sync {
    /// Returns whether a customer has more than its share of a service already.
    fn is_over_share(&self, service: &Name, customer: Option<&Name>) -> bool;
}
