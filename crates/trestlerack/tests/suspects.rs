//! Requests under which servers crash: which contents are blocked, which are not, and how much is kept of them.

use bolero::check;
use std::time::Duration;
use trestlerack::process::{
    CrashReport, ServerEntry, SuspectSettings, SuspectState, SuspectTracker, TrialGrants, server_start,
};
use trestlerack::request::{RequestContent, RequestFingerprint};
use trestlerack::{Name, Timestamp};

const NOW: Timestamp = Timestamp(10_000_000);

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestContent { customer: None, host: "h", path: "/x", body: body.as_bytes() }.fingerprint()
}

fn server(number: u64) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number}").into(),
        started_ms: number,
        service: "plain".into(),
        address: "10.0.0.1:80".into(),
        zone: "z".into(),
        slots: 4,
        is_draining: false,
        cold_left_ms: 0,
        models: Vec::new(),
        heartbeat: 1,
    }
}

fn tracker() -> SuspectTracker {
    SuspectTracker::new(SuspectSettings::default())
}

/// Sends the contents to a server at the same time and crashes it under them.
fn crash_under(tracker: &mut SuspectTracker, now: Timestamp, number: u64, contents: &[RequestFingerprint]) {
    let server = server(number);
    let runs: Vec<_> =
        contents.iter().map(|content| (*content, tracker.begin_run(now, &server.instance, *content))).collect();
    let trials: Vec<bool> =
        runs.iter().map(|(_, run)| run.is_some_and(|run| tracker.is_trial(&server.instance, run))).collect();
    for ((content, run), is_trial) in runs.into_iter().zip(trials) {
        tracker.record_crash(now, content, &server, is_trial);
        if let Some(run) = run {
            tracker.end_run(&server.instance, run);
        }
    }
}

fn merge_all(tracker: &mut SuspectTracker, reports: &[CrashReport]) {
    for report in reports {
        tracker.merge(NOW, report);
    }
}

/// Returns whether a content is blocked once crashes at `NOW` count.
fn is_blocked(tracker: &SuspectTracker, content: RequestFingerprint) -> bool {
    matches!(tracker.state(settled(NOW), content), SuspectState::Blocked(_))
}

fn settled(now: Timestamp) -> Timestamp {
    now + SuspectSettings::default().settle_time
}

#[test]
fn three_crashes_block_a_content_and_fewer_do_not() {
    let (mut tracker, fatal) = (tracker(), fingerprint("fatal"));
    for number in 1..=3 {
        assert!(!is_blocked(&tracker, fatal), "after {} crashes", number - 1);
        crash_under(&mut tracker, NOW, number, &[fatal]);
    }
    assert!(is_blocked(&tracker, fatal));
    let other = fingerprint("other");
    assert_eq!(tracker.state(NOW, other), SuspectState::Clear);
}

/// A crash counts once, no matter how often the content was in progress on the server.
#[test]
fn a_crash_counts_once() {
    let (mut tracker, fatal) = (tracker(), fingerprint("fatal"));
    for _ in 0..5 {
        crash_under(&mut tracker, NOW, 1, &[fatal, fatal]);
    }
    assert_eq!(tracker.state(NOW, fatal), SuspectState::Suspected(1));
}

/// A content that was in progress at every crash of the fatal one has the same crashes. Neither is blocked until a
/// trial, which each makes alone, tells them apart.
#[test]
fn a_bystander_of_every_crash_is_not_blocked() {
    let (mut tracker, fatal, bystander) = (tracker(), fingerprint("fatal"), fingerprint("bystander"));
    for number in 1..=3 {
        crash_under(&mut tracker, NOW, number, &[fatal, bystander]);
    }
    assert!(!is_blocked(&tracker, fatal) && !is_blocked(&tracker, bystander));
    crash_under(&mut tracker, NOW, 4, &[fatal]);
    assert!(!is_blocked(&tracker, bystander), "the fatal content explains its crashes");
    tracker.record_answer(NOW, bystander);
    assert!(is_blocked(&tracker, fatal));
    assert_eq!(tracker.state(NOW, bystander), SuspectState::Clear);
}

/// The node of the bystander knows its crashes at once and receives those of the fatal content from another node a
/// moment later. Until then no other content explains the crashes.
#[test]
fn a_bystander_is_not_blocked_before_the_reports_of_others_arrive() {
    let (mut tracker, fatal, bystander) = (tracker(), fingerprint("fatal"), fingerprint("bystander"));
    for number in 1..=3 {
        crash_under(&mut tracker, NOW, number, &[bystander]);
    }
    let before_settled = NOW + Duration::from_millis(600);
    assert_eq!(tracker.state(before_settled, bystander), SuspectState::Suspected(3));
    for number in 1..=3 {
        tracker.record_crash(before_settled, fatal, &server(number), true);
    }
    assert_eq!(tracker.state(settled(before_settled), bystander), SuspectState::Suspected(3));
    assert_eq!(tracker.time_to_settle(before_settled, fatal), SuspectSettings::default().settle_time);
    assert_eq!(tracker.time_to_settle(settled(before_settled), fatal), Duration::ZERO);
}

