//! Suspended VMs: their detection, and its effect on event gaps, leases and the wall clock.

use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{
    EventPace, LeaseAction, LeaseKeeper, LeaseRow, LeaseSettings, PaceSample, StableWallClock, SuspensionDetector,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_suspension_is_detected_once_and_with_its_length() {
    let mut detector = SuspensionDetector::default();
    assert_eq!(detector.update(ms(90_000), ms(70_000)), None, "a suspension before the process started is ignored");
    assert_eq!(detector.update(ms(90_200), ms(70_200)), None);
    assert_eq!(detector.update(ms(95_400), ms(70_400)), Some(ms(5_000)));
    assert_eq!(detector.update(ms(95_600), ms(70_600)), None);
}

#[test]
fn small_differences_between_clocks_read_in_turn_are_no_suspension() {
    let mut detector = SuspensionDetector::default();
    for (boot, monotonic) in [(1_000, 1_000), (1_100, 1_090), (1_200, 1_225), (1_300, 1_300)] {
        assert_eq!(detector.update(ms(boot), ms(monotonic)), None);
    }
}

/// A gap during which the caller's VM was suspended says nothing about the engine. Neither do the events that
/// were delayed by it and arrive together afterwards.
#[test]
fn a_suspension_does_not_affect_the_event_gap_of_an_engine() {
    let mut pace = EventPace::default();
    assert_eq!(pace.record_arrival(ms(1_000), ms(1_000), 1), None, "the first event waits for the prompt");
    assert_eq!(pace.record_arrival(ms(1_040), ms(1_040), 1), Some(PaceSample { gap: ms(40), pace: ms(40) }));
    assert_eq!(pace.record_arrival(ms(1_120), ms(1_120), 2), Some(PaceSample { gap: ms(80), pace: ms(40) }));
    for (boot, monotonic) in [(6_150, 1_150), (6_151, 1_151), (6_160, 1_160), (6_440, 1_440)] {
        assert_eq!(pace.record_arrival(ms(boot), ms(monotonic), 50), None);
    }
    assert_eq!(pace.record_arrival(ms(6_480), ms(1_480), 1), None, "the first event whose time is used again");
    assert_eq!(pace.record_arrival(ms(6_520), ms(1_520), 1), Some(PaceSample { gap: ms(40), pace: ms(40) }));
}

/// A lease holder that was suspended beyond the end of its lease must not act on it, since another node may
/// hold it now.
#[test]
fn a_lease_expires_during_a_suspension() {
    let settings = LeaseSettings { ttl: ms(1_500), margin: ms(300), order_time: Duration::ZERO };
    let mut keeper = LeaseKeeper::new(settings, "a".into(), 1);
    let LeaseAction::Write(row) = keeper.decide(Timestamp(10_000), None) else { panic!("the lease is free") };
    keeper.record_write(Timestamp(10_000), LeaseRow { ..row });
    assert_eq!(keeper.fence(Timestamp(10_100)), Some(1));
    // Five seconds pass that a monotonic clock would not count.
    assert_eq!(keeper.fence(Timestamp(15_100)), None);
}

/// Both clocks count a suspension, so it must not be mistaken for a step of the wall clock.
#[test]
fn a_suspension_is_no_step_of_the_wall_clock() {
    let mut clock = StableWallClock::default();
    assert_eq!(clock.read(1_000, 501_000), 501_000);
    assert_eq!(clock.read(9_000, 509_000), 509_000);
}
