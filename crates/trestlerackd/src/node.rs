//! The state that the tasks of a daemon share.

use crate::connection::http_client::HttpClient;
use crate::connection::links::LinkTable;
use crate::process::clock::SystemClock;
use crate::process::groups_in_progress::GroupsInProgress;
use crate::process::keys::KeyRing;
use crate::process::platform::{HttpMembershipSource, HttpObjectStore, HttpTableStore};
use crate::process::recorder::TraceRecorder;
use crate::process::rollout_loop::ModelLeases;
use crate::process::spool::GroupSpool;
use crate::process::step_loop::StepWatcher;
use crate::process::stop::StopState;
use crate::process::telemetry::Telemetry;
use crate::request::capacity_queue::CapacityQueues;
use crate::request::content_blocking::ContentBlocker;
use crate::request::dispatchers::DispatcherTable;
use crate::request::engine_client::HttpEngineClient;
use crate::request::loads::LoadTable;
use crate::request::plain_pool::PlainPool;
use crate::request::scoring_client::HttpScoringClient;
use crate::request::shards::UserLimits;
use crate::version::config_cell::ConfigCell;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;
use tokio::sync::Semaphore;
use trestlerack::interfaces::{Clock, EngineClient, MembershipSource, ObjectStore, ScoringClient, TableStore};
use trestlerack::process::{
    DaemonSettings, EngineOwners, MembershipSettings, OwnershipView, PeerInfo, PeerMembership, RetryBudget, StepStore,
};
use trestlerack::time::millis;
use trestlerack::version::ConfigStore;
use trestlerack::{Name, Timestamp};

/// Retries and hedged requests that each first attempt allows.
const RETRY_RATIO: f64 = 0.2;

/// Retries and hedged requests that an account may make without recent first attempts.
const RETRY_RESERVE: f64 = 20.0;

/// Shared state that lives as long as the process.
pub struct Node {
    /// Checked settings.
    pub settings: DaemonSettings,
    /// Incarnation of this process: wall clock time at its start, in milliseconds, so that a restarted
    /// process has a higher one.
    pub incarnation: u64,
    /// Clock that includes the time of VM suspensions.
    pub clock: Arc<dyn Clock>,
    /// Keys of callers, operators and peers.
    pub keys: KeyRing,
    /// Table service.
    pub table: Arc<dyn TableStore>,
    /// Object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's membership list.
    pub member_list: Arc<dyn MembershipSource>,
    /// Model engines.
    pub engines: Arc<dyn EngineClient>,
    /// Scoring services.
    pub scoring: Arc<dyn ScoringClient>,
    /// HTTP client for all other requests.
    pub http: HttpClient,
    /// Current configuration.
    pub config: ConfigCell,
    /// Peers and their liveness.
    pub membership: Mutex<PeerMembership>,
    /// Nodes that may own campaigns, groups, models or engines.
    pub ownership: RwLock<OwnershipView>,
    /// Owners of engines.
    pub engine_owners: RwLock<EngineOwners>,
    /// Dispatchers of the owned engines, in shards.
    pub dispatchers: DispatcherTable,
    /// Leases on models.
    pub leases: ModelLeases,
    /// Open steps of owned campaigns.
    pub steps: StepWatcher,
    /// Load that peers reported, by model.
    pub loads: LoadTable,
    /// Queues of samples that wait for an engine owner with free capacity.
    pub capacity_queues: CapacityQueues,
    /// Links to peers.
    pub links: LinkTable,
    /// Retry budgets of accounts.
    pub retry_budget: Mutex<RetryBudget>,
    /// Rate limits of users, in shards.
    pub rate_limits: UserLimits,
    /// Backend servers of plain and scoring services.
    pub plain: PlainPool,
    /// Request contents under which backend servers crashed.
    pub content_blocker: ContentBlocker,
    /// Groups that this node generates now.
    pub groups_in_progress: GroupsInProgress,
    /// Groups that wait for the store.
    pub spool: GroupSpool,
    /// Limits the samples generated at the same time.
    pub sample_slots: Arc<Semaphore>,
    /// Recorder of the events and actions of state machines.
    pub recorder: Arc<TraceRecorder>,
    /// Metrics and tracing spans.
    pub telemetry: Telemetry,
    /// Progress of a planned stop.
    pub stop: StopState,
    operations: AtomicU64,
}

