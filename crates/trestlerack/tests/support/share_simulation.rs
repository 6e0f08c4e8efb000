//! Nodes that share one service: their decisions in a plain loop, with messages that are delayed and
//! lost, and servers that serve so many calls a second.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::process::{
    AdderChoice, CustomerUse, NodeNews, ServiceShares, ShareAdder, ShareBook, ShareCall, ShareDemand, ShareSettings,
    ShareVerdict, fair_shares,
};
use trestlerack::{Name, Timestamp};

/// Step of the loop.
const TICK: Duration = Duration::from_millis(10);

/// Time that a call may wait for a place.
const LONGEST_WAIT: Duration = Duration::from_millis(100);

const WORK: Duration = Duration::from_millis(20);

/// Time after which a node gives a question up, as between daemons.
const ANSWER_TIME: Duration = Duration::from_millis(350);

/// Customers, as many as the largest configuration of the tests has.
pub const CUSTOMERS: usize = 83;

pub const SERVICE: &str = "s";

pub fn customer_name(index: usize) -> Name {
    format!("c{index}").into()
}

/// Returns rates of customers, in calls a second, that add up to `total`; the first is the largest.
pub fn skewed_rates(total: f64) -> Vec<f64> {
    let sizes: Vec<f64> = (1..=CUSTOMERS).map(|rank| (rank as f64).powf(-1.2)).collect();
    let sum: f64 = sizes.iter().sum();
    sizes.iter().map(|size| size / sum * total).collect()
}

/// Which nodes a customer connects to.
#[derive(Clone, Copy, PartialEq)]
pub enum Spread {
    /// Any.
    All,
    /// One only.
    One(usize),
}

#[derive(Clone)]
enum Message {
    Uses { from: usize, to: usize, number: u64, uses: Vec<CustomerUse> },
    Answer { from: usize, to: usize, number: u64, shares: Vec<ServiceShares> },
    Pass { from: usize, to: usize, shares: Vec<ServiceShares> },
}

struct OpenQuestion {
    number: u64,
    adder: usize,
    uses: Vec<CustomerUse>,
    asked_at: Timestamp,
}

struct Node {
    book: ShareBook,
    adder: ShareAdder,
    choice: AdderChoice,
    question: Option<OpenQuestion>,
    next_look: Timestamp,
    is_up: bool,
    /// Nodes of another side are not reached.
    side: u8,
}

impl Node {
    fn is_overdue(&self, now: Timestamp) -> bool {
        self.question.as_ref().is_some_and(|question| now.since(question.asked_at) >= ANSWER_TIME)
    }
}

struct Waiting {
    is_over: bool,
    since: Timestamp,
    /// Orders calls of one moment.
    tie: u32,
    node: usize,
    customer: usize,
    call: ShareCall,
}

/// What happened in a second.
#[derive(Clone, Debug, Default)]
pub struct Second {
    /// Calls served, by customer.
    pub served: Vec<f64>,
    /// Calls refused because of a share.
    pub over_share: u64,
    /// Bytes of messages as they are sent.
    pub bytes: usize,
    pub messages: usize,
}

/// Returns the seed of the random generator: the value of `SHARE_SEED`, or 7 if it is not set.
pub fn seed() -> u64 {
    std::env::var("SHARE_SEED").map_or(7, |seed| seed.parse().expect("SHARE_SEED is a number"))
}

pub struct Field {
    pub now: Timestamp,
    pub rates: Vec<f64>,
    pub weights: Vec<u32>,
    pub spreads: Vec<Spread>,
    /// Calls that the servers serve each second.
    pub room: f64,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Whether a message is delivered twice now and then.
    pub repeats: bool,
    pub seconds: Vec<Second>,
    nodes: Vec<Node>,
    names: Vec<Name>,
    in_flight: Vec<(Timestamp, Message)>,
    waiting: Vec<Waiting>,
    owed: Vec<f64>,
    budget: f64,
    numbers: u64,
    random: Pcg64Mcg,
}

