//! How long a service is expected to take for one more call.

use super::load_balancer::LoadBalancer;
use super::server_state::ServerState;
use crate::Timestamp;
use std::time::Duration;

/// What is expected of a service at one moment, as one node believes it.
///
/// Admission uses it, and second attempts ask it for a free place; the choice of a server goes by the time
/// expected of each. See [docs/design/room.md](../../../../docs/design/room.md).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitEstimate {
    /// Time until a place is free.
    pub wait: Duration,
    /// Time that the work takes then; zero while none is known.
    pub work: Duration,
    /// Calls that the servers which take work run at once.
    pub places: u32,
    /// How many of these are free.
    pub free: u32,
    /// Age of the youngest stated load that this rests on; `None` where it rests on this node's own
    /// calls only.
    pub age: Option<Duration>,
}

impl LoadBalancer {
    /// Returns what is expected of a service for one more call. Servers that are paused, draining or
    /// loading count for nothing.
    pub fn wait_estimate(&self, now: Timestamp, service: &str) -> WaitEstimate {
        let is_open = |server: &&ServerState| !server.entry.is_draining && server.paused_until <= now;
        let open: Vec<&ServerState> = self.of_service(service).filter(is_open).collect();
        let busy = |server: &ServerState| server.requests(now, self.settings.max_load_age);
        let places = open.iter().map(|server| server.slots()).sum();
        let free = open.iter().map(|server| server.slots().saturating_sub(busy(server))).sum();
        let waiting: u32 = open.iter().map(|server| busy(server).saturating_sub(server.slots())).sum();
        let work = self.service_latencies.median(service).unwrap_or_default();
        let wait = match (free, places) {
            (1.., _) => Duration::ZERO,
            (0, 0) => Duration::MAX,
            // Places become free one after the other, evenly.
            (0, places) => work.mul_f64(f64::from(waiting + 1) / f64::from(places)),
        };
        let ages = open
            .iter()
            .map(|server| now.since(server.load.reported_at))
            .filter(|age| *age < self.settings.max_load_age);
        WaitEstimate { wait, work, places, free, age: ages.min() }
    }
}
