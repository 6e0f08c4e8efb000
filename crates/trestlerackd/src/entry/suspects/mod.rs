//! Request contents that crash servers: tracks and blocks them, and shares crash reports with all nodes.
//!
//! Crash reports are rows of the system's own table, which every node watches, so that they survive restarts of
//! all processes. A node that cannot reach the store, neither directly nor through peers, exchanges its reports
//! with peers; see
//! [docs/PLATFORM.md](../../../../../docs/PLATFORM.md#requests-that-end-servers).

mod control;
mod gossip;
mod recovery;
mod rows;
mod trials;

pub use control::SuspectControl;
pub use gossip::{pull_from_peers, respond_to_peer, send_to_peers};
pub use recovery::{RunPermit, cancel_recovery_trial, request_permit};
pub use rows::{apply_row, read_at_start, store_reports, sweep_rows};
pub use trials::grant_trial;

use super::crash_detection::InterruptedRequest;
use super::in_flight::InFlightGuard;
use super::node::EntryNode;
use crate::process::{clock, logs};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{
    CrashReport, RecoveryRule, RunEvidence, RunProgress, ServerEntry, ServerNeed, SuspectState,
};
use trestlerack::request::RequestFingerprint;
use trestlerack::{Name, event};

/// Time until a content that waits for the end of another of its runs is checked again.
const OTHER_RUN_RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Source of a crash report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportSource {
    Own,
    Store,
    Peer,
}

impl ReportSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// Returns for how long a content is not sent to servers; `None` if it may be sent now, also for a recovery trial.
pub fn blocked_for(node: &EntryNode, fingerprint: RequestFingerprint, rule: RecoveryRule) -> Option<Duration> {
    let now = node.now();
    let tracker = node.suspects.tracker();
    let SuspectState::Blocked(left) = tracker.state(now, fingerprint) else { return None };
    let wait = tracker.time_to_trial(now, fingerprint, rule).map_or(left, |wait| wait.min(left));
    (!wait.is_zero()).then_some(wait)
}

/// Chooses a server for a request. A suspect content goes to a server that runs no other suspect of this node, so
/// that the next crash can be attributed to one of them. A content with a single crash most likely ran at the server
/// by chance, so it may go to any server if there is no such one.
pub fn choose_server(node: &EntryNode, fingerprint: RequestFingerprint, need: &ServerNeed<'_>) -> Option<ServerEntry> {
    let now = node.now();
    let choose =
        |need: &ServerNeed<'_>| node.balancer.lock().unwrap().choose(now, need).map(|server| server.entry.clone());
    let (state, occupied) = {
        let tracker = node.suspects.tracker();
        (tracker.state(now, fingerprint), tracker.servers_with_other_suspects(fingerprint))
    };
    if state == SuspectState::Clear || occupied.is_empty() {
        return choose(need);
    }
    let avoid = [need.avoid, &occupied].concat();
    let separate = choose(&ServerNeed { avoid: &avoid, ..need.clone() });
    match state {
        SuspectState::Suspected(1) => separate.or_else(|| choose(need)),
        _ => separate,
    }
}

/// Chooses a server for an item. An item that ran at only one crash goes to any server: about a dozen innocent items run
/// on each engine that crashes. A more suspect one is separated from the others as long as servers crash.
pub fn choose_item_server(
    node: &EntryNode,
    fingerprint: RequestFingerprint,
    need: &ServerNeed<'_>,
) -> Option<ServerEntry> {
    let choose = || node.balancer.lock().unwrap().choose(node.now(), need).map(|server| server.entry.clone());
    if !has_repeated_crashes(node, fingerprint) {
        return choose();
    }
    let is_calm = node.suspects.tracker().is_calm_for_items(node.now());
    choose_server(node, fingerprint, need).or_else(|| if is_calm { choose() } else { None })
}

/// Returns whether servers crashed while they ran a content, so that it is not hedged.
pub fn is_suspect(node: &EntryNode, fingerprint: RequestFingerprint) -> bool {
    node.suspects.tracker().state(node.now(), fingerprint) != SuspectState::Clear
}

/// Returns whether more than one server crashed while it ran a content.
pub fn has_repeated_crashes(node: &EntryNode, fingerprint: RequestFingerprint) -> bool {
    match node.suspects.tracker().state(node.now(), fingerprint) {
        SuspectState::Clear => false,
        SuspectState::Suspected(crashes) => crashes > 1,
        SuspectState::Blocked(_) => true,
    }
}

/// Returns how long a content that can be delayed has to wait. A content with several crashes, of which it is not
/// decided yet whether it is blocked, could crash one more server.
pub fn wait_time(node: &EntryNode, fingerprint: RequestFingerprint, rule: RecoveryRule) -> Duration {
    if let Some(left) = blocked_for(node, fingerprint, rule) {
        return left;
    }
    let now = node.now();
    let tracker = node.suspects.tracker();
    if rule == RecoveryRule::Owed && tracker.is_calm_for_items(now) {
        return Duration::ZERO;
    }
    match tracker.state(now, fingerprint) {
        SuspectState::Suspected(_) if tracker.waits_for_other_run(now, fingerprint) => OTHER_RUN_RECHECK_INTERVAL,
        SuspectState::Suspected(crashes) if crashes > 1 => tracker.time_to_settle(now, fingerprint),
        SuspectState::Clear | SuspectState::Suspected(_) | SuspectState::Blocked(_) => Duration::ZERO,
    }
}

/// Logs that a blocked content was not sent to a server.
pub fn log_blocked(node: &EntryNode, request: &str, fingerprint: RequestFingerprint, left: Duration) {
    let crashes = node.suspects.tracker().crash_count(fingerprint);
    node.metrics.record_blocked_request();
    let fields: [(&str, &dyn std::fmt::Display); 4] =
        [("request", &request), ("fingerprint", &fingerprint), ("ended", &crashes), ("left_s", &left.as_secs())];
    logs::write(event::REQUEST_HELD, &fields);
}

