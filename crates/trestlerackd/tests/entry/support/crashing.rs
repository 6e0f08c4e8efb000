//! Backend servers that crash when they run certain requests, and restart as new instances.

use super::platform::{EVENTS_PER_STREAM, event_data, register};
use super::server::{ReceivedRequest, read_request, reply};
use super::store::StandinStore;
use serde_json::json;
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A server crashes when it runs a request whose body contains this text.
pub const FATAL: &str = "ends its server";

/// Time that a server works on a request before it responds or crashes.
const WORK_TIME: Duration = Duration::from_millis(30);

/// Interval at which a server checks for new connections and whether it has crashed.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Number of servers that a content crashes before it is blocked.
const CRASHES_BEFORE_BLOCK: usize = 3;

/// Time after these crashes from which the content may run [`MAX_LATE_RETRIES`] times.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// Largest number of late runs of a content that crashes servers, at all nodes together.
pub const MAX_LATE_RETRIES: usize = 3;

/// A request that a server started to run.
#[derive(Clone, Debug)]
pub struct CrashRun {
    pub id: String,
    pub body: String,
    /// Position of the server among those of its service, the same after a restart.
    pub server: usize,
    pub at: Instant,
    /// Number of events that the server has sent.
    pub events: Arc<AtomicU64>,
}

/// Servers of one service that crash on fatal requests, with their settings and the runs that they recorded.
pub struct CrashingServers {
    pub runs: Mutex<Vec<CrashRun>>,
    crashes: AtomicUsize,
    /// Time that a server works on a request that is not fatal, in milliseconds.
    pub work_ms: AtomicUsize,
    /// Number of events that a fatal stream sends before its server crashes.
    pub events_before_crash: AtomicUsize,
    /// Number of the event at which a fatal stream crashes its server, if that comes first.
    pub fatal_event: AtomicU64,
    /// Number of events of a stream.
    pub events_per_stream: AtomicU64,
    /// Servers that are to crash for another reason than a fatal request.
    crash_orders: Mutex<BTreeSet<usize>>,
    service: &'static str,
    store: StandinStore,
    restart_delay: Duration,
    start_count: AtomicUsize,
}

