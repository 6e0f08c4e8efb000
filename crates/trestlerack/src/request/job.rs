//! Batch jobs: their submission, stored state and results.
//!
//! The rows of a job share one partition, which is named after the job. The row `head` holds the
//! [`JobRecord`]. Each result has its own row, named after its position among the results. The
//! preconditions of each write are in [docs/PLATFORM.md](../../../../docs/PLATFORM.md).

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

/// One item of a job: a streamed generation that is run to its end and then scored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobItem {
    /// Id of the item and of the request that runs it.
    pub id: Name,
    /// Group of the item; items of one group share a prompt.
    pub group: Name,
    /// Path of the request.
    pub path: Name,
    /// Headers of the request.
    pub headers: Vec<(Name, Name)>,
    /// Body of the request.
    pub body: Bytes,
    /// Number of prompt tokens plus the maximum number of output tokens.
    pub tokens: u64,
    /// The client's estimate of the output length in tokens; accurate only in the median.
    pub length_hint: Option<u64>,
    /// Model, if it differs from the job's model.
    pub model: Option<Name>,
    /// Call that scores the text; `None` if the text is not scored.
    pub scorer: Option<ScoreCall>,
}

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id assigned by the client.
    pub id: Name,
    /// Host that selects the route.
    pub host: Name,
    /// Path that selects the route.
    pub path: Name,
    /// Training step, if a trainer submitted the job.
    pub step: Option<u64>,
    /// Model whose weights are trained.
    pub model: Option<Name>,
    /// Oldest weight version that may generate the job's texts.
    pub min_version: WeightVersion,
    /// Number of complete groups that the trainer waits for; 0 for all.
    pub target_groups: u32,
    /// Items; groups carried over from an earlier job come first.
    pub items: Vec<JobItem>,
}

impl JobSpec {
    /// Returns the model of an item.
    pub fn model_of(&self, item: &JobItem) -> Option<Name> {
        item.model.clone().or_else(|| self.model.clone())
    }

    /// Returns the size of the items in bytes, which make up nearly all of the job.
    pub fn bytes(&self) -> usize {
        let scorer_bytes = |item: &JobItem| item.scorer.as_ref().map_or(0, |scorer| scorer.body.len());
        self.items.iter().map(|item| size_of::<JobItem>() + item.body.len() + scorer_bytes(item)).sum()
    }

    /// Returns a digest of the items in their order and of the oldest accepted version. It
    /// distinguishes a repeated submission from a different job with the same id.
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

/// The stored state of a job: the node that drives it and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Node that drives the job; empty while no node does.
    pub owner: Name,
    /// Address of the owner for its peers.
    pub owner_address: Name,
    /// Availability zone of the owner, or of the last one while no node drives the job. A released job names no other
    /// trace of it. Empty in records of earlier releases.
    #[serde(default)]
    pub owner_zone: Name,
    /// Incarnation of the owner; a restarted node no longer drives its former jobs.
    pub incarnation: u64,
    /// Fencing number; it increases with each change of owner.
    pub fence: u64,
    /// Id of the last write, so that after a lost reply the writer can find out by reading the row
    /// whether its write was applied.
    pub write_id: u64,
    /// Time of acceptance on the store's clock, in milliseconds.
    pub accepted_ms: u64,
    /// Digest of the submission.
    pub digest: u64,
    /// Number of items of the job.
    pub total: usize,
    /// Number of recorded results.
    #[serde(rename = "listed")]
    pub recorded: usize,
    /// Number of rows that hold the submission; 0 if an object holds it.
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
    /// Customer that the job belongs to; `None` if no customers are configured.
    #[serde(default)]
    pub customer: Option<Name>,
    /// Version of the configuration by which the job was accepted, which has its route. A node with an older one cannot
    /// tell whether the route was removed. 0 in records of earlier releases, where it is unknown.
    #[serde(default)]
    pub config_version: u64,
}

