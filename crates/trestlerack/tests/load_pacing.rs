//! How many engines load weights at once follows the load times that are seen.

use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::version::{LoadPacer, LoadTime};

const USUAL: Duration = Duration::from_millis(900);

/// Loads one after the other on a store of weights that carries `carried` at their usual pace, and
/// returns the limit after each.
fn limits(pacer: &mut LoadPacer, carried: usize, loads: usize) -> Vec<usize> {
    let mut now = Timestamp(1_000);
    let mut seen = Vec::new();
    for _ in 0..loads {
        let at_once = pacer.limit();
        let took = USUAL.mul_f64((at_once as f64 / carried as f64).max(1.0));
        let accepted_at = now;
        now = now + took;
        pacer.loaded(now, LoadTime { accepted_at, took, usual: USUAL, at_once });
        seen.push(pacer.limit());
    }
    seen
}

#[test]
fn the_limit_falls_to_what_is_carried_and_stays_near() {
    let mut pacer = LoadPacer::new(9);
    let seen = limits(&mut pacer, 2, 400);
    assert!(seen[40..].iter().all(|limit| (2..=3).contains(limit)), "{seen:?}");
    let over = seen[40..].iter().filter(|limit| **limit > 2).count();
    assert!(over < 40, "a try that failed is repeated ever more rarely: {over}");
}

#[test]
fn the_limit_returns_to_the_first_one_and_no_further() {
    let mut pacer = LoadPacer::new(4);
    assert!(limits(&mut pacer, 2, 40).contains(&2));
    let seen = limits(&mut pacer, 20, 400);
    assert_eq!(seen.last(), Some(&4), "{seen:?}");
    assert!(seen.iter().all(|limit| *limit <= 4), "{seen:?}");
}

#[test]
fn one_slow_engine_changes_nothing() {
    let mut pacer = LoadPacer::new(2);
    let load = |took| LoadTime { accepted_at: Timestamp(1), took, usual: USUAL, at_once: 2 };
    for _ in 0..5 {
        pacer.loaded(Timestamp(5_000), load(USUAL * 4));
        pacer.loaded(Timestamp(5_000), load(USUAL));
    }
    assert_eq!(pacer.limit(), 2);
}

#[test]
fn loads_that_began_before_a_change_count_once() {
    let mut pacer = LoadPacer::new(9);
    let load = LoadTime { accepted_at: Timestamp(1), took: USUAL * 3, usual: USUAL, at_once: 9 };
    (0..9).for_each(|_| pacer.loaded(Timestamp(4_000), load));
    assert_eq!(pacer.limit(), 8);
}
