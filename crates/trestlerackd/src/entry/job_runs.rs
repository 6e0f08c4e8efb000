//! Places the items of a job on engines, moves runs and starts second ones.

use super::job_driver::{ItemRun, JobDriver};
use super::node::EntryNode;
use super::server_ticket::ServerTicket;
use super::{choice_log, item_run, suspects};
use crate::process::logs;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{ServerEntry, ServerNeed, ServerRoom};
use trestlerack::request::{ItemPhase, JobLedger, RequestFingerprint, RunEnd, RunLane};
use trestlerack::version::RequestRoute;
use trestlerack::{Name, event};

/// How many times slower than another one with a free place an engine must be for its runs to be
/// moved. Engines of one service differ by 1.3 (measured pace, 41 and 52 ms an event); a move costs
/// some 40 ms.
const MOVE_SLOWNESS: f64 = 1.2;

/// Shortest time on an engine before a run is moved, so that its pace is known.
pub const MOVE_AGE: Duration = Duration::from_millis(600);

/// Time after which a held item is looked at again; a whole answer elsewhere may end the hold.
const HELD_PAUSE: Duration = Duration::from_millis(250);

/// Starts the items that wait, as far as there are engines with free places for them.
pub fn place_items(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let now = node.now();
    let mut left = node.held.runs_left(now, || runs_of_node(node));
    let mut ledger = driver.ledger.lock().unwrap();
    let waiting: Vec<usize> = ledger.waiting(now).collect();
    for (placed, index) in waiting.iter().copied().enumerate() {
        let item = &driver.spec.items[index];
        if hold_back(node, driver, &mut ledger, index) {
            continue;
        }
        let Some(service) = route.service_for(&item.id) else { return };
        let model = driver.spec.model_of(item);
        let mut need = ServerNeed {
            service,
            weights: model.as_deref().map(|model| (model, driver.spec.min_version)),
            pinned: ledger.pinned_version(index),
            room: ServerRoom::Place,
            is_long: ledger.is_long(index),
            zone: &node.settings.zone,
            tie_key: &node.settings.name,
            ..ServerNeed::default()
        };
        let board = node.board.lock().unwrap();
        if need.pinned.is_some() && board.count(now, &need) == 0 {
            // Nobody holds that version any more.
            ledger.restart(index);
            need.pinned = None;
        }
        drop(board);
        let (entry, is_apart) = choose_engine(node, driver.fingerprints[index], &need);
        match entry {
            // The item waits until what is held leaves room for its text.
            Some(_) if left == 0 => return,
            Some(entry) => {
                left -= 1;
                start_run(node, driver, &mut ledger, index, entry);
            }
            // Others may find a place all the same.
            None if need.pinned.is_some() || is_apart => {}
            None => {
                drop(ledger);
                return yield_spares(node, driver, waiting.len() - placed);
            }
        }
    }
}

/// Returns how many runs this node has in progress.
fn runs_of_node(node: &EntryNode) -> usize {
    let drivers: Vec<Arc<JobDriver>> = node.drivers.lock().unwrap().values().cloned().collect();
    drivers.iter().map(|driver| driver.runs.lock().unwrap().len()).sum()
}

/// Puts an item off whose content is held, or ended servers so lately that it is to be judged first.
/// Returns whether it does.
fn hold_back(node: &Arc<EntryNode>, driver: &JobDriver, ledger: &mut JobLedger, index: usize) -> bool {
    let fingerprint = driver.fingerprints[index];
    let wait = suspects::wait_time(node, fingerprint);
    if wait.is_zero() {
        return false;
    }
    ledger.put_off(index, node.now() + HELD_PAUSE.min(wait));
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
        node.board.lock().unwrap().choose(node.now(), need).map(|belief| belief.entry.clone())
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
    log_start(node, driver, index, lane, &engine);
    let ticket = ServerTicket::new(node, engine, driver.fingerprints[index]);
    let run = tokio::spawn(item_run::run(node.clone(), driver.clone(), index, lane, ticket));
    let run = ItemRun { handle: run.abort_handle(), started: node.now() };
    driver.runs.lock().unwrap().insert((index, lane), run);
}

