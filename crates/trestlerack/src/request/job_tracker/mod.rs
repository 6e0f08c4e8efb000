//! Tracks the items of a batch job on the node that drives it.

mod estimates;
mod failures;
mod speculative;
mod texts;

use super::job::{ItemCheckpoint, ItemEvent, ItemTranscript, JobResult, JobSpec, TranscriptError};
use crate::version::WeightVersion;
use crate::{Name, Timestamp};
use estimates::LengthEstimator;
pub use failures::{FailureCount, ItemFailures};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Phase of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    /// The item waits for an engine.
    Waiting,
    /// The item runs on this engine.
    Running(Name),
    /// The text is complete and waits for its score.
    Scoring,
    /// The item has a result, which is or will be recorded.
    Finished,
}

/// How a run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The stream ended normally, so the text is complete.
    Complete,
    /// The engine or the connection failed, or the run was moved; the text so far is retained.
    Broken,
    /// The engine did not run the request.
    NotRun,
    /// The engine answered that the run failed, which counts against the item's attempts.
    Failed,
    /// The engine answered that it can never run the item.
    Rejected,
}

impl RunEnd {
    /// Returns the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Complete => "whole",
            Self::Broken => "broken",
            Self::NotRun => "notrun",
            Self::Failed => "failed",
            Self::Rejected => "impossible",
        }
    }
}

/// Settings of a [`JobTracker`].
#[derive(Clone, Debug)]
pub struct TrackerSettings {
    /// Failed runs after which an item is given up: the maximum attempts of its route.
    pub max_failures: u32,
    /// Whether all events of an item must come from a single version.
    pub single_version: bool,
    /// Longest text of an item, in bytes. A longer one fits no write to the store.
    pub max_text_bytes: usize,
    /// Delay before an item is retried after a broken run. An engine stops within this time after
    /// its connection is closed, so two engines run the same item for a short time at most.
    pub retry_delay: Duration,
}

impl Default for TrackerSettings {
    fn default() -> Self {
        Self { max_failures: 3, single_version: false, max_text_bytes: 600_000, retry_delay: Duration::from_millis(30) }
    }
}

/// Factor on the estimated length of items in carried-over groups, for the order of the queue.
const CARRIED_OVER_FACTOR: u64 = 2;

/// Most events of a text for each token that its client declares. An event has a token at least, but the client may count
/// them in another way than the engine.
const MAX_EVENTS_PER_TOKEN: u64 = 4;

/// Returns the highest number of an event that an item with `tokens` tokens can have; 0 tokens are not declared.
fn max_events(tokens: u64) -> u64 {
    if tokens == 0 { u64::MAX } else { tokens.saturating_mul(MAX_EVENTS_PER_TOKEN) }
}

/// Multiple of the median estimated length from which an item is long.
const LONG_ITEM_FACTOR: u64 = 2;

/// Number of a job's items in each phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Items that wait for an engine.
    pub waiting: usize,
    /// Items that run.
    pub running: usize,
    /// Items whose text is complete and not scored yet.
    pub scoring: usize,
    /// Items that have a result.
    pub finished: usize,
    /// Items whose result is recorded.
    pub recorded: usize,
}

/// Kind of a run of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunKind {
    /// The run that is expected to produce the item's result.
    Primary,
    /// A concurrent run on newer weights. A later job may use its text if this job ends first.
    Speculative,
}

impl RunKind {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Primary => "main",
            Self::Speculative => "spare",
        }
    }
}

/// The speculative run of an item.
#[derive(Clone, Debug)]
struct SpeculativeRun {
    engine: Name,
    transcript: ItemTranscript,
    has_ended: bool,
}

#[derive(Clone, Debug)]
struct ItemState {
    phase: ItemPhase,
    transcript: ItemTranscript,
    failures: FailureCount,
    /// The failures that the store has.
    stored_failures: FailureCount,
    retry_at: Timestamp,
    is_carried_over: bool,
    /// Whether an engine seems to have preempted a run of the item.
    was_preempted: bool,
    /// Whether the transcript is the complete text; it may have been cleared after the result.
    is_text_complete: bool,
    /// A concurrent run from the beginning, on newer weights than those of the primary run.
    speculative: Option<SpeculativeRun>,
    /// The last stored event, and the length of the text up to it in bytes.
    stored_up_to: (Option<u64>, usize),
}

fn long_item_threshold(spec: &JobSpec) -> u64 {
    let mut lengths: Vec<u64> = spec.items.iter().filter_map(|item| item.length_hint).collect();
    if lengths.is_empty() {
        return u64::MAX;
    }
    let middle = lengths.len() / 2;
    let (_, median, _) = lengths.select_nth_unstable(middle);
    LONG_ITEM_FACTOR * *median
}

