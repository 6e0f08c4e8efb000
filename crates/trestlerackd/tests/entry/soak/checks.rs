//! Checks after the last fault of a soak.

use super::super::support::*;
use super::clients::{ClientRecords, NOT_RUN, read_job};
use super::cluster::{HANDOVER, SoakCluster};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{HashMap, HashSet};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time within which all nodes must serve again after the last fault.
const RECOVERY: Duration = Duration::from_secs(12);

/// Time after the acknowledged end of a job after which none of its items may start.
const CANCEL_TIME: Duration = Duration::from_secs(3);

/// Time after a pause or a broken link within which a delayed order may arrive.
const DELAYED_ARRIVAL: Duration = Duration::from_millis(300);

/// Time before the arrival of an order in which a pause of its sender may have delayed it.
const SEND_TIME: Duration = Duration::from_millis(800);

/// Waits until every node is ready and serves.
pub fn all_nodes_recover(cluster: &SoakCluster) {
    let until = Instant::now() + RECOVERY;
    for (number, node) in cluster.nodes.iter().enumerate() {
        let ready = cluster.daemon(number).ready.clone();
        let serves = || {
            let is_ready =
                call(&ready, "GET", "/trestlerack/ready", &[], "").is_some_and(|answer| answer.status == 200);
            let id = cluster.new_id("final");
            let answer = call(&node.client, "POST", "/safe/x", &[("request-id", &id)], "final");
            is_ready && answer.is_some_and(|answer| answer.status == 200)
        };
        while !serves() {
            if Instant::now() >= until {
                cluster.violation(format!("node {number} does not serve {RECOVERY:?} after the last fault"));
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        if !cluster.daemon(number).is_running() {
            cluster.violation(format!("node {number} exited by itself"));
        }
    }
}

/// Reads all results of every job that was accepted and not ended, at random nodes.
pub fn open_jobs_complete(cluster: &SoakCluster, records: &ClientRecords) {
    let open: Vec<String> = {
        let jobs = records.jobs.lock().unwrap();
        let is_open = |job: &&super::clients::SoakJob| job.accepted_at.is_some() && job.ended_at.is_none();
        jobs.iter().filter(|(_, job)| is_open(job)).map(|(id, _)| id.clone()).collect()
    };
    let mut random = Pcg64Mcg::seed_from_u64(0);
    let until = Instant::now() + RECOVERY;
    for job in open {
        if !read_job(cluster, records, &mut random, &job, until) {
            cluster.violation(format!("{job} is not complete {RECOVERY:?} after the last fault"));
        }
    }
}

/// Compares the runs that servers recorded with the responses that clients got.
pub fn check_guarantees(cluster: &SoakCluster, records: &ClientRecords) {
    // Without served requests and jobs the checks would pass trivially.
    if records.served.load(Ordering::SeqCst) == 0 || records.jobs.lock().unwrap().is_empty() {
        cluster.violation("nothing was served".to_owned());
    }
    check_once_requests(cluster, records);
    check_jobs(cluster, records);
    check_orders(cluster);
}

fn check_once_requests(cluster: &SoakCluster, records: &ClientRecords) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for id in cluster.platform.plain.runs.lock().unwrap().iter() {
        *runs.entry(id.clone()).or_default() += 1;
    }
    for outcome in records.once.lock().unwrap().iter() {
        let ran = runs.get(&outcome.id).copied().unwrap_or(0);
        if ran > 1 {
            cluster.violation(format!("{} ran {ran} times", outcome.id));
        }
        if ran > 0 && outcome.status.is_some_and(|status| NOT_RUN.contains(&status)) {
            cluster.violation(format!("{} was rejected as not run with {:?} and ran", outcome.id, outcome.status));
        }
    }
}

fn check_jobs(cluster: &SoakCluster, records: &ClientRecords) {
    let last_runs = cluster.platform.engine.last_runs.lock().unwrap();
    let jobs = records.jobs.lock().unwrap();
    for (id, job) in jobs.iter() {
        let own = format!("{id}-item-");
        let last = last_runs.iter().filter(|(item, _)| item.starts_with(&own)).map(|(_, at)| *at).max();
        let Some(last) = last else { continue };
        if job.is_rejected {
            cluster.violation(format!("{id} ran although every submission was rejected"));
        }
        let is_late = job.ended_at.is_some_and(|ended| last > ended + CANCEL_TIME);
        let ended = job.ended_at.unwrap_or(last);
        // The node that drove the job is not known, and it may have been paused or cut off meanwhile.
        let was_undisturbed =
            (0..cluster.nodes.len()).all(|node| cluster.was_undisturbed(node, ended, last, CANCEL_TIME, true));
        if is_late && was_undisturbed {
            cluster.violation(format!("an item of {id} started {:?} after its end", last - ended));
        }
    }
}

fn check_orders(cluster: &SoakCluster) {
    let orders = cluster.platform.engine.orders.lock().unwrap();
    let engines: HashSet<&String> = orders.iter().map(|order| &order.engine).collect();
    for engine in engines {
        let taken: Vec<&EngineOrder> = orders
            .iter()
            .filter(|order| order.engine == *engine)
            // Orders that were delayed on the way are ignored: engines that check fencing tokens reject them.
            .filter(|order| !was_delayed(cluster, order))
            .collect();
        for pair in taken.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            let is_same = before.holder == after.holder;
            let gap = after.at - before.at;
            if after.fence < before.fence || (after.fence == before.fence && !is_same) || (!is_same && gap < HANDOVER) {
                cluster.violation(format!("{engine} accepted {after:?} {gap:?} after {before:?}"));
            }
        }
    }
}

fn was_delayed(cluster: &SoakCluster, order: &EngineOrder) -> bool {
    let number = order.holder.trim_start_matches('n').parse().unwrap();
    cluster.recovered_recently(number, order.at, DELAYED_ARRIVAL)
        && !cluster.was_undisturbed(number, order.at - SEND_TIME, order.at, DELAYED_ARRIVAL, true)
}