#[test]
fn a_suspect_avoids_servers_of_other_suspects() {
    let (mut tracker, fatal, bystander) = (tracker(), fingerprint("fatal"), fingerprint("bystander"));
    crash_under(&mut tracker, NOW, 1, &[fatal, bystander]);
    let busy: Name = "i-2".into();
    let run = tracker.begin_run(NOW, &busy, fatal).unwrap();
    assert_eq!(tracker.servers_with_other_suspects(bystander), std::slice::from_ref(&busy));
    assert!(tracker.servers_with_other_suspects(fatal).is_empty(), "it may run again on the same server");
    assert!(tracker.is_trial(&busy, run));
    let bystander_run = tracker.begin_run(NOW, &busy, bystander).unwrap();
    assert!(!tracker.is_trial(&busy, run) && !tracker.is_trial(&busy, bystander_run), "neither is alone from now on");
    tracker.end_run(&busy, run);
    assert!(!tracker.is_trial(&busy, bystander_run), "it was not alone during the whole run");
}

/// Many servers that crash at once for another reason interrupt all samples of a group.
#[test]
fn simultaneous_crashes_block_nothing_before_a_trial() {
    let (mut tracker, group) = (tracker(), fingerprint("prompt of a group"));
    for number in 1..=6 {
        tracker.record_crash(NOW, group, &server(number), false);
    }
    assert_eq!(tracker.state(NOW, group), SuspectState::Suspected(6));
    tracker.record_answer(NOW, group);
    assert_eq!(tracker.state(NOW, group), SuspectState::Clear);
}

/// Contents that are sent all the time are in progress at most crashes.
#[test]
fn a_content_that_was_just_answered_is_not_suspected() {
    let (mut tracker, frequent) = (tracker(), fingerprint(""));
    tracker.record_answer(NOW, frequent);
    assert!(tracker.record_crash(NOW + Duration::from_secs(9), frequent, &server(1), true).is_none());
    assert!(tracker.record_crash(NOW + Duration::from_secs(11), frequent, &server(2), true).is_some());
}

#[test]
fn a_blocked_content_may_be_sent_again_after_the_retention_time() {
    let (mut tracker, fatal) = (tracker(), fingerprint("fatal"));
    (1..=3).for_each(|number| crash_under(&mut tracker, NOW, number, &[fatal]));
    let SuspectState::Blocked(left) = tracker.state(settled(NOW), fatal) else { panic!("not blocked") };
    let expiry = NOW + SuspectSettings::default().retention;
    assert_eq!(settled(NOW) + left, expiry);
    assert_eq!(tracker.state(expiry, fatal), SuspectState::Clear);
    crash_under(&mut tracker, expiry, 9, &[fingerprint("other")]);
    assert_eq!(tracker.statuses(expiry).len(), 1, "expired contents are forgotten");
}

#[test]
fn service_discovery_resolves_a_broken_connection() {
    let (mut tracker, fatal) = (tracker(), fingerprint("fatal"));
    tracker.record_unresolved(NOW, fatal, &server(1), true);
    assert!(tracker.resolve_server_gone(NOW, &server(2)).is_empty());
    assert_eq!(tracker.resolve_server_gone(NOW, &server(1)).len(), 1);
    assert!(tracker.resolve_server_gone(NOW, &server(1)).is_empty(), "each broken connection counts once");
    tracker.record_unresolved(NOW, fatal, &server(3), true);
    assert!(
        tracker.resolve_server_gone(NOW + Duration::from_secs(6), &server(3)).is_empty(),
        "the connection broke too long ago"
    );
}

/// Many crashes must not exceed the limits, nor displace the content with most crashes.
#[test]
fn tracked_state_is_bounded() {
    let settings = SuspectSettings::default();
    let (mut tracker, fatal) = (tracker(), fingerprint("fatal"));
    (1..=3).for_each(|number| crash_under(&mut tracker, NOW, number, &[fatal]));
    for number in 0..5_000_u64 {
        tracker.record_crash(NOW, fingerprint(&format!("{number}")), &server(10 + number % 7), false);
        tracker.record_crash(NOW, fatal, &server(1_000 + number), true);
        tracker.record_unresolved(NOW, fatal, &server(number), true);
        tracker.record_answer(NOW, fingerprint(&format!("answered {number}")));
    }
    assert!(is_blocked(&tracker, fatal));
    assert_eq!(tracker.statuses(NOW).len(), settings.max_suspects);
    let fatal_reports = tracker.reports(NOW).into_iter().filter(|report| report.fingerprint == fatal).count();
    assert_eq!(fatal_reports, settings.max_crashes);
}

