//! Second runs of items, whose texts may serve a later job.

use super::super::job::ItemTranscript;
use super::{ItemPhase, JobLedger, RunEnd, SpareRun};
use crate::Name;
use crate::version::WeightVersion;

impl JobLedger {
    /// Returns the running items whose text a job that needs `newest` could not use, the longest
    /// estimate first, with their engines: those that a second run on such weights may save.
    pub fn spare_candidates(&self, newest: WeightVersion) -> Vec<(usize, Name)> {
        let mut running = self.running();
        running.retain(|(index, _)| {
            let state = &self.items[*index];
            state.spare.is_none() && !state.transcript.fits(newest)
        });
        running
    }

    /// Records that a second run of an item was started.
    pub fn start_spare(&mut self, index: usize, engine: &Name) {
        let transcript = ItemTranscript::default();
        self.items[index].spare = Some(SpareRun { engine: engine.clone(), transcript, is_over: false });
    }

    /// Records how a second run ended. A whole text takes the place of the first run's, if that is
    /// still under way. Returns whether it did.
    pub fn end_spare(&mut self, index: usize, end: RunEnd) -> bool {
        let state = &mut self.items[index];
        let Some(spare) = &mut state.spare else { return false };
        spare.is_over = true;
        let is_first = matches!(state.phase, ItemPhase::Running(_) | ItemPhase::Waiting);
        if end != RunEnd::Whole || !is_first || spare.transcript.last_event.is_none() {
            return false;
        }
        state.transcript = std::mem::take(&mut spare.transcript);
        state.spare = None;
        state.phase = ItemPhase::Scoring;
        state.is_text_whole = true;
        state.stored = (None, 0);
        true
    }

    /// Returns the engine of an item's second run while that is under way.
    pub fn spare_engine(&self, index: usize) -> Option<&Name> {
        self.items[index].spare.as_ref().filter(|spare| !spare.is_over).map(|spare| &spare.engine)
    }
}
