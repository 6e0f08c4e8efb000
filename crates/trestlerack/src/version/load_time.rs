//! How long engines take to load a version, learnt from a few loads that are looked at.

use crate::{Name, Timestamp};
use std::time::Duration;

/// Share of the estimate after which a load that is looked at is asked about first. One that is done
/// by then lowers the estimate.
const EARLY_SHARE: f64 = 0.8;

/// What such a load takes off the estimate.
const LOWERED: f64 = 0.9;

/// Share of the estimate between two questions once it has passed.
const ASK_SHARE: f64 = 0.15;

/// What a report lags behind in the mean, and at most: engines tell what was some hundred
/// milliseconds ago. One asked later than that has the order in its report.
const REPORT_LAG: Duration = Duration::from_millis(150);
const REPORT_LAG_MAX: Duration = Duration::from_millis(300);

/// Shortest estimate, so that questions do not come in a rush.
const LEAST: Duration = Duration::from_millis(100);

/// How many times the estimate a load is looked at. Loads that came after it count as under way
/// for as long, so one that its engine lost must not hold up the others. An engine that still
/// loads then doubles the estimate.
const LOOKED_AT: u32 = 4;

/// Most loads that pass between two looks while the estimate stays right. Each look costs two
/// questions.
const MOST_PASSED: u32 = 16;

/// A load that is looked at.
#[derive(Clone, Debug)]
struct WatchedLoad {
    instance: Name,
    ordered_at: Timestamp,
    ask_at: Timestamp,
    was_early: bool,
    is_loading: bool,
    /// Whether it was asked about and no answer came yet.
    is_asked: bool,
}

/// What an engine reported of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReport {
    /// It holds the version.
    Done,
    /// It carries out an order.
    Loading,
    /// Neither: the engine was restarted since.
    Lost,
}

/// The estimate of a service's load time, and the load by which it is checked.
#[derive(Clone, Debug)]
pub struct LoadTime {
    estimate: Duration,
    watched: Option<WatchedLoad>,
    /// Loads that pass before the next one is looked at.
    passes: u32,
    /// How many loads to pass after the next look that finds the estimate right.
    next_passes: u32,
}

impl LoadTime {
    /// Starts with a first estimate.
    pub fn new(estimate: Duration) -> Self {
        Self { estimate, watched: None, passes: 0, next_passes: 1 }
    }

    /// Returns how long a load is expected to take.
    pub fn estimate(&self) -> Duration {
        self.estimate
    }

    /// Returns whether a load that was ordered at `ordered_at` is under way as far as is known. One
    /// that came after a load that is still seen to be under way is so too.
    pub fn is_under_way(&self, now: Timestamp, ordered_at: Timestamp) -> bool {
        let behind = self.watched.as_ref().is_some_and(|watched| ordered_at >= watched.ordered_at);
        behind || now.since(ordered_at) < self.estimate
    }

    /// Records that an engine accepted an order; one load at a time is looked at.
    pub fn ordered(&mut self, now: Timestamp, instance: &Name) {
        if self.watched.is_some() {
            return;
        }
        if self.passes > 0 {
            self.passes -= 1;
            return;
        }
        let ask_at = now + self.estimate.mul_f64(EARLY_SHARE).max(REPORT_LAG_MAX);
        self.watched = Some(WatchedLoad {
            instance: instance.clone(),
            ordered_at: now,
            ask_at,
            was_early: false,
            is_loading: false,
            is_asked: false,
        });
    }

    /// Returns the engine to ask now, if one is due, and puts the next question off.
    pub fn due(&mut self, now: Timestamp) -> Option<Name> {
        let estimate = self.estimate;
        let watched = self.watched.as_mut()?;
        if now.since(watched.ordered_at) >= estimate * LOOKED_AT {
            if watched.is_loading {
                self.estimate = estimate * 2;
            }
            self.watched = None;
            return None;
        }
        if now < watched.ask_at || watched.is_asked {
            return None;
        }
        let at_estimate = watched.ordered_at + estimate;
        watched.was_early = now < at_estimate;
        watched.is_asked = true;
        watched.ask_at = at_estimate.max(now + estimate.mul_f64(ASK_SHARE));
        Some(watched.instance.clone())
    }

    /// Returns whether the load of an engine is looked at.
    pub fn is_watched(&self, instance: &str) -> bool {
        self.watched.as_ref().is_some_and(|watched| &*watched.instance == instance)
    }

    /// Records what the engine whose load is looked at said.
    pub fn reported(&mut self, now: Timestamp, report: LoadReport) {
        let Some(mut watched) = self.watched.take() else { return };
        match report {
            LoadReport::Lost => return,
            LoadReport::Loading => {
                watched.is_loading = true;
                watched.is_asked = false;
                self.watched = Some(watched);
                return;
            }
            LoadReport::Done => {}
        }
        let took = now.since(watched.ordered_at).saturating_sub(REPORT_LAG);
        // Only a load that was seen under way may raise the estimate: another one may have been done
        // long before it was asked about. Where answers to orders were lost, questions came 0.9 s
        // late, and engines that took 0.9 s counted as loading for 4.5 s.
        let learnt = match (watched.was_early, watched.is_loading) {
            (true, _) => self.estimate.mul_f64(LOWERED),
            (false, true) => took.max(self.estimate),
            (false, false) => self.estimate,
        };
        let is_right = learnt.abs_diff(self.estimate) < self.estimate.mul_f64(ASK_SHARE / 2.0);
        self.passes = if is_right { self.next_passes } else { 0 };
        self.next_passes = if is_right { (self.next_passes * 2).min(MOST_PASSED) } else { 1 };
        self.estimate = learnt.max(LEAST);
    }

    /// Records that the engine whose load is looked at is gone or does not answer.
    pub fn lost(&mut self) {
        self.watched = None;
    }
}