impl JobRecord {
    /// Returns whether every item has a recorded result.
    pub fn is_complete(&self) -> bool {
        self.recorded >= self.total
    }
}

/// The recorded result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobResult {
    /// Id of the item.
    pub id: Name,
    /// Whether the text is complete and scored; otherwise the item was given up.
    pub is_completed: bool,
    /// Data of all events, joined by line feeds.
    pub text: String,
    /// The weight versions that generated the text.
    pub versions: Vec<WeightVersion>,
    /// Signature from the answer of the scoring service.
    pub score: Option<Name>,
}

/// An event of an item's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemEvent {
    /// Sequence number; consecutive within a stream.
    pub number: u64,
    /// Data.
    pub data: String,
    /// Weight version, if it changed at this event.
    pub version: Option<WeightVersion>,
}

/// The text of an item generated so far and the versions that generated it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemTranscript {
    /// Data of the events so far, joined by line feeds.
    pub text: String,
    /// Sequence number of the last event; `None` before the first one.
    pub last_event: Option<u64>,
    /// The weight versions that generated the text, in ascending order.
    pub versions: Vec<WeightVersion>,
}

/// Error returned if an event cannot be appended to a transcript.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TranscriptError {
    /// The event's number does not follow that of the last one.
    OutOfOrder,
    /// The event's version is older than the job allows.
    TooOld,
    /// The engine did not report which version generated the event.
    NoVersion,
    /// The text must come from a single version, and another version generated its beginning.
    OtherVersion,
    /// The text is longer than any text of the item can be.
    TooLong,
}

impl TranscriptError {
    /// Returns the name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OutOfOrder => "OutOfOrder",
            Self::TooOld => "TooOld",
            Self::NoVersion => "NoVersion",
            Self::OtherVersion => "OtherVersion",
            Self::TooLong => "TooLong",
        }
    }
}

/// Numbers that the first event of a stream may have; engines count from 0 or from 1.
pub const FIRST_EVENT_NUMBERS: std::ops::RangeInclusive<u64> = 0..=1;

impl ItemTranscript {
    /// Appends an event that `version` generated.
    pub fn append(
        &mut self,
        event: &ItemEvent,
        version: Option<WeightVersion>,
        min_version: WeightVersion,
    ) -> Result<(), TranscriptError> {
        let follows = match self.last_event {
            Some(last) => event.number == last + 1,
            None => FIRST_EVENT_NUMBERS.contains(&event.number),
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
        if let Err(position) = self.versions.binary_search(&version) {
            self.versions.insert(position, version);
        }
        Ok(())
    }

    /// Returns the version of all events so far, or `None` if there are no events or several versions.
    pub fn sole_version(&self) -> Option<WeightVersion> {
        if let [version] = self.versions[..] { Some(version) } else { None }
    }

    /// Returns whether no event was generated by a version older than `min_version`.
    pub fn fits(&self, min_version: WeightVersion) -> bool {
        self.versions.first().is_none_or(|oldest| *oldest >= min_version)
    }
}

/// The text of an item whose job ended before the item's group was complete, stored for a later job
/// that contains the item again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemCheckpoint {
    /// Id of the item.
    pub id: Name,
    /// The text generated so far.
    pub transcript: ItemTranscript,
    /// Whether the text is complete.
    #[serde(rename = "is_whole")]
    pub is_complete: bool,
}

/// The part of an item's text generated since the text was last stored, for the next driver of the job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDelta {
    /// Id of the item.
    pub id: Name,
    /// Number of the last event stored before; `None` if the delta is the beginning of the text.
    pub after: Option<u64>,
    /// Number of the last event of the delta.
    pub last_event: u64,
    /// Text of the delta, including the line feed that joins it to the text stored before.
    pub text: String,
    /// The weight versions that generated the whole text so far.
    pub versions: Vec<WeightVersion>,
}

impl ItemTranscript {
    /// Appends a stored delta if it continues at the end of this text. Returns whether it did.
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
