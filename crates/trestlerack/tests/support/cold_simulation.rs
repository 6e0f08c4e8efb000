//! A simulated fleet whose nodes send as many requests to cold engines as their limiters permit.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeSet;
use std::time::Duration;
use trestlerack::hash::{hash_parts, rendezvous_weight};
use trestlerack::process::{
    BalancerSettings, ColdBudget, ColdLimiter, ColdSettings, ColdStartConfig, JobDrivers, LoadBalancer, ServerEntry,
    ServiceUse,
};
use trestlerack::version::{ClientLimits, RouteKind, RoutedService, RoutingTable};
use trestlerack::{Name, Timestamp};

const ENGINES: usize = 3;
const RUN_MS: u64 = 48_000;
const TICK_MS: u64 = 50;
const HEARTBEAT_MS: u64 = 1_200;
/// Interval between two evacuations of the zone, and how long each lasts.
const ZONE_CYCLE_MS: u64 = 8_000;
const ZONE_EVACUATED_MS: u64 = 2_000;

/// Time after a silent change to cold in which the bound does not apply: a heartbeat and the longest time for which
/// a node that lost contact just then trusts its information.
const SILENT_GAP_MS: u64 = HEARTBEAT_MS + 2 * HEARTBEAT_MS + 1_000;

/// Interval between two takeovers of the jobs.
const DRIVER_CYCLE_MS: u64 = 7_000;

/// Longest time for which a partitioned driver does not know of its successor.
const STALE_DRIVER_MS: u64 = 4_000;

const CONFIG: ColdStartConfig = ColdStartConfig { duration: Duration::from_secs(3), tolerated_per_s: 9.2 };

/// A request with the times at which it was sent and received, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    pub sent: u64,
    pub received: u64,
}

/// Checks that no span of one second contains more than `bound` requests that were sent and received in it.
pub fn check_bound(requests: &[SentRequest], bound: f64) -> Result<(), String> {
    let mut requests = requests.to_vec();
    requests.sort_by_key(|request| request.sent);
    for (index, first) in requests.iter().enumerate() {
        let end = first.sent + 1_000;
        let in_span = requests[index..].iter().take_while(|request| request.sent <= end);
        let count = in_span.filter(|request| request.received <= end).count();
        if count as f64 > bound {
            return Err(format!("{count} requests in the second from {}", first.sent));
        }
    }
    Ok(())
}

pub fn limiter(node: &str, settings: &ColdSettings, now: Timestamp) -> ColdLimiter {
    ColdLimiter::new(ColdSettings { node: node.into(), ..settings.clone() }, now)
}

/// Returns the configuration of the service `s`.
pub fn table(config: ColdStartConfig, kind: RouteKind, has_models: bool) -> RoutingTable {
    let limits = ClientLimits { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 };
    let service = RoutedService {
        name: "s".into(),
        max_connections: 0,
        engine_slots: 0,
        engine_tokens: 0,
        models: if has_models { vec!["m".into()] } else { Vec::new() },
        scaling: None,
        cold_start: Some(config),
    };
    let mut route = crate::load::safe_route(0);
    route.kind = kind;
    RoutingTable::new(1, vec![route], vec![service], limits)
}

/// What a run is generated from.
#[derive(Clone, Debug)]
pub struct SimulatedFleet {
    pub seed: u64,
    /// Kind of the only route.
    pub kind: RouteKind,
    pub settings: ColdSettings,
}

struct SimulatedEngine {
    entry: ServerEntry,
    cold_until: u64,
    /// Time until which requests are not checked after a silent change.
    unchecked_until: u64,
    requests: Vec<SentRequest>,
}

struct SimulatedNode {
    name: Name,
    balancer: LoadBalancer,
    /// Entries that arrive at the given time, with the time of the request for them.
    updates: Vec<(u64, u64, Vec<ServerEntry>)>,
    cut_until: u64,
    suspended_until: Option<u64>,
    /// Time at which the node learns of the current state of the zone.
    learns_zone_at: Option<u64>,
}

pub struct ColdSimulation {
    rng: StdRng,
    fleet: SimulatedFleet,
    budget: ColdBudget,
    engines: Vec<SimulatedEngine>,
    nodes: Vec<SimulatedNode>,
    driver: usize,
    /// The previous driver, and when it learns of its successor.
    former_driver: Option<(usize, u64)>,
    /// Time at which the driver changes once more.
    next_move: u64,
}

