//! Storms of crashes beside contents that crash servers: neither gets too many servers, and harmless contents return.
//!
//! Guards against contents that stay blocked although nothing but crashes of another cause was seen under them, and
//! against recovery trials that send a fatal content to more servers than its rule allows. A simulated fleet runs items
//! as the entry service does, with one tracker for all of them.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use trestlerack::process::{
    RunEvidence, RunProgress, ServerEntry, SuspectRun, SuspectSettings, SuspectState, SuspectTracker,
};
use trestlerack::request::{RequestContent, RequestFingerprint};
use trestlerack::{Name, Timestamp};

const START: Timestamp = Timestamp(10_000_000);
const SEEDS: u64 = 16;

/// Seeds beyond these that once showed a fault.
const FAILED_SEEDS: [u64; 5] = [125, 200, 218, 299, 1_965];

/// Number of threads that play seeds.
const THREADS: u64 = 4;

/// Step of the simulation, in milliseconds.
const STEP_MS: u64 = 10;

/// Time between two events of a run, in milliseconds.
const EVENT_MS: u64 = 40;

/// Time for which a crashed server is down, in milliseconds.
const DOWN_MS: u64 = 1_500;

/// Time after a storm from which the fleet is calm, in milliseconds.
const STABLE_MS: u64 = 3_000;

/// Longest time that an item waits in calm, in milliseconds.
const MAX_WAIT_MS: u64 = 5_000;

/// Most runs of a fatal content later than [`STABLE_MS`] after its third crash.
const MAX_RETRIES: usize = 3;

/// Time for which a simulation goes on after its storm, in milliseconds.
const CALM_MS: u64 = 30_000;

/// Point at which a content crashes servers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum FatalPoint {
    /// Number of events after a run begins.
    Events(u64),
    /// Number of the event in the text.
    Position(u64),
}

#[derive(Debug)]
struct Content {
    fingerprint: RequestFingerprint,
    fatal: Option<FatalPoint>,
    /// Times at which servers crashed under it.
    crashed_at: Vec<u64>,
    /// Times at which it crashed servers.
    caused_at: Vec<u64>,
    began_at: Vec<u64>,
}

#[derive(Debug)]
struct Run {
    server: usize,
    began: u64,
    events: u64,
    suspect_run: Option<SuspectRun>,
}

#[derive(Debug)]
struct Item {
    content: usize,
    length: u64,
    position: u64,
    run: Option<Run>,
    waits_since: u64,
}

struct Server {
    entry: ServerEntry,
    down_until: u64,
}

/// What a seed draws.
#[derive(Debug)]
struct StormPlan {
    servers: usize,
    contents: usize,
    fatal: Vec<FatalPoint>,
    prefill_ms: u64,
    crashes: u64,
    crashed_at_once: usize,
    pause_ms: u64,
}

impl StormPlan {
    fn draw(random: &mut Pcg64Mcg) -> Self {
        let fatal_count = random.random_range(0..=2);
        let draw_point = |random: &mut Pcg64Mcg| match random.random_range(0..4) {
            0 | 1 => FatalPoint::Events(0),
            2 => FatalPoint::Events(random.random_range(1..=60)),
            _ => FatalPoint::Position(random.random_range(1..=60)),
        };
        Self {
            servers: random.random_range(5..=12),
            contents: random.random_range(6..=40),
            fatal: (0..fatal_count).map(|_| draw_point(random)).collect(),
            prefill_ms: [20, 20, 200, 1_000][random.random_range(0..4)],
            crashes: random.random_range(3..=25),
            crashed_at_once: random.random_range(1..=2),
            pause_ms: random.random_range(300..=3_000),
        }
    }

    fn storm_ms(&self) -> u64 {
        1_000 + self.crashes * self.pause_ms
    }
}

struct StormSimulation {
    plan: StormPlan,
    tracker: SuspectTracker,
    servers: Vec<Server>,
    contents: Vec<Content>,
    items: Vec<Item>,
    now: u64,
    starts: u64,
    random: Pcg64Mcg,
}

