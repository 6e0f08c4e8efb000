//! Evacuated zones: nothing new arrives at their servers, and what runs there ends by itself.

use super::support::*;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime};

/// Time after the acknowledgement of the row after which nothing may arrive in the zone.
const BOUND: Duration = Duration::from_secs(5);

/// Time for which load goes on after the bound; longer than the interval at which versions are published.
const LOAD_AFTER_BOUND: Duration = Duration::from_millis(2_500);

/// Interval between two calls of a load.
const CALL_INTERVAL: Duration = Duration::from_millis(20);

/// Outcome of a call; the status is 0 without a response.
#[derive(Debug)]
struct Outcome {
    id: String,
    status: u16,
    times: CallTimes,
}

/// A platform whose server number `n` of each kind is in the zone with that number.
struct ZonedPlatform {
    platform: Platform,
    zones: &'static [&'static str],
    call_count: AtomicUsize,
}

impl ZonedPlatform {
    fn start(zones: &'static [&'static str]) -> Self {
        let platform = Platform::start_with_counts(zones.len(), zones.len());
        let zoned = Self { platform, zones, call_count: AtomicUsize::new(0) };
        zoned.restart_servers();
        zoned
    }

    /// Lets all servers restart in their zones.
    fn restart_servers(&self) {
        for (number, zone) in self.zones.iter().enumerate() {
            for kind in ["plain", "engine"] {
                self.platform.set_zone(&format!("i-{kind}-{number}"), zone);
            }
        }
    }

    /// Lets calls of `/once/` queue for a slot, for up to the time limit of the route.
    fn queue_calls(&self) {
        self.platform.reconfigure(2, |config| {
            config["tenants"] = json!([{ "name": "wash", "api_keys": ["k-wash"] }]);
            config["routes"][3]["public"] = json!(true);
            config["routes"][3]["target_latency_ms"] = json!(0);
            config["routes"][3]["timeout_ms"] = json!(30_000);
        });
    }

    /// Starts a node of zone `a`, which prefers the servers there, with a log and a metrics address.
    fn node(&self, name: &str) -> (EntryDaemon, PathBuf, String) {
        let log = std::env::temp_dir().join(format!("entry-evacuation-{name}-{}.log", std::process::id()));
        let (store, metrics) = (self.platform.store.address.to_string(), free_address());
        let more = json!({ "metrics_listen": metrics, "zone": "a" });
        let settings = DaemonSettings { store, log: Some(log.clone()), more, ..DaemonSettings::default() };
        (EntryDaemon::start_with(name, &settings), log, metrics)
    }

    fn evacuate(&self, zone: &str) -> Instant {
        self.platform.store.put("op", &format!("evacuate/{zone}"), &json!({}));
        Instant::now()
    }

    fn end_evacuation(&self, zone: &str) {
        self.platform.store.remove("op", &format!("evacuate/{zone}"));
    }

    /// Returns what arrived in a zone since a time: the kind of server, the path, and the time since then.
    fn arrivals(&self, zone: &str, since: Instant) -> Vec<(&'static str, String, Duration)> {
        let number = self.zones.iter().position(|other| *other == zone).unwrap();
        let mut arrived = Vec::new();
        for (kind, servers) in [("plain", &self.platform.plain), ("engine", &self.platform.engine)] {
            let name = format!("i-{kind}-{number}");
            let arrivals = servers.arrivals.lock().unwrap();
            let recent = arrivals.iter().filter(|arrival| arrival.server == name && arrival.at >= since);
            arrived.extend(recent.map(|arrival| (kind, arrival.path.clone(), arrival.at - since)));
        }
        arrived
    }

    fn call(&self, node: &EntryDaemon, path: &str) -> Outcome {
        let id = format!("{}-{}", node.name, self.call_count.fetch_add(1, Ordering::SeqCst));
        let headers = [("request-id", id.as_str()), ("connection", "close")];
        let (response, times) = timed_call(&node.client, "POST", path, &headers, "x");
        Outcome { id, status: response.map_or(0, |response| response.status), times }
    }

    /// Makes a call and requires that it is served. A failure prints when the call arrived at servers, and the node's
    /// log lines of it.
    fn call_served(&self, node: &EntryDaemon, path: &str) {
        let outcome = self.call(node, path);
        let id = &outcome.id;
        let arrived = || {
            let arrivals = self.platform.plain.arrivals.lock().unwrap();
            let of_call = arrivals.iter().filter(|arrival| arrival.id == *id);
            let describe = |arrival: &Arrival| {
                format!("{} at {}", arrival.server, time_of_day(SystemTime::now() - arrival.at.elapsed()))
            };
            of_call.map(describe).collect::<Vec<_>>()
        };
        let lines = || node.log_lines(&format!("request={id} "));
        assert_eq!(outcome.status, 200, "{outcome:?}, arrived {:?}:\n{}", arrived(), lines());
    }

    /// Makes calls for some time and requires that all are served.
    fn serve(&self, node: &EntryDaemon, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.call_served(node, "/once/x");
            std::thread::sleep(CALL_INTERVAL);
        }
    }

    /// Requires that calls to a node reach a zone soon.
    fn wait_used(&self, node: &EntryDaemon, zone: &str) {
        let number = self.zones.iter().position(|other| *other == zone).unwrap();
        let server = format!("i-plain-{number}");
        let has_arrived = |id: &str| {
            let arrivals = self.platform.plain.arrivals.lock().unwrap();
            arrivals.iter().any(|arrival| arrival.server == server && arrival.id == id)
        };
        let last = RefCell::default();
        let is_used = || {
            last.replace(Some(self.call(node, "/once/x")));
            last.borrow().as_ref().is_some_and(|outcome: &Outcome| outcome.status == 200 && has_arrived(&outcome.id))
        };
        let detail = || format!("{:?}:\n{}", last.borrow(), node.log_lines(" [INFO] event=TR26"));
        eventually_with_detail(&format!("{} uses zone {zone}", node.name), is_used, detail);
    }

    /// Evacuates a zone that all the nodes use, and requires that calls to them no longer reach it after the bound.
    fn check_stop(&self, nodes: &[&EntryDaemon], zone: &str) {
        nodes.iter().for_each(|node| self.wait_used(node, zone));
        let acknowledged = self.evacuate(zone);
        std::thread::scope(|scope| {
            nodes.iter().for_each(|node| _ = scope.spawn(|| self.serve(node, BOUND + LOAD_AFTER_BOUND)));
        });
        assert_eq!(self.arrivals(zone, acknowledged + BOUND), []);
    }
}

