//! Whether this node follows the store or receives changes from a node that does, and the changes that it relays.

use super::node::EntryNode;
use super::{server_discovery, tables};
use crate::process::logs;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;
use tokio::sync::watch;
use trestlerack::process::{
    ChangeFeed, FollowerCandidate, LeaseRow, ServerCounts, ServerEntry, choose_followers, follower_count,
    is_node_partition,
};
use trestlerack::request::JobRecord;
use trestlerack::rows::StoredRow;
use trestlerack::version::ZoneMap;
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform as platform;

/// Tables that a follower reads.
pub const FOLLOWED_TABLES: [&str; 3] = [platform::OPERATOR_TABLE, platform::SERVER_TABLE, tables::STATE];

/// Time after the start of the process in which the number of servers counts as unknown, so that the followers
/// are chosen as for a large fleet: if all servers start at once, service discovery lists them one by one.
const STARTUP_TIME: Duration = Duration::from_secs(8);

/// Minimum time between two replacements of the server counts, since servers appear one by one when a fleet
/// starts.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Role of this node as a follower or a reader of a follower, and the change feed that it serves.
pub struct FollowerState {
    started_at: Timestamp,
    /// Whether this node follows the store itself.
    is_direct: watch::Sender<bool>,
    /// The nodes that follow the store; `None` while all do.
    followers: RwLock<Option<BTreeSet<Name>>>,
    /// Changes that are relayed to other nodes.
    change_feed: Mutex<ChangeFeed>,
    /// Signals changes to requests that wait for them.
    updates: watch::Sender<u64>,
    /// Time at which the request for the latest applied response was sent, by table.
    requested_at: Mutex<BTreeMap<&'static str, Timestamp>>,
    /// Whether the last call to the store failed.
    is_store_down: AtomicBool,
    /// Tables of which the change feed has all rows.
    complete_tables: Mutex<BTreeSet<&'static str>>,
    /// Number of followers last in use.
    last_count: AtomicUsize,
    /// Largest number of servers that were known at once.
    max_servers: AtomicUsize,
    /// Store version as of which the system's own rows are known.
    state_version: AtomicU64,
    /// Store version as of which the operator's rows are known.
    operator_version: AtomicU64,
    /// Server counts from which nodes compute the subset of the servers that they use.
    counts: Mutex<ServerCounts>,
    /// Random id of `counts`, which differs from those of earlier counts here and at other followers.
    counts_id: AtomicU64,
    counts_changed_at: Mutex<Timestamp>,
    /// Number of registry changes at which `counts` was computed.
    counted_changes: AtomicU64,
}

impl FollowerState {
    /// Builds the state of a node whose role is not known yet.
    pub fn new(started_at: Timestamp) -> Self {
        Self {
            started_at,
            is_direct: watch::channel(false).0,
            followers: RwLock::default(),
            change_feed: Mutex::new(ChangeFeed::new(rand::random())),
            updates: watch::channel(0).0,
            requested_at: Mutex::default(),
            is_store_down: AtomicBool::new(false),
            complete_tables: Mutex::default(),
            last_count: AtomicUsize::new(0),
            max_servers: AtomicUsize::new(0),
            state_version: AtomicU64::new(0),
            operator_version: AtomicU64::new(0),
            counts: Mutex::default(),
            counts_id: AtomicU64::new(0),
            counts_changed_at: Mutex::default(),
            counted_changes: AtomicU64::new(0),
        }
    }

    /// Returns whether this node follows the store itself.
    pub fn is_direct(&self) -> bool {
        *self.is_direct.borrow()
    }

    /// Waits until this node follows the store itself.
    pub async fn wait_direct(&self) {
        // Does not fail, since the sender lives as long as `self`.
        let _ = self.is_direct.subscribe().wait_for(|is_direct| *is_direct).await;
    }

    /// Returns the number of followers to use. A change to half or twice the last number is ignored, because nodes
    /// see slightly different numbers of servers.
    fn stable_count(&self, count: usize, nodes: usize) -> usize {
        let previous = self.last_count.swap(count, Ordering::Relaxed);
        let is_within_hysteresis =
            previous < nodes && count < nodes && (previous == 2 * count || count == 2 * previous);
        if is_within_hysteresis {
            self.last_count.store(previous, Ordering::Relaxed);
        }
        if is_within_hysteresis { previous } else { count }
    }

    /// Returns whether a node follows the store as far as is known, and so may drive jobs and hold the lease.
    pub fn is_follower(&self, name: &str) -> bool {
        self.followers.read().unwrap().as_ref().is_none_or(|followers| followers.contains(name))
    }

    /// Returns the nodes that follow the store; `None` while all do.
    pub fn followers(&self) -> Option<BTreeSet<Name>> {
        self.followers.read().unwrap().clone()
    }

    /// Returns whether this node relays changes to other nodes.
    pub fn relays_changes(&self) -> bool {
        self.is_direct() && self.followers.read().unwrap().is_some()
    }

