//! A keyed non-idempotent call runs at most once, and "not run" means not run.

mod support;

use std::sync::Mutex;
use support::{FakeStore, FaultPlan, SOUND, Scheduler, UNSOUND, count_failures, for_seeds, pause};
use trestlerack::request::{ClaimDecision, ClaimState, ClaimStore, claim_key};
use trestlerack::{Name, Verdict};

const CALLERS: usize = 4;

/// What the outside sees: how often the service ran the call, and what each caller was told.
#[derive(Default)]
struct Outside {
    runs: usize,
    answers: Vec<String>,
    verdicts: Vec<Verdict>,
}

/// One try of the caller through some node: claim, send, end.
async fn call(store: &FakeStore, outside: &Mutex<Outside>, number: usize) {
    let claims = ClaimStore::new(store);
    let (key, digest): (String, Name) = (claim_key("kitamura", "records", "wash-1"), "digest".into());
    let attempt: Name = format!("attempt-{number}").into();
    match claims.begin(&key, &digest, &attempt).await {
        ClaimDecision::Send => {}
        ClaimDecision::Replay { body, .. } => return outside.lock().unwrap().answers.push(body),
        ClaimDecision::Refuse(failure) => return outside.lock().unwrap().verdicts.push(failure.verdict),
        ClaimDecision::Claim => panic!("the store turns a claim into a send or a refusal"),
    }
    pause().await;
    // One in four calls finds the service closed: nothing was sent.
    if number.is_multiple_of(4) {
        claims.finish(&key, &attempt, ClaimState::after_failure(Verdict::NotRun)).await;
        return outside.lock().unwrap().verdicts.push(Verdict::NotRun);
    }
    outside.lock().unwrap().runs += 1;
    pause().await;
    let body = format!("run by {number}");
    let state = ClaimState::Answered { status: 200, content_type: "text/plain".into(), body: body.clone() };
    claims.finish(&key, &attempt, state).await;
    outside.lock().unwrap().answers.push(body);
}

fn run_calls(seed: u64, plan: FaultPlan) {
    let store = FakeStore::new(seed, plan);
    let outside = Mutex::new(Outside::default());
    let mut scheduler = Scheduler::new(seed, 5);
    for number in 0..CALLERS {
        scheduler.spawn(call(&store, &outside, number));
    }
    scheduler.run();
    // The caller tries once more after everything has calmed down.
    store.heal();
    support::block_on(call(&store, &outside, CALLERS + 1));
    let outside = outside.into_inner().unwrap();
    assert!(outside.runs <= 1, "ran {} times", outside.runs);
    let first = outside.answers.first();
    assert!(outside.answers.iter().all(|answer| Some(answer) == first), "one answer: {:?}", outside.answers);
    let told_not_run = outside.answers.is_empty()
        && outside.verdicts.len() == CALLERS + 1
        && outside.verdicts.iter().all(|verdict| *verdict == Verdict::NotRun);
    assert!(!told_not_run || outside.runs == 0, "every caller was told that it did not run");
}

#[test]
fn a_keyed_call_runs_at_most_once_under_kills_and_lost_answers() {
    for_seeds(1_000, |seed| run_calls(seed, SOUND));
}

#[test]
fn the_checker_notices_a_store_that_ignores_preconditions() {
    assert!(count_failures(200, |seed| run_calls(seed, UNSOUND)) > 0);
}

#[test]
fn the_same_key_for_another_request_is_refused_as_not_run() {
    let store = FakeStore::new(1, FaultPlan { percent: 0, ignores_preconditions: false });
    let claims = ClaimStore::new(&store);
    let key = claim_key("kitamura", "records", "wash-1");
    let first = support::block_on(claims.begin(&key, &"one".into(), &"a".into()));
    assert_eq!(first, ClaimDecision::Send);
    let second = support::block_on(claims.begin(&key, &"two".into(), &"b".into()));
    assert!(matches!(second, ClaimDecision::Refuse(failure) if failure.verdict == Verdict::NotRun));
}

#[test]
fn a_claim_whose_node_died_is_never_sent_again() {
    let store = FakeStore::new(1, FaultPlan { percent: 0, ignores_preconditions: false });
    let claims = ClaimStore::new(&store);
    let key = claim_key("kitamura", "records", "wash-1");
    assert_eq!(support::block_on(claims.begin(&key, &"one".into(), &"a".into())), ClaimDecision::Send);
    let again = support::block_on(claims.begin(&key, &"one".into(), &"b".into()));
    assert!(matches!(again, ClaimDecision::Refuse(failure) if failure.verdict == Verdict::MayHaveRun));
}
