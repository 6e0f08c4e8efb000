//! Backend servers that end when they run certain requests, and come back as new instances.

use super::platform::{EVENTS_PER_STREAM, event_data, register};
use super::server::{Received, read_request, reply};
use super::store::StandinStore;
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A server ends when it runs a request whose body holds this.
pub const FATAL: &str = "ends its server";

/// Time that a server works on a request before it answers, or ends.
const WORK_TIME: Duration = Duration::from_millis(30);

/// Interval at which a server looks for connections and whether it is to end.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// A request that a server began to run.
#[derive(Clone, Debug)]
pub struct CrashRun {
    pub id: String,
    pub body: String,
}

/// What crashing servers do and have seen.
pub struct CrashingServers {
    pub runs: Mutex<Vec<CrashRun>>,
    ends: AtomicUsize,
    /// Time that a server works on a request that does not end it, in milliseconds.
    pub work_ms: AtomicUsize,
    /// Streams of fatal requests end their server after so many events.
    pub events_before_end: AtomicUsize,
    service: &'static str,
    store: StandinStore,
    back_after: Duration,
    starts: AtomicUsize,
}

impl CrashingServers {
    /// Starts `count` servers of a service. One that ended takes connections again after `back_after`.
    pub fn start(store: &StandinStore, service: &'static str, count: usize, back_after: Duration) -> Arc<Self> {
        let servers = Arc::new(Self {
            runs: Mutex::default(),
            ends: AtomicUsize::new(0),
            work_ms: AtomicUsize::new(WORK_TIME.as_millis() as usize),
            events_before_end: AtomicUsize::new(0),
            service,
            store: store.clone(),
            back_after,
            starts: AtomicUsize::new(0),
        });
        for _ in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let servers = servers.clone();
            let first = servers.enter(listener.local_addr().unwrap());
            std::thread::spawn(move || servers.live(listener, first));
        }
        servers
    }

    /// Returns how many servers ended.
    pub fn ended(&self) -> usize {
        self.ends.load(Ordering::SeqCst)
    }

    /// Returns the runs of requests with a body.
    pub fn runs_of(&self, body: &str) -> Vec<CrashRun> {
        self.runs.lock().unwrap().iter().filter(|run| run.body == body).cloned().collect()
    }

    /// Registers a new instance and returns its name.
    fn enter(&self, address: SocketAddr) -> String {
        let number = self.starts.fetch_add(1, Ordering::SeqCst);
        let name = format!("i-{}-start-{number}", self.service);
        let models = if self.service == "models" { json!([{ "name": "m", "version": 1 }]) } else { json!([]) };
        register(&self.store, &name, self.service, &address.to_string(), models);
        name
    }

    /// Lives at one address, as one instance after the other, until the test ends.
    fn live(self: Arc<Self>, mut listener: TcpListener, mut name: String) {
        let address = listener.local_addr().unwrap();
        loop {
            self.serve_until_end(listener, &name);
            std::thread::sleep(self.back_after);
            self.store.remove("servers", &name);
            listener = TcpListener::bind(address).unwrap();
            name = self.enter(address);
        }
    }

    /// Serves connections until a request ends the server, which breaks all of them.
    fn serve_until_end(self: &Arc<Self>, listener: TcpListener, name: &str) {
        listener.set_nonblocking(true).unwrap();
        let is_over = Arc::new(AtomicBool::new(false));
        let mut open: Vec<TcpStream> = Vec::new();
        while !is_over.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(LOOK_INTERVAL);
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            open.push(stream.try_clone().unwrap());
            let (servers, name, is_over) = (self.clone(), name.to_owned(), is_over.clone());
            std::thread::spawn(move || servers.serve_connection(stream, &name, &is_over));
        }
        // Nothing listens once a process has ended, and its callers ask as soon as their connections break.
        drop(listener);
        // The other side may have closed its end already.
        open.iter().for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
    }

    fn serve_connection(&self, stream: TcpStream, name: &str, is_over: &AtomicBool) {
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if is_over.load(Ordering::SeqCst) || !self.answer(&request, &mut writer, name, is_over) {
                return;
            }
        }
    }

    fn answer(&self, request: &Received, stream: &mut TcpStream, name: &str, is_over: &AtomicBool) -> bool {
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
        let run = CrashRun { id: id.clone(), body: body.clone() };
        self.runs.lock().unwrap().push(run);
        let is_fatal = body.contains(FATAL);
        let is_alive = if self.service == "models" {
            self.stream_events(request, stream, &id, is_fatal)
        } else {
            std::thread::sleep(if is_fatal { WORK_TIME } else { self.work_time() });
            !is_fatal && reply(stream, 200, &[("request-id", &id), ("response-stamp", &format!("signed-{id}"))], &body)
        };
        if is_fatal && !is_over.swap(true, Ordering::SeqCst) {
            self.ends.fetch_add(1, Ordering::SeqCst);
        }
        is_alive
    }

    fn work_time(&self) -> Duration {
        Duration::from_millis(self.work_ms.load(Ordering::SeqCst) as u64)
    }

    /// Sends the events after the one that the request names; a fatal request gets only the first ones.
    fn stream_events(&self, request: &Received, stream: &mut TcpStream, id: &str, is_fatal: bool) -> bool {
        let first = request.headers.get("last-event-id").map_or(1, |last| last.parse::<u64>().unwrap() + 1);
        let events = if is_fatal { self.events_before_end.load(Ordering::SeqCst) as u64 } else { EVENTS_PER_STREAM };
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
        for number in (first..=EVENTS_PER_STREAM).take(events as usize) {
            std::thread::sleep(self.work_time() / 5);
            let event = format!("id: {number}\ndata: {}\n\n", event_data(id, number, 1));
            if !write(format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
        }
        !is_fatal && write("0\r\n\r\n".into())
    }
}