fn count_lines(log: &PathBuf, event: &str) -> usize {
    std::fs::read_to_string(log).unwrap().lines().filter(|line| line.contains(event)).count()
}

fn zone_row(metrics: &str, zone: &str) -> Value {
    let rows = call(metrics, "GET", "/v1/zones", &[], "").unwrap().json();
    rows.as_array().unwrap().iter().find(|row| row["zone"] == zone).cloned().unwrap_or_default()
}

/// Guards against any kind of request or order that still reaches the zone after the bound.
#[test]
fn all_kinds_of_work_stop_within_the_bound_and_return_after_the_end() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    let (node, log, _) = zoned.node("kinds");
    let is_over = AtomicBool::new(false);
    let load = |work: &(dyn Fn(usize) + Sync)| {
        (0..).take_while(|_| !is_over.load(Ordering::SeqCst)).for_each(|number| {
            work(number);
            std::thread::sleep(CALL_INTERVAL);
        });
    };
    let run_job = |number: usize| {
        let job = format!("job{number}");
        assert_eq!(submit(&node, &job, 6), 202);
        assert!(read_results(&node, &job, 6).iter().all(|result| result["state"] == "completed"));
    };
    let stream = |number: usize| {
        // A stream is refused while the only engine loads weights.
        let (text, is_complete) = read_stream_from(&node.client, "/resumed/x", &format!("s{number}")).unwrap();
        assert!(is_complete || text.is_empty(), "{text}");
    };
    // Ends the load also if an assertion fails.
    struct EndLoad<'a>(&'a AtomicBool);
    impl Drop for EndLoad<'_> {
        fn drop(&mut self) {
            self.0.store(true, Ordering::SeqCst);
        }
    }
    std::thread::scope(|scope| {
        let end_load = EndLoad(&is_over);
        scope.spawn(|| load(&run_job));
        scope.spawn(|| load(&stream));
        scope.spawn(|| load(&|_| zoned.call_served(&node, "/safe/x")));
        scope.spawn(|| {
            load(&|number| {
                zoned.platform.publish_version(2 + number as u64 / 50);
            })
        });
        let kinds = |arrived: &[(&'static str, String, Duration)]| {
            let paths = ["/safe/x", "/safe/score", "/resumed/x", "/jobs/run", "/trestlerack/order"];
            paths.map(|path| arrived.iter().any(|(_, arrived, _)| arrived == path))
        };
        let started = Instant::now();
        eventually("all kinds arrive in the zone", || kinds(&zoned.arrivals("a", started)) == [true; 5]);
        let acknowledged = zoned.evacuate("a");
        std::thread::sleep(BOUND + LOAD_AFTER_BOUND);
        let late = zoned.arrivals("a", acknowledged + BOUND);
        let served = kinds(&zoned.arrivals("b", acknowledged));
        zoned.end_evacuation("a");
        let ended = Instant::now();
        eventually("all kinds return", || kinds(&zoned.arrivals("a", ended)) == [true; 5]);
        drop(end_load);
        assert_eq!((late, served), (vec![], [true; 5]));
    });
    assert_eq!([count_lines(&log, "TR2621"), count_lines(&log, "TR2622"), count_lines(&log, "TR2625")], [1; 3]);
    std::fs::remove_file(log).unwrap();
}

