//! Batch jobs: what is submitted, what is recorded and what is read back.
//!
//! A job's rows share one partition, named after the job: `head` says who drives it and how many
//! results are listed, and each result has a row of its own, named after its position. The
//! conditions of each write are in [docs/PLATFORM.md](../../../../docs/PLATFORM.md).

use crate::Name;
use crate::hash::{hash_bytes, hash_parts};
use crate::version::WeightVersion;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A call that scores the text of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ScoreCall {
    /// Id of the call.
    pub id: Name,
    /// Host that selects the route.
    pub host: Name,
    /// Path that selects the route.
    pub path: Name,
    /// Body.
    pub body: Bytes,
}

/// One item of a job: a stream that is run to its end, and then scored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Id of the item, also of the request that runs it.
    pub id: Name,
    /// Group; items of one group share a prompt.
    pub group: Name,
    /// Path of the request.
    pub path: Name,
    /// Headers of the request.
    pub headers: Vec<(Name, Name)>,
    /// Body of the request.
    pub body: Bytes,
    /// Prompt tokens and most output tokens, added up.
    pub tokens: u64,
    /// The client's estimate of the output, in tokens; right in the median only.
    pub length_hint: Option<u64>,
    /// Model, where the item names one.
    pub model: Option<Name>,
    /// How the text is scored, where it is.
    pub scorer: Option<ScoreCall>,
}

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id, chosen by the client.
    pub id: Name,
    /// Host that selects the route.
    pub host: Name,
    /// Path that selects the route.
    pub path: Name,
    /// Training step, where a trainer submitted the job.
    pub step: Option<u64>,
    /// Model whose weights are trained.
    pub model: Option<Name>,
    /// Oldest weight version that may generate the job's texts.
    pub min_version: WeightVersion,
    /// Whole groups that the trainer waits for; 0 for all.
    pub target_groups: u32,
    /// Items, with groups carried over from an earlier job first.
    pub items: Vec<JobItem>,
}

impl JobSpec {
    /// Returns the model of an item.
    pub fn model_of(&self, item: &JobItem) -> Option<Name> {
        item.model.clone().or_else(|| self.model.clone())
    }

    /// Returns how many bytes its items hold, which are nearly all of it.
    pub fn bytes(&self) -> usize {
        let of_scorer = |item: &JobItem| item.scorer.as_ref().map_or(0, |scorer| scorer.body.len());
        self.items.iter().map(|item| size_of::<JobItem>() + item.body.len() + of_scorer(item)).sum()
    }

    /// Returns a digest by which a repeated submission is told from another job of the same id: of
    /// what its items are and ask, in their order, and of the oldest version that may serve them.
    pub fn digest(&self) -> u64 {
        let items = self.items.iter().map(|item| {
            let body = format!("{:016x}", hash_bytes(&item.body));
            format!("{:016x}", hash_parts(&[&item.id, &item.path, &body]))
        });
        let min_version = self.min_version.to_string();
        let parts: Vec<String> = items.chain([min_version]).collect();
        hash_parts(&parts.iter().map(String::as_str).collect::<Vec<_>>())
    }
}

/// The row that says who drives a job and how far it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobHead {
    /// Node that drives the job; empty while it looks for a driver.
    pub owner: Name,
    /// Address at which peers reach the owner.
    pub owner_address: Name,
    /// Incarnation of the owner; a restarted node no longer drives its jobs.
    pub incarnation: u64,
    /// Grows with each change of owner.
    pub fence: u64,
    /// Tells one write from another, so that a lost reply can be settled by reading the row.
    pub write_id: u64,
    /// Time of acceptance on the store's clock, in milliseconds.
    pub accepted_ms: u64,
    /// Digest of the submission.
    pub digest: u64,
    /// Items of the job.
    pub total: usize,
    /// Results that are recorded.
    pub listed: usize,
    /// Rows that hold the submission; 0 if an object holds it.
    pub spec_rows: usize,
    /// Host of the job's route.
    pub host: Name,
    /// Path of the submission.
    pub path: Name,
    /// Model whose weights are trained.
    pub model: Option<Name>,
    /// Training step.
    pub step: Option<u64>,
    /// Oldest weight version that may generate the job's texts.
    pub min_version: WeightVersion,
    /// Customer that the job belongs to; `None` where no customers are told apart.
    #[serde(default)]
    pub customer: Option<Name>,
}

