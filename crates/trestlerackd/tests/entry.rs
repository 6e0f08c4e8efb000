//! The entry daemon as a process, against stand-ins of the users' platform.

mod support;

use serde_json::{Value, json};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::{EntryDaemon, StandinStore, call, eventually, free_address, reply, send, serve};

const EVENTS: u64 = 5;

/// What a stand-in server does and has seen.
#[derive(Default)]
struct ServerBehaviour {
    /// Requests that ran, by id.
    runs: Mutex<Vec<String>>,
    /// Answers that bear the id of another request.
    foreign_answers: AtomicUsize,
    /// Answers whose body breaks off.
    short_answers: AtomicUsize,
    /// Requests that are never answered.
    hangs: AtomicBool,
    /// Connections that were closed by the caller while a request hung.
    left: AtomicUsize,
    /// Pause between two events, in milliseconds.
    pace_ms: AtomicUsize,
    /// Streams that break off within their third event.
    broken_streams: AtomicUsize,
}

fn take(count: &AtomicUsize) -> bool {
    count.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
}

/// A plain server, which is also the scoring service.
fn plain_server(behaviour: Arc<ServerBehaviour>) -> SocketAddr {
    serve(move |request, stream| {
        let id = request.headers["request-id"].clone();
        behaviour.runs.lock().unwrap().push(id.clone());
        if behaviour.hangs.load(Ordering::SeqCst) {
            let mut byte = [0];
            stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
            if matches!(stream.peek(&mut byte), Ok(0) | Err(_)) {
                behaviour.left.fetch_add(1, Ordering::SeqCst);
            }
            return false;
        }
        let echoed = if take(&behaviour.foreign_answers) { "another" } else { &id };
        let body = String::from_utf8(request.body).unwrap();
        if take(&behaviour.short_answers) {
            let text =
                format!("HTTP/1.1 200 X\r\ncontent-length: 99\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\r\nhalf");
            std::io::Write::write_all(stream, text.as_bytes()).unwrap();
            return false;
        }
        reply(stream, 200, &[("request-id", echoed), ("response-stamp", &format!("signed-{id}"))], &body)
    })
}

