//! What a node tells its peers of servers, and what it believes of what they tell.
//!
//! Notes keep the age and the number that they got at their origin, so that none is kept alive by being
//! passed round; see [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md#parts).

use super::load_balancer::ServerBoard;
use super::news::ServerNote;
use super::server_health::{PeerFigures, SLOW_FACTOR, ServerFigures};
use super::server_state::ServerBelief;
use super::suspects::GossipSettings;
use crate::time::millis;
use crate::{Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which the word of others is believed.
const BELIEF_TIME: Duration = Duration::from_secs(5);

/// Factor by which a learnt time must have moved to be told.
const TOLD_MOVE: f64 = 1.5;

/// Added to the age of a note by each message, and more than one takes as a rule: no note gets younger as
/// it is passed on.
const MESSAGE_TIME: Duration = Duration::from_millis(100);

/// Share of a service's servers that the word of others may make worse, to the nearest whole server. A
/// node that is wrong about all of them then takes about a third away at most.
const WORD_SHARE: f64 = 1.0 / 3.0;

/// Notes that a node may send in a second on average, to some peers each, and at once.
const NOTES_PER_SECOND: f64 = 0.6;
const NOTES_AT_ONCE: f64 = 6.0;

/// Times the median at which a server is set aside by what others told. More than neighbours on its host make
/// of it; less than own calls must show, since it ends with what is believed.
const LEFT_FACTOR: f64 = 2.5;

/// Peers that are told at once, so that a few lost messages leave nobody out as a rule.
const TOLD_AT_ONCE: usize = 4;

/// Returns the settings of the gossip about servers.
pub fn server_gossip() -> GossipSettings {
    GossipSettings { told_at_once: TOLD_AT_ONCE, ..GossipSettings::default() }
}

/// What peers told of a server.
#[derive(Clone, Debug)]
pub(super) struct ToldBelief {
    pub(super) figures: ServerFigures,
    /// When its origin saw this.
    pub(super) at: Timestamp,
    /// The node that saw it.
    pub(super) origin: Name,
}

/// What was told and heard of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct WordRecord {
    told: Option<ToldBelief>,
    /// Last number heard of each origin.
    heard: BTreeMap<Name, (u64, Timestamp)>,
    /// What peers are expected to believe, from what was told or heard last.
    public: Option<(ServerFigures, Timestamp)>,
}

impl ServerBelief {
    /// Returns what others told, unless this node has seen something younger.
    pub(super) fn word_of_others(&self, now: Timestamp) -> Option<&ToldBelief> {
        self.last_word(now).filter(|told| told.at > self.learnt.at)
    }

    /// Returns what others told last, while it is young.
    pub(super) fn last_word(&self, now: Timestamp) -> Option<&ToldBelief> {
        self.word.told.as_ref().filter(|told| now.since(told.at) < BELIEF_TIME)
    }
}

/// Notes to be told, one a server, and what may be sent of them.
#[derive(Debug)]
pub(super) struct NoteOutbox {
    notes: BTreeMap<Name, OutboxNote>,
    number: u64,
    allowance: f64,
    refilled: Timestamp,
}

impl Default for NoteOutbox {
    fn default() -> Self {
        Self { notes: BTreeMap::new(), number: 0, allowance: NOTES_AT_ONCE, refilled: Timestamp::default() }
    }
}

#[derive(Clone, Debug)]
struct OutboxNote {
    figures: ServerFigures,
    at: Timestamp,
    /// Origin and number; `None` for what this node saw itself.
    passed: Option<(Name, u64)>,
}

impl NoteOutbox {
    fn refill(&mut self, now: Timestamp) {
        let earned = now.since(self.refilled).as_secs_f64() * NOTES_PER_SECOND;
        self.allowance = (self.allowance + earned).min(NOTES_AT_ONCE);
        self.refilled = now;
    }

    fn next_number(&mut self) -> u64 {
        self.number += 1;
        self.number
    }
}

