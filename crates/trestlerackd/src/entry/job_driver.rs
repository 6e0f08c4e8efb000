//! Drives one job on the node that owns it: starts item runs, has complete texts scored and records results.

use super::drive_mode::DriveMode;
use super::drive_permit::{DrivePermit, DriveQuestion};
use super::job_config::ConfigurationSource;
use super::job_texts::StoredTexts;
use super::node::EntryNode;
use super::{
    callers, job_config, job_records, job_runs, job_scores, job_takeover, job_texts, run_moves, score_calls,
    server_discovery, table_watch,
};
use crate::process::clock;
use crate::process::logs;
use async_trait::async_trait;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{DriveDecision, MemoryPurpose, MemoryReservation, ServerNeed, TokenNeed};
use trestlerack::request::{
    JobItem, JobRecord, JobSpec, JobTracker, RequestContent, RequestFingerprint, RunEnd, RunKind, TrackerSettings,
};
use trestlerack::version::{JobRoute, RoutingTable};
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform as platform;

/// Longest time between two checks of a job that nothing wakes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a job's progress is logged.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// A run in progress.
pub struct ItemRun {
    /// Aborts the run, which closes its connection to the engine.
    pub handle: AbortHandle,
    /// Start time of the run.
    pub started: Timestamp,
}

/// The record of a job that names this node as its owner.
#[derive(Clone, Debug)]
pub struct JobAssignment {
    /// The record.
    pub record: JobRecord,
    /// Version of its row in the store.
    pub version: u64,
    /// Time at which the call was sent whose answer showed the record.
    pub named_at: Timestamp,
}

/// The driver of one job.
pub struct JobDriver {
    /// What was submitted.
    pub spec: Arc<JobSpec>,
    /// Models that its items request.
    pub models: BTreeSet<Name>,
    /// Customer that the job belongs to.
    pub customer: Option<Name>,
    /// Time at which the job was accepted, on the store's clock.
    pub accepted_ms: u64,
    /// Version of the configuration by which the job was accepted.
    config_version: u64,
    /// Version of the configuration from which the settings of the tracker were taken.
    applied_config: AtomicU64,
    /// Fingerprint of the request of each item, by its position.
    pub fingerprints: Vec<RequestFingerprint>,
    /// Fingerprint of the score call of each item, by its position.
    pub score_fingerprints: Vec<Option<RequestFingerprint>>,
    /// Tokens that each item needs in the KV cache of its engine, by its position.
    pub tokens: Vec<Option<TokenNeed>>,
    /// Items already logged as too large for any engine.
    pub logged_oversize: Mutex<HashSet<usize>>,
    /// Items already logged as blocked, because their content crashed servers.
    pub logged_blocked: Mutex<HashSet<usize>>,
    /// State of the job's items.
    pub tracker: Mutex<JobTracker>,
    /// Wakes the driver for a check before the next interval.
    pub wake: Notify,
    /// Wakes the task that records results.
    pub wake_recorder: Notify,
    /// Runs in progress.
    pub runs: Mutex<HashMap<(usize, RunKind), ItemRun>>,
    /// Score calls in progress, by the position of their item. Aborting one closes its connection to the server.
    pub scoring: Mutex<HashMap<usize, AbortHandle>>,
    /// Bytes of the specification.
    spec_bytes: usize,
    /// Reservation for the bytes of the specification and the texts.
    memory: Mutex<MemoryReservation>,
    mode: AtomicU8,
    /// Fencing number with which the job is driven.
    fence: u64,
    /// Whether work may be started, as far as this node knows who drives the job.
    permit: DrivePermit,
    /// Whether `tracker` reflects the stored state of the job, which is read after the driver is created.
    is_tracker_loaded: AtomicBool,
}

