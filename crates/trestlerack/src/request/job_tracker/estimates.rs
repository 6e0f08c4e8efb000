//! What is still to come of a job: how much of each text, and which groups a step waits for last.

use super::JobLedger;
use crate::Name;
use std::collections::HashSet;

/// Share of the groups that a step waits for which counts as its last ones.
const LAST_SHARE: f64 = 0.25;

/// What the whole texts of a job tell of the length of the others.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LearntLength {
    /// Events of the whole texts that had an estimate.
    events: u64,
    /// The estimates of these, in tokens.
    hints: u64,
}

impl LearntLength {
    pub(super) fn record(&mut self, events: u64, hint: u64) {
        self.events += events;
        self.hints += hint;
    }

    /// Returns how many events a text has by its estimate. An event has a token at least, so until a
    /// text is whole the estimate itself is the most that can be.
    fn events_of(&self, hint: u64) -> f64 {
        if self.hints == 0 { hint as f64 } else { hint as f64 * self.events as f64 / self.hints as f64 }
    }
}

impl JobLedger {
    /// Returns which share of an item's expected text is made; 0 if its length is not known.
    pub fn share_made(&self, index: usize) -> f64 {
        match self.expected_events(index) {
            Some(expected) if expected > 0.0 => self.made_events(index) / expected,
            _ => 0.0,
        }
    }

    /// Returns how many events of an item's text are expected to come, if its length is known.
    pub fn events_left(&self, index: usize) -> Option<f64> {
        self.expected_events(index).map(|expected| (expected - self.made_events(index)).max(0.0))
    }

    fn expected_events(&self, index: usize) -> Option<f64> {
        self.spec.items[index].length_hint.map(|hint| self.learnt.events_of(hint))
    }

    fn made_events(&self, index: usize) -> f64 {
        self.items[index].transcript.last_event.unwrap_or(0) as f64
    }

    /// Records that an engine seems to have preempted a run of an item.
    pub fn note_preempted(&mut self, index: usize) {
        self.items[index].was_preempted = true;
    }

    /// Returns whether a run of an item seems to have been preempted.
    pub fn was_preempted(&self, index: usize) -> bool {
        self.items[index].was_preempted
    }

    /// Returns the groups that a step still waits for, once these are its last ones: those with the
    /// fewest open items, and those that came from an earlier step. Empty before that, and for jobs of
    /// no step.
    pub fn last_wanted(&self) -> HashSet<Name> {
        let wanted = (self.spec.target_groups as usize).min(self.open_groups.len());
        let whole = self.open_groups.values().filter(|open| **open == 0).count();
        let left = wanted.saturating_sub(whole);
        if left == 0 || left > (wanted as f64 * LAST_SHARE).ceil() as usize {
            return HashSet::new();
        }
        let mut open: Vec<(usize, &Name)> =
            self.open_groups.iter().filter(|(_, open)| **open > 0).map(|(group, open)| (*open, group)).collect();
        open.sort_unstable();
        // Of groups that are equally far, any may be among those that decide.
        let most = open[left - 1].0;
        let near = open.iter().filter(|(items, _)| *items <= most).map(|(_, group)| (*group).clone());
        let is_carried = |index: &usize| self.items[*index].is_carried;
        let carried = (0..self.items.len()).filter(is_carried).map(|index| self.spec.items[index].group.clone());
        near.chain(carried.filter(|group| self.open_groups.get(group).is_some_and(|open| *open > 0))).collect()
    }
}
