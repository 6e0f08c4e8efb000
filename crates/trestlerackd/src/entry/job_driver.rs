//! Drives one job on the node that owns it: places items, scores texts, records results.

use super::item_run;
use super::job_calls::{load_results, result_key};
use super::node::{EntryNode, ServerTicket};
use super::plain::{self, ScoreEnd};
use super::tables;
use crate::process::logs;
use bytes::Bytes;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use trestlerack::border::StoreError;
use trestlerack::process::{ServerEntry, ServerNeed};
use trestlerack::request::{
    ItemPhase, ItemTranscript, JobHead, JobLedger, JobResult, JobSpec, KeptItem, LedgerSettings, RunEnd, RunLane,
    TextDelta,
};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply, StoredRow};
use trestlerack::version::{RequestRoute, RoutingTable, WeightVersion};
use trestlerack::{Name, Timestamp, event};

/// Longest time between two looks at a job without news.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Pause before a write that failed is sent again.
const WRITE_PAUSE: Duration = Duration::from_millis(50);

/// Pause before a score call without an answer is made again.
const SCORE_PAUSE: Duration = Duration::from_millis(30);

/// Score calls of one job at once; the scoring services of the users' sheets have 18 to 24 places.
const SCORES_AT_ONCE: usize = 16;

/// How many times slower than another one with a free place an engine must be for its runs to be
/// moved. Engines of one service differ by 1.3 (measured pace, 41 and 52 ms an event); a move costs
/// some 40 ms.
const MOVE_SLOWNESS: f64 = 1.2;

/// Shortest time on an engine before a run is moved, so that its pace is known.
const MOVE_AGE: Duration = Duration::from_millis(600);

/// Ended jobs of the same model whose unfinished texts are looked through.
const KEPT_JOBS: usize = 3;

/// Interval at which a job's progress is logged.
const TELL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which new text is stored; what a lost node had made since then is made again.
const TEXT_LOG_INTERVAL: Duration = Duration::from_millis(700);

/// Shortest new text that is stored, in bytes: some eight events of the users' sheets.
const TEXT_LOG_LEAST: usize = 2_000;

/// What a driver is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum DriveMode {
    /// Bring the job forward.
    Drive,
    /// Its client ended it: stop, and keep unfinished texts.
    End,
    /// This node stops: give it to another one.
    HandOver,
    /// Another node drives it.
    Lost,
}

/// A run in progress.
struct ItemRun {
    handle: AbortHandle,
    started: Timestamp,
}

/// The driver of one job.
pub struct JobDriver {
    /// What was submitted.
    pub spec: Arc<JobSpec>,
    /// State of its items.
    pub ledger: Mutex<JobLedger>,
    /// Wakes the driver.
    pub wake: Notify,
    record: Notify,
    mode: AtomicU8,
    runs: Mutex<HashMap<(usize, RunLane), ItemRun>>,
    scoring: Mutex<HashSet<usize>>,
}

