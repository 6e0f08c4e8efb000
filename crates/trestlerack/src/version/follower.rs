//! Follows the configuration from peers and the table, without ever returning to an older generation.

use super::{ConfigDelta, Configuration};
use std::collections::VecDeque;
use std::sync::Arc;

/// Number of recent deltas that are kept for peers that are a few generations behind.
const MAX_RECENT_DELTAS: usize = 256;

/// An input of a [`ConfigFollower`].
#[derive(Clone, Debug)]
pub enum FollowEvent {
    /// A peer's heartbeat or the head row announced that `generation` exists.
    Announced {
        /// The announced generation.
        generation: u64,
    },
    /// Deltas in generation order, from a peer or from the table.
    Deltas(Vec<ConfigDelta>),
    /// A complete configuration, from a peer or from a snapshot object.
    Snapshot(Configuration),
}

/// What the caller of a [`ConfigFollower`] must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowAction {
    /// Fetch the deltas after a generation, or a snapshot if the deltas are no longer available.
    Fetch {
        /// The current generation of this node.
        after: u64,
    },
    /// Announce to peers that this node has applied a newer generation.
    Applied {
        /// The applied generation.
        generation: u64,
    },
}

/// Holds the current configuration of one node.
///
/// It applies a delta only to the generation directly before, and a snapshot only if it is newer. So a stale
/// read, a restart or a partition can delay a change but never revert one.
#[derive(Clone, Debug, Default)]
pub struct ConfigFollower {
    current: Arc<Configuration>,
    recent: VecDeque<ConfigDelta>,
}

impl ConfigFollower {
    /// Returns the current configuration.
    pub fn current(&self) -> &Arc<Configuration> {
        &self.current
    }

    /// Handles one event and returns what to do next, if anything.
    pub fn handle(&mut self, event: FollowEvent) -> Option<FollowAction> {
        match event {
            FollowEvent::Announced { generation } => self.fetch_if_behind(generation),
            FollowEvent::Deltas(deltas) => self.apply_deltas(deltas),
            FollowEvent::Snapshot(snapshot) => self.apply_snapshot(snapshot),
        }
    }

    /// Returns the deltas after `generation`, or `None` if not all of them are kept any more.
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
            // A reader of the previous generation keeps its own copy, which shares the unchanged items.
            let is_next = delta.generation == self.current.generation + 1;
            if is_next && Arc::make_mut(&mut self.current).apply(&delta) {
                self.keep_delta(delta);
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

    fn keep_delta(&mut self, delta: ConfigDelta) {
        if self.recent.len() == MAX_RECENT_DELTAS {
            self.recent.pop_front();
        }
        self.recent.push_back(delta);
    }
}
