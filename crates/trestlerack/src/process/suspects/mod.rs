//! Requests under which backend servers ended, so that one that ends each server is not sent to ever
//! new ones.
//!
//! A server that ends takes everything with it that it works on, so an end alone blames nobody. Each
//! content that was in progress there gets a strike for it. Strikes are shared by all nodes; joining
//! them in any order, any number of times, comes to the same. A content is held once enough servers
//! ended under it that no other content accounts for, one of them on a trial: it was sent there as a
//! known suspect, with no other suspect beside it. Strikes count once those of others have had the time to
//! arrive. A whole answer voids a content's strikes. Where several contents end servers and few servers are
//! left, they account for each other's ends; an end on a trial that no other content had there is then
//! enough, with as many ends in all.
//! [docs/PLATFORM.md](../../../../../docs/PLATFORM.md#requests-that-end-servers) has the reasons.

mod gossip;
mod runs;
mod suspect_record;
mod trial_grants;

use crate::hash::hash_parts;
use crate::process::ServerEntry;
use crate::request::RequestFingerprint;
use crate::{Name, Timestamp};
pub use gossip::GossipSettings;
pub use runs::SuspectRun;
use runs::SuspectRuns;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;
use suspect_record::{Strike, SuspectRecord};
pub use trial_grants::TrialGrants;

/// Settings of a [`SuspectTracker`].
#[derive(Clone, Debug)]
pub struct SuspectSettings {
    /// Ended servers from which a content is held. Two may be chance where several servers end at
    /// once, and each further one is a server that other callers miss for seconds.
    pub held_from: usize,
    /// Time after which a strike counts towards a hold. Until then the strikes of other contents at the same
    /// server, which account for it, may still be on their way: they take 0.64 s to 300 nodes without the
    /// store. A bystander was held in a test beside 20 busy processes before there was such a time.
    pub settle_time: Duration,
    /// Time since the last strike after which a content is forgotten, and may be sent again.
    pub life: Duration,
    /// Time after a whole answer in which ends are no strikes of its content: a content that is sent
    /// all the time is in progress at most ends, and was answered just before.
    pub sound_life: Duration,
    /// Time in which service discovery may still tell that a server ended whose connection broke: what
    /// an entry takes to lapse, and [`DISCOVERY_LAG`].
    pub doubt_life: Duration,
    /// Contents kept at most; each takes some 100 bytes and 30 for each strike.
    pub most_suspects: usize,
    /// Strikes kept of one content at most.
    pub most_strikes: usize,
    /// Contents kept at most of those that were answered last, and of breaks that are in doubt.
    pub most_recent: usize,
}

/// Time by which news of a lapsed entry may be late here: the pause of a watch, a slow store's answer, and
/// the work that the server still did for a client that had left. Reckoned; a longer one blames
/// requests for ends that came after them.
pub const DISCOVERY_LAG: Duration = Duration::from_millis(1_400);

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            held_from: 3,
            settle_time: Duration::from_millis(700),
            life: Duration::from_secs(600),
            sound_life: Duration::from_secs(10),
            doubt_life: Duration::from_millis(3_600) + DISCOVERY_LAG,
            most_suspects: 512,
            most_strikes: 16,
            most_recent: 256,
        }
    }
}

/// What nodes tell each other of one strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// What was asked for.
    pub fingerprint: RequestFingerprint,
    /// The start of the server that ended; see [`server_start`].
    pub server: u64,
    /// Whether it was sent there as a known suspect, alone.
    pub is_trial: bool,
    /// Whether a whole answer has shown since that the content ends no servers.
    pub is_void: bool,
    /// Time since the end of the server, in milliseconds.
    pub age_ms: u64,
}

/// Returns a digest that tells each start of a server from any other.
pub fn server_start(instance: &str, started_ms: u64) -> u64 {
    hash_parts(&[instance, &started_ms.to_string()])
}

/// How a content stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectState {
    /// No server ended under it, as far as is known.
    Clear,
    /// So many servers ended under it.
    Suspected(usize),
    /// It is not sent to servers for so long.
    Held(Duration),
}

/// A break whose server may have ended.
#[derive(Clone, Debug)]
struct OpenDoubt {
    fingerprint: RequestFingerprint,
    instance: Name,
    started_ms: u64,
    is_trial: bool,
    at: Timestamp,
}

/// A suspect, as operators are shown it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectStatus {
    /// What is asked for.
    pub fingerprint: RequestFingerprint,
    /// How it stands.
    pub standing: SuspectState,
    /// Servers that ended under it.
    pub ended: usize,
    /// Those of them that no other content accounts for.
    pub unexplained: usize,
}

/// What a node knows of requests under which servers ended.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    settings: SuspectSettings,
    records: HashMap<RequestFingerprint, SuspectRecord>,
    /// Contents that were answered whole, and when, oldest first.
    sound: VecDeque<(RequestFingerprint, Timestamp)>,
    doubts: VecDeque<OpenDoubt>,
    runs: SuspectRuns,
}

