//! Clients of the soak, which check the responses that they get against the guarantees.

use super::super::support::*;
use super::cluster::SoakCluster;
use super::placement::id_at;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time that a client waits for a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after a disturbance for which a request may still fail.
pub const AFTERMATH: Duration = Duration::from_secs(3);

/// Upper bound of the requests that a client sends on one connection.
const REQUESTS_PER_CONNECTION: usize = 40;

/// Statuses that guarantee that the request did not run and never will.
pub const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// Result of a request that may run at most once.
pub struct OnceOutcome {
    pub id: String,
    pub status: Option<u16>,
}

/// What clients know of a job.
#[derive(Default)]
pub struct SoakJob {
    pub items: usize,
    pub min_version: u64,
    pub accepted_at: Option<Instant>,
    /// Whether every submission so far was rejected as not run.
    pub is_rejected: bool,
    /// When the end of the job was acknowledged.
    pub ended_at: Option<Instant>,
    /// Results by position.
    pub results: BTreeMap<usize, Value>,
}

impl SoakJob {
    /// Returns the first position without a known result. Other clients may have read results of later ones.
    pub fn next_position(&self) -> usize {
        (0..self.items).find(|position| !self.results.contains_key(position)).unwrap_or(self.items)
    }
}

/// What all clients of a soak observed.
#[derive(Default)]
pub struct ClientRecords {
    pub once: Mutex<Vec<OnceOutcome>>,
    pub jobs: Mutex<HashMap<String, SoakJob>>,
    pub served: std::sync::atomic::AtomicUsize,
    /// Ids of requests with an incomplete body, and of streams that were not read.
    pub slow: Mutex<Vec<String>>,
}

fn pick_node(random: &mut Pcg64Mcg, cluster: &SoakCluster) -> usize {
    random.random_range(0..cluster.nodes.len())
}

/// Sends requests on persistent connections, also while their node stops.
pub fn send_requests(cluster: &Arc<SoakCluster>, records: &ClientRecords, mut random: Pcg64Mcg, path: &str) {
    while !cluster.is_over() {
        let node = pick_node(&mut random, cluster);
        let Ok(stream) = TcpStream::connect(&cluster.nodes[node].client) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        for _ in 0..random.random_range(1..REQUESTS_PER_CONNECTION) {
            if cluster.is_over() || !send_one(cluster, records, node, &mut writer, &mut reader, path) {
                break;
            }
            std::thread::sleep(Duration::from_millis(random.random_range(1..40)));
        }
    }
}

/// Sends a request and checks its response. Returns whether the connection can be reused.
fn send_one(
    cluster: &SoakCluster,
    records: &ClientRecords,
    node: usize,
    writer: &mut TcpStream,
    reader: &mut BufReader<TcpStream>,
    path: &str,
) -> bool {
    let id = id_at(cluster, node, path.trim_matches('/'));
    let body = format!("body of {id}");
    let sent_at = Instant::now();
    let headers = [("request-id", id.as_str()), ("deadline-ms", "4000")];
    let is_sent = send(writer, "POST", &format!("{path}x"), &headers, &body).is_some();
    let answer = if is_sent { read_response(reader) } else { None };
    if path == "/once/" {
        let status = answer.as_ref().map(|answer| answer.status);
        records.once.lock().unwrap().push(OnceOutcome { id: id.clone(), status });
    }
    let Some(answer) = answer else {
        // The node may have closed an idle connection before it read the request.
        let was_read = cluster.platform.plain.runs.lock().unwrap().contains(&id);
        if was_read && cluster.was_undisturbed(node, sent_at, Instant::now(), AFTERMATH, true) {
            cluster.violation(format!("{id} ran and its connection to node {node} ended without a response"));
        }
        return false;
    };
    if answer.status == 200 {
        records.served.fetch_add(1, Ordering::SeqCst);
        let stamp = answer.headers.get("response-stamp").cloned().unwrap_or_default();
        if answer.body != body || stamp != format!("signed-{id}") || answer.headers.get("request-id") != Some(&id) {
            cluster.violation(format!("{id} got the response of another request: {answer:?}"));
        }
    } else if cluster.was_undisturbed(node, sent_at, Instant::now(), AFTERMATH, true) {
        cluster.violation(format!("{id} got {} from node {node}, which was undisturbed", answer.status));
    }
    answer.headers.get("connection").is_none_or(|value| value != "close")
}

