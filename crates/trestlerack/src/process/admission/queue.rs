//! The calls that wait for a place of one service.

use super::RoomSettings;
use super::retries::ReturnTimes;
use super::served_fractions::{RankClass, RankParts};
use crate::process::{CallRank, WaitEstimate};
use crate::{Name, Timestamp};
use std::time::Duration;

/// Shortest time between two calls that go because a place is expected; times are in milliseconds.
const LEAST_STEP: Duration = Duration::from_millis(1);

/// Times that work usually takes after which the answer to this node's own call is overdue.
const OVERDUE_WORKS: u32 = 2;

/// Time after which a service counts as short no more. It is longer than a load that a server stated is
/// believed, after which all places look free.
const SHORT_TIME: Duration = Duration::from_secs(1);

/// Who makes a call. Of two calls of one priority a client's goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// A client, who waits for the answer.
    Client,
    /// A batch job, which asks for the score of an item. It takes a place that is known or none, and is
    /// made again soon.
    Score,
}

/// A call that may have to wait.
#[derive(Clone, Debug)]
pub struct WaitingCall {
    /// Id of the request.
    pub id: Name,
    /// Customer that it is served for.
    pub customer: Option<Name>,
    /// Who makes it.
    pub kind: CallKind,
    /// Place in the order.
    pub rank: CallRank,
    /// When it came to this node.
    pub arrived: Timestamp,
    /// Time after `arrived` at which its answer is late; `None` where only the deadline counts.
    pub objective: Option<Duration>,
}

impl WaitingCall {
    fn class(&self) -> RankClass {
        (self.rank.priority, self.kind)
    }

    /// Returns when its answer has to be there.
    fn due(&self) -> Timestamp {
        self.objective.map_or(self.rank.deadline, |objective| self.rank.deadline.min(self.arrived + objective))
    }

    /// Returns for how long it may wait in all.
    pub fn longest_wait(&self, settings: &RoomSettings) -> Duration {
        match self.kind {
            CallKind::Client => self.due().since(self.arrived).mul_f64(settings.wait_part),
            CallKind::Score => self.rank.deadline.since(self.arrived),
        }
    }
}

/// What this node knows of a service at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceView {
    /// What is expected of it.
    pub estimate: WaitEstimate,
    /// Calls of this node that its servers have.
    pub in_flight: u32,
}

impl ServiceView {
    /// Returns the time between two places that become free.
    fn step(&self) -> Duration {
        self.estimate.work / self.estimate.places.max(1)
    }
}

/// Names a call of one queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallNumber(u64);

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RefusalReason {
    /// Its answer would come too late.
    TooLate,
    /// As many calls wait as may.
    QueueFull,
    /// It could be served in time when it came and no longer can: more urgent calls came, or places went.
    Displaced,
    /// It waited for as long as it may.
    Waited,
    /// The servers that have room will not do for it.
    NoServer,
}

impl RefusalReason {
    /// Returns the reason as logs and metrics name it.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooLate => "too late",
            Self::QueueFull => "queue full",
            Self::Displaced => "displaced",
            Self::Waited => "waited",
            Self::NoServer => "no server",
        }
    }
}

/// A refusal, with what its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRefusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which the caller returns.
    pub return_after: Duration,
}

/// What becomes of a call that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAdmission {
    /// It goes to a server now.
    Go,
    /// It waits; `expected` is for how long.
    Wait {
        /// Names it from now on.
        number: CallNumber,
        /// Time until a place is expected for it.
        expected: Duration,
    },
    /// It is not served here now.
    Refuse(CallRefusal),
}

/// How the wait of a call ended.
#[derive(Clone, Debug)]
pub enum CallFate {
    /// It goes to a server now. Whoever is told so says [`AdmissionQueue::settled`] once.
    Go(CallNumber),
    /// It is refused.
    Refuse(CallNumber, CallRefusal),
}

#[derive(Clone, Debug)]
struct QueuedCall {
    number: CallNumber,
    call: WaitingCall,
    /// Whether its rank was served too little when it came.
    is_favoured: bool,
}

/// The calls that wait for a place of one service, in the order in which they go.
///
/// A place is free when the view says so. Other nodes' answers tell this node nothing, so a call also goes
/// when a place is expected; that one may wait at its server. While this node has calls there, their
/// answers bring news, and none goes on expectation before they are overdue: many nodes that all counted
/// on the same places would fill the servers with calls that wait.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    settings: RoomSettings,
    waiting: Vec<QueuedCall>,
    next_number: u64,
    /// Calls that were told to go and are not at a server yet.
    going: u32,
    /// When a call goes though no place is known to be free.
    place_at: Timestamp,
    /// When a server last refused a call, or a call had to wait or was refused; `None` if none was yet.
    short_at: Option<Timestamp>,
    /// When a place was expected by the load that servers stated last; `None` where they state none.
    stated_place_at: Option<Timestamp>,
    parts: RankParts,
    returns: ReturnTimes,
}

