//! The state that an entry node shares between its tasks.

use super::admission::AdmissionControl;
use super::callers::KeyRefresh;
use super::cold::{self, ColdControl};
use super::duties::UsageTracker;
use super::evacuations::EvacuationControl;
use super::follower_state::FollowerState;
use super::job_driver::JobDriver;
use super::lease_cache::LeaseCache;
use super::metrics::EntryMetrics;
use super::peers::{PeerClient, PeerContact};
use super::placement::WaitingJobs;
use super::pool::ConnectionPool;
use super::regions::RegionView;
use super::resource_limits::ResourceLimiter;
use super::shares::ShareControl;
use super::starting_jobs::StartingJobs;
use super::store::{DirectStore, RelayedStore};
use super::suspects::SuspectControl;
use super::weight_state::WeightState;
use crate::process::clock::SystemClock;
use crate::process::tracing::{HopSpan, HopTracer, TRACE_HEADER};
use http::HeaderMap;
use opentelemetry::trace::SpanKind;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;
use tokio::sync::{Notify, watch};
use trestlerack::interfaces::Clock;
use trestlerack::process::{
    BalancerSettings, ColdLimiter, EntrySettings, JobDrivers, JobEndFreshness, LatencyEstimates, LoadBalancer, NodeRow,
    RegistrySettings, ServerRegistry, StoreContact,
};
use trestlerack::request::JobRecord;
use trestlerack::version::{RoutingTable, WeightVersion, ZoneMap};
use trestlerack::{Name, Timestamp};

/// What this node knows of a job from the store.
#[derive(Clone, Debug)]
pub struct JobView {
    /// The stored record of the job.
    pub record: JobRecord,
    /// Version of the record's row in the store.
    pub version: u64,
    /// Whether the client ended the job.
    pub is_ended: bool,
    /// How many weight versions behind the newest one the job accepts, computed when it was first seen.
    pub accepted_lag: WeightVersion,
    /// When a change of the record was last seen.
    pub changed_at: Timestamp,
}

/// Settings that may change while the process runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LiveSettings {
    /// Time from a planned stop to the kill.
    pub stop_limit: Duration,
    /// Time for which a new holder of the order lease orders nothing from engines that its predecessor
    /// ordered.
    pub order_handover: Duration,
}

