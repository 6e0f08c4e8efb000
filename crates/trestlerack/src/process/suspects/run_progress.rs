//! How far a run of a content got on its server.

use serde::{Deserialize, Serialize};

/// Number of events by which two runs that are cut at the same point may differ: the last events of a server that
/// crashes may not arrive.
const LOST_EVENTS: u64 = 8;

/// How far a run of a content got on its server.
///
/// A content may crash servers a certain time after a run begins, or at a certain place of its text. A resumed run
/// begins in the middle of the text, so the two are counted apart.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunProgress {
    /// Events that the run has produced on its server.
    pub events: u64,
    /// Number of the last event of the whole text.
    pub position: u64,
}

impl RunProgress {
    /// Returns the progress of a run that has just begun after the event `last_event` of its text.
    pub fn after_event(last_event: Option<u64>) -> Self {
        Self { events: 0, position: last_event.unwrap_or_default() }
    }

    /// Returns the furthest of two runs in each count.
    pub(super) fn furthest(self, other: Self) -> Self {
        Self { events: self.events.max(other.events), position: self.position.max(other.position) }
    }

    /// Returns whether a run that got this far has passed the point `cut` in the number of its events.
    pub(super) fn has_passed_events(self, cut: Self) -> bool {
        self.events > cut.events + LOST_EVENTS
    }

    /// Returns whether a run that got this far has passed the point `cut` in the text.
    pub(super) fn has_passed_position(self, cut: Self) -> bool {
        self.position > cut.position + LOST_EVENTS
    }

    /// Records an event of the run.
    pub fn record_event(&mut self, number: u64) {
        self.events += 1;
        self.position = self.position.max(number);
    }
}
