//! Estimates of the remaining work of a job: the remaining length of each text, and the last groups
//! that a step waits for.

use super::JobTracker;
use crate::Name;
use std::collections::HashSet;

/// Fraction of the groups that a step waits for which are its final groups.
const FINAL_GROUPS_FRACTION: f64 = 0.25;

/// Estimates the number of events of a text from its length hint and the job's complete texts.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LengthEstimator {
    /// Total number of events of the complete texts that have a length hint.
    events: u64,
    /// Total of their length hints, in tokens.
    hints: u64,
}

impl LengthEstimator {
    pub(super) fn record(&mut self, events: u64, hint: u64) {
        self.events += events;
        self.hints += hint;
    }

    /// Returns the expected number of events of a text. An event has at least one token, so before the
    /// first complete text the hint itself is used as an upper bound.
    fn events_of(&self, hint: u64) -> f64 {
        if self.hints == 0 { hint as f64 } else { hint as f64 * self.events as f64 / self.hints as f64 }
    }
}

impl JobTracker {
    /// Returns the fraction of an item's expected text that has been generated, or 0 if the item has no
    /// length hint.
    pub fn generated_fraction(&self, index: usize) -> f64 {
        match self.expected_events(index) {
            Some(expected) if expected > 0.0 => self.generated_events(index) / expected,
            _ => 0.0,
        }
    }

    /// Returns the expected number of remaining events of an item's text, or `None` if the item has no
    /// length hint.
    pub fn remaining_events(&self, index: usize) -> Option<f64> {
        self.expected_events(index).map(|expected| (expected - self.generated_events(index)).max(0.0))
    }

    fn expected_events(&self, index: usize) -> Option<f64> {
        self.spec.items[index].length_hint.map(|hint| self.length_estimator.events_of(hint))
    }

    fn generated_events(&self, index: usize) -> f64 {
        self.items[index].transcript.last_event.unwrap_or(0) as f64
    }

    /// Records that an engine seems to have preempted a run of an item.
    pub fn mark_preempted(&mut self, index: usize) {
        self.items[index].was_preempted = true;
    }

    /// Returns whether a run of an item seems to have been preempted.
    pub fn was_preempted(&self, index: usize) -> bool {
        self.items[index].was_preempted
    }

    /// Returns the final groups of a step: once few groups are left to wait for, the groups with the
    /// fewest open items and the incomplete groups carried over from an earlier step.
    ///
    /// The set is empty while many groups are left, and for jobs without a target number of groups.
    pub fn final_groups(&self) -> HashSet<Name> {
        let target = (self.spec.target_groups as usize).min(self.open_groups.len());
        let complete = self.open_groups.values().filter(|open| **open == 0).count();
        let left = target.saturating_sub(complete);
        if left == 0 || left > (target as f64 * FINAL_GROUPS_FRACTION).ceil() as usize {
            return HashSet::new();
        }
        let mut open: Vec<(usize, &Name)> =
            self.open_groups.iter().filter(|(_, open)| **open > 0).map(|(group, open)| (*open, group)).collect();
        open.sort_unstable();
        // Groups with equally many open items may each complete the step, so all of them are included.
        let max_open_items = open[left - 1].0;
        let nearest = open.iter().filter(|(items, _)| *items <= max_open_items).map(|(_, group)| (*group).clone());
        let is_carried_over = |index: &usize| self.items[*index].is_carried_over;
        let carried_over =
            (0..self.items.len()).filter(is_carried_over).map(|index| self.spec.items[index].group.clone());
        nearest.chain(carried_over.filter(|group| self.open_groups.get(group).is_some_and(|open| *open > 0))).collect()
    }
}
