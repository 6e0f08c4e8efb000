//! Choice of servers by weights, free slots, pace and pauses, and the registry behind it.

use std::time::Duration;
use trestlerack::process::{
    BalancerSettings, LoadBalancer, RegistrySettings, ServerEntry, ServerNeed, ServerRegistry, SlotNeed,
};
use trestlerack::{Name, Timestamp};

const NOW: Timestamp = Timestamp(100_000);

fn entry(instance: &str, zone: &str, version: u64) -> ServerEntry {
    ServerEntry {
        instance: instance.into(),
        service: "models".into(),
        address: format!("10.0.0.1:{}", 8_000 + instance.len()).into(),
        zone: zone.into(),
        slots: 2,
        is_draining: false,
        cold_left_ms: 0,
        models: vec![("m".into(), version)],
        heartbeat: 1,
        started_ms: 1,
    }
}

fn registry(entries: &[ServerEntry]) -> ServerRegistry {
    let mut registry = ServerRegistry::new(RegistrySettings::default());
    entries.iter().for_each(|entry| assert!(registry.put(entry.clone())));
    registry
}

fn balancer(entries: &[ServerEntry]) -> LoadBalancer {
    let mut balancer = LoadBalancer::new(BalancerSettings::default());
    balancer.sync(&registry(entries));
    balancer
}

fn need(min_version: u64) -> ServerNeed<'static> {
    ServerNeed {
        service: "models",
        weights: Some(("m", min_version)),
        slot_need: SlotNeed::One,
        ..ServerNeed::default()
    }
}

fn chosen(balancer: &LoadBalancer, now: Timestamp, need: &ServerNeed<'_>) -> Option<String> {
    balancer.choose(now, need).map(|server| server.entry.instance.to_string())
}

#[test]
fn only_engines_with_new_enough_weights_and_a_free_slot_are_eligible() {
    let mut balancer = balancer(&[entry("a", "z", 1), entry("b", "z", 2)]);
    assert_eq!(chosen(&balancer, NOW, &need(2)), Some("b".into()));
    assert_eq!(chosen(&balancer, NOW, &need(3)), None);
    balancer.started("b");
    balancer.started("b");
    assert_eq!(chosen(&balancer, NOW, &need(2)), None);
    balancer.ended("b");
    assert_eq!(chosen(&balancer, NOW, &need(2)), Some("b".into()));
}

#[test]
fn a_step_takes_engines_that_are_not_newer_than_it_needs() {
    let balancer = balancer(&[entry("a", "z", 3), entry("b", "z", 2)]);
    assert_eq!(chosen(&balancer, NOW, &need(2)), Some("b".into()));
    assert_eq!(chosen(&balancer, NOW, &need(3)), Some("a".into()));
}

#[test]
fn a_loading_engine_takes_no_requests_until_its_expected_end() {
    let mut balancer = balancer(&[entry("a", "z", 1)]);
    balancer.record_loading("a", "m", 2, NOW + Duration::from_millis(900));
    assert_eq!(chosen(&balancer, NOW, &need(1)), None);
    assert_eq!(chosen(&balancer, NOW + Duration::from_millis(900), &need(2)), Some("a".into()));
    // What the engine itself reports overrides what it was ordered to load.
    balancer.record_version("a", "m", 1);
    assert_eq!(chosen(&balancer, NOW + Duration::from_millis(900), &need(2)), None);
}

#[test]
fn a_slow_engine_is_chosen_last_and_a_stale_slowness_counts_less() {
    let mut balancer = balancer(&[entry("a", "z", 1), entry("b", "z", 1), entry("c", "z", 1)]);
    for (engine, gap) in [("a", 150), ("b", 40), ("c", 40)] {
        balancer.record_event_gap(NOW, engine, Duration::from_millis(gap));
    }
    assert!((balancer.slowness(NOW, "a") - 3.75).abs() < 0.01);
    balancer.started("b");
    assert_eq!(chosen(&balancer, NOW, &need(1)), Some("c".into()));
    balancer.started("c");
    assert_ne!(chosen(&balancer, NOW, &need(1)), Some("a".into()), "half full and fast beats empty and slow");
    let later = NOW + Duration::from_secs(10);
    assert!(balancer.slowness(later, "a") <= BalancerSettings::default().max_stale_slowness);
}

/// The runs on the other engines could not move: no engine is faster by the factor.
#[test]
fn only_engines_much_slower_than_the_fastest_are_considered_for_moves() {
    let mut balancer = balancer(&[entry("a", "z", 1), entry("b", "z", 1), entry("c", "z", 1), entry("d", "z", 1)]);
    for (engine, gap) in [("a", 40), ("b", 47), ("c", 49), ("d", 150)] {
        balancer.record_event_gap(NOW, engine, Duration::from_millis(gap));
    }
    let running = ["a", "b", "c"].map(Name::from).into();
    let slow = balancer.slow_servers(NOW, "models", 1.2, &running);
    assert_eq!(slow, ["c"].map(Name::from).into(), "d runs nothing, b is 1.18 times slower than a");
    assert!(balancer.slow_servers(NOW, "other", 1.2, &running).is_empty());
}

