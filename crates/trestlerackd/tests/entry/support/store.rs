//! Stand-in of the platform's store.

use super::server::{ReceivedRequest, reply, reply_bytes, serve};
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

type RowKey = (String, String, String);

#[derive(Clone, Copy, Default, PartialEq)]
enum Refusal {
    #[default]
    None,
    Commits,
    All,
    /// Rejects transactions for their rate; other calls are served.
    CommitRate,
}

#[derive(Default)]
struct StoreState {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64)>,
    changes: Vec<(u64, RowKey, Option<String>)>,
    objects: BTreeMap<String, Vec<u8>>,
    /// Which writes are rejected.
    refuse_writes: Refusal,
    /// Number of the next transactions that are applied without a reply.
    lose_replies: usize,
    /// Number of the next reads that get no reply.
    lose_read_replies: usize,
    /// Whether every call is rejected.
    is_unavailable: bool,
    /// Table whose watches return no changes; its reads and writes work.
    silent_table: Option<&'static str>,
    /// Version before which changes are no longer available to watches.
    oldest_change: u64,
    /// Number of reads by partition.
    reads: BTreeMap<String, usize>,
    /// Number of received transactions, including rejected ones.
    commits: usize,
    /// Number of transactions whose conditions did not hold, by partition.
    conflicts: BTreeMap<String, usize>,
    /// Delay of every call, in milliseconds.
    delay_ms: u64,
    /// Table whose reads are delayed, and the delay in milliseconds.
    delayed_table: Option<(&'static str, u64)>,
}

/// Store that serves the platform's store interface from memory.
#[derive(Clone)]
pub struct StandinStore {
    state: Arc<(Mutex<StoreState>, Condvar)>,
    started: Instant,
    pub address: SocketAddr,
}

impl StandinStore {
    pub fn start() -> Self {
        let (state, started) = (Arc::default(), Instant::now());
        let address = serve_state(&state, started, |_| {});
        Self { state, started, address }
    }

    /// Serves the same rows at a further address, where they contain `to` instead of the text `from`. A node that uses
    /// it connects to `to` where the others connect to `from`. The texts have the same length, so that the encoding of
    /// a row stays valid.
    pub fn serve_replaced(&self, from: &str, to: &str) -> SocketAddr {
        assert_eq!(from.len(), to.len());
        let (from, to) = (from.as_bytes().to_owned(), to.as_bytes().to_owned());
        serve_state(&self.state, self.started, move |body| {
            for row in body.get_mut("rows").and_then(Value::as_array_mut).into_iter().flatten() {
                let Some(value) = row["value"].as_str() else { continue };
                let mut content = BASE64_STANDARD.decode(value).unwrap();
                for start in 0..content.len().saturating_sub(from.len() - 1) {
                    if content[start..].starts_with(&from) {
                        content[start..start + to.len()].copy_from_slice(&to);
                    }
                }
                row["value"] = json!(BASE64_STANDARD.encode(content));
            }
        })
    }

    /// Removes rows of a partition whose keys are less than `to`, as the first transactions of a removal do.
    pub fn remove_rows_before(&self, table: &str, partition: &str, to: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.rows.retain(|(t, p, key), _| t != table || p != partition || &**key >= to);
    }

