//! Usage of customers: requests that began to run, by windows of the time of day.
//!
//! Each node counts what it serves and tells the holder of the lease, which adds up and reports.
//! Counts of a node only grow within a window, so a note that comes twice or late does no harm.
//! [docs/PLATFORM.md](../../../../docs/PLATFORM.md#duties) tells the whole way.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Requests that began to run, by customer.
pub type CustomerCounts = BTreeMap<Name, u64>;

/// Settings of usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time after its end at which the report of a window is due, in milliseconds.
    pub due_ms: u64,
}

/// Share of the time until a report is due that is left to nodes to tell what they counted, in
/// hundredths: a node whose note was lost tells it again, and one that was cut off for a moment.
const COLLECT_SHARE: u64 = 35;

/// Share of that time from which a new holder no longer waits for notes, in hundredths.
const FINAL_GROUPS_FRACTION: u64 = 80;

/// Windows that are kept beyond the one that is due last.
const KEPT_WINDOWS: u64 = 2;

impl UsageSettings {
    /// Returns the window that a time of day lies in.
    pub fn window_at(&self, wall_ms: u64) -> u64 {
        wall_ms / self.window_ms
    }

    /// Returns whether the counts of a window are to be added up now, by a holder that has taken
    /// notes since `listening_ms`.
    pub fn is_due(&self, window: u64, wall_ms: u64, listening_ms: u64) -> bool {
        let collect = self.due_ms * COLLECT_SHARE / 100;
        let end = (window + 1) * self.window_ms;
        let is_collected = wall_ms >= end + collect && wall_ms >= listening_ms + collect;
        is_collected || wall_ms >= end + self.due_ms * FINAL_GROUPS_FRACTION / 100
    }

    /// Returns whether a report of a window is of no use any more.
    pub fn is_over(&self, window: u64, wall_ms: u64) -> bool {
        window < self.first_kept(wall_ms)
    }

    /// Returns the oldest window of which counts are kept.
    pub fn first_kept(&self, wall_ms: u64) -> u64 {
        let back = self.due_ms.div_ceil(self.window_ms) + KEPT_WINDOWS;
        self.window_at(wall_ms).saturating_sub(back)
    }
}

/// What a node counted in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageNote {
    /// The window.
    pub window: u64,
    /// Grows with each request counted, so that an older note never replaces a newer one.
    pub revision: u64,
    /// The counts so far.
    pub counts: CustomerCounts,
}

/// What this node counts, and what of it the holder of the lease has.
#[derive(Clone, Debug, Default)]
pub struct UsageCounter {
    notes: BTreeMap<u64, UsageNote>,
    acknowledged: BTreeMap<u64, u64>,
}

impl UsageCounter {
    /// Counts a request that began to run.
    pub fn count(&mut self, window: u64, customer: &Name) {
        let empty = || UsageNote { window, revision: 0, counts: CustomerCounts::new() };
        let note = self.notes.entry(window).or_insert_with(empty);
        note.revision += 1;
        *note.counts.entry(customer.clone()).or_insert(0) += 1;
    }

    /// Returns what the holder does not have yet.
    pub fn unacknowledged(&self) -> Vec<UsageNote> {
        let is_told = |note: &UsageNote| self.acknowledged.get(&note.window) == Some(&note.revision);
        self.notes.values().filter(|note| !is_told(note)).cloned().collect()
    }

    /// Records that the holder has some notes.
    pub fn acknowledge(&mut self, notes: &[UsageNote]) {
        self.acknowledged.extend(notes.iter().map(|note| (note.window, note.revision)));
    }

    /// Forgets what the holder has, since there is another holder now.
    pub fn forget_acknowledged(&mut self) {
        self.acknowledged.clear();
    }

    /// Forgets windows that nobody asks for any more.
    pub fn forget_before(&mut self, window: u64) {
        self.notes.retain(|held, _| *held >= window);
        self.acknowledged.retain(|held, _| *held >= window);
    }
}

/// Who counted: a node and its incarnation, because a restarted node counts from zero.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageSender {
    /// Name of the node.
    pub node: Name,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// What all nodes told of one window.
pub type WindowNotes = BTreeMap<UsageSender, UsageNote>;

/// What nodes told, at the holder of the lease.
#[derive(Clone, Debug, Default)]
pub struct UsageDesk {
    windows: BTreeMap<u64, WindowNotes>,
}

impl UsageDesk {
    /// Takes a note, unless a newer one of its sender is there. Returns whether it was news.
    pub fn take(&mut self, sender: &UsageSender, note: UsageNote) -> bool {
        let notes = self.windows.entry(note.window).or_default();
        let is_news = notes.get(sender).is_none_or(|held| held.revision < note.revision);
        if is_news {
            notes.insert(sender.clone(), note);
        }
        is_news
    }

    /// Returns the notes of a window.
    pub fn notes(&self, window: u64) -> Option<&WindowNotes> {
        self.windows.get(&window)
    }

    /// Adds up a window.
    pub fn total(&self, window: u64) -> CustomerCounts {
        let mut total = CustomerCounts::new();
        for (customer, count) in
            self.windows.get(&window).into_iter().flat_map(WindowNotes::values).flat_map(|n| &n.counts)
        {
            *total.entry(customer.clone()).or_insert(0) += count;
        }
        total
    }

    /// Forgets windows that nobody asks for any more.
    pub fn forget_before(&mut self, window: u64) {
        self.windows.retain(|held, _| *held >= window);
    }
}

/// The report of a window as it is sent, now or again: stored before it is first sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Requests that began to run in the window, by customer.
    pub counts: CustomerCounts,
    /// Whether the platform has taken it.
    pub is_sent: bool,
}
