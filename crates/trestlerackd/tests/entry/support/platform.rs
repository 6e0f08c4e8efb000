//! Stand-in of the users' platform: its store, plain servers and model engines.

use super::daemon::EntryDaemon;
use super::server::{ReceivedRequest, reply, serve};
use super::store::StandinStore;
use super::{call, eventually, send};
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Load that plain servers report: running requests, waiting requests, capacity and service time in
/// milliseconds.
const REPORTED_LOAD: &str = "1,0,4,100";

/// Number of events in each stream of an engine.
pub const EVENTS_PER_STREAM: u64 = 5;

/// Injected faults and recorded requests of stand-in servers. A count of faults applies to as many of the next
/// requests.
#[derive(Default)]
pub struct ServerBehaviour {
    /// Ids of requests that ran; those of engines have the form `id@first_event`.
    pub runs: Mutex<Vec<String>>,
    /// Everything that arrived at servers.
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Headers of requests that ran, by request id.
    pub headers: Mutex<HashMap<String, BTreeMap<String, String>>>,
    /// Trace contexts received with requests.
    pub trace_contexts: Mutex<Vec<String>>,
    /// Responses to send with the id of another request.
    pub misattributed_responses: AtomicUsize,
    /// Responses to send without a length, delimited by the end of the connection.
    pub unframed_responses: AtomicUsize,
    /// Responses to send without a length whose connection is reset.
    pub reset_responses: AtomicUsize,
    /// Responses to truncate within the body.
    pub truncated_responses: AtomicUsize,
    /// Requests to run and answer with 504, as after a missed deadline.
    pub timeout_responses: AtomicUsize,
    /// Status of the response to each run of an item, by its id; the other items are generated.
    pub item_statuses: Mutex<BTreeMap<String, u16>>,
    /// Time that an engine works on an item before it answers with one of `item_statuses`, in milliseconds.
    pub failure_delay_ms: AtomicUsize,
    /// Score calls under `/patient/` to run and answer with 500.
    pub failing_scores: AtomicUsize,
    /// Requests to reject as not run.
    pub rejections: AtomicUsize,
    /// Whether no request is answered.
    pub hangs: AtomicBool,
    /// Requests to leave unanswered.
    pub unanswered_requests: AtomicUsize,
    /// Maximum concurrent requests of all plain servers together, or 0 for no limit; others are rejected.
    concurrency_limit: AtomicUsize,
    /// Service time of a plain server, in milliseconds.
    pub work_ms: AtomicUsize,
    /// Whether plain servers report their load with each response.
    pub reports_load: AtomicBool,
    /// Number of one plain server that differs from the others, and how.
    pub differing_server: Mutex<Option<(usize, ServerMode)>>,
    /// Number of requests that ran, by the number of their plain server.
    pub runs_by_server: Mutex<BTreeMap<usize, usize>>,
    /// Requests that plain servers are running.
    pub concurrent_runs: AtomicUsize,
    /// Maximum of that number so far.
    pub peak_concurrent_runs: AtomicUsize,
    /// Unanswered requests whose connection the caller closed.
    pub abandoned_requests: AtomicUsize,
    /// Size of the responses to requests whose path ends in "large", in bytes.
    pub large_bytes: AtomicUsize,
    /// Time before each event of a stream, in milliseconds.
    pub event_interval_ms: AtomicUsize,
    /// Padding of each event, in bytes.
    pub event_padding: AtomicUsize,
    /// Streams to break off within their third event.
    pub broken_streams: AtomicUsize,
    /// Number of the event of the next stream that has a wrong number, in one chunk with all before it; 0 for none.
    pub spoiled_event: AtomicU64,
    /// Last start of each request, by id.
    pub last_runs: Mutex<HashMap<String, Instant>>,
    /// Orders that engines accepted, in order of arrival.
    pub orders: Mutex<Vec<EngineOrder>>,
    /// Orders to carry out without a response.
    pub unanswered_orders: AtomicUsize,
    /// Polls for a report that the first engine leaves unanswered.
    pub unanswered_reports: AtomicUsize,
    /// Times at which the caller closed the connection of such a poll.
    pub abandoned_reports: Mutex<Vec<Instant>>,
}

