//! What customers ask for and are given at one node, and which of their calls it admits.

use super::{PartGate, ShareSettings};
use crate::process::{CustomerUse, ServiceShares};
use crate::time::millis;
use crate::{Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Work of a call of a service none of whose calls has ended yet.
const FIRST_WORK: Duration = Duration::from_millis(20);

/// Weight of the newest call in the mean work of a service.
const WORK_WEIGHT: f64 = 0.1;

/// Longest time after which a customer over its share is told to return.
const LONGEST_RETURN: Duration = Duration::from_secs(2);

/// Age from which an answer can be replaced by one worked out from less than half as much work. Below the default
/// [`ShareSettings::life`], so that the replacement can take effect before the answer expires.
const PARTIAL_ANSWER_DELAY: Duration = Duration::from_millis(1_500);

/// A call that was counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShareCall {
    /// Service.
    pub service: Name,
    /// Customer; empty for nobody in particular.
    pub customer: Name,
    /// Milliseconds of work that it counts for.
    pub work_ms: u64,
}

/// Whether a call is admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ShareVerdict {
    /// It is.
    Admitted(ShareCall),
    /// Its customer is over its share, and may return after so long.
    OverShare(Duration),
}

/// What a customer takes of a service here, as operators are told.
#[derive(Clone, Debug, PartialEq)]
pub struct ShareLine {
    /// Service.
    pub service: Name,
    /// Customer.
    pub customer: Name,
    /// Milliseconds of work that it asked for here.
    pub asked_ms: u64,
    /// Milliseconds of work that it was given here.
    pub given_ms: u64,
    /// Part of its calls that is admitted; `None` for all.
    pub part: Option<f32>,
}

/// Work of a customer, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct WorkCount {
    asked: u64,
    given: u64,
}

#[derive(Clone, Debug, Default)]
struct CustomerCount {
    weight: u32,
    work: WorkCount,
    /// When the counts that the adder is told begin.
    began_at: Timestamp,
    /// Counts as of then.
    base: WorkCount,
    /// Counts as an adder last took them.
    told: WorkCount,
}

impl CustomerCount {
    fn new(now: Timestamp) -> Self {
        Self { began_at: now, ..Self::default() }
    }

    fn begin(&mut self, now: Timestamp, base: WorkCount) {
        (self.began_at, self.base, self.told) = (now, base, base);
    }
}

#[derive(Clone, Debug, Default)]
struct ServiceCounts {
    customers: BTreeMap<Name, CustomerCount>,
    /// Mean work of a call, in milliseconds; 0 while unknown.
    work_ms: f64,
    short_at: Option<Timestamp>,
    /// Node that adds up, as far as it was told.
    adder: Option<Name>,
    /// Whether it knows that the service is short.
    is_told: bool,
    gates: BTreeMap<Name, PartGate>,
    /// When the parts were worked out.
    learnt_at: Option<Timestamp>,
    /// Rate of work asked for that the parts were worked out from, in milliseconds a second.
    learnt_asked_ms_per_second: u64,
    /// When the parts were worked out that were passed on last.
    passed_at: Option<Timestamp>,
}

impl ServiceCounts {
    fn is_short(&self, now: Timestamp, settings: &ShareSettings) -> bool {
        self.short_at.is_some_and(|at| now.since(at) <= settings.short_memory)
    }

    /// Records that the service was short at a time.
    fn turn_short(&mut self, now: Timestamp, at: Timestamp, settings: &ShareSettings) {
        if !self.is_short(now, settings) {
            // Calls of before are known of nodes only that had one refused, so they show too little room.
            self.begin(now);
        }
        self.short_at = self.short_at.max(Some(at));
    }

    /// Begins the counts for the adder anew.
    fn begin(&mut self, now: Timestamp) {
        self.customers.values_mut().for_each(|count| count.begin(now, count.work));
        self.is_told = false;
    }

    fn has_news(&self, now: Timestamp, settings: &ShareSettings) -> bool {
        self.learnt_at.is_some_and(|at| now.since(at) <= settings.life)
    }

    /// Returns whether an answer is worked out from less than half as much work as the one in force, while that is
    /// recent. Guards against replacing it by the answer of an adder that only a few nodes report to.
    fn is_partial(&self, now: Timestamp, shares: &ServiceShares) -> bool {
        let is_recent = self.learnt_at.is_some_and(|at| now.since(at) < PARTIAL_ANSWER_DELAY);
        is_recent && shares.asked_ms_per_second * 2 < self.learnt_asked_ms_per_second
    }

    fn call_work(&self) -> u64 {
        if self.work_ms > 0.0 { self.work_ms.round().max(1.0) as u64 } else { millis(FIRST_WORK) }
    }
}

