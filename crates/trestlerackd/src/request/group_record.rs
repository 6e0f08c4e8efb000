//! Records a made group once: an object with its samples and a row that the first writer wins.

use crate::node::Node;
use crate::process::logs;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use trestlerack::border::{CommitOutcome, StoreError, TableTransaction};
use trestlerack::hash::digest_hex;
use trestlerack::process::{GroupRow, group_key};
use trestlerack::version::WeightVersion;
use trestlerack::{Name, event};

/// Tries at a commit whose answer is lost again and again.
const SETTLE_TRIES: usize = 3;

/// A made group on its way to the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MadeGroup {
    /// Campaign.
    pub campaign: Name,
    /// Step.
    pub step: u64,
    /// Key of the group.
    pub group: Name,
    /// Samples as JSON lines.
    pub lines: String,
    /// Oldest weight version in the group.
    pub oldest_version: WeightVersion,
    /// Wall clock second of the group's first token.
    pub first_unix: u64,
    /// Id of the operation that records the group.
    pub operation: Name,
}

impl MadeGroup {
    /// Returns the key of the group's row.
    pub fn key(&self) -> String {
        group_key(&self.campaign, self.step, &self.group)
    }

    /// Returns about how many bytes the group holds in memory.
    pub fn size(&self) -> usize {
        self.lines.len() + std::mem::size_of::<Self>()
    }
}

/// How recording ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// This group's row stands.
    Ours,
    /// Another node's row stood first.
    Superseded,
}

/// Why a group could not be recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordError {
    /// The store did not take it; it may be tried again.
    Store(StoreError),
}

/// Records a group. Repeating it is harmless, also when an earlier answer was lost.
pub async fn record(node: &Arc<Node>, group: &MadeGroup) -> Result<Recorded, RecordError> {
    let content = group.lines.clone().into_bytes();
    let object: Name = format!("samples/{}/{:012}/{}", group.campaign, group.step, digest_hex(&content)).into();
    if let Err(error) = node.objects.put(&object, content).await {
        logs::write(event::OBJECT_FAILED, &[("call", &"put samples"), ("error", &error)]);
        return Err(RecordError::Store(error));
    }
    let outcome = write_row(node, group, object).await.map_err(RecordError::Store)?;
    let event = match outcome {
        Recorded::Ours => event::GROUP_RECORDED,
        Recorded::Superseded => event::GROUP_SUPERSEDED,
    };
    logs::write(event, &[("group", &group.key())]);
    Ok(outcome)
}

async fn write_row(node: &Arc<Node>, group: &MadeGroup, object: Name) -> Result<Recorded, StoreError> {
    let key = group.key();
    let row = GroupRow {
        group: group.group.clone(),
        object,
        oldest_version: group.oldest_version,
        first_unix: group.first_unix,
        operation: group.operation.clone(),
    };
    let value = serde_json::to_value(&row).map_err(|_| StoreError::Unavailable)?;
    for _ in 0..SETTLE_TRIES {
        let transaction =
            TableTransaction::default().expect(&key, trestlerack::border::Expectation::Absent).put(&key, value.clone());
        match node.table.commit(transaction).await {
            Ok(CommitOutcome::Committed) => return Ok(Recorded::Ours),
            Ok(CommitOutcome::Conflict) | Err(StoreError::Unknown) => {}
            Err(StoreError::Unavailable) => return Err(StoreError::Unavailable),
        }
        // The row, and nothing else, tells whose write stands.
        if let Some(held) = node.table.read(&key).await? {
            let held: Option<GroupRow> = serde_json::from_value(held.value).ok();
            let is_ours = held.is_some_and(|held| held.operation == group.operation);
            return Ok(if is_ours { Recorded::Ours } else { Recorded::Superseded });
        }
    }
    Err(StoreError::Unknown)
}