impl CrashingServers {
    /// Starts `count` servers of a service. A crashed one accepts connections again after `restart_delay`.
    pub fn start(store: &StandinStore, service: &'static str, count: usize, restart_delay: Duration) -> Arc<Self> {
        let servers = Arc::new(Self {
            runs: Mutex::default(),
            crashes: AtomicUsize::new(0),
            work_ms: AtomicUsize::new(WORK_TIME.as_millis() as usize),
            events_before_crash: AtomicUsize::new(0),
            fatal_event: AtomicU64::new(u64::MAX),
            events_per_stream: AtomicU64::new(EVENTS_PER_STREAM),
            crash_orders: Mutex::default(),
            service,
            store: store.clone(),
            restart_delay,
            start_count: AtomicUsize::new(0),
        });
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let servers = servers.clone();
            let first = servers.register_instance(listener.local_addr().unwrap());
            std::thread::spawn(move || servers.run_instances(number, listener, first));
        }
        servers
    }

    /// Crashes a server, which is not counted as a crash under a fatal request.
    pub fn crash_server(&self, number: usize) {
        self.crash_orders.lock().unwrap().insert(number);
    }

    /// Returns the number of crashes under fatal requests so far.
    pub fn crash_count(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }

    /// Returns the number of runs of a content later than [`STABLE_TIME`] after the one that crashed the third server.
    pub fn late_retries(&self, body: &str) -> usize {
        let runs = self.runs_of(body);
        let third = runs.get(CRASHES_BEFORE_BLOCK - 1).map(|run| run.at);
        let is_late = |at: Instant| third.is_some_and(|third| at.duration_since(third) > STABLE_TIME);
        runs.iter().filter(|run| is_late(run.at)).count()
    }

    /// Returns the runs of requests with a body.
    pub fn runs_of(&self, body: &str) -> Vec<CrashRun> {
        self.runs.lock().unwrap().iter().filter(|run| run.body == body).cloned().collect()
    }

    /// Registers a new instance and returns its name.
    fn register_instance(&self, address: SocketAddr) -> String {
        let number = self.start_count.fetch_add(1, Ordering::SeqCst);
        let name = format!("i-{}-start-{number}", self.service);
        let models = if self.service == "models" { json!([{ "name": "m", "version": 1 }]) } else { json!([]) };
        register(&self.store, &name, self.service, &address.to_string(), models);
        name
    }

    /// Serves at one address, as a new instance after each crash, until the test ends.
    fn run_instances(self: Arc<Self>, number: usize, mut listener: TcpListener, mut name: String) {
        let address = listener.local_addr().unwrap();
        loop {
            self.serve_until_crash(number, listener, &name);
            std::thread::sleep(self.restart_delay);
            self.store.remove("servers", &name);
            // Another process may have taken the port meanwhile.
            listener = TcpListener::bind(address).or_else(|_| TcpListener::bind("127.0.0.1:0")).unwrap();
            name = self.register_instance(listener.local_addr().unwrap());
        }
    }

    /// Serves connections until a request crashes the server, which breaks all of them.
    fn serve_until_crash(self: &Arc<Self>, number: usize, listener: TcpListener, name: &str) {
        listener.set_nonblocking(true).unwrap();
        let has_crashed = Arc::new(AtomicBool::new(false));
        let mut connections: Vec<TcpStream> = Vec::new();
        while !has_crashed.load(Ordering::SeqCst) {
            if self.crash_orders.lock().unwrap().remove(&number) {
                has_crashed.store(true, Ordering::SeqCst);
                break;
            }
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(POLL_INTERVAL);
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            connections.push(stream.try_clone().unwrap());
            let (servers, name, has_crashed) = (self.clone(), name.to_owned(), has_crashed.clone());
            std::thread::spawn(move || servers.serve_connection(stream, number, &name, &has_crashed));
        }
        // A crashed process no longer listens, and nodes check that as soon as their connections break. So the
        // listener is closed first.
        drop(listener);
        // An error is ignored, since the peer may already have closed the connection.
        connections.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    fn serve_connection(&self, stream: TcpStream, number: usize, name: &str, has_crashed: &AtomicBool) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if has_crashed.load(Ordering::SeqCst) || !self.answer(&request, &mut writer, (number, name), has_crashed) {
                return;
            }
        }
    }

    fn answer(
        &self,
        request: &ReceivedRequest,
        stream: &mut TcpStream,
        (number, name): (usize, &str),
        has_crashed: &AtomicBool,
    ) -> bool {
        match &*request.path {
            "/trestlerack/report" => {
                let report = json!({ "models": [{ "name": "m", "version": 1 }], "busy": false, "seq": 0 });
                return reply(stream, 200, &[], &report.to_string());
            }
            "/trestlerack/order" => return reply(stream, 200, &[], ""),
            _ => {}
        }
        let id = request.headers["request-id"].clone();
        if request.headers.get("expect-instance").is_some_and(|wanted| wanted != name) {
            return reply(stream, 421, &[("request-id", &id), ("not-executed", "1")], "");
        }
        let body = String::from_utf8(request.body.clone()).unwrap();
        let run =
            CrashRun { id: id.clone(), body: body.clone(), server: number, at: Instant::now(), events: Arc::default() };
        self.runs.lock().unwrap().push(run.clone());
        let is_fatal = body.contains(FATAL);
        let is_alive = if self.service == "models" {
            self.stream_events(request, stream, &run, is_fatal)
        } else {
            std::thread::sleep(if is_fatal { WORK_TIME } else { self.work_time() });
            !is_fatal && reply(stream, 200, &[("request-id", &id), ("response-stamp", &format!("signed-{id}"))], &body)
        };
        if is_fatal && !has_crashed.swap(true, Ordering::SeqCst) {
            self.crashes.fetch_add(1, Ordering::SeqCst);
        }
        is_alive
    }

    fn work_time(&self) -> Duration {
        Duration::from_millis(self.work_ms.load(Ordering::SeqCst) as u64)
    }

    /// Sends the events after the one that the request names; a fatal request gets only the first ones.
    fn stream_events(&self, request: &ReceivedRequest, stream: &mut TcpStream, run: &CrashRun, is_fatal: bool) -> bool {
        let id = &run.id;
        let first = request.headers.get("last-event-id").map_or(1, |last| last.parse::<u64>().unwrap() + 1);
        let total = self.events_per_stream.load(Ordering::SeqCst);
        let fatal_event = self.fatal_event.load(Ordering::SeqCst);
        let events = match is_fatal {
            true => (self.events_before_crash.load(Ordering::SeqCst) as u64)
                .min(fatal_event.saturating_add(1).saturating_sub(first)),
            false => total,
        };
        if is_fatal && events == 0 {
            std::thread::sleep(WORK_TIME);
            return false;
        }
        let head = format!(
            "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\
             weight-versions: 1\r\n\r\n"
        );
        let mut write = |text: String| stream.write_all(text.as_bytes()).is_ok();
        if !write(head) {
            return false;
        }
        for number in (first..=total).take(events as usize) {
            std::thread::sleep(self.work_time() / 5);
            let event = format!("id: {number}\ndata: {}\n\n", event_data(id, number, 1));
            if !write(format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
            run.events.fetch_add(1, Ordering::SeqCst);
        }
        !is_fatal && write("0\r\n\r\n".into())
    }
}
