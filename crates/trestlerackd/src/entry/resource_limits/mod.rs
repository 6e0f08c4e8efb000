//! Keeps the memory and the connections of this node within the limits of its VM.
//!
//! `trestlerack::process` decides which request or connection is refused; this module carries it out. See
//! [docs/design/held-memory.md](../../../../../docs/design/held-memory.md).

mod body_reader;
mod connection_table;
mod reply_body;
mod response_reader;
mod status;
mod stream_memory;
mod uploads;
mod watched_stream;

pub use body_reader::{RequestBodyError, read_body};
pub use connection_table::{ClientConnection, ConnectionAdmission, ConnectionGuard};
pub use reply_body::{ResponseReservation, TrackedBody};
pub use response_reader::{ReadError, ResponseProgress, read_response};
pub use status::{memory_status, write_metrics};
pub use stream_memory::StreamMemory;
pub use watched_stream::WatchedStream;

use crate::process::interval_limiter::IntervalLimiter;
use crate::process::logs;
use connection_table::ConnectionTable;
use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use trestlerack::event::LogEvent;
use trestlerack::process::{
    CONNECTION_BYTES, ConnectionCounter, ConnectionKind, ConnectionLimits, EntrySettings, MemoryLimits, MemoryPool,
    is_near_limit, run_limit,
};
use trestlerack::{Timestamp, event};
use uploads::UploadTable;

/// Divisor of the memory limit. Idle connections of clients may use at most the resulting part of it.
const IDLE_CONNECTIONS_DIVISOR: usize = 4;

/// Minimum time between two log lines of the same decision, so that a flood of clients does not flood the
/// log.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two searches for a stalled download to close. Closing one frees the memory of a
/// large response.
const CLOSE_INTERVAL: Duration = Duration::from_millis(10);

/// Decision caused by a limit or by a client that is too slow. The metrics count each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitDecision {
    /// A request body was refused before any of it was read.
    BodyRefused,
    /// An upload was aborted, as it was too slow or memory ran short.
    UploadAborted,
    /// A download was closed, as its client read too slowly or memory ran short.
    DownloadClosed,
    /// A new connection was refused, or an idle one was closed in its favour.
    ConnectionsFull,
    /// Fewer runs of job items were started.
    RunsLimited,
    /// A response waited for memory.
    ResponseWaits,
}

impl LimitDecision {
    const ALL: [Self; 6] = [
        Self::BodyRefused,
        Self::UploadAborted,
        Self::DownloadClosed,
        Self::ConnectionsFull,
        Self::RunsLimited,
        Self::ResponseWaits,
    ];

    fn event(self) -> LogEvent {
        match self {
            Self::BodyRefused => event::BODY_REFUSED,
            Self::UploadAborted => event::SENDER_CUT,
            Self::DownloadClosed => event::READER_CUT,
            Self::ConnectionsFull => event::CONNECTIONS_FULL,
            Self::RunsLimited => event::RUNS_LIMITED,
            Self::ResponseWaits => event::ANSWER_WAITS,
        }
    }
}

/// Tracks reserved memory and open connections, and enforces their limits.
pub struct ResourceLimiter {
    /// Memory reserved for requests.
    pub memory: MemoryPool,
    /// The part of the memory that responses without a length may use.
    pub unframed_memory: MemoryPool,
    /// Number of open connections by kind.
    pub connections: ConnectionCounter,
    /// Connections of clients.
    pub clients: ConnectionTable,
    uploads: UploadTable,
    /// Locked by the response that tries to reserve memory; other waiting responses queue for the lock.
    retry_lock: tokio::sync::Mutex<()>,
    /// The same for responses that wait for [`Self::unframed_memory`].
    unframed_retry_lock: tokio::sync::Mutex<()>,
    /// Limits how often a stalled download is searched for, however many responses wait.
    close_limiter: IntervalLimiter,
    counts: [AtomicU64; LimitDecision::ALL.len()],
    log_limiters: [IntervalLimiter; LimitDecision::ALL.len()],
}

/// Memory that responses without a length may use where the settings limit none, in bytes.
const DEFAULT_UNFRAMED_BYTES: usize = 256 * 1024 * 1024;

/// Divisor of the memory limit. Responses without a length may use at most the resulting part of it.
const UNFRAMED_DIVISOR: usize = 2;

fn unframed_limits(limits: MemoryLimits) -> MemoryLimits {
    let total = if limits.is_bounded() { limits.total / UNFRAMED_DIVISOR } else { DEFAULT_UNFRAMED_BYTES };
    MemoryLimits { total }
}

impl ResourceLimiter {
    /// Creates a limiter for a VM with the given settings.
    pub fn new(settings: &EntrySettings) -> Self {
        let limits = MemoryLimits::from_memory(settings.memory_mb);
        let clients = limits.total / IDLE_CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let descriptors = ConnectionLimits::from_descriptors(settings.max_descriptors);
        Self {
            memory: MemoryPool::new(limits),
            unframed_memory: MemoryPool::new(unframed_limits(limits)),
            connections: ConnectionCounter::new(descriptors.capped(ConnectionKind::Clients, clients)),
            clients: ConnectionTable::default(),
            uploads: UploadTable::default(),
            retry_lock: tokio::sync::Mutex::default(),
            unframed_retry_lock: tokio::sync::Mutex::default(),
            close_limiter: IntervalLimiter::every(CLOSE_INTERVAL),
            counts: Default::default(),
            log_limiters: std::array::from_fn(|_| IntervalLimiter::every(LOG_INTERVAL)),
        }
    }

    /// Returns whether the settings limit the memory.
    pub fn is_bounded(&self) -> bool {
        self.memory.limits().is_bounded()
    }

    /// Returns whether the reserved memory is near its limit.
    pub fn is_near_limit(&self) -> bool {
        is_near_limit(self.memory.total(), self.memory.limits().total)
    }

    /// Returns how many runs of job items may be started in addition to those that `running` counts.
    pub fn remaining_runs(&self, now: Timestamp, running: impl FnOnce() -> usize) -> usize {
        let (total, max_total) = (self.memory.total(), self.memory.limits().total);
        let Some(limit) = run_limit(total, max_total) else { return usize::MAX };
        let running = running();
        if running >= limit {
            let fields: [(&str, &dyn Display); 4] =
                [("limit", &limit), ("running", &running), ("held", &total), ("bound", &max_total)];
            self.record(now, LimitDecision::RunsLimited, &fields);
        }
        limit.saturating_sub(running)
    }

    /// Counts a decision, and logs it at most once per [`LOG_INTERVAL`].
    pub fn record(&self, now: Timestamp, decision: LimitDecision, fields: &[(&str, &dyn Display)]) {
        self.counts[decision as usize].fetch_add(1, Ordering::Relaxed);
        let Some(skipped) = self.log_limiters[decision as usize].try_pass(now) else { return };
        let mut fields = fields.to_vec();
        fields.push(("skipped", &skipped));
        logs::write(decision.event(), &fields);
    }

    fn count(&self, decision: LimitDecision) -> u64 {
        self.counts[decision as usize].load(Ordering::Relaxed)
    }
}
