//! The time of day, on a VM whose clock may be set.

/// Difference from which a change of the time of day against the monotonic clock counts as a step,
/// in milliseconds. Clocks that are disciplined drift by less than a millisecond a second.
const STEP_MS: u64 = 100;

/// Time for which a step must stay before it is believed, in milliseconds. Reports of usage are due
/// some seconds after their window, so a step that is taken back soon must not show in them.
const STEP_STAYS_MS: u64 = 60_000;

/// Follows the time of day, but believes a step only once it has stayed for a minute.
#[derive(Clone, Debug, Default)]
pub struct SteadyWall {
    /// Time of day at the zero of the monotonic clock.
    offset_ms: Option<u64>,
    stepped_at_ms: Option<u64>,
}

impl SteadyWall {
    /// Returns the time of day in milliseconds, where the clocks show `wall_ms` and `steady_ms`.
    pub fn read(&mut self, steady_ms: u64, wall_ms: u64) -> u64 {
        let seen = wall_ms.saturating_sub(steady_ms);
        let offset = *self.offset_ms.get_or_insert(seen);
        if seen.abs_diff(offset) < STEP_MS {
            self.stepped_at_ms = None;
            self.offset_ms = Some(seen);
            return wall_ms;
        }
        let since = *self.stepped_at_ms.get_or_insert(steady_ms);
        if steady_ms.saturating_sub(since) >= STEP_STAYS_MS {
            self.stepped_at_ms = None;
            self.offset_ms = Some(seen);
            return wall_ms;
        }
        offset + steady_ms
    }
}
