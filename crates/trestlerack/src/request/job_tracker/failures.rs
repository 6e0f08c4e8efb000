//! Failures of items, which count over all drivers of a job: an item runs again only once its last failure is stored.

use super::{ItemPhase, ItemState, JobTracker};
use crate::Name;
use serde::{Deserialize, Serialize};

/// How often an item failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureCount {
    /// Runs that an engine answered with a failure.
    pub runs: u32,
    /// Score calls that a scoring service answered with a failure.
    pub scores: u32,
}

impl FailureCount {
    fn max(self, other: Self) -> Self {
        Self { runs: self.runs.max(other.runs), scores: self.scores.max(other.scores) }
    }
}

/// The failures of an item at all drivers of its job so far, as they are stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemFailures {
    /// Id of the item.
    pub id: Name,
    /// Its failures.
    pub count: FailureCount,
}

impl ItemState {
    pub(super) fn has_stored_failures(&self) -> bool {
        self.failures == self.stored_failures
    }
}

impl JobTracker {
    /// Adds the stored failures of earlier drivers, in any order. An item that has failed often enough is given up; its
    /// score calls are judged at the next failure, by the limit of their route.
    pub fn restore_failures(&mut self, stored: impl IntoIterator<Item = ItemFailures>) {
        for ItemFailures { id, count } in stored {
            let Some(index) = self.index_of(&id) else { continue };
            let state = &mut self.items[index];
            state.failures = state.failures.max(count);
            state.stored_failures = state.failures;
            if state.failures.runs >= self.settings.max_failures {
                self.give_up(index);
            }
        }
    }

    /// Returns the failures of unfinished items that are not stored yet, at most `max_items` of them.
    pub fn unstored_failures(&self, max_items: usize) -> Vec<ItemFailures> {
        let items = self.spec.items.iter().zip(&self.items);
        let is_open = |state: &ItemState| state.phase != ItemPhase::Finished;
        let unstored = items.filter(|(_, state)| is_open(state) && !state.has_stored_failures());
        unstored
            .map(|(item, state)| ItemFailures { id: item.id.clone(), count: state.failures })
            .take(max_items)
            .collect()
    }

    /// Records that the store has these failures.
    pub fn mark_failures_stored(&mut self, stored: &[ItemFailures]) {
        for ItemFailures { id, count } in stored {
            if let Some(index) = self.index_of(id) {
                self.items[index].stored_failures = *count;
            }
        }
    }
}
