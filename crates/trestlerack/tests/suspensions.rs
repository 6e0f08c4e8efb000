//! Suspended VMs: the gauge, and a lease on a clock that counts the suspension.

use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{
    EventPace, LeaseKeeper, LeaseRow, LeaseSettings, LeaseStep, PaceSample, SteadyWall, SuspensionGauge,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_suspension_is_noticed_once_and_with_its_length() {
    let mut gauge = SuspensionGauge::default();
    assert_eq!(gauge.read(ms(90_000), ms(70_000)), None, "one before the process started is none of its");
    assert_eq!(gauge.read(ms(90_200), ms(70_200)), None);
    assert_eq!(gauge.read(ms(95_400), ms(70_400)), Some(ms(5_000)));
    assert_eq!(gauge.read(ms(95_600), ms(70_600)), None);
}

#[test]
fn clocks_that_are_read_one_after_the_other_differ_a_little() {
    let mut gauge = SuspensionGauge::default();
    for (boot, monotonic) in [(1_000, 1_000), (1_100, 1_090), (1_200, 1_225), (1_300, 1_300)] {
        assert_eq!(gauge.read(ms(boot), ms(monotonic)), None);
    }
}

/// A pause in which the caller's VM was suspended says nothing of the engine, and neither do the events
/// that waited for it and come at once afterwards.
#[test]
fn a_suspension_leaves_the_pace_of_an_engine_as_it_was() {
    let mut pace = EventPace::default();
    assert_eq!(pace.record_arrival(ms(1_000), ms(1_000), 1), None, "the first event waits for the prompt");
    assert_eq!(pace.record_arrival(ms(1_040), ms(1_040), 1), Some(PaceSample { gap: ms(40), pace: ms(40) }));
    assert_eq!(pace.record_arrival(ms(1_120), ms(1_120), 2), Some(PaceSample { gap: ms(80), pace: ms(40) }));
    for (boot, monotonic) in [(6_150, 1_150), (6_151, 1_151), (6_160, 1_160), (6_440, 1_440)] {
        assert_eq!(pace.record_arrival(ms(boot), ms(monotonic), 50), None);
    }
    assert_eq!(pace.record_arrival(ms(6_480), ms(1_480), 1), None, "the first one that counts again");
    assert_eq!(pace.record_arrival(ms(6_520), ms(1_520), 1), Some(PaceSample { gap: ms(40), pace: ms(40) }));
}

/// A holder that was suspended beyond its lease must not act on it, and another node may hold it.
#[test]
fn a_lease_runs_out_during_a_suspension() {
    let settings = LeaseSettings { ttl: ms(1_500), margin: ms(300), order_time: Duration::ZERO };
    let mut keeper = LeaseKeeper::new(settings, "a".into(), 1);
    let LeaseStep::Write(row) = keeper.decide(Timestamp(10_000), None) else { panic!("the lease is free") };
    keeper.written(Timestamp(10_000), LeaseRow { ..row });
    assert_eq!(keeper.fence(Timestamp(10_100)), Some(1));
    // Five seconds pass of which a monotonic clock would show none.
    assert_eq!(keeper.fence(Timestamp(15_100)), None);
}

/// Both clocks count a suspension, so it is no step of the time of day.
#[test]
fn a_suspension_is_no_step_of_the_time_of_day() {
    let mut wall = SteadyWall::default();
    assert_eq!(wall.read(1_000, 501_000), 501_000);
    assert_eq!(wall.read(9_000, 509_000), 509_000);
}
