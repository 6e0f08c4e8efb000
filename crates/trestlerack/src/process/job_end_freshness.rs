//! Decides whether a driver knows the ends of jobs recently enough to start work on them.

use crate::Timestamp;
use std::time::Duration;

/// Settings of a [`JobEndFreshness`].
#[derive(Clone, Debug)]
pub struct JobEndFreshnessSettings {
    /// Age of the known job ends from which no run and no score call is started. Work may reach a server at most
    /// three seconds after the end of its job is acknowledged; the rest of that time is for connecting to a server.
    pub max_age: Duration,
}

impl Default for JobEndFreshnessSettings {
    fn default() -> Self {
        Self { max_age: Duration::from_secs(2) }
    }
}

/// Age of the job ends that this node knows.
///
/// A node that is short of CPU time processes answers of the store long after they arrived and starts work in the
/// meantime. Without a recent answer it must not start work, because a job may have ended. If a request fails, the
/// store or the path to it is down; work continues then because no end of a job can be acknowledged.
#[derive(Clone, Debug, Default)]
pub struct JobEndFreshness {
    settings: JobEndFreshnessSettings,
    /// When the request was sent whose answer was processed last.
    known_as_of: Option<Timestamp>,
    /// Whether the last request failed.
    is_store_unreachable: bool,
}

impl JobEndFreshness {
    /// Creates a record without answers.
    pub fn new(settings: JobEndFreshnessSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that this node knows all job ends that the store had at `sent_at`.
    pub fn record_answer(&mut self, sent_at: Timestamp) {
        self.known_as_of = Some(self.known_as_of.map_or(sent_at, |known| known.max(sent_at)));
        self.is_store_unreachable = false;
    }

    /// Records that a request to the store failed.
    pub fn record_failure(&mut self) {
        self.is_store_unreachable = true;
    }

    /// Returns whether work on a job may start at `now`.
    pub fn may_start(&self, now: Timestamp) -> bool {
        let is_recent = self.known_as_of.is_none_or(|known_as_of| now.since(known_as_of) < self.settings.max_age);
        self.is_store_unreachable || is_recent
    }
}
