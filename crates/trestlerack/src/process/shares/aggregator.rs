//! Sums the usage of customers over all nodes and computes their shares.

use super::work_rate::WorkRate;
use super::{ShareDemand, ShareSettings, fair_shares};
use crate::process::{CustomerUsage, ServiceShares};
use crate::time::millis;
use crate::{Name, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long the counts of a node that stopped reporting are kept, to recognize late and duplicate reports.
const COUNT_RETENTION: Duration = Duration::from_secs(10);

/// Customers whose requested work falls below this rate, in milliseconds of work a second, are forgotten.
const MIN_KEPT_MS_PER_SECOND: f64 = 0.01;

/// Capacity counts as exhausted when less than this fraction of the admitted work was served.
const SATURATED_FRACTION: f64 = 0.99;

/// Factor by which the headroom grows in each period in which all admitted work was served.
const HEADROOM_GROWTH: f64 = 1.5;

/// Addition to the minimum headroom at one usage update a second. It is inversely proportional to the square root
/// of the update rate.
const LOW_RATE_HEADROOM: f64 = 0.4;

/// Cumulative counts of one customer as a node last reported them.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedCount {
    incarnation: u64,
    requested_ms: u64,
    served_ms: u64,
}

impl ReportedCount {
    /// Stores a newer report and returns the requested and served work that it adds.
    fn update(&mut self, report: &CustomerUsage) -> (u64, u64) {
        if report.incarnation < self.incarnation {
            return (0, 0);
        }
        if report.incarnation > self.incarnation {
            *self = Self { incarnation: report.incarnation, ..Self::default() };
        }
        let requested = report.requested_ms.saturating_sub(self.requested_ms);
        let served = report.served_ms.saturating_sub(self.served_ms);
        self.requested_ms += requested;
        self.served_ms += served;
        (requested, served)
    }
}

#[derive(Debug, Default)]
struct NodeCounts {
    reported_at: Timestamp,
    counts: BTreeMap<Name, ReportedCount>,
}

#[derive(Debug, Default)]
struct CustomerDemand {
    weight: u32,
    requested: WorkRate,
}

/// Usage of one service, summed over all nodes.
#[derive(Debug)]
struct ServiceUsage {
    nodes: BTreeMap<Name, NodeCounts>,
    customers: BTreeMap<Name, CustomerDemand>,
    requested: WorkRate,
    served: WorkRate,
    /// Part of the requested work that nodes admitted, according to the fractions they apply.
    admitted: WorkRate,
    /// Fraction by which the estimated capacity exceeds the served work.
    headroom: f64,
    /// Number of reports that contained newly requested work.
    updates: u32,
    /// Periods since the first report.
    periods: i32,
    /// Estimated capacity of the servers, in milliseconds of work a second.
    capacity: f64,
    created_at: Timestamp,
    computed_at: Timestamp,
    reported_at: Timestamp,
    is_overloaded: bool,
    /// Fraction of calls to admit, for each customer over its share.
    fractions: BTreeMap<Name, f32>,
    /// The fractions of the period before.
    previous_fractions: BTreeMap<Name, f32>,
}

/// Truncates a fraction to ten bits of mantissa, so that CBOR encodes it in three bytes instead of five.
fn truncate_mantissa(fraction: f32) -> f32 {
    const LOW_BITS: u32 = (1 << 13) - 1;
    f32::from_bits(fraction.to_bits() & !LOW_BITS)
}

/// Aggregates the usage of the services for which this node was chosen as aggregator.
#[derive(Debug, Default)]
pub struct ShareAggregator {
    settings: ShareSettings,
    services: BTreeMap<Name, ServiceUsage>,
}

impl ShareAggregator {
    /// Creates an aggregator without any usage.
    pub fn new(settings: ShareSettings) -> Self {
        Self { settings, services: BTreeMap::new() }
    }

