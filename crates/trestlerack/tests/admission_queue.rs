//! Single decisions of a service's queue.

mod support;

#[path = "support/admission.rs"]
mod admission;

use admission::{BusyServers, OBJECTIVE, PATIENCE, call_of};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Duration;
use support::for_seeds;
use trestlerack::Timestamp;
use trestlerack::process::{
    AdmissionQueue, CallAdmission, CallFate, CallKind, CallNumber, RefusalReason, RoomSettings, ServiceView,
    WaitEstimate, WaitingCall,
};

const MS: Duration = Duration::from_millis(1);

/// Ten places of 20 ms, all taken: one becomes free each 2 ms.
fn full() -> ServiceView {
    view(WaitEstimate { wait: 2 * MS, work: 20 * MS, places: 10, free: 0, age: Some(5 * MS) })
}

fn view(estimate: WaitEstimate) -> ServiceView {
    ServiceView { estimate, in_flight: 0 }
}

fn with_free(free: u32) -> ServiceView {
    view(WaitEstimate { wait: Duration::ZERO, free, ..full().estimate })
}

fn queue() -> AdmissionQueue {
    AdmissionQueue::new(RoomSettings::default())
}

fn wait(queue: &mut AdmissionQueue, now: Timestamp, call: WaitingCall) -> CallNumber {
    match queue.submit(now, call, &full()) {
        CallAdmission::Wait { number, .. } => number,
        other => panic!("{other:?}"),
    }
}

fn goers(queue: &mut AdmissionQueue, now: Timestamp, view: &ServiceView) -> Vec<CallNumber> {
    let fates = queue.advance(now, view).into_iter();
    fates.filter_map(|fate| if let CallFate::Go(number) = fate { Some(number) } else { None }).collect()
}

