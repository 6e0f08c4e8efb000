//! Admission control: calls wait here for a free slot at a server of their service.
//!
//! Active if the configuration has customers, and for services whose servers are compared with each other.
//! Otherwise a call tries to find any server for a fraction of its target latency. See
//! [docs/design/room.md](../../../../../docs/design/room.md).

mod metrics;
mod queue_wait;
mod service_calls;
mod status;

pub use metrics::AdmissionMetrics;
pub use service_calls::{ServiceCall, acquire_slot, record_attempt, record_call, try_spend_attempt};
pub use status::status;

use super::node::EntryNode;
use crate::process::clock;
use status::RefusalCounts;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use trestlerack::process::{
    AdmissionQueue, AdmissionSettings, CallRefusal, QueuedCallId, SecondAttemptBudget, ServerSet, ServiceLoad,
    WaitOutcome,
};
use trestlerack::{Name, Timestamp};

/// Maximum delay before a queue is checked again without an event, so that an estimate that has improved in
/// the meantime takes effect.
const MAX_RECHECK_DELAY: Duration = Duration::from_millis(20);

/// Minimum delay before a queue is checked again; [`Timestamp`] has a resolution of one millisecond.
const MIN_RECHECK_DELAY: Duration = Duration::from_millis(1);

/// Result of a call's wait in the queue.
type WaitResult = Result<(), CallRefusal>;

/// The queue of one set of servers.
struct ServiceQueue {
    queue: AdmissionQueue,
    waiters: HashMap<QueuedCallId, oneshot::Sender<WaitResult>>,
    /// Whether a [`drive`] task checks the queue.
    has_driver: bool,
    /// When that task checks the queue next, unless it is woken earlier.
    next_check: Timestamp,
    wake: Arc<Notify>,
    counts: RefusalCounts,
}

impl ServiceQueue {
    fn new() -> Self {
        Self {
            queue: AdmissionQueue::new(AdmissionSettings::default()),
            waiters: HashMap::new(),
            has_driver: false,
            next_check: Timestamp::default(),
            wake: Arc::default(),
            counts: RefusalCounts::default(),
        }
    }

    /// Returns whether the queue is empty, so that the task that checks it ends. Only this task clears
    /// `has_driver`, so that there is never a second one.
    fn try_release_driver(&mut self) -> bool {
        self.has_driver = !self.queue.is_empty();
        !self.has_driver
    }
}

/// The admission queues of a node, by the servers that their calls may use.
pub struct AdmissionControl {
    queues: Mutex<HashMap<ServerSet, ServiceQueue>>,
    /// Number of waiting calls in all queues, so that a finished request locks no queue while none wait.
    waiting: AtomicUsize,
    second_attempts: Mutex<SecondAttemptBudget>,
}

impl AdmissionControl {
    /// Creates the state without any queue.
    pub fn new() -> Self {
        Self {
            queues: Mutex::default(),
            waiting: AtomicUsize::new(0),
            second_attempts: Mutex::new(SecondAttemptBudget::new(&AdmissionSettings::default())),
        }
    }

    fn is_overloaded(&self, now: Timestamp, server_set: &ServerSet) -> bool {
        self.queues().get(server_set).is_some_and(|service_queue| service_queue.queue.is_overloaded(now))
    }

    fn has_waiting_calls(&self, server_set: &ServerSet) -> bool {
        self.queues().get(server_set).is_some_and(|service_queue| !service_queue.queue.is_empty())
    }

    /// Returns the sets of servers of a service for which calls wait. Restricted ones come first, since their calls can use
    /// fewer servers.
    fn waiting_sets(&self, service: &str) -> Vec<ServerSet> {
        let queues = self.queues();
        let is_waiting = |(server_set, service_queue): &(&ServerSet, &ServiceQueue)| {
            &*server_set.service == service && !service_queue.queue.is_empty()
        };
        let mut sets: Vec<ServerSet> =
            queues.iter().filter(is_waiting).map(|(server_set, _)| server_set.clone()).collect();
        sets.sort_by(|left, right| right.cmp(left));
        sets
    }

    fn has_any_waiting(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    fn queues(&self) -> MutexGuard<'_, HashMap<ServerSet, ServiceQueue>> {
        self.queues.lock().unwrap()
    }