impl Node {
    /// Builds a node from its settings, without serving requests yet. Fails if the key files cannot be read
    /// or telemetry cannot be started.
    pub fn open(settings: DaemonSettings) -> anyhow::Result<Self> {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let incarnation = SystemClock::unix_millis();
        let keys = KeyRing::load(&settings)?;
        let telemetry = Telemetry::start(&settings)?;
        let http = HttpClient::new();
        let own = PeerInfo {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            link: settings.link_listen.clone(),
            incarnation,
        };
        let member_settings = MembershipSettings {
            suspicion: Duration::from_millis(settings.suspicion_ms),
            ..MembershipSettings::default()
        };
        let recorder = Arc::new(TraceRecorder::new(&settings.trace_dir));
        let order_timeout = Duration::from_millis(settings.order_timeout_ms);
        Ok(Self {
            incarnation,
            table: Arc::new(HttpTableStore::new(http.clone(), settings.table.clone())),
            objects: Arc::new(HttpObjectStore::new(http.clone(), settings.objects.clone())),
            member_list: Arc::new(HttpMembershipSource::new(http.clone(), settings.membership.clone())),
            engines: Arc::new(HttpEngineClient::new(http.clone(), order_timeout, settings.policy_staged_swap)),
            scoring: Arc::new(HttpScoringClient::new(http.clone())),
            config: ConfigCell::default(),
            membership: Mutex::new(PeerMembership::new(member_settings, own, incarnation)),
            ownership: RwLock::default(),
            engine_owners: RwLock::default(),
            dispatchers: DispatcherTable::new(&settings, recorder.clone()),
            recorder,
            leases: ModelLeases::default(),
            steps: StepWatcher::default(),
            loads: LoadTable::default(),
            capacity_queues: CapacityQueues::default(),
            links: LinkTable::default(),
            retry_budget: Mutex::new(RetryBudget::new(RETRY_RATIO, RETRY_RESERVE)),
            rate_limits: UserLimits::default(),
            plain: PlainPool::default(),
            content_blocker: ContentBlocker::default(),
            groups_in_progress: GroupsInProgress::default(),
            spool: GroupSpool::new(settings.spool_bytes),
            sample_slots: Arc::new(Semaphore::new(settings.max_samples)),
            stop: StopState::default(),
            operations: AtomicU64::new(0),
            clock,
            keys,
            http,
            telemetry,
            settings,
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the name of this VM.
    pub fn name(&self) -> &Name {
        &self.settings.name
    }

    /// Returns an operation id that is unique among all nodes.
    pub fn operation_id(&self) -> Name {
        let number = self.operations.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{number}", self.settings.name, self.incarnation).into()
    }

    /// Returns access to the steps and groups in the platform's stores.
    pub fn step_store(&self) -> StepStore<'_> {
        StepStore::new(self.table.as_ref(), self.objects.as_ref())
    }

    /// Returns access to the configuration in the platform's stores.
    pub fn config_store(&self) -> ConfigStore<'_> {
        ConfigStore::new(self.table.as_ref(), self.objects.as_ref())
    }

    /// Updates the ownership of campaigns, groups, models and engines if the eligible nodes changed.
    pub fn refresh_ownership(&self) {
        let eligible = self.membership.lock().unwrap().eligible(self.now());
        let is_same = self.ownership.read().unwrap().nodes() == eligible.as_slice();
        if is_same {
            return;
        }
        let view = OwnershipView::new(eligible);
        *self.ownership.write().unwrap() = view.clone();
        self.engine_owners.write().unwrap().set_nodes(view);
        self.refresh_dispatchers();
        // Groups of a node that left are requested again at once.
        self.steps.wake();
    }

    /// Updates the dispatchers with the engines that this node owns.
    pub fn refresh_dispatchers(&self) {
        let config = self.config.current();
        let owners = self.engine_owners.read().unwrap();
        let owned: Vec<Name> = owners.owned_by(self.name()).cloned().collect();
        drop(owners);
        self.dispatchers.set_owned(self.now(), &config, &owned);
    }

    /// Returns the time left until `deadline`, in milliseconds.
    pub fn remaining_ms(&self, deadline: Timestamp) -> u64 {
        millis(deadline.since(self.now()))
    }
}
