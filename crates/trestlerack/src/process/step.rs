//! Rows of training steps and their sample groups, and the decision when a step may be sealed.

use crate::Name;
use crate::version::{SampleAge, StalenessRule, WeightVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Progress of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StepState {
    /// Its samples are being generated.
    Open,
    /// Its samples are fixed, and the trainer may read them.
    Sealed,
    /// The trainer has acknowledged that it has them.
    Acknowledged,
}

/// A group of samples of one prompt, as a trainer submits it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// Key of the group, unique within the step.
    pub group: Name,
    /// Prompt that all samples of the group share.
    pub prompt: String,
    /// Number of samples.
    pub size: usize,
}

/// The groups that a trainer submits for one step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSubmission {
    /// Weight version of the trainer at the step that consumes the samples.
    pub consume_version: WeightVersion,
    /// The groups.
    pub groups: Vec<GroupSpec>,
}

/// Returns whether a group's key may contain a character; the key becomes part of table and object keys.
fn is_key_character(character: char) -> bool {
    character.is_ascii_alphanumeric() || matches!(character, '-' | '_' | '.')
}

impl StepSubmission {
    /// Returns what is wrong with the submission, or `None` if it is valid.
    pub fn validation_error(&self) -> Option<String> {
        if self.groups.is_empty() {
            return Some("groups: expected at least one".into());
        }
        let mut seen = std::collections::BTreeSet::new();
        for (index, group) in self.groups.iter().enumerate() {
            if group.group.is_empty() || !group.group.chars().all(is_key_character) {
                return Some(format!("groups[{index}].group: expected letters, digits, - _ or ."));
            }
            if !seen.insert(&group.group) {
                return Some(format!("groups[{index}].group: duplicate key {}", group.group));
            }
            if group.size == 0 || group.size > MAX_GROUP_SIZE {
                return Some(format!("groups[{index}].size: expected 1 to {MAX_GROUP_SIZE}"));
            }
        }
        None
    }
}

/// Maximum number of samples in one group.
const MAX_GROUP_SIZE: usize = 1_024;

/// A group of a sealed step, with the one object that holds its samples.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealedGroup {
    /// Key of the group within the step.
    pub group: Name,
    /// Key of the object with its samples.
    pub object: Name,
    /// Oldest weight version in the group.
    pub oldest_version: WeightVersion,
    /// Wall clock second of the group's first token.
    pub first_unix: u64,
}

/// The row of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepRow {
    /// Campaign of the step.
    pub campaign: Name,
    /// Number of the step within the campaign.
    pub step: u64,
    /// Progress of the step.
    pub state: StepState,
    /// Weight version of the trainer at the step that consumes the samples.
    pub consume_version: WeightVersion,
    /// Digest of the submission; a repeated submission must have the same one.
    pub digest: Name,
    /// Key of the object that holds the submitted groups.
    pub manifest: Name,
    /// Number of submitted groups.
    pub groups: usize,
    /// The sealed groups, in the order of submission; empty while the step is open.
    pub sealed: Vec<SealedGroup>,
    /// Id of the operation that wrote the row last, which tells after a lost response whether the write
    /// took effect.
    pub operation: Name,
}

/// The row of a generated group. The first writer wins, and only sealing makes the group part of a step.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupRow {
    /// Key of the group within the step.
    pub group: Name,
    /// Key of the object with its samples.
    pub object: Name,
    /// Oldest weight version in the group.
    pub oldest_version: WeightVersion,
    /// Wall clock second of the group's first token.
    pub first_unix: u64,
    /// Id of the operation that wrote the row, which tells whose write took effect.
    pub operation: Name,
}

/// Returns the key of a step's row.
pub fn step_key(campaign: &str, step: u64) -> String {
    format!("step/{campaign}/{step:012}")
}

/// Returns the key of the row that exists while a step is open, by which nodes find open steps.
pub fn open_step_key(campaign: &str, step: u64) -> String {
    format!("open/{campaign}/{step:012}")
}

/// Returns the prefix of the rows of a step's groups.
pub fn group_prefix(campaign: &str, step: u64) -> String {
    format!("group/{campaign}/{step:012}/")
}

/// Returns the key of a group's row.
pub fn group_key(campaign: &str, step: u64, group: &str) -> String {
    format!("{}{group}", group_prefix(campaign, step))
}

/// What can be done with an open step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SealDecision {
    /// Every group is generated and fresh enough: write this row on condition that the step's row has not
    /// changed.
    Seal(StepRow),
    /// These groups are missing and are to be generated.
    Missing(Vec<Name>),
    /// These groups are generated but too old: remove their rows and generate them again.
    TooOld(Vec<Name>),
}

/// Decides whether an open step can be sealed at the Unix second `unix_now`.
///
/// `submitted` has the groups' keys in the order of submission, and `generated` the rows of the groups that
/// were generated so far.
pub fn decide_seal(
    row: &StepRow,
    submitted: &[Name],
    generated: &BTreeMap<Name, GroupRow>,
    rule: StalenessRule,
    unix_now: u64,
) -> SealDecision {
    let age_of = |group: &GroupRow| SampleAge {
        versions: row.consume_version.saturating_sub(group.oldest_version),
        seconds: unix_now.saturating_sub(group.first_unix),
    };
    let too_old: Vec<Name> =
        generated.values().filter(|group| !rule.accepts(age_of(group))).map(|group| group.group.clone()).collect();
    if !too_old.is_empty() {
        return SealDecision::TooOld(too_old);
    }
    let missing: Vec<Name> = submitted.iter().filter(|group| !generated.contains_key(*group)).cloned().collect();
    if !missing.is_empty() {
        return SealDecision::Missing(missing);
    }
    let sealed = submitted.iter().map(|group| sealed_group(&generated[group])).collect();
    SealDecision::Seal(StepRow { state: StepState::Sealed, sealed, ..row.clone() })
}

fn sealed_group(row: &GroupRow) -> SealedGroup {
    SealedGroup {
        group: row.group.clone(),
        object: row.object.clone(),
        oldest_version: row.oldest_version,
        first_unix: row.first_unix,
    }
}
