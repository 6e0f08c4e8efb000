//! Counts the requests of customers that began to run here, and tells the holder of the lease.

use crate::entry::node::EntryNode;
use crate::process::clock::{self, SystemClock};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::Name;
use trestlerack::process::{StableWallClock, UsageCollector, UsageCounter, UsageSender, UsageSettings, UsageSnapshot};
use trestlerack::time::millis;

/// Least time between two notes to the holder. The first request after a pause is told at once, so
/// that a node that dies takes few with it.
const TELL_PAUSE: Duration = Duration::from_millis(100);

/// Time after which notes are looked at without news, since the holder may have changed.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Pause after a holder that did not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// What this node counted, and what it was told by others as the holder of the lease.
pub struct UsageBook {
    /// Time since boot at which the book was opened.
    started: Duration,
    wall: Mutex<StableWallClock>,
    settings: Option<UsageSettings>,
    counter: Mutex<UsageCounter>,
    /// Notes of all nodes; complete at the holder only.
    pub desk: Mutex<UsageCollector>,
    news: Notify,
}

impl UsageBook {
    /// Opens a book; without settings nothing is counted.
    pub fn new(settings: Option<UsageSettings>) -> Self {
        Self {
            started: clock::since_boot(),
            wall: Mutex::default(),
            settings,
            counter: Mutex::default(),
            desk: Mutex::default(),
            news: Notify::new(),
        }
    }

    /// Returns the time of day in milliseconds.
    pub fn wall_ms(&self) -> u64 {
        self.wall
            .lock()
            .unwrap()
            .read(millis(clock::since_boot().saturating_sub(self.started)), SystemClock::unix_millis())
    }

    /// Counts a request that began to run at a time of day.
    pub fn count(&self, customer: &Name, began_ms: u64) {
        let Some(settings) = self.settings else { return };
        self.counter.lock().unwrap().count(settings.window_at(began_ms), customer);
        self.news.notify_one();
    }

    /// Takes notes that a node tells.
    pub fn take(&self, sender: &UsageSender, notes: Vec<UsageSnapshot>) {
        let mut desk = self.desk.lock().unwrap();
        for note in notes {
            desk.merge(sender, note);
        }
    }
}

/// Tells the holder of the lease what is counted here, until the process ends.
pub async fn tell_holder(node: Arc<EntryNode>, settings: UsageSettings) {
    let sender = UsageSender { node: node.settings.name.clone(), incarnation: node.incarnation };
    let mut told_fence = None;
    loop {
        // Ends with news or with the interval; both lead to a look.
        let _ = clock::timeout(LOOK_INTERVAL, node.usage.news.notified()).await;
        let first_kept = settings.first_kept(node.usage.wall_ms());
        node.usage.counter.lock().unwrap().forget_before(first_kept);
        node.usage.desk.lock().unwrap().forget_before(first_kept);
        let Some(lease) = node.lease.row() else { continue };
        if told_fence.replace(lease.fence) != Some(lease.fence) {
            node.usage.counter.lock().unwrap().forget_acknowledged();
        }
        let notes = node.usage.counter.lock().unwrap().unacknowledged();
        if notes.is_empty() {
            continue;
        }
        if tell(&node, &lease.holder, &sender, &notes).await {
            node.usage.counter.lock().unwrap().acknowledge(&notes);
            clock::sleep(TELL_PAUSE).await;
        } else {
            clock::sleep(RETRY_PAUSE).await;
            node.usage.news.notify_one();
        }
    }
}

/// Returns whether the holder has the notes.
async fn tell(node: &Arc<EntryNode>, holder: &Name, sender: &UsageSender, notes: &[UsageSnapshot]) -> bool {
    if *holder == node.settings.name {
        node.usage.take(sender, notes.to_vec());
        return true;
    }
    match node.peers.get(holder) {
        Some(row) => node.peers.send_usage(&row.address, sender, notes).await.is_some(),
        None => false,
    }
}
