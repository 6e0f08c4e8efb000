//! Tracks requests under which backend servers crash, so that a request that crashes every server is not sent to
//! more of them.
//!
//! A crash interrupts all requests on a server, so a single crash does not show which request caused it. Each
//! request content that was in progress there gets a crash report. All nodes share these reports, and merging them
//! in any order, any number of times, gives the same result.
//!
//! A content is blocked once enough servers crashed under it whose crashes no other content explains. One of these
//! crashes must have happened on a trial: a run of a known suspect on a server that ran no other suspect. Crashes
//! count after a settle time, in which reports about other contents can arrive. A complete answer clears the
//! crashes of its content, and a run that gets past the point at which another one was cut shows that the point
//! crashes no servers.
//!
//! Several contents may crash servers while few servers are left, so that each explains crashes of the others. A
//! content is then also blocked if the same number of servers crashed under it in total and one crash happened on a
//! trial that no other content had on that server.
//!
//! [docs/PLATFORM.md](../../../../../docs/PLATFORM.md#requests-that-end-servers) explains the reasons.

mod gossip;
mod owed_trials;
mod recovery;
mod run_progress;
mod runs;
mod server_crashes;
mod suspect_record;
mod trial_grants;

use crate::hash::hash_parts;
use crate::process::ServerEntry;
use crate::request::RequestFingerprint;
use crate::{Name, Timestamp};
pub use gossip::GossipSettings;
pub use owed_trials::{OwedSettings, RecoveryRule};
pub use recovery::RecoverySettings;
use recovery::RecoveryTrials;
pub use run_progress::RunProgress;
pub use runs::SuspectRun;
use runs::SuspectRuns;
use serde::{Deserialize, Serialize};
use server_crashes::ServerCrashes;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use suspect_record::{Crash, SuspectRecord};
pub use trial_grants::TrialGrants;

/// Settings of a [`SuspectTracker`].
#[derive(Clone, Debug)]
pub struct SuspectSettings {
    /// Number of crashes from which a content is blocked. Two may be a coincidence when several servers crash at
    /// once, and each further crash takes a server away from other callers for seconds.
    pub block_threshold: usize,
    /// Age from which a crash counts towards blocking a content. Reports about other contents on the same server,
    /// which may explain the crash, can arrive until then: without the store they take 0.64 s to reach 300 nodes.
    /// Without this delay a bystander was blocked in a test that ran beside 20 busy processes.
    pub settle_time: Duration,
    /// Time since the last crash after which a content is forgotten and may be sent again.
    pub retention: Duration,
    /// Time after a complete answer during which crashes are not attributed to the content. A content that is sent
    /// all the time is in progress at most crashes and was answered just before.
    pub answered_grace: Duration,
    /// How long service discovery may take to report that the server of a broken connection crashed: the time until
    /// an entry expires plus [`DISCOVERY_LAG`].
    pub unresolved_ttl: Duration,
    /// Maximum number of tracked contents. Each takes some 100 bytes, and 30 for each crash.
    pub max_suspects: usize,
    /// Maximum number of crashes kept for one content.
    pub max_crashes: usize,
    /// Maximum number of recently answered contents that are remembered, and of unresolved disconnects.
    pub max_recent: usize,
    /// Settings of the recovery trials of blocked contents.
    pub recovery: RecoverySettings,
    /// Settings of the recovery trials of blocked items.
    pub owed: OwedSettings,
}

/// How late an expired entry may be noticed at this node: the interval of a watch, the answer of a slow store, and
/// the work that the server still did for a client that had disconnected. A longer lag attributes crashes to
/// requests that ended before them.
pub const DISCOVERY_LAG: Duration = Duration::from_millis(1_400);

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            block_threshold: 3,
            settle_time: Duration::from_millis(700),
            retention: Duration::from_secs(600),
            answered_grace: Duration::from_secs(10),
            unresolved_ttl: Duration::from_millis(3_600) + DISCOVERY_LAG,
            max_suspects: 512,
            max_crashes: 16,
            max_recent: 256,
            recovery: RecoverySettings::default(),
            owed: OwedSettings::default(),
        }
    }
}

/// Report of one crash, as nodes exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request content.
    pub fingerprint: RequestFingerprint,
    /// Digest of the start of the crashed server; see [`server_start`].
    #[serde(rename = "server")]
    pub server_start: u64,
    /// Whether the content was a known suspect and ran there without other suspects.
    pub is_trial: bool,
    /// Whether a complete answer has since shown that the content does not crash servers.
    #[serde(rename = "is_void")]
    pub is_cleared: bool,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
}

/// What a run that was cut tells about the crash of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunEvidence {
    /// Whether the content was a known suspect and ran there without other suspects.
    pub is_trial: bool,
    /// How far the run got.
    pub progress: RunProgress,
}

