//! Engines that are cold: what each gets from all nodes together, and what happens to the other requests.

use super::support::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval of heartbeats. The state of engines is unknown to a node for twice this time plus one second after its
/// start.
const HEARTBEAT: Duration = Duration::from_millis(300);
const UNKNOWN_TIME: Duration = Duration::from_millis(1_700);

/// Requests that a cold server may get in any second: `cold_per_s` x 1.5 + 2.
const BOUND: usize = 8;
const COLD_PER_S: f64 = 4.0;

/// A platform whose servers write heartbeats with their cold time.
struct ColdPlatform {
    platform: Platform,
    cold_until: Arc<Mutex<BTreeMap<String, Instant>>>,
    is_stopped: Arc<AtomicBool>,
}

impl ColdPlatform {
    fn start(plain: usize, engines: usize) -> Self {
        let platform = Platform::start_with_counts(plain, engines);
        let (cold_until, is_stopped) = (Arc::<Mutex<BTreeMap<String, Instant>>>::default(), Arc::default());
        let cold = Self { platform, cold_until, is_stopped };
        cold.configure(2, json!(COLD_PER_S));
        let (store, cold_until, is_stopped) =
            (cold.platform.store.clone(), cold.cold_until.clone(), cold.is_stopped.clone());
        std::thread::spawn(move || {
            for heartbeat in 2_u64.. {
                for (server, until) in cold_until.lock().unwrap().iter() {
                    let Some(mut row) = store.get("servers", server) else { continue };
                    row["cold_left_ms"] = json!(until.saturating_duration_since(Instant::now()).as_millis() as u64);
                    row["seq"] = json!(heartbeat);
                    store.put("servers", server, &row);
                }
                std::thread::sleep(HEARTBEAT);
                if is_stopped.load(Ordering::SeqCst) {
                    return;
                }
            }
        });
        cold
    }

    /// Limits both services; engines are used by jobs only.
    fn configure(&self, version: u64, cold_per_s: Value) {
        self.platform.reconfigure(version, |config| {
            config["routes"].as_array_mut().unwrap().retain(|route| route["streaming"].is_null());
            for service in 0..2 {
                config["services"][service]["cold_start_s"] = json!(3.0);
                config["services"][service]["cold_per_s"] = cold_per_s.clone();
            }
        });
    }

    fn set_cold(&self, server: &str, time: Duration) {
        self.cold_until.lock().unwrap().insert(server.into(), Instant::now() + time);
    }

    fn start_daemon(&self, name: &str, seeds: &[&EntryDaemon], more: Value) -> EntryDaemon {
        let mut fields = json!({ "cold_slack": 2.0, "server_heartbeat_ms": HEARTBEAT.as_millis() as u64 });
        for (field, value) in more.as_object().unwrap() {
            fields[field] = value.clone();
        }
        let settings = DaemonSettings {
            store: self.platform.store.address.to_string(),
            seeds: seeds.iter().map(|node| node.peer.clone()).collect(),
            log: Some(log_file(name)),
            more: fields,
            ..DaemonSettings::default()
        };
        EntryDaemon::start_with(name, &settings)
    }

    /// Returns the largest number of arrivals at a server in one second after `since`.
    fn peak(arrivals: &Mutex<Vec<Arrival>>, server: &str, since: Instant) -> usize {
        let arrivals = arrivals.lock().unwrap();
        let at_server = arrivals.iter().filter(|arrival| arrival.server == server && arrival.at >= since);
        let times: Vec<Instant> = at_server.map(|arrival| arrival.at).collect();
        let within = |first: &Instant| {
            times.iter().filter(|at| *at >= first && at.duration_since(*first) < Duration::from_secs(1)).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }
}

impl Drop for ColdPlatform {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
    }
}

fn log_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("entry-cold-{name}-{}.log", std::process::id()))
}

/// Guards against drivers that send all waiting items at once to engines that return cold, also while the driver is
/// killed, another node is suspended and the store is down.
#[test]
fn engines_that_return_cold_are_not_overrun_while_nodes_fail() {
    let cold = ColdPlatform::start(2, 4);
    let platform = &cold.platform;
    platform.engine.event_interval_ms.store(40, Ordering::SeqCst);
    let mut first = cold.start_daemon("zone-a", &[], json!({}));
    let second = cold.start_daemon("zone-b", &[&first], json!({}));
    let third = cold.start_daemon("zone-c", &[&first, &second], json!({}));
    std::thread::sleep(UNKNOWN_TIME);
    let returning = ["i-engine-2", "i-engine-3"];
    let rows = returning.map(|engine| platform.store.get("servers", engine).unwrap());
    returning.iter().for_each(|engine| platform.store.remove("servers", engine));
    std::thread::sleep(Duration::from_millis(500));
    assert_eq!(submit(&first, "job1", 120), 202);
    let returned_at = Instant::now();
    for (engine, mut row) in returning.iter().zip(rows) {
        cold.set_cold(engine, Duration::from_secs(5));
        (row["cold_left_ms"], row["seq"]) = (json!(5_000), json!(1));
        platform.store.put("servers", engine, &row);
    }
    std::thread::sleep(Duration::from_millis(700));
    first.signal("-KILL");
    first.wait_end();
    third.signal("-STOP");
    std::thread::sleep(Duration::from_millis(900));
    platform.store.set_unavailable(true);
    std::thread::sleep(Duration::from_millis(600));
    platform.store.set_unavailable(false);
    third.signal("-CONT");
    let arrivals = &platform.engine.arrivals;
    std::thread::sleep(Duration::from_secs(5).saturating_sub(returned_at.elapsed()));
    let peaks = returning.map(|engine| ColdPlatform::peak(arrivals, engine, returned_at));
    assert!(peaks.iter().all(|peak| (1..=BOUND).contains(peak)), "{peaks:?} in a second");
    assert_eq!(read_results(&second, "job1", 120).len(), 120);
}