/// Guards against a node that misses an evacuation because the store does not serve it.
#[test]
fn a_node_without_the_store_learns_of_an_evacuation_from_a_peer() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    let peer = EntryDaemon::start("a", &zoned.platform.store, &[]);
    let (store, seeds) = (rate_limiting_store().to_string(), vec![peer.peer.clone()]);
    let more = json!({ "zone": "a" });
    let node = EntryDaemon::start_with("b", &DaemonSettings { store, seeds, more, ..DaemonSettings::default() });
    zoned.check_stop(&[&node], "a");
}

/// Guards against nodes that poll a follower and miss an evacuation, or its end where only a full read shows it. Two
/// nodes are followers, and the holder of the lease follows the store too, so four nodes are needed for one that polls.
#[test]
fn nodes_that_poll_a_follower_learn_of_an_evacuation_and_of_an_end_without_history() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    let mut nodes: Vec<EntryDaemon> = Vec::new();
    let log =
        |name: &str| std::env::temp_dir().join(format!("entry-evacuation-follow-{name}-{}.log", std::process::id()));
    for name in ["a", "b", "c", "d"] {
        let settings = DaemonSettings {
            store: zoned.platform.store.address.to_string(),
            log: Some(log(name)),
            seeds: nodes.iter().map(|node| node.peer.clone()).collect(),
            more: json!({ "followers": 1, "zone": "a" }),
            ..DaemonSettings::default()
        };
        nodes.push(EntryDaemon::start_with(name, &settings));
    }
    let polls = |node: &EntryDaemon| {
        node.log_lines(" event=TR2011 ").lines().last().is_some_and(|line| line.contains(" source=follower "))
    };
    let wait_polls = || eventually("a node polls a follower", || nodes.iter().any(polls));
    wait_polls();
    zoned.check_stop(&nodes.iter().collect::<Vec<_>>(), "a");
    wait_polls();
    zoned.platform.store.remove_without_history("op", "evacuate/a");
    let ended = Instant::now();
    nodes.iter().for_each(|node| zoned.wait_used(node, "a"));
    assert!(ended.elapsed() < BOUND, "{:?}", ended.elapsed());
    nodes.iter().for_each(|node| std::fs::remove_file(log(&node.name)).unwrap());
}

/// Guards against requests and orders of a node that has read a configuration or the servers before the evacuation.
#[test]
fn a_node_that_starts_during_an_evacuation_sends_nothing_to_the_zone() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    let acknowledged = zoned.evacuate("a");
    zoned.platform.store.set_read_delay("op", 300);
    zoned.platform.publish_version(2);
    let (node, log, _) = zoned.node("start");
    zoned.serve(&node, Duration::from_secs(1));
    eventually("the other engine is ordered", || !zoned.platform.engine.orders.lock().unwrap().is_empty());
    assert_eq!(zoned.arrivals("a", acknowledged), []);
    std::fs::remove_file(log).unwrap();
}

/// Guards against an end of one evacuation that ends another one too.
#[test]
fn zones_are_evacuated_and_return_independently() {
    let zoned = ZonedPlatform::start(&["a", "b", "c"]);
    let (node, log, metrics) = zoned.node("two");
    let acknowledged = zoned.evacuate("c");
    zoned.check_stop(&[&node], "a");
    zoned.end_evacuation("a");
    zoned.wait_used(&node, "a");
    assert_eq!(zoned.arrivals("c", acknowledged + BOUND), []);
    assert_eq!(
        (&zone_row(&metrics, "c")["state"], &zone_row(&metrics, "a")["state"]),
        (&json!("evacuated"), &json!("open"))
    );
    let row = zone_row(&metrics, "b");
    assert_eq!((&row["remaining"], &row["engines"]), (&json!("models:1/4, plain:1/4"), &json!("m@1:1/1+1/1")));
    std::fs::remove_file(log).unwrap();
}

