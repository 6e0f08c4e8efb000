//! Choice of servers: those of services that report their slowness by expected latency, all others by
//! utilization.

#[path = "support/load.rs"]
mod load;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use trestlerack::hash::{hash_parts, rendezvous_weight};
use trestlerack::process::{LoadBalancer, ServerEntry, ServerHealth, ServerNeed};
use trestlerack::{Name, Timestamp};

fn servers(count: usize) -> Vec<ServerEntry> {
    (0..count).map(|number| load::plain_server(&format!("i-{number}"), "s", "z", 6)).collect()
}

/// A load balancer whose servers each reported a normal slowness once.
fn reporting_balancer(count: usize) -> LoadBalancer {
    let mut balancer = load::balancer_of(&servers(count));
    for number in 0..count {
        let is_first = balancer.record_reported_slowness(Timestamp(0), &format!("i-{number}"), 100);
        assert_eq!(is_first, number == 0);
    }
    balancer
}

fn need<'a>(node: &'a str) -> ServerNeed<'a> {
    ServerNeed { service: "s", zone: "z", tie_key: node, ..ServerNeed::default() }
}

fn record_response(balancer: &mut LoadBalancer, at_ms: u64, server: &str, took_ms: u64) {
    let route: Name = "r".into();
    balancer.record_response(Timestamp(at_ms), server, &route, Duration::from_millis(took_ms));
}

/// The expected choice: the lowest utilization, with a cost for another zone and a hash as the tie-breaker.
fn choose_by_utilization(entries: &[ServerEntry], requests: &[u32], node: &str) -> Name {
    let key = hash_parts(&[node]);
    let cost = |number: usize| {
        let zone_cost = if &*entries[number].zone == "z" { 0.0 } else { 0.1 };
        f64::from(requests[number]) / f64::from(entries[number].slots) + zone_cost
    };
    let weight = |number: usize| rendezvous_weight(key, &entries[number].instance);
    let numbers = 0..entries.len();
    let lowest = numbers
        .min_by(|left, right| cost(*left).total_cmp(&cost(*right)).then_with(|| weight(*left).cmp(&weight(*right))));
    entries[lowest.unwrap()].instance.clone()
}

#[test]
fn a_service_without_reported_slowness_uses_the_lowest_utilization() {
    let mut entries = servers(7);
    entries[3..].iter_mut().for_each(|entry| entry.zone = "y".into());
    for seed in 0..20 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut balancer = load::balancer_of(&entries);
        let mut requests = [0; 7];
        for step in 0..500 {
            let now = Timestamp(1_000 + step * 10);
            let node = format!("node-{}", random.random_range(0..9));
            let chosen = balancer.choose(now, &need(&node)).unwrap().entry.instance.clone();
            assert_eq!(chosen, choose_by_utilization(&entries, &requests, &node), "seed {seed}, step {step}");
            balancer.started(&chosen);
            requests[entries.iter().position(|entry| entry.instance == chosen).unwrap()] += 1;
            // Measured responses change nothing, and nothing is gossiped.
            record_response(&mut balancer, now.0, &chosen, random.random_range(10..2_000));
            balancer.record_failed_response(now, &chosen);
            balancer.record_pending_response(now, &chosen, &"r".into(), Duration::from_secs(1));
            let ended = random.random_range(0..7);
            if requests[ended] > 0 {
                requests[ended] -= 1;
                balancer.ended(&entries[ended].instance);
            }
        }
        assert!(!balancer.has_observations());
    }
}

#[test]
fn a_slow_server_is_degraded_after_a_few_responses_and_retried_later() {
    let mut balancer = reporting_balancer(5);
    for step in 0..50 {
        record_response(&mut balancer, step, &format!("i-{}", step % 5), 50);
    }
    (0..3).for_each(|step| record_response(&mut balancer, 100 + step, "i-2", 300));
    assert_eq!(balancer.health(Timestamp(110), "i-2"), ServerHealth::Degraded);
    let chosen = |balancer: &LoadBalancer, at_ms: u64| {
        let of_node = |node: usize| balancer.choose(Timestamp(at_ms), &need(&format!("n-{node}"))).unwrap();
        (0..300).filter(|node| &*of_node(*node).entry.instance == "i-2").count()
    };
    assert!(chosen(&balancer, 110) <= 300 / 40, "{} of 300 nodes", chosen(&balancer, 110));
    // Some seconds later it gets the same share as the others, one call at a time.
    assert_eq!(balancer.health(Timestamp(9_000), "i-2"), ServerHealth::Recovering(1));
    assert!((30..90).contains(&chosen(&balancer, 9_000)), "{} of 300 nodes", chosen(&balancer, 9_000));
}

