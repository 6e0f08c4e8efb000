//! Decides whether a driver's news of ended jobs is recent enough to start work on them.

use crate::Timestamp;
use std::time::Duration;

/// Settings of an [`JobEndFreshness`].
#[derive(Clone, Debug)]
pub struct JobEndFreshnessSettings {
    /// Age of the news from which no run and no score call is started. The users allow three seconds from
    /// the acknowledgement of an end; the rest is for connecting to a server.
    pub longest_age: Duration,
}

impl Default for JobEndFreshnessSettings {
    fn default() -> Self {
        Self { longest_age: Duration::from_secs(2) }
    }
}

/// How old this node's news of ended jobs is.
///
/// A node whose processor is short takes in what the store answered long after it came, and starts work
/// meanwhile. News that was looked for and is not there shows that the store or the way to it is down, which
/// no node can tell from an end; work goes on then, since no end is acknowledged.
#[derive(Clone, Debug, Default)]
pub struct JobEndFreshness {
    settings: JobEndFreshnessSettings,
    /// When the question was sent whose answer was taken in last.
    asked_at: Option<Timestamp>,
    /// Whether the last question had no answer.
    is_out: bool,
}

impl JobEndFreshness {
    /// Builds a record without news.
    pub fn new(settings: JobEndFreshnessSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that all ends are known that the store held at `asked_at`.
    pub fn taken_in(&mut self, asked_at: Timestamp) {
        self.asked_at = Some(self.asked_at.map_or(asked_at, |held| held.max(asked_at)));
        self.is_out = false;
    }

    /// Records that a question had no answer.
    pub fn failed(&mut self) {
        self.is_out = true;
    }

    /// Returns whether work on a job may start at `now`.
    pub fn may_start(&self, now: Timestamp) -> bool {
        let is_recent = self.asked_at.is_none_or(|asked_at| now.since(asked_at) < self.settings.longest_age);
        self.is_out || is_recent
    }
}
