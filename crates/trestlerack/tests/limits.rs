//! Per-user rate limits over all nodes, retry budgets, outlier ejection and the sample spool.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use support::for_seeds;
use trestlerack::process::{OutlierDetector, OutlierSettings, RetryBudget, SampleSpool, SpoolSettings, UserLimiter};
use trestlerack::request::{ResumeDecision, ResumePolicy, decide_resume};
use trestlerack::verdict::Reason;
use trestlerack::{Failure, Name, Timestamp};

#[test]
fn the_rate_limit_of_a_user_holds_over_all_nodes() {
    for_seeds(50, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (nodes, limit) = (9, 90);
        let mut limiters = vec![UserLimiter::default(); nodes];
        let user: Name = "kitamura".into();
        let mut admitted = 0;
        for millis in 0..10_000 {
            let node = random.random_range(0..nodes);
            let decision = limiters[node].admit(Timestamp(millis), &user, limit, nodes);
            admitted += usize::from(decision.is_ok());
            if let Err(wait) = decision {
                assert!(wait > Duration::ZERO && wait <= Duration::from_secs(1));
            }
        }
        let burst = limit as usize;
        assert!(admitted <= 10 * limit as usize + burst, "{admitted} calls in ten seconds");
        assert!(admitted >= 9 * limit as usize, "{admitted} calls: an even load reaches its limit");
    });
}

#[test]
fn retries_are_limited_to_a_fraction_of_first_attempts_when_everything_fails() {
    let mut budget = RetryBudget::new(0.2, 20.0);
    let (user, service): (Name, Name) = ("kitamura".into(), "records".into());
    let mut sent = 0;
    for _ in 0..10_000 {
        budget.earn(&user, &service);
        sent += 1;
        while budget.spend(&user, &service) {
            sent += 1;
        }
    }
    assert!(sent <= 12_020, "{sent} calls for 10000 first attempts");
}

#[test]
fn a_call_that_must_not_be_repeated_is_retried_only_if_it_did_not_run() {
    let policy = ResumePolicy { repeatable: false, waits_for_engine: true };
    let decide = |failure: &Failure| decide_resume(failure, policy, Timestamp(0), Timestamp(1_000), || true);
    let may_have_run = Failure::may_have_run(Reason::BackendFailed, "broke");
    assert!(matches!(decide(&may_have_run), ResumeDecision::GiveUp(_)));
    let not_run = Failure::not_run(Reason::BackendFailed, "refused");
    assert_eq!(decide(&not_run), ResumeDecision::Resume);
}

#[test]
fn a_retry_without_a_backend_does_not_spend_from_the_budget() {
    let policy = ResumePolicy { repeatable: true, waits_for_engine: true };
    let failure = Failure::not_run(Reason::NoBackend, "none");
    let decision = decide_resume(&failure, policy, Timestamp(0), Timestamp(1_000), || panic!("asked"));
    assert_eq!(decision, ResumeDecision::Resume);
}

#[test]
fn ejection_spares_half_of_the_servers_and_readmits_in_steps() {
    for_seeds(200, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut detector = OutlierDetector::new(OutlierSettings::default());
        let names: Vec<Name> = (0..6).map(|number| format!("b{number}").into()).collect();
        for step in 0..400 {
            let now = Timestamp(step * 50);
            let name = &names[random.random_range(0..names.len())];
            detector.record_response(now, name, random.random_ratio(1, 3), names.len());
            let ejected = names.iter().filter(|name| detector.limit(now, name, 8) == 0).count();
            assert!(ejected <= 3, "at least half of the servers keep serving");
        }
    });
    let mut detector = OutlierDetector::new(OutlierSettings::default());
    for _ in 0..3 {
        detector.record_response(Timestamp(0), &"b".into(), false, 4);
    }
    let limits: Vec<u32> =
        [0, 4_999, 5_000, 7_000, 9_000, 20_000].map(|at| detector.limit(Timestamp(at), "b", 8)).to_vec();
    assert_eq!(limits, [0, 0, 1, 2, 4, 8]);
}

#[test]
fn the_spool_is_bounded_and_stores_each_group_once_in_order() {
    for_seeds(200, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let settings = SpoolSettings { max_bytes: 100, ..SpoolSettings::default() };
        let mut spool = SampleSpool::new(settings);
        let (mut offered, mut stored) = (Vec::new(), Vec::new());
        for step in 0..2_000_u64 {
            let now = Timestamp(step * 20);
            if step < 300 && spool.try_push(step, 10).is_ok() {
                offered.push(step);
            }
            assert!(spool.len() <= 11);
            let Some((group, size)) = spool.next(now, 1) else { continue };
            let is_down = step < 1_000 && random.random_ratio(3, 4);
            if is_down {
                spool.record_failure(now, group, size);
            } else {
                spool.record_success();
                stored.push(group);
            }
        }
        assert_eq!(stored, offered, "each group is stored exactly once, in order");
    });
}

#[test]
fn the_total_drain_rate_does_not_depend_on_the_number_of_nodes() {
    for nodes in [1, 9, 40, 370] {
        let mut drained = 0;
        for _ in 0..nodes {
            let mut spool = SampleSpool::new(SpoolSettings::default());
            for group in 0..1_000 {
                spool.try_push(group, 1).unwrap();
            }
            drained += (0..10_000).step_by(10).filter(|at| spool.next(Timestamp(*at), nodes).is_some()).count();
        }
        assert!(drained <= 10 * 200 + nodes, "{drained} groups in ten seconds from {nodes} nodes");
    }
}
