//! The order in which calls are served where room is short.

use crate::Timestamp;
use crate::version::{Customer, RequestRoute};

/// Place of a call in the order of who goes first; the least one does.
///
/// The order of the fields is the order of what counts. A caller that returns after a refusal has an
/// earlier deadline than newcomers, so it needs no mark of its own; see
/// [docs/design/room.md](../../../../docs/design/room.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallRank {
    /// Rank of the customer, or of the route where the customer has none; 0 is first.
    pub priority: u8,
    /// Whether the customer has more than its share of the service already.
    pub is_over_share: bool,
    /// When the caller leaves.
    pub deadline: Timestamp,
}

impl CallRank {
    /// Ranks a call of `customer` on `route`.
    pub fn new(customer: Option<&Customer>, route: &RequestRoute, is_over_share: bool, deadline: Timestamp) -> Self {
        Self { priority: call_priority(customer, route), is_over_share, deadline }
    }
}

/// Returns the rank of a customer's calls on a route, 0 for the first: the customer's goes before the
/// route's.
pub fn call_priority(customer: Option<&Customer>, route: &RequestRoute) -> u8 {
    customer.and_then(|customer| customer.priority).unwrap_or(route.priority)
}