impl From<bool> for RunEvidence {
    /// Returns the evidence of a run without events, such as a plain call.
    fn from(is_trial: bool) -> Self {
        Self { is_trial, ..Self::default() }
    }
}

/// Returns a digest that identifies one start of a server.
pub fn server_start(instance: &str, started_ms: u64) -> u64 {
    hash_parts(&[instance, &started_ms.to_string()])
}

/// State of a request content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectState {
    /// No server is known to have crashed under it.
    Clear,
    /// This number of servers crashed under it.
    Suspected(usize),
    /// It is not sent to servers for this long.
    Blocked(Duration),
}

/// A broken connection whose server may have crashed.
#[derive(Clone, Debug)]
struct UnresolvedDisconnect {
    fingerprint: RequestFingerprint,
    instance: Name,
    started_ms: u64,
    evidence: RunEvidence,
    at: Timestamp,
}

/// A suspect, for the status pages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectStatus {
    /// Fingerprint of the request content.
    pub fingerprint: RequestFingerprint,
    /// State of the content.
    pub state: SuspectState,
    /// Number of servers that crashed under it.
    pub crashes: usize,
    /// Number of these crashes that no other content explains.
    pub unexplained: usize,
}

/// Server crashes known to this node, by the request content that was in progress.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    settings: SuspectSettings,
    records: HashMap<RequestFingerprint, SuspectRecord>,
    /// Contents with a complete answer and the time of the answer, oldest first.
    recently_answered: VecDeque<(RequestFingerprint, Timestamp)>,
    unresolved: VecDeque<UnresolvedDisconnect>,
    server_crashes: ServerCrashes,
    runs: SuspectRuns,
    recovery_trials: RecoveryTrials,
}

impl SuspectTracker {
    /// Creates a tracker without suspects.
    pub fn new(settings: SuspectSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that a server crashed while it ran a request. Returns the report for the other nodes if it is new and
    /// counts.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        server: &ServerEntry,
        evidence: impl Into<RunEvidence>,
    ) -> Option<CrashReport> {
        self.record_crash_by_start(now, fingerprint, server_start(&server.instance, server.started_ms), evidence)
    }

    /// Records a crash like [`SuspectTracker::record_crash`], for callers that compute their own digest of the
    /// server's start.
    pub fn record_crash_by_start(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        server_start: u64,
        evidence: impl Into<RunEvidence>,
    ) -> Option<CrashReport> {
        self.server_crashes.record(now, server_start, self.settings.max_recent);
        if self.was_answered_recently(now, fingerprint) {
            return None;
        }
        let RunEvidence { is_trial, progress } = evidence.into();
        let report = CrashReport { fingerprint, server_start, is_trial, is_cleared: false, age_ms: 0 };
        self.merge_with_progress(now, &report, progress).then_some(report)
    }

    /// Merges a report without the progress of the run, which is not known. Returns whether it contained anything new.
    pub fn merge(&mut self, now: Timestamp, report: &CrashReport) -> bool {
        self.merge_with_progress(now, report, RunProgress::default())
    }

    /// Merges a report of a crash that cut a run. Returns whether it contained anything new.
    pub fn merge_with_progress(&mut self, now: Timestamp, report: &CrashReport, progress: RunProgress) -> bool {
        self.expire(now);
        let at = now - Duration::from_millis(report.age_ms);
        if now.since(at) >= self.settings.retention {
            return false;
        }
        let max_crashes = self.settings.max_crashes;
        let record = self.records.entry(report.fingerprint).or_default();
        let is_new = record.merge(
            report.server_start,
            Crash { at, is_trial: report.is_trial, is_cleared: report.is_cleared, progress },
            max_crashes,
        );
        self.evict();
        is_new
    }

