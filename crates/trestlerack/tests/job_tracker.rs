//! Tests of the job tracker: items get complete, scored texts despite failures of engines and changes of
//! the job's owner.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::request::{
    ItemCheckpoint, ItemEvent, ItemPhase, ItemTranscript, JobItem, JobResult, JobSpec, JobTracker, RunEnd, RunKind,
    ScoreCall, TextDelta, TrackerSettings, TranscriptError,
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

fn tracker(settings: TrackerSettings, recorded: Vec<JobResult>, checkpoints: Vec<ItemCheckpoint>) -> JobTracker {
    let checkpoints: HashMap<Name, ItemCheckpoint> =
        checkpoints.into_iter().map(|item| (item.id.clone(), item)).collect();
    JobTracker::new(spec(), settings, recorded, checkpoints)
}

fn event(number: u64) -> ItemEvent {
    ItemEvent { number, data: format!("e{number}"), version: None }
}

fn transcript(events: u64) -> ItemTranscript {
    let mut transcript = ItemTranscript::default();
    (1..=events).for_each(|number| transcript.append(&event(number), Some(MIN_VERSION), MIN_VERSION).unwrap());
    transcript
}

fn run_to_completion(tracker: &mut JobTracker, index: usize, events: u64) {
    tracker.start(index, &"engine".into());
    let next = tracker.transcript(index).last_event.map_or(1, |last| last + 1);
    (next..next + events)
        .for_each(|number| tracker.append(index, RunKind::Primary, &event(number), Some(MIN_VERSION)).unwrap());
    assert!(tracker.end_run(Timestamp(0), index, RunEnd::Complete));
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
fn items_start_by_estimated_length_and_carried_over_groups_count_double() {
    let fresh = tracker(TrackerSettings::default(), vec![], vec![]);
    assert_eq!(fresh.waiting(Timestamp(0)).collect::<Vec<_>>(), [1, 2, 3, 0]);
    let checkpoint = ItemCheckpoint { id: "b2".into(), transcript: ItemTranscript::default(), is_complete: false };
    let carried = tracker(TrackerSettings::default(), vec![], vec![checkpoint]);
    assert_eq!(carried.waiting(Timestamp(0)).collect::<Vec<_>>(), [2, 1, 3, 0]);
}

#[test]
fn a_broken_run_resumes_at_its_next_event() {
    let mut tracker = tracker(TrackerSettings::default(), vec![], vec![]);
    tracker.start(0, &"engine".into());
    tracker.append(0, RunKind::Primary, &event(1), Some(MIN_VERSION)).unwrap();
    assert!(!tracker.end_run(Timestamp(0), 0, RunEnd::Broken));
    assert!(!tracker.waiting(Timestamp(0)).any(|index| index == 0), "the former engine may still run the item");
    assert!(tracker.waiting(Timestamp(500)).any(|index| index == 0));
    run_to_completion(&mut tracker, 0, 2);
    tracker.record_score(0, Some("signed".into()));
    let results = tracker.take_results(10, 1_000);
    assert_eq!(results, [result("a1", "e1\ne2\ne3")]);
}

#[test]
fn events_out_of_order_too_old_or_without_version_are_rejected() {
    let mut tracker = tracker(TrackerSettings::default(), vec![], vec![]);
    tracker.start(0, &"engine".into());
    assert_eq!(tracker.append(0, RunKind::Primary, &event(2), Some(MIN_VERSION)), Err(TranscriptError::OutOfOrder));
    assert_eq!(tracker.append(0, RunKind::Primary, &event(1), Some(MIN_VERSION - 1)), Err(TranscriptError::TooOld));
    assert_eq!(tracker.append(0, RunKind::Primary, &event(1), None), Err(TranscriptError::NoVersion));
    tracker.append(0, RunKind::Primary, &event(1), Some(MIN_VERSION + 1)).unwrap();
    assert_eq!(tracker.append(0, RunKind::Primary, &event(1), Some(MIN_VERSION)), Err(TranscriptError::OutOfOrder));
    tracker.append(0, RunKind::Primary, &event(2), Some(MIN_VERSION)).unwrap();
    assert_eq!(tracker.transcript(0).versions, [MIN_VERSION, MIN_VERSION + 1]);
}

#[test]
fn a_stream_without_events_does_not_complete_an_item() {
    let mut tracker = tracker(TrackerSettings::default(), vec![], vec![]);
    tracker.start(0, &"engine".into());
    assert!(!tracker.end_run(Timestamp(0), 0, RunEnd::Complete));
    assert_eq!(*tracker.phase(0), ItemPhase::Waiting);
}

#[test]
fn an_item_is_given_up_after_failures_but_not_after_refusals_or_broken_runs() {
    let settings = TrackerSettings { max_failures: 2, ..TrackerSettings::default() };
    let mut tracker = tracker(settings, vec![], vec![]);
    for end in [RunEnd::NotRun, RunEnd::Broken, RunEnd::Failed, RunEnd::NotRun] {
        tracker.start(0, &"engine".into());
        tracker.end_run(Timestamp(0), 0, end);
        assert_eq!(*tracker.phase(0), ItemPhase::Waiting);
    }
    tracker.start(0, &"engine".into());
    tracker.end_run(Timestamp(0), 0, RunEnd::Failed);
    assert_eq!(*tracker.phase(0), ItemPhase::Finished);
    assert!(!tracker.take_results(1, 1)[0].is_completed);
}

#[test]
fn a_single_version_text_is_continued_by_its_version_only() {
    let settings = TrackerSettings { single_version: true, ..TrackerSettings::default() };
    let mut tracker = tracker(settings, vec![], vec![]);
    assert_eq!(tracker.pinned_version(0), None);
    tracker.start(0, &"engine".into());
    tracker.append(0, RunKind::Primary, &event(1), Some(MIN_VERSION)).unwrap();
    let other = tracker.append(0, RunKind::Primary, &event(2), Some(MIN_VERSION + 1));
    assert_eq!(other, Err(TranscriptError::OtherVersion));
    tracker.end_run(Timestamp(0), 0, RunEnd::Broken);
    assert_eq!((tracker.pinned_version(0), tracker.transcript(0).last_event), (Some(MIN_VERSION), Some(1)));
    tracker.start(0, &"engine".into());
    tracker.append(0, RunKind::Primary, &event(2), Some(MIN_VERSION)).unwrap();
    assert!(tracker.end_run(Timestamp(0), 0, RunEnd::Complete));
    assert_eq!(tracker.transcript(0).versions, [MIN_VERSION]);
}

/// Guards against texts of engines that never stop: nobody knows which of their events are the item's.
#[test]
fn a_text_longer_than_any_of_its_item_is_refused() {
    let settings = TrackerSettings { max_text_bytes: 40, ..TrackerSettings::default() };
    let mut by_bytes = tracker(settings, vec![], vec![]);
    by_bytes.start(0, &"engine".into());
    let refused =
        (1..).find(|number| by_bytes.append(0, RunKind::Primary, &event(*number), Some(MIN_VERSION)).is_err());
    assert!(by_bytes.transcript(0).text.len() <= 40 && refused.is_some_and(|number| number > 10), "{refused:?}");
    let mut by_events = tracker(TrackerSettings::default(), vec![], vec![]);
    by_events.start(0, &"engine".into());
    let append =
        |tracker: &mut JobTracker, number| tracker.append(0, RunKind::Primary, &event(number), Some(MIN_VERSION));
    let refused = (1..).find_map(|number| Some((number, append(&mut by_events, number).err()?)));
    // The item declares 100 tokens.
    assert_eq!(refused, Some((401, TranscriptError::TooLong)));
    by_events.discard_run_text(0, RunKind::Primary);
    by_events.end_run(Timestamp(0), 0, RunEnd::Broken);
    assert_eq!((by_events.transcript(0).last_event, by_events.phase(0)), (None, &ItemPhase::Waiting));
}

/// A newer configuration may demand single versions of a job that runs.
#[test]
fn texts_of_several_versions_are_restarted_once_the_settings_demand_a_single_one() {
    let mut mixed = transcript(2);
    mixed.versions = vec![MIN_VERSION, MIN_VERSION + 1];
    let checkpoint = |id: &str| ItemCheckpoint { id: id.into(), transcript: mixed.clone(), is_complete: true };
    let sole = ItemCheckpoint { id: "b2".into(), transcript: transcript(1), is_complete: true };
    let mut tracker =
        tracker(TrackerSettings::default(), vec![], vec![checkpoint("a1"), checkpoint("a2"), checkpoint("b1"), sole]);
    tracker.record_score(1, None);
    let settings = TrackerSettings { single_version: true, ..TrackerSettings::default() };
    assert_eq!(tracker.update_settings(settings.clone()), [0, 2], "an item with a result keeps it");
    tracker.restart(0);
    tracker.restart(2);
    assert_eq!((tracker.phase(0), tracker.transcript(0).last_event), (&ItemPhase::Waiting, None));
    assert_eq!(tracker.update_settings(settings), [] as [usize; 0]);
    assert_eq!(tracker.unscored(), [3]);
    tracker.restart(1);
    assert_eq!(*tracker.phase(1), ItemPhase::Finished);
}

#[test]
fn a_discarded_text_may_start_again_with_another_version() {
    let settings = TrackerSettings { single_version: true, ..TrackerSettings::default() };
    let mut tracker = tracker(settings, vec![], vec![]);
    tracker.start(0, &"engine".into());
    tracker.append(0, RunKind::Primary, &event(1), Some(MIN_VERSION)).unwrap();
    tracker.end_run(Timestamp(0), 0, RunEnd::Broken);
    tracker.discard_text(0);
    assert_eq!((tracker.pinned_version(0), tracker.transcript(0).last_event), (None, None));
    tracker.start(0, &"engine".into());
    tracker.append(0, RunKind::Primary, &event(1), Some(MIN_VERSION + 1)).unwrap();
}

#[test]
fn mixed_version_checkpoints_are_not_used_for_single_version_jobs() {
    let mut mixed = transcript(2);
    mixed.versions = vec![MIN_VERSION, MIN_VERSION + 1];
    let mixed = ItemCheckpoint { id: "a1".into(), transcript: mixed, is_complete: true };
    let sole = ItemCheckpoint { id: "a2".into(), transcript: transcript(1), is_complete: false };
    let settings = TrackerSettings { single_version: true, ..TrackerSettings::default() };
    let tracker = tracker(settings, vec![], vec![mixed, sole]);
    assert_eq!(tracker.transcript(0).last_event, None);
    assert_eq!(tracker.pinned_version(1), Some(MIN_VERSION));
}

#[test]
fn checkpoints_are_used_if_their_versions_are_new_enough() {
    let whole = ItemCheckpoint { id: "a1".into(), transcript: transcript(2), is_complete: true };
    let part = ItemCheckpoint { id: "a2".into(), transcript: transcript(1), is_complete: false };
    let mut old = transcript(1);
    old.versions = vec![MIN_VERSION - 1];
    let old = ItemCheckpoint { id: "b1".into(), transcript: old, is_complete: true };
    let tracker = tracker(TrackerSettings::default(), vec![], vec![whole, part, old]);
    assert_eq!(tracker.unscored(), [0]);
    assert_eq!(tracker.transcript(1).last_event, Some(1));
    assert_eq!(tracker.transcript(2).last_event, None);
    assert_eq!(*tracker.phase(2), ItemPhase::Waiting);
}

/// Guards against a completed result with half of its text, as the bench found it: a node took over a job
/// with a recorded result whose text was partly stored, and checkpointed the partial text as complete.
#[test]
fn a_recorded_result_replaces_a_partial_checkpoint_of_its_item() {
    let half = ItemCheckpoint { id: "a1".into(), transcript: transcript(1), is_complete: false };
    let mut tracker = tracker(TrackerSettings::default(), vec![result("a1", "e1\ne2")], vec![half]);
    let checkpoints = tracker.checkpoints();
    let item = checkpoints.iter().find(|item| &*item.id == "a1").expect("its group is incomplete");
    assert!(item.is_complete);
    assert_eq!(item.transcript.text, "e1\ne2");
    let waiting = checkpoints.iter().find(|item| &*item.id == "a2").expect("its group is incomplete");
    assert!(!waiting.is_complete);
    assert!(tracker.take_results(10, 1_000).is_empty(), "the result is already recorded");
}

#[test]
fn only_incomplete_groups_are_checkpointed() {
    let mut tracker = tracker(TrackerSettings::default(), vec![], vec![]);
    for index in [0, 1, 2] {
        run_to_completion(&mut tracker, index, 2);
        tracker.record_score(index, Some("signed".into()));
    }
    let recorded = tracker.take_results(10, 1_000);
    recorded.iter().for_each(|result| tracker.mark_recorded(&result.id));
    let checkpoints = tracker.checkpoints();
    let names: Vec<(&str, bool)> = checkpoints.iter().map(|item| (&*item.id, item.is_complete)).collect();
    assert_eq!(names, [("b1", true), ("b2", false)]);
    assert!(!tracker.is_complete());
}

#[test]
fn stored_deltas_restore_the_text_up_to_a_gap() {
    let mut tracker = tracker(TrackerSettings::default(), vec![], vec![]);
    tracker.start(0, &"engine".into());
    let mut deltas: Vec<TextDelta> = Vec::new();
    for number in 1..=6 {
        tracker.append(0, RunKind::Primary, &event(number), Some(MIN_VERSION)).unwrap();
        if number % 2 == 0 {
            deltas.extend(tracker.take_unstored(1, 1_000));
        }
    }
    assert_eq!(deltas.len(), 3);
    let mut joined = ItemTranscript::default();
    assert!(deltas.iter().all(|delta| joined.extend(delta)));
    assert_eq!(&joined, tracker.transcript(0));
    let mut gapped = ItemTranscript::default();
    assert!(gapped.extend(&deltas[0]));
    assert!(!gapped.extend(&deltas[2]));
    assert_eq!(gapped.text, "e1\ne2");
}

#[test]
fn a_broken_run_is_retried_after_the_configured_delay() {
    let settings = TrackerSettings { retry_delay: Duration::from_millis(80), ..TrackerSettings::default() };
    let mut tracker = tracker(settings, vec![], vec![]);
    tracker.start(1, &"engine".into());
    tracker.end_run(Timestamp(1_000), 1, RunEnd::Broken);
    assert!(!tracker.waiting(Timestamp(1_079)).any(|index| index == 1));
    assert!(tracker.waiting(Timestamp(1_080)).any(|index| index == 1));
}

#[test]
fn a_speculative_run_completes_its_item_or_is_checkpointed() {
    let newest = MIN_VERSION + 2;
    let mut tracker = tracker(TrackerSettings::default(), vec![], vec![]);
    for index in [0, 1] {
        tracker.start(index, &"old".into());
        tracker.append(index, RunKind::Primary, &event(1), Some(MIN_VERSION)).unwrap();
    }
    let candidates: Vec<usize> = tracker.speculation_candidates(newest).into_iter().map(|(index, _)| index).collect();
    assert_eq!(candidates, [1, 0], "longest estimate first");
    for index in [0, 1] {
        tracker.start_speculative(index, &"new".into());
        tracker.append(index, RunKind::Speculative, &event(1), Some(newest)).unwrap();
    }
    assert!(tracker.speculation_candidates(newest).is_empty());
    assert!(tracker.end_speculative(0, RunEnd::Complete));
    assert_eq!(tracker.transcript(0).versions, [newest]);
    assert_eq!(*tracker.phase(0), ItemPhase::Scoring);
    assert!(!tracker.end_run(Timestamp(0), 0, RunEnd::Complete), "the primary run ends too late");
    assert!(!tracker.end_speculative(1, RunEnd::Broken));
    let checkpoints = tracker.checkpoints();
    let texts: Vec<&[u64]> =
        checkpoints.iter().filter(|item| &*item.id == "a2").map(|item| item.transcript.versions.as_slice()).collect();
    assert_eq!(texts, [&[MIN_VERSION][..], &[newest][..]]);
}

/// The size of an event has no influence on when it is stored, because generating it again takes the same
/// time for any size.
#[test]
fn texts_are_stored_after_a_number_of_events_not_bytes() {
    let mut tracker = tracker(TrackerSettings::default(), vec![], vec![]);
    tracker.start(0, &"engine".into());
    for number in 1..=7 {
        let long = ItemEvent { data: "long ".repeat(1_000), ..event(number) };
        tracker.append(0, RunKind::Primary, &long, Some(MIN_VERSION)).unwrap();
    }
    assert!(tracker.take_unstored(8, 1_000_000).is_empty());
    tracker.append(0, RunKind::Primary, &event(8), Some(MIN_VERSION)).unwrap();
    let deltas = tracker.take_unstored(8, 1_000_000);
    assert_eq!((deltas.len(), deltas[0].after, deltas[0].last_event), (1, None, 8));
    tracker.append(0, RunKind::Primary, &event(9), Some(MIN_VERSION)).unwrap();
    assert!(tracker.take_unstored(8, 1_000_000).is_empty(), "one new event is fewer than eight");
}
