//! Stores steps and their groups, so that each is opened, recorded, sealed and acknowledged exactly once.
//!
//! Every write is a compare-and-set. After a lost response the row is read back, and the operation id in it
//! tells whether the write took effect ([docs/DESIGN.md](../../../../docs/DESIGN.md#exactly-once)).

use super::step::{
    GroupRow, SealDecision, StepRow, StepState, StepSubmission, decide_seal, group_key, group_prefix, open_step_key,
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

/// Maximum number of tries of a write whose response is lost or that conflicts with other writes.
const MAX_WRITE_TRIES: usize = 8;

/// Maximum number of rows that one scan reads.
const SCAN_LIMIT: usize = 1_000;

/// A generated group that is to be stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GeneratedGroup {
    /// Campaign of the step.
    pub campaign: Name,
    /// Number of the step within the campaign.
    pub step: u64,
    /// Key of the group within the step.
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

impl GeneratedGroup {
    /// Returns the key of the group's row.
    pub fn key(&self) -> String {
        group_key(&self.campaign, self.step, &self.group)
    }

    /// Returns the approximate number of bytes that the group takes in memory.
    pub fn size(&self) -> usize {
        self.lines.len() + std::mem::size_of::<Self>()
    }
}

/// Outcome of recording a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordOutcome {
    /// The row of this group was stored, now or by an earlier try.
    Stored,
    /// Another node's row was stored first.
    Superseded,
}

/// Outcome of opening a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    /// The step is new and was opened by this operation.
    Created,
    /// The same groups were submitted before, and the step is in this state.
    Existing(StepState),
    /// Different groups were submitted for this step before.
    Conflict,
}

/// Outcome of an attempt to seal a step.
#[derive(Clone, Debug, PartialEq)]
pub enum SealOutcome {
    /// The step is not open.
    NotOpen,
    /// This attempt sealed the step.
    Sealed(StepRow),
    /// Groups are missing and are to be generated.
    Missing {
        /// Row of the step.
        row: StepRow,
        /// The submission, with all groups of the step.
        submission: Arc<StepSubmission>,
        /// Keys of the missing groups.
        missing: Vec<Name>,
    },
    /// Groups were too old. Their rows were removed, so that they are generated again.
    Removed {
        /// Row of the step.
        row: StepRow,
        /// Keys of the removed groups.
        removed: Vec<Name>,
    },
}

/// Submissions of open steps by manifest key. A submission never changes, so each is read once.
#[derive(Debug, Default)]
pub struct ManifestCache {
    submissions: Mutex<HashMap<Name, Arc<StepSubmission>>>,
}

impl ManifestCache {
    fn get(&self, manifest: &str) -> Option<Arc<StepSubmission>> {
        self.submissions.lock().unwrap().get(manifest).cloned()
    }

    fn insert(&self, manifest: &Name, submission: StepSubmission) -> Arc<StepSubmission> {
        let submission = Arc::new(submission);
        self.submissions.lock().unwrap().insert(manifest.clone(), submission.clone());
        submission
    }

    fn remove(&self, manifest: &str) {
        self.submissions.lock().unwrap().remove(manifest);
    }
}

/// Access to the steps and groups in the table service and the object store.
#[derive(Clone, Copy)]
pub struct StepStore<'a> {
    table: &'a dyn TableStore,
    objects: &'a dyn ObjectStore,
}

impl<'a> StepStore<'a> {
    /// Builds the store on top of the platform's services.
    pub fn new(table: &'a dyn TableStore, objects: &'a dyn ObjectStore) -> Self {
        Self { table, objects }
    }

