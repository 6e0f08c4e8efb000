//! Stores the generations of the configuration in the table service and the object store.

use super::{ConfigDelta, ConfigFollower, Configuration, Declaration, FollowEvent, plan_change};
use crate::Name;
use crate::hash::digest_hex;
use crate::interfaces::{CommitOutcome, Expectation, ObjectStore, StoreError, TableRow, TableStore, TableTransaction};
use serde::{Deserialize, Serialize};

/// Key of the row that names the newest generation.
const HEAD_KEY: &str = "config/head";

/// Number of generations from one snapshot to the next.
const SNAPSHOT_INTERVAL: u64 = 64;

/// Largest number of deltas read from the table in one scan.
const MAX_SCAN_ROWS: usize = 256;

/// The row that names the newest generation and the newest snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Newest generation.
    pub generation: u64,
    /// Generation of the newest snapshot.
    pub snapshot_generation: u64,
    /// Key of the object with the newest snapshot; empty before the first one.
    pub snapshot: Name,
}

/// The result of one attempt to commit a plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanCommit {
    /// The delta was committed as the next generation.
    Committed(ConfigDelta),
    /// The plan changes nothing.
    Unchanged,
    /// Another change of the same scope was committed after the plan was made.
    Outdated,
    /// A newer generation exists; the caller must catch up and try again.
    Behind,
    /// No plan can be made from the declaration, for this reason.
    Invalid(Name),
}

/// An operator's confirmation of a plan.
#[derive(Clone, Debug)]
pub struct PlanConfirmation<'a> {
    /// The declaration that was planned.
    pub declaration: &'a Declaration,
    /// Generation at which the scope last changed when the plan was made.
    pub base_generation: u64,
    /// Digest of the plan.
    pub digest: &'a str,
    /// Id of the confirmation, by which its own commit is recognised.
    pub operation: Name,
}

/// Reads and commits the configuration in the table service and the object store.
#[derive(Clone, Copy)]
pub struct ConfigStore<'a> {
    table: &'a dyn TableStore,
    objects: &'a dyn ObjectStore,
}

fn change_key(generation: u64) -> String {
    format!("config/change/{generation:012}")
}

impl<'a> ConfigStore<'a> {
    /// Builds the store on a table service and an object store.
    pub fn new(table: &'a dyn TableStore, objects: &'a dyn ObjectStore) -> Self {
        Self { table, objects }
    }

    /// Returns the events that bring a follower from `generation` to the newest generation, in the order in
    /// which it must handle them.
    pub async fn events_after(&self, generation: u64) -> Result<Vec<FollowEvent>, StoreError> {
        let (_, head) = self.read_head().await?;
        let mut events = Vec::new();
        let mut after = generation;
        if head.snapshot_generation > generation && !head.snapshot.is_empty() {
            let content = self.objects.get(&head.snapshot).await?;
            let snapshot: Option<Configuration> = content.and_then(|content| serde_json::from_slice(&content).ok());
            if let Some(snapshot) = snapshot {
                after = snapshot.generation;
                events.push(FollowEvent::Snapshot(snapshot));
            }
        }
        while after < head.generation {
            let rows = self.table.scan("config/change/", &change_key(after), MAX_SCAN_ROWS).await?;
            let deltas: Vec<ConfigDelta> =
                rows.into_iter().filter_map(|row| serde_json::from_value(row.value).ok()).collect();
            let Some(last) = deltas.last() else { break };
            after = last.generation;
            events.push(FollowEvent::Deltas(deltas));
        }
        Ok(events)
    }

    /// Tries to commit a confirmed plan as the generation after `current`.
    pub async fn try_commit(
        &self,
        current: &Configuration,
        confirmation: &PlanConfirmation<'_>,
    ) -> Result<PlanCommit, StoreError> {
        let (row, head) = self.read_head().await?;
        if head.generation != current.generation {
            return Ok(PlanCommit::Behind);
        }
        let plan = match plan_change(current, confirmation.declaration) {
            Ok(plan) => plan,
            Err(error) => return Ok(PlanCommit::Invalid(error.to_string().into())),
        };
        if plan.base_generation != confirmation.base_generation || plan.digest.as_ref() != confirmation.digest {
            return Ok(PlanCommit::Outdated);
        }
        if plan.changes.is_empty() {
            return Ok(PlanCommit::Unchanged);
        }
        let delta = plan.into_delta(head.generation + 1, confirmation.operation.clone());
        let next = self.next_head(current, &head, &delta).await;
        let key = change_key(delta.generation);
        let transaction = TableTransaction::default()
            .expect(HEAD_KEY, TableTransaction::expectation_of(row.as_ref()))
            .expect(&key, Expectation::Absent)
            .put(HEAD_KEY, serde_json::to_value(&next).expect("a head row always encodes"))
            .put(&key, serde_json::to_value(&delta).expect("a delta always encodes"));
        match self.table.commit(transaction).await {
            Ok(CommitOutcome::Committed) => Ok(PlanCommit::Committed(delta)),
            Ok(CommitOutcome::Conflict) => Ok(PlanCommit::Behind),
            Err(StoreError::Unknown) => self.resolve_unknown_commit(delta).await,
            Err(error) => Err(error),
        }
    }

    /// Finds out whether a commit took effect whose response was lost, by comparing the operation id of the
    /// stored row. If the row is absent, the result stays unknown, since the write may still be in progress.
    async fn resolve_unknown_commit(&self, delta: ConfigDelta) -> Result<PlanCommit, StoreError> {
        let row = self.table.read(&change_key(delta.generation)).await.map_err(|_| StoreError::Unknown)?;
        let stored: Option<ConfigDelta> = row.and_then(|row| serde_json::from_value(row.value).ok());
        match stored {
            Some(stored) if stored.operation == delta.operation => Ok(PlanCommit::Committed(delta)),
            Some(_) => Ok(PlanCommit::Behind),
            None => Err(StoreError::Unknown),
        }
    }

    /// Brings a follower to the newest generation.
    pub async fn catch_up(&self, follower: &mut ConfigFollower) -> Result<(), StoreError> {
        for event in self.events_after(follower.current().generation).await? {
            // The returned actions are not needed, since the caller reads the resulting generation.
            let _ = follower.handle(event);
        }
        Ok(())
    }

    async fn read_head(&self) -> Result<(Option<TableRow>, ConfigHead), StoreError> {
        let row = self.table.read(HEAD_KEY).await?;
        let head = row.as_ref().map(|row| serde_json::from_value(row.value.clone()));
        let head = head.transpose().map_err(|_| StoreError::Unavailable)?;
        Ok((row, head.unwrap_or_default()))
    }

    /// Returns the next head row. Writes a snapshot at every `SNAPSHOT_INTERVAL`-th generation, so that a
    /// starting node need not read every delta.
    async fn next_head(&self, current: &Configuration, head: &ConfigHead, delta: &ConfigDelta) -> ConfigHead {
        let next = ConfigHead { generation: delta.generation, ..head.clone() };
        let mut snapshot = current.clone();
        if !delta.generation.is_multiple_of(SNAPSHOT_INTERVAL) || !snapshot.apply(delta) {
            return next;
        }
        let content = serde_json::to_vec(&snapshot).expect("a configuration always encodes");
        let key: Name = format!("config/{}", digest_hex(&content)).into();
        match self.objects.put(&key, content).await {
            Ok(()) => ConfigHead { snapshot: key, snapshot_generation: delta.generation, ..next },
            // Without the snapshot a starting node reads more deltas; nothing else depends on it.
            Err(_) => next,
        }
    }
}
