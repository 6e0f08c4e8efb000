//! The state that an entry node shares between its tasks.

use super::admission::RoomDesk;
use super::callers::KeyRefresh;
use super::duties::UsageTracker;
use super::follower_state::FollowerState;
use super::job_driver::JobDriver;
use super::lease_book::LeaseBook;
use super::metrics::EntryMetrics;
use super::peers::PeerClient;
use super::pool::ConnectionPool;
use super::resource_limits::HeldDesk;
use super::shares::ShareControl;
use super::store::{DirectStore, RelayedStore};
use super::suspects::SuspectControl;
use super::weight_book::WeightBook;
use crate::process::clock::SystemClock;
use crate::process::tracing::{HopSpan, HopTracer, TRACE_HEADER};
use http::HeaderMap;
use opentelemetry::trace::SpanKind;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use trestlerack::interfaces::Clock;
use trestlerack::process::{
    BalancerSettings, EntrySettings, JobEndFreshness, LatencyEstimates, LoadBalancer, NodeRow, RegistrySettings,
    ServerRegistry,
};
use trestlerack::request::JobRecord;
use trestlerack::version::{RoutingTable, WeightVersion};
use trestlerack::{Name, Timestamp};

/// What this node knows of a job from the store.
#[derive(Clone, Debug)]
pub struct JobView {
    /// The head row.
    pub head: JobRecord,
    /// Version of the head row.
    pub version: u64,
    /// Whether the client ended the job.
    pub is_ended: bool,
    /// How many versions behind the newest one, as of when the job was first seen, it accepts.
    pub lag: WeightVersion,
    /// When the head row was last seen to change.
    pub changed_at: Timestamp,
}

/// Settings that may change while the process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EntryBounds {
    /// Time from a planned stop to the kill.
    pub stop_limit: Duration,
    /// Time that a new holder of the order lease waits for the last order of the one before.
    pub order_handover: Duration,
}

impl From<&EntrySettings> for EntryBounds {
    fn from(settings: &EntrySettings) -> Self {
        Self {
            stop_limit: Duration::from_secs_f64(settings.stop_limit_s),
            order_handover: Duration::from_millis(settings.order_handover_ms),
        }
    }
}

/// Everything that lives as long as the process.
pub struct EntryNode {
    /// Settings at the start; names and addresses stay as they were then.
    pub settings: EntrySettings,
    /// Bounds that take effect as soon as the settings file is read again.
    pub bounds: RwLock<EntryBounds>,
    /// Tells this process from earlier ones on the same VM.
    pub incarnation: u64,
    /// Clock.
    pub clock: SystemClock,
    /// Connections.
    pub pool: Arc<ConnectionPool>,
    /// The store, called directly only.
    pub direct_store: Arc<DirectStore>,
    /// The store, directly or through peers.
    pub store: RelayedStore,
    /// Peers.
    pub peers: Arc<PeerClient>,
    /// Configuration in force; `None` before the first one is known.
    pub routing: RwLock<Option<Arc<RoutingTable>>>,
    /// Reads the configuration again for keys that it does not hold.
    pub key_refresh: KeyRefresh,
    /// Registered backend servers.
    pub registry: Mutex<ServerRegistry>,
    /// What is believed of them.
    pub balancer: Mutex<LoadBalancer>,
    /// How long answers take, by route.
    pub route_times: Mutex<LatencyEstimates>,
    /// Tells that peers may be to be told of servers.
    pub has_server_notes: Notify,
    /// Calls that wait for a place of a service.
    pub room: RoomDesk,
    /// Requests under which servers ended.
    pub suspects: SuspectControl,
    /// Shares of customers in services that are short.
    pub shares: ShareControl,
    /// Whether service discovery was read once.
    pub has_registry: AtomicBool,
    /// Whether the system's own rows were read once.
    pub has_state: AtomicBool,
    /// Whether the store has this node's row.
    pub is_registered: AtomicBool,
    /// Tells that the store had no row of this node when it was read last.
    pub unlisted: Notify,
    /// Versions that trainers named, and what engines were ordered.
    pub weights: WeightBook,
    /// The lease on weight orders and duties.
    pub lease: LeaseBook,
    /// Customers' requests that started to run.
    pub usage: UsageTracker,
    /// Whether this node follows the store, and the changes that it relays.
    pub follower: FollowerState,
    /// Version of this node's row when it was written last; the largest number before.
    pub registered_at: AtomicU64,
    /// How old what is known of ended jobs is.
    pub end_news: Mutex<JobEndFreshness>,
    /// Jobs by id.
    pub jobs: Mutex<HashMap<Name, JobView>>,
    /// Jobs whose end was seen before their head.
    pub early_ends: Mutex<HashSet<Name>>,
    /// Changes with every change of a job.
    pub job_news: watch::Sender<u64>,
    /// Jobs that this node drives.
    pub drivers: Mutex<HashMap<Name, Arc<JobDriver>>>,
    /// Counters and histograms.
    pub metrics: EntryMetrics,
    /// Spans, where the settings name a collector.
    pub tracer: Option<HopTracer>,
    /// Whether a planned stop has begun.
    pub stopping: watch::Sender<bool>,
    /// Whether connections of clients are to end.
    pub closing: watch::Sender<bool>,
    /// What is held for callers, and the bounds of it.
    pub held: Arc<HeldDesk>,
    /// Open connections of clients.
    pub client_connections: AtomicUsize,
    writes: AtomicU64,
}

