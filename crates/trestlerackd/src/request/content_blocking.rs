//! Blocks request contents that crashed backend servers, on the daemon's own API.
//!
//! The rules are those of the entry service ([`SuspectTracker`]). Nodes exchange crash reports with their
//! probes, so a node that starts or rejoins has them after its first probe. A new report triggers probes
//! at once, because with regular probes only, the same content arrived at other nodes before the report.
//! Without a store that could reserve recovery trials, nodes take turns with them.

use crate::node::Node;
use crate::process::clock::{self, SystemClock};
use crate::process::{logs, member_loop};
use std::future::Future;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use trestlerack::hash::{hash_parts, rank_among};
use trestlerack::process::{
    CrashReport, GossipSettings, Liveness, RecoveryRule, RunEvidence, RunProgress, SuspectSettings, SuspectState,
    SuspectTracker,
};
use trestlerack::request::RequestFingerprint;
use trestlerack::verdict::Reason;
use trestlerack::{Failure, Name, Verdict, event};

/// Timeout of one connection attempt to an address. If its process has ended, the connection is refused
/// within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Largest number of connection attempts to an address.
const MAX_CONNECT_ATTEMPTS: usize = 3;

/// Interval between two connection attempts.
const CONNECT_INTERVAL: Duration = Duration::from_millis(30);

/// Largest number of crash reports in a probe, newest first; each takes about 50 bytes.
const MAX_PROBE_REPORTS: usize = 64;

/// Interval in which crashes of one backend server count as one crash, in milliseconds. Declared servers
/// have no start id to tell crashes apart, and requests of several nodes fail while one is down for
/// seconds.
const SAME_CRASH_MS: u64 = 10_000;

/// Time by which the recovery trials of two nodes are apart, in which a report of a crash reaches all nodes.
const TRIAL_TURN: Duration = Duration::from_secs(1);

/// Contents that crashed backend servers, as far as this node knows.
pub struct ContentBlocker {
    tracker: Mutex<SuspectTracker>,
}

impl Default for ContentBlocker {
    fn default() -> Self {
        Self { tracker: Mutex::new(SuspectTracker::new(SuspectSettings::default())) }
    }
}

impl ContentBlocker {
    fn tracker(&self) -> MutexGuard<'_, SuspectTracker> {
        self.tracker.lock().unwrap()
    }
}

/// How far a request got on a backend server.
#[derive(Default)]
pub struct ProgressMeter {
    progress: Mutex<RunProgress>,
}

impl ProgressMeter {
    /// Creates a meter for a request that continues an answer after this number of tokens.
    pub fn after_tokens(offset: u32) -> Self {
        Self { progress: Mutex::new(RunProgress::after_event(Some(u64::from(offset)))) }
    }

    /// Records tokens that the server sent. They may show that the request has passed the points at which crashes cut
    /// others with the same content.
    pub fn record_tokens(&self, node: &Arc<Node>, fingerprint: Option<RequestFingerprint>, tokens: u32) {
        let mut progress = self.progress.lock().unwrap();
        progress.events += u64::from(tokens);
        progress.position += u64::from(tokens);
        let Some(fingerprint) = fingerprint else { return };
        let cleared = node.content_blocker.tracker().record_progress(node.now(), fingerprint, *progress);
        if !cleared.is_empty() {
            member_loop::probe_gossip_peers(node, &GossipSettings::default());
        }
    }

    fn progress(&self) -> RunProgress {
        *self.progress.lock().unwrap()
    }
}

/// Destination and content of a request to a backend server.
pub struct BackendRequest<'a> {
    /// Name of the backend server.
    pub backend: &'a Name,
    /// Address of the backend server.
    pub address: &'a str,
    /// Fingerprint of the content.
    pub fingerprint: RequestFingerprint,
    /// How far the request gets, if its answer is a stream.
    pub meter: Option<&'a ProgressMeter>,
    /// Which rule limits the recovery trials of the content.
    pub recovery_rule: RecoveryRule,
}

/// Runs `exchange` with a backend server unless the content is blocked, and records its outcome.
pub async fn send_unless_blocked<T>(
    node: &Arc<Node>,
    request: BackendRequest<'_>,
    exchange: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let now = node.now();
    // Bound to a variable so that the lock is released: `blocked_failure` locks the tracker too.
    let state = node.content_blocker.tracker().state(now, request.fingerprint);
    let mut recovery_trial = None;
    if let SuspectState::Blocked(remaining) = state {
        recovery_trial = start_recovery_trial(node, request.fingerprint, request.recovery_rule);
        if recovery_trial.is_none() {
            return Err(blocked_failure(node, &request, remaining));
        }
    }
    let run = node.content_blocker.tracker().begin_run(now, request.backend, request.fingerprint);
    let result = exchange.await;
    let is_trial = run.is_some_and(|run| node.content_blocker.tracker().is_trial(request.backend, run));
    if let Some(run) = run {
        node.content_blocker.tracker().end_run(request.backend, run);
    }
    if let (Some(number), Err(failure)) = (recovery_trial, &result)
        && failure.verdict == Verdict::NotRun
    {
        node.content_blocker.tracker().restore_recovery_trial(request.fingerprint, number);
    }
    match &result {
        Ok(_) => {
            node.content_blocker.tracker().record_answer(node.now(), request.fingerprint);
        }
        Err(failure) if failure.verdict == Verdict::MayHaveRun && failure.reason == Reason::BackendFailed => {
            if refuses_connections(request.address).await {
                let progress = request.meter.map_or_else(RunProgress::default, ProgressMeter::progress);
                record_crash(node, &request, RunEvidence { is_trial, progress });
            }
        }
        Err(_) => {}
    }
    result
}