/// Guards against servers that get work because they registered in the zone after its evacuation.
#[test]
fn servers_that_restart_in_an_evacuated_zone_get_nothing() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    let (node, log, _) = zoned.node("restart");
    zoned.evacuate("a");
    eventually("the evacuation takes effect", || count_lines(&log, "TR2621") == 1);
    let restarted = Instant::now();
    zoned.restart_servers();
    zoned.platform.publish_version(2);
    zoned.serve(&node, Duration::from_secs(1));
    assert_eq!(zoned.arrivals("a", restarted), []);
    std::fs::remove_file(log).unwrap();
}

/// Guards against refusals that come only after a search, and against a log line for each of them.
#[test]
fn requests_of_a_service_whose_last_zone_is_evacuated_are_refused_at_once() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    zoned.platform.set_zone("i-plain-1", "a");
    // A search would take a fifth of this.
    zoned.platform.reconfigure(2, |config| config["routes"][0]["target_latency_ms"] = json!(10_000));
    let (node, log, metrics) = zoned.node("last");
    zoned.evacuate("a");
    eventually("the evacuation takes effect", || count_lines(&log, "TR2621") == 1);
    for number in 0..50 {
        let (id, started) = (format!("refused{number}"), Instant::now());
        let answer = call(&node.client, "POST", "/safe/x", &[("request-id", &id)], "x").unwrap();
        assert_eq!((answer.status, answer.headers.contains_key("retry-after")), (503, true));
        assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
    }
    assert!(read_stream_from(&node.client, "/streamed/x", "other").unwrap().1, "another service is served");
    let lines = std::fs::read_to_string(&log).unwrap();
    let lines: Vec<&str> = lines.lines().filter(|line| line.contains("TR2623")).collect();
    assert!(lines.len() <= 3 && lines.iter().all(|line| line.contains("service=plain ")), "{lines:?}");
    let page = call(&metrics, "GET", "/metrics", &[], "").unwrap().body;
    assert!(page.lines().any(|line| line.contains("requests_evacuated") && line.ends_with(" 50")), "{page}");
    std::fs::remove_file(log).unwrap();
}

/// Guards against an unknown zone that has an effect or is logged again and again.
#[test]
fn the_evacuation_of_an_unknown_zone_is_logged_once() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    let (node, log, metrics) = zoned.node("unknown");
    zoned.evacuate("nowhere");
    eventually("it is logged", || count_lines(&log, "TR2624") == 1);
    zoned.wait_used(&node, "a");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(count_lines(&log, "TR2624"), 1);
    assert_eq!(zone_row(&metrics, "nowhere")["state"], "empty");
    std::fs::remove_file(log).unwrap();
}

/// Guards against work that an evacuation cancels, moves or runs twice.
#[test]
fn what_runs_in_the_zone_ends_by_itself() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    zoned.platform.engine.event_interval_ms.store(300, Ordering::SeqCst);
    let (node, log, metrics) = zoned.node("running");
    std::thread::scope(|scope| {
        let streams: Vec<_> = (0..4)
            .map(|number| format!("s{number}"))
            .map(|id| scope.spawn(|| read_stream_from(&node.client, "/resumed/x", &{ id }).unwrap()))
            .collect();
        assert_eq!(submit(&node, "job1", 4), 202);
        eventually("all run", || zoned.platform.engine.runs.lock().unwrap().len() == 8);
        zoned.evacuate("a");
        eventually("runs in the zone are shown", || {
            let row = zone_row(&metrics, "a");
            row["state"] == "evacuated" && row["in_progress"].as_u64().unwrap() > 0
        });
        streams.into_iter().for_each(|stream| assert!(stream.join().unwrap().1));
    });
    assert!(read_results(&node, "job1", 4).iter().all(|result| result["state"] == "completed"));
    assert_eq!(zoned.platform.engine.runs.lock().unwrap().len(), 8, "each ran once");
    eventually("the zone is vacated", || count_lines(&log, "TR2625") == 1);
    assert_eq!(zone_row(&metrics, "a")["in_progress"], 0);
    std::fs::remove_file(log).unwrap();
}

