//! Nodes of a fleet that spans three regions, each with one zone.

use super::soak::link::{Link, LinkMode};
use super::support::*;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Target latency of the route that the tests call.
const TARGET: Duration = Duration::from_millis(150);

/// Starts a daemon in a zone, and returns it with its metrics address.
fn start_daemon(
    name: &str,
    zone: &str,
    platform: &Platform,
    seeds: &[&str],
    log: Option<&Path>,
) -> (EntryDaemon, String) {
    let metrics = free_address();
    let mut settings = zone_settings(zone, platform.store.address.to_string());
    settings.log = log.map(Path::to_owned);
    settings.seeds = seeds.iter().map(ToString::to_string).collect();
    settings.more["metrics_listen"] = json!(metrics);
    (EntryDaemon::start_with(name, &settings), metrics)
}

/// Returns the settings of a daemon in a zone that calls the store at an address.
fn zone_settings(zone: &str, store: String) -> DaemonSettings {
    let zones: Vec<_> =
        ["z", "y", "x"].iter().map(|zone| json!({ "name": zone, "region": format!("r-{zone}") })).collect();
    DaemonSettings { store, more: json!({ "zone": zone, "zones": zones }), ..DaemonSettings::default() }
}

fn register(platform: &Platform, instance: &str, zone: &str, address: &str) {
    let row = json!({ "service": "plain", "addr": address, "zone": zone, "version": "v1", "slots": 4,
        "state": "ready", "cold_left_ms": 0, "models": [], "seq": 2 });
    platform.store.put("servers", instance, &row);
}

/// Makes calls from as many threads, and returns the id and the times of each. All of them have to succeed.
fn make_calls(daemon: &EntryDaemon, label: &str, threads: usize, calls: usize) -> Vec<(String, CallTimes)> {
    let make_call = |id: String| {
        let (response, times) = timed_call(&daemon.client, "GET", "/safe/x", &[("request-id", &id)], "");
        let lines = || daemon.log_lines(&format!("request={id} "));
        assert_eq!(response.unwrap().status, 200, "{id} after {times}:\n{}", lines());
        (id, times)
    };
    let make_call = &make_call;
    std::thread::scope(|scope| {
        let spawn =
            |thread| scope.spawn(move || (0..calls).map(|n| make_call(format!("{label}-{thread}-{n}"))).collect());
        let workers: Vec<_> = (0..threads).map(spawn).collect();
        workers.into_iter().flat_map(|worker| -> Vec<(String, CallTimes)> { worker.join().unwrap() }).collect()
    })
}

/// Returns the metrics of the traffic to other regions by the last part of their names.
fn remote_metrics(metrics: &str) -> BTreeMap<String, u64> {
    let page = call(metrics, "GET", "/metrics", &[], "").unwrap().body;
    let lines = page.lines().filter_map(|line| line.strip_prefix("trestlerack_entry_remote_"));
    lines.filter_map(|line| line.split_once(' ')).map(|(name, value)| (name.into(), value.parse().unwrap())).collect()
}

/// Guards against calls that wait for servers, peers or a store of regions that cannot be reached.
#[test]
fn a_region_that_is_cut_off_answers_its_clients_within_the_target_latency() {
    let platform = Platform::start_with_counts(3, 1);
    platform.plain.work_ms.store(20, Ordering::SeqCst);
    // Accepts connections, but nothing answers there.
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent_address = silent.local_addr().unwrap().to_string();
    for (number, zone) in [(0, "y"), (1, "y"), (2, "x"), (3, "x")] {
        register(&platform, &format!("i-lost-{number}"), zone, &silent_address);
    }
    let log = std::env::temp_dir().join(format!("regions-cut-off-{}.log", std::process::id()));
    let (daemon, metrics) = start_daemon("a", "z", &platform, &[], Some(&log));
    let (second, _) = start_daemon("b", "y", &platform, &[&daemon.peer], None);
    let (third, _) = start_daemon("c", "x", &platform, &[&daemon.peer], None);
    make_calls(&daemon, "before", 1, 10);
    [&second, &third].iter().for_each(|daemon| daemon.signal("-STOP"));
    platform.store.set_unavailable(true);
    // Three servers with four slots each are enough for nine calls at a time.
    let before = daemon.scheduling();
    let took = make_calls(&daemon, "cut", 9, 40);
    let after = daemon.scheduling();
    let late: Vec<_> = took.iter().filter(|(_, times)| times.took > TARGET).collect();
    let lines_of = |(id, times): &&(String, CallTimes)| {
        format!("{id} took {times}:\n{}", daemon.log_lines(&format!("request={id} ")))
    };
    assert!(
        late.len() * 50 <= took.len(),
        "{} of {} calls were late; meanwhile the threads of the node ran for {:?} and waited for a processor for \
         {:?}:\n{}",
        late.len(),
        took.len(),
        after.0.saturating_sub(before.0),
        after.1.saturating_sub(before.1),
        late.iter().map(lines_of).collect::<Vec<_>>().join("\n")
    );
    assert_eq!(remote_metrics(&metrics)["requests"], 0);
    [&second, &third].iter().for_each(|daemon| daemon.signal("-CONT"));
    std::fs::remove_file(log).unwrap();
}

