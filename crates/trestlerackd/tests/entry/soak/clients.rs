//! Clients of the soak, which check what they see against what was promised to them.

use super::super::support::*;
use super::cluster::World;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time that a client waits for an answer.
const CLIENT_PATIENCE: Duration = Duration::from_secs(5);

/// Time before a request in which a disturbance may still be felt.
const AFTERMATH: Duration = Duration::from_secs(3);

/// Most requests that a client sends on one connection.
const REQUESTS_OF_CONNECTION: usize = 40;

/// Statuses that promise that the request did not run and never will.
pub const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// What a client knows of a request that may run once.
pub struct OnceOutcome {
    pub id: String,
    pub status: Option<u16>,
}

/// A job as its trainer and its readers know it.
#[derive(Default)]
pub struct SoakJob {
    pub items: usize,
    pub min_version: u64,
    pub accepted_at: Option<Instant>,
    /// Whether each try so far was refused as not run.
    pub is_refused: bool,
    /// When the end of the job was acknowledged.
    pub ended_at: Option<Instant>,
    /// Results by position.
    pub results: BTreeMap<usize, Value>,
}

/// What all clients of a soak saw.
#[derive(Default)]
pub struct Findings {
    pub once: Mutex<Vec<OnceOutcome>>,
    pub jobs: Mutex<HashMap<String, SoakJob>>,
    pub served: std::sync::atomic::AtomicUsize,
    /// Requests whose bodies never came whole, and streams that were not read.
    pub slow: Mutex<Vec<String>>,
}

fn pick(random: &mut Pcg64Mcg, world: &World) -> usize {
    random.random_range(0..world.nodes.len())
}

/// Sends requests on connections that it keeps, also while their node stops.
pub fn send_requests(world: &Arc<World>, findings: &Findings, mut random: Pcg64Mcg, path: &str) {
    while !world.is_over() {
        let node = pick(&mut random, world);
        let Ok(stream) = TcpStream::connect(&world.nodes[node].client) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        stream.set_read_timeout(Some(CLIENT_PATIENCE)).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        for _ in 0..random.random_range(1..REQUESTS_OF_CONNECTION) {
            if world.is_over() || !send_one(world, findings, node, &mut writer, &mut reader, path) {
                break;
            }
            std::thread::sleep(Duration::from_millis(random.random_range(1..40)));
        }
    }
}

/// Sends a request and checks its answer; returns whether the connection can be used again.
fn send_one(
    world: &World,
    findings: &Findings,
    node: usize,
    writer: &mut TcpStream,
    reader: &mut BufReader<TcpStream>,
    path: &str,
) -> bool {
    let id = world.new_id(path.trim_matches('/'));
    let body = format!("body of {id}");
    let sent_at = Instant::now();
    let headers = [("request-id", id.as_str()), ("deadline-ms", "4000")];
    let is_sent = send(writer, "POST", &format!("{path}x"), &headers, &body).is_some();
    let answer = if is_sent { read_answer(reader) } else { None };
    if path == "/once/" {
        let status = answer.as_ref().map(|answer| answer.status);
        findings.once.lock().unwrap().push(OnceOutcome { id: id.clone(), status });
    }
    let Some(answer) = answer else {
        // A connection that was idle may have been closed as the request crossed it.
        let was_read = world.platform.plain.runs.lock().unwrap().contains(&id);
        if was_read && world.was_calm(node, sent_at, Instant::now(), AFTERMATH, true) {
            world.violation(format!("{id} ran and its connection to node {node} ended without an answer"));
        }
        return false;
    };
    if answer.status == 200 {
        findings.served.fetch_add(1, Ordering::SeqCst);
        let stamp = answer.headers.get("response-stamp").cloned().unwrap_or_default();
        if answer.body != body || stamp != format!("signed-{id}") || answer.headers.get("request-id") != Some(&id) {
            world.violation(format!("{id} got an answer that is not its own: {answer:?}"));
        }
    } else if world.was_calm(node, sent_at, Instant::now(), AFTERMATH, true) {
        world.violation(format!("{id} got {} from node {node}, which was left alone", answer.status));
    }
    answer.headers.get("connection").is_none_or(|value| value != "close")
}

/// Reads streams that may be resumed; one that ends whole has each event once.
pub fn read_streams(world: &Arc<World>, findings: &Findings, mut random: Pcg64Mcg) {
    while !world.is_over() {
        let node = pick(&mut random, world);
        let id = world.new_id("stream");
        let Some((text, is_whole)) = read_stream_from(&world.nodes[node].client, "/resumed/x", &id) else { continue };
        if is_whole && strip_versions(text.split(',')) != expected_events(&id) {
            world.violation(format!("{id} ended as whole with {text}"));
        }
        findings.served.fetch_add(usize::from(is_whole), Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(random.random_range(20..120)));
    }
}

fn expected_events(id: &str) -> Vec<String> {
    (1..=EVENTS).map(|number| format!("{id}-{number}")).collect()
}

fn strip_versions<'a>(events: impl Iterator<Item = &'a str>) -> Vec<String> {
    events.map(|event| event.rsplit_once("-v").map_or(event, |(head, _)| head).to_owned()).collect()
}

/// Submits jobs, reads them to the end at any nodes, ends some early, and names new versions.
pub fn train(world: &Arc<World>, findings: &Findings, mut random: Pcg64Mcg, names_versions: bool) {
    let mut version = 1;
    while !world.is_over() {
        let job = world.new_id("job");
        let items = random.random_range(2..9);
        let min_version = if names_versions { version.max(2) - 1 } else { 1 };
        let known = SoakJob { items, min_version, is_refused: true, ..SoakJob::default() };
        findings.jobs.lock().unwrap().insert(job.clone(), known);
        if !submit_job(world, findings, &mut random, &job) {
            continue;
        }
        let ends_early = random.random_range(0..3) == 0;
        let patience = Duration::from_millis(if ends_early { random.random_range(50..900) } else { 6_000 });
        read_job(world, findings, &mut random, &job, Instant::now() + patience);
        end_job(world, findings, &mut random, &job);
        if names_versions {
            version += 1;
            world.platform.publish_version(version);
        }
    }
}

