//! Randomized soak test: several daemon processes, faults injected from outside them, and guarantees
//! checked by what clients and servers observe.
//!
//! By default it runs fixed seeds and the regression seeds. `TRESTLERACK_SOAK_SEEDS` adds a number of
//! random seeds, and `TRESTLERACK_SOAK_SEED` runs only the given seed; see
//! [docs/OPERATIONS.md](../../../../../docs/OPERATIONS.md#the-fault-soak).

mod checks;
mod clients;
mod cluster;
mod fatal;
mod faults;
pub mod link;
mod placement;
mod readers;
mod slow;

use clients::ClientRecords;
use cluster::SoakCluster;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Number of daemon processes.
const NODES: usize = 4;

/// Time for which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(9);

/// Number of concurrent series of faults.
const SERIES: u64 = 2;

/// Seeds that every run uses: one with which all nodes follow the store, and one with which some poll a follower.
const FIXED_SEEDS: [u64; 2] = [1, 2];

/// Seeds that violated a guarantee once, one per line, each with its cause.
const REGRESSIONS: &str = include_str!("regressions.txt");

/// Runs one seed and returns the violations.
fn run_seed(seed: u64) -> Vec<String> {
    let cluster = SoakCluster::start(seed, NODES);
    let records = Arc::new(ClientRecords::default());
    let random = |stream: u64| Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(stream));
    let until = Instant::now() + FAULT_TIME;
    std::thread::scope(|scope| {
        let (cluster, records) = (&cluster, &*records);
        let series: Vec<_> = (0..SERIES)
            .map(|number| scope.spawn(move || faults::run_series(cluster, random(100 + number), until)))
            .collect();
        for (stream, path) in [(1, "/safe/"), (2, "/safe/"), (3, "/once/"), (4, "/once/")] {
            scope.spawn(move || clients::send_requests(cluster, records, random(stream), path));
        }
        scope.spawn(move || clients::read_streams(cluster, records, random(5)));
        // Separate random streams, so that the other series draw the same values for a seed as without them.
        let suspensions = scope.spawn(move || faults::run_suspensions(cluster, random(110), until));
        scope.spawn(move || fatal::send_fatal(cluster, random(8)));
        scope.spawn(move || fatal::send_bystanders(cluster, records, random(9)));
        scope.spawn(move || fatal::send_bystanders(cluster, records, random(10)));
        scope.spawn(move || slow::send_slowly(cluster, records, random(11)));
        scope.spawn(move || slow::read_slowly(cluster, records, random(12)));
        scope.spawn(move || clients::run_trainer(cluster, records, random(6), true));
        scope.spawn(move || clients::run_trainer(cluster, records, random(7), false));
        scope.spawn(move || readers::read_jobs(cluster, records, random(13)));
        scope.spawn(move || readers::read_jobs(cluster, records, random(14)));
        for node in 0..NODES {
            scope.spawn(move || placement::send_requests(cluster, random(20 + node as u64), node));
        }
        scope.spawn(move || placement::write_heartbeats(cluster));
        let restarts = scope.spawn(move || placement::run_restarts(cluster, random(111), until));
        let evacuation = scope.spawn(move || placement::run_evacuation(cluster, random(112)));
        let ends: Vec<_> =
            series.into_iter().chain([suspensions, restarts, evacuation]).map(|series| series.join()).collect();
        if ends.iter().all(Result::is_ok) {
            checks::all_nodes_recover(cluster);
        }
        // Clients run until this flag is set, also when a fault series panicked.
        cluster.is_over.store(true, Ordering::SeqCst);
        ends.into_iter().for_each(|end| end.expect("a series of faults"));
    });
    checks::open_jobs_complete(&cluster, &records);
    fatal::fatal_content_is_blocked(&cluster);
    checks::check_guarantees(&cluster, &records);
    placement::check_limits(&cluster);
    slow::incomplete_uploads_never_ran(&cluster, &records);
    report(&cluster, &records, seed)
}

fn report(cluster: &SoakCluster, records: &ClientRecords, seed: u64) -> Vec<String> {
    let violations = cluster.violations();
    let (served, jobs) = (records.served.load(Ordering::SeqCst), records.jobs.lock().unwrap().len());
    let slow = records.slow.lock().unwrap().len();
    println!("seed {seed}: {served} served, {slow} slow, {jobs} jobs, {} broken", violations.len());
    if violations.is_empty() {
        // Logs are kept only for a seed with violations.
        let _ = std::fs::remove_dir_all(&cluster.logs);
    } else {
        println!("logs: {}", cluster.logs.display());
        cluster.disturbance_log().iter().chain(&violations).for_each(|line| println!("  {line}"));
    }
    violations
}

fn number_from(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().unwrap_or_else(|_| panic!("{name} is not a number: {text}")))
}

fn seeds() -> Vec<u64> {
    if let Some(seed) = number_from("TRESTLERACK_SOAK_SEED") {
        return vec![seed];
    }
    let fresh = number_from("TRESTLERACK_SOAK_SEEDS").unwrap_or(0);
    let regressions =
        REGRESSIONS.lines().filter(|line| !line.starts_with('#')).filter_map(|line| line.split(':').next());
    let regressions = regressions.map(|seed| seed.trim().parse().expect("a seed"));
    let fresh = (0..fresh).map(|_| rand::random::<u64>() % 1_000_000_000);
    FIXED_SEEDS.into_iter().chain(regressions).chain(fresh).collect()
}

#[test]
fn guarantees_hold_under_faults() {
    let broken: Vec<(u64, Vec<String>)> =
        seeds().into_iter().map(|seed| (seed, run_seed(seed))).filter(|(_, broken)| !broken.is_empty()).collect();
    assert!(broken.is_empty(), "broken: {broken:#?}");
}