impl JobDriver {
    fn new(
        spec: Arc<JobSpec>,
        record: &JobRecord,
        tracker: JobTracker,
        memory: MemoryReservation,
        permit: DrivePermit,
    ) -> Self {
        let customer = record.customer.clone();
        let fingerprint = |item: &JobItem| {
            let customer = customer.as_deref();
            RequestContent { customer, host: &spec.host, path: &item.path, body: &item.body }.fingerprint()
        };
        let fingerprints = spec.items.iter().map(fingerprint).collect();
        let score_fingerprint = |item: &JobItem| item.scorer.as_ref().map(score_calls::fingerprint);
        let score_fingerprints = spec.items.iter().map(score_fingerprint).collect();
        let tokens = spec.items.iter().map(platform::item_tokens).collect();
        let models = spec.items.iter().filter_map(|item| spec.model_of(item)).collect();
        Self {
            models,
            spec,
            customer,
            accepted_ms: record.accepted_ms,
            config_version: record.config_version,
            applied_config: AtomicU64::new(0),
            fingerprints,
            score_fingerprints,
            tokens,
            logged_oversize: Mutex::default(),
            logged_blocked: Mutex::default(),
            tracker: Mutex::new(tracker),
            wake: Notify::new(),
            wake_recorder: Notify::new(),
            mode: AtomicU8::new(DriveMode::Drive as u8),
            fence: record.fence,
            permit,
            is_tracker_loaded: AtomicBool::new(false),
            runs: Mutex::default(),
            scoring: Mutex::default(),
            spec_bytes: memory.bytes(),
            memory: Mutex::new(memory),
        }
    }

    fn mode(&self) -> DriveMode {
        match self.mode.load(Ordering::Relaxed) {
            mode if mode == DriveMode::Drive as u8 => DriveMode::Drive,
            mode if mode == DriveMode::End as u8 => DriveMode::End,
            mode if mode == DriveMode::HandOver as u8 => DriveMode::HandOver,
            _ => DriveMode::Lost,
        }
    }

    /// Sets the memory reservation to the current bytes of the specification and the texts.
    fn update_memory(&self) {
        let texts = self.tracker.lock().unwrap().text_bytes();
        self.memory.lock().unwrap().resize(self.spec_bytes + texts);
    }

    /// Returns whether the driver starts work for the job.
    pub fn is_driving(&self) -> bool {
        self.mode() == DriveMode::Drive
    }

    /// Returns whether the driver is active and its tracker has been loaded from the store.
    pub fn can_start_items(&self) -> bool {
        self.is_driving() && self.is_tracker_loaded.load(Ordering::Relaxed)
    }

    /// Returns whether another node drives the job.
    pub fn is_lost(&self) -> bool {
        self.mode() == DriveMode::Lost
    }

    /// Returns whether the job is handed over to another node.
    pub fn is_handed_over(&self) -> bool {
        self.mode() == DriveMode::HandOver
    }

    /// Returns whether the driver may start work or send it to a server now.
    pub fn may_start(&self, node: &EntryNode) -> bool {
        let has_peers = || node.peers.has_registered();
        self.is_driving() && node.may_start_work() && self.permit.check(has_peers) == DriveDecision::Start
    }

    /// Records the fencing number of the job's newest known record. A higher one shows that another node has taken the
    /// job over.
    pub fn record_fence(&self, fence: u64) {
        if fence > self.fence {
            self.mark_lost();
        }
    }

    /// Records that the store has applied a write which it applies only while this node drives the job.
    pub fn record_write(&self, sent_at: Timestamp) {
        self.permit.confirm(sent_at);
    }

    /// Stops because another node drives the job.
    pub fn mark_lost(&self) {
        self.stop_driving(DriveMode::Lost);
    }

    fn stop_driving(&self, mode: DriveMode) {
        // The first reason to stop is kept. Only `Lost` replaces it, since a lost job needs no more writes.
        let current = self.mode();
        if current == DriveMode::Drive || mode == DriveMode::Lost {
            self.mode.store(mode as u8, Ordering::Relaxed);
        }
        self.wake.notify_one();
        self.wake_recorder.notify_one();
    }

    /// Stops because the client ended the job.
    pub fn end(&self) {
        self.stop_driving(DriveMode::End);
    }

    /// Stops because this node stops.
    pub fn hand_over(&self) {
        self.stop_driving(DriveMode::HandOver);
    }

