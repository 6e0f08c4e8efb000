//! The system's own tables in the store, and helpers to write and read them.
//!
//! Who writes which row under which condition stands in
//! [docs/PLATFORM.md](../../../../docs/PLATFORM.md).

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use trestlerack::Name;
use trestlerack::interfaces::StoreError;
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply, StoredRow};

/// Small rows that every node watches: heads and ends of jobs, nodes, assignments, the lease.
pub const STATE: &str = "state";

/// Results of jobs, one or more rows for each position.
pub const RESULTS: &str = "results";

/// Submissions of jobs.
pub const SPECS: &str = "specs";

/// Texts of jobs that have no result yet: what was generated while the job is driven, under
/// [`KEPT_LOG`], and what its driver left, under [`KEPT_END`].
pub const KEPT: &str = "kept";

/// Begins the keys of what was generated since the row before.
pub const KEPT_LOG: &str = "a-log";

/// Begins the keys of what a driver left; behind [`KEPT_LOG`] in key order.
pub const KEPT_END: &str = "b-end";

/// Partition of [`STATE`] that holds a row for each engine.
pub const ENGINES: &str = "engines";

/// Partition of [`STATE`] that holds the order lease.
pub const LEASES: &str = "leases";

/// Partition of [`STATE`] that holds a row for each server that ended under a request.
pub const SUSPECTS: &str = "suspects";

/// Key of the lease on weight orders.
pub const ORDER_LEASE: &str = "orders";

/// Table and partition of usage reports and of what nodes counted; no node watches it.
pub const USAGE: &str = "usage";

/// Table and partition of what engines were ordered from the platform; no node watches it.
pub const ENGINE_ORDERS: &str = "engine-orders";

/// Key of a job's head.
pub const HEAD: &str = "head";

/// Key of the row that exists once a client has ended a job.
pub const END: &str = "end";

/// Most rows of one page, a limit of the store.
pub const PAGE_ROWS: usize = 500;

/// Most rows written by one transaction; the store takes 100 entries, conditions included.
pub const COMMIT_ROWS: usize = 90;

/// Most bytes written by one transaction; the store takes 1 MB, and its encoding adds a third.
pub const COMMIT_BYTES: usize = 600_000;

/// Encodes a row's content.
pub fn encode(content: &impl Serialize) -> Bytes {
    let mut bytes = Vec::new();
    // Writing to memory cannot fail, and every type that is stored can be encoded.
    ciborium::into_writer(content, &mut bytes).expect("stored types can be encoded");
    bytes.into()
}

/// Decodes a row's content.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StoreError> {
    ciborium::from_reader(bytes).map_err(|_| StoreError::Unknown)
}

/// Splits content into pieces that fit a row, and adds a write for each to a transaction.
///
/// The first piece has the key itself and the others have it with a number, so that they lie
/// behind one another when they are read.
pub fn put_pieces(
    mut transaction: RowTransaction,
    table: &str,
    key: &str,
    content: &Bytes,
    row_bytes: usize,
) -> RowTransaction {
    let pieces = content.len().div_ceil(row_bytes).max(1);
    for piece in 0..pieces {
        let part = content.slice(piece * row_bytes..content.len().min((piece + 1) * row_bytes));
        let key = if piece == 0 { key.to_owned() } else { format!("{key}.{piece:04}") };
        transaction = transaction.put(table, &key, part);
    }
    transaction
}

/// Joins the pieces of [`put_pieces`] again, in key order.
pub fn join_pieces(rows: Vec<StoredRow>) -> Vec<(Name, Bytes)> {
    let mut joined: Vec<(Name, Vec<Bytes>)> = Vec::new();
    for row in rows {
        match joined.last_mut() {
            Some((key, pieces)) if row.key.len() > key.len() && row.key.starts_with(&format!("{key}.")) => {
                pieces.push(row.value);
            }
            _ => joined.push((row.key, vec![row.value])),
        }
    }
    let join = |pieces: Vec<Bytes>| match <[Bytes; 1]>::try_from(pieces) {
        Ok([single]) => single,
        Err(pieces) => Bytes::from(pieces.concat()),
    };
    joined.into_iter().map(|(key, pieces)| (key, join(pieces))).collect()
}

/// Reads one page of a partition.
pub async fn read_page(
    store: &dyn RowStore,
    table: &str,
    partition: &str,
    from: &str,
) -> Result<(Vec<StoredRow>, bool), StoreError> {
    let call = StoreCall::Read {
        table: table.into(),
        partition: partition.into(),
        from: from.into(),
        to: "".into(),
        limit: PAGE_ROWS,
    };
    match store.call(&call).await? {
        StoreReply::Rows { rows, more, .. } => Ok((rows, more)),
        _ => Err(StoreError::Unknown),
    }
}

/// Reads a whole partition.
pub async fn read_all(store: &dyn RowStore, table: &str, partition: &str) -> Result<Vec<StoredRow>, StoreError> {
    read_from(store, table, partition, "").await
}

/// Reads a partition from a key on.
pub async fn read_from(
    store: &dyn RowStore,
    table: &str,
    partition: &str,
    first: &str,
) -> Result<Vec<StoredRow>, StoreError> {
    let mut all: Vec<StoredRow> = Vec::new();
    loop {
        let from = all.last().map_or_else(|| first.to_owned(), |row| format!("{}\u{1}", row.key));
        let (rows, more) = read_page(store, table, partition, &from).await?;
        let is_over = !more || rows.is_empty();
        all.extend(rows);
        if is_over {
            return Ok(all);
        }
    }
}
