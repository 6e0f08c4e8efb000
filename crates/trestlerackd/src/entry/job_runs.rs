//! Places the items of a job on engines and starts second runs.

use super::item_run::{self, RunStart};
use super::job_driver::{ItemRun, JobDriver};
use super::node::EntryNode;
use super::server_ticket::ServerTicket;
use super::{choice_log, engine_memory, suspects, urgency};
use crate::process::logs;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{ServerEntry, ServerNeed, SlotNeed};
use trestlerack::request::{ItemPhase, JobTracker, RequestFingerprint, RunEnd, RunKind};
use trestlerack::version::{RequestRoute, RoutingTable};
use trestlerack::{Name, event};

/// Time after which a held item is looked at again; a whole answer elsewhere may end the hold.
const HELD_PAUSE: Duration = Duration::from_millis(250);

/// Starts waiting items on engines with free places, after those of earlier jobs of the same model and
/// customer. Without this order, a job would reuse every place that its own runs free, and an earlier job,
/// whose results a trainer needs first, could starve.
pub fn place_items(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, routing: &RoutingTable) {
    for job in earlier_jobs(node, driver).iter().chain([driver]) {
        if let Some(route) = routing.select(&job.spec.host, &job.spec.path) {
            place_job_items(node, job, route);
        }
    }
}

/// Returns the drivers on this node of jobs of the same model and customer accepted before this one, oldest
/// first. Jobs whose ledger is not loaded yet are skipped.
fn earlier_jobs(node: &EntryNode, driver: &JobDriver) -> Vec<Arc<JobDriver>> {
    if driver.spec.model.is_none() {
        return Vec::new();
    }
    let acceptance_order = |job: &JobDriver| (job.accepted_ms, job.spec.id.clone());
    let driver_order = acceptance_order(driver);
    let is_earlier = |job: &&Arc<JobDriver>| {
        job.spec.model == driver.spec.model
            && job.customer == driver.customer
            && job.can_place_items()
            && acceptance_order(job) < driver_order
    };
    let drivers = node.drivers.lock().unwrap();
    let mut earlier: Vec<Arc<JobDriver>> = drivers.values().filter(is_earlier).cloned().collect();
    drop(drivers);
    earlier.sort_by_key(|job| acceptance_order(job));
    earlier
}

fn place_job_items(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let now = node.now();
    let mut left = node.resource_limits.runs_left(now, || runs_of_node(node));
    let mut ledger = driver.ledger.lock().unwrap();
    let waiting: Vec<usize> = ledger.waiting(now).collect();
    if waiting.is_empty() {
        return;
    }
    let last = ledger.final_groups();
    for (placed, index) in waiting.iter().copied().enumerate() {
        let item = &driver.spec.items[index];
        if hold_back(node, driver, &mut ledger, index) {
            continue;
        }
        let model = driver.spec.model_of(item);
        let Some(need) = item_need(node, driver, route, index, model.as_deref()) else { return };
        let is_long = ledger.is_long(index) || last.contains(&item.group);
        let mut need = ServerNeed { pinned_version: ledger.pinned_version(index), is_long, ..need };
        let balancer = node.balancer.lock().unwrap();
        if need.pinned_version.is_some() && balancer.count_eligible(now, &need) == 0 {
            // Nobody holds that version any more.
            ledger.discard_text(index);
            need.pinned_version = None;
        }
        drop(balancer);
        let (entry, is_apart) = choose_engine(node, driver.fingerprints[index], &need);
        engine_memory::log_left(node, &item.id, &need);
        let is_oversize = engine_memory::is_oversize(node, driver, index, need.service);
        match entry {
            // The item waits until what is held leaves room for its text.
            Some(_) if left == 0 => return,
            Some(entry) => {
                left -= 1;
                start_run(node, driver, &mut ledger, index, entry);
            }
            // Others may find a place all the same.
            None if is_oversize => node.balancer.lock().unwrap().reserve_engine(now, &need),
            None if need.pinned_version.is_some() || is_apart => {}
            None => {
                drop(ledger);
                return yield_spares(node, driver, waiting.len() - placed);
            }
        }
    }
}

/// Returns what an item of `model` needs of an engine, as far as its job and its route say; `None` if its
/// route leads nowhere.
pub fn item_need<'a>(
    node: &'a EntryNode,
    driver: &'a JobDriver,
    route: &'a RequestRoute,
    index: usize,
    model: Option<&'a str>,
) -> Option<ServerNeed<'a>> {
    Some(ServerNeed {
        service: route.service_for(&driver.spec.items[index].id)?,
        weights: model.map(|model| (model, driver.spec.min_version)),
        slot_need: SlotNeed::One,
        tokens: driver.tokens[index].as_ref(),
        zone: &node.settings.zone,
        tie_key: &node.settings.name,
        ..ServerNeed::default()
    })
}

/// Returns how many runs this node has in progress.
fn runs_of_node(node: &EntryNode) -> usize {
    let drivers: Vec<Arc<JobDriver>> = node.drivers.lock().unwrap().values().cloned().collect();
    drivers.iter().map(|driver| driver.runs.lock().unwrap().len()).sum()
}

/// Puts an item off whose content is held, or ended servers so lately that it is to be judged first.
/// Returns whether it does.
fn hold_back(node: &Arc<EntryNode>, driver: &JobDriver, ledger: &mut JobTracker, index: usize) -> bool {
    let fingerprint = driver.fingerprints[index];
    let wait = suspects::wait_time(node, fingerprint);
    if wait.is_zero() {
        return false;
    }
    ledger.defer(index, node.now() + HELD_PAUSE.min(wait));
    let Some(left) = suspects::held_for(node, fingerprint) else { return true };
    if driver.held.lock().unwrap().insert(index) {
        suspects::log_held(node, &driver.spec.items[index].id, fingerprint, left);
    }
    true
}

