//! Decides when a lease holder may make the calls of a duty to the platform.
//!
//! The platform may not check fencing tokens. No call of an earlier holder may therefore arrive after one
//! of a later holder, and calls of two holders must not alternate; see
//! [docs/PLATFORM.md](../../../../docs/PLATFORM.md#duties).

use crate::Timestamp;
use std::time::Duration;

/// Settings of a [`DutyGate`].
#[derive(Clone, Debug)]
pub struct DutySettings {
    /// Maximum time that a call of the previous holder may be in flight.
    pub call_time: Duration,
    /// Time within which calls must not alternate from one holder to another and back to the first.
    pub handover: Duration,
}

impl Default for DutySettings {
    fn default() -> Self {
        Self { call_time: Duration::from_secs(1), handover: Duration::from_secs(3) }
    }
}

/// Decides whether a node that holds the lease may send a duty call.
#[derive(Clone, Debug)]
pub struct DutyGate {
    settings: DutySettings,
    /// Fencing token of the lease as it was held last, and the time from which it was held.
    held: Option<(u64, Timestamp)>,
    /// Fencing token and time of this node's last call. A new process cannot know the calls of the
    /// previous process on this node, so its start counts as a call.
    last_call: (u64, Timestamp),
}

impl DutyGate {
    /// Builds the gate of a process that started at `now`.
    pub fn new(settings: DutySettings, now: Timestamp) -> Self {
        Self { settings, held: None, last_call: (0, now) }
    }

    /// Returns whether a call may be sent at `now` under the held fencing token `fence`.
    pub fn may_call(&mut self, now: Timestamp, fence: u64) -> bool {
        let (_, since) = match self.held {
            Some(held) if held.0 == fence => held,
            _ => *self.held.insert((fence, now)),
        };
        // Nobody held the lease before the first holder.
        if fence <= 1 {
            return true;
        }
        let (last_fence, called_at) = self.last_call;
        let is_predecessor_done = now.since(since) >= self.settings.call_time;
        // The last call may have been in flight for the whole call time.
        let alternation_time = self.settings.handover + self.settings.call_time;
        let avoids_alternation = last_fence == fence || now.since(called_at) >= alternation_time;
        is_predecessor_done && avoids_alternation
    }

    /// Records that a call with the fencing token `fence` is sent at `now`.
    pub fn record_call(&mut self, now: Timestamp, fence: u64) {
        self.last_call = (fence, now);
    }
}
