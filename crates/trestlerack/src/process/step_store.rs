//! Steps and groups in the platform's stores: opened, recorded, sealed and acknowledged once.
//!
//! Every write is a compare-and-set, and a lost answer is settled by reading back under the
//! operation's own id ([docs/DESIGN.md](../../../../docs/DESIGN.md#exactly-once)).

use super::step::{
    GroupRow, SealDecision, StepRow, StepState, StepSubmission, decide_seal, group_key, group_prefix, open_key,
    step_key,
};
use crate::Name;
use crate::hash::digest_hex;
use crate::interfaces::{CommitOutcome, Expectation, ObjectStore, StoreError, TableRow, TableStore, TableTransaction};
use crate::version::{StalenessRule, WeightVersion};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex};

/// Tries at a write whose answer is lost again and again, or that others get in the way of.
const WRITE_TRIES: usize = 8;

/// Rows read in one scan.
const SCAN_LIMIT: usize = 1_000;

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

/// How recording a group ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// This group's row stands.
    Ours,
    /// Another node's row stood first.
    Superseded,
}

/// How opening a step ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Opened {
    /// The step is new.
    New,
    /// The same groups were submitted before; the step is in this state.
    Again(StepState),
    /// Other groups were submitted before for this step.
    Conflict,
}

/// What a look at an open step led to.
#[derive(Clone, Debug, PartialEq)]
pub enum StepLook {
    /// The step is not open.
    Closed,
    /// The step was sealed by this look.
    Sealed(StepRow),
    /// These groups are missing and should be made.
    Missing {
        /// The step.
        row: StepRow,
        /// The submitted groups.
        submission: Arc<StepSubmission>,
        /// Keys of the missing groups.
        missing: Vec<Name>,
    },
    /// These groups were too old and their rows were removed, so that they are made again.
    Removed {
        /// The step.
        row: StepRow,
        /// Keys of the removed groups.
        removed: Vec<Name>,
    },
}

/// Submitted groups of open steps by manifest; they never change, so they are read once.
#[derive(Debug, Default)]
pub struct ManifestCache {
    held: Mutex<HashMap<Name, Arc<StepSubmission>>>,
}

impl ManifestCache {
    fn get(&self, manifest: &str) -> Option<Arc<StepSubmission>> {
        self.held.lock().unwrap().get(manifest).cloned()
    }

    fn keep(&self, manifest: &Name, submission: StepSubmission) -> Arc<StepSubmission> {
        let submission = Arc::new(submission);
        self.held.lock().unwrap().insert(manifest.clone(), submission.clone());
        submission
    }

    fn forget(&self, manifest: &str) {
        self.held.lock().unwrap().remove(manifest);
    }
}

/// Steps and groups in the table service and the object store.
#[derive(Clone, Copy)]
pub struct StepStore<'a> {
    table: &'a dyn TableStore,
    objects: &'a dyn ObjectStore,
}

impl<'a> StepStore<'a> {
    /// Builds the store over the platform's services.
    pub fn new(table: &'a dyn TableStore, objects: &'a dyn ObjectStore) -> Self {
        Self { table, objects }
    }

    /// Opens a step. A repeated submission finds its own row, whichever node it came through first.
    pub async fn open(
        &self,
        campaign: &Name,
        step: u64,
        submission: &StepSubmission,
        operation: Name,
    ) -> Result<Opened, StoreError> {
        let content = encode(submission);
        let digest: Name = digest_hex(&content).into();
        let manifest: Name = format!("manifests/{campaign}/{step:012}/{digest}").into();
        self.objects.put(&manifest, content).await?;
        let row = StepRow {
            campaign: campaign.clone(),
            step,
            state: StepState::Open,
            consume_version: submission.consume_version,
            digest,
            manifest,
            groups: submission.groups.len(),
            sealed: Vec::new(),
            operation,
        };
        let key = step_key(campaign, step);
        let transaction = TableTransaction::default()
            .expect(&key, Expectation::Absent)
            .put(&key, to_value(&row))
            .put(open_key(campaign, step), serde_json::json!({ "step": step }));
        match self.table.commit(transaction).await {
            Ok(CommitOutcome::Committed) => return Ok(Opened::New),
            Ok(CommitOutcome::Conflict) | Err(StoreError::Unknown) => {}
            Err(error) => return Err(error),
        }
        let Some((_, held)) = self.read(campaign, step).await? else { return Err(StoreError::Unknown) };
        if held.operation == row.operation {
            return Ok(Opened::New);
        }
        Ok(if held.digest == row.digest { Opened::Again(held.state) } else { Opened::Conflict })
    }

