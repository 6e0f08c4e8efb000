//! A job's items reach whole, scored texts whatever their engines and owners do.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::request::{
    ItemEvent, ItemPhase, ItemTranscript, JobItem, JobLedger, JobResult, JobSpec, KeptItem, LedgerSettings, RunEnd,
    RunLane, ScoreCall, TextDelta, TranscriptError,
};
use trestlerack::{Name, Timestamp};

const MIN_VERSION: u64 = 3;

fn item(id: &str, group: &str, length_hint: u64) -> JobItem {
    JobItem {
        id: id.into(),
        group: group.into(),
        path: "/p/1".into(),
        headers: Vec::new(),
        body: "x".into(),
        tokens: 100,
        length_hint: Some(length_hint),
        model: None,
        scorer: Some(ScoreCall {
            id: format!("s-{id}").into(),
            host: "h".into(),
            path: "/s/".into(),
            body: "y".into(),
        }),
    }
}

/// Two groups of two items.
fn spec() -> Arc<JobSpec> {
    let items = vec![item("a1", "a", 10), item("a2", "a", 40), item("b1", "b", 30), item("b2", "b", 20)];
    Arc::new(JobSpec {
        id: "job".into(),
        host: "h".into(),
        path: "/p/".into(),
        step: Some(1),
        model: Some("m".into()),
        min_version: MIN_VERSION,
        target_groups: 2,
        items,
    })
}

fn ledger(settings: LedgerSettings, listed: Vec<JobResult>, kept: Vec<KeptItem>) -> JobLedger {
    let kept: HashMap<Name, KeptItem> = kept.into_iter().map(|item| (item.id.clone(), item)).collect();
    JobLedger::new(spec(), settings, listed, kept)
}

fn event(number: u64) -> ItemEvent {
    ItemEvent { number, data: format!("e{number}"), version: None }
}

fn transcript(events: u64) -> ItemTranscript {
    let mut transcript = ItemTranscript::default();
    (1..=events).for_each(|number| transcript.append(&event(number), Some(MIN_VERSION), MIN_VERSION).unwrap());
    transcript
}

fn run_whole(ledger: &mut JobLedger, index: usize, events: u64) {
    ledger.start(index, &"engine".into());
    let next = ledger.transcript(index).last_event.map_or(1, |last| last + 1);
    (next..next + events)
        .for_each(|number| ledger.append(index, RunLane::Main, &event(number), Some(MIN_VERSION)).unwrap());
    assert!(ledger.end_run(Timestamp(0), index, RunEnd::Whole));
}

fn result(id: &str, text: &str) -> JobResult {
    JobResult {
        id: id.into(),
        is_completed: true,
        text: text.into(),
        versions: vec![MIN_VERSION],
        score: Some("signed".into()),
    }
}

#[test]
fn the_longest_estimate_waits_first_and_carried_groups_count_double() {
    let fresh = ledger(LedgerSettings::default(), vec![], vec![]);
    assert_eq!(fresh.waiting(Timestamp(0)).collect::<Vec<_>>(), [1, 2, 3, 0]);
    let kept = KeptItem { id: "b2".into(), transcript: ItemTranscript::default(), is_whole: false };
    let carried = ledger(LedgerSettings::default(), vec![], vec![kept]);
    assert_eq!(carried.waiting(Timestamp(0)).collect::<Vec<_>>(), [2, 1, 3, 0]);
}

#[test]
fn a_broken_run_goes_on_at_its_next_event() {
    let mut ledger = ledger(LedgerSettings::default(), vec![], vec![]);
    ledger.start(0, &"engine".into());
    ledger.append(0, RunLane::Main, &event(1), Some(MIN_VERSION)).unwrap();
    assert!(!ledger.end_run(Timestamp(0), 0, RunEnd::Broken));
    assert!(!ledger.waiting(Timestamp(0)).any(|index| index == 0), "the engine it left may still work");
    assert!(ledger.waiting(Timestamp(500)).any(|index| index == 0));
    run_whole(&mut ledger, 0, 2);
    ledger.settle(0, Some("signed".into()));
    let results = ledger.take_ready(10, 1_000);
    assert_eq!(results, [result("a1", "e1\ne2\ne3")]);
}

