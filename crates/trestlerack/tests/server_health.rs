//! Servers that are slower or fail more often than their peers are degraded and recover.

#[path = "support/load.rs"]
mod load;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use trestlerack::process::{LoadBalancer, ServerHealth, ServerNeed, SlotNeed};
use trestlerack::{Name, Timestamp};

/// A node with servers whose responses are given by a closure.
struct SimulatedNode {
    balancer: LoadBalancer,
    servers: usize,
    route: Name,
}

/// The response of a server to a call.
enum SimulatedResponse {
    Took(u64),
    Failed,
}

impl SimulatedNode {
    fn new(servers: usize) -> Self {
        let names: Vec<String> = (0..servers).map(|number| format!("i-{number}")).collect();
        let entries: Vec<_> = names.iter().map(|name| load::plain_server(name, "s", "z", 6)).collect();
        let mut balancer = load::balancer_of(&entries);
        names.iter().for_each(|name| {
            balancer.record_reported_slowness(Timestamp(0), name, 100);
        });
        Self { balancer, servers, route: "r".into() }
    }

    fn record(&mut self, at_ms: u64, server: usize, response: &SimulatedResponse) {
        let (now, name) = (Timestamp(at_ms), format!("i-{server}"));
        match response {
            SimulatedResponse::Took(ms) => {
                self.balancer.record_response(now, &name, &self.route, Duration::from_millis(*ms))
            }
            SimulatedResponse::Failed => self.balancer.record_failed_response(now, &name),
        }
    }

    fn health(&self, at_ms: u64, server: usize) -> ServerHealth {
        self.balancer.health(Timestamp(at_ms), &format!("i-{server}"))
    }

    fn degraded(&self, at_ms: u64) -> Vec<usize> {
        (0..self.servers).filter(|server| self.health(at_ms, *server) != ServerHealth::Healthy).collect()
    }

    /// Sends a call every 10 ms to the server that the node chooses, and returns the share of each server.
    fn run(&mut self, from_ms: u64, for_ms: u64, mut respond: impl FnMut(u64, usize) -> SimulatedResponse) -> Vec<f64> {
        let mut counts = vec![0.0; self.servers];
        let mut in_flight: Vec<(u64, usize, SimulatedResponse)> = Vec::new();
        let calls = for_ms / 10;
        for number in 0..calls {
            let now = from_ms + number * 10;
            while let Some(at) = in_flight.iter().position(|(end, ..)| *end <= now) {
                let (end, server, response) = in_flight.swap_remove(at);
                self.balancer.ended(&format!("i-{server}"));
                self.record(end, server, &response);
            }
            let need =
                ServerNeed { service: "s", zone: "z", tie_key: "n", is_repeatable: true, ..ServerNeed::default() };
            let chosen = self.balancer.choose(Timestamp(now), &need).unwrap().entry.instance.clone();
            let server: usize = chosen[2..].parse().unwrap();
            self.balancer.started(&chosen);
            self.balancer.record_load(Timestamp(now), &chosen, 1, 0);
            counts[server] += 1.0 / calls as f64;
            let response = respond(now, server);
            let took = if let SimulatedResponse::Took(ms) = response { ms } else { 20 };
            in_flight.push((now + took, server, response));
        }
        counts
    }
}

/// Processing time of a call, which varies.
fn work_ms(random: &mut StdRng) -> u64 {
    random.random_range(35..65)
}

#[test]
fn a_server_that_fails_half_of_its_requests_gets_few_calls() {
    let (mut node, mut random) = (SimulatedNode::new(5), StdRng::seed_from_u64(1));
    node.run(1_000, 2_000, |_, _| SimulatedResponse::Took(work_ms(&mut random)));
    assert!(node.degraded(3_000).is_empty());
    let mut count = 0;
    let shares = node.run(3_000, 6_000, |_, server| {
        count += usize::from(server == 1);
        if server == 1 && count % 2 == 0 {
            SimulatedResponse::Failed
        } else {
            SimulatedResponse::Took(work_ms(&mut random))
        }
    });
    assert!(shares[1] < 0.05, "the failing server got {shares:?}");
}

#[test]
fn a_server_that_fails_all_calls_is_degraded_at_once() {
    let mut node = SimulatedNode::new(5);
    (0..20).for_each(|step| node.record(1_000 + step, step as usize % 5, &SimulatedResponse::Took(50)));
    (0..3).for_each(|step| node.record(1_100 + step, 4, &SimulatedResponse::Failed));
    assert_eq!(node.health(1_110, 4), ServerHealth::Degraded);
}

#[test]
fn a_flapping_server_gets_few_calls_and_recovers_afterwards() {
    let (mut node, mut random) = (SimulatedNode::new(5), StdRng::seed_from_u64(2));
    node.run(1_000, 1_000, |_, _| SimulatedResponse::Took(work_ms(&mut random)));
    let shares = node.run(2_000, 6_000, |now, server| {
        let is_down = server == 2 && (now / 300) % 2 == 0;
        if is_down { SimulatedResponse::Failed } else { SimulatedResponse::Took(work_ms(&mut random)) }
    });
    assert!(shares[2] < 0.1, "the flapping server got {shares:?}");
    node.run(8_000, 10_000, |_, _| SimulatedResponse::Took(work_ms(&mut random)));
    assert_eq!(node.health(18_000, 2), ServerHealth::Healthy);
    let shares = node.run(18_000, 2_000, |_, _| SimulatedResponse::Took(work_ms(&mut random)));
    assert!(shares[2] > 0.1, "it is used again: {shares:?}");
}

