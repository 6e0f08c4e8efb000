//! Whether a node's own way to the store is to be used, or that through peers.

use crate::Timestamp;
use crate::border::StoreError;
use std::time::Duration;

/// Calls refused for their rate, with none answered in between, from which the way is in doubt. A
/// store that is only busy answers some of a node's calls, since rates hold for each partition and
/// for all nodes together.
const REFUSALS: u32 = 5;

/// Time that those refusals must span, so that calls sent together count as one sign.
const REFUSED_TIME: Duration = Duration::from_millis(400);

/// A change of what is believed of the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WayChange {
    /// The store does not serve this node.
    Lost,
    /// It does again.
    Regained,
}

/// Judges a node's own way to the store by how its direct calls end.
///
/// A call refused for its rate says that the way is open, and another way to the same store would
/// only add to the calls. A store that refuses every call of one node with that status, while it
/// serves others, is the exception: that node serves on through peers. See
/// [docs/PLATFORM.md](../../../../docs/PLATFORM.md#when-the-store-cannot-be-reached).
#[derive(Debug, Default)]
pub struct DirectWay {
    is_doubtful: bool,
    refusals: u32,
    refused_since: Timestamp,
    /// When the store answered a direct call last.
    answered_at: Timestamp,
}

impl DirectWay {
    /// Returns whether peers are to be asked first.
    pub fn is_doubtful(&self) -> bool {
        self.is_doubtful
    }

    /// Takes note of how a direct call ended that was sent at `sent_at`; `failure` is `None` if the store
    /// answered it.
    ///
    /// A call without an answer says nothing of the way where the store answered others meanwhile: its
    /// partition has many to carry out.
    pub fn note(&mut self, sent_at: Timestamp, now: Timestamp, failure: Option<StoreError>) -> Option<WayChange> {
        let was_doubtful = self.is_doubtful;
        match failure {
            None => (self.refusals, self.is_doubtful, self.answered_at) = (0, false, now),
            Some(StoreError::Unknown) if self.answered_at > sent_at => {}
            Some(StoreError::RateLimited) => {
                if self.refusals == 0 {
                    self.refused_since = now;
                }
                self.refusals += 1;
                let is_shut = self.refusals >= REFUSALS && now.since(self.refused_since) >= REFUSED_TIME;
                self.is_doubtful |= is_shut;
            }
            Some(StoreError::Unavailable | StoreError::Unknown) => self.is_doubtful = true,
        }
        match (was_doubtful, self.is_doubtful) {
            (false, true) => Some(WayChange::Lost),
            (true, false) => Some(WayChange::Regained),
            _ => None,
        }
    }
}