fn log_start(node: &EntryNode, driver: &JobDriver, index: usize, lane: RunLane, engine: &ServerEntry) {
    let item = &driver.spec.items[index];
    let (lane, model) = (lane.as_str(), driver.spec.model_of(item));
    let about: [(&str, &dyn std::fmt::Display); 4] =
        [("lane", &lane), ("item", &item.id), ("job", &driver.spec.id), ("engine", &engine.instance)];
    choice_log::write_choice(node, event::RUN_STARTED, &about, engine, model.as_deref());
}

/// Starts a second run of an item that may not be whole before its client ends the job: on the
/// newest weights, from the beginning, while an engine has more than half of its places free and
/// nobody waits. A later
/// job that brings the item again and needs newer weights than the first run had then goes on from
/// the second one. One run at each look.
pub fn start_spare(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let Some(model) = driver.spec.model.clone().filter(|_| !route.single_version) else { return };
    let newest = node.targets.lock().unwrap().get(&model).copied().unwrap_or(0);
    if newest <= driver.spec.min_version || is_any_item_waiting(node) {
        return;
    }
    let mut ledger = driver.ledger.lock().unwrap();
    // A second run of a suspect would be one more engine that ends.
    let is_clear = |(index, _): &(usize, Name)| !suspects::is_suspect(node, driver.fingerprints[*index]);
    let Some((index, engine)) = ledger.spare_candidates(newest).into_iter().find(is_clear) else { return };
    let Some(service) = route.service_for(&driver.spec.items[index].id) else { return };
    let need = ServerNeed {
        service,
        weights: Some((&model, newest)),
        room: ServerRoom::Half,
        avoid: std::slice::from_ref(&engine),
        zone: &node.settings.zone,
        tie_key: &node.settings.name,
        ..ServerNeed::default()
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
pub fn move_slow_run(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let now = node.now();
    let running: Vec<(usize, Name)> = {
        let ledger = driver.ledger.lock().unwrap();
        let has_waiting = ledger.waiting(now).next().is_some();
        let mut running = ledger.running();
        running.retain(|(index, _)| !has_waiting || ledger.is_long(*index));
        running
    };
    let slow = slow_engines(node, route, &running);
    for (index, engine) in running {
        if !slow.contains(&engine) || suspects::is_suspect(node, driver.fingerprints[index]) {
            continue;
        }
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

/// Returns the engines of runs that are slow enough for another one to be worth a move. Most looks find
/// none; looking for a place for each of 200 runs took 0.5 ms each before 3,000 engines.
fn slow_engines(node: &EntryNode, route: &RequestRoute, running: &[(usize, Name)]) -> HashSet<Name> {
    let engines: HashSet<Name> = running.iter().map(|(_, engine)| engine.clone()).collect();
    let board = node.board.lock().unwrap();
    let services = route.shares.iter().map(|share| &share.service);
    services.flat_map(|service| board.slow_among(node.now(), service, MOVE_SLOWNESS, &engines)).collect()
}

/// Returns how slow the engine of a run is and another one with a free place that is much faster.
fn worth_moving(
    node: &EntryNode,
    driver: &JobDriver,
    route: &RequestRoute,
    index: usize,
    engine: &Name,
) -> Option<(f64, ServerEntry)> {
    let (pinned, is_long) = {
        let ledger = driver.ledger.lock().unwrap();
        (ledger.pinned_version(index), ledger.is_long(index))
    };
    let board = node.board.lock().unwrap();
    let now = node.now();
    let slowness = board.slowness(now, engine);
    let item = &driver.spec.items[index];
    let model = driver.spec.model_of(item);
    let need = ServerNeed {
        service: route.service_for(&item.id)?,
        weights: model.as_deref().map(|model| (model, driver.spec.min_version)),
        pinned,
        room: ServerRoom::Place,
        is_long,
        avoid: std::slice::from_ref(engine),
        zone: &node.settings.zone,
        tie_key: &node.settings.name,
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
