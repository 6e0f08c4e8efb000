//! Calls for more than the room of a service, each second of some, as its queue orders them.

#[path = "support/admission.rs"]
mod admission;

use admission::{BusyServers, OBJECTIVE, call_of};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{
    AdmissionQueue, CallAdmission, CallFate, CallNumber, RoomSettings, ServiceView, WaitEstimate, WaitingCall,
};

/// Places of the service: 30, each for 25 ms, so that it serves 1,200 calls a second.
const PLACES: usize = 30;
const WORK: Duration = Duration::from_millis(25);

/// Time for which a node believes a load that was stated.
const BELIEVED: Duration = Duration::from_millis(300);

/// Length of the load, in milliseconds; the first second fills the service.
const LENGTH_MS: u64 = 4_000;
const FILL_MS: u64 = 1_000;

/// What callers got.
#[derive(Default)]
struct Outcome {
    /// Calls that came, went to a server and were answered in time, by priority.
    ranks: BTreeMap<u8, [u32; 3]>,
    /// Times from a call to its refusal.
    refused_after: Vec<Duration>,
    busy_part: f64,
}

impl Outcome {
    fn good(&self) -> u32 {
        self.ranks.values().map(|counts| counts[2]).sum()
    }

    fn served_part(&self, priority: u8) -> f64 {
        let [came, went, _] = self.ranks[&priority];
        f64::from(went) / f64::from(came)
    }

    fn refusal_p99(&mut self) -> Duration {
        self.refused_after.sort();
        self.refused_after[self.refused_after.len() * 99 / 100]
    }
}

/// What one node has.
struct Node {
    queue: AdmissionQueue,
    waiting: BTreeMap<CallNumber, WaitingCall>,
    in_flight: u32,
    /// Calls of others, as the last answer stated, and when it did.
    others: u32,
    seen_at: Timestamp,
}

impl Node {
    fn new() -> Self {
        let queue = AdmissionQueue::new(RoomSettings::default());
        Self { queue, waiting: BTreeMap::new(), in_flight: 0, others: 0, seen_at: Timestamp(0) }
    }

    fn answered(&mut self, now: Timestamp, servers: &BusyServers) {
        self.in_flight -= 1;
        self.others = servers.busy() - self.in_flight.min(servers.busy());
        self.seen_at = now;
    }

    /// Expects what its own calls and the load that was stated lately make of the service.
    fn view(&self, now: Timestamp, servers: &BusyServers) -> ServiceView {
        let age = Some(now.since(self.seen_at)).filter(|age| *age < BELIEVED);
        let estimate = servers.estimate_of(self.in_flight + age.map_or(0, |_| self.others));
        ServiceView { estimate: WaitEstimate { age, ..estimate }, in_flight: self.in_flight }
    }
}

/// Plays a load of `demand` times the room at so many nodes; `priority_of` gives each call its rank.
fn play(node_count: usize, demand: f64, priority_of: impl Fn(&mut Pcg64Mcg) -> u8) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut servers = BusyServers::new(PLACES, WORK);
    let mut nodes: Vec<Node> = (0..node_count).map(|_| Node::new()).collect();
    let mut outcome = Outcome::default();
    let rate = demand * PLACES as f64 / WORK.as_millis() as f64;
    for ms in 0..LENGTH_MS {
        let now = Timestamp(ms);
        for call in servers.tick(now) {
            nodes[node_of(&call)].answered(now, &servers);
            let is_good = ms >= FILL_MS && now.since(call.arrived) <= OBJECTIVE;
            outcome.ranks.entry(call.rank.priority).or_default()[2] += u32::from(is_good);
        }
        if ms == FILL_MS {
            servers.busy_ms = 0;
        }
        // Arrivals come in clumps: each millisecond up to twice the mean.
        let arrivals = (random.random_range(0.0..2.0) * rate + random.random::<f64>()) as u32;
        for number in 0..arrivals {
            let place = random.random_range(0..node_count);
            let call = call_of(&format!("{place}/{ms}-{number}"), priority_of(&mut random), now);
            outcome.ranks.entry(call.rank.priority).or_default()[0] += 1;
            let view = nodes[place].view(now, &servers);
            match nodes[place].queue.submit(now, call.clone(), &view) {
                CallAdmission::Go => go(&mut servers, &mut nodes[place], &mut outcome, call),
                CallAdmission::Wait { number, .. } => drop(nodes[place].waiting.insert(number, call)),
                CallAdmission::Refuse(_) => outcome.refused_after.push(Duration::ZERO),
            }
        }
        for node in &mut nodes {
            let view = node.view(now, &servers);
            for fate in node.queue.advance(now, &view) {
                match fate {
                    CallFate::Go(number) => {
                        node.queue.settled();
                        let call = node.waiting.remove(&number).unwrap();
                        go(&mut servers, node, &mut outcome, call);
                    }
                    CallFate::Refuse(number, _) => {
                        let call = node.waiting.remove(&number).unwrap();
                        outcome.refused_after.push(now.since(call.arrived));
                    }
                }
            }
        }
    }
    outcome.busy_part = servers.busy_ms as f64 / ((LENGTH_MS - FILL_MS) as f64 * PLACES as f64);
    outcome
}

