//! Orders of engines from the platform: lost engines are ordered again, once.

use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::process::{FleetController, FleetRow, FleetSettings, ScalingConfig, ZoneEngines, ZoneOrder};
use trestlerack::{Name, Timestamp};

fn config() -> ScalingConfig {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25)];
    ScalingConfig {
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

/// A controller that has set its target, and the row that holds it.
fn controller_with_target() -> (FleetController, FleetRow) {
    let mut controller = FleetController::new(FleetSettings::default());
    let row = FleetRow::default();
    assert_eq!(controller.decide(Timestamp(0), 0, &zones([3, 2, 8], 0), &config(), &row), None);
    assert_eq!(controller.decide(Timestamp(2_900), 0, &zones([8, 8, 8], 0), &config(), &row), None);
    assert_eq!(
        controller.decide(Timestamp(5_800), 0, &zones([8, 8, 8], 0), &config(), &row),
        None,
        "not stable for long enough"
    );
    let row = controller.decide(Timestamp(5_900), 0, &zones([8, 8, 8], 0), &config(), &row).unwrap();
    assert_eq!((row.target, row.orders.len()), (24, 0));
    (controller, row)
}

fn ordered_engines(row: &FleetRow) -> Vec<(String, u32)> {
    row.orders.iter().map(|(zone, order)| (zone.to_string(), order.engines)).collect()
}

#[test]
fn missing_engines_are_ordered_in_the_cheapest_zone_after_a_delay() {
    let (mut controller, row) = controller_with_target();
    let mut at = |ms, zones: &BTreeMap<Name, ZoneEngines>, row: &FleetRow| {
        controller.decide(Timestamp(ms), ms, zones, &config(), row)
    };
    assert_eq!(at(10_000, &zones([8, 8, 8], 0), &row), None);
    assert_eq!(at(11_000, &zones([7, 8, 7], 0), &row), None, "their entries may return");
    assert_eq!(at(12_400, &zones([7, 8, 7], 0), &row), None);
    let ordered = at(12_500, &zones([7, 8, 7], 0), &row).unwrap();
    assert_eq!(ordered_engines(&ordered), [("b".into(), 10)]);
    assert_eq!(at(13_000, &zones([7, 9, 7], 0), &ordered), None, "the second one is expected");
    let arrived = at(16_000, &zones([7, 10, 7], 0), &ordered).unwrap();
    assert_eq!(arrived.orders, BTreeMap::new());
    assert_eq!(at(16_100, &zones([8, 10, 8], 0), &arrived), None, "engines that return in addition are kept");
}

#[test]
fn draining_engines_are_replaced_at_once_within_the_zone_limits() {
    let (mut controller, row) = controller_with_target();
    let ordered = controller.decide(Timestamp(10_000), 10_000, &zones([0, 8, 8], 8), &config(), &row).unwrap();
    assert_eq!(
        ordered_engines(&ordered),
        [("a".into(), 4), ("b".into(), 12)],
        "four in the cheapest zone, which is full then"
    );
}

#[test]
fn a_zone_that_refused_an_order_is_skipped_for_a_while() {
    let (mut controller, row) = controller_with_target();
    controller.record_refusal(Timestamp(9_000), &"b".into());
    let ordered = controller.decide(Timestamp(10_000), 10_000, &zones([7, 8, 8], 1), &config(), &row).unwrap();
    assert_eq!(ordered_engines(&ordered), [("a".into(), 8)]);
    let later = controller.decide(Timestamp(13_000), 13_000, &zones([7, 8, 8], 1), &config(), &row).unwrap();
    assert_eq!(ordered_engines(&later), [("b".into(), 9)]);
}

#[test]
fn engines_that_do_not_arrive_are_ordered_again_by_the_next_lease_holder() {
    let (_, row) = controller_with_target();
    let orders = [("b".into(), ZoneOrder { engines: 9, ordered_ms: 20_000 })].into();
    let row = FleetRow { orders, ..row };
    let mut next = FleetController::new(FleetSettings::default());
    let mut at = |ms| next.decide(Timestamp(ms), ms, &zones([7, 8, 8], 0), &config(), &row);
    assert_eq!(at(31_900), None, "three times the time that engines take to boot");
    assert_eq!(at(32_000).map(|row| row.orders.len()), Some(0));
    let again = at(33_500).unwrap();
    assert_eq!(again.orders["b"], ZoneOrder { engines: 9, ordered_ms: 33_500 });
}
