//! Interfaces to external systems: the platform's stores and membership list, backend servers and
//! clocks.
//!
//! The daemon implements the traits over HTTP, tests implement them in memory. The service's guarantees
//! depend on the contract of the store calls, so the contract is documented here for all
//! implementations.

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
    /// Version assigned by the table service; it changes with every write of the row.
    pub version: u64,
    /// Content of the row.
    pub value: Value,
}

/// A precondition on a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Expectation {
    /// The row does not exist.
    Absent,
    /// The row exists at exactly this version.
    Version(u64),
}

/// A set of preconditions and writes that is applied atomically.
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

    /// Returns whether every precondition holds. `version_of` returns the version of a row, or `None`
    /// if the row does not exist.
    pub fn is_applicable(&self, version_of: impl Fn(&str) -> Option<u64>) -> bool {
        self.expect.iter().all(|(key, expectation)| match (version_of(key), expectation) {
            (None, Expectation::Absent) => true,
            (Some(current), Expectation::Version(version)) => current == *version,
            _ => false,
        })
    }

    /// Returns the expectation that a row is unchanged since it was read.
    pub fn expectation_of(row: Option<&TableRow>) -> Expectation {
        row.map_or(Expectation::Absent, |row| Expectation::Version(row.version))
    }
}

/// The table service's answer to a transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CommitOutcome {
    /// All writes were applied.
    Committed,
    /// A precondition did not hold and nothing was written.
    Conflict,
}

/// Error of a store call without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call did not reach the store, or the store refused it before acting.
    Unavailable,
    /// The store refused the call before acting, because its rate limit was exceeded. An immediate
    /// retry, directly or through a relay, adds to the overload.
    RateLimited,
    /// The call was sent and its answer was lost: it may have been applied.
    ///
    /// The caller must find out by reading the row and comparing the id of the operation, and must not
    /// repeat the write without doing so.
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

    /// Reads at most `limit` rows whose keys start with `prefix` and are greater than `after`, in key
    /// order.
    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<TableRow>, StoreError>;

    /// Applies a transaction if all of its preconditions hold.
    async fn commit(&self, transaction: TableTransaction) -> Result<CommitOutcome, StoreError>;
}

/// The platform's object store.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Writes an object. Keys are content-addressed, so writing an object twice is harmless.
    async fn put(&self, key: &str, content: Vec<u8>) -> Result<(), StoreError>;

    /// Reads an object.
    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError>;
}

/// Status reported by a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// Weight version that the engine has loaded; `None` before the first one.
    #[serde(rename = "held_version")]
    pub loaded_version: Option<WeightVersion>,
    /// Incarnation; it changes when the engine restarts.
    pub incarnation: Name,
    /// Requests in progress; the value may be outdated.
    #[serde(default)]
    pub in_flight: u32,
    /// Whether the engine asks to receive no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Receives the chunks of an answer as they arrive.
#[async_trait]
pub trait ChunkSink: Send {
    /// Receives one chunk. Returns `false` if the rest of the answer is not needed.
    async fn accept(&mut self, chunk: TokenChunk) -> bool;
}

/// Client of model engines, over the completions protocol.
#[async_trait]
pub trait EngineClient: Send + Sync {
    /// Runs a completion on the engine at `address` and returns when the engine reports that the answer
    /// is complete. Dropping the future cancels the completion on the engine.
    async fn complete(&self, address: &str, call: &CallSpec, sink: &mut dyn ChunkSink) -> Result<(), Failure>;

    /// Requests the status of an engine.
    async fn status(&self, address: &str) -> Result<EngineStatus, Failure>;

    /// Orders an engine to load a version and returns its status afterwards.
    async fn order(&self, address: &str, order: &EngineOrder) -> Result<EngineStatus, Failure>;
}

/// Client of scoring services.
#[async_trait]
pub trait ScoringClient: Send + Sync {
    /// Scores one sample.
    async fn score(&self, address: &str, prompt: &str, text: &str) -> Result<f64, Failure>;
}

/// The platform's membership list. It is delayed: it may contain VMs that are gone and lack VMs that
/// exist.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipList {
    /// VMs of the system.
    pub nodes: Vec<ListedNode>,
    /// Backend servers that the platform is about to remove.
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
    /// Whether the platform is about to remove the VM.
    #[serde(default)]
    pub leaving: bool,
}

/// Source of the platform's membership list.
#[async_trait]
pub trait MembershipSource: Send + Sync {
    /// Reads the current list.
    async fn list(&self) -> Result<MembershipList, StoreError>;
}

/// A monotonic clock.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> Timestamp;

    /// Returns the wall clock time in seconds since the Unix epoch, used only to date samples.
    fn unix_seconds(&self) -> u64;
}