/// Returns whether a request was not sent because its content is blocked.
pub fn is_blocked(failure: &Failure) -> bool {
    failure.reason == Reason::ContentHeld
}

/// Starts a recovery trial of a blocked content if one is due and it is this node's turn. A crash of the trial reaches
/// the node with the next turn before that.
fn start_recovery_trial(node: &Node, fingerprint: RequestFingerprint, rule: RecoveryRule) -> Option<u32> {
    let key = hash_parts(&[&fingerprint.to_string()]);
    let rank = {
        let membership = node.membership.lock().unwrap();
        let alive: Vec<Name> = membership
            .peers()
            .filter(|update| update.liveness == Liveness::Alive)
            .map(|update| update.peer.name)
            .collect();
        rank_among(key, node.name(), alive.iter().map(|name| &**name))
    };
    let turn = TRIAL_TURN * u32::try_from(rank).unwrap_or(u32::MAX);
    let mut tracker = node.content_blocker.tracker();
    let number = tracker.start_trial(node.now() - turn, fingerprint, rule)?;
    tracker.record_recovery_trial(node.now(), fingerprint, number);
    let fields: [(&str, &dyn std::fmt::Display); 4] =
        [("request", &"-"), ("fingerprint", &fingerprint), ("number", &number), ("outcome", &"reserved")];
    logs::write(event::RECOVERY_TRIAL, &fields);
    Some(number)
}

fn blocked_failure(node: &Node, request: &BackendRequest<'_>, remaining: Duration) -> Failure {
    let (crashes, recovery) = {
        let tracker = node.content_blocker.tracker();
        let recovery = tracker.time_to_trial(node.now(), request.fingerprint, request.recovery_rule);
        (tracker.crash_count(request.fingerprint), recovery)
    };
    let remaining = recovery.map_or(remaining, |recovery| recovery.max(TRIAL_TURN).min(remaining));
    let fields: [(&str, &dyn std::fmt::Display); 4] = [
        ("request", &"-"),
        ("fingerprint", &request.fingerprint),
        ("ended", &crashes),
        ("left_s", &remaining.as_secs()),
    ];
    logs::write(event::REQUEST_HELD, &fields);
    Failure::not_run(Reason::ContentHeld, "backend servers crashed while they ran this content").retry_after(remaining)
}

fn record_crash(node: &Arc<Node>, request: &BackendRequest<'_>, evidence: RunEvidence) {
    let crash_id = hash_parts(&[request.backend, &(SystemClock::unix_millis() / SAME_CRASH_MS).to_string()]);
    let is_new = node
        .content_blocker
        .tracker()
        .record_crash_by_start(node.now(), request.fingerprint, crash_id, evidence)
        .is_some();
    if is_new {
        member_loop::probe_gossip_peers(node, &GossipSettings::default());
    }
    let crashes = node.content_blocker.tracker().crash_count(request.fingerprint);
    let fields: [(&str, &dyn std::fmt::Display); 7] = [
        ("request", &"-"),
        ("fingerprint", &request.fingerprint),
        ("server", request.backend),
        ("trial", &evidence.is_trial),
        ("events", &evidence.progress.events),
        ("position", &evidence.progress.position),
        ("ended", &crashes),
    ];
    logs::write(event::SERVER_ENDED, &fields);
}

/// Returns whether an address refuses connections, which means that its process has ended.
///
/// A process that ends may close its connections before its listening socket, and no service discovery
/// reports the end later, so the connection is tried several times.
async fn refuses_connections(address: &str) -> bool {
    for _ in 0..MAX_CONNECT_ATTEMPTS {
        let connecting = clock::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        if matches!(connecting, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        clock::sleep(CONNECT_INTERVAL).await;
    }
    false
}

/// Returns the crash reports to send with a probe.
pub fn recent_crash_reports(node: &Node) -> Vec<CrashReport> {
    let mut reports = node.content_blocker.tracker().reports(node.now());
    reports.sort_by_key(|report| report.age_ms);
    reports.truncate(MAX_PROBE_REPORTS);
    reports
}

/// Merges the crash reports of a probe, and forwards them at once if any is new.
pub fn merge_crash_reports(node: &Arc<Node>, reports: &[CrashReport]) {
    let now = node.now();
    let mut tracker = node.content_blocker.tracker();
    let new_reports = reports.iter().filter(|report| tracker.merge(now, report)).count();
    drop(tracker);
    if new_reports > 0 {
        member_loop::probe_gossip_peers(node, &GossipSettings::default());
    }
}
