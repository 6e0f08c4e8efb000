//! Traces of state machines: recorded events with their expected actions, and their replay.
//!
//! A trace has one JSON object per line. The first line names the state machine and its parameters;
//! each further line has a time, an event and the actions that must follow. The format is described in
//! [CONTRIBUTING.md](../../../CONTRIBUTING.md#traces).

use crate::Timestamp;
use crate::process::{
    LeaseAction, LeaseKeeper, LeaseRow, LeaseSettings, MembershipAction, MembershipEvent, MembershipSettings, PeerInfo,
    PeerMembership,
};
use crate::request::{
    DispatchAction, DispatchEvent, DispatchSettings, EngineDispatcher, GroupAction, GroupDriver, GroupEvent,
    GroupSettings,
};
use crate::version::{EngineOrder, RolloutEvent, RolloutPlanner, RolloutSettings};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;

/// The first line of a trace: the kind of state machine and its parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "maker", rename_all = "kebab-case")]
pub enum TraceHead {
    /// An [`EngineDispatcher`].
    Dispatcher {
        /// Settings; those left out have their defaults.
        #[serde(default)]
        settings: DispatchSettings,
    },
    /// A [`GroupDriver`].
    Group {
        /// Settings; those left out have their defaults.
        #[serde(default)]
        settings: GroupSettings,
        /// Samples in the group.
        size: usize,
    },
    /// A [`RolloutPlanner`].
    Rollout {
        /// Settings; those left out have their defaults.
        #[serde(default)]
        settings: RolloutSettings,
    },
    /// A [`LeaseKeeper`].
    Lease {
        /// Settings; those left out have their defaults.
        #[serde(default)]
        settings: LeaseSettings,
        /// Name of the node.
        name: crate::Name,
        /// Incarnation of the node.
        incarnation: u64,
    },
    /// A [`PeerMembership`].
    Membership {
        /// Settings; those left out have their defaults.
        #[serde(default)]
        settings: MembershipSettings,
        /// The node itself.
        own: PeerInfo,
        /// Seed of its random choices.
        seed: u64,
    },
}

/// A method call on a [`LeaseKeeper`], which has no event type of its own.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaseEvent {
    /// The lease row was read; `None` if it does not exist. The number is the row's version.
    Read(Option<(u64, LeaseRow)>),
    /// The row was written by a transaction sent at the time of the trace line.
    Written(LeaseRow),
    /// Asks whether an order may be sent to an engine.
    MayOrder {
        /// Whether the engine checks fencing.
        checks_fencing: bool,
    },
}

/// The answer of a [`LeaseKeeper`] to a [`LeaseEvent`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// The action on the lease row.
    Step(LeaseAction),
    /// The fencing number for the order, or `None` if it must not be sent.
    Fence(Option<u64>),
}

/// A line of a trace after the first one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TraceLine {
    /// Time of the event.
    pub at: Timestamp,
    /// The event.
    pub event: Value,
    /// The actions that must follow.
    #[serde(default)]
    pub actions: Value,
}

/// Result of a replay without differences.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplayReport {
    /// Number of lines that were compared.
    pub decisions: usize,
}

/// Error of a replay.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplayError {
    /// A line does not match the format.
    Malformed {
        /// Line number, starting at 1.
        line: usize,
        /// Description of the error.
        cause: String,
    },
    /// The actions differ from the expected ones.
    Mismatch {
        /// Line number, starting at 1.
        line: usize,
        /// The expected actions.
        expected: Value,
        /// The actual actions.
        actual: Value,
    },
}

impl fmt::Display for ReplayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed { line, cause } => write!(formatter, "line {line}: {cause}"),
            Self::Mismatch { line, expected, actual } => {
                write!(formatter, "line {line}: expected {expected}, got {actual}")
            }
        }
    }
}

impl std::error::Error for ReplayError {}

/// A state machine whose events and actions are JSON values.
trait TracedStateMachine {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error>;
}

