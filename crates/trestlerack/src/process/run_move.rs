//! Whether a run is worth moving to a faster engine.

use std::time::Duration;

/// How many times slower than another one with a free place an engine must be for its runs to be
/// moved. Each move costs the time to begin elsewhere.
pub const MOVE_SLOWNESS: f64 = 1.2;

/// The same for a look at runs that a step waits for last; what these gain is weighed against the cost
/// then.
pub const LAST_MOVE_SLOWNESS: f64 = 1.05;

/// Time that a move costs its run: the pause before it is sent again, and the prompt read again.
const MOVE_COST: Duration = Duration::from_millis(40);

/// How many times its cost a move must gain, since the length of the text and the pace of the engines
/// are estimates.
const COST_FACTOR: f64 = 3.0;

/// A run and an engine with a free place to which it could move.
#[derive(Clone, Copy, Debug)]
pub struct RunMove {
    /// How many times slower than its service's median the run's engine is.
    pub slowness: f64,
    /// The same of the other engine.
    pub other: f64,
    /// Time between two events that is usual in the service.
    pub pace: Duration,
    /// Events that are expected to come, if the length is known.
    pub events_left: Option<f64>,
    /// Whether the run is among those that its step waits for last.
    pub is_last: bool,
}

impl RunMove {
    /// Returns whether the move is worth its cost. While a step waits for its last texts their time
    /// is the step's, so a lesser difference is enough there if much of the text is to come.
    pub fn is_worth(&self) -> bool {
        self.other * MOVE_SLOWNESS < self.slowness
            || self.is_last && self.gain() >= MOVE_COST.as_secs_f64() * COST_FACTOR
    }

    /// Returns by how many seconds the rest of the text would be whole earlier, without the cost.
    fn gain(&self) -> f64 {
        self.events_left.unwrap_or(0.0) * self.pace.as_secs_f64() * (self.slowness - self.other)
    }
}
