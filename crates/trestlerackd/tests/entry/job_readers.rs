//! Readers of batch jobs: clients of the same customer that read, end or submit again, at any node, a job that
//! another client submitted. See docs/design/job-readers.md for the cases.

use super::soak::link::{Link, LinkMode};
use super::support::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use trestlerack::Name;
use trestlerack::process::{FollowerCandidate, choose_followers};
use trestlerack::request::JobRecord;

/// How the nodes at which clients read learn of changes.
#[derive(Clone, Copy, PartialEq)]
enum ReaderRole {
    FollowsStore,
    PollsFollower,
}

use ReaderRole::{FollowsStore, PollsFollower};

/// Defines a test of each case for both roles.
macro_rules! for_both_roles {
    ($($case:ident),* $(,)?) => {
        $(mod $case {
            #[test]
            fn at_nodes_that_follow_the_store() {
                super::$case(super::FollowsStore);
            }

            #[test]
            fn at_nodes_that_poll_a_follower() {
                super::$case(super::PollsFollower);
            }
        })*
    };
}

for_both_roles!(
    any_position_is_read_at_any_node,
    results_of_a_job_that_is_removed_keep_their_positions,
    a_read_at_the_end_waits_for_a_result,
    bodies_are_read_at_nodes_that_never_saw_the_job,
    an_end_is_repeated_at_other_nodes_and_later,
    an_end_is_stored_while_the_store_loses_answers,
    a_job_submitted_again_at_once_is_accepted_once,
    a_job_whose_first_node_was_killed_is_accepted_again,
    items_given_up_are_read_alike_at_all_nodes,
    overdue_items_are_read_alike_at_all_nodes,
    results_keep_their_positions_when_the_owner_is_killed,
    a_node_cut_from_the_store_serves_readers_through_its_peers,
    readers_are_refused_while_the_store_rejects_every_call,
    readers_are_refused_while_the_store_does_not_respond,
    a_node_without_an_answer_of_the_store_does_not_deny_a_job,
    a_slow_store_denies_no_job,
    a_job_does_not_exist_for_another_customer_at_any_node,
);

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// Number of followers if the readers poll one.
const FOLLOWERS: usize = 2;

/// Nodes at which clients read; the first two submit, and follow the store in both roles.
const READERS: std::ops::Range<usize> = 2..4;

/// Longest duration of a call while the store does not respond: one of 2.5 s of attempts, each of which may go to
/// the store and to two peers.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(8);

struct ReaderFleet {
    platform: Platform,
    nodes: Vec<EntryDaemon>,
    /// The link of each node to the store.
    links: Vec<Link>,
    // The links run on this runtime and end with it.
    _runtime: tokio::runtime::Runtime,
}