impl ItemState {
    fn clear_text(&mut self) {
        self.transcript = ItemTranscript::default();
        self.is_text_complete = false;
        self.speculative = None;
        self.stored_up_to = (None, 0);
    }
}

/// Tracks the items of one job until each has a result.
#[derive(Debug)]
pub struct JobTracker {
    spec: Arc<JobSpec>,
    settings: TrackerSettings,
    items: Vec<ItemState>,
    by_id: HashMap<Name, usize>,
    /// Order in which waiting items are started.
    order: Vec<usize>,
    ready: VecDeque<JobResult>,
    unrecorded: usize,
    /// Estimated length from which an item is long, in tokens.
    long_item_tokens: u64,
    /// Number of items without a recorded result, by group.
    open_groups: HashMap<Name, usize>,
    /// Ratio of actual to estimated length, from the complete texts.
    length_estimator: LengthEstimator,
}

impl JobTracker {
    /// Builds a tracker from the results that are already recorded and the checkpoints of earlier jobs.
    pub fn new(
        spec: Arc<JobSpec>,
        settings: TrackerSettings,
        recorded: Vec<JobResult>,
        mut checkpoints: HashMap<Name, ItemCheckpoint>,
    ) -> Self {
        let by_id: HashMap<Name, usize> =
            spec.items.iter().enumerate().map(|(index, item)| (item.id.clone(), index)).collect();
        let mut items: Vec<ItemState> = Vec::with_capacity(spec.items.len());
        for item in &spec.items {
            let checkpoint = checkpoints.remove(&item.id);
            let is_carried_over = checkpoint.is_some();
            let usable = checkpoint.filter(|checkpoint| {
                let is_mixed = settings.single_version && checkpoint.transcript.versions.len() > 1;
                checkpoint.transcript.fits(spec.min_version) && !is_mixed
            });
            let phase = match &usable {
                Some(checkpoint) if checkpoint.is_complete => ItemPhase::Scoring,
                _ => ItemPhase::Waiting,
            };
            let is_text_complete = usable.as_ref().is_some_and(|checkpoint| checkpoint.is_complete);
            let transcript = usable.map(|checkpoint| checkpoint.transcript).unwrap_or_default();
            items.push(ItemState {
                phase,
                transcript,
                failures: FailureCount::default(),
                stored_failures: FailureCount::default(),
                retry_at: Timestamp::default(),
                is_carried_over,
                was_preempted: false,
                is_text_complete,
                speculative: None,
                stored_up_to: (None, 0),
            });
        }
        let mut open_groups: HashMap<Name, usize> = HashMap::new();
        for item in &spec.items {
            *open_groups.entry(item.group.clone()).or_default() += 1;
        }
        let (unrecorded, long_item_tokens) = (items.len(), long_item_threshold(&spec));
        let (order, ready) = (Vec::new(), VecDeque::new());
        let length_estimator = LengthEstimator::default();
        let mut tracker = Self {
            order,
            unrecorded,
            items,
            by_id,
            ready,
            settings,
            spec,
            open_groups,
            long_item_tokens,
            length_estimator,
        };
        for result in recorded {
            tracker.restore_recorded(result);
        }
        tracker.order = tracker.rank_items();
        tracker
    }

    /// Restores a recorded result. Its text replaces that of a checkpoint, which may be partial.
    fn restore_recorded(&mut self, result: JobResult) {
        let Some(index) = self.index_of(&result.id) else { return };
        let state = &mut self.items[index];
        state.is_text_complete = result.is_completed;
        state.transcript = ItemTranscript { text: result.text, last_event: None, versions: result.versions };
        self.mark_recorded(&result.id);
    }

    /// Orders the items by estimated length, longest first, because the longest texts determine when
    /// the job is complete. Items of carried-over groups count as longer, because the trainer waits
    /// for each of them.
    fn rank_items(&self) -> Vec<usize> {
        let mut carried_over_groups: Vec<&Name> = Vec::new();
        for (item, state) in self.spec.items.iter().zip(&self.items) {
            if state.is_carried_over && !carried_over_groups.contains(&&item.group) {
                carried_over_groups.push(&item.group);
            }
        }
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_by_key(|index| {
            let item = &self.spec.items[*index];
            let is_carried_over = carried_over_groups.contains(&&item.group);
            let length = item.length_hint.unwrap_or(item.tokens);
            std::cmp::Reverse(if is_carried_over { length * CARRIED_OVER_FACTOR } else { length })
        });
        order
    }

    /// Replaces the settings, which a newer configuration may change. Returns the items whose text comes from several
    /// versions although it must come from one now. Their runs and score calls have to be cancelled, and the items
    /// [restarted](Self::restart).
    pub fn update_settings(&mut self, settings: TrackerSettings) -> Vec<usize> {
        self.settings = settings;
        let is_single = self.settings.single_version;
        let is_mixed = |state: &ItemState| state.phase != ItemPhase::Finished && state.transcript.versions.len() > 1;
        let items = self.items.iter().enumerate();
        items.filter(|(_, state)| is_single && is_mixed(state)).map(|(index, _)| index).collect()
    }

