//! Stand-ins of model engines, which stream events, and of a plain service.

use crate::http::{self, Received, Server, is_closed, reply};
use crate::json::Json;
use crate::record::Record;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How an engine of a case works.
pub struct EngineSettings {
    /// Requests that run at once.
    pub slots: usize,
    /// Time to read a prompt, before the first event.
    pub prefill: Duration,
    /// Time between two events.
    pub event_time: Duration,
    /// Number of events of the stream of a request, by its id.
    pub events: fn(&str) -> u64,
}

/// One run of a request on an engine, as the engine saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub id: String,
    /// `Last-Event-Id` of the request.
    pub after: Option<u64>,
    /// When the request arrived and the engine began to work on it.
    pub began: Instant,
    /// Until when the engine worked on it; `None` while it still does.
    pub ended: Option<Instant>,
    pub last_event: Option<u64>,
    pub end: &'static str,
}

/// A pause of a run, because the engine preempts it while its memory is short.
pub struct Preemption {
    /// Event before which the run is preempted.
    pub before: u64,
    pub pause: Duration,
}

/// A model engine.
pub struct Engine {
    pub instance: String,
    pub slots: usize,
    server: Server,
    settings: EngineSettings,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
    running: AtomicUsize,
    /// While set, the engine sends nothing.
    pub is_dark: AtomicBool,
    has_crashed: AtomicBool,
    /// Version of the weights, and the number of orders accepted.
    version: AtomicU64,
    orders: AtomicU64,
    /// Preemptions by request id, of runs from the first event on.
    pub preemptions: Mutex<HashMap<String, Preemption>>,
}

impl Engine {
    /// Starts an engine on a free port. Its runs are added to `runs`.
    pub fn start(
        instance: &str,
        version: u64,
        settings: EngineSettings,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Self> {
        Arc::new_cyclic(|engine: &std::sync::Weak<Engine>| {
            let handler = engine.clone();
            let server = http::serve(Arc::new(move |request, stream| {
                // The first request comes long after the engine was built.
                handler.upgrade().is_some_and(|engine| engine.handle(request, stream))
            }));
            Engine {
                instance: instance.into(),
                slots: settings.slots,
                server,
                settings,
                record: record.clone(),
                runs: runs.clone(),
                running: AtomicUsize::new(0),
                is_dark: AtomicBool::new(false),
                has_crashed: AtomicBool::new(false),
                version: AtomicU64::new(version),
                orders: AtomicU64::new(0),
                preemptions: Mutex::default(),
            }
        })
    }

    /// Returns the entry of the engine in service discovery.
    pub fn entry(&self, beat: u64) -> String {
        format!(
            "{{\"service\":\"engines\",\"addr\":\"{}\",\"zone\":\"obihiro\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"both\",\
             \"models\":[{{\"name\":\"m0\",\"version\":{},\"adapters\":[]}}],\"seq\":{beat}}}",
            self.server.address,
            self.slots,
            self.version()
        )
    }

    /// Returns the version of the weights.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Returns whether the engine has crashed.
    pub fn has_crashed(&self) -> bool {
        self.has_crashed.load(Ordering::SeqCst)
    }

    /// Ends the engine as a crash does.
    pub fn crash(&self) {
        self.record.write(&format!("{} crashes", self.instance));
        self.has_crashed.store(true, Ordering::SeqCst);
        self.server.end();
    }

    /// Carries an order out at once.
    fn take_order(&self, request: &Received, stream: &mut TcpStream) -> bool {
        let Some(order) = std::str::from_utf8(&request.body).ok().and_then(Json::parse) else {
            return reply(stream, 400, &[], b"");
        };
        let (version, expected) = (order.number("version"), order.number("expected_rev"));
        let holder = order.text("holder");
        let status = if self.orders.load(Ordering::SeqCst) != expected {
            409
        } else if self.version() == version {
            200
        } else {
            self.orders.fetch_add(1, Ordering::SeqCst);
            self.version.store(version, Ordering::SeqCst);
            202
        };
        self.record.write(&format!("{} is ordered by {holder} to load version {version}: {status}", self.instance));
        reply(stream, status, &[], b"")
    }

    fn load(&self) -> String {
        format!("{},0,{}", self.running.load(Ordering::SeqCst), self.slots)
    }

    fn wait_while_dark(&self) {
        while self.is_dark.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn handle(&self, request: &Received, stream: &mut TcpStream) -> bool {
        self.wait_while_dark();
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.instance {
            return reply(stream, 421, &[("Instance-Id", &self.instance)], b"");
        }
        match &*request.path {
            "/trestlerack/report" => {
                let running = self.running.load(Ordering::SeqCst);
                let (version, orders) = (self.version(), self.orders.load(Ordering::SeqCst));
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m0\",\"version\":{version},\"adapters\":[]}}],\
                     \"busy\":false,\"seq\":{orders},\"waiting\":0,\"running\":{running},\"kv_used\":0,\
                     \"kv_total\":83311,\"handles\":0}}"
                );
                reply(stream, 200, &[("Content-Type", "application/json")], body.as_bytes())
            }
            "/trestlerack/order" => self.take_order(request, stream),
            "/healthz" => reply(stream, 200, &[("Instance-Id", &self.instance), ("Server-Load", &self.load())], b""),
            _ => self.run(request, stream),
        }
    }

    fn run(&self, request: &Received, stream: &mut TcpStream) -> bool {
        let id = request.header("request-id").to_owned();
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            self.record.write(&format!("{} refuses {id}: full", self.instance));
            return reply(stream, 503, &[("Request-Id", &id), ("Not-Executed", "1")], b"");
        }
        let after: Option<u64> = request.header("last-event-id").parse().ok();
        let began = Instant::now();
        let position = {
            let mut runs = self.runs.lock().unwrap();
            let (engine, id) = (self.instance.clone(), id.clone());
            runs.push(Run { engine, id, after, began, ended: None, last_event: None, end: "" });
            runs.len() - 1
        };
        let deadline = request.header("deadline-ms");
        self.record.write(&format!("{} begins {id} after event {after:?}, deadline {deadline} ms", self.instance));
        let limit = deadline.parse().ok().map(|ms| began + Duration::from_millis(ms));
        let end = self.stream_events(&id, after, position, limit, stream);
        self.running.fetch_sub(1, Ordering::SeqCst);
        let mut runs = self.runs.lock().unwrap();
        (runs[position].ended, runs[position].end) = (Some(Instant::now()), end);
        let last = runs[position].last_event;
        drop(runs);
        self.record.write(&format!("{} ends {id} at event {last:?}: {end}", self.instance));
        end == "complete"
    }

