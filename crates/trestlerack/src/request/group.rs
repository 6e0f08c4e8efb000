//! Drives the samples of one group: starts them, retries failures and hedges stragglers.

use crate::Timestamp;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Settings of a [`GroupDriver`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct GroupSettings {
    /// Maximum attempts per sample, including hedges.
    pub max_attempts: u32,
    /// Delay before the first retry of a sample; it doubles with each failure.
    pub retry_wait: Duration,
    /// A sample is a straggler if it runs longer than this multiple of the median run time of the
    /// finished samples; 0 disables hedging.
    pub hedge_factor: f64,
    /// Shortest run time at which a sample counts as a straggler.
    pub hedge_floor: Duration,
}

impl Default for GroupSettings {
    fn default() -> Self {
        Self {
            max_attempts: 12,
            retry_wait: Duration::from_millis(100),
            hedge_factor: 2.5,
            hedge_floor: Duration::from_millis(250),
        }
    }
}

/// An input of [`GroupDriver::handle`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupEvent {
    /// Start all samples.
    Begin,
    /// An attempt at a sample succeeded.
    Finished {
        /// Index of the sample.
        index: usize,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An attempt at a sample failed.
    Failed {
        /// Index of the sample.
        index: usize,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Time passed.
    Tick,
}

/// An action that the caller of [`GroupDriver::handle`] must carry out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GroupAction {
    /// Start an attempt at a sample.
    Start {
        /// Index of the sample.
        index: usize,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Whether it is a hedge, which runs concurrently with an earlier attempt that is late.
        hedge: bool,
    },
    /// Cancel an attempt, because another attempt finished the sample.
    Cancel {
        /// Index of the sample.
        index: usize,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Every sample is finished.
    Complete,
    /// A sample has used all of its attempts; this node gives up the group.
    GiveUp,
}

#[derive(Clone, Debug, Default)]
struct SampleState {
    attempts: u32,
    running: BTreeMap<u32, Timestamp>,
    failures: u32,
    retry_at: Option<Timestamp>,
    is_done: bool,
}

/// Drives one group of samples.
#[derive(Clone, Debug)]
pub struct GroupDriver {
    settings: GroupSettings,
    samples: Vec<SampleState>,
    run_times: Vec<Duration>,
    has_ended: bool,
}

impl GroupDriver {
    /// Builds a driver for `size` samples.
    pub fn new(settings: GroupSettings, size: usize) -> Self {
        let samples = vec![SampleState::default(); size];
        Self { settings, samples, run_times: Vec::new(), has_ended: false }
    }

    /// Handles one event. `may_hedge` is called once for each hedge, because a call that returns
    /// `true` spends from the retry budget.
    pub fn handle(
        &mut self,
        now: Timestamp,
        event: &GroupEvent,
        mut may_hedge: impl FnMut() -> bool,
    ) -> Vec<GroupAction> {
        if self.has_ended {
            return Vec::new();
        }
        match *event {
            GroupEvent::Begin => (0..self.samples.len()).map(|index| self.start(now, index, false)).collect(),
            GroupEvent::Finished { index, attempt } => self.finish(now, index, attempt),
            GroupEvent::Failed { index, attempt } => self.fail(now, index, attempt),
            GroupEvent::Tick => self.tick(now, &mut may_hedge),
        }
    }

    fn start(&mut self, now: Timestamp, index: usize, hedge: bool) -> GroupAction {
        let sample = &mut self.samples[index];
        sample.attempts += 1;
        sample.retry_at = None;
        sample.running.insert(sample.attempts, now);
        GroupAction::Start { index, attempt: sample.attempts, hedge }
    }

    fn finish(&mut self, now: Timestamp, index: usize, attempt: u32) -> Vec<GroupAction> {
        let sample = &mut self.samples[index];
        let Some(started) = sample.running.remove(&attempt) else { return Vec::new() };
        if sample.is_done {
            return Vec::new();
        }
        sample.is_done = true;
        let superseded = std::mem::take(&mut sample.running);
        self.run_times.push(now.since(started));
        let mut actions: Vec<GroupAction> =
            superseded.into_keys().map(|attempt| GroupAction::Cancel { index, attempt }).collect();
        if self.samples.iter().all(|sample| sample.is_done) {
            self.has_ended = true;
            actions.push(GroupAction::Complete);
        }
        actions
    }

    fn fail(&mut self, now: Timestamp, index: usize, attempt: u32) -> Vec<GroupAction> {
        let sample = &mut self.samples[index];
        if sample.running.remove(&attempt).is_none() || sample.is_done || !sample.running.is_empty() {
            return Vec::new();
        }
        sample.failures += 1;
        if sample.attempts >= self.settings.max_attempts {
            self.has_ended = true;
            return vec![GroupAction::GiveUp];
        }
        let doublings = (sample.failures - 1).min(6);
        sample.retry_at = Some(now + self.settings.retry_wait * 2_u32.pow(doublings));
        Vec::new()
    }

    fn tick(&mut self, now: Timestamp, may_hedge: &mut impl FnMut() -> bool) -> Vec<GroupAction> {
        let mut actions = Vec::new();
        for index in 0..self.samples.len() {
            if self.samples[index].retry_at.is_some_and(|at| now >= at) {
                actions.push(self.start(now, index, false));
            } else if self.is_straggler(now, index) && may_hedge() {
                actions.push(self.start(now, index, true));
            }
        }
        actions
    }

    /// Returns whether a sample is a straggler: it has exactly one running attempt, at least half of the
    /// group is finished, and it runs longer than the limit derived from their median run time.
    fn is_straggler(&self, now: Timestamp, index: usize) -> bool {
        let sample = &self.samples[index];
        let has_single_attempt =
            !sample.is_done && sample.running.len() == 1 && sample.attempts < self.settings.max_attempts;
        let is_half_done = self.run_times.len() * 2 >= self.samples.len();
        if self.settings.hedge_factor <= 0.0 || !has_single_attempt || !is_half_done {
            return false;
        }
        let started = sample.running.values().next().copied().unwrap_or(now);
        let limit = self.median().mul_f64(self.settings.hedge_factor).max(self.settings.hedge_floor);
        now.since(started) > limit
    }

    fn median(&self) -> Duration {
        let mut sorted = self.run_times.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() / 2).copied().unwrap_or_default()
    }
}
