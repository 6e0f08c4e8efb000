//! How fast the model engines of a service make events, against each other.

use super::load_balancer::ServerBoard;
use super::server_state::ServerBelief;
use crate::{Name, Timestamp};
use std::collections::HashSet;
use std::time::Duration;

impl ServerBoard {
    fn pace(&self, now: Timestamp, belief: &ServerBelief) -> Option<f64> {
        belief.pace_ms.filter(|_| now.since(belief.pace_at) < self.settings.pace_age)
    }

    pub(super) fn believed_slowness(&self, now: Timestamp, belief: &ServerBelief, typical: f64) -> f64 {
        let Some(pace_ms) = belief.pace_ms else { return 1.0 };
        let slowness = pace_ms / typical;
        let is_old = now.since(belief.pace_at) >= self.settings.pace_age;
        if is_old { slowness.clamp(1.0 / self.settings.old_slowness, self.settings.old_slowness) } else { slowness }
    }

    /// Returns the median pace of a service's servers, in milliseconds per event.
    pub fn typical_pace(&self, now: Timestamp, service: &str) -> f64 {
        let mut paces: Vec<f64> = self.of_service(service).filter_map(|belief| self.pace(now, belief)).collect();
        if paces.is_empty() {
            return self.settings.default_pace_ms;
        }
        let middle = paces.len() / 2;
        *paces.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Returns those of `instances` that are more than `factor` times slower than the fastest server of
    /// their service.
    pub fn slow_among(&self, now: Timestamp, service: &str, factor: f64, instances: &HashSet<Name>) -> HashSet<Name> {
        let typical = self.typical_pace(now, service);
        let slowness = |belief: &ServerBelief| self.believed_slowness(now, belief, typical);
        let least = self.of_service(service).map(slowness).fold(f64::INFINITY, f64::min);
        let is_slow = |belief: &&ServerBelief| slowness(belief) > least * factor;
        let wanted = self.of_service(service).filter(|belief| instances.contains(&belief.entry.instance));
        wanted.filter(is_slow).map(|belief| belief.entry.instance.clone()).collect()
    }

    /// Returns how many times slower than its service's median a server is.
    pub fn slowness(&self, now: Timestamp, instance: &str) -> f64 {
        let Some(belief) = self.servers.get(instance) else { return 1.0 };
        let typical = self.typical_pace(now, &belief.entry.service);
        self.believed_slowness(now, belief, typical)
    }

    /// Records the time between two events of a run.
    pub fn event_gap(&mut self, now: Timestamp, instance: &str, gap: Duration) {
        let (weight, age) = (self.settings.pace_weight, self.settings.pace_age);
        let gap_ms = gap.as_secs_f64() * 1_000.0;
        self.change(instance, |belief| {
            let is_old = now.since(belief.pace_at) >= age;
            let held = belief.pace_ms.filter(|_| !is_old).unwrap_or(gap_ms);
            belief.pace_ms = Some(held + weight * (gap_ms - held));
            belief.pace_at = now;
        });
    }
}
