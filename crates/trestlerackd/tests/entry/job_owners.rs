//! Who drives a job: the store settles it, an owner that lost its job stops, and failures count over all owners.

use super::soak::link::{Link, LinkMode};
use super::support::*;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

/// Returns how many lines of a node's log contain all texts.
fn count_lines(node: &EntryDaemon, texts: &[&str]) -> usize {
    let lines = node.log_lines(texts[0]);
    lines.lines().filter(|line| texts.iter().all(|text| line.contains(text))).count()
}

/// Returns the position of the node that drives a job now.
fn owner_of(nodes: &[EntryDaemon], job: &str, fence: u64) -> Option<usize> {
    let driven = format!("job={job} fence={fence} ");
    nodes.iter().position(|node| count_lines(node, &["name=job-driven", &driven]) > 0)
}

fn wait_owner(nodes: &[EntryDaemon], job: &str, fence: u64) -> usize {
    let mut owner = None;
    eventually("a node drives the job", || {
        owner = owner_of(nodes, job, fence);
        owner.is_some()
    });
    owner.unwrap()
}

/// Guards against nodes that take a job over from each other: each has probed the owner that stands still, and takes
/// the job from the node that has taken it meanwhile.
#[test]
fn the_job_of_a_frozen_owner_is_taken_over_once() {
    let platform = Platform::start_with_counts(2, 4);
    let nodes = start_logged_nodes(&platform, &["a", "b", "c", "d", "e", "f", "g", "h", "i"], "frozen-owner");
    platform.engine.event_interval_ms.store(300, Ordering::SeqCst);
    for round in 0..3 {
        let job = format!("job{round}");
        assert_eq!(submit(&nodes[0], &job, 8), 202);
        let owner = wait_owner(&nodes, &job, 1);
        std::thread::sleep(Duration::from_millis(700));
        nodes[owner].signal("-STOP");
        std::thread::sleep(Duration::from_millis(2_500));
        nodes[owner].signal("-CONT");
        let taken = format!("job={job} ");
        let times_taken: usize = nodes.iter().map(|node| count_lines(node, &["name=job-taken", &taken])).sum();
        assert_eq!(times_taken, 1, "round {round}");
        let results = read_results(&nodes[(owner + 1) % nodes.len()], &job, 8);
        assert!(results.iter().all(|result| result["state"] == "completed"), "{results:?}");
        // The owner registers again.
        std::thread::sleep(Duration::from_secs(1));
    }
}

/// Guards against an owner that wakes after its job was taken over, and starts items by what it knew before. The store
/// is slow then, so that its watch shows the loss late.
#[test]
fn an_owner_that_wakes_starts_nothing_before_the_store_has_answered() {
    let platform = Platform::start();
    let nodes = start_logged_nodes(&platform, &["a", "b", "c"], "waking-owner");
    platform.engine.event_interval_ms.store(60, Ordering::SeqCst);
    assert_eq!(submit(&nodes[0], "job1", 80), 202);
    let owner = wait_owner(&nodes, "job1", 1);
    std::thread::sleep(Duration::from_millis(600));
    nodes[owner].signal("-STOP");
    let successor = wait_owner(&nodes, "job1", 2);
    assert_ne!(owner, successor);
    platform.store.set_delay(300);
    let woken_at = time_of_day(SystemTime::now());
    nodes[owner].signal("-CONT");
    eventually("the owner learns of the loss", || count_lines(&nodes[owner], &["name=job-left", "job=job1 "]) == 1);
    let is_late = |line: &&str| line.get(11..23).is_some_and(|time| time >= &*woken_at);
    let late_items = |name: &str, end: &str| -> Vec<String> {
        let lines = nodes[owner].log_lines(name);
        let late = lines.lines().filter(is_late).filter(|line| line.contains(end));
        late.filter_map(|line| Some(line.split("item=").nth(1)?.split(' ').next()?.to_owned())).collect()
    };
    // A start that the freeze interrupted is logged, and not sent.
    let not_sent = late_items("name=run-ended", "end=notrun");
    let sent: Vec<String> =
        late_items("name=run-started", "").into_iter().filter(|item| !not_sent.contains(item)).collect();
    assert!(sent.is_empty(), "sent after {woken_at}: {sent:?}");
    platform.store.set_delay(0);
    assert_eq!(read_results(&nodes[successor], "job1", 80).len(), 80);
}

