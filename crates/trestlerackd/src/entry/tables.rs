//! Tables of the entry service in the store, and helpers to read and write them.
//!
//! The writers and conditions of each row are described in
//! [docs/PLATFORM.md](../../../../docs/PLATFORM.md).

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use trestlerack::Name;
use trestlerack::interfaces::StoreError;
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply, StoredRow};
use trestlerack_platform as platform;

/// Small rows that every node watches: job records, ends of jobs, nodes, engine assignments and the lease.
pub const STATE: &str = "state";

/// Results of jobs, one or more rows for each position.
pub const RESULTS: &str = "results";

/// Submissions of jobs.
pub const SPECS: &str = "specs";

/// Failures of items without a result, one row for each write of a driver. The counts of all rows of an item are joined
/// by their maximum.
pub const FAILURES: &str = "failures";

/// Checkpoints of items without a result: texts generated while the job is driven have keys with the
/// prefix [`CHECKPOINT_LOG`], and those that its driver left at the end have the prefix
/// [`FINAL_CHECKPOINT`].
pub const CHECKPOINTS: &str = "kept";

/// Key prefix of rows with the text generated since the previous row.
pub const CHECKPOINT_LOG: &str = "a-log";

/// Key prefix of rows that a driver left at the end; sorts after [`CHECKPOINT_LOG`].
pub const FINAL_CHECKPOINT: &str = "b-end";

/// Partition of [`STATE`] that holds a row for each engine.
pub const ENGINES: &str = "engines";

/// Partition of [`STATE`] that holds the order lease.
pub const LEASES: &str = "leases";

/// Partition of [`STATE`] that holds a row for each server that crashed while it ran a request.
pub const SUSPECTS: &str = "suspects";

/// Key of the lease on weight orders.
pub const ORDER_LEASE: &str = "orders";

/// Table and partition of usage reports and of the nodes' usage counts. No node watches it.
pub const USAGE: &str = "usage";

/// Table and partition of engines ordered from the platform. No node watches it.
pub const ENGINE_ORDERS: &str = "engine-orders";

/// Key of the record of a job.
pub const JOB_RECORD: &str = "head";

/// Key of the row that exists once a client has ended a job.
pub const JOB_END: &str = "end";

/// Maximum rows of a page, a limit of the store.
pub const MAX_PAGE_ROWS: usize = 500;

/// Maximum rows written by a transaction. The store allows 100 entries, including conditions.
pub const MAX_COMMIT_ROWS: usize = 90;

/// Maximum bytes written by a transaction. The store allows 1 MB, and its encoding adds a third.
pub const MAX_COMMIT_BYTES: usize = 600_000;

/// Returns whether a store call or its reply may contain the body of a request or a text that was generated for one.
/// The tables that nodes watch contain none.
pub fn contains_bodies(call: &StoreCall) -> bool {
    let is_watched = |table: &str| [STATE, platform::OPERATOR_TABLE, platform::SERVER_TABLE].contains(&table);
    match call {
        StoreCall::Read { table, .. } | StoreCall::Watch { table, .. } | StoreCall::Partitions { table, .. } => {
            !is_watched(table)
        }
        StoreCall::Commit(_)
        | StoreCall::PutObject { .. }
        | StoreCall::GetObject { .. }
        | StoreCall::RemoveObject { .. } => true,
    }
}

/// Encodes the content of a row as CBOR.
pub fn encode(content: &impl Serialize) -> Bytes {
    let mut bytes = Vec::new();
    // Writing to memory cannot fail, and every stored type can be encoded.
    ciborium::into_writer(content, &mut bytes).expect("stored types can be encoded");
    bytes.into()
}

/// Decodes the content of a row.
///
/// # Errors
///
/// Returns [`StoreError::Unknown`] for content of another type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StoreError> {
    ciborium::from_reader(bytes).map_err(|_| StoreError::Unknown)
}

/// Splits content into chunks of at most `row_bytes`, and adds a write for each chunk to a transaction.
///
/// The first chunk has the key itself. The others have the key with a numeric suffix, so that a read in
/// key order returns all chunks one after another.
pub fn put_chunked(
    mut transaction: RowTransaction,
    table: &str,
    key: &str,
    content: &Bytes,
    row_bytes: usize,
) -> RowTransaction {
    let chunks = content.len().div_ceil(row_bytes).max(1);
    for index in 0..chunks {
        let chunk = content.slice(index * row_bytes..content.len().min((index + 1) * row_bytes));
        let key = if index == 0 { key.to_owned() } else { format!("{key}.{index:04}") };
        transaction = transaction.put(table, &key, chunk);
    }
    transaction
}

/// Joins the chunks written by [`put_chunked`]. Rows must be in key order.
pub fn join_chunks(rows: Vec<StoredRow>) -> Vec<(Name, Bytes)> {
    let mut joined: Vec<(Name, Vec<Bytes>)> = Vec::new();
    for row in rows {
        match joined.last_mut() {
            Some((key, chunks)) if row.key.len() > key.len() && row.key.starts_with(&format!("{key}.")) => {
                chunks.push(row.value);
            }
            _ => joined.push((row.key, vec![row.value])),
        }
    }
    let join = |chunks: Vec<Bytes>| match <[Bytes; 1]>::try_from(chunks) {
        Ok([single]) => single,
        Err(chunks) => Bytes::from(chunks.concat()),
    };
    joined.into_iter().map(|(key, chunks)| (key, join(chunks))).collect()
}

/// Reads one page of a partition from the key `from` on. Returns its rows and whether there are more.
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
        limit: MAX_PAGE_ROWS,
    };
    match store.call(&call).await? {
        StoreReply::Rows { rows, more, .. } => Ok((rows, more)),
        _ => Err(StoreError::Unknown),
    }
}

/// Reads all rows of a partition.
pub async fn read_all(store: &dyn RowStore, table: &str, partition: &str) -> Result<Vec<StoredRow>, StoreError> {
    read_from(store, table, partition, "").await
}

/// Reads all rows of a partition from the key `first` on.
pub async fn read_from(
    store: &dyn RowStore,
    table: &str,
    partition: &str,
    first: &str,
) -> Result<Vec<StoredRow>, StoreError> {
    let mut rows: Vec<StoredRow> = Vec::new();
    loop {
        let from = rows.last().map_or_else(|| first.to_owned(), |row| format!("{}\u{1}", row.key));
        let (page, more) = read_page(store, table, partition, &from).await?;
        let is_last_page = !more || page.is_empty();
        rows.extend(page);
        if is_last_page {
            return Ok(rows);
        }
    }
}
