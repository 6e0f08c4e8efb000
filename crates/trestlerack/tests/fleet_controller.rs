//! Engines that are ordered from the platform: what is lost is ordered again, once.

use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::process::{EngineFleet, FleetRow, FleetSettings, ScalingTerms, ZoneEngines, ZoneOrder};
use trestlerack::{Name, Timestamp};

fn terms() -> ScalingTerms {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    ScalingTerms {
        min: 1,
        max: 12,
        boot: Duration::from_secs(4),
        zone_prices: prices.into_iter().map(|(zone, price)| (zone.into(), price)).collect(),
    }
}

fn zones(ready: [u32; 3], draining: u32) -> BTreeMap<Name, ZoneEngines> {
    let names = ["a", "b", "c"].into_iter().map(Name::from);
    let listed = ready
        .into_iter()
        .enumerate()
        .map(|(index, ready)| ZoneEngines { ready, draining: if index == 0 { draining } else { 0 } });
    names.zip(listed).collect()
}

/// A fleet whose level is known, and the row that says so.
fn settled() -> (EngineFleet, FleetRow) {
    let mut fleet = EngineFleet::new(FleetSettings::default());
    let row = FleetRow::default();
    assert_eq!(fleet.decide(Timestamp(0), 0, &zones([3, 2, 8], 0), &terms(), &row), None);
    assert_eq!(fleet.decide(Timestamp(2_900), 0, &zones([8, 8, 8], 0), &terms(), &row), None);
    assert_eq!(fleet.decide(Timestamp(5_800), 0, &zones([8, 8, 8], 0), &terms(), &row), None, "not steady yet");
    let row = fleet.decide(Timestamp(5_900), 0, &zones([8, 8, 8], 0), &terms(), &row).unwrap();
    assert_eq!((row.level, row.orders.len()), (24, 0));
    (fleet, row)
}

fn engines(row: &FleetRow) -> Vec<(String, u32)> {
    row.orders.iter().map(|(zone, order)| (zone.to_string(), order.engines)).collect()
}

#[test]
fn engines_that_are_gone_are_ordered_in_the_cheapest_zone_after_a_while() {
    let (mut fleet, row) = settled();
    let mut at =
        |ms, zones: &BTreeMap<Name, ZoneEngines>, row: &FleetRow| fleet.decide(Timestamp(ms), ms, zones, &terms(), row);
    assert_eq!(at(10_000, &zones([8, 8, 8], 0), &row), None);
    assert_eq!(at(11_000, &zones([7, 8, 7], 0), &row), None, "their entries may come back");
    assert_eq!(at(12_400, &zones([7, 8, 7], 0), &row), None);
    let ordered = at(12_500, &zones([7, 8, 7], 0), &row).unwrap();
    assert_eq!(engines(&ordered), [("b".into(), 10)]);
    assert_eq!(at(13_000, &zones([7, 9, 7], 0), &ordered), None, "the second one is on its way");
    let arrived = at(16_000, &zones([7, 10, 7], 0), &ordered).unwrap();
    assert_eq!(arrived.orders, BTreeMap::new());
    assert_eq!(at(16_100, &zones([8, 10, 8], 0), &arrived), None, "what comes back besides stays");
}

#[test]
fn engines_that_say_they_leave_are_ordered_at_once_within_what_zones_may_have() {
    let (mut fleet, row) = settled();
    let ordered = fleet.decide(Timestamp(10_000), 10_000, &zones([0, 8, 8], 8), &terms(), &row).unwrap();
    assert_eq!(engines(&ordered), [("a".into(), 4), ("b".into(), 12)], "four in the cheapest, which is full then");
}

#[test]
fn a_zone_without_engines_to_give_is_left_alone_for_a_while() {
    let (mut fleet, row) = settled();
    fleet.refused(Timestamp(9_000), &"b".into());
    let ordered = fleet.decide(Timestamp(10_000), 10_000, &zones([7, 8, 8], 1), &terms(), &row).unwrap();
    assert_eq!(engines(&ordered), [("a".into(), 8)]);
    let later = fleet.decide(Timestamp(13_000), 13_000, &zones([7, 8, 8], 1), &terms(), &row).unwrap();
    assert_eq!(engines(&later), [("b".into(), 9)]);
}

#[test]
fn engines_that_do_not_come_are_ordered_again_and_another_holder_goes_on() {
    let (_, row) = settled();
    let orders = [("b".into(), ZoneOrder { engines: 9, ordered_ms: 20_000 })].into();
    let row = FleetRow { orders, ..row };
    let mut next = EngineFleet::new(FleetSettings::default());
    let mut at = |ms| next.decide(Timestamp(ms), ms, &zones([7, 8, 8], 0), &terms(), &row);
    assert_eq!(at(31_900), None, "three times the time that engines take to boot");
    assert_eq!(at(32_000).map(|row| row.orders.len()), Some(0));
    let again = at(33_500).unwrap();
    assert_eq!(again.orders["b"], ZoneOrder { engines: 9, ordered_ms: 33_500 });
}