#[test]
fn an_event_that_does_not_follow_or_is_too_old_or_names_no_version_is_not_taken() {
    let mut ledger = ledger(LedgerSettings::default(), vec![], vec![]);
    ledger.start(0, &"engine".into());
    assert_eq!(ledger.append(0, RunLane::Main, &event(2), Some(MIN_VERSION)), Err(TranscriptError::OutOfOrder));
    assert_eq!(ledger.append(0, RunLane::Main, &event(1), Some(MIN_VERSION - 1)), Err(TranscriptError::TooOld));
    assert_eq!(ledger.append(0, RunLane::Main, &event(1), None), Err(TranscriptError::NoVersion));
    ledger.append(0, RunLane::Main, &event(1), Some(MIN_VERSION + 1)).unwrap();
    assert_eq!(ledger.append(0, RunLane::Main, &event(1), Some(MIN_VERSION)), Err(TranscriptError::OutOfOrder));
    ledger.append(0, RunLane::Main, &event(2), Some(MIN_VERSION)).unwrap();
    assert_eq!(ledger.transcript(0).versions, [MIN_VERSION, MIN_VERSION + 1]);
}

#[test]
fn a_stream_without_events_is_not_whole() {
    let mut ledger = ledger(LedgerSettings::default(), vec![], vec![]);
    ledger.start(0, &"engine".into());
    assert!(!ledger.end_run(Timestamp(0), 0, RunEnd::Whole));
    assert_eq!(*ledger.phase(0), ItemPhase::Waiting);
}

#[test]
fn an_item_is_given_up_after_its_failures_and_not_after_refusals() {
    let settings = LedgerSettings { max_failures: 2, ..LedgerSettings::default() };
    let mut ledger = ledger(settings, vec![], vec![]);
    for end in [RunEnd::NotRun, RunEnd::Broken, RunEnd::Failed, RunEnd::NotRun] {
        ledger.start(0, &"engine".into());
        ledger.end_run(Timestamp(0), 0, end);
        assert_eq!(*ledger.phase(0), ItemPhase::Waiting);
    }
    ledger.start(0, &"engine".into());
    ledger.end_run(Timestamp(0), 0, RunEnd::Failed);
    assert_eq!(*ledger.phase(0), ItemPhase::Settled);
    assert!(!ledger.take_ready(1, 1)[0].is_completed);
}

#[test]
fn single_version_texts_go_on_under_their_version_only() {
    let settings = LedgerSettings { single_version: true, ..LedgerSettings::default() };
    let mut ledger = ledger(settings, vec![], vec![]);
    assert_eq!(ledger.pinned_version(0), None);
    ledger.start(0, &"engine".into());
    ledger.append(0, RunLane::Main, &event(1), Some(MIN_VERSION)).unwrap();
    let other = ledger.append(0, RunLane::Main, &event(2), Some(MIN_VERSION + 1));
    assert_eq!(other, Err(TranscriptError::OtherVersion));
    ledger.end_run(Timestamp(0), 0, RunEnd::Broken);
    assert_eq!((ledger.pinned_version(0), ledger.transcript(0).last_event), (Some(MIN_VERSION), Some(1)));
    ledger.start(0, &"engine".into());
    ledger.append(0, RunLane::Main, &event(2), Some(MIN_VERSION)).unwrap();
    assert!(ledger.end_run(Timestamp(0), 0, RunEnd::Whole));
    assert_eq!(ledger.transcript(0).versions, [MIN_VERSION]);
}