impl ReaderFleet {
    fn start(role: ReaderRole) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        let platform = Platform::start();
        let candidate = |name: &str| FollowerCandidate { name: name.into(), zone: "z".into(), capacity: 1_000 };
        let chosen = choose_followers(&NAMES.map(candidate), FOLLOWERS);
        assert_eq!(chosen.len(), FOLLOWERS);
        let mut names = NAMES;
        names.sort_by_key(|name| !chosen.contains(*name));
        let followers = if role == PollsFollower { FOLLOWERS } else { NAMES.len() };
        let (mut nodes, mut links): (Vec<EntryDaemon>, Vec<Link>) = (Vec::new(), Vec::new());
        let metrics = NAMES.map(|_| free_address());
        for (name, metrics) in names.iter().zip(&metrics) {
            links.push(Link::open(&runtime, platform.store.address));
            let settings = DaemonSettings {
                store: links.last().unwrap().address.clone(),
                seeds: nodes.iter().map(|node| node.peer.clone()).collect(),
                retention_s: 60,
                more: json!({ "followers": followers, "metrics_listen": metrics }),
                ..DaemonSettings::default()
            };
            nodes.push(EntryDaemon::start_with(name, &settings));
        }
        eventually("each node has its role", || {
            metrics.iter().enumerate().all(|(index, metrics)| {
                let polls = role == PollsFollower && READERS.contains(&index);
                let level = call(metrics, "GET", "/v1/level", &[], "").map(|answer| answer.json());
                level.is_some_and(|level| level[0]["source"] == if polls { "follower" } else { "store" })
            })
        });
        Self { platform, nodes, links, _runtime: runtime }
    }

    fn submit_at(&self, node: usize, job: &str, items: usize) -> u16 {
        submit(&self.nodes[node], job, items)
    }

    fn page_at(&self, node: usize, job: &str, from: usize, wait_ms: u64) -> HttpResponse {
        let path = format!("/trestlerack/lots/{job}?after={from}");
        call(&self.nodes[node].client, "GET", &path, &[("wait-ms", &wait_ms.to_string())], "").expect("an answer")
    }

    fn body_at(&self, node: usize, job: &str, item: &str) -> HttpResponse {
        let path = format!("/trestlerack/items/{job}?id={item}");
        call(&self.nodes[node].client, "GET", &path, &[], "").expect("an answer")
    }

    fn end_at(&self, node: usize, job: &str) -> HttpResponse {
        call(&self.nodes[node].client, "DELETE", &format!("/trestlerack/lots/{job}"), &[], "").expect("an answer")
    }

    /// Reads the listed results of a job at a node that serves, in one page.
    fn listed_at(&self, node: usize, job: &str) -> Vec<Value> {
        let page = self.page_at(node, job, 0, 0);
        assert_eq!(page.status, 200, "{}", self.nodes[node].name);
        page.json()["results"].as_array().unwrap().clone()
    }

    /// Reads results at a node until there are `count`.
    fn wait_listed(&self, node: usize, job: &str, count: usize) -> Vec<Value> {
        let mut results = Vec::new();
        eventually("results are listed", || {
            results = self.listed_at(node, job);
            results.len() >= count
        });
        results
    }

    fn job_record(&self, job: &str) -> JobRecord {
        let content = self.platform.store.row_content("state", job, "head").expect("the record of the job");
        ciborium::from_reader(&*content).unwrap()
    }

    /// Kills the node that drives a job.
    fn kill_owner(&mut self, job: &str) {
        let owner: Name = self.job_record(job).owner;
        let owner = self.nodes.iter_mut().find(|node| *node.name == *owner).unwrap();
        owner.signal("-KILL");
        owner.wait_end();
    }

    fn running_nodes(&mut self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.nodes[*index].is_running()).collect()
    }

    /// Returns the ids of items that started, in order.
    fn started_items(&self, job: &str) -> Vec<String> {
        let runs = self.platform.engine.runs.lock().unwrap();
        let items = runs.iter().filter_map(|run| run.split('@').next()).filter(|item| item.starts_with(job));
        items.map(str::to_owned).collect()
    }

    fn slow_down_engines(&self, event_interval_ms: usize) {
        self.platform.engine.event_interval_ms.store(event_interval_ms, Ordering::SeqCst);
    }

    /// Submits a job whose results are recorded while the readers learn nothing of it after its start.
    fn record_unseen_results(&self, job: &str) {
        self.slow_down_engines(200);
        assert_eq!(self.submit_at(0, job, 4), 202);
        READERS.for_each(|reader| assert_eq!(self.listed_at(reader, job), [] as [Value; 0]));
        self.platform.store.silence_watches(Some("state"));
        // The second half of the job does not complete, so that the job stays open.
        eventually("results are recorded", || self.platform.store.row_count("results", job) >= 2);
    }
}

/// Asserts that a call was refused for now and in a way that denies nothing.
fn assert_refused(answer: &HttpResponse, what: &str) {
    assert_eq!(answer.status, 503, "{what}: {}", answer.body);
    assert!(answer.headers.contains_key("retry-after"), "{what}: {:?}", answer.headers);
}

/// Asserts that a call was served or refused for now, and returns whether it was served.
fn is_served(answer: &HttpResponse, what: &str) -> bool {
    if answer.status != 200 {
        assert_refused(answer, what);
    }
    answer.status == 200
}

fn ids(results: &[Value]) -> BTreeSet<String> {
    results.iter().map(|result| result["id"].as_str().unwrap().to_owned()).collect()
}

/// Guards against positions that depend on the node or on where a read begins.
fn any_position_is_read_at_any_node(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    assert_eq!(fleet.submit_at(0, "job1", 6), 202);
    let all = read_results(&fleet.nodes[0], "job1", 6);
    for node in 0..NAMES.len() {
        for from in 0..=8 {
            let started = Instant::now();
            let page = fleet.page_at(node, "job1", from, 1_000);
            assert!(started.elapsed() < Duration::from_millis(900), "a complete job leaves nothing to wait for");
            assert_eq!(page.status, 200);
            let page = page.json();
            let expected = &all[from.min(6)..];
            assert_eq!(page, json!({ "total": 6, "next": from + expected.len(), "results": expected }), "from {from}");
        }
    }
}