impl JobDriver {
    fn new(spec: Arc<JobSpec>, ledger: JobLedger) -> Self {
        Self {
            spec,
            ledger: Mutex::new(ledger),
            wake: Notify::new(),
            record: Notify::new(),
            mode: AtomicU8::new(DriveMode::Drive as u8),
            runs: Mutex::default(),
            scoring: Mutex::default(),
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
    fn take_run(&self, now: Timestamp, index: usize) -> Option<AbortHandle> {
        let mut runs = self.runs.lock().unwrap();
        let key = (index, RunLane::Main);
        let is_due = runs.get(&key).is_some_and(|run| now.since(run.started) >= MOVE_AGE);
        if is_due { runs.remove(&key).map(|run| run.handle) } else { None }
    }

    fn cancel_runs(&self, now: Timestamp) {
        let runs: Vec<((usize, RunLane), ItemRun)> = self.runs.lock().unwrap().drain().collect();
        let mut ledger = self.ledger.lock().unwrap();
        for ((index, lane), run) in runs {
            run.handle.abort();
            match lane {
                RunLane::Main => ledger.end_run(now, index, RunEnd::Broken),
                RunLane::Spare => ledger.end_spare(index, RunEnd::Broken),
            };
        }
    }
}

/// Starts to drive a job that this node owns, unless it does already.
pub fn start(node: &Arc<EntryNode>, spec: Arc<JobSpec>, head: JobHead, version: u64) {
    if node.drivers.lock().unwrap().contains_key(&spec.id) {
        return;
    }
    let node = node.clone();
    let settings = ledger_settings(&node, &spec);
    let ledger = JobLedger::new(spec.clone(), settings.clone(), Vec::new(), HashMap::new());
    let driver = Arc::new(JobDriver::new(spec.clone(), ledger));
    node.drivers.lock().unwrap().insert(spec.id.clone(), driver.clone());
    tokio::spawn(async move {
        let loaded = load_state(&node, &spec, &head, settings).await;
        match loaded {
            Ok(ledger) => {
                *driver.ledger.lock().unwrap() = ledger;
                drive(&node, &driver, head, version).await;
            }
            Err(error) => logs::write(event::JOB_LEFT, &[("job", &spec.id), ("why", &error)]),
        }
        node.drivers.lock().unwrap().remove(&spec.id);
    });
}

fn ledger_settings(node: &EntryNode, spec: &JobSpec) -> LedgerSettings {
    let defaults = LedgerSettings::default();
    let Some(routing) = node.routing() else { return defaults };
    let route = routing.select(&spec.host, &spec.path);
    let scorer = spec.items.first().and_then(|item| item.scorer.as_ref());
    let score_route = scorer.and_then(|scorer| routing.select(&scorer.host, &scorer.path));
    LedgerSettings {
        max_failures: route.map_or(defaults.max_failures, |route| route.max_attempts),
        max_score_failures: score_route.map_or(defaults.max_score_failures, |route| route.max_attempts),
        single_version: route.is_some_and(|route| route.single_version),
        ..defaults
    }
}

/// Collects what was recorded of the job, and texts that earlier jobs left.
async fn load_state(
    node: &Arc<EntryNode>,
    spec: &Arc<JobSpec>,
    head: &JobHead,
    settings: LedgerSettings,
) -> Result<JobLedger, StoreError> {
    let mut listed: Vec<JobResult> = Vec::new();
    while listed.len() < head.listed {
        let page = load_results(node, &spec.id, listed.len()).await?;
        if page.is_empty() {
            return Err(StoreError::Unknown);
        }
        listed.extend(page);
    }
    let mut kept: HashMap<Name, KeptItem> = HashMap::new();
    for job in earlier_jobs(node, spec, head) {
        let first = if job == spec.id { tables::KEPT_LOG } else { tables::KEPT_END };
        // Kept texts only save time, so a job starts without them rather than late.
        match tables::read_from(&node.store, tables::KEPT, &job, first).await {
            Ok(rows) => merge_kept(&mut kept, rows, spec.min_version),
            Err(error) => logs::write(event::TEXTS_LOST, &[("job", &job), ("why", &error)]),
        }
    }
    let count = kept.len();
    if count > 0 {
        logs::write(event::TEXTS_FOUND, &[("job", &spec.id), ("items", &count)]);
    }
    Ok(JobLedger::new(spec.clone(), settings, listed, kept))
}

/// Returns the job itself and the newest ended jobs of the same model, newest first.
fn earlier_jobs(node: &EntryNode, spec: &JobSpec, head: &JobHead) -> Vec<Name> {
    let jobs = node.jobs.lock().unwrap();
    let is_related = |id: &Name, view: &&super::node::JobView| {
        view.is_ended && *id != spec.id && view.head.model == spec.model && view.head.host == spec.host
    };
    let mut related: Vec<(u64, Name)> = jobs
        .iter()
        .filter(|(id, view)| is_related(id, view))
        .map(|(id, view)| (view.head.accepted_ms, id.clone()))
        .collect();
    related.sort_by(|left, right| right.cmp(left));
    related.truncate(KEPT_JOBS);
    let own = (head.fence > 1).then(|| spec.id.clone());
    own.into_iter().chain(related.into_iter().map(|(_, id)| id)).collect()
}

/// Adds kept texts, the longest of each item; rows of several owners of one job may lie there.
fn merge_kept(kept: &mut HashMap<Name, KeptItem>, rows: Vec<StoredRow>, min_version: WeightVersion) {
    let mut logged: HashMap<Name, ItemTranscript> = HashMap::new();
    for (key, content) in tables::join_pieces(rows) {
        if key.starts_with(tables::KEPT_LOG) {
            let Ok(deltas) = tables::decode::<Vec<TextDelta>>(&content) else { continue };
            for delta in deltas {
                let transcript = logged.entry(delta.id.clone()).or_default();
                if delta.after.is_none() {
                    *transcript = ItemTranscript::default();
                }
                transcript.extend(&delta);
            }
        } else if let Ok(items) = tables::decode::<Vec<KeptItem>>(&content) {
            items.into_iter().for_each(|item| keep_longer(kept, item, min_version));
        }
    }
    for (id, transcript) in logged {
        keep_longer(kept, KeptItem { id, transcript, is_whole: false }, min_version);
    }
}

/// Keeps the longest text whose versions fit. An item without one is kept too: that it was in an
/// earlier job says that the client waits for its group.
fn keep_longer(kept: &mut HashMap<Name, KeptItem>, item: KeptItem, min_version: WeightVersion) {
    let item = match item.transcript.fits(min_version) {
        true => item,
        false => KeptItem { transcript: ItemTranscript::default(), is_whole: false, ..item },
    };
    let is_longer = kept
        .get(&item.id)
        .is_none_or(|held| (held.is_whole, held.transcript.last_event) < (item.is_whole, item.transcript.last_event));
    if is_longer {
        kept.insert(item.id.clone(), item);
    }
}

async fn drive(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, head: JobHead, version: u64) {
    let job = driver.spec.id.clone();
    logs::write(event::JOB_DRIVEN, &[("job", &job), ("fence", &head.fence), ("listed", &head.listed)]);
    let accepted_ms = head.accepted_ms;
    let text_log = tokio::spawn(log_texts(node.clone(), driver.clone(), head.fence));
    let recorder = tokio::spawn(record_results(node.clone(), driver.clone(), head, version));
    let mut told_at = node.now();
    while driver.mode() == DriveMode::Drive && !driver.ledger.lock().unwrap().is_whole() {
        if node.now().since(told_at) >= TELL_INTERVAL {
            told_at = node.now();
            tell_progress(node, driver);
        }
        if let Some(routing) = node.routing() {
            bring_forward(node, driver, &routing, accepted_ms);
        }
        // Ends with news of the job or with the interval; both lead to another look.
        let _ = tokio::time::timeout(LOOK_INTERVAL, driver.wake.notified()).await;
    }
    text_log.abort();
    driver.cancel_runs(node.now());
    driver.record.notify_one();
    let recorded = recorder.await.ok().flatten();
    if let (Some((head, version)), DriveMode::End | DriveMode::HandOver) = (recorded, driver.mode()) {
        leave_job(node, driver, head, version).await;
    }
    let why = format!("{:?}", driver.mode()).to_lowercase();
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
        node.board.lock().unwrap().count(node.now(), &need)
    });
    let fields: [(&str, &dyn std::fmt::Display); 7] = [
        ("job", &spec.id),
        ("waiting", &progress.waiting),
        ("running", &progress.running),
        ("scoring", &progress.scoring),
        ("settled", &progress.settled),
        ("listed", &progress.listed),
        ("engines", &engines),
    ];
    logs::write(event::JOB_PROGRESS, &fields);
}

