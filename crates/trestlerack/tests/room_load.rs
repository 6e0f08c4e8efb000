//! Calls for more than the room of a service, each second of some, as its queue orders them.

#[path = "support/room.rs"]
mod room;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use room::{BusyServers, OBJECTIVE, call_of};
use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{AdmissionQueue, CallAdmission, CallFate, CallNumber, RoomSettings, WaitingCall};

/// Places of the service: 30, each for 25 ms, so that it serves 1,200 calls a second.
const PLACES: usize = 30;
const WORK: Duration = Duration::from_millis(25);

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

/// Plays a load of `demand` times the room; `priority_of` gives each call its rank.
fn play(demand: f64, priority_of: impl Fn(&mut Pcg64Mcg) -> u8) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(7);
    let mut servers = BusyServers::new(PLACES, WORK);
    let mut queue = AdmissionQueue::new(RoomSettings::default());
    let mut waiting: BTreeMap<CallNumber, WaitingCall> = BTreeMap::new();
    let mut outcome = Outcome::default();
    let rate = demand * PLACES as f64 / WORK.as_millis() as f64;
    for ms in 0..LENGTH_MS {
        let now = Timestamp(ms);
        for call in servers.tick(now) {
            let is_good = now.since(call.arrived) <= OBJECTIVE;
            outcome.ranks.entry(call.rank.priority).or_default()[2] += u32::from(is_good);
        }
        if ms == FILL_MS {
            servers.busy_ms = 0;
        }
        // Arrivals come in clumps: each millisecond up to twice the mean.
        let arrivals = (random.random_range(0.0..2.0) * rate + random.random::<f64>()) as u32;
        for number in 0..arrivals {
            let call = call_of(&format!("{ms}-{number}"), priority_of(&mut random), now);
            outcome.ranks.entry(call.rank.priority).or_default()[0] += 1;
            match queue.submit(now, call.clone(), &servers.estimate()) {
                CallAdmission::Go => go(&mut servers, &mut outcome, call),
                CallAdmission::Wait { number, .. } => drop(waiting.insert(number, call)),
                CallAdmission::Refuse(_) => outcome.refused_after.push(Duration::ZERO),
            }
        }
        for fate in queue.advance(now, &servers.estimate()) {
            match fate {
                CallFate::Go(number) => {
                    queue.settled();
                    go(&mut servers, &mut outcome, waiting.remove(&number).unwrap());
                }
                CallFate::Refuse(number, _) => {
                    let call = waiting.remove(&number).unwrap();
                    outcome.refused_after.push(now.since(call.arrived));
                }
            }
        }
    }
    outcome.busy_part = servers.busy_ms as f64 / ((LENGTH_MS - FILL_MS) as f64 * PLACES as f64);
    outcome
}

fn go(servers: &mut BusyServers, outcome: &mut Outcome, call: WaitingCall) {
    outcome.ranks.entry(call.rank.priority).or_default()[1] += 1;
    servers.take(call);
}

/// More callers than places: of all places nearly each must work, callers that are refused must still
/// have most of their time, and more callers must not make fewer answers.
#[test]
fn the_room_is_used_and_refusals_come_early_at_any_demand() {
    let mut outcomes = [1.5, 3.0, 10.0].map(|demand| (demand, play(demand, |random| random.random_range(0..3))));
    let best = outcomes.iter().map(|(_, outcome)| outcome.good()).max().unwrap();
    for (demand, outcome) in &mut outcomes {
        assert!(outcome.busy_part >= 0.95, "{:.3} of the places at {demand}", outcome.busy_part);
        let good = outcome.good();
        assert!(f64::from(good) >= 0.95 * f64::from(best), "{good} of {best} at {demand}");
        let refused_after = outcome.refusal_p99();
        assert!(refused_after < OBJECTIVE / 4, "{refused_after:?} at {demand}");
    }
}

/// Ranks share the room in their order, and the last one is served all the same.
#[test]
fn more_urgent_calls_are_served_no_less_and_the_least_urgent_ones_still_are() {
    for demand in [1.5, 3.0, 10.0] {
        // Few urgent calls, or so many that they could take all places.
        for urgent_part in [0.05, 0.33, 0.8] {
            let outcome = play(demand, |random| match random.random::<f64>() {
                draw if draw < urgent_part => 0,
                draw if draw < urgent_part + (1.0 - urgent_part) / 2.0 => 1,
                _ => 2,
            });
            let parts = [0, 1, 2].map(|priority| outcome.served_part(priority));
            let about = format!("{parts:.3?} at {demand} with {urgent_part} urgent");
            assert!(parts[0] >= parts[1] - 0.01 && parts[1] >= parts[2] - 0.01, "{about}");
            // A quarter of what the rank above gets is due to each, so a sixteenth of the first.
            assert!(parts[2] >= parts[0] / 20.0, "{about}");
            assert!(parts[2] > 0.0, "{about}");
        }
    }
}
