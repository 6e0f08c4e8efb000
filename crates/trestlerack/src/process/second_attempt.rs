//! When a second server is asked beside the first for a request that may be repeated.
//!
//! Only services whose servers are compared get second attempts this early; see
//! [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md#parts).

use super::load_balancer::LoadBalancer;
use super::server_health::ServerHealth;
use crate::Timestamp;
use std::time::Duration;

/// Share of the target latency within which a node must have the answer; the rest is the way to the
/// client.
const ANSWERED_SHARE: f64 = 0.9;

/// Median times that the second server needs, with the choice and the connection.
const SECOND_WORK: f64 = 1.5;

/// Share of the target latency at which the second server is asked while no time is known.
const UNKNOWN_SHARE: f64 = 0.5;

impl LoadBalancer {
    /// Returns how long after the first server a second one is asked: so late that the second still answers
    /// within the target latency, but never before half of the answers are there. Where no target is
    /// stated, what few answers take longer than. `None` where the servers are not compared, or no
    /// target is stated and no time is known yet.
    pub fn second_attempt_after(&self, service: &str, kind: &str, target: Duration) -> Option<Duration> {
        if !self.compares_servers(service) {
            return None;
        }
        if target.is_zero() {
            return self.p95_latency(kind);
        }
        let Some(median) = self.median_latency(kind) else { return Some(target.mul_f64(UNKNOWN_SHARE)) };
        let latest = target.mul_f64(ANSWERED_SHARE).saturating_sub(median.mul_f64(SECOND_WORK));
        Some(latest.max(median))
    }

    /// Returns whether a call to a server is a trial, since that was set aside. A second attempt beside a
    /// trial is outside the budget: trials are few, and their callers are not to pay for them.
    pub fn is_trial(&self, now: Timestamp, instance: &str) -> bool {
        self.is_compared(instance) && self.health(now, instance) != ServerHealth::Healthy
    }

    /// Returns whether a service has a free place for a second attempt.
    pub fn has_room(&self, now: Timestamp, service: &str) -> bool {
        self.wait_estimate(now, service).free > 0
    }
}
