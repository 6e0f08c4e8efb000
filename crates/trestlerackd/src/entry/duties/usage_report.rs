//! Reports usage to the platform; runs on the lease holder.
//!
//! The report of a window is stored before it is first sent, on condition that none is stored yet, so that every holder
//! and every retry sends the same report. The snapshots that nodes sent are stored each second, because a node that has
//! crashed cannot send them to the next holder.

use super::calls::DutyCaller;
use crate::entry::node::EntryNode;
use crate::entry::tables;
use crate::process::clock;
use crate::process::logs;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{UsageReport, UsageSettings, UsageSnapshot, WindowSnapshots};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform::{self as platform, DutyOutcome};

/// Interval between two checks for windows to report.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the snapshots that nodes sent are stored. If a holder and other nodes crash together, the counts
/// that these nodes sent since the last save are lost.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before a report that was rejected for its rate or not answered is sent again.
const RETRY_BACKOFF: Duration = Duration::from_millis(400);

/// Maximum number of open windows: the current one and those that still wait for snapshots.
const MAX_OPEN_WINDOWS: usize = 4;

/// Prefix of the keys of reports.
const REPORT_PREFIX: &str = "report-";

/// Prefix of the keys of the snapshots of a window.
const SNAPSHOTS_PREFIX: &str = "notes-";

/// State of the reports on the lease holder.
struct ReportState {
    /// Fencing token of the lease under which the state was loaded.
    fence: u64,
    /// Time of day from which this holder receives snapshots, in milliseconds.
    receiving_since_ms: u64,
    /// First window whose report is not stored yet.
    next_window: u64,
    /// First window whose report is stored even if it is empty.
    report_empty_from: u64,
    /// Reports that the platform may not have received.
    unsent: BTreeMap<u64, UsageReport>,
    /// Reports that the platform has received and whose rows are not yet marked as sent.
    unmarked: BTreeMap<u64, UsageReport>,
    /// Keys of rows of expired windows, which are removed with the next report.
    expired_keys: Vec<Name>,
    saved_at: Timestamp,
    /// Snapshots as last stored, by window.
    saved: BTreeMap<u64, WindowSnapshots>,
    /// Keys under which snapshots were stored, by window.
    snapshot_keys: BTreeMap<u64, Vec<Name>>,
    retry_at: Timestamp,
}

/// Reports usage while this node holds the lease, until the process ends.
pub async fn report_usage(node: Arc<EntryNode>, settings: UsageSettings) {
    let caller = DutyCaller::new(&node);
    let mut state: Option<ReportState> = None;
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        let Some(fence) = node.lease.fence(node.now()) else {
            state = None;
            continue;
        };
        if state.as_ref().is_none_or(|state| state.fence != fence) {
            state = match load_state(&node, settings, fence).await {
                Ok(loaded) => Some(loaded),
                Err(error) => {
                    logs::write(event::ROW_REFUSED, &[("key", &tables::USAGE), ("why", &error)]);
                    None
                }
            };
        }
        let Some(state) = &mut state else { continue };
        let wall_ms = node.usage.wall_ms();
        while settings.should_sum(state.next_window, wall_ms, state.receiving_since_ms) {
            if !store_report(&node, settings, state, wall_ms).await {
                break;
            }
        }
        send_reports(&node, &caller, state).await;
        save_snapshots(&node, state).await;
    }
}

fn report_key(window: u64) -> Name {
    format!("{REPORT_PREFIX}{window:020}").into()
}

fn snapshots_key(window: u64) -> Name {
    format!("{SNAPSHOTS_PREFIX}{window:020}").into()
}

/// Returns the number of the window in a key; the key may have more after the number.
fn window_of(key: &str, prefix: &str) -> Option<u64> {
    key.strip_prefix(prefix)?.get(..20)?.parse().ok()
}