#[test]
fn a_text_that_no_engine_can_go_on_with_starts_anew() {
    let settings = LedgerSettings { single_version: true, ..LedgerSettings::default() };
    let mut ledger = ledger(settings, vec![], vec![]);
    ledger.start(0, &"engine".into());
    ledger.append(0, RunLane::Main, &event(1), Some(MIN_VERSION)).unwrap();
    ledger.end_run(Timestamp(0), 0, RunEnd::Broken);
    ledger.restart(0);
    assert_eq!((ledger.pinned_version(0), ledger.transcript(0).last_event), (None, None));
    ledger.start(0, &"engine".into());
    ledger.append(0, RunLane::Main, &event(1), Some(MIN_VERSION + 1)).unwrap();
}

#[test]
fn kept_texts_of_several_versions_are_of_no_use_where_one_is_asked_for() {
    let mut mixed = transcript(2);
    mixed.versions = vec![MIN_VERSION, MIN_VERSION + 1];
    let mixed = KeptItem { id: "a1".into(), transcript: mixed, is_whole: true };
    let sole = KeptItem { id: "a2".into(), transcript: transcript(1), is_whole: false };
    let settings = LedgerSettings { single_version: true, ..LedgerSettings::default() };
    let ledger = ledger(settings, vec![], vec![mixed, sole]);
    assert_eq!(ledger.transcript(0).last_event, None);
    assert_eq!(ledger.pinned_version(1), Some(MIN_VERSION));
}

#[test]
fn texts_of_an_earlier_job_are_used_if_their_versions_fit() {
    let whole = KeptItem { id: "a1".into(), transcript: transcript(2), is_whole: true };
    let part = KeptItem { id: "a2".into(), transcript: transcript(1), is_whole: false };
    let mut old = transcript(1);
    old.versions = vec![MIN_VERSION - 1];
    let old = KeptItem { id: "b1".into(), transcript: old, is_whole: true };
    let ledger = ledger(LedgerSettings::default(), vec![], vec![whole, part, old]);
    assert_eq!(ledger.unscored(), [0]);
    assert_eq!(ledger.transcript(1).last_event, Some(1));
    assert_eq!(ledger.transcript(2).last_event, None);
    assert_eq!(*ledger.phase(2), ItemPhase::Waiting);
}

/// Found by the bench as a completed result with half a text: a node took a job over, found a
/// listed item's text half stored, and left it to the next job as whole.
#[test]
fn a_new_owner_never_leaves_a_half_stored_text_as_whole() {
    let half = KeptItem { id: "a1".into(), transcript: transcript(1), is_whole: false };
    let mut ledger = ledger(LedgerSettings::default(), vec![result("a1", "e1\ne2")], vec![half]);
    let left = ledger.unfinished();
    let item = left.iter().find(|item| &*item.id == "a1").expect("its group is not whole");
    assert!(item.is_whole);
    assert_eq!(item.transcript.text, "e1\ne2");
    let waiting = left.iter().find(|item| &*item.id == "a2").expect("its group is not whole");
    assert!(!waiting.is_whole);
    assert!(ledger.take_ready(10, 1_000).is_empty(), "it is listed already");
}

#[test]
fn only_groups_that_are_not_whole_are_left_to_a_later_job() {
    let mut ledger = ledger(LedgerSettings::default(), vec![], vec![]);
    for index in [0, 1, 2] {
        run_whole(&mut ledger, index, 2);
        ledger.settle(index, Some("signed".into()));
    }
    let listed = ledger.take_ready(10, 1_000);
    listed.iter().for_each(|result| ledger.mark_listed(&result.id));
    let left = ledger.unfinished();
    let names: Vec<(&str, bool)> = left.iter().map(|item| (&*item.id, item.is_whole)).collect();
    assert_eq!(names, [("b1", true), ("b2", false)]);
    assert!(!ledger.is_whole());
}