    /// Clears a crash whose row was removed from the store.
    pub fn clear(&mut self, fingerprint: RequestFingerprint, server_start: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.clear(server_start);
        }
    }

    /// Records that a server answered a request completely, so that its content has all recovery trials again. Returns
    /// the reports of the crashes that this clears.
    pub fn record_answer(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> Vec<CrashReport> {
        self.recently_answered.push_back((fingerprint, now));
        if self.recently_answered.len() > self.settings.max_recent {
            self.recently_answered.pop_front();
        }
        self.recovery_trials.restore_all(fingerprint);
        let Some(record) = self.records.get_mut(&fingerprint) else { return Vec::new() };
        let uncleared: Vec<u64> =
            record.all().filter(|(_, crash)| !crash.is_cleared).map(|(server_start, _)| *server_start).collect();
        uncleared.iter().for_each(|server_start| record.clear(*server_start));
        record.reports(now, fingerprint).filter(|report| uncleared.contains(&report.server_start)).collect()
    }

    /// Records how far a run got that is still in progress. Returns the reports of the crashes that this clears.
    pub fn record_progress(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        progress: RunProgress,
    ) -> Vec<CrashReport> {
        let Some(record) = self.records.get_mut(&fingerprint) else { return Vec::new() };
        let passed = record.record_progress(progress);
        if passed.is_empty() {
            return Vec::new();
        }
        record.reports(now, fingerprint).filter(|report| passed.contains(&report.server_start)).collect()
    }

    /// Returns how far the furthest run got on a server that crashed under a content.
    pub fn progress_at(&self, fingerprint: RequestFingerprint, server_start: u64) -> RunProgress {
        let crash = self.records.get(&fingerprint).and_then(|record| record.crash(server_start));
        crash.map_or_else(RunProgress::default, |crash| crash.progress)
    }

    fn was_answered_recently(&self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let recent =
            self.recently_answered.iter().rev().take_while(|(_, at)| now.since(*at) < self.settings.answered_grace);
        recent.into_iter().any(|(answered, _)| *answered == fingerprint)
    }

    /// Records a broken connection of which it is unknown whether the server crashed.
    pub fn record_unresolved(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        server: &ServerEntry,
        evidence: impl Into<RunEvidence>,
    ) {
        let (instance, started_ms, evidence) = (server.instance.clone(), server.started_ms, evidence.into());
        self.unresolved.push_back(UnresolvedDisconnect { fingerprint, instance, started_ms, evidence, at: now });
        if self.unresolved.len() > self.settings.max_recent {
            self.unresolved.pop_front();
        }
    }

    /// Records that a server that had not asked to leave disappeared from service discovery, or is listed with a
    /// later start. Returns reports of the crashes that broke connections to it.
    pub fn resolve_server_gone(&mut self, now: Timestamp, server: &ServerEntry) -> Vec<CrashReport> {
        let unresolved_ttl = self.settings.unresolved_ttl;
        // The server may have crashed that long ago.
        let server_start = server_start(&server.instance, server.started_ms);
        self.server_crashes.record(now - unresolved_ttl, server_start, self.settings.max_recent);
        self.unresolved.retain(|disconnect| now.since(disconnect.at) < unresolved_ttl);
        let is_of = |disconnect: &UnresolvedDisconnect| {
            disconnect.instance == server.instance && disconnect.started_ms == server.started_ms
        };
        let (resolved, unresolved): (Vec<UnresolvedDisconnect>, Vec<UnresolvedDisconnect>) =
            self.unresolved.drain(..).partition(is_of);
        self.unresolved = unresolved.into();
        let reports = resolved
            .iter()
            .filter_map(|disconnect| self.record_crash(now, disconnect.fingerprint, server, disconnect.evidence));
        reports.collect()
    }

    /// Returns the state of a content.
    pub fn state(&self, now: Timestamp, fingerprint: RequestFingerprint) -> SuspectState {
        let Some(record) = self.records.get(&fingerprint) else { return SuspectState::Clear };
        let (crash_count, time_left) = (record.active().count(), self.retention_left(now, record));
        if crash_count == 0 || time_left.is_zero() {
            return SuspectState::Clear;
        }
        let is_settled = |crash: &Crash| now.since(crash.at) >= self.settings.settle_time;
        let mut unexplained = self.unexplained(now, fingerprint, record);
        unexplained.retain(is_settled);
        let has_trial = unexplained.iter().any(|crash| crash.is_trial);
        let is_sole_cause = unexplained.len() >= self.settings.block_threshold && has_trial;
        let settled = record.active().filter(|(_, crash)| is_settled(crash));
        let (mut settled_crashes, mut lone_trials) = (0, 0);
        for (server_start, crash) in settled {
            settled_crashes += 1;
            lone_trials += usize::from(crash.is_trial && !self.has_other_trial(fingerprint, *server_start));
        }
        if is_sole_cause || (settled_crashes >= self.settings.block_threshold && lone_trials > 0) {
            return SuspectState::Blocked(time_left);
        }
        SuspectState::Suspected(crash_count)
    }

    /// Returns whether the server also crashed on a trial of another content, so that neither ran there alone.
    fn has_other_trial(&self, own: RequestFingerprint, server_start: u64) -> bool {
        let mut others = self.records.iter().filter(|(other, _)| **other != own);
        others.any(|(_, record)| {
            record.active().any(|(other_start, crash)| *other_start == server_start && crash.is_trial)
        })
    }

    /// Returns the number of servers that crashed under a content, of the crashes that count.
    pub fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        self.records.get(&fingerprint).map_or(0, |record| record.active().count())
    }

    /// Returns the time until the last crash of a content counts.
    pub fn time_to_settle(&self, now: Timestamp, fingerprint: RequestFingerprint) -> Duration {
        let last = self.records.get(&fingerprint).and_then(|record| record.active().map(|(_, crash)| crash.at).max());
        last.map_or(Duration::ZERO, |at| self.settings.settle_time.saturating_sub(now.since(at)))
    }

    fn retention_left(&self, now: Timestamp, record: &SuspectRecord) -> Duration {
        self.settings.retention.saturating_sub(now.since(record.last_crash_at()))
    }

    /// Returns the crashes that no other content explains. A content explains a crash if it was in progress at it and
    /// at least as many servers crashed under it in total. Two contents with the same crashes explain each other
    /// until a trial, which each makes alone, tells them apart.
    fn unexplained(&self, now: Timestamp, own: RequestFingerprint, record: &SuspectRecord) -> Vec<Crash> {
        let crash_count = record.active().count();
        let can_explain = |(other, other_record): &(&RequestFingerprint, &SuspectRecord)| {
            **other != own
                && other_record.active().count() >= crash_count
                && !self.retention_left(now, other_record).is_zero()
        };
        let explaining_records: Vec<&SuspectRecord> =
            self.records.iter().filter(can_explain).map(|(_, other_record)| other_record).collect();
        let is_explained =
            |server_start: &u64| explaining_records.iter().any(|other_record| other_record.has_crash(*server_start));
        record.active().filter(|(server_start, _)| !is_explained(server_start)).map(|(_, crash)| *crash).collect()
    }

    /// Records that a request is sent to a server. Returns the run, to be passed to [`SuspectTracker::end_run`], if
    /// the content is suspected.
    pub fn begin_run(&mut self, now: Timestamp, server: &Name, fingerprint: RequestFingerprint) -> Option<SuspectRun> {
        let is_suspect = self.state(now, fingerprint) != SuspectState::Clear;
        let records = &self.records;
        let has_crashes = |other| records.get(&other).is_some_and(|record| record.active().next().is_some());
        is_suspect.then(|| self.runs.begin(server, fingerprint, has_crashes))
    }

    /// Returns whether a run is a trial: no other suspect of this node ran on the server at the same time.
    pub fn is_trial(&self, server: &str, run: SuspectRun) -> bool {
        self.runs.is_alone(server, run)
    }

    /// Returns whether a content that can be delayed has to wait for the end of another run at this node. As many
    /// servers crashed under it as block a content, so runs in parallel could crash several more.
    pub fn waits_for_other_run(&self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let has_enough_crashes = match self.state(now, fingerprint) {
            SuspectState::Suspected(crashes) => crashes >= self.settings.block_threshold,
            SuspectState::Clear | SuspectState::Blocked(_) => false,
        };
        has_enough_crashes && self.runs.has_run(fingerprint)
    }

    /// Records that a server no longer runs a suspect.
    pub fn end_run(&mut self, server: &str, run: SuspectRun) {
        self.runs.end(server, run);
    }

    /// Returns the servers that run other suspects of this node, where a suspect would not be alone.
    pub fn servers_with_other_suspects(&self, fingerprint: RequestFingerprint) -> Vec<Name> {
        self.runs.servers_with_others(fingerprint, |other| self.crash_count(other) > 0)
    }

    /// Returns all kept reports, including cleared ones, for a node that may have missed some.
    pub fn reports(&self, now: Timestamp) -> Vec<CrashReport> {
        self.records.iter().flat_map(|(fingerprint, record)| record.reports(now, *fingerprint)).collect()
    }

    /// Returns the suspects, those with most crashes first.
    pub fn statuses(&self, now: Timestamp) -> Vec<SuspectStatus> {
        let status = |(fingerprint, record): (&RequestFingerprint, &SuspectRecord)| SuspectStatus {
            fingerprint: *fingerprint,
            state: self.state(now, *fingerprint),
            crashes: record.active().count(),
            unexplained: self.unexplained(now, *fingerprint, record).len(),
        };
        let mut statuses: Vec<SuspectStatus> =
            self.records.iter().map(status).filter(|status| status.crashes > 0).collect();
        statuses.sort_by_key(|status| (std::cmp::Reverse(status.crashes), status.fingerprint));
        statuses
    }

    fn expire(&mut self, now: Timestamp) {
        let retention = self.settings.retention;
        self.records.retain(|_, record| now.since(record.last_crash_at()) < retention);
    }

    /// Forgets contents while there are too many: those with the fewest crashes first, and among these the one that
    /// crashed a server longest ago.
    fn evict(&mut self) {
        while self.records.len() > self.settings.max_suspects {
            let eviction_key = |(fingerprint, record): (&RequestFingerprint, &SuspectRecord)| {
                (record.active().count(), record.last_crash_at(), *fingerprint)
            };
            let Some((_, _, evicted)) = self.records.iter().map(eviction_key).min() else { return };
            self.records.remove(&evicted);
        }
    }
}