/// Reads the reports and snapshots that previous lease holders have stored.
async fn load_state(node: &Arc<EntryNode>, settings: UsageSettings, fence: u64) -> Result<ReportState, StoreError> {
    let rows = tables::read_all(&node.store, tables::USAGE, tables::USAGE).await?;
    let wall_ms = node.usage.wall_ms();
    let first_kept = settings.first_kept(wall_ms);
    let mut state = ReportState {
        fence,
        receiving_since_ms: wall_ms,
        // Used if no report is stored: requests may have run before the first holder loaded its state.
        next_window: settings.first_kept(wall_ms),
        report_empty_from: settings.window_at(wall_ms),
        unsent: BTreeMap::new(),
        unmarked: BTreeMap::new(),
        expired_keys: Vec::new(),
        saved_at: node.now(),
        saved: BTreeMap::new(),
        snapshot_keys: BTreeMap::new(),
        retry_at: Timestamp::default(),
    };
    let keys: Vec<Name> = rows.iter().map(|row| row.key.clone()).collect();
    let is_expired_key = |key: &str| {
        let window = window_of(key, REPORT_PREFIX).or_else(|| window_of(key, SNAPSHOTS_PREFIX));
        window.is_some_and(|window| window < first_kept)
    };
    state.expired_keys = keys.into_iter().filter(|key| is_expired_key(key)).collect();
    let mut newest = None;
    for (key, content) in tables::join_pieces(rows) {
        if let Some(window) = window_of(&key, REPORT_PREFIX) {
            let report: UsageReport = tables::decode(&content)?;
            newest = newest.max(Some(window));
            if !report.is_sent && window >= first_kept {
                state.unsent.insert(window, report);
            }
        } else if let Some(window) = window_of(&key, SNAPSHOTS_PREFIX).filter(|window| *window >= first_kept) {
            let snapshots: WindowSnapshots = tables::decode(&content)?;
            let mut collector = node.usage.collector.lock().unwrap();
            snapshots.into_iter().for_each(|(sender, snapshot)| {
                collector.merge(&sender, UsageSnapshot { window, ..snapshot });
            });
        }
    }
    if let Some(newest) = newest {
        state.next_window = newest + 1;
        state.report_empty_from = state.next_window;
    }
    let fields: [(&str, &dyn std::fmt::Display); 3] =
        [("fence", &fence), ("next", &state.next_window), ("unsent", &state.unsent.len())];
    logs::write(event::USAGE_OPENED, &fields);
    Ok(state)
}

/// Stores the report of the next window, or loads it if it is already stored. Returns whether this succeeded and the
/// next window can follow.
async fn store_report(node: &Arc<EntryNode>, settings: UsageSettings, state: &mut ReportState, wall_ms: u64) -> bool {
    let window = state.next_window;
    if settings.is_expired(window, wall_ms) {
        skip_missed_windows(node, state, settings.first_kept(wall_ms));
        return true;
    }
    let report = UsageReport { counts: node.usage.collector.lock().unwrap().total(window), is_sent: false };
    if report.counts.is_empty() && window < state.report_empty_from {
        state.next_window += 1;
        return true;
    }
    let key = report_key(window);
    let mut transaction = RowTransaction::new(tables::USAGE).expect(tables::USAGE, &key, 0).put(
        tables::USAGE,
        &key,
        tables::encode(&report),
    );
    for (window, report) in &state.unmarked {
        let marked = UsageReport { is_sent: true, ..report.clone() };
        transaction = transaction.put(tables::USAGE, &report_key(*window), tables::encode(&marked));
    }
    for key in state.expired_keys.iter().take(tables::COMMIT_ROWS / 2) {
        transaction = transaction.remove(tables::USAGE, key);
    }
    let stored = match node.store.call(&StoreCall::Commit(transaction)).await {
        Ok(StoreReply::Committed(_)) => {
            state.unmarked.clear();
            let removed = state.expired_keys.len().min(tables::COMMIT_ROWS / 2);
            state.expired_keys.drain(..removed);
            Some(report)
        }
        // The report was stored by an earlier attempt of this node or by the previous holder.
        Ok(StoreReply::Conflict(rows)) => {
            let row = rows.into_iter().find(|row| row.key == key);
            row.and_then(|row| tables::decode(&row.value).ok())
        }
        Ok(_) | Err(_) => None,
    };
    let Some(report) = stored else { return false };
    let requests: u64 = report.counts.values().sum();
    let fields: [(&str, &dyn std::fmt::Display); 3] =
        [("window", &window), ("customers", &report.counts.len()), ("requests", &requests)];
    logs::write(event::USAGE_STORED, &fields);
    queue_expired_rows(state, settings.first_kept(wall_ms));
    state.unsent.insert(window, report);
    state.next_window += 1;
    true
}