/// Guards against requests that wait in vain, and against items that never run, while all engines are cold.
#[test]
fn while_all_servers_are_cold_calls_are_served_up_to_the_limit_and_the_rest_refused() {
    let cold = ColdPlatform::start(2, 2);
    for server in ["i-plain-0", "i-plain-1", "i-engine-0", "i-engine-1"] {
        cold.set_cold(server, Duration::from_secs(30));
    }
    let metrics = free_address();
    let daemon = cold.start_daemon("all", &[], json!({ "metrics_listen": metrics }));
    std::thread::sleep(UNKNOWN_TIME);
    let started = Instant::now();
    let mut served = 0;
    for number in 0..50 {
        let sent = Instant::now();
        let id = format!("call-{number}");
        let status = call(&daemon.client, "GET", "/safe/x", &[("request-id", &id)], "").unwrap().status;
        assert!(matches!(status, 200 | 503), "{status}");
        assert!(sent.elapsed() < Duration::from_millis(400), "answered at once: {:?}", sent.elapsed());
        served += usize::from(status == 200);
        std::thread::sleep(Duration::from_millis(60));
    }
    assert!((4..=2 * (started.elapsed().as_secs() as usize + 2)).contains(&served), "one each second: {served}");
    assert_eq!(submit(&daemon, "job1", 8), 202);
    assert_eq!(read_results(&daemon, "job1", 8).len(), 8);
    for (behaviour, server) in [(&cold.platform.plain, "i-plain-0"), (&cold.platform.engine, "i-engine-0")] {
        let peak = ColdPlatform::peak(&behaviour.arrivals, server, started);
        assert!((1..=BOUND).contains(&peak), "{server} got {peak} in a second");
    }
    let list = call(&metrics, "GET", "/v1/cold", &[], "").unwrap().json();
    let row = list.as_array().unwrap().iter().find(|row| row["engine"] == "i-plain-0").unwrap().clone();
    assert_eq!((&row["service"], &row["state"]), (&json!("plain"), &json!("cold")), "{row}");
    assert!(row["cold_for_ms"].as_u64().unwrap() > 10_000, "{row}");
    let page = call(&metrics, "GET", "/metrics", &[], "").unwrap().body;
    assert!(page.contains("trestlerack_entry_cold_refused") && page.contains("trestlerack_entry_cold_sent"), "{page}");
}

/// Nodes that poll a follower must learn that an engine became cold and warm, although only its cold time changes.
#[test]
fn cold_times_reach_nodes_that_poll_a_follower() {
    let cold = ColdPlatform::start(2, 1);
    let mut nodes: Vec<EntryDaemon> = Vec::new();
    let mut addresses = Vec::new();
    for name in ["poll-a", "poll-b", "poll-c"] {
        let metrics = free_address();
        let more = json!({ "followers": 1, "metrics_listen": metrics });
        let node = cold.start_daemon(name, &nodes.iter().collect::<Vec<_>>(), more);
        nodes.push(node);
        addresses.push(metrics);
    }
    let states = || -> Vec<Value> {
        let state = |metrics: &String| {
            let list = call(metrics, "GET", "/v1/cold", &[], "").unwrap().json();
            let row = list.as_array().unwrap().iter().find(|row| row["engine"] == "i-plain-0").cloned();
            row.unwrap_or_default()["state"].clone()
        };
        addresses.iter().map(state).collect()
    };
    for (time, expected) in [(Duration::ZERO, "warm"), (Duration::from_secs(60), "cold"), (Duration::ZERO, "warm")] {
        cold.set_cold("i-plain-0", time);
        eventually_with_detail(
            expected,
            || states().iter().all(|state| state == expected),
            || format!("{:?}", states()),
        );
    }
}

/// Invalid figures must neither lift other limits nor make servers unusable.
#[test]
fn invalid_figures_are_logged_and_replaced() {
    let cold = ColdPlatform::start(1, 1);
    let mut row = cold.platform.store.get("servers", "i-plain-0").unwrap();
    row["cold_left_ms"] = json!(-5);
    cold.platform.store.put("servers", "i-plain-0", &row);
    let daemon = cold.start_daemon("invalid", &[], json!({}));
    cold.configure(3, json!("many"));
    let log = || std::fs::read_to_string(log_file("invalid")).unwrap();
    eventually_with_detail(
        "both are logged",
        || log().contains("cold_per_s of plain") && log().contains("cold_left_ms"),
        log,
    );
    assert!(log().contains("cold-field-invalid"), "{}", log());
    eventually("the server is used", || {
        call(&daemon.client, "GET", "/safe/x", &[("request-id", "x")], "").is_some_and(|answer| answer.status == 200)
    });
}
