//! What the cases have in common: a small deployment with one model, and its trainer.

use super::Context;
use crate::http;
use crate::json::{Json, base64, object};
use crate::nodes::Node;
use crate::servers::{self, Seen};
use crate::store::Store;
use std::thread::sleep;
use std::time::{Duration, Instant};

pub const HOST: &str = "ficu95.example";
pub const MODEL: &str = "m0";

/// Prefix of the route for streams of clients.
pub const STREAM_PREFIX: &str = "/draft/";

/// Items of each group.
const GROUP: usize = 4;

/// Zones of the deployment, with their region.
pub const ZONES: [(&str, &str); 3] = [("leeds-a", "leeds"), ("leeds-b", "leeds"), ("leeds-c", "leeds")];

/// `max_attempts` of the rollout routes.
pub const MAX_ATTEMPTS: u64 = 3;

/// Time after which an item may be given up, `max_wait_s`.
pub const MAX_WAIT: Duration = Duration::from_secs(40);

/// Time for which a client waits for a response.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Longest time for reading the results of a job.
const READ_LIMIT: Duration = Duration::from_secs(20);

/// Starts the store, with a configuration of one rollout route, and three servers of each service.
pub fn start_platform(seen: &Seen, prefix: &str) -> Store {
    let store = Store::start();
    store.put("op", "config", &configuration(1, &[prefix]));
    for (number, (zone, _)) in ZONES.iter().enumerate() {
        servers::start_plain(&store, seen, &format!("i-plain-{number}"), "statements", zone);
        servers::start_engine(&store, seen, &format!("i-engine-{number}"), "drafter", MODEL, zone);
    }
    store
}

/// A trainer.
pub struct Client<'a> {
    pub context: &'a Context,
    pub nodes: &'a [Node],
}

impl Client<'_> {
    /// Submits a job at the first node, once.
    pub fn submit_once(&self, prefix: &str, job: &JobShape<'_>) {
        let (node, path) = (&self.nodes[0], format!("{prefix}{}", job.id));
        let headers = [("host", HOST), ("request-id", job.id), ("content-type", "application/json")];
        let answer = http::call(&node.client, "POST", &path, &headers, &job.body(prefix), CALL_LIMIT);
        let status = answer.map_or(0, |answer| answer.status);
        self.context.record.line(&format!("sent      POST {path} ({} items) to {}: {status}", job.items, node.name));
    }

    /// Submits a job at a node, and at the next ones until it is accepted. Returns how long that took.
    pub fn submit(&self, first: usize, prefix: &str, job: &JobShape<'_>) -> Option<Duration> {
        let (started, path, body) = (Instant::now(), format!("{prefix}{}", job.id), job.body(prefix));
        let headers = [("host", HOST), ("request-id", job.id), ("content-type", "application/json")];
        for attempt in 0..self.nodes.len() * 3 {
            let node = &self.nodes[(first + attempt) % self.nodes.len()];
            let status =
                http::call(&node.client, "POST", &path, &headers, &body, CALL_LIMIT).map_or(0, |answer| answer.status);
            self.context
                .record
                .line(&format!("sent      POST {path} ({} items) to {}: {status}", job.items, node.name));
            match status {
                202 => return Some(started.elapsed()),
                // A proper client does not repeat these; a node may not know the route yet.
                400 | 401 | 404 | 413 | 431 => return None,
                _ => sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Reads all results of a job, from each position where the page before ended.
    pub fn read_all(&self, node: usize, job: &JobShape<'_>) -> Option<Vec<Json>> {
        let (node, until) = (&self.nodes[node], Instant::now() + READ_LIMIT);
        let mut results: Vec<Json> = Vec::new();
        while results.len() < job.items {
            if Instant::now() >= until {
                self.context.record.line(&format!("note      {} has only {} results", job.id, results.len()));
                return None;
            }
            let path = format!("/trestlerack/lots/{}?after={}", job.id, results.len());
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

    /// Ends a job.
    pub fn end(&self, node: usize, job: &JobShape<'_>) -> Option<()> {
        let path = format!("/trestlerack/lots/{}", job.id);
        let answer = http::call(&self.nodes[node].client, "DELETE", &path, &[("host", HOST)], "", CALL_LIMIT)?;
        self.context.record.line(&format!("sent      DELETE {path} to {}: {}", self.nodes[node].name, answer.status));
        (answer.status == 200).then_some(())
    }
}

/// A job of items that are all alike, but for the first one if that fails.
pub struct JobShape<'a> {
    pub id: &'a str,
    pub items: usize,
    /// Events of each text.
    pub events: u64,
    /// Whether each run of the first item is answered with 500.
    pub first_fails: bool,
    /// Bytes of the body of each item, at least.
    pub body_bytes: usize,
}

impl Default for JobShape<'_> {
    fn default() -> Self {
        Self { id: "job-1", items: 2 * GROUP, events: 1, first_fails: false, body_bytes: 0 }
    }
}

impl JobShape<'_> {
    fn body(&self, prefix: &str) -> String {
        let items: Vec<Json> = (0..self.items).map(|number| self.item(prefix, number)).collect();
        let job = object([
            ("step", 0.into()),
            ("model", MODEL.into()),
            ("min_version", 1.into()),
            ("target_groups", ((self.items / GROUP) as u64).into()),
            ("requests", items.into()),
        ]);
        job.to_string()
    }

    fn item(&self, prefix: &str, number: usize) -> Json {
        let id = format!("{}-item-{number}", self.id);
        let suffix = if self.first_fails && number == 0 { servers::FAILING_PATH } else { "" };
        let usage = format!("16,{}", self.events);
        let scorer = object([
            ("id", format!("{id}-score").into()),
            ("host", HOST.into()),
            ("path", "/verify/x".into()),
            ("body", base64(id.as_bytes()).into()),
        ]);
        object([
            ("id", id.as_str().into()),
            ("path", format!("{prefix}run/{number}{suffix}").into()),
            ("headers", object([("Model", MODEL.into()), ("Token-Usage", usage.into())])),
            ("body", base64(id.repeat(1 + self.body_bytes / id.len()).as_bytes()).into()),
            ("tokens", (16 + self.events).into()),
            ("group", format!("{}-group-{}", self.id, number / GROUP).into()),
            ("scorer", scorer),
        ])
    }
}

/// Returns a configuration with a rollout route for each prefix.
pub fn configuration(version: u64, prefixes: &[&str]) -> Json {
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
    routes.push(object([
        ("name", "r-stream".into()),
        ("host", HOST.into()),
        ("prefix", STREAM_PREFIX.into()),
        ("kind", "unsafe".into()),
        ("streaming", true.into()),
        ("resumable", true.into()),
        ("timeout_ms", 10_000.into()),
        ("target_latency_ms", 400.into()),
        ("priority", 1.into()),
        ("service", "drafter".into()),
        ("max_attempts", MAX_ATTEMPTS.into()),
    ]));
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
            ("max_attempts", MAX_ATTEMPTS.into()),
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
