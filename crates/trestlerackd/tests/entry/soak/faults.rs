//! Faults that are injected from outside the processes, drawn from a seed.

use super::super::support::{STOP_LIMIT, eventually};
use super::cluster::{Place, World};
use super::link::{Link, LinkMode};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Longest time that a fault lasts, in milliseconds.
const LONGEST_MS: u64 = 2_500;

/// Longest pause between two faults of one series, in milliseconds; they overlap mostly.
const LONGEST_PAUSE_MS: u64 = 900;

/// Injects faults until `until`, and heals all of them.
pub fn run_series(world: &Arc<World>, mut random: Pcg64Mcg, until: Instant) {
    while Instant::now() < until {
        let pause = Duration::from_millis(random.random_range(50..LONGEST_PAUSE_MS));
        std::thread::sleep(pause);
        let lasting = Duration::from_millis(random.random_range(100..LONGEST_MS));
        inject(world, &mut random, lasting);
    }
}

/// Pause between two suspensions, in milliseconds.
const SUSPENSION_PAUSE_MS: std::ops::Range<u64> = 800..2_500;

/// How long a process is suspended, in milliseconds: beyond its lease, the wait of the next holder, and
/// its clients' patience. Signals stop its threads; that a suspended VM's monotonic clock stops too is
/// tested apart, since no signal does that.
const SUSPENDED_MS: std::ops::Range<u64> = 1_200..4_500;

/// Suspends processes until `until`.
pub fn run_suspensions(world: &Arc<World>, mut random: Pcg64Mcg, until: Instant) {
    loop {
        std::thread::sleep(Duration::from_millis(random.random_range(SUSPENSION_PAUSE_MS)));
        if Instant::now() >= until {
            return;
        }
        let node = random.random_range(0..world.nodes.len());
        pause(world, node, Duration::from_millis(random.random_range(SUSPENDED_MS)));
    }
}

fn inject(world: &Arc<World>, random: &mut Pcg64Mcg, lasting: Duration) {
    let node = random.random_range(0..world.nodes.len());
    match random.random_range(0..16) {
        0 | 1 => kill(world, node, lasting / 2),
        2 => pause(world, node, lasting),
        3 => stop(world, node, None),
        4 => stop(world, node, Some(lasting / 3)),
        5 => hang_up(world, node, random.random_range(1..4)),
        6 | 7 => break_link(world, random, &world.nodes[node].store_link, Place::Node(node), "store", lasting),
        8 => {
            let server = random.random_range(0..world.server_links.len());
            let name = format!("server {server}");
            break_link(world, random, &world.server_links[server], Place::Everywhere, &name, lasting);
        }
        9 => refuse_writes(world, lasting),
        10 => lose_replies(world, random.random_range(1..6), lasting),
        11 => silence_watches(world, random.random_range(0..2) == 0, lasting),
        12 => spoil_answers(world, random.random_range(3..13), lasting),
        13 => break_streams(world, random.random_range(1..6), lasting),
        14 => slow_store(world, lasting),
        _ => kill_twice(world, node, random.random_range(0..world.nodes.len())),
    }
}

/// Kills a process and starts it again a little later.
fn kill(world: &Arc<World>, node: usize, down: Duration) {
    let Some(number) = begin_end(world, node, "killed") else { return };
    world.daemon(node).signal_if_running("-KILL");
    wait_end(world, node);
    std::thread::sleep(down);
    restart(world, node, number);
}

/// Kills two processes at once, and the first one again as it returns.
fn kill_twice(world: &Arc<World>, node: usize, other: usize) {
    let helper = world.clone();
    let second = std::thread::spawn(move || {
        if other != node {
            kill(&helper, other, Duration::from_millis(300));
        }
    });
    kill(world, node, Duration::from_millis(50));
    kill(world, node, Duration::from_millis(50));
    second.join().unwrap();
}

fn pause(world: &World, node: usize, lasting: Duration) {
    if world.nodes[node].is_down.load(Ordering::SeqCst) {
        return;
    }
    let number = world.disturb(Place::Node(node), "paused", false);
    world.daemon(node).signal_if_running("-STOP");
    std::thread::sleep(lasting);
    world.daemon(node).signal_if_running("-CONT");
    world.settle(number);
}

/// Stops a process as planned; with `killed_after`, it is killed before it has ended.
fn stop(world: &World, node: usize, killed_after: Option<Duration>) {
    let what = if killed_after.is_some() { "stopped, then killed" } else { "stopped" };
    let Some(number) = begin_stop(world, node, what, killed_after.is_none()) else { return };
    world.daemon(node).signal_if_running("-TERM");
    let begun = Instant::now();
    if let Some(after) = killed_after {
        std::thread::sleep(after);
        world.daemon(node).signal_if_running("-KILL");
    }
    let ended_well = wait_end(world, node);
    let was_calm = world.was_calm(node, begun, Instant::now(), Duration::ZERO, true);
    if killed_after.is_none() && was_calm && (!ended_well || begun.elapsed() > STOP_LIMIT) {
        world.violation(format!("node {node} took {:?} to stop, with success {ended_well}", begun.elapsed()));
    }
    restart(world, node, number);
}