    /// Adds the usage that a node reports and returns the shares of the overloaded services among those reported.
    ///
    /// Counts are cumulative from the start of their incarnation, so lost, late and duplicate messages do no harm.
    pub fn add_usage(&mut self, now: Timestamp, sender: &Name, usages: &[CustomerUsage]) -> Vec<ServiceShares> {
        let shares_ttl = self.settings.shares_ttl;
        self.services.retain(|_, service| now.since(service.reported_at) <= shares_ttl);
        let mut reported = BTreeSet::new();
        for usage in usages {
            let name = &usage.service;
            let service = self.services.entry(name.clone()).or_insert_with(|| ServiceUsage::new(now));
            service.update(now, sender, usage);
            reported.insert(name);
        }
        let shares = reported.into_iter().filter_map(|name| {
            let service = self.services.get_mut(name)?;
            service.recompute_if_due(now, &self.settings);
            let age_ms = millis(service.shares_age(now, &self.settings));
            let requested_ms_per_second = service.requested.fast(service.periods) as u64;
            let fractions = service.sent_fractions();
            let shares = ServiceShares { service: name.clone(), fractions, age_ms, requested_ms_per_second };
            service.is_overloaded.then_some(shares)
        });
        shares.collect()
    }
}

impl ServiceUsage {
    fn new(now: Timestamp) -> Self {
        Self {
            nodes: BTreeMap::new(),
            customers: BTreeMap::new(),
            requested: WorkRate::default(),
            served: WorkRate::default(),
            admitted: WorkRate::default(),
            headroom: 0.0,
            updates: 0,
            periods: 0,
            capacity: 0.0,
            created_at: now,
            computed_at: now,
            reported_at: now,
            // Nodes report a service only after its calls were refused or queued.
            is_overloaded: true,
            fractions: BTreeMap::new(),
            previous_fractions: BTreeMap::new(),
        }
    }

    fn update(&mut self, now: Timestamp, sender: &Name, report: &CustomerUsage) {
        self.reported_at = now;
        let node = self.nodes.entry(sender.clone()).or_default();
        node.reported_at = now;
        let (requested, served) = node.counts.entry(report.customer.clone()).or_default().update(report);
        self.updates = self.updates.saturating_add(u32::from(requested > 0));
        self.requested.add(requested as f64);
        self.served.add(served as f64);
        self.admitted.add(requested as f64 * f64::from(self.applied_fraction(&report.customer)));
        let customer = self.customers.entry(report.customer.clone()).or_default();
        customer.weight = report.weight;
        customer.requested.add(requested as f64);
    }

    fn is_warming_up(&self, now: Timestamp, settings: &ShareSettings) -> bool {
        now.since(self.created_at) < settings.warmup || self.updates < settings.min_warmup_updates
    }

    /// Returns the age to state in an answer. During warm-up it is the full TTL: the answer then only says that the
    /// service is overloaded and does not replace shares from the previous aggregator.
    fn shares_age(&self, now: Timestamp, settings: &ShareSettings) -> Duration {
        if self.is_warming_up(now, settings) { settings.shares_ttl } else { now.since(self.computed_at) }
    }

    /// Recomputes the shares once a period is over.
    fn recompute_if_due(&mut self, now: Timestamp, settings: &ShareSettings) {
        let passed = now.since(self.computed_at);
        if passed < settings.period {
            return;
        }
        self.computed_at = now;
        self.nodes.retain(|_, node| now.since(node.reported_at) <= COUNT_RETENTION);
        let seconds = passed.as_secs_f64();
        self.periods = self.periods.saturating_add(1);
        self.requested.end_period(seconds);
        self.served.end_period(seconds);
        self.customers.values_mut().for_each(|customer| customer.requested.end_period(seconds));
        let periods = self.periods;
        self.customers.retain(|_, customer| customer.requested.fast(periods) >= MIN_KEPT_MS_PER_SECOND);
        self.admitted.end_period(seconds);
        self.estimate_capacity(settings);
        if self.is_warming_up(now, settings) {
            return;
        }
        self.is_overloaded =
            self.served.slow(periods) < self.requested.slow(periods) * (1.0 - settings.unserved_tolerance);
        let fractions = if self.is_overloaded { self.compute_fractions(settings) } else { BTreeMap::new() };
        self.previous_fractions = std::mem::replace(&mut self.fractions, fractions);
    }

