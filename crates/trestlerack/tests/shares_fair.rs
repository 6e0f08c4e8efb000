//! Fair shares, the part of calls that is admitted, and counts that come late, twice or never.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::time::Duration;
use trestlerack::process::{
    AdderChoice, CustomerUse, PartGate, ServiceShares, ShareAdder, ShareBook, ShareDemand, ShareSettings, ShareVerdict,
    fair_shares,
};
use trestlerack::{Name, Timestamp};

fn demand(weight: u32, asked: f64) -> ShareDemand {
    ShareDemand { weight, asked }
}

#[test]
fn what_one_leaves_the_others_take() {
    let shares = fair_shares(100.0, &[demand(1, 10.0), demand(1, 200.0), demand(1, 40.0)]);
    assert_eq!(shares, [10.0, 50.0, 40.0]);
    assert_eq!(fair_shares(100.0, &[demand(3, 900.0), demand(1, 900.0)]), [75.0, 25.0]);
    assert_eq!(fair_shares(100.0, &[demand(0, 30.0), demand(1, 60.0)]), [30.0, 60.0]);
    assert!(fair_shares(100.0, &[]).is_empty());
}

#[test]
fn either_all_room_is_given_or_every_demand_is_met() {
    let mut random = Pcg64Mcg::seed_from_u64(3);
    for _ in 0..2_000 {
        let count = random.random_range(1..40);
        let demands: Vec<ShareDemand> =
            (0..count).map(|_| demand(random.random_range(0..5), random.random_range(0.0..100.0))).collect();
        let room = random.random_range(0.0..1_500.0);
        let shares = fair_shares(room, &demands);
        let (given, asked): (f64, f64) = (shares.iter().sum(), demands.iter().map(|demand| demand.asked).sum());
        assert!((given - room.min(asked)).abs() < 1e-6, "{given} of {room} for {asked}");
        // Nobody who lacks something has less, by weight, than another one.
        let level = |index: usize| shares[index] / f64::from(demands[index].weight.max(1));
        let lacking = (0..count).filter(|index| shares[*index] < demands[*index].asked - 1e-6);
        for short in lacking {
            assert!((0..count).all(|other| level(other) <= level(short) + 1e-6));
        }
    }
}

#[test]
fn a_part_is_admitted_evenly() {
    let mut gate = PartGate::new("n", "c", 0.3);
    let admitted: Vec<bool> = (0..1_000).map(|_| gate.admit()).collect();
    for start in 0..900 {
        let count = admitted[start..start + 100].iter().filter(|is_admitted| **is_admitted).count();
        assert!((29..=31).contains(&count), "{count} of 100 from {start}");
    }
}

#[test]
fn first_calls_at_many_nodes_are_admitted_by_part_too() {
    let gates = (0..1_000).map(|node| PartGate::new(&format!("n{node}"), "c", 0.3));
    let admitted = gates.filter(|gate| gate.clone().admit()).count();
    assert!((260..=340).contains(&admitted), "{admitted} of 1000");
}

#[test]
fn the_next_node_adds_up_after_two_questions_in_vain() {
    let nodes: Vec<Name> = (0..9).map(|node| format!("n{node}").into()).collect();
    let mut choice = AdderChoice::default();
    let at = |ms: u64| Timestamp(10_000 + ms);
    let first = choice.choose(at(0), "s", nodes.clone()).unwrap();
    let mut turned = nodes.clone();
    turned.reverse();
    assert_eq!(choice.choose(at(0), "s", turned).as_ref(), Some(&first), "all nodes choose the same");
    assert!(!choice.missed(at(0), &first));
    assert_eq!(choice.choose(at(1), "s", nodes.clone()).as_ref(), Some(&first), "one question may be lost");
    assert!(choice.missed(at(500), &first));
    let next = choice.choose(at(501), "s", nodes.clone()).unwrap();
    assert_ne!(next, first);
    assert_eq!(choice.choose(at(10_500), "s", nodes.clone()).as_ref(), Some(&first), "it is tried again");
    choice.answered(&first);
    assert!(!choice.missed(at(10_600), &first));
}

#[test]
fn customers_are_told_apart_by_what_they_ask_for() {
    let (service, now) = (Name::from("s"), Timestamp(10_000));
    let mut book = ShareBook::new(ShareSettings::default(), "n".into(), 1);
    let parts = vec![("large".into(), 0.25), ("wrong".into(), f32::NAN), ("worse".into(), -1.0)];
    assert!(book.learn(now, ServiceShares { service: service.clone(), parts, age_ms: 0, asked_ms_per_second: 0 }));
    let mut ask = |now, customer: &str| {
        let verdict = book.ask(now, &service, &customer.into(), 1);
        matches!(verdict, ShareVerdict::Admitted(_))
    };
    let admitted = (0..100).filter(|_| ask(now, "large")).count();
    assert!((24..=26).contains(&admitted), "{admitted}");
    assert!((0..100).all(|_| ask(now, "small") && ask(now, "wrong") && ask(now, "worse")));
    let later = now + Duration::from_millis(2_001);
    assert!((0..100).all(|_| ask(later, "large")), "an answer is believed for two seconds");
}

/// One node's calls of two customers, told to an adder in messages that are lost, late, twice and in any
/// order; the service serves all but a few calls.
#[test]
fn a_calm_service_admits_everybody_whatever_messages_do() {
    for seed in 0..40 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (service, mut now) = (Name::from("s"), Timestamp(1_000_000));
        let mut book = ShareBook::new(ShareSettings::default(), "n".into(), 77);
        let mut adder = ShareAdder::new(ShareSettings::default());
        let mut on_way: Vec<(Timestamp, Vec<CustomerUse>)> = Vec::new();
        for _ in 0..80 {
            now = now + Duration::from_millis(100);
            for customer in ["a", "b", "b", "b"] {
                match book.ask(now, &service, &customer.into(), 1) {
                    ShareVerdict::Admitted(call) if random.random_bool(0.99) => book.give(&call, None),
                    ShareVerdict::Admitted(_) => book.note_short(now, &service),
                    ShareVerdict::OverShare(_) => panic!("seed {seed}: {customer} is refused"),
                }
            }
            let uses = book.untold(now, &service, &"adder".into());
            for _ in 0..random.random_range(0..3) {
                on_way.push((now + Duration::from_millis(random.random_range(0..1_500)), uses.clone()));
            }
            let (due, left) = on_way.into_iter().partition(|(at, _)| *at <= now);
            on_way = left;
            let due: Vec<(Timestamp, Vec<CustomerUse>)> = due;
            for (_, uses) in due {
                let shares = adder.answer(now, &"n".into(), &uses);
                if random.random_bool(0.7) {
                    book.told(now, &uses);
                }
                shares.into_iter().for_each(|shares| _ = book.learn(now, shares));
            }
        }
    }
}
