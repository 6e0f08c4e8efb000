//! Engines that are cold: the allotments of nodes, and the bound on what an engine gets from all nodes together.

#[path = "support/cold_simulation.rs"]
mod cold_simulation;
#[path = "support/load.rs"]
mod load;

use bolero::check;
use cold_simulation::{ColdSimulation, SentRequest, SimulatedFleet, check_bound, limiter, table};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{
    BalancerSettings, ColdBudget, ColdSettings, ColdStartConfig, JobDrivers, LoadBalancer, ServerNeed, ServiceUse,
};
use trestlerack::version::RouteKind;

const CONFIG: ColdStartConfig = ColdStartConfig { duration: Duration::from_secs(3), tolerated_per_s: 9.2 };

/// Smallest number of requests to cold engines that the property test has to check.
const MIN_REQUESTS: usize = 100_000;

/// Seed with which a node that was cut off from the start sent too many requests to an engine of a zone that had just
/// been opened, because its first entry of the engine was older than that.
const REGRESSION: u64 = 5_855_931_244_654_906_196;

fn budget(tolerated_per_s: f64, slack: f64, service_use: ServiceUse) -> (u32, u32, u32) {
    let config = ColdStartConfig { tolerated_per_s, ..CONFIG };
    let ColdBudget { total, driver, nodes } =
        ColdBudget::new(config, &ColdSettings { slack, ..ColdSettings::default() }, service_use, true);
    (total, driver, nodes)
}

/// Guards against allotments that together exceed the total, also for limits below one request.
#[test]
fn two_drivers_and_all_nodes_stay_within_the_total() {
    assert_eq!(budget(9.2, 5.0, ServiceUse::JobsOnly), (16, 8, 0));
    assert_eq!(budget(9.2, 5.0, ServiceUse::Mixed), (16, 5, 4));
    assert_eq!(budget(0.0, 0.0, ServiceUse::Mixed), (0, 0, 0));
    assert_eq!(budget(1_000_000.0, 1_000_000.0, ServiceUse::JobsOnly).0, 2_499_998);
    for tenths in 0..500 {
        for service_use in [ServiceUse::JobsOnly, ServiceUse::Mixed] {
            let (total, driver, nodes) = budget(f64::from(tenths) / 10.0, 0.0, service_use);
            assert!(2 * driver + nodes <= total, "{tenths} {service_use:?}");
        }
    }
}

fn check_fleet(fleet: &SimulatedFleet, requests: &AtomicUsize) -> Result<(), String> {
    let simulation = ColdSimulation::run(fleet);
    requests.fetch_add(simulation.cold_requests(), Ordering::Relaxed);
    simulation.check()
}

/// Guards against any combination of views, losses, delays, suspensions and restarts under which an engine gets
/// more than it tolerates.
#[test]
fn a_cold_engine_never_gets_more_than_the_bound_in_a_second() {
    let requests = AtomicUsize::new(0);
    let regression = SimulatedFleet { seed: REGRESSION, kind: RouteKind::Batch, settings: ColdSettings::default() };
    check_fleet(&regression, &requests).unwrap();
    check!().with_type::<(u64, bool)>().with_iterations(200).for_each(|(seed, has_calls)| {
        let kind = if *has_calls { RouteKind::Safe } else { RouteKind::Batch };
        let fleet = SimulatedFleet { seed: *seed, kind, settings: ColdSettings::default() };
        check_fleet(&fleet, &requests).unwrap_or_else(|error| panic!("{fleet:?}: {error}"));
    });
    let requests = requests.into_inner();
    assert!(requests >= MIN_REQUESTS, "only {requests} requests to cold engines");
}

/// The check must be able to fail: with one node too many in the allotment, the bound is exceeded.
#[test]
fn the_check_detects_one_node_too_many() {
    let settings = ColdSettings { node_fraction: 5.0 / 6.0, ..ColdSettings::default() };
    assert_eq!(ColdBudget::new(CONFIG, &settings, ServiceUse::Mixed, true).nodes, 5, "one more than by default");
    let fails = |seed: &u64| {
        let fleet = SimulatedFleet { seed: *seed, kind: RouteKind::Safe, settings: settings.clone() };
        check_fleet(&fleet, &AtomicUsize::new(0)).is_err()
    };
    let failed = (0..24).filter(fails).count();
    assert!(failed > 0, "no run exceeded the bound");
}

