//! Recorded decisions, one JSON object a line, and their replay against stated outcomes.
//!
//! The first line names the decision maker and how it was built; each further line holds a time, an
//! event and the actions that must follow. The format is described in
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

/// The first line of a trace: which decision maker it is about and with which settings.
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

/// An event of a [`LeaseKeeper`], whose methods are not events by themselves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum LeaseEvent {
    /// The row was read, with its version.
    Read(Option<(u64, LeaseRow)>),
    /// A row was written by a transaction sent at the time of the line.
    Written(LeaseRow),
    /// Asks whether an order may be given.
    MayOrder {
        /// Whether the engine checks fencing.
        checks_fencing: bool,
    },
}

/// The answer of a [`LeaseKeeper`] to a [`LeaseEvent`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseAnswer {
    /// What to do about the row.
    Step(LeaseAction),
    /// The fencing number for an order, if one may be given.
    Fence(Option<u64>),
}

/// A further line of a trace.
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

/// What a replay that went as recorded covered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplayReport {
    /// Decisions that were compared.
    pub decisions: usize,
}

/// Why a replay failed.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplayError {
    /// A line is not as the format asks.
    Malformed {
        /// Line, counted from 1.
        line: usize,
        /// What is wrong.
        cause: String,
    },
    /// The decision maker acted otherwise than stated.
    Differs {
        /// Line, counted from 1.
        line: usize,
        /// The stated actions.
        stated: Value,
        /// The actions that followed.
        found: Value,
    },
}

impl fmt::Display for ReplayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed { line, cause } => write!(formatter, "line {line}: {cause}"),
            Self::Differs { line, stated, found } => write!(formatter, "line {line}: stated {stated}, found {found}"),
        }
    }
}

impl std::error::Error for ReplayError {}

/// A decision maker behind the trace format.
trait TracedMaker {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error>;
}

impl TracedMaker for EngineDispatcher {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error> {
        let event: DispatchEvent = serde_json::from_value(event)?;
        let actions: Vec<DispatchAction> = Self::handle(self, at, event);
        serde_json::to_value(actions)
    }
}

impl TracedMaker for GroupDriver {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error> {
        let event: GroupEvent = serde_json::from_value(event)?;
        let actions: Vec<GroupAction> = Self::handle(self, at, &event, || true);
        serde_json::to_value(actions)
    }
}

impl TracedMaker for RolloutPlanner {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error> {
        let event: RolloutEvent = serde_json::from_value(event)?;
        let orders: Vec<EngineOrder> = Self::handle(self, at, event);
        serde_json::to_value(orders)
    }
}

impl TracedMaker for LeaseKeeper {
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

impl TracedMaker for PeerMembership {
    fn handle(&mut self, at: Timestamp, event: Value) -> Result<Value, serde_json::Error> {
        let event: MembershipEvent = serde_json::from_value(event)?;
        let actions: Vec<MembershipAction> = Self::handle(self, at, event);
        serde_json::to_value(actions)
    }
}

fn build(head: TraceHead) -> Box<dyn TracedMaker> {
    match head {
        TraceHead::Dispatcher { settings } => Box::new(EngineDispatcher::new(settings)),
        TraceHead::Group { settings, size } => Box::new(GroupDriver::new(settings, size)),
        TraceHead::Rollout { settings } => Box::new(RolloutPlanner::new(settings)),
        TraceHead::Lease { settings, name, incarnation } => Box::new(LeaseKeeper::new(settings, name, incarnation)),
        TraceHead::Membership { settings, own, seed } => Box::new(PeerMembership::new(settings, own, seed)),
    }
}

/// Replays a trace and compares every action with the stated one.
pub fn replay_trace(text: &str) -> Result<ReplayReport, ReplayError> {
    let mut decisions = 0;
    replay_lines(text, |number, line, found| {
        decisions += 1;
        if found == line.actions {
            return Ok(());
        }
        Err(ReplayError::Differs { line: number + 1, stated: line.actions.clone(), found })
    })?;
    Ok(ReplayReport { decisions })
}

/// Replays a trace and states the actions that followed, for a trace whose events were written by
/// hand or whose outcome was changed on purpose.
pub fn restate_trace(text: &str) -> Result<String, ReplayError> {
    let mut restated = text.lines().next().unwrap_or("").to_owned();
    replay_lines(text, |_, line, found| {
        let line = TraceLine { actions: found, ..line.clone() };
        restated.push('\n');
        restated.push_str(&serde_json::to_string(&line).expect("a trace line always encodes"));
        Ok(())
    })?;
    restated.push('\n');
    Ok(restated)
}

/// Feeds each line of a trace to its decision maker and hands on what followed.
fn replay_lines(
    text: &str,
    mut compare: impl FnMut(usize, &TraceLine, Value) -> Result<(), ReplayError>,
) -> Result<(), ReplayError> {
    let mut lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let malformed = |line: usize, cause: String| ReplayError::Malformed { line: line + 1, cause };
    let (number, head) = lines.next().ok_or_else(|| malformed(0, "the trace is empty".into()))?;
    let head = serde_json::from_str(head).map_err(|error| malformed(number, error.to_string()))?;
    let mut maker = build(head);
    for (number, line) in lines {
        let line: TraceLine = serde_json::from_str(line).map_err(|error| malformed(number, error.to_string()))?;
        let found = maker.handle(line.at, line.event.clone()).map_err(|error| malformed(number, error.to_string()))?;
        compare(number, &line, found)?;
    }
    Ok(())
}
