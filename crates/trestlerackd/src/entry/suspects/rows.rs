//! Strikes as rows of the system's own table, which every node watches.

use super::desk::{RowChange, StrikeKey};
use super::{StrikeSource, gossip, join};
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

/// Rows of strikes that are kept in the store; each is read by every node that starts.
const MOST_ROWS: usize = 4_096;

/// A strike as a row holds it.
#[derive(Serialize, Deserialize)]
struct StrikeRow {
    fingerprint: RequestFingerprint,
    server: u64,
    is_trial: bool,
    /// When the server ended, on the store's clock.
    at_ms: u64,
}

/// Time after which a process that started serves without the strikes that are known: the store does not
/// answer it, directly or through peers, and it would not have a configuration either.
const LOOK_TIME: Duration = Duration::from_secs(1);

/// Pause before the rows are read again that could not be read.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Reads the strikes that are known as this process starts. They are read before the other rows, of which
/// there may be many: a node that serves without them would end servers that others spare.
pub async fn read_at_start(node: Arc<EntryNode>) {
    let reading = async {
        loop {
            match tables::read_all(&node.store, tables::STATE, tables::SUSPECTS).await {
                Ok(rows) => return rows,
                // The caller bounds how often it is tried, and the watch reads them again.
                Err(_) => clock::sleep(LOOK_PAUSE).await,
            }
        }
    };
    let rows = clock::timeout(LOOK_TIME, reading).await.unwrap_or_default();
    for row in rows {
        if let Err(error) = apply_row(&node, &row) {
            logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]);
        }
    }
    node.suspects.set_looked();
}

/// Takes over the row of a strike.
pub fn apply_row(node: &Arc<EntryNode>, row: &StoredRow) -> Result<(), StoreError> {
    if row.removed {
        let (fingerprint, server) = decode_key(&row.key).ok_or(StoreError::Unknown)?;
        node.suspects.book().clear(fingerprint, server);
        return Ok(());
    }
    let strike: StrikeRow = tables::decode(&row.value)?;
    let age_ms = node.store.clock_ms().saturating_sub(strike.at_ms);
    let StrikeRow { fingerprint, server, is_trial, .. } = strike;
    join(
        node,
        &[CrashReport { fingerprint, server_start: server, is_trial, is_cleared: false, age_ms }],
        StrikeSource::Store,
    );
    Ok(())
}

fn encode_key((fingerprint, server): &StrikeKey) -> String {
    format!("{fingerprint}-{server:016x}")
}

fn decode_key(key: &str) -> Option<StrikeKey> {
    let (fingerprint, server) = key.split_once('-')?;
    Some((fingerprint.parse().ok()?, u64::from_str_radix(server, 16).ok()?))
}

/// Stores strikes until the process ends.
pub async fn store_strikes(node: Arc<EntryNode>) {
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
                node.suspects.tell(&gossip::newest_notes(&node));
            }
            failures += 1;
            node.suspects.return_unstored(changes);
            node.store.wait_before_retry(error, failures, failure_backoff(failures, rand::random())).await;
        }
    }
}

async fn commit(node: &Arc<EntryNode>, changes: &[(StrikeKey, RowChange)]) -> Result<(), StoreError> {
    let now = node.now();
    let mut transaction = RowTransaction::new(tables::SUSPECTS);
    for (key, change) in changes {
        let row_key = encode_key(key);
        transaction = match change {
            RowChange::Remove => transaction.remove(tables::STATE, &row_key),
            RowChange::Put { at, is_trial } => {
                let at_ms = node.store.clock_ms().saturating_sub(millis(now.since(*at)));
                let row = StrikeRow { fingerprint: key.0, server: key.1, is_trial: *is_trial, at_ms };
                transaction.put(tables::STATE, &row_key, tables::encode(&row))
            }
        };
    }
    match node.store.call(&StoreCall::Commit(transaction)).await? {
        StoreReply::Committed(_) => Ok(()),
        _ => Err(StoreError::Unknown),
    }
}

/// Removes the rows of strikes that no longer count, and the oldest of too many.
pub async fn sweep_rows(node: &Arc<EntryNode>) -> Result<(), StoreError> {
    let rows = tables::read_all(&node.store, tables::STATE, tables::SUSPECTS).await?;
    let clock_ms = node.store.clock_ms();
    let life_ms = millis(SuspectSettings::default().retention);
    let at_ms = |row: &StoredRow| tables::decode::<StrikeRow>(&row.value).map_or(0, |strike| strike.at_ms);
    let mut dated: Vec<(u64, Name)> = rows.iter().map(|row| (at_ms(row), row.key.clone())).collect();
    dated.sort();
    let surplus = dated.len().saturating_sub(MOST_ROWS);
    // A content is held until `life` after its last strike, so the ones before may be twice as old.
    let is_over = |(place, (at_ms, _)): &(usize, &(u64, Name))| *place < surplus || at_ms + 2 * life_ms <= clock_ms;
    let over: Vec<&Name> = dated.iter().enumerate().filter(is_over).map(|(_, (_, key))| key).collect();
    for keys in over.chunks(tables::MAX_COMMIT_ROWS) {
        let transaction =
            keys.iter().fold(RowTransaction::new(tables::SUSPECTS), |tx, key| tx.remove(tables::STATE, key));
        node.store.call(&StoreCall::Commit(transaction)).await?;
    }
    Ok(())
}
