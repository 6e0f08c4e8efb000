//! A randomized soak: the daemon as several processes on this machine, faults injected from
//! outside them, and the promises checked by what callers and servers see.
//!
//! A short run with a fixed seed is part of the tests. By hand, `TRESTLERACK_SOAK_SEEDS` gives a
//! number of fresh seeds and `TRESTLERACK_SOAK_SEED` one seed to play again;
//! [docs/OPERATIONS.md](../../../../../docs/OPERATIONS.md#the-fault-soak) tells more.

mod checks;
mod clients;
mod cluster;
mod fatal;
mod faults;
mod link;
mod slow;

use clients::Findings;
use cluster::World;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Processes of the daemon in one soak.
const NODES: usize = 4;

/// Time in which faults are injected.
const FAULT_TIME: Duration = Duration::from_secs(9);

/// Series of faults that overlap.
const SERIES: u64 = 2;

/// The seed that every run of the tests plays.
const FIXED_SEED: u64 = 1;

/// Seeds that broke a promise once, one to a line, each with its cause.
const REGRESSIONS: &str = include_str!("regressions.txt");

/// Plays one seed and returns what was broken.
fn play(seed: u64) -> Vec<String> {
    let world = World::start(seed, NODES);
    let findings = Arc::new(Findings::default());
    let random = |stream: u64| Pcg64Mcg::seed_from_u64(seed.wrapping_mul(1_000).wrapping_add(stream));
    let until = Instant::now() + FAULT_TIME;
    std::thread::scope(|scope| {
        let (world, findings) = (&world, &*findings);
        let series: Vec<_> = (0..SERIES)
            .map(|number| scope.spawn(move || faults::run_series(world, random(100 + number), until)))
            .collect();
        for (stream, path) in [(1, "/safe/"), (2, "/safe/"), (3, "/once/"), (4, "/once/")] {
            scope.spawn(move || clients::send_requests(world, findings, random(stream), path));
        }
        scope.spawn(move || clients::read_streams(world, findings, random(5)));
        // Series of their own, so that the seeds draw the same from the others as before.
        let suspensions = scope.spawn(move || faults::run_suspensions(world, random(110), until));
        scope.spawn(move || fatal::send_fatal(world, random(8)));
        scope.spawn(move || fatal::send_bystanders(world, findings, random(9)));
        scope.spawn(move || fatal::send_bystanders(world, findings, random(10)));
        scope.spawn(move || slow::send_slowly(world, findings, random(11)));
        scope.spawn(move || slow::read_slowly(world, findings, random(12)));
        scope.spawn(move || clients::train(world, findings, random(6), true));
        scope.spawn(move || clients::train(world, findings, random(7), false));
        let ends: Vec<_> = series.into_iter().chain([suspensions]).map(|series| series.join()).collect();
        if ends.iter().all(Result::is_ok) {
            checks::all_serve_again(world);
        }
        // Clients go on until then, also when the soak itself failed.
        world.is_over.store(true, Ordering::SeqCst);
        ends.into_iter().for_each(|end| end.expect("a series of faults"));
    });
    checks::open_jobs_end(&world, &findings);
    fatal::fatal_is_held(&world);
    checks::promises_held(&world, &findings);
    slow::senders_never_ran(&world, &findings);
    report(&world, &findings, seed)
}

fn report(world: &World, findings: &Findings, seed: u64) -> Vec<String> {
    let violations = world.violations();
    let (served, jobs) = (findings.served.load(Ordering::SeqCst), findings.jobs.lock().unwrap().len());
    let slow = findings.slow.lock().unwrap().len();
    println!("seed {seed}: {served} served, {slow} slow, {jobs} jobs, {} broken", violations.len());
    if violations.is_empty() {
        // Logs are kept for a seed that broke something only.
        let _ = std::fs::remove_dir_all(&world.logs);
    } else {
        println!("logs: {}", world.logs.display());
        world.story().iter().chain(&violations).for_each(|line| println!("  {line}"));
    }
    violations
}

fn number_from(name: &str) -> Option<u64> {
    std::env::var(name).ok().map(|text| text.parse().unwrap_or_else(|_| panic!("{name} is no number: {text}")))
}

fn seeds() -> Vec<u64> {
    if let Some(seed) = number_from("TRESTLERACK_SOAK_SEED") {
        return vec![seed];
    }
    let fresh = number_from("TRESTLERACK_SOAK_SEEDS").unwrap_or(0);
    let kept = REGRESSIONS.lines().filter(|line| !line.starts_with('#')).filter_map(|line| line.split(':').next());
    let kept = kept.map(|seed| seed.trim().parse().expect("a seed"));
    let fresh = (0..fresh).map(|_| rand::random::<u64>() % 1_000_000_000);
    std::iter::once(FIXED_SEED).chain(kept).chain(fresh).collect()
}

#[test]
fn promises_hold_under_faults() {
    let broken: Vec<(u64, Vec<String>)> =
        seeds().into_iter().map(|seed| (seed, play(seed))).filter(|(_, broken)| !broken.is_empty()).collect();
    assert!(broken.is_empty(), "broken: {broken:#?}");
}
