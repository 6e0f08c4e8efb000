//! A job on a new route, accepted by one node and driven by another one whose watch has not shown the route yet.

use super::Context;
use crate::http;
use crate::json::{Json, base64, object};
use crate::nodes::{self, Node};
use crate::servers::{self, EVENTS, Seen};
use crate::store::Store;
use std::thread::sleep;
use std::time::{Duration, Instant};

const HOST: &str = "ficu95.example";
const MODEL: &str = "m0";

/// Items of each job.
const ITEMS: usize = 24;

/// Time after which an item may be given up, `max_wait_s`.
const MAX_WAIT: Duration = Duration::from_secs(40);

/// Time for which watches hear nothing: the second that `fleetbench kinds` names for `platform_compact`.
const DEAF_TIME: Duration = Duration::from_secs(1);

/// Time from the acknowledgement of the configuration to the submission.
const SUBMIT_DELAY: Duration = Duration::from_millis(150);

/// Time for which a client waits for a response.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Time in which a job of this size is done many times over.
const READ_LIMIT: Duration = Duration::from_secs(20);

pub fn run(context: &Context) -> Option<Vec<String>> {
    let record = &context.record;
    let store = Store::start();
    let seen = Seen::new(record.clone());
    store.put("op", "config", &configuration(1, &["/rollout-a/"]));
    let zones = [("leeds-a", "leeds"), ("leeds-b", "leeds"), ("leeds-c", "leeds")];
    for (number, (zone, _)) in zones.iter().enumerate() {
        servers::start_plain(&store, &seen, &format!("i-plain-{number}"), "statements", zone);
        servers::start_engine(&store, &seen, &format!("i-engine-{number}"), "drafter", MODEL, zone);
    }
    let names = [("edge-a", "leeds-a"), ("edge-b", "leeds-b"), ("edge-c", "leeds-c")];
    let mut nodes = nodes::prepare(&context.folder, &store.address.to_string(), &zones, &names);
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_ready);
    sleep(Duration::from_secs(1));
    let client = Client { context, nodes: &nodes };
    // The trainer's first step, at node b, which then drives the jobs of this model.
    client.submit(1, "/rollout-a/", "job-1")?;
    let first = client.read_all(0, "job-1")?;
    if first.iter().any(|result| result.text("state") != "completed") {
        record.line("note      the first job was not completed; the case can't run");
        return None;
    }
    client.end(0, "job-1")?;
    sleep(Duration::from_millis(300));
    if context.has_trouble {
        record.line("trouble   watches of the store hear nothing for a second");
        store.set_deaf(true);
    }
    let changed_at = Instant::now();
    store.put("op", "config", &configuration(2, &["/rollout-a/", "/rollout-b/"]));
    record.line("config    version 2 acknowledged: route /rollout-b/ added, nothing removed");
    sleep(SUBMIT_DELAY);
    // As PROTOCOL.md says, a client sends a job that was not accepted again, at another node.
    let accepted = client.submit(0, "/rollout-b/", "job-2")?;
    record.line(&format!("accepted  job-2 at {accepted:?} after its first submission"));
    let accepted_at = Instant::now();
    if context.has_trouble {
        sleep(DEAF_TIME.saturating_sub(changed_at.elapsed()));
        store.set_deaf(false);
        store.drop_history();
        record.line("trouble   the history is dropped and the watches are cut");
    }
    let results = client.read_all(2, "job-2")?;
    let age = accepted_at.elapsed();
    let runs = seen.runs.lock().unwrap().clone();
    let mut findings = Vec::new();
    for result in &results {
        let id = result.text("id");
        let reached = runs.iter().filter(|run| *run == id).count();
        if result.text("state") == "down" && age < MAX_WAIT {
            findings.push(format!(
                "MIXED: item {id} is down {} ms after the job was accepted, before max_wait_s ({} s); its route is \
                 there, no engine answered 422 or 500, and it reached engines {reached} times",
                age.as_millis(),
                MAX_WAIT.as_secs(),
            ));
        }
    }
    for node in &nodes {
        for line in node.log_lines("its route was removed").into_iter().take(1) {
            record.line(&format!("log       {}: {line}", node.name));
        }
    }
    Some(findings)
}

struct Client<'a> {
    context: &'a Context,
    nodes: &'a [Node],
}