/// Skips the windows before `first_kept`, for which the time to report has passed. Writes one log line for all of
/// them, because the system may have been down for days.
fn skip_missed_windows(node: &EntryNode, state: &mut ReportState, first_kept: u64) {
    let missed = first_kept.saturating_sub(state.next_window);
    let fields: [(&str, &dyn std::fmt::Display); 3] =
        [("window", &state.next_window), ("windows", &missed), ("why", &"no node reported them in time")];
    logs::write(event::USAGE_MISSED, &fields);
    node.metrics.record_missed_usage(missed);
    state.next_window = first_kept;
}

/// Queues the rows of expired windows for removal with the next report.
fn queue_expired_rows(state: &mut ReportState, first_kept: u64) {
    let kept = state.snapshot_keys.split_off(&first_kept);
    let expired = std::mem::replace(&mut state.snapshot_keys, kept);
    state.expired_keys.extend(expired.into_values().flatten());
    if let Some(window) = first_kept.checked_sub(1) {
        state.expired_keys.push(report_key(window));
    }
}

/// Sends the oldest unsent report to the platform.
async fn send_reports(node: &Arc<EntryNode>, caller: &DutyCaller, state: &mut ReportState) {
    if node.now() < state.retry_at {
        return;
    }
    let Some((window, report)) = state.unsent.first_key_value().map(|(window, report)| (*window, report.clone()))
    else {
        return;
    };
    let encode = |holder: platform::LeaseHolder<'_>| platform::encode_usage_report(holder, window, &report.counts);
    let Some((fence, answer)) = caller.call(node, encode).await else { return };
    logs::write(event::USAGE_REPORTED, &[("window", &window), ("fence", &fence), ("answer", &answer.as_str())]);
    match answer {
        DutyOutcome::Done => {
            state.unsent.remove(&window);
            state.unmarked.insert(window, report);
        }
        // The same report would be refused again, and later windows must not wait for it.
        DutyOutcome::Refused | DutyOutcome::NoneLeft => {
            state.unsent.remove(&window);
            node.metrics.record_missed_usage(1);
        }
        DutyOutcome::RateLimited | DutyOutcome::Unknown => state.retry_at = node.now() + RETRY_BACKOFF,
    }
}

/// Stores the snapshots of the windows without a stored report, if they have changed.
async fn save_snapshots(node: &Arc<EntryNode>, state: &mut ReportState) {
    if node.now().since(state.saved_at) < SAVE_INTERVAL {
        return;
    }
    state.saved_at = node.now();
    let open: Vec<(u64, WindowSnapshots)> = {
        let collector = node.usage.collector.lock().unwrap();
        let snapshots = (state.next_window..)
            .take(MAX_OPEN_WINDOWS)
            .filter_map(|window| Some((window, collector.snapshots(window)?.clone())));
        snapshots.filter(|(window, snapshots)| state.saved.get(window) != Some(snapshots)).collect()
    };
    if open.is_empty() {
        return;
    }
    let mut transaction = RowTransaction::new(tables::USAGE);
    for (window, snapshots) in &open {
        let content = tables::encode(snapshots);
        let bytes = node.settings.store_row_bytes;
        let first_write = transaction.writes.len();
        transaction = tables::put_pieces(transaction, tables::USAGE, &snapshots_key(*window), &content, bytes);
        let keys = transaction.writes[first_write..].iter().map(|write| write.key.clone()).collect();
        state.snapshot_keys.insert(*window, keys);
    }
    if let Ok(StoreReply::Committed(_)) = node.store.call(&StoreCall::Commit(transaction)).await {
        state.saved.extend(open);
        let next_window = state.next_window;
        state.saved.retain(|window, _| *window >= next_window);
    }
}