/// Counts the use of customers at one node, and admits their calls by what the adders answered.
#[derive(Clone, Debug)]
pub struct ShareBook {
    settings: ShareSettings,
    node: Name,
    /// Added to the start of counts, so that those of a later process on the same VM begin later.
    started_ms: u64,
    services: BTreeMap<Name, ServiceCounts>,
}

impl ShareBook {
    /// Builds the book of a node that started at a time of day, in milliseconds.
    pub fn new(settings: ShareSettings, node: Name, started_ms: u64) -> Self {
        Self { settings, node, started_ms, services: BTreeMap::new() }
    }

    /// Counts a call that a customer asks for, and decides whether it is admitted.
    pub fn ask(&mut self, now: Timestamp, service: &Name, customer: &Name, weight: u32) -> ShareVerdict {
        let call = self.count(now, service, customer, weight);
        let settings = self.settings;
        let counts = self.service(service);
        let is_believed = counts.has_news(now, &settings);
        let gate = counts.gates.get_mut(customer).filter(|_| is_believed);
        let refused_part = gate.and_then(|gate| (!gate.admit()).then(|| gate.part()));
        let Some(part) = refused_part else { return ShareVerdict::Admitted(call) };
        counts.turn_short(now, now, &settings);
        // Sooner, more of its calls would be refused than admitted.
        ShareVerdict::OverShare(settings.period.mul_f32(1.0 / part).min(LONGEST_RETURN))
    }

    /// Counts a call that a customer asks for and that is not refused any more, as those of accepted jobs
    /// are not.
    pub fn count(&mut self, now: Timestamp, service: &Name, customer: &Name, weight: u32) -> ShareCall {
        let counts = self.service(service);
        let work_ms = counts.call_work();
        let count = counts.customers.entry(customer.clone()).or_insert_with(|| CustomerCount::new(now));
        count.weight = weight;
        count.work.asked += work_ms;
        ShareCall { service: service.clone(), customer: customer.clone(), work_ms }
    }

    /// Counts a call that a server did, and how long that took where it is known.
    pub fn give(&mut self, call: &ShareCall, took: Option<Duration>) {
        let counts = self.service(&call.service);
        if let Some(count) = counts.customers.get_mut(&call.customer) {
            count.work.given += call.work_ms;
        }
        if let Some(took) = took {
            let took_ms = took.as_secs_f64() * 1_000.0;
            let weight = if counts.work_ms > 0.0 { WORK_WEIGHT } else { 1.0 };
            counts.work_ms += weight * (took_ms - counts.work_ms);
        }
    }

    /// Records that a call was refused or waits because a service has no room.
    pub fn note_short(&mut self, now: Timestamp, service: &Name) {
        let settings = self.settings;
        self.service(service).turn_short(now, now, &settings);
    }

    /// Returns whether a service is short, or was lately, as far as this node knows.
    pub fn is_short(&self, now: Timestamp, service: &str) -> bool {
        self.services.get(service).is_some_and(|counts| counts.is_short(now, &self.settings))
    }