/// How one plain server differs from the others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerMode {
    /// Responds this many milliseconds later.
    Slow(u64),
    /// Responds with status 500.
    Failing,
}

/// A request that arrived at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Instance that the sender expected; empty if it named none.
    pub server: String,
    pub path: String,
    /// Request id; empty for requests without one.
    pub id: String,
    /// Address from which the connection was opened, unless it was reset already.
    pub from: Option<SocketAddr>,
    pub at: Instant,
}

impl Arrival {
    /// Records a request that arrives now.
    pub fn new(request: &ReceivedRequest, stream: &TcpStream) -> Self {
        let header = |name: &str| request.headers.get(name).cloned().unwrap_or_default();
        let (server, id) = (header("expect-instance"), header("request-id"));
        Self { server, path: request.path.clone(), id, from: stream.peer_addr().ok(), at: Instant::now() }
    }
}

/// An order that an engine accepted.
#[derive(Clone, Debug)]
pub struct EngineOrder {
    pub engine: String,
    pub holder: String,
    pub fence: u64,
    pub version: u64,
    pub at: Instant,
}

impl ServerBehaviour {
    /// Limits the concurrent requests of all plain servers together.
    pub fn limit_concurrency(&self, limit: usize) {
        self.concurrency_limit.store(limit, Ordering::SeqCst);
    }

    fn record_arrival(&self, request: &ReceivedRequest, stream: &TcpStream) {
        self.arrivals.lock().unwrap().push(Arrival::new(request, stream));
    }

    fn is_full(&self) -> bool {
        let limit = self.concurrency_limit.load(Ordering::SeqCst);
        limit > 0 && self.concurrent_runs.load(Ordering::SeqCst) >= limit
    }
}

