//! Whether this node follows the store or hears of changes from a node that does, and what it passes on.

use super::node::EntryNode;
use super::{server_feed, tables};
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
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform as platform;

/// Tables that a follower reads.
pub const FOLLOWED_TABLES: [&str; 3] = [platform::OPERATOR_TABLE, platform::SERVER_TABLE, tables::STATE];

/// Time for which a process that started reckons with as many servers as large fleets have: where all
/// start at once, service discovery lists them one after the other.
const SETTLE_TIME: Duration = Duration::from_secs(8);

/// Shortest time between two draws: at a start servers come one after the other.
const REDRAW_PAUSE: Duration = Duration::from_secs(1);

/// What a node knows of the levels.
pub struct LevelDesk {
    started_at: Timestamp,
    /// Whether this node follows the store itself.
    is_direct: watch::Sender<bool>,
    /// The nodes that do; `None` while all do.
    followers: RwLock<Option<BTreeSet<Name>>>,
    /// What is passed on to others.
    log: Mutex<ChangeFeed>,
    news: watch::Sender<u64>,
    /// When the question was sent whose answer was taken in last, by table.
    asked_at: Mutex<BTreeMap<&'static str, Timestamp>>,
    is_out: AtomicBool,
    /// Tables of which all rows are passed on.
    whole: Mutex<BTreeSet<&'static str>>,
    /// Number of followers that was gone by last.
    count: AtomicUsize,
    /// Most servers that were known at once.
    most_servers: AtomicUsize,
    /// Version of the store as of which the system's own rows are known.
    state_version: AtomicU64,
    counts: Mutex<ServerCounts>,
    /// Tells these counts from earlier ones, here and at other followers.
    drawn: AtomicU64,
    drawn_at: Mutex<Timestamp>,
    /// Changes of the registry as of which the counts were taken.
    counted: AtomicU64,
}

impl LevelDesk {
    /// Builds a desk of a node that is yet to find out.
    pub fn new(started_at: Timestamp) -> Self {
        Self {
            started_at,
            is_direct: watch::channel(false).0,
            followers: RwLock::default(),
            log: Mutex::new(ChangeFeed::new(rand::random())),
            news: watch::channel(0).0,
            asked_at: Mutex::default(),
            is_out: AtomicBool::new(false),
            whole: Mutex::default(),
            count: AtomicUsize::new(0),
            most_servers: AtomicUsize::new(0),
            state_version: AtomicU64::new(0),
            counts: Mutex::default(),
            drawn: AtomicU64::new(0),
            drawn_at: Mutex::default(),
            counted: AtomicU64::new(0),
        }
    }

    /// Returns whether this node follows the store itself.
    pub fn is_direct(&self) -> bool {
        *self.is_direct.borrow()
    }

    /// Waits until this node follows the store itself.
    pub async fn wait_direct(&self) {
        // The sender lives as long as the desk.
        let _ = self.is_direct.subscribe().wait_for(|is_direct| *is_direct).await;
    }

    /// Returns the number of followers to go by: nodes see somewhat different numbers of servers, and one that is
    /// half or twice the last one is no reason for another.
    fn keep_count(&self, count: usize, nodes: usize) -> usize {
        let held = self.count.swap(count, Ordering::Relaxed);
        let is_near = held < nodes && count < nodes && (held == 2 * count || count == 2 * held);
        if is_near {
            self.count.store(held, Ordering::Relaxed);
        }
        if is_near { held } else { count }
    }

    /// Returns whether a node may drive jobs and hold the lease: it follows the store, as far as is known.
    pub fn is_follower(&self, name: &str) -> bool {
        self.followers.read().unwrap().as_ref().is_none_or(|followers| followers.contains(name))
    }

    /// Returns the nodes that follow the store; `None` while all do.
    pub fn followers(&self) -> Option<BTreeSet<Name>> {
        self.followers.read().unwrap().clone()
    }

    /// Returns whether this node passes changes on.
    pub fn passes_on(&self) -> bool {
        self.is_direct() && self.followers.read().unwrap().is_some()
    }

    /// Returns whether all rows of all tables are there for others.
    pub fn knows_all(&self) -> bool {
        self.whole.lock().unwrap().len() == FOLLOWED_TABLES.len()
    }

    /// Records that all rows of a table are there for others.
    pub fn hold_whole(&self, table: &str) {
        self.whole.lock().unwrap().extend(FOLLOWED_TABLES.into_iter().filter(|held| *held == table));
    }