impl AdmissionQueue {
    /// Builds an empty queue.
    pub fn new(settings: RoomSettings) -> Self {
        Self {
            settings,
            waiting: Vec::new(),
            next_number: 0,
            going: 0,
            place_at: Timestamp::default(),
            short_at: None,
            stated_place_at: None,
            parts: RankParts::default(),
            returns: ReturnTimes::default(),
        }
    }

    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the calls that wait, the first to go first.
    pub fn calls(&self) -> impl Iterator<Item = &WaitingCall> {
        self.waiting.iter().map(|queued| &queued.call)
    }

    /// Records that a server had no room for a call.
    pub fn note_full(&mut self, now: Timestamp) {
        self.short_at = Some(now);
    }

    /// Records that a call went to a place that was known to be free.
    pub fn passed(&mut self, now: Timestamp, call: &WaitingCall) {
        self.parts.asked(now, call.class());
        self.parts.served(call.class());
    }

    /// Decides on a call that comes.
    pub fn submit(&mut self, now: Timestamp, call: WaitingCall, view: &ServiceView) -> CallAdmission {
        let class = call.class();
        self.parts.asked(now, class);
        let is_favoured = self.parts.is_behind(class, self.settings.least_part);
        let queued = QueuedCall { number: CallNumber(self.next_number), call, is_favoured };
        let view = &self.learn(now, view);
        self.expect_place(now, view);
        let key = self.key(now, &queued);
        let place = self.waiting.partition_point(|other| self.key(now, other) <= key);
        if place == 0 && self.take_place(now, view) {
            self.parts.served(class);
            return CallAdmission::Go;
        }
        self.short_at = Some(now);
        let expected = expected_wait(place, view);
        if let Some(reason) = self.fault(now, &queued.call, place, view) {
            return CallAdmission::Refuse(self.refuse(now, &queued.call, reason, view));
        }
        let number = queued.number;
        self.next_number += 1;
        self.waiting.insert(place, queued);
        CallAdmission::Wait { number, expected }
    }

    /// Takes out a call whose caller left.
    pub fn leave(&mut self, number: CallNumber) {
        self.waiting.retain(|queued| queued.number != number);
    }

    /// Records that a call that was told to go is at a server, or will not go.
    pub fn settled(&mut self) {
        self.going = self.going.saturating_sub(1);
    }

    /// Returns who goes and who is refused by now.
    pub fn advance(&mut self, now: Timestamp, view: &ServiceView) -> Vec<CallFate> {
        let mut fates = Vec::new();
        if self.is_empty() {
            return fates;
        }
        let view = &self.learn(now, view);
        self.expect_place(now, view);
        self.refuse_where(now, view, &mut fates, |queue, call, _| {
            (now >= queue.limit(call)).then_some(RefusalReason::Waited)
        });
        self.order(now);
        while !self.is_empty() && self.take_place(now, view) {
            let first = self.waiting.remove(0);
            self.parts.served(first.call.class());
            self.going += 1;
            fates.push(CallFate::Go(first.number));
        }
        self.refuse_where(now, view, &mut fates, |queue, call, place| {
            queue.fault(now, call, place, view).map(|_| RefusalReason::Displaced)
        });
        fates
    }

    /// Returns when [`Self::advance`] is due next, if nothing else happens.
    pub fn next_due(&self) -> Option<Timestamp> {
        let limits = self.waiting.iter().map(|queued| self.limit(&queued.call));
        limits.min().map(|limit| limit.min(self.place_at))
    }

    /// Refuses those for whom `reason_of` has a reason, the last one first, since each makes room for those
    /// behind it.
    fn refuse_where(
        &mut self,
        now: Timestamp,
        view: &ServiceView,
        fates: &mut Vec<CallFate>,
        reason_of: impl Fn(&Self, &WaitingCall, usize) -> Option<RefusalReason>,
    ) {
        for place in (0..self.waiting.len()).rev() {
            let Some(reason) = reason_of(self, &self.waiting[place].call, place) else { continue };
            let queued = self.waiting.remove(place);
            let refusal = self.refuse(now, &queued.call, reason, view);
            fates.push(CallFate::Refuse(queued.number, refusal));
        }
    }

