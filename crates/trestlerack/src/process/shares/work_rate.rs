//! How much work a second, as it was lately.

/// Weight of the newest period in the quick mean, which follows a customer that grows.
const QUICK: f64 = 0.4;

/// Weight of the newest period in the steady mean, which a single call hardly moves.
const STEADY: f64 = 0.125;

/// Means of work over equal periods.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkRate {
    quick: f64,
    steady: f64,
    /// Work of the period that goes on, in milliseconds.
    current: f64,
}

impl WorkRate {
    /// Adds work to the period that goes on.
    pub fn add(&mut self, work_ms: f64) {
        self.current += work_ms;
    }

    /// Ends a period of so many seconds.
    pub fn turn(&mut self, seconds: f64) {
        let rate = self.current / seconds;
        self.quick += QUICK * (rate - self.quick);
        self.steady += STEADY * (rate - self.steady);
        self.current = 0.0;
    }

    /// Returns the quick mean after `periods` periods, of which the ones before the first count as unknown.
    pub fn quick(&self, periods: i32) -> f64 {
        known_part(self.quick, QUICK, periods)
    }

    /// Returns the steady mean, as [`WorkRate::quick`] does.
    pub fn steady(&self, periods: i32) -> f64 {
        known_part(self.steady, STEADY, periods)
    }

    /// Returns the greater mean: a moment in which little was served is no proof that there is no room.
    pub fn greater(&self, periods: i32) -> f64 {
        self.quick(periods).max(self.steady(periods))
    }
}

fn known_part(mean: f64, weight: f64, periods: i32) -> f64 {
    let known = 1.0 - (1.0 - weight).powi(periods);
    if known > 0.0 { mean / known } else { 0.0 }
}
