//! Controls how many engines of a service run in each availability zone.
//!
//! The policy is the simplest one that keeps work running: the target is the number of engines when they were
//! first all up. Lost engines are ordered again in the cheapest zone that has engines available; engines that
//! return in addition are kept. [docs/design/shifted-work.md](../../../../docs/design/shifted-work.md)
//! evaluates it.

use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Scaling of a service as configured by its operator.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingConfig {
    /// Smallest number of engines in a zone.
    pub min: u32,
    /// Largest number of engines in a zone.
    pub max: u32,
    /// Time from an order until its engines are ready.
    pub boot: Duration,
    /// Price of an engine per second, by zone.
    pub zone_prices: BTreeMap<Name, f64>,
}

/// Engines of a service in one zone, as service discovery lists them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneEngines {
    /// Engines that accept work.
    pub ready: u32,
    /// Engines that are draining.
    pub draining: u32,
}

/// An order for engines, stored in a row before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Number of engines that the zone is to have.
    pub engines: u32,
    /// Time of the order on the store's clock, in milliseconds.
    pub ordered_ms: u64,
}

/// The stored row with the orders of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRow {
    /// Target number of engines in all zones together.
    #[serde(rename = "level")]
    pub target: u32,
    /// Orders whose engines may not have started yet, by zone.
    pub orders: BTreeMap<Name, ZoneOrder>,
}

/// Settings of a [`FleetController`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Time for which the number of engines must not change before it becomes the target: engines register over
    /// several seconds when a deployment starts.
    pub stable_time: Duration,
    /// Time for which engines must be missing before they are ordered again. An engine that crashed or whose
    /// entry expired returns by itself within some seconds; one that announces its end is subtracted at once,
    /// so this covers only engines that disappear silently.
    pub missing_time: Duration,
    /// Time for which a zone that refused an order is not asked again.
    pub refusal_time: Duration,
    /// Number of boot times after which ordered engines are no longer expected.
    pub max_boot_times: u32,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            stable_time: Duration::from_secs(3),
            missing_time: Duration::from_millis(1_500),
            refusal_time: Duration::from_secs(4),
            max_boot_times: 3,
        }
    }
}

/// Decides how many engines of one service to order, on the node that holds the lease.
#[derive(Clone, Debug, Default)]
pub struct FleetController {
    settings: FleetSettings,
    /// Number of engines last seen ready, and since when.
    stable_count: Option<(u32, Timestamp)>,
    missing_since: Option<Timestamp>,
    refused_zones: BTreeMap<Name, Timestamp>,
    /// Zones in which nothing is ordered, and whose engines count as missing.
    evacuated_zones: BTreeSet<Name>,
    /// Number of ready engines of evacuated zones that were ordered again. Without it, engines that disappear
    /// silently during an evacuation would count as missing at once too.
    replaced: u32,
}

impl FleetController {
    /// Creates a controller.
    pub fn new(settings: FleetSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Replaces the evacuated zones. Their engines count as missing at once and are ordered in other zones.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<Name>) {
        self.evacuated_zones = zones;
    }

