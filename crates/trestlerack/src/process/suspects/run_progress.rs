//! How far a run of a content got on its server.

use serde::{Deserialize, Serialize};

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

    /// Records an event of the run.
    pub fn record_event(&mut self, number: u64) {
        self.events += 1;
        self.position = self.position.max(number);
    }
}