impl TracedStateMachine for EngineDispatcher {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error> {
        let event: DispatchEvent = serde_json::from_value(event)?;
        let actions: Vec<DispatchAction> = Self::handle(self, at, event);
        serde_json::to_value(actions)
    }
}

impl TracedStateMachine for GroupDriver {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error> {
        let event: GroupEvent = serde_json::from_value(event)?;
        let actions: Vec<GroupAction> = Self::handle(self, at, &event, || true);
        serde_json::to_value(actions)
    }
}

impl TracedStateMachine for RolloutPlanner {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error> {
        let event: RolloutEvent = serde_json::from_value(event)?;
        let orders: Vec<EngineOrder> = Self::handle(self, at, event);
        serde_json::to_value(orders)
    }
}

impl TracedStateMachine for LeaseKeeper {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error> {
        let answers = match serde_json::from_value(event)? {
            LeaseEvent::Read(row) => vec![LeaseAnswer::Step(self.decide(at, row))],
            LeaseEvent::MayOrder { checks_fencing } => {
                vec![LeaseAnswer::Fence(self.order_fence(at, checks_fencing))]
            }
            LeaseEvent::Written(row) => {
                self.record_write(at, row);
                Vec::new()
            }
        };
        serde_json::to_value(answers)
    }
}

impl TracedStateMachine for PeerMembership {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error> {
        let event: MembershipEvent = serde_json::from_value(event)?;
        let actions: Vec<MembershipAction> = Self::handle(self, at, event);
        serde_json::to_value(actions)
    }
}

fn build(head: TraceHead) -> Box<dyn TracedStateMachine> {
    match head {
        TraceHead::Dispatcher { settings } => Box::new(EngineDispatcher::new(settings)),
        TraceHead::Group { settings, size } => Box::new(GroupDriver::new(settings, size)),
        TraceHead::Rollout { settings } => Box::new(RolloutPlanner::new(settings)),
        TraceHead::Lease { settings, name, incarnation } => Box::new(LeaseKeeper::new(settings, name, incarnation)),
        TraceHead::Membership { settings, own, seed } => Box::new(PeerMembership::new(settings, own, seed)),
    }
}

/// Replays a trace and compares the actions with the expected ones.
pub fn replay_trace(text: &str) -> Result<ReplayReport, ReplayError> {
    let mut decisions = 0;
    replay_lines(text, |number, line, actual| {
        decisions += 1;
        if actual == line.actions {
            return Ok(());
        }
        Err(ReplayError::Mismatch { line: number + 1, expected: line.actions.clone(), actual })
    })?;
    Ok(ReplayReport { decisions })
}

/// Replays a trace and returns it with the actual actions as the expected ones, for a trace whose events
/// were written by hand or whose outcome was changed intentionally.
pub fn regenerate_trace(text: &str) -> Result<String, ReplayError> {
    let mut regenerated = text.lines().next().unwrap_or("").to_owned();
    replay_lines(text, |_, line, actual| {
        let line = TraceLine { actions: actual, ..line.clone() };
        regenerated.push('\n');
        regenerated.push_str(&serde_json::to_string(&line).expect("a trace line always encodes"));
        Ok(())
    })?;
    regenerated.push('\n');
    Ok(regenerated)
}

/// Passes the event of each line to the state machine and its actions to `compare`.
fn replay_lines(
    text: &str,
    mut compare: impl FnMut(usize, &TraceLine, Value) -> Result<(), ReplayError>,
) -> Result<(), ReplayError> {
    let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let malformed = |line: usize, cause: String| ReplayError::Malformed { line: line + 1, cause };
    let (number, head) = lines.next().ok_or_else(|| malformed(0, "the trace is empty".into()))?;
    let head = serde_json::from_str(head).map_err(|error| malformed(number, error.to_string()))?;
    let mut state_machine = build(head);
    for (number, line) in lines {
        let line: TraceLine = serde_json::from_str(line).map_err(|error| malformed(number, error.to_string()))?;
        let actual =
            state_machine.handle(line.at, line.event.clone()).map_err(|error| malformed(number, error.to_string()))?;
        compare(number, &line, actual)?;
    }
    Ok(())
}
