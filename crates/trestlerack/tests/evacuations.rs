//! Evacuated zones: which rows and lists take effect, and what the weight scheduler, the fleet controller and the load
//! balancer decide for the zone's engines and servers.

use bolero::check;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use trestlerack::process::{
    BalancerSettings, EvacuatedZones, EvacuationList, EvacuationRefusals, FleetController, FleetRow, FleetSettings,
    LoadBalancer, ScalingConfig, ServerEntry, ServerNeed, ZoneEngines, ZoneFacts, ZoneOrder, ZoneState,
    engines_to_load,
};
use trestlerack::version::{EngineAssignment, WeightScheduler, WeightSchedulerSettings};
use trestlerack::{AllowedZones, Name, Timestamp};

fn entry(instance: &str, zone: &str, model: &str) -> ServerEntry {
    ServerEntry {
        instance: instance.into(),
        service: "models".into(),
        address: "10.0.0.1:1".into(),
        zone: zone.into(),
        slots: 4,
        is_draining: false,
        cold_left_ms: 0,
        models: vec![(model.into(), 1)],
        heartbeat: 1,
        started_ms: 1,
    }
}

fn list(as_of: u64, zones: &[(&str, u64)]) -> EvacuationList {
    EvacuationList { as_of, zones: zones.iter().map(|(zone, version)| (Name::from(*zone), *version)).collect() }
}

fn zone_set(zones: &[&str]) -> BTreeSet<Name> {
    zones.iter().map(|zone| Name::from(*zone)).collect()
}

/// Guards against evacuations that stale rows or lists bring back, and against an end that is missed.
#[test]
fn only_newer_rows_and_lists_change_a_zone() {
    let mut zones = EvacuatedZones::default();
    assert!(!zones.is_known());
    zones.replace(&list(4, &[]));
    assert!(zones.is_known());
    assert_eq!(zones.apply_row(&"a".into(), 3, true), None, "the list was complete as of version 4");
    assert!(zones.apply_row(&"a".into(), 5, true).is_some());
    assert!(zones.replace(&list(4, &[])).is_empty(), "the list is older than the row");
    assert!(zones.apply_row(&"a".into(), 6, false).is_some());
    assert_eq!(zones.apply_row(&"a".into(), 5, true), None, "the row was read before it was removed");
    zones.apply_row(&"a".into(), 7, true);
    assert_eq!(zones.apply_row(&"a".into(), 6, false), None);
    assert!(zones.contains("a"));
    assert!(zones.apply_row(&"a".into(), 7, false).is_some(), "a follower relays a row that it finds missing");
    zones.apply_row(&"b".into(), 8, true);
    assert_eq!(zones.replace(&list(9, &[("c", 9)])).len(), 2);
    assert_eq!(zones.zones(), zone_set(&["c"]));
    assert_eq!(zones.apply_row(&"b".into(), 8, true), None);
}

/// Guards against a set that depends on the order and repetition of messages: once everything of a history has arrived
/// and the last list is complete, the set is that of the store.
#[test]
fn the_set_is_that_of_the_store_after_any_delays() {
    check!().with_type::<(Vec<(u8, bool)>, Vec<u8>)>().for_each(|(history, order)| {
        let mut stored: BTreeMap<Name, u64> = BTreeMap::new();
        let mut rows = Vec::new();
        let mut lists = vec![list(0, &[])];
        for (index, (zone, is_active)) in history.iter().enumerate() {
            let (zone, version) = (Name::from(format!("z{}", zone % 3)), index as u64 + 1);
            rows.push((zone.clone(), version, *is_active));
            if *is_active {
                stored.insert(zone, version);
            } else {
                stored.remove(&zone);
            }
            lists.push(EvacuationList { as_of: version, zones: stored.clone() });
        }
        let mut zones = EvacuatedZones::default();
        for number in order {
            let number = usize::from(*number);
            if number % 2 == 0 {
                zones.replace(&lists[number / 2 % lists.len()]);
            } else if !rows.is_empty() {
                let (zone, version, is_active) = &rows[number / 2 % rows.len()];
                zones.apply_row(zone, *version, *is_active);
            }
        }
        zones.replace(lists.last().unwrap());
        assert_eq!(zones.list(0).zones, stored);
    });
}