impl ServerBoard {
    /// Notes a change of a server to be told, if peers do not believe about the same. That it is better is
    /// told after a good answer only: what is merely forgotten shows nothing.
    pub(super) fn tell_if_news(&mut self, now: Timestamp, instance: &str, peers: &PeerFigures, is_good: bool) {
        let Some(belief) = self.servers.get_mut(instance) else { return };
        let figures = belief.learnt.figures(now);
        let before = belief.public_figures(now);
        let is_better = badness(figures) < badness(before);
        if !is_news(before, figures, peers) || (is_better && !is_good) {
            return;
        }
        belief.word.public = Some((figures, now));
        self.outbox.notes.insert(instance.into(), OutboxNote { figures, at: now, passed: None });
    }

    /// Returns whether there is something to tell.
    pub fn has_notes(&self) -> bool {
        !self.outbox.notes.is_empty()
    }

    /// Takes what `origin`, the node of this board, may tell its peers now. What is left is told later,
    /// while it is young.
    pub fn take_notes(&mut self, now: Timestamp, origin: &Name) -> Vec<ServerNote> {
        self.outbox.refill(now);
        let mut taken = Vec::new();
        while self.outbox.allowance >= 1.0 {
            let Some((instance, note)) = self.outbox.notes.pop_first() else { break };
            let Some(belief) = self.servers.get(&instance) else { continue };
            if now.since(note.at) >= BELIEF_TIME {
                continue;
            }
            self.outbox.allowance -= 1.0;
            let (origin, number) = match note.passed {
                Some(passed) => passed,
                None => (origin.clone(), self.outbox.next_number()),
            };
            taken.push(make_note(now, belief, origin, number, note.figures, note.at));
        }
        taken
    }

    /// Returns what a peer that starts is told: what is known of servers that are slow or fail.
    pub fn known_notes(&mut self, now: Timestamp, origin: &Name) -> Vec<ServerNote> {
        let mut notes = Vec::new();
        for belief in self.servers.values() {
            let (figures, seen_at) = match belief.word_of_others(now) {
                Some(told) => (told.figures, told.at),
                None => (belief.learnt.figures(now), belief.learnt.at),
            };
            let is_telling = figures.slowness >= TOLD_MOVE || figures.failing > 0.0;
            if !is_telling || now.since(seen_at) >= BELIEF_TIME {
                continue;
            }
            let heard = belief.word_of_others(now).map(|told| told.origin.clone());
            let number = heard.as_ref().and_then(|origin| belief.word.heard.get(origin)).map(|(number, _)| *number);
            let number = number.unwrap_or_else(|| self.outbox.next_number());
            let origin = heard.unwrap_or_else(|| origin.clone());
            notes.push(make_note(now, belief, origin, number, figures, seen_at));
        }
        notes
    }

    /// Takes over what a peer told. Returns whether that is news to this node, which then passes it on.
    pub fn learn_note(&mut self, now: Timestamp, own_name: &Name, note: &ServerNote) -> bool {
        let age = Duration::from_millis(note.age_ms).saturating_add(MESSAGE_TIME);
        let Some(belief) = self.servers.get_mut(&note.instance) else { return false };
        let is_known = belief.word.heard.get(&note.origin).is_some_and(|(number, _)| *number >= note.number);
        let is_other_start = belief.entry.started_ms != note.started_ms;
        let Some(figures) = note.figures() else { return false };
        if age >= BELIEF_TIME || note.origin == *own_name || is_known || is_other_start {
            return false;
        }
        let at = now - age;
        belief.word.heard.retain(|_, (_, heard_at)| now.since(*heard_at) < BELIEF_TIME);
        belief.word.heard.insert(note.origin.clone(), (note.number, at));
        let before = belief.public_figures(now);
        let is_younger = |seen_at: Timestamp| at > seen_at;
        if !is_younger(belief.learnt.at) || belief.word.told.as_ref().is_some_and(|told| !is_younger(told.at)) {
            return false;
        }
        belief.word.told = Some(ToldBelief { figures, at, origin: note.origin.clone() });
        belief.word.public = Some((figures, at));
        let service = belief.entry.service.clone();
        // Nodes tell only of services whose servers they compare.
        self.compare_servers(&service);
        let peers = self.peer_figures(now, &service);
        if !is_news(before, figures, &peers) {
            return false;
        }
        let passed = Some((note.origin.clone(), note.number));
        self.outbox.notes.insert(note.instance.clone(), OutboxNote { figures, at, passed });
        true
    }