    /// Removes an item's primary run so that it can be moved, if it has run for at least
    /// [`run_moves::MIN_MOVE_AGE`]. Returns its abort handle.
    pub fn take_movable_run(&self, now: Timestamp, index: usize) -> Option<AbortHandle> {
        let mut runs = self.runs.lock().unwrap();
        let key = (index, RunKind::Primary);
        let is_movable = runs.get(&key).is_some_and(|run| now.since(run.started) >= run_moves::MIN_MOVE_AGE);
        if is_movable { runs.remove(&key).map(|run| run.handle) } else { None }
    }

    /// Cancels up to `max_runs` speculative runs. Returns how many it cancelled.
    pub fn cancel_speculative(&self, max_runs: usize) -> usize {
        let mut runs = self.runs.lock().unwrap();
        let speculative = runs.keys().filter(|(_, kind)| *kind == RunKind::Speculative).take(max_runs);
        let speculative: Vec<(usize, RunKind)> = speculative.copied().collect();
        let cancelled: Vec<ItemRun> = speculative.iter().filter_map(|key| runs.remove(key)).collect();
        drop(runs);
        cancelled.iter().for_each(|run| run.handle.abort());
        let mut tracker = self.tracker.lock().unwrap();
        speculative.iter().for_each(|(index, _)| {
            tracker.end_speculative(*index, RunEnd::Broken);
        });
        cancelled.len()
    }

    /// Takes the settings of the tracker from a configuration that is newer than the last one.
    fn apply_configuration(&self, routing: &RoutingTable) {
        if self.applied_config.fetch_max(routing.version, Ordering::Relaxed) >= routing.version {
            return;
        }
        let settings = job_config::tracker_settings(routing, &self.spec);
        let mixed = self.tracker.lock().unwrap().update_settings(settings);
        for index in mixed {
            self.cancel_item(index);
            self.tracker.lock().unwrap().restart(index);
        }
    }

    /// Cancels the runs and the score call of an item.
    fn cancel_item(&self, index: usize) {
        let kinds = [RunKind::Primary, RunKind::Speculative];
        let runs: Vec<ItemRun> = {
            let mut runs = self.runs.lock().unwrap();
            kinds.iter().filter_map(|kind| runs.remove(&(index, *kind))).collect()
        };
        runs.iter().for_each(|run| run.handle.abort());
        if let Some(score) = self.scoring.lock().unwrap().remove(&index) {
            score.abort();
        }
    }

    /// Gives up all items that have no result yet.
    fn give_up(&self, now: Timestamp) {
        self.cancel_runs(now);
        self.cancel_scores();
        self.tracker.lock().unwrap().give_up_all();
        self.wake_recorder.notify_one();
    }

    /// Cancels all score calls.
    fn cancel_scores(&self) {
        self.scoring.lock().unwrap().drain().for_each(|(_, score)| score.abort());
    }

    fn cancel_runs(&self, now: Timestamp) {
        let runs: Vec<((usize, RunKind), ItemRun)> = self.runs.lock().unwrap().drain().collect();
        let mut tracker = self.tracker.lock().unwrap();
        for ((index, kind), run) in runs {
            run.handle.abort();
            match kind {
                RunKind::Primary => tracker.end_run(now, index, RunEnd::Broken),
                RunKind::Speculative => tracker.end_speculative(index, RunEnd::Broken),
            };
        }
    }
}

/// The configuration of this node.
struct NodeConfiguration<'a>(&'a Arc<EntryNode>);

#[async_trait]
impl ConfigurationSource for NodeConfiguration<'_> {
    fn current(&self) -> Option<Arc<RoutingTable>> {
        self.0.routing()
    }

    async fn read(&self) -> Result<(), StoreError> {
        table_watch::read_configuration(self.0).await
    }

    async fn refresh(&self) {
        callers::refresh(self.0).await;
    }
}