#[test]
fn a_degraded_server_recovers_with_one_two_and_four_concurrent_calls() {
    let mut node = SimulatedNode::new(5);
    (0..25).for_each(|step| node.record(1_000 + step, step as usize % 5, &SimulatedResponse::Took(50)));
    (0..4).for_each(|step| node.record(1_100 + step, 0, &SimulatedResponse::Took(300)));
    assert_eq!(node.health(1_110, 0), ServerHealth::Degraded);
    let mut seen = Vec::new();
    for step in 0..60 {
        node.record(1_200 + step * 50, 0, &SimulatedResponse::Took(50));
        let health = node.health(1_200 + step * 50, 0);
        if seen.last() != Some(&health) {
            seen.push(health);
        }
    }
    let recovering = ServerHealth::Recovering;
    assert_eq!(seen, [ServerHealth::Degraded, recovering(1), recovering(2), recovering(4), ServerHealth::Healthy]);
}

/// Noisy neighbours slow 15 in 100 servers by 2.5 for 300 ms of every 600 ms. This passes, so no server may be
/// degraded for it.
#[test]
fn servers_with_noisy_neighbours_are_not_degraded() {
    for seed in 0..5 {
        for pause in [10, 40] {
            let (mut node, mut random) = (SimulatedNode::new(13), StdRng::seed_from_u64(seed));
            for step in 0..2_000 {
                let now = 1_000 + step * pause;
                let server = random.random_range(0..13);
                let is_noisy = server < 2 && (now + 100 * server as u64) % 600 < 300;
                let took = work_ms(&mut random) as f64 * if is_noisy { 2.5 } else { 1.0 };
                node.record(now, server, &SimulatedResponse::Took(took as u64));
                assert_eq!(node.degraded(now), Vec::<usize>::new(), "seed {seed}, each {pause} ms, at {now}");
            }
        }
    }
}

#[test]
fn a_server_that_starts_slowly_gets_few_calls_until_it_recovers() {
    let (mut node, mut random) = (SimulatedNode::new(5), StdRng::seed_from_u64(3));
    node.run(1_000, 1_000, |_, _| SimulatedResponse::Took(work_ms(&mut random)));
    let shares = node.run(2_000, 2_000, |_, server| {
        let factor = if server == 3 { 4 } else { 1 };
        SimulatedResponse::Took(work_ms(&mut random) * factor)
    });
    assert!(shares[3] < 0.1, "while it is slow: {shares:?}");
    node.run(4_000, 6_000, |_, _| SimulatedResponse::Took(work_ms(&mut random)));
    assert_eq!(node.health(10_000, 3), ServerHealth::Healthy);
}

#[test]
fn no_server_is_degraded_while_all_are_equally_slow() {
    let (mut node, mut random) = (SimulatedNode::new(5), StdRng::seed_from_u64(4));
    node.run(1_000, 2_000, |_, _| SimulatedResponse::Took(work_ms(&mut random)));
    for step in 0..400 {
        let now = 3_000 + step * 10;
        node.record(now, step as usize % 5, &SimulatedResponse::Took(6 * work_ms(&mut random)));
        if step >= 10 {
            assert!(node.degraded(now).is_empty(), "{:?} at {now}", node.degraded(now));
        }
    }
}

/// Two servers are slow and three others fail, so that five of six are worse than the median server.
#[test]
fn at_least_half_of_a_service_stays_healthy() {
    let mut node = SimulatedNode::new(6);
    (0..60).for_each(|step| node.record(1_000 + step, step as usize % 6, &SimulatedResponse::Took(50)));
    let mut max_degraded = 0;
    for step in 0..200 {
        let server = step as usize % 6;
        let response = match server {
            0 => SimulatedResponse::Took(50),
            1 | 2 => SimulatedResponse::Took(400),
            _ => SimulatedResponse::Failed,
        };
        node.record(1_100 + step * 5, server, &response);
        max_degraded = max_degraded.max(node.degraded(1_100 + step * 5).len());
    }
    assert_eq!(max_degraded, 3);
}

/// Requests that can wait must not fill a degraded server as soon as the others are full.
#[test]
fn a_call_that_needs_a_free_slot_waits_for_a_healthy_server() {
    let mut node = SimulatedNode::new(3);
    (0..30).for_each(|step| node.record(1_000 + step, step as usize % 3, &SimulatedResponse::Took(50)));
    (0..4).for_each(|step| node.record(1_100 + step, 0, &SimulatedResponse::Took(400)));
    assert_eq!(node.health(1_110, 0), ServerHealth::Degraded);
    (0..12).for_each(|call| node.balancer.started(["i-1", "i-2"][call % 2]));
    let need = ServerNeed { service: "s", zone: "z", tie_key: "n", slot_need: SlotNeed::One, ..ServerNeed::default() };
    assert!(node.balancer.choose(Timestamp(1_110), &need).is_none());
    let need = ServerNeed { slot_need: SlotNeed::Any, ..need };
    assert_ne!(&*node.balancer.choose(Timestamp(1_110), &need).unwrap().entry.instance, "i-0");
    node.balancer.ended("i-1");
    let need = ServerNeed { slot_need: SlotNeed::One, ..need };
    assert_eq!(&*node.balancer.choose(Timestamp(1_110), &need).unwrap().entry.instance, "i-1");
}