fn go(servers: &mut BusyServers, node: &mut Node, outcome: &mut Outcome, call: WaitingCall) {
    outcome.ranks.entry(call.rank.priority).or_default()[1] += 1;
    node.in_flight += 1;
    servers.take(call);
}

/// Returns the node at which a call came, which its id begins with.
fn node_of(call: &WaitingCall) -> usize {
    call.id.split('/').next().unwrap().parse().unwrap()
}

/// More callers than places, at one node or at many that know of the others' calls by the answers to their
/// own: of all places nearly each must work, callers that are refused must still have most of their time,
/// and more callers must not make fewer answers.
#[test]
fn the_room_is_used_and_refusals_come_early_at_any_demand() {
    for nodes in [1, 2, 9, 81] {
        let draw = |random: &mut Pcg64Mcg| random.random_range(0..3);
        let mut outcomes = [1.5, 3.0, 10.0].map(|demand| (demand, play(nodes, demand, draw)));
        let best = outcomes.iter().map(|(_, outcome)| outcome.good()).max().unwrap();
        for (demand, outcome) in &mut outcomes {
            let (good, about) = (outcome.good(), format!("at {demand} and {nodes} nodes"));
            assert!(outcome.busy_part >= 0.95, "{:.3} of the places {about}", outcome.busy_part);
            assert!(f64::from(good) >= 0.95 * f64::from(best), "{good} of {best} {about}");
            let refused_after = outcome.refusal_p99();
            assert!(refused_after < OBJECTIVE / 4, "{refused_after:?} {about}");
        }
    }
}

/// Ranks share the room in their order, and the last one is served all the same. Half of the room is left
/// to the first one at least, so where it asks for less, nearly all of its calls are served.
#[test]
fn more_urgent_calls_are_served_no_less_and_the_least_urgent_ones_still_are() {
    for (nodes, demand, urgent_part) in loads_of_ranks() {
        let outcome = play(nodes, demand, |random| match random.random::<f64>() {
            draw if draw < urgent_part => 0,
            draw if draw < urgent_part + (1.0 - urgent_part) / 2.0 => 1,
            _ => 2,
        });
        let parts = [0, 1, 2].map(|priority| outcome.served_part(priority));
        let about = format!("{parts:.3?} at {demand} and {nodes} nodes with {urgent_part} urgent");
        assert!(parts[0] >= parts[1] - 0.01 && parts[1] >= parts[2] - 0.01, "{about}");
        // One in 25 of its part is due to each; counts follow with a delay.
        assert!(parts[2] >= parts[0] / 30.0, "{about}");
        assert!(nodes > 1 || demand * urgent_part > 0.5 || parts[0] >= 0.9, "{about}");
    }
}

/// Returns nodes, demand and the part of urgent calls, few of them or so many that they could take all
/// places.
fn loads_of_ranks() -> impl Iterator<Item = (usize, f64, f64)> {
    let demands = [1, 9].into_iter().flat_map(|nodes| [1.5, 3.0, 10.0].map(|demand| (nodes, demand)));
    demands.flat_map(|(nodes, demand)| [0.05, 0.33, 0.8].map(|urgent_part| (nodes, demand, urgent_part)))
}