    fn refuse(&mut self, now: Timestamp, call: &WaitingCall, reason: RefusalReason, view: &ServiceView) -> CallRefusal {
        let drain = expected_wait(self.waiting.len(), view);
        let is_known = view.estimate.places > 0 && !view.estimate.work.is_zero();
        let expected = is_known.then(|| (drain, view.step()));
        let left = call.rank.deadline.since(now);
        let return_after = self.returns.return_after(&self.settings, now, expected, &call.id, left);
        CallRefusal { reason, return_after }
    }

    /// Returns why a call at a place of the queue cannot be served in time, if it cannot.
    fn fault(&self, now: Timestamp, call: &WaitingCall, place: usize, view: &ServiceView) -> Option<RefusalReason> {
        if call.kind == CallKind::Score {
            return None;
        }
        let is_client = |queued: &&QueuedCall| queued.call.kind == CallKind::Client;
        if self.waiting.iter().take(place).filter(is_client).count() >= self.settings.most_waiting {
            return Some(RefusalReason::QueueFull);
        }
        let goes_at = now + expected_wait(place, view);
        // The first one may wait for a place that is free sooner than is expected.
        let waits_too_long = place > 0 && goes_at > self.limit(call);
        (waits_too_long || goes_at + view.estimate.work > call.due()).then_some(RefusalReason::TooLate)
    }

    /// Works out anew when a place is expected.
    fn expect_place(&mut self, now: Timestamp, view: &ServiceView) {
        let place_at = now + self.pause(view);
        self.place_at = if self.is_empty() { place_at } else { self.place_at.min(place_at) };
    }

    /// Returns whether a call may go, and counts on the next place from then on.
    fn take_place(&mut self, now: Timestamp, view: &ServiceView) -> bool {
        let has_place = view.estimate.free > self.going || now >= self.place_at;
        if has_place {
            let sent = ServiceView { in_flight: view.in_flight + 1, ..*view };
            self.place_at = now + self.pause(&sent);
        }
        has_place
    }

    /// Takes over what a view tells, and returns it without what only looks free: while the service is
    /// short and no stated load is believed any more, places are counted on when the last one would have
    /// passed, and for one call, whose answer brings news.
    fn learn(&mut self, now: Timestamp, view: &ServiceView) -> ServiceView {
        let mut view = *view;
        if let Some(age) = view.estimate.age {
            self.stated_place_at = Some((now - age) + view.estimate.wait);
        } else if let Some(place_at) = self.stated_place_at.filter(|_| self.is_short(now)) {
            let is_full = now < place_at || view.in_flight + self.going > 0;
            view.estimate.free = if is_full { 0 } else { view.estimate.free.min(1) };
            view.estimate.wait = view.estimate.wait.max(place_at.since(now));
        }
        view
    }

    /// Returns whether the service has had no room for a call of late.
    pub fn is_short(&self, now: Timestamp) -> bool {
        self.short_at.is_some_and(|short_at| now.since(short_at) < SHORT_TIME)
    }

    /// Returns the time after which a call goes though no place is known to be free.
    fn pause(&self, view: &ServiceView) -> Duration {
        let estimate = &view.estimate;
        let awaits_news = estimate.places > 0 && view.in_flight + self.going > 0;
        let pause = match awaits_news {
            true => estimate.wait.saturating_add(estimate.work * OVERDUE_WORKS),
            false => estimate.wait.max(view.step()),
        };
        if estimate.work.is_zero() { estimate.wait } else { pause.max(LEAST_STEP) }
    }

    /// Returns when a call has waited for as long as it may.
    fn limit(&self, call: &WaitingCall) -> Timestamp {
        call.arrived + call.longest_wait(&self.settings)
    }

    fn order(&mut self, now: Timestamp) {
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.sort_by_cached_key(|queued| self.key(now, queued));
        self.waiting = waiting;
    }

    /// Returns the order of a call; the least goes first.
    fn key(&self, now: Timestamp, queued: &QueuedCall) -> (bool, RankClass, CallRank, CallNumber) {
        let call = &queued.call;
        let age = call.longest_wait(&self.settings).mul_f64(self.settings.aged_part);
        let is_aged = now.since(call.arrived) >= age && self.parts.is_behind(call.class(), self.settings.least_part);
        (!(queued.is_favoured || is_aged), call.class(), call.rank, queued.number)
    }
}

/// Returns the wait until a call goes that so many others go before.
fn expected_wait(before: usize, view: &ServiceView) -> Duration {
    let before = u32::try_from(before).unwrap_or(u32::MAX);
    view.estimate.wait.saturating_add(view.step().saturating_mul(before))
}