    /// Runs `change` on the queue of a set of servers, which is created if it does not exist.
    fn with_queue<T>(&self, server_set: &ServerSet, change: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut queues = self.queues();
        if let Some(service_queue) = queues.get_mut(server_set) {
            return change(service_queue);
        }
        change(queues.entry(server_set.clone()).or_insert_with(ServiceQueue::new))
    }
}

/// Returns whether calls to a service are subject to admission control.
pub fn is_active(node: &EntryNode, service: &str) -> bool {
    let has_customers = node.routing().is_some_and(|routing| routing.customers.is_some());
    has_customers || node.balancer.lock().unwrap().compares_servers(service)
}

/// Records that a server had no free slot for a call.
pub fn record_full_server(node: &EntryNode, server_set: &ServerSet) {
    if is_active(node, &server_set.service) {
        let now = node.now();
        node.admission.with_queue(server_set, |service_queue| service_queue.queue.record_full_server(now));
    }
}

/// Returns the load of a set of servers. If all are paused, a slot is expected when the first pause
/// ends.
fn service_load(node: &EntryNode, server_set: &ServerSet) -> ServiceLoad {
    let now = node.now();
    let balancer = node.balancer.lock().unwrap();
    let mut estimate = balancer.wait_estimate(now, server_set);
    if estimate.slots == 0
        && let Some(available_at) = balancer.available_at(now, server_set)
    {
        estimate.wait = available_at.since(now);
    }
    let in_flight = balancer.in_set(server_set.into()).map(|server| server.in_flight).sum();
    ServiceLoad { estimate, in_flight }
}

/// Called when a slot of a service may have become free.
pub fn slot_freed(node: &EntryNode, service: &Name) {
    if node.admission.has_any_waiting() {
        for server_set in &node.admission.waiting_sets(service) {
            advance(node, server_set);
        }
    }
}

/// Called when service discovery has changed, since any service may now have free slots.
pub fn servers_changed(node: &EntryNode) {
    if !node.admission.has_any_waiting() {
        return;
    }
    let sets: Vec<ServerSet> = node.admission.queues().keys().cloned().collect();
    for server_set in &sets {
        advance(node, server_set);
    }
}

/// Admits the waiting calls for which there is a slot, and refuses those that cannot be served in time.
/// Returns when to check again, or `None` if no call waits.
fn advance(node: &EntryNode, server_set: &ServerSet) -> Option<Timestamp> {
    let service_load = service_load(node, server_set);
    let now = node.now();
    let mut results = Vec::new();
    let next_due = node.admission.with_queue(server_set, |service_queue| {
        for outcome in service_queue.queue.advance(now, &service_load) {
            let (id, result) = match outcome {
                WaitOutcome::Admit(id) => (id, Ok(())),
                WaitOutcome::Refuse(id, refusal) => (id, Err(refusal)),
            };
            results.extend(service_queue.waiters.remove(&id).map(|sender| (sender, result)));
        }
        let next_due = service_queue.queue.next_due();
        if next_due.is_some_and(|due| due < service_queue.next_check) {
            service_queue.wake.notify_one();
        }
        next_due
    });
    node.admission.waiting.fetch_sub(results.len(), Ordering::Relaxed);
    for (sender, result) in results {
        // If the caller is just disconnecting, its guard releases the slot.
        let _ = sender.send(result);
    }
    next_due
}

/// Checks the queue of a set of servers until no call waits.
async fn drive(node: Arc<EntryNode>, server_set: ServerSet) {
    let wake = node.admission.with_queue(&server_set, |service_queue| service_queue.wake.clone());
    while !node.admission.with_queue(&server_set, ServiceQueue::try_release_driver) {
        let next_due = advance(&node, &server_set);
        let now = node.now();
        let delay = next_due.map_or(Duration::ZERO, |due| due.since(now)).clamp(MIN_RECHECK_DELAY, MAX_RECHECK_DELAY);
        node.admission.with_queue(&server_set, |service_queue| service_queue.next_check = now + delay);
        // Whether woken or timed out, the queue is checked again.
        let _ = clock::timeout(delay, wake.notified()).await;
    }
}