/// One look at the job: gives up what is overdue, places items and starts score calls.
fn bring_forward(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, routing: &RoutingTable, accepted_ms: u64) {
    let Some(route) = routing.select(&driver.spec.host, &driver.spec.path) else {
        logs::write(event::JOB_OVERDUE, &[("job", &driver.spec.id), ("why", &"its route was removed")]);
        driver.ledger.lock().unwrap().give_up_all();
        driver.record.notify_one();
        return;
    };
    let age_ms = node.store.clock_ms().saturating_sub(accepted_ms);
    if route.give_up_ms > 0 && age_ms >= route.give_up_ms {
        logs::write(event::JOB_OVERDUE, &[("job", &driver.spec.id), ("why", &"its time is over")]);
        driver.cancel_runs(node.now());
        driver.ledger.lock().unwrap().give_up_all();
        driver.record.notify_one();
        return;
    }
    move_slow_run(node, driver, route);
    place_items(node, driver, route);
    start_spare(node, driver, route);
    start_scores(node, driver);
}

fn place_items(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let now = node.now();
    let mut ledger = driver.ledger.lock().unwrap();
    let waiting: Vec<usize> = ledger.waiting(now).collect();
    for index in waiting {
        let item = &driver.spec.items[index];
        let Some(service) = route.service_for(&item.id) else { return };
        let model = driver.spec.model_of(item);
        let need = ServerNeed {
            service,
            weights: model.as_deref().map(|model| (model, driver.spec.min_version)),
            wants_free_place: true,
            zone: &node.settings.zone,
            ..ServerNeed::default()
        };
        let entry = node.board.lock().unwrap().choose(now, &need).map(|belief| belief.entry.clone());
        let Some(entry) = entry else { return };
        start_run(node, driver, &mut ledger, index, entry);
    }
}

