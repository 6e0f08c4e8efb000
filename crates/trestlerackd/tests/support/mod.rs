//! Small stand-ins for the users' platform: its store, a model engine and a plain server, all in
//! this process, and the entry daemon as a process of its own.

use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time in which anything that is waited for has to happen.
const PATIENCE: Duration = Duration::from_secs(20);

/// A request as a stand-in reads it.
pub struct Received {
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one request; `None` once the connection is closed.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Received> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let path = words.nth(1)?.to_owned();
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Received { path, headers, body })
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim_end().split_once(':') else { return Some(headers) };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
}

/// Serves connections, one thread each, until the test ends.
pub fn serve(answer: impl Fn(Received, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            std::thread::spawn(move || {
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while let Some(request) = read_request(&mut reader) {
                    if !answer(request, &mut writer) {
                        return;
                    }
                }
            });
        }
    });
    address
}

/// Writes an answer with a length.
pub fn reply(stream: &mut TcpStream, status: u16, headers: &[(&str, &str)], body: &str) -> bool {
    let mut text = format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n", body.len());
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes()).is_ok()
}

type RowKey = (String, String, String);

#[derive(Default)]
struct StoreState {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    changes: Vec<(u64, RowKey, Option<String>)>,
    /// Writes that are refused with 503.
    refuse_writes: bool,
    /// Writes that are applied and whose reply is then lost.
    lose_replies: usize,
}

/// The store of the platform.
#[derive(Clone)]
pub struct StandinStore {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl StandinStore {
    pub fn start() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        let started = Instant::now();
        let handler_state = state.clone();
        let address = serve(move |request, stream| {
            let (status, body) = handle(&handler_state, started, &request);
            status != 0 && reply(stream, status, &[], &body.to_string())
        });
        Self { state, address }
    }

    /// Writes a row as the operator, a trainer or a server does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let content = BASE64_STANDARD.encode(value.to_string());
        write(&mut state, (table.into(), String::new(), key.into()), Some(content));
        self.state.1.notify_all();
    }

    pub fn refuse_writes(&self, refuse: bool) {
        self.state.0.lock().unwrap().refuse_writes = refuse;
    }

    pub fn lose_replies(&self, count: usize) {
        self.state.0.lock().unwrap().lose_replies = count;
    }

    pub fn count(&self, table: &str, partition: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        state.rows.keys().filter(|(t, p, _)| t == table && p == partition).count()
    }
}

fn write(state: &mut StoreState, key: RowKey, value: Option<String>) {
    let version = state.version;
    match &value {
        Some(value) => state.rows.insert(key.clone(), (value.clone(), version)),
        None => state.rows.remove(&key),
    };
    state.changes.push((version, key, value));
}

fn row((table, part, key): &RowKey, value: &str, ver: u64) -> Value {
    json!({ "table": table, "part": part, "key": key, "value": value, "ver": ver })
}

fn handle(shared: &(Mutex<StoreState>, Condvar), started: Instant, request: &Received) -> (u16, Value) {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let parameter = |name: &str| -> String {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or("");
        decode_percent(value)
    };
    let now_ms = started.elapsed().as_millis() as u64;
    let mut state = shared.0.lock().unwrap();
    match path.rsplit('/').next().unwrap() {
        "rows-tx" => {
            if state.refuse_writes {
                return (503, json!({}));
            }
            let (status, body) = commit(&mut state, &request.body, now_ms);
            shared.1.notify_all();
            if status == 200 && state.lose_replies > 0 {
                state.lose_replies -= 1;
                return (0, json!({}));
            }
            (status, body)
        }
        "rows-get" => {
            let (table, part, from) = (parameter("table"), parameter("part"), parameter("from"));
            let is_asked = |key: &RowKey| key.0 == table && key.1 == part && key.2 >= from;
            let rows: Vec<Value> = state
                .rows
                .iter()
                .filter(|(key, _)| is_asked(key))
                .map(|(key, (value, version))| row(key, value, *version))
                .collect();
            (200, json!({ "rows": rows, "more_pages": false, "ver": state.version, "now_ms": now_ms }))
        }
        "rows-parts" => {
            let table = parameter("table");
            let mut parts: Vec<&String> = state.rows.keys().filter(|key| key.0 == table).map(|key| &key.1).collect();
            parts.dedup();
            (200, json!({ "parts": parts, "more_pages": false, "ver": state.version, "now_ms": now_ms }))
        }
        "rows-feed" => {
            let (table, after) = (parameter("table"), parameter("after").parse::<u64>().unwrap());
            let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap());
            let has_news = |state: &StoreState| state.changes.iter().any(|(v, key, _)| *v > after && key.0 == table);
            let (state, _) = shared.1.wait_timeout_while(state, wait, |state| !has_news(state)).unwrap();
            let news = state.changes.iter().filter(|(version, key, _)| *version > after && key.0 == table);
            let rows: Vec<Value> = news
                .map(|(version, key, value)| match value {
                    Some(value) => row(key, value, *version),
                    None => json!({ "table": key.0, "part": key.1, "key": key.2, "ver": version, "deleted": true }),
                })
                .collect();
            (200, json!({ "rows": rows, "ver": state.version, "now_ms": now_ms }))
        }
        _ => (404, json!({})),
    }
}

