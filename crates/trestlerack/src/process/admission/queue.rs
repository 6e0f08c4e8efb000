//! The queue of calls that wait for a free slot of a service.

use super::AdmissionSettings;
use super::retries::RetrySchedule;
use super::served_fractions::{PriorityClass, ServedFractions};
use crate::process::{CallRank, WaitEstimate};
use crate::{Name, Timestamp};
use std::time::Duration;

/// Minimum interval between two calls that are admitted because a slot is expected to be free. It is the
/// resolution of [`Timestamp`].
const MIN_SLOT_INTERVAL: Duration = Duration::from_millis(1);

/// Number of typical service times after which the response to a call of this node is overdue.
const OVERDUE_SERVICE_TIMES: u32 = 2;

/// Time after the last sign of overload for which a service counts as overloaded. It is longer than the
/// lifetime of a load report, after which all slots look free.
const OVERLOAD_PERIOD: Duration = Duration::from_secs(1);

/// Origin of a call. Of two calls of the same priority, a client's call is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// A client that waits for the response.
    Client,
    /// A batch job that requests the score of an item. It is only sent if a free slot is known, and is
    /// repeated soon otherwise.
    Score,
}

/// A call that requests admission and may have to wait for it.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// Id of the request.
    pub id: Name,
    /// Customer for whom the call is served.
    pub customer: Option<Name>,
    /// Origin of the call.
    pub kind: CallKind,
    /// Sort key among calls of the same class.
    pub rank: CallRank,
    /// When the call arrived at this node.
    pub arrived: Timestamp,
    /// Time after `arrived` at which the response is late; `None` if only the deadline counts.
    pub target_latency: Option<Duration>,
}

impl WaitingCall {
    fn class(&self) -> PriorityClass {
        (self.rank.priority, self.kind)
    }

    /// Returns when the response is due.
    fn due(&self) -> Timestamp {
        self.target_latency.map_or(self.rank.deadline, |target| self.rank.deadline.min(self.arrived + target))
    }

    /// Returns how long the call may wait in total.
    pub fn max_wait(&self, settings: &AdmissionSettings) -> Duration {
        match self.kind {
            CallKind::Client => self.due().since(self.arrived).mul_f64(settings.max_wait_fraction),
            CallKind::Score => self.rank.deadline.since(self.arrived),
        }
    }
}

/// What this node knows of the load of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceLoad {
    /// Estimate for one more call.
    pub estimate: WaitEstimate,
    /// Calls of this node that are at the servers of the service.
    pub in_flight: u32,
}

impl ServiceLoad {
    /// Returns the mean interval at which slots become free.
    fn slot_interval(&self) -> Duration {
        self.estimate.service_time / self.estimate.slots.max(1)
    }
}

/// Identifies a call in a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueuedCallId(u64);

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// The response would be late.
    TooLate,
    /// The queue holds the maximum number of calls.
    QueueFull,
    /// The call could be served in time when it arrived, but no longer can, because more urgent calls arrived
    /// or slots were lost.
    Displaced,
    /// The call has waited for its maximum wait.
    WaitExpired,
    /// The servers that have capacity are not suitable for the call.
    NoServer,
}

impl RefusalReason {
    /// Returns the name of the reason in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLate => "too late",
            Self::QueueFull => "queue full",
            Self::Displaced => "displaced",
            Self::WaitExpired => "waited",
            Self::NoServer => "no server",
        }
    }
}

/// A refusal as it is reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Why the call is refused.
    pub reason: RefusalReason,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// Decision on a new call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The call is sent to a server now.
    Admit,
    /// The call waits in the queue.
    Wait {
        /// Id of the call in the queue.
        id: QueuedCallId,
        /// Time until a slot is expected for the call.
        expected: Duration,
    },
    /// The call is refused.
    Refuse(CallRefusal),
}

/// How the wait of a queued call ended.
#[derive(Clone, Debug)]
pub enum WaitOutcome {
    /// The call is sent to a server now. The recipient of this outcome has to call
    /// [`AdmissionQueue::finish_dispatch`] exactly once.
    Admit(QueuedCallId),
    /// The call is refused.
    Refuse(QueuedCallId, CallRefusal),
}

#[derive(Clone, Debug)]
struct QueuedCall {
    id: QueuedCallId,
    call: WaitingCall,
    /// Whether the class of the call was underserved when the call arrived.
    was_underserved: bool,
}

