//! Speculative runs: concurrent runs of items on newer weights, whose texts a later job may use.

use super::super::job::ItemTranscript;
use super::{ItemPhase, JobTracker, RunEnd, SpeculativeRun};
use crate::Name;
use crate::version::WeightVersion;

impl JobTracker {
    /// Returns the running items whose text would be too old for a job that requires `newest`, with
    /// their engines, longest estimate first. A speculative run on such weights produces a text that the
    /// later job can use.
    pub fn speculation_candidates(&self, newest: WeightVersion) -> Vec<(usize, Name)> {
        let mut running = self.running();
        running.retain(|(index, _)| {
            let state = &self.items[*index];
            state.speculative.is_none() && !state.transcript.fits(newest)
        });
        running
    }

    /// Records the start of an item's speculative run.
    pub fn start_speculative(&mut self, index: usize, engine: &Name) {
        let transcript = ItemTranscript::default();
        self.items[index].speculative = Some(SpeculativeRun { engine: engine.clone(), transcript, has_ended: false });
    }

    /// Records the end of a speculative run. A complete text replaces that of the primary run if the
    /// primary run has not completed the item. Returns whether it did.
    pub fn end_speculative(&mut self, index: usize, end: RunEnd) -> bool {
        let state = &mut self.items[index];
        let Some(speculative) = &mut state.speculative else { return false };
        speculative.has_ended = true;
        let is_undecided = matches!(state.phase, ItemPhase::Running(_) | ItemPhase::Waiting);
        if end != RunEnd::Complete || !is_undecided || speculative.transcript.last_event.is_none() {
            return false;
        }
        state.transcript = std::mem::take(&mut speculative.transcript);
        state.speculative = None;
        state.phase = ItemPhase::Scoring;
        state.is_text_complete = true;
        state.stored_up_to = (None, 0);
        true
    }

    /// Returns the engine of an item's speculative run while the run is in progress.
    pub fn speculative_engine(&self, index: usize) -> Option<&Name> {
        self.items[index]
            .speculative
            .as_ref()
            .filter(|speculative| !speculative.has_ended)
            .map(|speculative| &speculative.engine)
    }
}