impl From<&EntrySettings> for LiveSettings {
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
    /// Settings that take effect as soon as the settings file is read again.
    pub live_settings: RwLock<LiveSettings>,
    /// Regions of the availability zones, and the traffic that leaves the own one.
    pub regions: RegionView,
    /// Tells this process from earlier ones on the same VM.
    pub incarnation: u64,
    /// Monotonic clock of this node.
    pub clock: SystemClock,
    /// Outgoing connections to servers, peers and the store.
    pub pool: Arc<ConnectionPool>,
    /// The store, called directly without fallback to peers.
    pub direct_store: Arc<DirectStore>,
    /// The store, directly or through peers.
    pub store: RelayedStore,
    /// Calls to the other nodes, and their registered rows.
    pub peers: Arc<PeerClient>,
    /// Current routing configuration; `None` before the first one is known.
    pub routing: RwLock<Option<Arc<RoutingTable>>>,
    /// Reads the configuration again when a caller presents an unknown key.
    pub key_refresh: KeyRefresh,
    /// Registered backend servers.
    pub registry: Mutex<ServerRegistry>,
    /// Chooses among backend servers by their health and load.
    pub balancer: Mutex<LoadBalancer>,
    /// Availability zones that the operator evacuates.
    pub evacuations: EvacuationControl,
    /// Sends requests to engines that are or may be cold only within the limit.
    pub cold: ColdControl,
    /// Response latencies by route.
    pub route_latencies: Mutex<LatencyEstimates>,
    /// Notified when there may be server observations to send to peers.
    pub new_observations: Notify,
    /// Admission control of calls to services, with the queue of waiting calls.
    pub admission: AdmissionControl,
    /// Request contents under which servers crashed.
    pub suspects: SuspectControl,
    /// Fair shares of customers in overloaded services.
    pub shares: ShareControl,
    /// Whether the list of backend servers has been read at least once.
    pub has_read_registry: AtomicBool,
    /// Whether the state table has been read at least once.
    pub has_read_state: AtomicBool,
    /// Whether the store has this node's row.
    pub is_registered: AtomicBool,
    /// Shortest time that the store took to answer this node, in milliseconds; 0 if it was not measured.
    pub store_latency_ms: AtomicU32,
    /// Notified when the store turns out to have no row of this node.
    pub row_missing: Notify,
    /// Weight versions that trainers published, and the assignments of engines.
    pub weights: WeightState,
    /// The lease on weight orders and background duties.
    pub lease: LeaseCache,
    /// Counts the customers' requests that started to run.
    pub usage: UsageTracker,
    /// Whether this node is a follower of the store, and the changes that it relays.
    pub follower: FollowerState,
    /// Version of this node's row when it was last written; `u64::MAX` before the first write.
    pub registered_version: AtomicU64,
    /// Age of the known ends of jobs.
    pub job_end_freshness: Mutex<JobEndFreshness>,
    /// When this node was last in contact with the store and with peers.
    pub store_contact: Arc<Mutex<StoreContact>>,
    /// Jobs by id.
    pub jobs: Mutex<HashMap<Name, JobView>>,
    /// Jobs whose end was seen before their record.
    pub early_ends: Mutex<HashSet<Name>>,
    /// Counter that increases with every change of a job, for tasks that wait for one.
    pub job_changes: watch::Sender<u64>,
    /// Jobs without a driver that no node takes over.
    pub waiting_jobs: Arc<WaitingJobs>,
    /// Jobs that this node drives.
    pub drivers: Mutex<HashMap<Name, Arc<JobDriver>>>,
    /// Jobs that this node is about to drive or to take over.
    pub starting_jobs: StartingJobs,
    /// Counters and histograms of this node.
    pub metrics: EntryMetrics,
    /// Tracer of request spans; `None` unless the settings name a collector.
    pub tracer: Option<HopTracer>,
    /// Whether a planned stop has begun.
    pub stopping: watch::Sender<bool>,
    /// Whether client connections are to be closed.
    pub closing: watch::Sender<bool>,
    /// Limits on memory and connections, and their current use.
    pub resource_limits: Arc<ResourceLimiter>,
    /// Number of open client connections.
    pub client_connections: AtomicUsize,
    writes: AtomicU64,
}

impl EntryNode {
    /// Creates the state of a node. Nothing is served before the listeners start.
    pub fn open(settings: EntrySettings) -> anyhow::Result<Self> {
        let clock = SystemClock::new();
        let now = clock.now();
        let cold_limiter = ColdLimiter::new(cold::limiter_settings(&settings), now);
        let resource_limits = Arc::new(ResourceLimiter::new(&settings));
        let pool = Arc::new(ConnectionPool::new(resource_limits.connections.clone(), settings.store.clone()));
        let regions = RegionView::new(ZoneMap::new(&settings.zones), &settings.zone);
        let (own_address, seeds) = (settings.peer_listen.clone(), settings.seeds.clone());
        let store_contact = Arc::default();
        let contact = PeerContact { clock, store_contact: Arc::clone(&store_contact) };
        let peers = Arc::new(PeerClient::new(pool.clone(), own_address, regions.own.clone(), seeds, contact));
        let mut balancer = LoadBalancer::new(BalancerSettings::default());
        balancer.set_own_region(regions.own.clone());
        let direct_store = Arc::new(DirectStore::new(pool.clone(), settings.store.clone()));
        Ok(Self {
            live_settings: RwLock::new(LiveSettings::from(&settings)),
            regions,
            incarnation: rand::random::<u64>() >> 1,
            clock,
            store: RelayedStore::new(direct_store.clone(), peers.clone()),
            direct_store,
            peers,
            pool,
            routing: RwLock::new(None),
            key_refresh: KeyRefresh::default(),
            registry: Mutex::new(ServerRegistry::new(RegistrySettings::default())),
            balancer: Mutex::new(balancer.with_cold_limiter(cold_limiter)),
            evacuations: EvacuationControl::default(),
            cold: ColdControl::new(),
            route_latencies: Mutex::default(),
            new_observations: Notify::new(),
            admission: AdmissionControl::new(),
            suspects: SuspectControl::new(&settings),
            shares: ShareControl::new(now, settings.name.clone()),
            has_read_registry: AtomicBool::new(false),
            has_read_state: AtomicBool::new(false),
            is_registered: AtomicBool::new(false),
            store_latency_ms: AtomicU32::new(0),
            row_missing: Notify::new(),
            weights: WeightState::default(),
            lease: LeaseCache::default(),
            usage: UsageTracker::new(settings.usage()),
            follower: FollowerState::new(clock.now()),
            registered_version: AtomicU64::new(u64::MAX),
            job_end_freshness: Mutex::default(),
            store_contact,
            jobs: Mutex::default(),
            early_ends: Mutex::default(),
            job_changes: watch::channel(0).0,
            waiting_jobs: Arc::default(),
            drivers: Mutex::default(),
            starting_jobs: StartingJobs::default(),
            metrics: EntryMetrics::start()?,
            tracer: start_tracer(&settings.otlp_endpoint)?,
            stopping: watch::channel(false).0,
            closing: watch::channel(false).0,
            resource_limits,
            client_connections: AtomicUsize::new(0),
            writes: AtomicU64::new(1),
            settings,
        })
    }