impl ColdSimulation {
    pub fn run(fleet: &SimulatedFleet) -> Self {
        let mut rng = StdRng::seed_from_u64(fleet.seed);
        let service_use = if fleet.kind == RouteKind::Batch { ServiceUse::JobsOnly } else { ServiceUse::Mixed };
        // The reserve for differing views is that of the default settings, also for a mutated fraction.
        let budget = ColdBudget::new(CONFIG, &ColdSettings::default(), service_use, true);
        let engine = |number: usize| {
            let mut entry = crate::load::plain_server(&format!("i-{number}"), "s", "z", 8);
            entry.cold_left_ms = 6_000;
            SimulatedEngine { entry, cold_until: 6_000, unchecked_until: 0, requests: Vec::new() }
        };
        let count = rng.random_range(8..30);
        let engines = (0..ENGINES).map(engine).collect();
        let mut simulation = Self {
            engines,
            nodes: Vec::new(),
            driver: 0,
            former_driver: None,
            next_move: 0,
            budget,
            rng,
            fleet: fleet.clone(),
        };
        for number in 0..count {
            let node = simulation.start_node(format!("n-{number}").into(), 0);
            simulation.nodes.push(node);
        }
        (0..count).for_each(|node| simulation.update_view(node, 0));
        (TICK_MS..RUN_MS).step_by(TICK_MS as usize).for_each(|now| simulation.advance(now));
        simulation
    }

    pub fn cold_requests(&self) -> usize {
        self.engines.iter().map(|engine| engine.requests.len()).sum()
    }

    pub fn check(&self) -> Result<(), String> {
        let bound = CONFIG.tolerated_per_s * self.fleet.settings.over + self.fleet.settings.slack;
        self.engines.iter().try_for_each(|engine| check_bound(&engine.requests, bound))
    }

    fn start_node(&self, name: Name, now: u64) -> SimulatedNode {
        let mut cold = limiter(&name, &self.fleet.settings, Timestamp(now));
        cold.set_services(&table(CONFIG, self.fleet.kind, true));
        let mut balancer = LoadBalancer::new(BalancerSettings::default()).with_cold_limiter(cold);
        for engine in &self.engines {
            balancer.put(&engine.entry);
            balancer.assign(&engine.entry.instance, Some(&"m".into()));
        }
        SimulatedNode { name, balancer, updates: Vec::new(), cut_until: 0, suspended_until: None, learns_zone_at: None }
    }

    /// Gives a node its view of the registered nodes, which lacks as many as are reserved for, and of the drivers.
    fn update_view(&mut self, node: usize, now: u64) {
        let reserve = (self.budget.total - 2 * self.budget.driver - self.budget.nodes) as usize;
        let mut ranked: Vec<Name> = self.nodes.iter().map(|node| node.name.clone()).collect();
        // All views lack the nodes that the same engine ranks first, so that most others take their places.
        let key = hash_parts(&[&self.engines[0].entry.instance]);
        ranked.sort_by_key(|name| std::cmp::Reverse(rendezvous_weight(key, name)));
        let own = self.nodes[node].name.clone();
        let missing: Vec<Name> = ranked.iter().filter(|name| **name != own).take(reserve).cloned().collect();
        let view: BTreeSet<Name> = ranked.into_iter().filter(|name| !missing.contains(name)).collect();
        let is_former = self.former_driver.is_some_and(|(former, until)| former == node && now < until);
        let mut drivers = JobDrivers::default();
        let driver = if is_former { node } else { self.driver };
        drivers.add(Some(&"m".into()), self.nodes[driver].name.clone());
        let cold = &mut self.nodes[node].balancer.cold;
        cold.set_nodes(view);
        cold.set_drivers(Timestamp(now), drivers);
    }

    fn advance(&mut self, now: u64) {
        if now.is_multiple_of(HEARTBEAT_MS) {
            for engine in &mut self.engines {
                engine.entry.heartbeat += 1;
                engine.entry.cold_left_ms = engine.cold_until.saturating_sub(now);
            }
        }
        if now.is_multiple_of(ZONE_CYCLE_MS) {
            self.change_zone(now, true);
        } else if now > ZONE_CYCLE_MS && now % ZONE_CYCLE_MS == ZONE_EVACUATED_MS {
            self.change_zone(now, false);
        }
        if now.is_multiple_of(DRIVER_CYCLE_MS) {
            self.former_driver = Some((self.driver, now + self.rng.random_range(500..STALE_DRIVER_MS)));
            self.driver = self.rng.random_range(0..self.nodes.len());
            self.next_move = now + self.rng.random_range(100..2_000);
        }
        if now / TICK_MS == self.next_move / TICK_MS {
            // A second driver whose job is short learns at once of its successor.
            let former = std::mem::replace(&mut self.driver, self.rng.random_range(0..self.nodes.len()));
            self.update_view(former, now);
        }
        self.inject_fault(now);
        for node in 0..self.nodes.len() {
            self.advance_node(node, now);
        }
    }

    /// Evacuates the zone of all engines or opens it. Engines are cold then, for times longer than usual.
    fn change_zone(&mut self, now: u64, is_evacuated: bool) {
        for node in &mut self.nodes {
            // All nodes know of the evacuation when the engines become cold, and learn of its end at any time.
            node.learns_zone_at = Some(if is_evacuated { now } else { now + self.rng.random_range(0..3_000) });
        }
        for engine in &mut self.engines {
            if !is_evacuated {
                engine.cold_until = now + self.rng.random_range(4_000..6_000);
            }
        }
    }

