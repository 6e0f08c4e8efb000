//! Evidence of how far runs got, and recovery trials of blocked contents.

use bolero::check;
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{
    CrashReport, RecoverySettings, RunEvidence, RunProgress, SuspectSettings, SuspectState, SuspectTracker,
};
use trestlerack::request::{RequestContent, RequestFingerprint};

const NOW: Timestamp = Timestamp(10_000_000);

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestContent { customer: None, host: "h", path: "/x", body: body.as_bytes() }.fingerprint()
}

fn tracker() -> SuspectTracker {
    SuspectTracker::new(SuspectSettings::default())
}

fn calm(now: Timestamp) -> Timestamp {
    now + RecoverySettings::default().calm_time
}

/// Records crashes that cut runs of a content on trial, each on another server.
fn crash_at_points(tracker: &mut SuspectTracker, content: RequestFingerprint, points: &[(u64, u64)]) {
    for (start, (events, position)) in (1_u64..).zip(points) {
        let progress = RunProgress { events: *events, position: *position };
        tracker.record_crash_by_start(NOW, content, start, RunEvidence { is_trial: true, progress });
    }
}

fn is_blocked(tracker: &SuspectTracker, content: RequestFingerprint) -> bool {
    matches!(tracker.state(calm(NOW), content), SuspectState::Blocked(_))
}

/// Guards against prompts that were blocked because crashes of another cause cut their long runs.
#[test]
fn runs_cut_at_different_points_block_nothing() {
    let (mut tracker, content) = (tracker(), fingerprint("long prompt"));
    crash_at_points(&mut tracker, content, &[(27, 26), (55, 54), (70, 69), (28, 97), (42, 96)]);
    assert_eq!(tracker.state(calm(NOW), content), SuspectState::Suspected(2));
}

#[test]
fn runs_cut_at_one_point_block_the_content() {
    let same_events = [(40, 40), (38, 78), (40, 120)];
    let same_position = [(90, 90), (0, 90), (3, 88)];
    for points in [[(0, 0); 3], same_events, same_position] {
        let (mut tracker, content) = (tracker(), fingerprint("fatal"));
        crash_at_points(&mut tracker, content, &points[..2]);
        assert!(!is_blocked(&tracker, content), "{points:?}");
        crash_at_points(&mut tracker, content, &points);
        assert!(is_blocked(&tracker, content), "{points:?}");
    }
}

#[test]
fn a_run_that_gets_further_clears_the_crashes_it_has_passed() {
    let (mut tracker, content) = (tracker(), fingerprint("prompt"));
    crash_at_points(&mut tracker, content, &[(5, 5), (5, 5), (6, 6)]);
    assert!(is_blocked(&tracker, content));
    let pass = |tracker: &mut SuspectTracker, events, position| {
        tracker.record_progress(NOW, content, RunProgress { events, position }).len()
    };
    assert_eq!(pass(&mut tracker, 14, 6), 0, "further in one count only");
    assert_eq!(pass(&mut tracker, 14, 14), 2);
    assert_eq!(tracker.state(calm(NOW), content), SuspectState::Suspected(1));
    assert_eq!(pass(&mut tracker, 30, 30), 1);
    assert_eq!(tracker.state(calm(NOW), content), SuspectState::Clear);
}

/// Nodes that hear of the same crashes in another order agree on what is blocked.
#[test]
fn the_order_of_progress_makes_no_difference() {
    check!().with_type::<Vec<(u8, u8, u8, bool)>>().for_each(|drawn| {
        let (mut left, mut right, content) = (tracker(), tracker(), fingerprint("content"));
        let merge = |tracker: &mut SuspectTracker, (start, events, position, is_trial): &(u8, u8, u8, bool)| {
            let server_start = u64::from(start % 6);
            let report =
                CrashReport { fingerprint: content, server_start, is_trial: *is_trial, is_cleared: false, age_ms: 0 };
            let progress = RunProgress { events: u64::from(*events), position: u64::from(*position) };
            tracker.merge_with_progress(NOW, &report, progress);
        };
        drawn.iter().for_each(|crash| merge(&mut left, crash));
        drawn.iter().rev().for_each(|crash| merge(&mut right, crash));
        assert_eq!(left.statuses(calm(NOW)), right.statuses(calm(NOW)));
    });
}