/// Two nodes whose links to the store and to each other can be cut. The first drives the jobs.
struct CutNodes {
    owner: EntryDaemon,
    other: EntryDaemon,
    /// From the owner to the store and to the other node, and from the other node to the owner.
    links: Vec<Link>,
    /// Link of the other node to the store.
    other_store: Link,
    _runtime: tokio::runtime::Runtime,
}

impl CutNodes {
    fn start(platform: &Platform, name: &str) -> Self {
        let runtime = tokio::runtime::Runtime::new().unwrap();
        let owner_peer = free_address();
        let link_to_owner = Link::open(&runtime, owner_peer.parse().unwrap());
        let settings = |role: &str, store: &Link, more: Value| DaemonSettings {
            store: store.address.clone(),
            log: Some(std::env::temp_dir().join(format!("entry-{name}-{role}-{}.log", std::process::id()))),
            more,
            ..DaemonSettings::default()
        };
        let other_view = platform.store.serve_replaced(&owner_peer, &link_to_owner.address);
        let other_store = Link::open(&runtime, other_view);
        let other = EntryDaemon::start_with(&format!("{name}-2"), &settings("other", &other_store, json!({})));
        let link_to_other = Link::open(&runtime, other.peer.parse().unwrap());
        let owner_view = platform.store.serve_replaced(&other.peer, &link_to_other.address);
        let owner_store = Link::open(&runtime, owner_view);
        let more = json!({ "peer_listen": owner_peer });
        let owner = EntryDaemon::start_with(&format!("{name}-1"), &settings("owner", &owner_store, more));
        // Each node must know the other one before the first job.
        std::thread::sleep(Duration::from_millis(500));
        Self { owner, other, links: vec![owner_store, link_to_other, link_to_owner], other_store, _runtime: runtime }
    }

    fn set_links(&self, mode: LinkMode) {
        self.links.iter().for_each(|link| link.set(mode));
    }
}

/// Guards against an owner that goes on while it is cut off from the store and its peers, and starts items when it is back
/// before it learns that another node drives its job.
#[test]
fn an_owner_that_was_cut_off_stops_and_starts_nothing_when_it_is_back() {
    let platform = Platform::start();
    let nodes = CutNodes::start(&platform, "cut");
    platform.engine.event_interval_ms.store(60, Ordering::SeqCst);
    assert_eq!(submit(&nodes.owner, "job1", 240), 202);
    let started = || count_lines(&nodes.owner, &["name=run-started", "job=job1 "]);
    eventually("its items run", || started() > 0);
    nodes.set_links(LinkMode::Silent);
    eventually("the other node takes the job over", || {
        count_lines(&nodes.other, &["name=job-taken", "job=job1 "]) == 1
    });
    std::thread::sleep(Duration::from_millis(2_500));
    let before = started();
    std::thread::sleep(Duration::from_millis(1_500));
    nodes.set_links(LinkMode::Pass);
    eventually("the owner learns of the loss", || {
        count_lines(&nodes.owner, &["name=job-left", "job=job1 ", "why=lost"]) == 1
    });
    assert_eq!(started(), before, "an owner that is cut off starts nothing");
    assert_eq!(read_results(&nodes.other, "job1", 240).len(), 240);
}

/// Guards against a node that was cut off itself, and takes a job from a sound owner because its probes failed.
#[test]
fn a_node_that_was_cut_off_takes_no_job_from_a_sound_owner() {
    let platform = Platform::start();
    let nodes = CutNodes::start(&platform, "sound");
    platform.engine.event_interval_ms.store(1_500, Ordering::SeqCst);
    let set_cut = |mode: LinkMode| {
        nodes.other_store.set(mode);
        nodes.links[1..].iter().for_each(|link| link.set(mode));
    };
    for round in 0..6 {
        let job = format!("job{round}");
        assert_eq!(submit(&nodes.owner, &job, 2), 202);
        eventually("the other node knows the job", || {
            let path = format!("/trestlerack/lots/{job}");
            call(&nodes.other.client, "GET", &path, &[], "").is_some_and(|answer| answer.status == 200)
        });
        set_cut(LinkMode::Silent);
        std::thread::sleep(Duration::from_millis(900 + 200 * round));
        set_cut(LinkMode::Pass);
        std::thread::sleep(Duration::from_millis(500));
        assert_eq!(count_lines(&nodes.other, &["name=job-taken"]), 0, "round {round}");
        assert_eq!(
            call(&nodes.owner.client, "DELETE", &format!("/trestlerack/lots/{job}"), &[], "").unwrap().status,
            200
        );
    }
}

