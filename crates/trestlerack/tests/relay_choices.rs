//! Which peers relay a store call.

use std::time::Duration;
use trestlerack::process::RelaySelector;
use trestlerack::{Name, Timestamp};

const NOW: Timestamp = Timestamp(1_000_000);

fn addresses(count: usize) -> Vec<Name> {
    (0..count).map(|node| format!("10.0.0.{node}:1").into()).collect()
}

/// The store refuses every third of 295 nodes. A call ten times a second finds a peer that is served.
#[test]
fn where_a_third_of_all_nodes_is_refused_nearly_every_call_is_relayed() {
    let peers = addresses(294);
    let is_served = |peer: &Name| !peers.iter().position(|other| other == peer).unwrap().is_multiple_of(3);
    for own in 0..50 {
        let mut choice = RelaySelector::new(&format!("own-{own}"));
        let (mut lost, mut tries) = (0, 0);
        for call in 0..200 {
            let now = NOW + Duration::from_millis(call * 100);
            let picked = choice.pick(now, peers.clone());
            let mut relayed = false;
            for peer in picked {
                tries += 1;
                if is_served(&peer) {
                    choice.relayed(&peer);
                    relayed = true;
                    break;
                }
                choice.failed(now, &peer);
            }
            lost += usize::from(!relayed);
        }
        assert!(lost <= 1, "{lost} of 200 calls were not relayed");
        assert!(tries <= 210, "{tries} peers were asked for 200 calls");
    }
}

#[test]
fn nodes_that_start_together_turn_to_different_peers() {
    let peers = addresses(294);
    let first = |own: usize| RelaySelector::new(&format!("own-{own}")).pick(NOW, peers.clone())[0].clone();
    let firsts: std::collections::BTreeSet<Name> = (0..100).map(first).collect();
    assert!(firsts.len() >= 70, "{}", firsts.len());
}

#[test]
fn a_relay_that_fails_is_passed_over_unless_all_have_failed() {
    let peers = addresses(2);
    let mut choice = RelaySelector::new("own");
    choice.relayed(&peers[0]);
    assert_eq!(choice.pick(NOW, peers.clone()), peers);
    choice.failed(NOW, &peers[0]);
    assert_eq!(choice.pick(NOW, peers.clone()), peers[1..]);
    choice.failed(NOW, &peers[1]);
    assert_eq!(choice.pick(NOW, peers.clone()).len(), 2);
    assert!(choice.pick(NOW, Vec::new()).is_empty());
}