/// Guards against loads of engines in an evacuated zone, and against models that lose their engines with it.
#[test]
fn other_engines_take_over_the_models_of_an_evacuated_zone_until_its_end() {
    let names: Vec<Name> = vec!["m".into(), "n".into()];
    let entries: Vec<ServerEntry> = (0..8)
        .map(|number| {
            entry(&format!("i-{number}"), if number < 4 { "a" } else { "b" }, if number < 4 { "m" } else { "n" })
        })
        .collect();
    let assigned: BTreeMap<Name, EngineAssignment> = entries.iter().map(assignment).collect();
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    let mut sync = |now, zones: &BTreeSet<Name>| {
        scheduler.sync(Timestamp(now), &names, &engines_to_load(entries.iter(), zones), &assigned);
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        scheduler.models().for_each(|(_, model)| *counts.entry(model.to_string()).or_default() += 1);
        scheduler.raise_target(&"m".into(), 1 + now);
        let orders = scheduler.next_orders(Timestamp(now), |_| Some(0));
        (counts, orders.into_iter().map(|order| order.instance).collect::<Vec<Name>>())
    };
    assert_eq!(sync(1_000, &zone_set(&[])).0, BTreeMap::from([("m".into(), 4), ("n".into(), 4)]));
    let (counts, ordered) = sync(1_200, &zone_set(&["a"]));
    assert_eq!(counts, BTreeMap::from([("m".into(), 2), ("n".into(), 2)]));
    let in_zone = zone_set(&["i-0", "i-1", "i-2", "i-3"]);
    assert!(!ordered.is_empty() && ordered.iter().all(|instance| !in_zone.contains(instance)), "{ordered:?}");
    assert_eq!(sync(5_000, &zone_set(&[])).0.values().sum::<usize>(), 8);
}

fn assignment(entry: &ServerEntry) -> (Name, EngineAssignment) {
    let model = entry.models[0].0.clone();
    let (version, ordered_ms, tried_ms, load_ms) = (1, 0, 0, 0);
    let holder = "node".into();
    (entry.instance.clone(), EngineAssignment { model, version, ordered_ms, tried_ms, holder, load_ms })
}

fn scaling() -> ScalingConfig {
    let prices = [("a", 0.5), ("b", 0.8), ("c", 1.25)];
    ScalingConfig {
        min: 1,
        max: 16,
        boot: Duration::from_secs(4),
        zone_prices: prices.into_iter().map(|(zone, price)| (zone.into(), price)).collect(),
    }
}

fn engines(ready: [u32; 3]) -> BTreeMap<Name, ZoneEngines> {
    let names = ["a", "b", "c"].into_iter().map(Name::from);
    names.zip(ready.map(|ready| ZoneEngines { ready, draining: 0 })).collect()
}

/// Guards against a wait before the engines of an evacuated zone are replaced, against orders in the zone, and against
/// engines that are ordered twice or given back.
#[test]
fn engines_of_an_evacuated_zone_are_ordered_elsewhere_at_once_and_kept_after_its_end() {
    let pending = [("a".into(), ZoneOrder { engines: 9, ordered_ms: 9_000 })].into();
    let mut row = FleetRow { target: 25, orders: pending };
    let mut controller = FleetController::new(FleetSettings::default());
    let mut at = |ms, ready, evacuated: &[&str], row: &mut FleetRow| {
        controller.set_evacuated_zones(zone_set(evacuated));
        let decided = controller.decide(Timestamp(ms), ms, &engines(ready), &scaling(), row);
        decided.map(|decided| *row = decided).is_some()
    };
    assert!(!at(9_500, [8, 8, 8], &[], &mut row), "one engine is expected in the cheapest zone");
    assert!(at(10_000, [8, 8, 8], &["a"], &mut row), "without a delay");
    let orders = |row: &FleetRow| -> BTreeMap<String, u32> {
        row.orders.iter().map(|(zone, order)| (zone.to_string(), order.engines)).collect()
    };
    assert_eq!(orders(&row), BTreeMap::from([("b".to_owned(), 16), ("c".to_owned(), 9)]));
    assert!(!at(10_200, [8, 8, 8], &["a"], &mut row), "they are expected");
    assert!(at(14_000, [8, 16, 9], &["a"], &mut row));
    assert_eq!(row.orders, BTreeMap::new());
    assert!(!at(15_000, [8, 15, 9], &["a"], &mut row), "an engine that disappears silently may return");
    assert!(at(16_500, [8, 15, 9], &["a"], &mut row));
    assert_eq!(orders(&row), BTreeMap::from([("b".to_owned(), 16)]));
    assert!(at(17_000, [8, 16, 9], &[], &mut row));
    assert!(!at(18_000, [8, 16, 9], &[], &mut row), "engines that return in addition are kept");
}