/// The check itself counts a request only if it was both sent and received within the second.
#[test]
fn the_check_counts_spans_of_one_second() {
    let request = |sent, received| SentRequest { sent, received };
    let at_once: Vec<SentRequest> = (0..4).map(|number| request(100 * number, 100 * number + 50)).collect();
    assert!(check_bound(&at_once, 4.0).is_ok() && check_bound(&at_once, 3.5).is_err());
    assert!(check_bound(&[request(0, 5), request(0, 1_200), request(1_001, 1_300)], 1.0).is_ok());
}

/// Guards against three drivers in a row that each send their allotment within a second, which the budget does not
/// cover. Jobs of less than a second move the allotment that fast.
#[test]
fn an_allotment_that_moves_twice_within_a_second_stays_within_two_drivers() {
    let entry = load::plain_server("i", "s", "z", 8);
    let names = ["a", "b", "c"];
    let node = |name: &str| {
        let mut cold = limiter(name, &ColdSettings::default(), Timestamp(0));
        cold.set_services(&table(CONFIG, RouteKind::Batch, false));
        LoadBalancer::new(BalancerSettings::default()).with_cold_limiter(cold)
    };
    let mut nodes = names.map(node);
    let mut sent = Vec::new();
    for (now, driver) in [(5_000, Some("a")), (5_300, None), (5_400, Some("b")), (5_700, Some("c")), (7_000, Some("c"))]
    {
        let mut drivers = JobDrivers::default();
        driver.iter().for_each(|name| drivers.add(None, (*name).into()));
        for balancer in &mut nodes {
            balancer.cold.set_drivers(Timestamp(now), drivers.clone());
            let permitted = (0..20).filter(|_| balancer.try_send(Timestamp(now), &entry).is_some()).count();
            sent.extend(std::iter::repeat_n(SentRequest { sent: now, received: now }, permitted));
        }
    }
    let driver_allotment = 8;
    check_bound(&sent, f64::from(driver_allotment)).unwrap();
    assert_eq!(sent.len(), 2 * driver_allotment as usize, "the first driver and, after a second, the last one");
}

/// Guards against several drivers of a model that together send more than the bound to a warm engine, which becomes cold
/// without a restart and whose nodes learn it a second later.
#[test]
fn the_drivers_of_a_model_share_what_a_warm_engine_may_get() {
    let now = Timestamp(20_000);
    let entry = load::plain_server("i", "s", "z", 32);
    for count in 1..20 {
        let names: Vec<String> = (0..count).map(|number| format!("n{number}")).collect();
        let mut drivers = JobDrivers::default();
        names.iter().for_each(|name| drivers.add(Some(&"m".into()), name.as_str().into()));
        let sends = |name: &String| {
            let mut cold = limiter(name, &ColdSettings::default(), Timestamp(0));
            cold.set_services(&table(CONFIG, RouteKind::Batch, true));
            cold.record_information(now);
            cold.record_entry(now, &entry);
            cold.set_drivers(now, drivers.clone());
            let mut balancer = LoadBalancer::new(BalancerSettings::default()).with_cold_limiter(cold);
            balancer.put(&entry);
            balancer.assign(&entry.instance, Some(&"m".into()));
            (0..40).filter(|_| balancer.try_send(now, &entry).is_some()).count()
        };
        let sent: usize = names.iter().map(sends).sum();
        let bound = CONFIG.tolerated_per_s * 1.5 + 5.0;
        assert!(sent as f64 <= bound.max(f64::from(count)), "{count} drivers sent {sent}");
        assert!(sent >= 9, "{count} drivers may use more than half of 16: {sent}");
    }
}

