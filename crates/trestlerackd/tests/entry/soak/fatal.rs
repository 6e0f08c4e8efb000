//! Requests of the soak that end each server that runs them, and what they must not do to others.

use super::super::support::*;
use super::clients::Findings;
use super::cluster::World;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Route to the servers that end.
const PATH: &str = "/fragile/x";

/// Contents that end servers, each under ever new ids.
const FATAL_CONTENTS: usize = 2;

/// Waits named by refusals of busy services are shorter than this, those of held contents longer.
const LONGEST_BUSY_WAIT_S: f64 = 10.0;

/// Time after the last fault in which strikes that could not be told are told.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Arrivals of a content after that, by which all nodes hold it.
const LAST_ARRIVALS: usize = 8;

/// Servers that may end under one content after that: what a node that was killed had seen alone is
/// lost, so up to three may be needed again, and one more was under way.
const MOST_LAST_ENDS: usize = 4;

/// Pause between two arrivals, in which ended servers are back.
const ARRIVAL_PAUSE: Duration = Duration::from_millis(700);

fn fatal_body(content: usize) -> String {
    format!("{FATAL} {content}")
}

fn ask(world: &World, node: usize, kind: &str, body: &str) -> Option<HttpResponse> {
    let id = world.new_id(kind);
    call(&world.nodes[node].client, "POST", PATH, &[("request-id", &id), ("deadline-ms", "2000")], body)
}

fn is_held(answer: &HttpResponse) -> bool {
    let wait = answer.headers.get("retry-after").and_then(|value| value.parse::<f64>().ok());
    answer.status == 503 && wait.is_some_and(|seconds| seconds > LONGEST_BUSY_WAIT_S)
}

/// Sends contents that end servers to any nodes, again and again.
pub fn send_fatal(world: &Arc<World>, mut random: Pcg64Mcg) {
    while !world.is_over() {
        let node = random.random_range(0..world.nodes.len());
        let content = random.random_range(0..FATAL_CONTENTS);
        ask(world, node, "fatal", &fatal_body(content));
        std::thread::sleep(Duration::from_millis(random.random_range(100..500)));
    }
}

/// Sends other contents to the same servers; none of them is ever held, whatever they shared a server
/// with. Some ask the same each time, as many callers do.
pub fn send_bystanders(world: &Arc<World>, findings: &Findings, mut random: Pcg64Mcg) {
    while !world.is_over() {
        let node = random.random_range(0..world.nodes.len());
        let is_usual = random.random_range(0..3) == 0;
        let body = if is_usual { "usual".to_owned() } else { world.new_id("bystander") };
        // Its client returns with the same content until it is served, as far as it has the time.
        for _ in 0..4 {
            let Some(answer) = ask(world, node, "beside", &body) else { break };
            if is_held(&answer) {
                world.violation(format!("{body} shared servers with what ends them and is held by node {node}"));
            }
            if answer.status == 200 {
                findings.served.fetch_add(1, Ordering::SeqCst);
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_millis(random.random_range(1..40)));
    }
}

/// Checks that all nodes hold what ends servers once everything is calm, and serve the rest.
pub fn fatal_is_held(world: &World) {
    std::thread::sleep(SETTLE_TIME);
    for content in 0..FATAL_CONTENTS {
        let (body, ended) = (fatal_body(content), world.fragile.crash_count());
        let mut holding = vec![false; world.nodes.len()];
        for arrival in 0..LAST_ARRIVALS {
            let node = arrival % world.nodes.len();
            holding[node] = ask(world, node, "last", &body).as_ref().is_some_and(is_held);
            if !holding[node] {
                std::thread::sleep(ARRIVAL_PAUSE);
            }
        }
        let ended = world.fragile.crash_count() - ended;
        if ended > MOST_LAST_ENDS || holding.contains(&false) {
            world.violation(format!("content {content} ended {ended} servers in calm, held by nodes: {holding:?}"));
        }
    }
    let until = Instant::now() + PATIENCE;
    for node in 0..world.nodes.len() {
        while ask(world, node, "calm", &format!("calm {node}")).is_none_or(|answer| answer.status != 200) {
            if Instant::now() >= until {
                world.violation(format!("node {node} does not serve what shared servers with held contents"));
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