/// The calls that wait for a free slot of a service, in the order in which they are admitted.
///
/// A slot is known to be free if the [`ServiceLoad`] says so. Since this node does not see the responses to
/// other nodes, it also admits a call when a slot is expected to be free; such a call may have to wait at its
/// server. While this node has calls at the servers, their responses report the load, so no call is admitted
/// by expectation until these responses are overdue. Otherwise many nodes would count on the same slots and
/// fill the queues of the servers.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: AdmissionSettings,
    waiting: Vec<QueuedCall>,
    next_id: u64,
    /// Admitted calls that have not reached a server yet.
    dispatching: u32,
    /// When the next call is admitted even if no slot is known to be free.
    next_slot_at: Timestamp,
    /// When a server last had no capacity for a call, or a call had to wait or was refused; `None` if this has
    /// not happened yet.
    overloaded_at: Option<Timestamp>,
    /// When a slot was expected to be free by the last load reports; `None` if there were no reports.
    reported_slot_at: Option<Timestamp>,
    served: ServedFractions,
    retries: RetrySchedule,
}

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            next_id: 0,
            dispatching: 0,
            next_slot_at: Timestamp::default(),
            overloaded_at: None,
            reported_slot_at: None,
            served: ServedFractions::default(),
            retries: RetrySchedule::default(),
        }
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the waiting calls in the order in which they will be admitted.
    pub fn calls(&self) -> impl Iterator<Item = &WaitingCall> {
        self.waiting.iter().map(|queued| &queued.call)
    }

    /// Records that a server had no capacity for a call.
    pub fn record_full_server(&mut self, now: Timestamp) {
        self.overloaded_at = Some(now);
    }

    /// Records that a call was sent to a slot that was known to be free, without passing through the queue.
    pub fn record_bypass(&mut self, now: Timestamp, call: &WaitingCall) {
        self.served.record_arrival(now, call.class());
        self.served.record_served(call.class());
    }

    /// Decides on a new call.
    pub fn submit(&mut self, now: Timestamp, call: WaitingCall, load: &ServiceLoad) -> AdmissionDecision {
        let class = call.class();
        self.served.record_arrival(now, class);
        let was_underserved = self.served.is_underserved(class, self.settings.min_served_fraction);
        let queued = QueuedCall { id: QueuedCallId(self.next_id), call, was_underserved };
        let load = &self.correct_load(now, load);
        self.update_next_slot(now, load);
        let key = self.sort_key(now, &queued);
        let position = self.waiting.partition_point(|other| self.sort_key(now, other) <= key);
        if position == 0 && self.try_take_slot(now, load) {
            self.served.record_served(class);
            return AdmissionDecision::Admit;
        }
        self.overloaded_at = Some(now);
        let expected = expected_wait(position, load);
        if let Some(reason) = self.refusal_reason(now, &queued.call, position, load) {
            return AdmissionDecision::Refuse(self.refuse(now, &queued.call, reason, load));
        }
        let id = queued.id;
        self.next_id += 1;
        self.waiting.insert(position, queued);
        AdmissionDecision::Wait { id, expected }
    }

    /// Removes a call whose caller has left.
    pub fn remove(&mut self, id: QueuedCallId) {
        self.waiting.retain(|queued| queued.id != id);
    }

    /// Records that an admitted call has reached a server, or will not be sent.
    pub fn finish_dispatch(&mut self) {
        self.dispatching = self.dispatching.saturating_sub(1);
    }

    /// Admits and refuses waiting calls according to the current load.
    pub fn advance(&mut self, now: Timestamp, load: &ServiceLoad) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        if self.is_empty() {
            return outcomes;
        }
        let load = &self.correct_load(now, load);
        self.update_next_slot(now, load);
        self.refuse_where(now, load, &mut outcomes, |queue, call, _| {
            (now >= queue.wait_deadline(call)).then_some(RefusalReason::WaitExpired)
        });
        self.sort(now);
        while !self.is_empty() && self.try_take_slot(now, load) {
            let first = self.waiting.remove(0);
            self.served.record_served(first.call.class());
            self.dispatching += 1;
            outcomes.push(WaitOutcome::Admit(first.id));
        }
        self.refuse_where(now, load, &mut outcomes, |queue, call, position| {
            queue.refusal_reason(now, call, position, load).map(|_| RefusalReason::Displaced)
        });
        outcomes
    }

    /// Returns when [`Self::advance`] is due next if nothing else happens.
    pub fn next_due(&self) -> Option<Timestamp> {
        let deadlines = self.waiting.iter().map(|queued| self.wait_deadline(&queued.call));
        deadlines.min().map(|deadline| deadline.min(self.next_slot_at))
    }

    /// Refuses the calls for which `reason_of` returns a reason. It starts at the end of the queue, since each
    /// refusal makes room for the calls behind it.
    fn refuse_where(
        &mut self,
        now: Timestamp,
        load: &ServiceLoad,
        outcomes: &mut Vec<WaitOutcome>,
        reason_of: impl Fn(&Self, &WaitingCall, usize) -> Option<RefusalReason>,
    ) {
        for position in (0..self.waiting.len()).rev() {
            let Some(reason) = reason_of(self, &self.waiting[position].call, position) else { continue };
            let queued = self.waiting.remove(position);
            let refusal = self.refuse(now, &queued.call, reason, load);
            outcomes.push(WaitOutcome::Refuse(queued.id, refusal));
        }
    }

    fn refuse(&mut self, now: Timestamp, call: &WaitingCall, reason: RefusalReason, load: &ServiceLoad) -> CallRefusal {
        let drain_time = expected_wait(self.waiting.len(), load);
        let is_known = load.estimate.slots > 0 && !load.estimate.service_time.is_zero();
        let expected = is_known.then(|| (drain_time, load.slot_interval()));
        let left = call.rank.deadline.since(now);
        let retry_after = self.retries.retry_after(&self.settings, now, expected, &call.id, left);
        CallRefusal { reason, retry_after }
    }

    /// Returns why a call at a position of the queue cannot be served in time; `None` if it can.
    fn refusal_reason(
        &self,
        now: Timestamp,
        call: &WaitingCall,
        position: usize,
        load: &ServiceLoad,
    ) -> Option<RefusalReason> {
        if call.kind == CallKind::Score {
            return None;
        }
        let is_client = |queued: &&QueuedCall| queued.call.kind == CallKind::Client;
        if self.waiting.iter().take(position).filter(is_client).count() >= self.settings.max_waiting {
            return Some(RefusalReason::QueueFull);
        }
        let slot_at = now + expected_wait(position, load);
        // The first call may wait in any case, since a slot may become free sooner than expected.
        let waits_too_long = position > 0 && slot_at > self.wait_deadline(call);
        (waits_too_long || slot_at + load.estimate.service_time > call.due()).then_some(RefusalReason::TooLate)
    }

    /// Updates when a slot is expected to be free.
    fn update_next_slot(&mut self, now: Timestamp, load: &ServiceLoad) {
        let next_slot_at = now + self.slot_delay(load);
        self.next_slot_at = if self.is_empty() { next_slot_at } else { self.next_slot_at.min(next_slot_at) };
    }

    /// Takes a slot that is known or expected to be free. Returns `false` if there is none.
    fn try_take_slot(&mut self, now: Timestamp, load: &ServiceLoad) -> bool {
        let has_slot = load.estimate.free_slots > self.dispatching || now >= self.next_slot_at;
        if has_slot {
            let load_after = ServiceLoad { in_flight: load.in_flight + 1, ..*load };
            self.next_slot_at = now + self.slot_delay(&load_after);
        }
        has_slot
    }

    /// Remembers the reported load, and returns the load without slots that only look free.
    ///
    /// Once all load reports have expired, slots look free. While the service is overloaded, they count only
    /// from the moment that the last report predicted, and only for a single call, whose response reports the
    /// load again.
    fn correct_load(&mut self, now: Timestamp, load: &ServiceLoad) -> ServiceLoad {
        let mut load = *load;
        if let Some(age) = load.estimate.load_age {
            self.reported_slot_at = Some((now - age) + load.estimate.wait);
        } else if let Some(slot_at) = self.reported_slot_at.filter(|_| self.is_overloaded(now)) {
            let is_full = now < slot_at || load.in_flight + self.dispatching > 0;
            load.estimate.free_slots = if is_full { 0 } else { load.estimate.free_slots.min(1) };
            load.estimate.wait = load.estimate.wait.max(slot_at.since(now));
        }
        load
    }

    /// Returns whether the service recently had no capacity for a call.
    pub fn is_overloaded(&self, now: Timestamp) -> bool {
        self.overloaded_at.is_some_and(|overloaded_at| now.since(overloaded_at) < OVERLOAD_PERIOD)
    }

    /// Returns the time after which a call is admitted even if no slot is known to be free.
    fn slot_delay(&self, load: &ServiceLoad) -> Duration {
        let estimate = &load.estimate;
        let awaits_report = estimate.slots > 0 && load.in_flight + self.dispatching > 0;
        let delay = match awaits_report {
            true => estimate.wait.saturating_add(estimate.service_time * OVERDUE_SERVICE_TIMES),
            false => estimate.wait.max(load.slot_interval()),
        };
        if estimate.service_time.is_zero() { estimate.wait } else { delay.max(MIN_SLOT_INTERVAL) }
    }

    /// Returns when the maximum wait of a call ends.
    fn wait_deadline(&self, call: &WaitingCall) -> Timestamp {
        call.arrived + call.max_wait(&self.settings)
    }

    fn sort(&mut self, now: Timestamp) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_cached_key(|queued| self.sort_key(now, queued));
        self.waiting = waiting;
    }

    /// Returns the sort key of a call; the call with the smallest key is admitted first.
    fn sort_key(&self, now: Timestamp, queued: &QueuedCall) -> (bool, PriorityClass, CallRank, QueuedCallId) {
        let call = &queued.call;
        let aging_time = call.max_wait(&self.settings).mul_f64(self.settings.aging_fraction);
        let is_aged = now.since(call.arrived) >= aging_time
            && self.served.is_underserved(call.class(), self.settings.min_served_fraction);
        (!(queued.was_underserved || is_aged), call.class(), call.rank, queued.id)
    }
}

/// Returns the expected wait of a call with `ahead` calls before it.
fn expected_wait(ahead: usize, load: &ServiceLoad) -> Duration {
    let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
    load.estimate.wait.saturating_add(load.slot_interval().saturating_mul(ahead))
}
