//! Holds samples back on the node that drives them until an owner has room.
//!
//! A call that waits at an owner is bound to that owner's engines however long they take; one that
//! waits here goes to whichever owner comes free first. One waiter per account and model looks,
//! and the others stand in line behind it, so the cost does not grow with the line.

use super::call_router::{choose_owner, has_room};
use crate::node::Node;
use crate::process::clock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::OwnedMutexGuard;
use trestlerack::connection::CallSpec;
use trestlerack::{Failure, Name, Timestamp};

/// Interval at which the first in line looks for room.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

type Line = Arc<tokio::sync::Mutex<()>>;

/// Lines by account and model.
#[derive(Default)]
pub struct Turnstiles {
    lines: Mutex<HashMap<(Name, Name), Line>>,
}

/// The turn of a call; the next in line moves up when it is dropped.
pub struct Turn {
    _guard: OwnedMutexGuard<()>,
}

impl Turnstiles {
    fn line(&self, spec: &CallSpec) -> Line {
        let key = (spec.account.clone(), spec.model.clone());
        self.lines.lock().unwrap().entry(key).or_default().clone()
    }
}

/// Waits for a turn and for an owner with room, and returns both.
pub async fn wait_for_room(
    node: &Arc<Node>,
    spec: &CallSpec,
    avoid: &[Name],
    deadline: Timestamp,
) -> Result<(Turn, Name), Failure> {
    let guard = node.turnstiles.line(spec).lock_owned().await;
    loop {
        let choice = choose_owner(node, spec, avoid)?;
        if has_room(&choice) || node.now() >= deadline {
            return Ok((Turn { _guard: guard }, choice.owner));
        }
        clock::sleep(LOOK_INTERVAL).await;
    }
}
