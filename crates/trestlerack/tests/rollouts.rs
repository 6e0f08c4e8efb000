//! Weight swaps: enough engines keep serving, failed swaps are retried, and no order is for an older version.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use support::for_seeds;
use trestlerack::version::{EngineOrder, RolloutEngine, RolloutEvent, RolloutPlanner, RolloutSettings, WeightTarget};
use trestlerack::{Name, Timestamp};

const ENGINES: usize = 8;
const SERVING_PERCENT: u32 = 50;

fn target(version: u64, fence: u64) -> WeightTarget {
    WeightTarget { model: "m".into(), version, fence, serving_percent: SERVING_PERCENT, is_handover_complete: true }
}

fn engines() -> RolloutEvent {
    let engines = (0..ENGINES).map(|number| RolloutEngine { name: format!("e{number}").into(), checks_fencing: true });
    RolloutEvent::Engines(engines.collect())
}

#[test]
fn every_engine_reaches_the_newest_version_while_half_of_them_keep_serving() {
    for_seeds(300, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut planner = RolloutPlanner::new(RolloutSettings::default());
        let mut loaded: BTreeMap<Name, u64> = BTreeMap::new();
        let mut pending: Vec<EngineOrder> = planner.handle(Timestamp(1), engines());
        let mut newest = 0;
        for step in 1..4_000_u64 {
            let now = Timestamp(step * 100);
            let is_early = step < 2_000;
            let mut events = vec![RolloutEvent::Tick];
            if is_early && random.random_ratio(1, 300) {
                newest += 1;
            }
            if step.is_multiple_of(10) && newest > 0 {
                // The newest target is repeated; a quarter of the time, a delayed old target arrives.
                let is_old = random.random_ratio(1, 4);
                let version = if is_old { random.random_range(0..=newest) } else { newest };
                events.push(RolloutEvent::Target(target(version, 1 + version)));
            }
            if !pending.is_empty() && random.random_ratio(1, 3) {
                let order = pending.swap_remove(random.random_range(0..pending.len()));
                let fails = is_early && random.random_ratio(1, 3);
                // A swap may also succeed although its response is lost. Then the loaded version is reported
                // later, after the order is repeated.
                let is_lost = is_early && random.random_ratio(1, 5);
                if !fails {
                    loaded.insert(order.engine.clone(), order.version);
                }
                let engine = order.engine.clone();
                events.push(match (fails, is_lost) {
                    (true, _) | (_, true) => RolloutEvent::OrderFailed { engine },
                    _ => RolloutEvent::VersionReported { engine, version: order.version },
                });
            }
            for event in events {
                for order in planner.handle(now, event) {
                    let before = loaded.get(&order.engine).copied().unwrap_or(0);
                    assert!(order.version >= before, "no order is for an older version");
                    pending.push(order);
                }
            }
            let swapping = (0..ENGINES).filter(|number| planner.is_swapping(&format!("e{number}"))).count();
            assert!(swapping <= ENGINES / 2, "{swapping} engines swap at the same time");
        }
        let is_current = |number: usize| loaded.get(format!("e{number}").as_str()) == Some(&newest);
        assert!(newest == 0 || (0..ENGINES).all(is_current), "{loaded:?} instead of {newest}");
    });
}

#[test]
fn a_node_that_was_paused_sends_no_orders_for_an_old_target() {
    let mut planner = RolloutPlanner::new(RolloutSettings::default());
    let mut in_handover = target(1, 1);
    in_handover.is_handover_complete = false;
    planner.handle(Timestamp(0), RolloutEvent::Target(in_handover));
    assert_eq!(planner.handle(Timestamp(60_000), engines()), []);
    assert!(!planner.handle(Timestamp(60_001), RolloutEvent::Target(target(1, 1))).is_empty());
}

#[test]
fn an_engine_that_ignores_fencing_is_ordered_only_after_the_handover() {
    let mut planner = RolloutPlanner::new(RolloutSettings::default());
    let engine = RolloutEngine { name: "e0".into(), checks_fencing: false };
    planner.handle(Timestamp(0), RolloutEvent::Engines(vec![engine]));
    let mut in_handover = target(1, 1);
    in_handover.is_handover_complete = false;
    assert_eq!(planner.handle(Timestamp(1), RolloutEvent::Target(in_handover)), []);
    assert_eq!(planner.handle(Timestamp(2), RolloutEvent::Target(target(1, 1))).len(), 1);
}

#[test]
fn an_engine_that_keeps_failing_is_ordered_again_after_a_cooldown() {
    let mut planner = RolloutPlanner::new(RolloutSettings::default());
    planner.handle(Timestamp(0), engines());
    let mut now = 0;
    planner.handle(Timestamp(now), RolloutEvent::Target(target(1, 1)));
    for _ in 0..4 {
        planner.handle(Timestamp(now), RolloutEvent::OrderFailed { engine: "e0".into() });
        now += 5_000;
        planner.handle(Timestamp(now), RolloutEvent::Target(target(1, 1)));
    }
    assert!(planner.progress()["e0"].is_cooling_down);
    planner.handle(Timestamp(now + 70_000), RolloutEvent::Tick);
    planner.handle(Timestamp(now + 70_000), RolloutEvent::Target(target(1, 1)));
    assert!(planner.is_swapping("e0"));
}