fn take_one(count: &AtomicUsize) -> bool {
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

/// Starts a plain server, which is also the scoring service and returns the request body.
fn plain_server(behaviour: Arc<ServerBehaviour>, number: usize) -> SocketAddr {
    serve(move |request, stream| {
        behaviour.record_arrival(&request, stream);
        let id = request.headers["request-id"].clone();
        if take_one(&behaviour.rejections) || behaviour.is_full() {
            return reply(stream, 503, &[("request-id", &id), ("not-executed", "1")], "");
        }
        behaviour.runs.lock().unwrap().push(id.clone());
        behaviour.headers.lock().unwrap().insert(id.clone(), request.headers.clone());
        behaviour.trace_contexts.lock().unwrap().extend(request.headers.get("traceparent").cloned());
        if behaviour.hangs.load(Ordering::SeqCst) || take_one(&behaviour.unanswered_requests) {
            let mut byte = [0];
            stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            if matches!(stream.peek(&mut byte), Ok(0) | Err(_)) {
                behaviour.abandoned_requests.fetch_add(1, Ordering::SeqCst);
            }
            return false;
        }
        let concurrent = behaviour.concurrent_runs.fetch_add(1, Ordering::SeqCst) + 1;
        behaviour.peak_concurrent_runs.fetch_max(concurrent, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(behaviour.work_ms.load(Ordering::SeqCst) as u64));
        *behaviour.runs_by_server.lock().unwrap().entry(number).or_default() += 1;
        let mode = behaviour
            .differing_server
            .lock()
            .unwrap()
            .filter(|(differing, _)| *differing == number)
            .map(|(_, mode)| mode);
        if let Some(ServerMode::Slow(ms)) = mode {
            std::thread::sleep(Duration::from_millis(ms));
        }
        behaviour.concurrent_runs.fetch_sub(1, Ordering::SeqCst);
        if take_one(&behaviour.timeout_responses) {
            return reply(stream, 504, &[("request-id", &id), ("response-stamp", "s")], "");
        }
        if request.path.starts_with("/patient/") && take_one(&behaviour.failing_scores) {
            return reply(stream, 500, &[("request-id", &id), ("response-stamp", "s")], "");
        }
        let is_large = request.path.ends_with("large");
        let body = match is_large {
            true => "x".repeat(behaviour.large_bytes.load(Ordering::SeqCst)),
            false => String::from_utf8(request.body).unwrap(),
        };
        let is_reset = take_one(&behaviour.reset_responses);
        if is_reset || take_one(&behaviour.unframed_responses) {
            return reply_unframed(stream, &id, &body, is_reset);
        }
        if take_one(&behaviour.truncated_responses) {
            let text =
                format!("HTTP/1.1 200 X\r\ncontent-length: 99\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\r\nhalf");
            // A write fails if the caller has already closed the connection.
            let _ = stream.write_all(text.as_bytes());
            return false;
        }
        // Checked after the other faults, so that a response has only one.
        let echoed = if take_one(&behaviour.misattributed_responses) { "another" } else { &id };
        let stamp = format!("signed-{id}");
        let mut headers = vec![("request-id", echoed), ("response-stamp", &stamp)];
        if behaviour.reports_load.load(Ordering::SeqCst) {
            headers.push(("server-load", REPORTED_LOAD));
        }
        let status = if mode == Some(ServerMode::Failing) { 500 } else { 200 };
        reply(stream, status, &headers, &body)
    })
}

/// Responds without a length; with `is_reset`, sends half of the body and resets the connection.
fn reply_unframed(stream: &mut TcpStream, id: &str, body: &str, is_reset: bool) -> bool {
    let sent = if is_reset { &body[..body.len() / 2] } else { body };
    let text =
        format!("HTTP/1.1 200 X\r\nconnection: close\r\nrequest-id: {id}\r\nresponse-stamp: signed-{id}\r\n\r\n{sent}");
    // A write fails if the caller has already closed the connection.
    let _ = stream.write_all(text.as_bytes());
    if is_reset {
        std::thread::sleep(Duration::from_millis(50));
        // With this option, the close that follows resets the connection.
        let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
    }
    false
}

/// A model engine, which starts with version 1 and loads other versions immediately.
struct ModelEngine {
    behaviour: Arc<ServerBehaviour>,
    store: StandinStore,
    name: String,
    /// Address that it registers: its own, or that of a proxy in front of it.
    address: Mutex<String>,
    version: AtomicU64,
    orders: AtomicU64,
}

impl ModelEngine {
    fn answer(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        self.behaviour.record_arrival(request, stream);
        match &*request.path {
            "/trestlerack/report" if self.name == "i-engine-0" && take_one(&self.behaviour.unanswered_reports) => {
                stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
                // Returns when the caller closes the connection.
                let _ = stream.peek(&mut [0]);
                self.behaviour.abandoned_reports.lock().unwrap().push(Instant::now());
                false
            }
            "/trestlerack/report" => {
                let (version, orders) = (self.version.load(Ordering::SeqCst), self.orders.load(Ordering::SeqCst));
                let report = json!({ "models": [{ "name": "m", "version": version }], "busy": false, "seq": orders });
                reply(stream, 200, &[], &report.to_string())
            }
            "/trestlerack/order" => self.take_order(request, stream),
            _ => self.generate(request, stream),
        }
    }

    fn take_order(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        if request.headers.get("expect-instance") != Some(&self.name) {
            return reply(stream, 421, &[("not-executed", "1")], "");
        }
        let order: Value = serde_json::from_slice(&request.body).unwrap();
        let version = order["version"].as_u64().unwrap();
        let accepted = self.orders.load(Ordering::SeqCst);
        if order["expected_rev"].as_u64().is_some_and(|expected| expected != accepted) {
            return reply(stream, 409, &[], "");
        }
        if version <= self.version.load(Ordering::SeqCst) {
            return reply(stream, 200, &[], "");
        }
        self.behaviour.orders.lock().unwrap().push(EngineOrder {
            engine: self.name.clone(),
            holder: order["holder"].as_str().unwrap().to_owned(),
            fence: order["fence"].as_u64().unwrap(),
            version,
            at: Instant::now(),
        });
        self.orders.fetch_add(1, Ordering::SeqCst);
        self.version.store(version, Ordering::SeqCst);
        self.register();
        !take_one(&self.behaviour.unanswered_orders) && reply(stream, 202, &[], "")
    }

    fn register(&self) {
        let models = json!([{ "name": "m", "version": self.version.load(Ordering::SeqCst) }]);
        register(&self.store, &self.name, "models", &self.address.lock().unwrap(), models);
    }

    /// Streams the events after the last event id of the request. The data of each event names the request, the
    /// event number and the version that generated it.
    fn generate(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        let id = request.headers["request-id"].clone();
        if take_one(&self.behaviour.rejections) {
            return reply(stream, 503, &[("request-id", &id), ("not-executed", "1")], "");
        }
        let first = request.headers.get("last-event-id").map_or(1, |last| last.parse::<u64>().unwrap() + 1);
        self.behaviour.runs.lock().unwrap().push(format!("{id}@{first}"));
        self.behaviour.headers.lock().unwrap().insert(id.clone(), request.headers.clone());
        self.behaviour.last_runs.lock().unwrap().insert(id.clone(), Instant::now());
        if take_one(&self.behaviour.timeout_responses) {
            return reply(stream, 504, &[("request-id", &id), ("response-stamp", "s")], "");
        }
        let failure = self.behaviour.item_statuses.lock().unwrap().get(&id).copied();
        if let Some(status) = failure {
            let delay_ms = self.behaviour.failure_delay_ms.load(Ordering::SeqCst);
            std::thread::sleep(Duration::from_millis(delay_ms as u64));
            return reply(stream, status, &[("request-id", &id), ("response-stamp", "s")], "");
        }
        let mut version = self.version.load(Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\
             weight-versions: {version}\r\n\r\n"
        );
        let mut write = |text: String| stream.write_all(text.as_bytes()).is_ok();
        if !write(head) {
            return false;
        }
        let spoiled = self.behaviour.spoiled_event.swap(0, Ordering::SeqCst);
        if spoiled > 0 {
            let number = |event: u64| if event == spoiled { 96 } else { event };
            let events: String = (first..=spoiled)
                .map(|event| format!("id: {}\ndata: {}\n\n", number(event), event_data(&id, event, version)))
                .collect();
            write(format!("{:x}\r\n{events}\r\n", events.len()));
        }
        let is_broken = take_one(&self.behaviour.broken_streams);
        for number in first.max(spoiled + 1)..=EVENTS_PER_STREAM {
            if is_broken && number == 3 {
                write("1c\r\nid: 3\ndata: ".into());
                return false;
            }
            std::thread::sleep(Duration::from_millis(self.behaviour.event_interval_ms.load(Ordering::SeqCst) as u64));
            let loaded = self.version.load(Ordering::SeqCst);
            let change = if loaded == version { String::new() } else { format!("weight-versions: {loaded}\n") };
            version = loaded;
            let padding = " ".repeat(self.behaviour.event_padding.load(Ordering::SeqCst));
            let data = event_data(&id, number, version);
            let event = format!("{change}id: {number}\ndata: {data}{padding}\n\n");
            if !write(format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
        }
        write("0\r\n\r\n".into())
    }
}

pub(super) fn event_data(id: &str, number: u64, version: u64) -> String {
    format!("{id}-{number}-v{version}")
}

/// Returns the data of all events of an item that one version generated.
pub fn complete_text(id: &str, version: u64) -> Vec<String> {
    (1..=EVENTS_PER_STREAM).map(|number| event_data(id, number, version)).collect()
}

/// Registers a server. One that registers again keeps its zone and the time of its start.
pub(super) fn register(store: &StandinStore, instance: &str, service: &str, address: &str, models: Value) {
    let known = store.get("servers", instance).unwrap_or_else(|| json!({ "zone": "z", "born": 0 }));
    store.put(
        "servers",
        instance,
        &json!({ "service": service, "addr": address, "zone": known["zone"], "born": known["born"], "version": "v1", "slots": 4, "state": "ready",
            "cold_left_ms": 0, "models": models, "seq": 1 }),
    );
}

/// The store, and the servers of its configuration.
pub struct Platform {
    pub store: StandinStore,
    pub plain: Arc<ServerBehaviour>,
    pub engine: Arc<ServerBehaviour>,
}

impl Platform {
    pub fn start() -> Self {
        Self::start_behind_proxies(2, |address| address.to_string())
    }

    /// Starts `count` servers of each kind, registered at the addresses that `relay` returns for theirs.
    pub fn start_behind_proxies(count: usize, relay: impl FnMut(SocketAddr) -> String) -> Self {
        Self::start_relayed(count, count, relay)
    }

    /// Starts the given numbers of plain servers and model engines.
    pub fn start_with_counts(plain: usize, engines: usize) -> Self {
        Self::start_relayed(plain, engines, |address| address.to_string())
    }

    fn start_relayed(plain_count: usize, engine_count: usize, mut relay: impl FnMut(SocketAddr) -> String) -> Self {
        let store = StandinStore::start();
        let (plain, engine) = (Arc::<ServerBehaviour>::default(), Arc::<ServerBehaviour>::default());
        store.put("op", "config", &configuration());
        for number in 0..plain_count.max(engine_count) {
            if number < plain_count {
                let address = relay(plain_server(plain.clone(), number));
                register(&store, &format!("i-plain-{number}"), "plain", &address, json!([]));
            }
            if number >= engine_count {
                continue;
            }
            let model_engine = Arc::new(ModelEngine {
                behaviour: engine.clone(),
                store: store.clone(),
                name: format!("i-engine-{number}"),
                address: Mutex::default(),
                version: AtomicU64::new(1),
                orders: AtomicU64::new(0),
            });
            let handler = model_engine.clone();
            let address = serve(move |request, stream| handler.answer(&request, stream));
            *model_engine.address.lock().unwrap() = relay(address);
            model_engine.register();
        }
        Self { store, plain, engine }
    }

    /// Writes a configuration with the given `tenants`, in wire format, as the operator does.
    pub fn configure(&self, version: u64, tenants: Value) {
        let mut config = configuration();
        config["version"] = json!(version);
        config["tenants"] = tenants;
        config["routes"][0]["public"] = json!(false);
        config["routes"][1]["public"] = json!(true);
        self.store.put("op", "config", &config);
    }

    /// Writes the initial configuration with a change.
    pub fn reconfigure(&self, version: u64, change: impl FnOnce(&mut Value)) {
        let mut config = configuration();
        config["version"] = json!(version);
        change(&mut config);
        self.store.put("op", "config", &config);
    }

    /// Writes a configuration with the given `autoscale`, in wire format, which lets engines of the model service
    /// be ordered.
    pub fn configure_scaling(&self, version: u64, autoscale: Value) {
        let mut config = configuration();
        config["version"] = json!(version);
        config["services"][1]["autoscale"] = autoscale;
        self.store.put("op", "config", &config);
    }

    /// Adds a route to the plain service.
    pub fn add_route(&self, version: u64, prefix: &str) {
        let mut config = configuration();
        config["version"] = json!(version);
        let mut route = config["routes"][0].clone();
        route["name"] = json!("added");
        route["prefix"] = json!(prefix);
        config["routes"].as_array_mut().unwrap().push(route);
        self.store.put("op", "config", &config);
    }

    /// Moves a server to a zone, as a restart there does.
    pub fn set_zone(&self, instance: &str, zone: &str) {
        let mut row = self.store.get("servers", instance).unwrap();
        row["zone"] = json!(zone);
        row["born"] = json!(row["born"].as_u64().unwrap() + 1);
        self.store.put("servers", instance, &row);
    }

    /// Publishes a version of the weights, as a trainer does.
    pub fn publish_version(&self, version: u64) {
        self.store.put("op", "version/m", &json!({ "model": "m", "version": version }));
    }
}

fn configuration() -> Value {
    let limits = json!({ "max_header_bytes": 16384, "max_body_bytes": 1_000_000, "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000 });
    json!({ "version": 1, "limits": limits,
        "services": [{ "name": "plain", "max_conns": 100 },
            { "name": "models", "max_conns": 100, "engine": { "slots": 4, "models": [{ "name": "m" }] } },
            { "name": "fragile", "max_conns": 100 }],
        "routes": [
            { "name": "safe", "host": "h.example", "prefix": "/safe/", "kind": "safe", "timeout_ms": 3000,
                "target_latency_ms": 150, "service": "plain", "max_attempts": 3 },
            { "name": "untimed", "host": "h.example", "prefix": "/untimed/", "kind": "safe", "timeout_ms": 3000,
                "service": "plain", "max_attempts": 3 },
            { "name": "fragile", "host": "h.example", "prefix": "/fragile/", "kind": "safe", "timeout_ms": 3000,
                "target_latency_ms": 150, "service": "fragile", "max_attempts": 3 },
            { "name": "once", "host": "h.example", "prefix": "/once/", "kind": "unsafe", "timeout_ms": 3000,
                "target_latency_ms": 150, "service": "plain", "max_attempts": 3 },
            { "name": "resumed", "host": "h.example", "prefix": "/resumed/", "kind": "unsafe", "timeout_ms": 5000,
                "streaming": true, "resumable": true, "service": "models", "max_attempts": 3 },
            { "name": "streamed", "host": "h.example", "prefix": "/streamed/", "kind": "unsafe",
                "timeout_ms": 5000, "streaming": true, "service": "models", "max_attempts": 3 },
            { "name": "jobs", "host": "h.example", "prefix": "/jobs/", "kind": "rollout", "due_ms": 7500,
                "target_latency_ms": 400, "service": "models", "max_attempts": 3, "max_wait_s": 60.0 }] })
}

/// Returns the body of a job with groups of two items, whose ids begin with the id of the job.
pub fn job_body_of(job: &str, items: usize, min_version: u64) -> String {
    job_body_with(job, items, min_version, b"body")
}

/// Like [`job_body_of`], with the given body for each item.
pub fn job_body_with(job: &str, items: usize, min_version: u64, body: &[u8]) -> String {
    let item = |number: usize| {
        let id = format!("{job}-item-{number}");
        json!({ "id": id, "path": "/jobs/run", "headers": { "Model": "m" }, "body": BASE64_STANDARD.encode(body),
            "tokens": 100, "group": format!("{job}-{}", number / 2),
            "scorer": { "id": format!("{id}-score"), "host": "h.example", "path": "/safe/score", "body": "" } })
    };
    let items: Vec<Value> = (0..items).map(item).collect();
    json!({ "step": 0, "model": "m", "min_version": min_version, "target_groups": 1, "requests": items }).to_string()
}

/// Submits a job and returns the status of the response, or 0 without one.
pub fn submit(daemon: &EntryDaemon, job: &str, items: usize) -> u16 {
    let path = format!("/jobs/{job}");
    call(&daemon.client, "POST", &path, &[("request-id", job)], &job_body_of(job, items, 1))
        .map_or(0, |answer| answer.status)
}

/// Reads the results of a job until all are available.
pub fn read_results(daemon: &EntryDaemon, job: &str, total: usize) -> Vec<Value> {
    let mut results: Vec<Value> = Vec::new();
    eventually("the job is complete", || {
        let path = format!("/trestlerack/lots/{job}?after={}", results.len());
        let Some(answer) = call(&daemon.client, "GET", &path, &[("wait-ms", "500")], "") else { return false };
        if answer.status != 200 {
            return false;
        }
        let page = answer.json();
        assert_eq!(page["total"], total);
        results.extend(page["results"].as_array().unwrap().iter().cloned());
        assert_eq!(page["next"], results.len());
        results.len() == total
    });
    results
}

/// Reads a chunked stream. Returns the data of its events and whether it is complete, or `None` without a
/// connection.
pub fn read_stream_from(client: &str, path: &str, id: &str) -> Option<(String, bool)> {
    read_stream_with_body(client, path, id, "prompt")
}

/// Like [`read_stream_from`], with the given request body.
pub fn read_stream_with_body(client: &str, path: &str, id: &str, body: &str) -> Option<(String, bool)> {
    let mut stream = TcpStream::connect(client).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let headers = [("request-id", id), ("model", "m"), ("connection", "close")];
    send(&mut stream, "POST", path, &headers, body)?;
    let mut bytes = Vec::new();
    // A truncated reply may end with a reset; the bytes before it still count.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8(bytes).ok()?;
    let is_complete = text.starts_with("HTTP/1.1 200") && text.ends_with("0\r\n\r\n");
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    Some((events.join(","), is_complete))
}
