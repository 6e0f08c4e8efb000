//! What this node knows of the lease on weight orders and duties.

use std::sync::Mutex;
use trestlerack::Timestamp;
use trestlerack::process::{LeaseGrant, LeaseRow};

/// The lease row as this node last saw it, and what it allows this node.
///
/// Only the task that keeps the lease sets the grant; everybody else asks for its fencing number next
/// to each send, because a grant may lapse at any moment.
#[derive(Debug, Default)]
pub struct LeaseBook {
    /// The row with its version in the store.
    row: Mutex<Option<(u64, LeaseRow)>>,
    grant: Mutex<Option<LeaseGrant>>,
}

impl LeaseBook {
    /// Returns the row with its version, if one is known.
    pub fn versioned_row(&self) -> Option<(u64, LeaseRow)> {
        self.row.lock().unwrap().clone()
    }

    /// Returns the row, if one is known.
    pub fn row(&self) -> Option<LeaseRow> {
        self.versioned_row().map(|(_, row)| row)
    }

    /// Takes over the row that a write of this node, or the conflict with it, has shown.
    pub fn set_row(&self, version: u64, row: LeaseRow) {
        *self.row.lock().unwrap() = Some((version, row));
    }

    /// Takes over the row or its removal at a version, unless a newer one is known.
    pub fn learn_row(&self, version: u64, row: Option<LeaseRow>) {
        let mut held = self.row.lock().unwrap();
        if held.as_ref().is_none_or(|(known, _)| *known < version) {
            *held = row.map(|row| (version, row));
        }
    }

    /// Records what the lease allows this node, as of its last renewal.
    pub fn set_grant(&self, grant: Option<LeaseGrant>) {
        *self.grant.lock().unwrap() = grant;
    }

    /// Returns the fencing number of the lease if this node holds it at `now`.
    pub fn fence(&self, now: Timestamp) -> Option<u64> {
        let grant = *self.grant.lock().unwrap();
        grant.filter(|grant| now < grant.valid_until).map(|grant| grant.fence)
    }
}
