//! A non-idempotent call with an idempotency key runs at most once, and a caller that is told "not run"
//! can rely on it.

mod support;

use std::sync::Mutex;
use support::{FakeStore, FaultPlan, SOUND, Scheduler, UNSOUND, count_failures, for_seeds, yield_now};
use trestlerack::request::{IdempotencyDecision, IdempotencyState, IdempotencyStore, idempotency_row_key};
use trestlerack::{Name, Verdict};

const CALLER_COUNT: usize = 4;

/// What is observed outside the system: how often the service ran the call, and the answers to callers.
#[derive(Default)]
struct Observations {
    runs: usize,
    answers: Vec<String>,
    verdicts: Vec<Verdict>,
}

/// One attempt of a caller through some node: claim the key, send the call, record the outcome.
async fn call(store: &FakeStore, observations: &Mutex<Observations>, number: usize) {
    let idempotency_store = IdempotencyStore::new(store);
    let (key, digest): (String, Name) = (idempotency_row_key("kitamura", "records", "wash-1"), "digest".into());
    let attempt: Name = format!("attempt-{number}").into();
    match idempotency_store.begin(&key, &digest, &attempt).await {
        IdempotencyDecision::Send => {}
        IdempotencyDecision::Replay { body, .. } => return observations.lock().unwrap().answers.push(body),
        IdempotencyDecision::Refuse(failure) => return observations.lock().unwrap().verdicts.push(failure.verdict),
        IdempotencyDecision::Claim => panic!("begin resolves a claim to another decision"),
    }
    yield_now().await;
    // One in four calls cannot connect to the service, so nothing is sent.
    if number.is_multiple_of(4) {
        idempotency_store.finish(&key, &attempt, IdempotencyState::after_failure(Verdict::NotRun)).await;
        return observations.lock().unwrap().verdicts.push(Verdict::NotRun);
    }
    observations.lock().unwrap().runs += 1;
    yield_now().await;
    let body = format!("run by {number}");
    let state = IdempotencyState::Answered { status: 200, content_type: "text/plain".into(), body: body.clone() };
    idempotency_store.finish(&key, &attempt, state).await;
    observations.lock().unwrap().answers.push(body);
}

fn run_calls(seed: u64, plan: FaultPlan) {
    let store = FakeStore::new(seed, plan);
    let observations = Mutex::new(Observations::default());
    let mut scheduler = Scheduler::new(seed, 5);
    for number in 0..CALLER_COUNT {
        scheduler.spawn(call(&store, &observations, number));
    }
    scheduler.run();
    // One more attempt after all faults have ended.
    store.heal();
    support::block_on(call(&store, &observations, CALLER_COUNT + 1));
    let observations = observations.into_inner().unwrap();
    assert!(observations.runs <= 1, "ran {} times", observations.runs);
    let first = observations.answers.first();
    assert!(observations.answers.iter().all(|answer| Some(answer) == first), "one answer: {:?}", observations.answers);
    let told_not_run = observations.answers.is_empty()
        && observations.verdicts.len() == CALLER_COUNT + 1
        && observations.verdicts.iter().all(|verdict| *verdict == Verdict::NotRun);
    assert!(!told_not_run || observations.runs == 0, "every caller was told that the call did not run");
}

#[test]
fn a_call_with_an_idempotency_key_runs_at_most_once_under_kills_and_lost_answers() {
    for_seeds(1_000, |seed| run_calls(seed, SOUND));
}

#[test]
fn the_checker_notices_a_store_that_ignores_preconditions() {
    assert!(count_failures(200, |seed| run_calls(seed, UNSOUND)) > 0);
}

#[test]
fn a_key_reused_for_another_request_is_refused_as_not_run() {
    let store = FakeStore::new(1, FaultPlan { percent: 0, ignores_preconditions: false });
    let idempotency_store = IdempotencyStore::new(&store);
    let key = idempotency_row_key("kitamura", "records", "wash-1");
    let first = support::block_on(idempotency_store.begin(&key, &"one".into(), &"a".into()));
    assert_eq!(first, IdempotencyDecision::Send);
    let second = support::block_on(idempotency_store.begin(&key, &"two".into(), &"b".into()));
    assert!(matches!(second, IdempotencyDecision::Refuse(failure) if failure.verdict == Verdict::NotRun));
}

#[test]
fn a_call_claimed_by_a_dead_node_is_never_sent_again() {
    let store = FakeStore::new(1, FaultPlan { percent: 0, ignores_preconditions: false });
    let idempotency_store = IdempotencyStore::new(&store);
    let key = idempotency_row_key("kitamura", "records", "wash-1");
    assert_eq!(support::block_on(idempotency_store.begin(&key, &"one".into(), &"a".into())), IdempotencyDecision::Send);
    let again = support::block_on(idempotency_store.begin(&key, &"one".into(), &"b".into()));
    assert!(matches!(again, IdempotencyDecision::Refuse(failure) if failure.verdict == Verdict::MayHaveRun));
}
