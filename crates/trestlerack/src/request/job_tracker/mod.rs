//! The state of one job's items while a node drives it.

mod estimates;
mod speculative;
mod texts;

use super::job::{ItemEvent, ItemTranscript, JobResult, JobSpec, KeptItem, TranscriptError};
use crate::version::WeightVersion;
use crate::{Name, Timestamp};
use estimates::LearntLength;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Where an item is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemPhase {
    /// It waits for an engine.
    Waiting,
    /// It runs on this engine.
    Running(Name),
    /// Its text is whole and waits for its score.
    Scoring,
    /// Its result waits to be recorded, or is recorded.
    Settled,
}

/// How a run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The stream ended as a whole one does.
    Whole,
    /// The engine or the connection failed, or the run was moved; the text so far stays.
    Broken,
    /// The engine did not run the request.
    NotRun,
    /// The engine answered that the run failed, which counts against the item's attempts.
    Failed,
    /// The engine answered that the item can never be done.
    Impossible,
}

/// Settings of a [`JobLedger`].
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Failed runs after which an item is given up; the route's attempts.
    pub max_failures: u32,
    /// Failed score calls after which an item is given up; the attempts of the scorer's route.
    pub max_score_failures: u32,
    /// Whether all events of an item must come from one version.
    pub single_version: bool,
    /// Pause before an item is tried again after a broken run. An engine that was left by closing
    /// its connection stops within that time, so two engines never work on one item for long.
    pub retry_pause: Duration,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self { max_failures: 3, max_score_failures: 3, single_version: false, retry_pause: Duration::from_millis(30) }
    }
}

/// How much longer items of groups carried over count than their estimate says.
const CARRIED_WEIGHT: u64 = 2;

/// How many times the median estimate makes an item a long one.
const LONG_SHARE: u64 = 2;

/// How many items of a job are in each phase.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobProgress {
    /// Items that wait for an engine.
    pub waiting: usize,
    /// Items that run.
    pub running: usize,
    /// Items whose text is whole and not scored yet.
    pub scoring: usize,
    /// Items that have a result.
    pub settled: usize,
    /// Items whose result is recorded.
    pub listed: usize,
}

/// Which of an item's runs is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunLane {
    /// The run that is to bring the item's result.
    Main,
    /// A second run on newer weights, whose text a later job may use if this one ends first.
    Spare,
}

impl RunLane {
    /// Returns the name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Main => "main",
            Self::Spare => "spare",
        }
    }
}

/// The second run of an item.
#[derive(Clone, Debug)]
struct SpareRun {
    engine: Name,
    transcript: ItemTranscript,
    is_over: bool,
}

#[derive(Clone, Debug)]
struct ItemState {
    phase: ItemPhase,
    transcript: ItemTranscript,
    failures: u32,
    score_failures: u32,
    not_before: Timestamp,
    is_carried: bool,
    /// Whether an engine seems to have preempted a run of it.
    was_preempted: bool,
    /// Whether the transcript is the whole text; an item that has a result may have none here.
    is_text_whole: bool,
    /// A second run of the item from its beginning, on newer weights than the first one's.
    spare: Option<SpareRun>,
    /// The last event that is stored, and the length of the text up to it.
    stored: (Option<u64>, usize),
}

fn long_estimate(spec: &JobSpec) -> u64 {
    let mut lengths: Vec<u64> = spec.items.iter().filter_map(|item| item.length_hint).collect();
    if lengths.is_empty() {
        return u64::MAX;
    }
    let middle = lengths.len() / 2;
    let (_, median, _) = lengths.select_nth_unstable(middle);
    LONG_SHARE * *median
}

impl ItemState {
    fn forget_text(&mut self) {
        self.transcript = ItemTranscript::default();
        self.is_text_whole = false;
        self.spare = None;
        self.stored = (None, 0);
    }
}

/// Drives the items of one job to their results.
#[derive(Debug)]
pub struct JobLedger {
    spec: Arc<JobSpec>,
    settings: LedgerSettings,
    items: Vec<ItemState>,
    by_id: HashMap<Name, usize>,
    /// Waiting items are looked at in this order.
    order: Vec<usize>,
    ready: VecDeque<JobResult>,
    unlisted: usize,
    /// Estimate from which an item counts as long.
    long_from: u64,
    /// Items without a recorded result, by group.
    open_groups: HashMap<Name, usize>,
    /// Length of the texts that are whole.
    learnt: LearntLength,
}