/// Kills each owner of a job after its item has failed twice more, as `attempts` counts. Returns how many were killed.
fn kill_owners(nodes: &mut [EntryDaemon], job: &str, kills: u64, attempts: impl Fn() -> usize) {
    for fence in 1..=kills {
        let owner = wait_owner(nodes, job, fence);
        let before = attempts();
        eventually("the item fails twice more", || attempts() >= before + 2);
        // The second failure is not stored yet, the first one is.
        nodes[owner].signal("-KILL");
        nodes[owner].wait_end();
    }
}

/// Guards against drivers that count the failures of an item anew.
#[test]
fn failed_runs_count_over_all_drivers_of_a_job() {
    const MAX_ATTEMPTS: usize = 8;
    let platform = Platform::start();
    platform.reconfigure(2, |config| {
        let route = config["routes"].as_array_mut().unwrap().last_mut().unwrap();
        route["max_attempts"] = json!(MAX_ATTEMPTS);
    });
    platform.engine.failure_delay_ms.store(250, Ordering::SeqCst);
    platform.engine.item_statuses.lock().unwrap().insert("job1-item-0".into(), 500);
    let mut nodes = start_logged_nodes(&platform, &["a", "b", "c", "d"], "failing-item");
    assert_eq!(submit(&nodes[0], "job1", 2), 202);
    let attempts = || platform.engine.runs.lock().unwrap().iter().filter(|run| run.starts_with("job1-item-0@")).count();
    kill_owners(&mut nodes, "job1", 2, attempts);
    let last = nodes.iter_mut().position(|node| node.is_running()).unwrap();
    let results = read_results(&nodes[last], "job1", 2);
    assert!(results.iter().any(|result| result["state"] == "down"), "{results:?}");
    // Of each owner that was killed, one run may have failed that nobody has stored.
    assert!((MAX_ATTEMPTS..=MAX_ATTEMPTS + 2).contains(&attempts()), "{} runs", attempts());
}

/// Guards against drivers that count the failed score calls of an item anew.
#[test]
fn failed_score_calls_count_over_all_drivers_of_a_job() {
    const MAX_ATTEMPTS: usize = 8;
    let platform = Platform::start();
    platform.reconfigure(2, |config| {
        let routes = config["routes"].as_array_mut().unwrap();
        let mut route = routes[0].clone();
        (route["name"], route["prefix"], route["max_attempts"]) =
            (json!("patient"), json!("/patient/"), json!(MAX_ATTEMPTS));
        // No call goes to a second server.
        route["target_latency_ms"] = json!(2_000);
        routes.push(route);
    });
    platform.plain.failing_scores.store(usize::MAX, Ordering::SeqCst);
    platform.plain.work_ms.store(250, Ordering::SeqCst);
    let mut nodes = start_logged_nodes(&platform, &["a", "b", "c", "d"], "failing-score");
    let mut body: Value = serde_json::from_str(&job_body_of("job1", 1, 1)).unwrap();
    body["requests"][0]["scorer"]["path"] = json!("/patient/score");
    let headers = [("request-id", "job1")];
    assert_eq!(call(&nodes[0].client, "POST", "/jobs/job1", &headers, &body.to_string()).unwrap().status, 202);
    let attempts = || usize::MAX - platform.plain.failing_scores.load(Ordering::SeqCst);
    kill_owners(&mut nodes, "job1", 2, attempts);
    let last = nodes.iter_mut().position(|node| node.is_running()).unwrap();
    assert_eq!(read_results(&nodes[last], "job1", 1)[0]["state"], "down");
    assert!((MAX_ATTEMPTS..=MAX_ATTEMPTS + 2).contains(&attempts()), "{} calls", attempts());
}

/// A node that stops stores the failures that it has counted.
#[test]
fn failures_count_over_a_planned_stop() {
    let platform = Platform::start();
    platform.engine.failure_delay_ms.store(250, Ordering::SeqCst);
    platform.engine.event_interval_ms.store(500, Ordering::SeqCst);
    platform.engine.item_statuses.lock().unwrap().insert("job1-item-0".into(), 500);
    let nodes = start_logged_nodes(&platform, &["a", "b"], "stopping-owner");
    assert_eq!(submit(&nodes[0], "job1", 2), 202);
    let attempts = || platform.engine.runs.lock().unwrap().iter().filter(|run| run.starts_with("job1-item-0@")).count();
    eventually("the item has failed once", || attempts() == 2);
    let owner = wait_owner(&nodes, "job1", 1);
    nodes[owner].signal("-TERM");
    assert_eq!(read_results(&nodes[1 - owner], "job1", 2).len(), 2);
    assert!((3..=4).contains(&attempts()), "{} runs", attempts());
}