impl SuspectTracker {
    /// Builds a book that suspects nobody.
    pub fn new(settings: SuspectSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that a server ended as it worked on a request. Returns the strike, to be told to the
    /// other nodes, if it is news and counts.
    pub fn ended_under(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        server: &ServerEntry,
        is_trial: bool,
    ) -> Option<CrashReport> {
        self.ended_at(now, fingerprint, server_start(&server.instance, server.started_ms), is_trial)
    }

    /// The same for a server whose start the caller tells apart by a digest of its own.
    pub fn ended_at(
        &mut self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
        server: u64,
        is_trial: bool,
    ) -> Option<CrashReport> {
        if self.is_sound(now, fingerprint) {
            return None;
        }
        let note = CrashReport { fingerprint, server, is_trial, is_void: false, age_ms: 0 };
        self.join(now, &note).then_some(note)
    }

    /// Takes over a strike. Returns whether it says anything new.
    pub fn join(&mut self, now: Timestamp, note: &CrashReport) -> bool {
        self.expire(now);
        let at = now - Duration::from_millis(note.age_ms);
        if now.since(at) >= self.settings.life {
            return false;
        }
        let most_strikes = self.settings.most_strikes;
        let record = self.records.entry(note.fingerprint).or_default();
        let is_news =
            record.join(note.server, Strike { at, is_trial: note.is_trial, is_void: note.is_void }, most_strikes);
        self.evict();
        is_news
    }

    /// Records that the removal of a strike's row was seen: it is void.
    pub fn void(&mut self, fingerprint: RequestFingerprint, server: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.void(server);
        }
    }

    /// Records that a server answered a request whole. Returns the strikes that are void by that.
    pub fn answered(&mut self, now: Timestamp, fingerprint: RequestFingerprint) -> Vec<CrashReport> {
        self.sound.push_back((fingerprint, now));
        if self.sound.len() > self.settings.most_recent {
            self.sound.pop_front();
        }
        let Some(record) = self.records.get_mut(&fingerprint) else { return Vec::new() };
        let live: Vec<u64> = record.live().map(|(server, _)| *server).collect();
        live.iter().for_each(|server| record.void(*server));
        record.notes(now, fingerprint).filter(|note| live.contains(&note.server)).collect()
    }

    fn is_sound(&self, now: Timestamp, fingerprint: RequestFingerprint) -> bool {
        let recent = self.sound.iter().rev().take_while(|(_, at)| now.since(*at) < self.settings.sound_life);
        recent.into_iter().any(|(sound, _)| *sound == fingerprint)
    }

    /// Records a break of which nobody could tell whether the server ended.
    pub fn doubt(&mut self, now: Timestamp, fingerprint: RequestFingerprint, server: &ServerEntry, is_trial: bool) {
        let (instance, started_ms) = (server.instance.clone(), server.started_ms);
        self.doubts.push_back(OpenDoubt { fingerprint, instance, started_ms, is_trial, at: now });
        if self.doubts.len() > self.settings.most_recent {
            self.doubts.pop_front();
        }
    }

    /// Returns whether a break waits for what service discovery tells.
    pub fn has_doubts(&self) -> bool {
        !self.doubts.is_empty()
    }

    /// Records that service discovery lost a server that had not asked to leave, or lists a later
    /// start of it. Returns the strikes of the breaks that this explains.
    pub fn server_gone(&mut self, now: Timestamp, server: &ServerEntry) -> Vec<CrashReport> {
        let life = self.settings.doubt_life;
        self.doubts.retain(|doubt| now.since(doubt.at) < life);
        let is_of = |doubt: &OpenDoubt| doubt.instance == server.instance && doubt.started_ms == server.started_ms;
        let (settled, open): (Vec<OpenDoubt>, Vec<OpenDoubt>) = self.doubts.drain(..).partition(is_of);
        self.doubts = open.into();
        let strikes =
            settled.iter().filter_map(|doubt| self.ended_under(now, doubt.fingerprint, server, doubt.is_trial));
        strikes.collect()
    }

    /// Returns how a content stands.
    pub fn standing(&self, now: Timestamp, fingerprint: RequestFingerprint) -> SuspectState {
        let Some(record) = self.records.get(&fingerprint) else { return SuspectState::Clear };
        let (ended, left) = (record.live().count(), self.life_left(now, record));
        if ended == 0 || left.is_zero() {
            return SuspectState::Clear;
        }
        let is_settled = |strike: &Strike| now.since(strike.at) >= self.settings.settle_time;
        let mut unexplained = self.unexplained(now, fingerprint, record);
        unexplained.retain(is_settled);
        let is_tried = unexplained.iter().any(|strike| strike.is_trial);
        let is_sole_cause = unexplained.len() >= self.settings.held_from && is_tried;
        let settled = record.live().filter(|(_, strike)| is_settled(strike));
        let (mut ends, mut lone_trials) = (0, 0);
        for (server, strike) in settled {
            ends += 1;
            lone_trials += usize::from(strike.is_trial && !self.is_tried_by_other(fingerprint, *server));
        }
        if is_sole_cause || (ends >= self.settings.held_from && lone_trials > 0) {
            return SuspectState::Held(left);
        }
        SuspectState::Suspected(ended)
    }