impl EntryNode {
    /// Opens a node; nothing is served yet.
    pub fn open(settings: EntrySettings) -> anyhow::Result<Self> {
        let clock = SystemClock::new();
        let now = clock.now();
        let held = Arc::new(HeldDesk::new(&settings));
        let pool = Arc::new(ConnectionPool::new(held.descriptors.clone(), settings.store.clone()));
        let peers = Arc::new(PeerClient::new(pool.clone(), settings.peer_listen.clone(), settings.seeds.clone()));
        let direct_store = Arc::new(DirectStore::new(pool.clone(), settings.store.clone()));
        Ok(Self {
            bounds: RwLock::new(EntryBounds::from(&settings)),
            incarnation: rand::random::<u64>() >> 1,
            clock,
            store: RelayedStore::new(direct_store.clone(), peers.clone()),
            direct_store,
            peers,
            pool,
            routing: RwLock::new(None),
            key_refresh: KeyRefresh::default(),
            registry: Mutex::new(ServerRegistry::new(RegistrySettings::default())),
            balancer: Mutex::new(LoadBalancer::new(BalancerSettings::default())),
            route_times: Mutex::default(),
            has_server_notes: Notify::new(),
            room: RoomDesk::new(),
            suspects: SuspectControl::new(&settings),
            shares: ShareControl::new(now, settings.name.clone()),
            has_registry: AtomicBool::new(false),
            has_state: AtomicBool::new(false),
            is_registered: AtomicBool::new(false),
            unlisted: Notify::new(),
            weights: WeightBook::default(),
            lease: LeaseBook::default(),
            usage: UsageTracker::new(settings.usage()),
            follower: FollowerState::new(clock.now()),
            registered_at: AtomicU64::new(u64::MAX),
            end_news: Mutex::default(),
            jobs: Mutex::default(),
            early_ends: Mutex::default(),
            job_news: watch::channel(0).0,
            drivers: Mutex::default(),
            metrics: EntryMetrics::start()?,
            tracer: start_tracer(&settings.otlp_endpoint)?,
            stopping: watch::channel(false).0,
            closing: watch::channel(false).0,
            held,
            client_connections: AtomicUsize::new(0),
            writes: AtomicU64::new(1),
            settings,
        })
    }

    /// Starts the span of a hop below the one that `headers` name, and names it there for the next
    /// hop. Without a collector there is no span and the headers stay as they are.
    pub fn hop(&self, name: &'static str, kind: SpanKind, headers: &mut HeaderMap) -> Option<HopSpan> {
        let parent = headers.get(TRACE_HEADER).and_then(|value| value.to_str().ok());
        let span = self.tracer.as_ref()?.start_span(name, kind, parent);
        if let Some(context) = span.traceparent.as_deref().and_then(|context| context.parse().ok()) {
            headers.insert(TRACE_HEADER, context);
        }
        Some(span)
    }