/// Guards against a result that gets a lower position while the rows of its expired job are removed.
fn results_of_a_job_that_is_removed_keep_their_positions(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    assert_eq!(fleet.submit_at(0, "job1", 6), 202);
    let all = read_results(&fleet.nodes[0], "job1", 6);
    fleet.platform.store.remove_rows_before("results", "job1", "00000002");
    for node in 0..NAMES.len() {
        assert_refused(&fleet.page_at(node, "job1", 0, 0), "a page without its first result");
        assert_eq!(fleet.page_at(node, "job1", 2, 0).json()["results"], json!(all[2..]));
    }
}

/// Guards against reads that return before the requested time without a result, or miss one that is recorded in it.
fn a_read_at_the_end_waits_for_a_result(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    fleet.slow_down_engines(200);
    assert_eq!(fleet.submit_at(0, "job1", 2), 202);
    for reader in READERS {
        for (from, wait_ms) in [(0, 100), (2, 150), (9, 0)] {
            let started = Instant::now();
            let page = fleet.page_at(reader, "job1", from, wait_ms).json();
            assert_eq!(page, json!({ "total": 2, "next": from, "results": [] }));
            assert!(started.elapsed() >= Duration::from_millis(wait_ms), "{:?}", started.elapsed());
        }
    }
    let mut results = 0;
    while results == 0 {
        let started = Instant::now();
        results = fleet.page_at(2, "job1", 0, 1_000).json()["results"].as_array().unwrap().len();
        assert!(results > 0 || started.elapsed() >= Duration::from_secs(1), "{:?}", started.elapsed());
    }
    assert_eq!(fleet.wait_listed(3, "job1", 2), fleet.listed_at(2, "job1"));
}

/// Guards against a body that is looked for only among the jobs that a node has in memory.
fn bodies_are_read_at_nodes_that_never_saw_the_job(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    fleet.slow_down_engines(150);
    fleet.platform.store.silence_watches(Some("state"));
    let body = job_body_with("job1", 4, 1, b"prompt of the item");
    let status = call(&fleet.nodes[0].client, "POST", "/jobs/job1", &[("request-id", "job1")], &body).unwrap().status;
    assert_eq!(status, 202);
    let read_bodies = |when: &str| {
        for node in 0..NAMES.len() {
            let answer = fleet.body_at(node, "job1", "job1-item-3");
            assert_eq!((answer.status, &*answer.body), (200, "prompt of the item"), "node {node} {when}");
            assert_eq!(fleet.body_at(node, "job1", "job1-item-4").status, 404, "the job has no such item");
            assert_eq!(fleet.body_at(node, "job2", "job1-item-3").status, 404, "there is no such job");
        }
    };
    read_bodies("before the item is listed");
    fleet.wait_listed(2, "job1", 4);
    read_bodies("after the item is listed");
    assert_eq!(fleet.end_at(1, "job1").status, 200);
    read_bodies("after the end");
}

/// Guards against an end that another node denies or that changes what is listed.
fn an_end_is_repeated_at_other_nodes_and_later(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    fleet.slow_down_engines(100);
    assert_eq!(fleet.submit_at(0, "job1", 40), 202);
    let before = fleet.wait_listed(3, "job1", 1);
    for node in [2, 3, 0, 2] {
        assert_eq!(fleet.end_at(node, "job1").status, 200, "node {node}");
    }
    std::thread::sleep(Duration::from_secs(3));
    let listed = fleet.listed_at(0, "job1");
    assert!(listed.len() < 40, "the job ended before it was complete");
    assert_eq!(listed[..before.len()], before);
    for node in 0..NAMES.len() {
        assert_eq!(fleet.end_at(node, "job1").status, 200, "node {node}");
        assert_eq!(fleet.listed_at(node, "job1"), listed, "node {node}");
        let at_end = fleet.page_at(node, "job1", listed.len(), 0).json();
        assert_eq!(at_end, json!({ "total": 40, "next": listed.len(), "results": [] }));
    }
}

/// Guards against an end that is reported as failed although it was or can be stored.
fn an_end_is_stored_while_the_store_loses_answers(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    fleet.slow_down_engines(2_000);
    assert_eq!(fleet.submit_at(0, "job1", 4), 202);
    fleet.platform.store.lose_replies(6);
    assert_eq!(fleet.end_at(2, "job1").status, 200);
    assert_eq!(fleet.platform.store.row_count("state", "job1"), 2, "the record and the end");
    fleet.platform.store.lose_replies(6);
    for node in [3, 0, 2] {
        assert_eq!(fleet.end_at(node, "job1").status, 200);
    }
}

