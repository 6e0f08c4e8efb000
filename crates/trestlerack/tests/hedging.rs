//! Hedged requests: when a second server is asked beside the first.

#[path = "support/load.rs"]
mod load;

use std::time::Duration;
use trestlerack::process::{AdmissionSettings, AttemptReason, LoadBalancer, SecondAttemptBudget};
use trestlerack::{Name, Timestamp};

const TARGET: Duration = Duration::from_millis(150);

fn balancer(reports_slowness: bool) -> LoadBalancer {
    let entries: Vec<_> = (0..2).map(|number| load::plain_server(&format!("i-{number}"), "s", "z", 3)).collect();
    let mut balancer = load::balancer_of(&entries);
    if reports_slowness {
        balancer.record_reported_slowness(Timestamp(0), "i-0", 100);
    }
    balancer
}

fn record_responses(balancer: &mut LoadBalancer, took_ms: impl Iterator<Item = u64>) {
    for (step, ms) in took_ms.enumerate() {
        balancer.record_response(Timestamp(step as u64), "i-0", &"r".into(), Duration::from_millis(ms));
    }
}

#[test]
fn a_service_without_reported_slowness_gets_no_hedged_calls() {
    let mut balancer = balancer(false);
    record_responses(&mut balancer, [40; 50].into_iter());
    assert_eq!(balancer.hedge_delay("s", "r", TARGET), None);
}

/// When the hedge starts, the time until the target is one and a half times the median, plus a tenth of the
/// target for the response to arrive.
#[test]
fn a_hedge_starts_early_enough_to_meet_the_target() {
    for median in [20, 30, 40, 50] {
        let mut balancer = balancer(true);
        record_responses(&mut balancer, [median; 50].into_iter());
        let after = balancer.hedge_delay("s", "r", TARGET).unwrap();
        assert!(after >= Duration::from_millis(median));
        assert!(after + Duration::from_millis(median) <= TARGET, "{after:?} with a median of {median} ms");
    }
}

#[test]
fn a_hedge_never_starts_before_the_median_latency() {
    let mut balancer = balancer(true);
    record_responses(&mut balancer, [120; 50].into_iter());
    assert_eq!(balancer.hedge_delay("s", "r", TARGET), Some(Duration::from_millis(120)));
}

#[test]
fn without_a_target_a_hedge_starts_at_the_p95_latency() {
    let mut balancer = balancer(true);
    assert_eq!(balancer.hedge_delay("s", "r", Duration::ZERO), None, "no latency is known");
    record_responses(&mut balancer, (0..4_000).map(|step| 20 + step * 7 % 100));
    let after = balancer.hedge_delay("s", "r", Duration::ZERO).unwrap().as_millis();
    assert!((100..140).contains(&after), "{after} ms, with latencies from 20 to 120 ms");
}

#[test]
fn without_known_latencies_a_hedge_starts_at_half_of_the_target() {
    assert_eq!(balancer(true).hedge_delay("s", "r", TARGET), Some(Duration::from_millis(75)));
}

#[test]
fn a_full_service_has_no_free_slot_for_hedges() {
    let mut balancer = balancer(true);
    let now = Timestamp(1_000);
    (0..5).for_each(|call| balancer.started(["i-0", "i-1"][call % 2]));
    assert!(balancer.has_free_slot(now, "s"));
    balancer.started("i-1");
    assert!(!balancer.has_free_slot(now, "s"));
}

#[test]
fn hedges_are_limited_to_a_tenth_of_the_calls_plus_a_reserve() {
    let settings = AdmissionSettings::default();
    let (mut budget, route): (_, Name) = (SecondAttemptBudget::new(&settings), "r".into());
    let mut hedges = 0;
    for _ in 0..1_000 {
        budget.record_call(None, &route);
        hedges += usize::from(budget.try_spend(None, &route, AttemptReason::Hedge, false));
    }
    let max_hedges = 100 + settings.retry_reserve as usize;
    assert!((100..=max_hedges).contains(&hedges), "{hedges} of 1,000");
}
