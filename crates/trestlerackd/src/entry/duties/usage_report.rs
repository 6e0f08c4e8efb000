//! Reports usage to the platform, on the holder of the lease.
//!
//! The report of a window is stored on condition that there is none before it is first sent, so
//! whoever sends it, now or again, sends the same. What nodes told is stored each second, because
//! a node that died cannot tell it to the next holder.

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
use trestlerack_platform::{self as platform, DutyAnswer};

/// Interval between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which what nodes told is stored. A holder that dies loses what nodes that die with it
/// told since.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// Pause after a report that was not taken.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Windows that may be open at a time: the one that goes on and those that wait for their notes.
const OPEN_WINDOWS: usize = 4;

/// Begins the keys of reports.
const REPORT_PREFIX: &str = "report-";

/// Begins the keys of what nodes told of a window.
const NOTES_PREFIX: &str = "notes-";

/// What the holder knows of the reports.
struct ReportDesk {
    fence: u64,
    /// Time of day from which nodes tell this holder.
    listening_ms: u64,
    /// First window whose report is not stored.
    next: u64,
    /// First window whose report is stored even if it is empty.
    report_empty_from: u64,
    /// Reports that the platform may not have.
    unsent: BTreeMap<u64, UsageReport>,
    /// Windows whose report the platform has and whose row does not say so.
    unmarked: BTreeMap<u64, UsageReport>,
    /// Rows of windows that are over.
    old_keys: Vec<Name>,
    saved_at: Timestamp,
    saved: BTreeMap<u64, WindowSnapshots>,
    /// Keys under which notes were stored, by window.
    note_keys: BTreeMap<u64, Vec<Name>>,
    retry_at: Timestamp,
}

/// Reports while this node holds the lease, until the process ends.
pub async fn report(node: Arc<EntryNode>, settings: UsageSettings) {
    let caller = DutyCaller::new(&node);
    let mut desk: Option<ReportDesk> = None;
    loop {
        clock::sleep(LOOK_INTERVAL).await;
        let Some(fence) = node.lease.fence(node.now()) else {
            desk = None;
            continue;
        };
        if desk.as_ref().is_none_or(|desk| desk.fence != fence) {
            desk = match open(&node, settings, fence).await {
                Ok(opened) => Some(opened),
                Err(error) => {
                    logs::write(event::ROW_REFUSED, &[("key", &tables::USAGE), ("why", &error)]);
                    None
                }
            };
        }
        let Some(desk) = &mut desk else { continue };
        let wall_ms = node.usage.wall_ms();
        while settings.should_sum(desk.next, wall_ms, desk.listening_ms) {
            if !store_report(&node, settings, desk, wall_ms).await {
                break;
            }
        }
        send_reports(&node, &caller, desk).await;
        save_notes(&node, desk).await;
    }
}

fn report_key(window: u64) -> Name {
    format!("{REPORT_PREFIX}{window:020}").into()
}

fn notes_key(window: u64) -> Name {
    format!("{NOTES_PREFIX}{window:020}").into()
}

/// Returns the window that a key names, with what follows the number.
fn window_of(key: &str, prefix: &str) -> Option<u64> {
    key.strip_prefix(prefix)?.get(..20)?.parse().ok()
}

/// Reads what the holders before have stored.
async fn open(node: &Arc<EntryNode>, settings: UsageSettings, fence: u64) -> Result<ReportDesk, StoreError> {
    let rows = tables::read_all(&node.store, tables::USAGE, tables::USAGE).await?;
    let wall_ms = node.usage.wall_ms();
    let first_kept = settings.first_kept(wall_ms);
    let mut desk = ReportDesk {
        fence,
        listening_ms: wall_ms,
        // Used if no report is stored: requests may have run before the first holder opened its reports.
        next: settings.first_kept(wall_ms),
        report_empty_from: settings.window_at(wall_ms),
        unsent: BTreeMap::new(),
        unmarked: BTreeMap::new(),
        old_keys: Vec::new(),
        saved_at: node.now(),
        saved: BTreeMap::new(),
        note_keys: BTreeMap::new(),
        retry_at: Timestamp::default(),
    };
    let keys: Vec<Name> = rows.iter().map(|row| row.key.clone()).collect();
    let is_old = |key: &str| {
        let window = window_of(key, REPORT_PREFIX).or_else(|| window_of(key, NOTES_PREFIX));
        window.is_some_and(|window| window < first_kept)
    };
    desk.old_keys = keys.into_iter().filter(|key| is_old(key)).collect();
    let mut newest = None;
    for (key, content) in tables::join_chunks(rows) {
        if let Some(window) = window_of(&key, REPORT_PREFIX) {
            let report: UsageReport = tables::decode(&content)?;
            newest = newest.max(Some(window));
            if !report.is_sent && window >= first_kept {
                desk.unsent.insert(window, report);
            }
        } else if let Some(window) = window_of(&key, NOTES_PREFIX).filter(|window| *window >= first_kept) {
            let notes: WindowSnapshots = tables::decode(&content)?;
            let mut own = node.usage.desk.lock().unwrap();
            notes.into_iter().for_each(|(sender, note)| {
                own.merge(&sender, UsageSnapshot { window, ..note });
            });
        }
    }
    if let Some(newest) = newest {
        desk.next = newest + 1;
        desk.report_empty_from = desk.next;
    }
    let fields: [(&str, &dyn std::fmt::Display); 3] =
        [("fence", &fence), ("next", &desk.next), ("unsent", &desk.unsent.len())];
    logs::write(event::USAGE_OPENED, &fields);
    Ok(desk)
}

