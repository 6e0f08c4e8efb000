//! The requests of all nodes together stay within the store's rate limits.

use std::time::Duration;
use trestlerack::process::{failure_backoff, watch_interval};

#[test]
fn the_watches_of_all_nodes_leave_most_of_the_reads_to_others() {
    for (nodes, reads_per_s) in [(1, 2_000), (13, 2_000), (84, 6_000), (300, 6_000), (370, 2_000)] {
        let reads = 2.0 * nodes as f64 / watch_interval(nodes, reads_per_s).as_secs_f64();
        assert!(reads <= reads_per_s as f64 * 0.41, "{reads} reads per second from {nodes} nodes");
    }
}

#[test]
fn small_deployments_see_changes_without_delay() {
    assert!(watch_interval(13, 2_000) < Duration::from_millis(40));
    assert!(watch_interval(84, 6_000) < Duration::from_millis(80));
    assert!(watch_interval(0, 0) > Duration::ZERO, "no division by zero");
}

#[test]
fn backoff_after_failures_grows_to_a_maximum_and_differs_between_nodes() {
    assert_eq!(failure_backoff(1, 0.5), Duration::from_millis(100));
    assert_eq!(failure_backoff(3, 0.5), Duration::from_millis(400));
    assert_eq!(failure_backoff(99, 1.0), Duration::from_millis(1_200));
    assert!(failure_backoff(1, 0.0) < failure_backoff(1, 1.0));
}
