//! The changes that a follower of the store passes on to other nodes.

use crate::Name;
use crate::rows::StoredRow;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};

/// Removed rows that are remembered, for those that have not heard of their removal.
const MOST_REMOVED: usize = 4_096;

type RowKey = (Name, Name, Name);

/// How far a node has heard a follower's changes. Numbers of one follower mean nothing to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPlace {
    /// The follower's process, and the parts that it drew.
    pub epoch: u64,
    /// Number of the last change.
    pub number: u64,
}

/// The rows of the tables that a follower reads, as far as others are to know them, with a number for each
/// change.
#[derive(Debug, Default)]
pub struct FeedLog {
    place: FeedPlace,
    rows: BTreeMap<RowKey, (u64, StoredRow)>,
    order: BTreeMap<u64, RowKey>,
    /// Removed rows among them, by number.
    removed: BTreeMap<u64, RowKey>,
    /// Number up to which removals were forgotten.
    forgotten: u64,
}

impl FeedLog {
    /// Builds a log without rows.
    pub fn new(epoch: u64) -> Self {
        Self { place: FeedPlace { epoch, number: 0 }, ..Self::default() }
    }

    /// Returns how far the log goes.
    pub fn place(&self) -> FeedPlace {
        self.place
    }

    /// Forgets all rows.
    pub fn clear(&mut self) {
        *self = Self { place: self.place, forgotten: self.place.number, ..Self::default() };
    }

    /// Takes over a changed or removed row.
    pub fn put(&mut self, row: StoredRow) {
        let key = (row.table.clone(), row.partition.clone(), row.key.clone());
        if row.removed && !self.rows.contains_key(&key) {
            return;
        }
        self.place.number += 1;
        let number = self.place.number;
        if row.removed {
            self.removed.insert(number, key.clone());
        }
        let row = StoredRow { value: if row.removed { bytes::Bytes::new() } else { row.value }, ..row };
        if let Some((before, _)) = self.rows.insert(key.clone(), (number, row)) {
            self.order.remove(&before);
            self.removed.remove(&before);
        }
        self.order.insert(number, key);
        while self.removed.len() > MOST_REMOVED {
            let Some((number, key)) = self.removed.pop_first() else { return };
            self.order.remove(&number);
            self.rows.remove(&key);
            self.forgotten = number;
        }
    }

    /// Takes over a table that was read whole: rows that it lacks were removed.
    pub fn replace(&mut self, table: &str, rows: Vec<StoredRow>) {
        let listed: HashSet<(&Name, &Name)> = rows.iter().map(|row| (&row.partition, &row.key)).collect();
        let of_table = self.rows.values().map(|(_, row)| row).filter(|row| &*row.table == table && !row.removed);
        let missing: Vec<StoredRow> =
            of_table.filter(|row| !listed.contains(&(&row.partition, &row.key))).cloned().collect();
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

    /// Returns the row that is held under a key.
    pub fn get(&self, table: &str, partition: &str, key: &str) -> Option<&StoredRow> {
        let held = self.rows.get(&(table.into(), partition.into(), key.into()));
        held.map(|(_, row)| row).filter(|row| !row.removed)
    }

    /// Returns the changes after a place that `is_wanted` lets through; `None` if they are not known any
    /// more, so that all rows are to be taken over.
    pub fn changes(&self, after: FeedPlace, is_wanted: impl Fn(&StoredRow) -> bool) -> Option<Vec<StoredRow>> {
        let is_known = after.epoch == self.place.epoch && (self.forgotten..=self.place.number).contains(&after.number);
        if !is_known {
            return None;
        }
        let news = self.order.range(after.number + 1..).filter_map(|(_, key)| self.rows.get(key));
        Some(news.map(|(_, row)| row).filter(|row| is_wanted(row)).cloned().collect())
    }

    /// Returns all rows that `is_wanted` lets through.
    pub fn all(&self, is_wanted: impl Fn(&StoredRow) -> bool) -> Vec<StoredRow> {
        let rows = self.rows.values().map(|(_, row)| row);
        rows.filter(|row| !row.removed && is_wanted(row)).cloned().collect()
    }
}
