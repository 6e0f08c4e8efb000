//! What a node knows of suspects, and what of it other nodes are still to be told.

use crate::entry::tables;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::Timestamp;
use trestlerack::process::{CrashReport, DISCOVERY_LAG, EntrySettings, SuspectSettings, SuspectTracker, TrialGrants};
use trestlerack::request::RequestFingerprint;

/// Strikes that wait to be stored, at most. In an outage as long as a strike's life, ends of a server a
/// second leave 600.
const MOST_WAITING: usize = 2_048;

/// Strikes told to a peer at once, at most, newest first; some 50 bytes each.
pub(super) const MOST_TOLD: usize = 1_000;

/// A change of a strike's row that waits to be stored.
#[derive(Clone, Copy)]
pub(super) enum RowChange {
    /// The server ended at this time of this node's clock.
    Put { at: Timestamp, is_trial: bool },
    /// The strike is void.
    Remove,
}

pub(super) type StrikeKey = (RequestFingerprint, u64);

/// What a node knows of suspects, and what of it other nodes are still to be told.
pub struct SuspectDesk {
    book: Mutex<SuspectTracker>,
    trials: Mutex<TrialGrants>,
    unstored: Mutex<BTreeMap<StrikeKey, RowChange>>,
    untold: Mutex<Vec<CrashReport>>,
    pub(super) has_unstored: Notify,
    pub(super) has_untold: Notify,
    /// Whether the watch of the system's rows brings no news, or has brought none yet.
    is_cut_off: AtomicBool,
    /// Whether a process that started has looked for what is known already.
    has_looked: AtomicBool,
}

impl SuspectDesk {
    /// Builds a desk that suspects nobody.
    pub fn new(settings: &EntrySettings) -> Self {
        let settings =
            SuspectSettings { unresolved_ttl: settings.entry_ttl() + DISCOVERY_LAG, ..SuspectSettings::default() };
        Self {
            book: Mutex::new(SuspectTracker::new(settings)),
            trials: Mutex::default(),
            unstored: Mutex::default(),
            untold: Mutex::default(),
            has_unstored: Notify::new(),
            has_untold: Notify::new(),
            is_cut_off: AtomicBool::new(true),
            has_looked: AtomicBool::new(false),
        }
    }

    /// Gives access to the book; nothing else is to be locked meanwhile.
    pub fn book(&self) -> MutexGuard<'_, SuspectTracker> {
        self.book.lock().unwrap()
    }

    /// Gives access to the trials that this node keeps for all.
    pub(super) fn trials(&self) -> MutexGuard<'_, TrialGrants> {
        self.trials.lock().unwrap()
    }

    /// Returns whether a process that started has looked for what is known already, so that clients may
    /// be sent here.
    pub fn has_looked(&self) -> bool {
        self.has_looked.load(Ordering::Relaxed)
    }

    pub(super) fn set_looked(&self) {
        self.has_looked.store(true, Ordering::Relaxed);
    }

    /// Records whether the watch of the system's rows brings news.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        self.is_cut_off.store(is_cut_off, Ordering::Relaxed);
    }

    /// Returns whether the watch of the system's rows brings no news.
    pub(super) fn is_cut_off(&self) -> bool {
        self.is_cut_off.load(Ordering::Relaxed)
    }

    /// Queues strikes for the store; while that is out of reach, for peers as well.
    pub(super) fn publish(&self, now: Timestamp, notes: &[CrashReport]) {
        if notes.is_empty() {
            return;
        }
        let mut unstored = self.unstored.lock().unwrap();
        for note in notes {
            let at = now - Duration::from_millis(note.age_ms);
            let change =
                if note.is_cleared { RowChange::Remove } else { RowChange::Put { at, is_trial: note.is_trial } };
            if unstored.len() < MOST_WAITING {
                unstored.insert((note.fingerprint, note.server_start), change);
            }
        }
        drop(unstored);
        self.has_unstored.notify_one();
        if self.is_cut_off() {
            self.tell(notes);
        }
    }

    /// Queues strikes for peers.
    pub(super) fn tell(&self, notes: &[CrashReport]) {
        let mut untold = self.untold.lock().unwrap();
        untold.extend_from_slice(notes);
        let surplus = untold.len().saturating_sub(MOST_TOLD);
        untold.drain(..surplus);
        drop(untold);
        self.has_untold.notify_one();
    }

    /// Takes the strikes that peers are to be told.
    pub(super) fn take_untold(&self) -> Vec<CrashReport> {
        std::mem::take(&mut *self.untold.lock().unwrap())
    }

    /// Takes changes for one transaction.
    pub(super) fn take_unstored(&self) -> Vec<(StrikeKey, RowChange)> {
        let mut unstored = self.unstored.lock().unwrap();
        let keys: Vec<StrikeKey> = unstored.keys().take(tables::MAX_COMMIT_ROWS).copied().collect();
        keys.into_iter().filter_map(|key| unstored.remove(&key).map(|change| (key, change))).collect()
    }

    /// Puts changes back that could not be stored, unless newer ones came meanwhile.
    pub(super) fn return_unstored(&self, changes: Vec<(StrikeKey, RowChange)>) {
        let mut unstored = self.unstored.lock().unwrap();
        for (key, change) in changes {
            unstored.entry(key).or_insert(change);
        }
    }
}