    /// Reads a step.
    pub async fn read(&self, campaign: &str, step: u64) -> Result<Option<(TableRow, StepRow)>, StoreError> {
        let row = self.table.read(&step_key(campaign, step)).await?;
        row.map(decode_row).transpose()
    }

    /// Lists the open steps of a campaign.
    pub async fn list_open(&self, campaign: &str) -> Result<Vec<u64>, StoreError> {
        let rows = self.table.scan(&format!("open/{campaign}/"), "", SCAN_LIMIT).await?;
        Ok(rows.iter().filter_map(|row| row.value.get("step")?.as_u64()).collect())
    }

    /// Records a group once. Repeating it is harmless, also when an earlier answer was lost.
    pub async fn record(&self, group: &MadeGroup) -> Result<Recorded, StoreError> {
        let content = group.lines.clone().into_bytes();
        let object: Name = format!("samples/{}/{:012}/{}", group.campaign, group.step, digest_hex(&content)).into();
        self.objects.put(&object, content).await?;
        let row = GroupRow {
            group: group.group.clone(),
            object,
            oldest_version: group.oldest_version,
            first_unix: group.first_unix,
            operation: group.operation.clone(),
        };
        let key = group.key();
        for _ in 0..WRITE_TRIES {
            let transaction = TableTransaction::default().expect(&key, Expectation::Absent).put(&key, to_value(&row));
            match self.table.commit(transaction).await {
                Ok(CommitOutcome::Committed) => return Ok(Recorded::Ours),
                Ok(CommitOutcome::Conflict) | Err(StoreError::Unknown) => {}
                Err(error) => return Err(error),
            }
            // The row, and nothing else, tells whose write stands.
            if let Some(held) = self.table.read(&key).await? {
                let (_, held): (TableRow, GroupRow) = decode_row(held)?;
                let is_ours = held.operation == group.operation;
                return Ok(if is_ours { Recorded::Ours } else { Recorded::Superseded });
            }
        }
        Err(StoreError::Unknown)
    }

    /// Looks at an open step: seals it, removes what is too old, or tells what is missing.
    pub async fn look(
        &self,
        campaign: &str,
        step: u64,
        rule: StalenessRule,
        unix_now: u64,
        operation: Name,
        manifests: &ManifestCache,
    ) -> Result<StepLook, StoreError> {
        let Some((held, row)) = self.read(campaign, step).await? else { return Ok(StepLook::Closed) };
        if row.state != StepState::Open {
            return Ok(StepLook::Closed);
        }
        let submission = self.submission(&row.manifest, manifests).await?;
        let made = self.read_groups(campaign, step).await?;
        let submitted: Vec<Name> = submission.groups.iter().map(|group| group.group.clone()).collect();
        let rows = made.iter().map(|(name, (_, group))| (name.clone(), group.clone())).collect();
        match decide_seal(&row, &submitted, &rows, rule, unix_now) {
            SealDecision::Seal(sealed) => {
                let look = self.seal(&held, StepRow { operation, ..sealed }).await?;
                manifests.forget(&row.manifest);
                Ok(look)
            }
            SealDecision::Missing(missing) => Ok(StepLook::Missing { row, submission, missing }),
            SealDecision::TooOld(groups) => {
                let removed = self.remove(&groups, &made).await?;
                Ok(StepLook::Removed { row, removed })
            }
        }
    }

