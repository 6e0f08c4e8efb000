//! Counts the work of customers at one node and admits calls according to their shares.

use super::{CallThrottle, ShareSettings};
use crate::process::{CustomerUsage, ServiceShares};
use crate::time::millis;
use crate::{Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Assumed work of a call until a call of the service has completed.
const DEFAULT_CALL_WORK: Duration = Duration::from_millis(20);

/// Weight of the newest call in the mean work of a service's calls.
const CALL_WORK_WEIGHT: f64 = 0.1;

/// Maximum retry delay returned to a customer over its share.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Age from which shares may be replaced by ones that cover less than half as much work. Below the default
/// [`ShareSettings::shares_ttl`], so that the replacement takes effect before the old shares expire.
const PARTIAL_SHARES_DELAY: Duration = Duration::from_millis(1_500);

/// A call whose work was counted as requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CountedCall {
    /// Service.
    pub service: Name,
    /// Customer; empty for calls without a customer.
    pub customer: Name,
    /// Counted work of the call, in milliseconds.
    pub work_ms: u64,
}

/// Whether a call is admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareDecision {
    /// The call is admitted.
    Admitted(CountedCall),
    /// The customer is over its share and may retry after this time.
    OverShare(Duration),
}

/// Usage of a service by a customer at this node, for the status pages.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareStatus {
    /// Service.
    pub service: Name,
    /// Customer.
    pub customer: Name,
    /// Milliseconds of work requested at this node.
    pub requested_ms: u64,
    /// Milliseconds of work served at this node.
    pub served_ms: u64,
    /// Fraction of the customer's calls that is admitted; `None` if all are.
    pub fraction: Option<f32>,
}

/// Cumulative work of a customer, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WorkTotals {
    requested: u64,
    served: u64,
}

#[derive(Clone, Debug, Default)]
struct CustomerCount {
    weight: u32,
    total: WorkTotals,
    /// Start of the counts reported to the aggregator.
    reset_at: Timestamp,
    /// Totals at that start.
    baseline: WorkTotals,
    /// Totals as an aggregator last acknowledged them.
    acknowledged: WorkTotals,
}

impl CustomerCount {
    fn new(now: Timestamp) -> Self {
        Self { reset_at: now, ..Self::default() }
    }

