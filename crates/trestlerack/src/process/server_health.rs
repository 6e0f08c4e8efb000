//! Outlier detection by latency and failures: which backend servers get only probe calls because they are
//! slower or fail more often than their peers, and how they recover.
//!
//! A server is compared with the median of its service, never with a constant; see
//! [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md#parts).

use super::load_balancer::LoadBalancer;
use super::server_state::ServerState;
use crate::{Name, Timestamp};
use std::time::Duration;

/// Ratio to the median from which a response counts as slow.
pub(super) const SLOW_FACTOR: f64 = 2.0;

/// Ratio to the median at which a server is degraded at once: noisy neighbours on its host do not slow a server
/// that much.
const IMMEDIATE_SLOW_FACTOR: f64 = 3.0;

/// Time for which all responses of a server must have been slow before it is degraded; longer than noisy
/// neighbours on its host slow it.
const MIN_SLOW_TIME: Duration = Duration::from_millis(2_400);

/// Smallest number of slow responses before a server is degraded.
const MIN_SLOW_RESPONSES: u32 = 12;

/// Failure rate at which a server is degraded if the median is well below it.
const MAX_FAILURE_RATE: f64 = 1.0 / 3.0;

/// Limit of concurrent calls after which a recovering server counts as healthy.
const FULL_RECOVERY_CALLS: u32 = 4;

/// Recent latency and failures of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerStats {
    /// Latency relative to the median of the route.
    pub slowness: f64,
    /// Fraction of the responses that failed, from 0 to 1.
    pub failure_rate: f64,
}

/// Median latency and failures of a service's servers.
#[derive(Clone, Copy, Debug)]
pub(super) struct MedianStats {
    slowness: f64,
    failure_rate: f64,
}

impl MedianStats {
    pub(super) fn of(servers: Vec<ServerStats>) -> Self {
        let slowness = servers.iter().map(|stats| stats.slowness).collect();
        let failing = servers.iter().map(|stats| stats.failure_rate).collect();
        Self { slowness: lower_median(slowness), failure_rate: lower_median(failing) }
    }

    /// Returns the slowness of a server relative to the median server.
    pub(super) fn ratio_to_median(&self, stats: ServerStats) -> f64 {
        stats.slowness / self.slowness
    }

    /// Returns whether a server fails often while the median server does not.
    pub(super) fn has_excess_failures(&self, stats: ServerStats) -> bool {
        stats.failure_rate >= MAX_FAILURE_RATE && self.failure_rate < MAX_FAILURE_RATE / 2.0
    }
}

/// Returns the median; of two values the lower one, so that the worse of two servers is compared with the
/// better.
fn lower_median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle_index = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle_index, f64::total_cmp).1
}

/// Whether a server gets its full share of the calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerHealth {
    /// Calls according to its expected latency.
    #[default]
    Healthy,
    /// Only probe calls, one at a time.
    Degraded,
    /// At most this many concurrent calls.
    Recovering(u32),
}

impl ServerHealth {
    /// Returns the name used in logs and status pages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Healthy => "well",
            Self::Degraded => "trickle",
            Self::Recovering(_) => "returning",
        }
    }
}

/// The health of a server according to this node's own calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HealthRecord {
    pub(super) current: ServerHealth,
    /// Start of the current sequence of slow responses.
    slow_since: Option<Timestamp>,
    slow_responses: u32,
    /// Good responses since the server began to recover or since its limit last doubled.
    good_responses: u32,
}

impl HealthRecord {
    /// Updates the health after a response. `can_degrade` tells whether enough servers would stay healthy.
    fn update(&mut self, now: Timestamp, stats: ServerStats, median: &MedianStats, can_degrade: bool) {
        let ratio_to_median = median.ratio_to_median(stats);
        let has_lasted = self.slow_since.is_some_and(|since| now.since(since) >= MIN_SLOW_TIME);
        let is_slow =
            (has_lasted && self.slow_responses >= MIN_SLOW_RESPONSES) || ratio_to_median >= IMMEDIATE_SLOW_FACTOR;
        if is_slow || median.has_excess_failures(stats) {
            self.degrade(can_degrade);
        } else if ratio_to_median < SLOW_FACTOR {
            self.recover();
        }
    }

    /// Counts a response whose latency was `ratio_to_median` times that of the median server.
    fn count_response(&mut self, now: Timestamp, ratio_to_median: f64) {
        if ratio_to_median < SLOW_FACTOR {
            (self.slow_since, self.slow_responses) = (None, 0);
        } else {
            self.slow_since.get_or_insert(now);
            self.slow_responses += 1;
        }
    }

    fn degrade(&mut self, can_degrade: bool) {
        if can_degrade || self.current != ServerHealth::Healthy {
            self.current = ServerHealth::Degraded;
            self.good_responses = 0;
        }
    }

    fn recover(&mut self) {
        self.good_responses += 1;
        self.current = match self.current {
            ServerHealth::Healthy => ServerHealth::Healthy,
            ServerHealth::Degraded => ServerHealth::Recovering(1),
            ServerHealth::Recovering(limit) if self.good_responses < limit => return,
            ServerHealth::Recovering(limit) if limit >= FULL_RECOVERY_CALLS => ServerHealth::Healthy,
            ServerHealth::Recovering(limit) => ServerHealth::Recovering(2 * limit),
        };
        self.good_responses = 0;
    }
}

impl LoadBalancer {
    /// Returns the health of a server, by this node's own calls or else by peer observations.
    pub fn health(&self, now: Timestamp, instance: &str) -> ServerHealth {
        let Some(server) = self.servers.get(instance) else { return ServerHealth::Healthy };
        match server.health.current {
            ServerHealth::Healthy if self.is_degraded_by_peers(now, server) => ServerHealth::Degraded,
            // The measurements have decayed, so one call at a time shows the present state.
            ServerHealth::Degraded if self.has_decayed(now, server) => ServerHealth::Recovering(1),
            health => health,
        }
    }

    fn has_decayed(&self, now: Timestamp, server: &ServerState) -> bool {
        let stats = self.server_stats(now, server);
        let median = self.median_stats(now, &server.entry.service);
        median.ratio_to_median(stats) < SLOW_FACTOR && !median.has_excess_failures(stats)
    }

    /// Updates the health of a server. `latency_ratio` is the latency of its last response relative to the
    /// median of the route, if there was a response.
    pub(super) fn update_health(&mut self, now: Timestamp, instance: &str, latency_ratio: Option<f64>) {
        let Some(server) = self.servers.get(instance) else { return };
        let service = server.entry.service.clone();
        let median = self.median_stats(now, &service);
        let can_degrade = self.can_degrade_one(&service);
        self.update(instance, |server| {
            let stats = server.measured.stats(now);
            if let Some(latency_ratio) = latency_ratio {
                server
                    .health
                    .count_response(now, median.ratio_to_median(ServerStats { slowness: latency_ratio, ..stats }));
            }
            server.health.update(now, stats, &median, can_degrade);
        });
        let is_good = latency_ratio.is_some_and(|latency_ratio| latency_ratio < SLOW_FACTOR);
        self.announce_if_changed(now, instance, &median, is_good);
    }

    /// Returns whether one more server may be degraded: at least half of a service stays healthy.
    fn can_degrade_one(&self, service: &Name) -> bool {
        let servers = self.of_service(service).count();
        let degraded = self.of_service(service).filter(|server| server.health.current != ServerHealth::Healthy).count();
        2 * (degraded + 1) <= servers
    }
}
