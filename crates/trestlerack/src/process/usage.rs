//! Usage accounting: started requests per customer in fixed windows of wall clock time.
//!
//! Each node counts the requests that it serves and sends cumulative snapshots to the lease holder, which
//! sums and reports them. A node's counts only grow within a window, so a duplicate or late snapshot is
//! harmless. The whole process is described in
//! [docs/PLATFORM.md](../../../../docs/PLATFORM.md#duties).

use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of started requests by customer.
pub type CustomerCounts = BTreeMap<Name, u64>;

/// Settings of usage reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageSettings {
    /// Length of a window, in milliseconds.
    pub window_ms: u64,
    /// Time from the end of a window until its report is due, in milliseconds.
    pub due_ms: u64,
}

/// Percentage of the time until a report is due in which nodes may still deliver their counts. It leaves
/// time to resend a lost snapshot, also for a node that was briefly disconnected.
const COLLECT_PERCENT: u64 = 35;

/// Percentage of that time after which a new lease holder stops waiting for snapshots.
const LATEST_PERCENT: u64 = 80;

/// Number of windows that are kept after their reports were due.
const EXTRA_KEPT_WINDOWS: u64 = 2;

impl UsageSettings {
    /// Returns the number of the window that contains a wall clock time.
    pub fn window_at(&self, wall_ms: u64) -> u64 {
        wall_ms / self.window_ms
    }

    /// Returns whether a lease holder that has received snapshots since `receiving_since_ms` is to sum the
    /// counts of a window now.
    pub fn should_sum(&self, window: u64, wall_ms: u64, receiving_since_ms: u64) -> bool {
        let collect = self.due_ms * COLLECT_PERCENT / 100;
        let end = (window + 1) * self.window_ms;
        let is_collected = wall_ms >= end + collect && wall_ms >= receiving_since_ms + collect;
        is_collected || wall_ms >= end + self.due_ms * LATEST_PERCENT / 100
    }

    /// Returns whether it is too late to report a window.
    pub fn is_expired(&self, window: u64, wall_ms: u64) -> bool {
        window < self.first_kept(wall_ms)
    }

    /// Returns the oldest window whose counts are kept.
    pub fn first_kept(&self, wall_ms: u64) -> u64 {
        let back = self.due_ms.div_ceil(self.window_ms) + EXTRA_KEPT_WINDOWS;
        self.window_at(wall_ms).saturating_sub(back)
    }
}

/// Cumulative counts of one node in one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSnapshot {
    /// Number of the window.
    pub window: u64,
    /// Grows with each counted request, so that an older snapshot never replaces a newer one.
    pub revision: u64,
    /// The counts so far.
    pub counts: CustomerCounts,
}

/// The counts of this node, and the revisions of them that the lease holder has acknowledged.
#[derive(Clone, Debug, Default)]
pub struct UsageCounter {
    snapshots: BTreeMap<u64, UsageSnapshot>,
    acknowledged: BTreeMap<u64, u64>,
}

impl UsageCounter {
    /// Counts a started request.
    pub fn count(&mut self, window: u64, customer: &Name) {
        let empty = || UsageSnapshot { window, revision: 0, counts: CustomerCounts::new() };
        let snapshot = self.snapshots.entry(window).or_insert_with(empty);
        snapshot.revision += 1;
        *snapshot.counts.entry(customer.clone()).or_insert(0) += 1;
    }

    /// Returns the snapshots that the lease holder has not acknowledged yet.
    pub fn unacknowledged(&self) -> Vec<UsageSnapshot> {
        let is_acknowledged =
            |snapshot: &UsageSnapshot| self.acknowledged.get(&snapshot.window) == Some(&snapshot.revision);
        self.snapshots.values().filter(|snapshot| !is_acknowledged(snapshot)).cloned().collect()
    }

    /// Records that the lease holder has received `snapshots`.
    pub fn acknowledge(&mut self, snapshots: &[UsageSnapshot]) {
        self.acknowledged.extend(snapshots.iter().map(|snapshot| (snapshot.window, snapshot.revision)));
    }

    /// Forgets all acknowledgements, because a new lease holder needs every snapshot.
    pub fn forget_acknowledged(&mut self) {
        self.acknowledged.clear();
    }

    /// Drops all windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.snapshots.retain(|kept, _| *kept >= window);
        self.acknowledged.retain(|kept, _| *kept >= window);
    }
}

/// The process that counted: a node and its incarnation, because a restarted node counts from zero.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct UsageSender {
    /// Name of the node.
    pub node: Name,
    /// Incarnation of its process.
    pub incarnation: u64,
}

/// The newest snapshot of each sender for one window.
pub type WindowSnapshots = BTreeMap<UsageSender, UsageSnapshot>;

/// The snapshots that the lease holder received from all nodes, by window.
#[derive(Clone, Debug, Default)]
pub struct UsageCollector {
    windows: BTreeMap<u64, WindowSnapshots>,
}

impl UsageCollector {
    /// Merges a snapshot unless its sender's known one is at least as new. Returns whether it was merged.
    pub fn merge(&mut self, sender: &UsageSender, snapshot: UsageSnapshot) -> bool {
        let snapshots = self.windows.entry(snapshot.window).or_default();
        let is_newer = snapshots.get(sender).is_none_or(|known| known.revision < snapshot.revision);
        if is_newer {
            snapshots.insert(sender.clone(), snapshot);
        }
        is_newer
    }

    /// Returns the snapshots of a window.
    pub fn snapshots(&self, window: u64) -> Option<&WindowSnapshots> {
        self.windows.get(&window)
    }

    /// Sums the counts of a window over all senders.
    pub fn total(&self, window: u64) -> CustomerCounts {
        let mut total = CustomerCounts::new();
        for (customer, count) in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(WindowSnapshots::values)
            .flat_map(|snapshot| &snapshot.counts)
        {
            *total.entry(customer.clone()).or_insert(0) += count;
        }
        total
    }

    /// Drops all windows before `window`.
    pub fn forget_before(&mut self, window: u64) {
        self.windows.retain(|kept, _| *kept >= window);
    }
}

/// The report of a window. It is stored before it is first sent, so that a repeated report is the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Number of requests that started in the window, by customer.
    pub counts: CustomerCounts,
    /// Whether the platform has accepted the report.
    pub is_sent: bool,
}
