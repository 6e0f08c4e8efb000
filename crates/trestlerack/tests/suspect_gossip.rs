//! How fast the ends under a content are known everywhere while no node reaches the store.
//!
//! The nodes' books and the gossip's own choices are played against a model of the network: each
//! message takes 1 to 40 ms one way, which is ten times the links' delay and leaves time for small
//! processors. A node that starts asks at once.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use trestlerack::process::{CrashReport, GossipSettings, SuspectSettings, SuspectTracker, server_start};
use trestlerack::request::{RequestContent, RequestFingerprint};
use trestlerack::{Name, Timestamp};

const START: Timestamp = Timestamp(10_000_000);
const DELAY_MS: std::ops::RangeInclusive<u64> = 1..=40;
const SEEDS: u64 = 40;

/// Servers that ended under the content.
const ENDS: usize = 3;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Ask,
    Strikes { from: usize, wants_answer: bool },
}

struct GossipModel {
    books: Vec<SuspectTracker>,
    names: Vec<Name>,
    /// Time, order of sending, receiver.
    queue: BinaryHeap<Reverse<(u64, u64, usize, Message)>>,
    /// Notes of the messages on the way, by the order of sending.
    notes: Vec<Vec<CrashReport>>,
    settings: GossipSettings,
    random: Pcg64Mcg,
}

impl GossipModel {
    fn new(nodes: usize, seed: u64) -> Self {
        let names = (0..nodes).map(|node| node.to_string().into()).collect();
        let books = (0..nodes).map(|_| SuspectTracker::new(SuspectSettings::default())).collect();
        let (queue, notes, settings) = (BinaryHeap::new(), Vec::new(), GossipSettings::default());
        let mut model = Self { books, names, queue, notes, settings, random: Pcg64Mcg::seed_from_u64(seed) };
        let interval = u64::try_from(model.settings.pull_interval.as_millis()).unwrap();
        for node in 0..nodes {
            let at = model.random.random_range(0..interval);
            model.push(at, node, Message::Ask, Vec::new());
        }
        model
    }

    fn push(&mut self, at: u64, to: usize, message: Message, notes: Vec<CrashReport>) {
        self.notes.push(notes);
        self.queue.push(Reverse((at, self.notes.len() as u64 - 1, to, message)));
    }

    fn send(&mut self, now: u64, from: usize, to: &Name, notes: Vec<CrashReport>, wants_answer: bool) {
        let delay = self.random.random_range(DELAY_MS);
        self.push(now + delay, to.parse().unwrap(), Message::Strikes { from, wants_answer }, notes);
    }

    fn others(&self, node: usize) -> Vec<Name> {
        self.names.iter().filter(|name| **name != self.names[node]).cloned().collect()
    }

    fn tell(&mut self, now: u64, node: usize, news: &[CrashReport]) {
        for peer in self.settings.pick_push_peers(&self.others(node), &mut self.random) {
            self.send(now, node, &peer, news.to_vec(), true);
        }
    }

    fn learn(&mut self, now: u64, node: usize, notes: &[CrashReport]) {
        let at = START + Duration::from_millis(now);
        let book = &mut self.books[node];
        let news: Vec<CrashReport> = notes.iter().filter(|note| book.join(at, note)).copied().collect();
        if !news.is_empty() {
            self.tell(now, node, &news);
        }
    }

    fn knows(&self, node: usize, content: RequestFingerprint) -> bool {
        self.books[node].ended(content) == ENDS
    }

    /// Plays until every node knows all ends under the content; returns how long that took, in milliseconds.
    fn play(&mut self, content: RequestFingerprint) -> u64 {
        let mut open: Vec<usize> = (0..self.names.len()).collect();
        while let Some(Reverse((now, number, node, message))) = self.queue.pop() {
            let at = START + Duration::from_millis(now);
            match message {
                Message::Ask => {
                    let peer = self.settings.pick_pull_peer(&self.others(node), &mut self.random).unwrap();
                    let known = self.books[node].notes(at);
                    self.send(now, node, &peer, known, true);
                    let next = now + u64::try_from(self.settings.pull_interval.as_millis()).unwrap();
                    self.push(next, node, Message::Ask, Vec::new());
                }
                Message::Strikes { from, wants_answer } => {
                    let notes = std::mem::take(&mut self.notes[usize::try_from(number).unwrap()]);
                    if wants_answer {
                        let known = self.books[node].notes(at);
                        let to = self.names[from].clone();
                        self.send(now, node, &to, known, false);
                    }
                    self.learn(now, node, &notes);
                }
            }
            open.retain(|node| !self.knows(*node, content));
            if open.is_empty() {
                return now;
            }
        }
        unreachable!("nodes go on asking");
    }
}

/// Returns the longest time of all seeds, in milliseconds.
fn slowest(nodes: usize, prepare: impl Fn(&mut GossipModel, &[CrashReport])) -> u64 {
    let content = RequestContent { customer: None, host: "h", path: "/x", body: b"fatal" }.fingerprint();
    let note = |number: u64| CrashReport {
        fingerprint: content,
        server: server_start(&format!("i-{number}"), number),
        is_trial: true,
        is_void: false,
        age_ms: 0,
    };
    let notes: Vec<CrashReport> = (0..ENDS as u64).map(note).collect();
    let times = (0..SEEDS).map(|seed| {
        let mut model = GossipModel::new(nodes, seed);
        prepare(&mut model, &notes);
        model.play(content)
    });
    times.max().unwrap()
}

/// One node saw all three ends.
#[test]
fn news_reaches_all_nodes_within_a_second_and_a_half() {
    for nodes in [9, 84, 300] {
        let slowest = slowest(nodes, |model, notes| model.learn(0, 0, notes));
        println!("{nodes} nodes: {slowest} ms at most over {SEEDS} seeds");
        assert!(slowest <= 1_500, "{nodes} nodes: {slowest} ms");
    }
}

/// All nodes but one hold the content, and that one starts or returns: one question is enough.
#[test]
fn a_node_that_starts_knows_after_one_question() {
    for nodes in [9, 84, 300] {
        let slowest = slowest(nodes, |model, notes| {
            for book in &mut model.books[1..] {
                notes.iter().for_each(|note| assert!(book.join(START, note)));
            }
        });
        println!("{nodes} nodes: {slowest} ms at most over {SEEDS} seeds");
        assert!(slowest <= 400 + 2 * DELAY_MS.end(), "{nodes} nodes: {slowest} ms");
    }
}
