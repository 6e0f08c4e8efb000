//! Assembles a sample from the streams of its attempts and records which weight version generated
//! each token.

use crate::Name;
use crate::connection::TokenChunk;
use crate::version::WeightVersion;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A range of tokens that one engine generated with one weight version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionRange {
    /// Index of the first token.
    pub from: u32,
    /// Index after the last token.
    pub to: u32,
    /// Weight version, as reported by the engine.
    pub version: WeightVersion,
    /// Engine that generated the tokens.
    pub engine: Name,
    /// Availability zone of the engine.
    pub zone: Name,
    /// Incarnation of the engine.
    pub incarnation: Name,
    /// Node that dispatched the call to the engine.
    pub owner: Name,
}

/// A finished sample.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Id: campaign, step, group and index.
    pub id: Name,
    /// Prompt.
    pub prompt: String,
    /// Generated text.
    pub text: String,
    /// Number of generated tokens.
    pub tokens: u32,
    /// Origin of the tokens, as consecutive ranges.
    pub versions: Vec<VersionRange>,
    /// Score from the scoring service.
    pub score: f64,
    /// Number of attempts, including the first.
    pub attempts: u32,
    /// Node that drove the sample.
    pub driver: Name,
    /// Time of the first token in seconds since the Unix epoch.
    pub first_unix: u64,
}

impl Sample {
    /// Returns the oldest weight version in the sample.
    pub fn oldest_version(&self) -> WeightVersion {
        self.versions.iter().map(|range| range.version).min().unwrap_or(0)
    }
}

/// Why a sample cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleError {
    /// A chunk has no version. The sample is rejected, because a version must not be guessed.
    MissingVersion,
    /// Tokens are missing between two chunks.
    MissingTokens {
        /// Index of the first missing token.
        at: u32,
    },
    /// A chunk was generated with a version that is too old for the step.
    TooOld {
        /// The version.
        version: WeightVersion,
    },
}

impl fmt::Display for SampleError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingVersion => formatter.write_str("the engine reported no version for some tokens"),
            Self::MissingTokens { at } => write!(formatter, "tokens are missing from index {at}"),
            Self::TooOld { version } => write!(formatter, "version {version} is too old for the step"),
        }
    }
}

impl std::error::Error for SampleError {}

/// Collects the chunks of one sample over all of its attempts.
#[derive(Clone, Debug, Default)]
pub struct SampleAssembler {
    text: String,
    tokens: u32,
    versions: Vec<VersionRange>,
    min_version: WeightVersion,
    /// Engine, zone and owner of the latest attempt.
    source: Option<(Name, Name, Name)>,
}

impl SampleAssembler {
    /// Builds an assembler that rejects versions older than `min_version`.
    pub fn new(min_version: WeightVersion) -> Self {
        Self { min_version, ..Self::default() }
    }

    /// Records that an attempt runs on `engine` in `zone`, dispatched by `owner`.
    pub fn start_attempt(&mut self, engine: Name, zone: Name, owner: Name) {
        self.source = Some((engine, zone, owner));
    }

    /// Returns the node that dispatched the latest attempt.
    pub fn owner(&self) -> Option<&Name> {
        self.source.as_ref().map(|(_, _, owner)| owner)
    }

    /// Returns the number of tokens received so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the text received so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Appends a chunk. A chunk that was received before is ignored. A chunk that leaves a gap, has no
    /// version or has a version older than the minimum is an error.
    pub fn accept(&mut self, chunk: &TokenChunk) -> Result<(), SampleError> {
        if chunk.offset > self.tokens {
            return Err(SampleError::MissingTokens { at: self.tokens });
        }
        if chunk.offset < self.tokens {
            return Ok(());
        }
        let version = chunk.version.ok_or(SampleError::MissingVersion)?;
        if version < self.min_version {
            return Err(SampleError::TooOld { version });
        }
        let (engine, zone, owner) = self.source.clone().ok_or(SampleError::MissingVersion)?;
        self.text.push_str(&chunk.text);
        let from = self.tokens;
        self.tokens += chunk.tokens;
        let incarnation = chunk.incarnation.clone();
        self.push_range(VersionRange { from, to: self.tokens, version, engine, zone, incarnation, owner });
        Ok(())
    }

    /// Returns the text, the number of tokens and the version ranges.
    pub fn finish(self) -> (String, u32, Vec<VersionRange>) {
        (self.text, self.tokens, self.versions)
    }

    fn push_range(&mut self, range: VersionRange) {
        let same_source = |last: &VersionRange| {
            last.version == range.version
                && last.engine == range.engine
                && last.incarnation == range.incarnation
                && last.owner == range.owner
        };
        match self.versions.last_mut() {
            Some(last) if same_source(last) => last.to = range.to,
            _ => self.versions.push(range),
        }
    }
}