fn start_run(
    node: &Arc<EntryNode>,
    driver: &Arc<JobDriver>,
    ledger: &mut JobLedger,
    index: usize,
    engine: ServerEntry,
) {
    ledger.start(index, &engine.instance);
    spawn_run(node, driver, index, RunLane::Main, engine);
}

fn spawn_run(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, index: usize, lane: RunLane, engine: ServerEntry) {
    let ticket = ServerTicket::new(node, engine);
    let run = tokio::spawn(item_run::run(node.clone(), driver.clone(), index, lane, ticket));
    let run = ItemRun { handle: run.abort_handle(), started: node.now() };
    driver.runs.lock().unwrap().insert((index, lane), run);
}

/// Starts a second run of an item that may not be whole before its client ends the job: on the
/// newest weights, from the beginning, while engines have places that nobody waits for. A later
/// job that brings the item again and needs newer weights than the first run had then goes on from
/// the second one. One run at each look.
fn start_spare(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let Some(model) = driver.spec.model.clone().filter(|_| !route.single_version) else { return };
    let newest = node.targets.lock().unwrap().get(&model).copied().unwrap_or(0);
    if newest <= driver.spec.min_version || is_any_item_waiting(node) {
        return;
    }
    let mut ledger = driver.ledger.lock().unwrap();
    let Some((index, engine)) = ledger.spare_candidates(newest).into_iter().next() else { return };
    let Some(service) = route.service_for(&driver.spec.items[index].id) else { return };
    let need = ServerNeed {
        service,
        weights: Some((&model, newest)),
        wants_free_place: true,
        avoid: std::slice::from_ref(&engine),
        zone: &node.settings.zone,
    };
    let entry = node.board.lock().unwrap().choose(node.now(), &need).map(|belief| belief.entry.clone());
    let Some(entry) = entry else { return };
    ledger.start_spare(index, &entry.instance);
    drop(ledger);
    spawn_run(node, driver, index, RunLane::Spare, entry);
}

fn is_any_item_waiting(node: &EntryNode) -> bool {
    let now = node.now();
    let drivers: Vec<Arc<JobDriver>> = node.drivers.lock().unwrap().values().cloned().collect();
    drivers.iter().any(|driver| driver.ledger.lock().unwrap().waiting(now).next().is_some())
}

/// Moves a run off an engine that is slower than another one with a free place: the connection is
/// closed, which ends the work there, and the run goes on elsewhere. While items wait, only long
/// runs move. One run at each look, because one free place takes one run only.
fn move_slow_run(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let now = node.now();
    let running: Vec<(usize, Name)> = {
        let ledger = driver.ledger.lock().unwrap();
        let has_waiting = ledger.waiting(now).next().is_some();
        let mut running = ledger.running();
        running.retain(|(index, _)| !has_waiting || ledger.is_long(*index));
        running
    };
    for (index, engine) in running {
        let Some((slowness, faster)) = worth_moving(node, driver, route, index, &engine) else { continue };
        let Some(run) = driver.take_run(now, index) else { continue };
        run.abort();
        let mut ledger = driver.ledger.lock().unwrap();
        ledger.end_run(now, index, RunEnd::Broken);
        start_run(node, driver, &mut ledger, index, faster);
        drop(ledger);
        let item = &driver.spec.items[index].id;
        let slowness = format!("{slowness:.1}");
        logs::write(event::RUN_MOVED, &[("item", item), ("engine", &engine), ("slowness", &slowness)]);
        return;
    }
}

/// Returns how slow the engine of a run is and another one with a free place that is much faster.
fn worth_moving(
    node: &EntryNode,
    driver: &JobDriver,
    route: &RequestRoute,
    index: usize,
    engine: &Name,
) -> Option<(f64, ServerEntry)> {
    let board = node.board.lock().unwrap();
    let now = node.now();
    let slowness = board.slowness(now, engine);
    let item = &driver.spec.items[index];
    let model = driver.spec.model_of(item);
    let need = ServerNeed {
        service: route.service_for(&item.id)?,
        weights: model.as_deref().map(|model| (model, driver.spec.min_version)),
        wants_free_place: true,
        avoid: std::slice::from_ref(engine),
        zone: &node.settings.zone,
    };
    let other = board.choose(now, &need)?;
    let is_faster = board.slowness(now, &other.entry.instance) * MOVE_SLOWNESS < slowness;
    is_faster.then(|| (slowness, other.entry.clone()))
}