impl Field {
    pub fn new(nodes: usize, room: f64, rates: Vec<f64>) -> Self {
        Self::with_seed(seed(), nodes, room, rates)
    }

    pub fn with_seed(seed: u64, nodes: usize, room: f64, rates: Vec<f64>) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let names: Vec<Name> = (0..nodes).map(|index| format!("n{index}").into()).collect();
        let now = Timestamp(1_000_000);
        let build = |name: &Name| Node {
            book: ShareBook::new(ShareSettings::default(), name.clone(), 5_000_000),
            adder: ShareAdder::new(ShareSettings::default()),
            choice: AdderChoice::default(),
            question: None,
            next_look: now + Duration::from_millis(random.random_range(0..250)),
            is_up: true,
            side: 0,
        };
        let nodes = names.iter().map(build).collect();
        let customers = rates.len();
        Self {
            now,
            owed: (0..customers).map(|_| random.random_range(0.0..1.0)).collect(),
            weights: vec![1; customers],
            spreads: vec![Spread::All; customers],
            rates,
            room,
            loss: 0.01,
            repeats: false,
            seconds: Vec::new(),
            nodes,
            names,
            in_flight: Vec::new(),
            waiting: Vec::new(),
            budget: 0.0,
            numbers: 0,
            random,
        }
    }

    /// Returns the node that adds up, as long as it answers.
    pub fn adder(&self) -> usize {
        let name = AdderChoice::default().choose(self.now, SERVICE, self.names.clone()).unwrap();
        self.names.iter().position(|other| *other == name).unwrap()
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_up = false;
    }

    /// Starts a node again that knows nothing.
    pub fn restart(&mut self, node: usize) {
        let started_ms = 5_000_000 + self.now.0;
        let fresh = &mut self.nodes[node];
        fresh.book = ShareBook::new(ShareSettings::default(), self.names[node].clone(), started_ms);
        fresh.adder = ShareAdder::new(ShareSettings::default());
        fresh.choice = AdderChoice::at_startup(self.now, self.names[node].clone());
        (fresh.question, fresh.is_up) = (None, true);
    }

    /// Cuts every other node off from the rest; both sides reach the servers.
    pub fn cut_in_half(&mut self) {
        self.nodes.iter_mut().enumerate().for_each(|(index, node)| node.side = (index % 2) as u8);
    }

    pub fn is_over_share(&self, node: usize, customer: usize) -> bool {
        self.nodes[node].book.is_over_share(self.now, SERVICE, &customer_name(customer))
    }

    /// Returns fair shares of the room as it is, in calls a second.
    pub fn fair(&self) -> Vec<f64> {
        let demand = |(rate, weight): (&f64, &u32)| ShareDemand { weight: *weight, asked: *rate };
        let demands: Vec<ShareDemand> = self.rates.iter().zip(&self.weights).map(demand).collect();
        fair_shares(self.room, &demands)
    }

    /// Lets time pass.
    pub fn pass_seconds(&mut self, count: usize) {
        (0..count).for_each(|_| self.pass_second());
    }

    fn pass_second(&mut self) {
        self.seconds.push(Second { served: vec![0.0; self.rates.len()], ..Second::default() });
        for _ in 0..1_000 / TICK.as_millis() {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        self.deliver();
        let customers = self.rates.len();
        for customer in 0..customers {
            self.owed[customer] += self.rates[customer] * TICK.as_secs_f64();
            while self.owed[customer] >= 1.0 {
                self.owed[customer] -= 1.0;
                self.call(customer);
            }
        }
        self.serve();
        for node in 0..self.nodes.len() {
            let is_overdue = self.nodes[node].is_overdue(self.now);
            if self.nodes[node].is_up && (is_overdue || self.nodes[node].next_look <= self.now) {
                self.nodes[node].next_look = self.now + ShareSettings::default().period;
                self.look(node);
            }
        }
    }

    fn second(&mut self) -> &mut Second {
        self.seconds.last_mut().unwrap()
    }

    fn call(&mut self, customer: usize) {
        let up: Vec<usize> = (0..self.nodes.len()).filter(|node| self.nodes[*node].is_up).collect();
        let node = match self.spreads[customer] {
            Spread::All => *up.choose(&mut self.random).unwrap(),
            Spread::One(node) => node,
        };
        let (now, name, service) = (self.now, customer_name(customer), Name::from(SERVICE));
        let book = &mut self.nodes[node].book;
        match book.ask(now, &service, &name, self.weights[customer]) {
            ShareVerdict::Admitted(call) => {
                let is_over = book.is_over_share(now, SERVICE, &name);
                let tie = self.random.random();
                self.waiting.push(Waiting { is_over, since: now, tie, node, customer, call });
            }
            ShareVerdict::OverShare(_) => self.second().over_share += 1,
        }
    }

    /// Serves what waits, in order, and refuses what has waited for too long.
    fn serve(&mut self) {
        let (now, service) = (self.now, Name::from(SERVICE));
        let per_tick = self.room * TICK.as_secs_f64();
        self.budget = (self.budget + per_tick).min(per_tick.max(1.0) * 2.0);
        self.waiting.sort_by_key(|waiting| (waiting.is_over, waiting.since, waiting.tie));
        let count = (self.budget as usize).min(self.waiting.len());
        self.budget -= count as f64;
        for waiting in self.waiting.drain(..count).collect::<Vec<_>>() {
            self.nodes[waiting.node].book.give(&waiting.call, Some(WORK));
            self.second().served[waiting.customer] += 1.0;
        }
        for waiting in &self.waiting {
            self.nodes[waiting.node].book.note_short(now, &service);
        }
        self.waiting.retain(|waiting| now.since(waiting.since) < LONGEST_WAIT);
    }

    /// Tells the adder what it does not know yet.
    fn look(&mut self, index: usize) {
        let (now, names) = (self.now, self.names.clone());
        let node = &mut self.nodes[index];
        if let Some(question) = &node.question {
            if !node.is_overdue(now) {
                return;
            }
            let adder = self.names[question.adder].clone();
            node.choice.missed(now, &adder);
            node.question = None;
        }
        let Some(adder) = node.choice.choose(now, SERVICE, names) else { return };
        let uses = node.book.untold(now, &SERVICE.into(), &adder);
        if uses.is_empty() {
            return;
        }
        let to = self.names.iter().position(|name| *name == adder).unwrap();
        self.numbers += 1;
        let number = self.numbers;
        node.question = Some(OpenQuestion { number, adder: to, uses: uses.clone(), asked_at: now });
        self.send(Message::Uses { from: index, to, number, uses });
    }

    fn send(&mut self, message: Message) {
        let (from, to, news) = match &message {
            Message::Uses { from, to, uses, .. } => (*from, *to, NodeNews { uses: uses.clone(), ..self.news(*from) }),
            Message::Answer { from, to, shares, .. } | Message::Pass { from, to, shares } => {
                (*from, *to, NodeNews { shares: shares.clone(), ..self.news(*from) })
            }
        };
        let sides = (self.nodes[from].side, self.nodes[to].side);
        if from != to {
            let bytes = cbor_bytes(&serde_json::to_value(&news).unwrap());
            let second = self.second();
            second.bytes += bytes;
            second.messages += 1;
        }
        if from != to && (sides.0 != sides.1 || self.random.random_bool(self.loss)) {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(1..30));
        if self.repeats && self.random.random_bool(0.1) {
            let late = Duration::from_millis(self.random.random_range(30..900));
            self.in_flight.push((self.now + late, message.clone()));
        }
        self.in_flight.push((self.now + delay, message));
    }

    fn news(&self, from: usize) -> NodeNews {
        NodeNews { sender: self.names[from].clone(), ..NodeNews::default() }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, left) = std::mem::take(&mut self.in_flight).into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = left;
        let due: Vec<(Timestamp, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Uses { from, to, number, uses } if self.nodes[to].is_up => {
                    let shares = self.nodes[to].adder.answer(now, &self.names[from], &uses);
                    let own = self.nodes[to].choice.choose(now, SERVICE, self.names.clone());
                    if own.as_ref() == Some(&self.names[to]) {
                        self.learn(to, shares.clone());
                    }
                    self.send(Message::Answer { from: to, to: from, number, shares });
                }
                Message::Answer { to, number, shares, .. } if self.nodes[to].is_up => {
                    let node = &mut self.nodes[to];
                    if node.question.as_ref().is_some_and(|question| question.number == number) {
                        let question = node.question.take().unwrap();
                        node.book.told(now, &question.uses);
                        node.choice.answered(&self.names[question.adder]);
                    }
                    self.learn(to, shares);
                }
                Message::Pass { to, shares, .. } if self.nodes[to].is_up => self.learn(to, shares),
                _ => {}
            }
        }
    }

    fn learn(&mut self, index: usize, shares: Vec<ServiceShares>) {
        let now = self.now;
        for shares in shares {
            self.nodes[index].book.learn(now, shares);
        }
        let passed = self.nodes[index].book.take_passed(now);
        if passed.is_empty() {
            return;
        }
        let others: Vec<Name> = self.names.iter().filter(|name| **name != self.names[index]).cloned().collect();
        let peers = ShareSettings::default().gossip().pick_told(&others, &mut self.random);
        for peer in peers {
            let to = self.names.iter().position(|name| *name == peer).unwrap();
            self.send(Message::Pass { from: index, to, shares: passed.clone() });
        }
    }
}

