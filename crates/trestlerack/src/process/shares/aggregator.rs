//! Adds up what customers take at all nodes, and works out their shares.

use super::work_rate::WorkRate;
use super::{ShareDemand, ShareSettings, fair_shares};
use crate::process::{CustomerUse, ServiceShares};
use crate::time::millis;
use crate::{Name, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time for which the counts of a silent node are kept, so that a message that comes late or twice is
/// known as such.
const COUNT_LIFE: Duration = Duration::from_secs(10);

/// Milliseconds of work a second below which a customer is no longer kept.
const FORGOTTEN_RATE: f64 = 0.01;

/// Part of what was admitted below which what was given says that the room is filled.
const FILLED_PART: f64 = 0.99;

/// Factor by which the growth of the room grows with each period in which all admitted was served.
const GROWTH_STEP: f64 = 1.5;

/// Addition to the least growth of the room at one reported change of use a second; it is inversely
/// proportional to the square root of that rate.
const LOW_RATE_GROWTH: f64 = 0.4;

/// Counts as a node last told them.
#[derive(Clone, Copy, Debug, Default)]
struct ToldCount {
    incarnation: u64,
    asked_ms: u64,
    given_ms: u64,
}

impl ToldCount {
    /// Takes over counts and returns what is new in them, asked and given.
    fn take(&mut self, told: &CustomerUse) -> (u64, u64) {
        if told.incarnation < self.incarnation {
            return (0, 0);
        }
        if told.incarnation > self.incarnation {
            *self = Self { incarnation: told.incarnation, ..Self::default() };
        }
        let asked = told.asked_ms.saturating_sub(self.asked_ms);
        let given = told.given_ms.saturating_sub(self.given_ms);
        self.asked_ms += asked;
        self.given_ms += given;
        (asked, given)
    }
}

#[derive(Debug, Default)]
struct NodeAccount {
    told_at: Timestamp,
    counts: BTreeMap<Name, ToldCount>,
}

#[derive(Debug, Default)]
struct CustomerAccount {
    weight: u32,
    asked: WorkRate,
}

/// What is known of one service.
#[derive(Debug)]
struct ServiceAccount {
    nodes: BTreeMap<Name, NodeAccount>,
    customers: BTreeMap<Name, CustomerAccount>,
    asked: WorkRate,
    given: WorkRate,
    /// What nodes admitted of what was asked for, by the parts in force.
    admitted: WorkRate,
    /// Part by which the room is taken to be larger than what is given.
    growth: f64,
    /// Changes of customers' use that were told.
    heard: u32,
    /// Periods since the first use was told.
    periods: i32,
    /// Milliseconds of work a second that servers are taken to do.
    room: f64,
    opened_at: Timestamp,
    turned_at: Timestamp,
    told_at: Timestamp,
    is_short: bool,
    /// Customers over their share by name, with the part of their calls to admit.
    parts: BTreeMap<Name, f32>,
    /// The same a period ago.
    parts_before: BTreeMap<Name, f32>,
}

/// Rounds a fraction down to ten bits after the first, which take three bytes in a message and not five.
fn short_fraction(fraction: f32) -> f32 {
    const LOW_BITS: u32 = (1 << 13) - 1;
    f32::from_bits(fraction.to_bits() & !LOW_BITS)
}

/// Adds up the use of services for which this node is asked.
#[derive(Debug, Default)]
pub struct ShareAdder {
    settings: ShareSettings,
    services: BTreeMap<Name, ServiceAccount>,
}

impl ShareAdder {
    /// Builds an adder that knows of no use.
    pub fn new(settings: ShareSettings) -> Self {
        Self { settings, services: BTreeMap::new() }
    }

    /// Takes over the use that a node tells, and returns the shares of those of its services that are
    /// short.
    ///
    /// Counts grow from the start that their incarnation names, so a message that was lost, comes late or
    /// comes twice does no harm.
    pub fn answer(&mut self, now: Timestamp, sender: &Name, uses: &[CustomerUse]) -> Vec<ServiceShares> {
        let life = self.settings.life;
        self.services.retain(|_, service| now.since(service.told_at) <= life);
        let mut told = BTreeSet::new();
        for customer_use in uses {
            let name = &customer_use.service;
            let service = self.services.entry(name.clone()).or_insert_with(|| ServiceAccount::open(now));
            service.take(now, sender, customer_use);
            told.insert(name);
        }
        let shares = told.into_iter().filter_map(|name| {
            let service = self.services.get_mut(name)?;
            service.turn(now, &self.settings);
            let age_ms = millis(service.age(now, &self.settings));
            let asked_ms_per_second = service.asked.quick(service.periods) as u64;
            let parts = service.told_parts();
            let shares = ServiceShares { service: name.clone(), parts, age_ms, asked_ms_per_second };
            service.is_short.then_some(shares)
        });
        shares.collect()
    }
}

impl ServiceAccount {
    fn open(now: Timestamp) -> Self {
        Self {
            nodes: BTreeMap::new(),
            customers: BTreeMap::new(),
            asked: WorkRate::default(),
            given: WorkRate::default(),
            admitted: WorkRate::default(),
            growth: 0.0,
            heard: 0,
            periods: 0,
            room: 0.0,
            opened_at: now,
            turned_at: now,
            told_at: now,
            // A node tells because its calls were refused or waited.
            is_short: true,
            parts: BTreeMap::new(),
            parts_before: BTreeMap::new(),
        }
    }

    fn take(&mut self, now: Timestamp, sender: &Name, told: &CustomerUse) {
        self.told_at = now;
        let node = self.nodes.entry(sender.clone()).or_default();
        node.told_at = now;
        let (asked, given) = node.counts.entry(told.customer.clone()).or_default().take(told);
        self.heard = self.heard.saturating_add(u32::from(asked > 0));
        self.asked.add(asked as f64);
        self.given.add(given as f64);
        self.admitted.add(asked as f64 * f64::from(self.part_in_force(&told.customer)));
        let customer = self.customers.entry(told.customer.clone()).or_default();
        customer.weight = told.weight;
        customer.asked.add(asked as f64);
    }

    fn is_listening(&self, now: Timestamp, settings: &ShareSettings) -> bool {
        now.since(self.opened_at) < settings.listen || self.heard < settings.least_heard
    }

    /// Returns the age of an answer. While there are no shares yet it says that the service is short, and
    /// is not to replace what another adder worked out before.
    fn age(&self, now: Timestamp, settings: &ShareSettings) -> Duration {
        if self.is_listening(now, settings) { settings.life } else { now.since(self.turned_at) }
    }

    /// Works the shares out anew once a period is over.
    fn turn(&mut self, now: Timestamp, settings: &ShareSettings) {
        let passed = now.since(self.turned_at);
        if passed < settings.period {
            return;
        }
        self.turned_at = now;
        self.nodes.retain(|_, node| now.since(node.told_at) <= COUNT_LIFE);
        let seconds = passed.as_secs_f64();
        self.periods = self.periods.saturating_add(1);
        self.asked.turn(seconds);
        self.given.turn(seconds);
        self.customers.values_mut().for_each(|customer| customer.asked.turn(seconds));
        let periods = self.periods;
        self.customers.retain(|_, customer| customer.asked.quick(periods) >= FORGOTTEN_RATE);
        self.admitted.turn(seconds);
        self.measure_room(settings);
        if self.is_listening(now, settings) {
            return;
        }
        self.is_short = self.given.steady(periods) < self.asked.steady(periods) * (1.0 - settings.missing);
        let parts = if self.is_short { self.work_out(settings) } else { BTreeMap::new() };
        self.parts_before = std::mem::replace(&mut self.parts, parts);
    }

    /// Takes the room to be a little more than what servers gave, and ever more while they served all
    /// that was admitted.
    fn measure_room(&mut self, settings: &ShareSettings) {
        let given = self.given.greater(self.periods);
        let falls_short = |given: f64, admitted: f64| given < admitted * FILLED_PART;
        let is_filled = falls_short(self.given.quick(self.periods), self.admitted.quick(self.periods))
            && falls_short(self.given.steady(self.periods), self.admitted.steady(self.periods));
        let least_growth = self.least_growth(settings);
        let wanted = if is_filled { least_growth } else { self.growth * GROWTH_STEP };
        self.growth = wanted.clamp(least_growth, settings.most_growth);
        // Where all that was admitted was served, that it was little says nothing of the room.
        let least = if is_filled { self.room * (1.0 - settings.most_growth) } else { self.room };
        self.room = (given * (1.0 + self.growth)).max(least);
    }

    /// Returns the least part by which the room is taken to be larger than what is given. It is larger at a low
    /// rate of calls, whose uneven arrivals would otherwise leave servers idle.
    fn least_growth(&self, settings: &ShareSettings) -> f64 {
        let seconds = f64::from(self.periods) * settings.period.as_secs_f64();
        let changes_per_second = (f64::from(self.heard) / seconds).max(1.0);
        (settings.least_growth + LOW_RATE_GROWTH / changes_per_second.sqrt()).min(settings.most_growth)
    }

    /// Returns the part of a customer that nodes apply; some do not know the newest yet.
    fn part_in_force(&self, customer: &Name) -> f32 {
        let part = |parts: &BTreeMap<Name, f32>| parts.get(customer).copied().unwrap_or(1.0);
        part(&self.parts).min(part(&self.parts_before))
    }

    fn told_parts(&self) -> Vec<(Name, f32)> {
        self.parts.iter().map(|(customer, part)| (customer.clone(), *part)).collect()
    }

    /// Returns the part to admit of each customer over its share. One that is alone takes from nobody.
    fn work_out(&self, settings: &ShareSettings) -> BTreeMap<Name, f32> {
        if self.customers.len() < 2 {
            return BTreeMap::new();
        }
        // Demand is relative to the work given in the same mean, so that the parts do not depend on how many nodes
        // report to this adder, or since when.
        let (quick_given, steady_given) = (self.given.quick(self.periods), self.given.steady(self.periods));
        if quick_given <= 0.0 || steady_given <= 0.0 {
            return BTreeMap::new();
        }
        let demand = |customer: &CustomerAccount| {
            let quick = customer.asked.quick(self.periods) / quick_given;
            let steady = customer.asked.steady(self.periods) / steady_given;
            // The lesser mean does not overestimate a customer after a single call, and drops soon after a customer
            // has stopped.
            ShareDemand { weight: customer.weight, asked: quick.min(steady) }
        };
        let demands: Vec<ShareDemand> = self.customers.values().map(demand).collect();
        let shares = fair_shares(self.room / quick_given.max(steady_given), &demands);
        let parts = self.customers.keys().zip(&demands).zip(shares).filter_map(|((name, demand), share)| {
            let part = (share / demand.asked) as f32;
            (share > 0.0 && part < settings.whole_part)
                .then(|| (name.clone(), short_fraction(part.max(settings.least_part))))
        });
        parts.collect()
    }
}