    /// Opens a step. A repeated submission finds the existing row, whichever node wrote it.
    ///
    /// Fails with [`StoreError::Unknown`] if the step may have been opened.
    pub async fn open(
        &self,
        campaign: &Name,
        step: u64,
        submission: &StepSubmission,
        operation: Name,
    ) -> Result<OpenOutcome, StoreError> {
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
            .put(open_step_key(campaign, step), serde_json::json!({ "step": step }));
        match self.table.commit(transaction).await {
            Ok(CommitOutcome::Committed) => return Ok(OpenOutcome::Created),
            Ok(CommitOutcome::Conflict) | Err(StoreError::Unknown) => {}
            Err(error) => return Err(error),
        }
        let Some((_, existing)) = self.read(campaign, step).await? else { return Err(StoreError::Unknown) };
        if existing.operation == row.operation {
            return Ok(OpenOutcome::Created);
        }
        Ok(if existing.digest == row.digest { OpenOutcome::Existing(existing.state) } else { OpenOutcome::Conflict })
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

    /// Records a group unless one is recorded already. It is idempotent, so it may be repeated after a
    /// lost response.
    pub async fn record(&self, group: &GeneratedGroup) -> Result<RecordOutcome, StoreError> {
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
        for _ in 0..MAX_WRITE_TRIES {
            let transaction = TableTransaction::default().expect(&key, Expectation::Absent).put(&key, to_value(&row));
            match self.table.commit(transaction).await {
                Ok(CommitOutcome::Committed) => return Ok(RecordOutcome::Stored),
                Ok(CommitOutcome::Conflict) | Err(StoreError::Unknown) => {}
                Err(error) => return Err(error),
            }
            // Only the row tells whose write took effect.
            if let Some(existing) = self.table.read(&key).await? {
                let (_, existing): (TableRow, GroupRow) = decode_row(existing)?;
                let is_own = existing.operation == group.operation;
                return Ok(if is_own { RecordOutcome::Stored } else { RecordOutcome::Superseded });
            }
        }
        Err(StoreError::Unknown)
    }

    /// Seals an open step if all groups are there and fresh. Otherwise removes the groups that are too old,
    /// or returns those that are missing.
    pub async fn try_seal(
        &self,
        campaign: &str,
        step: u64,
        rule: StalenessRule,
        unix_now: u64,
        operation: Name,
        manifests: &ManifestCache,
    ) -> Result<SealOutcome, StoreError> {
        let Some((current, row)) = self.read(campaign, step).await? else { return Ok(SealOutcome::NotOpen) };
        if row.state != StepState::Open {
            return Ok(SealOutcome::NotOpen);
        }
        let submission = self.submission(&row.manifest, manifests).await?;
        let generated = self.read_groups(campaign, step).await?;
        let submitted: Vec<Name> = submission.groups.iter().map(|group| group.group.clone()).collect();
        let rows = generated.iter().map(|(name, (_, group))| (name.clone(), group.clone())).collect();
        match decide_seal(&row, &submitted, &rows, rule, unix_now) {
            SealDecision::Seal(sealed) => {
                let outcome = self.seal(&current, StepRow { operation, ..sealed }).await?;
                manifests.remove(&row.manifest);
                Ok(outcome)
            }
            SealDecision::Missing(missing) => Ok(SealOutcome::Missing { row, submission, missing }),
            SealDecision::TooOld(groups) => {
                let removed = self.remove(&groups, &generated).await?;
                Ok(SealOutcome::Removed { row, removed })
            }
        }
    }

    /// Records that the trainer has a sealed step. Returns the step's row after that, or `None` if there is
    /// no such step.
    pub async fn acknowledge(&self, campaign: &str, step: u64, operation: Name) -> Result<Option<StepRow>, StoreError> {
        for _ in 0..MAX_WRITE_TRIES {
            let Some((current, row)) = self.read(campaign, step).await? else { return Ok(None) };
            if row.state != StepState::Sealed {
                return Ok(Some(row));
            }
            let next = StepRow { state: StepState::Acknowledged, operation: operation.clone(), ..row };
            let transaction = TableTransaction::default()
                .expect(&current.key, TableTransaction::expectation_of(Some(&current)))
                .put(&current.key, to_value(&next));
            // After a conflict or a lost response, the next try reads the row again.
            match self.table.commit(transaction).await {
                Ok(CommitOutcome::Committed) => return Ok(Some(next)),
                Ok(CommitOutcome::Conflict) | Err(StoreError::Unknown) => {}
                Err(error) => return Err(error),
            }
        }
        Err(StoreError::Unknown)
    }

    async fn submission(&self, manifest: &Name, cache: &ManifestCache) -> Result<Arc<StepSubmission>, StoreError> {
        if let Some(cached) = cache.get(manifest) {
            return Ok(cached);
        }
        let content = self.objects.get(manifest).await?.ok_or(StoreError::Unavailable)?;
        let submission = serde_json::from_slice(&content).map_err(|_| StoreError::Unavailable)?;
        Ok(cache.insert(manifest, submission))
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

    /// Seals a step in one transaction, which fixes its samples for good. A lost response need not be
    /// resolved here, because the next attempt finds the step sealed or seals it.
    async fn seal(&self, current: &TableRow, sealed: StepRow) -> Result<SealOutcome, StoreError> {
        let transaction = TableTransaction::default()
            .expect(&current.key, TableTransaction::expectation_of(Some(current)))
            .put(&current.key, to_value(&sealed))
            .remove(open_step_key(&sealed.campaign, sealed.step));
        match self.table.commit(transaction).await? {
            CommitOutcome::Committed => Ok(SealOutcome::Sealed(sealed)),
            CommitOutcome::Conflict => Ok(SealOutcome::NotOpen),
        }
    }

    async fn remove(
        &self,
        groups: &[Name],
        generated: &BTreeMap<Name, (TableRow, GroupRow)>,
    ) -> Result<Vec<Name>, StoreError> {
        let mut removed = Vec::new();
        for group in groups {
            let (row, _) = &generated[group];
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
    serde_json::to_vec(value).expect("rows and manifests can be encoded")
}

fn to_value(value: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(value).expect("rows can be encoded")
}

fn decode_row<T: DeserializeOwned>(row: TableRow) -> Result<(TableRow, T), StoreError> {
    let value = serde_json::from_value(row.value.clone()).map_err(|_| StoreError::Unavailable)?;
    Ok((row, value))
}
