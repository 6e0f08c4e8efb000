//! Choices in a fleet that spans regions, compared with those of a fleet whose settings name no zones.

#[path = "support/load.rs"]
mod load;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;
use trestlerack::process::{
    FollowerCandidate, LoadBalancer, OwnerCandidate, RegionalPeers, RelaySelector, ServerCounts, ServerEntry,
    ServerNeed, SlotNeed, choose_job_owner, follower_order, server_gossip_settings, successor_rank,
};
use trestlerack::version::{OwnRegion, Zone, ZoneMap};
use trestlerack::{Name, Timestamp};

const ZONES: [&str; 6] = ["a1", "a2", "b1", "b2", "c1", "c2"];
/// Time for which a call at an unreachable server waits.
const CONNECT_TIMEOUT_MS: u64 = 400;

fn region_of(zone: &str) -> &str {
    &zone[..1]
}

fn zone_map() -> ZoneMap {
    let zone = |name: &&str| Zone { name: (*name).into(), region: region_of(name).into() };
    ZoneMap::new(&ZONES.iter().map(zone).collect::<Vec<_>>())
}

fn own_region(zone: &str) -> Option<OwnRegion> {
    OwnRegion::new(&zone_map(), &zone.into())
}

/// A simulation of short calls of 100 ms to 34 servers with 6 slots, from five nodes in each zone.
#[derive(Clone, Copy, Debug, Default)]
struct CallCase {
    /// Calls as a fraction of the capacity of all servers.
    load: f64,
    /// Whether region `a` has no servers.
    is_a_empty: bool,
    /// Whether region `a` and the others cannot reach each other.
    is_a_cut: bool,
    /// Whether latencies of servers are compared.
    is_compared: bool,
}

