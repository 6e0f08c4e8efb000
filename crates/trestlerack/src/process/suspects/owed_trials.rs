//! Recovery trials of items of jobs, which are owed whatever crashed under them.
//!
//! [docs/PLATFORM.md](../../../../../docs/PLATFORM.md#requests-that-end-servers) says which rule holds for which requests.

use super::{SuspectState, SuspectTracker};
use crate::Timestamp;
use crate::request::RequestFingerprint;
use std::time::Duration;

/// Settings of the recovery trials of items.
#[derive(Clone, Debug)]
pub struct OwedSettings {
    /// Time after the last crash under a blocked content until its next trial, whatever else crashes meanwhile. A step
    /// may go without one of its items for five seconds after the three in which servers count as disturbed.
    pub retry_time: Duration,
    /// Number of trials from which on the time doubles.
    pub early_trials: u32,
    /// Longest time between a crash under a content and its next trial.
    pub max_retry_time: Duration,
    /// Time without any crash after which items need not be told apart from other suspects any more.
    pub calm_time: Duration,
}

impl Default for OwedSettings {
    fn default() -> Self {
        Self {
            retry_time: Duration::from_secs(8),
            early_trials: 2,
            max_retry_time: Duration::from_secs(64),
            calm_time: Duration::from_secs(2),
        }
    }
}

/// Which rule limits the recovery trials of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RecoveryRule {
    /// The request may be one that crashes servers, which gets a limited number of trials.
    #[default]
    Limited,
    /// The request is an item, which is owed until it has a result.
    Owed,
}

impl SuspectTracker {
    /// Returns the time until a blocked content may have its next recovery trial by a rule; `None` if it gets none before
    /// it is forgotten.
    pub fn time_to_trial(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        rule: RecoveryRule,
    ) -> Option<Duration> {
        match rule {
            RecoveryRule::Limited => self.time_to_recovery(now, fingerprint),
            RecoveryRule::Owed => self.time_to_owed_trial(now, fingerprint),
        }
    }

    /// Starts a recovery trial by a rule, like [`Self::start_recovery_trial`].
    pub fn start_trial(&mut self, now: Timestamp, fingerprint: RequestFingerprint, rule: RecoveryRule) -> Option<u32> {
        if self.time_to_trial(now, fingerprint, rule)? > Duration::ZERO {
            return None;
        }
        let max_trials = match rule {
            RecoveryRule::Limited => self.settings.recovery.max_trials,
            RecoveryRule::Owed => u32::MAX,
        };
        self.recovery_trials.attempt(now, fingerprint, max_trials, self.settings.max_suspects)
    }

    fn time_to_owed_trial(&self, now: Timestamp, fingerprint: RequestFingerprint) -> Option<Duration> {
        let settings = &self.settings.owed;
        let record = self.records.get(&fingerprint)?;
        if !matches!(self.state(now, fingerprint), SuspectState::Blocked(_)) {
            return None;
        }
        let used = u32::try_from(self.recovery_trials.used_count(fingerprint)).unwrap_or(u32::MAX);
        let doublings = used.saturating_sub(settings.early_trials.saturating_sub(1)).min(u32::BITS - 1);
        let retry_time = settings.retry_time.saturating_mul(1 << doublings).min(settings.max_retry_time);
        let mut due = record.last_crash_at() + retry_time;
        let foreign = self.foreign_crashes(fingerprint, record);
        if !self.is_caused_by_content(now, record, &foreign) {
            let last_foreign_at = foreign.iter().map(|(_, at)| *at).max();
            let last_at = last_foreign_at.unwrap_or_default().max(record.last_crash_at());
            due = due.min(last_at + self.settings.recovery.calm_time);
        }
        let next_at = self.recovery_trials.last_at(fingerprint).map(|at| at + self.settings.recovery.trial_interval);
        Some(next_at.unwrap_or_default().max(due).since(now))
    }

    /// Returns whether no server has crashed for so long that items need not be told apart from other suspects.
    pub fn is_calm_for_items(&self, now: Timestamp) -> bool {
        let reported = self.records.values().map(|record| record.last_crash_at());
        let last_at = reported.chain(self.server_crashes.iter().map(|(_, at)| at)).max();
        last_at.is_none_or(|at| now.since(at) >= self.settings.owed.calm_time)
    }
}
