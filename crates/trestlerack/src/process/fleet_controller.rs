//! How many engines of a service are to run in each availability zone.
//!
//! The plainest policy that keeps work going: the number that ran when the service was first seen
//! whole is held. What is lost is ordered again, in the cheapest zone that has engines to give;
//! what comes back besides stays. [docs/design/shifted-work.md](../../../../docs/design/shifted-work.md)
//! has what it is worth.

use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// What an operator allows of a service whose engines can be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingTerms {
    /// Fewest and most engines in a zone.
    pub min: u32,
    /// Most engines in a zone.
    pub max: u32,
    /// Time from an order until its engines serve.
    pub boot: Duration,
    /// Price of an engine for a second, by zone.
    pub zone_prices: BTreeMap<Name, f64>,
}

/// Engines of a service in one zone, as service discovery lists them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneEngines {
    /// Engines that take work.
    pub ready: u32,
    /// Engines that are about to leave.
    pub draining: u32,
}

/// An order for engines, told by a row before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneOrder {
    /// Engines that the zone is to have.
    pub engines: u32,
    /// When it was ordered, on the store's clock in milliseconds.
    pub ordered_ms: u64,
}

/// The row that holds what was ordered of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetRow {
    /// Engines that are to run in all zones together.
    pub level: u32,
    /// Orders whose engines may still be on their way, by zone.
    pub orders: BTreeMap<Name, ZoneOrder>,
}

/// Settings of an [`EngineFleet`].
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Time for which the number of engines must not change before it becomes the level: engines
    /// register over some seconds when a deployment starts.
    pub steady_time: Duration,
    /// Time for which engines must be missing before they are ordered again. An engine that crashed
    /// and one whose entry lapsed come back within some seconds of their own; one that says it
    /// leaves is counted out at once, so this is for the silent ones only.
    pub missing_time: Duration,
    /// Time for which a zone that had no engine to give is not asked again.
    pub refused_time: Duration,
    /// Boot times after which ordered engines are no longer waited for.
    pub boots_waited: u32,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            steady_time: Duration::from_secs(3),
            missing_time: Duration::from_millis(1_500),
            refused_time: Duration::from_secs(4),
            boots_waited: 3,
        }
    }
}

/// Decides on the engines of one service, on the holder of the lease.
#[derive(Clone, Debug, Default)]
pub struct EngineFleet {
    settings: FleetSettings,
    /// Engines that were last seen ready, and since when.
    steady: Option<(u32, Timestamp)>,
    short_since: Option<Timestamp>,
    refused: BTreeMap<Name, Timestamp>,
}

impl EngineFleet {
    /// Builds the decision maker.
    pub fn new(settings: FleetSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Returns the row to write, where it is to change: orders that it holds beyond those of `row`
    /// are to be sent.
    ///
    /// `clock_ms` is the store's clock, by which orders of the holder before are timed too.
    pub fn decide(
        &mut self,
        now: Timestamp,
        clock_ms: u64,
        zones: &BTreeMap<Name, ZoneEngines>,
        terms: &ScalingTerms,
        row: &FleetRow,
    ) -> Option<FleetRow> {
        let ready: u32 = zones.values().map(|zone| zone.ready).sum();
        if row.level == 0 {
            return self.first_level(now, ready);
        }
        let mut next = row.clone();
        let wait_ms = crate::time::millis(terms.boot * self.settings.boots_waited);
        next.orders.retain(|zone, order| {
            let here = zones.get(zone).map_or(0, |zone| zone.ready);
            here < order.engines && clock_ms < order.ordered_ms + wait_ms
        });
        let coming = |zone: &Name, order: &ZoneOrder| order.engines - zones.get(zone).map_or(0, |zone| zone.ready);
        let expected: u32 = ready + next.orders.iter().map(|(zone, order)| coming(zone, order)).sum::<u32>();
        let short = row.level.saturating_sub(expected);
        if short == 0 {
            self.short_since = None;
        } else if self.is_missing(now, zones, short) {
            self.order(now, clock_ms, short, zones, terms, &mut next);
        }
        (next != *row).then_some(next)
    }

    /// Records that a zone had no engine to give.
    pub fn refused(&mut self, now: Timestamp, zone: &Name) {
        self.refused.insert(zone.clone(), now);
    }

    fn first_level(&mut self, now: Timestamp, ready: u32) -> Option<FleetRow> {
        let (seen, since) = match self.steady {
            Some(steady) if steady.0 == ready => steady,
            _ => *self.steady.insert((ready, now)),
        };
        let is_steady = seen > 0 && now.since(since) >= self.settings.steady_time;
        is_steady.then(|| FleetRow { level: seen, orders: BTreeMap::new() })
    }

    /// Engines that say they leave will be missing; others must have been missing for a while.
    fn is_missing(&mut self, now: Timestamp, zones: &BTreeMap<Name, ZoneEngines>, short: u32) -> bool {
        let since = *self.short_since.get_or_insert(now);
        let draining: u32 = zones.values().map(|zone| zone.draining).sum();
        draining >= short || now.since(since) >= self.settings.missing_time
    }

    /// Adds orders for `short` engines to `next`, cheapest zones first.
    fn order(
        &mut self,
        now: Timestamp,
        clock_ms: u64,
        mut short: u32,
        zones: &BTreeMap<Name, ZoneEngines>,
        terms: &ScalingTerms,
        next: &mut FleetRow,
    ) {
        let refused_time = self.settings.refused_time;
        self.refused.retain(|_, at| now.since(*at) < refused_time);
        let mut by_price: Vec<(&Name, f64)> = terms.zone_prices.iter().map(|(zone, price)| (zone, *price)).collect();
        by_price.sort_by(|left, right| left.1.total_cmp(&right.1).then_with(|| left.0.cmp(right.0)));
        for (zone, _) in by_price.into_iter().filter(|(zone, _)| !self.refused.contains_key(*zone)) {
            let held = zones.get(zone).map_or(0, |zone| zone.ready);
            let planned = next.orders.get(zone).map_or(held, |order| order.engines.max(held));
            let more = short.min(terms.max.saturating_sub(planned));
            if more > 0 {
                let engines = (planned + more).max(terms.min);
                next.orders.insert(zone.clone(), ZoneOrder { engines, ordered_ms: clock_ms });
                short -= more;
            }
        }
    }
}