/// Reads resumable streams. A complete one must have each event exactly once.
pub fn read_streams(cluster: &Arc<SoakCluster>, records: &ClientRecords, mut random: Pcg64Mcg) {
    while !cluster.is_over() {
        let node = pick_node(&mut random, cluster);
        let id = id_at(cluster, node, "stream");
        let Some((text, is_complete)) = read_stream_from(&cluster.nodes[node].client, "/resumed/x", &id) else {
            continue;
        };
        if is_complete && strip_versions(text.split(',')) != expected_events(&id) {
            cluster.violation(format!("{id} ended as complete with {text}"));
        }
        records.served.fetch_add(usize::from(is_complete), Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(random.random_range(20..120)));
    }
}

fn expected_events(id: &str) -> Vec<String> {
    (1..=EVENTS_PER_STREAM).map(|number| format!("{id}-{number}")).collect()
}

fn strip_versions<'a>(events: impl Iterator<Item = &'a str>) -> Vec<String> {
    events.map(|event| event.rsplit_once("-v").map_or(event, |(head, _)| head).to_owned()).collect()
}

/// Submits jobs, reads their results at random nodes, ends some early, and publishes new versions.
pub fn run_trainer(
    cluster: &Arc<SoakCluster>,
    records: &ClientRecords,
    mut random: Pcg64Mcg,
    publishes_versions: bool,
) {
    let mut version = 1;
    while !cluster.is_over() {
        let job = cluster.new_id("job");
        let items = random.random_range(2..9);
        let min_version = if publishes_versions { version.max(2) - 1 } else { 1 };
        let state = SoakJob { items, min_version, is_rejected: true, ..SoakJob::default() };
        records.jobs.lock().unwrap().insert(job.clone(), state);
        if !submit_job(cluster, records, &mut random, &job) {
            continue;
        }
        let ends_early = random.random_range(0..3) == 0;
        let patience = Duration::from_millis(if ends_early { random.random_range(50..900) } else { 6_000 });
        read_job(cluster, records, &mut random, &job, Instant::now() + patience);
        end_job(cluster, records, &mut random, &job);
        if publishes_versions {
            version += 1;
            cluster.platform.publish_version(version);
        }
    }
}

/// Submits a job until it is accepted. Gives up after a random number of attempts from one to six, so that
/// some jobs are only ever rejected.
fn submit_job(cluster: &SoakCluster, records: &ClientRecords, random: &mut Pcg64Mcg, job: &str) -> bool {
    let body = {
        let jobs = records.jobs.lock().unwrap();
        job_body_of(job, jobs[job].items, jobs[job].min_version)
    };
    for _ in 0..random.random_range(1..7) {
        let node = pick_node(random, cluster);
        let answer = call(&cluster.nodes[node].client, "POST", &format!("/jobs/{job}"), &[("request-id", job)], &body);
        let status = answer.map(|answer| answer.status);
        let mut jobs = records.jobs.lock().unwrap();
        let state = jobs.get_mut(job).unwrap();
        match status {
            Some(202) => {
                state.accepted_at = Some(Instant::now());
                state.is_rejected = false;
                return true;
            }
            Some(status) if NOT_RUN.contains(&status) => {}
            Some(status @ (400 | 404 | 409 | 413)) => cluster.violation(format!("{job} was rejected with {status}")),
            _ => state.is_rejected = false,
        }
        drop(jobs);
        std::thread::sleep(Duration::from_millis(random.random_range(50..300)));
    }
    false
}

/// Reads a job at random nodes until it is complete, which it returns, or until `until`.
pub fn read_job(
    cluster: &SoakCluster,
    records: &ClientRecords,
    random: &mut Pcg64Mcg,
    job: &str,
    until: Instant,
) -> bool {
    while Instant::now() < until {
        let (items, result_count) = {
            let jobs = records.jobs.lock().unwrap();
            (jobs[job].items, jobs[job].next_position())
        };
        if result_count == items {
            return true;
        }
        // Sometimes reads again from an earlier position, where results must not have changed.
        let from = if random.random_range(0..4) == 0 { random.random_range(0..=result_count) } else { result_count };
        read_results_page(cluster, records, pick_node(random, cluster), job, from);
        std::thread::sleep(Duration::from_millis(random.random_range(5..60)));
    }
    false
}

