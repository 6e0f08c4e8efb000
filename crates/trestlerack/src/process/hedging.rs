//! When a request that may be repeated is also sent to a second server (hedging).
//!
//! Only services whose servers are compared hedge before the first attempt fails; see
//! [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md#parts).

use super::load_balancer::LoadBalancer;
use super::server_health::ServerHealth;
use super::server_set::ServerSetRef;
use crate::Timestamp;
use std::time::Duration;

/// Fraction of the target latency within which a node must have the response. The rest is for the way to the
/// client.
const RESPONSE_FRACTION: f64 = 0.9;

/// Time that the second attempt needs including selection of a server and connection, in median latencies.
const SECOND_ATTEMPT_MEDIANS: f64 = 1.5;

/// Fraction of the target latency after which the second server is used while no latency is known.
const UNKNOWN_LATENCY_FRACTION: f64 = 0.5;

impl LoadBalancer {
    /// Returns the delay between the first attempt and a hedge.
    ///
    /// The hedge starts so late that it still completes within the target latency, but never before the median
    /// latency. Without a target latency, the delay is the 95th percentile of the latency. Returns `None` if the
    /// servers are not compared, or if there is neither a target nor a known latency.
    pub fn hedge_delay(&self, service: &str, kind: &str, target: Duration) -> Option<Duration> {
        if !self.compares_servers(service) {
            return None;
        }
        if target.is_zero() {
            return self.p95_latency(kind);
        }
        let Some(median) = self.median_latency(kind) else { return Some(target.mul_f64(UNKNOWN_LATENCY_FRACTION)) };
        let latest = target.mul_f64(RESPONSE_FRACTION).saturating_sub(median.mul_f64(SECOND_ATTEMPT_MEDIANS));
        Some(latest.max(median))
    }

    /// Returns whether a call to a server is a probe, because the server is degraded. Hedges of probes
    /// are not charged to the budget: probes are rare, and their callers should not suffer from them.
    pub fn is_probe(&self, now: Timestamp, instance: &str) -> bool {
        self.is_compared(instance) && self.health(now, instance) != ServerHealth::Healthy
    }

    /// Returns whether a service, or its servers in some zones, have a free slot for a second attempt.
    pub fn has_free_slot<'a>(&'a self, now: Timestamp, server_set: impl Into<ServerSetRef<'a>>) -> bool {
        self.wait_estimate(now, server_set).free_slots > 0
    }
}