    /// Forgets what is passed on; it is read again once this node is to pass it on.
    fn clear(&self) {
        self.whole.lock().unwrap().clear();
        self.log().clear();
    }

    /// Gives access to what is passed on.
    pub fn log(&self) -> MutexGuard<'_, ChangeFeed> {
        self.log.lock().unwrap()
    }

    /// Returns what tells of changes that are passed on.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.news.subscribe()
    }

    /// Tells those that wait of changes that were passed on.
    pub fn tell(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    /// Passes rows on.
    pub fn put(&self, rows: Vec<StoredRow>) {
        if rows.is_empty() || !self.passes_on() {
            return;
        }
        let mut log = self.log();
        rows.into_iter().for_each(|row| log.put(row));
        drop(log);
        self.tell();
    }

    /// Records that a table is known as of a version, by an answer to a question sent at `asked_at`.
    pub fn taken_in(&self, table: &'static str, asked_at: Timestamp, version: Option<u64>) {
        self.asked_at.lock().unwrap().insert(table, asked_at);
        self.is_out.store(false, Ordering::Relaxed);
        if let Some(version) = version.filter(|_| table == tables::STATE) {
            self.state_version.fetch_max(version, Ordering::Relaxed);
        }
    }

    /// Records that the store did not answer.
    pub fn failed(&self) {
        self.is_out.store(true, Ordering::Relaxed);
    }

    /// Returns whether the store did not answer last.
    pub fn is_out(&self) -> bool {
        self.is_out.load(Ordering::Relaxed)
    }

    /// Returns the version of the store as of which the system's own rows are known.
    pub fn state_version(&self) -> u64 {
        self.state_version.load(Ordering::Relaxed)
    }

    /// Returns how old the oldest of what this node knows of the store may be.
    pub fn age(&self, now: Timestamp) -> Duration {
        let asked_at = self.asked_at.lock().unwrap();
        asked_at.values().min().map_or(Duration::MAX, |oldest| now.since(*oldest))
    }

    /// Returns the counts from which nodes draw the servers that they make use of.
    pub fn counts(&self) -> ServerCounts {
        self.counts.lock().unwrap().clone()
    }

    /// Returns what tells these counts from others.
    pub fn drawn(&self) -> u64 {
        self.drawn.load(Ordering::Relaxed)
    }

    /// Returns whether a node makes use of a server.
    pub fn is_in_subset(&self, node: &str, zone: &str, entry: &ServerEntry) -> bool {
        self.counts.lock().unwrap().is_in_subset(node, zone, entry)
    }
}

/// Decides whether this node is to follow the store, as of the nodes and servers that it knows. Returns it.
pub fn decide(node: &Arc<EntryNode>) -> bool {
    let mut nodes = level_nodes(node);
    if !nodes.iter().any(|other| other.name == node.settings.name) {
        nodes.push(own_node(node));
    }
    let heartbeat = Duration::from_millis(node.settings.server_heartbeat_ms);
    let count = match node.settings.followers {
        0 => node.levels.keep_count(follower_count(nodes.len(), known_servers(node), heartbeat), nodes.len()),
        count => count,
    };
    let followers = (count < nodes.len()).then(|| choose_followers(&nodes, count));
    let is_chosen = followers.as_ref().is_none_or(|followers| followers.contains(&node.settings.name));
    let number = followers.as_ref().map_or(nodes.len(), BTreeSet::len);
    let was_in_force = {
        let mut held = node.levels.followers.write().unwrap();
        let was_in_force = held.is_some();
        if held.as_ref().map(BTreeSet::len) != followers.as_ref().map(BTreeSet::len) {
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("nodes", &nodes.len()), ("followers", &number), ("is_follower", &is_chosen)];
            logs::write(event::LEVELS_CHANGED, &fields);
        }
        *held = followers;
        was_in_force
    };
    let is_in_force = node.levels.followers.read().unwrap().is_some();
    if is_in_force && !was_in_force {
        // What is passed on was not kept before.
        node.levels.clear();
    }
    if !is_in_force || node.levels.is_direct() {
        replace_if_changed(node, is_in_force);
    }
    is_chosen || !node.drivers.lock().unwrap().is_empty() || node.lease.fence(node.now()).is_some()
}

