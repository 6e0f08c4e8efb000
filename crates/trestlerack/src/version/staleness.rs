//! Bounds the age of a sample at the training step that consumes it.

use serde::{Deserialize, Serialize};

/// A weight version. Trainers assign the numbers, which only increase.
pub type WeightVersion = u64;

/// The age of a sample at the step that consumes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleAge {
    /// Trainer's weight version at the consuming step, minus the oldest version in the sample.
    pub versions: u64,
    /// Seconds between the sample's first token and now.
    pub seconds: u64,
}

/// The bound that a campaign sets on the age of its samples.
///
/// It is applied three times: to the projected age at dispatch, and to the exact age at sealing and at delivery
/// ([docs/DESIGN.md](../../../../docs/DESIGN.md#staleness)).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StalenessRule {
    /// Largest accepted age in weight versions.
    pub max_versions: u64,
    /// Largest accepted age in seconds, where the campaign sets one.
    pub max_seconds: Option<u64>,
}

impl StalenessRule {
    /// Returns whether a sample of this age may be used.
    pub fn accepts(&self, age: SampleAge) -> bool {
        age.versions <= self.max_versions && self.max_seconds.is_none_or(|limit| age.seconds <= limit)
    }

    /// Returns the oldest weight version whose samples a step at `consume_version` accepts.
    pub fn oldest_acceptable(&self, consume_version: WeightVersion) -> WeightVersion {
        consume_version.saturating_sub(self.max_versions)
    }
}