/// Stores the report of the next window, or finds the one that is stored. Returns whether the
/// window is done with.
async fn store_report(node: &Arc<EntryNode>, settings: UsageSettings, desk: &mut ReportDesk, wall_ms: u64) -> bool {
    let window = desk.next;
    if settings.is_expired(window, wall_ms) {
        skip_over(node, desk, settings.first_kept(wall_ms));
        return true;
    }
    let report = UsageReport { counts: node.usage.desk.lock().unwrap().total(window), is_sent: false };
    if report.counts.is_empty() && window < desk.report_empty_from {
        desk.next += 1;
        return true;
    }
    let key = report_key(window);
    let mut transaction = RowTransaction::new(tables::USAGE).expect(tables::USAGE, &key, 0).put(
        tables::USAGE,
        &key,
        tables::encode(&report),
    );
    for (window, report) in &desk.unmarked {
        let marked = UsageReport { is_sent: true, ..report.clone() };
        transaction = transaction.put(tables::USAGE, &report_key(*window), tables::encode(&marked));
    }
    for key in desk.old_keys.iter().take(tables::MAX_COMMIT_ROWS / 2) {
        transaction = transaction.remove(tables::USAGE, key);
    }
    let stored = match node.store.call(&StoreCall::Commit(transaction)).await {
        Ok(StoreReply::Committed(_)) => {
            desk.unmarked.clear();
            let kept = desk.old_keys.len().min(tables::MAX_COMMIT_ROWS / 2);
            desk.old_keys.drain(..kept);
            Some(report)
        }
        // An earlier try of this node, or of the holder before, was applied.
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
    forget_old(desk, settings.first_kept(wall_ms));
    desk.unsent.insert(window, report);
    desk.next += 1;
    true
}

/// Gives up the windows before `first_kept`, which nobody could report in time. One line tells of all
/// of them, because the system may have been down for days.
fn skip_over(node: &EntryNode, desk: &mut ReportDesk, first_kept: u64) {
    let missed = first_kept.saturating_sub(desk.next);
    let fields: [(&str, &dyn std::fmt::Display); 3] =
        [("window", &desk.next), ("windows", &missed), ("why", &"nobody could report them in time")];
    logs::write(event::USAGE_MISSED, &fields);
    node.metrics.usage_missed(missed);
    desk.next = first_kept;
}

/// Has the rows of windows that are over removed with the next report.
fn forget_old(desk: &mut ReportDesk, first_kept: u64) {
    let kept = desk.note_keys.split_off(&first_kept);
    let old = std::mem::replace(&mut desk.note_keys, kept);
    desk.old_keys.extend(old.into_values().flatten());
    if let Some(window) = first_kept.checked_sub(1) {
        desk.old_keys.push(report_key(window));
    }
}

async fn send_reports(node: &Arc<EntryNode>, caller: &DutyCaller, desk: &mut ReportDesk) {
    if node.now() < desk.retry_at {
        return;
    }
    let Some((window, report)) = desk.unsent.first_key_value().map(|(window, report)| (*window, report.clone())) else {
        return;
    };
    let encode = |holder: platform::DutyHolder<'_>| platform::encode_usage(holder, window, &report.counts);
    let Some((fence, answer)) = caller.call(node, encode).await else { return };
    logs::write(event::USAGE_REPORTED, &[("window", &window), ("fence", &fence), ("answer", &answer.as_str())]);
    match answer {
        DutyAnswer::Done => {
            desk.unsent.remove(&window);
            desk.unmarked.insert(window, report);
        }
        // The same report would be refused again, and later windows must not wait for it.
        DutyAnswer::Refused | DutyAnswer::NoneLeft => {
            desk.unsent.remove(&window);
            node.metrics.usage_missed(1);
        }
        DutyAnswer::RateLimited | DutyAnswer::Unknown => desk.retry_at = node.now() + RETRY_PAUSE,
    }
}

/// Stores what nodes told of the windows that are not reported yet, if there is news.
async fn save_notes(node: &Arc<EntryNode>, desk: &mut ReportDesk) {
    if node.now().since(desk.saved_at) < SAVE_INTERVAL {
        return;
    }
    desk.saved_at = node.now();
    let open: Vec<(u64, WindowSnapshots)> = {
        let held = node.usage.desk.lock().unwrap();
        let notes =
            (desk.next..).take(OPEN_WINDOWS).filter_map(|window| Some((window, held.snapshots(window)?.clone())));
        notes.filter(|(window, notes)| desk.saved.get(window) != Some(notes)).collect()
    };
    if open.is_empty() {
        return;
    }
    let mut transaction = RowTransaction::new(tables::USAGE);
    for (window, notes) in &open {
        let content = tables::encode(notes);
        let bytes = node.settings.store_row_bytes;
        let first = transaction.writes.len();
        transaction = tables::put_chunked(transaction, tables::USAGE, &notes_key(*window), &content, bytes);
        let keys = transaction.writes[first..].iter().map(|write| write.key.clone()).collect();
        desk.note_keys.insert(*window, keys);
    }
    if let Ok(StoreReply::Committed(_)) = node.store.call(&StoreCall::Commit(transaction)).await {
        desk.saved.extend(open);
        let next = desk.next;
        desk.saved.retain(|window, _| *window >= next);
    }
}
