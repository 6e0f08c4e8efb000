//! Suspended VMs: the gauge, and a lease on a clock that counts the suspension.

use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{LeaseKeeper, LeaseRow, LeaseSettings, LeaseStep, SteadyWall, SuspensionGauge};

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
