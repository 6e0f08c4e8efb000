//! Who is served when a service has less room than its callers ask for.
//!
//! Decisions only; see [docs/design/room.md](../../../../../docs/design/room.md).

mod queue;
mod retries;
mod served_fractions;

pub use queue::{
    AdmissionQueue, CallAdmission, CallFate, CallKind, CallNumber, CallRefusal, RefusalReason, ServiceView, WaitingCall,
};
pub use retries::{AttemptReason, ReturnTimes, SecondAttempts};

use std::time::Duration;

/// Settings of admission to one service and of what refused callers are told.
#[derive(Clone, Debug)]
pub struct RoomSettings {
    /// Clients' calls that wait at most; each holds its body, of which a node has room for this many.
    pub most_waiting: usize,
    /// Part of a call's objective for which it may wait, so that a refused caller can still be served
    /// in time elsewhere.
    pub wait_part: f64,
    /// Part of the wait that a call may have after which it goes before newcomers, while its rank is
    /// served less than `least_part` says.
    pub aged_part: f64,
    /// Least part of its calls that a less urgent rank is served, as a part of what the best served of the
    /// more urgent ones is. It is small, since ranks that ask for many times the room would leave
    /// the first one little otherwise.
    pub least_part: f64,
    /// Shortest time after which a caller returns where nothing is known of the service.
    pub return_time: Duration,
    /// Longest time after which a caller returns, as a part of the time that it has left.
    pub return_part: f64,
    /// Second attempts at servers for each call.
    pub retry_ratio: f64,
    /// Second attempts that a customer has on a route before any call earned them.
    pub retry_reserve: f64,
}

impl Default for RoomSettings {
    fn default() -> Self {
        Self {
            most_waiting: 64,
            wait_part: 0.25,
            aged_part: 0.5,
            least_part: 0.04,
            return_time: Duration::from_millis(150),
            return_part: 1.0 / 3.0,
            retry_ratio: 0.1,
            retry_reserve: 3.0,
        }
    }
}
