//! Simulated servers with a fixed number of slots, and calls to them, for tests of admission.

use std::collections::VecDeque;
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{CallKind, CallRank, WaitEstimate, WaitingCall};

/// Target latency of all calls.
pub const TARGET_LATENCY: Duration = Duration::from_millis(150);

/// Time after which callers stop waiting.
pub const CALLER_TIMEOUT: Duration = Duration::from_millis(800);

/// The servers of a service, which run calls and queue those that have no slot yet.
pub struct SimulatedServers {
    slots: usize,
    service_time: Duration,
    running: Vec<(Timestamp, WaitingCall)>,
    waiting: VecDeque<WaitingCall>,
    /// Sum over all slots of the time in which they were busy, in milliseconds.
    pub busy_ms: u64,
}

impl SimulatedServers {
    pub fn new(slots: usize, service_time: Duration) -> Self {
        Self { slots, service_time, running: Vec::new(), waiting: VecDeque::new(), busy_ms: 0 }
    }

    pub fn accept(&mut self, call: WaitingCall) {
        self.waiting.push_back(call);
    }

    /// Advances by a millisecond and returns the calls that completed.
    pub fn tick(&mut self, now: Timestamp) -> Vec<WaitingCall> {
        let (done, running) = std::mem::take(&mut self.running).into_iter().partition(|(end, _)| *end <= now);
        self.running = running;
        // Calls past their deadline are dropped.
        self.waiting.retain(|call| now < call.rank.deadline);
        while self.running.len() < self.slots
            && let Some(call) = self.waiting.pop_front()
        {
            self.running.push((now + self.service_time, call));
        }
        self.busy_ms += self.running.len() as u64;
        done.into_iter().map(|(_, call)| call).collect()
    }

    /// Returns how many calls run or wait at the servers.
    pub fn call_count(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Returns the estimate of a node that assumes `call_count` calls at the servers.
    pub fn estimate_for(&self, call_count: u32) -> WaitEstimate {
        let slots = self.slots as u32;
        let free_slots = slots.saturating_sub(call_count);
        let wait = if free_slots > 0 { Duration::ZERO } else { self.service_time * (call_count - slots + 1) / slots };
        WaitEstimate { wait, service_time: self.service_time, slots, free_slots, load_age: None }
    }
}

/// Returns a client call that arrives at `now`.
pub fn client_call(id: &str, priority: u8, now: Timestamp) -> WaitingCall {
    WaitingCall {
        id: id.into(),
        customer: None,
        kind: CallKind::Client,
        rank: CallRank { priority, is_over_share: false, deadline: now + CALLER_TIMEOUT },
        arrived: now,
        target_latency: Some(TARGET_LATENCY),
    }
}