/// Starts a driver for a job that this node owns, unless it has one. `texts` are the stored texts if they were
/// read together with the specification. Returns whether this node drives the job.
pub fn start(node: &Arc<EntryNode>, spec: Arc<JobSpec>, assignment: JobAssignment, texts: Option<StoredTexts>) -> bool {
    let JobAssignment { record, version, named_at } = assignment;
    let known = node.job(&spec.id);
    if known.as_ref().is_some_and(|view| view.record.fence > record.fence) {
        return false;
    }
    if node.drivers.lock().unwrap().contains_key(&spec.id) {
        return true;
    }
    let node = node.clone();
    let tracker = JobTracker::new(spec.clone(), TrackerSettings::default(), Vec::new(), HashMap::new());
    // An accepted job is kept even over the memory limit. Reserving its bytes makes the node shed other load.
    let mut memory = node.resource_limits.memory.reserve(MemoryPurpose::Texts, spec.bytes());
    if let Some(customer) = &record.customer {
        memory.set_customer(customer);
    }
    let permit = DrivePermit::new(node.clock, node.store_contact.clone(), named_at);
    let driver = Arc::new(JobDriver::new(spec.clone(), &record, tracker, memory, permit));
    node.drivers.lock().unwrap().insert(spec.id.clone(), driver.clone());
    server_discovery::add_driven_engines(&node);
    // The job may have ended or been taken over after its rows were read and before the driver was registered.
    if let Some(view) = node.job(&spec.id) {
        driver.record_fence(view.record.fence);
        if view.is_ended {
            driver.end();
        }
    }
    tokio::spawn(async move {
        let is_stopping = || !driver.is_driving();
        let source = NodeConfiguration(&node);
        let routing = job_config::wait_for_configuration(&source, &spec.id, &record, is_stopping).await;
        let settings = routing.map(|routing| job_config::tracker_settings(&routing, &spec));
        let loaded = job_texts::load_state(&node, &spec, &record, settings.unwrap_or_default(), texts).await;
        match loaded {
            Ok(tracker) => {
                *driver.tracker.lock().unwrap() = tracker;
                driver.is_tracker_loaded.store(true, Ordering::Relaxed);
                drive(&node, &driver, record, version).await;
            }
            Err(error) => logs::write(event::JOB_LEFT, &[("job", &spec.id), ("why", &error)]),
        }
        node.drivers.lock().unwrap().remove(&spec.id);
    });
    true
}

/// Reads the record of a job to find out whether this node still drives it.
async fn confirm_ownership(node: Arc<EntryNode>, driver: Arc<JobDriver>) {
    let sent_at = node.now();
    let job = &driver.spec.id;
    match job_takeover::read_record(&node, job).await {
        Ok((record, version, is_ended)) => {
            let is_own = record.fence == driver.fence;
            node.merge_job_record(record, version, job);
            if is_ended {
                node.record_job_end(job);
            }
            if is_own {
                driver.permit.confirm(sent_at);
            }
        }
        Err(error) => {
            node.store_contact.lock().unwrap().record_failure(sent_at);
            logs::write(event::DRIVER_UNCONFIRMED, &[("job", job), ("why", &error)]);
        }
    }
    driver.permit.end(DriveQuestion::Ownership);
    driver.wake.notify_one();
}

/// Asks a peer, so that this node can tell an outage of the store from a cut of its own links.
async fn renew_contact(node: Arc<EntryNode>, driver: Arc<JobDriver>) {
    job_takeover::contact_peer(&node.peers, &driver.spec.id).await;
    driver.permit.end(DriveQuestion::Contact);
}

/// Checks whether this node still drives a job, and finds it out if that is not certain. Work in progress is cancelled
/// if another node is likely to do it again.
fn check_ownership(node: &Arc<EntryNode>, driver: &Arc<JobDriver>) {
    let decision = driver.permit.check(|| node.peers.has_registered());
    if decision == DriveDecision::Cancel {
        driver.cancel_runs(node.now());
        driver.cancel_scores();
    }
    if decision != DriveDecision::Start && driver.permit.begin(DriveQuestion::Ownership) {
        tokio::spawn(confirm_ownership(node.clone(), driver.clone()));
    }
    if driver.permit.needs_contact() && driver.permit.begin(DriveQuestion::Contact) {
        tokio::spawn(renew_contact(node.clone(), driver.clone()));
    }
}

