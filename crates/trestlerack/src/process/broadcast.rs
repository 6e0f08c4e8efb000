//! A queue of news that each node repeats to a few peers, so that everyone hears it.

use std::collections::VecDeque;

/// Repetitions on top of the logarithm of the cluster size.
const EXTRA_REPEATS: u32 = 2;

/// News to piggyback on heartbeats, each repeated about three times the logarithm of the cluster
/// size, which is what reaches every node with high probability.
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
    /// Adds news, dropping older news that `is_replaced` picks out.
    pub fn push(&mut self, news: T, nodes: usize, is_replaced: impl Fn(&T) -> bool) {
        self.entries.retain(|(held, _)| !is_replaced(held));
        let repeats = 3 * (nodes.max(1).ilog2() + 1) + EXTRA_REPEATS;
        self.entries.push_front((news, repeats));
    }

    /// Takes at most `limit` pieces of news, the least repeated first.
    pub fn take(&mut self, limit: usize) -> Vec<T> {
        let mut taken = Vec::new();
        for _ in 0..limit.min(self.entries.len()) {
            let Some((news, repeats)) = self.entries.pop_front() else { break };
            taken.push(news.clone());
            if repeats > 1 {
                self.entries.push_back((news, repeats - 1));
            }
        }
        taken
    }

    /// Returns how many pieces of news still wait to be repeated.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is nothing to repeat.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
