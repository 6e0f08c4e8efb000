//! No work may start while the ends of jobs that a driver knows are too old.

use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{JobEndFreshness, JobEndFreshnessSettings};

/// Time after the acknowledgement of a job's end within which an item may still reach a server.
const MAX_START_AFTER_END: Duration = Duration::from_secs(3);

/// Longest time from the start of a run until it reaches its server: the connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

const START: Timestamp = Timestamp(60_000_000);

/// A driver queries the store every 100 ms and processes the answers one to ten seconds late. Its job may end at
/// any time. Guards against items that reach a server too long after the end was acknowledged.
#[test]
fn a_slow_driver_starts_nothing_after_a_job_end() {
    for delay_ms in (1_000..=10_000).step_by(500) {
        for end_ms in (0..4_000).step_by(70) {
            let mut freshness = JobEndFreshness::default();
            let ended_at = START + Duration::from_millis(end_ms);
            let mut knows_end = false;
            for step_ms in (0..20_000_u64).step_by(10) {
                let now = START + Duration::from_millis(step_ms);
                if step_ms % 100 == 0 && step_ms >= delay_ms {
                    let sent_at = now - Duration::from_millis(delay_ms);
                    freshness.record_answer(sent_at);
                    knows_end |= sent_at >= ended_at;
                }
                if step_ms >= delay_ms && !knows_end && freshness.may_start(now) {
                    let arrives_at = now + CONNECT_TIMEOUT;
                    let after_end = arrives_at.since(ended_at);
                    assert!(
                        arrives_at < ended_at || after_end < MAX_START_AFTER_END,
                        "start {after_end:?} after the end, answers delayed by {delay_ms} ms"
                    );
                }
            }
        }
    }
}

#[test]
fn recent_answers_allow_starts() {
    let mut freshness = JobEndFreshness::default();
    for step in 0..100 {
        let now = START + Duration::from_millis(900 * step);
        assert!(freshness.may_start(now));
        freshness.record_answer(now);
    }
}

/// While the store is down no end of a job can be acknowledged, so work continues.
#[test]
fn a_store_outage_allows_starts() {
    let mut freshness = JobEndFreshness::new(JobEndFreshnessSettings::default());
    freshness.record_answer(START);
    let later = START + Duration::from_secs(5);
    assert!(!freshness.may_start(later));
    freshness.record_failure();
    assert!(freshness.may_start(later));
    freshness.record_answer(START + Duration::from_secs(1));
    assert!(!freshness.may_start(later), "a late answer to an old request does not count as recent");
    freshness.record_answer(later);
    assert!(freshness.may_start(later));
}
