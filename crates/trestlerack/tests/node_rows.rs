//! Detection of node restarts from registration rows that may be out of date or out of order.

use trestlerack::Name;
use trestlerack::process::{NodeRow, NodeRows};

fn row(incarnation: u64) -> Option<NodeRow> {
    Some(NodeRow { address: "127.0.0.1:1".into(), incarnation, capacity: 500, zone: "z".into(), store_latency_ms: 0 })
}

/// A node registers as incarnation 2 and writes the lease at version 20. A peer whose watch lags still has
/// the row of incarnation 1, and must not conclude that the lease belongs to a process that has ended.
#[test]
fn an_outdated_registration_does_not_make_the_lease_holder_look_restarted() {
    let name: Name = "a".into();
    let mut rows = NodeRows::default();
    rows.put(&name, 5, row(1));
    assert!(!rows.is_restarted("a", 2, 20));
    rows.put(&name, 19, row(2));
    assert!(!rows.is_restarted("a", 2, 20));
}

#[test]
fn a_newer_registration_with_another_incarnation_shows_a_restart() {
    let name: Name = "a".into();
    let mut rows = NodeRows::default();
    rows.put(&name, 5, row(1));
    assert!(!rows.is_restarted("a", 1, 9));
    rows.put(&name, 12, row(2));
    assert!(rows.is_restarted("a", 1, 9));
    assert!(!rows.is_restarted("b", 1, 9), "a node without a row is not known to have restarted");
}

#[test]
fn the_newest_row_is_kept_if_rows_arrive_out_of_order() {
    let name: Name = "a".into();
    let mut rows = NodeRows::default();
    rows.put(&name, 12, row(2));
    rows.put(&name, 5, row(1));
    assert_eq!(rows.get("a").map(|row| row.incarnation), Some(2));
    rows.put(&name, 13, None);
    assert_eq!(rows.iter().count(), 0);
}

#[test]
fn a_row_whose_removal_was_missed_is_dropped_and_a_newer_row_is_kept() {
    let mut rows = NodeRows::default();
    for (name, version) in [("a", 5), ("b", 6), ("c", 20)] {
        rows.put(&name.into(), version, row(1));
    }
    rows.forget_missing(&["b".into()], 10);
    assert_eq!(rows.iter().map(|(name, _)| &**name).collect::<Vec<_>>(), ["b", "c"]);
}
