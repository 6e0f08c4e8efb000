//! Records how backend servers responded in the load balancer, and shares new observations with peers.

use super::in_flight::InFlightGuard;
use super::load_gossip::observations;
use super::node::EntryNode;
use super::response_meter::StrayBytesObserver;
use crate::process::clock;
use crate::process::logs;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, Weak};
use std::time::Duration;
use trestlerack::process::{LoadBalancer, SuspensionDetector};
use trestlerack::{Name, Timestamp, event};

/// Records the slowness that a server reports, in percent. After the first report since its start, a node
/// asks a peer for the observations of the other servers.
pub fn record_reported_slowness(node: &Arc<EntryNode>, server: &str, percent: u32) {
    let is_first = node.balancer.lock().unwrap().record_reported_slowness(node.now(), server, percent);
    if is_first {
        tokio::spawn(observations::pull_from_peer(node.clone()));
    }
}

/// Measures how long a server takes to respond. The time is discarded if the VM was suspended meanwhile, since
/// it then says nothing about the server.
#[derive(Clone, Copy)]
pub struct ResponseTimer {
    /// Time at which the request was sent to the server.
    pub started: Timestamp,
    suspension: SuspensionDetector,
}

impl ResponseTimer {
    /// Starts the timer now.
    pub fn start(node: &EntryNode) -> Self {
        let mut suspension = SuspensionDetector::default();
        let (since_boot, monotonic) = clock::boot_and_monotonic_time();
        suspension.update(since_boot, monotonic);
        Self { started: node.now(), suspension }
    }

    /// Returns the time since the start, or `None` if the VM was suspended since.
    fn elapsed(mut self, node: &EntryNode) -> Option<Duration> {
        let (since_boot, monotonic) = clock::boot_and_monotonic_time();
        let suspended = self.suspension.update(since_boot, monotonic);
        suspended.is_none().then(|| node.now().since(self.started))
    }
}

/// Records that a successful response to a request of `route` has arrived now.
pub fn record_success(node: &EntryNode, server: &str, route: &Name, timer: ResponseTimer) {
    if let Some(elapsed) = timer.elapsed(node) {
        record_and_share(node, |balancer| balancer.record_response(node.now(), server, route, elapsed));
    }
}

/// Records that a server has not responded yet.
pub fn record_pending(node: &EntryNode, server: &str, route: &Name, timer: ResponseTimer) {
    if let Some(elapsed) = timer.elapsed(node) {
        record_and_share(node, |balancer| balancer.record_pending_response(node.now(), server, route, elapsed));
    }
}

/// Records that a request at a server was cancelled now because a server that got it later responded first.
pub fn record_cancelled(node: &EntryNode, server: &str, route: &Name, timer: ResponseTimer) {
    if let Some(elapsed) = timer.elapsed(node) {
        record_and_share(node, |balancer| balancer.record_cancelled_response(node.now(), server, route, elapsed));
    }
}

/// Records that a server sent a response without end, which this node has broken off.
pub fn record_endless(node: &EntryNode, guard: &InFlightGuard, why: &str) {
    // The connection is closed by this node, so that it tells nothing about a crash.
    guard.record_outcome();
    let server = &guard.server.instance;
    logs::write(event::ANSWER_ENDLESS, &[("server", server), ("why", &why)]);
    node.balancer.lock().unwrap().failed(node.now(), server);
    record_failure(node, server);
}

/// Pauses servers that send bytes which belong to no response, if they do so again and again.
pub struct StrayBytesRecorder {
    node: Weak<EntryNode>,
    /// When such bytes last came from an address.
    last_at: Mutex<HashMap<Name, Timestamp>>,
}

/// Time within which a second response that nobody asked for makes its server a failing one. A single one may be a late
/// response.
const STRAY_BYTES_INTERVAL: Duration = Duration::from_secs(10);

impl StrayBytesRecorder {
    /// Creates a recorder for the servers of a node.
    pub fn new(node: &Arc<EntryNode>) -> Self {
        Self { node: Arc::downgrade(node), last_at: Mutex::default() }
    }
}

impl StrayBytesObserver for StrayBytesRecorder {
    fn record_stray_bytes(&self, address: &Name) {
        let Some(node) = self.node.upgrade() else { return };
        let now = node.now();
        let is_repeated = {
            let mut last_at = self.last_at.lock().unwrap();
            last_at.retain(|_, at| now.since(*at) < STRAY_BYTES_INTERVAL);
            last_at.insert(address.clone(), now).is_some()
        };
        if !is_repeated {
            return;
        }
        let servers: Vec<Name> = {
            let registry = node.registry.lock().unwrap();
            registry.entries().filter(|entry| entry.address == *address).map(|entry| entry.instance.clone()).collect()
        };
        for server in servers {
            let why = "bytes after its responses belong to none";
            logs::write(event::ANSWER_ENDLESS, &[("server", &server), ("why", &why)]);
            node.balancer.lock().unwrap().failed(now, &server);
            record_failure(&node, &server);
        }
    }
}

/// Records that a server failed a request or did not respond to it.
pub fn record_failure(node: &EntryNode, server: &str) {
    record_and_share(node, |balancer| balancer.record_failed_response(node.now(), server));
}

fn record_and_share(node: &EntryNode, record: impl FnOnce(&mut LoadBalancer)) {
    let has_observations = {
        let mut balancer = node.balancer.lock().unwrap();
        record(&mut balancer);
        balancer.has_observations()
    };
    if has_observations {
        observations::wake(node);
    }
}
