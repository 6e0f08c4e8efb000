//! State of suspect contents at a node, and the crash reports that are still to be stored or sent to peers.

use crate::entry::tables;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::Timestamp;
use trestlerack::process::{CrashReport, DISCOVERY_LAG, EntrySettings, SuspectSettings, SuspectTracker, TrialGrants};
use trestlerack::request::RequestFingerprint;

/// Most row changes that wait to be stored. In an outage as long as the retention of a report, one crash per
/// second leaves 600.
const MAX_UNSTORED_CHANGES: usize = 2_048;

/// Most crash reports in one message to a peer, newest first; about 50 bytes each.
pub(super) const MAX_SENT_REPORTS: usize = 1_000;

/// A change of the row of a crash report or recovery trial that waits to be stored.
#[derive(Clone, Copy)]
pub(super) enum RowChange {
    /// The server crashed at this time on this node's clock.
    Put { at: Timestamp, is_trial: bool },
    /// The report was cleared, or the recovery trial is available again.
    Remove,
}

/// Identifies a row about a suspect content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum SuspectKey {
    /// The crash of a start of a server.
    Crash(RequestFingerprint, u64),
    /// A recovery trial that was used, by its number.
    RecoveryTrial(RequestFingerprint, u32),
}

/// State of suspect contents at a node, and the crash reports that are still to be stored or sent to peers.
pub struct SuspectControl {
    tracker: Mutex<SuspectTracker>,
    trial_grants: Mutex<TrialGrants>,
    unstored: Mutex<BTreeMap<SuspectKey, RowChange>>,
    unsent: Mutex<Vec<CrashReport>>,
    pub(super) has_unstored: Notify,
    pub(super) has_unsent: Notify,
    /// Whether the watch of the system's rows delivers no changes, or has delivered none yet.
    is_watch_down: AtomicBool,
    /// Whether the process has tried to read the stored reports since its start.
    has_read_reports: AtomicBool,
}

impl SuspectControl {
    /// Creates a state without suspects.
    pub fn new(settings: &EntrySettings) -> Self {
        let settings =
            SuspectSettings { unresolved_ttl: settings.entry_ttl() + DISCOVERY_LAG, ..SuspectSettings::default() };
        Self {
            tracker: Mutex::new(SuspectTracker::new(settings)),
            trial_grants: Mutex::default(),
            unstored: Mutex::default(),
            unsent: Mutex::default(),
            has_unstored: Notify::new(),
            has_unsent: Notify::new(),
            is_watch_down: AtomicBool::new(true),
            has_read_reports: AtomicBool::new(false),
        }
    }

    /// Locks the tracker. No other lock may be acquired while it is held.
    pub fn tracker(&self) -> MutexGuard<'_, SuspectTracker> {
        self.tracker.lock().unwrap()
    }

    /// Locks the trial grants that this node keeps for all nodes.
    pub(super) fn trial_grants(&self) -> MutexGuard<'_, TrialGrants> {
        self.trial_grants.lock().unwrap()
    }

    /// Returns whether the process has tried to read the stored reports since its start, so that clients may be
    /// routed to it.
    pub fn has_read_reports(&self) -> bool {
        self.has_read_reports.load(Ordering::Relaxed)
    }

    pub(super) fn set_reports_read(&self) {
        self.has_read_reports.store(true, Ordering::Relaxed);
    }

    /// Records whether the watch of the system's rows delivers no changes.
    pub fn set_watch_down(&self, is_watch_down: bool) {
        self.is_watch_down.store(is_watch_down, Ordering::Relaxed);
    }

    /// Returns whether the watch of the system's rows delivers no changes.
    pub(super) fn is_watch_down(&self) -> bool {
        self.is_watch_down.load(Ordering::Relaxed)
    }

    /// Queues crash reports for the store, and also for peers while the watch is down.
    pub(super) fn publish(&self, now: Timestamp, reports: &[CrashReport]) {
        if reports.is_empty() {
            return;
        }
        let mut unstored = self.unstored.lock().unwrap();
        for report in reports {
            let at = now - Duration::from_millis(report.age_ms);
            let change =
                if report.is_cleared { RowChange::Remove } else { RowChange::Put { at, is_trial: report.is_trial } };
            if unstored.len() < MAX_UNSTORED_CHANGES {
                unstored.insert(SuspectKey::Crash(report.fingerprint, report.server_start), change);
            }
        }
        drop(unstored);
        self.has_unstored.notify_one();
        if self.is_watch_down() {
            self.queue_for_peers(reports);
        }
    }

    /// Queues the removal of the rows of recovery trials that a content may use again.
    pub(super) fn publish_restored_trials(&self, fingerprint: RequestFingerprint, numbers: &[u32]) {
        let mut unstored = self.unstored.lock().unwrap();
        let keys = numbers.iter().map(|number| SuspectKey::RecoveryTrial(fingerprint, *number));
        unstored.extend(keys.map(|key| (key, RowChange::Remove)));
        drop(unstored);
        self.has_unstored.notify_one();
    }

    /// Queues crash reports for peers.
    pub(super) fn queue_for_peers(&self, reports: &[CrashReport]) {
        let mut unsent = self.unsent.lock().unwrap();
        unsent.extend_from_slice(reports);
        let surplus = unsent.len().saturating_sub(MAX_SENT_REPORTS);
        unsent.drain(..surplus);
        drop(unsent);
        self.has_unsent.notify_one();
    }

    /// Takes the crash reports that are to be sent to peers.
    pub(super) fn take_unsent(&self) -> Vec<CrashReport> {
        std::mem::take(&mut *self.unsent.lock().unwrap())
    }

    /// Takes the row changes for one transaction.
    pub(super) fn take_unstored(&self) -> Vec<(SuspectKey, RowChange)> {
        let mut unstored = self.unstored.lock().unwrap();
        let keys: Vec<SuspectKey> = unstored.keys().take(tables::MAX_COMMIT_ROWS).copied().collect();
        keys.into_iter().filter_map(|key| unstored.remove(&key).map(|change| (key, change))).collect()
    }

    /// Requeues changes that could not be stored, unless newer changes of their rows were queued meanwhile.
    pub(super) fn requeue_unstored(&self, changes: Vec<(SuspectKey, RowChange)>) {
        let mut unstored = self.unstored.lock().unwrap();
        for (key, change) in changes {
            unstored.entry(key).or_insert(change);
        }
    }
}
