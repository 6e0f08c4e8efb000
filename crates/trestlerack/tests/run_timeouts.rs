//! How long a run may keep its driver waiting.

use std::time::Duration;
use trestlerack::process::RunLimits;

/// Paces of the users' sheets and three times longer ones: an engine slowed down 3.5 times is not
/// left between two events, and a silent one is left within seconds.
#[test]
fn an_engine_that_is_slowed_down_is_not_taken_for_a_silent_one() {
    for pace_ms in [12.0, 37.0, 81.0, 243.0, 700.0] {
        let limits = RunLimits::at_pace(pace_ms);
        let slowed = Duration::from_secs_f64(pace_ms * 3.5 / 1_000.0);
        assert!(limits.event >= slowed * 3, "{limits:?} at {pace_ms} ms");
        assert!(limits.head >= slowed * 7, "{limits:?} at {pace_ms} ms");
        assert!(limits.event <= Duration::from_millis(1_600).max(slowed * 4), "{limits:?} at {pace_ms} ms");
    }
}
