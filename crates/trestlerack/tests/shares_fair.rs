//! Max-min fair shares, the throttle of calls, the selection of the aggregator, and usage reports that are late,
//! duplicate or lost.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use trestlerack::process::{
    AggregatorSelector, CallThrottle, CustomerUsage, ServiceShares, ShareAggregator, ShareDecision, ShareDemand,
    ShareLimiter, ShareSettings, fair_shares,
};
use trestlerack::{Name, Timestamp};

fn demand(weight: u32, requested: f64) -> ShareDemand {
    ShareDemand { weight, requested }
}

#[test]
fn unused_capacity_goes_to_other_customers() {
    let shares = fair_shares(100.0, &[demand(1, 10.0), demand(1, 200.0), demand(1, 40.0)]);
    assert_eq!(shares, [10.0, 50.0, 40.0]);
    assert_eq!(fair_shares(100.0, &[demand(3, 900.0), demand(1, 900.0)]), [75.0, 25.0]);
    assert_eq!(fair_shares(100.0, &[demand(0, 30.0), demand(1, 60.0)]), [30.0, 60.0]);
    assert!(fair_shares(100.0, &[]).is_empty());
}

#[test]
fn either_all_capacity_is_allocated_or_every_demand_is_met() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..2_000 {
        let count = random.random_range(1..40);
        let demands: Vec<ShareDemand> =
            (0..count).map(|_| demand(random.random_range(0..5), random.random_range(0.0..100.0))).collect();
        let capacity = random.random_range(0.0..1_500.0);
        let shares = fair_shares(capacity, &demands);
        let (allocated, requested): (f64, f64) =
            (shares.iter().sum(), demands.iter().map(|demand| demand.requested).sum());
        assert!((allocated - capacity.min(requested)).abs() < 1e-6, "{allocated} of {capacity} for {requested}");
        // No customer with unmet demand has a smaller share by weight than another one.
        let share_per_weight = |index: usize| shares[index] / f64::from(demands[index].weight.max(1));
        let unsatisfied = (0..count).filter(|index| shares[*index] < demands[*index].requested - 1e-6);
        for customer in unsatisfied {
            assert!((0..count).all(|other| share_per_weight(other) <= share_per_weight(customer) + 1e-6));
        }
    }
}

#[test]
fn a_fraction_of_calls_is_admitted_evenly() {
    let mut throttle = CallThrottle::new("n", "c", 0.3);
    let admitted: Vec<bool> = (0..1_000).map(|_| throttle.admit()).collect();
    for start in 0..900 {
        let count = admitted[start..start + 100].iter().filter(|is_admitted| **is_admitted).count();
        assert!((29..=31).contains(&count), "{count} of 100 from {start}");
    }
}

#[test]
fn first_calls_at_many_nodes_are_admitted_by_the_same_fraction() {
    let throttles = (0..1_000).map(|node| CallThrottle::new(&format!("n{node}"), "c", 0.3));
    let admitted = throttles.filter(|throttle| throttle.clone().admit()).count();
    assert!((260..=340).contains(&admitted), "{admitted} of 1000");
}

#[test]
fn the_next_node_aggregates_after_two_unanswered_requests() {
    let nodes: Vec<Name> = (0..9).map(|node| format!("n{node}").into()).collect();
    let mut selector = AggregatorSelector::default();
    let at = |ms: u64| Timestamp(10_000 + ms);
    let first = selector.select(at(0), "s", nodes.clone()).unwrap();
    let mut reversed = nodes.clone();
    reversed.reverse();
    assert_eq!(selector.select(at(0), "s", reversed).as_ref(), Some(&first), "all nodes select the same one");
    assert!(!selector.record_timeout(at(0), &first));
    assert_eq!(selector.select(at(1), "s", nodes.clone()).as_ref(), Some(&first), "a single message may be lost");
    assert!(selector.record_timeout(at(500), &first));
    let next = selector.select(at(501), "s", nodes.clone()).unwrap();
    assert_ne!(next, first);
    assert_eq!(selector.select(at(10_500), "s", nodes.clone()).as_ref(), Some(&first), "the node is tried again");
    selector.record_answer(&first);
    assert!(!selector.record_timeout(at(10_600), &first));
}

#[test]
fn only_customers_over_their_share_are_limited() {
    let (service, now) = (Name::from("s"), Timestamp(10_000));
    let mut limiter = ShareLimiter::new(ShareSettings::default(), "n".into(), 1);
    let fractions = vec![("large".into(), 0.25), ("wrong".into(), f32::NAN), ("worse".into(), -1.0)];
    assert!(limiter.apply_shares(
        now,
        ServiceShares { service: service.clone(), fractions, age_ms: 0, requested_ms_per_second: 0 }
    ));
    let mut admit = |now, customer: &str| {
        let decision = limiter.admit(now, &service, &customer.into(), 1);
        matches!(decision, ShareDecision::Admitted(_))
    };
    let admitted = (0..100).filter(|_| admit(now, "large")).count();
    assert!((24..=26).contains(&admitted), "{admitted}");
    assert!((0..100).all(|_| admit(now, "small") && admit(now, "wrong") && admit(now, "worse")));
    let later = now + Duration::from_millis(2_001);
    assert!((0..100).all(|_| admit(later, "large")), "shares are valid for two seconds");
}

/// One node reports the calls of two customers to an aggregator in messages that are lost, late, duplicated and
/// reordered. The service serves all but a few calls, so nobody may be limited.
#[test]
fn lost_and_late_messages_limit_nobody_while_there_is_capacity() {
    for seed in 0..40 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (service, mut now) = (Name::from("s"), Timestamp(1_000_000));
        let mut limiter = ShareLimiter::new(ShareSettings::default(), "n".into(), 77);
        let mut aggregator = ShareAggregator::new(ShareSettings::default());
        let mut in_flight: Vec<(Timestamp, Vec<CustomerUsage>)> = Vec::new();
        for _ in 0..80 {
            now = now + Duration::from_millis(100);
            for customer in ["a", "b", "b", "b"] {
                match limiter.admit(now, &service, &customer.into(), 1) {
                    ShareDecision::Admitted(call) if random.random_bool(0.99) => limiter.record_served(&call, None),
                    ShareDecision::Admitted(_) => limiter.record_overload(now, &service),
                    ShareDecision::OverShare(_) => panic!("seed {seed}: {customer} is refused"),
                }
            }
            let usage = limiter.unreported_usage(now, &service, &"aggregator".into());
            for _ in 0..random.random_range(0..3) {
                in_flight.push((now + Duration::from_millis(random.random_range(0..1_500)), usage.clone()));
            }
            let (due, remaining) = in_flight.into_iter().partition(|(at, _)| *at <= now);
            in_flight = remaining;
            let due: Vec<(Timestamp, Vec<CustomerUsage>)> = due;
            for (_, usage) in due {
                let shares = aggregator.add_usage(now, &"n".into(), &usage);
                if random.random_bool(0.7) {
                    limiter.acknowledge(now, &usage);
                }
                shares.into_iter().for_each(|shares| _ = limiter.apply_shares(now, shares));
            }
        }
    }
}
