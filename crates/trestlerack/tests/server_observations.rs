//! Gossip about servers: which observations are used, for how long, and how much traffic they cause.

#[path = "support/load.rs"]
mod load;

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use trestlerack::process::{
    LoadBalancer, LoadMessage, ServerHealth, ServerNeed, ServerObservation, server_gossip_settings,
};
use trestlerack::{Name, Timestamp};

fn balancer() -> LoadBalancer {
    let entries: Vec<_> = (0..6).map(|number| load::plain_server(&format!("i-{number}"), "s", "z", 6)).collect();
    let mut balancer = load::balancer_of(&entries);
    balancer.record_reported_slowness(Timestamp(0), "i-0", 100);
    balancer
}

fn observation(server: &str, origin: &str, number: u64, slowness: f32, age_ms: u64) -> ServerObservation {
    ServerObservation {
        instance: server.into(),
        started_ms: 1,
        origin: origin.into(),
        number,
        slowness,
        failure_rate: 0.0,
        age_ms,
    }
}

fn own_name() -> Name {
    "n".into()
}

fn record_response(balancer: &mut LoadBalancer, at_ms: u64, server: &str, took_ms: u64) {
    balancer.record_response(Timestamp(at_ms), server, &"r".into(), Duration::from_millis(took_ms));
}

fn expected_slowness(balancer: &LoadBalancer, at_ms: u64, server: &str) -> f64 {
    balancer.snapshot(Timestamp(at_ms), server, None).unwrap().expected_slowness
}

#[test]
fn an_observation_expires_five_seconds_after_its_origin_made_it() {
    let mut balancer = balancer();
    assert!(balancer.merge_observation(Timestamp(10_000), &own_name(), &observation("i-1", "a", 1, 6.0, 1_400)));
    assert!(expected_slowness(&balancer, 13_400, "i-1") > 5.0);
    assert_eq!(balancer.snapshot(Timestamp(13_400), "i-1", None).unwrap().reported_by.as_deref(), Some("a"));
    assert!(expected_slowness(&balancer, 13_600, "i-1") < 1.1);
    assert!(
        !balancer.merge_observation(Timestamp(20_000), &own_name(), &observation("i-2", "a", 2, 6.0, 5_000)),
        "expired"
    );
}

#[test]
fn a_newer_local_measurement_overrides_a_peer_observation() {
    let mut balancer = balancer();
    record_response(&mut balancer, 10_000, "i-1", 50);
    assert!(
        !balancer.merge_observation(Timestamp(10_100), &own_name(), &observation("i-1", "a", 1, 6.0, 500)),
        "older than the own measurement"
    );
    assert!(expected_slowness(&balancer, 10_100, "i-1") < 1.1);
    assert!(balancer.merge_observation(Timestamp(10_200), &own_name(), &observation("i-1", "a", 2, 6.0, 50)));
    assert!(expected_slowness(&balancer, 10_200, "i-1") > 5.0);
    record_response(&mut balancer, 10_300, "i-1", 50);
    assert!(expected_slowness(&balancer, 10_300, "i-1") < 1.1);
}

#[test]
fn duplicate_outdated_and_invalid_observations_are_dropped() {
    let mut balancer = balancer();
    let now = Timestamp(10_000);
    assert!(balancer.merge_observation(now, &own_name(), &observation("i-1", "a", 7, 6.0, 0)));
    assert!(!balancer.merge_observation(now, &own_name(), &observation("i-1", "a", 7, 6.0, 0)), "a duplicate");
    assert!(!balancer.merge_observation(now, &own_name(), &observation("i-1", "a", 6, 9.0, 0)), "an earlier number");
    assert!(
        !balancer.merge_observation(now, &own_name(), &observation("i-2", "n", 1, 6.0, 0)),
        "from this node itself"
    );
    assert!(!balancer.merge_observation(now, &own_name(), &observation("i-9", "a", 8, 6.0, 0)), "an unknown server");
    let other_process = ServerObservation { started_ms: 2, ..observation("i-2", "a", 9, 6.0, 0) };
    assert!(!balancer.merge_observation(now, &own_name(), &other_process));
    for slowness in [f32::NAN, f32::INFINITY, 0.0, -1.0] {
        assert!(!balancer.merge_observation(now, &own_name(), &observation("i-3", "a", 10, slowness, 0)));
    }
    assert!((expected_slowness(&balancer, 10_000, "i-3") - 1.0).abs() < 0.01);
}

/// Each message adds 100 ms to the age, so that an observation does not get younger as it is relayed.
#[test]
fn a_relayed_observation_keeps_its_age_and_origin() {
    let mut balancer = balancer();
    balancer.merge_observation(Timestamp(10_000), &own_name(), &observation("i-1", "a", 4, 6.0, 300));
    let relayed = balancer.take_observations(Timestamp(10_200), &own_name());
    assert_eq!(relayed, [observation("i-1", "a", 4, 6.0, 600)]);
    assert!(balancer.take_observations(Timestamp(10_300), &own_name()).is_empty(), "once");
}

/// A faulty node that repeatedly reports all servers as slow.
#[test]
fn peer_observations_degrade_at_most_a_third_of_a_service() {
    let mut balancer = balancer();
    for round in 0..50 {
        let now = Timestamp(10_000 + round * 100);
        for server in 0..6 {
            balancer.merge_observation(
                now,
                &own_name(),
                &observation(&format!("i-{server}"), "faulty", round * 6 + server, 16.0, 0),
            );
        }
        let degraded = (0..6).filter(|server| balancer.health(now, &format!("i-{server}")) != ServerHealth::Healthy);
        assert!(degraded.count() <= 2);
        let chosen: std::collections::BTreeSet<_> = (0..200)
            .map(|node| {
                let key = format!("n-{node}");
                let need = ServerNeed { service: "s", zone: "z", tie_key: &key, ..ServerNeed::default() };
                balancer.choose(now, &need).unwrap().entry.instance.clone()
            })
            .collect();
        assert!(chosen.len() >= 4, "only {chosen:?} are chosen");
    }
}