impl Client<'_> {
    /// Submits a job at a node, and at the next ones until it is accepted. Returns how long that took.
    fn submit(&self, first: usize, prefix: &str, job: &str) -> Option<Duration> {
        let (started, path, body) = (Instant::now(), format!("{prefix}{job}"), job_body(prefix, job));
        let headers = [("host", HOST), ("request-id", job), ("content-type", "application/json")];
        for attempt in 0..self.nodes.len() * 3 {
            let node = &self.nodes[(first + attempt) % self.nodes.len()];
            let status =
                http::call(&node.client, "POST", &path, &headers, &body, CALL_LIMIT).map_or(0, |answer| answer.status);
            self.context.record.line(&format!("sent      POST {path} ({ITEMS} items) to {}: {status}", node.name));
            match status {
                202 => return Some(started.elapsed()),
                // A proper client does not repeat these; a node may not know the route yet.
                400 | 401 | 404 | 413 | 431 => return None,
                _ => sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Reads all results of a job, about twice per second.
    fn read_all(&self, node: usize, job: &str) -> Option<Vec<Json>> {
        let (node, until) = (&self.nodes[node], Instant::now() + READ_LIMIT);
        let mut results: Vec<Json> = Vec::new();
        while results.len() < ITEMS {
            if Instant::now() >= until {
                self.context.record.line(&format!("note      {job} has only {} results", results.len()));
                return None;
            }
            let path = format!("/trestlerack/lots/{job}?after={}", results.len());
            let headers = [("host", HOST), ("wait-ms", "1000")];
            let answer = http::call(&node.client, "GET", &path, &headers, "", CALL_LIMIT);
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            let page = answer.filter(|answer| answer.status == 200).and_then(|answer| Json::parse(&answer.body));
            let new = page.map(|page| page.list("results").to_vec()).unwrap_or_default();
            let down = new.iter().filter(|result| result.text("state") == "down").count();
            self.context.record.line(&format!(
                "read      GET {path} at {}: {status}, {} results, {down} of them down",
                node.name,
                new.len(),
            ));
            results.extend(new);
            sleep(Duration::from_millis(100));
        }
        Some(results)
    }

    fn end(&self, node: usize, job: &str) -> Option<()> {
        let path = format!("/trestlerack/lots/{job}");
        let answer = http::call(&self.nodes[node].client, "DELETE", &path, &[("host", HOST)], "", CALL_LIMIT)?;
        self.context.record.line(&format!("sent      DELETE {path} to {}: {}", self.nodes[node].name, answer.status));
        (answer.status == 200).then_some(())
    }
}

fn job_body(prefix: &str, job: &str) -> String {
    let item = |number: usize| {
        let id = format!("{job}-item-{number}");
        let usage = format!("16,{EVENTS}");
        let scorer = object([
            ("id", format!("{id}-score").into()),
            ("host", HOST.into()),
            ("path", "/verify/x".into()),
            ("body", base64(id.as_bytes()).into()),
        ]);
        object([
            ("id", id.as_str().into()),
            ("path", format!("{prefix}run/{number}").into()),
            ("headers", object([("Model", MODEL.into()), ("Token-Usage", usage.into())])),
            ("body", base64(id.as_bytes()).into()),
            ("tokens", (16 + EVENTS).into()),
            ("group", format!("{job}-group-{}", number / 4).into()),
            ("scorer", scorer),
        ])
    };
    let items: Vec<Json> = (0..ITEMS).map(item).collect();
    let job = object([
        ("step", 0.into()),
        ("model", MODEL.into()),
        ("min_version", 1.into()),
        ("target_groups", ((ITEMS / 4) as u64).into()),
        ("requests", items.into()),
    ]);
    job.to_string()
}

/// Returns a configuration with a rollout route for each prefix.
fn configuration(version: u64, prefixes: &[&str]) -> Json {
    let mut routes = vec![object([
        ("name", "r-verify".into()),
        ("host", HOST.into()),
        ("prefix", "/verify/".into()),
        ("kind", "safe".into()),
        ("timeout_ms", 1_500.into()),
        ("target_latency_ms", 150.into()),
        ("priority", 2.into()),
        ("service", "statements".into()),
        ("max_attempts", 4.into()),
    ])];
    for prefix in prefixes {
        routes.push(object([
            ("name", format!("r{}", prefix.replace('/', "")).into()),
            ("host", HOST.into()),
            ("prefix", (*prefix).into()),
            ("kind", "rollout".into()),
            ("timeout_ms", 10_000.into()),
            ("target_latency_ms", 400.into()),
            ("due_ms", 7_500.into()),
            ("max_wait_s", MAX_WAIT.as_secs().into()),
            ("priority", 0.into()),
            ("service", "drafter".into()),
            ("max_attempts", 3.into()),
        ]));
    }
    let engine = object([
        ("slots", 12.into()),
        ("kv_capacity", 36_982.into()),
        ("models", vec![object([("name", MODEL.into())])].into()),
    ]);
    let service =
        |name: &str| vec![("name", Json::from(name)), ("health_path", "/healthz".into()), ("max_conns", 150.into())];
    let plain = Json::Object(service("statements").into_iter().map(|(name, value)| (name.into(), value)).collect());
    let mut fields = service("drafter");
    fields.push(("engine", engine));
    let engines = Json::Object(fields.into_iter().map(|(name, value)| (name.into(), value)).collect());
    let limits = object([
        ("max_header_bytes", 16_384.into()),
        ("max_body_bytes", 33_554_432.into()),
        ("header_timeout_ms", 3_000.into()),
        ("idle_timeout_ms", 15_000.into()),
    ]);
    object([
        ("version", version.into()),
        ("routes", routes.into()),
        ("services", vec![engines, plain].into()),
        ("limits", limits),
    ])
}
