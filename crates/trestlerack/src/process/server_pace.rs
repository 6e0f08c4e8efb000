//! Pace of model engines: the time between two events of a run, compared within a service.

use super::load_balancer::LoadBalancer;
use super::server_state::ServerState;
use crate::{Name, Timestamp};
use std::collections::HashSet;
use std::time::Duration;

impl LoadBalancer {
    fn recent_pace(&self, now: Timestamp, server: &ServerState) -> Option<f64> {
        server.pace_ms.filter(|_| now.since(server.pace_measured_at) < self.settings.max_pace_age)
    }

    pub(super) fn pace_slowness(&self, now: Timestamp, server: &ServerState, median_pace: f64) -> f64 {
        let Some(pace_ms) = server.pace_ms else { return 1.0 };
        let slowness = pace_ms / median_pace;
        let is_stale = now.since(server.pace_measured_at) >= self.settings.max_pace_age;
        if is_stale {
            slowness.clamp(1.0 / self.settings.max_stale_slowness, self.settings.max_stale_slowness)
        } else {
            slowness
        }
    }

    /// Returns the median pace of a service's servers, in milliseconds per event.
    pub fn median_pace(&self, now: Timestamp, service: &str) -> f64 {
        let mut paces: Vec<f64> = self.of_service(service).filter_map(|server| self.recent_pace(now, server)).collect();
        if paces.is_empty() {
            return self.settings.default_pace_ms;
        }
        let middle_index = paces.len() / 2;
        *paces.select_nth_unstable_by(middle_index, f64::total_cmp).1
    }

    /// Returns those of `instances` that are more than `factor` times slower than the fastest server of their
    /// service.
    pub fn slow_servers(&self, now: Timestamp, service: &str, factor: f64, instances: &HashSet<Name>) -> HashSet<Name> {
        let median_pace = self.median_pace(now, service);
        let slowness = |server: &ServerState| self.pace_slowness(now, server, median_pace);
        let fastest = self.of_service(service).map(slowness).fold(f64::INFINITY, f64::min);
        let is_slow = |server: &&ServerState| slowness(server) > fastest * factor;
        let candidates = self.of_service(service).filter(|server| instances.contains(&server.entry.instance));
        candidates.filter(is_slow).map(|server| server.entry.instance.clone()).collect()
    }

    /// Returns how many times slower than the median of its service a server is.
    pub fn slowness(&self, now: Timestamp, instance: &str) -> f64 {
        let Some(server) = self.servers.get(instance) else { return 1.0 };
        let median_pace = self.median_pace(now, &server.entry.service);
        self.pace_slowness(now, server, median_pace)
    }

    /// Records the time between two events of a run.
    pub fn record_event_gap(&mut self, now: Timestamp, instance: &str, gap: Duration) {
        let (weight, age) = (self.settings.pace_weight, self.settings.max_pace_age);
        let gap_ms = gap.as_secs_f64() * 1_000.0;
        self.update(instance, |server| {
            let is_stale = now.since(server.pace_measured_at) >= age;
            let previous = server.pace_ms.filter(|_| !is_stale).unwrap_or(gap_ms);
            server.pace_ms = Some(previous + weight * (gap_ms - previous));
            server.pace_measured_at = now;
        });
    }
}
