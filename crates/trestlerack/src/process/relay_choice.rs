//! Chooses the peers that are to relay a store call.

use crate::hash::hash_parts;
use crate::{Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Peers that are asked to relay one call. Where the store refuses a third of all nodes, three of
/// them fail for one call in 27, and the call after a good one begins with the peer that relayed it.
const TRIES: usize = 3;

/// Time for which a peer that could not relay a call is passed over.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// What a node knows of its peers as relays.
#[derive(Debug)]
pub struct RelaySelector {
    turn: u64,
    /// Peers that could not relay a call, until the given time.
    failed: BTreeMap<Name, Timestamp>,
    /// The peer that relayed the last call.
    relay: Option<Name>,
}

impl RelaySelector {
    /// Starts at a turn of this node's own, so that nodes that start together do not all turn to
    /// the same peers.
    pub fn new(own_address: &str) -> Self {
        Self { turn: hash_parts(&[own_address]) >> 1, failed: BTreeMap::new(), relay: None }
    }

    /// Returns the peers to ask, in turn: the one that relayed the last call, and others with each
    /// call, so that one that is down costs one try.
    pub fn pick(&mut self, now: Timestamp, mut addresses: Vec<Name>) -> Vec<Name> {
        self.failed.retain(|_, until| *until > now);
        if addresses.iter().any(|address| !self.failed.contains_key(address)) {
            addresses.retain(|address| !self.failed.contains_key(address));
        }
        if addresses.is_empty() {
            return addresses;
        }
        let first = self.turn % addresses.len() as u64;
        self.turn += 1;
        addresses.rotate_left(first as usize);
        if let Some(place) = addresses.iter().position(|address| Some(address) == self.relay.as_ref()) {
            addresses.swap(0, place);
        }
        addresses.truncate(TRIES);
        addresses
    }

    /// Records that a peer relayed a call.
    pub fn relayed(&mut self, peer: &Name) {
        self.relay = Some(peer.clone());
    }

    /// Records that a peer could not relay a call.
    pub fn failed(&mut self, now: Timestamp, peer: &Name) {
        self.failed.insert(peer.clone(), now + FAILED_PAUSE);
        self.relay.take_if(|relay| relay == peer);
    }
}
