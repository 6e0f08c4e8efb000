//! Gossip between nodes: crash reports while the store does not serve them, server observations and customer
//! shares.

use super::super::RegionalPeers;
use crate::Name;
use rand::Rng;
use std::time::Duration;

/// Settings of a gossip protocol.
#[derive(Clone, Debug)]
pub struct GossipSettings {
    /// Number of peers to which new information is pushed at once. With three, it reaches most of 300 nodes in six
    /// steps; one node in twenty gets it only by pulling.
    pub fanout: usize,
    /// Interval at which a node that the store does not serve pulls crash reports from a peer.
    pub pull_interval: Duration,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self { fanout: 3, pull_interval: Duration::from_millis(400) }
    }
}

impl GossipSettings {
    /// Returns random peers to push new information to.
    pub fn pick_push_peers(&self, peers: &RegionalPeers, random: &mut impl Rng) -> Vec<Name> {
        peers.choose_push_peers(self.fanout, random)
    }

    /// Returns a random peer to pull from.
    pub fn pick_pull_peer(&self, peers: &RegionalPeers, random: &mut impl Rng) -> Option<Name> {
        peers.choose_pull_peer(random)
    }
}