    /// Discards the text of an item, which waits for an engine again unless it has a result.
    pub fn restart(&mut self, index: usize) {
        let state = &mut self.items[index];
        if state.phase != ItemPhase::Finished {
            state.phase = ItemPhase::Waiting;
            state.clear_text();
        }
    }

    /// Returns the submitted job.
    pub fn spec(&self) -> &Arc<JobSpec> {
        &self.spec
    }

    /// Returns the position of an item in the submission.
    pub fn index_of(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// Returns the waiting items that may be started at `now`, most urgent first. An item whose last failure is not
    /// stored yet is not one of them.
    pub fn waiting(&self, now: Timestamp) -> impl Iterator<Item = usize> + '_ {
        let is_due = move |state: &ItemState| {
            state.phase == ItemPhase::Waiting && state.retry_at <= now && state.has_stored_failures()
        };
        self.order.iter().copied().filter(move |index| is_due(&self.items[*index]))
    }

    /// Returns the number of items in each phase.
    pub fn progress(&self) -> JobProgress {
        let mut progress = JobProgress { recorded: self.items.len() - self.unrecorded, ..JobProgress::default() };
        for state in &self.items {
            match state.phase {
                ItemPhase::Waiting => progress.waiting += 1,
                ItemPhase::Running(_) => progress.running += 1,
                ItemPhase::Scoring => progress.scoring += 1,
                ItemPhase::Finished => progress.finished += 1,
            }
        }
        progress
    }

    /// Returns the running items and their engines, most urgent first.
    pub fn running(&self) -> Vec<(usize, Name)> {
        let engine = |index: &usize| match &self.items[*index].phase {
            ItemPhase::Running(engine) => Some((*index, engine.clone())),
            _ => None,
        };
        self.order.iter().filter_map(engine).collect()
    }

    /// Returns whether an item is expected to be among the last of its job, because its estimated length
    /// is well above the median.
    pub fn is_long(&self, index: usize) -> bool {
        self.spec.items[index].length_hint.is_some_and(|length| length >= self.long_item_tokens)
    }

    /// Returns the items whose text is complete and not scored yet, without those whose last failed score call is not
    /// stored yet.
    pub fn unscored(&self) -> Vec<usize> {
        let is_unscored = |index: &usize| {
            let state = &self.items[*index];
            state.phase == ItemPhase::Scoring && state.has_stored_failures()
        };
        (0..self.items.len()).filter(is_unscored).collect()
    }

    /// Returns the phase of an item.
    pub fn phase(&self, index: usize) -> &ItemPhase {
        &self.items[index].phase
    }

    /// Returns the text of an item generated so far.
    pub fn transcript(&self, index: usize) -> &ItemTranscript {
        &self.items[index].transcript
    }

    /// Returns the only version that may continue an item's text, if texts must come from a single
    /// version and this text has begun.
    pub fn pinned_version(&self, index: usize) -> Option<WeightVersion> {
        self.items[index].transcript.sole_version().filter(|_| self.settings.single_version)
    }

    /// Discards the text of an item that no engine can continue.
    pub fn discard_text(&mut self, index: usize) {
        self.items[index].clear_text();
    }

    /// Returns whether every item has a recorded result.
    pub fn is_complete(&self) -> bool {
        self.unrecorded == 0
    }

    /// Defers the start of an item until `until` or later.
    pub fn defer(&mut self, index: usize, until: Timestamp) {
        let state = &mut self.items[index];
        state.retry_at = state.retry_at.max(until);
    }

    /// Records that an item was sent to an engine.
    pub fn start(&mut self, index: usize, engine: &Name) {
        self.items[index].phase = ItemPhase::Running(engine.clone());
    }

    /// Appends an event that `version` generated to the text of a run.
    pub fn append(
        &mut self,
        index: usize,
        kind: RunKind,
        event: &ItemEvent,
        version: Option<WeightVersion>,
    ) -> Result<(), TranscriptError> {
        let min_version = self.spec.min_version;
        if self.pinned_version(index).is_some_and(|pinned| version.is_some_and(|version| version != pinned)) {
            return Err(TranscriptError::OtherVersion);
        }
        let max_events = max_events(self.spec.items[index].tokens);
        let transcript = self.run_transcript(index, kind);
        let bytes = transcript.text.len() + event.data.len();
        if event.number > max_events || bytes > self.settings.max_text_bytes {
            return Err(TranscriptError::TooLong);
        }
        self.run_transcript_mut(index, kind).append(event, version, min_version)
    }

