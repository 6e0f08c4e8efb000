//! Selects the peers that are asked to relay a store call.

use super::RegionalPeers;
use crate::hash::hash_parts;
use crate::{AllowedZones, Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Maximum number of peers that are asked to relay one call. If the store refuses a third of all nodes, all
/// three fail for one call in 27. After a success the next call starts with the peer that relayed it.
const MAX_RELAY_TRIES: usize = 3;

/// Time for which a peer that failed to relay a call is skipped.
const FAILED_RELAY_PAUSE: Duration = Duration::from_secs(1);

/// Number of peers of the own region that are asked before one of another region. Another one follows, so that a
/// call is still relayed if the store does not serve the region.
const NEAR_RELAY_TRIES: usize = 1;

/// Time after which a relay of another region is no longer asked first, so that a call crosses regions again only
/// if the own region still cannot relay it. One call in this time waits for the attempt.
const FAR_RELAY_PERIOD: Duration = Duration::from_secs(10);

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
    /// When the first call went to a relay of another region, while those of the own region failed.
    far_since: Option<Timestamp>,
}

impl RelaySelector {
    /// Builds a selector whose rotation starts at a hash of the node's own address, so that nodes that
    /// start at the same time do not all ask the same peers.
    pub fn new(own_address: &str) -> Self {
        Self { rotation: hash_parts(&[own_address]) >> 1, failed: BTreeMap::new(), last_relay: None, far_since: None }
    }

    /// Returns the peers to ask, in order. The one that relayed a call last comes first, and the others
    /// rotate with each call, so that a peer that is down costs a single try. Peers that failed recently
    /// are skipped unless all have. Peers of the own region come before those of others, but the second try goes to
    /// another region, because the store may not serve the own one.
    pub fn pick(&mut self, now: Timestamp, peers: RegionalPeers) -> Vec<Name> {
        self.failed.retain(|_, until| *until > now);
        let RegionalPeers { mut near, mut far } = peers;
        if near.iter().chain(&far).any(|address| !self.failed.contains_key(address)) {
            near.retain(|address| !self.failed.contains_key(address));
            far.retain(|address| !self.failed.contains_key(address));
        }
        if near.is_empty() && far.is_empty() {
            return near;
        }
        self.rotate(&mut near);
        self.rotate(&mut far);
        self.rotation += 1;
        if self.prefers_far(now, &far) {
            far.truncate(MAX_RELAY_TRIES - 1);
            far.extend(near);
            far.truncate(MAX_RELAY_TRIES);
            return far;
        }
        if !near.is_empty() && !far.is_empty() {
            let later = near.split_off(near.len().min(NEAR_RELAY_TRIES));
            near.push(far.remove(0));
            near.extend(later);
        }
        near.extend(far);
        near.truncate(MAX_RELAY_TRIES);
        near
    }

    /// Rotates addresses, and puts the one that relayed a call last first.
    fn rotate(&self, addresses: &mut [Name]) {
        if addresses.is_empty() {
            return;
        }
        let first = self.rotation % addresses.len() as u64;
        addresses.rotate_left(first as usize);
        if let Some(index) = addresses.iter().position(|address| Some(address) == self.last_relay.as_ref()) {
            addresses.swap(0, index);
        }
    }

    /// Returns whether the last relay is of another region and recent enough to be asked first.
    fn prefers_far(&mut self, now: Timestamp, far: &[Name]) -> bool {
        if far.first().is_none_or(|first| Some(first) != self.last_relay.as_ref()) {
            self.far_since = None;
            return false;
        }
        let since = *self.far_since.get_or_insert(now);
        if now.since(since) < FAR_RELAY_PERIOD {
            return true;
        }
        self.far_since = None;
        false
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