    /// Returns whether the change feed has all rows of all tables.
    pub fn has_all_tables(&self) -> bool {
        self.complete_tables.lock().unwrap().len() == FOLLOWED_TABLES.len()
    }

    /// Records that the change feed has all rows of a table.
    pub fn mark_complete(&self, table: &str) {
        self.complete_tables.lock().unwrap().extend(FOLLOWED_TABLES.into_iter().filter(|followed| *followed == table));
    }

    /// Clears the change feed; its tables are read again once this node has to relay them.
    fn clear(&self) {
        self.complete_tables.lock().unwrap().clear();
        self.change_feed().clear();
    }

    /// Locks the change feed and returns it.
    pub fn change_feed(&self) -> MutexGuard<'_, ChangeFeed> {
        self.change_feed.lock().unwrap()
    }

    /// Returns a receiver that is notified of changes to relay.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.updates.subscribe()
    }

    /// Wakes the requests that wait for changes.
    pub fn notify_subscribers(&self) {
        self.updates.send_modify(|count| *count += 1);
    }

    /// Adds rows to the change feed if this node relays changes.
    pub fn relay(&self, rows: Vec<StoredRow>) {
        if rows.is_empty() || !self.relays_changes() {
            return;
        }
        let mut change_feed = self.change_feed();
        rows.into_iter().for_each(|row| change_feed.put(row));
        drop(change_feed);
        self.notify_subscribers();
    }

    /// Records that a table is known as of a version, from a response to a request sent at `requested_at`.
    pub fn record_read(&self, table: &'static str, requested_at: Timestamp, version: Option<u64>) {
        self.requested_at.lock().unwrap().insert(table, requested_at);
        self.is_store_down.store(false, Ordering::Relaxed);
        let known_version = match table {
            tables::STATE => &self.state_version,
            platform::OPERATOR_TABLE => &self.operator_version,
            _ => return,
        };
        known_version.fetch_max(version.unwrap_or(0), Ordering::Relaxed);
    }

    /// Records that a call to the store failed.
    pub fn record_store_failure(&self) {
        self.is_store_down.store(true, Ordering::Relaxed);
    }

    /// Returns whether the last call to the store failed.
    pub fn is_store_down(&self) -> bool {
        self.is_store_down.load(Ordering::Relaxed)
    }

    /// Returns the store version as of which the system's own rows are known.
    pub fn state_version(&self) -> u64 {
        self.state_version.load(Ordering::Relaxed)
    }

    /// Returns the store version as of which the operator's rows are known.
    pub fn operator_version(&self) -> u64 {
        self.operator_version.load(Ordering::Relaxed)
    }

    /// Returns the age of the table that was read least recently; the maximum duration if none was read.
    pub fn age(&self, now: Timestamp) -> Duration {
        let requested_at = self.requested_at.lock().unwrap();
        requested_at.values().min().map_or(Duration::MAX, |oldest| now.since(*oldest))
    }

    /// Returns the server counts from which nodes compute the subset of the servers that they use.
    pub fn counts(&self) -> ServerCounts {
        self.counts.lock().unwrap().clone()
    }

    /// Returns the id of the server counts.
    pub fn counts_id(&self) -> u64 {
        self.counts_id.load(Ordering::Relaxed)
    }

    /// Returns whether a server is in a node's subset.
    pub fn is_in_subset(&self, node: &str, zone: &str, regions: &ZoneMap, entry: &ServerEntry) -> bool {
        self.counts.lock().unwrap().is_in_subset(node, zone, regions, entry)
    }
}

/// Chooses the followers from the nodes and servers known here, and returns whether this node has to read the store
/// itself: it is a follower, drives a job or holds the lease.
pub fn update_followers(node: &Arc<EntryNode>) -> bool {
    let mut nodes = candidates(node);
    if !nodes.iter().any(|other| other.name == node.settings.name) {
        nodes.push(own_candidate(node));
    }
    let heartbeat = Duration::from_millis(node.settings.server_heartbeat_ms);
    let count = match node.settings.followers {
        0 => node.follower.stable_count(follower_count(nodes.len(), max_known_servers(node), heartbeat), nodes.len()),
        count => count,
    };
    let followers = (count < nodes.len()).then(|| choose_followers(&nodes, count));
    let is_chosen = followers.as_ref().is_none_or(|followers| followers.contains(&node.settings.name));
    let number = followers.as_ref().map_or(nodes.len(), BTreeSet::len);
    let had_followers = {
        let mut previous = node.follower.followers.write().unwrap();
        let had_followers = previous.is_some();
        if previous.as_ref().map(BTreeSet::len) != followers.as_ref().map(BTreeSet::len) {
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("nodes", &nodes.len()), ("followers", &number), ("is_follower", &is_chosen)];
            logs::write(event::LEVELS_CHANGED, &fields);
        }
        *previous = followers;
        had_followers
    };
    let has_followers = node.follower.followers.read().unwrap().is_some();
    if has_followers && !had_followers {
        // The change feed was not maintained while all nodes followed the store.
        node.follower.clear();
    }
    if !has_followers || node.follower.is_direct() {
        refresh_counts(node, has_followers);
    }
    is_chosen || !node.drivers.lock().unwrap().is_empty() || node.lease.fence(node.now()).is_some()
}

