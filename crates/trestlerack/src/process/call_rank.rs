//! The order in which calls are served while a service is overloaded.

use crate::Timestamp;
use crate::version::{Customer, RequestRoute};

/// Sort key of a call; the call with the smallest key is served first.
///
/// The fields are compared in the order of their declaration. A caller that retries after a refusal has an
/// earlier deadline than new callers, so retries need no field of their own; see
/// [docs/design/room.md](../../../../docs/design/room.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRank {
    /// Priority of the customer, or of the route if the customer has none; 0 is the most urgent.
    pub priority: u8,
    /// Whether the customer already uses more than its share of the service.
    pub is_over_share: bool,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}

impl CallRank {
    /// Returns the sort key of a call of `customer` on `route`.
    pub fn new(customer: Option<&Customer>, route: &RequestRoute, is_over_share: bool, deadline: Timestamp) -> Self {
        Self { priority: call_priority(customer, route), is_over_share, deadline }
    }
}

/// Returns the priority of a customer's calls on a route; 0 is the most urgent. The customer's priority
/// overrides that of the route.
pub fn call_priority(customer: Option<&Customer>, route: &RequestRoute) -> u8 {
    customer.and_then(|customer| customer.priority).unwrap_or(route.priority)
}
