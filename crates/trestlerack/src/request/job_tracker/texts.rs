//! Texts that are stored for whoever drives the job next, or kept for a later one.

use super::super::job::{KeptItem, TextDelta};
use super::{ItemPhase, ItemState, JobLedger};

impl JobLedger {
    /// Forgets the texts of a group that is whole, to save memory.
    pub(super) fn drop_group_texts(&mut self, group: &str) {
        for (item, state) in self.spec.items.iter().zip(&mut self.items) {
            if &*item.group == group {
                state.forget_text();
            }
        }
    }

    /// Returns how many bytes of texts are held.
    pub fn text_bytes(&self) -> usize {
        let of_spare = |state: &ItemState| state.spare.as_ref().map_or(0, |spare| spare.transcript.text.len());
        self.items.iter().map(|state| state.transcript.text.len() + of_spare(state)).sum()
    }

    /// Takes what was generated since the last call, up to a size in bytes. Fewer new events than
    /// `least_events` are left out: making them again costs less than storing them.
    pub fn take_unstored(&mut self, least_events: u64, most_bytes: usize) -> Vec<TextDelta> {
        let (mut deltas, mut bytes) = (Vec::new(), 0);
        for (item, state) in self.spec.items.iter().zip(&mut self.items) {
            let (after, length) = state.stored;
            let text = &state.transcript.text;
            let is_open = matches!(state.phase, ItemPhase::Running(_) | ItemPhase::Scoring);
            let Some(last_event) = state.transcript.last_event.filter(|_| is_open) else { continue };
            let new_events = after.map_or(last_event.max(1), |after| last_event.saturating_sub(after));
            if new_events < least_events || bytes >= most_bytes {
                continue;
            }
            bytes += text.len() - length;
            let (text, versions) = (text[length..].to_owned(), state.transcript.versions.clone());
            state.stored = (Some(last_event), state.transcript.text.len());
            deltas.push(TextDelta { id: item.id.clone(), after, last_event, text, versions });
        }
        deltas
    }

    /// Returns what exists of each group that is not whole, for a later job that brings it again.
    pub fn unfinished(&self) -> Vec<KeptItem> {
        let mut kept = Vec::new();
        for (item, state) in self.spec.items.iter().zip(&self.items) {
            if self.open_groups.get(&item.group).is_none_or(|left| *left == 0) {
                continue;
            }
            let (transcript, is_whole) = (state.transcript.clone(), state.is_text_whole);
            kept.push(KeptItem { id: item.id.clone(), transcript, is_whole });
            if let Some(spare) = &state.spare {
                let transcript = spare.transcript.clone();
                kept.push(KeptItem { id: item.id.clone(), transcript, is_whole: false });
            }
        }
        kept
    }
}