fn commit(state: &mut StoreState, body: &[u8], now_ms: u64) -> (u16, Value) {
    let call: Value = serde_json::from_slice(body).unwrap();
    let key = |entry: &Value| -> RowKey {
        let text = |name: &str| entry[name].as_str().unwrap().to_owned();
        (text("table"), text("part"), text("key"))
    };
    let entries = |name: &str| call[name].as_array().cloned().unwrap_or_default();
    let holds = |entry: &Value| {
        let version = state.rows.get(&key(entry)).map_or(0, |(_, version)| *version);
        entry["ver"].as_u64() == Some(version)
    };
    if !entries("expected_rev").iter().all(holds) {
        let rows: Vec<Value> = entries("expected_rev")
            .iter()
            .filter_map(|entry| state.rows.get(&key(entry)).map(|(value, version)| row(&key(entry), value, *version)))
            .collect();
        return (412, json!({ "rows": rows, "ver": state.version, "now_ms": now_ms }));
    }
    state.version += 1;
    for entry in entries("set_keys") {
        write(state, key(&entry), Some(entry["value"].as_str().unwrap().to_owned()));
    }
    for entry in entries("remove") {
        write(state, key(&entry), None);
    }
    (200, json!({ "ver": state.version, "now_ms": now_ms }))
}

fn decode_percent(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let [first, tail @ ..] = rest {
        if *first == b'%' && tail.len() >= 2 {
            let digits = std::str::from_utf8(&tail[..2]).unwrap();
            bytes.push(u8::from_str_radix(digits, 16).unwrap());
            rest = &tail[2..];
        } else {
            bytes.push(*first);
            rest = tail;
        }
    }
    String::from_utf8(bytes).unwrap()
}

/// An entry daemon.
pub struct EntryDaemon {
    child: Child,
    pub name: String,
    pub client: String,
    pub ready: String,
    pub peer: String,
    settings: std::path::PathBuf,
}

/// Time for which ended jobs can be read; longer than any test that reads one takes.
pub const RETENTION_S: u64 = 12;

/// First port given to daemons; below the range from which outgoing connections take theirs, so
/// that none of those sits on it when the daemon starts.
const FIRST_PORT: u16 = 15_000;

/// Ports that one run of the tests may go through.
const PORTS_OF_RUN: u16 = 64;

/// Returns an address that nothing listens on, another one at each call.
pub fn free_address() -> String {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = FIRST_PORT + (std::process::id() % 200) as u16 * PORTS_OF_RUN;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::SeqCst);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap().to_string();
        }
    }
}

impl EntryDaemon {
    pub fn start(name: &str, store: &StandinStore, seeds: &[&str]) -> Self {
        Self::start_with_store(name, &store.address.to_string(), seeds)
    }

    /// Starts a daemon whose settings name another address of the store.
    pub fn start_with_store(name: &str, store: &str, seeds: &[&str]) -> Self {
        let (client, ready, peer) = (free_address(), free_address(), free_address());
        let text = json!({
            "name": name, "zone": "z", "client_listen": client, "ready_listen": ready, "peer_listen": peer,
            "seeds": seeds, "store": store, "stop_limit_s": 5.0, "order_handover_ms": 300, "retention_s": RETENTION_S,
        });
        let file = format!("entry-{name}-{}-{}.json", std::process::id(), client.replace([':', '.'], "-"));
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text.to_string()).unwrap();
        let mut daemon = Self { child: spawn(&settings), name: name.into(), client, ready, peer, settings };
        daemon.wait_ready();
        daemon
    }

    fn wait_ready(&mut self) {
        eventually("the daemon is ready", || {
            assert!(self.child.try_wait().unwrap().is_none(), "{} ended", self.name);
            call(&self.ready, "GET", "/trestlerack/ready", &[], "").is_some_and(|answer| answer.status == 200)
        });
    }

    pub fn signal(&self, signal: &str) {
        let status = Command::new("kill").args([signal, &self.child.id().to_string()]).status().unwrap();
        assert!(status.success());
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the end and returns whether the daemon ended by itself without a failure.
    pub fn wait_end(&mut self) -> bool {
        let mut ended = None;
        eventually("the daemon ends", || {
            ended = self.child.try_wait().unwrap();
            ended.is_some()
        });
        ended.unwrap().success()
    }
}

fn spawn(settings: &std::path::Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_trestlerackd"))
        .args(["entry", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::inherit())
        .spawn()
        .unwrap()
}

impl Drop for EntryDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Waits until something holds.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "in vain: {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// An answer that a client got.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }
}

/// Makes a call on a connection of its own; `None` if no whole answer came.
pub fn call(address: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    send(&mut stream, method, path, headers, body)?;
    read_answer(&mut BufReader::new(stream))
}

/// Sends a request.
pub fn send(stream: &mut TcpStream, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Option<()> {
    let mut text = format!("{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| *name == "host") {
        text.push_str("host: h.example\r\n");
    }
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    stream.write_all(format!("{text}\r\n{body}").as_bytes()).ok()
}

fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<Answer> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(reader)?;
    let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Answer { status, headers, body: String::from_utf8(body).ok()? })
}
