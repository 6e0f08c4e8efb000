//! Recovery trials of items, which are owed whatever crashed under them.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{
    OwedSettings, RecoveryRule, RecoverySettings, RunEvidence, RunProgress, SuspectSettings, SuspectState,
    SuspectTracker,
};
use trestlerack::request::{RequestContent, RequestFingerprint};

const NOW: Timestamp = Timestamp(10_000_000);

fn fingerprint(body: &str) -> RequestFingerprint {
    RequestContent { customer: None, host: "h", path: "/x", body: body.as_bytes() }.fingerprint()
}

fn tracker() -> SuspectTracker {
    SuspectTracker::new(SuspectSettings::default())
}

/// Records a crash that cut a run of a content at the beginning, on trial.
fn crash(tracker: &mut SuspectTracker, at: Timestamp, content: RequestFingerprint, server: u64) {
    let evidence = RunEvidence { is_trial: true, progress: RunProgress::default() };
    tracker.record_crash_by_start(at, content, server, evidence);
}

/// Guards against items that wait for ten minutes because their crashes look like those of a request that crashes
/// servers. Requests do wait.
#[test]
fn a_content_that_was_cut_at_one_point_alone_is_tried_again_as_an_item_only() {
    let (mut tracker, content) = (tracker(), fingerprint("prompt"));
    (1..=3).for_each(|server| crash(&mut tracker, NOW, content, server));
    let retry_time = OwedSettings::default().retry_time;
    let settled = NOW + Duration::from_secs(1);
    assert!(matches!(tracker.state(settled, content), SuspectState::Blocked(_)));
    assert_eq!(tracker.time_to_trial(settled, content, RecoveryRule::Limited), None);
    let wait = tracker.time_to_trial(settled, content, RecoveryRule::Owed);
    assert_eq!(wait, Some(retry_time - Duration::from_secs(1)));
    assert_eq!(tracker.start_trial(NOW + retry_time / 2, content, RecoveryRule::Owed), None);
    assert_eq!(tracker.start_trial(NOW + retry_time, content, RecoveryRule::Owed), Some(1));
    tracker.record_recovery_trial(NOW + retry_time, content, 1);
    tracker.record_answer(NOW + retry_time, content);
    assert_eq!(tracker.state(NOW + retry_time, content), SuspectState::Clear);
}

/// Servers crash under an item, and beside it, at random for any time. It is at an engine again within the longest time
/// that the rules allow, however many trials were cut, and trials never come faster than they may.
#[test]
fn an_item_is_tried_again_after_any_crashes() {
    let settings = OwedSettings::default();
    let shortest = RecoverySettings::default().trial_interval;
    for seed in 0..100 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut tracker, content) = (tracker(), fingerprint("prompt"));
        (1..=3).for_each(|server| crash(&mut tracker, NOW, content, server));
        let (mut now, mut last_crash, mut last_trial) = (NOW, NOW, None);
        let mut server = 3;
        for _ in 0..random.random_range(1..8) {
            let wait = loop {
                now = now + Duration::from_millis(100);
                if random.random_ratio(1, 60) {
                    server += 1;
                    tracker.record_crash_by_start(now, fingerprint("other"), server, false);
                }
                let is_blocked = matches!(tracker.state(now, content), SuspectState::Blocked(_));
                let number = tracker.start_trial(now, content, RecoveryRule::Owed);
                if let Some(number) = number {
                    tracker.record_recovery_trial(now, content, number);
                }
                if number.is_some() || !is_blocked && now.since(last_crash) > Duration::from_secs(1) {
                    break now.since(last_crash);
                }
                assert!(now.since(last_crash) <= settings.max_retry_time, "seed {seed}: no trial");
            };
            assert!(wait <= settings.max_retry_time, "seed {seed}: {wait:?}");
            if let Some(last_trial) = last_trial {
                assert!(now.since(last_trial) >= shortest, "seed {seed}: trials {:?} apart", now.since(last_trial));
            }
            last_trial = Some(now);
            server += 1;
            now = now + Duration::from_millis(50);
            crash(&mut tracker, now, content, server);
            last_crash = now;
        }
    }
}

/// An item that does crash its servers takes few of them: the time between its trials doubles up to a minute.
#[test]
fn trials_of_an_item_that_crashes_servers_become_rare() {
    let (mut tracker, content) = (tracker(), fingerprint("fatal"));
    (1..=3).for_each(|server| crash(&mut tracker, NOW, content, server));
    let (mut trials, mut server) = (Vec::new(), 3);
    for second in 0..300 {
        let now = NOW + Duration::from_secs(second);
        if let Some(number) = tracker.start_trial(now, content, RecoveryRule::Owed) {
            tracker.record_recovery_trial(now, content, number);
            server += 1;
            crash(&mut tracker, now, content, server);
            trials.push(second);
        }
    }
    assert_eq!(trials, [8, 16, 32, 64, 128, 192, 256]);
}
