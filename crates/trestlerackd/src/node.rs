//! The state that one daemon shares between its tasks.

use crate::connection::http_client::HttpClient;
use crate::connection::links::LinkTable;
use crate::process::clock::SystemClock;
use crate::process::groups_in_progress::GroupsInProgress;
use crate::process::keys::KeyRing;
use crate::process::platform::{HttpMembershipSource, HttpObjectStore, HttpTableStore};
use crate::process::recorder::TraceRecorder;
use crate::process::rollout_loop::HeldLeases;
use crate::process::spool::GroupSpool;
use crate::process::step_loop::StepWatch;
use crate::process::stop::StopState;
use crate::process::telemetry::Telemetry;
use crate::request::content_gate::ContentGate;
use crate::request::desks::DeskTable;
use crate::request::engine_client::HttpEngineClient;
use crate::request::loads::LoadTable;
use crate::request::plain_pool::PlainPool;
use crate::request::scoring_client::HttpScoringClient;
use crate::request::shards::UserLimits;
use crate::request::turnstile::Turnstiles;
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

/// Retries and hedges earned per first attempt.
const RETRY_RATIO: f64 = 0.2;

/// Retries and hedges that a quiet account may make.
const RETRY_RESERVE: f64 = 20.0;

/// Everything that lives as long as the process.
pub struct Node {
    /// Checked settings.
    pub settings: DaemonSettings,
    /// Incarnation of this process: wall clock milliseconds at its start, so a restart is newer.
    pub incarnation: u64,
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Keys of callers, operators and peers.
    pub keys: KeyRing,
    /// Table service.
    pub table: Arc<dyn TableStore>,
    /// Object store.
    pub objects: Arc<dyn ObjectStore>,
    /// The platform's list.
    pub list: Arc<dyn MembershipSource>,
    /// Model engines.
    pub engines: Arc<dyn EngineClient>,
    /// Scoring services.
    pub scoring: Arc<dyn ScoringClient>,
    /// HTTP client for everything else.
    pub http: HttpClient,
    /// Configuration in force.
    pub config: ConfigCell,
    /// Peers.
    pub membership: Mutex<PeerMembership>,
    /// Nodes that may own something.
    pub ownership: RwLock<OwnershipView>,
    /// Owners of engines.
    pub owners: RwLock<EngineOwners>,
    /// Dispatchers of the owned engines, in shards.
    pub desks: DeskTable,
    /// Leases on models.
    pub leases: HeldLeases,
    /// Open steps of owned campaigns.
    pub steps: StepWatch,
    /// Loads of peers.
    pub loads: LoadTable,
    /// Lines of samples that wait for an owner with room.
    pub turnstiles: Turnstiles,
    /// Links to peers.
    pub links: LinkTable,
    /// Retry budgets.
    pub budget: Mutex<RetryBudget>,
    /// Rate limits, in shards.
    pub limits: UserLimits,
    /// Plain services.
    pub plain: PlainPool,
    /// Contents under which backend servers ended.
    pub gate: ContentGate,
    /// Groups that this node is making.
    pub groups_in_progress: GroupsInProgress,
    /// Groups that wait for the store.
    pub spool: GroupSpool,
    /// Bounds the samples made at once.
    pub sample_slots: Arc<Semaphore>,
    /// Recorder of decisions.
    pub recorder: Arc<TraceRecorder>,
    /// Metrics and spans.
    pub telemetry: Telemetry,
    /// Planned stop.
    pub stop: StopState,
    operations: AtomicU64,
}

impl Node {
    /// Opens a node from its settings; nothing is served yet.
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
            list: Arc::new(HttpMembershipSource::new(http.clone(), settings.membership.clone())),
            engines: Arc::new(HttpEngineClient::new(http.clone(), order_timeout, settings.policy_staged_swap)),
            scoring: Arc::new(HttpScoringClient::new(http.clone())),
            config: ConfigCell::default(),
            membership: Mutex::new(PeerMembership::new(member_settings, own, incarnation)),
            ownership: RwLock::default(),
            owners: RwLock::default(),
            desks: DeskTable::new(&settings, recorder.clone()),
            recorder,
            leases: HeldLeases::default(),
            steps: StepWatch::default(),
            loads: LoadTable::default(),
            turnstiles: Turnstiles::default(),
            links: LinkTable::default(),
            budget: Mutex::new(RetryBudget::new(RETRY_RATIO, RETRY_RESERVE)),
            limits: UserLimits::default(),
            plain: PlainPool::default(),
            gate: ContentGate::default(),
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

    /// Returns the time now.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the name of this VM.
    pub fn name(&self) -> &Name {
        &self.settings.name
    }

    /// Returns an id that no other operation of any node has.
    pub fn operation_id(&self) -> Name {
        let number = self.operations.fetch_add(1, Ordering::Relaxed);
        format!("{}-{}-{number}", self.settings.name, self.incarnation).into()
    }

    /// Returns the steps and groups in the platform's stores.
    pub fn step_store(&self) -> StepStore<'_> {
        StepStore::new(self.table.as_ref(), self.objects.as_ref())
    }

    /// Returns the configuration in the platform's stores.
    pub fn config_store(&self) -> ConfigStore<'_> {
        ConfigStore::new(self.table.as_ref(), self.objects.as_ref())
    }

    /// Takes over the nodes that may own something, if they have changed.
    pub fn refresh_ownership(&self) {
        let eligible = self.membership.lock().unwrap().eligible(self.now());
        let is_same = self.ownership.read().unwrap().nodes() == eligible.as_slice();
        if is_same {
            return;
        }
        let view = OwnershipView::new(eligible);
        *self.ownership.write().unwrap() = view.clone();
        self.owners.write().unwrap().set_nodes(view);
        self.refresh_desks();
        // Groups of a node that went away are asked for again at once.
        self.steps.nudge();
    }

    /// Hands the owned engines to the dispatchers.
    pub fn refresh_desks(&self) {
        let config = self.config.current();
        let owners = self.owners.read().unwrap();
        let owned: Vec<Name> = owners.owned_by(self.name()).cloned().collect();
        drop(owners);
        self.desks.set_owned(self.now(), &config, &owned);
    }

    /// Returns the time left until `deadline`, in milliseconds.
    pub fn left_ms(&self, deadline: Timestamp) -> u64 {
        millis(deadline.since(self.now()))
    }
}
