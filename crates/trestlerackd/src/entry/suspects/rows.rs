//! Crash reports and recovery trials as rows of the system's own table, which every node watches.

use super::control::{RowChange, SuspectKey};
use super::{gossip, merge_stored};
use crate::entry::node::EntryNode;
use crate::entry::tables;
use crate::process::{clock, logs};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{CrashReport, RunProgress, SuspectSettings, failure_backoff};
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
    /// How far the content got on the server.
    #[serde(default)]
    progress: RunProgress,
}

/// A recovery trial that was used, and the part of a [`CrashRow`] that both kinds of rows have.
#[derive(Serialize, Deserialize)]
struct RecoveryRow {
    /// Time on the store's clock, in milliseconds.
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

/// Applies the row of a crash report or of a recovery trial.
pub fn apply_row(node: &Arc<EntryNode>, row: &StoredRow) -> Result<(), StoreError> {
    match decode_key(&row.key).ok_or(StoreError::Unknown)? {
        SuspectKey::Crash(fingerprint, server_start) if row.removed => {
            node.suspects.tracker().clear(fingerprint, server_start);
        }
        SuspectKey::RecoveryTrial(fingerprint, number) if row.removed => {
            node.suspects.tracker().restore_recovery_trial(fingerprint, number);
        }
        SuspectKey::Crash(..) => {
            let CrashRow { fingerprint, server_start, is_trial, at_ms, progress } = tables::decode(&row.value)?;
            let age_ms = node.store.clock_ms().saturating_sub(at_ms);
            let report = CrashReport { fingerprint, server_start, is_trial, is_cleared: false, age_ms };
            merge_stored(node, &report, progress);
        }
        SuspectKey::RecoveryTrial(fingerprint, number) => {
            let RecoveryRow { at_ms } = tables::decode(&row.value)?;
            let age = Duration::from_millis(node.store.clock_ms().saturating_sub(at_ms));
            node.suspects.tracker().record_recovery_trial(node.now() - age, fingerprint, number);
        }
    }
    Ok(())
}

/// Prefix of the number in the key of a recovery trial's row. It contains no hexadecimal number, so that the key differs
/// from that of a crash report.
const RECOVERY_PREFIX: &str = "recovery-";

fn encode_key(key: &SuspectKey) -> String {
    match key {
        SuspectKey::Crash(fingerprint, server_start) => format!("{fingerprint}-{server_start:016x}"),
        SuspectKey::RecoveryTrial(fingerprint, number) => format!("{fingerprint}-{RECOVERY_PREFIX}{number}"),
    }
}

fn decode_key(key: &str) -> Option<SuspectKey> {
    let (fingerprint, rest) = key.split_once('-')?;
    let fingerprint = fingerprint.parse().ok()?;
    match rest.strip_prefix(RECOVERY_PREFIX) {
        Some(number) => Some(SuspectKey::RecoveryTrial(fingerprint, number.parse().ok()?)),
        None => Some(SuspectKey::Crash(fingerprint, u64::from_str_radix(rest, 16).ok()?)),
    }
}

/// Reserves a recovery trial at all nodes: the first to write its row may use it.
pub(super) async fn reserve_recovery_trial(
    node: &Arc<EntryNode>,
    fingerprint: RequestFingerprint,
    number: u32,
) -> Result<StoreReply, StoreError> {
    let row_key = encode_key(&SuspectKey::RecoveryTrial(fingerprint, number));
    let row = tables::encode(&RecoveryRow { at_ms: node.store.clock_ms() });
    let transaction =
        RowTransaction::new(tables::SUSPECTS).expect(tables::STATE, &row_key, 0).put(tables::STATE, &row_key, row);
    node.store.call(&StoreCall::Commit(transaction)).await
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
            node.store.wait_before_retry(error, failures, failure_backoff(failures, rand::random())).await;
        }
    }
}

async fn commit(node: &Arc<EntryNode>, changes: &[(SuspectKey, RowChange)]) -> Result<(), StoreError> {
    let now = node.now();
    let mut transaction = RowTransaction::new(tables::SUSPECTS);
    for (key, change) in changes {
        let row_key = encode_key(key);
        transaction = match (*key, *change) {
            (SuspectKey::Crash(fingerprint, server_start), RowChange::Put { at, is_trial }) => {
                let at_ms = node.store.clock_ms().saturating_sub(millis(now.since(at)));
                let progress = node.suspects.tracker().progress_at(fingerprint, server_start);
                let row = CrashRow { fingerprint, server_start, is_trial, at_ms, progress };
                transaction.put(tables::STATE, &row_key, tables::encode(&row))
            }
            // The row of a recovery trial is written when the trial is reserved.
            (SuspectKey::RecoveryTrial(..), RowChange::Put { .. }) => transaction,
            (_, RowChange::Remove) => transaction.remove(tables::STATE, &row_key),
        };
    }
    match node.store.call(&StoreCall::Commit(transaction)).await? {
        StoreReply::Committed(_) => Ok(()),
        _ => Err(StoreError::Unknown),
    }
}

/// Removes the rows of expired crash reports and recovery trials, and the oldest ones above [`MAX_ROWS`].
pub async fn sweep_rows(node: &Arc<EntryNode>) -> Result<(), StoreError> {
    let rows = tables::read_all(&node.store, tables::STATE, tables::SUSPECTS).await?;
    let clock_ms = node.store.clock_ms();
    let retention_ms = millis(SuspectSettings::default().retention);
    let at_ms = |row: &StoredRow| tables::decode::<RecoveryRow>(&row.value).map_or(0, |row| row.at_ms);
    let mut dated: Vec<(u64, Name)> = rows.iter().map(|row| (at_ms(row), row.key.clone())).collect();
    dated.sort();
    let surplus = dated.len().saturating_sub(MAX_ROWS);
    // A content is blocked until the retention time after its last report, so the ones before may be twice as old.
    let is_expired =
        |(index, (at_ms, _)): &(usize, &(u64, Name))| *index < surplus || at_ms + 2 * retention_ms <= clock_ms;
    let expired: Vec<&Name> = dated.iter().enumerate().filter(is_expired).map(|(_, (_, key))| key).collect();
    for keys in expired.chunks(tables::MAX_COMMIT_ROWS) {
        let transaction =
            keys.iter().fold(RowTransaction::new(tables::SUSPECTS), |tx, key| tx.remove(tables::STATE, key));
        node.store.call(&StoreCall::Commit(transaction)).await?;
    }
    Ok(())
}
