//! The processes of one soak, the links between them, and what was done to them when.

use super::super::support::*;
use super::link::Link;
use serde_json::json;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Time that a new holder of the order lease leaves the engines of the one before alone.
pub const HANDOVER: Duration = Duration::from_millis(1_500);

/// Memory and descriptors of a small VM.
const MEMORY_MB: u64 = 120;
const MAX_DESCRIPTORS: u64 = 3_075;

/// Servers of each kind.
const SERVERS: usize = 3;

/// Servers that some requests end, and the time after which they are back.
const FRAGILE_SERVERS: usize = 4;
const FRAGILE_BACK: Duration = Duration::from_millis(400);

/// What a disturbance touches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Place {
    Node(usize),
    /// The store, the servers or their links: any node may feel it.
    Everywhere,
}

/// A time in which something was done to a place.
#[derive(Clone, Debug)]
pub struct Disturbance {
    pub place: Place,
    pub what: String,
    pub from: Instant,
    /// `None` while it lasts.
    pub to: Option<Instant>,
    /// Planned work, during which no request may be cut off.
    pub is_planned: bool,
}

/// A node's process and what it was told.
pub struct SoakNode {
    pub daemon: Mutex<EntryDaemon>,
    pub client: String,
    pub store_link: Link,
    /// Whether the soak ended the process itself, so that an end is no finding.
    pub is_down: AtomicBool,
    /// Counts the starts of the process.
    pub starts: AtomicU64,
}

/// Everything that lives as long as one soak.
pub struct World {
    pub platform: Platform,
    pub nodes: Vec<SoakNode>,
    pub server_links: Vec<Link>,
    /// Servers that some requests end.
    pub fragile: Arc<CrashingServers>,
    pub is_over: AtomicBool,
    pub logs: PathBuf,
    started: Instant,
    disturbances: Mutex<Vec<Disturbance>>,
    violations: Mutex<Vec<String>>,
    next_id: AtomicU64,
    seed: u64,
    // Links end with the runtime that carries them.
    _runtime: tokio::runtime::Runtime,
}

impl World {
    pub fn start(seed: u64, nodes: usize) -> Arc<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build().unwrap();
        let mut server_links = Vec::new();
        let platform = Platform::start_behind(SERVERS, |address| {
            server_links.push(Link::open(&runtime, address));
            server_links.last().unwrap().address.clone()
        });
        platform.engine.pace_ms.store(25, Ordering::SeqCst);
        let fragile = CrashingServers::start(&platform.store, "fragile", FRAGILE_SERVERS, FRAGILE_BACK);
        let logs = std::env::temp_dir().join(format!("soak-{seed}-{}", std::process::id()));
        std::fs::create_dir_all(&logs).unwrap();
        let mut started: Vec<SoakNode> = Vec::new();
        for number in 0..nodes {
            let store_link = Link::open(&runtime, platform.store.address);
            let seeds = started.iter().take(2).map(|node| node.daemon.lock().unwrap().peer.clone()).collect();
            let name = format!("n{number}");
            let settings = DaemonSettings {
                store: store_link.address.clone(),
                seeds,
                order_handover_ms: HANDOVER.as_millis() as u64,
                retention_s: 600,
                log: Some(logs.join(format!("{name}.log"))),
                more: json!({ "memory_mb": MEMORY_MB, "max_descriptors": MAX_DESCRIPTORS }),
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

    /// Records that a promise was broken.
    pub fn violation(&self, what: String) {
        let at = self.started.elapsed().as_secs_f64();
        self.violations.lock().unwrap().push(format!("{at:.3} s: {what}"));
    }

    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().unwrap().clone()
    }

    /// Records the begin of a disturbance; returns its number.
    pub fn disturb(&self, place: Place, what: impl Into<String>, is_planned: bool) -> usize {
        let mut disturbances = self.disturbances.lock().unwrap();
        disturbances.push(Disturbance { place, what: what.into(), from: Instant::now(), to: None, is_planned });
        disturbances.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn settle(&self, number: usize) {
        self.disturbances.lock().unwrap()[number].to = Some(Instant::now());
    }

    /// Returns whether a node was left alone from `margin` before `from` until `to`, planned work
    /// aside if `allows_planned`.
    pub fn was_calm(&self, node: usize, from: Instant, to: Instant, margin: Duration, allows_planned: bool) -> bool {
        let disturbances = self.disturbances.lock().unwrap();
        let touches = |held: &Disturbance| {
            let is_here = held.place == Place::Everywhere || held.place == Place::Node(node);
            let counts = !(held.is_planned && allows_planned);
            is_here && counts && held.from <= to && held.to.is_none_or(|end| end + margin >= from)
        };
        !disturbances.iter().any(touches)
    }

    /// Returns whether a node, or what it is linked to, came back less than `within` before `at`.
    pub fn just_woke(&self, node: usize, at: Instant, within: Duration) -> bool {
        let disturbances = self.disturbances.lock().unwrap();
        disturbances.iter().any(|held| {
            let is_here = held.place == Place::Everywhere || held.place == Place::Node(node);
            is_here && held.from <= at && held.to.is_none_or(|end| at <= end + within)
        })
    }

    /// Returns what was done when, one line each.
    pub fn story(&self) -> Vec<String> {
        let seconds = |at: Instant| at.saturating_duration_since(self.started).as_secs_f64();
        let disturbances = self.disturbances.lock().unwrap();
        let line = |held: &Disturbance| {
            let until = held.to.map_or_else(|| "the end".to_owned(), |to| format!("{:.3} s", seconds(to)));
            format!("{:.3} s to {until}: {:?} {}", seconds(held.from), held.place, held.what)
        };
        disturbances.iter().map(line).collect()
    }
}
