//! Faults injected from outside the processes, drawn from a seed.

use super::super::support::{STOP_LIMIT, eventually};
use super::cluster::{FaultScope, SoakCluster};
use super::link::{Link, LinkMode};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Upper bound of the duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 2_500;

/// Upper bound of the pause between two faults of one series, in milliseconds. It is shorter than most faults,
/// so that faults of several series overlap.
const MAX_PAUSE_MS: u64 = 900;

/// Injects faults until `until`, and ends all of them.
pub fn run_series(cluster: &Arc<SoakCluster>, mut random: Pcg64Mcg, until: Instant) {
    while Instant::now() < until {
        let pause = Duration::from_millis(random.random_range(50..MAX_PAUSE_MS));
        std::thread::sleep(pause);
        let duration = Duration::from_millis(random.random_range(100..MAX_FAULT_MS));
        inject(cluster, &mut random, duration);
    }
}

/// Pause between two suspensions, in milliseconds.
const SUSPENSION_PAUSE_MS: std::ops::Range<u64> = 800..2_500;

/// Duration of a suspension, in milliseconds. It exceeds the lease, the wait of the next holder and the
/// timeouts of clients. Signals stop only the threads; that the monotonic clock of a suspended VM stops too is
/// tested separately, because no signal does that.
const SUSPENDED_MS: std::ops::Range<u64> = 1_200..4_500;

/// Suspends processes until `until`.
pub fn run_suspensions(cluster: &Arc<SoakCluster>, mut random: Pcg64Mcg, until: Instant) {
    loop {
        std::thread::sleep(Duration::from_millis(random.random_range(SUSPENSION_PAUSE_MS)));
        if Instant::now() >= until {
            return;
        }
        let node = random.random_range(0..cluster.nodes.len());
        pause(cluster, node, Duration::from_millis(random.random_range(SUSPENDED_MS)));
    }
}

fn inject(cluster: &Arc<SoakCluster>, random: &mut Pcg64Mcg, duration: Duration) {
    let node = random.random_range(0..cluster.nodes.len());
    match random.random_range(0..16) {
        0 | 1 => kill(cluster, node, duration / 2),
        2 => pause(cluster, node, duration),
        3 => stop(cluster, node, None),
        4 => stop(cluster, node, Some(duration / 3)),
        5 => reload_settings(cluster, node, random.random_range(1..4)),
        6 | 7 => {
            break_link(cluster, random, &cluster.nodes[node].store_link, FaultScope::Node(node), "store", duration)
        }
        8 => {
            let server = random.random_range(0..cluster.server_links.len());
            let name = format!("server {server}");
            break_link(cluster, random, &cluster.server_links[server], FaultScope::Everywhere, &name, duration);
        }
        9 => refuse_writes(cluster, duration),
        10 => lose_replies(cluster, random.random_range(1..6), duration),
        11 => silence_watches(cluster, random.random_range(0..2) == 0, duration),
        12 => corrupt_responses(cluster, random.random_range(3..13), duration),
        13 => break_streams(cluster, random.random_range(1..6), duration),
        14 => delay_store(cluster, duration),
        _ => kill_twice(cluster, node, random.random_range(0..cluster.nodes.len())),
    }
}

/// Kills a process and restarts it after `down`.
fn kill(cluster: &Arc<SoakCluster>, node: usize, down: Duration) {
    let Some(disturbance) = begin_unplanned_stop(cluster, node, "killed") else { return };
    cluster.daemon(node).signal_if_running("-KILL");
    wait_end(cluster, node);
    std::thread::sleep(down);
    restart(cluster, node, disturbance);
}

/// Kills two processes at once, and kills the first one again after its restart.
fn kill_twice(cluster: &Arc<SoakCluster>, node: usize, other: usize) {
    let helper = cluster.clone();
    let second = std::thread::spawn(move || {
        if other != node {
            kill(&helper, other, Duration::from_millis(300));
        }
    });
    kill(cluster, node, Duration::from_millis(50));
    kill(cluster, node, Duration::from_millis(50));
    second.join().unwrap();
}

fn pause(cluster: &SoakCluster, node: usize, duration: Duration) {
    if cluster.nodes[node].is_down.load(Ordering::SeqCst) {
        return;
    }
    let disturbance = cluster.begin_disturbance(FaultScope::Node(node), "paused", false);
    cluster.daemon(node).signal_if_running("-STOP");
    std::thread::sleep(duration);
    cluster.daemon(node).signal_if_running("-CONT");
    cluster.end_disturbance(disturbance);
}

/// Stops a process as planned, and kills it after `killed_after` if that is given.
fn stop(cluster: &SoakCluster, node: usize, killed_after: Option<Duration>) {
    let what = if killed_after.is_some() { "stopped, then killed" } else { "stopped" };
    let Some(disturbance) = begin_stop(cluster, node, what, killed_after.is_none()) else { return };
    cluster.daemon(node).signal_if_running("-TERM");
    let started_at = Instant::now();
    if let Some(after) = killed_after {
        std::thread::sleep(after);
        cluster.daemon(node).signal_if_running("-KILL");
    }
    let succeeded = wait_end(cluster, node);
    let was_undisturbed = cluster.was_undisturbed(node, started_at, Instant::now(), Duration::ZERO, true);
    if killed_after.is_none() && was_undisturbed && (!succeeded || started_at.elapsed() > STOP_LIMIT) {
        cluster.violation(format!("node {node} took {:?} to stop, with success {succeeded}", started_at.elapsed()));
    }
    restart(cluster, node, disturbance);
}

