//! Estimates how long a service takes for one more call.

use super::placement::ServerBoard;
use super::server_belief::ServerBelief;
use crate::Timestamp;
use std::time::Duration;

/// A node's estimate for one more call to a service.
///
/// Admission uses the whole of it, and second attempts check it for a free slot. The choice of a server uses
/// the expected latency of each server instead. See [docs/design/room.md](../../../../docs/design/room.md).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitEstimate {
    /// Time until a slot is free.
    pub wait: Duration,
    /// Time that the call takes once it has a slot; zero if unknown.
    pub service_time: Duration,
    /// Number of calls that the available servers run concurrently.
    pub slots: u32,
    /// Number of these slots that are free.
    pub free_slots: u32,
    /// Age of the most recent load report used; `None` if the estimate only uses this node's own calls.
    pub load_age: Option<Duration>,
}

impl ServerBoard {
    /// Estimates the wait of one more call to a service. Servers that are paused, draining or loading are
    /// ignored.
    pub fn wait_estimate(&self, now: Timestamp, service: &str) -> WaitEstimate {
        let is_available = |belief: &&ServerBelief| !belief.entry.is_draining && belief.not_before <= now;
        let available: Vec<&ServerBelief> = self.of_service(service).filter(is_available).collect();
        let busy = |belief: &ServerBelief| belief.busy(now, self.settings.load_age);
        let slots = available.iter().map(|belief| belief.slots()).sum();
        let free_slots = available.iter().map(|belief| belief.slots().saturating_sub(busy(belief))).sum();
        let waiting: u32 = available.iter().map(|belief| busy(belief).saturating_sub(belief.slots())).sum();
        let service_time = self.answer_times.median(service).unwrap_or_default();
        let wait = match (free_slots, slots) {
            (1.., _) => Duration::ZERO,
            (0, 0) => Duration::MAX,
            // Slots are assumed to become free at even intervals.
            (0, slots) => service_time.mul_f64(f64::from(waiting + 1) / f64::from(slots)),
        };
        let ages = available.iter().map(|belief| now.since(belief.load.at)).filter(|age| *age < self.settings.load_age);
        WaitEstimate { wait, service_time, slots, free_slots, load_age: ages.min() }
    }
}