/// Guards against calls that are refused while another region has free slots, and against traffic that is not
/// counted.
#[test]
fn calls_that_find_no_free_slot_in_their_region_are_counted_in_another() {
    let mut addresses = Vec::new();
    let platform = Platform::start_behind_proxies(2, |address| {
        addresses.push(address.to_string());
        address.to_string()
    });
    platform.plain.work_ms.store(60, Ordering::SeqCst);
    // The addresses are those of a plain server and an engine in turn.
    register(&platform, "i-plain-1", "y", &addresses[2]);
    let (daemon, metrics) = start_daemon("a", "z", &platform, &[], None);
    make_calls(&daemon, "few", 3, 10);
    let before = remote_metrics(&metrics);
    assert_eq!((before["requests"], before["sent_bytes"], before["received_bytes"]), (0, 0, 0));
    make_calls(&daemon, "many", 7, 10);
    let after = remote_metrics(&metrics);
    assert!(after["requests"] > 0, "{after:?}");
    assert!(
        after["sent_bytes"] > 50 * after["requests"] && after["received_bytes"] > 50 * after["requests"],
        "{after:?}"
    );
    assert_eq!(after["zones_unreachable"], 0);
}

/// Guards against calls to nodes of other regions that are not counted, or are counted as calls within the zone.
#[test]
fn calls_to_nodes_of_other_regions_are_counted() {
    let platform = Platform::start_with_counts(3, 1);
    let (first, _) = start_daemon("a", "z", &platform, &[], None);
    let (_second, metrics) = start_daemon("b", "y", &platform, &[&first.peer], None);
    let page = || call(&metrics, "GET", "/metrics", &[], "").unwrap().body;
    let count = |name: &str| -> u64 {
        let prefix = format!("trestlerack_entry_peer_{name}{{location=\"other_region\"}} ");
        page().lines().find_map(|line| line.strip_prefix(&prefix)).unwrap().parse().unwrap()
    };
    // The second node then asks the first, which was registered before it started, to make its store calls.
    platform.store.set_unavailable(true);
    let is_counted = || count("requests") > 0 && count("received_bytes") > 0;
    eventually_with_detail("the node calls one of another region", is_counted, page);
    assert!(count("sent_bytes") > 50, "{}", page());
    assert!(page().contains("trestlerack_entry_peer_requests{location=\"own_zone\"} 0\n"), "{}", page());
}

/// Time in which a node of another region would have taken over a job without changes whose driver it cannot reach:
/// 1.5 s, 0.2 s for each of the two nodes before it, and two probes of 0.35 s.
const TAKEOVER_TIME: Duration = Duration::from_millis(2_600);

/// Guards against a takeover while the driver records results, against none once it does not although it lives in a
/// region that cannot be reached, and against results of both drivers for one item.
#[test]
fn a_job_whose_driver_is_cut_off_is_taken_over_and_each_item_ends_once() {
    const ITEMS: usize = 160;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let platform = Platform::start();
    let log = |name: &str| std::env::temp_dir().join(format!("regions-cut-{name}-{}.log", std::process::id()));
    let start = |name: &str, zone: &str, store: String| {
        EntryDaemon::start_with(name, &DaemonSettings { log: Some(log(name)), ..zone_settings(zone, store) })
    };
    let has_logged = |name: &str, text: &str| std::fs::read_to_string(log(name)).unwrap().contains(text);
    let store = platform.store.address.to_string();
    let driver = start("driver", "z", store.clone());
    // The only node so far drives the job.
    platform.engine.event_interval_ms.store(50, Ordering::SeqCst);
    assert_eq!(submit(&driver, "job1", ITEMS), 202);
    let near = ["near1", "near2"].map(|name| start(name, "z", store.clone()));
    // Only the node of the other region calls the driver through the link.
    let link = Link::open(&runtime, driver.peer.parse().unwrap());
    let remote = start("remote", "y", platform.store.serve_replaced(&driver.peer, &link.address).to_string());
    link.set(LinkMode::Silent);
    std::thread::sleep(TAKEOVER_TIME + Duration::from_millis(900));
    let page = call(&remote.client, "GET", "/trestlerack/lots/job1?after=0", &[], "").unwrap().json();
    let recorded = page["results"].as_array().unwrap().len();
    assert!((1..ITEMS).contains(&recorded), "{recorded}");
    assert!(!has_logged("remote", "job-taken"), "the record changes");
    // The driver must not learn of the takeover before it writes its next result.
    platform.engine.event_interval_ms.store(1_000, Ordering::SeqCst);
    platform.store.silence_watches(Some("state"));
    let silent_from = Instant::now();
    eventually("the other region takes the job over", || has_logged("remote", "job-taken"));
    assert!(silent_from.elapsed() >= Duration::from_millis(1_500), "{:?}", silent_from.elapsed());
    eventually("a write of the first driver fails", || platform.store.conflicts("job1") > 0);
    eventually("the first driver leaves the job", || has_logged("driver", "job-left"));
    platform.engine.event_interval_ms.store(5, Ordering::SeqCst);
    platform.store.silence_watches(None);
    let results = read_results(&near[0], "job1", ITEMS);
    let ids: BTreeSet<&str> = results.iter().map(|result| result["id"].as_str().unwrap()).collect();
    assert_eq!(ids.len(), ITEMS, "each item ends once");
    assert!(results.iter().all(|result| result["state"] == "completed"));
    assert!(!has_logged("near1", "job-taken") && !has_logged("near2", "job-taken"));
    ["driver", "near1", "near2", "remote"].iter().for_each(|name| std::fs::remove_file(log(name)).unwrap());
}
