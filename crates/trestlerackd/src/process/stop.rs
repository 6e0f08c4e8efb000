//! A planned stop: new connections are refused, and work in progress is completed.

use super::logs;
use crate::node::Node;
use crate::process::clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::watch;
use trestlerack::event;
use trestlerack::process::MembershipEvent;

/// Time between reporting "not ready" and refusing connections, in which load balancers notice it.
const NOT_READY_TIME: Duration = Duration::from_millis(500);

/// Interval at which the work in progress is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Time for the peers to learn that this node leaves.
const LEAVE_PROPAGATION_TIME: Duration = Duration::from_millis(500);

/// Progress of a planned stop, and the number of requests and other work in progress.
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
    /// Counts one more piece of work.
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

    /// Returns a receiver that becomes true when no more connections are accepted.
    pub fn closed(&self) -> watch::Receiver<bool> {
        self.closed.subscribe()
    }

    /// Returns the number of pieces of work in progress.
    pub fn in_progress(&self) -> usize {
        self.in_progress.load(Ordering::SeqCst)
    }
}

/// Carries out a planned stop: reports not ready, then refuses new connections, then waits for the work
/// in progress until the stop limit.
pub async fn run_planned_stop(node: &Arc<Node>) {
    logs::write(event::STOP_BEGUN, &[("in_progress", &node.stop.in_progress())]);
    node.stop.stopping.store(true, Ordering::SeqCst);
    super::member_loop::apply_event(node, MembershipEvent::Leave);
    node.refresh_ownership();
    clock::sleep(NOT_READY_TIME).await;
    node.stop.closed.send_replace(true);
    let deadline = node.now() + Duration::from_millis(node.settings.stop_limit_ms);
    while has_work(node) && node.now() < deadline {
        clock::sleep(CHECK_INTERVAL).await;
    }
    super::rollout_loop::release_leases(node).await;
    clock::sleep(LEAVE_PROPAGATION_TIME).await;
    let unfinished = node.stop.in_progress() + node.spool.len();
    if unfinished > 0 {
        logs::write(event::STOP_OVERRUN, &[("left", &unfinished)]);
    } else {
        logs::write(event::STOP_ENDED, &[("node", node.name())]);
    }
}

fn has_work(node: &Node) -> bool {
    node.stop.in_progress() > 0 || node.spool.len() > 0
}
