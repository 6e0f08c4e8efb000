//! Follows the configuration from peers and the table, and never goes back.

use super::{ConfigDelta, Configuration};
use std::collections::VecDeque;
use std::sync::Arc;

/// Recent deltas kept for peers that are a little behind.
const KEPT_DELTAS: usize = 256;

/// What a follower is told.
#[derive(Clone, Debug)]
pub enum FollowEvent {
    /// Someone claims that `generation` exists: a peer's heartbeat or the head row.
    Heard {
        /// The claimed generation.
        generation: u64,
    },
    /// Deltas in generation order, from a peer or from the table.
    Deltas(Vec<ConfigDelta>),
    /// A whole configuration, from a peer or from a snapshot object.
    Snapshot(Configuration),
}

/// What a follower asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowAction {
    /// Fetch the deltas after this generation, or a snapshot where they are gone.
    Fetch {
        /// The generation that this node has.
        after: u64,
    },
    /// A newer generation is in force on this node; peers should hear of it.
    Applied {
        /// The generation in force.
        generation: u64,
    },
}

/// Holds the configuration in force on one node.
///
/// A generation is applied only on top of the one before it, or as a snapshot that is newer, so a
/// stale read, a restart or a partition can delay a change and can never take one back.
#[derive(Clone, Debug, Default)]
pub struct ConfigFollower {
    current: Arc<Configuration>,
    recent: VecDeque<ConfigDelta>,
}

impl ConfigFollower {
    /// Returns the configuration in force.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Handles one event.
    pub fn handle(&mut self, event: FollowEvent) -> Option<FollowAction> {
        match event {
            FollowEvent::Heard { generation } => self.fetch_if_behind(generation),
            FollowEvent::Deltas(deltas) => self.apply_deltas(deltas),
            FollowEvent::Snapshot(snapshot) => self.apply_snapshot(snapshot),
        }
    }

    /// Returns the deltas after `generation`, or `None` where they are no longer all kept.
    pub fn deltas_after(&self, generation: u64) -> Option<Vec<ConfigDelta>> {
        let oldest = self.current.generation - self.recent.len() as u64;
        (generation >= oldest)
            .then(|| self.recent.iter().filter(|delta| delta.generation > generation).cloned().collect())
    }

    fn fetch_if_behind(&self, generation: u64) -> Option<FollowAction> {
        let after = self.current.generation;
        (generation > after).then_some(FollowAction::Fetch { after })
    }

    fn apply_deltas(&mut self, deltas: Vec<ConfigDelta>) -> Option<FollowAction> {
        let before = self.current.generation;
        let newest = deltas.iter().map(|delta| delta.generation).max().unwrap_or(0);
        for delta in deltas {
            // Readers keep the generation that they hold; the items of both are shared.
            let is_next = delta.generation == self.current.generation + 1;
            if is_next && Arc::make_mut(&mut self.current).apply(&delta) {
                self.keep(delta);
            }
        }
        if self.current.generation > before {
            return Some(FollowAction::Applied { generation: self.current.generation });
        }
        self.fetch_if_behind(newest)
    }

    fn apply_snapshot(&mut self, snapshot: Configuration) -> Option<FollowAction> {
        if snapshot.generation <= self.current.generation {
            return None;
        }
        self.current = Arc::new(snapshot);
        self.recent.clear();
        Some(FollowAction::Applied { generation: self.current.generation })
    }

    fn keep(&mut self, delta: ConfigDelta) {
        if self.recent.len() == KEPT_DELTAS {
            self.recent.pop_front();
        }
        self.recent.push_back(delta);
    }
}