/// Waits for the end of a process. Others may signal it meanwhile.
fn wait_end(world: &World, node: usize) -> bool {
    eventually("the daemon ends", || !world.daemon(node).is_running());
    world.daemon(node).wait_end()
}

fn begin_end(world: &World, node: usize, what: &str) -> Option<usize> {
    begin_stop(world, node, what, false)
}

/// Marks a node as ended by the soak, unless it is already.
fn begin_stop(world: &World, node: usize, what: &str, is_planned: bool) -> Option<usize> {
    if world.nodes[node].is_down.swap(true, Ordering::SeqCst) {
        return None;
    }
    Some(world.disturb(Place::Node(node), what, is_planned))
}

fn restart(world: &World, node: usize, disturbance: usize) {
    world.daemon(node).restart();
    world.nodes[node].starts.fetch_add(1, Ordering::SeqCst);
    world.nodes[node].is_down.store(false, Ordering::SeqCst);
    world.settle(disturbance);
}

fn hang_up(world: &World, node: usize, times: usize) {
    let number = world.disturb(Place::Node(node), "hung up", true);
    for _ in 0..times {
        world.daemon(node).signal_if_running("-HUP");
        std::thread::sleep(Duration::from_millis(20));
    }
    world.settle(number);
}

fn break_link(world: &World, random: &mut Pcg64Mcg, link: &Link, place: Place, to: &str, lasting: Duration) {
    let mode = match random.random_range(0..7) {
        0 => LinkMode::Slow(Duration::from_millis(60)),
        1 => LinkMode::CutForth,
        2 => LinkMode::CutBack,
        3 => LinkMode::Silent,
        4 => LinkMode::Refuse,
        5 => return once(world, place, &format!("link to {to} reset"), || link.reset()),
        _ => return once(world, place, &format!("open connections to {to} silenced"), || link.silence_open()),
    };
    let number = world.disturb(place, format!("link to {to}: {mode:?}"), false);
    link.set(mode);
    std::thread::sleep(lasting);
    link.set(LinkMode::Pass);
    world.settle(number);
}

fn once(world: &World, place: Place, what: &str, act: impl FnOnce()) {
    let number = world.disturb(place, what, false);
    act();
    world.settle(number);
}

fn refuse_writes(world: &World, lasting: Duration) {
    lasting_fault(world, "store refuses writes", lasting, |is_on| world.platform.store.refuse_writes(is_on));
}

fn slow_store(world: &World, lasting: Duration) {
    let set = |is_on: bool| world.platform.store.slow_down(if is_on { 150 } else { 0 });
    lasting_fault(world, "store is slow", lasting, set);
}

fn silence_watches(world: &World, drops_history: bool, lasting: Duration) {
    lasting_fault(world, "watches are silent", lasting, |is_on| {
        world.platform.store.silence_watches(is_on.then_some("state"));
        if drops_history && !is_on {
            world.platform.store.drop_history();
        }
    });
}

fn lose_replies(world: &World, count: usize, lasting: Duration) {
    lasting_fault(world, "replies of the store are lost", lasting, |is_on| {
        world.platform.store.lose_replies(if is_on { count } else { 0 });
    });
}

fn spoil_answers(world: &World, count: usize, lasting: Duration) {
    let plain = &world.platform.plain;
    lasting_fault(world, "answers of servers are spoilt", lasting, |is_on| {
        let count = if is_on { count } else { 0 };
        plain.foreign_answers.store(count, Ordering::SeqCst);
        plain.short_answers.store(count, Ordering::SeqCst);
        plain.refusals.store(count, Ordering::SeqCst);
    });
}

fn break_streams(world: &World, count: usize, lasting: Duration) {
    let engine = &world.platform.engine;
    lasting_fault(world, "streams break, answers to orders are lost", lasting, |is_on| {
        engine.broken_streams.store(if is_on { count } else { 0 }, Ordering::SeqCst);
        engine.lost_orders.store(if is_on { count / 2 } else { 0 }, Ordering::SeqCst);
    });
}

fn lasting_fault(world: &World, what: &str, lasting: Duration, set: impl Fn(bool)) {
    let number = world.disturb(Place::Everywhere, what, false);
    set(true);
    std::thread::sleep(lasting);
    set(false);
    world.settle(number);
}
