//! Moving averages of the rate of work.

/// Weight of the newest period in the fast mean, which follows a customer whose demand grows.
const FAST_WEIGHT: f64 = 0.4;

/// Weight of the newest period in the slow mean, which a single call hardly changes.
const SLOW_WEIGHT: f64 = 0.125;

/// Two exponential moving averages of work, updated at the end of each period.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkRate {
    fast: f64,
    slow: f64,
    /// Work of the current period, in milliseconds.
    current: f64,
}

impl WorkRate {
    /// Adds work to the current period.
    pub fn add(&mut self, work_ms: f64) {
        self.current += work_ms;
    }

    /// Ends the current period, which lasted `seconds`.
    pub fn end_period(&mut self, seconds: f64) {
        let rate = self.current / seconds;
        self.fast += FAST_WEIGHT * (rate - self.fast);
        self.slow += SLOW_WEIGHT * (rate - self.slow);
        self.current = 0.0;
    }

    /// Returns the fast mean after `periods` periods, corrected for the time before the first one, in milliseconds of
    /// work a second.
    pub fn fast(&self, periods: i32) -> f64 {
        bias_corrected(self.fast, FAST_WEIGHT, periods)
    }

    /// Returns the slow mean, corrected like [`WorkRate::fast`].
    pub fn slow(&self, periods: i32) -> f64 {
        bias_corrected(self.slow, SLOW_WEIGHT, periods)
    }

    /// Returns the higher mean. A short time with little served work does not show that capacity is low.
    pub fn higher(&self, periods: i32) -> f64 {
        self.fast(periods).max(self.slow(periods))
    }
}

fn bias_corrected(mean: f64, weight: f64, periods: i32) -> f64 {
    let known_weight = 1.0 - (1.0 - weight).powi(periods);
    if known_weight > 0.0 { mean / known_weight } else { 0.0 }
}
