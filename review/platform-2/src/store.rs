//! Stand-in of the platform's store, as PROTOCOL.md describes it.

use crate::http::{self, Request};
use crate::json::{Json, base64, object};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that a read takes.
const READ_TIME: Duration = Duration::from_millis(4);

/// Time that a transaction takes, `tx_ms`.
const TRANSACTION_TIME: Duration = Duration::from_millis(8);

/// Most rows of one page.
const MAX_PAGE_ROWS: usize = 500;

/// Table, part and key of a row.
type RowKey = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// Value and version of each row.
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Changes in their order; a removed row has no value.
    changes: Vec<(u64, RowKey, Option<String>)>,
    /// Version before which the history was discarded.
    oldest: u64,
    objects: BTreeMap<String, Vec<u8>>,
    /// Whether watches hear nothing.
    is_deaf: bool,
    /// Counts how often all watches were cut.
    cuts: u64,
}

/// The platform's store, served from memory.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Self {
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let started = Instant::now();
        let handler_shared = shared.clone();
        let address = http::serve(move |request, stream| handle(&handler_shared, started, request, stream));
        Self { shared, address }
    }

    /// Writes a row with an empty part, as the operator, a trainer or a server does.
    pub fn put(&self, table: &str, key: &str, value: &Json) {
        let mut state = self.shared.0.lock().unwrap();
        state.version += 1;
        write(&mut state, (table.into(), String::new(), key.into()), Some(base64(value.to_string().as_bytes())));
        self.shared.1.notify_all();
    }

    /// Lets watches hear nothing, or ends that.
    pub fn set_deaf(&self, is_deaf: bool) {
        self.shared.0.lock().unwrap().is_deaf = is_deaf;
        self.shared.1.notify_all();
    }

    /// Discards the history and cuts the watches.
    pub fn drop_history(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.oldest = state.version;
        state.cuts += 1;
        self.shared.1.notify_all();
    }
}

fn write(state: &mut State, key: RowKey, value: Option<String>) {
    let version = state.version;
    match &value {
        Some(value) => drop(state.rows.insert(key.clone(), (value.clone(), version))),
        None => drop(state.rows.remove(&key)),
    }
    state.changes.push((version, key, value));
}

fn row_json(key: &RowKey, value: Option<&str>, version: u64) -> Json {
    let (table, part, name) = key;
    let value = match value {
        Some(value) => ("value", value.into()),
        None => ("deleted", true.into()),
    };
    object([
        ("table", table.as_str().into()),
        ("part", part.as_str().into()),
        ("key", name.as_str().into()),
        ("ver", version.into()),
        value,
    ])
}