/// Guards against a job that is accepted twice or refused when it is submitted again while its first 202 is on the
/// way, at two other nodes at the same time.
fn a_job_submitted_again_at_once_is_accepted_once(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    for round in 0..6 {
        let job = format!("job{round}");
        fleet.platform.store.lose_replies(if round % 2 == 0 { 0 } else { 4 });
        let first = (round < 4).then(|| fleet.submit_at(0, &job, 2));
        assert!(first.is_none_or(|status| status == 202));
        let statuses = std::thread::scope(|scope| {
            let submit_at = |node: usize| {
                scope.spawn({
                    let (fleet, job) = (&fleet, &job);
                    move || fleet.submit_at(node, job, 2)
                })
            };
            [submit_at(2), submit_at(3)].map(|submission| submission.join().unwrap())
        });
        assert_eq!(statuses, [202, 202], "{job}");
        assert_eq!(fleet.submit_at(1, &job, 3), 409, "another job has this id");
        let results = fleet.wait_listed(3, &job, 2);
        assert_eq!((ids(&results).len(), results.len()), (2, 2));
        assert_eq!(fleet.submit_at(2, &job, 2), 202, "also when it is complete");
        assert_eq!(fleet.started_items(&job).len(), 2, "each item ran once");
    }
}

/// Guards against a job that is lost with the node that sent its 202, or accepted a second time.
fn a_job_whose_first_node_was_killed_is_accepted_again(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    fleet.slow_down_engines(50);
    assert_eq!(fleet.submit_at(0, "job1", 4), 202);
    fleet.nodes[0].signal("-KILL");
    assert_eq!([fleet.submit_at(2, "job1", 4), fleet.submit_at(3, "job1", 4)], [202, 202]);
    let results = read_results(&fleet.nodes[2], "job1", 4);
    assert_eq!(ids(&results).len(), 4);
    assert_eq!(fleet.listed_at(3, "job1"), results);
}

/// Submits a job of which two items are given up, and returns its results as each running node lists them, also
/// after its driver was killed.
fn check_given_up(fleet: &mut ReaderFleet, job: &str, items: usize, given_up: &[&str]) {
    assert_eq!(fleet.submit_at(0, job, items), 202);
    let results = fleet.wait_listed(2, job, items);
    for result in &results {
        let id = result["id"].as_str().unwrap();
        if given_up.contains(&id) {
            assert_eq!(*result, json!({ "id": id, "state": "down", "text": "", "versions": [] }));
        } else {
            assert_eq!(result["state"], "completed", "{result}");
        }
    }
    assert_eq!(ids(&results).len(), items);
    fleet.kill_owner(job);
    for node in fleet.running_nodes() {
        assert_eq!(fleet.listed_at(node, job), results, "node {node}");
        for from in 0..items {
            assert_eq!(fleet.page_at(node, job, from, 0).json()["results"], json!(results[from..]));
        }
    }
}

/// Guards against items that are permanently rejected, or fail at each attempt, and are not listed or differ
/// between nodes.
fn items_given_up_are_read_alike_at_all_nodes(role: ReaderRole) {
    let mut fleet = ReaderFleet::start(role);
    *fleet.platform.engine.item_statuses.lock().unwrap() =
        [("job1-item-1".to_owned(), 422), ("job1-item-2".to_owned(), 500)].into();
    check_given_up(&mut fleet, "job1", 4, &["job1-item-1", "job1-item-2"]);
}

/// Guards against items that have waited too long and are not listed or differ between nodes.
fn overdue_items_are_read_alike_at_all_nodes(role: ReaderRole) {
    let mut fleet = ReaderFleet::start(role);
    let set_limit = |config: &mut Value| {
        let routes = config["routes"].as_array_mut().unwrap();
        routes.iter_mut().find(|route| route["name"] == "jobs").unwrap()["max_wait_s"] = json!(1.5);
    };
    fleet.platform.reconfigure(2, set_limit);
    std::thread::sleep(Duration::from_secs(1));
    fleet.slow_down_engines(1_000);
    check_given_up(&mut fleet, "job1", 3, &["job1-item-0", "job1-item-1", "job1-item-2"]);
}