    /// Writes a row, as the operator, a trainer or a server does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let content = BASE64_STANDARD.encode(value.to_string());
        write(&mut state, (table.into(), String::new(), key.into()), Some(content));
        self.state.1.notify_all();
    }

    /// Returns the value of a row.
    pub fn get(&self, table: &str, key: &str) -> Option<Value> {
        let state = self.state.0.lock().unwrap();
        let (content, _) = state.rows.get(&(table.into(), String::new(), key.into()))?;
        serde_json::from_slice(&BASE64_STANDARD.decode(content).unwrap()).ok()
    }

    /// Removes a row, as the platform does.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        write(&mut state, (table.into(), String::new(), key.into()), None);
        self.state.1.notify_all();
    }

    /// Removes a row and discards the history, so that only full reads show the removal.
    pub fn remove_without_history(&self, table: &str, key: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.rows.remove(&(table.into(), String::new(), key.into()));
        state.version += 1;
        state.oldest_change = state.version;
        self.state.1.notify_all();
    }

    /// Changes the keys of a table's rows without reporting that to watches.
    pub fn rename_rows(&self, table: &str, rename: impl Fn(&str) -> String) {
        let mut state = self.state.0.lock().unwrap();
        let rows = std::mem::take(&mut state.rows);
        let renamed = rows.into_iter().map(|((of, partition, key), value)| {
            let key = if of == table { rename(&key) } else { key };
            ((of, partition, key), value)
        });
        state.rows = renamed.collect();
    }

    /// Returns the number of objects.
    pub fn object_count(&self) -> usize {
        self.state.0.lock().unwrap().objects.len()
    }

    pub fn refuse_writes(&self, refuse: bool) {
        self.state.0.lock().unwrap().refuse_writes = if refuse { Refusal::All } else { Refusal::None };
    }

    /// Rejects transactions while objects can still be written.
    pub fn refuse_commits(&self, refuse: bool) {
        self.state.0.lock().unwrap().refuse_writes = if refuse { Refusal::Commits } else { Refusal::None };
    }

    /// Rejects transactions for their rate.
    pub fn refuse_commit_rate(&self, refuse: bool) {
        self.state.0.lock().unwrap().refuse_writes = if refuse { Refusal::CommitRate } else { Refusal::None };
    }

    /// Rejects every call, like a store that is unavailable.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.state.0.lock().unwrap().is_unavailable = is_unavailable;
        self.state.1.notify_all();
    }

    /// Returns the number of transactions of a partition whose conditions did not hold.
    pub fn conflicts(&self, partition: &str) -> usize {
        self.state.0.lock().unwrap().conflicts.get(partition).copied().unwrap_or(0)
    }

    /// Returns the number of received transactions, including rejected ones.
    pub fn commits(&self) -> usize {
        self.state.0.lock().unwrap().commits
    }

    pub fn lose_replies(&self, count: usize) {
        self.state.0.lock().unwrap().lose_replies = count;
    }

    /// Leaves the next reads without a reply.
    pub fn lose_read_replies(&self, count: usize) {
        self.state.0.lock().unwrap().lose_read_replies = count;
    }

    /// Returns the content of a row.
    pub fn row_content(&self, table: &str, partition: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.0.lock().unwrap();
        let (value, _) = state.rows.get(&(table.into(), partition.into(), key.into()))?;
        Some(BASE64_STANDARD.decode(value).unwrap())
    }

    pub fn silence_watches(&self, table: Option<&'static str>) {
        self.state.0.lock().unwrap().silent_table = table;
        self.state.1.notify_all();
    }

    /// Discards the history of changes up to now.
    pub fn drop_history(&self) {
        let mut state = self.state.0.lock().unwrap();
        state.oldest_change = state.version;
        self.state.1.notify_all();
    }

    pub fn set_delay(&self, delay_ms: u64) {
        self.state.0.lock().unwrap().delay_ms = delay_ms;
    }

    pub fn set_read_delay(&self, table: &'static str, delay_ms: u64) {
        self.state.0.lock().unwrap().delayed_table = Some((table, delay_ms));
    }

    /// Returns the number of reads of a partition.
    pub fn reads(&self, partition: &str) -> usize {
        self.state.0.lock().unwrap().reads.get(partition).copied().unwrap_or(0)
    }

    /// Returns whether any row of the entry service's tables, or any object, contains a text.
    pub fn contains_text(&self, text: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        let is_in = |content: &[u8]| content.windows(text.len()).any(|part| part == text.as_bytes());
        let mut own = state.rows.iter().filter(|((table, ..), _)| table != "op" && table != "servers");
        own.any(|(_, (value, _))| is_in(&BASE64_STANDARD.decode(value).unwrap()))
            || state.objects.values().any(|content| is_in(content))
    }

    pub fn row_count(&self, table: &str, partition: &str) -> usize {
        let state = self.state.0.lock().unwrap();
        state.rows.keys().filter(|(t, p, _)| t == table && p == partition).count()
    }
}