    fn run_transcript(&self, index: usize, kind: RunKind) -> &ItemTranscript {
        let state = &self.items[index];
        match (kind, &state.speculative) {
            (RunKind::Speculative, Some(speculative)) => &speculative.transcript,
            _ => &state.transcript,
        }
    }

    fn run_transcript_mut(&mut self, index: usize, kind: RunKind) -> &mut ItemTranscript {
        let state = &mut self.items[index];
        match (kind, &mut state.speculative) {
            (RunKind::Speculative, Some(speculative)) => &mut speculative.transcript,
            _ => &mut state.transcript,
        }
    }

    /// Discards the text of one run of an item.
    pub fn discard_run_text(&mut self, index: usize, kind: RunKind) {
        match kind {
            RunKind::Primary => self.items[index].clear_text(),
            RunKind::Speculative => *self.run_transcript_mut(index, kind) = ItemTranscript::default(),
        }
    }

    /// Records the end of a primary run. Returns whether the text is complete and must be scored.
    pub fn end_run(&mut self, now: Timestamp, index: usize, end: RunEnd) -> bool {
        let state = &mut self.items[index];
        if !matches!(state.phase, ItemPhase::Running(_)) {
            return false;
        }
        state.phase = ItemPhase::Waiting;
        match end {
            RunEnd::Complete if state.transcript.last_event.is_some() => {
                state.phase = ItemPhase::Scoring;
                state.is_text_complete = true;
                if let Some(hint) = self.spec.items[index].length_hint {
                    self.length_estimator.record(state.transcript.last_event.unwrap_or(0), hint);
                }
                return true;
            }
            RunEnd::Complete | RunEnd::Broken => {
                state.retry_at = now + self.settings.retry_delay;
            }
            RunEnd::NotRun => {}
            RunEnd::Failed => {
                state.failures.runs += 1;
                state.retry_at = now + self.settings.retry_delay;
                if state.failures.runs >= self.settings.max_failures {
                    self.give_up(index);
                }
            }
            RunEnd::Rejected => self.give_up(index),
        }
        false
    }

    /// Records the score of an item, whose result is then returned by [`Self::take_results`].
    pub fn record_score(&mut self, index: usize, score: Option<Name>) {
        let state = &mut self.items[index];
        if state.phase != ItemPhase::Scoring {
            return;
        }
        state.phase = ItemPhase::Finished;
        // The text is retained until its group is complete: an incomplete group may be part of a
        // later job.
        let transcript = state.transcript.clone();
        let id = self.spec.items[index].id.clone();
        let (text, versions) = (transcript.text, transcript.versions);
        self.ready.push_back(JobResult { id, is_completed: true, text, versions, score });
    }

    /// Records a failed score call on a route that allows `max_failures` of them. Returns whether the item was given up
    /// because of it.
    pub fn fail_score(&mut self, index: usize, max_failures: u32) -> bool {
        let state = &mut self.items[index];
        state.failures.scores += 1;
        let is_exhausted = state.failures.scores >= max_failures;
        if is_exhausted {
            self.give_up(index);
        }
        is_exhausted
    }

    /// Gives up an item: its result states that it was not completed.
    pub fn give_up(&mut self, index: usize) {
        let state = &mut self.items[index];
        if state.phase == ItemPhase::Finished {
            return;
        }
        state.phase = ItemPhase::Finished;
        state.clear_text();
        let id = self.spec.items[index].id.clone();
        self.ready.push_back(JobResult {
            id,
            is_completed: false,
            text: String::new(),
            versions: Vec::new(),
            score: None,
        });
    }

    /// Gives up all items that have no result yet.
    pub fn give_up_all(&mut self) {
        for index in 0..self.items.len() {
            self.give_up(index);
        }
    }

    /// Removes and returns results to be recorded, at most `max_results` of them and `max_bytes` bytes
    /// of text, but at least one if any is ready.
    pub fn take_results(&mut self, max_results: usize, max_bytes: usize) -> Vec<JobResult> {
        let (mut taken, mut bytes) = (Vec::new(), 0);
        while let Some(result) = self.ready.front() {
            bytes += result.text.len();
            if taken.len() == max_results || (bytes > max_bytes && !taken.is_empty()) {
                break;
            }
            taken.extend(self.ready.pop_front());
        }
        taken
    }

    /// Marks the result of an item as recorded.
    pub fn mark_recorded(&mut self, id: &str) {
        let Some(index) = self.index_of(id) else { return };
        self.items[index].phase = ItemPhase::Finished;
        self.unrecorded = self.unrecorded.saturating_sub(1);
        let group = self.spec.items[index].group.clone();
        let left = self.open_groups.entry(group.clone()).or_default();
        *left = left.saturating_sub(1);
        if *left == 0 {
            self.drop_group_texts(&group);
        }
    }
}
