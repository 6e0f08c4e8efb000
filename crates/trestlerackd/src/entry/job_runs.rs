//! Starts runs of a job's items on engines, both primary and speculative ones.

use super::in_flight::InFlightGuard;
use super::item_run::{self, RunStart};
use super::job_driver::{ItemRun, JobDriver};
use super::node::EntryNode;
use super::{choice_log, engine_memory, engine_priority, placement, suspects};
use crate::process::logs;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{RecoveryRule, ServerEntry, ServerNeed, ServerSet, SlotNeed};
use trestlerack::request::{ItemPhase, JobTracker, RunEnd, RunKind};
use trestlerack::version::{RequestPlacement, RequestRoute, RoutingTable};
use trestlerack::{Name, event};

/// Longest time until a blocked item is checked again: a complete response to the same content on another node
/// may unblock it early.
const BLOCKED_RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Starts waiting items on engines with free slots, after those of earlier jobs of the same model and
/// customer. Without this order, a job would reuse every slot that its own runs free, and an earlier job,
/// whose results a trainer needs first, could starve.
pub fn start_items(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, routing: &RoutingTable) {
    for job in earlier_jobs(node, driver).iter().chain([driver]) {
        if let Some(route) = routing.select(&job.spec.host, &job.spec.path) {
            start_job_items(node, job, route);
        }
    }
}

/// Returns the drivers on this node of jobs of the same model and customer accepted before this one, oldest
/// first. Jobs whose tracker is not loaded yet are skipped.
fn earlier_jobs(node: &EntryNode, driver: &JobDriver) -> Vec<Arc<JobDriver>> {
    if driver.spec.model.is_none() {
        return Vec::new();
    }
    let acceptance_order = |job: &JobDriver| (job.accepted_ms, job.spec.id.clone());
    let driver_order = acceptance_order(driver);
    let is_earlier = |job: &&Arc<JobDriver>| {
        job.spec.model == driver.spec.model
            && job.customer == driver.customer
            && job.can_start_items()
            && acceptance_order(job) < driver_order
            && job.may_start(node)
    };
    let drivers = node.drivers.lock().unwrap();
    let mut earlier: Vec<Arc<JobDriver>> = drivers.values().filter(is_earlier).cloned().collect();
    drop(drivers);
    earlier.sort_by_key(|job| acceptance_order(job));
    earlier
}

fn start_job_items(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let now = node.now();
    let mut remaining_runs = node.resource_limits.remaining_runs(now, || count_runs(node));
    let mut tracker = driver.tracker.lock().unwrap();
    let waiting: Vec<usize> = tracker.waiting(now).collect();
    if waiting.is_empty() {
        return;
    }
    let final_groups = tracker.final_groups();
    let placement = job_placement(node, driver);
    for (handled, index) in waiting.iter().copied().enumerate() {
        let item = &driver.spec.items[index];
        if defer_suspect(node, driver, &mut tracker, index) {
            continue;
        }
        let model = driver.spec.model_of(item);
        let Some(need) = item_need(node, driver, route, index, model.as_deref(), &placement) else {
            return;
        };
        let is_long = tracker.is_long(index) || final_groups.contains(&item.group);
        let mut need = ServerNeed { pinned_version: tracker.pinned_version(index), is_long, ..need };
        let balancer = node.balancer.lock().unwrap();
        if need.pinned_version.is_some() && balancer.count_eligible(now, &need) == 0 {
            // No engine has that version any more.
            tracker.discard_text(index);
            need.pinned_version = None;
        }
        drop(balancer);
        let entry = suspects::choose_item_server(node, driver.fingerprints[index], &need);
        // It may have to stay apart from other suspects.
        let is_separated = suspects::has_repeated_crashes(node, driver.fingerprints[index]);
        engine_memory::log_full_engines(node, &item.id, &need);
        let is_oversize = engine_memory::is_oversize(node, driver, index, need.service);
        match entry {
            // The item waits until the memory limit allows another text.
            Some(_) if remaining_runs == 0 => return,
            Some(entry) => {
                remaining_runs -= 1;
                start_run(node, driver, &mut tracker, index, entry);
            }
            // Other items may still find a free slot.
            None if is_oversize => node.balancer.lock().unwrap().reserve_engine(now, &need),
            None if need.pinned_version.is_some() || is_separated => {}
            // No cancelled run would free a slot that this job may use.
            None if need.allowed_zones.is_some() && node.balancer.lock().unwrap().count_eligible(now, &need) == 0 => {
                return;
            }
            None => {
                drop(tracker);
                return cancel_speculative_runs(node, driver, waiting.len() - handled);
            }
        }
    }
}