/// Returns whether a table is to be read whole again, because this node is to pass it on.
pub fn is_unread(node: &EntryNode, table: &str) -> bool {
    node.levels.passes_on() && !node.levels.whole.lock().unwrap().contains(table)
}

fn known_servers(node: &EntryNode) -> Option<usize> {
    let known = match node.levels.is_direct() {
        true => node.registry.lock().unwrap().entries().count(),
        false => node.levels.counts().total(),
    };
    // Servers come one after the other at a start, and a node that has become one of few followers stays it
    // for the time.
    let most = node.levels.most_servers.fetch_max(known, Ordering::Relaxed).max(known);
    let is_settled = node.now().since(node.levels.started_at) >= SETTLE_TIME;
    (is_settled && most > 0).then_some(most)
}

fn own_node(node: &EntryNode) -> FollowerCandidate {
    let settings = &node.settings;
    FollowerCandidate { name: settings.name.clone(), zone: settings.zone.clone(), capacity: settings.capacity() }
}

/// Returns the registered nodes, as far as levels ask.
pub fn level_nodes(node: &EntryNode) -> Vec<FollowerCandidate> {
    node.peers.rows(|name, row| FollowerCandidate {
        name: name.clone(),
        zone: row.zone.clone(),
        capacity: row.capacity,
    })
}

/// Draws the servers that nodes make use of anew where their numbers have changed much. While all nodes
/// follow the store they make use of all.
fn replace_if_changed(node: &Arc<EntryNode>, is_in_force: bool) {
    if is_in_force && node.now().since(*node.levels.drawn_at.lock().unwrap()) < REDRAW_PAUSE {
        return;
    }
    let counts = {
        let registry = node.registry.lock().unwrap();
        if is_in_force && node.levels.counted.swap(registry.changes(), Ordering::Relaxed) == registry.changes() {
            return;
        }
        if is_in_force { ServerCounts::of(registry.entries()) } else { ServerCounts::default() }
    };
    let is_redrawn = node.levels.counts.lock().unwrap().replace_if_changed(counts);
    if is_redrawn {
        *node.levels.drawn_at.lock().unwrap() = node.now();
        node.levels.drawn.store(rand::random(), Ordering::Relaxed);
        node.levels.tell();
        server_feed::refresh_board(node);
    }
}

/// Records whether this node follows the store itself from now on.
pub fn set_direct(node: &EntryNode, is_direct: bool, why: &str) {
    let was_direct = node.levels.is_direct.send_replace(is_direct);
    if was_direct != is_direct {
        if !is_direct {
            node.levels.clear();
            node.levels.asked_at.lock().unwrap().clear();
        }
        let source = if is_direct { "store" } else { "follower" };
        logs::write(event::LEVEL_TAKEN, &[("source", &source), ("why", &why)]);
    }
}

/// Takes over the counts of a follower.
pub fn take_counts(node: &EntryNode, counts: ServerCounts, drawn: u64) {
    node.levels.drawn.store(drawn, Ordering::Relaxed);
    *node.levels.counts.lock().unwrap() = counts;
}

/// Returns whether a row of the system's own table is passed on: what engines are ordered concerns drivers and
/// the holder of the lease alone, and they follow the store; a job's head and the lease are passed on when
/// another node is to act.
pub fn is_for_all(row: &StoredRow, held: Option<&StoredRow>) -> bool {
    match &*row.partition {
        tables::ENGINES => false,
        tables::LEASES => row.removed || held.is_none_or(|held| !is_same_lease(row, held)),
        tables::SUSPECTS => true,
        partition if is_node_partition(partition) => true,
        _ if &*row.key == tables::JOB_RECORD => row.removed || held.is_none_or(|held| !is_same_owner(row, held)),
        _ => true,
    }
}

fn is_same_lease(row: &StoredRow, held: &StoredRow) -> bool {
    let terms = |row: &StoredRow| {
        let lease: LeaseRow = tables::decode(&row.value).ok()?;
        Some((lease.holder, lease.incarnation, lease.fence, lease.released))
    };
    terms(row) == terms(held)
}

fn is_same_owner(row: &StoredRow, held: &StoredRow) -> bool {
    let terms = |row: &StoredRow| {
        let head: JobRecord = tables::decode(&row.value).ok()?;
        let is_whole = head.is_complete();
        Some((head.owner, head.incarnation, head.fence, is_whole))
    };
    terms(row) == terms(held)
}