    /// Returns whether another content ended a server on a trial too, so that neither had it for itself.
    fn is_tried_by_other(&self, own: RequestFingerprint, server: u64) -> bool {
        let mut others = self.records.iter().filter(|(other, _)| **other != own);
        others.any(|(_, record)| record.live().any(|(struck, strike)| *struck == server && strike.is_trial))
    }

    /// Returns how many servers ended under a content, as far as it was not cleared since.
    pub fn ended(&self, fingerprint: RequestFingerprint) -> usize {
        self.records.get(&fingerprint).map_or(0, |record| record.live().count())
    }

    /// Returns how long the last strike of a content takes yet to count.
    pub fn settles_in(&self, now: Timestamp, fingerprint: RequestFingerprint) -> Duration {
        let last = self.records.get(&fingerprint).and_then(|record| record.live().map(|(_, strike)| strike.at).max());
        last.map_or(Duration::ZERO, |at| self.settings.settle_time.saturating_sub(now.since(at)))
    }

    fn life_left(&self, now: Timestamp, record: &SuspectRecord) -> Duration {
        self.settings.life.saturating_sub(now.since(record.last_at()))
    }

    /// Returns the strikes that no other content accounts for: one under which as many servers ended or
    /// more, this one among them. Two contents with the same strikes account for each other, and the
    /// next trial, which each makes alone, tells them apart.
    fn unexplained(&self, now: Timestamp, own: RequestFingerprint, record: &SuspectRecord) -> Vec<Strike> {
        let ended = record.live().count();
        let is_rival = |(other, held): &(&RequestFingerprint, &SuspectRecord)| {
            **other != own && held.live().count() >= ended && !self.life_left(now, held).is_zero()
        };
        let rivals: Vec<&SuspectRecord> = self.records.iter().filter(is_rival).map(|(_, held)| held).collect();
        let is_explained = |server: &u64| rivals.iter().any(|rival| rival.is_struck(*server));
        record.live().filter(|(server, _)| !is_explained(server)).map(|(_, strike)| *strike).collect()
    }

    /// Records that a request is sent to a server. Returns the run to name at its end, if its content is
    /// suspected.
    pub fn sent(&mut self, now: Timestamp, server: &Name, fingerprint: RequestFingerprint) -> Option<SuspectRun> {
        let is_suspect = self.standing(now, fingerprint) != SuspectState::Clear;
        is_suspect.then(|| self.runs.begin(server, fingerprint))
    }

    /// Returns whether a run is a trial: no other suspect of this node was beside it.
    pub fn is_trial(&self, server: &str, run: SuspectRun) -> bool {
        self.runs.is_alone(server, run)
    }

    /// Records that a server no longer works on a suspect.
    pub fn returned(&mut self, server: &str, run: SuspectRun) {
        self.runs.end(server, run);
    }

    /// Returns the servers that work on other suspects of this node, where a suspect would not be alone.
    pub fn shared_servers(&self, fingerprint: RequestFingerprint) -> Vec<Name> {
        self.runs.with_others(fingerprint)
    }

    /// Returns every strike that is kept, void ones included, for a node that may have missed some.
    pub fn notes(&self, now: Timestamp) -> Vec<CrashReport> {
        self.records.iter().flat_map(|(fingerprint, record)| record.notes(now, *fingerprint)).collect()
    }

    /// Returns the suspects, those under which most servers ended first.
    pub fn lines(&self, now: Timestamp) -> Vec<SuspectStatus> {
        let line = |(fingerprint, record): (&RequestFingerprint, &SuspectRecord)| SuspectStatus {
            fingerprint: *fingerprint,
            standing: self.standing(now, *fingerprint),
            ended: record.live().count(),
            unexplained: self.unexplained(now, *fingerprint, record).len(),
        };
        let mut lines: Vec<SuspectStatus> = self.records.iter().map(line).filter(|line| line.ended > 0).collect();
        lines.sort_by_key(|line| (std::cmp::Reverse(line.ended), line.fingerprint));
        lines
    }

    fn expire(&mut self, now: Timestamp) {
        let life = self.settings.life;
        self.records.retain(|_, record| now.since(record.last_at()) < life);
    }

    /// Forgets the content with the fewest strikes, of these the one that was struck longest ago, while
    /// there are too many.
    fn evict(&mut self) {
        while self.records.len() > self.settings.most_suspects {
            let weight = |(fingerprint, record): (&RequestFingerprint, &SuspectRecord)| {
                (record.live().count(), record.last_at(), *fingerprint)
            };
            let Some((_, _, least)) = self.records.iter().map(weight).min() else { return };
            self.records.remove(&least);
        }
    }
}