/// Guards against results that get another position or content with the next owner of their job.
fn results_keep_their_positions_when_the_owner_is_killed(role: ReaderRole) {
    let mut fleet = ReaderFleet::start(role);
    fleet.slow_down_engines(60);
    assert_eq!(fleet.submit_at(0, "job1", 24), 202);
    let before = fleet.wait_listed(3, "job1", 3);
    fleet.kill_owner("job1");
    let results = fleet.wait_listed(2, "job1", 24);
    assert_eq!(results[..before.len()], before);
    assert_eq!(ids(&results).len(), 24);
    for node in fleet.running_nodes() {
        assert_eq!(fleet.listed_at(node, "job1"), results, "node {node}");
    }
}

/// Guards against a node that denies a job, or does not serve it for long, because it alone does not reach the store.
fn a_node_cut_from_the_store_serves_readers_through_its_peers(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    fleet.links[2].set(LinkMode::Refuse);
    fleet.links[2].reset();
    fleet.links[3].set(LinkMode::Silent);
    assert_eq!(fleet.submit_at(0, "job1", 4), 202);
    for reader in READERS {
        let started = Instant::now();
        eventually("the body is read", || is_served(&fleet.body_at(reader, "job1", "job1-item-0"), "a body"));
        let page = || fleet.page_at(reader, "job1", 0, 100);
        eventually("results are read", || {
            let page = page();
            is_served(&page, "a page") && page.json()["results"].as_array().unwrap().len() == 4
        });
        assert_eq!(fleet.listed_at(0, "job1"), *page().json()["results"].as_array().unwrap());
        assert_eq!(fleet.submit_at(reader, "job1", 4), 202);
        eventually("the job is ended", || is_served(&fleet.end_at(reader, "job1"), "an end"));
        assert!(started.elapsed() < Duration::from_secs(6), "{:?}", started.elapsed());
    }
}

/// Calls each node as readers do while the store serves no node, and then while it serves again.
fn check_outage(fleet: &ReaderFleet, readers: std::ops::Range<usize>, set_down: impl Fn(bool), may_have_ended: bool) {
    // Two of four items do not complete, so the job stays open.
    let hanging = ["job1-item-2", "job1-item-3"].map(|item| (item.to_owned(), 503));
    fleet.platform.engine.item_statuses.lock().unwrap().extend(hanging);
    assert_eq!(fleet.submit_at(0, "ended", 1), 202);
    assert_eq!(fleet.end_at(0, "ended").status, 200);
    fleet.record_unseen_results("job1");
    set_down(true);
    let assert_in_time = |started: Instant| assert!(started.elapsed() < MAX_REFUSAL_TIME, "{:?}", started.elapsed());
    // If a write may have been applied, the answer must not say that it was not.
    let refused_end = if may_have_ended { 502 } else { 503 };
    let assert_end_refused = |end: &HttpResponse| {
        assert_eq!(end.status, refused_end, "{}", end.body);
        assert!(end.headers.contains_key("retry-after"), "{:?}", end.headers);
    };
    for reader in readers {
        for (job, wait_ms) in [("job1", 0), ("job1", 200), ("none", 0), ("none", 200)] {
            let started = Instant::now();
            assert_refused(&fleet.page_at(reader, job, 0, wait_ms), job);
            assert_in_time(started);
        }
        assert_refused(&fleet.body_at(reader, "job1", "job1-item-2"), "a body");
        assert_refused(&fleet.body_at(reader, "none", "none-item-0"), "a body of an unknown job");
        assert_refused(&fleet.end_at(reader, "none"), "an end of an unknown job");
        let started = Instant::now();
        assert_end_refused(&fleet.end_at(reader, "job1"));
        assert_in_time(started);
        assert_eq!(fleet.submit_at(reader, "job1", 4), 202, "it was accepted before");
    }
    // The reader may not have learned of the end that another node acknowledged.
    Some(fleet.end_at(2, "ended")).filter(|end| end.status != 200).iter().for_each(assert_end_refused);
    assert!(![202, 409].contains(&fleet.submit_at(2, "refused", 2)));
    set_down(false);
    fleet.platform.store.silence_watches(None);
    for node in 0..NAMES.len() {
        eventually("results are read again", || is_served(&fleet.page_at(node, "job1", 0, 0), "a page"));
        assert_eq!(fleet.listed_at(node, "job1").len(), 2);
        eventually("the unknown job is denied", || fleet.page_at(node, "none", 0, 0).status == 404);
        assert_eq!(fleet.end_at(node, "job1").status, 200);
        assert_eq!(fleet.end_at(node, "ended").status, 200);
    }
}

