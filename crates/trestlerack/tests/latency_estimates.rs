//! The time after which a response counts as late.

use std::time::Duration;
use trestlerack::process::{BalancerSettings, LatencyEstimates, LoadBalancer};

fn late_threshold_after(answers_ms: &[u64]) -> Option<Duration> {
    let mut balancer = LoadBalancer::new(BalancerSettings::default());
    let service = "scores".into();
    answers_ms.iter().for_each(|ms| balancer.record_latency(&service, Duration::from_millis(*ms)));
    balancer.late_threshold(&service)
}

#[test]
fn there_is_no_late_threshold_before_enough_samples() {
    assert_eq!(late_threshold_after(&[200; 7]), None);
    assert!(late_threshold_after(&[200; 8]).is_some());
}

/// The same service with processing times up to ten times longer and shorter: the threshold scales with them.
#[test]
fn the_late_threshold_scales_with_the_latency_of_the_service() {
    let work = [120, 160, 190, 240, 310, 170, 150, 420, 200, 230];
    for factor in [0.1, 1.0 / 3.0, 1.0, 3.0, 10.0] {
        let answers: Vec<u64> = work.iter().cycle().take(40).map(|ms| (f64::from(*ms) * factor) as u64).collect();
        let threshold = late_threshold_after(&answers).unwrap().as_secs_f64() * 1_000.0 / factor;
        assert!((420.0..1_000.0).contains(&threshold), "{threshold} ms at {factor}");
    }
}

#[test]
fn nearly_constant_latencies_leave_a_margin() {
    assert!(late_threshold_after(&[30; 100]).unwrap() >= Duration::from_millis(59));
}

/// Routes come and go with configurations; those in use are estimated again within a few responses.
#[test]
fn estimates_of_removed_routes_do_not_accumulate() {
    let mut estimates = LatencyEstimates::default();
    for number in 0..5_000 {
        (0..8).for_each(|_| estimates.record(&format!("route-{number}").into(), Duration::from_millis(30)));
    }
    let known = (0..5_000).filter(|number| estimates.late_threshold(&format!("route-{number}")).is_some()).count();
    assert!(known <= 1_024, "{known} names are known");
    assert!(estimates.late_threshold("route-4999").is_some());
}