    fn reset(&mut self, now: Timestamp, baseline: WorkTotals) {
        (self.reset_at, self.baseline, self.acknowledged) = (now, baseline, baseline);
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceCounts {
    customers: BTreeMap<Name, CustomerCount>,
    /// Mean work of a call, in milliseconds; 0 while unknown.
    mean_work_ms: f64,
    overloaded_at: Option<Timestamp>,
    /// Node that usage was last reported to.
    aggregator: Option<Name>,
    /// Whether the aggregator knows that the service is overloaded.
    is_reported: bool,
    throttles: BTreeMap<Name, CallThrottle>,
    /// When the fractions in force were computed.
    computed_at: Option<Timestamp>,
    /// Rate of requested work from which the fractions were computed, in milliseconds a second.
    covered_ms_per_second: u64,
    /// When the fractions last forwarded to peers were computed.
    forwarded_at: Option<Timestamp>,
}

impl ServiceCounts {
    fn is_overloaded(&self, now: Timestamp, settings: &ShareSettings) -> bool {
        self.overloaded_at.is_some_and(|at| now.since(at) <= settings.overload_hold)
    }

    /// Records that the service was overloaded at a given time.
    fn mark_overloaded(&mut self, now: Timestamp, at: Timestamp, settings: &ShareSettings) {
        if !self.is_overloaded(now, settings) {
            // Earlier calls are reported only by nodes that had one refused, so they would understate capacity.
            self.reset(now);
        }
        self.overloaded_at = self.overloaded_at.max(Some(at));
    }

    /// Restarts the counts reported to the aggregator.
    fn reset(&mut self, now: Timestamp) {
        self.customers.values_mut().for_each(|count| count.reset(now, count.total));
        self.is_reported = false;
    }

    fn has_valid_shares(&self, now: Timestamp, settings: &ShareSettings) -> bool {
        self.computed_at.is_some_and(|at| now.since(at) <= settings.shares_ttl)
    }

    /// Returns whether shares cover less than half as much work as the ones in force, while those are recent.
    /// Prevents the answer of an aggregator that only a few nodes report to from replacing them.
    fn is_partial(&self, now: Timestamp, shares: &ServiceShares) -> bool {
        let is_recent = self.computed_at.is_some_and(|at| now.since(at) < PARTIAL_SHARES_DELAY);
        is_recent && shares.requested_ms_per_second * 2 < self.covered_ms_per_second
    }

    fn work_per_call(&self) -> u64 {
        if self.mean_work_ms > 0.0 { self.mean_work_ms.round().max(1.0) as u64 } else { millis(DEFAULT_CALL_WORK) }
    }
}

/// Counts the usage of customers at one node and limits those over their share, as computed by the aggregators.
#[derive(Clone, Debug)]
pub struct ShareLimiter {
    settings: ShareSettings,
    node: Name,
    /// Start of this process. Added to the start of counts, so that counts of a later process on the same VM have a
    /// later incarnation.
    started_ms: u64,
    services: BTreeMap<Name, ServiceCounts>,
}

impl ShareLimiter {
    /// Creates the limiter of a node that started at the given time, in milliseconds since the Unix epoch.
    pub fn new(settings: ShareSettings, node: Name, started_ms: u64) -> Self {
        Self { settings, node, started_ms, services: BTreeMap::new() }
    }

    /// Counts a requested call and decides whether it is admitted.
    pub fn admit(&mut self, now: Timestamp, service: &Name, customer: &Name, weight: u32) -> ShareDecision {
        let call = self.count(now, service, customer, weight);
        let settings = self.settings;
        let counts = self.counts_mut(service);
        let is_valid = counts.has_valid_shares(now, &settings);
        let throttle = counts.throttles.get_mut(customer).filter(|_| is_valid);
        let refused_fraction = throttle.and_then(|throttle| (!throttle.admit()).then(|| throttle.fraction()));
        let Some(fraction) = refused_fraction else { return ShareDecision::Admitted(call) };
        counts.mark_overloaded(now, now, &settings);
        // An earlier retry would more likely be refused than admitted.
        ShareDecision::OverShare(settings.period.mul_f32(1.0 / fraction).min(MAX_RETRY_AFTER))
    }

    /// Counts a requested call that can no longer be refused, such as a call of an accepted job.
    pub fn count(&mut self, now: Timestamp, service: &Name, customer: &Name, weight: u32) -> CountedCall {
        let counts = self.counts_mut(service);
        let work_ms = counts.work_per_call();
        let count = counts.customers.entry(customer.clone()).or_insert_with(|| CustomerCount::new(now));
        count.weight = weight;
        count.total.requested += work_ms;
        CountedCall { service: service.clone(), customer: customer.clone(), work_ms }
    }

    /// Counts a call as served. `took` is the time that a server needed, if known.
    pub fn record_served(&mut self, call: &CountedCall, took: Option<Duration>) {
        let counts = self.counts_mut(&call.service);
        if let Some(count) = counts.customers.get_mut(&call.customer) {
            count.total.served += call.work_ms;
        }
        if let Some(took) = took {
            let took_ms = took.as_secs_f64() * 1_000.0;
            let weight = if counts.mean_work_ms > 0.0 { CALL_WORK_WEIGHT } else { 1.0 };
            counts.mean_work_ms += weight * (took_ms - counts.mean_work_ms);
        }
    }

    /// Records that a call was refused or queued because no server of a service had a free slot.
    pub fn record_overload(&mut self, now: Timestamp, service: &Name) {
        let settings = self.settings;
        self.counts_mut(service).mark_overloaded(now, now, &settings);
    }

    /// Returns whether this node knows that a service is or was recently overloaded.
    pub fn is_overloaded(&self, now: Timestamp, service: &str) -> bool {
        self.services.get(service).is_some_and(|counts| counts.is_overloaded(now, &self.settings))
    }

    /// Returns the services that are or were recently overloaded.
    pub fn overloaded_services(&self, now: Timestamp) -> Vec<Name> {
        let overloaded = self.services.iter().filter(|(_, counts)| counts.is_overloaded(now, &self.settings));
        overloaded.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether a customer is known to be over its share of a service.
    pub fn is_over_share(&self, now: Timestamp, service: &str, customer: &str) -> bool {
        let counts = self.services.get(service).filter(|counts| counts.has_valid_shares(now, &self.settings));
        counts.is_some_and(|counts| counts.throttles.contains_key(customer))
    }

    /// Returns the number of customers over their share of a service.
    pub fn customers_over_share(&self, now: Timestamp, service: &str) -> usize {
        let counts = self.services.get(service).filter(|counts| counts.has_valid_shares(now, &self.settings));
        counts.map_or(0, |counts| counts.throttles.len())
    }

    /// Returns the usage that the aggregator of a service does not know yet; empty unless the service is overloaded.
    ///
    /// If the aggregator has changed, reported counts restart: usage accumulated over a longer time and reported at
    /// once would look like a much higher rate.
    pub fn unreported_usage(&mut self, now: Timestamp, service: &Name, aggregator: &Name) -> Vec<CustomerUsage> {
        let Some(counts) = self.services.get_mut(service) else { return Vec::new() };
        if !counts.is_overloaded(now, &self.settings) {
            return Vec::new();
        }
        if counts.aggregator.as_ref() != Some(aggregator) {
            counts.aggregator = Some(aggregator.clone());
            counts.reset(now);
        }
        let usage = |(customer, count): (&Name, &CustomerCount)| CustomerUsage {
            service: service.clone(),
            customer: customer.clone(),
            weight: count.weight,
            incarnation: self.started_ms + count.reset_at.0,
            requested_ms: count.total.requested - count.baseline.requested,
            served_ms: count.total.served - count.baseline.served,
        };
        let unreported = counts.customers.iter().filter(|(_, count)| count.acknowledged != count.total);
        let mut usages: Vec<CustomerUsage> = unreported.map(usage).collect();
        if usages.is_empty() && !counts.is_reported {
            // A report without new work tells the aggregator that the service is overloaded.
            usages.extend(counts.customers.iter().next().map(usage));
        }
        usages
    }

    /// Records that an aggregator received these counts. Counts that are older than the TTL of shares restart, so
    /// that another aggregator does not mistake old usage for new.
    pub fn acknowledge(&mut self, now: Timestamp, usages: &[CustomerUsage]) {
        for usage in usages {
            let Some(counts) = self.services.get_mut(&usage.service) else { continue };
            counts.is_reported = true;
            let count = counts.customers.get_mut(&usage.customer);
            let Some(count) = count.filter(|count| self.started_ms + count.reset_at.0 == usage.incarnation) else {
                continue;
            };
            let acknowledged = WorkTotals {
                requested: count.baseline.requested + usage.requested_ms,
                served: count.baseline.served + usage.served_ms,
            };
            count.acknowledged = acknowledged;
            if now.since(count.reset_at) > self.settings.shares_ttl {
                count.reset(now, acknowledged);
            }
        }
    }

    /// Applies shares from an aggregator, which also indicate that the service is overloaded, unless newer ones are
    /// known. Returns whether the set of customers over their share changed.
    pub fn apply_shares(&mut self, now: Timestamp, mut shares: ServiceShares) -> bool {
        shares.fractions.retain(|(_, fraction)| *fraction > 0.0 && *fraction < 1.0);
        let computed_at = now - Duration::from_millis(shares.age_ms);
        let (node, settings) = (self.node.clone(), self.settings);
        let counts = self.counts_mut(&shares.service);
        if counts.computed_at.is_some_and(|at| at >= computed_at) || now.since(computed_at) > settings.shares_ttl {
            return false;
        }
        if counts.is_partial(now, &shares) {
            return false;
        }
        counts.computed_at = Some(computed_at);
        counts.covered_ms_per_second = shares.requested_ms_per_second;
        // An answer sent during the warm-up of an aggregator starts the counts but does not prolong the overload,
        // since the aggregator only repeats what a node reported to it.
        if now.since(computed_at) < settings.shares_ttl || !counts.is_overloaded(now, &settings) {
            counts.mark_overloaded(now, computed_at, &settings);
        }
        let before = counts.throttles.len();
        counts.throttles.retain(|customer, _| shares.fractions.iter().any(|(name, _)| name == customer));
        let mut is_changed = counts.throttles.len() != before;
        for (customer, fraction) in shares.fractions {
            match counts.throttles.get_mut(&customer) {
                Some(throttle) => throttle.set_fraction(fraction.max(settings.min_fraction)),
                None => {
                    is_changed = true;
                    let throttle = CallThrottle::new(&node, &customer, fraction.max(settings.min_fraction));
                    counts.throttles.insert(customer, throttle);
                }
            }
        }
        is_changed
    }

    /// Returns the shares that are due for forwarding and marks them as forwarded. With many nodes each one sees a
    /// call only now and then, and the shares received for the previous one have expired by then.
    pub fn take_shares_to_forward(&mut self, now: Timestamp) -> Vec<ServiceShares> {
        let settings = self.settings;
        let to_forward = |(name, counts): (&Name, &mut ServiceCounts)| {
            let computed_at = counts.computed_at.filter(|at| now.since(*at) <= settings.shares_ttl)?;
            let is_due = counts.forwarded_at.is_none_or(|at| computed_at.since(at) >= settings.forward_interval);
            if !is_due {
                return None;
            }
            counts.forwarded_at = Some(computed_at);
            let fractions =
                counts.throttles.iter().map(|(customer, throttle)| (customer.clone(), throttle.fraction())).collect();
            let age_ms = millis(now.since(computed_at));
            let requested_ms_per_second = counts.covered_ms_per_second;
            Some(ServiceShares { service: name.clone(), fractions, age_ms, requested_ms_per_second })
        };
        self.services.iter_mut().filter_map(to_forward).collect()
    }

    /// Returns the customers that requested most work, at most `limit` of them.
    pub fn statuses(&self, now: Timestamp, limit: usize) -> Vec<ShareStatus> {
        let statuses_of = |(service, counts): (&Name, &ServiceCounts)| {
            let has_valid_shares = counts.has_valid_shares(now, &self.settings);
            let status = |(customer, count): (&Name, &CustomerCount)| ShareStatus {
                service: service.clone(),
                customer: customer.clone(),
                requested_ms: count.total.requested,
                served_ms: count.total.served,
                fraction: counts.throttles.get(customer).filter(|_| has_valid_shares).map(CallThrottle::fraction),
            };
            counts.customers.iter().map(status).collect::<Vec<ShareStatus>>()
        };
        let mut statuses: Vec<ShareStatus> = self.services.iter().flat_map(statuses_of).collect();
        statuses.sort_by_key(|status| std::cmp::Reverse(status.requested_ms));
        statuses.truncate(limit);
        statuses
    }

    fn counts_mut(&mut self, service: &Name) -> &mut ServiceCounts {
        self.services.entry(service.clone()).or_default()
    }
}
