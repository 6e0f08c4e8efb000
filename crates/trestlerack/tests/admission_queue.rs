//! Individual decisions of the admission queue of a service.

mod support;

#[path = "support/admission.rs"]
mod admission;

use admission::{CALLER_TIMEOUT, SimulatedServers, TARGET_LATENCY, client_call};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::time::Duration;
use support::for_seeds;
use trestlerack::Timestamp;
use trestlerack::process::{
    AdmissionDecision, AdmissionQueue, AdmissionSettings, CallKind, QueuedCallId, RefusalReason, ServiceLoad,
    WaitEstimate, WaitOutcome, WaitingCall,
};

const MS: Duration = Duration::from_millis(1);

/// Ten slots with a service time of 20 ms, all taken: one becomes free every 2 ms.
fn full_service() -> ServiceLoad {
    load_of(WaitEstimate { wait: 2 * MS, service_time: 20 * MS, slots: 10, free_slots: 0, load_age: Some(5 * MS) })
}

fn load_of(estimate: WaitEstimate) -> ServiceLoad {
    ServiceLoad { estimate, in_flight: 0 }
}

fn with_free(free_slots: u32) -> ServiceLoad {
    load_of(WaitEstimate { wait: Duration::ZERO, free_slots, ..full_service().estimate })
}

fn queue() -> AdmissionQueue {
    AdmissionQueue::new(AdmissionSettings::default())
}

fn enqueue(queue: &mut AdmissionQueue, now: Timestamp, call: WaitingCall) -> QueuedCallId {
    match queue.submit(now, call, &full_service()) {
        AdmissionDecision::Wait { id, .. } => id,
        other => panic!("{other:?}"),
    }
}

fn admitted(queue: &mut AdmissionQueue, now: Timestamp, load: &ServiceLoad) -> Vec<QueuedCallId> {
    let outcomes = queue.advance(now, load).into_iter();
    outcomes.filter_map(|outcome| if let WaitOutcome::Admit(id) = outcome { Some(id) } else { None }).collect()
}