/// Guards against a choice of a server in an evacuated zone, also after it restarted, and against a service that is
/// taken for evacuated although it has another server.
#[test]
fn servers_of_an_evacuated_zone_are_not_chosen() {
    let mut balancer = LoadBalancer::new(BalancerSettings::default());
    let chosen = |balancer: &LoadBalancer| {
        let need = ServerNeed { service: "models", zone: "a", tie_key: "node", ..ServerNeed::default() };
        balancer.choose(Timestamp(1_000), &need).map(|server| server.entry.instance.to_string())
    };
    balancer.put(&entry("i-0", "a", "m"));
    balancer.put(&entry("i-1", "b", "m"));
    balancer.set_evacuated_zones(zone_set(&["a"]));
    balancer.put(&ServerEntry { started_ms: 2, ..entry("i-0", "a", "m") });
    assert_eq!(chosen(&balancer).as_deref(), Some("i-1"));
    assert!(!balancer.is_service_evacuated("models", None));
    assert!(balancer.is_service_evacuated("models", Some(&AllowedZones::new(["a".into()]))));
    assert!(!balancer.is_service_evacuated("models", Some(&AllowedZones::new(["c".into()]))), "it has no server");
    balancer.put(&ServerEntry { is_draining: true, ..entry("i-1", "b", "m") });
    assert!(balancer.is_service_evacuated("models", None) && chosen(&balancer).is_none());
    balancer.set_evacuated_zones(zone_set(&[]));
    assert_eq!(chosen(&balancer).as_deref(), Some("i-0"));
}

/// Guards against a log line for each refused request.
#[test]
fn refusals_are_logged_at_a_bounded_rate() {
    let mut refusals = EvacuationRefusals::default();
    let logged: Vec<u64> = (0..12_000).filter_map(|ms| refusals.record(Timestamp(ms), &"plain".into())).collect();
    assert_eq!(logged, [1, 5_000, 5_000]);
}

/// Guards against a status that counts an evacuated or draining server as one that remains.
#[test]
fn the_status_of_a_zone_tells_what_remains_without_it() {
    let entries = [
        entry("i-0", "a", "m"),
        ServerEntry { models: vec![("m".into(), 2)], ..entry("i-1", "b", "m") },
        entry("i-2", "c", "m"),
        ServerEntry { is_draining: true, ..entry("i-3", "b", "m") },
    ];
    let facts = ZoneFacts {
        entries: entries.iter().collect(),
        vm_zones: zone_set(&["d"]),
        evacuated_zones: zone_set(&["c", "x"]),
        newest_versions: [("m".into(), 2)].into(),
        ..ZoneFacts::default()
    };
    let statuses = facts.statuses();
    let states: Vec<(&str, ZoneState)> = statuses.iter().map(|status| (&*status.zone, status.state)).collect();
    let (open, evacuated) = (ZoneState::Open, ZoneState::Evacuated);
    assert_eq!(states, [("a", open), ("b", open), ("c", evacuated), ("d", open), ("x", ZoneState::Empty)]);
    let first = &statuses[0];
    assert_eq!((first.capacity.servers, first.capacity.slots), (1, 4));
    assert_eq!((first.remaining["models"].servers, first.remaining["models"].slots), (1, 4));
    let engines = first.engines["m"];
    assert_eq!((engines.version, engines.newest, engines.total), (2, 0, 1));
    assert_eq!((engines.newest_elsewhere, engines.total_elsewhere), (1, 1));
}