    /// Streams the events of a run. Returns how it ended; a caller that closes its connection ends it at once.
    fn stream_events(
        &self,
        id: &str,
        after: Option<u64>,
        position: usize,
        limit: Option<Instant>,
        stream: &mut TcpStream,
    ) -> &'static str {
        let first = after.map_or(0, |after| after + 1);
        if self.work(self.settings.prefill, stream) {
            return self.broken();
        }
        let events = (self.settings.events)(id);
        let mut version = self.version();
        for number in first..events {
            let pause = self
                .preemptions
                .lock()
                .unwrap()
                .get(id)
                .filter(|preemption| preemption.before == number)
                .map(|preemption| preemption.pause);
            if let Some(pause) = pause.filter(|_| after.is_none()) {
                self.record.write(&format!("{} preempts {id} for {} ms", self.instance, pause.as_millis()));
                if self.work(pause, stream) {
                    return self.broken();
                }
                self.record.write(&format!("{} has read {id} in again", self.instance));
            }
            if number > first && self.work(self.settings.event_time, stream) {
                return self.broken();
            }
            if limit.is_some_and(|limit| Instant::now() >= limit) {
                return "deadline";
            }
            let is_new_version = version != self.version();
            version = self.version();
            let change = if is_new_version { format!("weight-versions: {version}\n") } else { String::new() };
            let event = format!("{change}id: {number}\ndata: {id} event {number}\n\n");
            let mut text = String::new();
            if number == first {
                text = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {}.{id}\r\nWeight-Versions: {version}\r\n\
                     Server-Load: {}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                    self.instance,
                    self.load()
                );
            }
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            if stream.write_all(text.as_bytes()).is_err() {
                return self.broken();
            }
            self.runs.lock().unwrap()[position].last_event = Some(number);
        }
        if stream.write_all(b"0\r\n\r\n").is_ok() { "complete" } else { self.broken() }
    }

    /// Returns how a run ended whose connection is gone.
    fn broken(&self) -> &'static str {
        if self.has_crashed() { "crashed" } else { "dropped" }
    }

    /// Works for a time. Returns whether the caller has closed its connection meanwhile.
    fn work(&self, time: Duration, stream: &TcpStream) -> bool {
        let until = Instant::now() + time;
        loop {
            self.wait_while_dark();
            let left = until.saturating_duration_since(Instant::now());
            if is_closed(stream, left.min(Duration::from_millis(10))) {
                return true;
            }
            if left.is_zero() {
                return false;
            }
        }
    }
}

/// Starts a plain service, which answers each request after `work`.
pub fn start_plain(instance: &str, work: Duration, record: &Record) -> SocketAddr {
    let (instance, record) = (instance.to_owned(), record.clone());
    http::serve(Arc::new(move |request, stream| {
        let id = request.header("request-id").to_owned();
        if request.path == "/healthz" {
            return reply(stream, 200, &[("Instance-Id", &instance), ("Server-Load", "0,0,6")], b"");
        }
        std::thread::sleep(work);
        record.write(&format!("{instance} runs {id}"));
        let stamp = format!("{instance}.{id}");
        reply(stream, 200, &[("Request-Id", &id), ("Response-Stamp", &stamp), ("Server-Load", "0,0,6")], b"ok")
    }))
    .address
}
