//! Crash reports as rows of the system's own table, which every node watches.

use super::control::{CrashKey, RowChange};
use super::{ReportSource, gossip, merge};
use crate::entry::node::EntryNode;
use crate::entry::tables;
use crate::process::{clock, logs};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{CrashReport, SuspectSettings, failure_backoff};
use trestlerack::request::RequestFingerprint;
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply, StoredRow};
use trestlerack::time::millis;
use trestlerack::{Name, event};

/// Most rows of crash reports that are kept in the store. Every node reads all of them when it starts.
const MAX_ROWS: usize = 4_096;

/// A crash report as it is stored in a row.
#[derive(Serialize, Deserialize)]
struct CrashRow {
    fingerprint: RequestFingerprint,
    #[serde(rename = "server")]
    server_start: u64,
    is_trial: bool,
    /// Time of the crash on the store's clock, in milliseconds.
    at_ms: u64,
}

/// Time limit for reading the stored reports at the start. After it the process serves without them: the store does
/// not respond directly or through peers, so that the process could not read a configuration either.
const START_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a failed read of the rows is retried.
const START_READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Reads the stored crash reports when the process starts. They are read before the other rows, of which there may
/// be many, since a node without them would send contents that other nodes block, and crash servers.
pub async fn read_at_start(node: Arc<EntryNode>) {
    let reading = async {
        loop {
            match tables::read_all(&node.store, tables::STATE, tables::SUSPECTS).await {
                Ok(rows) => return rows,
                // The timeout below limits the retries, and the watch reads the rows again.
                Err(_) => clock::sleep(START_READ_RETRY_DELAY).await,
            }
        }
    };
    let rows = clock::timeout(START_READ_TIMEOUT, reading).await.unwrap_or_default();
    for row in rows {
        if let Err(error) = apply_row(&node, &row) {
            logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]);
        }
    }
    node.suspects.set_reports_read();
}

/// Applies the row of a crash report.
pub fn apply_row(node: &Arc<EntryNode>, row: &StoredRow) -> Result<(), StoreError> {
    if row.removed {
        let (fingerprint, server_start) = decode_key(&row.key).ok_or(StoreError::Unknown)?;
        node.suspects.tracker().clear(fingerprint, server_start);
        return Ok(());
    }
    let crash: CrashRow = tables::decode(&row.value)?;
    let age_ms = node.store.clock_ms().saturating_sub(crash.at_ms);
    let CrashRow { fingerprint, server_start, is_trial, .. } = crash;
    merge(node, &[CrashReport { fingerprint, server_start, is_trial, is_cleared: false, age_ms }], ReportSource::Store);
    Ok(())
}

fn encode_key((fingerprint, server_start): &CrashKey) -> String {
    format!("{fingerprint}-{server_start:016x}")
}

fn decode_key(key: &str) -> Option<CrashKey> {
    let (fingerprint, server_start) = key.split_once('-')?;
    Some((fingerprint.parse().ok()?, u64::from_str_radix(server_start, 16).ok()?))
}

/// Stores crash reports until the process ends.
pub async fn store_reports(node: Arc<EntryNode>) {
    loop {
        node.suspects.has_unstored.notified().await;
        let mut failures = 0;
        loop {
            let changes = node.suspects.take_unstored();
            if changes.is_empty() {
                break;
            }
            let Err(error) = commit(&node, &changes).await else { continue };
            if failures == 0 {
                logs::write(event::STRIKES_WAIT, &[("count", &changes.len()), ("why", &error)]);
                node.suspects.queue_for_peers(&gossip::newest_reports(&node));
            }
            failures += 1;
            node.suspects.requeue_unstored(changes);
            node.store.pause_after(error, failures, failure_backoff(failures, rand::random())).await;
        }
    }
}

async fn commit(node: &Arc<EntryNode>, changes: &[(CrashKey, RowChange)]) -> Result<(), StoreError> {
    let now = node.now();
    let mut transaction = RowTransaction::new(tables::SUSPECTS);
    for (key, change) in changes {
        let row_key = encode_key(key);
        transaction = match change {
            RowChange::Remove => transaction.remove(tables::STATE, &row_key),
            RowChange::Put { at, is_trial } => {
                let at_ms = node.store.clock_ms().saturating_sub(millis(now.since(*at)));
                let row = CrashRow { fingerprint: key.0, server_start: key.1, is_trial: *is_trial, at_ms };
                transaction.put(tables::STATE, &row_key, tables::encode(&row))
            }
        };
    }
    match node.store.call(&StoreCall::Commit(transaction)).await? {
        StoreReply::Committed(_) => Ok(()),
        _ => Err(StoreError::Unknown),
    }
}

/// Removes the rows of expired crash reports, and the oldest ones above [`MAX_ROWS`].
pub async fn sweep_rows(node: &Arc<EntryNode>) -> Result<(), StoreError> {
    let rows = tables::read_all(&node.store, tables::STATE, tables::SUSPECTS).await?;
    let clock_ms = node.store.clock_ms();
    let retention_ms = millis(SuspectSettings::default().retention);
    let at_ms = |row: &StoredRow| tables::decode::<CrashRow>(&row.value).map_or(0, |crash| crash.at_ms);
    let mut dated: Vec<(u64, Name)> = rows.iter().map(|row| (at_ms(row), row.key.clone())).collect();
    dated.sort();
    let surplus = dated.len().saturating_sub(MAX_ROWS);
    // A content is blocked until the retention time after its last report, so the ones before may be twice as old.
    let is_expired =
        |(index, (at_ms, _)): &(usize, &(u64, Name))| *index < surplus || at_ms + 2 * retention_ms <= clock_ms;
    let expired: Vec<&Name> = dated.iter().enumerate().filter(is_expired).map(|(_, (_, key))| key).collect();
    for keys in expired.chunks(tables::COMMIT_ROWS) {
        let transaction =
            keys.iter().fold(RowTransaction::new(tables::SUSPECTS), |tx, key| tx.remove(tables::STATE, key));
        node.store.call(&StoreCall::Commit(transaction)).await?;
    }
    Ok(())
}