    /// Returns what others told of a server where that counts: of those that it makes worse, only the worst
    /// third.
    pub(super) fn counted_word<'a>(&self, now: Timestamp, belief: &'a ServerBelief) -> Option<&'a ToldBelief> {
        let told = belief.word_of_others(now)?;
        if !is_worse_than_usual(told.figures) {
            return Some(told);
        }
        let rank = |figures: ServerFigures, instance: &Name| (badness(figures), instance.clone());
        let own_rank = rank(told.figures, &belief.entry.instance);
        let (mut count, mut worse) = (0, 0);
        for other in self.of_service(&belief.entry.service) {
            count += 1;
            let word = other.word_of_others(now).filter(|word| is_worse_than_usual(word.figures));
            worse += usize::from(word.is_some_and(|word| rank(word.figures, &other.entry.instance) > own_rank));
        }
        (worse < (f64::from(count) * WORD_SHARE).round() as usize).then_some(told)
    }

    /// Returns whether a server is left on the word of others alone.
    pub(super) fn is_left_on_word(&self, now: Timestamp, belief: &ServerBelief) -> bool {
        let Some(told) = self.counted_word(now, belief) else { return false };
        let peers = self.peer_figures(now, &belief.entry.service);
        peers.times_median(told.figures) >= LEFT_FACTOR || peers.is_failing(told.figures)
    }
}

/// Returns whether a server of which this was told would get less.
fn is_worse_than_usual(figures: ServerFigures) -> bool {
    badness(figures) > 1.0
}

/// Orders servers by how much longer a call is expected to take there.
fn badness(figures: ServerFigures) -> f64 {
    figures.slowness / (1.0 - figures.failing).max(0.01)
}

impl ServerBelief {
    /// Returns what peers are expected to believe.
    fn public_figures(&self, now: Timestamp) -> ServerFigures {
        let young = self.word.public.filter(|(_, at)| now.since(*at) < BELIEF_TIME);
        young.map_or(ServerFigures { slowness: 1.0, failing: 0.0 }, |(figures, _)| figures)
    }
}

/// Returns whether a change is worth telling: one to or from slow or failing. What varies below that is
/// of no use to others.
fn is_news(before: ServerFigures, now: ServerFigures, peers: &PeerFigures) -> bool {
    let is_slow = |figures: ServerFigures| peers.times_median(figures) >= SLOW_FACTOR;
    let ratio = now.slowness / before.slowness;
    let has_moved = ratio >= TOLD_MOVE || ratio <= 1.0 / TOLD_MOVE;
    let is_about_slow = is_slow(before) || is_slow(now);
    (has_moved && is_about_slow) || peers.is_failing(before) != peers.is_failing(now)
}

fn make_note(
    now: Timestamp,
    belief: &ServerBelief,
    origin: Name,
    number: u64,
    figures: ServerFigures,
    at: Timestamp,
) -> ServerNote {
    ServerNote {
        instance: belief.entry.instance.clone(),
        started_ms: belief.entry.started_ms,
        origin,
        number,
        slowness: figures.slowness as f32,
        failing: figures.failing as f32,
        age_ms: millis(now.since(at)),
    }
}

impl ServerNote {
    /// Returns what the note says, or `None` if it holds no proper figures.
    fn figures(&self) -> Option<ServerFigures> {
        let (slowness, failing) = (f64::from(self.slowness), f64::from(self.failing));
        let is_proper = slowness.is_finite() && slowness > 0.0 && (0.0..=1.0).contains(&failing);
        is_proper.then_some(ServerFigures { slowness, failing })
    }
}