/// Records that a server crashed while it ran a request of this node.
pub fn record_crash(node: &Arc<EntryNode>, request: &InterruptedRequest) {
    let InterruptedRequest { id, fingerprint, server, evidence } = request;
    let (now, fingerprint, RunEvidence { is_trial, progress }) = (node.now(), *fingerprint, *evidence);
    let report = node.suspects.tracker().record_crash(now, fingerprint, server, *evidence);
    let crashes = node.suspects.tracker().crash_count(fingerprint);
    let fields: [(&str, &dyn std::fmt::Display); 7] = [
        ("request", &id),
        ("fingerprint", &fingerprint),
        ("server", &server.instance),
        ("trial", &is_trial),
        ("events", &progress.events),
        ("position", &progress.position),
        ("ended", &crashes),
    ];
    logs::write(event::SERVER_ENDED, &fields);
    node.metrics.record_server_crash();
    let reports: Vec<CrashReport> = report.into_iter().collect();
    log_blocked_contents(node, &reports, ReportSource::Own);
    node.suspects.publish(now, &reports);
}

/// Records that a server is gone from service discovery, or listed with a later start.
pub fn record_server_gone(node: &Arc<EntryNode>, server: &ServerEntry) {
    if server.is_draining {
        return;
    }
    let now = node.now();
    let reports = node.suspects.tracker().resolve_server_gone(now, server);
    log_blocked_contents(node, &reports, ReportSource::Own);
    node.suspects.publish(now, &reports);
}

/// Records that a server sent a complete response, which may clear its content.
pub fn record_response(node: &EntryNode, guard: &InFlightGuard) {
    guard.record_outcome();
    let (now, server, fingerprint) = (node.now(), &guard.server.instance, guard.fingerprint);
    let (cleared, used_trials) = {
        let mut tracker = node.suspects.tracker();
        let used_trials = tracker.used_recovery_trials(fingerprint);
        (tracker.record_answer(now, fingerprint), used_trials)
    };
    if !used_trials.is_empty() {
        node.suspects.publish_restored_trials(fingerprint, &used_trials);
    }
    publish_cleared(node, fingerprint, server, "answered", &cleared);
}

/// Records the numbers of events that a server sent. They may show that a run has passed the points at which crashes
/// cut other runs of its content.
pub fn record_events(node: &EntryNode, guard: &InFlightGuard, numbers: impl Iterator<Item = u64>) {
    let progress = guard.record_events(numbers);
    let cleared = node.suspects.tracker().record_progress(node.now(), guard.fingerprint, progress);
    publish_cleared(node, guard.fingerprint, &guard.server.instance, "got further", &cleared);
}

fn publish_cleared(
    node: &EntryNode,
    fingerprint: RequestFingerprint,
    server: &Name,
    why: &str,
    cleared: &[CrashReport],
) {
    if cleared.is_empty() {
        return;
    }
    let fields: [(&str, &dyn std::fmt::Display); 4] =
        [("fingerprint", &fingerprint), ("server", server), ("strikes", &cleared.len()), ("why", &why)];
    logs::write(event::SUSPECT_CLEARED, &fields);
    node.suspects.publish(node.now(), cleared);
}

/// Logs which contents new crash reports cause to be blocked, when the reports take effect.
fn log_blocked_contents(node: &Arc<EntryNode>, new_reports: &[CrashReport], source: ReportSource) {
    let mut contents: Vec<RequestFingerprint> = new_reports.iter().map(|report| report.fingerprint).collect();
    contents.dedup();
    // A single crash does not lead to a block.
    contents.retain(|fingerprint| has_repeated_crashes(node, *fingerprint));
    for fingerprint in contents {
        let age_ms =
            new_reports.iter().filter(|report| report.fingerprint == fingerprint).map(|report| report.age_ms).min();
        tokio::spawn(log_if_blocked(node.clone(), fingerprint, source, age_ms.unwrap_or_default()));
    }
}

async fn log_if_blocked(node: Arc<EntryNode>, fingerprint: RequestFingerprint, source: ReportSource, age_ms: u64) {
    let time_to_settle = node.suspects.tracker().time_to_settle(node.now(), fingerprint);
    clock::sleep(time_to_settle).await;
    let state = node.suspects.tracker().state(node.now(), fingerprint);
    if matches!(state, SuspectState::Blocked(_)) {
        let crashes = node.suspects.tracker().crash_count(fingerprint);
        let fields: [(&str, &dyn std::fmt::Display); 4] =
            [("fingerprint", &fingerprint), ("ended", &crashes), ("source", &source.as_str()), ("age_ms", &age_ms)];
        logs::write(event::CONTENT_HELD, &fields);
    }
}

/// Merges a stored crash report.
fn merge_stored(node: &Arc<EntryNode>, report: &CrashReport, progress: RunProgress) {
    if node.suspects.tracker().merge_with_progress(node.now(), report, progress) {
        log_blocked_contents(node, &[*report], ReportSource::Store);
    }
}

/// Merges crash reports of this node or of a peer and returns those that are new to this node.
fn merge(node: &Arc<EntryNode>, reports: &[CrashReport], source: ReportSource) -> Vec<CrashReport> {
    let now = node.now();
    let mut tracker = node.suspects.tracker();
    let new_reports: Vec<CrashReport> = reports.iter().filter(|report| tracker.merge(now, report)).copied().collect();
    drop(tracker);
    log_blocked_contents(node, &new_reports, source);
    new_reports
}
