//! Counts the customers' requests that started to run here, and sends the counts to the lease holder.

use crate::entry::node::EntryNode;
use crate::process::clock::{self, SystemClock};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::Name;
use trestlerack::process::{StableWallClock, UsageCollector, UsageCounter, UsageSender, UsageSettings, UsageSnapshot};
use trestlerack::time::millis;

/// Minimum time between two messages to the lease holder. The first request after a pause is sent at once, so that
/// few counts are lost if this node crashes.
const MIN_SEND_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which unsent counts are checked without new requests, since the lease holder may have changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before counts are sent again to a lease holder that did not respond.
const RETRY_BACKOFF: Duration = Duration::from_millis(250);

/// Usage counted by this node, and usage that other nodes sent to it as the lease holder.
pub struct UsageTracker {
    /// Time since boot at which the tracker was created.
    started: Duration,
    wall_clock: Mutex<StableWallClock>,
    settings: Option<UsageSettings>,
    counter: Mutex<UsageCounter>,
    /// Snapshots of all nodes; complete only on the lease holder.
    pub collector: Mutex<UsageCollector>,
    /// Signals a new count to send.
    changed: Notify,
}

impl UsageTracker {
    /// Builds a tracker, which counts nothing without settings.
    pub fn new(settings: Option<UsageSettings>) -> Self {
        Self {
            started: clock::since_boot(),
            wall_clock: Mutex::default(),
            settings,
            counter: Mutex::default(),
            collector: Mutex::default(),
            changed: Notify::new(),
        }
    }

    /// Returns the time of day in milliseconds since the Unix epoch.
    pub fn wall_ms(&self) -> u64 {
        self.wall_clock
            .lock()
            .unwrap()
            .read(millis(clock::since_boot().saturating_sub(self.started)), SystemClock::unix_millis())
    }

    /// Counts a request of a customer that started to run at a time of day.
    pub fn count(&self, customer: &Name, started_ms: u64) {
        let Some(settings) = self.settings else { return };
        self.counter.lock().unwrap().count(settings.window_at(started_ms), customer);
        self.changed.notify_one();
    }

    /// Merges the snapshots that a node sent.
    pub fn merge(&self, sender: &UsageSender, snapshots: Vec<UsageSnapshot>) {
        let mut collector = self.collector.lock().unwrap();
        for snapshot in snapshots {
            collector.merge(sender, snapshot);
        }
    }
}

/// Sends the counts of this node to the lease holder until the process ends.
pub async fn send_to_holder(node: Arc<EntryNode>, settings: UsageSettings) {
    let sender = UsageSender { node: node.settings.name.clone(), incarnation: node.incarnation };
    let mut last_fence = None;
    loop {
        // Ends with a new count or after the interval; unsent counts are checked in either case.
        let _ = clock::timeout(CHECK_INTERVAL, node.usage.changed.notified()).await;
        let first_kept = settings.first_kept(node.usage.wall_ms());
        node.usage.counter.lock().unwrap().forget_before(first_kept);
        node.usage.collector.lock().unwrap().forget_before(first_kept);
        let Some(lease) = node.lease.row() else { continue };
        if last_fence.replace(lease.fence) != Some(lease.fence) {
            node.usage.counter.lock().unwrap().forget_acknowledged();
        }
        let snapshots = node.usage.counter.lock().unwrap().unacknowledged();
        if snapshots.is_empty() {
            continue;
        }
        if send_snapshots(&node, &lease.holder, &sender, &snapshots).await {
            node.usage.counter.lock().unwrap().acknowledge(&snapshots);
            clock::sleep(MIN_SEND_INTERVAL).await;
        } else {
            clock::sleep(RETRY_BACKOFF).await;
            node.usage.changed.notify_one();
        }
    }
}

/// Sends snapshots to the lease holder and returns whether it has received them.
async fn send_snapshots(
    node: &Arc<EntryNode>,
    holder: &Name,
    sender: &UsageSender,
    snapshots: &[UsageSnapshot],
) -> bool {
    if *holder == node.settings.name {
        node.usage.merge(sender, snapshots.to_vec());
        return true;
    }
    match node.peers.get(holder) {
        Some(row) => node.peers.tell_usage(&row.address, sender, snapshots).await.is_some(),
        None => false,
    }
}