/// A faulty node that reports all but two servers as slow.
#[test]
fn a_faulty_peer_cannot_concentrate_all_calls_on_few_servers() {
    let mut balancer = balancer();
    for server in 0..4 {
        balancer.merge_observation(
            Timestamp(10_000),
            &own_name(),
            &observation(&format!("i-{server}"), "faulty", server, 16.0, 0),
        );
    }
    let degraded =
        (0..6).filter(|server| balancer.health(Timestamp(10_000), &format!("i-{server}")) != ServerHealth::Healthy);
    assert_eq!(degraded.count(), 2);
}

#[test]
fn normal_variation_of_latency_is_not_gossiped() {
    let (mut balancer, mut random) = (balancer(), StdRng::seed_from_u64(1));
    for step in 0..20_000 {
        let server = format!("i-{}", random.random_range(0..6));
        record_response(&mut balancer, 1_000 + step * 5, &server, random.random_range(35..65));
        assert!(!balancer.has_observations(), "at step {step}");
    }
}

/// Nodes that exchange observations with messages that arrive late or are lost.
struct SimulatedNodes {
    balancers: Vec<LoadBalancer>,
    names: Vec<Name>,
    in_flight: Vec<(u64, usize, Vec<ServerObservation>)>,
    random: StdRng,
    bytes: Vec<usize>,
}

impl SimulatedNodes {
    fn new(count: usize, seed: u64) -> Self {
        Self {
            balancers: (0..count).map(|_| balancer()).collect(),
            names: (0..count).map(|number| format!("n-{number}").into()).collect(),
            in_flight: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            bytes: vec![0; count],
        }
    }

    fn step(&mut self, now_ms: u64) {
        let now = Timestamp(now_ms);
        let (due, later) = std::mem::take(&mut self.in_flight).into_iter().partition(|(at, ..)| *at <= now_ms);
        self.in_flight = later;
        let due: Vec<(u64, usize, Vec<ServerObservation>)> = due;
        for (_, node, observations) in due {
            for observation in observations {
                self.balancers[node].merge_observation(now, &self.names[node], &observation);
            }
        }
        for node in 0..self.balancers.len() {
            if self.balancers[node].has_observations() {
                let observations = self.balancers[node].take_observations(now, &self.names[node]);
                self.send(now_ms, node, &observations);
            }
        }
    }

    fn send(&mut self, now_ms: u64, node: usize, observations: &[ServerObservation]) {
        if observations.is_empty() {
            return;
        }
        let others: Vec<Name> = self.names.iter().filter(|name| **name != self.names[node]).cloned().collect();
        for peer in server_gossip_settings().pick_push_peers(&others.into(), &mut self.random) {
            let message = LoadMessage {
                sender: self.names[node].clone(),
                servers: observations.to_vec(),
                ..LoadMessage::default()
            };
            // JSON is not shorter than the wire format.
            self.bytes[node] += serde_json::to_vec(&message).unwrap().len();
            let is_lost = self.random.random_range(0..100) < 5;
            if !is_lost {
                let at = now_ms + self.random.random_range(2..60);
                let number = self.names.iter().position(|name| *name == peer).unwrap();
                self.in_flight.push((at, number, observations.to_vec()));
            }
        }
    }
}

/// One node received an observation of a slow server, and no node measures it again.
#[test]
fn relaying_does_not_extend_the_life_of_an_observation() {
    let mut nodes = SimulatedNodes::new(86, 1);
    nodes.balancers[0].merge_observation(Timestamp(10_000), &"n-0".into(), &observation("i-1", "gone", 1, 6.0, 0));
    let mut max_informed = 0;
    for now in (10_000..20_000).step_by(5) {
        nodes.step(now);
        let informed = nodes.balancers.iter().filter(|balancer| expected_slowness(balancer, now, "i-1") > 2.0).count();
        max_informed = max_informed.max(informed);
        assert!(now < 15_000 || informed == 0, "{informed} nodes still use it at {now}");
    }
    assert!(max_informed >= 78, "{max_informed} of 86 nodes received it");
    assert!(nodes.in_flight.is_empty());
}

/// Servers become slow under calls from all nodes, for many seconds.
#[test]
fn gossip_stays_under_half_a_kilobyte_per_second_and_node() {
    for count in [86, 300, 370] {
        let mut nodes = SimulatedNodes::new(count, 2);
        let servers = ["i-0", "i-1", "i-2", "i-3", "i-4", "i-5"];
        for now in (10_000..40_000).step_by(10) {
            for _ in 0..4 {
                let (node, server) = (nodes.random.random_range(0..count), *servers.choose(&mut nodes.random).unwrap());
                // Two of them change between slow and normal every three seconds.
                let is_slow = (server == "i-1" || server == "i-2") && (now / 3_000) % 2 == 0;
                record_response(&mut nodes.balancers[node], now, server, if is_slow { 300 } else { 50 });
            }
            nodes.step(now);
        }
        let total: usize = nodes.bytes.iter().sum();
        let mean = total as f64 / count as f64 / 30.0;
        let max_bytes = *nodes.bytes.iter().max().unwrap() as f64 / 30.0;
        println!("{count} nodes: {mean:.0} bytes per second and node, {max_bytes:.0} at the busiest");
        assert!(max_bytes < 512.0, "{count} nodes: {mean:.0} bytes per second and node, {max_bytes:.0} at the busiest");
    }
}
