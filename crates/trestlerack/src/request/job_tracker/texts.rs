//! Texts to be stored: deltas for the next driver of the job, and checkpoints for a later job.

use super::super::job::{ItemCheckpoint, TextDelta};
use super::{ItemPhase, ItemState, JobTracker};

impl JobTracker {
    /// Clears the texts of a complete group to save memory.
    pub(super) fn drop_group_texts(&mut self, group: &str) {
        for (item, state) in self.spec.items.iter().zip(&mut self.items) {
            if &*item.group == group {
                state.clear_text();
            }
        }
    }

    /// Returns the size of all texts in memory, in bytes.
    pub fn text_bytes(&self) -> usize {
        let speculative_bytes =
            |state: &ItemState| state.speculative.as_ref().map_or(0, |speculative| speculative.transcript.text.len());
        self.items.iter().map(|state| state.transcript.text.len() + speculative_bytes(state)).sum()
    }

    /// Returns the text generated since the last call, until `max_bytes` is reached. An item with fewer
    /// than `min_events` new events is skipped: generating them again costs less than storing them.
    pub fn take_unstored(&mut self, min_events: u64, max_bytes: usize) -> Vec<TextDelta> {
        let (mut deltas, mut bytes) = (Vec::new(), 0);
        for (item, state) in self.spec.items.iter().zip(&mut self.items) {
            let (after, length) = state.stored_up_to;
            let text = &state.transcript.text;
            let is_open = matches!(state.phase, ItemPhase::Running(_) | ItemPhase::Scoring);
            let Some(last_event) = state.transcript.last_event.filter(|_| is_open) else { continue };
            let new_events = after.map_or(last_event.max(1), |after| last_event.saturating_sub(after));
            if new_events < min_events || bytes >= max_bytes {
                continue;
            }
            bytes += text.len() - length;
            let (text, versions) = (text[length..].to_owned(), state.transcript.versions.clone());
            state.stored_up_to = (Some(last_event), state.transcript.text.len());
            deltas.push(TextDelta { id: item.id.clone(), after, last_event, text, versions });
        }
        deltas
    }

    /// Returns the texts of all incomplete groups, for a later job that contains them again.
    pub fn checkpoints(&self) -> Vec<ItemCheckpoint> {
        let mut checkpoints = Vec::new();
        for (item, state) in self.spec.items.iter().zip(&self.items) {
            if self.open_groups.get(&item.group).is_none_or(|left| *left == 0) {
                continue;
            }
            let (transcript, is_complete) = (state.transcript.clone(), state.is_text_complete);
            checkpoints.push(ItemCheckpoint { id: item.id.clone(), transcript, is_complete });
            if let Some(speculative) = &state.speculative {
                let transcript = speculative.transcript.clone();
                checkpoints.push(ItemCheckpoint { id: item.id.clone(), transcript, is_complete: false });
            }
        }
        checkpoints
    }
}
