//! Simulation of nodes that limit the customers of one service: a loop drives their decisions. Messages are delayed
//! and lost, and the servers serve a fixed number of calls a second.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::process::{
    AggregatorSelector, CountedCall, CustomerUsage, LoadMessage, ServiceShares, ShareAggregator, ShareDecision,
    ShareDemand, ShareLimiter, ShareSettings, fair_shares,
};
use trestlerack::{Name, Timestamp};

/// Step of the simulation.
const TICK: Duration = Duration::from_millis(10);

/// Maximum time that a call may be queued.
const MAX_WAIT: Duration = Duration::from_millis(100);

const CALL_WORK: Duration = Duration::from_millis(20);

/// Time after which a node stops waiting for an answer; the same as between daemons.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(350);

/// Number of customers in the largest configuration of the tests.
pub const CUSTOMERS: usize = 83;

pub const SERVICE: &str = "s";

pub fn customer_name(index: usize) -> Name {
    format!("c{index}").into()
}

/// Returns call rates of customers that add up to `total` calls a second, the highest first.
pub fn skewed_rates(total: f64) -> Vec<f64> {
    let sizes: Vec<f64> = (1..=CUSTOMERS).map(|rank| (rank as f64).powf(-1.2)).collect();
    let sum: f64 = sizes.iter().sum();
    sizes.iter().map(|size| size / sum * total).collect()
}

/// Nodes that the clients of a customer connect to.
#[derive(Clone, Copy, PartialEq)]
pub enum ClientRouting {
    /// Any node.
    AnyNode,
    /// Only this node.
    OneNode(usize),
}

#[derive(Clone)]
enum Message {
    Usage { from: usize, to: usize, number: u64, usage: Vec<CustomerUsage> },
    Shares { from: usize, to: usize, number: u64, shares: Vec<ServiceShares> },
    Forward { from: usize, to: usize, shares: Vec<ServiceShares> },
}

struct PendingReport {
    number: u64,
    aggregator: usize,
    usage: Vec<CustomerUsage>,
    sent_at: Timestamp,
}

struct Node {
    limiter: ShareLimiter,
    aggregator: ShareAggregator,
    selector: AggregatorSelector,
    pending_report: Option<PendingReport>,
    next_report_at: Timestamp,
    is_up: bool,
    /// Nodes in different partitions cannot reach each other.
    partition: u8,
}

impl Node {
    fn is_overdue(&self, now: Timestamp) -> bool {
        self.pending_report.as_ref().is_some_and(|report| now.since(report.sent_at) >= ANSWER_TIMEOUT)
    }
}

struct QueuedCall {
    is_over_share: bool,
    since: Timestamp,
    /// Orders calls that were queued at the same time.
    tie_breaker: u32,
    node: usize,
    customer: usize,
    call: CountedCall,
}

/// Counts of one simulated second.
#[derive(Clone, Debug, Default)]
pub struct SecondStats {
    /// Calls served, by customer.
    pub served: Vec<f64>,
    /// Calls refused because the customer was over its share.
    pub over_share: u64,
    /// Bytes sent in messages.
    pub bytes: usize,
    pub messages: usize,
}

/// Returns the seed of the random generator: the value of `SHARE_SEED`, or 7 if it is not set.
pub fn seed() -> u64 {
    std::env::var("SHARE_SEED").map_or(7, |seed| seed.parse().expect("SHARE_SEED is a number"))
}

pub struct ShareSimulation {
    pub now: Timestamp,
    pub rates: Vec<f64>,
    pub weights: Vec<u32>,
    pub routing: Vec<ClientRouting>,
    /// Calls that the servers serve in a second.
    pub capacity: f64,
    /// Fraction of messages that are lost.
    pub loss_rate: f64,
    /// Whether a tenth of the messages is delivered a second time, later.
    pub has_duplicates: bool,
    pub seconds: Vec<SecondStats>,
    nodes: Vec<Node>,
    names: Vec<Name>,
    in_flight: Vec<(Timestamp, Message)>,
    queued_calls: Vec<QueuedCall>,
    due_calls: Vec<f64>,
    budget: f64,
    last_number: u64,
    random: Pcg64Mcg,
}

