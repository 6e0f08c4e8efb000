//! Real daemons and stand-ins as processes on loopback, ended by pid when a test ends.

#![allow(dead_code, reason = "each test file uses a part of it")]

use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub const USER_KEY: &str = "user-key";
pub const OPERATOR_KEY: &str = "operator-key";
pub const LINK_KEY: &str = "link-key";

/// Longest wait for anything; far more than a healthy machine needs.
const PATIENCE: Duration = Duration::from_secs(60);

static CLUSTERS: AtomicU32 = AtomicU32::new(0);

/// A process that is killed when it is dropped.
pub struct Process {
    pub child: Child,
    pub address: String,
    pub link: String,
    pub log: PathBuf,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        assert!(status.unwrap().success());
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn fault(&self, order: Value) {
        let reply = request("POST", &self.address, "/faults", &[], order.to_string().as_bytes());
        assert_eq!(reply.status, 200, "{}", reply.body);
    }

    /// Waits for the process to end by itself and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        eventually("the process ends", || self.child.try_wait().unwrap().is_some());
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A platform, daemons and back ends.
pub struct Cluster {
    dir: PathBuf,
    pub table: Process,
    pub objects: Process,
    pub members: Process,
    pub weights: Process,
    pub daemons: Vec<Process>,
    pub backends: Vec<(Value, Process)>,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

fn spawn(dir: &Path, name: &str, program: &str, arguments: &[String]) -> Process {
    let standin = Path::new(env!("CARGO_BIN_EXE_trestlerack-standin"));
    let log = dir.join(format!("{name}.log"));
    let child = Command::new(standin.with_file_name(program))
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(std::fs::File::create(&log).unwrap())
        .spawn()
        .unwrap_or_else(|error| panic!("{program}: {error}; build the workspace first"));
    let file = dir.join(format!("{name}.address"));
    let mut process = Process { child, address: String::new(), link: String::new(), log };
    eventually(&format!("{name} starts"), || {
        assert!(process.child.try_wait().unwrap().is_none(), "{name} ended: {}", process.log());
        file.exists()
    });
    let text = std::fs::read_to_string(file).unwrap();
    match serde_json::from_str::<Value>(&text) {
        Ok(value) if value.is_object() => {
            process.address = value["listen"].as_str().unwrap().to_owned();
            process.link = value["link"].as_str().unwrap().to_owned();
        }
        _ => process.address = text,
    }
    process
}

fn standin(dir: &Path, name: &str, kind: &str, options: &[&str]) -> Process {
    let file = dir.join(format!("{name}.address")).display().to_string();
    let mut arguments = vec![kind.to_owned(), "--address-file".to_owned(), file];
    arguments.extend(options.iter().map(|option| (*option).to_owned()));
    spawn(dir, name, "trestlerack-standin", &arguments)
}

impl Cluster {
    /// Starts the platform without daemons and back ends.
    pub fn new() -> Self {
        let number = CLUSTERS.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("trestlerack-test-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        std::fs::write(dir.join("callers.json"), json!({ USER_KEY: "user" }).to_string()).unwrap();
        std::fs::write(dir.join("operator.key"), OPERATOR_KEY).unwrap();
        std::fs::write(dir.join("link.key"), LINK_KEY).unwrap();
        Self {
            table: standin(&dir, "table", "table", &[]),
            objects: standin(&dir, "objects", "objects", &[]),
            members: standin(&dir, "members", "members", &[]),
            weights: standin(&dir, "weights", "weights", &["--per-second", "100"]),
            daemons: Vec::new(),
            backends: Vec::new(),
            dir,
        }
    }

    /// Starts a daemon in `zone`.
    pub fn daemon(&mut self, zone: &str) -> &Process {
        let name = format!("node-{}", self.daemons.len());
        let path = |file: &str| self.dir.join(file).display().to_string();
        let settings = json!({
            "name": name, "zone": zone, "listen": "127.0.0.1:0", "link_listen": "127.0.0.1:0",
            "table": self.table.address, "objects": self.objects.address, "membership": self.members.address,
            "caller_keys_file": path("callers.json"), "operator_key_file": path("operator.key"),
            "link_key_file": path("link.key"), "address_file": path(&format!("{name}.address")),
            "heartbeat_ms": 100, "suspicion_ms": 500, "poll_ms": 300, "lease_ttl_ms": 1000,
            "order_timeout_ms": 800, "header_timeout_ms": 500,
        });
        let file = path(&format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let daemon = spawn(&self.dir, &name, "trestlerackd", &["--settings".to_owned(), file]);
        self.daemons.push(daemon);
        self.list_daemons();
        self.daemons.last().unwrap()
    }

    fn list_daemons(&self) {
        let node = |(number, daemon): (usize, &Process)| {
            let settings = std::fs::read_to_string(self.dir.join(format!("node-{number}.json"))).unwrap();
            let settings: Value = serde_json::from_str(&settings).unwrap();
            json!({ "name": settings["name"], "zone": settings["zone"], "link": daemon.link })
        };
        let nodes: Vec<Value> = self.daemons.iter().enumerate().map(node).collect();
        let list = json!({ "nodes": nodes }).to_string();
        assert_eq!(request("PUT", &self.members.address, "/members", &[], list.as_bytes()).status, 204);
    }

    /// Starts an engine in `zone`.
    pub fn engine(&mut self, zone: &str, token_ms: &str) -> usize {
        let name = format!("engine-{}", self.backends.len());
        let options = ["--name", &name, "--model", "model", "--token-ms", token_ms, "--weights", &self.weights.address];
        let engine = standin(&self.dir, &name, "engine", &[&options[..], &["--checks-fencing"]].concat());
        let declared = json!({
            "name": name, "kind": "engine", "zone": zone, "service": "model", "address": engine.address,
            "checks_fencing": true,
        });
        self.backends.push((declared, engine));
        self.backends.len() - 1
    }

    /// Starts a scoring or plain service in `zone`.
    pub fn service(&mut self, kind: &str, zone: &str) -> usize {
        let name = format!("{kind}-{}", self.backends.len());
        let process = standin(&self.dir, &name, kind, &[]);
        let declared = json!({
            "name": name, "kind": kind, "zone": zone, "service": kind, "address": process.address,
        });
        self.backends.push((declared, process));
        self.backends.len() - 1
    }

    /// Declares everything that runs, with one campaign in `places`, and waits until it is in force.
    pub fn declare(&self, places: &[&str]) {
        let declaration = self.declaration(places);
        let reply = confirm(&self.daemons[0], &declaration.to_string());
        assert_eq!(reply.status, 200, "{}", reply.body);
        let generation = reply.json()["generation"].as_u64().unwrap();
        for daemon in &self.daemons {
            eventually("the configuration is in force", || {
                let reply = request("GET", &daemon.address, "/v1/nodes", &[OPERATOR_KEY], b"");
                reply.json()[0]["generation"].as_u64() >= Some(generation)
            });
        }
    }

    pub fn declaration(&self, places: &[&str]) -> Value {
        let backends: Vec<&Value> = self.backends.iter().map(|(declared, _)| declared).collect();
        let has = |kind: &str| backends.iter().any(|backend| backend["kind"] == kind);
        let campaign = json!({
            "name": "campaign", "user": "user", "model": "model", "scoring": "scoring", "places": places,
            "max_staleness_versions": 1, "max_tokens": 40,
        });
        let campaigns = if has("engine") && has("scoring") { vec![campaign] } else { vec![] };
        json!({
            "scope": "test",
            "zones": [{ "name": "a", "region": "r" }, { "name": "b", "region": "r" }, { "name": "c", "region": "r" }],
            "users": [{ "name": "user", "places": places }],
            "backends": backends,
            "campaigns": campaigns,
        })
    }

    /// Waits until the daemons know each other and the engines answer through each of them.
    pub fn settle(&self) {
        for daemon in &self.daemons {
            eventually("all nodes are alive", || {
                let reply = request("GET", &daemon.address, "/v1/nodes", &[OPERATOR_KEY], b"");
                let nodes = reply.json().as_array().cloned().unwrap_or_default();
                let alive = nodes.iter().filter(|node| node["liveness"] == "alive" && node["incarnation"] != 0);
                alive.count() == self.daemons.len()
            });
        }
    }

    /// Publishes weights in the weight store and to the service.
    pub fn publish(&self, version: u64) {
        let path = format!("/weights/model/{version}");
        assert_eq!(request("PUT", &self.weights.address, &path, &[], b"").status, 204);
        let body = json!({ "version": version }).to_string();
        eventually("the weights are published", || {
            let reply =
                request("POST", &self.daemons[0].address, "/v1/models/model/weights", &[USER_KEY], body.as_bytes());
            reply.status == 200
        });
    }

    pub fn submit(&self, daemon: usize, step: u64, consume_version: u64, groups: usize) -> Reply {
        let group = |number| json!({ "group": format!("g{number}"), "prompt": format!("draft {number}"), "size": 2 });
        let groups: Vec<Value> = (0..groups).map(group).collect();
        let body = json!({ "consume_version": consume_version, "groups": groups }).to_string();
        let path = format!("/v1/campaigns/campaign/steps/{step}");
        request("PUT", &self.daemons[daemon].address, &path, &[USER_KEY], body.as_bytes())
    }

    /// Waits for a step and returns its samples.
    pub fn take(&self, daemon: usize, step: u64) -> Vec<Value> {
        let path = format!("/v1/campaigns/campaign/steps/{step}/samples");
        let mut lines = Vec::new();
        eventually("the step is sealed", || {
            let reply = request("GET", &self.daemons[daemon].address, &path, &[USER_KEY], b"");
            lines = reply.body.lines().filter_map(|line| serde_json::from_str(line).ok()).collect();
            reply.status == 200
        });
        lines
    }
}

/// Plans a declaration and confirms the plan.
pub fn confirm(daemon: &Process, text: &str) -> Reply {
    let body = json!({ "file": "test.json", "text": text });
    let plan = request("POST", &daemon.address, "/v1/plans", &[OPERATOR_KEY], body.to_string().as_bytes());
    if plan.status != 200 {
        return plan;
    }
    let plan = plan.json();
    let body = json!({ "file": "test.json", "text": text, "made_from": plan["made_from"], "digest": plan["digest"] });
    request("POST", &daemon.address, "/v1/plans/confirm", &[OPERATOR_KEY], body.to_string().as_bytes())
}

/// Checks samples as a trainer does: ids once each, whole texts, and labels that match the tokens.
pub fn check_samples(samples: &[Value], expected: usize, places: &[&str]) {
    let mut ids: Vec<&str> = samples.iter().map(|sample| sample["id"].as_str().unwrap()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!((ids.len(), samples.len()), (expected, expected), "each sample once");
    for sample in samples {
        let words: Vec<&str> = sample["text"].as_str().unwrap().split_whitespace().collect();
        assert_eq!(words.len() as u64, sample["tokens"].as_u64().unwrap());
        for (index, word) in words.iter().enumerate() {
            let parts: Vec<&str> = word.split('/').collect();
            assert_eq!(parts[2], index.to_string(), "tokens are whole and in order");
            let ranges = sample["versions"].as_array().unwrap();
            let covers = |range: &&Value| {
                (range["from"].as_u64().unwrap()..range["to"].as_u64().unwrap()).contains(&(index as u64))
            };
            let named: Vec<&Value> = ranges.iter().filter(covers).collect();
            assert_eq!(named.len(), 1);
            assert_eq!(
                (named[0]["version"].to_string().as_str(), named[0]["engine"].as_str().unwrap()),
                (parts[0], parts[1])
            );
            assert!(places.contains(&named[0]["zone"].as_str().unwrap()), "made where it is allowed");
        }
    }
}

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(": "));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }
}

/// Sends a request on a connection of its own. `extra` holds a key, then further header lines.
pub fn request(method: &str, address: &str, path: &str, extra: &[&str], body: &[u8]) -> Reply {
    try_request(method, address, path, extra, body).unwrap_or(Reply {
        status: 0,
        head: String::new(),
        body: String::new(),
    })
}

/// As [`request`], or `None` where the connection broke.
pub fn try_request(method: &str, address: &str, path: &str, extra: &[&str], body: &[u8]) -> Option<Reply> {
    let mut head = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n");
    if let Some((key, lines)) = extra.split_first() {
        head.push_str(&format!("authorization: Bearer {key}\r\n"));
        for line in lines {
            head.push_str(&format!("{line}\r\n"));
        }
    }
    head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(head.as_bytes()).ok()?;
    // A server that refuses a long body may close before it was sent.
    let _ = stream.write_all(body);
    read_reply(&mut stream)
}

/// Reads an answer up to the end of the connection.
pub fn read_reply(stream: &mut TcpStream) -> Option<Reply> {
    let mut content = Vec::new();
    // A reset after the answer still leaves the answer.
    let _ = stream.read_to_end(&mut content);
    let text = String::from_utf8_lossy(&content).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split_whitespace().nth(1)?.parse().ok()?;
    let is_chunked = head.to_ascii_lowercase().contains("transfer-encoding: chunked");
    let body = if is_chunked { decode_chunks(body) } else { body.to_owned() };
    Some(Reply { status, head: head.to_owned(), body })
}

fn decode_chunks(mut rest: &str) -> String {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else { break };
        if size == 0 || after.len() < size {
            break;
        }
        body.push_str(&after[..size]);
        rest = after[size..].trim_start_matches("\r\n");
    }
    body
}

/// Looks until something is true.
pub fn eventually(what: &str, mut is_true: impl FnMut() -> bool) {
    let began = Instant::now();
    while !is_true() {
        assert!(began.elapsed() < PATIENCE, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
