//! Builds pages of a job's recorded results from the rows that hold them.

use super::tables;
use bytes::Bytes;
use trestlerack::Name;
use trestlerack::interfaces::StoreError;
use trestlerack::request::JobResult;

/// Returns the row key of the result at a position. Keys have the order of positions.
pub fn result_key(position: usize) -> String {
    format!("{position:08}")
}

/// Decodes the results of one page, at most `max_bytes` bytes of them, but at least one if there is one at `from`.
///
/// The page ends where a position is missing. The rows of an expired job are removed in several transactions, so the
/// first row that is left may belong to a later position, at which a reader must not get its result.
pub fn decode_page(rows: Vec<(Name, Bytes)>, from: usize, max_bytes: usize) -> Result<Vec<JobResult>, StoreError> {
    let (mut results, mut bytes) = (Vec::new(), 0);
    for (key, content) in rows {
        bytes += content.len();
        let is_full = bytes > max_bytes && !results.is_empty();
        if is_full || *key != *result_key(from + results.len()) {
            break;
        }
        results.push(tables::decode(&content)?);
    }
    Ok(results)
}