/// Returns whether a full read of a table is needed because this node relays it and lacks some of its rows.
pub fn needs_full_read(node: &EntryNode, table: &str) -> bool {
    node.follower.relays_changes() && !node.follower.complete_tables.lock().unwrap().contains(table)
}

fn max_known_servers(node: &EntryNode) -> Option<usize> {
    let known = match node.follower.is_direct() {
        true => node.registry.lock().unwrap().entries().count(),
        false => node.follower.counts().total(),
    };
    // Uses the largest number seen so far: servers appear one by one when a fleet starts, and more servers mean
    // fewer followers. A node that has become one of few followers stays one for now.
    let highest = node.follower.max_servers.fetch_max(known, Ordering::Relaxed).max(known);
    let is_settled = node.now().since(node.follower.started_at) >= STARTUP_TIME;
    (is_settled && highest > 0).then_some(highest)
}

fn own_candidate(node: &EntryNode) -> FollowerCandidate {
    let settings = &node.settings;
    FollowerCandidate { name: settings.name.clone(), zone: settings.zone.clone(), capacity: settings.capacity() }
}

/// Returns the registered nodes as candidates for followers.
pub fn candidates(node: &EntryNode) -> Vec<FollowerCandidate> {
    node.peers.rows(|name, row| FollowerCandidate {
        name: name.clone(),
        zone: row.zone.clone(),
        capacity: row.capacity,
    })
}

/// Replaces the server counts, and with them the subsets of all nodes, if the numbers of servers have changed much.
/// While all nodes follow the store, each uses all servers.
fn refresh_counts(node: &Arc<EntryNode>, has_followers: bool) {
    if has_followers && node.now().since(*node.follower.counts_changed_at.lock().unwrap()) < MIN_REFRESH_INTERVAL {
        return;
    }
    let covers_zones = node.routing().is_some_and(|routing| routing.has_restricted_placements());
    let counts = {
        let registry = node.registry.lock().unwrap();
        if has_followers
            && node.follower.counted_changes.swap(registry.changes(), Ordering::Relaxed) == registry.changes()
            && node.follower.counts().covers_zones() == covers_zones
        {
            return;
        }
        if has_followers {
            ServerCounts::of(registry.entries()).covering_zones(covers_zones)
        } else {
            ServerCounts::default()
        }
    };
    let is_replaced = node.follower.counts.lock().unwrap().replace_if_changed(counts);
    if is_replaced {
        *node.follower.counts_changed_at.lock().unwrap() = node.now();
        node.follower.counts_id.store(rand::random(), Ordering::Relaxed);
        node.follower.notify_subscribers();
        server_discovery::refresh_balancer(node);
    }
}

/// Sets whether this node follows the store itself.
pub fn set_direct(node: &EntryNode, is_direct: bool, reason: &str) {
    let was_direct = node.follower.is_direct.send_replace(is_direct);
    if was_direct != is_direct {
        if !is_direct {
            node.follower.clear();
            node.follower.requested_at.lock().unwrap().clear();
        }
        let source = if is_direct { "store" } else { "follower" };
        logs::write(event::LEVEL_TAKEN, &[("source", &source), ("why", &reason)]);
    }
}

/// Adopts the server counts of a follower.
pub fn set_counts(node: &EntryNode, counts: ServerCounts, counts_id: u64) {
    node.follower.counts_id.store(counts_id, Ordering::Relaxed);
    *node.follower.counts.lock().unwrap() = counts;
}

/// Returns whether a row of the system's own table is relayed. Weight orders of engines are not, because only
/// drivers and the lease holder need them and these follow the store. The lease and the record of a job are relayed
/// only if the node that has to act changes.
pub fn is_relayed(row: &StoredRow, previous: Option<&StoredRow>) -> bool {
    match &*row.partition {
        tables::ENGINES => false,
        tables::LEASES => row.removed || previous.is_none_or(|previous| !is_same_lease(row, previous)),
        tables::SUSPECTS => true,
        partition if is_node_partition(partition) => true,
        _ if &*row.key == tables::JOB_RECORD => {
            row.removed || previous.is_none_or(|previous| !is_same_owner(row, previous))
        }
        _ => true,
    }
}

fn is_same_lease(row: &StoredRow, previous: &StoredRow) -> bool {
    let key_fields = |row: &StoredRow| {
        let lease: LeaseRow = tables::decode(&row.value).ok()?;
        Some((lease.holder, lease.incarnation, lease.fence, lease.released))
    };
    key_fields(row) == key_fields(previous)
}

fn is_same_owner(row: &StoredRow, previous: &StoredRow) -> bool {
    let key_fields = |row: &StoredRow| {
        let record: JobRecord = tables::decode(&row.value).ok()?;
        let is_complete = record.is_complete();
        Some((record.owner, record.incarnation, record.fence, is_complete))
    };
    key_fields(row) == key_fields(previous)
}