/// Guards against answers that deny a job, its results or its end while the store refuses every call.
fn readers_are_refused_while_the_store_rejects_every_call(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    check_outage(&fleet, READERS, |is_down| fleet.platform.store.set_unavailable(is_down), false);
}

/// Guards against the same answers, and calls that take too long, while the store does not respond to any node.
fn readers_are_refused_while_the_store_does_not_respond(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    let set_down = |is_down: bool| {
        fleet.links.iter().for_each(|link| link.set(if is_down { LinkMode::Silent } else { LinkMode::Pass }));
    };
    // Each call takes seconds, so one reader is enough.
    check_outage(&fleet, 2..3, set_down, true);
}

/// Guards against a 404 for a job whose record could not be read because answers of the store were lost.
fn a_node_without_an_answer_of_the_store_does_not_deny_a_job(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    fleet.platform.store.silence_watches(Some("state"));
    for round in 0..4 {
        let job = format!("job{round}");
        assert_eq!(fleet.submit_at(0, &job, 2), 202);
        fleet.platform.store.lose_read_replies(3 * (round + 1));
        for reader in READERS {
            let item = format!("{job}-item-1");
            eventually("the body is read", || is_served(&fleet.body_at(reader, &job, &item), "a body"));
            eventually("results are read", || is_served(&fleet.page_at(reader, &job, 0, 50), "a page"));
            eventually("the job is ended", || is_served(&fleet.end_at(reader, &job), "an end"));
        }
    }
}

/// Guards against a node that denies a job which it learns of late because each call of the store is slow.
fn a_slow_store_denies_no_job(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    fleet.platform.store.silence_watches(Some("state"));
    fleet.platform.store.set_delay(300);
    assert_eq!(fleet.submit_at(0, "job1", 2), 202);
    for reader in READERS {
        assert!(is_served(&fleet.page_at(reader, "job1", 0, 0), "a page"));
        assert!(is_served(&fleet.body_at(reader, "job1", "job1-item-0"), "a body"));
        assert_eq!(fleet.submit_at(reader, "job1", 2), 202);
    }
    assert_eq!(fleet.wait_listed(3, "job1", 2), fleet.listed_at(2, "job1"));
    assert!(is_served(&fleet.end_at(2, "job1"), "an end"));
    fleet.platform.store.set_delay(0);
    READERS.for_each(|reader| assert_eq!(fleet.end_at(reader, "job1").status, 200));
}

/// Guards against a node that serves another customer's reader because it read the job from the store, or received it
/// from a follower.
fn a_job_does_not_exist_for_another_customer_at_any_node(role: ReaderRole) {
    let fleet = ReaderFleet::start(role);
    fleet.platform.configure(
        2,
        json!([{ "name": "wash", "api_keys": ["key-one", "key-two"] }, { "name": "pension", "api_keys": ["other-key"] }]),
    );
    let status = |node: usize, key: &str, method: &str, path: &str, body: &str| {
        let id = path.rsplit('/').next().unwrap();
        let headers = [("request-id", id), ("authorization", &format!("Bearer {key}"))];
        call(&fleet.nodes[node].client, method, path, &headers, body).unwrap().status
    };
    for node in 0..NAMES.len() {
        eventually("the keys are known", || status(node, "unknown", "POST", "/safe/x", "x") == 401);
    }
    fleet.slow_down_engines(100);
    // While watches are silent, the nodes read the job from the store.
    for silences in [false, true] {
        let job = format!("job-{silences}");
        fleet.platform.store.silence_watches(silences.then_some("state"));
        let submitted = status(0, "key-one", "POST", &format!("/jobs/{job}"), &job_body_of(&job, 2, 1));
        assert_eq!(submitted, 202);
        let (page, item) = (format!("/trestlerack/lots/{job}"), format!("/trestlerack/items/{job}?id={job}-item-0"));
        for (method, path) in [("GET", &page), ("GET", &item), ("DELETE", &page)] {
            for node in 0..NAMES.len() {
                assert_eq!(status(node, "other-key", method, path, ""), 404, "{method} {path} at node {node}");
            }
            for node in (0..NAMES.len()).filter(|_| method == "GET") {
                assert_eq!(status(node, "key-two", method, path, ""), 200, "{method} {path} at node {node}");
            }
        }
        assert_eq!(fleet.platform.store.row_count("state", &job), 1, "the job has not ended");
    }
}