/// Serves a store at a new address. `edit` changes each reply to a call about rows.
fn serve_state(
    state: &Arc<(Mutex<StoreState>, Condvar)>,
    started: Instant,
    edit: impl Fn(&mut Value) + Send + Sync + 'static,
) -> SocketAddr {
    let state = state.clone();
    serve(move |request, stream| {
        if let Some((call, name)) = object_call(&request) {
            let (status, content) = handle_object(&mut state.0.lock().unwrap(), call, name, &request);
            return reply_bytes(stream, status, &[], &content);
        }
        let (status, mut body) = handle(&state, started, &request);
        edit(&mut body);
        status != 0 && reply(stream, status, &[], &body.to_string())
    })
}

fn write(state: &mut StoreState, key: RowKey, value: Option<String>) {
    let version = state.version;
    match &value {
        Some(value) => state.rows.insert(key.clone(), (value.clone(), version)),
        None => state.rows.remove(&key),
    };
    state.changes.push((version, key, value));
}

fn row((table, partition, key): &RowKey, value: &str, ver: u64) -> Value {
    json!({ "table": table, "part": partition, "key": key, "value": value, "ver": ver })
}

fn handle(shared: &(Mutex<StoreState>, Condvar), started: Instant, request: &ReceivedRequest) -> (u16, Value) {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let parameter = |name: &str| -> String {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or("");
        decode_percent(value)
    };
    let delay_ms = {
        let state = shared.0.lock().unwrap();
        let table_delay =
            state.delayed_table.filter(|(table, _)| path.ends_with("rows-get") && *table == parameter("table"));
        state.delay_ms + table_delay.map_or(0, |(_, delay_ms)| delay_ms)
    };
    std::thread::sleep(Duration::from_millis(delay_ms));
    let now_ms = started.elapsed().as_millis() as u64;
    let mut state = shared.0.lock().unwrap();
    if state.is_unavailable {
        return (503, json!({}));
    }
    match path.rsplit('/').next().unwrap() {
        "rows-tx" => {
            state.commits += 1;
            match state.refuse_writes {
                Refusal::None => {}
                Refusal::Commits | Refusal::All => return (503, json!({})),
                Refusal::CommitRate => return (429, json!({})),
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
            let (table, partition, from) = (parameter("table"), parameter("part"), parameter("from"));
            *state.reads.entry(partition.clone()).or_default() += 1;
            if state.lose_read_replies > 0 {
                state.lose_read_replies -= 1;
                return (0, json!({}));
            }
            let is_requested = |key: &RowKey| key.0 == table && key.1 == partition && key.2 >= from;
            let rows: Vec<Value> = state
                .rows
                .iter()
                .filter(|(key, _)| is_requested(key))
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
            let has_changes = |state: &StoreState| {
                state.silent_table != Some(&table)
                    && state.changes.iter().any(|(v, key, _)| *v > after && key.0 == table)
            };
            let may_wait = |state: &mut StoreState| !has_changes(state) && !state.is_unavailable;
            let (state, _) = shared.1.wait_timeout_while(state, wait, may_wait).unwrap();
            if state.is_unavailable {
                return (503, json!({}));
            }
            if after < state.oldest_change {
                return (410, json!({}));
            }
            if state.silent_table == Some(&table) {
                return (200, json!({ "rows": [], "ver": after, "now_ms": now_ms }));
            }
            let changes = state.changes.iter().filter(|(version, key, _)| *version > after && key.0 == table);
            let rows: Vec<Value> = changes
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

fn object_call(request: &ReceivedRequest) -> Option<(&str, String)> {
    let (call, name) = request.path.strip_prefix("/trestlerack/blob-")?.split_once('/')?;
    Some((call, decode_percent(name)))
}

fn handle_object(state: &mut StoreState, call: &str, name: String, request: &ReceivedRequest) -> (u16, Vec<u8>) {
    match call {
        "put" if state.refuse_writes == Refusal::All => (503, vec![]),
        "put" if state.objects.contains_key(&name) => (412, vec![]),
        "put" => {
            state.objects.insert(name, request.body.clone());
            (200, vec![])
        }
        "get" => state.objects.get(&name).map_or((404, vec![]), |content| (200, content.clone())),
        _ => (if state.objects.remove(&name).is_some() { 200 } else { 404 }, vec![]),
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
        let partition = key(&entries("expected_rev")[0]).1;
        *state.conflicts.entry(partition).or_default() += 1;
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
