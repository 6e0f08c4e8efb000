//! The change feed with which a follower of the store relays changed rows to other nodes.

use crate::Name;
use crate::rows::StoredRow;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};

/// Maximum number of tombstones of removed rows, which are kept for readers that have not seen the
/// removal yet.
const MAX_TOMBSTONES: usize = 4_096;

type RowKey = (Name, Name, Name);

/// A reader's position in the change feed of one follower. It is meaningless to other followers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPosition {
    /// Random number that identifies the follower's process; positions of other epochs are unknown to it.
    pub epoch: u64,
    /// Number of the last change that was read.
    pub number: u64,
}

/// The rows that a follower relays to other nodes, each with the number of its last change.
#[derive(Debug, Default)]
pub struct ChangeFeed {
    position: FeedPosition,
    rows: BTreeMap<RowKey, (u64, StoredRow)>,
    order: BTreeMap<u64, RowKey>,
    /// Keys of the tombstones in `rows`, by change number.
    removed: BTreeMap<u64, RowKey>,
    /// Change number up to which tombstones were dropped.
    dropped_through: u64,
}

impl ChangeFeed {
    /// Builds a feed without rows.
    pub fn new(epoch: u64) -> Self {
        Self { position: FeedPosition { epoch, number: 0 }, ..Self::default() }
    }

    /// Returns the position of the newest change.
    pub fn position(&self) -> FeedPosition {
        self.position
    }

    /// Drops all rows. Readers at an earlier position have to read all rows again.
    pub fn clear(&mut self) {
        *self = Self { position: self.position, dropped_through: self.position.number, ..Self::default() };
    }

    /// Appends a changed or removed row.
    pub fn put(&mut self, row: StoredRow) {
        let key = (row.table.clone(), row.partition.clone(), row.key.clone());
        if row.removed && !self.rows.contains_key(&key) {
            return;
        }
        self.position.number += 1;
        let number = self.position.number;
        if row.removed {
            self.removed.insert(number, key.clone());
        }
        let row = StoredRow { value: if row.removed { bytes::Bytes::new() } else { row.value }, ..row };
        if let Some((previous, _)) = self.rows.insert(key.clone(), (number, row)) {
            self.order.remove(&previous);
            self.removed.remove(&previous);
        }
        self.order.insert(number, key);
        while self.removed.len() > MAX_TOMBSTONES {
            let Some((number, key)) = self.removed.pop_first() else { return };
            self.order.remove(&number);
            self.rows.remove(&key);
            self.dropped_through = number;
        }
    }

    /// Replaces the rows of a table that was read in full; held rows that are missing there become
    /// removals.
    pub fn replace(&mut self, table: &str, rows: Vec<StoredRow>) {
        let present: HashSet<(&Name, &Name)> = rows.iter().map(|row| (&row.partition, &row.key)).collect();
        let table_rows = self.rows.values().map(|(_, row)| row).filter(|row| &*row.table == table && !row.removed);
        let missing: Vec<StoredRow> =
            table_rows.filter(|row| !present.contains(&(&row.partition, &row.key))).cloned().collect();
        for row in missing {
            self.put(StoredRow { removed: true, ..row });
        }
        for row in rows {
            let key = (row.table.clone(), row.partition.clone(), row.key.clone());
            let is_same = self.rows.get(&key).is_some_and(|(_, held)| held.value == row.value && !held.removed);
            if !is_same {
                self.put(row);
            }
        }
    }

    /// Returns the row under a key, unless it was removed.
    pub fn get(&self, table: &str, partition: &str, key: &str) -> Option<&StoredRow> {
        let held = self.rows.get(&(table.into(), partition.into(), key.into()));
        held.map(|(_, row)| row).filter(|row| !row.removed)
    }

    /// Returns the changes after a position that `is_wanted` selects, or `None` if they are no longer
    /// known and the reader has to read all rows again.
    pub fn changes(&self, after: FeedPosition, is_wanted: impl Fn(&StoredRow) -> bool) -> Option<Vec<StoredRow>> {
        let is_known =
            after.epoch == self.position.epoch && (self.dropped_through..=self.position.number).contains(&after.number);
        if !is_known {
            return None;
        }
        let changes = self.order.range(after.number + 1..).filter_map(|(_, key)| self.rows.get(key));
        Some(changes.map(|(_, row)| row).filter(|row| is_wanted(row)).cloned().collect())
    }

    /// Returns all rows that `is_wanted` selects.
    pub fn all(&self, is_wanted: impl Fn(&StoredRow) -> bool) -> Vec<StoredRow> {
        let rows = self.rows.values().map(|(_, row)| row);
        rows.filter(|row| !row.removed && is_wanted(row)).cloned().collect()
    }
}