/// Waits for the exit of a process. Other series may signal it meanwhile, so its lock is not held.
fn wait_end(cluster: &SoakCluster, node: usize) -> bool {
    eventually("the daemon ends", || !cluster.daemon(node).is_running());
    cluster.daemon(node).wait_end()
}

fn begin_unplanned_stop(cluster: &SoakCluster, node: usize, what: &str) -> Option<usize> {
    begin_stop(cluster, node, what, false)
}

/// Marks a node as stopped by the soak, unless it is already, and starts a disturbance.
fn begin_stop(cluster: &SoakCluster, node: usize, what: &str, is_planned: bool) -> Option<usize> {
    if cluster.nodes[node].is_down.swap(true, Ordering::SeqCst) {
        return None;
    }
    Some(cluster.begin_disturbance(FaultScope::Node(node), what, is_planned))
}

fn restart(cluster: &SoakCluster, node: usize, disturbance: usize) {
    cluster.daemon(node).restart();
    cluster.nodes[node].starts.fetch_add(1, Ordering::SeqCst);
    cluster.nodes[node].is_down.store(false, Ordering::SeqCst);
    cluster.end_disturbance(disturbance);
}

fn reload_settings(cluster: &SoakCluster, node: usize, times: usize) {
    let disturbance = cluster.begin_disturbance(FaultScope::Node(node), "settings reloaded", true);
    for _ in 0..times {
        cluster.daemon(node).signal_if_running("-HUP");
        std::thread::sleep(Duration::from_millis(20));
    }
    cluster.end_disturbance(disturbance);
}

fn break_link(
    cluster: &SoakCluster,
    random: &mut Pcg64Mcg,
    link: &Link,
    scope: FaultScope,
    to: &str,
    duration: Duration,
) {
    let mode = match random.random_range(0..7) {
        0 => LinkMode::Slow(Duration::from_millis(60)),
        1 => LinkMode::HoldRequests,
        2 => LinkMode::HoldResponses,
        3 => LinkMode::Silent,
        4 => LinkMode::Refuse,
        5 => return once(cluster, scope, &format!("link to {to} reset"), || link.reset()),
        _ => return once(cluster, scope, &format!("open connections to {to} silenced"), || link.silence_open()),
    };
    let disturbance = cluster.begin_disturbance(scope, format!("link to {to}: {mode:?}"), false);
    link.set(mode);
    std::thread::sleep(duration);
    link.set(LinkMode::Pass);
    cluster.end_disturbance(disturbance);
}

fn once(cluster: &SoakCluster, scope: FaultScope, what: &str, act: impl FnOnce()) {
    let disturbance = cluster.begin_disturbance(scope, what, false);
    act();
    cluster.end_disturbance(disturbance);
}

fn refuse_writes(cluster: &SoakCluster, duration: Duration) {
    inject_for(cluster, "store refuses writes", duration, |is_on| cluster.platform.store.refuse_writes(is_on));
}

fn delay_store(cluster: &SoakCluster, duration: Duration) {
    let set = |is_on: bool| cluster.platform.store.set_delay(if is_on { 150 } else { 0 });
    inject_for(cluster, "store is slow", duration, set);
}

fn silence_watches(cluster: &SoakCluster, drops_history: bool, duration: Duration) {
    inject_for(cluster, "watches are silent", duration, |is_on| {
        cluster.platform.store.silence_watches(is_on.then_some("state"));
        if drops_history && !is_on {
            cluster.platform.store.drop_history();
        }
    });
}

fn lose_replies(cluster: &SoakCluster, count: usize, duration: Duration) {
    inject_for(cluster, "replies of the store are lost", duration, |is_on| {
        cluster.platform.store.lose_replies(if is_on { count } else { 0 });
    });
}

fn corrupt_responses(cluster: &SoakCluster, count: usize, duration: Duration) {
    let plain = &cluster.platform.plain;
    inject_for(cluster, "responses of servers are corrupted", duration, |is_on| {
        let count = if is_on { count } else { 0 };
        plain.misattributed_responses.store(count, Ordering::SeqCst);
        plain.truncated_responses.store(count, Ordering::SeqCst);
        plain.rejections.store(count, Ordering::SeqCst);
    });
}

fn break_streams(cluster: &SoakCluster, count: usize, duration: Duration) {
    let engine = &cluster.platform.engine;
    inject_for(cluster, "streams break, responses to orders are lost", duration, |is_on| {
        engine.broken_streams.store(if is_on { count } else { 0 }, Ordering::SeqCst);
        engine.unanswered_orders.store(if is_on { count / 2 } else { 0 }, Ordering::SeqCst);
    });
}

fn inject_for(cluster: &SoakCluster, what: &str, duration: Duration, set: impl Fn(bool)) {
    let disturbance = cluster.begin_disturbance(FaultScope::Everywhere, what, false);
    set(true);
    std::thread::sleep(duration);
    set(false);
    cluster.end_disturbance(disturbance);
}