    /// Estimates capacity as the served work plus headroom. The headroom grows while all admitted work is served.
    fn estimate_capacity(&mut self, settings: &ShareSettings) {
        let served = self.served.higher(self.periods);
        let falls_short = |served: f64, admitted: f64| served < admitted * SATURATED_FRACTION;
        let is_saturated = falls_short(self.served.fast(self.periods), self.admitted.fast(self.periods))
            && falls_short(self.served.slow(self.periods), self.admitted.slow(self.periods));
        let min_headroom = self.min_headroom(settings);
        let headroom = if is_saturated { min_headroom } else { self.headroom * HEADROOM_GROWTH };
        self.headroom = headroom.clamp(min_headroom, settings.max_headroom);
        // If all admitted work was served, a low rate does not mean that capacity is low.
        let min_capacity = if is_saturated { self.capacity * (1.0 - settings.max_headroom) } else { self.capacity };
        self.capacity = (served * (1.0 + self.headroom)).max(min_capacity);
    }

    /// Returns the minimum headroom. It is larger at a low call rate, where uneven arrivals would otherwise leave
    /// servers idle.
    fn min_headroom(&self, settings: &ShareSettings) -> f64 {
        let seconds = f64::from(self.periods) * settings.period.as_secs_f64();
        let updates_per_second = (f64::from(self.updates) / seconds).max(1.0);
        (settings.min_headroom + LOW_RATE_HEADROOM / updates_per_second.sqrt()).min(settings.max_headroom)
    }

    /// Returns the fraction that nodes apply to a customer. It is the lower of the last two because some nodes do not
    /// have the newest one yet.
    fn applied_fraction(&self, customer: &Name) -> f32 {
        let fraction = |fractions: &BTreeMap<Name, f32>| fractions.get(customer).copied().unwrap_or(1.0);
        fraction(&self.fractions).min(fraction(&self.previous_fractions))
    }

    fn sent_fractions(&self) -> Vec<(Name, f32)> {
        self.fractions.iter().map(|(customer, fraction)| (customer.clone(), *fraction)).collect()
    }

    /// Returns the fraction of calls to admit for each customer over its share. A single customer is not limited,
    /// because it takes capacity from nobody.
    fn compute_fractions(&self, settings: &ShareSettings) -> BTreeMap<Name, f32> {
        if self.customers.len() < 2 {
            return BTreeMap::new();
        }
        // Demand is relative to the served work of the same mean, so that the fractions do not depend on how many
        // nodes report to this aggregator, or since when.
        let (fast_served, slow_served) = (self.served.fast(self.periods), self.served.slow(self.periods));
        if fast_served <= 0.0 || slow_served <= 0.0 {
            return BTreeMap::new();
        }
        let demand = |customer: &CustomerDemand| {
            let fast = customer.requested.fast(self.periods) / fast_served;
            let slow = customer.requested.slow(self.periods) / slow_served;
            // The lower mean does not overestimate a customer after a single call and drops soon after the customer
            // has stopped.
            ShareDemand { weight: customer.weight, requested: fast.min(slow) }
        };
        let demands: Vec<ShareDemand> = self.customers.values().map(demand).collect();
        let shares = fair_shares(self.capacity / fast_served.max(slow_served), &demands);
        let fractions = self.customers.keys().zip(&demands).zip(shares).filter_map(|((name, demand), share)| {
            let fraction = (share / demand.requested) as f32;
            (share > 0.0 && fraction < settings.full_admission_fraction)
                .then(|| (name.clone(), truncate_mantissa(fraction.max(settings.min_fraction))))
        });
        fractions.collect()
    }
}