    /// Returns the time now.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns a number that no other write of any node has.
    pub fn write_id(&self) -> u64 {
        self.incarnation.wrapping_add(self.writes.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> EntryBounds {
        *self.bounds.read().unwrap()
    }

    /// Returns the configuration in force.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.routing.read().unwrap().clone()
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether clients may be sent here.
    pub fn is_ready(&self) -> bool {
        let knows_servers = self.has_registry.load(Ordering::Relaxed) && self.suspects.has_read_reports();
        !self.is_stopping() && self.routing().is_some() && knows_servers
    }

    /// Returns the row by which peers find this node.
    pub fn node_row(&self) -> NodeRow {
        let address = self.settings.peer_listen.clone();
        let (capacity, zone) = (self.settings.capacity(), self.settings.zone.clone());
        NodeRow { address, incarnation: self.incarnation, capacity, zone }
    }

    /// Takes over a head row that was read or written, unless a newer one is known.
    pub fn learn_head(&self, head: JobRecord, version: u64, job: &Name) {
        let now = self.now();
        let mut jobs = self.jobs.lock().unwrap();
        match jobs.get_mut(job) {
            Some(view) if view.version >= version => return,
            Some(view) => {
                view.head = head;
                view.version = version;
                view.changed_at = now;
            }
            None => {
                let is_ended = self.early_ends.lock().unwrap().remove(job);
                let newest = head.model.as_ref().map_or(0, |model| self.weights.newest_version(model));
                let lag = newest.saturating_sub(head.min_version);
                jobs.insert(job.clone(), JobView { head, version, is_ended, lag, changed_at: now });
            }
        }
        drop(jobs);
        self.job_news.send_modify(|count| *count += 1);
    }

    /// Returns how many versions behind the newest one the newest job of a model accepts.
    pub fn accepted_lag(&self, model: &Name) -> WeightVersion {
        let jobs = self.jobs.lock().unwrap();
        let of_model = jobs.values().filter(|view| view.head.model.as_ref() == Some(model));
        of_model.max_by_key(|view| view.head.accepted_ms).map_or(0, |view| view.lag)
    }

    /// Returns the items of a model's open jobs, or of its largest job where that has more: the next one is
    /// likely to be as large.
    pub fn open_items(&self, model: &Name) -> usize {
        let jobs = self.jobs.lock().unwrap();
        let of_model = || jobs.values().filter(|view| view.head.model.as_ref() == Some(model));
        let open: usize = of_model().filter(|view| !view.is_ended).map(|view| view.head.total).sum();
        of_model().map(|view| view.head.total).max().unwrap_or(0).max(open)
    }

    /// Records that a client ended a job.
    pub fn learn_end(&self, job: &Name) {
        match self.jobs.lock().unwrap().get_mut(job) {
            Some(view) => view.is_ended = true,
            None => {
                self.early_ends.lock().unwrap().insert(job.clone());
            }
        }
        if let Some(driver) = self.drivers.lock().unwrap().get(job) {
            driver.end();
        }
        self.job_news.send_modify(|count| *count += 1);
    }

    /// Forgets a job whose rows were removed.
    pub fn forget_job(&self, job: &str) {
        self.jobs.lock().unwrap().remove(job);
        self.early_ends.lock().unwrap().remove(job);
    }

    /// Forgets the jobs that were not among all partitions listed at the version `as_of`, unless
    /// they are newer than that: their removal was then missed.
    pub fn forget_missing_jobs(&self, partitions: &[Name], as_of: u64) {
        let listed: HashSet<&Name> = partitions.iter().collect();
        self.jobs.lock().unwrap().retain(|job, view| view.version > as_of || listed.contains(job));
    }

    /// Returns whether what is known of ended jobs is recent enough to start work on one.
    pub fn may_start_work(&self) -> bool {
        self.end_news.lock().unwrap().may_start(self.now())
    }

    /// Returns what is known of a job.
    pub fn job(&self, job: &str) -> Option<JobView> {
        self.jobs.lock().unwrap().get(job).cloned()
    }
}

/// Without a collector there are no spans at all, because they cost time and memory.
fn start_tracer(endpoint: &str) -> anyhow::Result<Option<HopTracer>> {
    if endpoint.is_empty() { Ok(None) } else { HopTracer::start(endpoint).map(Some) }
}