/// Makes 12 concurrent calls to eight slots, evacuates zones while four calls are queued, and returns the outcomes and
/// the number of calls that each server ran. The calls in the slots end only after the evacuations have taken effect:
/// before that, a queued call may take a slot that becomes free in any zone.
fn evacuate_with_queue(zoned: &ZonedPlatform, node: &EntryDaemon, zones: &[&str]) -> (Vec<Outcome>, [usize; 2]) {
    let plain = &zoned.platform.plain;
    let count = |event: &str| node.log_lines(event).lines().count();
    plain.work_ms.store(1_000, Ordering::SeqCst);
    let make_call = || zoned.call(node, "/once/x");
    std::thread::scope(|scope| {
        // By these calls the node learns the service time.
        let calls: Vec<_> = (0..8).map(|_| scope.spawn(make_call)).collect();
        calls.into_iter().for_each(|call| assert_eq!(call.join().unwrap().status, 200));
        let runs = || [0, 1].map(|server| plain.runs_by_server.lock().unwrap().get(&server).copied().unwrap_or(0));
        let (waited, before) = (count("TR2121"), runs());
        plain.work_ms.store(3_000, Ordering::SeqCst);
        let calls: Vec<_> = (0..12).map(|_| scope.spawn(make_call)).collect();
        eventually("the slots are taken", || plain.concurrent_runs.load(Ordering::SeqCst) == 8);
        plain.work_ms.store(1_000, Ordering::SeqCst);
        eventually("the other calls are queued", || count("TR2121") == waited + 4);
        zones.iter().for_each(|zone| _ = zoned.evacuate(zone));
        eventually("the evacuations take effect", || count("TR2621") == zones.len());
        assert_eq!(plain.concurrent_runs.load(Ordering::SeqCst), 8, "no slot is free yet:\n{}", node.log_lines(""));
        let outcomes = calls.into_iter().map(|call| call.join().unwrap()).collect();
        let after = runs();
        (outcomes, [after[0] - before[0], after[1] - before[1]])
    })
}

/// Guards against queued calls that wait for a slot that no zone will free.
#[test]
fn queued_calls_are_refused_when_the_last_zone_is_evacuated() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    zoned.queue_calls();
    let (node, log, _) = zoned.node("refused");
    let (outcomes, _) = evacuate_with_queue(&zoned, &node, &["a", "b"]);
    let refused: Vec<_> = outcomes.iter().filter(|outcome| outcome.status == 503).collect();
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    assert_eq!((refused.len(), served), (4, 8), "{outcomes:?}\n{}", node.log_lines(""));
    assert!(
        refused.iter().all(|outcome| outcome.times.took < Duration::from_millis(1_400)),
        "before a slot is free: {outcomes:?}\n{}",
        node.log_lines("")
    );
    std::fs::remove_file(log).unwrap();
}

/// Guards against queued calls that take a slot that becomes free in an evacuated zone.
#[test]
fn queued_calls_are_served_by_the_zone_that_is_left() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    zoned.queue_calls();
    let (node, log, _) = zoned.node("queued");
    let (outcomes, runs) = evacuate_with_queue(&zoned, &node, &["a"]);
    assert!(outcomes.iter().all(|outcome| outcome.status == 200), "{outcomes:?}\n{}", node.log_lines(""));
    assert_eq!(runs, [4, 4 + 4], "{}", node.log_lines(""));
    std::fs::remove_file(log).unwrap();
}

/// Guards against score calls that are repeated without a pause while the zones of their servers are evacuated, and
/// against items that are then not scored soon after the end or not given up in time.
#[test]
fn score_calls_wait_for_the_end_of_an_evacuation() {
    let zoned = ZonedPlatform::start(&["a", "b"]);
    zoned.platform.set_zone("i-plain-1", "a");
    let (node, log, _) = zoned.node("scores");
    zoned.evacuate("a");
    eventually("the evacuation takes effect", || count_lines(&log, "TR2621") == 1);
    assert_eq!(submit(&node, "job1", 4), 202);
    let run = || zoned.platform.engine.runs.lock().unwrap().len();
    eventually("the texts are generated", || run() == 4);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(count_lines(&log, "TR2308"), 0, "no attempt is made without a server");
    let ended = Instant::now();
    zoned.end_evacuation("a");
    assert!(read_results(&node, "job1", 4).iter().all(|result| result["state"] == "completed"));
    // The row takes up to 0.7 s to reach the node, and the pause before the first attempt is at most 0.5 s.
    let scored = zoned.platform.plain.arrivals.lock().unwrap().iter().map(|arrival| arrival.at).min().unwrap();
    assert!(scored - ended < Duration::from_millis(1_200), "{:?}", scored - ended);
    zoned.evacuate("a");
    eventually("the next evacuation takes effect", || count_lines(&log, "TR2621") == 2);
    zoned.platform.reconfigure(2, |config| config["routes"][6]["max_wait_s"] = json!(1.5));
    assert_eq!(submit(&node, "job2", 2), 202);
    assert!(read_results(&node, "job2", 2).iter().all(|result| result["state"] == "down"));
    std::fs::remove_file(log).unwrap();
}
