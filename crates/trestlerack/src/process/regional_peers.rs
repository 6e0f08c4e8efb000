//! The peers of a node by region, and the choice among them for gossip.

use crate::Name;
use rand::Rng;
use rand::seq::IndexedRandom;

/// Messages of one update that the nodes of a region together send to other regions, on average. Two of
/// three regions then miss it with a probability of less than 0.3 %, and the third one passes it on.
const MESSAGES_TO_OTHER_REGIONS: f64 = 12.0;

/// Fraction of the pulls that go to other regions, so that each node pulls from there every fourth time.
const REMOTE_PULL_FRACTION: f64 = 0.25;

/// Addresses of the peers of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionalPeers {
    /// Peers of the own region; all peers if the deployment does not span regions.
    pub near: Vec<Name>,
    /// Peers of other regions, and those whose region is not known.
    pub far: Vec<Name>,
}

impl From<Vec<Name>> for RegionalPeers {
    /// Returns peers that are all of one region.
    fn from(near: Vec<Name>) -> Self {
        Self { near, far: Vec::new() }
    }
}

impl RegionalPeers {
    /// Returns random peers to push new information to.
    ///
    /// All are of the own region, except that one of another region replaces the last with a probability that
    /// decreases with the size of the region. See
    /// [docs/design/regions.md](../../../../docs/design/regions.md#gossip) for the resulting delay.
    pub(super) fn choose_push_peers(&self, fanout: usize, random: &mut impl Rng) -> Vec<Name> {
        if self.near.is_empty() || self.far.is_empty() {
            let peers = if self.near.is_empty() { &self.far } else { &self.near };
            return peers.choose_multiple(random, fanout).cloned().collect();
        }
        let mut chosen: Vec<Name> = self.near.choose_multiple(random, fanout).cloned().collect();
        let probability = MESSAGES_TO_OTHER_REGIONS / (self.near.len() + 1) as f64;
        if random.random_bool(probability.min(1.0)) {
            chosen.truncate(fanout.saturating_sub(1));
        }
        // A region that is smaller than the fan-out sends the rest of the messages to others.
        let remaining = fanout - chosen.len();
        chosen.extend(self.far.choose_multiple(random, remaining).cloned());
        chosen
    }

    /// Returns a random peer to pull from, usually of the own region.
    pub(super) fn choose_pull_peer(&self, random: &mut impl Rng) -> Option<Name> {
        let peers = match (self.near.is_empty(), self.far.is_empty()) {
            (_, true) => &self.near,
            (true, false) => &self.far,
            (false, false) if random.random_bool(REMOTE_PULL_FRACTION) => &self.far,
            (false, false) => &self.near,
        };
        peers.choose(random).cloned()
    }
}
