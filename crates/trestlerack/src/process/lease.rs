//! A lease that is kept in a table row and timed by each node's own monotonic clock.

use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The row that holds a lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRow {
    /// Name of the holder.
    pub holder: Name,
    /// Incarnation of the holder; a restarted process counts as a different holder.
    pub incarnation: u64,
    /// Fencing token, which grows with each change of holder and never decreases.
    pub fence: u64,
    /// Number of renewals, so that each renewal changes the row's version.
    pub renewal: u64,
    /// Whether the holder released the lease.
    pub released: bool,
}

/// Settings of a [`LeaseKeeper`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseSettings {
    /// Time for which a renewal is valid, counted from just before it was sent.
    pub ttl: Duration,
    /// Time that other nodes add to the TTL before the lease counts as expired, to allow for clock drift.
    pub margin: Duration,
    /// Maximum time that an order may be in flight. A new holder waits for this time before it sends
    /// orders to engines that do not check fencing tokens.
    pub order_time: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self { ttl: Duration::from_secs(6), margin: Duration::from_secs(1), order_time: Duration::from_secs(3) }
    }
}

/// What to do about the lease now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseAction {
    /// Do nothing.
    Wait,
    /// Write this row on condition that the row has not changed since it was read.
    Write(LeaseRow),
}

/// The right of a holder to act until a given time, to be checked right before each action.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Fencing token.
    pub fence: u64,
    /// Time from which another node may hold the lease.
    pub valid_until: Timestamp,
}

/// Acquires, renews and releases one lease.
///
/// Another holder's lease expires by the time at which this node saw its row change, never by a time
/// that the holder wrote, so the nodes' clocks need not agree.
#[derive(Clone, Debug)]
pub struct LeaseKeeper {
    settings: LeaseSettings,
    own: (Name, u64),
    observed_version: Option<u64>,
    changed_at: Timestamp,
    held: Option<HeldLease>,
}

#[derive(Clone, Debug)]
struct HeldLease {
    row: LeaseRow,
    valid_until: Timestamp,
    unfenced_orders_from: Timestamp,
}

impl LeaseKeeper {
    /// Builds a keeper for the node `name` at `incarnation`.
    pub fn new(settings: LeaseSettings, name: Name, incarnation: u64) -> Self {
        Self {
            settings,
            own: (name, incarnation),
            observed_version: None,
            changed_at: Timestamp::default(),
            held: None,
        }
    }

    /// Decides what to do with the row and its version as they were read at `now`.
    pub fn decide(&mut self, now: Timestamp, row: Option<(u64, LeaseRow)>) -> LeaseAction {
        let Some((version, row)) = row else { return LeaseAction::Write(self.next_row(None)) };
        if self.observed_version != Some(version) {
            self.observed_version = Some(version);
            self.changed_at = now;
        }
        let is_own = (&row.holder, row.incarnation) == (&self.own.0, self.own.1);
        if is_own && !row.released {
            return LeaseAction::Write(LeaseRow { renewal: row.renewal + 1, ..row });
        }
        self.held = None;
        let has_expired = now.since(self.changed_at) >= self.settings.ttl + self.settings.margin;
        if row.released || has_expired {
            return LeaseAction::Write(self.next_row(Some(&row)));
        }
        LeaseAction::Wait
    }

    /// Records that `row` was written by a transaction that was sent at `sent_at`.
    pub fn record_write(&mut self, sent_at: Timestamp, row: LeaseRow) {
        let renewed = self.held.as_ref().is_some_and(|held| held.row.fence == row.fence);
        let unfenced_orders_from = match &self.held {
            Some(held) if renewed => held.unfenced_orders_from,
            _ => sent_at + self.settings.ttl + self.settings.order_time,
        };
        let valid_until = sent_at + self.settings.ttl;
        self.held = Some(HeldLease { row, valid_until, unfenced_orders_from });
    }

    /// Returns the fencing token if the lease is held at `now`. To be called right before each send.
    pub fn fence(&self, now: Timestamp) -> Option<u64> {
        self.grant().filter(|grant| now < grant.valid_until).map(|grant| grant.fence)
    }

    /// Returns the grant of the last renewal, which may have expired.
    pub fn grant(&self) -> Option<LeaseGrant> {
        let held = self.held.as_ref()?;
        Some(LeaseGrant { fence: held.row.fence, valid_until: held.valid_until })
    }

    /// Returns the fencing token for an order at `now` to an engine, if one may be sent.
    ///
    /// For an engine that does not check tokens, a new holder has to wait until no order of its
    /// predecessor can be in flight. The very first holder waits too, because it cannot know that it is
    /// the first.
    pub fn order_fence(&self, now: Timestamp, checks_fencing: bool) -> Option<u64> {
        let held = self.held.as_ref()?;
        let may_order = checks_fencing || now >= held.unfenced_orders_from;
        self.fence(now).filter(|_| may_order)
    }

    /// Releases the lease. Returns the row to write over `row`, the row as it was read last, if that is
    /// still this holder's own. A successor's row must not be overwritten, because its fencing token
    /// would then be issued again.
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