/// Fractions of the served calls that another region served, of all calls that were refused, and of those of region
/// `a` that waited for an unreachable server; calls of the busiest server relative to the mean.
#[derive(Debug)]
struct CallOutcome {
    remote: f64,
    refused: f64,
    timed_out: f64,
    busiest: f64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum CallEvent {
    Attempt { node: usize, tried: Vec<Name> },
    Done { server: usize },
    Response { node: usize, server: usize, sent_ms: u64 },
    Timeout { node: usize, server: usize, tried: Vec<Name> },
}

fn simulate_calls(case: CallCase, knows_regions: bool) -> CallOutcome {
    let all = (0..34).map(|number| load::plain_server(&format!("i-{number}"), "s", ZONES[number % 6], 6));
    let servers: Vec<ServerEntry> = all.filter(|server| !(case.is_a_empty && region_of(&server.zone) == "a")).collect();
    let new_balancer = |node: usize| {
        let mut balancer = load::balancer_of(&servers);
        balancer.set_own_region(own_region(ZONES[node % 6]).filter(|_| knows_regions));
        if case.is_compared {
            balancer.compare_servers(&"s".into());
        }
        balancer
    };
    let mut balancers: Vec<LoadBalancer> = (0..30).map(new_balancer).collect();
    let mut random = StdRng::seed_from_u64(11);
    let calls = (case.load * servers.len() as f64 * 6.0 * 50.0) as u64;
    let mut arrive = |_| {
        let node = random.random_range(0..30);
        Reverse((random.random_range(1_000..6_000), CallEvent::Attempt { node, tried: Vec::new() }))
    };
    let mut queue: BinaryHeap<Reverse<(u64, CallEvent)>> = (0..calls).map(&mut arrive).collect();
    let (mut running, mut counts) = (vec![0_u32; servers.len()], vec![0_u32; servers.len()]);
    let (mut remote, mut refused, mut timed_out) = (0, 0, 0);
    while let Some(Reverse((now_ms, event))) = queue.pop() {
        let now = Timestamp(now_ms);
        match event {
            CallEvent::Attempt { node, mut tried } => {
                let (zone, name) = (ZONES[node % 6], format!("node-{node}"));
                let need = ServerNeed { service: "s", zone, tie_key: &name, avoid: &tried, ..ServerNeed::default() };
                let need = ServerNeed { slot_need: SlotNeed::One, is_repeatable: true, ..need };
                let chosen = balancers[node].choose(now, &need).map(|server| server.entry.instance.clone());
                let Some(chosen) = chosen else {
                    refused += 1;
                    continue;
                };
                let server = servers.iter().position(|server| server.instance == chosen).unwrap();
                let (from, to) = (region_of(zone), region_of(&servers[server].zone));
                balancers[node].started(&chosen);
                tried.push(chosen.clone());
                if case.is_a_cut && from != to && (from == "a" || to == "a") {
                    timed_out += u32::from(from == "a" && tried.len() == 1);
                    queue.push(Reverse((now_ms + CONNECT_TIMEOUT_MS, CallEvent::Timeout { node, server, tried })));
                } else if running[server] >= 6 {
                    balancers[node].ended(&chosen);
                    balancers[node].refused(now, &chosen);
                    queue.push(Reverse((now_ms + 3, CallEvent::Attempt { node, tried })));
                } else {
                    running[server] += 1;
                    counts[server] += 1;
                    remote += u32::from(from != to);
                    let transit_ms = if from == to { 1 } else { 30 };
                    let done_ms = now_ms + transit_ms + random.random_range(60..140);
                    queue.push(Reverse((done_ms, CallEvent::Done { server })));
                    let response = CallEvent::Response { node, server, sent_ms: now_ms };
                    queue.push(Reverse((done_ms + transit_ms, response)));
                }
            }
            CallEvent::Done { server } => running[server] -= 1,
            CallEvent::Response { node, server, sent_ms } => {
                let (instance, took) = (&servers[server].instance, Duration::from_millis(now_ms - sent_ms));
                let balancer = &mut balancers[node];
                balancer.record_load(now, instance, running[server], 0);
                balancer.ended(instance);
                balancer.succeeded(instance);
                balancer.record_latency(&"s".into(), took);
                balancer.record_response(now, instance, &"r".into(), took);
            }
            CallEvent::Timeout { node, server, tried } => {
                balancers[node].ended(&servers[server].instance);
                balancers[node].failed(now, &servers[server].instance);
                balancers[node].record_failed_response(now, &servers[server].instance);
                queue.push(Reverse((now_ms, CallEvent::Attempt { node, tried })));
            }
        }
    }
    let served = f64::from(counts.iter().sum::<u32>());
    CallOutcome {
        remote: f64::from(remote) / served,
        refused: f64::from(refused) / calls as f64,
        timed_out: f64::from(timed_out) / calls as f64 * 3.0,
        busiest: f64::from(*counts.iter().max().unwrap()) * counts.len() as f64 / served,
    }
}

/// A step of runs that one driver in region `a` starts on 16 engines with 8 slots, whose pace differs by 30 %.
#[derive(Clone, Copy, Debug)]
struct StepCase {
    items: usize,
    is_a_empty: bool,
    is_a_cut: bool,
}

/// Fraction of the runs that went to another region, time until the last run ended, and the largest number of
/// concurrent runs of one engine.
#[derive(Debug)]
struct StepOutcome {
    remote: f64,
    step_ms: u64,
    busiest: u32,
}

fn simulate_step(case: StepCase, knows_regions: bool) -> StepOutcome {
    let engine = |number: usize| ServerEntry {
        models: vec![("m".into(), 1)],
        ..load::plain_server(&format!("e-{number}"), "models", ZONES[number % 6], 8)
    };
    let engines = (0..16).map(engine).filter(|engine| !(case.is_a_empty && region_of(&engine.zone) == "a"));
    let engines: Vec<ServerEntry> = engines.collect();
    let mut balancer = load::balancer_of(&engines);
    balancer.set_own_region(own_region("a1").filter(|_| knows_regions));
    let (mut running, mut busiest, mut remote, mut now_ms) = (vec![0_u32; engines.len()], 0, 0, 10_000);
    let mut waiting: Vec<usize> = (0..case.items).rev().collect();
    // Ends of runs: time, engine, and the item if it has to run again.
    let mut ends: BinaryHeap<Reverse<(u64, usize, Option<usize>)>> = BinaryHeap::new();
    loop {
        let now = Timestamp(now_ms);
        while let Some(item) = waiting.pop() {
            let is_long = item % 8 == 0;
            let need = ServerNeed { service: "models", weights: Some(("m", 1)), zone: "a1", ..ServerNeed::default() };
            let need = ServerNeed { slot_need: SlotNeed::One, is_long, tie_key: "n", ..need };
            let Some(chosen) = balancer.choose(now, &need).map(|server| server.entry.instance.clone()) else {
                waiting.push(item);
                break;
            };
            let engine = engines.iter().position(|engine| engine.instance == chosen).unwrap();
            let is_remote = region_of(&engines[engine].zone) != "a";
            balancer.started(&chosen);
            running[engine] += 1;
            busiest = busiest.max(running[engine]);
            if is_remote && case.is_a_cut {
                ends.push(Reverse((now_ms + CONNECT_TIMEOUT_MS, engine, Some(item))));
                continue;
            }
            remote += usize::from(is_remote);
            // Each further run of an engine delays its events by 0.6 %.
            let pace_ms = 32.0 * (1.0 + 0.1 * (engine % 4) as f64) * (1.0 + 0.006 * f64::from(running[engine] - 1));
            balancer.record_event_gap(now, &chosen, Duration::from_secs_f64(pace_ms / 1_000.0));
            let run_ms = pace_ms * if is_long { 110.0 } else { 60.0 } + if is_remote { 60.0 } else { 0.0 };
            ends.push(Reverse((now_ms + run_ms as u64, engine, None)));
        }
        let Some(Reverse((end_ms, engine, failed))) = ends.pop() else { break };
        now_ms = end_ms;
        running[engine] -= 1;
        balancer.ended(&engines[engine].instance);
        waiting.extend(failed);
        match failed {
            Some(_) => _ = balancer.failed(Timestamp(now_ms), &engines[engine].instance),
            None => balancer.succeeded(&engines[engine].instance),
        }
    }
    StepOutcome { remote: remote as f64 / case.items as f64, step_ms: now_ms - 10_000, busiest }
}

/// Runs a case with the old choice and with regions.
fn compare<C: Copy + std::fmt::Debug, O: std::fmt::Debug>(case: C, simulate: impl Fn(C, bool) -> O) -> (O, O) {
    let outcomes = (simulate(case, false), simulate(case, true));
    println!("{case:?}: {:?} without regions, {:?} with them", outcomes.0, outcomes.1);
    outcomes
}

/// Guards against calls that cross regions for a slot that their own region has free, and against a preference that
/// refuses calls or overloads single servers.
#[test]
fn calls_leave_their_region_only_for_free_slots() {
    let case = CallCase::default();
    for (load, is_a_empty, max_remote) in [(0.5, false, 0.0), (0.9, false, 0.45), (1.0, false, 0.55), (0.5, true, 0.34)]
    {
        for is_compared in [false, true] {
            let case = CallCase { load, is_a_empty, is_compared, ..case };
            let (old, new) = compare(case, simulate_calls);
            assert!(new.remote <= max_remote && new.remote <= old.remote + 0.01, "load {load}");
            assert!(new.refused <= old.refused + 0.01, "load {load}");
            assert!(new.busiest <= 1.05 * old.busiest, "load {load}");
        }
    }
}

/// Guards against calls that wait for servers behind a broken link while their own region has free slots.
#[test]
fn a_region_that_is_cut_off_serves_its_calls_with_its_own_servers() {
    for (load, max_timed_out) in [(0.5, 0.0), (0.9, 0.03)] {
        for is_compared in [false, true] {
            let case = CallCase { load, is_a_cut: true, is_compared, ..CallCase::default() };
            let (old, new) = compare(case, simulate_calls);
            assert!(new.timed_out <= max_timed_out && new.timed_out <= old.timed_out / 2.0, "load {load}");
            assert!(new.refused <= old.refused && new.busiest <= 1.05 * old.busiest, "load {load}");
        }
    }
}

/// Guards against runs that pay for bytes between regions without need, and against steps that wait for the own
/// region.
#[test]
fn runs_stay_in_the_region_of_their_driver_without_delaying_the_step() {
    let case = StepCase { items: 0, is_a_empty: false, is_a_cut: false };
    for (items, max_remote) in [(24, 0.0), (40, 0.2), (64, 0.4), (128, 0.63)] {
        let (old, new) = compare(StepCase { items, ..case }, simulate_step);
        assert!(new.remote <= max_remote && new.remote <= old.remote, "{items} items");
        assert!(new.step_ms <= old.step_ms && new.busiest <= old.busiest.max(7), "{items} items");
    }
    let (old, new) = compare(StepCase { items: 64, is_a_empty: true, ..case }, simulate_step);
    assert!(new.step_ms <= old.step_ms);
    let (old, new) = compare(StepCase { items: 64, is_a_cut: true, ..case }, simulate_step);
    assert!(new.step_ms * 10 <= old.step_ms * 8, "no run of the own region waits for one that is lost");
}

/// Guards against any change of decisions where regions make no difference.
#[test]
fn zones_of_one_region_and_unknown_zones_are_no_regions() {
    let one = Zone { name: "a1".into(), region: "a".into() };
    let other = Zone { name: "a2".into(), region: "a".into() };
    assert_eq!(OwnRegion::new(&ZoneMap::default(), &"a1".into()), None);
    assert_eq!(OwnRegion::new(&ZoneMap::new(&[one, other]), &"a1".into()), None);
    let region = own_region("a1").unwrap();
    assert_eq!(["a1", "a2", "b1", "new"].map(|zone| region.relation(zone) as u8), [0, 1, 2, 2]);
}

fn node_names(zone: &str) -> Vec<Name> {
    (0..5).map(|number| format!("{zone}-{number}").into()).collect()
}

#[test]
fn drivers_and_followers_of_the_own_region_come_first() {
    let region = own_region("a1").unwrap();
    let nodes: Vec<Name> = ZONES.iter().flat_map(|zone| node_names(zone)).collect();
    let candidate = |name: &Name| {
        let relation = region.relation(&name[..2]);
        // The nodes of the own region are the busier ones.
        let models = usize::from(name.starts_with('a'));
        OwnerCandidate { name: name.clone(), capacity: 500, models, store_latency_ms: 0, relation }
    };
    let candidates: Vec<OwnerCandidate> = nodes.iter().map(candidate).collect();
    let owner = |newest, candidates: &[OwnerCandidate]| {
        choose_job_owner("m", "small", newest, candidates).unwrap().name.to_string()
    };
    assert!(owner(None, &candidates).starts_with("a1"));
    assert!(owner(Some("b1-2"), &candidates).starts_with("a1"), "an owner in another region is not kept");
    assert_eq!(owner(Some("a2-2"), &candidates), "a2-2");
    let remote: Vec<OwnerCandidate> = candidates.into_iter().filter(|node| !region.contains(&node.name[..2])).collect();
    assert_eq!(owner(Some("b1-2"), &remote), "b1-2");

    let follower = |name: &Name| FollowerCandidate { name: name.clone(), zone: name[..2].into(), capacity: 1 };
    let followers: Vec<FollowerCandidate> = nodes.iter().map(follower).collect();
    let own = FollowerCandidate { name: "own".into(), zone: "a1".into(), capacity: 1 };
    let order = follower_order(&own, Some(&region), &followers);
    assert!(order[..5].iter().all(|name| name.starts_with("a1")), "{order:?}");
    assert!(order[5..10].iter().all(|name| name.starts_with("a2")), "{order:?}");

    let all: Vec<(Name, u32)> = nodes.iter().map(|name| (name.clone(), 500)).collect();
    let rank = |name: &Name, region: &str| successor_rank("job", (name, 500), &all, |other| other.starts_with(region));
    let mut near: Vec<(usize, &Name)> = all.iter().map(|(name, _)| (rank(name, "b"), name)).collect();
    near.sort();
    assert!(near.iter().enumerate().all(|(index, (rank, _))| index == *rank), "each node has a rank of its own");
    assert!(near[..2].iter().all(|(_, name)| name.starts_with('b')), "{near:?}");
    assert!(near.iter().all(|(rank, name)| *rank <= successor_rank("job", (name, 500), &all, |_| false) + 2));
}

/// Guards against calls to relays of other regions while the own region can relay, and against a region that the
/// store does not serve waiting for all its own nodes.
#[test]
fn relays_of_the_own_region_are_asked_first_and_another_region_second() {
    let peers = RegionalPeers { near: node_names("a1"), far: node_names("b1") };
    let mut selector = RelaySelector::new("own");
    let mut now = Timestamp(1_000_000);
    let is_near = |name: &Name| name.starts_with("a1");
    for _ in 0..10 {
        let order = selector.pick(now, peers.clone());
        assert_eq!(order.iter().map(is_near).collect::<Vec<_>>(), [true, false, true]);
        selector.record_success(&order[0]);
    }
    let order = selector.pick(now, peers.clone());
    selector.record_failure(now, &order[0]);
    selector.record_success(&order[1]);
    assert_eq!(selector.pick(now, peers.clone())[0], order[1], "the relay that works is kept");
    now = now + Duration::from_secs(11);
    assert!(is_near(&selector.pick(now, peers.clone())[0]), "the own region is tried again");
}

/// Guards against updates that stay in their region, and against gossip that crosses regions as before.
#[test]
fn gossip_reaches_all_regions_with_few_messages_between_them() {
    for (nodes_per_region, max_crossing) in [(3, 0.5), (30, 0.12), (100, 0.04)] {
        let count = 3 * nodes_per_region;
        let name = |node: usize| -> Name { node.to_string().into() };
        let peers_of = |node: usize| {
            let others = (0..count).filter(|other| *other != node);
            let (near, far): (Vec<usize>, Vec<usize>) = others.partition(|other| other % 3 == node % 3);
            RegionalPeers { near: near.into_iter().map(name).collect(), far: far.into_iter().map(name).collect() }
        };
        let peers: Vec<RegionalPeers> = (0..count).map(peers_of).collect();
        let (mut crossing, mut sent, mut missed) = (0, 0, 0);
        for seed in 0..100 {
            let mut random = StdRng::seed_from_u64(seed);
            let mut hops = vec![usize::MAX; count];
            hops[0] = 0;
            let mut informed = VecDeque::from([0]);
            while let Some(node) = informed.pop_front() {
                for peer in server_gossip_settings().pick_push_peers(&peers[node], &mut random) {
                    let peer: usize = peer.parse().unwrap();
                    sent += 1;
                    crossing += i32::from(peer % 3 != node % 3);
                    if hops[peer] == usize::MAX {
                        hops[peer] = hops[node] + 1;
                        informed.push_back(peer);
                    }
                }
            }
            let is_known_in = |region: usize| hops.iter().skip(region).step_by(3).any(|hops| *hops <= 6);
            assert!((0..3).all(is_known_in), "seed {seed}: a region of {nodes_per_region} nodes hears too late");
            missed += hops.iter().filter(|hops| **hops == usize::MAX).count();
        }
        let (crossing, missed) = (f64::from(crossing) / f64::from(sent), missed as f64 / (100 * count) as f64);
        println!("{nodes_per_region} nodes: {crossing:.3} crossing, {missed:.4} missed");
        assert!(crossing <= max_crossing && missed <= 0.025, "{nodes_per_region} nodes");
    }
}

/// Guards against subsets of a large service that have hardly any servers of the own region, and against any change
/// of subsets where regions make no difference.
#[test]
fn subsets_have_enough_servers_of_the_own_region() {
    let servers: Vec<ServerEntry> =
        (0..3_000).map(|number| load::plain_server(&format!("i-{number}"), "s", ZONES[number % 6], 6)).collect();
    let counts = ServerCounts::of(servers.iter());
    let one_region = ZoneMap::new(&ZONES.map(|zone| Zone { name: zone.into(), region: "r".into() }));
    for node in node_names("a1") {
        let subset = |zones: &ZoneMap| -> Vec<&str> {
            let used = servers.iter().filter(|server| counts.is_in_subset(&node, "a1", zones, server));
            used.map(|server| &*server.zone).collect()
        };
        let zones = subset(&zone_map());
        let near = zones.iter().filter(|zone| **zone == "a2").count();
        let far = zones.iter().filter(|zone| region_of(zone) != "a").count();
        assert!(near >= 8 && far >= 8 && zones.len() < 150, "{near} near, {far} far, {} in all", zones.len());
        assert_eq!(subset(&one_region), subset(&ZoneMap::default()));
    }
}

/// Guards against a zone that stays paused after its link is back, and against single servers that pause a zone.
#[test]
fn a_zone_of_another_region_is_paused_after_two_servers_and_probed() {
    let zones = ["a1", "b1", "b1", "b1"].iter().enumerate();
    let servers: Vec<ServerEntry> =
        zones.map(|(number, zone)| load::plain_server(&format!("i-{number}"), "s", zone, 1)).collect();
    let mut balancer = load::balancer_of(&servers);
    balancer.set_own_region(own_region("a1"));
    let need = ServerNeed { service: "s", zone: "a1", slot_need: SlotNeed::One, ..ServerNeed::default() };
    let at = |ms: u64| Timestamp(10_000 + ms);
    balancer.started("i-0");
    balancer.failed(at(0), "i-1");
    assert!(balancer.choose(at(0), &need).is_some(), "one server that fails is no lost zone");
    balancer.failed(at(0), "i-2");
    assert!(balancer.choose(at(0), &need).is_none());
    assert_eq!((balancer.unreachable_zones(), balancer.wait_estimate(at(0), "s").slots), (vec!["b1".into()], 1));
    let probe = balancer.choose(at(250), &need).unwrap().entry.instance.clone();
    balancer.started(&probe);
    assert!(balancer.choose(at(250), &need).is_none(), "one probe at a time");
    balancer.remove(&probe);
    assert!(balancer.choose(at(2_500), &need).is_some(), "a probe without an outcome does not block the zone");
    balancer.put(&servers[probe[2..].parse::<usize>().unwrap()]);
    balancer.succeeded(&probe);
    assert!(balancer.unreachable_zones().is_empty() && balancer.choose(at(250), &need).is_some());
}

/// Guards against calls that stay with much slower servers, and against servers of other regions that count as slow
/// because of the transit.
#[test]
fn calls_leave_a_region_that_is_much_slower_and_transit_is_no_slowness() {
    let zones = ["a1", "a1", "b1", "b1", "c1"].iter().enumerate();
    let servers = zones.map(|(number, zone)| load::plain_server(&format!("i-{number}"), "s", zone, 6));
    let mut balancer = load::balancer_of(&servers.collect::<Vec<_>>());
    balancer.set_own_region(own_region("a1"));
    balancer.compare_servers(&"s".into());
    let need = ServerNeed { service: "s", zone: "a1", slot_need: SlotNeed::One, ..ServerNeed::default() };
    let mut respond = |number: u64, own_ms: u64| {
        let now = Timestamp(10_000 + number * 10);
        for (server, took_ms) in [("i-0", own_ms), ("i-1", own_ms), ("i-2", 90), ("i-3", 90), ("i-4", 90)] {
            balancer.record_response(now, server, &"r".into(), Duration::from_millis(took_ms));
        }
        let remote = balancer.server_statuses(now).into_iter().skip(2).map(|status| status.measured.slowness);
        assert!(remote.into_iter().all(|slowness| slowness < 1.1), "the transit of 60 ms is no slowness");
        balancer.choose(now, &need).unwrap().entry.zone.to_string()
    };
    assert!((0..100).all(|number| respond(number, if number < 50 { 30 } else { 50 }) == "a1"));
    assert_ne!((100..120).map(|number| respond(number, 400)).last().unwrap(), "a1");
}