/// A model engine at version 1 whose streams have a few events.
fn model_engine(behaviour: Arc<ServerBehaviour>) -> SocketAddr {
    serve(move |request, stream| {
        if request.path == "/trestlerack/report" {
            return reply(stream, 200, &[], r#"{"models":[{"name":"m","version":1}],"busy":false,"seq":0}"#);
        }
        let id = request.headers["request-id"].clone();
        let first = request.headers.get("last-event-id").map_or(1, |last| last.parse::<u64>().unwrap() + 1);
        behaviour.runs.lock().unwrap().push(format!("{id}@{first}"));
        let head = format!(
            "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\nrequest-id: {id}\r\nresponse-stamp: s\r\n\
             weight-versions: 1\r\n\r\n"
        );
        let mut write = |text: String| std::io::Write::write_all(stream, text.as_bytes()).is_ok();
        if !write(head) {
            return false;
        }
        let is_broken = take(&behaviour.broken_streams);
        for number in first..=EVENTS {
            if is_broken && number == 3 {
                write("1c\r\nid: 3\ndata: ".into());
                return false;
            }
            std::thread::sleep(Duration::from_millis(behaviour.pace_ms.load(Ordering::SeqCst) as u64));
            let event = format!("id: {number}\ndata: {id}-{number}\n\n");
            if !write(format!("{:x}\r\n{event}\r\n", event.len())) {
                return false;
            }
        }
        write("0\r\n\r\n".into())
    })
}

struct Platform {
    store: StandinStore,
    plain: Arc<ServerBehaviour>,
    engine: Arc<ServerBehaviour>,
}

impl Platform {
    fn start() -> Self {
        let store = StandinStore::start();
        let (plain, engine) = (Arc::<ServerBehaviour>::default(), Arc::<ServerBehaviour>::default());
        let limits = json!({ "max_header_bytes": 16384, "max_body_bytes": 100_000, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000 });
        store.put(
            "op",
            "config",
            &json!({ "version": 1, "limits": limits,
            "services": [{ "name": "plain", "max_conns": 100 },
                { "name": "models", "max_conns": 100, "engine": { "slots": 4, "models": [{ "name": "m" }] } }],
            "routes": [
                { "name": "safe", "host": "h.example", "prefix": "/safe/", "kind": "safe", "timeout_ms": 3000,
                    "target_latency_ms": 150, "service": "plain", "max_attempts": 3 },
                { "name": "once", "host": "h.example", "prefix": "/once/", "kind": "unsafe", "timeout_ms": 3000,
                    "target_latency_ms": 150, "service": "plain", "max_attempts": 3 },
                { "name": "resumed", "host": "h.example", "prefix": "/resumed/", "kind": "unsafe", "timeout_ms": 5000,
                    "streaming": true, "resumable": true, "service": "models", "max_attempts": 3 },
                { "name": "streamed", "host": "h.example", "prefix": "/streamed/", "kind": "unsafe",
                    "timeout_ms": 5000, "streaming": true, "service": "models", "max_attempts": 3 },
                { "name": "jobs", "host": "h.example", "prefix": "/jobs/", "kind": "rollout", "due_ms": 7500,
                    "target_latency_ms": 400, "service": "models", "max_attempts": 3, "max_wait_s": 60.0 }] }),
        );
        let platform = Self { store, plain: plain.clone(), engine: engine.clone() };
        for number in 0..2 {
            let address = plain_server(plain.clone());
            platform.register(&format!("i-plain-{number}"), "plain", address, json!([]));
            let address = model_engine(engine.clone());
            platform.register(&format!("i-engine-{number}"), "models", address, json!([{ "name": "m", "version": 1 }]));
        }
        platform
    }

    fn register(&self, instance: &str, service: &str, address: SocketAddr, models: Value) {
        self.store.put(
            "servers",
            instance,
            &json!({ "service": service, "addr": address.to_string(), "zone": "z",
            "version": "v1", "slots": 4, "state": "ready", "cold_left_ms": 0, "models": models, "seq": 1 }),
        );
    }
}

fn job_body(items: usize) -> String {
    let item = |number: usize| {
        json!({ "id": format!("item-{number}"), "path": "/jobs/run", "headers": { "Model": "m" }, "body": "Ym9keQ==",
            "tokens": 100, "group": format!("g-{}", number / 2),
            "scorer": { "id": format!("score-{number}"), "host": "h.example", "path": "/safe/score", "body": "" } })
    };
    let items: Vec<Value> = (0..items).map(item).collect();
    json!({ "step": 0, "model": "m", "min_version": 1, "target_groups": 1, "requests": items }).to_string()
}

fn submit(daemon: &EntryDaemon, job: &str, items: usize) -> u16 {
    let path = format!("/jobs/{job}");
    call(&daemon.client, "POST", &path, &[("request-id", job)], &job_body(items)).map_or(0, |answer| answer.status)
}

fn read_all(daemon: &EntryDaemon, job: &str, total: usize) -> Vec<Value> {
    let mut results: Vec<Value> = Vec::new();
    eventually("the job is whole", || {
        let path = format!("/trestlerack/lots/{job}?after={}", results.len());
        let Some(answer) = call(&daemon.client, "GET", &path, &[("wait-ms", "500")], "") else { return false };
        if answer.status != 200 {
            return false;
        }
        let page = answer.json();
        assert_eq!(page["total"], total);
        results.extend(page["results"].as_array().unwrap().iter().cloned());
        assert_eq!(page["next"], results.len());
        results.len() == total
    });
    results
}

#[test]
fn requests_reach_their_service_unchanged_and_others_are_told_so() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let answer = call(&daemon.client, "POST", "/safe/x?y=1", &[("request-id", "r1")], "the body").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "the body"));
    assert_eq!(answer.headers["response-stamp"], "signed-r1");
    assert_eq!(answer.headers["request-id"], "r1");
    assert_eq!(call(&daemon.client, "GET", "/none/x", &[("request-id", "r2")], "").unwrap().status, 404);
    let large = "x".repeat(200_000);
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &[("request-id", "r3")], &large).unwrap().status, 413);
    assert_eq!(*platform.plain.runs.lock().unwrap(), ["r1"]);
}

#[test]
fn an_answer_to_another_request_or_half_an_answer_is_never_passed_on() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.foreign_answers.store(1, Ordering::SeqCst);
    let answer = call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "one").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "one"), "it may run again and did");
    platform.plain.short_answers.store(1, Ordering::SeqCst);
    let answer = call(&daemon.client, "POST", "/safe/x", &[("request-id", "r2")], "two").unwrap();
    assert_eq!((answer.status, answer.body.as_str()), (200, "two"));
    platform.plain.short_answers.store(1, Ordering::SeqCst);
    let answer = call(&daemon.client, "POST", "/once/x", &[("request-id", "r3")], "three").unwrap();
    assert_eq!(answer.status, 502, "it may have run and must not run again");
    let runs = platform.plain.runs.lock().unwrap();
    assert_eq!(runs.iter().filter(|id| *id == "r3").count(), 1);
}

