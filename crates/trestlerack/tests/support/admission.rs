//! Servers with places, and calls for them, for loops over decisions on room.

use std::collections::VecDeque;
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{CallKind, CallRank, WaitEstimate, WaitingCall};

/// Objective of all calls.
pub const OBJECTIVE: Duration = Duration::from_millis(150);

/// Time after which callers leave.
pub const PATIENCE: Duration = Duration::from_millis(800);

/// Servers of one service, which run calls and let a few wait.
pub struct BusyServers {
    places: usize,
    work: Duration,
    running: Vec<(Timestamp, WaitingCall)>,
    waiting: VecDeque<WaitingCall>,
    /// Milliseconds of places that worked.
    pub busy_ms: u64,
}

impl BusyServers {
    pub fn new(places: usize, work: Duration) -> Self {
        Self { places, work, running: Vec::new(), waiting: VecDeque::new(), busy_ms: 0 }
    }

    pub fn take(&mut self, call: WaitingCall) {
        self.waiting.push_back(call);
    }

    /// Returns the calls that are answered in this millisecond.
    pub fn tick(&mut self, now: Timestamp) -> Vec<WaitingCall> {
        let (done, running) = std::mem::take(&mut self.running).into_iter().partition(|(end, _)| *end <= now);
        self.running = running;
        // Callers whose time is over have left.
        self.waiting.retain(|call| now < call.rank.deadline);
        while self.running.len() < self.places
            && let Some(call) = self.waiting.pop_front()
        {
            self.running.push((now + self.work, call));
        }
        self.busy_ms += self.running.len() as u64;
        done.into_iter().map(|(_, call)| call).collect()
    }

    /// Returns how many calls run or wait at the servers.
    pub fn busy(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Returns what is to be expected if so many calls run or wait.
    pub fn estimate_of(&self, busy: u32) -> WaitEstimate {
        let places = self.places as u32;
        let free = places.saturating_sub(busy);
        let wait = if free > 0 { Duration::ZERO } else { self.work * (busy - places + 1) / places };
        WaitEstimate { wait, work: self.work, places, free, age: None }
    }
}

/// Returns a call that comes now.
pub fn call_of(id: &str, priority: u8, now: Timestamp) -> WaitingCall {
    WaitingCall {
        id: id.into(),
        customer: None,
        kind: CallKind::Client,
        rank: CallRank { priority, is_over_share: false, deadline: now + PATIENCE },
        arrived: now,
        objective: Some(OBJECTIVE),
    }
}