/// Without measured latencies, only utilization would count and each server would get the same share of the
/// nodes.
#[test]
fn nodes_without_load_reports_spread_calls_by_server_speed() {
    let mut balancer = reporting_balancer(3);
    for step in 0..300 {
        record_response(&mut balancer, 1_000 + step, "i-0", 83);
        record_response(&mut balancer, 1_000 + step, "i-1", 50);
        record_response(&mut balancer, 1_000 + step, "i-2", 31);
    }
    let mut shares = [0; 3];
    for node in 0..3_000 {
        let name = balancer.choose(Timestamp(1_400), &need(&format!("n-{node}"))).unwrap().entry.instance.clone();
        shares[name[2..].parse::<usize>().unwrap()] += 1;
    }
    // Speeds of 0.6, 1 and 1.6 are 0.19, 0.31 and 0.5 of the total.
    let is_close = |share: i32, expected: f64| (f64::from(share) / 3_000.0 - expected).abs() < 0.06;
    assert!(is_close(shares[0], 0.19) && is_close(shares[1], 0.31) && is_close(shares[2], 0.5), "{shares:?}");
}

#[test]
fn a_pending_response_raises_the_expected_slowness_at_once() {
    let mut balancer = reporting_balancer(5);
    (0..40).for_each(|step| record_response(&mut balancer, step, &format!("i-{}", step % 5), 50));
    let route: Name = "r".into();
    let expected_slowness =
        |balancer: &LoadBalancer| balancer.snapshot(Timestamp(200), "i-1", None).unwrap().expected_slowness;
    let before = expected_slowness(&balancer);
    balancer.record_pending_response(Timestamp(200), "i-1", &route, Duration::from_millis(150));
    assert!(expected_slowness(&balancer) > before * 1.4, "{before} before, {} after", expected_slowness(&balancer));
    // A lower bound below the known slowness changes nothing.
    let known_slowness = expected_slowness(&balancer);
    balancer.record_pending_response(Timestamp(200), "i-1", &route, Duration::from_millis(1));
    assert!((expected_slowness(&balancer) - known_slowness).abs() < 1e-9);
}

#[test]
fn a_reported_slowness_decays_and_never_counts_alone() {
    let mut balancer = reporting_balancer(5);
    let expected_slowness =
        |balancer: &LoadBalancer, at_ms| balancer.snapshot(Timestamp(at_ms), "i-1", None).unwrap().expected_slowness;
    balancer.record_reported_slowness(Timestamp(1_000), "i-1", 300);
    assert!((expected_slowness(&balancer, 1_000) - 2.0).abs() < 0.01, "half of it at once");
    assert!((expected_slowness(&balancer, 1_100) - 1.5).abs() < 0.01, "half of that after 100 ms");
    assert!(expected_slowness(&balancer, 2_000) < 1.01);
    assert_eq!(balancer.health(Timestamp(1_000), "i-1"), ServerHealth::Healthy);
}

#[test]
fn a_server_in_the_same_zone_is_preferred_until_it_is_much_slower() {
    let mut entries = servers(4);
    entries[1..].iter_mut().for_each(|entry| entry.zone = "y".into());
    let mut balancer = load::balancer_of(&entries);
    balancer.record_reported_slowness(Timestamp(0), "i-0", 100);
    (0..40).for_each(|step| record_response(&mut balancer, 1_000 + step, &format!("i-{}", step % 4), 50));
    let chosen = |balancer: &LoadBalancer, node: &str| {
        balancer.choose(Timestamp(1_050), &need(node)).unwrap().entry.instance.clone()
    };
    (0..50).for_each(|node| assert_eq!(&*chosen(&balancer, &format!("n-{node}")), "i-0"));
    (0..3).for_each(|step| record_response(&mut balancer, 1_040 + step, "i-0", 100));
    let in_other_zones = (0..50).filter(|node| &*chosen(&balancer, &format!("n-{node}")) != "i-0").count();
    assert!(in_other_zones > 25, "{in_other_zones} of 50 nodes go to other zones");
}

/// A node that has just started asks a peer for its observations once a server reports its slowness, even if
/// servers are already compared because customers share them.
#[test]
fn the_first_reported_slowness_is_recognized_where_servers_are_already_compared() {
    let mut balancer = load::balancer_of(&[load::plain_server("a", "s", "z", 4)]);
    balancer.compare_servers(&"s".into());
    assert!(balancer.compares_servers("s"));
    assert!(balancer.record_reported_slowness(Timestamp(1_000), "a", 100));
    assert!(!balancer.record_reported_slowness(Timestamp(1_001), "a", 100));
}