    /// Returns the row to write if it changes; orders in it that are not in `row` are to be sent.
    ///
    /// `clock_ms` is the store's clock, by which the orders of the previous lease holder are also timed.
    pub fn decide(
        &mut self,
        now: Timestamp,
        clock_ms: u64,
        zones: &BTreeMap<Name, ZoneEngines>,
        config: &ScalingConfig,
        row: &FleetRow,
    ) -> Option<FleetRow> {
        let all_ready: u32 = zones.values().map(|zone| zone.ready).sum();
        if row.target == 0 {
            // Engines of an evacuated zone are part of the fleet, which is to have as many again elsewhere.
            return self.initial_target(now, all_ready);
        }
        let mut next = row.clone();
        let wait_ms = crate::time::millis(config.boot * self.settings.max_boot_times);
        next.orders.retain(|zone, order| {
            let ready = zones.get(zone).map_or(0, |zone| zone.ready);
            ready < order.engines && clock_ms < order.ordered_ms + wait_ms
        });
        let pending = |zone: &Name, order: &ZoneOrder| order.engines - zones.get(zone).map_or(0, |zone| zone.ready);
        let evacuated = |zone: &Name| self.evacuated_zones.contains(zone);
        let evacuated_ready: u32 =
            zones.iter().filter(|(zone, _)| evacuated(zone)).map(|(_, engines)| engines.ready).sum();
        let dropped: u32 =
            next.orders.iter().filter(|(zone, _)| evacuated(zone)).map(|(zone, order)| pending(zone, order)).sum();
        next.orders.retain(|zone, _| !evacuated(zone));
        let ready = all_ready - evacuated_ready;
        let expected: u32 = ready + next.orders.iter().map(|(zone, order)| pending(zone, order)).sum::<u32>();
        let missing = row.target.saturating_sub(expected);
        if missing == 0 {
            self.missing_since = None;
            self.replaced = evacuated_ready;
        } else {
            let newly_evacuated = evacuated_ready.saturating_sub(self.replaced) + dropped;
            let is_missing = self.is_missing(now, zones, missing, newly_evacuated);
            let needed = if is_missing { missing } else { newly_evacuated.min(missing) };
            if needed > 0 {
                self.replaced = evacuated_ready;
                self.add_orders(now, clock_ms, needed, zones, config, &mut next);
            }
        }
        (next != *row).then_some(next)
    }

    /// Records that a zone refused an order.
    pub fn record_refusal(&mut self, now: Timestamp, zone: &Name) {
        self.refused_zones.insert(zone.clone(), now);
    }

    fn initial_target(&mut self, now: Timestamp, ready: u32) -> Option<FleetRow> {
        let (ready, since) = match self.stable_count {
            Some(stable) if stable.0 == ready => stable,
            _ => *self.stable_count.insert((ready, now)),
        };
        let is_stable = ready > 0 && now.since(since) >= self.settings.stable_time;
        is_stable.then(|| FleetRow { target: ready, orders: BTreeMap::new() })
    }

    /// Draining and evacuated engines count as missing at once; others only after they have been missing for a
    /// while.
    fn is_missing(
        &mut self,
        now: Timestamp,
        zones: &BTreeMap<Name, ZoneEngines>,
        missing: u32,
        evacuated: u32,
    ) -> bool {
        let since = *self.missing_since.get_or_insert(now);
        let draining: u32 = zones.values().map(|zone| zone.draining).sum();
        draining + evacuated >= missing || now.since(since) >= self.settings.missing_time
    }

    /// Adds orders for `missing` engines to `next`, cheapest zones first.
    fn add_orders(
        &mut self,
        now: Timestamp,
        clock_ms: u64,
        mut missing: u32,
        zones: &BTreeMap<Name, ZoneEngines>,
        config: &ScalingConfig,
        next: &mut FleetRow,
    ) {
        let refusal_time = self.settings.refusal_time;
        self.refused_zones.retain(|_, at| now.since(*at) < refusal_time);
        let mut by_price: Vec<(&Name, f64)> = config.zone_prices.iter().map(|(zone, price)| (zone, *price)).collect();
        by_price.sort_by(|left, right| left.1.total_cmp(&right.1).then_with(|| left.0.cmp(right.0)));
        by_price.retain(|(zone, _)| !self.refused_zones.contains_key(*zone) && !self.evacuated_zones.contains(*zone));
        for (zone, _) in by_price {
            let ready = zones.get(zone).map_or(0, |zone| zone.ready);
            let planned = next.orders.get(zone).map_or(ready, |order| order.engines.max(ready));
            let additional = missing.min(config.max.saturating_sub(planned));
            if additional > 0 {
                let engines = (planned + additional).max(config.min);
                next.orders.insert(zone.clone(), ZoneOrder { engines, ordered_ms: clock_ms });
                missing -= additional;
            }
        }
    }
}
