//! What this node holds for its callers, and how it stays within the VM's memory and descriptors.
//!
//! Who gives way is decided in `trestlerack::process`; here it is carried out. See
//! [docs/design/held-memory.md](../../../../../docs/design/held-memory.md).

mod body_reader;
mod connection_table;
mod interval_limiter;
mod reply_body;
mod response_reader;
mod status;
mod uploads;
mod watched_stream;

pub use body_reader::{BodyRefusal, read_body};
pub use connection_table::{Admission, ClientLink, LinkSeat};
pub use reply_body::{AnswerBytes, LinkedBody};
pub use response_reader::read_answer;
pub use status::{memory_lines, write_metrics};
pub use watched_stream::WatchedStream;

use crate::process::logs;
use connection_table::LinkTable;
use interval_limiter::PaceGate;
use std::fmt::Display;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use trestlerack::event::LogEvent;
use trestlerack::process::{
    CONNECTION_BYTES, ConnectionCounter, ConnectionKind, ConnectionLimits, EntrySettings, MemoryLimits, MemoryPool,
    is_near_limit, run_limit,
};
use trestlerack::{Timestamp, event};
use uploads::BodyTable;

/// Share of the bound that idle connections of clients may have, one part in so many.
const CONNECTION_PARTS: usize = 4;

/// Least time between two log lines of one kind, so that a flood of callers is no flood of lines.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Least time between two looks for a reader to cut. One cut frees a large answer's room.
const RELIEF_INTERVAL: Duration = Duration::from_millis(10);

/// What was decided for want of room or of pace, as metrics count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldDecision {
    /// A body was refused before it was read.
    BodyRefused,
    /// A sender was too slow.
    SenderCut,
    /// A reader was too slow.
    ReaderCut,
    /// A connection was refused, or an idle one was closed for it.
    ConnectionsFull,
    /// Fewer runs were started.
    RunsLimited,
    /// An answer waited for room.
    AnswerWaits,
}

impl HeldDecision {
    const ALL: [Self; 6] = [
        Self::BodyRefused,
        Self::SenderCut,
        Self::ReaderCut,
        Self::ConnectionsFull,
        Self::RunsLimited,
        Self::AnswerWaits,
    ];

    fn event(self) -> LogEvent {
        match self {
            Self::BodyRefused => event::BODY_REFUSED,
            Self::SenderCut => event::SENDER_CUT,
            Self::ReaderCut => event::READER_CUT,
            Self::ConnectionsFull => event::CONNECTIONS_FULL,
            Self::RunsLimited => event::RUNS_LIMITED,
            Self::AnswerWaits => event::ANSWER_WAITS,
        }
    }
}

/// Owner of what is known of held bytes and open connections.
pub struct HeldDesk {
    /// Held bytes.
    pub ledger: MemoryPool,
    /// Open connections by kind.
    pub descriptors: ConnectionCounter,
    /// Clients' connections.
    pub links: LinkTable,
    bodies: BodyTable,
    /// The turn of the answer that waits for room; the others wait behind it.
    turn: tokio::sync::Mutex<()>,
    /// Readers are looked through for one to cut this often, however many answers wait.
    relief: PaceGate,
    counts: [AtomicU64; HeldDecision::ALL.len()],
    gates: [PaceGate; HeldDecision::ALL.len()],
}

impl HeldDesk {
    /// Builds a desk for a VM of these settings.
    pub fn new(settings: &EntrySettings) -> Self {
        let bounds = MemoryLimits::from_memory(settings.memory_mb);
        let clients = bounds.total / CONNECTION_PARTS / CONNECTION_BYTES;
        let descriptors = ConnectionLimits::from_descriptors(settings.max_descriptors);
        Self {
            ledger: MemoryPool::new(bounds),
            descriptors: ConnectionCounter::new(descriptors.capped(ConnectionKind::Clients, clients)),
            links: LinkTable::default(),
            bodies: BodyTable::default(),
            turn: tokio::sync::Mutex::default(),
            relief: PaceGate::every(RELIEF_INTERVAL),
            counts: Default::default(),
            gates: std::array::from_fn(|_| PaceGate::every(LINE_INTERVAL)),
        }
    }

    /// Returns whether the settings bound what is held.
    pub fn is_bounded(&self) -> bool {
        self.ledger.limits().is_bounded()
    }

    /// Returns whether what is held nears its bound.
    pub fn is_pressed(&self) -> bool {
        is_near_limit(self.ledger.total(), self.ledger.limits().total)
    }

    /// Returns how many more runs of items may be started beside those that `running` counts.
    pub fn runs_left(&self, now: Timestamp, running: impl FnOnce() -> usize) -> usize {
        let (held, bound) = (self.ledger.total(), self.ledger.limits().total);
        let Some(limit) = run_limit(held, bound) else { return usize::MAX };
        let running = running();
        if running >= limit {
            let fields: [(&str, &dyn Display); 4] =
                [("limit", &limit), ("running", &running), ("held", &held), ("bound", &bound)];
            self.note(now, HeldDecision::RunsLimited, &fields);
        }
        limit.saturating_sub(running)
    }

    /// Counts a decision and logs it, one line a second.
    pub fn note(&self, now: Timestamp, decision: HeldDecision, fields: &[(&str, &dyn Display)]) {
        self.counts[decision as usize].fetch_add(1, Ordering::Relaxed);
        let Some(skipped) = self.gates[decision as usize].pass(now) else { return };
        let mut fields = fields.to_vec();
        fields.push(("skipped", &skipped));
        logs::write(decision.event(), &fields);
    }

    fn count(&self, decision: HeldDecision) -> u64 {
        self.counts[decision as usize].load(Ordering::Relaxed)
    }
}