/// Takes note of the end of a run, from the run's own task.
pub fn run_ended(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, index: usize, lane: RunLane, end: RunEnd) {
    let mut runs = driver.runs.lock().unwrap();
    runs.remove(&(index, lane));
    let mut ledger = driver.ledger.lock().unwrap();
    let (is_whole, other) = match lane {
        RunLane::Main => (ledger.end_run(node.now(), index, end), RunLane::Spare),
        RunLane::Spare => (ledger.end_spare(index, end), RunLane::Main),
    };
    let is_settled = *ledger.phase(index) == ItemPhase::Settled;
    drop(ledger);
    // A whole text needs no second run.
    let needless = if is_whole || is_settled { runs.remove(&(index, other)) } else { None };
    if let Some(run) = needless {
        run.handle.abort();
    }
    drop(runs);
    if is_settled {
        driver.record.notify_one();
    }
    driver.wake.notify_one();
}

fn start_scores(node: &Arc<EntryNode>, driver: &Arc<JobDriver>) {
    let unscored = driver.ledger.lock().unwrap().unscored();
    for index in unscored {
        let mut scoring = driver.scoring.lock().unwrap();
        if scoring.len() >= SCORES_AT_ONCE {
            return;
        }
        if scoring.insert(index) {
            tokio::spawn(score_item(node.clone(), driver.clone(), index));
        }
    }
}

async fn score_item(node: Arc<EntryNode>, driver: Arc<JobDriver>, index: usize) {
    match &driver.spec.items[index].scorer {
        None => driver.ledger.lock().unwrap().settle(index, None),
        Some(call) => loop {
            if driver.mode() != DriveMode::Drive {
                break;
            }
            match plain::score(&node, call).await {
                ScoreEnd::Scored(signature) => {
                    driver.ledger.lock().unwrap().settle(index, Some(signature));
                    break;
                }
                ScoreEnd::Failed => {
                    if driver.ledger.lock().unwrap().fail_score(index) {
                        let item = &driver.spec.items[index].id;
                        logs::write(event::ITEM_GIVEN_UP, &[("item", item), ("why", &"its score call failed")]);
                        break;
                    }
                }
                ScoreEnd::NoAnswer => tokio::time::sleep(SCORE_PAUSE).await,
            }
        },
    }
    driver.scoring.lock().unwrap().remove(&index);
    driver.record.notify_one();
    driver.wake.notify_one();
}

/// Records results as they come, several in one write while the write before is on its way.
/// Returns the head row at the end, or `None` if another node drives the job.
async fn record_results(
    node: Arc<EntryNode>,
    driver: Arc<JobDriver>,
    mut head: JobHead,
    mut version: u64,
) -> Option<(JobHead, u64)> {
    loop {
        let batch = driver.ledger.lock().unwrap().take_ready(tables::COMMIT_ROWS / 2, tables::COMMIT_BYTES / 2);
        if batch.is_empty() {
            let is_over = driver.mode() != DriveMode::Drive || driver.ledger.lock().unwrap().is_whole();
            if is_over {
                return Some((head, version));
            }
            driver.record.notified().await;
            continue;
        }
        let mut next = JobHead { write_id: node.write_id(), listed: head.listed + batch.len(), ..head.clone() };
        let transaction = result_writes(&node, &driver.spec.id, &head, version, &batch, &next);
        match commit_head(&node, &driver, transaction, &mut next).await {
            Some(committed) => {
                version = committed;
                head = next;
            }
            None => {
                driver.leave(DriveMode::Lost);
                return None;
            }
        }
        let mut ledger = driver.ledger.lock().unwrap();
        batch.iter().for_each(|result| ledger.mark_listed(&result.id));
        drop(ledger);
        node.metrics.results(batch.len());
        node.learn_head(head.clone(), version, &driver.spec.id);
        driver.wake.notify_one();
    }
}

