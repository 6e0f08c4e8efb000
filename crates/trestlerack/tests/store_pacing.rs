//! All nodes together stay within the store's rates.

use std::time::Duration;
use trestlerack::process::{failure_pause, watch_pause};

#[test]
fn the_watches_of_all_nodes_leave_most_of_the_reads_to_others() {
    for (nodes, reads_per_s) in [(1, 2_000), (13, 2_000), (84, 6_000), (300, 6_000), (370, 2_000)] {
        let calls = 2.0 * nodes as f64 / watch_pause(nodes, reads_per_s).as_secs_f64();
        assert!(calls <= reads_per_s as f64 * 0.41, "{calls} calls a second of {nodes} nodes");
    }
}

#[test]
fn small_sites_hear_of_changes_at_once() {
    assert!(watch_pause(13, 2_000) < Duration::from_millis(40));
    assert!(watch_pause(84, 6_000) < Duration::from_millis(80));
    assert!(watch_pause(0, 0) > Duration::ZERO, "no division by zero");
}

#[test]
fn pauses_after_failures_grow_to_a_bound_and_differ_between_nodes() {
    assert_eq!(failure_pause(1, 0.5), Duration::from_millis(100));
    assert_eq!(failure_pause(3, 0.5), Duration::from_millis(400));
    assert_eq!(failure_pause(99, 1.0), Duration::from_millis(1_200));
    assert!(failure_pause(1, 0.0) < failure_pause(1, 1.0));
}