    /// Returns the services that are short, or were lately.
    pub fn short_services(&self, now: Timestamp) -> Vec<Name> {
        let short = self.services.iter().filter(|(_, counts)| counts.is_short(now, &self.settings));
        short.map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether a customer has more than its share of a service, as far as that is known.
    pub fn is_over_share(&self, now: Timestamp, service: &str, customer: &str) -> bool {
        let counts = self.services.get(service).filter(|counts| counts.has_news(now, &self.settings));
        counts.is_some_and(|counts| counts.gates.contains_key(customer))
    }

    /// Returns how many customers have more than their share of a service.
    pub fn customers_over_share(&self, now: Timestamp, service: &str) -> usize {
        let counts = self.services.get(service).filter(|counts| counts.has_news(now, &self.settings));
        counts.map_or(0, |counts| counts.gates.len())
    }

    /// Returns what the adder of a service does not know yet; nothing unless the service is short.
    ///
    /// Another adder than before is told of what comes from now on: the use of a while, told in one
    /// moment, would look like much more use.
    pub fn untold(&mut self, now: Timestamp, service: &Name, adder: &Name) -> Vec<CustomerUse> {
        let Some(counts) = self.services.get_mut(service) else { return Vec::new() };
        if !counts.is_short(now, &self.settings) {
            return Vec::new();
        }
        if counts.adder.as_ref() != Some(adder) {
            counts.adder = Some(adder.clone());
            counts.begin(now);
        }
        let customer_use = |(customer, count): (&Name, &CustomerCount)| CustomerUse {
            service: service.clone(),
            customer: customer.clone(),
            weight: count.weight,
            incarnation: self.started_ms + count.began_at.0,
            asked_ms: count.work.asked - count.base.asked,
            given_ms: count.work.given - count.base.given,
        };
        let untold = counts.customers.iter().filter(|(_, count)| count.told != count.work);
        let mut uses: Vec<CustomerUse> = untold.map(customer_use).collect();
        if uses.is_empty() && !counts.is_told {
            // Counts of nothing say that the service is short.
            uses.extend(counts.customers.iter().next().map(customer_use));
        }
        uses
    }

    /// Records that an adder took these counts. Counts that have gone on for a while begin anew, so that
    /// another adder, which knows none of them, takes no old use for new.
    pub fn told(&mut self, now: Timestamp, uses: &[CustomerUse]) {
        for told in uses {
            let Some(counts) = self.services.get_mut(&told.service) else { continue };
            counts.is_told = true;
            let count = counts.customers.get_mut(&told.customer);
            let Some(count) = count.filter(|count| self.started_ms + count.began_at.0 == told.incarnation) else {
                continue;
            };
            let taken = WorkCount { asked: count.base.asked + told.asked_ms, given: count.base.given + told.given_ms };
            count.told = taken;
            if now.since(count.began_at) > self.settings.life {
                count.begin(now, taken);
            }
        }
    }

    /// Takes over an answer of an adder, which also says that the service is short, unless a younger one
    /// is known. Returns whether other customers than before are over their share.
    pub fn learn(&mut self, now: Timestamp, mut shares: ServiceShares) -> bool {
        shares.parts.retain(|(_, part)| *part > 0.0 && *part < 1.0);
        let made_at = now - Duration::from_millis(shares.age_ms);
        let (node, settings) = (self.node.clone(), self.settings);
        let counts = self.service(&shares.service);
        if counts.learnt_at.is_some_and(|at| at >= made_at) || now.since(made_at) > settings.life {
            return false;
        }
        if counts.is_partial(now, &shares) {
            return false;
        }
        counts.learnt_at = Some(made_at);
        counts.learnt_asked_ms_per_second = shares.asked_ms_per_second;
        // An answer without shares starts the counts and keeps nothing going: its adder knows no more than
        // that somebody told it.
        if now.since(made_at) < settings.life || !counts.is_short(now, &settings) {
            counts.turn_short(now, made_at, &settings);
        }
        let before = counts.gates.len();
        counts.gates.retain(|customer, _| shares.parts.iter().any(|(name, _)| name == customer));
        let mut is_changed = counts.gates.len() != before;
        for (customer, part) in shares.parts {
            match counts.gates.get_mut(&customer) {
                Some(gate) => gate.set_part(part.max(settings.least_part)),
                None => {
                    is_changed = true;
                    let gate = PartGate::new(&node, &customer, part.max(settings.least_part));
                    counts.gates.insert(customer, gate);
                }
            }
        }
        is_changed
    }

    /// Returns the answers of adders that peers are to be told, and takes them as passed on. At many nodes
    /// each has a call now and then only, and what an adder answered to the last one is too old by then.
    pub fn take_passed(&mut self, now: Timestamp) -> Vec<ServiceShares> {
        let settings = self.settings;
        let pass = |(name, counts): (&Name, &mut ServiceCounts)| {
            let made_at = counts.learnt_at.filter(|at| now.since(*at) <= settings.life)?;
            let is_due = counts.passed_at.is_none_or(|at| made_at.since(at) >= settings.pass_interval);
            if !is_due {
                return None;
            }
            counts.passed_at = Some(made_at);
            let parts = counts.gates.iter().map(|(customer, gate)| (customer.clone(), gate.part())).collect();
            let age_ms = millis(now.since(made_at));
            let asked_ms_per_second = counts.learnt_asked_ms_per_second;
            Some(ServiceShares { service: name.clone(), parts, age_ms, asked_ms_per_second })
        };
        self.services.iter_mut().filter_map(pass).collect()
    }

    /// Returns the customers that asked for most, at most `most` of them.
    pub fn lines(&self, now: Timestamp, most: usize) -> Vec<ShareLine> {
        let of_service = |(service, counts): (&Name, &ServiceCounts)| {
            let has_news = counts.has_news(now, &self.settings);
            let line = |(customer, count): (&Name, &CustomerCount)| ShareLine {
                service: service.clone(),
                customer: customer.clone(),
                asked_ms: count.work.asked,
                given_ms: count.work.given,
                part: counts.gates.get(customer).filter(|_| has_news).map(PartGate::part),
            };
            counts.customers.iter().map(line).collect::<Vec<ShareLine>>()
        };
        let mut lines: Vec<ShareLine> = self.services.iter().flat_map(of_service).collect();
        lines.sort_by_key(|line| std::cmp::Reverse(line.asked_ms));
        lines.truncate(most);
        lines
    }

    fn service(&mut self, service: &Name) -> &mut ServiceCounts {
        self.services.entry(service.clone()).or_default()
    }
}
