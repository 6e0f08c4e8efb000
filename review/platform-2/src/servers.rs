//! Stand-ins of model engines and scoring servers, as PROTOCOL.md describes them.

use crate::http::{self, Request};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Interval of the heartbeats, `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Events of each text.
pub const EVENTS: u64 = 8;

/// Time before each event.
const EVENT_TIME: Duration = Duration::from_millis(20);

/// Time that a plain server works.
const WORK_TIME: Duration = Duration::from_millis(30);

/// Requests that an engine runs at once.
const SLOTS: u64 = 12;

/// What all servers have seen.
#[derive(Clone)]
pub struct Seen {
    /// Ids of the requests that ran, in their order.
    pub runs: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Seen {
    pub fn new(record: Record) -> Self {
        Self { runs: Arc::default(), record }
    }

    fn add(&self, server: &str, id: &str) {
        self.record.line(&format!("run       {id} at {server}"));
        self.runs.lock().unwrap().push(id.to_owned());
    }
}

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
    seen.add(instance, id);
    std::thread::sleep(WORK_TIME);
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

    /// Streams the events after the last event id of the request.
    fn generate(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let id = request.header("request-id");
        self.seen.add(&self.instance, id);
        let first = request.header("last-event-id").parse::<u64>().map_or(1, |last| last + 1);
        let version = self.version.load(Ordering::SeqCst);
        let head = format!(
            "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\nrequest-id: {id}\r\n\
             response-stamp: stamp-{}-{id}\r\nweight-versions: {version}\r\n\r\n",
            self.instance,
        );
        let mut write = |text: String| stream.write_all(text.as_bytes()).is_ok();
        if !write(head) {
            return false;
        }
        for number in first..=EVENTS {
            std::thread::sleep(EVENT_TIME);
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            if !write(format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
        }
        write("0\r\n\r\n".into())
    }
}
