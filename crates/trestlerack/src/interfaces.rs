//! Traits at the borders of the product: the platform, back ends and clocks.
//!
//! The daemon implements them over HTTP; tests implement them in memory. The contract of each
//! store call is what the promises rest on, so it is stated here and not with an implementation.

use crate::connection::{CallSpec, TokenChunk};
use crate::version::{EngineOrder, WeightVersion};
use crate::{Failure, Name, Timestamp};
use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row of the platform's table service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key of the row.
    pub key: String,
    /// Version given by the table service; it changes with every write of the row.
    pub version: u64,
    /// Content of the row.
    pub value: Value,
}

/// What must be true of a row for a transaction to be applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expectation {
    /// The row does not exist.
    Absent,
    /// The row exists at exactly this version.
    Version(u64),
}

/// A set of preconditions and writes that is applied whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Preconditions by key.
    pub expect: Vec<(String, Expectation)>,
    /// New content by key; `None` removes the row.
    pub write: Vec<(String, Option<Value>)>,
}

impl TableTransaction {
    /// Adds a precondition.
    #[must_use]
    pub fn expect(mut self, key: impl Into<String>, expectation: Expectation) -> Self {
        self.expect.push((key.into(), expectation));
        self
    }

    /// Adds a write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: Value) -> Self {
        self.write.push((key.into(), Some(value)));
        self
    }

    /// Adds a removal.
    #[must_use]
    pub fn remove(mut self, key: impl Into<String>) -> Self {
        self.write.push((key.into(), None));
        self
    }

    /// Returns whether every precondition holds, given the version of each row that exists.
    pub fn is_applicable(&self, version_of: impl Fn(&str) -> Option<u64>) -> bool {
        self.expect.iter().all(|(key, expectation)| match (version_of(key), expectation) {
            (None, Expectation::Absent) => true,
            (Some(held), Expectation::Version(version)) => held == *version,
            _ => false,
        })
    }

    /// Returns the expectation that holds for what was read: absent, or this version.
    pub fn expectation_of(row: Option<&TableRow>) -> Expectation {
        row.map_or(Expectation::Absent, |row| Expectation::Version(row.version))
    }
}

/// The answer of the table service to a transaction that it decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitOutcome {
    /// All writes were applied.
    Committed,
    /// A precondition did not hold and nothing was written.
    Conflict,
}

/// Why a store gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call did not reach the store, or the store refused it before acting.
    Unavailable,
    /// The store refused the call before acting, because more calls come than it takes. Trying
    /// again soon, or by another way, adds to what it refuses.
    RateLimited,
    /// The call was sent and its answer lost: it may have been applied.
    ///
    /// Settle it by reading back under the operation's own id, never by writing again blindly.
    Unknown,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Unavailable => "the store is unavailable",
            Self::RateLimited => "the store takes no more calls now",
            Self::Unknown => "the store's answer was lost",
        })
    }
}

impl std::error::Error for StoreError {}

/// The platform's transactional table service.
#[async_trait]
pub trait TableStore: Send + Sync {
    /// Reads one row.
    async fn read(&self, key: &str) -> Result<Option<TableRow>, StoreError>;

    /// Reads at most `limit` rows whose keys start with `prefix` and come after `after`, in key order.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<TableRow>, StoreError>;

    /// Applies a transaction.
    async fn commit(&self, transaction: TableTransaction) -> Result<CommitOutcome, StoreError>;
}

/// The platform's object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Writes an object. Keys are content addressed, so writing one twice is harmless.
    async fn put(&self, key: &str, content: Vec<u8>) -> Result<(), StoreError>;

    /// Reads an object.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError>;
}

/// What a model engine says about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Weight version that it holds; `None` before the first one is loaded.
    pub held_version: Option<WeightVersion>,
    /// Incarnation; a restarted engine has another one.
    pub incarnation: Name,
    /// Requests in progress, as of a while ago.
    #[serde(default)]
    pub in_flight: u32,
    /// Whether it asks for no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Takes the chunks of an answer as they come in.
#[async_trait]
pub trait ChunkSink: Send {
    /// Takes one chunk; returns `false` if nobody wants the rest.
    async fn accept(&mut self, chunk: TokenChunk) -> bool;
}

/// Model engines, met by the completions protocol.
#[async_trait]
pub trait EngineClient: Send + Sync {
    /// Runs a completion on the engine at `address` and returns once the engine said that the
    /// answer is whole. Dropping the future cancels it on the engine.
    async fn complete(&self, address: &str, call: &CallSpec, sink: &mut dyn ChunkSink) -> Result<(), Failure>;

    /// Asks an engine for its status.
    async fn status(&self, address: &str) -> Result<EngineStatus, Failure>;

    /// Orders an engine to hold a version and returns what it then holds.
    async fn order(&self, address: &str, order: &EngineOrder) -> Result<EngineStatus, Failure>;
}

/// Scoring services.
#[async_trait]
pub trait ScoringClient: Send + Sync {
    /// Scores one sample.
    async fn score(&self, address: &str, prompt: &str, text: &str) -> Result<f64, Failure>;
}

/// The platform's list, which lags and may be wrong in both directions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipList {
    /// VMs of the system.
    pub nodes: Vec<ListedNode>,
    /// Backend servers that the platform is about to take away.
    #[serde(default)]
    pub leaving_backends: Vec<Name>,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedNode {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone that the VM is in.
    pub zone: Name,
    /// Address of its node link listener, as `ip:port`.
    pub link: Name,
    /// Whether the platform is about to take the VM away.
    #[serde(default)]
    pub leaving: bool,
}

/// The platform's lagging list of VMs.
#[async_trait]
pub trait MembershipSource: Send + Sync {
    /// Reads the list as the platform knows it now.
    async fn list(&self) -> Result<MembershipList, StoreError>;
}

/// A monotonic clock.
pub trait Clock: Send + Sync {
    /// Returns the time now.
    fn now(&self) -> Timestamp;

    /// Returns wall clock seconds since the Unix epoch, used only to date samples.
    fn unix_seconds(&self) -> u64;
}
