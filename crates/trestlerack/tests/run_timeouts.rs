//! Timeouts of runs.

use std::time::Duration;
use trestlerack::process::RunTimeouts;

/// Tests the event gaps of the users' data sheets and gaps three times as long. An engine that is slowed down
/// 3.5 times must not time out between two events, and a silent engine must time out within seconds.
#[test]
fn an_engine_that_is_slowed_down_is_not_mistaken_for_a_silent_one() {
    for gap_ms in [12.0, 37.0, 81.0, 243.0, 700.0] {
        let timeouts = RunTimeouts::for_event_gap(gap_ms);
        let slowed = Duration::from_secs_f64(gap_ms * 3.5 / 1_000.0);
        assert!(timeouts.event_gap >= slowed * 3, "{timeouts:?} at {gap_ms} ms");
        assert!(timeouts.response_head >= slowed * 7, "{timeouts:?} at {gap_ms} ms");
        assert!(timeouts.event_gap <= Duration::from_millis(1_600).max(slowed * 4), "{timeouts:?} at {gap_ms} ms");
    }
}
