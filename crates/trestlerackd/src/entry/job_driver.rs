//! Drives one job on the node that owns it: places items, scores texts, records results.

use super::drive_mode::DriveMode;
use super::node::EntryNode;
use super::{job_records, job_runs, job_scores, job_texts, run_moves, score_calls, server_feed};
use crate::process::clock;
use crate::process::logs;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use trestlerack::process::{MemoryPurpose, MemoryReservation, ServerNeed, TokenNeed};
use trestlerack::request::{
    JobItem, JobRecord, JobSpec, JobTracker, RequestContent, RequestFingerprint, RunEnd, RunKind, TrackerSettings,
};
use trestlerack::version::RoutingTable;
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform as platform;

/// Longest time between two looks at a job without news.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which a job's progress is logged.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// A run in progress.
pub struct ItemRun {
    /// Ends the run, which closes its connection.
    pub handle: AbortHandle,
    /// When it was started.
    pub started: Timestamp,
}

/// The driver of one job.
pub struct JobDriver {
    /// What was submitted.
    pub spec: Arc<JobSpec>,
    /// Models that its items ask for.
    pub models: BTreeSet<Name>,
    /// Customer that the job belongs to.
    pub customer: Option<Name>,
    /// When the job was accepted, on the store's clock.
    pub accepted_ms: u64,
    /// What each item asks for, by its position.
    pub fingerprints: Vec<RequestFingerprint>,
    /// What the score call of each item asks for.
    pub score_fingerprints: Vec<Option<RequestFingerprint>>,
    /// What each item takes in the memory of its engine, by its position.
    pub tokens: Vec<Option<TokenNeed>>,
    /// Items that were logged as too large for any engine.
    pub oversize: Mutex<HashSet<usize>>,
    /// Items that were logged as held.
    pub held: Mutex<HashSet<usize>>,
    /// State of its items.
    pub ledger: Mutex<JobTracker>,
    /// Wakes the driver.
    pub wake: Notify,
    /// Wakes what records results.
    pub record: Notify,
    /// Runs in progress.
    pub runs: Mutex<HashMap<(usize, RunKind), ItemRun>>,
    /// Items whose score calls are in progress.
    pub scoring: Mutex<HashSet<usize>>,
    /// Bytes of its specification.
    spec_bytes: usize,
    /// Count of the bytes of its specification and its texts.
    memory: Mutex<MemoryReservation>,
    mode: AtomicU8,
    /// Whether `ledger` reflects the stored state of the job, which is read after the driver is created.
    is_ledger_loaded: AtomicBool,
}