    /// Records that the trainer has a step; returns the row as it then stands.
    pub async fn acknowledge(&self, campaign: &str, step: u64, operation: Name) -> Result<Option<StepRow>, StoreError> {
        for _ in 0..WRITE_TRIES {
            let Some((held, row)) = self.read(campaign, step).await? else { return Ok(None) };
            if row.state != StepState::Sealed {
                return Ok(Some(row));
            }
            let next = StepRow { state: StepState::Acknowledged, operation: operation.clone(), ..row };
            let transaction = TableTransaction::default()
                .expect(&held.key, TableTransaction::expectation_of(Some(&held)))
                .put(&held.key, to_value(&next));
            // Conflicts and lost answers are settled by reading back in the next round.
            match self.table.commit(transaction).await {
                Ok(CommitOutcome::Committed) => return Ok(Some(next)),
                Ok(CommitOutcome::Conflict) | Err(StoreError::Unknown) => {}
                Err(error) => return Err(error),
            }
        }
        Err(StoreError::Unknown)
    }

    async fn submission(&self, manifest: &Name, cache: &ManifestCache) -> Result<Arc<StepSubmission>, StoreError> {
        if let Some(held) = cache.get(manifest) {
            return Ok(held);
        }
        let content = self.objects.get(manifest).await?.ok_or(StoreError::Unavailable)?;
        let submission = serde_json::from_slice(&content).map_err(|_| StoreError::Unavailable)?;
        Ok(cache.keep(manifest, submission))
    }

    async fn read_groups(&self, campaign: &str, step: u64) -> Result<BTreeMap<Name, (TableRow, GroupRow)>, StoreError> {
        let prefix = group_prefix(campaign, step);
        let mut groups = BTreeMap::new();
        let mut after = String::new();
        loop {
            let rows = self.table.scan(&prefix, &after, SCAN_LIMIT).await?;
            let is_last = rows.len() < SCAN_LIMIT;
            after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
            for row in rows {
                let (row, group): (TableRow, GroupRow) = decode_row(row)?;
                groups.insert(group.group.clone(), (row, group));
            }
            if is_last {
                return Ok(groups);
            }
        }
    }

    /// Seals a step: one transaction that names its samples once and for all. A lost answer needs
    /// no settling here, since the next look finds the step closed or seals it.
    async fn seal(&self, held: &TableRow, sealed: StepRow) -> Result<StepLook, StoreError> {
        let transaction = TableTransaction::default()
            .expect(&held.key, TableTransaction::expectation_of(Some(held)))
            .put(&held.key, to_value(&sealed))
            .remove(open_key(&sealed.campaign, sealed.step));
        match self.table.commit(transaction).await? {
            CommitOutcome::Committed => Ok(StepLook::Sealed(sealed)),
            CommitOutcome::Conflict => Ok(StepLook::Closed),
        }
    }

    async fn remove(
        &self,
        groups: &[Name],
        made: &BTreeMap<Name, (TableRow, GroupRow)>,
    ) -> Result<Vec<Name>, StoreError> {
        let mut removed = Vec::new();
        for group in groups {
            let (row, _) = &made[group];
            let transaction = TableTransaction::default()
                .expect(&row.key, TableTransaction::expectation_of(Some(row)))
                .remove(&row.key);
            if self.table.commit(transaction).await? == CommitOutcome::Committed {
                removed.push(group.clone());
            }
        }
        Ok(removed)
    }
}

fn encode(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("rows and manifests always encode")
}

fn to_value(value: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(value).expect("rows always encode")
}

fn decode_row<T: DeserializeOwned>(row: TableRow) -> Result<(TableRow, T), StoreError> {
    let value = serde_json::from_value(row.value.clone()).map_err(|_| StoreError::Unavailable)?;
    Ok((row, value))
}