impl StormSimulation {
    fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let plan = StormPlan::draw(&mut random);
        let content = |number: usize| {
            let body = number.to_string();
            let fingerprint =
                RequestContent { customer: None, host: "h", path: "/x", body: body.as_bytes() }.fingerprint();
            let fatal = plan.fatal.get(number).copied();
            Content { fingerprint, fatal, crashed_at: Vec::new(), caused_at: Vec::new(), began_at: Vec::new() }
        };
        let contents: Vec<Content> = (0..plan.contents).map(content).collect();
        let mut items = Vec::new();
        for content in 0..contents.len() {
            for _ in 0..random.random_range(1..=4) {
                let length =
                    if random.random_bool(0.2) { random.random_range(100..=165) } else { random.random_range(5..=40) };
                items.push(Item { content, length, position: 0, run: None, waits_since: 0 });
            }
        }
        let tracker = SuspectTracker::new(SuspectSettings::default());
        let mut simulation = Self { plan, tracker, servers: Vec::new(), contents, items, now: 0, starts: 0, random };
        for number in 0..simulation.plan.servers {
            let entry = simulation.start_server(number);
            simulation.servers.push(Server { entry, down_until: 0 });
        }
        simulation
    }

    fn start_server(&mut self, number: usize) -> ServerEntry {
        self.starts += 1;
        ServerEntry {
            instance: format!("i-{number}-{}", self.starts).into(),
            started_ms: self.starts,
            service: "engines".into(),
            address: "10.0.0.1:80".into(),
            zone: "z".into(),
            slots: 12,
            is_draining: false,
            cold_left_ms: 0,
            models: Vec::new(),
            heartbeat: 1,
        }
    }

    fn at(&self) -> Timestamp {
        START + Duration::from_millis(self.now)
    }

    fn crash(&mut self, server: usize) {
        if self.servers[server].down_until > self.now {
            return;
        }
        let at = self.at();
        let entry = self.servers[server].entry.clone();
        for item in &mut self.items {
            let Some(run) = item.run.take_if(|run| run.server == server) else { continue };
            // The last events of a server that crashes may be lost.
            let lost = self.random.random_range(0..=2).min(run.events);
            let progress = RunProgress { events: run.events - lost, position: item.position - lost };
            item.position -= lost;
            item.waits_since = self.now;
            let content = &mut self.contents[item.content];
            if content.crashed_at.last() != Some(&self.now) {
                content.crashed_at.push(self.now);
            }
            let is_trial =
                run.suspect_run.is_some_and(|suspect_run| self.tracker.is_trial(&entry.instance, suspect_run));
            self.tracker.record_crash(at, content.fingerprint, &entry, RunEvidence { is_trial, progress });
            if let Some(suspect_run) = run.suspect_run {
                self.tracker.end_run(&entry.instance, suspect_run);
            }
        }
        let entry = self.start_server(server);
        self.servers[server] = Server { entry, down_until: self.now + DOWN_MS };
    }

    fn run_storm(&mut self) {
        let is_due = self.now >= 1_000 && self.now < self.plan.storm_ms();
        if !is_due || !(self.now - 1_000).is_multiple_of(self.plan.pause_ms.next_multiple_of(STEP_MS)) {
            return;
        }
        for _ in 0..self.plan.crashed_at_once {
            let server = self.random.random_range(0..self.servers.len());
            self.crash(server);
        }
    }

    /// Advances all runs by a step, and crashes the servers of those that reach a fatal point.
    fn advance_runs(&mut self) {
        let at = self.at();
        let mut fatal_servers = Vec::new();
        for item in &mut self.items {
            let Some(run) = &mut item.run else { continue };
            let content = &self.contents[item.content];
            let age = self.now - run.began;
            let has_event = age >= self.plan.prefill_ms && (age - self.plan.prefill_ms).is_multiple_of(EVENT_MS);
            if content.fatal == Some(FatalPoint::Events(0)) && age >= self.plan.prefill_ms.min(50) {
                fatal_servers.push((item.content, run.server));
                continue;
            }
            if !has_event {
                continue;
            }
            run.events += 1;
            item.position += 1;
            let is_fatal = match content.fatal {
                Some(FatalPoint::Events(events)) => run.events > events,
                Some(FatalPoint::Position(position)) => item.position > position,
                None => false,
            };
            if is_fatal {
                run.events -= 1;
                item.position -= 1;
                fatal_servers.push((item.content, run.server));
                continue;
            }
            let progress = RunProgress { events: run.events, position: item.position };
            self.tracker.record_progress(at, content.fingerprint, progress);
            // Longer than any fatal point, so that no fatal content completes.
            let length = if content.fatal.is_some() { u64::MAX } else { item.length };
            if item.position >= length {
                let instance = &self.servers[run.server].entry.instance;
                if let Some(suspect_run) = run.suspect_run {
                    self.tracker.end_run(instance, suspect_run);
                }
                self.tracker.record_answer(at, content.fingerprint);
                // The next step asks for the same prompt.
                (item.run, item.position, item.waits_since) = (None, 0, self.now);
            }
        }
        for (content, server) in fatal_servers {
            if self.servers[server].down_until <= self.now {
                self.contents[content].caused_at.push(self.now);
            }
            self.crash(server);
        }
    }

    fn choose_server(&mut self, avoid: &[Name]) -> Option<usize> {
        let is_free = |server: &Server| server.down_until <= self.now && !avoid.contains(&server.entry.instance);
        let free: Vec<usize> =
            self.servers.iter().enumerate().filter(|(_, server)| is_free(server)).map(|(number, _)| number).collect();
        free.choose(&mut self.random).copied()
    }

    fn start_item(&mut self, index: usize) {
        let (at, content) = (self.at(), self.items[index].content);
        let fingerprint = self.contents[content].fingerprint;
        if self.tracker.waits_for_other_run(at, fingerprint) {
            return;
        }
        let state = self.tracker.state(at, fingerprint);
        let avoid = match state {
            SuspectState::Clear | SuspectState::Suspected(1) => Vec::new(),
            SuspectState::Suspected(_) if !self.tracker.time_to_settle(at, fingerprint).is_zero() => return,
            SuspectState::Suspected(_) | SuspectState::Blocked(_) => {
                self.tracker.servers_with_other_suspects(fingerprint)
            }
        };
        let Some(server) = self.choose_server(&avoid) else { return };
        if matches!(state, SuspectState::Blocked(_)) {
            let Some(number) = self.tracker.start_recovery_trial(at, fingerprint) else { return };
            self.tracker.record_recovery_trial(at, fingerprint, number);
        }
        let instance = self.servers[server].entry.instance.clone();
        let suspect_run = self.tracker.begin_run(at, &instance, fingerprint);
        self.contents[content].began_at.push(self.now);
        self.items[index].run = Some(Run { server, began: self.now, events: 0, suspect_run });
    }

    /// Runs the storm and the calm after it, and checks both rules.
    fn check(mut self, seed: u64) {
        let calm_at = self.plan.storm_ms() + DOWN_MS + STABLE_MS;
        while self.now < self.plan.storm_ms() + CALM_MS {
            self.now += STEP_MS;
            self.run_storm();
            self.advance_runs();
            (0..self.items.len())
                .filter(|index| self.items[*index].run.is_none())
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|index| self.start_item(index));
            for item in &self.items {
                let content = &self.contents[item.content];
                let waits = item.run.is_none() && self.now > item.waits_since.max(calm_at) + MAX_WAIT_MS;
                assert!(
                    content.fatal.is_some() || !waits,
                    "seed {seed}, {} ms: a harmless item waits in state {:?} since {} ms, after crashes at {:?}; {:?}",
                    self.now,
                    self.tracker.state(self.at(), content.fingerprint),
                    item.waits_since,
                    content.crashed_at,
                    self.plan
                );
            }
        }
        for content in self.contents.iter().filter(|content| content.fatal.is_some()) {
            let Some(third_crash) = content.caused_at.get(2) else { continue };
            let retries = content.began_at.iter().filter(|at| **at > third_crash + STABLE_MS).count();
            assert!(
                retries <= MAX_RETRIES,
                "seed {seed}: {retries} retries of {:?}, runs at {:?}; {:?}",
                content.fatal,
                content.began_at,
                self.plan
            );
        }
    }
}

#[test]
fn storms_block_no_harmless_content_for_long_and_spare_no_fatal_one() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let first = number("TRESTLERACK_STORM_FIRST").unwrap_or(0);
    let seeds = number("TRESTLERACK_STORM_SEEDS").unwrap_or(SEEDS);
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            let all_seeds = (first..first + seeds).chain(FAILED_SEEDS);
            let own_seeds = all_seeds.filter(move |seed| seed % THREADS == thread);
            scope.spawn(|| own_seeds.for_each(|seed| StormSimulation::new(seed).check(seed)));
        }
    });
}