    fn inject_fault(&mut self, now: u64) {
        let node = self.rng.random_range(0..self.nodes.len());
        match self.rng.random_range(0..200) {
            0..=3 => self.nodes[node].cut_until = now + self.rng.random_range(500..12_000),
            4..=5 => self.nodes[node].suspended_until = Some(now + self.rng.random_range(100..6_000)),
            6 => {
                let zone = self.nodes[node].learns_zone_at;
                let name = self.nodes[node].name.clone();
                self.nodes[node] = self.start_node(name, now);
                let is_open = now % ZONE_CYCLE_MS >= ZONE_EVACUATED_MS || now < ZONE_CYCLE_MS;
                self.nodes[node].learns_zone_at = if is_open { zone } else { Some(now) };
                self.update_view(node, now);
            }
            7 => {
                let engine = self.rng.random_range(0..ENGINES);
                self.engines[engine].cold_until = now + 9_000;
                self.engines[engine].unchecked_until = now + SILENT_GAP_MS;
            }
            8..=20 => self.update_view(node, now),
            _ => {}
        }
        if let Some((former, _)) = self.former_driver.take_if(|(_, until)| now >= *until) {
            self.update_view(former, now);
        }
    }

    fn advance_node(&mut self, index: usize, now: u64) {
        if self.nodes[index].suspended_until.is_some_and(|until| now < until) {
            return;
        }
        if self.nodes[index].suspended_until.take().is_some() {
            self.nodes[index].balancer.cold.record_resumption(Timestamp(now));
        }
        if now.is_multiple_of(200) && now >= self.nodes[index].cut_until {
            let delay = if self.rng.random_bool(0.02) { 2_500 } else { self.rng.random_range(20..700) };
            let entries = self.engines.iter().map(|engine| engine.entry.clone()).collect();
            self.nodes[index].updates.push((now + delay, now, entries));
        }
        self.read_news(index, now);
        if now.is_multiple_of(100)
            && (index == self.driver || self.former_driver.is_some_and(|(former, _)| former == index))
        {
            self.update_view(index, now);
        }
        if index == 0 {
            self.send_orders(now);
        }
        if self.rng.random_bool(0.7) {
            self.send(index, now);
        }
    }

    /// The first node holds the lease and sends as many weight orders and polls as it may.
    fn send_orders(&mut self, now: u64) {
        for number in 0..ENGINES {
            let entry = self.engines[number].entry.clone();
            let balancer = &mut self.nodes[0].balancer;
            let accepts_work = balancer.get(&entry.instance).is_some_and(|server| server.accepts_work());
            if accepts_work && balancer.cold.try_order(Timestamp(now), &entry) {
                self.receive(number, now);
            }
        }
    }

    fn receive(&mut self, number: usize, now: u64) {
        let received = now + self.rng.random_range(0..=100);
        let engine = &mut self.engines[number];
        if received < engine.cold_until && received >= engine.unchecked_until {
            engine.requests.push(SentRequest { sent: now, received });
        }
    }

    fn read_news(&mut self, index: usize, now: u64) {
        let SimulatedNode { balancer, updates, learns_zone_at, .. } = &mut self.nodes[index];
        let (arrived, later) = std::mem::take(updates).into_iter().partition(|(at, _, _)| *at <= now);
        *updates = later;
        let mut arrived: Vec<_> = arrived;
        arrived.sort_by_key(|(_, requested_at, _)| *requested_at);
        for (_, requested_at, entries) in arrived {
            entries.iter().for_each(|entry| balancer.cold.record_entry(Timestamp(now), entry));
            balancer.cold.record_information(Timestamp(requested_at));
        }
        if learns_zone_at.take_if(|at| *at <= now).is_some() {
            let is_evacuated = now >= ZONE_CYCLE_MS && now % ZONE_CYCLE_MS < ZONE_EVACUATED_MS;
            let zones = if is_evacuated { BTreeSet::from(["z".into()]) } else { BTreeSet::new() };
            balancer.set_evacuated_zones(zones);
        }
        if now.is_multiple_of(100) {
            balancer.cold.advance(Timestamp(now));
        }
    }

    /// Sends as many requests to each engine as the limiter permits, up to a random number.
    fn send(&mut self, index: usize, now: u64) {
        for number in 0..ENGINES {
            let entry = self.engines[number].entry.clone();
            for _ in 0..self.rng.random_range(1..6) {
                let balancer = &mut self.nodes[index].balancer;
                let accepts_work = balancer.get(&entry.instance).is_some_and(|server| server.accepts_work());
                if !accepts_work || balancer.try_send(Timestamp(now), &entry).is_none() {
                    break;
                }
                self.receive(number, now);
            }
        }
    }
}
