//! Running estimates of response latency.

use crate::Name;
use std::collections::BTreeMap;
use std::time::Duration;

/// Samples after which an estimate is used; the first few of a service may all be short.
const MIN_SAMPLES: u32 = 8;

/// Weights of a new sample in the running mean and in the running deviation, as in TCP's retransmission timer.
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;

/// Deviations above the mean at which a response counts as late, as in TCP's retransmission timer.
const LATE_DEVIATIONS: f64 = 4.0;

/// Smallest margin above the mean, as a fraction of the mean, for latencies that hardly vary.
const MIN_LATE_MARGIN: f64 = 1.0;

/// Fraction of the responses that are slower than the high percentile.
const TAIL_FRACTION: f64 = 0.05;

/// Smallest step of the running quantiles, as a fraction of their value; the first samples move them further.
const MIN_QUANTILE_STEP: f64 = 0.05;

/// Estimates the latency of the responses of one service or route.
#[derive(Clone, Copy, Debug, Default)]
pub struct LatencyEstimate {
    mean_ms: f64,
    deviation_ms: f64,
    median_ms: f64,
    p95_ms: f64,
    samples: u32,
}

impl LatencyEstimate {
    /// Records the latency of a successful response.
    pub fn record(&mut self, took: Duration) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        if self.samples == 0 {
            (self.mean_ms, self.deviation_ms) = (took_ms, took_ms / 2.0);
            (self.median_ms, self.p95_ms) = (took_ms, took_ms);
        } else {
            self.update_quantiles(took_ms);
            self.deviation_ms += DEVIATION_WEIGHT * ((took_ms - self.mean_ms).abs() - self.deviation_ms);
            self.mean_ms += MEAN_WEIGHT * (took_ms - self.mean_ms);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Moves the quantiles towards a sample. This needs no history, and a few slow servers hardly move the
    /// median.
    fn update_quantiles(&mut self, took_ms: f64) {
        let step = (1.0 / f64::from(self.samples + 1)).max(MIN_QUANTILE_STEP);
        self.median_ms = if took_ms > self.median_ms {
            (self.median_ms * (1.0 + step)).min(took_ms)
        } else {
            (self.median_ms * (1.0 - step)).max(took_ms)
        };
        // The step up is as much larger than the step down as samples above the value are rarer, so the
        // estimate settles at that percentile.
        let rise = if took_ms > self.p95_ms { 1.0 - TAIL_FRACTION } else { -TAIL_FRACTION };
        self.p95_ms = (self.p95_ms * (1.0 + 4.0 * step * rise)).max(self.median_ms);
    }

    /// Returns the median latency, or `None` while there are too few samples.
    pub fn median(&self) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(self.median_ms / 1_000.0))
    }

    /// Returns the 95th percentile, or `None` while there are too few samples.
    pub fn p95(&self) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(self.p95_ms / 1_000.0))
    }

    /// Returns the ratio of a latency to the median.
    pub fn ratio_to_median(&self, took: Duration) -> f64 {
        if self.samples == 0 { 1.0 } else { took.as_secs_f64() * 1_000.0 / self.median_ms.max(1.0) }
    }

    /// Returns the time after which a response is late, or `None` while there are too few samples.
    pub fn late_threshold(&self) -> Option<Duration> {
        let margin_ms = (self.deviation_ms * LATE_DEVIATIONS).max(self.mean_ms * MIN_LATE_MARGIN);
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64((self.mean_ms + margin_ms) / 1_000.0))
    }
}

/// Largest number of names with an estimate. Routes come and go with each configuration; an estimate takes some
/// 30 bytes and its name.
const MAX_ESTIMATES: usize = 1_024;

/// Estimates by name of a service or route.
#[derive(Clone, Debug, Default)]
pub struct LatencyEstimates {
    estimates: BTreeMap<Name, LatencyEstimate>,
}

impl LatencyEstimates {
    /// Records the latency of a successful response.
    pub fn record(&mut self, name: &Name, took: Duration) {
        if self.estimates.len() >= MAX_ESTIMATES && !self.estimates.contains_key(name) {
            // A few responses are enough to rebuild the estimates.
            self.estimates.clear();
        }
        self.estimates.entry(name.clone()).or_default().record(took);
    }

    /// Returns the time after which a response is late, or `None` while there are too few samples.
    pub fn late_threshold(&self, name: &str) -> Option<Duration> {
        self.estimates.get(name)?.late_threshold()
    }

    /// Returns the median latency, or `None` while there are too few samples.
    pub fn median(&self, name: &str) -> Option<Duration> {
        self.estimates.get(name)?.median()
    }

    /// Returns the 95th percentile, or `None` while there are too few samples.
    pub fn p95(&self, name: &str) -> Option<Duration> {
        self.estimates.get(name)?.p95()
    }

    /// Returns the ratio of a latency to the median; 1 while there are no samples.
    pub fn ratio_to_median(&self, name: &str, took: Duration) -> f64 {
        self.estimates.get(name).map_or(1.0, |estimate| estimate.ratio_to_median(took))
    }
}
