//! Holds the calls that wait for a place of a service, and wakes them.
//!
//! Active for services of configurations with customers, and for those whose servers are compared;
//! elsewhere a call looks for any server for a part of its target latency. See
//! [docs/design/room.md](../../../../../docs/design/room.md).

mod metrics;
mod queue_wait;
mod service_calls;
mod status;

pub use metrics::RoomMetrics;
pub use service_calls::{RoomCall, enter, may_try_again, note_attempt, note_call};
pub use status::lines;

use super::node::EntryNode;
use crate::process::clock;
use status::RefusalCounts;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::sync::{Notify, oneshot};
use trestlerack::process::{
    AdmissionQueue, AdmissionSettings, CallRefusal, QueuedCallId, SecondAttemptBudget, ServiceLoad, WaitOutcome,
};
use trestlerack::{Name, Timestamp};

/// Longest sleep before a queue is looked at again without news, so that an estimate that has improved
/// meanwhile is seen.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Shortest such sleep; times are in milliseconds.
const LEAST_PAUSE: Duration = Duration::from_millis(1);

/// How the wait of a call ended.
type WaitEnd = Result<(), CallRefusal>;

/// The calls that wait for one service.
struct ServiceQueue {
    queue: AdmissionQueue,
    ends: HashMap<QueuedCallId, oneshot::Sender<WaitEnd>>,
    /// Whether a task looks after the queue.
    is_driven: bool,
    /// When that task looks next, unless it is woken.
    looks_at: Timestamp,
    wake: Arc<Notify>,
    counts: RefusalCounts,
}

impl ServiceQueue {
    fn new() -> Self {
        Self {
            queue: AdmissionQueue::new(AdmissionSettings::default()),
            ends: HashMap::new(),
            is_driven: false,
            looks_at: Timestamp::default(),
            wake: Arc::default(),
            counts: RefusalCounts::default(),
        }
    }

    /// Returns whether nobody waits, so that the task that looks after the queue ends. It alone records
    /// that it does, so that there is never a second one.
    fn is_left(&mut self) -> bool {
        self.is_driven = !self.queue.is_empty();
        !self.is_driven
    }
}

/// The queues of a node, by service.
pub struct RoomDesk {
    queues: Mutex<HashMap<Name, ServiceQueue>>,
    /// Calls that wait in all queues, so that the end of a request costs nothing while none do.
    waiting: AtomicUsize,
    second_attempts: Mutex<SecondAttemptBudget>,
}

impl RoomDesk {
    /// Builds a desk without calls.
    pub fn new() -> Self {
        Self {
            queues: Mutex::default(),
            waiting: AtomicUsize::new(0),
            second_attempts: Mutex::new(SecondAttemptBudget::new(&AdmissionSettings::default())),
        }
    }

    fn is_short(&self, now: Timestamp, service: &str) -> bool {
        self.queues().get(service).is_some_and(|held| held.queue.is_overloaded(now))
    }

    fn is_waited_for(&self, service: &str) -> bool {
        self.queues().get(service).is_some_and(|held| !held.queue.is_empty())
    }

    fn has_waiting(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    fn queues(&self) -> MutexGuard<'_, HashMap<Name, ServiceQueue>> {
        self.queues.lock().unwrap()
    }

    /// Changes the queue of a service, which is made if there is none.
    fn with_queue<T>(&self, service: &Name, change: impl FnOnce(&mut ServiceQueue) -> T) -> T {
        let mut queues = self.queues();
        if let Some(held) = queues.get_mut(service) {
            return change(held);
        }
        change(queues.entry(service.clone()).or_insert_with(ServiceQueue::new))
    }
}

/// Returns whether calls for a service are admitted by its room.
pub fn is_active(node: &EntryNode, service: &str) -> bool {
    let has_customers = node.routing().is_some_and(|routing| routing.customers.is_some());
    has_customers || node.balancer.lock().unwrap().compares_servers(service)
}

/// Records that a server had no room for a call.
pub fn note_full(node: &EntryNode, service: &Name) {
    if is_active(node, service) {
        let now = node.now();
        node.room.with_queue(service, |held| held.queue.record_full_server(now));
    }
}

/// Returns what is known of a service. Where all its servers are paused, a place is expected when the
/// first pause ends.
fn view(node: &EntryNode, service: &str) -> ServiceLoad {
    let now = node.now();
    let balancer = node.balancer.lock().unwrap();
    let mut estimate = balancer.wait_estimate(now, service);
    if estimate.slots == 0
        && let Some(available_at) = balancer.available_at(service)
    {
        estimate.wait = available_at.since(now);
    }
    let in_flight = balancer.of_service(service).map(|server| server.in_flight).sum();
    ServiceLoad { estimate, in_flight }
}

/// Tells that a place of a service may be free.
pub fn place_freed(node: &EntryNode, service: &Name) {
    if node.room.has_waiting() && node.room.is_waited_for(service) {
        advance(node, service);
    }
}

/// Tells that service discovery has changed, so that any service may have places.
pub fn servers_changed(node: &EntryNode) {
    if !node.room.has_waiting() {
        return;
    }
    let services: Vec<Name> = node.room.queues().keys().cloned().collect();
    for service in &services {
        advance(node, service);
    }
}

/// Lets those go for whom there is a place, and refuses those whom none can serve in time. Returns when
/// to look again; `None` if nobody waits.
fn advance(node: &EntryNode, service: &Name) -> Option<Timestamp> {
    let view = view(node, service);
    let now = node.now();
    let mut ended = Vec::new();
    let next_due = node.room.with_queue(service, |held| {
        for fate in held.queue.advance(now, &view) {
            let (number, end) = match fate {
                WaitOutcome::Admit(number) => (number, Ok(())),
                WaitOutcome::Refuse(number, refusal) => (number, Err(refusal)),
            };
            ended.extend(held.ends.remove(&number).map(|sender| (sender, end)));
        }
        let next_due = held.queue.next_due();
        if next_due.is_some_and(|due| due < held.looks_at) {
            held.wake.notify_one();
        }
        next_due
    });
    node.room.waiting.fetch_sub(ended.len(), Ordering::Relaxed);
    for (sender, end) in ended {
        // The guard of a caller that leaves just now gives its place back.
        let _ = sender.send(end);
    }
    next_due
}

/// Looks after the queue of a service until nobody waits.
async fn drive(node: Arc<EntryNode>, service: Name) {
    let wake = node.room.with_queue(&service, |held| held.wake.clone());
    while !node.room.with_queue(&service, ServiceQueue::is_left) {
        let next_due = advance(&node, &service);
        let now = node.now();
        let pause = next_due.map_or(Duration::ZERO, |due| due.since(now)).clamp(LEAST_PAUSE, LOOK_INTERVAL);
        node.room.with_queue(&service, |held| held.looks_at = now + pause);
        // Either way it is time to look again.
        let _ = clock::timeout(pause, wake.notified()).await;
    }
}
