//! Generations of the configuration in the platform's stores.

use super::{ConfigDelta, ConfigFollower, Configuration, Declaration, FollowEvent, plan_change};
use crate::Name;
use crate::hash::digest_hex;
use crate::interfaces::{CommitOutcome, Expectation, ObjectStore, StoreError, TableRow, TableStore, TableTransaction};
use serde::{Deserialize, Serialize};

/// Key of the row that names the newest generation.
const HEAD_KEY: &str = "config/head";

/// Generations between two snapshots.
const SNAPSHOT_EVERY: u64 = 64;

/// Deltas read from the table in one scan.
const SCAN_LIMIT: usize = 256;

/// The row that names the newest generation and the newest snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Newest generation.
    pub generation: u64,
    /// Generation of the newest snapshot.
    pub snapshot_generation: u64,
    /// Object with the newest snapshot; empty before the first one.
    pub snapshot: Name,
}

/// How one try at committing a plan ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitTry {
    /// The delta is the next generation.
    Committed(ConfigDelta),
    /// The plan changes nothing.
    Unchanged,
    /// The scope changed since the plan was made; another intent came between.
    OutOfDate,
    /// Another scope was committed first; catch up and try again.
    Behind,
    /// The declaration cannot be planned.
    Invalid(Name),
}

/// What an operator confirms.
#[derive(Clone, Debug)]
pub struct Confirmation<'a> {
    /// The declaration.
    pub declaration: &'a Declaration,
    /// Generation at which the scope last changed when the plan was made.
    pub made_from: u64,
    /// Digest of the plan.
    pub digest: &'a str,
    /// Id of the confirmation.
    pub operation: Name,
}

/// The configuration in the table service and the object store.
#[derive(Clone, Copy)]
pub struct ConfigStore<'a> {
    table: &'a dyn TableStore,
    objects: &'a dyn ObjectStore,
}

fn change_key(generation: u64) -> String {
    format!("config/change/{generation:012}")
}

impl<'a> ConfigStore<'a> {
    /// Builds the store over the platform's services.
    pub fn new(table: &'a dyn TableStore, objects: &'a dyn ObjectStore) -> Self {
        Self { table, objects }
    }

    /// Returns what a node at `held` lacks, to be fed to its follower in this order.
    pub async fn missing(&self, held: u64) -> Result<Vec<FollowEvent>, StoreError> {
        let (_, head) = self.read_head().await?;
        let mut events = Vec::new();
        let mut after = held;
        if head.snapshot_generation > held && !head.snapshot.is_empty() {
            let content = self.objects.get(&head.snapshot).await?;
            let snapshot: Option<Configuration> = content.and_then(|content| serde_json::from_slice(&content).ok());
            if let Some(snapshot) = snapshot {
                after = snapshot.generation;
                events.push(FollowEvent::Snapshot(snapshot));
            }
        }
        while after < head.generation {
            let rows = self.table.scan("config/change/", &change_key(after), SCAN_LIMIT).await?;
            let deltas: Vec<ConfigDelta> =
                rows.into_iter().filter_map(|row| serde_json::from_value(row.value).ok()).collect();
            let Some(last) = deltas.last() else { break };
            after = last.generation;
            events.push(FollowEvent::Deltas(deltas));
        }
        Ok(events)
    }

    /// Tries to commit a confirmed plan on top of `held`.
    pub async fn try_commit(
        &self,
        held: &Configuration,
        confirmation: &Confirmation<'_>,
    ) -> Result<CommitTry, StoreError> {
        let (row, head) = self.read_head().await?;
        if head.generation != held.generation {
            return Ok(CommitTry::Behind);
        }
        let plan = match plan_change(held, confirmation.declaration) {
            Ok(plan) => plan,
            Err(error) => return Ok(CommitTry::Invalid(error.to_string().into())),
        };
        if plan.made_from != confirmation.made_from || plan.digest.as_ref() != confirmation.digest {
            return Ok(CommitTry::OutOfDate);
        }
        if plan.changes.is_empty() {
            return Ok(CommitTry::Unchanged);
        }
        let delta = plan.into_delta(head.generation + 1, confirmation.operation.clone());
        let next = self.next_head(held, &head, &delta).await;
        let key = change_key(delta.generation);
        let transaction = TableTransaction::default()
            .expect(HEAD_KEY, TableTransaction::expectation_of(row.as_ref()))
            .expect(&key, Expectation::Absent)
            .put(HEAD_KEY, serde_json::to_value(&next).expect("a head row always encodes"))
            .put(&key, serde_json::to_value(&delta).expect("a delta always encodes"));
        match self.table.commit(transaction).await {
            Ok(CommitOutcome::Committed) => Ok(CommitTry::Committed(delta)),
            Ok(CommitOutcome::Conflict) => Ok(CommitTry::Behind),
            Err(StoreError::Unknown) => self.settle(delta).await,
            Err(error) => Err(error),
        }
    }

    /// Settles a commit whose answer was lost by reading back under the operation's own id. A row
    /// that is still absent proves nothing, since the write may be under way.
    async fn settle(&self, delta: ConfigDelta) -> Result<CommitTry, StoreError> {
        let row = self.table.read(&change_key(delta.generation)).await.map_err(|_| StoreError::Unknown)?;
        let held: Option<ConfigDelta> = row.and_then(|row| serde_json::from_value(row.value).ok());
        match held {
            Some(held) if held.operation == delta.operation => Ok(CommitTry::Committed(delta)),
            Some(_) => Ok(CommitTry::Behind),
            None => Err(StoreError::Unknown),
        }
    }

    /// Brings a follower up to date.
    pub async fn catch_up(&self, follower: &mut ConfigFollower) -> Result<(), StoreError> {
        for event in self.missing(follower.current().generation).await? {
            // The caller looks at the generation in force, not at each step on the way to it.
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

    /// Writes a snapshot now and then, so that a starting node need not read every delta.
    async fn next_head(&self, held: &Configuration, head: &ConfigHead, delta: &ConfigDelta) -> ConfigHead {
        let next = ConfigHead { generation: delta.generation, ..head.clone() };
        let mut snapshot = held.clone();
        if !delta.generation.is_multiple_of(SNAPSHOT_EVERY) || !snapshot.apply(delta) {
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
