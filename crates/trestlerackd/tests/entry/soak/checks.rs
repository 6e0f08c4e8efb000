//! What is checked once the faults of a soak are over.

use super::super::support::*;
use super::clients::{Findings, NOT_RUN, read_job};
use super::cluster::{HANDOVER, World};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time in which all nodes serve again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time after the acknowledged end of a job from which none of its items may start.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// Time after a pause or a cut in which an order that was held up may arrive.
const THAW: Duration = Duration::from_millis(300);

/// Time before an order in which a pause of its sender may have held it up.
const ORDER_TIME: Duration = Duration::from_millis(800);

/// Waits until every node is ready and serves.
pub fn all_serve_again(world: &World) {
    let until = Instant::now() + RECOVERY;
    for (number, node) in world.nodes.iter().enumerate() {
        let ready = world.daemon(number).ready.clone();
        let serves = || {
            let is_ready =
                call(&ready, "GET", "/trestlerack/ready", &[], "").is_some_and(|answer| answer.status == 200);
            let id = world.new_id("final");
            let answer = call(&node.client, "POST", "/safe/x", &[("request-id", &id)], "final");
            is_ready && answer.is_some_and(|answer| answer.status == 200)
        };
        while !serves() {
            if Instant::now() >= until {
                world.violation(format!("node {number} does not serve {RECOVERY:?} after the last fault"));
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        if !world.daemon(number).is_running() {
            world.violation(format!("node {number} ended by itself"));
        }
    }
}

/// Reads every job that was accepted and not ended to its last result, at any nodes.
pub fn open_jobs_end(world: &World, findings: &Findings) {
    let open: Vec<String> = {
        let jobs = findings.jobs.lock().unwrap();
        let is_open = |job: &&super::clients::SoakJob| job.accepted_at.is_some() && job.ended_at.is_none();
        jobs.iter().filter(|(_, job)| is_open(job)).map(|(id, _)| id.clone()).collect()
    };
    let mut random = Pcg64Mcg::seed_from_u64(0);
    let until = Instant::now() + RECOVERY;
    for job in open {
        if !read_job(world, findings, &mut random, &job, until) {
            world.violation(format!("{job} is not whole {RECOVERY:?} after the last fault"));
        }
    }
}

/// Checks what servers saw against what clients were told.
pub fn promises_held(world: &World, findings: &Findings) {
    // A soak that serves nothing checks nothing.
    if findings.served.load(Ordering::SeqCst) == 0 || findings.jobs.lock().unwrap().is_empty() {
        world.violation("nothing was served".to_owned());
    }
    requests_ran_at_most_once(world, findings);
    jobs_were_run_as_told(world, findings);
    orders_had_one_holder(world);
}

fn requests_ran_at_most_once(world: &World, findings: &Findings) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for id in world.platform.plain.runs.lock().unwrap().iter() {
        *runs.entry(id.clone()).or_default() += 1;
    }
    for outcome in findings.once.lock().unwrap().iter() {
        let ran = runs.get(&outcome.id).copied().unwrap_or(0);
        if ran > 1 {
            world.violation(format!("{} ran {ran} times", outcome.id));
        }
        if ran > 0 && outcome.status.is_some_and(|status| NOT_RUN.contains(&status)) {
            world.violation(format!("{} was refused as not run with {:?} and ran", outcome.id, outcome.status));
        }
    }
}

fn jobs_were_run_as_told(world: &World, findings: &Findings) {
    let last_runs = world.platform.engine.last_runs.lock().unwrap();
    let jobs = findings.jobs.lock().unwrap();
    for (id, job) in jobs.iter() {
        let own = format!("{id}-item-");
        let last = last_runs.iter().filter(|(item, _)| item.starts_with(&own)).map(|(_, at)| *at).max();
        let Some(last) = last else { continue };
        if job.is_refused {
            world.violation(format!("{id} was refused at each try and ran"));
        }
        let is_late = job.ended_at.is_some_and(|ended| last > ended + CANCEL_TIME);
        let ended = job.ended_at.unwrap_or(last);
        // The node that drove the job may have been cut off or paused meanwhile, whichever it was.
        let was_calm = (0..world.nodes.len()).all(|node| world.was_calm(node, ended, last, CANCEL_TIME, true));
        if is_late && was_calm {
            world.violation(format!("an item of {id} started {:?} after its end", last - ended));
        }
    }
}

fn orders_had_one_holder(world: &World) {
    let orders = world.platform.engine.orders.lock().unwrap();
    let engines: HashSet<&String> = orders.iter().map(|order| &order.engine).collect();
    for engine in engines {
        let taken: Vec<&EngineOrder> = orders
            .iter()
            .filter(|order| order.engine == *engine)
            // One that was held up on its way is refused where engines check fences.
            .filter(|order| !was_held_up(world, order))
            .collect();
        for pair in taken.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            let is_same = before.holder == after.holder;
            let gap = after.at - before.at;
            if after.fence < before.fence || (after.fence == before.fence && !is_same) || (!is_same && gap < HANDOVER) {
                world.violation(format!("{engine} took {after:?} {gap:?} after {before:?}"));
            }
        }
    }
}

fn was_held_up(world: &World, order: &EngineOrder) -> bool {
    let number = order.holder.trim_start_matches('n').parse().unwrap();
    world.just_woke(number, order.at, THAW) && !world.was_calm(number, order.at - ORDER_TIME, order.at, THAW, true)
}
