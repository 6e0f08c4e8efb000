//! The processes of one soak, the links between them, and the faults injected into them.

use super::super::support::*;
use super::link::Link;
use super::placement::{self, PlacementServers};
use serde_json::json;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time for which a new holder of the order lease orders nothing from engines that its predecessor ordered.
pub const HANDOVER: Duration = Duration::from_millis(1_500);

/// Memory of a small VM, in megabytes.
const MEMORY_MB: u64 = 120;

/// File descriptors of a small VM.
const MAX_DESCRIPTORS: u64 = 3_075;

/// Number of nodes that follow the store if the seed is even; the others poll them for changes. With an odd seed,
/// all nodes follow the store.
const FOLLOWERS: usize = 2;

/// Number of plain servers, and of model engines.
const SERVERS: usize = 3;

/// Number of servers that crash under fatal requests.
const FRAGILE_SERVERS: usize = 4;

/// Time after which a crashed server is back.
const FRAGILE_RESTART_TIME: Duration = Duration::from_millis(400);

/// Nodes that a disturbance may affect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultScope {
    Node(usize),
    /// Any node, because the store, the servers or their links are disturbed.
    Everywhere,
    /// No node, because the nodes must serve meanwhile as they do otherwise.
    Zone(&'static str),
}

/// A fault or planned operation, with its time and scope.
#[derive(Clone, Debug)]
pub struct Disturbance {
    pub scope: FaultScope,
    pub what: String,
    pub from: Instant,
    /// End of the disturbance; `None` while it lasts.
    pub to: Option<Instant>,
    /// Whether it is a planned operation, during which no request may be interrupted.
    pub is_planned: bool,
}

/// A node's process with its addresses and links.
pub struct SoakNode {
    pub daemon: Mutex<EntryDaemon>,
    pub client: String,
    pub store_link: Link,
    /// Whether the soak stopped the process itself, so that its exit is no violation.
    pub is_down: AtomicBool,
    /// Number of starts of the process.
    pub starts: AtomicU64,
}

/// The state of one soak.
pub struct SoakCluster {
    pub platform: Platform,
    pub nodes: Vec<SoakNode>,
    pub server_links: Vec<Link>,
    /// Servers that crash under fatal requests.
    pub fragile: Arc<CrashingServers>,
    pub placement: Arc<PlacementServers>,
    pub is_over: AtomicBool,
    pub logs: PathBuf,
    started: Instant,
    disturbances: Mutex<Vec<Disturbance>>,
    violations: Mutex<Vec<String>>,
    next_id: AtomicU64,
    seed: u64,
    // The links run on this runtime and end with it.
    _runtime: tokio::runtime::Runtime,
}

