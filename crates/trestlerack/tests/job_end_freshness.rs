//! No work starts on news of ended jobs that is too old.

use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{JobEndFreshness, JobEndFreshnessSettings};

/// Time after the acknowledgement of an end in which an item may still reach a server.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// Longest time from the start of a run until it reaches its server: a connection's time limit.
const CONNECT_TIME: Duration = Duration::from_millis(400);

const START: Timestamp = Timestamp(60_000_000);

/// A driver asks each 100 ms, and its processor takes the answers in late by a second to ten. The end of its
/// job is acknowledged at some moment; the last start that it makes is checked.
#[test]
fn a_driver_that_is_late_starts_nothing_after_an_end() {
    for late_ms in (1_000..=10_000).step_by(500) {
        for end_ms in (0..4_000).step_by(70) {
            let mut news = JobEndFreshness::default();
            let ended_at = START + Duration::from_millis(end_ms);
            let mut knows_end = false;
            for step_ms in (0..20_000_u64).step_by(10) {
                let now = START + Duration::from_millis(step_ms);
                if step_ms % 100 == 0 && step_ms >= late_ms {
                    let asked_at = now - Duration::from_millis(late_ms);
                    news.taken_in(asked_at);
                    knows_end |= asked_at >= ended_at;
                }
                if step_ms >= late_ms && !knows_end && news.may_start(now) {
                    let reaches_at = now + CONNECT_TIME;
                    let after = reaches_at.since(ended_at);
                    assert!(reaches_at < ended_at || after < CANCEL_TIME, "{after:?} after, news late by {late_ms} ms");
                }
            }
        }
    }
}

#[test]
fn prompt_news_stops_no_start() {
    let mut news = JobEndFreshness::default();
    for step in 0..100 {
        let now = START + Duration::from_millis(900 * step);
        assert!(news.may_start(now));
        news.taken_in(now);
    }
}

/// While the store is away no end is acknowledged, and runs go on.
#[test]
fn an_outage_stops_no_start() {
    let mut news = JobEndFreshness::new(JobEndFreshnessSettings::default());
    news.taken_in(START);
    let later = START + Duration::from_secs(5);
    assert!(!news.may_start(later));
    news.failed();
    assert!(news.may_start(later));
    news.taken_in(START + Duration::from_secs(1));
    assert!(!news.may_start(later), "an old answer that comes late is no recent news");
    news.taken_in(later);
    assert!(news.may_start(later));
}
