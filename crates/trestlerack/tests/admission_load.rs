//! Simulated nodes and servers with more calls than the capacity of the service, over several seconds.

#[path = "support/admission.rs"]
mod admission;

use admission::{SimulatedServers, TARGET_LATENCY, client_call};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{
    AdmissionDecision, AdmissionQueue, AdmissionSettings, QueuedCallId, ServiceLoad, WaitEstimate, WaitOutcome,
    WaitingCall,
};

/// The service has 30 slots with a service time of 25 ms, so its capacity is 1,200 calls per second.
const SLOTS: usize = 30;
const SERVICE_TIME: Duration = Duration::from_millis(25);

/// Time for which a node uses a load report.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(300);

/// Length of a simulation in milliseconds. During the first second the service fills up, so its utilization and
/// its completed calls are not counted.
const LENGTH_MS: u64 = 4_000;
const WARMUP_MS: u64 = 1_000;

/// What callers experienced.
#[derive(Default)]
struct Outcome {
    /// Numbers of calls that arrived, were admitted, and completed in time, by priority.
    by_priority: BTreeMap<u8, [u32; 3]>,
    /// Times from the arrival of a call to its refusal.
    refusal_times: Vec<Duration>,
    /// Utilization of the slots.
    busy_fraction: f64,
}

impl Outcome {
    fn completed_in_time(&self) -> u32 {
        self.by_priority.values().map(|counts| counts[2]).sum()
    }

    fn admitted_fraction(&self, priority: u8) -> f64 {
        let [arrived, admitted, _] = self.by_priority[&priority];
        f64::from(admitted) / f64::from(arrived)
    }

    fn refusal_p99(&mut self) -> Duration {
        self.refusal_times.sort();
        self.refusal_times[self.refusal_times.len() * 99 / 100]
    }
}

/// A node with its queue, and its view of the servers.
struct Node {
    queue: AdmissionQueue,
    waiting: BTreeMap<QueuedCallId, WaitingCall>,
    in_flight: u32,
    /// Calls of other nodes at the servers according to the last load report.
    others: u32,
    /// When that report was received.
    reported_at: Timestamp,
}

impl Node {
    fn new() -> Self {
        let queue = AdmissionQueue::new(AdmissionSettings::default());
        Self { queue, waiting: BTreeMap::new(), in_flight: 0, others: 0, reported_at: Timestamp(0) }
    }

    fn record_response(&mut self, now: Timestamp, servers: &SimulatedServers) {
        self.in_flight -= 1;
        self.others = servers.call_count() - self.in_flight.min(servers.call_count());
        self.reported_at = now;
    }

    /// Returns the load of the service according to the node's own calls and the last report, if it is recent.
    fn load(&self, now: Timestamp, servers: &SimulatedServers) -> ServiceLoad {
        let age = Some(now.since(self.reported_at)).filter(|age| *age < LOAD_REPORT_TTL);
        let estimate = servers.estimate_for(self.in_flight + age.map_or(0, |_| self.others));
        ServiceLoad { estimate: WaitEstimate { load_age: age, ..estimate }, in_flight: self.in_flight }
    }
}

/// Simulates arrivals of `demand` times the capacity at a number of nodes; `priority_of` returns the priority of
/// each call.
fn simulate(node_count: usize, demand: f64, priority_of: impl Fn(&mut Pcg64Mcg) -> u8) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut servers = SimulatedServers::new(SLOTS, SERVICE_TIME);
    let mut nodes: Vec<Node> = (0..node_count).map(|_| Node::new()).collect();
    let mut outcome = Outcome::default();
    let rate = demand * SLOTS as f64 / SERVICE_TIME.as_millis() as f64;
    for ms in 0..LENGTH_MS {
        let now = Timestamp(ms);
        for call in servers.tick(now) {
            nodes[node_of(&call)].record_response(now, &servers);
            let is_in_time = ms >= WARMUP_MS && now.since(call.arrived) <= TARGET_LATENCY;
            outcome.by_priority.entry(call.rank.priority).or_default()[2] += u32::from(is_in_time);
        }
        if ms == WARMUP_MS {
            servers.busy_ms = 0;
        }
        // Arrivals are bursty: up to twice the mean in each millisecond.
        let arrivals = (random.random_range(0.0..2.0) * rate + random.random::<f64>()) as u32;
        for number in 0..arrivals {
            let node = random.random_range(0..node_count);
            let call = client_call(&format!("{node}/{ms}-{number}"), priority_of(&mut random), now);
            outcome.by_priority.entry(call.rank.priority).or_default()[0] += 1;
            let load = nodes[node].load(now, &servers);
            match nodes[node].queue.submit(now, call.clone(), &load) {
                AdmissionDecision::Admit => dispatch(&mut servers, &mut nodes[node], &mut outcome, call),
                AdmissionDecision::Wait { id, .. } => drop(nodes[node].waiting.insert(id, call)),
                AdmissionDecision::Refuse(_) => outcome.refusal_times.push(Duration::ZERO),
            }
        }
        for node in &mut nodes {
            let load = node.load(now, &servers);
            for wait_outcome in node.queue.advance(now, &load) {
                match wait_outcome {
                    WaitOutcome::Admit(id) => {
                        node.queue.finish_dispatch();
                        let call = node.waiting.remove(&id).unwrap();
                        dispatch(&mut servers, node, &mut outcome, call);
                    }
                    WaitOutcome::Refuse(id, _) => {
                        let call = node.waiting.remove(&id).unwrap();
                        outcome.refusal_times.push(now.since(call.arrived));
                    }
                }
            }
        }
    }
    outcome.busy_fraction = servers.busy_ms as f64 / ((LENGTH_MS - WARMUP_MS) as f64 * SLOTS as f64);
    outcome
}

