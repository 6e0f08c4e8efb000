//! Time until all nodes know the crashes of a content while no node reaches the store.
//!
//! A simulated network connects the trackers of the nodes, which pick their peers as in production. Each message
//! takes 1 to 40 ms one way, ten times the delay of the real links, to allow for slow CPUs. A starting node pulls
//! reports at once.

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

/// Servers that crashed under the content.
const CRASHES: usize = 3;

#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    PullTimer,
    Reports { from: usize, wants_answer: bool },
}

struct GossipSimulation {
    trackers: Vec<SuspectTracker>,
    names: Vec<Name>,
    /// Time of delivery, order of sending, receiver, message.
    queue: BinaryHeap<Reverse<(u64, u64, usize, Message)>>,
    /// Reports of the messages in flight, by the order of sending.
    reports: Vec<Vec<CrashReport>>,
    settings: GossipSettings,
    random: Pcg64Mcg,
}

impl GossipSimulation {
    fn new(nodes: usize, seed: u64) -> Self {
        let names = (0..nodes).map(|node| node.to_string().into()).collect();
        let trackers = (0..nodes).map(|_| SuspectTracker::new(SuspectSettings::default())).collect();
        let (queue, reports, settings) = (BinaryHeap::new(), Vec::new(), GossipSettings::default());
        let mut simulation = Self { trackers, names, queue, reports, settings, random: Pcg64Mcg::seed_from_u64(seed) };
        let interval = u64::try_from(simulation.settings.pull_interval.as_millis()).unwrap();
        for node in 0..nodes {
            let at = simulation.random.random_range(0..interval);
            simulation.schedule(at, node, Message::PullTimer, Vec::new());
        }
        simulation
    }

    fn schedule(&mut self, at: u64, to: usize, message: Message, reports: Vec<CrashReport>) {
        self.reports.push(reports);
        self.queue.push(Reverse((at, self.reports.len() as u64 - 1, to, message)));
    }

    fn send(&mut self, now: u64, from: usize, to: &Name, reports: Vec<CrashReport>, wants_answer: bool) {
        let delay = self.random.random_range(DELAY_MS);
        self.schedule(now + delay, to.parse().unwrap(), Message::Reports { from, wants_answer }, reports);
    }

    fn others(&self, node: usize) -> Vec<Name> {
        self.names.iter().filter(|name| **name != self.names[node]).cloned().collect()
    }

    fn push_reports(&mut self, now: u64, node: usize, new_reports: &[CrashReport]) {
        for peer in self.settings.pick_push_peers(&self.others(node).into(), &mut self.random) {
            self.send(now, node, &peer, new_reports.to_vec(), true);
        }
    }

    fn merge(&mut self, now: u64, node: usize, reports: &[CrashReport]) {
        let at = START + Duration::from_millis(now);
        let tracker = &mut self.trackers[node];
        let new_reports: Vec<CrashReport> =
            reports.iter().filter(|report| tracker.merge(at, report)).copied().collect();
        if !new_reports.is_empty() {
            self.push_reports(now, node, &new_reports);
        }
    }

    fn has_all_reports(&self, node: usize, content: RequestFingerprint) -> bool {
        self.trackers[node].crash_count(content) == CRASHES
    }

    /// Runs until every node knows all crashes of the content. Returns the time that this took, in milliseconds.
    fn run_until_known(&mut self, content: RequestFingerprint) -> u64 {
        let mut waiting_nodes: Vec<usize> = (0..self.names.len()).collect();
        while let Some(Reverse((now, number, node, message))) = self.queue.pop() {
            let at = START + Duration::from_millis(now);
            match message {
                Message::PullTimer => {
                    let peer = self.settings.pick_pull_peer(&self.others(node).into(), &mut self.random).unwrap();
                    let known = self.trackers[node].reports(at);
                    self.send(now, node, &peer, known, true);
                    let next = now + u64::try_from(self.settings.pull_interval.as_millis()).unwrap();
                    self.schedule(next, node, Message::PullTimer, Vec::new());
                }
                Message::Reports { from, wants_answer } => {
                    let reports = std::mem::take(&mut self.reports[usize::try_from(number).unwrap()]);
                    if wants_answer {
                        let known = self.trackers[node].reports(at);
                        let to = self.names[from].clone();
                        self.send(now, node, &to, known, false);
                    }
                    self.merge(now, node, &reports);
                }
            }
            waiting_nodes.retain(|node| !self.has_all_reports(*node, content));
            if waiting_nodes.is_empty() {
                return now;
            }
        }
        unreachable!("nodes keep pulling");
    }
}

/// Returns the longest time over all seeds, in milliseconds.
fn longest_spread_ms(nodes: usize, prepare: impl Fn(&mut GossipSimulation, &[CrashReport])) -> u64 {
    let content = RequestContent { customer: None, host: "h", path: "/x", body: b"fatal" }.fingerprint();
    let report = |number: u64| CrashReport {
        fingerprint: content,
        server_start: server_start(&format!("i-{number}"), number),
        is_trial: true,
        is_cleared: false,
        age_ms: 0,
    };
    let reports: Vec<CrashReport> = (0..CRASHES as u64).map(report).collect();
    let times = (0..SEEDS).map(|seed| {
        let mut simulation = GossipSimulation::new(nodes, seed);
        prepare(&mut simulation, &reports);
        simulation.run_until_known(content)
    });
    times.max().unwrap()
}

/// One node saw all three crashes.
#[test]
fn reports_reach_all_nodes_within_a_second_and_a_half() {
    for nodes in [9, 84, 300] {
        let longest_spread_ms = longest_spread_ms(nodes, |simulation, reports| simulation.merge(0, 0, reports));
        println!("{nodes} nodes: {longest_spread_ms} ms at most over {SEEDS} seeds");
        assert!(longest_spread_ms <= 1_500, "{nodes} nodes: {longest_spread_ms} ms");
    }
}

/// All nodes but one know the crashes, and that one starts or reconnects. A single request must be enough.
#[test]
fn a_starting_node_has_all_reports_after_one_request() {
    for nodes in [9, 84, 300] {
        let longest_spread_ms = longest_spread_ms(nodes, |simulation, reports| {
            for tracker in &mut simulation.trackers[1..] {
                reports.iter().for_each(|report| assert!(tracker.merge(START, report)));
            }
        });
        println!("{nodes} nodes: {longest_spread_ms} ms at most over {SEEDS} seeds");
        assert!(longest_spread_ms <= 400 + 2 * DELAY_MS.end(), "{nodes} nodes: {longest_spread_ms} ms");
    }
}
