//! A queue of updates that each node repeats to a few peers until every node has received them.

use std::collections::VecDeque;

/// Repetitions in addition to the logarithmic part.
const EXTRA_REPEATS: u32 = 2;

/// Updates to piggyback on heartbeats. Each is repeated about three times the binary logarithm of the cluster size,
/// which reaches every node with high probability.
#[derive(Clone, Debug)]
pub struct BroadcastQueue<T> {
    entries: VecDeque<(T, u32)>,
}

impl<T> Default for BroadcastQueue<T> {
    fn default() -> Self {
        Self { entries: VecDeque::new() }
    }
}

impl<T: Clone> BroadcastQueue<T> {
    /// Adds an update and drops older ones for which `is_superseded` returns true.
    pub fn push(&mut self, update: T, nodes: usize, is_superseded: impl Fn(&T) -> bool) {
        self.entries.retain(|(queued, _)| !is_superseded(queued));
        let repeats = 3 * (nodes.max(1).ilog2() + 1) + EXTRA_REPEATS;
        self.entries.push_front((update, repeats));
    }

    /// Takes at most `limit` updates, the least repeated first.
    pub fn take(&mut self, limit: usize) -> Vec<T> {
        let mut taken = Vec::new();
        for _ in 0..limit.min(self.entries.len()) {
            let Some((update, repeats)) = self.entries.pop_front() else { break };
            taken.push(update.clone());
            if repeats > 1 {
                self.entries.push_back((update, repeats - 1));
            }
        }
        taken
    }

    /// Returns how many updates are still to be repeated.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is nothing to repeat.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
