//! A wall clock that ignores short-lived clock steps.

/// Minimum change of the offset between wall clock and monotonic clock that counts as a step, in milliseconds.
/// Synchronized clocks drift by less than a millisecond per second.
const STEP_MS: u64 = 100;

/// Time for which a step has to persist before it is adopted, in milliseconds. Usage reports are due some
/// seconds after their window, so a step that is soon reverted must not affect them.
const STEP_PERSISTENCE_MS: u64 = 60_000;

/// Follows the wall clock, but adopts a step only after it has persisted for a minute.
#[derive(Clone, Debug, Default)]
pub struct StableWallClock {
    /// Wall time at the zero of the monotonic clock, in milliseconds.
    offset_ms: Option<u64>,
    /// Monotonic time at which the current step was first seen, in milliseconds.
    stepped_at_ms: Option<u64>,
}

impl StableWallClock {
    /// Returns the wall time in milliseconds, given the current readings of both clocks.
    pub fn read(&mut self, monotonic_ms: u64, wall_ms: u64) -> u64 {
        let current = wall_ms.saturating_sub(monotonic_ms);
        let offset = *self.offset_ms.get_or_insert(current);
        if current.abs_diff(offset) < STEP_MS {
            self.stepped_at_ms = None;
            self.offset_ms = Some(current);
            return wall_ms;
        }
        let since = *self.stepped_at_ms.get_or_insert(monotonic_ms);
        if monotonic_ms.saturating_sub(since) >= STEP_PERSISTENCE_MS {
            self.stepped_at_ms = None;
            self.offset_ms = Some(current);
            return wall_ms;
        }
        offset + monotonic_ms
    }
}