async fn drive(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, record: JobRecord, version: u64) {
    let job = driver.spec.id.clone();
    logs::write(event::JOB_DRIVEN, &[("job", &job), ("fence", &record.fence), ("listed", &record.recorded)]);
    let text_logger = tokio::spawn(job_texts::log_texts(node.clone(), driver.clone(), record.fence));
    let recorder = tokio::spawn(job_records::record_results(node.clone(), driver.clone(), record, version));
    let mut logged_at = node.now();
    while driver.mode() == DriveMode::Drive && !driver.tracker.lock().unwrap().is_complete() {
        if node.now().since(logged_at) >= PROGRESS_INTERVAL {
            logged_at = node.now();
            log_progress(node, driver);
        }
        if node.resource_limits.is_bounded() {
            driver.update_memory();
        }
        check_ownership(node, driver);
        if let Some(routing) = node.routing() {
            driver.apply_configuration(&routing);
            advance_job(node, driver, &routing);
        }
        // A wake-up and the end of the interval both lead to the next check, so the outcome is ignored.
        let _ = clock::timeout(POLL_INTERVAL, driver.wake.notified()).await;
    }
    text_logger.abort();
    driver.cancel_runs(node.now());
    driver.cancel_scores();
    driver.wake_recorder.notify_one();
    let recorded = recorder.await.ok().flatten();
    if let (Some((record, version)), DriveMode::End | DriveMode::HandOver) = (recorded, driver.mode()) {
        job_texts::release_job(node, driver, record, version).await;
    }
    let why = driver.mode().as_str();
    logs::write(event::JOB_LEFT, &[("job", &job), ("why", &why)]);
}

fn log_progress(node: &Arc<EntryNode>, driver: &Arc<JobDriver>) {
    let spec = &driver.spec;
    let progress = driver.tracker.lock().unwrap().progress();
    let routing = node.routing();
    let route = routing.as_ref().and_then(|routing| routing.select(&spec.host, &spec.path));
    let service = route.and_then(|route| route.service_for(&spec.id));
    let engines = service.map_or(0, |service| {
        let weights = spec.model.as_deref().map(|model| (model, spec.min_version));
        let placement = job_runs::job_placement(node, driver);
        let allowed_zones = placement.allowed_zones();
        let zone = &node.settings.zone;
        let need = ServerNeed { service, weights, zone, allowed_zones, ..ServerNeed::default() };
        node.balancer.lock().unwrap().count_eligible(node.now(), &need)
    });
    let fields: [(&str, &dyn std::fmt::Display); 7] = [
        ("job", &spec.id),
        ("waiting", &progress.waiting),
        ("running", &progress.running),
        ("scoring", &progress.scoring),
        ("settled", &progress.finished),
        ("listed", &progress.recorded),
        ("engines", &engines),
    ];
    logs::write(event::JOB_PROGRESS, &fields);
}

/// Performs one check of the job: gives up an overdue job, moves and starts runs, and starts score calls.
fn advance_job(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, routing: &RoutingTable) {
    let route = match routing.job_route(&driver.spec.host, &driver.spec.path, driver.config_version) {
        JobRoute::Current(route) => route,
        JobRoute::Unknown => return,
        JobRoute::Removed => {
            logs::write(event::JOB_OVERDUE, &[("job", &driver.spec.id), ("why", &"its route was removed")]);
            driver.give_up(node.now());
            return;
        }
    };
    let age_ms = node.store.clock_ms().saturating_sub(driver.accepted_ms);
    if route.give_up_ms > 0 && age_ms >= route.give_up_ms {
        logs::write(
            event::JOB_OVERDUE,
            &[("job", &driver.spec.id), ("why", &"the time limit of its route has passed")],
        );
        driver.give_up(node.now());
        return;
    }
    // The job may have ended or have another driver without this node knowing it yet.
    if !driver.may_start(node) {
        return;
    }
    run_moves::move_slow_run(node, driver, route);
    job_runs::start_items(node, driver, routing);
    job_runs::start_speculative_run(node, driver, route);
    job_scores::start_scores(node, driver);
}