impl SoakCluster {
    pub fn start(seed: u64, nodes: usize) -> Arc<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let mut server_links = Vec::new();
        let platform = Platform::start_behind_proxies(SERVERS, |address| {
            server_links.push(Link::open(&runtime, address));
            server_links.last().unwrap().address.clone()
        });
        platform.engine.event_interval_ms.store(25, Ordering::SeqCst);
        let fragile = CrashingServers::start(&platform.store, "fragile", FRAGILE_SERVERS, FRAGILE_RESTART_TIME);
        let placement = PlacementServers::start(&platform);
        let logs = std::env::temp_dir().join(format!("soak-{seed}-{}", std::process::id()));
        std::fs::create_dir_all(&logs).unwrap();
        let mut started: Vec<SoakNode> = Vec::new();
        let followers = if seed.is_multiple_of(2) { FOLLOWERS } else { nodes };
        for number in 0..nodes {
            let store_link = Link::open(&runtime, platform.store.address);
            let seeds = started.iter().take(2).map(|node| node.daemon.lock().unwrap().peer.clone()).collect();
            let name = format!("n{number}");
            let mut more = placement::node_settings(number);
            more["memory_mb"] = json!(MEMORY_MB);
            more["max_descriptors"] = json!(MAX_DESCRIPTORS);
            more["followers"] = json!(followers);
            let settings = DaemonSettings {
                store: store_link.address.clone(),
                seeds,
                order_handover_ms: HANDOVER.as_millis() as u64,
                retention_s: 600,
                log: Some(logs.join(format!("{name}.log"))),
                more,
                ..DaemonSettings::default()
            };
            let daemon = EntryDaemon::start_with(&name, &settings);
            let client = daemon.client.clone();
            let (is_down, starts) = (AtomicBool::new(false), AtomicU64::new(1));
            started.push(SoakNode { daemon: Mutex::new(daemon), client, store_link, is_down, starts });
        }
        Arc::new(Self {
            platform,
            nodes: started,
            server_links,
            fragile,
            placement,
            is_over: AtomicBool::new(false),
            logs,
            started: Instant::now(),
            disturbances: Mutex::default(),
            violations: Mutex::default(),
            next_id: AtomicU64::new(0),
            seed,
            _runtime: runtime,
        })
    }

    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Returns an id that no other request of this soak has.
    pub fn new_id(&self, kind: &str) -> String {
        format!("{kind}{}-{}", self.seed, self.next_id.fetch_add(1, Ordering::SeqCst))
    }

    pub fn daemon(&self, node: usize) -> MutexGuard<'_, EntryDaemon> {
        self.nodes[node].daemon.lock().unwrap()
    }

    /// Records a violated guarantee.
    pub fn violation(&self, what: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.violations.lock().unwrap().push(format!("{at:.3} s: {what}"));
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }

    /// Records the start of a disturbance and returns its index.
    pub fn begin_disturbance(&self, scope: FaultScope, what: impl Into<String>, is_planned: bool) -> usize {
        let mut disturbances = self.disturbances.lock().unwrap();
        disturbances.push(Disturbance { scope, what: what.into(), from: Instant::now(), to: None, is_planned });
        disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end_disturbance(&self, index: usize) {
        self.disturbances.lock().unwrap()[index].to = Some(Instant::now());
    }

    /// Returns whether no disturbance affected a node between `from` and `to`, or ended less than `margin`
    /// before `from`. Planned operations do not count if `allows_planned` is set.
    pub fn was_undisturbed(
        &self,
        node: usize,
        from: Instant,
        to: Instant,
        margin: Duration,
        allows_planned: bool,
    ) -> bool {
        let disturbances = self.disturbances.lock().unwrap();
        let touches = |disturbance: &Disturbance| {
            let affects_node =
                disturbance.scope == FaultScope::Everywhere || disturbance.scope == FaultScope::Node(node);
            let counts = !(disturbance.is_planned && allows_planned);
            affects_node && counts && disturbance.from <= to && disturbance.to.is_none_or(|end| end + margin >= from)
        };
        !disturbances.iter().any(touches)
    }

    /// Returns whether a disturbance of a node was active at `at`, or ended less than `within` before it.
    pub fn recovered_recently(&self, node: usize, at: Instant, within: Duration) -> bool {
        let disturbances = self.disturbances.lock().unwrap();
        disturbances.iter().any(|disturbance| {
            let affects_node =
                disturbance.scope == FaultScope::Everywhere || disturbance.scope == FaultScope::Node(node);
            affects_node && disturbance.from <= at && disturbance.to.is_none_or(|end| at <= end + within)
        })
    }

    /// Returns whether a disturbance of the node itself whose description begins with `what` was active at `at`.
    pub fn was_active(&self, node: usize, what: &str, at: Instant) -> bool {
        let disturbances = self.disturbances.lock().unwrap();
        let of_node = |disturbance: &&Disturbance| disturbance.scope == FaultScope::Node(node);
        let is_active = |disturbance: &Disturbance| disturbance.from <= at && disturbance.to.is_none_or(|end| at < end);
        disturbances
            .iter()
            .filter(of_node)
            .any(|disturbance| disturbance.what.starts_with(what) && is_active(disturbance))
    }

    /// Returns a line with time, scope and description for each disturbance.
    pub fn disturbance_log(&self) -> Vec<String> {
        let seconds = |at: Instant| at.saturating_duration_since(self.started).as_secs_f64();
        let disturbances = self.disturbances.lock().unwrap();
        let line = |disturbance: &Disturbance| {
            let until = disturbance.to.map_or_else(|| "the end".to_owned(), |to| format!("{:.3} s", seconds(to)));
            format!("{:.3} s to {until}: {:?} {}", seconds(disturbance.from), disturbance.scope, disturbance.what)
        };
        disturbances.iter().map(line).collect()
    }
}