fn refusal_reason(decision: AdmissionDecision) -> RefusalReason {
    match decision {
        AdmissionDecision::Refuse(refusal) => refusal.reason,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_call_is_admitted_immediately_if_a_slot_is_free() {
    let mut queue = queue();
    for number in 0..100 {
        let call = client_call(&number.to_string(), 9, Timestamp(number));
        assert_eq!(queue.submit(Timestamp(number), call, &with_free(1)), AdmissionDecision::Admit);
    }
    assert!(queue.is_empty());
}

/// Between its admission and its arrival at a server, a call is not part of the load that servers report. Its
/// slot must not be given to another call meanwhile.
#[test]
fn a_free_slot_is_given_to_the_first_call_only() {
    let now = Timestamp(100);
    let mut queue = queue();
    let late = enqueue(&mut queue, now, client_call("late", 5, now));
    let urgent = enqueue(&mut queue, now, client_call("urgent", 0, now));
    let mut over_share = client_call("over", 0, now);
    over_share.rank.is_over_share = true;
    let over_share = enqueue(&mut queue, now, over_share);
    assert_eq!(admitted(&mut queue, now, &with_free(1)), [urgent]);
    assert!(admitted(&mut queue, now, &with_free(1)).is_empty(), "the slot is reserved until the dispatch finishes");
    queue.finish_dispatch();
    assert_eq!(admitted(&mut queue, now, &with_free(2)), [over_share, late]);
}

/// A caller that was refused before has an earlier deadline than new callers of its priority.
#[test]
fn a_retrying_caller_is_admitted_before_new_callers_of_its_priority() {
    let now = Timestamp(1_000);
    let mut queue = queue();
    let new = enqueue(&mut queue, now, client_call("new", 1, now));
    let mut retrying = client_call("retrying", 1, now);
    retrying.rank.deadline = now + CALLER_TIMEOUT - 160 * MS;
    let retrying = enqueue(&mut queue, now, retrying);
    let more_urgent = enqueue(&mut queue, now, client_call("urgent", 0, now));
    assert_eq!(admitted(&mut queue, now, &with_free(3)), [more_urgent, retrying, new]);
}

/// A node without calls of its own at the servers does not learn when a slot becomes free.
#[test]
fn calls_are_admitted_when_a_slot_is_expected() {
    let now = Timestamp(100);
    let mut queue = queue();
    let first = enqueue(&mut queue, now, client_call("a", 0, now));
    let second = enqueue(&mut queue, now, client_call("b", 0, now));
    assert_eq!(queue.next_due(), Some(now + 2 * MS));
    assert!(admitted(&mut queue, now + MS, &full_service()).is_empty());
    assert_eq!(admitted(&mut queue, now + 2 * MS, &full_service()), [first]);
    queue.finish_dispatch();
    // The response to this node's call reports the load, unless it is overdue.
    let with_call = ServiceLoad { in_flight: 1, ..full_service() };
    assert!(admitted(&mut queue, now + 20 * MS, &with_call).is_empty());
    assert!(admitted(&mut queue, now + 22 * MS, &full_service()).is_empty());
    assert_eq!(admitted(&mut queue, now + 24 * MS, &full_service()), [second]);
    // No server is available; the wait is the time until the first pause ends.
    let paused = WaitEstimate { wait: 30 * MS, slots: 0, ..full_service().estimate };
    let now = Timestamp(500);
    assert!(matches!(queue.submit(now, client_call("c", 0, now), &load_of(paused)), AdmissionDecision::Wait { .. }));
    assert!(admitted(&mut queue, now + 29 * MS, &load_of(WaitEstimate { wait: MS, ..paused })).is_empty());
    assert_eq!(admitted(&mut queue, now + 30 * MS, &with_free(4)).len(), 1);
}

/// All slots look free once the load reports have expired. When many nodes took them at once, they filled the
/// servers.
#[test]
fn after_load_reports_expire_during_overload_one_call_is_admitted_to_renew_them() {
    let now = Timestamp(1_000);
    let mut queue = queue();
    let long = load_of(WaitEstimate { wait: TARGET_LATENCY * 4, ..full_service().estimate });
    assert_eq!(refusal_reason(queue.submit(now, client_call("a", 0, now), &long)), RefusalReason::TooLate);
    let unknown = |in_flight: u32| {
        let estimate = WaitEstimate {
            free_slots: 10 - in_flight,
            load_age: None,
            wait: Duration::ZERO,
            ..full_service().estimate
        };
        ServiceLoad { estimate, in_flight }
    };
    let soon = now + 301 * MS;
    assert_eq!(refusal_reason(queue.submit(soon, client_call("b", 0, soon), &unknown(0))), RefusalReason::TooLate);
    let later = now + 600 * MS;
    assert!(queue.is_overloaded(later), "slots that look free are not known to be");
    assert_eq!(queue.submit(later, client_call("c", 0, later), &unknown(0)), AdmissionDecision::Admit);
    assert!(matches!(queue.submit(later, client_call("d", 0, later), &unknown(1)), AdmissionDecision::Wait { .. }));
    assert_eq!(admitted(&mut queue, later + 20 * MS, &with_free(9)).len(), 1, "the response has arrived");
}

#[test]
fn a_call_that_cannot_be_served_in_time_is_refused_immediately() {
    let now = Timestamp(100);
    let none = load_of(WaitEstimate { wait: Duration::MAX, service_time: 20 * MS, ..WaitEstimate::default() });
    assert_eq!(refusal_reason(queue().submit(now, client_call("a", 0, now), &none)), RefusalReason::TooLate);
    let long =
        load_of(WaitEstimate { wait: 10 * MS, service_time: TARGET_LATENCY - 9 * MS, ..full_service().estimate });
    assert_eq!(refusal_reason(queue().submit(now, client_call("a", 0, now), &long)), RefusalReason::TooLate);
    // Without a target latency only the deadline counts.
    let patient = WaitingCall { target_latency: None, ..client_call("a", 0, now) };
    assert!(matches!(queue().submit(now, patient, &long), AdmissionDecision::Wait { .. }));
    // Only as many calls wait as get a slot within a quarter of the target latency, at one slot per 2 ms.
    let mut queue = queue();
    let waits = (0..60).filter(|number| {
        let call = client_call(&number.to_string(), 0, now);
        matches!(queue.submit(now, call, &full_service()), AdmissionDecision::Wait { .. })
    });
    let count = waits.count();
    assert!((16..=19).contains(&count), "{count}");
    // A more urgent call displaces the last one.
    enqueue(&mut queue, now, WaitingCall { customer: Some("c".into()), ..client_call("urgent", 0, now - MS) });
    let outcomes = queue.advance(now, &full_service());
    assert!(matches!(outcomes[..], [WaitOutcome::Refuse(_, refusal)] if refusal.reason == RefusalReason::Displaced));
}

#[test]
fn the_queue_is_bounded_if_the_service_time_is_unknown() {
    let now = Timestamp(100);
    let mut queue = queue();
    let paused = load_of(WaitEstimate { wait: 20 * MS, ..WaitEstimate::default() });
    let max_waiting = AdmissionSettings::default().max_waiting;
    for number in 0..max_waiting {
        let decision = queue.submit(now, client_call(&number.to_string(), 0, now), &paused);
        assert!(matches!(decision, AdmissionDecision::Wait { .. }), "{number}: {decision:?}");
    }
    assert_eq!(refusal_reason(queue.submit(now, client_call("more", 0, now), &paused)), RefusalReason::QueueFull);
}

/// A score call is repeated until it succeeds, so refusing it is of no use: it always waits, behind the clients.
#[test]
fn score_calls_wait_behind_clients_of_their_priority_and_are_not_refused() {
    let now = Timestamp(100);
    let mut queue = queue();
    let score =
        |id: usize| WaitingCall { kind: CallKind::Score, target_latency: None, ..client_call(&id.to_string(), 1, now) };
    let scores: Vec<QueuedCallId> = (0..5).map(|id| enqueue(&mut queue, now, score(id))).collect();
    let client = enqueue(&mut queue, now, client_call("client", 1, now));
    let less_urgent = enqueue(&mut queue, now, client_call("less", 2, now));
    assert_eq!(admitted(&mut queue, now, &with_free(2)), [client, scores[0]]);
    let outcomes = queue.advance(now + TARGET_LATENCY, &with_free(2));
    let refused = outcomes.iter().filter_map(|outcome| match outcome {
        WaitOutcome::Refuse(id, _) => Some(*id),
        WaitOutcome::Admit(_) => None,
    });
    assert_eq!(refused.collect::<Vec<_>>(), [less_urgent]);
    let max_waiting = AdmissionSettings::default().max_waiting;
    for id in 0..2 * max_waiting {
        enqueue(&mut queue, now, score(id));
    }
}

/// Queued calls without an outcome, and the number of calls with one.
#[derive(Default)]
struct CallEnds {
    waiting: BTreeSet<QueuedCallId>,
    count: usize,
}

impl CallEnds {
    fn end(&mut self, id: QueuedCallId) {
        assert!(self.waiting.remove(&id), "{id:?} ended twice or was never queued");
        self.count += 1;
    }
}

/// Random arrivals, cancellations and loads. A call that is forgotten leaves its caller waiting, and one that
/// ends twice runs twice, so each call must be admitted, refused or cancelled exactly once.
#[test]
fn each_call_ends_exactly_once() {
    for_seeds(200, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut servers =
            SimulatedServers::new(random.random_range(1..6), Duration::from_millis(random.random_range(1..40)));
        let mut queue = queue();
        let (mut ends, mut arrivals) = (CallEnds::default(), 0);
        for ms in 0..600 {
            let now = Timestamp(ms);
            servers.tick(now);
            let load = load_of(if random.random_ratio(1, 50) {
                WaitEstimate::default()
            } else {
                servers.estimate_for(servers.call_count())
            });
            if ms < 400 && random.random_ratio(1, 3) {
                arrivals += 1;
                let kind = if random.random_ratio(1, 5) { CallKind::Score } else { CallKind::Client };
                let mut call = WaitingCall { kind, ..client_call(&ms.to_string(), random.random_range(0..3), now) };
                call.rank.deadline = now + Duration::from_millis(random.random_range(1..200));
                match queue.submit(now, call.clone(), &load) {
                    AdmissionDecision::Admit => {
                        servers.accept(call);
                        ends.count += 1;
                    }
                    AdmissionDecision::Wait { id, .. } => assert!(ends.waiting.insert(id)),
                    AdmissionDecision::Refuse(_) => ends.count += 1,
                }
            }
            if random.random_ratio(1, 20)
                && let Some(id) = ends.waiting.first().copied()
            {
                queue.remove(id);
                ends.end(id);
            }
            for outcome in queue.advance(now, &load) {
                match outcome {
                    WaitOutcome::Admit(id) => {
                        servers.accept(client_call("waited", 0, now));
                        queue.finish_dispatch();
                        ends.end(id);
                    }
                    WaitOutcome::Refuse(id, refusal) => {
                        assert!(refusal.retry_after <= Duration::from_millis(200) / 3);
                        ends.end(id);
                    }
                }
            }
            assert_eq!(queue.len(), ends.waiting.len());
            assert!(queue.next_due().is_none_or(|due| due > now), "a deadline has passed without effect");
        }
        assert_eq!((ends.count, queue.len()), (arrivals, 0));
    });
}
