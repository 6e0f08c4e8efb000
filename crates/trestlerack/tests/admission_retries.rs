//! Retry times of refused callers, and the number of second attempts.

use std::time::Duration;
use trestlerack::process::{AdmissionSettings, AttemptReason, RetrySchedule, SecondAttemptBudget};
use trestlerack::{Name, Timestamp};

const MS: Duration = Duration::from_millis(1);

/// Time until the deadline of a caller.
const LEFT: Duration = Duration::from_millis(780);

/// Returns the retry times of `count` callers that are refused at the same moment.
fn refused_together(count: usize, expected: Option<(Duration, Duration)>) -> Vec<Duration> {
    let (settings, mut schedule) = (AdmissionSettings::default(), RetrySchedule::default());
    let ids = (0..count).map(|number| format!("request-{number}"));
    ids.map(|id| schedule.retry_after(&settings, Timestamp(1_000), expected, &id, LEFT)).collect()
}

/// If 200 callers that are refused at one moment all retried at one moment, most would be refused again.
#[test]
fn callers_refused_together_retry_spread_over_the_time_to_serve_them() {
    let times = refused_together(200, Some((30 * MS, MS)));
    let mut sorted = times.clone();
    sorted.sort();
    assert!(sorted[0] >= 30 * MS, "none before the queue is empty");
    assert!(*sorted.last().unwrap() <= LEFT / 3);
    for at in (30..230).step_by(10) {
        let within = |time: &&Duration| (at..at + 10).contains(&(time.as_millis() as u64));
        let count = sorted.iter().filter(within).count();
        assert!(count <= 50, "{count} of 200 retry within 10 ms, {at} ms later");
    }
    assert_eq!(times, refused_together(200, Some((30 * MS, MS))), "the times depend on the ids only");
}

#[test]
fn a_single_caller_retries_once_the_queue_is_empty() {
    for time in refused_together(1, Some((30 * MS, MS))) {
        assert!(time >= 30 * MS && time <= 60 * MS, "{time:?}");
    }
}

#[test]
fn no_retry_time_exceeds_a_third_of_the_time_left() {
    let (settings, mut schedule) = (AdmissionSettings::default(), RetrySchedule::default());
    for left in [0, 3, 30, 300, 450, 3_000] {
        let left = Duration::from_millis(left);
        for number in 0..100 {
            for expected in [None, Some((100 * MS, 5 * MS)), Some((Duration::MAX, MS))] {
                let id = number.to_string();
                let time = schedule.retry_after(&settings, Timestamp(1_000), expected, &id, left);
                assert!(time <= left / 3 + MS, "{time:?} of {left:?}");
            }
        }
    }
}

#[test]
fn an_unknown_service_uses_the_default_as_the_minimum_retry_time() {
    let times = refused_together(100, None);
    let settings = AdmissionSettings::default();
    assert!(times.iter().all(|time| (settings.default_retry_after..=LEFT / 3).contains(time)));
    let distinct: std::collections::BTreeSet<u128> = times.iter().map(Duration::as_millis).collect();
    assert!(distinct.len() > 30, "{} distinct times", distinct.len());
}

/// If all servers fail, second attempts must not multiply the load: 10,000 calls of a customer may cause a
/// tenth as many second attempts plus the reserve.
#[test]
fn second_attempts_are_a_tenth_of_the_calls_when_everything_fails() {
    let settings = AdmissionSettings::default();
    let mut budget = SecondAttemptBudget::new(&settings);
    let (customer, route): (Name, Name) = ("c".into(), "r".into());
    let mut attempts = 0;
    for _ in 0..10_000 {
        budget.record_call(Some(&customer), &route);
        attempts += 1;
        while budget.try_spend(Some(&customer), &route, AttemptReason::Retry, false) {
            attempts += 1;
        }
    }
    assert!(attempts <= 11_000 + settings.retry_reserve as u32, "{attempts}");
    // Calls of another customer, and those without a customer, have budgets of their own.
    assert!(budget.try_spend(Some(&"other".into()), &route, AttemptReason::Retry, false));
    assert!(budget.try_spend(None, &route, AttemptReason::Retry, false));
}

#[test]
fn hedges_are_not_allowed_while_a_service_is_overloaded() {
    let mut budget = SecondAttemptBudget::new(&AdmissionSettings::default());
    let route: Name = "r".into();
    let expected =
        [(AttemptReason::Hedge, false, true), (AttemptReason::Retry, true, true), (AttemptReason::Hedge, true, false)];
    for (reason, is_overloaded, is_allowed) in expected {
        assert_eq!(
            budget.try_spend(None, &route, reason, is_overloaded),
            is_allowed,
            "{reason:?}, overloaded: {is_overloaded}"
        );
    }
}