/// Guards against an order that is announced and then not sent: drivers would send runs to an engine that is not told
/// to load. After a change of the lease holder, a poll and an order follow each other.
#[test]
fn an_engine_that_is_not_known_to_be_warm_gets_a_poll_and_an_order() {
    let entry = load::plain_server("i", "s", "z", 8);
    let mut cold = limiter("n", &ColdSettings::default(), Timestamp(0));
    cold.set_services(&table(CONFIG, RouteKind::Batch, true));
    assert!(!cold.may_order(Timestamp(1_100), &entry), "orders of an earlier process count still");
    let now = Timestamp(1_200);
    assert!(cold.try_order(now, &entry) && cold.may_order(now, &entry), "a poll, and an order that may follow");
    assert!(cold.try_order(now, &entry) && !cold.may_order(now, &entry) && !cold.try_order(now, &entry));
    assert!(cold.may_order(now + Duration::from_millis(1_101), &entry));
}

/// Guards against an engine that counts as warm because its first entry, which arrives after the end of an evacuation, was
/// written before it.
#[test]
fn an_engine_that_is_listed_after_the_end_of_an_evacuation_is_unknown() {
    let entry = load::plain_server("i", "s", "z", 8);
    let mut cold = limiter("n", &ColdSettings::default(), Timestamp(0));
    cold.set_services(&table(CONFIG, RouteKind::Batch, true));
    let mut balancer = LoadBalancer::new(BalancerSettings::default()).with_cold_limiter(cold);
    balancer.put(&entry);
    balancer.set_evacuated_zones(["z".into()].into());
    balancer.set_evacuated_zones([].into());
    balancer.cold.advance(Timestamp(10_000));
    let permits = |balancer: &mut LoadBalancer, now: u64| {
        balancer.cold.record_entry(Timestamp(now), &entry);
        balancer.cold.record_information(Timestamp(now));
        balancer.cold.advance(Timestamp(now));
        balancer.try_send(Timestamp(now), &entry).is_some()
    };
    assert!(!permits(&mut balancer, 10_100) && !permits(&mut balancer, 13_300), "no driver, and not known to be warm");
    assert!(permits(&mut balancer, 15_000), "entries from after the end are known");
}

/// Guards against a choice of cold engines while warm ones have free slots, and against requests beyond the limit.
#[test]
fn warm_engines_are_preferred_and_cold_ones_used_up_to_the_limit() {
    let now = Timestamp(20_000);
    let mut entries = ["cold", "warm"].map(|name| load::plain_server(name, "s", "z", 1));
    entries[0].cold_left_ms = 3_000;
    let mut cold = limiter("n", &ColdSettings::default(), Timestamp(0));
    cold.set_services(&table(CONFIG, RouteKind::Batch, false));
    cold.record_information(now);
    let mut drivers = JobDrivers::default();
    drivers.add(None, "n".into());
    cold.set_drivers(now, drivers);
    entries.iter().for_each(|entry| cold.record_entry(now, entry));
    let mut balancer = LoadBalancer::new(BalancerSettings::default()).with_cold_limiter(cold);
    entries.iter().for_each(|entry| balancer.put(entry));
    let need = ServerNeed { service: "s", zone: "z", ..ServerNeed::default() };
    let chosen = |balancer: &LoadBalancer, need: &ServerNeed<'_>| {
        balancer.choose(now, need).map(|server| server.entry.instance.clone())
    };
    assert_eq!(chosen(&balancer, &need).as_deref(), Some("warm"));
    balancer.started("warm");
    assert_eq!(chosen(&balancer, &need).as_deref(), Some("cold"), "the warm one has no free slot");
    assert_eq!(chosen(&balancer, &ServerNeed { needs_warm: true, ..need.clone() }).as_deref(), Some("warm"));
    let sent = (0..20).filter(|_| balancer.try_send(now, &entries[0]).is_some()).count();
    assert_eq!(sent, 8, "the driver allotment");
    assert_eq!(chosen(&balancer, &need).as_deref(), Some("warm"));
    assert_eq!(balancer.wait_estimate(now, "s").slots, 1, "a server that may get nothing now does not count");
    balancer.remove("warm");
    assert_eq!(balancer.available_at(now, "s"), Some(now + Duration::from_millis(1_101)));
    assert_eq!(balancer.wait_estimate(now + Duration::from_millis(1_101), "s").free_slots, 1);
}
