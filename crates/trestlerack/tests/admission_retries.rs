//! When refused callers return, and how many second attempts there are.

use std::time::Duration;
use trestlerack::process::{AttemptReason, ReturnTimes, RoomSettings, SecondAttempts};
use trestlerack::{Name, Timestamp};

const MS: Duration = Duration::from_millis(1);

/// Time that a caller has left.
const LEFT: Duration = Duration::from_millis(780);

/// Refuses callers at one moment, 30 ms before the queue is expected to be empty.
fn refused_together(count: usize, expected: Option<(Duration, Duration)>) -> Vec<Duration> {
    let (settings, mut returns) = (RoomSettings::default(), ReturnTimes::default());
    let ids = (0..count).map(|number| format!("request-{number}"));
    ids.map(|id| returns.return_after(&settings, Timestamp(1_000), expected, &id, LEFT)).collect()
}

/// Two hundred callers that are refused in one moment would be refused again if they came back in one.
#[test]
fn callers_refused_together_return_over_the_time_that_serving_them_takes() {
    let times = refused_together(200, Some((30 * MS, MS)));
    let mut sorted = times.clone();
    sorted.sort();
    assert!(sorted[0] >= 30 * MS, "none before the queue is empty");
    assert!(*sorted.last().unwrap() <= LEFT / 3);
    for at in (30..230).step_by(10) {
        let within = |time: &&Duration| (at..at + 10).contains(&(time.as_millis() as u64));
        let count = sorted.iter().filter(within).count();
        assert!(count <= 50, "{count} of 200 return within 10 ms, {at} ms later");
    }
    assert_eq!(times, refused_together(200, Some((30 * MS, MS))), "the same each time");
}

#[test]
fn a_single_caller_returns_once_the_queue_is_empty() {
    for time in refused_together(1, Some((30 * MS, MS))) {
        assert!(time >= 30 * MS && time <= 60 * MS, "{time:?}");
    }
}

#[test]
fn nobody_is_told_a_time_past_a_third_of_what_is_left() {
    let (settings, mut returns) = (RoomSettings::default(), ReturnTimes::default());
    for left in [0, 3, 30, 300, 450, 3_000] {
        let left = Duration::from_millis(left);
        for number in 0..100 {
            for expected in [None, Some((100 * MS, 5 * MS)), Some((Duration::MAX, MS))] {
                let id = number.to_string();
                let time = returns.return_after(&settings, Timestamp(1_000), expected, &id, left);
                assert!(time <= left / 3 + MS, "{time:?} of {left:?}");
            }
        }
    }
}

#[test]
fn where_nothing_is_known_the_fixed_time_is_the_least() {
    let times = refused_together(100, None);
    let settings = RoomSettings::default();
    assert!(times.iter().all(|time| (settings.return_time..=LEFT / 3).contains(time)));
    let distinct: std::collections::BTreeSet<u128> = times.iter().map(Duration::as_millis).collect();
    assert!(distinct.len() > 30, "{} moments", distinct.len());
}

/// All servers fail: for 10,000 calls of a customer there are a tenth as many second attempts and the
/// reserve, so attempts over calls stay at 1.1.
#[test]
fn second_attempts_are_a_tenth_of_the_calls_when_everything_fails() {
    let settings = RoomSettings::default();
    let mut second_attempts = SecondAttempts::new(&settings);
    let (customer, route): (Name, Name) = ("c".into(), "r".into());
    let mut attempts = 0;
    for _ in 0..10_000 {
        second_attempts.call(Some(&customer), &route);
        attempts += 1;
        while second_attempts.pay(Some(&customer), &route, AttemptReason::AfterFailure, false) {
            attempts += 1;
        }
    }
    assert!(attempts <= 11_000 + settings.retry_reserve as u32, "{attempts}");
    // The next customer's calls, and those of nobody in particular, have a budget of their own.
    assert!(second_attempts.pay(Some(&"other".into()), &route, AttemptReason::AfterFailure, false));
    assert!(second_attempts.pay(None, &route, AttemptReason::AfterFailure, false));
}

#[test]
fn while_a_service_is_short_no_server_is_added_beside_one_that_works() {
    let mut second_attempts = SecondAttempts::new(&RoomSettings::default());
    let route: Name = "r".into();
    let expected = [
        (AttemptReason::Beside, false, true),
        (AttemptReason::AfterFailure, true, true),
        (AttemptReason::Beside, true, false),
    ];
    for (reason, is_short, is_paid) in expected {
        assert_eq!(second_attempts.pay(None, &route, reason, is_short), is_paid, "{reason:?}, short: {is_short}");
    }
}
