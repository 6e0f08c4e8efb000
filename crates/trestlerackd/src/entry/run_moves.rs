//! Moves runs of items off slow engines.

use super::job_driver::JobDriver;
use super::node::EntryNode;
use super::{job_runs, suspects};
use crate::process::logs;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{FINAL_MOVE_SLOWNESS, MOVE_SLOWNESS, RunMove, ServerEntry, ServerNeed};
use trestlerack::request::RunEnd;
use trestlerack::version::RequestRoute;
use trestlerack::{Name, event};

/// Shortest time on an engine before a run is moved, so that its pace is known.
pub const MOVE_AGE: Duration = Duration::from_millis(600);

/// Moves a run off an engine that is slower than another one with a free place: the connection is
/// closed, which ends the work there, and the run goes on elsewhere. While items wait, only long
/// runs move, and those that a step waits for last. One run at each look, because one free place takes
/// one run only.
pub fn move_slow_run(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let now = node.now();
    let (running, last) = {
        let ledger = driver.ledger.lock().unwrap();
        let has_waiting = ledger.waiting(now).next().is_some();
        let last = ledger.final_groups();
        let is_final = |index: usize| last.contains(&driver.spec.items[index].group);
        let mut running: Vec<(usize, Name)> = ledger.running();
        running.retain(|(index, _)| !has_waiting || ledger.is_long(*index) || is_final(*index));
        (running, last)
    };
    let least = if last.is_empty() { MOVE_SLOWNESS } else { FINAL_MOVE_SLOWNESS };
    let slow = slow_engines(node, route, &running, least);
    for (index, engine) in running {
        if !slow.contains(&engine) || suspects::is_suspect(node, driver.fingerprints[index]) {
            continue;
        }
        let Some((slowness, faster)) = worth_moving(node, driver, route, index, &engine, &last) else { continue };
        let Some(run) = driver.take_run(now, index) else { continue };
        run.abort();
        let mut ledger = driver.ledger.lock().unwrap();
        ledger.end_run(now, index, RunEnd::Broken);
        job_runs::start_run(node, driver, &mut ledger, index, faster);
        drop(ledger);
        let item = &driver.spec.items[index].id;
        let slowness = format!("{slowness:.1}");
        logs::write(event::RUN_MOVED, &[("item", item), ("engine", &engine), ("slowness", &slowness)]);
        return;
    }
}

/// Returns the engines of runs that are slow enough for another one to be worth a move. Most looks find
/// none, and looking for a place for each run costs more.
fn slow_engines(node: &EntryNode, route: &RequestRoute, running: &[(usize, Name)], least: f64) -> HashSet<Name> {
    let engines: HashSet<Name> = running.iter().map(|(_, engine)| engine.clone()).collect();
    let balancer = node.balancer.lock().unwrap();
    let services = route.shares.iter().map(|share| &share.service);
    services.flat_map(|service| balancer.slow_servers(node.now(), service, least, &engines)).collect()
}

/// Returns how slow the engine of a run is and another one with a free place that is much faster.
fn worth_moving(
    node: &EntryNode,
    driver: &JobDriver,
    route: &RequestRoute,
    index: usize,
    engine: &Name,
    last: &HashSet<Name>,
) -> Option<(f64, ServerEntry)> {
    let (pinned, is_long, remaining_events) = {
        let ledger = driver.ledger.lock().unwrap();
        (ledger.pinned_version(index), ledger.is_long(index), ledger.remaining_events(index))
    };
    let balancer = node.balancer.lock().unwrap();
    let now = node.now();
    let slowness = balancer.slowness(now, engine);
    let item = &driver.spec.items[index];
    let is_final = last.contains(&item.group);
    let model = driver.spec.model_of(item);
    let need = job_runs::item_need(node, driver, route, index, model.as_deref())?;
    let avoid = std::slice::from_ref(engine);
    let need = ServerNeed { pinned_version: pinned, is_long: is_long || is_final, avoid, ..need };
    let other = balancer.choose(now, &need)?;
    let run_move = RunMove {
        slowness,
        other_slowness: balancer.slowness(now, &other.entry.instance),
        event_gap: Duration::from_secs_f64(balancer.median_pace(now, need.service) / 1_000.0),
        remaining_events,
        is_final,
    };
    run_move.is_worth().then(|| (slowness, other.entry.clone()))
}
