//! When the holder of the lease may begin with a duty to the platform.
//!
//! The platform may not check fencing numbers, so no call of an earlier holder may arrive behind
//! one of a later holder, and no two holders may take turns; see
//! [docs/PLATFORM.md](../../../../docs/PLATFORM.md#duties).

use crate::Timestamp;
use std::time::Duration;

/// Settings of a [`DutyGate`].
#[derive(Clone, Debug)]
pub struct DutySettings {
    /// Longest time that a call of the holder before may be under way.
    pub call_time: Duration,
    /// Time within which a holder, another one and the first one again must not all have called.
    pub handover: Duration,
}

impl Default for DutySettings {
    fn default() -> Self {
        Self { call_time: Duration::from_secs(1), handover: Duration::from_secs(3) }
    }
}

/// Says whether a node that holds the lease may call.
#[derive(Clone, Debug)]
pub struct DutyGate {
    settings: DutySettings,
    /// Fencing number of the lease as it was held last, and since when.
    held: Option<(u64, Timestamp)>,
    /// Fencing number and time of this node's last call. A process that starts cannot know what the
    /// one before it called, so its start counts as a call.
    called: (u64, Timestamp),
}

impl DutyGate {
    /// Builds the gate of a process that starts at `now`.
    pub fn new(settings: DutySettings, now: Timestamp) -> Self {
        Self { settings, held: None, called: (0, now) }
    }

    /// Returns whether a call with the fencing number `fence`, which is held at `now`, may be sent.
    pub fn may_call(&mut self, now: Timestamp, fence: u64) -> bool {
        let (_, since) = match self.held {
            Some(held) if held.0 == fence => held,
            _ => *self.held.insert((fence, now)),
        };
        // Nobody held the lease before the first holder.
        if fence <= 1 {
            return true;
        }
        let (last_fence, called_at) = self.called;
        let is_clear = now.since(since) >= self.settings.call_time;
        // The last call may have arrived as late as a call may be.
        let turn_time = self.settings.handover + self.settings.call_time;
        let is_turn = last_fence == fence || now.since(called_at) >= turn_time;
        is_clear && is_turn
    }

    /// Records that a call with the fencing number `fence` is sent at `now`.
    pub fn called(&mut self, now: Timestamp, fence: u64) {
        self.called = (fence, now);
    }
}