/// Returns where the items of a job may run. A job whose route was removed runs nowhere, until it is given up.
pub fn job_placement(node: &EntryNode, driver: &JobDriver) -> RequestPlacement {
    let routing = node.routing();
    let route = routing.as_ref().and_then(|routing| routing.select(&driver.spec.host, &driver.spec.path));
    route.map_or_else(RequestPlacement::nowhere, |route| {
        placement::decide(routing.as_deref(), route, driver.customer.as_ref())
    })
}

/// Returns what an item of `model` requires of an engine, as given by its job and route; `None` if the route has
/// no service.
pub fn item_need<'a>(
    node: &'a EntryNode,
    driver: &'a JobDriver,
    route: &'a RequestRoute,
    index: usize,
    model: Option<&'a str>,
    placement: &'a RequestPlacement,
) -> Option<ServerNeed<'a>> {
    Some(ServerNeed {
        allowed_zones: placement.allowed_zones(),
        service: route.service_for(&driver.spec.items[index].id)?,
        weights: model.map(|model| (model, driver.spec.min_version)),
        slot_need: SlotNeed::One,
        tokens: driver.tokens[index].as_ref(),
        zone: &node.settings.zone,
        tie_key: &node.settings.name,
        ..ServerNeed::default()
    })
}

/// Returns the number of runs in progress on this node.
fn count_runs(node: &EntryNode) -> usize {
    let drivers: Vec<Arc<JobDriver>> = node.drivers.lock().unwrap().values().cloned().collect();
    drivers.iter().map(|driver| driver.runs.lock().unwrap().len()).sum()
}

/// Defers an item whose content is blocked, or crashed servers so recently that its state is still open.
/// Returns whether the item was deferred.
fn defer_suspect(node: &Arc<EntryNode>, driver: &JobDriver, tracker: &mut JobTracker, index: usize) -> bool {
    let fingerprint = driver.fingerprints[index];
    let wait = suspects::wait_time(node, fingerprint, RecoveryRule::Owed);
    if wait.is_zero() {
        return false;
    }
    tracker.defer(index, node.now() + BLOCKED_RECHECK_INTERVAL.min(wait));
    let Some(block_time) = suspects::blocked_for(node, fingerprint, RecoveryRule::Owed) else { return true };
    if driver.logged_blocked.lock().unwrap().insert(index) {
        suspects::log_blocked(node, &driver.spec.items[index].id, fingerprint, block_time);
    }
    true
}

/// Cancels as many speculative runs of the model's jobs as items wait without a slot: a speculative run only
/// saves work for a later job, while a waiting item delays its own job.
fn cancel_speculative_runs(node: &Arc<EntryNode>, driver: &JobDriver, waiting_items: usize) {
    let drivers: Vec<Arc<JobDriver>> = node.drivers.lock().unwrap().values().cloned().collect();
    let mut remaining = waiting_items;
    for other in drivers.iter().filter(|other| other.spec.model == driver.spec.model) {
        remaining -= other.cancel_speculative(remaining);
    }
    if remaining < waiting_items {
        let ended = waiting_items - remaining;
        logs::write(event::SPARES_YIELDED, &[("job", &driver.spec.id), ("waiting", &waiting_items), ("ended", &ended)]);
    }
}

/// Starts the primary run of an item on an engine.
pub fn start_run(
    node: &Arc<EntryNode>,
    driver: &Arc<JobDriver>,
    tracker: &mut JobTracker,
    index: usize,
    engine: ServerEntry,
) {
    let kind = RunKind::Primary;
    let priority = engine_priority::of_item(node, driver, tracker, &engine.service, index, kind);
    tracker.start(index, &engine.instance);
    spawn_run(node, driver, RunStart { index, kind, priority }, engine);
}

fn spawn_run(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, start: RunStart, engine: ServerEntry) {
    let RunStart { index, kind, .. } = start;
    log_start(node, driver, start, &engine);
    let placement = job_placement(node, driver);
    let guard = InFlightGuard::new(node, engine, driver.fingerprints[index], placement);
    let guard = guard.with_tokens(driver.tokens[index]).with_recovery_rule(RecoveryRule::Owed);
    let run = tokio::spawn(item_run::run(node.clone(), driver.clone(), start, guard));
    let run = ItemRun { handle: run.abort_handle(), started: node.now() };
    driver.runs.lock().unwrap().insert((index, kind), run);
}

