//! What is a usual time for an answer of a service.

use crate::Name;
use std::collections::BTreeMap;
use std::time::Duration;

/// Answers after which the estimate is used; the first few of a service may all be short.
const LEAST_ANSWERS: u32 = 8;

/// Weights of a new answer in the running mean and in the running deviation, those of TCP's
/// retransmission timer.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations above the mean at which an answer counts as late, as in TCP's retransmission timer.
const DEVIATIONS: f64 = 4.0;

/// Least share of the mean that is added to it, where answers hardly differ.
const LEAST_ADDED: f64 = 1.0;

/// Share of the answers that take longer than the high time.
const HIGH_SHARE: f64 = 0.05;

/// Least step of the running quantiles, as a share of the time; the first answers move them further.
const LEAST_STEP: f64 = 0.05;

/// Estimates how long answers of one service take at most, as a rule.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTime {
    mean_ms: f64,
    deviation_ms: f64,
    median_ms: f64,
    high_ms: f64,
    answers: u32,
}

impl AnswerTime {
    /// Records how long a good answer took.
    pub fn record(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        if self.answers == 0 {
            (self.mean_ms, self.deviation_ms) = (took_ms, took_ms / 2.0);
            (self.median_ms, self.high_ms) = (took_ms, took_ms);
        } else {
            self.move_quantiles(took_ms);
            self.deviation_ms += DEVIATION_WEIGHT * ((took_ms - self.mean_ms).abs() - self.deviation_ms);
            self.mean_ms += MEAN_WEIGHT * (took_ms - self.mean_ms);
        }
        self.answers = self.answers.saturating_add(1);
    }

    /// Moves the quantiles towards an answer. They need no history, and a few slow servers move the
    /// median little.
    fn move_quantiles(&mut self, took_ms: f64) {
        let step = (1.0 / f64::from(self.answers + 1)).max(LEAST_STEP);
        self.median_ms = if took_ms > self.median_ms {
            (self.median_ms * (1.0 + step)).min(took_ms)
        } else {
            (self.median_ms * (1.0 - step)).max(took_ms)
        };
        // Moves down so seldom as an answer is above it, so it rests where that share is.
        let rise = if took_ms > self.high_ms { 1.0 - HIGH_SHARE } else { -HIGH_SHARE };
        self.high_ms = (self.high_ms * (1.0 + 4.0 * step * rise)).max(self.median_ms);
    }

    /// Returns the time that half of the answers take, or `None` while too few are known.
    pub fn median(&self) -> Option<Duration> {
        (self.answers >= LEAST_ANSWERS).then(|| Duration::from_secs_f64(self.median_ms / 1_000.0))
    }

    /// Returns the time that few answers take longer than, or `None` while too few are known.
    pub fn high(&self) -> Option<Duration> {
        (self.answers >= LEAST_ANSWERS).then(|| Duration::from_secs_f64(self.high_ms / 1_000.0))
    }

    /// Returns how many times longer than half of the answers one is that took so long.
    pub fn times_usual(&self, took: Duration) -> f64 {
        if self.answers == 0 { 1.0 } else { took.as_secs_f64() * 1_000.0 / self.median_ms.max(1.0) }
    }

    /// Returns the time after which an answer is late, or `None` while too few are known.
    pub fn usual(&self) -> Option<Duration> {
        let added_ms = (self.deviation_ms * DEVIATIONS).max(self.mean_ms * LEAST_ADDED);
        (self.answers >= LEAST_ANSWERS).then(|| Duration::from_secs_f64((self.mean_ms + added_ms) / 1_000.0))
    }
}

/// Names whose estimates are kept at most. Routes come and go with each configuration; some 30 bytes
/// and the name each.
const MOST_NAMES: usize = 1_024;

/// Estimates by the name of a service or route.
#[derive(Clone, Debug, Default)]
pub struct AnswerTimes {
    times: BTreeMap<Name, AnswerTime>,
}

impl AnswerTimes {
    /// Records how long a good answer took.
    pub fn record(&mut self, name: &Name, took: Duration) {
        if self.times.len() >= MOST_NAMES && !self.times.contains_key(name) {
            // They are learnt anew within a few answers.
            self.times.clear();
        }
        self.times.entry(name.clone()).or_default().record(took);
    }

    /// Returns the time after which an answer is late, or `None` while too few are known.
    pub fn usual(&self, name: &str) -> Option<Duration> {
        self.times.get(name)?.usual()
    }

    /// Returns the time that half of the answers take, or `None` while too few are known.
    pub fn median(&self, name: &str) -> Option<Duration> {
        self.times.get(name)?.median()
    }

    /// Returns the time that few answers take longer than, or `None` while too few are known.
    pub fn high(&self, name: &str) -> Option<Duration> {
        self.times.get(name)?.high()
    }

    /// Returns how many times longer than half of the answers one is that took so long; 1 while none
    /// is known.
    pub fn times_usual(&self, name: &str, took: Duration) -> f64 {
        self.times.get(name).map_or(1.0, |time| time.times_usual(took))
    }
}