impl JobDriver {
    fn new(spec: Arc<JobSpec>, head: &JobRecord, ledger: JobTracker, memory: MemoryReservation) -> Self {
        let customer = head.customer.clone();
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
            accepted_ms: head.accepted_ms,
            fingerprints,
            score_fingerprints,
            tokens,
            oversize: Mutex::default(),
            held: Mutex::default(),
            ledger: Mutex::new(ledger),
            wake: Notify::new(),
            record: Notify::new(),
            mode: AtomicU8::new(DriveMode::Drive as u8),
            is_ledger_loaded: AtomicBool::new(false),
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

    /// Counts what the job holds now.
    fn count_memory(&self) {
        let texts = self.ledger.lock().unwrap().text_bytes();
        self.memory.lock().unwrap().resize(self.spec_bytes + texts);
    }

    /// Returns whether the job is to be brought forward.
    pub fn is_driving(&self) -> bool {
        self.mode() == DriveMode::Drive
    }

    /// Returns whether the driver is active and its ledger has been loaded from the store.
    pub fn can_place_items(&self) -> bool {
        self.is_driving() && self.is_ledger_loaded.load(Ordering::Relaxed)
    }

    /// Returns whether another node drives the job.
    pub fn is_lost(&self) -> bool {
        self.mode() == DriveMode::Lost
    }

    /// Returns whether the job is to be given to another node.
    pub fn is_handed_over(&self) -> bool {
        self.mode() == DriveMode::HandOver
    }

    /// Stops because another node drives the job.
    pub fn lose(&self) {
        self.leave(DriveMode::Lost);
    }

    fn leave(&self, mode: DriveMode) {
        // The first reason to leave stands, except that a lost job needs no more writes.
        let current = self.mode();
        if current == DriveMode::Drive || mode == DriveMode::Lost {
            self.mode.store(mode as u8, Ordering::Relaxed);
        }
        self.wake.notify_one();
        self.record.notify_one();
    }

    /// Stops because the client ended the job.
    pub fn end(&self) {
        self.leave(DriveMode::End);
    }

    /// Stops because this node stops.
    pub fn hand_over(&self) {
        self.leave(DriveMode::HandOver);
    }

    /// Takes a run out to be moved, if it has been on its engine for long enough.
    pub fn take_run(&self, now: Timestamp, index: usize) -> Option<AbortHandle> {
        let mut runs = self.runs.lock().unwrap();
        let key = (index, RunKind::Primary);
        let is_due = runs.get(&key).is_some_and(|run| now.since(run.started) >= run_moves::MOVE_AGE);
        if is_due { runs.remove(&key).map(|run| run.handle) } else { None }
    }

    /// Ends up to `most` second runs. Returns how many it ended.
    pub fn cancel_spares(&self, most: usize) -> usize {
        let mut runs = self.runs.lock().unwrap();
        let spares = runs.keys().filter(|(_, lane)| *lane == RunKind::Speculative).take(most);
        let spares: Vec<(usize, RunKind)> = spares.copied().collect();
        let ended: Vec<ItemRun> = spares.iter().filter_map(|key| runs.remove(key)).collect();
        drop(runs);
        ended.iter().for_each(|run| run.handle.abort());
        let mut ledger = self.ledger.lock().unwrap();
        spares.iter().for_each(|(index, _)| {
            ledger.end_speculative(*index, RunEnd::Broken);
        });
        ended.len()
    }

    fn cancel_runs(&self, now: Timestamp) {
        let runs: Vec<((usize, RunKind), ItemRun)> = self.runs.lock().unwrap().drain().collect();
        let mut ledger = self.ledger.lock().unwrap();
        for ((index, lane), run) in runs {
            run.handle.abort();
            match lane {
                RunKind::Primary => ledger.end_run(now, index, RunEnd::Broken),
                RunKind::Speculative => ledger.end_speculative(index, RunEnd::Broken),
            };
        }
    }
}

/// Starts to drive a job that this node owns, unless it does already.
pub fn start(node: &Arc<EntryNode>, spec: Arc<JobSpec>, head: JobRecord, version: u64) {
    if node.drivers.lock().unwrap().contains_key(&spec.id) {
        return;
    }
    let node = node.clone();
    let ledger = JobTracker::new(spec.clone(), TrackerSettings::default(), Vec::new(), HashMap::new());
    // What was accepted is kept in any case, and counted so that others make room for it.
    let mut memory = node.resource_limits.ledger.reserve(MemoryPurpose::Texts, spec.bytes());
    if let Some(customer) = &head.customer {
        memory.set_customer(customer);
    }
    let driver = Arc::new(JobDriver::new(spec.clone(), &head, ledger, memory));
    node.drivers.lock().unwrap().insert(spec.id.clone(), driver.clone());
    server_feed::hold_driven(&node);
    // News of the job's end that came after its rows were read found no driver to tell.
    if node.job(&spec.id).is_some_and(|view| view.is_ended) {
        driver.end();
    }
    tokio::spawn(async move {
        let settings = wait_for_settings(&node, &spec).await;
        let loaded = job_texts::load_state(&node, &spec, &head, settings).await;
        match loaded {
            Ok(ledger) => {
                *driver.ledger.lock().unwrap() = ledger;
                driver.is_ledger_loaded.store(true, Ordering::Relaxed);
                drive(&node, &driver, head, version).await;
            }
            Err(error) => logs::write(event::JOB_LEFT, &[("job", &spec.id), ("why", &error)]),
        }
        node.drivers.lock().unwrap().remove(&spec.id);
    });
}

/// Returns what the configuration says of a job. A process that has just started may be given a job before it
/// knows the configuration, and would give up items by other bounds.
async fn wait_for_settings(node: &EntryNode, spec: &JobSpec) -> TrackerSettings {
    loop {
        match node.routing() {
            Some(routing) => return ledger_settings(&routing, spec),
            None => clock::sleep(LOOK_INTERVAL).await,
        }
    }
}

fn ledger_settings(routing: &RoutingTable, spec: &JobSpec) -> TrackerSettings {
    let defaults = TrackerSettings::default();
    let route = routing.select(&spec.host, &spec.path);
    let scorer = spec.items.first().and_then(|item| item.scorer.as_ref());
    let score_route = scorer.and_then(|scorer| routing.select(&scorer.host, &scorer.path));
    TrackerSettings {
        max_failures: route.map_or(defaults.max_failures, |route| route.max_attempts),
        max_score_failures: score_route.map_or(defaults.max_score_failures, |route| route.max_attempts),
        single_version: route.is_some_and(|route| route.single_version),
        ..defaults
    }
}

async fn drive(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, head: JobRecord, version: u64) {
    let job = driver.spec.id.clone();
    logs::write(event::JOB_DRIVEN, &[("job", &job), ("fence", &head.fence), ("listed", &head.recorded)]);
    let text_log = tokio::spawn(job_texts::log_texts(node.clone(), driver.clone(), head.fence));
    let recorder = tokio::spawn(job_records::record_results(node.clone(), driver.clone(), head, version));
    let mut told_at = node.now();
    while driver.mode() == DriveMode::Drive && !driver.ledger.lock().unwrap().is_complete() {
        if node.now().since(told_at) >= TELL_INTERVAL {
            told_at = node.now();
            tell_progress(node, driver);
        }
        if node.resource_limits.is_bounded() {
            driver.count_memory();
        }
        if let Some(routing) = node.routing() {
            bring_forward(node, driver, &routing);
        }
        // Ends with news of the job or with the interval; both lead to another look.
        let _ = clock::timeout(LOOK_INTERVAL, driver.wake.notified()).await;
    }
    text_log.abort();
    driver.cancel_runs(node.now());
    driver.record.notify_one();
    let recorded = recorder.await.ok().flatten();
    if let (Some((head, version)), DriveMode::End | DriveMode::HandOver) = (recorded, driver.mode()) {
        job_texts::leave_job(node, driver, head, version).await;
    }
    let why = driver.mode().as_str();
    logs::write(event::JOB_LEFT, &[("job", &job), ("why", &why)]);
}

fn tell_progress(node: &Arc<EntryNode>, driver: &Arc<JobDriver>) {
    let spec = &driver.spec;
    let progress = driver.ledger.lock().unwrap().progress();
    let routing = node.routing();
    let route = routing.as_ref().and_then(|routing| routing.select(&spec.host, &spec.path));
    let service = route.and_then(|route| route.service_for(&spec.id));
    let engines = service.map_or(0, |service| {
        let weights = spec.model.as_deref().map(|model| (model, spec.min_version));
        let need = ServerNeed { service, weights, zone: &node.settings.zone, ..ServerNeed::default() };
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

/// One look at the job: gives up what is overdue, places items and starts score calls.
fn bring_forward(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, routing: &RoutingTable) {
    let Some(route) = routing.select(&driver.spec.host, &driver.spec.path) else {
        logs::write(event::JOB_OVERDUE, &[("job", &driver.spec.id), ("why", &"its route was removed")]);
        driver.ledger.lock().unwrap().give_up_all();
        driver.record.notify_one();
        return;
    };
    let age_ms = node.store.clock_ms().saturating_sub(driver.accepted_ms);
    if route.give_up_ms > 0 && age_ms >= route.give_up_ms {
        logs::write(event::JOB_OVERDUE, &[("job", &driver.spec.id), ("why", &"its time is over")]);
        driver.cancel_runs(node.now());
        driver.ledger.lock().unwrap().give_up_all();
        driver.record.notify_one();
        return;
    }
    // Other nodes may have ended the job meanwhile.
    if !node.may_start_work() {
        return;
    }
    run_moves::move_slow_run(node, driver, route);
    job_runs::place_items(node, driver, routing);
    job_runs::start_spare(node, driver, route);
    job_scores::start_scores(node, driver);
}
