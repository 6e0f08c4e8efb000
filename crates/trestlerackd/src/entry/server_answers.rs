//! How backend servers answered, told to the board and, where it is news, to peers.

use super::news::server_news;
use super::node::EntryNode;
use crate::process::clock;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{LoadBalancer, SuspensionDetector};
use trestlerack::{Name, Timestamp};

/// Records how long work takes at a server, as it stated. The first to do so has a node that started ask
/// a peer what it knows.
pub fn record_reported_slowness(node: &Arc<EntryNode>, server: &str, percent: u32) {
    let is_first = node.balancer.lock().unwrap().record_reported_slowness(node.now(), server, percent);
    if is_first {
        tokio::spawn(server_news::ask_peer(node.clone()));
    }
}

/// Measures how long a server takes. A time in which the VM was suspended says nothing of the server.
#[derive(Clone, Copy)]
pub struct AnswerWatch {
    /// When the server was asked.
    pub started: Timestamp,
    gauge: SuspensionDetector,
}

impl AnswerWatch {
    /// Starts to measure.
    pub fn start(node: &EntryNode) -> Self {
        let mut gauge = SuspensionDetector::default();
        let (since_boot, monotonic) = clock::boot_and_monotonic_time();
        gauge.update(since_boot, monotonic);
        Self { started: node.now(), gauge }
    }

    /// Returns the time since the start, or `None` if the VM was suspended since.
    fn elapsed(mut self, node: &EntryNode) -> Option<Duration> {
        let (since_boot, monotonic) = clock::boot_and_monotonic_time();
        let suspended = self.gauge.update(since_boot, monotonic);
        suspended.is_none().then(|| node.now().since(self.started))
    }
}

/// Records that a good answer to a request of `route` has come now.
pub fn took(node: &EntryNode, server: &str, route: &Name, watch: AnswerWatch) {
    if let Some(elapsed) = watch.elapsed(node) {
        note(node, |balancer| balancer.record_response(node.now(), server, route, elapsed));
    }
}

/// Records that a server has not answered yet.
pub fn outstanding(node: &EntryNode, server: &str, route: &Name, watch: AnswerWatch) {
    if let Some(elapsed) = watch.elapsed(node) {
        note(node, |balancer| balancer.record_pending_response(node.now(), server, route, elapsed));
    }
}

/// Records that the work of a server was ended now, because one that was asked later answered.
pub fn cut(node: &EntryNode, server: &str, route: &Name, watch: AnswerWatch) {
    if let Some(elapsed) = watch.elapsed(node) {
        note(node, |balancer| balancer.record_cancelled_response(node.now(), server, route, elapsed));
    }
}

/// Records an answer that is a failure, or none.
pub fn failed(node: &EntryNode, server: &str) {
    note(node, |balancer| balancer.record_failed_response(node.now(), server));
}

fn note(node: &EntryNode, record: impl FnOnce(&mut LoadBalancer)) {
    let has_observations = {
        let mut balancer = node.balancer.lock().unwrap();
        record(&mut balancer);
        balancer.has_observations()
    };
    if has_observations {
        server_news::wake(node);
    }
}
