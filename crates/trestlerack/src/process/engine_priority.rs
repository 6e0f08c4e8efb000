//! The rank that a request has at an engine, which admits more urgent ones first and may preempt
//! others for them.
//!
//! A request says nothing where all that share its service have the same rank, since a rank orders
//! nothing there. Otherwise it states the rank of its customer, or of its route, with two
//! exceptions. Neither puts it before a fresh request of a more urgent customer: both end at most in
//! a tie, which engines settle by arrival.
//!
//! - A run that has made half of its text, or was preempted before, goes on one step more urgent, so
//!   that the work that it has cost isn't made a second or third time. The step is taken from the
//!   customer's rank and not from the rank stated before, so it never adds up.
//! - A request that has used half of its time ranks with the most urgent ones. From then on nobody
//!   that comes later goes before it, so it is served within the other half, unless the service can't
//!   even serve those that came before.
//!
//! See [docs/design/room.md](../../../../docs/design/room.md).

use crate::version::RoutingTable;
use std::time::Duration;

/// The least urgent rank that an engine knows.
const LAST_RANK: u8 = 9;

/// Share of its text from which a run is dearer to begin anew than to let go on.
const COSTLY_SHARE: f64 = 0.5;

/// Share of its time after which a request ranks with the most urgent ones; what is left has to be
/// enough for the work itself.
const LONG_WAIT_SHARE: f64 = 0.5;

/// Usual times between events that a pause must be longer than to show that a run was preempted; a
/// run that waits for memory waits until others end.
const PREEMPTED_GAPS: f64 = 6.0;

/// Shortest pause that shows as much. Shorter ones come from links and from prompts read in between.
const PREEMPTED_LEAST: Duration = Duration::from_millis(300);

/// Ranks of the requests that share a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceRanks {
    /// The most urgent one.
    pub first: u8,
    /// The least urgent one.
    pub last: u8,
}

impl ServiceRanks {
    /// Returns the ranks that a configuration gives the requests of a service; `None` if no route
    /// leads there. The rank of a route counts where somebody without a rank of its own may call it.
    pub fn of(routing: &RoutingTable, service: &str) -> Option<Self> {
        let customers = routing.customers.as_ref();
        let has_unranked = customers.is_none_or(|directory| directory.ranks().any(|rank| rank.is_none()));
        let leads_there = |shares: &[crate::version::SplitShare]| shares.iter().any(|share| &*share.service == service);
        let mut ranks: Option<Self> = None;
        for route in routing.routes().filter(|route| leads_there(&route.shares)) {
            let of_route = (has_unranked || route.is_public).then_some(route.priority);
            let of_customers = customers.into_iter().flat_map(|directory| directory.ranks().flatten());
            for rank in of_route.into_iter().chain(of_customers) {
                let rank = rank.min(LAST_RANK);
                let held = ranks.unwrap_or(Self { first: rank, last: rank });
                ranks = Some(Self { first: held.first.min(rank), last: held.last.max(rank) });
            }
        }
        ranks
    }

    /// Returns whether a rank says anything among these requests.
    pub fn differ(&self) -> bool {
        self.first < self.last
    }
}

/// What a request has behind it when it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallHistory {
    /// Share of the expected text that is made; 0 for what begins.
    pub made: f64,
    /// Whether a run of it was preempted.
    pub was_preempted: bool,
    /// Time since its client asked for it.
    pub waited: Duration,
    /// Longest time that it may take; `None` if there is no end.
    pub allowed: Option<Duration>,
}

impl CallHistory {
    fn is_costly(&self) -> bool {
        self.was_preempted || self.made >= COSTLY_SHARE
    }

    fn has_waited_long(&self) -> bool {
        self.allowed.is_some_and(|allowed| self.waited >= allowed.mul_f64(LONG_WAIT_SHARE))
    }
}

/// Returns the rank that a request of rank `priority` states at an engine, or `None` where it states
/// none.
pub fn engine_rank(ranks: Option<ServiceRanks>, priority: u8, history: &CallHistory) -> Option<u8> {
    let ranks = ranks.filter(ServiceRanks::differ)?;
    let rank = priority.min(LAST_RANK);
    if history.has_waited_long() {
        return Some(rank.min(ranks.first));
    }
    let step = if history.is_costly() && rank > ranks.first { 1 } else { 0 };
    Some(rank - step)
}

/// Returns whether a pause between two events is one of a run that its engine preempted, where events
/// usually come every `pace_ms` milliseconds.
pub fn shows_preemption(pause: Duration, pace_ms: f64) -> bool {
    pause >= PREEMPTED_LEAST && pause.as_secs_f64() * 1_000.0 > pace_ms * PREEMPTED_GAPS
}
