//! Queues the calls of samples on the node that drives them until an owner has capacity.
//!
//! A call that waits at an owner can run on that owner's engines only, however long they take. A call
//! that waits here goes to the first owner with capacity. Only the first waiter per account and model
//! polls the owners, so the cost does not grow with the length of the queue.

use super::call_router::{choose_owner, has_capacity};
use crate::node::Node;
use crate::process::clock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::OwnedMutexGuard;
use trestlerack::connection::CallSpec;
use trestlerack::{Failure, Name, Timestamp};

/// Interval at which the first waiter of a queue polls for capacity.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

type WaiterQueue = Arc<tokio::sync::Mutex<()>>;

/// Queues by account and model.
#[derive(Default)]
pub struct CapacityQueues {
    queues: Mutex<HashMap<(Name, Name), WaiterQueue>>,
}

/// Holds the front of a queue. When it is dropped, the next waiter moves up.
pub struct QueueGuard {
    _guard: OwnedMutexGuard<()>,
}

impl CapacityQueues {
    fn queue(&self, spec: &CallSpec) -> WaiterQueue {
        let key = (spec.account.clone(), spec.model.clone());
        self.queues.lock().unwrap().entry(key).or_default().clone()
    }
}

/// Waits for the front of the queue and for an owner with capacity, and returns both.
///
/// After `deadline` the owner may be without capacity.
pub async fn wait_for_capacity(
    node: &Arc<Node>,
    spec: &CallSpec,
    avoided: &[Name],
    deadline: Timestamp,
) -> Result<(QueueGuard, Name), Failure> {
    let guard = node.capacity_queues.queue(spec).lock_owned().await;
    loop {
        let choice = choose_owner(node, spec, avoided)?;
        if has_capacity(&choice) || node.now() >= deadline {
            return Ok((QueueGuard { _guard: guard }, choice.owner));
        }
        clock::sleep(POLL_INTERVAL).await;
    }
}
