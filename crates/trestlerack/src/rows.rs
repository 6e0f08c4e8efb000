//! Interface to a partitioned row store with optimistic transactions and watches.
//!
//! Calls and replies are plain data, so that a node that cannot reach the store can relay a call
//! through a peer; see [docs/PLATFORM.md](../../../docs/PLATFORM.md).

use crate::Name;
use crate::interfaces::StoreError;
use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A row of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRow {
    /// Table that holds the row.
    pub table: Name,
    /// Partition of the table; transactions on one partition are serialized.
    pub partition: Name,
    /// Key within the partition.
    pub key: Name,
    /// Content; empty for a removed row.
    pub value: Bytes,
    /// Version assigned by the store at the last change; it only increases.
    pub version: u64,
    /// Whether the row was removed; only watches return removed rows.
    pub removed: bool,
}

/// A precondition on one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Table that holds the row.
    pub table: Name,
    /// Key within the transaction's partition.
    pub key: Name,
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
}

/// New content of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Table that holds the row.
    pub table: Name,
    /// Key within the transaction's partition.
    pub key: Name,
    /// Content, or `None` to remove the row.
    pub value: Option<Bytes>,
}

/// A set of writes to one partition that is applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowTransaction {
    /// Partition that all rows belong to.
    pub partition: Name,
    /// Preconditions.
    pub conditions: Vec<RowCondition>,
    /// Writes.
    pub writes: Vec<RowWrite>,
}

impl RowTransaction {
    /// Builds an empty transaction on a partition.
    pub fn new(partition: impl Into<Name>) -> Self {
        Self { partition: partition.into(), ..Self::default() }
    }

    /// Adds a precondition; `version` 0 means that the row must not exist.
    #[must_use]
    pub fn expect(mut self, table: &str, key: &str, version: u64) -> Self {
        self.conditions.push(RowCondition { table: table.into(), key: key.into(), version });
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, table: &str, key: &str, value: impl Into<Bytes>) -> Self {
        self.writes.push(RowWrite { table: table.into(), key: key.into(), value: Some(value.into()) });
        self
    }

    /// Adds a removal.
    #[must_use]
    pub fn remove(mut self, table: &str, key: &str) -> Self {
        self.writes.push(RowWrite { table: table.into(), key: key.into(), value: None });
        self
    }
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreCall {
    /// Applies a transaction.
    Commit(RowTransaction),
    /// Reads rows of one partition in key order, from a consistent snapshot.
    Read {
        /// Table to read.
        table: Name,
        /// Partition to read.
        partition: Name,
        /// First key; empty for the beginning.
        from: Name,
        /// Exclusive upper bound of the keys; empty for the end.
        to: Name,
        /// Maximum number of rows to return.
        limit: usize,
    },
    /// Waits for changes of a table.
    Watch {
        /// Table to watch.
        table: Name,
        /// Version up to which changes are known.
        after: u64,
        /// Maximum wait for a change, in milliseconds.
        wait_ms: u64,
    },
    /// Lists the partitions of a table.
    Partitions {
        /// Table to list.
        table: Name,
        /// Last partition of the previous page; empty for the first page.
        after: Name,
    },
    /// Writes an object that does not exist yet.
    PutObject {
        /// Name of the object.
        name: Name,
        /// Content.
        content: Bytes,
    },
    /// Reads an object.
    GetObject {
        /// Name of the object.
        name: Name,
    },
    /// Removes an object; succeeds if the object does not exist.
    RemoveObject {
        /// Name of the object.
        name: Name,
    },
}

/// Version and clock of the store at the time of a reply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreMoment {
    /// Newest version of the store.
    pub version: u64,
    /// The store's monotonic clock, in milliseconds.
    pub clock_ms: u64,
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// The transaction was applied.
    Committed(StoreMoment),
    /// A precondition did not hold and nothing was written. Contains the rows of the preconditions.
    Conflict(Vec<StoredRow>),
    /// The result of a read or watch.
    Rows {
        /// The rows, in key order for a read and in order of change for a watch.
        rows: Vec<StoredRow>,
        /// Whether the read stopped before the end of its range.
        more: bool,
        /// Version and clock of the store at the time of the reply.
        moment: StoreMoment,
    },
    /// The store no longer has the changes after the version that the watch requested.
    HistoryLost,
    /// Names of partitions.
    Partitions {
        /// One page of names.
        names: Vec<Name>,
        /// Whether more pages follow.
        more: bool,
        /// Version and clock of the store at the time of the reply.
        moment: StoreMoment,
    },
    /// The object exists now; it may have existed before.
    ObjectWritten,
    /// The object does not exist now.
    ObjectRemoved,
    /// The object's content, or `None` if it does not exist.
    Object(Option<Bytes>),
}

/// A partitioned, watchable row store.
#[async_trait]
pub trait RowStore: Send + Sync {
    /// Makes one call. After [`StoreError::Unknown`], a commit may have been applied or may still be
    /// applied seconds later; its preconditions make it safe to send it again.
    async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError>;
}
