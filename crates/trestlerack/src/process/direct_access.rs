//! Whether a node calls the store directly or through its peers.

use crate::Timestamp;
use crate::interfaces::StoreError;
use std::time::Duration;

/// Consecutive rate-limited calls after which direct access counts as lost. A store that is only busy answers
/// some of a node's calls, since rates apply to each partition and to all nodes together.
const MIN_RATE_LIMITED_CALLS: u32 = 5;

/// Time that those calls must span, so that calls sent together do not suffice.
const MIN_RATE_LIMITED_TIME: Duration = Duration::from_millis(400);

/// A change of the assumed state of direct access.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccessChange {
    /// The store does not serve this node.
    Lost,
    /// The store serves this node again.
    Regained,
}

/// Decides from the results of a node's direct calls whether the store can be reached directly.
///
/// A rate-limited call shows that the store can be reached, and calls through peers would only add to its load.
/// The exception is a store that rate-limits every call of one node while it serves others: that node continues
/// through peers. See [docs/PLATFORM.md](../../../../docs/PLATFORM.md#when-the-store-cannot-be-reached).
#[derive(Debug, Default)]
pub struct DirectAccess {
    prefers_peers: bool,
    rate_limited_calls: u32,
    rate_limited_since: Timestamp,
    /// When the store last answered a direct call.
    answered_at: Timestamp,
}

impl DirectAccess {
    /// Returns whether peers are to be asked first.
    pub fn prefers_peers(&self) -> bool {
        self.prefers_peers
    }

    /// Records the result of a direct call that was sent at `sent_at`; `failure` is `None` if the store
    /// answered it.
    ///
    /// A call without an answer does not count if the store has answered others since it was sent: its
    /// partition has many calls to execute.
    pub fn record_result(
        &mut self,
        sent_at: Timestamp,
        now: Timestamp,
        failure: Option<StoreError>,
    ) -> Option<AccessChange> {
        let preferred_peers = self.prefers_peers;
        match failure {
            None => (self.rate_limited_calls, self.prefers_peers, self.answered_at) = (0, false, now),
            Some(StoreError::Unknown) if self.answered_at > sent_at => {}
            Some(StoreError::RateLimited) => {
                if self.rate_limited_calls == 0 {
                    self.rate_limited_since = now;
                }
                self.rate_limited_calls += 1;
                let is_rate_limited = self.rate_limited_calls >= MIN_RATE_LIMITED_CALLS
                    && now.since(self.rate_limited_since) >= MIN_RATE_LIMITED_TIME;
                self.prefers_peers |= is_rate_limited;
            }
            Some(StoreError::Unavailable | StoreError::Unknown) => self.prefers_peers = true,
        }
        match (preferred_peers, self.prefers_peers) {
            (false, true) => Some(AccessChange::Lost),
            (true, false) => Some(AccessChange::Regained),
            _ => None,
        }
    }
}
