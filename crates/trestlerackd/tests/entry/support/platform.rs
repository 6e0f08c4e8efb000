//! The platform as a whole: its store, plain servers and model engines.

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

/// Load that plain servers state: requests that run, that wait and that can run, and how long work takes.
const STATED_LOAD: &str = "1,0,4,100";

/// Events of each stream of an engine.
pub const EVENTS: u64 = 5;

/// What stand-in servers do and have seen.
#[derive(Default)]
pub struct ServerBehaviour {
    /// Requests that ran, by id; with the first event for those of engines.
    pub runs: Mutex<Vec<String>>,
    /// Headers of the requests that ran, by id.
    pub headers: Mutex<HashMap<String, BTreeMap<String, String>>>,
    /// Trace contexts that came with requests.
    pub trace_contexts: Mutex<Vec<String>>,
    /// Answers that bear the id of another request.
    pub foreign_answers: AtomicUsize,
    /// Answers without a length, which end with their connection.
    pub unframed_answers: AtomicUsize,
    /// Answers without a length whose connection is reset.
    pub reset_answers: AtomicUsize,
    /// Answers whose body breaks off.
    pub short_answers: AtomicUsize,
    /// Requests that ran and are answered with the failure that a passed deadline brings.
    pub overdue_answers: AtomicUsize,
    /// Requests that are refused as not run.
    pub refusals: AtomicUsize,
    /// Requests that are never answered.
    pub hangs: AtomicBool,
    /// How many requests are never answered.
    pub silent_answers: AtomicUsize,
    /// Most requests that plain servers run at once, all together; the others are refused. 0 for any.
    limit: AtomicUsize,
    /// Time that a plain server works on a request, in milliseconds.
    pub work_ms: AtomicUsize,
    /// Whether plain servers state their load, with how long work takes there.
    pub states_slowness: AtomicBool,
    /// How one plain server, by its number, differs from the others.
    pub uneven: Mutex<Option<(usize, ServerMode)>>,
    /// Requests that ran, by the number of their plain server.
    pub runs_at: Mutex<BTreeMap<usize, usize>>,
    /// Requests that plain servers work on, and the most so far.
    pub at_once: AtomicUsize,
    pub most_at_once: AtomicUsize,
    /// Connections that were closed by the caller while a request hung.
    pub left: AtomicUsize,
    /// Bytes of the answers to requests whose path ends in "large".
    pub large_bytes: AtomicUsize,
    /// Pause between two events, in milliseconds.
    pub pace_ms: AtomicUsize,
    /// Bytes by which each event is longer than what it tells.
    pub event_bytes: AtomicUsize,
    /// Streams that break off within their third event.
    pub broken_streams: AtomicUsize,
    /// When each request last began to run, by id.
    pub last_runs: Mutex<HashMap<String, Instant>>,
    /// Orders that engines accepted, in the order of their arrival.
    pub orders: Mutex<Vec<EngineOrder>>,
    /// Orders that are carried out and whose answer is lost.
    pub lost_orders: AtomicUsize,
    /// Questions for a report that the first engine never answers.
    pub silent_reports: AtomicUsize,
    /// When the caller gave such a question up.
    pub reports_given_up: Mutex<Vec<Instant>>,
}

/// How a plain server differs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerMode {
    /// It takes so many milliseconds more.
    Slow(u64),
    /// It answers with an error of its own.
    Failing,
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
    /// Bounds how many requests plain servers run at once.
    pub fn limit_at_once(&self, most: usize) {
        self.limit.store(most, Ordering::SeqCst);
    }

    fn is_full(&self) -> bool {
        let most = self.limit.load(Ordering::SeqCst);
        most > 0 && self.at_once.load(Ordering::SeqCst) >= most
    }
}