#[test]
fn a_client_that_leaves_ends_the_work_of_its_server() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.hangs.store(true, Ordering::SeqCst);
    let mut stream = TcpStream::connect(&daemon.client).unwrap();
    send(&mut stream, "POST", "/once/x", &[("request-id", "r1")], "x").unwrap();
    eventually("the request runs", || !platform.plain.runs.lock().unwrap().is_empty());
    let left_at = Instant::now();
    drop(stream);
    eventually("its server is left", || platform.plain.left.load(Ordering::SeqCst) == 1);
    assert!(left_at.elapsed() < Duration::from_millis(500));
}

#[test]
fn a_job_is_accepted_once_and_read_scored_at_lasting_positions() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&daemon.peer]);
    assert_eq!(submit(&daemon, "job1", 12), 202);
    assert_eq!(submit(&other, "job1", 12), 202);
    assert_eq!(submit(&other, "job1", 11), 409, "another job has this id");
    let results = read_all(&daemon, "job1", 12);
    for result in &results {
        let id = result["id"].as_str().unwrap();
        let text: Vec<String> = (1..=EVENTS).map(|number| format!("{id}-{number}")).collect();
        assert_eq!(result["text"], text.join("\n"));
        assert_eq!((&result["state"], &result["versions"]), (&json!("completed"), &json!([1])));
        assert_eq!(result["score"], format!("signed-{}", id.replace("item", "score")));
    }
    assert_eq!(read_all(&other, "job1", 12), results);
    let body = call(&other.client, "GET", "/trestlerack/items/job1?id=item-3", &[], "").unwrap();
    assert_eq!((body.status, body.body.as_str()), (200, "body"));
    for _ in 0..2 {
        assert_eq!(call(&other.client, "DELETE", "/trestlerack/lots/job1", &[], "").unwrap().status, 200);
    }
    assert_eq!(call(&daemon.client, "GET", "/trestlerack/lots/none?after=0", &[], "").unwrap().status, 404);
}

#[test]
fn malformed_jobs_are_refused_with_a_reason_and_nothing_is_stored() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    for body in ["", "{", "[]", r#"{"requests":[{"id":"a"}]}"#, r#"{"requests":[{"id":"a","path":"/p","body":"%"}]}"#] {
        let answer = call(&daemon.client, "POST", "/jobs/bad", &[("request-id", "bad")], body).unwrap();
        assert_eq!(answer.status, 400, "{body}");
        assert!(!answer.body.is_empty(), "{body}");
    }
    assert_eq!(platform.store.count("state", "bad"), 0);
}

#[test]
fn a_refused_job_was_not_stored_and_a_lost_reply_is_no_refusal() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.store.refuse_writes(true);
    assert_eq!(submit(&daemon, "job1", 2), 503);
    platform.store.refuse_writes(false);
    assert_eq!(platform.store.count("state", "job1"), 0);
    platform.store.lose_replies(1);
    assert_eq!(submit(&daemon, "job2", 2), 202);
    assert_eq!(read_all(&daemon, "job2", 2).len(), 2);
}

/// Starts two daemons, of which the first drives a job whose four items run.
fn two_daemons_with_a_running_job(platform: &Platform) -> (EntryDaemon, EntryDaemon) {
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&daemon.peer]);
    platform.engine.pace_ms.store(300, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "job1", 4), 202);
    eventually("its items run", || platform.engine.runs.lock().unwrap().len() == 4);
    (daemon, other)
}

#[test]
fn another_node_finishes_the_job_of_a_killed_one_from_the_stored_text() {
    let platform = Platform::start();
    let (mut daemon, other) = two_daemons_with_a_running_job(&platform);
    daemon.signal("-KILL");
    daemon.wait_end();
    let killed_at = Instant::now();
    eventually("they run again", || platform.engine.runs.lock().unwrap().len() > 4);
    assert!(killed_at.elapsed() < Duration::from_secs(3), "{:?}", killed_at.elapsed());
    assert_eq!(read_all(&other, "job1", 4).len(), 4);
}