/// Blocks a content that crashed three servers, beside a crash of another server.
fn blocked_beside_a_crash(tracker: &mut SuspectTracker) -> RequestFingerprint {
    let content = fingerprint("content");
    crash_at_points(tracker, content, &[(0, 0); 3]);
    tracker.record_crash_by_start(NOW, fingerprint("other"), 10, false);
    content
}

#[test]
fn a_content_that_alone_crashes_servers_gets_no_recovery_trial() {
    let (mut tracker, content) = (tracker(), fingerprint("fatal"));
    crash_at_points(&mut tracker, content, &[(0, 0); 3]);
    assert_eq!(tracker.time_to_recovery(calm(NOW), content), None);
    let later = NOW + RecoverySettings::default().doubt_window + Duration::from_secs(1);
    tracker.record_crash_by_start(later, fingerprint("other"), 10, false);
    assert_eq!(tracker.time_to_recovery(calm(later), content), None, "the other crash has nothing to do with these");
}

/// Guards against a fatal content that reaches more servers each time that others crash beside it.
#[test]
fn a_content_that_may_be_harmless_gets_two_recovery_trials() {
    let mut tracker = tracker();
    let content = blocked_beside_a_crash(&mut tracker);
    let mut now = NOW;
    for number in 1..=2 {
        assert_eq!(
            tracker.start_recovery_trial(now + Duration::from_secs(3), content),
            None,
            "a server crashed just now"
        );
        now = calm(now);
        assert_eq!(tracker.start_recovery_trial(now, content), Some(number));
        assert_eq!(tracker.start_recovery_trial(now, content), None, "one trial at a time");
        tracker.record_recovery_trial(now, content, number);
        tracker.record_crash_by_start(now, content, 20 + u64::from(number), true);
        tracker.record_crash_by_start(now, fingerprint("other"), 30 + u64::from(number), false);
    }
    assert_eq!(tracker.time_to_recovery(calm(calm(now)), content), None);
}

/// Guards against a trial that met a server without a process and delayed the next one by seconds.
#[test]
fn a_trial_that_no_server_ran_delays_no_other() {
    let mut tracker = tracker();
    let content = blocked_beside_a_crash(&mut tracker);
    tracker.record_recovery_trial(NOW, content, 1);
    let now = calm(NOW);
    for _ in 0..3 {
        assert_eq!(tracker.start_recovery_trial(now, content), Some(2));
        tracker.record_recovery_trial(now, content, 2);
        assert_eq!(tracker.start_recovery_trial(now, content), None);
        tracker.restore_recovery_trial(content, 2);
    }
}

#[test]
fn trials_used_at_other_nodes_count_until_an_answer() {
    let mut tracker = tracker();
    let content = blocked_beside_a_crash(&mut tracker);
    (1..=2).for_each(|number| tracker.record_recovery_trial(NOW, content, number));
    assert_eq!(tracker.time_to_recovery(calm(NOW), content), None);
    tracker.restore_recovery_trial(content, 1);
    assert_eq!(tracker.start_recovery_trial(calm(NOW), content), Some(1));
}

#[test]
fn recovery_trials_kept_are_bounded() {
    let mut tracker = tracker();
    for number in 0..2_000_u64 {
        tracker.record_recovery_trial(NOW + Duration::from_millis(number), fingerprint(&number.to_string()), 1);
    }
    let kept =
        (0..2_000_u64).filter(|number| !tracker.used_recovery_trials(fingerprint(&number.to_string())).is_empty());
    assert_eq!(kept.count(), SuspectSettings::default().max_suspects);
}