/// Reads results from a position on and compares them with those read before.
pub fn read_results_page(cluster: &SoakCluster, records: &ClientRecords, node: usize, job: &str, from: usize) {
    let path = format!("/trestlerack/lots/{job}?after={from}");
    let asked_at = Instant::now();
    let was_listed = records.jobs.lock().unwrap()[job].results.contains_key(&from);
    let Some(answer) = call(&cluster.nodes[node].client, "GET", &path, &[("wait-ms", "300")], "") else { return };
    if matches!(answer.status, 404 | 410) {
        cluster.violation(format!("node {node} says that {job} does not exist"));
    }
    if answer.status != 200 {
        if cluster.was_undisturbed(node, asked_at, Instant::now(), AFTERMATH, true) {
            cluster.violation(format!("undisturbed node {node} answers a read of {job} with {}", answer.status));
        }
        return;
    }
    let page = answer.json();
    let mut jobs = records.jobs.lock().unwrap();
    let state = jobs.get_mut(job).unwrap();
    if page["total"] != state.items {
        cluster.violation(format!("{job} has the total {}", page["total"]));
    }
    let results = page["results"].as_array().unwrap();
    if was_listed && results.is_empty() {
        cluster.violation(format!("node {node} lists nothing of {job} from {from} on, where a result was read before"));
    }
    if page["next"] != from + results.len() {
        cluster.violation(format!("{job} has {} results from {from} on and then {}", results.len(), page["next"]));
    }
    for (offset, result) in results.iter().enumerate() {
        let position = from + offset;
        match state.results.get(&position) {
            Some(earlier) if earlier != result => {
                cluster.violation(format!("{job} had {earlier} at {position} and now {result}"));
            }
            Some(_) => {}
            None => {
                check_result(cluster, job, state, result);
                state.results.insert(position, result.clone());
            }
        }
    }
}

fn check_result(cluster: &SoakCluster, job: &str, state: &SoakJob, result: &Value) {
    let id = result["id"].as_str().unwrap_or_default();
    if state.results.values().any(|earlier| earlier["id"] == result["id"]) || !id.starts_with(&format!("{job}-item-")) {
        cluster.violation(format!("{job} lists {id} twice, or the item is not of this job"));
    }
    if result["state"] != "completed" {
        if state.ended_at.is_none() {
            cluster.violation(format!("{job} gave up {id} before its end"));
        }
        return;
    }
    let text = result["text"].as_str().unwrap_or_default();
    if strip_versions(text.lines()) != expected_events(id) {
        cluster.violation(format!("{id} has the text {text:?}"));
    }
    let mut generated_by: Vec<u64> = text.lines().filter_map(|line| line.rsplit_once("-v")?.1.parse().ok()).collect();
    generated_by.sort_unstable();
    generated_by.dedup();
    if result["versions"] != serde_json::json!(generated_by)
        || generated_by.first().is_none_or(|v| *v < state.min_version)
    {
        cluster.violation(format!("{id} states the versions {}, generated by {generated_by:?}", result["versions"]));
    }
    if result["score"] != format!("signed-{id}-score") {
        cluster.violation(format!("{id} has the score {}", result["score"]));
    }
}

fn end_job(cluster: &SoakCluster, records: &ClientRecords, random: &mut Pcg64Mcg, job: &str) {
    for _ in 0..4 {
        let node = pick_node(random, cluster);
        let answer = call(&cluster.nodes[node].client, "DELETE", &format!("/trestlerack/lots/{job}"), &[], "");
        match answer.map(|answer| answer.status) {
            Some(200) => {
                records.jobs.lock().unwrap().get_mut(job).unwrap().ended_at.get_or_insert(Instant::now());
                // Sometimes ends the job again, which must change nothing.
                if random.random_range(0..2) == 0 {
                    return;
                }
            }
            Some(404) => cluster.violation(format!("node {node} says that {job} does not exist when it is ended")),
            _ => std::thread::sleep(Duration::from_millis(100)),
        }
    }
}