fn dispatch(servers: &mut SimulatedServers, node: &mut Node, outcome: &mut Outcome, call: WaitingCall) {
    outcome.by_priority.entry(call.rank.priority).or_default()[1] += 1;
    node.in_flight += 1;
    servers.accept(call);
}

/// Returns the node at which a call arrived, which is the first part of its id.
fn node_of(call: &WaitingCall) -> usize {
    call.id.split('/').next().unwrap().parse().unwrap()
}

/// Simulates overload at a single node and at many nodes that learn of each other's calls from the responses to
/// their own. Nearly all slots must be busy, refused callers must have most of their time left, and a higher
/// demand must not reduce the number of calls that complete in time.
#[test]
fn capacity_is_used_and_refusals_are_early_at_any_demand() {
    for nodes in [1, 2, 9, 81] {
        let priority_of = |random: &mut Pcg64Mcg| random.random_range(0..3);
        let mut outcomes = [1.5, 3.0, 10.0].map(|demand| (demand, simulate(nodes, demand, priority_of)));
        let best = outcomes.iter().map(|(_, outcome)| outcome.completed_in_time()).max().unwrap();
        for (demand, outcome) in &mut outcomes {
            let (in_time, about) = (outcome.completed_in_time(), format!("at {demand} and {nodes} nodes"));
            assert!(outcome.busy_fraction >= 0.95, "{:.3} of the slots {about}", outcome.busy_fraction);
            assert!(f64::from(in_time) >= 0.95 * f64::from(best), "{in_time} of {best} {about}");
            let p99 = outcome.refusal_p99();
            assert!(p99 < TARGET_LATENCY / 4, "{p99:?} {about}");
        }
    }
}

/// More urgent calls must be served at least as well as less urgent ones, without starving these. At least half
/// of the capacity is left to the most urgent calls, so nearly all of them are served if they need less.
#[test]
fn more_urgent_calls_are_served_no_worse_and_the_least_urgent_do_not_starve() {
    for (nodes, demand, urgent_fraction) in priority_mixes() {
        let outcome = simulate(nodes, demand, |random| match random.random::<f64>() {
            draw if draw < urgent_fraction => 0,
            draw if draw < urgent_fraction + (1.0 - urgent_fraction) / 2.0 => 1,
            _ => 2,
        });
        let served = [0, 1, 2].map(|priority| outcome.admitted_fraction(priority));
        let about = format!("{served:.3?} at {demand} and {nodes} nodes with {urgent_fraction} urgent");
        assert!(served[0] >= served[1] - 0.01 && served[1] >= served[2] - 0.01, "{about}");
        // A class is due 1/25 of the fraction of more urgent ones; 1/30 allows for the delay of the counts.
        assert!(served[2] >= served[0] / 30.0, "{about}");
        assert!(nodes > 1 || demand * urgent_fraction > 0.5 || served[0] >= 0.9, "{about}");
    }
}

/// Returns numbers of nodes, demands and fractions of urgent calls, from few to so many that they could take all
/// slots.
fn priority_mixes() -> impl Iterator<Item = (usize, f64, f64)> {
    let demands = [1, 9].into_iter().flat_map(|nodes| [1.5, 3.0, 10.0].map(|demand| (nodes, demand)));
    demands.flat_map(|(nodes, demand)| [0.05, 0.33, 0.8].map(|urgent_fraction| (nodes, demand, urgent_fraction)))
}
