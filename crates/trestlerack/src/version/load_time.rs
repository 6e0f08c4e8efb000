//! Estimates how long engines take to load a weight version by measuring a few of the loads.

use crate::{Name, Timestamp};
use std::time::Duration;

/// Fraction of the estimate after which the engine of a measured load is polled first. A load that is done
/// by then lowers the estimate.
const FIRST_POLL_FRACTION: f64 = 0.8;

/// Factor on the estimate after a load that was done at the first poll.
const EARLY_LOAD_FACTOR: f64 = 0.9;

/// Interval between two polls after the estimate has passed, as a fraction of the estimate.
const POLL_INTERVAL_FRACTION: f64 = 0.15;

/// Mean age of the state in an engine's report: engines report a state of some hundred milliseconds ago.
const MEAN_REPORT_LAG: Duration = Duration::from_millis(150);

/// Largest age of the state in an engine's report. A report that is requested this long after an order
/// includes the order.
const MAX_REPORT_LAG: Duration = Duration::from_millis(300);

/// Smallest estimate, which limits the rate of polls.
const MIN_ESTIMATE: Duration = Duration::from_millis(100);

/// Time after which the measurement of a load ends, as a multiple of the estimate. Later loads count as
/// unfinished as long as the measured one does, so a load that its engine dropped must not delay the
/// others for longer. If the engine is still loading then, the estimate is doubled.
const MEASUREMENT_TIMEOUT_FACTOR: u32 = 4;

/// Largest number of loads without a measurement between two measured ones while the estimate stays right.
/// Each measurement costs two polls.
const MAX_UNMEASURED_LOADS: u32 = 16;

/// A load whose time is measured.
#[derive(Clone, Debug)]
struct MeasuredLoad {
    instance: Name,
    ordered_at: Timestamp,
    next_poll_at: Timestamp,
    /// Whether the last poll was sent before the estimate had passed.
    was_polled_early: bool,
    /// Whether a report showed that the engine was loading.
    was_seen_loading: bool,
    /// Whether a poll was sent that has no response yet.
    is_poll_pending: bool,
}

/// What an engine reported of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReport {
    /// The engine has loaded the version.
    Loaded,
    /// The engine is loading a version.
    Loading,
    /// The engine neither has the version nor loads one: it was restarted since the order.
    Dropped,
}

/// Estimates the time that an engine of a service takes to load a version.
#[derive(Clone, Debug)]
pub struct LoadTimeEstimator {
    estimate: Duration,
    measured: Option<MeasuredLoad>,
    /// Loads to skip before the next one is measured.
    skips: u32,
    /// Loads to skip after the next measurement that confirms the estimate.
    next_skips: u32,
}

impl LoadTimeEstimator {
    /// Builds an estimator with a first estimate.
    pub fn new(estimate: Duration) -> Self {
        Self { estimate, measured: None, skips: 0, next_skips: 1 }
    }

    /// Returns the expected time of a load.
    pub fn estimate(&self) -> Duration {
        self.estimate
    }

    /// Returns whether a load that was ordered at `ordered_at` probably is still running. It also is while the
    /// measured load is unfinished and was ordered no later.
    pub fn is_unfinished(&self, now: Timestamp, ordered_at: Timestamp) -> bool {
        let is_after_measured = self.measured.as_ref().is_some_and(|load| ordered_at >= load.ordered_at);
        is_after_measured || now.since(ordered_at) < self.estimate
    }

    /// Records that an engine accepted an order, and may begin to measure its load. One load is measured at a
    /// time.
    pub fn record_order(&mut self, now: Timestamp, instance: &Name) {
        if self.measured.is_some() {
            return;
        }
        if self.skips > 0 {
            self.skips -= 1;
            return;
        }
        let next_poll_at = now + self.estimate.mul_f64(FIRST_POLL_FRACTION).max(MAX_REPORT_LAG);
        self.measured = Some(MeasuredLoad {
            instance: instance.clone(),
            ordered_at: now,
            next_poll_at,
            was_polled_early: false,
            was_seen_loading: false,
            is_poll_pending: false,
        });
    }

    /// Returns the engine to poll now, if a poll is due, and schedules the next poll.
    pub fn take_due_poll(&mut self, now: Timestamp) -> Option<Name> {
        let estimate = self.estimate;
        let load = self.measured.as_mut()?;
        if now.since(load.ordered_at) >= estimate * MEASUREMENT_TIMEOUT_FACTOR {
            if load.was_seen_loading {
                self.estimate = estimate * 2;
            }
            self.measured = None;
            return None;
        }
        if now < load.next_poll_at || load.is_poll_pending {
            return None;
        }
        let at_estimate = load.ordered_at + estimate;
        load.was_polled_early = now < at_estimate;
        load.is_poll_pending = true;
        load.next_poll_at = at_estimate.max(now + estimate.mul_f64(POLL_INTERVAL_FRACTION));
        Some(load.instance.clone())
    }

    /// Returns whether the load of `instance` is being measured.
    pub fn is_measured(&self, instance: &str) -> bool {
        self.measured.as_ref().is_some_and(|load| &*load.instance == instance)
    }

    /// Records the report of the engine whose load is measured.
    pub fn record_report(&mut self, now: Timestamp, report: LoadReport) {
        let Some(mut load) = self.measured.take() else { return };
        match report {
            LoadReport::Dropped => return,
            LoadReport::Loading => {
                load.was_seen_loading = true;
                load.is_poll_pending = false;
                self.measured = Some(load);
                return;
            }
            LoadReport::Loaded => {}
        }
        let load_time = now.since(load.ordered_at).saturating_sub(MEAN_REPORT_LAG);
        // Only a load that a report showed in progress may raise the estimate, because any other one may
        // have finished long before its poll. When responses to orders were lost, polls came 0.9 s late,
        // and engines that took 0.9 s counted as loading for 4.5 s.
        let new_estimate = match (load.was_polled_early, load.was_seen_loading) {
            (true, _) => self.estimate.mul_f64(EARLY_LOAD_FACTOR),
            (false, true) => load_time.max(self.estimate),
            (false, false) => self.estimate,
        };
        let is_confirmed = new_estimate.abs_diff(self.estimate) < self.estimate.mul_f64(POLL_INTERVAL_FRACTION / 2.0);
        self.skips = if is_confirmed { self.next_skips } else { 0 };
        self.next_skips = if is_confirmed { (self.next_skips * 2).min(MAX_UNMEASURED_LOADS) } else { 1 };
        self.estimate = new_estimate.max(MIN_ESTIMATE);
    }

    /// Ends the measurement, because the engine is gone or does not respond.
    pub fn cancel_measurement(&mut self) {
        self.measured = None;
    }
}