impl ShareSimulation {
    pub fn new(nodes: usize, capacity: f64, rates: Vec<f64>) -> Self {
        Self::with_seed(seed(), nodes, capacity, rates)
    }

    pub fn with_seed(seed: u64, nodes: usize, capacity: f64, rates: Vec<f64>) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let names: Vec<Name> = (0..nodes).map(|index| format!("n{index}").into()).collect();
        let now = Timestamp(1_000_000);
        let new_node = |name: &Name| Node {
            limiter: ShareLimiter::new(ShareSettings::default(), name.clone(), 5_000_000),
            aggregator: ShareAggregator::new(ShareSettings::default()),
            selector: AggregatorSelector::default(),
            pending_report: None,
            next_report_at: now + Duration::from_millis(random.random_range(0..250)),
            is_up: true,
            partition: 0,
        };
        let nodes = names.iter().map(new_node).collect();
        let customers = rates.len();
        Self {
            now,
            due_calls: (0..customers).map(|_| random.random_range(0.0..1.0)).collect(),
            weights: vec![1; customers],
            routing: vec![ClientRouting::AnyNode; customers],
            rates,
            capacity,
            loss_rate: 0.01,
            has_duplicates: false,
            seconds: Vec::new(),
            nodes,
            names,
            in_flight: Vec::new(),
            queued_calls: Vec::new(),
            budget: 0.0,
            last_number: 0,
            random,
        }
    }

    /// Returns the node that aggregates usage as long as it answers.
    pub fn aggregator(&self) -> usize {
        let name = AggregatorSelector::default().select(self.now, SERVICE, self.names.clone()).unwrap();
        self.names.iter().position(|other| *other == name).unwrap()
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    /// Restarts a node without its state.
    pub fn restart(&mut self, node: usize) {
        let started_ms = 5_000_000 + self.now.0;
        let restarted = &mut self.nodes[node];
        restarted.limiter = ShareLimiter::new(ShareSettings::default(), self.names[node].clone(), started_ms);
        restarted.aggregator = ShareAggregator::new(ShareSettings::default());
        restarted.selector = AggregatorSelector::at_startup(self.now, self.names[node].clone());
        (restarted.pending_report, restarted.is_up) = (None, true);
    }

    /// Splits the nodes alternately into two partitions; both reach the servers.
    pub fn partition(&mut self) {
        self.nodes.iter_mut().enumerate().for_each(|(index, node)| node.partition = (index % 2) as u8);
    }

    pub fn is_over_share(&self, node: usize, customer: usize) -> bool {
        self.nodes[node].limiter.is_over_share(self.now, SERVICE, &customer_name(customer))
    }

    /// Returns the fair shares of the current capacity, in calls a second.
    pub fn fair_rates(&self) -> Vec<f64> {
        let demand = |(rate, weight): (&f64, &u32)| ShareDemand { weight: *weight, requested: *rate };
        let demands: Vec<ShareDemand> = self.rates.iter().zip(&self.weights).map(demand).collect();
        fair_shares(self.capacity, &demands)
    }

    pub fn run_seconds(&mut self, count: usize) {
        (0..count).for_each(|_| self.run_second());
    }

    fn run_second(&mut self) {
        self.seconds.push(SecondStats { served: vec![0.0; self.rates.len()], ..SecondStats::default() });
        for _ in 0..1_000 / TICK.as_millis() {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.deliver();
        let customers = self.rates.len();
        for customer in 0..customers {
            self.due_calls[customer] += self.rates[customer] * TICK.as_secs_f64();
            while self.due_calls[customer] >= 1.0 {
                self.due_calls[customer] -= 1.0;
                self.call(customer);
            }
        }
        self.serve();
        for node in 0..self.nodes.len() {
            let is_overdue = self.nodes[node].is_overdue(self.now);
            if self.nodes[node].is_up && (is_overdue || self.nodes[node].next_report_at <= self.now) {
                self.nodes[node].next_report_at = self.now + ShareSettings::default().period;
                self.report_usage(node);
            }
        }
    }

    fn current_second(&mut self) -> &mut SecondStats {
        self.seconds.last_mut().unwrap()
    }

    fn call(&mut self, customer: usize) {
        let live_nodes: Vec<usize> = (0..self.nodes.len()).filter(|node| self.nodes[*node].is_up).collect();
        let node = match self.routing[customer] {
            ClientRouting::AnyNode => *live_nodes.choose(&mut self.random).unwrap(),
            ClientRouting::OneNode(node) => node,
        };
        let (now, name, service) = (self.now, customer_name(customer), Name::from(SERVICE));
        let limiter = &mut self.nodes[node].limiter;
        match limiter.admit(now, &service, &name, self.weights[customer]) {
            ShareDecision::Admitted(call) => {
                let is_over_share = limiter.is_over_share(now, SERVICE, &name);
                let tie_breaker = self.random.random();
                self.queued_calls.push(QueuedCall { is_over_share, since: now, tie_breaker, node, customer, call });
            }
            ShareDecision::OverShare(_) => self.current_second().over_share += 1,
        }
    }

    /// Serves queued calls in order and refuses those that were queued for too long.
    fn serve(&mut self) {
        let (now, service) = (self.now, Name::from(SERVICE));
        let calls_per_tick = self.capacity * TICK.as_secs_f64();
        self.budget = (self.budget + calls_per_tick).min(calls_per_tick.max(1.0) * 2.0);
        self.queued_calls.sort_by_key(|queued| (queued.is_over_share, queued.since, queued.tie_breaker));
        let count = (self.budget as usize).min(self.queued_calls.len());
        self.budget -= count as f64;
        for queued in self.queued_calls.drain(..count).collect::<Vec<_>>() {
            self.nodes[queued.node].limiter.record_served(&queued.call, Some(CALL_WORK));
            self.current_second().served[queued.customer] += 1.0;
        }
        for queued in &self.queued_calls {
            self.nodes[queued.node].limiter.record_overload(now, &service);
        }
        self.queued_calls.retain(|queued| now.since(queued.since) < MAX_WAIT);
    }

    /// Reports new usage to the aggregator.
    fn report_usage(&mut self, index: usize) {
        let (now, names) = (self.now, self.names.clone());
        let node = &mut self.nodes[index];
        if let Some(pending_report) = &node.pending_report {
            if !node.is_overdue(now) {
                return;
            }
            let aggregator = self.names[pending_report.aggregator].clone();
            node.selector.record_timeout(now, &aggregator);
            node.pending_report = None;
        }
        let Some(aggregator) = node.selector.select(now, SERVICE, names) else { return };
        let usage = node.limiter.unreported_usage(now, &SERVICE.into(), &aggregator);
        if usage.is_empty() {
            return;
        }
        let to = self.names.iter().position(|name| *name == aggregator).unwrap();
        self.last_number += 1;
        let number = self.last_number;
        node.pending_report = Some(PendingReport { number, aggregator: to, usage: usage.clone(), sent_at: now });
        self.send(Message::Usage { from: index, to, number, usage });
    }

    fn send(&mut self, message: Message) {
        let (from, to, load_message) = match &message {
            Message::Usage { from, to, usage, .. } => {
                (*from, *to, LoadMessage { usage: usage.clone(), ..self.empty_message(*from) })
            }
            Message::Shares { from, to, shares, .. } | Message::Forward { from, to, shares } => {
                (*from, *to, LoadMessage { shares: shares.clone(), ..self.empty_message(*from) })
            }
        };
        let partitions = (self.nodes[from].partition, self.nodes[to].partition);
        if from != to {
            let bytes = cbor_bytes(&serde_json::to_value(&load_message).unwrap());
            let second = self.current_second();
            second.bytes += bytes;
            second.messages += 1;
        }
        if from != to && (partitions.0 != partitions.1 || self.random.random_bool(self.loss_rate)) {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(1..30));
        if self.has_duplicates && self.random.random_bool(0.1) {
            let extra_delay = Duration::from_millis(self.random.random_range(30..900));
            self.in_flight.push((self.now + extra_delay, message.clone()));
        }
        self.in_flight.push((self.now + delay, message));
    }

    fn empty_message(&self, from: usize) -> LoadMessage {
        LoadMessage { sender: self.names[from].clone(), ..LoadMessage::default() }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, remaining) = std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = remaining;
        let due: Vec<(Timestamp, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Usage { from, to, number, usage } if self.nodes[to].is_up => {
                    let shares = self.nodes[to].aggregator.add_usage(now, &self.names[from], &usage);
                    let own_aggregator = self.nodes[to].selector.select(now, SERVICE, self.names.clone());
                    if own_aggregator.as_ref() == Some(&self.names[to]) {
                        self.apply_shares(to, shares.clone());
                    }
                    self.send(Message::Shares { from: to, to: from, number, shares });
                }
                Message::Shares { to, number, shares, .. } if self.nodes[to].is_up => {
                    let node = &mut self.nodes[to];
                    if node.pending_report.as_ref().is_some_and(|report| report.number == number) {
                        let pending_report = node.pending_report.take().unwrap();
                        node.limiter.acknowledge(now, &pending_report.usage);
                        node.selector.record_answer(&self.names[pending_report.aggregator]);
                    }
                    self.apply_shares(to, shares);
                }
                Message::Forward { to, shares, .. } if self.nodes[to].is_up => self.apply_shares(to, shares),
                _ => {}
            }
        }
    }

    fn apply_shares(&mut self, index: usize, shares: Vec<ServiceShares>) {
        let now = self.now;
        for shares in shares {
            self.nodes[index].limiter.apply_shares(now, shares);
        }
        let to_forward = self.nodes[index].limiter.take_shares_to_forward(now);
        if to_forward.is_empty() {
            return;
        }
        let others: Vec<Name> = self.names.iter().filter(|name| **name != self.names[index]).cloned().collect();
        let peers = ShareSettings::default().gossip().pick_push_peers(&others.into(), &mut self.random);
        for peer in peers {
            let to = self.names.iter().position(|name| *name == peer).unwrap();
            self.send(Message::Forward { from: index, to, shares: to_forward.clone() });
        }
    }
}