fn take(count: &AtomicUsize) -> bool {
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

/// A plain server, which is also the scoring service; it answers with the body that it got.
fn plain_server(behaviour: Arc<ServerBehaviour>, number: usize) -> SocketAddr {
    serve(move |request, stream| {
        let id = request.headers["request-id"].clone();
        if take(&behaviour.refusals) || behaviour.is_full() {
            return reply(stream, 503, &[("request-id", &id), ("not-executed", "1")], "");
        }
        behaviour.runs.lock().unwrap().push(id.clone());
        behaviour.headers.lock().unwrap().insert(id.clone(), request.headers.clone());
        behaviour.trace_contexts.lock().unwrap().extend(request.headers.get("traceparent").cloned());
        if behaviour.hangs.load(Ordering::SeqCst) || take(&behaviour.silent_answers) {
            let mut byte = [0];
            stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            if matches!(stream.peek(&mut byte), Ok(0) | Err(_)) {
                behaviour.left.fetch_add(1, Ordering::SeqCst);
            }
            return false;
        }
        let at_once = behaviour.at_once.fetch_add(1, Ordering::SeqCst) + 1;
        behaviour.most_at_once.fetch_max(at_once, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(behaviour.work_ms.load(Ordering::SeqCst) as u64));
        *behaviour.runs_at.lock().unwrap().entry(number).or_default() += 1;
        let mode = behaviour.uneven.lock().unwrap().filter(|(uneven, _)| *uneven == number).map(|(_, mode)| mode);
        if let Some(ServerMode::Slow(ms)) = mode {
            std::thread::sleep(Duration::from_millis(ms));
        }
        behaviour.at_once.fetch_sub(1, Ordering::SeqCst);
        if take(&behaviour.overdue_answers) {
            return reply(stream, 504, &[("request-id", &id), ("response-stamp", "s")], "");
        }
        let is_large = request.path.ends_with("large");
        let body = match is_large {
            true => "x".repeat(behaviour.large_bytes.load(Ordering::SeqCst)),
            false => String::from_utf8(request.body).unwrap(),
        };
        let is_reset = take(&behaviour.reset_answers);
        if is_reset || take(&behaviour.unframed_answers) {
            return end_with_connection(stream, &id, &body, is_reset);
        }
        if take(&behaviour.short_answers) {
            let text =
                format!("HTTP/1.1 200 X\r\ncontent-length: 99\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\r\nhalf");
            // The caller may have left, which ends the connection as well.
            let _ = stream.write_all(text.as_bytes());
            return false;
        }
        // After the others, so that an answer is spoilt in one way.
        let echoed = if take(&behaviour.foreign_answers) { "another" } else { &id };
        let stamp = format!("signed-{id}");
        let mut headers = vec![("request-id", echoed), ("response-stamp", &stamp)];
        if behaviour.states_slowness.load(Ordering::SeqCst) {
            headers.push(("server-load", STATED_LOAD));
        }
        let status = if mode == Some(ServerMode::Failing) { 500 } else { 200 };
        reply(stream, status, &headers, &body)
    })
}

/// Answers without a length; a reset leaves the answer half.
fn end_with_connection(stream: &mut TcpStream, id: &str, body: &str, is_reset: bool) -> bool {
    let sent = if is_reset { &body[..body.len() / 2] } else { body };
    let text =
        format!("HTTP/1.1 200 X\r\nconnection: close\r\nrequest-id: {id}\r\nresponse-stamp: signed-{id}\r\n\r\n{sent}");
    // The caller may have left, which ends the connection as well.
    let _ = stream.write_all(text.as_bytes());
    if is_reset {
        std::thread::sleep(Duration::from_millis(50));
        // Closing the connection, which follows, then resets it.
        let _ = socket2::SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
    }
    false
}

/// A model engine, which starts with version 1 and takes over any other at once.
struct ModelEngine {
    behaviour: Arc<ServerBehaviour>,
    store: StandinStore,
    name: String,
    /// Address at which it registers: its own, or that of a proxy before it.
    address: Mutex<String>,
    version: AtomicU64,
    orders: AtomicU64,
}

impl ModelEngine {
    fn answer(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        match &*request.path {
            "/trestlerack/report" if self.name == "i-engine-0" && take(&self.behaviour.silent_reports) => {
                stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
                // Ends with the connection, which the caller closes.
                let _ = stream.peek(&mut [0]);
                self.behaviour.reports_given_up.lock().unwrap().push(Instant::now());
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
        !take(&self.behaviour.lost_orders) && reply(stream, 202, &[], "")
    }

    fn register(&self) {
        let models = json!([{ "name": "m", "version": self.version.load(Ordering::SeqCst) }]);
        register(&self.store, &self.name, "models", &self.address.lock().unwrap(), models);
    }

    /// Sends the events after the one that the request names. The data of each tells the item, the
    /// event and the version that made it.
    fn generate(&self, request: &ReceivedRequest, stream: &mut TcpStream) -> bool {
        let id = request.headers["request-id"].clone();
        if take(&self.behaviour.refusals) {
            return reply(stream, 503, &[("request-id", &id), ("not-executed", "1")], "");
        }
        let first = request.headers.get("last-event-id").map_or(1, |last| last.parse::<u64>().unwrap() + 1);
        self.behaviour.runs.lock().unwrap().push(format!("{id}@{first}"));
        self.behaviour.headers.lock().unwrap().insert(id.clone(), request.headers.clone());
        self.behaviour.last_runs.lock().unwrap().insert(id.clone(), Instant::now());
        if take(&self.behaviour.overdue_answers) {
            return reply(stream, 504, &[("request-id", &id), ("response-stamp", "s")], "");
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
        let is_broken = take(&self.behaviour.broken_streams);
        for number in first..=EVENTS {
            if is_broken && number == 3 {
                write("1c\r\nid: 3\ndata: ".into());
                return false;
            }
            std::thread::sleep(Duration::from_millis(self.behaviour.pace_ms.load(Ordering::SeqCst) as u64));
            let held = self.version.load(Ordering::SeqCst);
            let change = if held == version { String::new() } else { format!("weight-versions: {held}\n") };
            version = held;
            let filling = " ".repeat(self.behaviour.event_bytes.load(Ordering::SeqCst));
            let data = event_data(&id, number, version);
            let event = format!("{change}id: {number}\ndata: {data}{filling}\n\n");
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

/// Returns the data of all events of an item that one version made.
pub fn whole_text(id: &str, version: u64) -> Vec<String> {
    (1..=EVENTS).map(|number| event_data(id, number, version)).collect()
}

pub(super) fn register(store: &StandinStore, instance: &str, service: &str, address: &str, models: Value) {
    store.put(
        "servers",
        instance,
        &json!({ "service": service, "addr": address, "zone": "z", "version": "v1", "slots": 4, "state": "ready",
            "cold_left_ms": 0, "models": models, "seq": 1 }),
    );
}

/// The store and the servers that the configuration names.
pub struct Platform {
    pub store: StandinStore,
    pub plain: Arc<ServerBehaviour>,
    pub engine: Arc<ServerBehaviour>,
}

impl Platform {
    pub fn start() -> Self {
        Self::start_behind(2, |address| address.to_string())
    }

    /// Starts `count` servers of each kind, registered at the address that `relay` gives for theirs.
    pub fn start_behind(count: usize, relay: impl FnMut(SocketAddr) -> String) -> Self {
        Self::start_relayed(count, count, relay)
    }

    /// Starts so many plain servers and model engines.
    pub fn start_counts(plain: usize, engines: usize) -> Self {
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

    /// Puts a configuration in force, as the operator does; `tenants` as on the wire.
    pub fn configure(&self, version: u64, tenants: Value) {
        let mut config = configuration();
        config["version"] = json!(version);
        config["tenants"] = tenants;
        config["routes"][0]["public"] = json!(false);
        config["routes"][1]["public"] = json!(true);
        self.store.put("op", "config", &config);
    }

    /// Puts the configuration of the start in force with a change to it.
    pub fn reconfigure(&self, version: u64, change: impl FnOnce(&mut Value)) {
        let mut config = configuration();
        config["version"] = json!(version);
        change(&mut config);
        self.store.put("op", "config", &config);
    }

    /// Lets engines of the model service be ordered; `autoscale` as on the wire.
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

    /// Names a version of the weights, as a trainer does.
    pub fn name_version(&self, version: u64) {
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

/// Body of a job whose groups have two items each, and whose items bear the job's name.
pub fn job_body_of(job: &str, items: usize, min_version: u64) -> String {
    job_body_with(job, items, min_version, b"body")
}

/// The same with another body of each item.
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

/// Submits a job and returns the status of the answer, or 0 without one.
pub fn submit(daemon: &EntryDaemon, job: &str, items: usize) -> u16 {
    let path = format!("/jobs/{job}");
    call(&daemon.client, "POST", &path, &[("request-id", job)], &job_body_of(job, items, 1))
        .map_or(0, |answer| answer.status)
}

/// Reads a job's results until all are there.
pub fn read_all(daemon: &EntryDaemon, job: &str, total: usize) -> Vec<Value> {
    let mut results: Vec<Value> = Vec::new();
    eventually("the job is whole", || {
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

/// Reads a stream whose body is chunked; returns the data of its events and whether it ended as a
/// whole one does, or `None` if nothing came.
pub fn read_stream_from(client: &str, path: &str, id: &str) -> Option<(String, bool)> {
    read_stream_of(client, path, id, "prompt")
}

/// The same for a request with a body.
pub fn read_stream_of(client: &str, path: &str, id: &str, body: &str) -> Option<(String, bool)> {
    let mut stream = TcpStream::connect(client).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let headers = [("request-id", id), ("model", "m"), ("connection", "close")];
    send(&mut stream, "POST", path, &headers, body)?;
    let mut bytes = Vec::new();
    // A reply that breaks off may end with a reset, after the bytes before it.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8(bytes).ok()?;
    let is_whole = text.starts_with("HTTP/1.1 200") && text.ends_with("0\r\n\r\n");
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    Some((events.join(","), is_whole))
}
