//! What this node knows of the lease on weight orders and duties.

use std::sync::Mutex;
use trestlerack::Timestamp;
use trestlerack::process::{LeaseGrant, LeaseRow};

/// The lease row as this node last saw it, and the grant of this node while it holds the lease.
///
/// Only the task that keeps the lease sets the grant. Others must read the fencing token immediately before
/// each send, because a grant may expire at any moment.
#[derive(Debug, Default)]
pub struct LeaseCache {
    /// Version of the row in the store, and the row.
    row: Mutex<Option<(u64, LeaseRow)>>,
    grant: Mutex<Option<LeaseGrant>>,
}

impl LeaseCache {
    /// Returns the row and its version, if one is known.
    pub fn versioned_row(&self) -> Option<(u64, LeaseRow)> {
        self.row.lock().unwrap().clone()
    }

    /// Returns the row, if one is known.
    pub fn row(&self) -> Option<LeaseRow> {
        self.versioned_row().map(|(_, row)| row)
    }

    /// Stores the row returned by a write of this node, also by one that conflicted.
    pub fn set_row(&self, version: u64, row: LeaseRow) {
        *self.row.lock().unwrap() = Some((version, row));
    }

    /// Merges the row or its removal at a version, unless that version or a newer one is known.
    pub fn merge_row(&self, version: u64, row: Option<LeaseRow>) {
        let mut known = self.row.lock().unwrap();
        if known.as_ref().is_none_or(|(known_version, _)| *known_version < version) {
            *known = row.map(|row| (version, row));
        }
    }

    /// Sets the grant of this node as of its last renewal; `None` without the lease.
    pub fn set_grant(&self, grant: Option<LeaseGrant>) {
        *self.grant.lock().unwrap() = grant;
    }

    /// Returns the fencing token of the lease if this node holds it at `now`.
    pub fn fence(&self, now: Timestamp) -> Option<u64> {
        let grant = *self.grant.lock().unwrap();
        grant.filter(|grant| now < grant.valid_until).map(|grant| grant.fence)
    }
}