/// Chooses an engine for an item, and says whether that has to be one without other suspects. An item
/// that was there at one end only goes anywhere: with each engine that ends, a dozen others are.
fn choose_engine(
    node: &EntryNode,
    fingerprint: RequestFingerprint,
    need: &ServerNeed<'_>,
) -> (Option<ServerEntry>, bool) {
    let is_apart = suspects::is_repeated(node, fingerprint);
    let entry = if is_apart {
        suspects::choose_apart(node, fingerprint, need)
    } else {
        node.balancer.lock().unwrap().choose(node.now(), need).map(|server| server.entry.clone())
    };
    (entry, is_apart)
}

/// Ends as many second runs of the model's jobs as items wait without a place: a second run only
/// saves work of a later job, and an item that waits holds up its own.
fn yield_spares(node: &Arc<EntryNode>, driver: &JobDriver, most: usize) {
    let drivers: Vec<Arc<JobDriver>> = node.drivers.lock().unwrap().values().cloned().collect();
    let mut left = most;
    for other in drivers.iter().filter(|other| other.spec.model == driver.spec.model) {
        left -= other.cancel_spares(left);
    }
    if left < most {
        let ended = most - left;
        logs::write(event::SPARES_YIELDED, &[("job", &driver.spec.id), ("waiting", &most), ("ended", &ended)]);
    }
}

/// Starts the run that is to bring an item's result.
pub fn start_run(
    node: &Arc<EntryNode>,
    driver: &Arc<JobDriver>,
    ledger: &mut JobTracker,
    index: usize,
    engine: ServerEntry,
) {
    let lane = RunKind::Primary;
    let rank = urgency::of_item(node, driver, ledger, &engine.service, index, lane);
    ledger.start(index, &engine.instance);
    spawn_run(node, driver, RunStart { index, lane, rank }, engine);
}

fn spawn_run(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, start: RunStart, engine: ServerEntry) {
    let RunStart { index, lane, .. } = start;
    log_start(node, driver, start, &engine);
    let ticket = ServerTicket::new(node, engine, driver.fingerprints[index]).holding(driver.tokens[index]);
    let run = tokio::spawn(item_run::run(node.clone(), driver.clone(), start, ticket));
    let run = ItemRun { handle: run.abort_handle(), started: node.now() };
    driver.runs.lock().unwrap().insert((index, lane), run);
}

fn log_start(node: &EntryNode, driver: &JobDriver, start: RunStart, engine: &ServerEntry) {
    let item = &driver.spec.items[start.index];
    let (lane, model) = (start.lane.as_str(), driver.spec.model_of(item));
    let rank = start.rank.map_or_else(|| "none".to_owned(), |rank| rank.to_string());
    let about: [(&str, &dyn std::fmt::Display); 5] =
        [("lane", &lane), ("item", &item.id), ("job", &driver.spec.id), ("engine", &engine.instance), ("rank", &rank)];
    choice_log::write_choice(node, event::RUN_STARTED, &about, engine, model.as_deref());
}

/// Starts a second run of an item that may not be whole before its client ends the job: on the
/// newest weights, from the beginning, while an engine has more than half of its places free and
/// nobody waits. A later
/// job that brings the item again and needs newer weights than the first run had then goes on from
/// the second one. One run at each look.
pub fn start_spare(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let Some(model) = driver.spec.model.clone().filter(|_| !route.single_version) else { return };
    let newest = node.weights.newest_version(&model);
    if newest <= driver.spec.min_version || is_any_item_waiting(node) {
        return;
    }
    let mut ledger = driver.ledger.lock().unwrap();
    // A second run of a suspect would be one more engine that ends.
    let is_clear = |(index, _): &(usize, Name)| !suspects::is_suspect(node, driver.fingerprints[*index]);
    let Some((index, engine)) = ledger.speculation_candidates(newest).into_iter().find(is_clear) else { return };
    let Some(need) = item_need(node, driver, route, index, Some(&model)) else { return };
    let avoid = std::slice::from_ref(&engine);
    let need = ServerNeed { weights: Some((&model, newest)), slot_need: SlotNeed::HalfFree, avoid, ..need };
    let entry = node.balancer.lock().unwrap().choose(node.now(), &need).map(|server| server.entry.clone());
    let Some(entry) = entry else { return };
    let lane = RunKind::Speculative;
    let rank = urgency::of_item(node, driver, &ledger, &entry.service, index, lane);
    ledger.start_speculative(index, &entry.instance);
    drop(ledger);
    spawn_run(node, driver, RunStart { index, lane, rank }, entry);
}

fn is_any_item_waiting(node: &EntryNode) -> bool {
    let now = node.now();
    let drivers: Vec<Arc<JobDriver>> = node.drivers.lock().unwrap().values().cloned().collect();
    drivers.iter().any(|driver| driver.ledger.lock().unwrap().waiting(now).next().is_some())
}

/// Takes note of the end of a run, from the run's own task.
pub fn run_ended(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, index: usize, lane: RunKind, end: RunEnd) {
    let mut runs = driver.runs.lock().unwrap();
    runs.remove(&(index, lane));
    let mut ledger = driver.ledger.lock().unwrap();
    let (is_whole, other) = match lane {
        RunKind::Primary => {
            let is_whole = ledger.end_run(node.now(), index, end);
            if end == RunEnd::NotRun {
                engine_memory::put_off_oversize(node, driver, &mut ledger, index);
            }
            (is_whole, RunKind::Speculative)
        }
        RunKind::Speculative => (ledger.end_speculative(index, end), RunKind::Primary),
    };
    let is_settled = *ledger.phase(index) == ItemPhase::Finished;
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