/// Two engines in three are 1.3 times faster. A long text goes to a fast one even if it has a single free slot,
/// a short one to the one with more free slots.
#[test]
fn a_long_text_takes_the_last_slot_of_a_fast_engine() {
    let mut balancer = balancer(&[entry("a", "z", 1), entry("b", "z", 1), entry("c", "z", 1)]);
    for (engine, gap) in [("a", 75), ("b", 75), ("c", 98)] {
        balancer.record_event_gap(NOW, engine, Duration::from_millis(gap));
        if engine != "c" {
            balancer.started(engine);
        }
    }
    let long = ServerNeed { is_long: true, ..need(1) };
    assert_ne!(chosen(&balancer, NOW, &long), Some("c".into()));
    assert_eq!(chosen(&balancer, NOW, &need(1)), Some("c".into()));
}

#[test]
fn a_speculative_run_takes_an_engine_that_is_less_than_half_full() {
    let mut balancer = balancer(&[ServerEntry { slots: 6, ..entry("a", "z", 1) }]);
    let idle = ServerNeed { slot_need: SlotNeed::HalfFree, ..need(1) };
    (0..2).for_each(|_| balancer.started("a"));
    assert_eq!(chosen(&balancer, NOW, &idle), Some("a".into()));
    balancer.started("a");
    assert_eq!(chosen(&balancer, NOW, &idle), None);
    assert_eq!(chosen(&balancer, NOW, &need(1)), Some("a".into()));
}

#[test]
fn consecutive_failures_double_the_pause_until_a_success() {
    let mut balancer = balancer(&[entry("a", "z", 1)]);
    let first = balancer.failed(NOW, "a");
    assert_eq!(chosen(&balancer, NOW, &need(1)), None);
    assert_eq!(chosen(&balancer, NOW + first, &need(1)), Some("a".into()));
    let second = balancer.failed(NOW + first, "a");
    assert_eq!(second, first * 2);
    balancer.succeeded("a");
    assert_eq!(balancer.failed(NOW, "a"), first);
}

#[test]
fn refusals_that_come_together_count_as_one() {
    let mut balancer = balancer(&[entry("a", "z", 1)]);
    (0..12).for_each(|_| balancer.refused(NOW, "a"));
    let pause = BalancerSettings::default().refusal_pause;
    assert_eq!(chosen(&balancer, NOW + pause, &need(1)), Some("a".into()));
    balancer.refused(NOW + pause, "a");
    assert_eq!(chosen(&balancer, NOW + pause * 2, &need(1)), None);
    assert_eq!(chosen(&balancer, NOW + pause * 3, &need(1)), Some("a".into()));
}

#[test]
fn a_plain_request_prefers_its_own_zone_and_the_less_loaded_server() {
    let mut balancer = balancer(&[entry("a", "far", 1), entry("b", "near", 1)]);
    let plain = ServerNeed { service: "models", zone: "near", ..ServerNeed::default() };
    assert_eq!(chosen(&balancer, NOW, &plain), Some("b".into()));
    balancer.record_load(NOW, "b", 2, 1);
    assert_eq!(chosen(&balancer, NOW, &plain), Some("a".into()));
    let avoid = ["a".into()];
    assert_eq!(chosen(&balancer, NOW, &ServerNeed { avoid: &avoid, ..plain }), Some("b".into()));
}

/// Many nodes that know no load send one request each: no server gets much more than the others, and none
/// outside of the zone gets any. Each node keeps to its server.
#[test]
fn nodes_without_load_reports_spread_requests_over_the_zone() {
    let servers: Vec<ServerEntry> =
        (0..30).map(|number| entry(&format!("i-{number:02}"), ["near", "far", "other"][number % 3], 1)).collect();
    let balancer = balancer(&servers);
    let mut counts = std::collections::BTreeMap::new();
    for node in 0..1_000 {
        let name = format!("node-{node}");
        let plain = ServerNeed { service: "models", zone: "near", tie_key: &name, ..ServerNeed::default() };
        let server = chosen(&balancer, NOW, &plain).unwrap();
        assert_eq!(chosen(&balancer, NOW, &plain), Some(server.clone()));
        *counts.entry(server).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 10, "{counts:?}");
    assert!(counts.values().all(|count| (60..150).contains(count)), "{counts:?}");
}