impl JobLedger {
    /// Builds a ledger; `listed` holds the results that are recorded already, and `kept`
    /// holds texts from earlier jobs.
    pub fn new(
        spec: Arc<JobSpec>,
        settings: LedgerSettings,
        listed: Vec<JobResult>,
        mut kept: HashMap<Name, KeptItem>,
    ) -> Self {
        let by_id: HashMap<Name, usize> =
            spec.items.iter().enumerate().map(|(index, item)| (item.id.clone(), index)).collect();
        let mut items: Vec<ItemState> = Vec::with_capacity(spec.items.len());
        for item in &spec.items {
            let kept = kept.remove(&item.id);
            let is_carried = kept.is_some();
            let usable = kept.filter(|kept| {
                let is_mixed = settings.single_version && kept.transcript.versions.len() > 1;
                kept.transcript.fits(spec.min_version) && !is_mixed
            });
            let phase = match &usable {
                Some(kept) if kept.is_whole => ItemPhase::Scoring,
                _ => ItemPhase::Waiting,
            };
            let is_text_whole = usable.as_ref().is_some_and(|kept| kept.is_whole);
            let transcript = usable.map(|kept| kept.transcript).unwrap_or_default();
            items.push(ItemState {
                phase,
                transcript,
                failures: 0,
                score_failures: 0,
                not_before: Timestamp::default(),
                is_carried,
                was_preempted: false,
                is_text_whole,
                spare: None,
                stored: (None, 0),
            });
        }
        let mut open_groups: HashMap<Name, usize> = HashMap::new();
        for item in &spec.items {
            *open_groups.entry(item.group.clone()).or_default() += 1;
        }
        let (unlisted, long_from) = (items.len(), long_estimate(&spec));
        let (order, ready) = (Vec::new(), VecDeque::new());
        let learnt = LearntLength::default();
        let mut ledger = Self { order, unlisted, items, by_id, ready, settings, spec, open_groups, long_from, learnt };
        for result in listed {
            ledger.restore_listed(result);
        }
        ledger.order = ledger.rank_items();
        ledger
    }

    /// Takes over a recorded result; its text is the whole one, whatever was kept of it.
    fn restore_listed(&mut self, result: JobResult) {
        let Some(index) = self.index_of(&result.id) else { return };
        let state = &mut self.items[index];
        state.is_text_whole = result.is_completed;
        state.transcript = ItemTranscript { text: result.text, last_event: None, versions: result.versions };
        self.mark_listed(&result.id);
    }

    /// Longest estimate first, because the longest texts decide when the job is whole. Items of
    /// groups carried over count as longer, because the trainer waits for each of them.
    fn rank_items(&self) -> Vec<usize> {
        let mut carried_groups: Vec<&Name> = Vec::new();
        for (item, state) in self.spec.items.iter().zip(&self.items) {
            if state.is_carried && !carried_groups.contains(&&item.group) {
                carried_groups.push(&item.group);
            }
        }
        let mut order: Vec<usize> = (0..self.items.len()).collect();
        order.sort_by_key(|index| {
            let item = &self.spec.items[*index];
            let is_carried = carried_groups.contains(&&item.group);
            let length = item.length_hint.unwrap_or(item.tokens);
            std::cmp::Reverse(if is_carried { length * CARRIED_WEIGHT } else { length })
        });
        order
    }

    /// Returns what was submitted.
    pub fn spec(&self) -> &Arc<JobSpec> {
        &self.spec
    }

    /// Returns the position of an item in the submission.
    pub fn index_of(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// Returns the items that wait for an engine, most urgent first.
    pub fn waiting(&self, now: Timestamp) -> impl Iterator<Item = usize> + '_ {
        let is_due = move |state: &ItemState| state.phase == ItemPhase::Waiting && state.not_before <= now;
        self.order.iter().copied().filter(move |index| is_due(&self.items[*index]))
    }

    /// Returns how many items wait, run, are scored, have a result, and have a recorded one.
    pub fn progress(&self) -> JobProgress {
        let mut progress = JobProgress { listed: self.items.len() - self.unlisted, ..JobProgress::default() };
        for state in &self.items {
            match state.phase {
                ItemPhase::Waiting => progress.waiting += 1,
                ItemPhase::Running(_) => progress.running += 1,
                ItemPhase::Scoring => progress.scoring += 1,
                ItemPhase::Settled => progress.settled += 1,
            }
        }
        progress
    }

    /// Returns the items that run, most urgent first, with their engines.
    pub fn running(&self) -> Vec<(usize, Name)> {
        let engine = |index: &usize| match &self.items[*index].phase {
            ItemPhase::Running(engine) => Some((*index, engine.clone())),
            _ => None,
        };
        self.order.iter().filter_map(engine).collect()
    }

    /// Returns whether an item is expected to be among the last of its job: its estimate is well
    /// over what is usual.
    pub fn is_long(&self, index: usize) -> bool {
        self.spec.items[index].length_hint.is_some_and(|length| length >= self.long_from)
    }

    /// Returns the items whose text is whole and not scored yet.
    pub fn unscored(&self) -> Vec<usize> {
        let is_unscored = |index: &usize| self.items[*index].phase == ItemPhase::Scoring;
        (0..self.items.len()).filter(is_unscored).collect()
    }

    /// Returns where an item is.
    pub fn phase(&self, index: usize) -> &ItemPhase {
        &self.items[index].phase
    }

    /// Returns the text of an item so far.
    pub fn transcript(&self, index: usize) -> &ItemTranscript {
        &self.items[index].transcript
    }

    /// Returns the only version that may go on with an item's text, where texts come from one version
    /// and this one has begun.
    pub fn pinned_version(&self, index: usize) -> Option<WeightVersion> {
        self.items[index].transcript.sole_version().filter(|_| self.settings.single_version)
    }

