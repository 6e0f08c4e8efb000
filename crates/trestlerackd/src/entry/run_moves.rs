//! Moves runs of items from slow engines to faster ones.

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

/// Shortest time that a run stays on its engine before it may be moved, so that its pace is known.
pub const MIN_MOVE_AGE: Duration = Duration::from_millis(600);

/// Moves one run from a slow engine to a faster one with a free slot. Closing the connection ends the work at the
/// slow engine, and the run continues on the other one. While items wait, only long runs and runs of a step's
/// final groups move. Each check moves one run at most, because a free slot takes only one.
pub fn move_slow_run(node: &Arc<EntryNode>, driver: &Arc<JobDriver>, route: &RequestRoute) {
    let now = node.now();
    let (running, final_groups) = {
        let tracker = driver.tracker.lock().unwrap();
        let has_waiting = tracker.waiting(now).next().is_some();
        let final_groups = tracker.final_groups();
        let is_final = |index: usize| final_groups.contains(&driver.spec.items[index].group);
        let mut running: Vec<(usize, Name)> = tracker.running();
        running.retain(|(index, _)| !has_waiting || tracker.is_long(*index) || is_final(*index));
        (running, final_groups)
    };
    let min_slowness = if final_groups.is_empty() { MOVE_SLOWNESS } else { FINAL_MOVE_SLOWNESS };
    let slow = slow_engines(node, route, &running, min_slowness);
    for (index, engine) in running {
        if !slow.contains(&engine) || suspects::is_suspect(node, driver.fingerprints[index]) {
            continue;
        }
        let Some((slowness, faster)) = faster_engine(node, driver, route, index, &engine, &final_groups) else {
            continue;
        };
        let Some(run) = driver.take_movable_run(now, index) else { continue };
        run.abort();
        let mut tracker = driver.tracker.lock().unwrap();
        tracker.end_run(now, index, RunEnd::Broken);
        job_runs::start_run(node, driver, &mut tracker, index, faster);
        drop(tracker);
        let item = &driver.spec.items[index].id;
        let slowness = format!("{slowness:.1}");
        logs::write(event::RUN_MOVED, &[("item", item), ("engine", &engine), ("slowness", &slowness)]);
        return;
    }
}

/// Returns the engines of the runs that are slow enough for a move. Most checks find none, and this is cheaper
/// than searching a free slot for each run.
fn slow_engines(node: &EntryNode, route: &RequestRoute, running: &[(usize, Name)], min_slowness: f64) -> HashSet<Name> {
    let engines: HashSet<Name> = running.iter().map(|(_, engine)| engine.clone()).collect();
    let balancer = node.balancer.lock().unwrap();
    let services = route.shares.iter().map(|share| &share.service);
    services.flat_map(|service| balancer.slow_servers(node.now(), service, min_slowness, &engines)).collect()
}

/// Returns the slowness of a run's engine and a much faster engine with a free slot, if a move is worthwhile.
fn faster_engine(
    node: &EntryNode,
    driver: &JobDriver,
    route: &RequestRoute,
    index: usize,
    engine: &Name,
    final_groups: &HashSet<Name>,
) -> Option<(f64, ServerEntry)> {
    let (pinned_version, is_long, remaining_events) = {
        let tracker = driver.tracker.lock().unwrap();
        (tracker.pinned_version(index), tracker.is_long(index), tracker.remaining_events(index))
    };
    let placement = job_runs::job_placement(node, driver);
    let balancer = node.balancer.lock().unwrap();
    let now = node.now();
    let slowness = balancer.slowness(now, engine);
    let item = &driver.spec.items[index];
    let is_final = final_groups.contains(&item.group);
    let model = driver.spec.model_of(item);
    let need = job_runs::item_need(node, driver, route, index, model.as_deref(), &placement)?;
    let avoid = std::slice::from_ref(engine);
    let need = ServerNeed { pinned_version, is_long: is_long || is_final, avoid, needs_warm: true, ..need };
    let target = balancer.choose(now, &need)?;
    let run_move = RunMove {
        slowness,
        other_slowness: balancer.slowness(now, &target.entry.instance),
        event_gap: Duration::from_secs_f64(balancer.median_pace(now, need.service) / 1_000.0),
        remaining_events,
        is_final,
    };
    run_move.is_worth().then(|| (slowness, target.entry.clone()))
}
