//! Selects the peers that are asked to relay a store call.

use crate::hash::hash_parts;
use crate::{AllowedZones, Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of peers that are asked to relay one call. If the store refuses a third of all nodes, all
/// three fail for one call in 27. After a success the next call starts with the peer that relayed it.
const MAX_RELAY_TRIES: usize = 3;

/// Time for which a peer that failed to relay a call is skipped.
const FAILED_RELAY_PAUSE: Duration = Duration::from_secs(1);

/// Returns whether a peer may relay a store call while relays are limited to `zones`.
///
/// `peer_zone` is `None` for a seed that is not known as a registered node yet. It may relay calls without the body
/// of a request, because a node that starts while the store does not serve it learns of registered nodes only through
/// its seeds.
pub fn may_relay(zones: &AllowedZones, peer_zone: Option<&str>, contains_bodies: bool) -> bool {
    match peer_zone {
        Some(zone) => zones.allows(zone),
        None => !contains_bodies,
    }
}

/// Selects relays among the peers of a node, by their recent successes and failures.
#[derive(Debug)]
pub struct RelaySelector {
    rotation: u64,
    /// Peers that failed to relay a call, and the time until which they are skipped.
    failed: BTreeMap<Name, Timestamp>,
    /// The peer that relayed a call last, unless it has failed since.
    last_relay: Option<Name>,
}

impl RelaySelector {
    /// Builds a selector whose rotation starts at a hash of the node's own address, so that nodes that
    /// start at the same time do not all ask the same peers.
    pub fn new(own_address: &str) -> Self {
        Self { rotation: hash_parts(&[own_address]) >> 1, failed: BTreeMap::new(), last_relay: None }
    }

    /// Returns the peers to ask, in order. The one that relayed a call last comes first, and the others
    /// rotate with each call, so that a peer that is down costs a single try. Peers that failed recently
    /// are skipped unless all have.
    pub fn pick(&mut self, now: Timestamp, mut addresses: Vec<Name>) -> Vec<Name> {
        self.failed.retain(|_, until| *until > now);
        if addresses.iter().any(|address| !self.failed.contains_key(address)) {
            addresses.retain(|address| !self.failed.contains_key(address));
        }
        if addresses.is_empty() {
            return addresses;
        }
        let first = self.rotation % addresses.len() as u64;
        self.rotation += 1;
        addresses.rotate_left(first as usize);
        if let Some(index) = addresses.iter().position(|address| Some(address) == self.last_relay.as_ref()) {
            addresses.swap(0, index);
        }
        addresses.truncate(MAX_RELAY_TRIES);
        addresses
    }

    /// Records that a peer relayed a call.
    pub fn record_success(&mut self, peer: &Name) {
        self.last_relay = Some(peer.clone());
    }

    /// Records that a peer failed to relay a call.
    pub fn record_failure(&mut self, now: Timestamp, peer: &Name) {
        self.failed.insert(peer.clone(), now + FAILED_RELAY_PAUSE);
        self.last_relay.take_if(|relay| relay == peer);
    }
}