/// All engines have the first version of all models. Each driver keeps to the engines of its own model, even
/// while they are full, and uses others only while none of its own is eligible.
#[test]
fn drivers_use_only_the_engines_assigned_to_their_model() {
    let mut both = entry("a", "z", 1);
    both.models.push(("n".into(), 1));
    let mut balancer = balancer(&[both.clone(), ServerEntry { instance: "b".into(), ..both }]);
    let other = ServerNeed { weights: Some(("n", 1)), ..need(1) };
    balancer.assign(&"a".into(), Some(&"m".into()));
    assert_eq!(chosen(&balancer, NOW, &need(1)), Some("a".into()));
    assert!(chosen(&balancer, NOW, &other).is_some(), "no engine is assigned to that model yet");
    balancer.assign(&"b".into(), Some(&"n".into()));
    balancer.started("a");
    balancer.started("a");
    assert_eq!(chosen(&balancer, NOW, &need(1)), None, "a slot of its own engine will become free");
    assert_eq!(chosen(&balancer, NOW, &other), Some("b".into()));
    let pause = balancer.failed(NOW, "a");
    assert_eq!(chosen(&balancer, NOW, &need(1)), Some("b".into()), "none of its own engines is eligible");
    assert_eq!(chosen(&balancer, NOW + pause, &need(1)), None);
}

#[test]
fn a_draining_server_gets_no_new_requests() {
    let draining = ServerEntry { is_draining: true, ..entry("a", "z", 1) };
    let balancer = balancer(&[draining]);
    assert_eq!(chosen(&balancer, NOW, &need(1)), None);
    assert_eq!(balancer.count_eligible(NOW, &need(1)), 0);
}

#[test]
fn an_entry_that_expired_during_an_outage_is_kept_for_a_while() {
    let mut registry = registry(&[entry("a", "z", 1), entry("b", "z", 1)]);
    registry.store_lost();
    registry.store_regained(NOW);
    assert!(!registry.remove(NOW, "a"));
    assert!(!registry.remove(NOW, "b"));
    assert!(registry.get("a").is_some());
    // One registers again in time, the other one is gone.
    registry.put(entry("b", "z", 1));
    let limit = NOW + RegistrySettings::default().reregistration_time;
    assert_eq!(registry.expire(limit), ["a".into()]);
    assert!(registry.get("a").is_none() && registry.get("b").is_some());
    assert!(registry.remove(limit, "b"), "long after an outage a removal counts at once");
}

#[test]
fn a_restarted_server_does_not_inherit_state() {
    let again = ServerEntry { started_ms: 2, ..entry("a", "z", 1) };
    let mut registry = registry(&[entry("a", "z", 4)]);
    let mut balancer = balancer(&[entry("a", "z", 4)]);
    balancer.started("a");
    balancer.record_version("a", &trestlerack::Name::from("m"), 9);
    for _ in 0..5 {
        balancer.failed(NOW, "a");
    }
    assert_eq!(chosen(&balancer, NOW, &need(1)), None, "it is paused after its failures");
    assert!(registry.put(again.clone()));
    balancer.sync(&registry);
    let server = balancer.get("a").unwrap();
    assert_eq!((server.version("m"), server.in_flight), (Some(1), 1), "the versions of the previous process are gone");
    assert_eq!(chosen(&balancer, NOW, &need(1)), Some("a".into()));
    assert!(!registry.put(entry("a", "z", 7)), "a late heartbeat of the previous process changes nothing");
    assert_eq!(registry.get("a"), Some(&again));
}

#[test]
fn an_overwritten_entry_is_removed_even_after_an_outage() {
    let mut registry = registry(&[entry("a", "z", 1), entry("b", "z", 1)]);
    registry.store_lost();
    registry.store_regained(NOW);
    assert!(!registry.remove(NOW, "a"), "kept for a while");
    assert!(registry.remove_invalid("a") && registry.remove_invalid("b") && !registry.remove_invalid("c"));
    assert_eq!(registry.entries().count(), 0);
    assert!(registry.expire(NOW + RegistrySettings::default().reregistration_time).is_empty());
}

#[test]
fn heartbeats_alone_change_nothing() {
    let mut registry = registry(&[entry("a", "z", 1)]);
    assert!(!registry.put(ServerEntry { heartbeat: 2, ..entry("a", "z", 1) }));
    assert!(registry.put(ServerEntry { heartbeat: 3, is_draining: true, ..entry("a", "z", 1) }));
    registry.replace(NOW, vec![entry("c", "z", 1)]);
    assert!(registry.get("a").is_none() && registry.get("c").is_some());
}

#[test]
fn a_pinned_text_continues_on_an_engine_of_its_version() {
    let balancer = balancer(&[entry("a", "z", 4), entry("b", "z", 5)]);
    let need = ServerNeed { pinned_version: Some(4), ..need(3) };
    assert_eq!(chosen(&balancer, NOW, &need), Some("a".into()));
    assert_eq!(chosen(&balancer, NOW, &ServerNeed { pinned_version: Some(3), ..need }), None);
}