    /// Starts a span whose parent is the trace context in `headers`, and replaces that context by the new
    /// span for the next hop. Without a collector there is no span and the headers stay unchanged.
    pub fn hop(&self, name: &'static str, kind: SpanKind, headers: &mut HeaderMap) -> Option<HopSpan> {
        let parent = headers.get(TRACE_HEADER).and_then(|value| value.to_str().ok());
        let span = self.tracer.as_ref()?.start_span(name, kind, parent);
        if let Some(context) = span.traceparent.as_deref().and_then(|context| context.parse().ok()) {
            headers.insert(TRACE_HEADER, context);
        }
        Some(span)
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns a number that identifies one write among those of all nodes.
    pub fn write_id(&self) -> u64 {
        self.incarnation.wrapping_add(self.writes.fetch_add(1, Ordering::Relaxed))
    }

    /// Returns the current values of the settings that may change at run time.
    pub fn live_settings(&self) -> LiveSettings {
        *self.live_settings.read().unwrap()
    }

    /// Returns the current routing configuration; `None` before the first one is known.
    pub fn routing(&self) -> Option<Arc<RoutingTable>> {
        self.routing.read().unwrap().clone()
    }

    /// Returns whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// Returns whether this node is ready for traffic from clients.
    pub fn is_ready(&self) -> bool {
        let knows_servers = self.has_read_registry.load(Ordering::Relaxed) && self.suspects.has_read_reports();
        // A configuration is applied only after the list of evacuations that was read with it.
        !self.is_stopping() && self.routing().is_some() && self.evacuations.is_known() && knows_servers
    }

    /// Returns this node's registration row, by which peers find it.
    pub fn node_row(&self) -> NodeRow {
        let address = self.settings.peer_listen.clone();
        let (capacity, zone) = (self.settings.capacity(), self.settings.zone.clone());
        let store_latency_ms = self.store_latency_ms.load(Ordering::Relaxed);
        NodeRow { address, incarnation: self.incarnation, capacity, zone, store_latency_ms }
    }

    /// Stores a job record that was read or written, unless a newer version is known.
    pub fn merge_job_record(&self, record: JobRecord, version: u64, job: &Name) {
        let now = self.now();
        let mut jobs = self.jobs.lock().unwrap();
        match jobs.get_mut(job) {
            Some(view) if view.version >= version => return,
            Some(view) => {
                view.record = record;
                view.version = version;
                view.changed_at = now;
            }
            None => {
                let is_ended = self.early_ends.lock().unwrap().remove(job);
                let newest = record.model.as_ref().map_or(0, |model| self.weights.newest_version(model));
                let accepted_lag = newest.saturating_sub(record.min_version);
                jobs.insert(job.clone(), JobView { record, version, is_ended, accepted_lag, changed_at: now });
            }
        }
        let fence = jobs.get(job).map_or(0, |view| view.record.fence);
        drop(jobs);
        if let Some(driver) = self.drivers.lock().unwrap().get(job) {
            driver.record_fence(fence);
        }
        self.job_changes.send_modify(|changes| *changes += 1);
    }

    /// Returns how many weight versions behind the newest one the latest job of a model accepts.
    pub fn accepted_lag(&self, model: &Name) -> WeightVersion {
        let jobs = self.jobs.lock().unwrap();
        let of_model = jobs.values().filter(|view| view.record.model.as_ref() == Some(model));
        of_model.max_by_key(|view| view.record.accepted_ms).map_or(0, |view| view.accepted_lag)
    }

    /// Returns the record of the newest known job of a model.
    pub fn newest_job(&self, model: &Name) -> Option<JobRecord> {
        let jobs = self.jobs.lock().unwrap();
        let of_model = jobs.values().map(|view| &view.record).filter(|record| record.model.as_ref() == Some(model));
        of_model.max_by_key(|record| record.accepted_ms).cloned()
    }

    /// Returns the number of items in a model's open jobs, or in its largest known job if that has more,
    /// because the next job is likely to be as large.
    pub fn open_items(&self, model: &Name) -> usize {
        let jobs = self.jobs.lock().unwrap();
        let of_model = || jobs.values().filter(|view| view.record.model.as_ref() == Some(model));
        let open: usize = of_model().filter(|view| !view.is_ended).map(|view| view.record.total).sum();
        of_model().map(|view| view.record.total).max().unwrap_or(0).max(open)
    }

    /// Returns the drivers of the open jobs that this node knows.
    pub fn job_drivers(&self) -> JobDrivers {
        let mut drivers = JobDrivers::default();
        let jobs = self.jobs.lock().unwrap();
        let is_open = |view: &&JobView| !view.is_ended && !view.record.is_complete() && !view.record.owner.is_empty();
        for view in jobs.values().filter(is_open) {
            drivers.add(view.record.model.as_ref(), view.record.owner.clone());
        }
        drivers
    }

    /// Records that a client ended a job.
    pub fn record_job_end(&self, job: &Name) {
        match self.jobs.lock().unwrap().get_mut(job) {
            Some(view) => view.is_ended = true,
            None => {
                self.early_ends.lock().unwrap().insert(job.clone());
            }
        }
        if let Some(driver) = self.drivers.lock().unwrap().get(job) {
            driver.end();
        }
        self.job_changes.send_modify(|changes| *changes += 1);
    }

    /// Forgets a job whose rows were removed.
    pub fn forget_job(&self, job: &str) {
        self.jobs.lock().unwrap().remove(job);
        self.early_ends.lock().unwrap().remove(job);
    }

    /// Forgets jobs that are missing from a complete list of partitions as of the version `as_of`, because
    /// their removal was missed. Jobs with a newer version are kept.
    pub fn forget_missing_jobs(&self, partitions: &[Name], as_of: u64) {
        let listed: HashSet<&Name> = partitions.iter().collect();
        self.jobs.lock().unwrap().retain(|job, view| view.version > as_of || listed.contains(job));
    }

    /// Returns whether the known ends of jobs are recent enough to start work on a job.
    pub fn may_start_work(&self) -> bool {
        self.job_end_freshness.lock().unwrap().may_start(self.now())
    }

    /// Returns what this node knows of a job; `None` for an unknown job.
    pub fn job(&self, job: &str) -> Option<JobView> {
        self.jobs.lock().unwrap().get(job).cloned()
    }
}

/// Starts the tracer. Without a collector there are no spans, because they cost time and memory.
fn start_tracer(endpoint: &str) -> anyhow::Result<Option<HopTracer>> {
    if endpoint.is_empty() { Ok(None) } else { HopTracer::start(endpoint).map(Some) }
}