#[test]
fn a_stopping_node_hands_its_job_over_with_its_texts_and_ends_by_itself() {
    let platform = Platform::start();
    let (mut daemon, other) = two_daemons_with_a_running_job(&platform);
    std::thread::sleep(Duration::from_millis(750));
    daemon.signal("-TERM");
    eventually("it is not ready", || {
        call(&daemon.ready, "GET", "/trestlerack/ready", &[], "").is_none_or(|answer| answer.status == 503)
    });
    let answer = call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "late").unwrap();
    assert_eq!((answer.status, answer.headers["connection"].as_str()), (200, "close"));
    assert!(daemon.wait_end());
    assert_eq!(read_all(&other, "job1", 4).len(), 4);
    let runs = platform.engine.runs.lock().unwrap();
    assert!(runs[4..].iter().all(|run| !run.ends_with("@1")), "texts go on where they were: {runs:?}");
}

#[test]
fn a_hangup_reads_the_settings_again_and_ends_nothing() {
    let platform = Platform::start();
    let mut daemon = EntryDaemon::start("a", &platform.store, &[]);
    daemon.signal("-HUP");
    std::thread::sleep(Duration::from_millis(200));
    assert!(daemon.is_running());
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "x").unwrap().status, 200);
}

#[test]
fn a_node_that_cannot_reach_the_store_serves_through_a_peer() {
    let platform = Platform::start();
    let peer = EntryDaemon::start("a", &platform.store, &[]);
    // Nothing listens there, so each direct call fails.
    let cut_off = EntryDaemon::start_with_store("b", &free_address(), &[&peer.peer]);
    assert_eq!(call(&cut_off.client, "POST", "/safe/x", &[("request-id", "r1")], "x").unwrap().status, 200);
    assert_eq!(submit(&cut_off, "job1", 6), 202);
    assert_eq!(read_all(&cut_off, "job1", 6), read_all(&peer, "job1", 6));
}

/// Reads a chunked body; returns its text and whether it ended as a whole one does.
fn read_stream(daemon: &EntryDaemon, path: &str, id: &str) -> (String, bool) {
    let mut stream = TcpStream::connect(&daemon.client).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let headers = [("request-id", id), ("model", "m"), ("connection", "close")];
    send(&mut stream, "POST", path, &headers, "prompt").unwrap();
    let mut bytes = Vec::new();
    // A reply that breaks off may end with a reset, after the bytes before it.
    let _ = std::io::Read::read_to_end(&mut stream, &mut bytes);
    let text = String::from_utf8(bytes).unwrap();
    let is_whole = text.ends_with("0\r\n\r\n");
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    (events.join(","), is_whole)
}

#[test]
fn a_broken_stream_is_resumed_where_the_route_allows_it_and_else_breaks_too() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let whole = |id: &str| (1..=EVENTS).map(|number| format!("{id}-{number}")).collect::<Vec<_>>().join(",");
    assert_eq!(read_stream(&daemon, "/streamed/x", "s1"), (whole("s1"), true));
    platform.engine.broken_streams.store(1, Ordering::SeqCst);
    assert_eq!(read_stream(&daemon, "/resumed/x", "s2"), (whole("s2"), true));
    assert_eq!(platform.engine.runs.lock().unwrap()[1..], ["s2@1", "s2@3"]);
    platform.engine.broken_streams.store(1, Ordering::SeqCst);
    let (text, is_whole) = read_stream(&daemon, "/streamed/x", "s3");
    assert!(!is_whole, "a break must not look like an end: {text}");
    let runs = platform.engine.runs.lock().unwrap();
    assert_eq!(runs.iter().filter(|run| run.starts_with("s3")).count(), 1, "it must not run again");
}

#[test]
fn the_rows_of_an_old_job_are_removed_and_those_of_an_open_one_stay() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.pace_ms.store(4_000, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "open", 2), 202);
    assert_eq!(submit(&daemon, "over", 2), 202);
    assert_eq!(call(&daemon.client, "DELETE", "/trestlerack/lots/over", &[], "").unwrap().status, 200);
    let rows = |job: &str| ["state", "specs"].map(|table| platform.store.count(table, job));
    assert!(rows("over").iter().all(|count| *count > 0));
    eventually("its rows are removed", || rows("over") == [0, 0]);
    assert!(rows("open").iter().all(|count| *count > 0), "it is not over");
    let answer = call(&daemon.client, "GET", "/trestlerack/lots/over?after=0", &[], "").unwrap();
    assert_eq!(answer.status, 404);
}
