//! A planned stop: nothing new comes in, and everything in progress ends by itself.

use super::logs;
use crate::node::Node;
use crate::process::clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use trestlerack::event;
use trestlerack::process::MembershipEvent;

/// Time between saying "not ready" and refusing connections, so that the balancer has noticed.
const NOT_READY_TIME: Duration = Duration::from_millis(500);

/// Time between two looks at the work in progress.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Time in which peers hear that this node leaves.
const FAREWELL_TIME: Duration = Duration::from_millis(500);

/// How far a planned stop is, and what is in progress.
pub struct StopState {
    stopping: AtomicBool,
    closed: watch::Sender<bool>,
    in_progress: AtomicUsize,
}

impl Default for StopState {
    fn default() -> Self {
        let (closed, _) = watch::channel(false);
        Self { stopping: AtomicBool::new(false), closed, in_progress: AtomicUsize::new(0) }
    }
}

/// Counts one piece of work in progress until it is dropped.
pub struct WorkGuard {
    node: Arc<Node>,
}

impl WorkGuard {
    /// Counts work in.
    pub fn new(node: &Arc<Node>) -> Self {
        node.stop.in_progress.fetch_add(1, Ordering::SeqCst);
        Self { node: node.clone() }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.node.stop.in_progress.fetch_sub(1, Ordering::SeqCst);
    }
}

impl StopState {
    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns a receiver that turns true when no more connections are taken.
    pub fn closed(&self) -> watch::Receiver<bool> {
        self.closed.subscribe()
    }

    /// Returns how much work is in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }
}

/// Stops as planned: not ready, then no new connections, then the end of all work in progress.
pub async fn stop_as_planned(node: &Arc<Node>) {
    logs::write(event::STOP_BEGUN, &[("in_progress", &node.stop.in_progress())]);
    node.stop.stopping.store(true, Ordering::SeqCst);
    super::member_loop::tell(node, MembershipEvent::Leave);
    node.refresh_ownership();
    clock::sleep(NOT_READY_TIME).await;
    node.stop.closed.send_replace(true);
    let deadline = node.now() + Duration::from_millis(node.settings.stop_limit_ms);
    while has_work(node) && node.now() < deadline {
        clock::sleep(LOOK_INTERVAL).await;
    }
    super::rollout_loop::release_leases(node).await;
    clock::sleep(FAREWELL_TIME).await;
    let left = node.stop.in_progress() + node.spool.len();
    if left > 0 {
        logs::write(event::STOP_OVERRUN, &[("left", &left)]);
    } else {
        logs::write(event::STOP_ENDED, &[("node", node.name())]);
    }
}

fn has_work(node: &Node) -> bool {
    node.stop.in_progress() > 0 || node.spool.len() > 0
}
