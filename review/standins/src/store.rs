//! Stand-in of the platform's store. It keeps rows in memory and applies transactions one after another.

use crate::http::{self, Received, reply};
use crate::json::{Json, decode_base64, encode_base64, quote};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Time that each call takes.
const CALL_TIME: Duration = Duration::from_millis(4);

type RowKey = (String, String, String);

#[derive(Default)]
struct State {
    version: u64,
    /// Value in base64 and version of each row.
    rows: BTreeMap<RowKey, (String, u64)>,
    /// Changed rows in order; `None` for a removal.
    changes: Vec<(u64, RowKey, Option<String>)>,
    objects: BTreeMap<String, Vec<u8>>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    started: Instant,
}

impl Store {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self { state: Arc::default(), started: Instant::now() }
    }

    /// Serves the store on a free port. In replies on this port, each text of `replaced` stands in the place of the
    /// other one of the same length, so that a node which uses this port reaches its peers through other addresses.
    pub fn serve(&self, replaced: Vec<(String, String)>) -> SocketAddr {
        let store = self.clone();
        http::serve(Arc::new(move |request, stream| store.handle(request, stream, &replaced))).address
    }

    /// Removes a row as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        write(&mut state, (table.into(), String::new(), key.into()), None);
        self.state.1.notify_all();
    }

    /// Writes a row as the operator, a trainer or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        write(&mut state, (table.into(), String::new(), key.into()), Some(encode_base64(value.as_bytes())));
        self.state.1.notify_all();
    }

    fn handle(&self, request: &Received, stream: &mut TcpStream, replaced: &[(String, String)]) -> bool {
        std::thread::sleep(CALL_TIME);
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        if let Some(name) = request.path.strip_prefix("/trestlerack/blob-") {
            return self.handle_object(request, name, stream);
        }
        let (status, body) = match &*request.path {
            "/trestlerack/rows-tx" => self.commit(&request.body, replaced),
            "/trestlerack/rows-get" => self.read(&query("table"), &query("part"), &query, replaced),
            "/trestlerack/rows-parts" => self.partitions(&query("table")),
            "/trestlerack/rows-feed" => self.watch(&query("table"), &query, replaced),
            _ => (404, String::new()),
        };
        reply(stream, status, &[("Content-Type", "application/json")], body.as_bytes())
    }

    fn end(&self, version: u64) -> String {
        format!("\"ver\":{version},\"now_ms\":{}}}", 1_000_000 + self.started.elapsed().as_millis())
    }

    fn commit(&self, body: &[u8], replaced: &[(String, String)]) -> (u16, String) {
        let Some(call) = std::str::from_utf8(body).ok().and_then(Json::parse) else { return (400, String::new()) };
        let key = |row: &Json| (row.text("table").to_owned(), row.text("part").to_owned(), row.text("key").to_owned());
        let mut state = self.state.0.lock().unwrap();
        let conditions = call.list("expected_rev");
        let version_of = |state: &State, row: &Json| state.rows.get(&key(row)).map_or(0, |(_, version)| *version);
        if conditions.iter().any(|row| version_of(&state, row) != row.number("ver")) {
            let found = conditions.iter().filter_map(|row| state.rows.get_key_value(&key(row)));
            let rows: Vec<String> =
                found.map(|(key, (value, version))| row_text(key, Some(value), *version, replaced)).collect();
            return (412, format!("{{\"rows\":[{}],{}", rows.join(","), self.end(state.version)));
        }
        state.version += 1;
        for row in call.list("set_keys") {
            write(&mut state, key(row), Some(row.text("value").to_owned()));
        }
        for row in call.list("remove") {
            write(&mut state, key(row), None);
        }
        let version = state.version;
        self.state.1.notify_all();
        (200, format!("{{{}", self.end(version)))
    }

    fn read(
        &self,
        table: &str,
        part: &str,
        query: &dyn Fn(&str) -> String,
        replaced: &[(String, String)],
    ) -> (u16, String) {
        let (from, to) = (query("from"), query("to"));
        let limit = query("limit").parse().unwrap_or(500).min(500);
        let state = self.state.0.lock().unwrap();
        let is_wanted = |(t, p, k): &RowKey| t == table && p == part && *k >= from && (to.is_empty() || *k < to);
        let mut rows = state.rows.iter().filter(|(key, _)| is_wanted(key));
        let page: Vec<String> = rows
            .by_ref()
            .take(limit)
            .map(|(key, (value, version))| row_text(key, Some(value), *version, replaced))
            .collect();
        let more = rows.next().is_some();
        (200, format!("{{\"rows\":[{}],\"more_pages\":{more},{}", page.join(","), self.end(state.version)))
    }

    fn partitions(&self, table: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let mut parts: Vec<String> = state.rows.keys().filter(|key| key.0 == table).map(|key| quote(&key.1)).collect();
        parts.dedup();
        (200, format!("{{\"parts\":[{}],\"more_pages\":false,{}", parts.join(","), self.end(state.version)))
    }

    fn watch(&self, table: &str, query: &dyn Fn(&str) -> String, replaced: &[(String, String)]) -> (u16, String) {
        let after: u64 = query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changed = state.changes.iter().filter(|(version, key, _)| *version > after && key.0 == table);
            let rows: Vec<String> =
                changed.map(|(version, key, value)| row_text(key, value.as_ref(), *version, replaced)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return (200, format!("{{\"rows\":[{}],{}", rows.join(","), self.end(state.version)));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn handle_object(&self, request: &Received, call: &str, stream: &mut TcpStream) -> bool {
        let mut state = self.state.0.lock().unwrap();
        let name = call.split_once('/').map_or("", |(_, name)| name);
        let name = http::unescape(name);
        let (status, body) = match &*request.method {
            "PUT" if state.objects.contains_key(&name) => (412, Vec::new()),
            "PUT" => {
                state.objects.insert(name, request.body.clone());
                (200, Vec::new())
            }
            "GET" => state.objects.get(&name).map_or((404, Vec::new()), |content| (200, content.clone())),
            _ => (if state.objects.remove(&name).is_some() { 200 } else { 404 }, Vec::new()),
        };
        drop(state);
        reply(stream, status, &[], &body)
    }
}

fn write(state: &mut State, key: RowKey, value: Option<String>) {
    let version = state.version;
    match &value {
        Some(value) => _ = state.rows.insert(key.clone(), (value.clone(), version)),
        None => _ = state.rows.remove(&key),
    }
    state.changes.push((version, key, value));
}

fn row_text(key: &RowKey, value: Option<&String>, version: u64, replaced: &[(String, String)]) -> String {
    let (table, part, name) = (quote(&key.0), quote(&key.1), quote(&key.2));
    let end = match value {
        Some(value) => format!("\"value\":{}", quote(&replace(value, replaced))),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":{table},\"part\":{part},\"key\":{name},\"ver\":{version},{end}}}")
}

fn replace(value: &str, replaced: &[(String, String)]) -> String {
    let Some(mut content) = decode_base64(value).filter(|_| !replaced.is_empty()) else { return value.to_owned() };
    for (from, to) in replaced {
        for start in 0..(content.len() + 1).saturating_sub(from.len()) {
            if content[start..].starts_with(from.as_bytes()) {
                content[start..start + to.len()].copy_from_slice(to.as_bytes());
            }
        }
    }
    encode_base64(&content)
}
