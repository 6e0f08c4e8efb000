//! The priority that a request has at an engine, which admits more urgent requests first and may preempt
//! others for them.
//!
//! A request states no priority if all requests that share its service have the same one, because the order
//! would not change. Otherwise it states the priority of its customer, or of its route, with two exceptions.
//! Neither puts it ahead of a new request of a more urgent customer: at most the priorities are equal, in which
//! case engines order by arrival.
//!
//! - A run that has generated half of its text, or was preempted before, continues one level more urgent, so
//!   that its work does not have to be repeated two or three times. The level is relative to the customer's
//!   priority and not to the one stated before, so it never accumulates.
//! - A request that has used half of its time gets the most urgent priority. From then on no later request is
//!   served before it, so it is served within the other half, unless the service cannot even serve the
//!   requests that arrived earlier.
//!
//! See [docs/design/room.md](../../../../docs/design/room.md).

use crate::version::RoutingTable;
use std::time::Duration;

/// The least urgent priority that engines support.
const LEAST_URGENT: u8 = 9;

/// Fraction of its text from which restarting a run costs more than letting it continue.
const COSTLY_FRACTION: f64 = 0.5;

/// Fraction of its time after which a request gets the most urgent priority. The rest has to be enough for the
/// work itself.
const LONG_WAIT_FRACTION: f64 = 0.5;

/// Minimum length of a pause that indicates a preemption, in typical gaps between events. A run that waits for
/// memory waits until other runs end.
const PREEMPTION_GAPS: f64 = 6.0;

/// Minimum length of a pause that indicates a preemption. Shorter ones are caused by the network and by the
/// prefill of other prompts.
const MIN_PREEMPTION_PAUSE: Duration = Duration::from_millis(300);

/// Range of the priorities of the requests that share a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServicePriorities {
    /// The most urgent priority, the smallest number.
    pub most_urgent: u8,
    /// The least urgent priority, the largest number.
    pub least_urgent: u8,
}

impl ServicePriorities {
    /// Returns the priorities that a configuration gives to the requests of a service; `None` if no route leads
    /// to the service. The priority of a route counts if callers without a priority of their own may use it.
    pub fn of(routing: &RoutingTable, service: &str) -> Option<Self> {
        let customers = routing.customers.as_ref();
        let has_default = customers.is_none_or(|directory| directory.priorities().any(|priority| priority.is_none()));
        let leads_there = |shares: &[crate::version::SplitShare]| shares.iter().any(|share| &*share.service == service);
        let mut range: Option<Self> = None;
        for route in routing.routes().filter(|route| leads_there(&route.shares)) {
            let of_route = (has_default || route.is_public).then_some(route.priority);
            let of_customers = customers.into_iter().flat_map(|directory| directory.priorities().flatten());
            for priority in of_route.into_iter().chain(of_customers) {
                let priority = priority.min(LEAST_URGENT);
                let known = range.unwrap_or(Self { most_urgent: priority, least_urgent: priority });
                range = Some(Self {
                    most_urgent: known.most_urgent.min(priority),
                    least_urgent: known.least_urgent.max(priority),
                });
            }
        }
        range
    }

    /// Returns whether the priorities differ, so that stating them has an effect.
    pub fn differ(&self) -> bool {
        self.most_urgent < self.least_urgent
    }
}

/// Progress and waiting time of a request when it is sent to an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallHistory {
    /// Generated fraction of the expected text; 0 for a new request.
    pub generated_fraction: f64,
    /// Whether a run of the request was preempted.
    pub was_preempted: bool,
    /// Time since the client sent the request.
    pub waited: Duration,
    /// Time limit of the request; `None` if there is none.
    pub time_limit: Option<Duration>,
}

impl CallHistory {
    fn is_costly(&self) -> bool {
        self.was_preempted || self.generated_fraction >= COSTLY_FRACTION
    }

    fn has_waited_long(&self) -> bool {
        self.time_limit.is_some_and(|limit| self.waited >= limit.mul_f64(LONG_WAIT_FRACTION))
    }
}

/// Returns the priority that a request of a customer or route with `priority` states at an engine, or `None`
/// if it states none.
pub fn engine_priority(range: Option<ServicePriorities>, priority: u8, history: &CallHistory) -> Option<u8> {
    let range = range.filter(ServicePriorities::differ)?;
    let priority = priority.min(LEAST_URGENT);
    if history.has_waited_long() {
        return Some(priority.min(range.most_urgent));
    }
    let step = if history.is_costly() && priority > range.most_urgent { 1 } else { 0 };
    Some(priority - step)
}

/// Returns whether a pause between two events indicates that the engine preempted the run, given the typical
/// gap between events in milliseconds.
pub fn shows_preemption(pause: Duration, typical_gap_ms: f64) -> bool {
    pause >= MIN_PREEMPTION_PAUSE && pause.as_secs_f64() * 1_000.0 > typical_gap_ms * PREEMPTION_GAPS
}