impl JobHead {
    /// Returns whether every item has a result.
    pub fn is_whole(&self) -> bool {
        self.listed >= self.total
    }
}

/// The recorded result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResult {
    /// Id of the item.
    pub id: Name,
    /// Whether the text is whole and scored; otherwise the item was given up.
    pub is_completed: bool,
    /// Data of all events, joined by line feeds.
    pub text: String,
    /// Every weight version that generated an event of the text.
    pub versions: Vec<WeightVersion>,
    /// Signature of the scoring service's answer.
    pub score: Option<Name>,
}

/// An event of an item's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemEvent {
    /// Number; consecutive within a stream.
    pub number: u64,
    /// Data.
    pub data: String,
    /// Weight version, where it changed at this event.
    pub version: Option<WeightVersion>,
}

/// The part of an item's text that exists, and which versions generated it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemTranscript {
    /// Data of the events so far, joined by line feeds.
    pub text: String,
    /// Number of the last event; `None` before the first one.
    pub last_event: Option<u64>,
    /// Versions that generated the events, ascending.
    pub versions: Vec<WeightVersion>,
}

/// Why an event cannot be added to a transcript.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TranscriptError {
    /// The event does not follow the last one.
    OutOfOrder,
    /// The event's version is older than the job allows.
    TooOld,
    /// The engine did not say which version generated the event.
    NoVersion,
    /// Another version generated the events before, and the text may come from one only.
    OtherVersion,
}

impl TranscriptError {
    /// Returns the name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OutOfOrder => "OutOfOrder",
            Self::TooOld => "TooOld",
            Self::NoVersion => "NoVersion",
            Self::OtherVersion => "OtherVersion",
        }
    }
}

/// Numbers that the first event of a stream may have.
const FIRST_NUMBERS: std::ops::RangeInclusive<u64> = 0..=1;

impl ItemTranscript {
    /// Adds an event that was generated under `version`.
    pub fn append(
        &mut self,
        event: &ItemEvent,
        version: Option<WeightVersion>,
        min_version: WeightVersion,
    ) -> Result<(), TranscriptError> {
        let follows = match self.last_event {
            Some(last) => event.number == last + 1,
            None => FIRST_NUMBERS.contains(&event.number),
        };
        if !follows {
            return Err(TranscriptError::OutOfOrder);
        }
        let version = version.ok_or(TranscriptError::NoVersion)?;
        if version < min_version {
            return Err(TranscriptError::TooOld);
        }
        if self.last_event.is_some() {
            self.text.push('\n');
        }
        self.text.push_str(&event.data);
        self.last_event = Some(event.number);
        if let Err(place) = self.versions.binary_search(&version) {
            self.versions.insert(place, version);
        }
        Ok(())
    }

    /// Returns the version of all events so far, if it is one.
    pub fn sole_version(&self) -> Option<WeightVersion> {
        if let [version] = self.versions[..] { Some(version) } else { None }
    }

    /// Returns whether every event is new enough for a job that allows `min_version` and newer.
    pub fn fits(&self, min_version: WeightVersion) -> bool {
        self.versions.first().is_none_or(|oldest| *oldest >= min_version)
    }
}

/// The unfinished text of an item whose job ended, kept for a later job that brings it again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptItem {
    /// Id of the item.
    pub id: Name,
    /// What was generated.
    pub transcript: ItemTranscript,
    /// Whether the stream had ended.
    pub is_whole: bool,
}

/// What was generated of an item's text since it was last stored, for whoever drives the job next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDelta {
    /// Id of the item.
    pub id: Name,
    /// Number of the last event that was stored before; `None` if the delta begins the text.
    pub after: Option<u64>,
    /// Number of the last event of the delta.
    pub last_event: u64,
    /// Text of the delta, with the line feed that joins it to what was stored before.
    pub text: String,
    /// Every version that generated an event of the whole text.
    pub versions: Vec<WeightVersion>,
}

impl ItemTranscript {
    /// Adds a stored delta if it goes on where this text ends. Returns whether it did.
    pub fn extend(&mut self, delta: &TextDelta) -> bool {
        if delta.after != self.last_event {
            return false;
        }
        self.text.push_str(&delta.text);
        self.last_event = Some(delta.last_event);
        self.versions.clone_from(&delta.versions);
        true
    }
}