/// Returns the encoded size of a fraction: three bytes if ten bits of mantissa are enough.
fn cbor_float_bytes(fraction: f64) -> usize {
    if (fraction as f32).to_bits().trailing_zeros() >= 13 { 3 } else { 5 }
}

/// Returns the size of a message in CBOR, the encoding that daemons use.
fn cbor_bytes(value: &Value) -> usize {
    let head_bytes = |length: u64| match length {
        0..24 => 1,
        24..0x100 => 2,
        0x100..0x1_0000 => 3,
        0x1_0000..0x1_0000_0000 => 5,
        _ => 9,
    };
    let text_bytes = |text: &str| head_bytes(text.len() as u64) + text.len();
    match value {
        Value::Null | Value::Bool(_) => 1,
        Value::Number(number) => number.as_u64().map_or_else(|| cbor_float_bytes(number.as_f64().unwrap()), head_bytes),
        Value::String(string) => text_bytes(string),
        Value::Array(values) => head_bytes(values.len() as u64) + values.iter().map(cbor_bytes).sum::<usize>(),
        Value::Object(fields) => {
            let fields_bytes = fields.iter().map(|(name, value)| text_bytes(name) + cbor_bytes(value)).sum::<usize>();
            head_bytes(fields.len() as u64) + fields_bytes
        }
    }
}

/// Returns the mean rate at which each customer was served, in calls a second.
pub fn mean_served_rates(seconds: &[SecondStats]) -> Vec<f64> {
    let customers = seconds[0].served.len();
    let sum = |customer: usize| seconds.iter().map(|second| second.served[customer]).sum::<f64>();
    (0..customers).map(|customer| sum(customer) / seconds.len() as f64).collect()
}

/// Returns the customers served below `fraction` of their fair share, with both rates. One call of slack allows for
/// calls that fall into the adjacent second.
pub fn below_share(served: &[f64], fair_rates: &[f64], fraction: f64) -> BTreeMap<usize, (f64, f64)> {
    let pairs = served.iter().zip(fair_rates).enumerate();
    let underserved = pairs.filter(|(_, (served, fair_rate))| **served < **fair_rate * fraction - 1.0);
    underserved.map(|(customer, (served, fair_rate))| (customer, (*served, *fair_rate))).collect()
}
