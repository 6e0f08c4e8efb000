//! Recent crashes of servers, whatever they ran.

use crate::Timestamp;
use std::collections::VecDeque;

/// Recent crashes of servers that this node has seen. They are known also if each content that ran there was answered
/// shortly before, so that no crash is attributed to it.
#[derive(Debug, Default)]
pub(super) struct ServerCrashes {
    /// Digests of the servers' starts and times of the crashes, in the order in which they were seen.
    crashes: VecDeque<(u64, Timestamp)>,
}

impl ServerCrashes {
    /// Records a crash unless it is known.
    pub(super) fn record(&mut self, at: Timestamp, server_start: u64, max_crashes: usize) {
        if self.crashes.iter().any(|(known, _)| *known == server_start) {
            return;
        }
        self.crashes.push_back((server_start, at));
        if self.crashes.len() > max_crashes {
            self.crashes.pop_front();
        }
    }

    /// Returns the digests of the servers' starts and the times of the crashes.
    pub(super) fn iter(&self) -> impl Iterator<Item = (u64, Timestamp)> {
        self.crashes.iter().copied()
    }
}
