//! Decides whether to move a run to a faster engine.

use std::time::Duration;

/// Ratio of the slowness of a run's engine to that of an engine with a free slot from which the run is moved.
/// Each move costs the time to start on the other engine.
pub const MOVE_SLOWNESS: f64 = 1.2;

/// Ratio from which a move is considered for a run of the final groups of a step, where the time saved is
/// compared with the cost.
pub const FINAL_MOVE_SLOWNESS: f64 = 1.05;

/// Delay that a move causes: the pause before the request is sent again, and the prefill of its prompt.
const MOVE_COST: Duration = Duration::from_millis(40);

/// Minimum time saved by such a move, in multiples of [`MOVE_COST`], since the length of the text and the speed
/// of the engines are estimates.
const MIN_SAVING_FACTOR: f64 = 3.0;

/// A run and an engine with a free slot to which it could move.
#[derive(Clone, Copy, Debug)]
pub struct RunMove {
    /// Slowness of the run's engine: its time per event relative to the median of the service.
    pub slowness: f64,
    /// Slowness of the other engine.
    pub other_slowness: f64,
    /// Typical gap between two events in the service.
    pub event_gap: Duration,
    /// Expected number of remaining events; `None` if the length is unknown.
    pub remaining_events: Option<f64>,
    /// Whether the run belongs to the final groups that its step waits for.
    pub is_final: bool,
}

impl RunMove {
    /// Returns whether the move is worth its cost. The final groups determine when their step completes, so for
    /// them a smaller difference is enough if much of the text remains to be generated.
    pub fn is_worth(&self) -> bool {
        self.other_slowness * MOVE_SLOWNESS < self.slowness
            || self.is_final && self.time_saved() >= MOVE_COST.as_secs_f64() * MIN_SAVING_FACTOR
    }

    /// Returns by how many seconds the text would be complete earlier, before the cost of the move.
    fn time_saved(&self) -> f64 {
        self.remaining_events.unwrap_or(0.0) * self.event_gap.as_secs_f64() * (self.slowness - self.other_slowness)
    }
}