fn refusal(admission: CallAdmission) -> RefusalReason {
    match admission {
        CallAdmission::Refuse(refusal) => refusal.reason,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_call_goes_at_once_while_there_is_a_place() {
    let mut queue = queue();
    for number in 0..100 {
        let call = call_of(&number.to_string(), 9, Timestamp(number));
        assert_eq!(queue.submit(Timestamp(number), call, &with_free(1)), CallAdmission::Go);
    }
    assert!(queue.is_empty());
}

/// Time that a place is not yet known at a server counts: a place is not given twice.
#[test]
fn a_free_place_goes_to_the_first_and_to_one_only() {
    let now = Timestamp(100);
    let mut queue = queue();
    let late = wait(&mut queue, now, call_of("late", 5, now));
    let urgent = wait(&mut queue, now, call_of("urgent", 0, now));
    let mut over = call_of("over", 0, now);
    over.rank.is_over_share = true;
    let over = wait(&mut queue, now, over);
    assert_eq!(goers(&mut queue, now, &with_free(1)), [urgent]);
    assert!(goers(&mut queue, now, &with_free(1)).is_empty(), "the place is not taken up yet");
    queue.settled();
    assert_eq!(goers(&mut queue, now, &with_free(2)), [over, late]);
}

/// A caller that was refused before has less time left than newcomers of its rank.
#[test]
fn a_caller_that_returns_goes_before_newcomers_of_its_rank() {
    let now = Timestamp(1_000);
    let mut queue = queue();
    let newcomer = wait(&mut queue, now, call_of("new", 1, now));
    let mut returning = call_of("returning", 1, now);
    returning.rank.deadline = now + PATIENCE - 160 * MS;
    let returning = wait(&mut queue, now, returning);
    let more_urgent = wait(&mut queue, now, call_of("urgent", 0, now));
    assert_eq!(goers(&mut queue, now, &with_free(3)), [more_urgent, returning, newcomer]);
}

/// Where a node has no calls of its own at the servers, it hears of no free place.
#[test]
fn calls_go_when_a_place_is_expected() {
    let now = Timestamp(100);
    let mut queue = queue();
    let first = wait(&mut queue, now, call_of("a", 0, now));
    let second = wait(&mut queue, now, call_of("b", 0, now));
    assert_eq!(queue.next_due(), Some(now + 2 * MS));
    assert!(goers(&mut queue, now + MS, &full()).is_empty());
    assert_eq!(goers(&mut queue, now + 2 * MS, &full()), [first]);
    queue.settled();
    // The call of this node brings news, unless its answer is overdue.
    let sent = ServiceView { in_flight: 1, ..full() };
    assert!(goers(&mut queue, now + 20 * MS, &sent).is_empty());
    assert!(goers(&mut queue, now + 22 * MS, &full()).is_empty());
    assert_eq!(goers(&mut queue, now + 24 * MS, &full()), [second]);
    // No server takes work; the wait is until the first pause ends.
    let paused = WaitEstimate { wait: 30 * MS, places: 0, ..full().estimate };
    let now = Timestamp(500);
    assert!(matches!(queue.submit(now, call_of("c", 0, now), &view(paused)), CallAdmission::Wait { .. }));
    assert!(goers(&mut queue, now + 29 * MS, &view(WaitEstimate { wait: MS, ..paused })).is_empty());
    assert_eq!(goers(&mut queue, now + 30 * MS, &with_free(4)).len(), 1);
}

/// All places look free once a stated load is too old; at many nodes at once that filled the servers.
#[test]
fn one_call_brings_news_after_a_shortage_of_which_nothing_is_known_any_more() {
    let now = Timestamp(1_000);
    let mut queue = queue();
    let long = view(WaitEstimate { wait: OBJECTIVE * 4, ..full().estimate });
    assert_eq!(refusal(queue.submit(now, call_of("a", 0, now), &long)), RefusalReason::TooLate);
    let unknown = |in_flight: u32| {
        let estimate = WaitEstimate { free: 10 - in_flight, age: None, wait: Duration::ZERO, ..full().estimate };
        ServiceView { estimate, in_flight }
    };
    let soon = now + 301 * MS;
    assert_eq!(refusal(queue.submit(soon, call_of("b", 0, soon), &unknown(0))), RefusalReason::TooLate);
    let later = now + 600 * MS;
    assert!(queue.is_short(later), "what looks free is not known to be");
    assert_eq!(queue.submit(later, call_of("c", 0, later), &unknown(0)), CallAdmission::Go);
    assert!(matches!(queue.submit(later, call_of("d", 0, later), &unknown(1)), CallAdmission::Wait { .. }));
    assert_eq!(goers(&mut queue, later + 20 * MS, &with_free(9)).len(), 1, "the answer has come");
}

#[test]
fn what_cannot_be_served_in_time_is_refused_at_once() {
    let now = Timestamp(100);
    let none = view(WaitEstimate { wait: Duration::MAX, work: 20 * MS, ..WaitEstimate::default() });
    assert_eq!(refusal(queue().submit(now, call_of("a", 0, now), &none)), RefusalReason::TooLate);
    let long = view(WaitEstimate { wait: 10 * MS, work: OBJECTIVE - 9 * MS, ..full().estimate });
    assert_eq!(refusal(queue().submit(now, call_of("a", 0, now), &long)), RefusalReason::TooLate);
    // Without an objective the deadline counts.
    let patient = WaitingCall { objective: None, ..call_of("a", 0, now) };
    assert!(matches!(queue().submit(now, patient, &long), CallAdmission::Wait { .. }));
    // Places for a quarter of the objective, one each 2 ms, and no more.
    let mut queue = queue();
    let waits = (0..60).filter(|number| {
        let call = call_of(&number.to_string(), 0, now);
        matches!(queue.submit(now, call, &full()), CallAdmission::Wait { .. })
    });
    let count = waits.count();
    assert!((16..=19).contains(&count), "{count}");
    // One more urgent call takes the place of the last.
    wait(&mut queue, now, WaitingCall { customer: Some("c".into()), ..call_of("urgent", 0, now - MS) });
    let fates = queue.advance(now, &full());
    assert!(matches!(fates[..], [CallFate::Refuse(_, refusal)] if refusal.reason == RefusalReason::Displaced));
}

#[test]
fn the_queue_is_bounded_where_the_work_is_not_known() {
    let now = Timestamp(100);
    let mut queue = queue();
    let paused = view(WaitEstimate { wait: 20 * MS, ..WaitEstimate::default() });
    let most = RoomSettings::default().most_waiting;
    for number in 0..most {
        let admission = queue.submit(now, call_of(&number.to_string(), 0, now), &paused);
        assert!(matches!(admission, CallAdmission::Wait { .. }), "{number}: {admission:?}");
    }
    assert_eq!(refusal(queue.submit(now, call_of("more", 0, now), &paused)), RefusalReason::QueueFull);
}

/// A score call is made until it has an answer, so it only ever waits; clients go before it.
#[test]
fn score_calls_wait_behind_clients_of_their_rank_and_are_not_refused() {
    let now = Timestamp(100);
    let mut queue = queue();
    let score = |id: usize| WaitingCall { kind: CallKind::Score, objective: None, ..call_of(&id.to_string(), 1, now) };
    let scores: Vec<CallNumber> = (0..5).map(|id| wait(&mut queue, now, score(id))).collect();
    let client = wait(&mut queue, now, call_of("client", 1, now));
    let less_urgent = wait(&mut queue, now, call_of("less", 2, now));
    assert_eq!(goers(&mut queue, now, &with_free(2)), [client, scores[0]]);
    let fates = queue.advance(now + OBJECTIVE, &with_free(2));
    let refused = fates.iter().filter_map(|fate| match fate {
        CallFate::Refuse(number, _) => Some(*number),
        CallFate::Go(_) => None,
    });
    assert_eq!(refused.collect::<Vec<_>>(), [less_urgent]);
    let most = RoomSettings::default().most_waiting;
    for id in 0..2 * most {
        wait(&mut queue, now, score(id));
    }
}

/// What one call came to, or none yet.
#[derive(Default)]
struct Ends {
    open: BTreeSet<CallNumber>,
    count: usize,
}

impl Ends {
    fn end(&mut self, number: CallNumber) {
        assert!(self.open.remove(&number), "{number:?} ended twice or never came");
        self.count += 1;
    }
}

/// Whatever comes, leaves or is free when, each call goes, is refused or leaves, and only once.
#[test]
fn each_call_ends_exactly_once() {
    for_seeds(200, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut servers =
            BusyServers::new(random.random_range(1..6), Duration::from_millis(random.random_range(1..40)));
        let mut queue = queue();
        let (mut ends, mut came) = (Ends::default(), 0);
        for ms in 0..600 {
            let now = Timestamp(ms);
            servers.tick(now);
            let view = view(if random.random_ratio(1, 50) {
                WaitEstimate::default()
            } else {
                servers.estimate_of(servers.busy())
            });
            if ms < 400 && random.random_ratio(1, 3) {
                came += 1;
                let kind = if random.random_ratio(1, 5) { CallKind::Score } else { CallKind::Client };
                let mut call = WaitingCall { kind, ..call_of(&ms.to_string(), random.random_range(0..3), now) };
                call.rank.deadline = now + Duration::from_millis(random.random_range(1..200));
                match queue.submit(now, call.clone(), &view) {
                    CallAdmission::Go => {
                        servers.take(call);
                        ends.count += 1;
                    }
                    CallAdmission::Wait { number, .. } => assert!(ends.open.insert(number)),
                    CallAdmission::Refuse(_) => ends.count += 1,
                }
            }
            if random.random_ratio(1, 20)
                && let Some(number) = ends.open.first().copied()
            {
                queue.leave(number);
                ends.end(number);
            }
            for fate in queue.advance(now, &view) {
                match fate {
                    CallFate::Go(number) => {
                        servers.take(call_of("waited", 0, now));
                        queue.settled();
                        ends.end(number);
                    }
                    CallFate::Refuse(number, refusal) => {
                        assert!(refusal.return_after <= Duration::from_millis(200) / 3);
                        ends.end(number);
                    }
                }
            }
            assert_eq!(queue.len(), ends.open.len());
            assert!(queue.next_due().is_none_or(|due| due > now), "something is due still");
        }
        assert_eq!((ends.count, queue.len()), (came, 0));
    });
}