/// Guards against a write to the store for each failed attempt.
#[test]
fn failures_of_many_items_share_their_writes() {
    const ITEMS: usize = 40;
    let platform = Platform::start();
    let nodes = start_logged_nodes(&platform, &["a"], "many-failures");
    let statuses = (0..ITEMS).map(|number| (format!("job1-item-{number}"), 500));
    platform.engine.item_statuses.lock().unwrap().extend(statuses);
    let commits = platform.store.commits();
    assert_eq!(submit(&nodes[0], "job1", ITEMS), 202);
    let results = read_results(&nodes[0], "job1", ITEMS);
    assert!(results.iter().all(|result| result["state"] == "down"));
    assert_eq!(platform.engine.runs.lock().unwrap().len(), 3 * ITEMS);
    let commits = platform.store.commits() - commits;
    assert!(commits < ITEMS, "{commits} writes for {} failed attempts", 3 * ITEMS);
}

/// While the store is down no other node can take a job over, so that its driver goes on.
#[test]
fn an_owner_goes_on_while_the_store_is_down_for_all_nodes() {
    let platform = Platform::start();
    let nodes = start_logged_nodes(&platform, &["a", "b"], "store-down");
    platform.engine.event_interval_ms.store(60, Ordering::SeqCst);
    assert_eq!(submit(&nodes[0], "job1", 400), 202);
    let owner = wait_owner(&nodes, "job1", 1);
    let started = || count_lines(&nodes[owner], &["name=run-started", "job=job1 "]);
    eventually("its items run", || started() > 0);
    platform.store.set_unavailable(true);
    std::thread::sleep(Duration::from_secs(4));
    let (before, since) = (started(), Instant::now());
    eventually("it starts items", || started() >= before + 8);
    assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    platform.store.set_unavailable(false);
    assert_eq!(read_results(&nodes[owner], "job1", 400).len(), 400);
    assert_eq!(owner_of(&nodes, "job1", 2), None);
}

/// Guards against an owner whose memory is filled by jobs that other nodes accept, each of which names the driver of the
/// model's last job as owner.
#[test]
fn jobs_that_other_nodes_accept_do_not_fill_the_memory_of_their_owner() {
    const MEMORY_MB: usize = 130;
    const JOBS: usize = 16;
    let platform = Platform::start();
    platform.reconfigure(2, |config| config["limits"]["max_body_bytes"] = json!(33_554_432));
    let mut nodes: Vec<EntryDaemon> = Vec::new();
    for name in ["a", "b", "c"] {
        let log = std::env::temp_dir().join(format!("entry-memory-{name}-{}.log", std::process::id()));
        let settings = DaemonSettings {
            store: platform.store.address.to_string(),
            seeds: nodes.iter().map(|node| node.peer.clone()).collect(),
            log: Some(log),
            more: json!({ "memory_mb": MEMORY_MB }),
            ..DaemonSettings::default()
        };
        nodes.push(EntryDaemon::start_with(name, &settings));
    }
    assert_eq!(submit(&nodes[0], "first", 2), 202);
    for node in &nodes {
        assert_eq!(read_results(node, "first", 2).len(), 2);
    }
    platform.engine.event_interval_ms.store(1_000, Ordering::SeqCst);
    let mut accepted = Vec::new();
    for number in 0..JOBS {
        let job = format!("job{number}");
        let body = job_body_with(&job, 4, 1, &vec![b'x'; 1_800_000]);
        let node = &nodes[1 + number % 2];
        let answer = call(&node.client, "POST", &format!("/jobs/{job}"), &[("request-id", &job)], &body).unwrap();
        assert!([202, 503].contains(&answer.status), "{}", answer.status);
        accepted.extend((answer.status == 202).then_some(job));
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(accepted.len() > JOBS / 2, "{} jobs were accepted", accepted.len());
    for (name, node) in ["a", "b", "c"].iter().zip(&nodes) {
        let (_, peak) = node.resident_bytes();
        assert!(peak <= MEMORY_MB * 1_000_000, "{name}: {peak} bytes were resident");
    }
    platform.engine.event_interval_ms.store(1, Ordering::SeqCst);
    for job in &accepted {
        assert_eq!(read_results(&nodes[0], job, 4).len(), 4, "{job}");
    }
}
