//! Selection of the peers that are asked to relay a store call.

use std::time::Duration;
use trestlerack::process::RelaySelector;
use trestlerack::{Name, Timestamp};

const NOW: Timestamp = Timestamp(1_000_000);

fn addresses(count: usize) -> Vec<Name> {
    (0..count).map(|node| format!("10.0.0.{node}:1").into()).collect()
}

/// The store refuses every third of 295 nodes. A node that makes ten calls per second still finds a peer
/// that is served.
#[test]
fn nearly_every_call_is_relayed_if_a_third_of_all_nodes_is_refused() {
    let peers = addresses(294);
    let is_served = |peer: &Name| !peers.iter().position(|other| other == peer).unwrap().is_multiple_of(3);
    for own in 0..50 {
        let mut selector = RelaySelector::new(&format!("own-{own}"));
        let (mut failures, mut tries) = (0, 0);
        for call in 0..200 {
            let now = NOW + Duration::from_millis(call * 100);
            let selected = selector.pick(now, peers.clone().into());
            let mut relayed = false;
            for peer in selected {
                tries += 1;
                if is_served(&peer) {
                    selector.record_success(&peer);
                    relayed = true;
                    break;
                }
                selector.record_failure(now, &peer);
            }
            failures += usize::from(!relayed);
        }
        assert!(failures <= 1, "{failures} of 200 calls were not relayed");
        assert!(tries <= 210, "{tries} peers were asked for 200 calls");
    }
}

#[test]
fn nodes_that_start_at_the_same_time_ask_different_peers() {
    let peers = addresses(294);
    let first = |own: usize| RelaySelector::new(&format!("own-{own}")).pick(NOW, peers.clone().into())[0].clone();
    let firsts: std::collections::BTreeSet<Name> = (0..100).map(first).collect();
    assert!(firsts.len() >= 70, "{}", firsts.len());
}

#[test]
fn a_relay_that_failed_is_skipped_unless_all_have_failed() {
    let peers = addresses(2);
    let mut selector = RelaySelector::new("own");
    selector.record_success(&peers[0]);
    assert_eq!(selector.pick(NOW, peers.clone().into()), peers);
    selector.record_failure(NOW, &peers[0]);
    assert_eq!(selector.pick(NOW, peers.clone().into()), peers[1..]);
    selector.record_failure(NOW, &peers[1]);
    assert_eq!(selector.pick(NOW, peers.clone().into()).len(), 2);
    assert!(selector.pick(NOW, Vec::new().into()).is_empty());
}
