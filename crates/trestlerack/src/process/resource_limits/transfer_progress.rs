//! Least rates at which callers send and read.

use crate::{Timestamp, time::millis};
use std::time::Duration;

/// Time in which a sender may be as slow as it likes: a lost packet is repeated within it.
const FREE_TIME: Duration = Duration::from_secs(1);

/// Least bytes per second of a sender after that; far below the narrowest links of callers.
const SEND_RATE: u64 = 1_024;

/// Longest pause of a sender. Lost packets are repeated after 0.2, 0.6 and 1.4 s.
const SEND_PAUSE: Duration = Duration::from_secs(3);

/// Longest time in which a reader takes nothing, so that its reply stays where it is.
const READ_PAUSE: Duration = Duration::from_secs(5);

/// Least bytes per second of a reader that is behind for longer than that pause.
const READ_RATE: u64 = 4_096;

/// How a body comes in.
#[derive(Clone, Copy, Debug)]
pub struct SendPace {
    started: Timestamp,
    last: Timestamp,
    received: u64,
    /// When the whole body has to be there: the route's timeout or the client's own deadline.
    until: Timestamp,
}

impl SendPace {
    /// Starts with the head of the request.
    pub fn start(now: Timestamp, limit: Duration) -> Self {
        Self { started: now, last: now, received: 0, until: now + limit }
    }

    /// Notes bytes that came.
    pub fn receive(&mut self, now: Timestamp, bytes: usize) {
        self.received = self.received.saturating_add(bytes as u64);
        self.last = now;
    }

    /// Returns when the next bytes have to be there.
    pub fn due(&self) -> Timestamp {
        let by_rate = self.started + FREE_TIME + Duration::from_millis(self.received.saturating_mul(1_000) / SEND_RATE);
        by_rate.min(self.last + SEND_PAUSE).min(self.until)
    }

    /// Returns for how long the body has been coming.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.started)
    }
}

/// How a client takes what is written to it, from when it first kept the writer waiting.
#[derive(Clone, Copy, Debug)]
pub struct ReadPace {
    started: Timestamp,
    last: Timestamp,
    taken: u64,
}

impl ReadPace {
    /// Starts when a write first has to wait.
    pub fn start(now: Timestamp) -> Self {
        Self { started: now, last: now, taken: 0 }
    }

    /// Notes bytes that were taken.
    pub fn take(&mut self, now: Timestamp, bytes: usize) {
        self.taken = self.taken.saturating_add(bytes as u64);
        self.last = now;
    }

    /// Returns how long the client has taken nothing.
    pub fn pause(&self, now: Timestamp) -> Duration {
        now.since(self.last)
    }

    /// Returns when the connection is closed unless more is taken.
    pub fn due(&self) -> Timestamp {
        let by_rate = Duration::from_millis(self.taken.saturating_mul(1_000) / READ_RATE);
        let by_rate = self.started + READ_PAUSE + by_rate;
        by_rate.min(self.last + READ_PAUSE)
    }

    /// Returns the time left until then, a millisecond at least, so that a wait for it moves on.
    pub fn left(&self, now: Timestamp) -> Duration {
        Duration::from_millis(millis(self.due().since(now)).max(1))
    }
}