/// Returns the length of a fraction: three bytes where ten bits after the first hold it.
fn float_bytes(fraction: f64) -> usize {
    if (fraction as f32).to_bits().trailing_zeros() >= 13 { 3 } else { 5 }
}

/// Returns the length of a message in CBOR, in which daemons send it.
fn cbor_bytes(value: &Value) -> usize {
    let head = |length: u64| match length {
        0..24 => 1,
        24..0x100 => 2,
        0x100..0x1_0000 => 3,
        0x1_0000..0x1_0000_0000 => 5,
        _ => 9,
    };
    let text = |text: &str| head(text.len() as u64) + text.len();
    match value {
        Value::Null | Value::Bool(_) => 1,
        Value::Number(number) => number.as_u64().map_or_else(|| float_bytes(number.as_f64().unwrap()), head),
        Value::String(string) => text(string),
        Value::Array(values) => head(values.len() as u64) + values.iter().map(cbor_bytes).sum::<usize>(),
        Value::Object(fields) => {
            let fields_bytes = fields.iter().map(|(name, value)| text(name) + cbor_bytes(value)).sum::<usize>();
            head(fields.len() as u64) + fields_bytes
        }
    }
}

/// Returns what customers were served in the seconds given, in calls a second.
pub fn served_in(seconds: &[Second]) -> Vec<f64> {
    let customers = seconds[0].served.len();
    let sum = |customer: usize| seconds.iter().map(|second| second.served[customer]).sum::<f64>();
    (0..customers).map(|customer| sum(customer) / seconds.len() as f64).collect()
}

/// Returns names of customers with what they were served below `part` of their fair share, with one call
/// of slack for what falls on either side of a second.
pub fn below(served: &[f64], fair: &[f64], part: f64) -> BTreeMap<usize, (f64, f64)> {
    let pairs = served.iter().zip(fair).enumerate();
    let low = pairs.filter(|(_, (served, fair))| **served < **fair * part - 1.0);
    low.map(|(customer, (served, fair))| (customer, (*served, *fair))).collect()
}