fn handle(shared: &(Mutex<State>, Condvar), started: Instant, request: &Request, stream: &mut TcpStream) -> bool {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        decode_percent(pairs.find(|(key, _)| *key == name).map_or("", |(_, value)| value))
    };
    let (call, name) = path
        .trim_start_matches("/trestlerack/")
        .split_once('/')
        .unwrap_or((path.trim_start_matches("/trestlerack/"), ""));
    std::thread::sleep(if call == "rows-tx" { TRANSACTION_TIME } else { READ_TIME });
    let now_ms = Json::from(started.elapsed().as_millis() as u64);
    let reply_json = |stream: &mut TcpStream, status, body: Json| {
        http::reply(stream, status, &[("content-type", "application/json")], body.to_string().as_bytes())
    };
    let mut state = shared.0.lock().unwrap();
    match call {
        "rows-tx" => {
            let Some(body) = std::str::from_utf8(&request.body).ok().and_then(Json::parse) else {
                return http::reply(stream, 400, &[], b"");
            };
            let (status, reply) = commit(&mut state, &body, now_ms);
            shared.1.notify_all();
            drop(state);
            reply_json(stream, status, reply)
        }
        "rows-get" => {
            let (table, part, from, to) = (parameter("table"), parameter("part"), parameter("from"), parameter("to"));
            let limit = parameter("limit").parse().unwrap_or(MAX_PAGE_ROWS).min(MAX_PAGE_ROWS);
            let is_wanted =
                |key: &RowKey| key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to);
            let mut rows: Vec<Json> = state
                .rows
                .iter()
                .filter(|(key, _)| is_wanted(key))
                .take(limit + 1)
                .map(|(key, (value, version))| row_json(key, Some(value), *version))
                .collect();
            let more = rows.len() > limit;
            rows.truncate(limit);
            let version = state.version;
            drop(state);
            let body =
                [("rows", rows.into()), ("more_pages", more.into()), ("ver", version.into()), ("now_ms", now_ms)];
            reply_json(stream, 200, object(body))
        }
        "rows-parts" => {
            let (table, after) = (parameter("table"), parameter("after"));
            let mut parts: Vec<String> =
                state.rows.keys().filter(|key| key.0 == table).map(|key| key.1.clone()).collect();
            parts.dedup();
            // The empty part comes first, and no `after` follows it.
            parts.retain(|part| after.is_empty() || *part > after);
            let parts: Vec<Json> = parts.into_iter().map(Json::from).collect();
            let version = state.version;
            drop(state);
            let body =
                [("parts", parts.into()), ("more_pages", false.into()), ("ver", version.into()), ("now_ms", now_ms)];
            reply_json(stream, 200, object(body))
        }
        "rows-feed" => {
            let (table, after) = (parameter("table"), parameter("after").parse().unwrap_or(0));
            let wait = Duration::from_millis(parameter("wait_ms").parse().unwrap_or(0));
            let cuts = state.cuts;
            let has_changes = |state: &State| {
                !state.is_deaf
                    && state
                        .changes
                        .iter()
                        .rev()
                        .take_while(|(version, ..)| *version > after)
                        .any(|(_, key, _)| key.0 == table)
            };
            let may_wait = |state: &mut State| state.cuts == cuts && state.oldest <= after && !has_changes(state);
            let (state, _) = shared.1.wait_timeout_while(state, wait, may_wait).unwrap();
            if state.cuts != cuts {
                return false;
            }
            if state.oldest > after {
                drop(state);
                return http::reply(stream, 410, &[], b"");
            }
            // A watch that hears nothing must not move its reader past changes that it has not seen.
            let version = if state.is_deaf { after } else { state.version };
            let changes = state.changes.iter().filter(|(version, key, _)| *version > after && key.0 == table);
            let rows: Vec<Json> = match state.is_deaf {
                true => Vec::new(),
                false => changes.map(|(version, key, value)| row_json(key, value.as_deref(), *version)).collect(),
            };
            drop(state);
            reply_json(stream, 200, object([("rows", rows.into()), ("ver", version.into()), ("now_ms", now_ms)]))
        }
        "blob-put" if state.objects.contains_key(name) => http::reply(stream, 412, &[], b""),
        "blob-put" => {
            state.objects.insert(name.to_owned(), request.body.clone());
            http::reply(stream, 200, &[], b"")
        }
        "blob-get" => match state.objects.get(name) {
            Some(content) => http::reply(stream, 200, &[], content),
            None => http::reply(stream, 404, &[], b""),
        },
        "blob-drop" => {
            let status = if state.objects.remove(name).is_some() { 200 } else { 404 };
            http::reply(stream, status, &[], b"")
        }
        _ => http::reply(stream, 404, &[], b""),
    }
}

fn commit(state: &mut State, body: &Json, now_ms: Json) -> (u16, Json) {
    let key =
        |entry: &Json| -> RowKey { (entry.text("table").into(), entry.text("part").into(), entry.text("key").into()) };
    let written = || body.list("set_keys").iter().chain(body.list("remove"));
    if written().any(|entry| matches!(entry.text("table"), "op" | "servers")) {
        return (403, object([]));
    }
    let version_of = |entry: &Json| state.rows.get(&key(entry)).map_or(0, |(_, version)| *version);
    let expected = body.list("expected_rev");
    if expected.iter().any(|entry| entry.number("ver") != Some(version_of(entry))) {
        let rows = expected.iter().filter_map(|entry| {
            let (value, version) = state.rows.get(&key(entry))?;
            Some(row_json(&key(entry), Some(value), *version))
        });
        let rows: Vec<Json> = rows.collect();
        return (412, object([("rows", rows.into()), ("ver", state.version.into()), ("now_ms", now_ms)]));
    }
    state.version += 1;
    for entry in body.list("set_keys") {
        write(state, key(entry), Some(entry.text("value").to_owned()));
    }
    for entry in body.list("remove") {
        write(state, key(entry), None);
    }
    (200, object([("ver", state.version.into()), ("now_ms", now_ms)]))
}

fn decode_percent(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.as_bytes());
    while let [first, tail @ ..] = rest {
        let digits = tail.get(..2).and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.filter(|_| *first == b'%').and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(*first);
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