#[test]
fn stored_deltas_join_to_the_text_and_a_gap_ends_it() {
    let mut ledger = ledger(LedgerSettings::default(), vec![], vec![]);
    ledger.start(0, &"engine".into());
    let mut deltas: Vec<TextDelta> = Vec::new();
    for number in 1..=6 {
        ledger.append(0, RunLane::Main, &event(number), Some(MIN_VERSION)).unwrap();
        if number % 2 == 0 {
            deltas.extend(ledger.take_unstored(1, 1_000));
        }
    }
    assert_eq!(deltas.len(), 3);
    let mut joined = ItemTranscript::default();
    assert!(deltas.iter().all(|delta| joined.extend(delta)));
    assert_eq!(&joined, ledger.transcript(0));
    let mut gapped = ItemTranscript::default();
    assert!(gapped.extend(&deltas[0]));
    assert!(!gapped.extend(&deltas[2]));
    assert_eq!(gapped.text, "e1\ne2");
}

#[test]
fn a_pause_after_a_broken_run_is_as_set() {
    let settings = LedgerSettings { retry_pause: Duration::from_millis(80), ..LedgerSettings::default() };
    let mut ledger = ledger(settings, vec![], vec![]);
    ledger.start(1, &"engine".into());
    ledger.end_run(Timestamp(1_000), 1, RunEnd::Broken);
    assert!(!ledger.waiting(Timestamp(1_079)).any(|index| index == 1));
    assert!(ledger.waiting(Timestamp(1_080)).any(|index| index == 1));
}

#[test]
fn a_second_run_on_newer_weights_is_kept_for_a_later_job_or_wins() {
    let newest = MIN_VERSION + 2;
    let mut ledger = ledger(LedgerSettings::default(), vec![], vec![]);
    for index in [0, 1] {
        ledger.start(index, &"old".into());
        ledger.append(index, RunLane::Main, &event(1), Some(MIN_VERSION)).unwrap();
    }
    let candidates: Vec<usize> = ledger.spare_candidates(newest).into_iter().map(|(index, _)| index).collect();
    assert_eq!(candidates, [1, 0], "the longest estimate first");
    for index in [0, 1] {
        ledger.start_spare(index, &"new".into());
        ledger.append(index, RunLane::Spare, &event(1), Some(newest)).unwrap();
    }
    assert!(ledger.spare_candidates(newest).is_empty());
    assert!(ledger.end_spare(0, RunEnd::Whole));
    assert_eq!(ledger.transcript(0).versions, [newest]);
    assert_eq!(*ledger.phase(0), ItemPhase::Scoring);
    assert!(!ledger.end_run(Timestamp(0), 0, RunEnd::Whole), "the first run comes too late");
    assert!(!ledger.end_spare(1, RunEnd::Broken));
    let kept = ledger.unfinished();
    let texts: Vec<&[u64]> =
        kept.iter().filter(|item| &*item.id == "a2").map(|item| item.transcript.versions.as_slice()).collect();
    assert_eq!(texts, [&[MIN_VERSION][..], &[newest][..]]);
}

/// How long an event is makes no difference to when it is stored: making it again takes the same time.
#[test]
fn texts_are_stored_by_their_events() {
    let mut ledger = ledger(LedgerSettings::default(), vec![], vec![]);
    ledger.start(0, &"engine".into());
    for number in 1..=7 {
        let long = ItemEvent { data: "long ".repeat(1_000), ..event(number) };
        ledger.append(0, RunLane::Main, &long, Some(MIN_VERSION)).unwrap();
    }
    assert!(ledger.take_unstored(8, 1_000_000).is_empty());
    ledger.append(0, RunLane::Main, &event(8), Some(MIN_VERSION)).unwrap();
    let deltas = ledger.take_unstored(8, 1_000_000);
    assert_eq!((deltas.len(), deltas[0].after, deltas[0].last_event), (1, None, 8));
    ledger.append(0, RunLane::Main, &event(9), Some(MIN_VERSION)).unwrap();
    assert!(ledger.take_unstored(8, 1_000_000).is_empty(), "one event more");
}
