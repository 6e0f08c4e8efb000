//! Stand-ins of model engines and scoring servers, as PROTOCOL.md describes them.

use crate::http::{self, Request};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval of the heartbeats, `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time before each event.
pub const EVENT_TIME: Duration = Duration::from_millis(30);

/// Events that an engine writes at once.
const EVENTS_PER_WRITE: u64 = 3;

/// Event with a wrong id in a spoiled answer, the last one of its write.
const SPOILED_EVENT: u64 = 6;

/// How much that id is too high.
const WRONG_BY: u64 = 90;

/// Path whose requests an engine works on for [`FAILURE_TIME`] and then answers with 500.
pub const FAILING_PATH: &str = "/fails";

/// Work on a request before it fails.
const FAILURE_TIME: Duration = Duration::from_millis(800);

/// Time that a plain server works.
const WORK_TIME: Duration = Duration::from_millis(30);

/// Requests that an engine runs at once.
const SLOTS: u64 = 12;

/// Work of a server on a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub server: String,
    /// Last event that the sender had; `None` for a run from the beginning.
    pub resumed_after: Option<u64>,
    pub started: Instant,
    /// When the server finished the request or stopped, because its connection was closed.
    pub ended: Option<Instant>,
    /// Whether the server answered with 500.
    pub has_failed: bool,
    /// Whether an event of the answer bears a wrong id.
    pub is_spoiled: bool,
}

/// What all servers have seen.
#[derive(Clone)]
pub struct Seen {
    runs: Arc<Mutex<Vec<Run>>>,
    /// Number of the next answers of engines to spoil: one event of them bears a wrong id.
    spoiled_answers: Arc<AtomicUsize>,
    record: Record,
}

impl Seen {
    pub fn new(record: Record) -> Self {
        Self { runs: Arc::default(), spoiled_answers: Arc::default(), record }
    }

    /// Returns all runs so far, in the order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Lets engines spoil their next answer.
    pub fn spoil_next_answer(&self) {
        self.spoiled_answers.fetch_add(1, Ordering::SeqCst);
    }

    fn is_next_spoiled(&self) -> bool {
        self.spoiled_answers.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
    }

    /// Records the start of a run. Returns its number.
    fn start(&self, server: &str, id: &str, resumed_after: Option<u64>) -> usize {
        let from = resumed_after.map_or_else(String::new, |event| format!(" after event {event}"));
        self.record.line(&format!("run       {id} begins at {server}{from}"));
        let (id, server) = (id.to_owned(), server.to_owned());
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            id,
            server,
            resumed_after,
            started: Instant::now(),
            ended: None,
            has_failed: false,
            is_spoiled: false,
        });
        runs.len() - 1
    }

    /// Records the end of a run.
    fn end(&self, number: usize, why: &str) {
        let run = {
            let mut runs = self.runs.lock().unwrap();
            runs[number].ended = Some(Instant::now());
            runs[number].has_failed = why == FAILED;
            runs[number].clone()
        };
        self.record.line(&format!("run       {} ends at {}: {why}", run.id, run.server));
    }
}

/// Why a run ended that was answered with 500.
const FAILED: &str = "answered with 500";

/// How a server registers itself.
struct Entry {
    instance: String,
    service: String,
    address: String,
    zone: String,
    slots: u64,
    /// Model and its version; `None` for a plain server.
    model: Option<(String, Arc<AtomicU64>)>,
}

impl Entry {
    fn write(&self, store: &Store, beats: u64) {
        let models: Vec<Json> = self
            .model
            .iter()
            .map(|(model, version)| {
                let version = version.load(Ordering::SeqCst).into();
                object([("name", model.as_str().into()), ("version", version), ("adapters", Vec::new().into())])
            })
            .collect();
        let row = object([
            ("service", self.service.as_str().into()),
            ("addr", self.address.as_str().into()),
            ("zone", self.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", self.slots.into()),
            ("state", "ready".into()),
            ("cold_left_ms", 0.into()),
            ("stage", "both".into()),
            ("models", models.into()),
            ("seq", beats.into()),
        ]);
        store.put("servers", &self.instance, &row);
    }

    /// Registers the server and writes its heartbeats until the process ends.
    fn keep_registered(self, store: &Store) {
        let store = store.clone();
        self.write(&store, 1);
        std::thread::spawn(move || {
            for beats in 2.. {
                std::thread::sleep(HEARTBEAT);
                self.write(&store, beats);
            }
        });
    }
}

/// Starts a plain server, which also scores texts.
pub fn start_plain(store: &Store, seen: &Seen, instance: &str, service: &str, zone: &str) {
    let (name, own_seen) = (instance.to_owned(), seen.clone());
    let address = http::serve(move |request, stream| answer_plain(&name, &own_seen, request, stream));
    let entry = Entry {
        instance: instance.into(),
        service: service.into(),
        address: address.to_string(),
        zone: zone.into(),
        slots: 6,
        model: None,
    };
    entry.keep_registered(store);
}

fn answer_plain(instance: &str, seen: &Seen, request: &Request, stream: &mut TcpStream) -> bool {
    if request.method == "GET" && request.path == "/healthz" {
        return http::reply(stream, 200, &[("instance-id", instance), ("server-load", "0,0,6")], b"");
    }
    let id = request.header("request-id");
    if request.header("expect-instance") != instance {
        return http::reply(stream, 421, &[("request-id", id), ("instance-id", instance)], b"");
    }
    let run = seen.start(instance, id, None);
    std::thread::sleep(WORK_TIME);
    seen.end(run, "done");
    let stamp = format!("stamp-{instance}-{id}");
    http::reply(stream, 200, &[("request-id", id), ("response-stamp", &stamp), ("server-load", "1,0,6")], b"done")
}

/// A model engine with one model.
struct Engine {
    instance: String,
    model: String,
    version: Arc<AtomicU64>,
    orders: AtomicU64,
    seen: Seen,
}

/// Starts a model engine.
pub fn start_engine(store: &Store, seen: &Seen, instance: &str, service: &str, model: &str, zone: &str) {
    let version = Arc::new(AtomicU64::new(1));
    let engine = Engine {
        instance: instance.into(),
        model: model.into(),
        version: version.clone(),
        orders: AtomicU64::new(0),
        seen: seen.clone(),
    };
    let address = http::serve(move |request, stream| engine.answer(request, stream));
    let entry = Entry {
        instance: instance.into(),
        service: service.into(),
        address: address.to_string(),
        zone: zone.into(),
        slots: SLOTS,
        model: Some((model.into(), version)),
    };
    entry.keep_registered(store);
}

impl Engine {
    fn answer(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let instance = &*self.instance;
        let id = request.header("request-id");
        if request.path == "/healthz" {
            return http::reply(stream, 200, &[("instance-id", instance), ("server-load", "0,0,12")], b"");
        }
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != instance {
            return http::reply(stream, 421, &[("request-id", id), ("instance-id", instance)], b"");
        }
        match &*request.path {
            "/trestlerack/report" => http::reply(stream, 200, &[], self.report().to_string().as_bytes()),
            "/trestlerack/order" => self.take_order(request, stream),
            _ => self.generate(request, stream),
        }
    }

    fn report(&self) -> Json {
        let version = self.version.load(Ordering::SeqCst).into();
        let model =
            object([("name", self.model.as_str().into()), ("version", version), ("adapters", Vec::new().into())]);
        object([
            ("stage", "both".into()),
            ("models", vec![model].into()),
            ("busy", false.into()),
            ("seq", self.orders.load(Ordering::SeqCst).into()),
            ("waiting", 0.into()),
            ("running", 0.into()),
            ("kv_used", 0.into()),
            ("kv_total", 36_982.into()),
            ("handles", 0.into()),
        ])
    }

    /// Accepts an order and carries it out at once.
    fn take_order(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let order = std::str::from_utf8(&request.body).ok().and_then(Json::parse);
        let Some(order) = order else { return http::reply(stream, 400, &[], b"") };
        let accepted = self.orders.load(Ordering::SeqCst);
        if order.number("expected_rev").is_some_and(|expected| expected != accepted) {
            return http::reply(stream, 409, &[], b"");
        }
        let version = order.number("version").unwrap_or(0);
        if version <= self.version.load(Ordering::SeqCst) {
            return http::reply(stream, 200, &[], b"");
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        self.version.store(version, Ordering::SeqCst);
        http::reply(stream, 202, &[], b"")
    }

    /// Streams the events after the last event id of the request, until its connection is closed. The number of
    /// events is the limit of output tokens in the request.
    fn generate(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("request-id");
        let resumed_after = request.header("last-event-id").parse().ok();
        let run = self.seen.start(&self.instance, id, resumed_after);
        if request.path.ends_with(FAILING_PATH) {
            std::thread::sleep(FAILURE_TIME);
            self.seen.end(run, FAILED);
            let stamp = format!("stamp-{}-{id}", self.instance);
            return http::reply(stream, 500, &[("request-id", id), ("response-stamp", &stamp)], b"");
        }
        let is_complete = self.stream_events(request, run, resumed_after, stream);
        self.seen.end(run, if is_complete { "done" } else { "its connection was closed" });
        is_complete
    }

    fn stream_events(&self, request: &Request, run: usize, resumed_after: Option<u64>, stream: &mut TcpStream) -> bool {
        let id = request.header("request-id");
        let last = request.header("token-usage").split(',').nth(1).and_then(|tokens| tokens.trim().parse().ok());
        let version = self.version.load(Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nrequest-id: {id}\r\n\
             response-stamp: stamp-{}-{id}\r\nweight-versions: {version}\r\n\r\n",
            self.instance,
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return false;
        }
        let is_spoiled = self.seen.is_next_spoiled();
        self.seen.runs.lock().unwrap()[run].is_spoiled = is_spoiled;
        let mut written = String::new();
        let last = last.unwrap_or(1);
        for number in resumed_after.unwrap_or(0) + 1..=last {
            std::thread::sleep(EVENT_TIME);
            let told = if is_spoiled && number == SPOILED_EVENT { number + WRONG_BY } else { number };
            written.push_str(&format!("id: {told}\ndata: {id}-{number}\n\n"));
            if is_closed(stream) {
                return false;
            }
            if number % EVENTS_PER_WRITE != 0 && number != last {
                continue;
            }
            if is_spoiled && (number == SPOILED_EVENT) {
                self.seen.record.line(&format!("trouble   {} gives an event of {id} the id {told}", self.instance));
            }
            let chunk = format!("{:x}\r\n{written}\r\n", written.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return false;
            }
            written.clear();
        }
        stream.write_all(b"0\r\n\r\n").is_ok()
    }
}

/// Returns whether the caller has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let is_open =
        matches!(&peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock) || matches!(peeked, Ok(1..));
    !is_open || stream.set_nonblocking(false).is_err()
}
