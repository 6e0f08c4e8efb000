//! A lease in the table service, judged by each node's own monotonic clock.

use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The row that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the holder.
    pub holder: Name,
    /// Incarnation of the holder; a restarted holder is another one.
    pub incarnation: u64,
    /// Fencing number: grows with each change of holder and never shrinks.
    pub fence: u64,
    /// Grows with each renewal, so that the row's version changes.
    pub renewal: u64,
    /// Whether the holder gave the lease back.
    pub released: bool,
}

/// Settings of a [`LeaseKeeper`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseSettings {
    /// Time for which a renewal holds, counted from just before it was sent.
    pub ttl: Duration,
    /// Time added by everyone else before the lease counts as lapsed, for clocks that drift.
    pub margin: Duration,
    /// Longest time that an order may be under way; a new holder waits it out before it gives
    /// orders to engines that do not check fencing.
    pub order_time: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { ttl: Duration::from_secs(6), margin: Duration::from_secs(1), order_time: Duration::from_secs(3) }
    }
}

/// What to do about the lease now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseStep {
    /// Nothing.
    Wait,
    /// Write this row on condition that the row read last has not changed.
    Write(LeaseRow),
}

/// The right of a holder to act until a moment, to be checked next to each act.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Fencing number.
    pub fence: u64,
    /// Moment from which another node may hold the lease.
    pub valid_until: Timestamp,
}

/// Takes, renews and judges one lease.
///
/// Other holders' rows are timed by when this node saw them change, never by a time that the
/// holder wrote, so clocks need not agree.
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    settings: LeaseSettings,
    own: (Name, u64),
    seen_version: Option<u64>,
    seen_at: Timestamp,
    held: Option<HeldLease>,
}

#[derive(Clone, Debug)]
struct HeldLease {
    row: LeaseRow,
    valid_until: Timestamp,
    quiet_until: Timestamp,
}

impl LeaseKeeper {
    /// Builds a keeper for the node `name` at `incarnation`.
    pub fn new(settings: LeaseSettings, name: Name, incarnation: u64) -> Self {
        Self { settings, own: (name, incarnation), seen_version: None, seen_at: Timestamp::default(), held: None }
    }

    /// Decides what to do after the row was read at `now`.
    pub fn decide(&mut self, now: Timestamp, row: Option<(u64, LeaseRow)>) -> LeaseStep {
        let Some((version, row)) = row else { return LeaseStep::Write(self.next_row(None)) };
        if self.seen_version != Some(version) {
            self.seen_version = Some(version);
            self.seen_at = now;
        }
        let is_own = (&row.holder, row.incarnation) == (&self.own.0, self.own.1);
        if is_own && !row.released {
            return LeaseStep::Write(LeaseRow { renewal: row.renewal + 1, ..row });
        }
        self.held = None;
        let silent = now.since(self.seen_at) >= self.settings.ttl + self.settings.margin;
        if row.released || silent {
            return LeaseStep::Write(self.next_row(Some(&row)));
        }
        LeaseStep::Wait
    }

    /// Records that a row was written by a transaction sent at `sent_at`.
    pub fn written(&mut self, sent_at: Timestamp, row: LeaseRow) {
        let renewed = self.held.as_ref().is_some_and(|held| held.row.fence == row.fence);
        let quiet_until = match &self.held {
            Some(held) if renewed => held.quiet_until,
            _ => sent_at + self.settings.ttl + self.settings.order_time,
        };
        let valid_until = sent_at + self.settings.ttl;
        self.held = Some(HeldLease { row, valid_until, quiet_until });
    }

    /// Returns the fencing number if the lease is held at `now`, checked next to each send.
    pub fn fence(&self, now: Timestamp) -> Option<u64> {
        self.grant().filter(|grant| now < grant.valid_until).map(|grant| grant.fence)
    }

    /// Returns what the lease allows, as of its last renewal.
    pub fn grant(&self) -> Option<LeaseGrant> {
        let held = self.held.as_ref()?;
        Some(LeaseGrant { fence: held.row.fence, valid_until: held.valid_until })
    }

    /// Returns the fencing number for an order at `now` to an engine that does or does not check
    /// it. The first holder of all waits like any other, because it cannot know that it is first.
    pub fn order_fence(&self, now: Timestamp, checks_fencing: bool) -> Option<u64> {
        let held = self.held.as_ref()?;
        let quiet_over = checks_fencing || now >= held.quiet_until;
        self.fence(now).filter(|_| quiet_over)
    }

    /// Gives the lease back; returns the row to write over `row`, as it was read last, if that is
    /// this holder's own. The row of a successor must stay: its fencing number would come again.
    pub fn release(&mut self, row: Option<&LeaseRow>) -> Option<LeaseRow> {
        let held = self.held.take()?;
        let is_same = |row: &LeaseRow| {
            (&row.holder, row.incarnation, row.fence) == (&held.row.holder, held.row.incarnation, held.row.fence)
        };
        if !row.is_some_and(is_same) {
            return None;
        }
        Some(LeaseRow { released: true, renewal: held.row.renewal + 1, ..held.row })
    }

    fn next_row(&self, row: Option<&LeaseRow>) -> LeaseRow {
        let (holder, incarnation) = self.own.clone();
        let fence = row.map_or(0, |row| row.fence) + 1;
        LeaseRow { holder, incarnation, fence, renewal: 0, released: false }
    }
}
