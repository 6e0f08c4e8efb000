//! Estimates how long a service takes for one more call.

use super::load_balancer::LoadBalancer;
use super::server_set::ServerSetRef;
use super::server_state::ServerState;
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

impl LoadBalancer {
    /// Estimates the wait of one more call to a service, or to its servers in some zones. Servers that are paused,
    /// draining, in an evacuated zone, unreachable in another region, or so cold that this node may not send to them
    /// now, are ignored.
    pub fn wait_estimate<'a>(&'a self, now: Timestamp, server_set: impl Into<ServerSetRef<'a>>) -> WaitEstimate {
        let server_set = server_set.into();
        let is_available = |server: &&ServerState| self.is_usable(now, server) && !self.is_unreachable(now, server);
        let available: Vec<&ServerState> = self.in_set(server_set).filter(is_available).collect();
        let busy = |server: &ServerState| server.requests(now, self.settings.max_load_age);
        let slots = available.iter().map(|server| server.slots()).sum();
        let permitted = |server: &ServerState| self.cold.remaining(now, &self.cold_candidate(server));
        let free = |server: &ServerState| server.slots().saturating_sub(busy(server)).min(permitted(server));
        let free_slots = available.iter().map(|server| free(server)).sum();
        let waiting: u32 = available.iter().map(|server| busy(server).saturating_sub(server.slots())).sum();
        let service_time = self.service_latencies.median(server_set.service).unwrap_or_default();
        let wait = match (free_slots, slots) {
            (1.., _) => Duration::ZERO,
            (0, 0) => Duration::MAX,
            // Slots are assumed to become free at even intervals.
            (0, slots) => service_time.mul_f64(f64::from(waiting + 1) / f64::from(slots)),
        };
        let ages = available
            .iter()
            .map(|server| now.since(server.load.reported_at))
            .filter(|age| *age < self.settings.max_load_age);
        WaitEstimate { wait, service_time, slots, free_slots, load_age: ages.min() }
    }
}