/// Submits a job until it is accepted; gives up after a few tries, at times after the first one, so
/// that there are jobs that were only ever refused.
fn submit_job(world: &World, findings: &Findings, random: &mut Pcg64Mcg, job: &str) -> bool {
    let body = {
        let jobs = findings.jobs.lock().unwrap();
        job_body_of(job, jobs[job].items, jobs[job].min_version)
    };
    for _ in 0..random.random_range(1..7) {
        let node = pick(random, world);
        let answer = call(&world.nodes[node].client, "POST", &format!("/jobs/{job}"), &[("request-id", job)], &body);
        let status = answer.map(|answer| answer.status);
        let mut jobs = findings.jobs.lock().unwrap();
        let known = jobs.get_mut(job).unwrap();
        match status {
            Some(202) => {
                known.accepted_at = Some(Instant::now());
                known.is_refused = false;
                return true;
            }
            Some(status) if NOT_RUN.contains(&status) => {}
            Some(status @ (400 | 404 | 409 | 413)) => world.violation(format!("{job} was refused with {status}")),
            _ => known.is_refused = false,
        }
        drop(jobs);
        std::thread::sleep(Duration::from_millis(random.random_range(50..300)));
    }
    false
}

/// Reads a job at any nodes until it is whole or `until`.
pub fn read_job(world: &World, findings: &Findings, random: &mut Pcg64Mcg, job: &str, until: Instant) -> bool {
    while Instant::now() < until {
        let (items, known) = {
            let jobs = findings.jobs.lock().unwrap();
            (jobs[job].items, jobs[job].results.len())
        };
        if known == items {
            return true;
        }
        // Now and then from an earlier position, where nothing may have changed.
        let from = if random.random_range(0..4) == 0 { random.random_range(0..=known) } else { known };
        read_page(world, findings, pick(random, world), job, from);
        std::thread::sleep(Duration::from_millis(random.random_range(5..60)));
    }
    false
}

/// Reads results from a position on and checks them against what is known.
pub fn read_page(world: &World, findings: &Findings, node: usize, job: &str, from: usize) {
    let path = format!("/trestlerack/lots/{job}?after={from}");
    let asked_at = Instant::now();
    let Some(answer) = call(&world.nodes[node].client, "GET", &path, &[("wait-ms", "300")], "") else { return };
    if answer.status == 404 {
        world.violation(format!("node {node} says that {job} does not exist"));
    }
    if answer.status != 200 {
        if world.was_calm(node, asked_at, Instant::now(), AFTERMATH, true) {
            world.violation(format!("node {node}, left alone, answers a read of {job} with {}", answer.status));
        }
        return;
    }
    let page = answer.json();
    let mut jobs = findings.jobs.lock().unwrap();
    let known = jobs.get_mut(job).unwrap();
    if page["total"] != known.items {
        world.violation(format!("{job} has the total {}", page["total"]));
    }
    for (offset, result) in page["results"].as_array().unwrap().iter().enumerate() {
        let position = from + offset;
        match known.results.get(&position) {
            Some(held) if held != result => {
                world.violation(format!("{job} had {held} at {position} and now {result}"));
            }
            Some(_) => {}
            None => {
                check_result(world, job, known, result);
                known.results.insert(position, result.clone());
            }
        }
    }
}

fn check_result(world: &World, job: &str, known: &SoakJob, result: &Value) {
    let id = result["id"].as_str().unwrap_or_default();
    if known.results.values().any(|held| held["id"] == result["id"]) || !id.starts_with(&format!("{job}-item-")) {
        world.violation(format!("{job} lists {id} twice, or it is not its own"));
    }
    if result["state"] != "completed" {
        if known.ended_at.is_none() {
            world.violation(format!("{job} gave up {id} before its end"));
        }
        return;
    }
    let text = result["text"].as_str().unwrap_or_default();
    if strip_versions(text.lines()) != expected_events(id) {
        world.violation(format!("{id} has the text {text:?}"));
    }
    let mut made_by: Vec<u64> = text.lines().filter_map(|line| line.rsplit_once("-v")?.1.parse().ok()).collect();
    made_by.sort_unstable();
    made_by.dedup();
    if result["versions"] != serde_json::json!(made_by) || made_by.first().is_none_or(|v| *v < known.min_version) {
        world.violation(format!("{id} states the versions {}, made by {made_by:?}", result["versions"]));
    }
    if result["score"] != format!("signed-{id}-score") {
        world.violation(format!("{id} has the score {}", result["score"]));
    }
}

fn end_job(world: &World, findings: &Findings, random: &mut Pcg64Mcg, job: &str) {
    for _ in 0..4 {
        let node = pick(random, world);
        let answer = call(&world.nodes[node].client, "DELETE", &format!("/trestlerack/lots/{job}"), &[], "");
        match answer.map(|answer| answer.status) {
            Some(200) => {
                findings.jobs.lock().unwrap().get_mut(job).unwrap().ended_at.get_or_insert(Instant::now());
                // A repeated end changes nothing.
                if random.random_range(0..2) == 0 {
                    return;
                }
            }
            Some(404) => world.violation(format!("node {node} says that {job} does not exist, at its end")),
            _ => std::thread::sleep(Duration::from_millis(100)),
        }
    }
}
