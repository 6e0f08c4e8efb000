//! Customers and their API keys: which calls are served, which customer backend servers get, and that no key is
//! forwarded, stored or logged.

use super::support::*;
use serde_json::{Value, json};
use std::path::PathBuf;

const KEY_ONE: &str = "secret-key-one";
const KEY_TWO: &str = "secret-key-two";
const OTHER_KEY: &str = "secret-key-of-the-other";
const LATE_KEY: &str = "secret-key-that-comes-late";

fn customers() -> Value {
    json!([{ "name": "wash", "api_keys": [KEY_ONE, KEY_TWO], "priority": 1 },
        { "name": "pension", "api_keys": [OTHER_KEY] }])
}

/// Starts a platform whose callers need API keys, and a node that logs to a file.
fn start(name: &str) -> (Platform, EntryDaemon, PathBuf) {
    let platform = Platform::start();
    platform.configure(2, customers());
    let log = std::env::temp_dir().join(format!("entry-keys-{name}-{}.log", std::process::id()));
    let store = platform.store.address.to_string();
    let daemon = EntryDaemon::start_with("a", &DaemonSettings { store, log: Some(log.clone()), ..Default::default() });
    (platform, daemon, log)
}

/// Makes a call with a key, or without one if it is empty, and returns the status.
fn status(daemon: &EntryDaemon, method: &str, path: &str, id: &str, key: &str, body: &str) -> u16 {
    let bearer = format!("Bearer {key}");
    let mut headers = vec![("request-id", id), ("tenant", "forged")];
    if !key.is_empty() {
        headers.push(("authorization", &bearer));
    }
    call(&daemon.client, method, path, &headers, body).unwrap().status
}

#[test]
fn servers_get_the_customer_and_never_its_key() {
    let (platform, daemon, log) = start("told");
    for (id, key, expected) in
        [("r1", KEY_ONE, 200), ("r2", KEY_TWO, 200), ("r3", OTHER_KEY, 200), ("r4", "unknown", 401), ("r5", "", 401)]
    {
        assert_eq!(status(&daemon, "POST", "/safe/x", id, key, "x"), expected, "{id}");
    }
    assert_eq!(status(&daemon, "POST", "/untimed/x", "r6", "", "x"), 200, "the route is public");
    let headers = platform.plain.headers.lock().unwrap().clone();
    let tenant = |id: &str| headers[id].get("tenant").cloned();
    assert_eq!((tenant("r1"), tenant("r2")), (Some("wash".into()), Some("wash".into())));
    assert_eq!((tenant("r3"), tenant("r6")), (Some("pension".into()), None));
    assert!(!headers.contains_key("r4") && !headers.contains_key("r5"));
    assert!(headers.values().all(|headers| !headers.contains_key("authorization")));
    std::fs::remove_file(log).unwrap();
}

#[test]
fn a_job_belongs_to_its_customer_and_not_to_a_key() {
    let (platform, daemon, log) = start("job");
    let body =
        job_body_of("job1", 4, 1).replace(r#""Model":"m""#, &format!(r#""Model":"m","Authorization":"{KEY_ONE}""#));
    let submit = |key: &str| status(&daemon, "POST", "/jobs/job1", "job1", key, &body);
    assert_eq!((submit(""), submit("unknown"), submit(KEY_ONE), submit(KEY_TWO)), (401, 401, 202, 202));
    assert_eq!(submit(OTHER_KEY), 409, "another customer has a job with this id");
    // The key with which the job was submitted is removed, and the job continues.
    platform.configure(
        3,
        json!([{ "name": "wash", "api_keys": [KEY_TWO] }, { "name": "pension", "api_keys": [OTHER_KEY] }]),
    );
    eventually("the removed key is rejected", || status(&daemon, "POST", "/safe/x", "r1", KEY_ONE, "x") == 401);
    let path = "/trestlerack/lots/job1?after=0";
    eventually("the job is complete", || {
        let bearer = format!("Bearer {KEY_TWO}");
        let headers = [("request-id", "r2"), ("wait-ms", "500"), ("authorization", bearer.as_str())];
        let response = call(&daemon.client, "GET", path, &headers, "").unwrap();
        response.status == 200 && response.json()["next"] == 4
    });
    let item = "/trestlerack/items/job1?id=job1-item-0";
    for (method, path, body) in [("GET", path, ""), ("GET", item, ""), ("DELETE", "/trestlerack/lots/job1", "")] {
        let by = |key: &str| status(&daemon, method, path, "r3", key, body);
        assert_eq!((by(OTHER_KEY), by(KEY_ONE), by("")), (404, 401, 404), "{method} {path}");
        assert_eq!(by(KEY_TWO), 200, "{method} {path}");
    }
    let items = platform.engine.headers.lock().unwrap().clone();
    assert!(items.len() == 4 && items.values().all(|headers| headers["tenant"] == "wash"));
    let mut scores = platform.plain.headers.lock().unwrap().clone();
    scores.retain(|id, _| id.ends_with("-score"));
    assert!(scores.len() == 4 && scores.values().all(|headers| !headers.contains_key("tenant")));
    for headers in items.values().chain(scores.values()) {
        assert!(!headers.contains_key("authorization"));
    }
    for key in [KEY_ONE, KEY_TWO, OTHER_KEY] {
        assert!(!platform.store.holds(key), "a row contains {key}");
        assert!(!std::fs::read_to_string(&log).unwrap().contains(key), "the log contains {key}");
    }
    std::fs::remove_file(log).unwrap();
}

/// The watch delivers no changes, so only a read of the configuration can find a new key. Many bad keys must not
/// cause a read each.
#[test]
fn an_unknown_key_refreshes_the_configuration_at_a_limited_rate() {
    let (platform, daemon, log) = start("late");
    platform.store.silence_watches(Some("op"));
    platform.configure(3, json!([{ "name": "wash", "api_keys": [LATE_KEY] }]));
    assert_eq!(status(&daemon, "POST", "/safe/x", "r1", LATE_KEY, "x"), 200);
    let reads_before = platform.store.reads("");
    let started = std::time::Instant::now();
    for number in 0..200 {
        assert_eq!(status(&daemon, "POST", "/safe/x", &format!("bad-{number}"), &format!("bad-{number}"), "x"), 401);
    }
    let reads = platform.store.reads("") - reads_before;
    assert!(reads <= 1 + started.elapsed().as_secs() as usize, "{reads} reads in {:?}", started.elapsed());
    std::fs::remove_file(log).unwrap();
}