fn result_writes(
    node: &EntryNode,
    job: &Name,
    head: &JobHead,
    version: u64,
    batch: &[JobResult],
    next: &JobHead,
) -> RowTransaction {
    let mut transaction = RowTransaction::new(job.clone()).expect(tables::STATE, tables::HEAD, version).put(
        tables::STATE,
        tables::HEAD,
        tables::encode(next),
    );
    for (offset, result) in batch.iter().enumerate() {
        let content = tables::encode(result);
        let key = result_key(head.listed + offset);
        transaction = tables::put_pieces(transaction, tables::RESULTS, &key, &content, node.settings.store_row_bytes);
    }
    transaction
}

/// Commits a write of the head until its outcome is known. Returns the new version, or `None` if
/// another node has taken the job over.
async fn commit_head(
    node: &Arc<EntryNode>,
    driver: &JobDriver,
    transaction: RowTransaction,
    next: &mut JobHead,
) -> Option<u64> {
    let call = StoreCall::Commit(transaction);
    loop {
        match node.store.call(&call).await {
            Ok(StoreReply::Committed(moment)) => return Some(moment.version),
            Ok(StoreReply::Conflict(rows)) => {
                let row = rows.into_iter().find(|row| &*row.key == tables::HEAD)?;
                let held: JobHead = tables::decode(&row.value).ok()?;
                // An earlier try of the same write may have been applied without its reply.
                return (held.write_id == next.write_id).then_some(row.version);
            }
            Ok(_) | Err(_) => {}
        }
        if driver.mode() == DriveMode::Lost {
            return None;
        }
        tokio::time::sleep(WRITE_PAUSE).await;
    }
}

/// Stores what is generated while the job is driven, so that whoever takes it over from a node
/// that is lost goes on from there.
async fn log_texts(node: Arc<EntryNode>, driver: Arc<JobDriver>, fence: u64) {
    for number in 0.. {
        tokio::time::sleep(TEXT_LOG_INTERVAL).await;
        let deltas = driver.ledger.lock().unwrap().take_unstored(TEXT_LOG_LEAST, tables::COMMIT_BYTES / 2);
        if deltas.is_empty() {
            continue;
        }
        let key = format!("{}-{fence:04}-{number:06}", tables::KEPT_LOG);
        let transaction = RowTransaction::new(driver.spec.id.clone());
        let content = tables::encode(&deltas);
        let transaction = tables::put_pieces(transaction, tables::KEPT, &key, &content, node.settings.store_row_bytes);
        let call = StoreCall::Commit(transaction);
        // Later deltas go on where this one ends, so it is written before them, however long it takes.
        while node.store.call(&call).await.is_err() {
            tokio::time::sleep(WRITE_PAUSE).await;
        }
    }
}

/// Keeps unfinished texts, and gives the job to another node where this one stops.
async fn leave_job(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, head: JobHead, version: u64) {
    let kept = driver.ledger.lock().unwrap().unfinished();
    let is_handed_over = driver.mode() == DriveMode::HandOver;
    let job = &driver.spec.id;
    let (mut piece, mut batch, mut bytes) = (0, Vec::new(), 0);
    let mut batches: Vec<Vec<KeptItem>> = Vec::new();
    for item in kept {
        bytes += item.transcript.text.len();
        batch.push(item);
        if bytes > tables::COMMIT_BYTES / 2 {
            batches.push(std::mem::take(&mut batch));
            bytes = 0;
        }
    }
    batches.push(batch);
    let count: usize = batches.iter().map(Vec::len).sum();
    for batch in batches {
        let key = format!("{}-{:04}-{piece:04}", tables::KEPT_END, head.fence);
        piece += 1;
        let content: Bytes = tables::encode(&batch);
        let transaction = RowTransaction::new(job.clone());
        let transaction = tables::put_pieces(transaction, tables::KEPT, &key, &content, node.settings.store_row_bytes);
        if node.store.call(&StoreCall::Commit(transaction)).await.is_err() {
            logs::write(event::TEXTS_LOST, &[("job", job), ("why", &"the store does not answer")]);
        }
    }
    logs::write(event::TEXTS_KEPT, &[("job", job), ("items", &count)]);
    if is_handed_over {
        let mut next = JobHead { owner: "".into(), write_id: node.write_id(), ..head };
        let transaction = RowTransaction::new(job.clone()).expect(tables::STATE, tables::HEAD, version).put(
            tables::STATE,
            tables::HEAD,
            tables::encode(&next),
        );
        // A peer that notices this node's silence takes the job too, only later.
        let _ = commit_head(node, driver, transaction, &mut next).await;
    }
}