fn log_start(node: &EntryNode, driver: &JobDriver, start: RunStart, engine: &ServerEntry) {
    let item = &driver.spec.items[start.index];
    let (kind, model) = (start.kind.as_str(), driver.spec.model_of(item));
    let priority = start.priority.map_or_else(|| "none".to_owned(), |priority| priority.to_string());
    let fields: [(&str, &dyn std::fmt::Display); 5] = [
        ("lane", &kind),
        ("item", &item.id),
        ("job", &driver.spec.id),
        ("engine", &engine.instance),
        ("rank", &priority),
    ];
    choice_log::log_choice(node, event::RUN_STARTED, &fields, engine, model.as_deref());
}

/// Starts a speculative run of an item that may not be complete before its client ends the job.
///
/// The run uses the newest weights and starts from the beginning, on an engine with more than half of its slots
/// free and only while no item waits. If a later job submits the item again and needs newer weights than the
/// primary run had, it continues from the text of the speculative run. Each check starts at most one.
pub fn start_speculative_run(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let Some(model) = driver.spec.model.clone().filter(|_| !route.single_version) else { return };
    let newest = node.weights.newest_version(&model);
    if newest <= driver.spec.min_version || is_any_item_waiting(node) {
        return;
    }
    let mut tracker = driver.tracker.lock().unwrap();
    // A second run of a suspect might crash one more engine.
    let is_unsuspected = |(index, _): &(usize, Name)| !suspects::is_suspect(node, driver.fingerprints[*index]);
    let Some((index, engine)) = tracker.speculation_candidates(newest).into_iter().find(is_unsuspected) else { return };
    let placement = job_placement(node, driver);
    let Some(need) = item_need(node, driver, route, index, Some(&model), &placement) else { return };
    let avoid = std::slice::from_ref(&engine);
    let need =
        ServerNeed { weights: Some((&model, newest)), slot_need: SlotNeed::HalfFree, avoid, needs_warm: true, ..need };
    let entry = node.balancer.lock().unwrap().choose(node.now(), &need).map(|server| server.entry.clone());
    let Some(entry) = entry else { return };
    let kind = RunKind::Speculative;
    let priority = engine_priority::of_item(node, driver, &tracker, &entry.service, index, kind);
    tracker.start_speculative(index, &entry.instance);
    drop(tracker);
    spawn_run(node, driver, RunStart { index, kind, priority }, entry);
}

fn is_any_item_waiting(node: &EntryNode) -> bool {
    let now = node.now();
    let drivers: Vec<Arc<JobDriver>> = node.drivers.lock().unwrap().values().cloned().collect();
    let has_waiting = |driver: &JobDriver| driver.tracker.lock().unwrap().waiting(now).next().is_some();
    drivers.iter().any(|driver| has_waiting(driver) && has_server(node, driver))
}

/// Returns whether a server that may run a job's items accepts work. A job whose region is lost waits for it, however
/// many slots other jobs leave free.
fn has_server(node: &EntryNode, driver: &JobDriver) -> bool {
    let placement = job_placement(node, driver);
    if placement.allowed_zones().is_none() {
        return true;
    }
    let routing = node.routing();
    let route = routing.as_ref().and_then(|routing| routing.select(&driver.spec.host, &driver.spec.path));
    let service = route.zip(driver.spec.items.first()).and_then(|(route, item)| route.service_for(&item.id));
    let Some(service) = service else { return false };
    let server_set = ServerSet::new(service.clone(), placement.placement());
    node.balancer.lock().unwrap().has_accepting_server(&server_set)
}

/// Records the end of a run. Called by the task of the run.
pub fn record_run_end(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, index: usize, kind: RunKind, end: RunEnd) {
    let mut runs = driver.runs.lock().unwrap();
    runs.remove(&(index, kind));
    let mut tracker = driver.tracker.lock().unwrap();
    let (is_complete, other) = match kind {
        RunKind::Primary => {
            let is_complete = tracker.end_run(node.now(), index, end);
            if end == RunEnd::NotRun {
                engine_memory::defer_oversize(node, driver, &mut tracker, index);
            }
            (is_complete, RunKind::Speculative)
        }
        RunKind::Speculative => (tracker.end_speculative(index, end), RunKind::Primary),
    };
    let is_finished = *tracker.phase(index) == ItemPhase::Finished;
    drop(tracker);
    // A complete text makes the item's other run redundant.
    let redundant = if is_complete || is_finished { runs.remove(&(index, other)) } else { None };
    if let Some(run) = redundant {
        run.handle.abort();
    }
    drop(runs);
    if is_finished || end == RunEnd::Failed {
        driver.wake_recorder.notify_one();
    }
    driver.wake.notify_one();
}