    /// Forgets the text of an item that no engine can go on with.
    pub fn restart(&mut self, index: usize) {
        self.items[index].forget_text();
    }

    /// Returns whether every item has a recorded result.
    pub fn is_whole(&self) -> bool {
        self.unlisted == 0
    }

    /// Lets an item wait until a time at least.
    pub fn put_off(&mut self, index: usize, until: Timestamp) {
        let state = &mut self.items[index];
        state.not_before = state.not_before.max(until);
    }

    /// Records that an item was sent to an engine.
    pub fn start(&mut self, index: usize, engine: &Name) {
        self.items[index].phase = ItemPhase::Running(engine.clone());
    }

    /// Adds an event that the engine generated under `version`.
    pub fn append(
        &mut self,
        index: usize,
        lane: RunLane,
        event: &ItemEvent,
        version: Option<WeightVersion>,
    ) -> Result<(), TranscriptError> {
        let min_version = self.spec.min_version;
        if self.pinned_version(index).is_some_and(|pinned| version.is_some_and(|version| version != pinned)) {
            return Err(TranscriptError::OtherVersion);
        }
        match (lane, &mut self.items[index].spare) {
            (RunLane::Spare, Some(spare)) => spare.transcript.append(event, version, min_version),
            _ => self.items[index].transcript.append(event, version, min_version),
        }
    }

    /// Records how a run ended. Returns whether the item's text is whole and wants its score.
    pub fn end_run(&mut self, now: Timestamp, index: usize, end: RunEnd) -> bool {
        let state = &mut self.items[index];
        if !matches!(state.phase, ItemPhase::Running(_)) {
            return false;
        }
        state.phase = ItemPhase::Waiting;
        match end {
            RunEnd::Whole if state.transcript.last_event.is_some() => {
                state.phase = ItemPhase::Scoring;
                state.is_text_whole = true;
                if let Some(hint) = self.spec.items[index].length_hint {
                    self.learnt.record(state.transcript.last_event.unwrap_or(0), hint);
                }
                return true;
            }
            RunEnd::Whole | RunEnd::Broken => {
                state.not_before = now + self.settings.retry_pause;
            }
            RunEnd::NotRun => {}
            RunEnd::Failed => {
                state.failures += 1;
                state.not_before = now + self.settings.retry_pause;
                if state.failures >= self.settings.max_failures {
                    self.give_up(index);
                }
            }
            RunEnd::Impossible => self.give_up(index),
        }
        false
    }

    /// Records the score of an item; its result is then ready to be recorded.
    pub fn settle(&mut self, index: usize, score: Option<Name>) {
        let state = &mut self.items[index];
        if state.phase != ItemPhase::Scoring {
            return;
        }
        state.phase = ItemPhase::Settled;
        // The text stays until its group is whole: an unfinished group may come again in a later job.
        let transcript = state.transcript.clone();
        let id = self.spec.items[index].id.clone();
        let (text, versions) = (transcript.text, transcript.versions);
        self.ready.push_back(JobResult { id, is_completed: true, text, versions, score });
    }

    /// Records a failed answer to a score call. Returns whether the item was given up over it.
    pub fn fail_score(&mut self, index: usize) -> bool {
        let state = &mut self.items[index];
        state.score_failures += 1;
        let is_over = state.score_failures >= self.settings.max_score_failures;
        if is_over {
            self.give_up(index);
        }
        is_over
    }

    /// Gives an item up; its result says so.
    pub fn give_up(&mut self, index: usize) {
        let state = &mut self.items[index];
        if state.phase == ItemPhase::Settled {
            return;
        }
        state.phase = ItemPhase::Settled;
        state.forget_text();
        let id = self.spec.items[index].id.clone();
        self.ready.push_back(JobResult {
            id,
            is_completed: false,
            text: String::new(),
            versions: Vec::new(),
            score: None,
        });
    }

    /// Gives up every item that has no result yet.
    pub fn give_up_all(&mut self) {
        for index in 0..self.items.len() {
            self.give_up(index);
        }
    }

    /// Takes results that are ready to be recorded, up to a number and a size in bytes.
    pub fn take_ready(&mut self, most: usize, most_bytes: usize) -> Vec<JobResult> {
        let (mut taken, mut bytes) = (Vec::new(), 0);
        while let Some(result) = self.ready.front() {
            bytes += result.text.len();
            if taken.len() == most || (bytes > most_bytes && !taken.is_empty()) {
                break;
            }
            taken.extend(self.ready.pop_front());
        }
        taken
    }

    /// Records that an item has a recorded result.
    pub fn mark_listed(&mut self, id: &str) {
        let Some(index) = self.index_of(id) else { return };
        self.items[index].phase = ItemPhase::Settled;
        self.unlisted = self.unlisted.saturating_sub(1);
        let group = self.spec.items[index].group.clone();
        let left = self.open_groups.entry(group.clone()).or_default();
        *left = left.saturating_sub(1);
        if *left == 0 {
            self.drop_group_texts(&group);
        }
    }
}