/// Crashes with another cause were attributed to the content and cleared many times. Then it crashes servers
/// itself, for example after a new release of the server.
#[test]
fn cleared_crashes_leave_space_for_new_ones() {
    let (mut tracker, content) = (tracker(), fingerprint("answered before"));
    let answered_grace = SuspectSettings::default().answered_grace;
    let mut now = NOW;
    for number in 0..40 {
        now = now + answered_grace;
        crash_under(&mut tracker, now, number, &[content]);
        tracker.record_answer(now, content);
    }
    for number in 100..103 {
        now = now + answered_grace;
        crash_under(&mut tracker, now, number, &[content]);
    }
    assert!(matches!(tracker.state(settled(now), content), SuspectState::Blocked(_)));
}

/// Nodes reach the same states whatever the order and repetition of the reports.
#[test]
fn the_order_of_reports_makes_no_difference() {
    check!().with_type::<(Vec<(u8, u8, bool, bool)>, u64)>().for_each(|(drawn, seed)| {
        let report = |(content, start, is_trial, is_cleared): &(u8, u8, bool, bool)| CrashReport {
            fingerprint: fingerprint(&format!("{}", content % 4)),
            server_start: server_start(&format!("i-{}", start % 6), 0),
            is_trial: *is_trial,
            is_cleared: *is_cleared,
            age_ms: 0,
        };
        let reports: Vec<CrashReport> = drawn.iter().map(report).collect();
        let mut shuffled = reports.clone();
        shuffled.extend(reports.iter().take(3).copied());
        let len = shuffled.len();
        (1..len).for_each(|place| shuffled.swap(place, (seed.wrapping_mul(place as u64) % len as u64) as usize));
        let (mut left, mut right) = (tracker(), tracker());
        merge_all(&mut left, &reports);
        merge_all(&mut right, &shuffled);
        for content in 0..4 {
            let content = fingerprint(&format!("{content}"));
            assert_eq!(left.state(settled(NOW), content), right.state(settled(NOW), content));
        }
        // A node that missed all reports knows as much after it has merged those that another one keeps.
        let mut late_node = tracker();
        merge_all(&mut late_node, &left.reports(NOW));
        assert_eq!(late_node.statuses(settled(NOW)), left.statuses(settled(NOW)));
    });
}

/// Several contents crash the few servers that are left, so that each explains crashes of the others. Each must be
/// blocked after three crashes, one of them on a trial.
#[test]
fn contents_that_crash_servers_together_are_all_blocked() {
    let mut tracker = tracker();
    let fatal: Vec<RequestFingerprint> = (0..4).map(|number| fingerprint(&format!("fatal {number}"))).collect();
    crash_under(&mut tracker, NOW, 1, &fatal);
    crash_under(&mut tracker, NOW, 2, &fatal);
    for (number, content) in (3_u64..).zip(&fatal) {
        assert!(!is_blocked(&tracker, *content));
        crash_under(&mut tracker, NOW, number, std::slice::from_ref(content));
    }
    assert!(fatal.iter().all(|content| is_blocked(&tracker, *content)));
}

/// A blocked content stays blocked when servers crash under other contents later.
#[test]
fn crashes_of_other_contents_unblock_nothing() {
    let (mut tracker, first, second) = (tracker(), fingerprint("first"), fingerprint("second"));
    (1..=3).for_each(|number| crash_under(&mut tracker, NOW, number, &[first]));
    assert!(is_blocked(&tracker, first));
    for number in 1..=8 {
        tracker.record_crash(NOW, second, &server(number), number > 3);
    }
    assert!(is_blocked(&tracker, first));
}

#[test]
fn a_server_is_granted_to_one_suspect_at_a_time() {
    let (mut trials, server): (TrialGrants, Name) = (TrialGrants::default(), "i-1".into());
    let (first, second) = (fingerprint("first"), fingerprint("second"));
    assert!(trials.grant(NOW, &server, first));
    assert!(trials.grant(NOW, &server, first), "its node asks again after a lost answer");
    assert!(!trials.grant(NOW, &server, second));
    assert!(trials.grant(NOW, &"i-2".into(), second));
    assert!(trials.grant(NOW + Duration::from_secs(1), &server, second));
}
