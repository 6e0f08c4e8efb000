//! Batch jobs: accepted exactly once, finished also after node failures, read at stable positions.

use super::support::*;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use trestlerack::process::node_partition;

#[test]
fn a_job_is_accepted_once_and_its_scored_results_keep_their_positions() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&daemon.peer]);
    assert_eq!(submit(&daemon, "job1", 12), 202);
    assert_eq!(submit(&other, "job1", 12), 202);
    assert_eq!(submit(&other, "job1", 11), 409, "another job has this id");
    let results = read_results(&daemon, "job1", 12);
    for result in &results {
        let id = result["id"].as_str().unwrap();
        assert_eq!(result["text"], complete_text(id, 1).join("\n"));
        assert_eq!((&result["state"], &result["versions"]), (&json!("completed"), &json!([1])));
        assert_eq!(result["score"], format!("signed-{id}-score"));
    }
    assert_eq!(read_results(&other, "job1", 12), results);
    let body = call(&other.client, "GET", "/trestlerack/items/job1?id=job1-item-3", &[], "").unwrap();
    assert_eq!((body.status, body.body.as_str()), (200, "body"));
    for _ in 0..2 {
        assert_eq!(call(&other.client, "DELETE", "/trestlerack/lots/job1", &[], "").unwrap().status, 200);
    }
    assert_eq!(call(&daemon.client, "GET", "/trestlerack/lots/none?after=0", &[], "").unwrap().status, 404);
}

/// Only a server's own failure counts against an item. A server that runs out of time must not use up its
/// attempts.
#[test]
fn server_timeouts_do_not_count_as_failures_of_an_item() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.timeout_responses.store(8, Ordering::SeqCst);
    platform.engine.timeout_responses.store(8, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "job1", 2), 202);
    for result in read_results(&daemon, "job1", 2) {
        assert_eq!(result["state"], "completed", "{result}");
    }
}

/// Guards against score calls that are cancelled and sent again although their route allows them more time: a slow
/// call continues, with at most one hedged call.
#[test]
fn score_calls_may_take_as_long_as_their_route_allows() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.work_ms.store(1_200, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "job1", 2), 202);
    for result in read_results(&daemon, "job1", 2) {
        assert_eq!(result["state"], "completed", "{result}");
    }
    let runs = platform.plain.runs.lock().unwrap();
    assert!(runs.len() <= 4, "each call ran at two servers at most: {runs:?}");
}

#[test]
fn a_scoring_server_that_stops_responding_delays_a_score_only_briefly() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.unanswered_requests.store(1, Ordering::SeqCst);
    let started = Instant::now();
    assert_eq!(submit(&daemon, "job1", 2), 202);
    assert_eq!(read_results(&daemon, "job1", 2).len(), 2);
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}

/// Guards against busy waiting: the scorer's route sets no target latency and its servers do not respond, and the
/// node must wait for them without using CPU time.
#[test]
fn waiting_score_calls_of_a_route_without_target_latency_use_little_cpu() {
    let platform = Platform::start_behind_proxies(4, |address| address.to_string());
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    // Other load on the machine raises CPU time, so the node is also measured without a job.
    let cpu_in_two_seconds = || {
        let before = daemon.cpu_time();
        std::thread::sleep(Duration::from_secs(2));
        daemon.cpu_time() - before
    };
    let idle_cpu = cpu_in_two_seconds();
    platform.plain.unanswered_requests.store(16, Ordering::SeqCst);
    let body = job_body_of("job1", 8, 1).replace("/safe/score", "/untimed/score");
    assert_eq!(call(&daemon.client, "POST", "/jobs/job1", &[("request-id", "job1")], &body).unwrap().status, 202);
    eventually("two servers were asked for each item", || platform.plain.runs.lock().unwrap().len() == 16);
    let job_cpu = cpu_in_two_seconds();
    assert!(job_cpu < idle_cpu + Duration::from_millis(90), "{job_cpu:?} of two seconds, {idle_cpu:?} without a job");
    assert_eq!(read_results(&daemon, "job1", 8).len(), 8);
}

#[test]
fn another_job_of_the_same_id_is_refused_even_if_its_items_have_the_same_ids() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    assert_eq!(submit(&daemon, "job1", 2), 202);
    let headers = [("request-id", "job1")];
    for body in [job_body_with("job1", 2, 1, b"other"), job_body_of("job1", 2, 2)] {
        assert_eq!(call(&daemon.client, "POST", "/jobs/job1", &headers, &body).unwrap().status, 409);
    }
}

/// A submission that is too large for rows is stored in an object. The object of a refused submission stays and
/// must not be read as that of a later one with the same id.
#[test]
fn a_large_job_is_stored_in_an_object_that_is_removed_with_it() {
    let platform = Platform::start();
    let (mut daemon, other) = {
        let daemon = EntryDaemon::start("a", &platform.store, &[]);
        let other = EntryDaemon::start("b", &platform.store, &[&daemon.peer]);
        (daemon, other)
    };
    let submit_large = |body: &[u8]| {
        let body = job_body_with("large", 4, 1, body);
        call(&daemon.client, "POST", "/jobs/large", &[("request-id", "large")], &body).unwrap().status
    };
    platform.store.refuse_commits(true);
    assert_eq!(submit_large(&[b'x'; 150_000]), 503);
    platform.store.refuse_commits(false);
    platform.engine.event_interval_ms.store(300, Ordering::SeqCst);
    assert_eq!(submit_large(&[b'y'; 150_000]), 202);
    daemon.signal("-KILL");
    daemon.wait_end();
    let body = call(&other.client, "GET", "/trestlerack/items/large?id=large-item-3", &[], "").unwrap();
    assert_eq!((body.status, body.body.len(), &body.body[..1]), (200, 150_000, "y"));
    assert_eq!(read_results(&other, "large", 4).len(), 4);
    assert_eq!(platform.store.object_count(), 2);
    assert_eq!(call(&other.client, "DELETE", "/trestlerack/lots/large", &[], "").unwrap().status, 200);
    eventually("its object is removed", || platform.store.object_count() == 1);
}

#[test]
fn results_of_more_bytes_than_one_page_are_read_in_several() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.event_padding.store(30_000, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "job1", 8), 202);
    let mut results = 0;
    let mut pages = 0;
    eventually("all results are recorded", || {
        let answer = call(&daemon.client, "GET", "/trestlerack/lots/job1?after=7", &[("wait-ms", "500")], "").unwrap();
        !answer.json()["results"].as_array().unwrap().is_empty()
    });
    while results < 8 {
        let path = format!("/trestlerack/lots/job1?after={results}");
        let answer = call(&daemon.client, "GET", &path, &[], "").unwrap();
        assert!(answer.body.len() <= 1_000_000, "{}", answer.body.len());
        results += answer.json()["results"].as_array().unwrap().len();
        pages += 1;
    }
    assert!(pages > 1);
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
    assert_eq!(platform.store.row_count("state", "bad"), 0);
}

/// Two engines have four slots each. A speculative run on the newest weights uses one of them while no item needs
/// it, and must free it for a job whose items wait.
#[test]
fn a_speculative_run_is_cancelled_for_a_waiting_item() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    // A run on an engine whose pace is not known yet is cancelled after 1.6 s without an event.
    platform.engine.event_interval_ms.store(1_200, Ordering::SeqCst);
    let runs_of = |job: &str| platform.engine.runs.lock().unwrap().iter().filter(|run| run.starts_with(job)).count();
    assert_eq!(submit(&daemon, "job1", 2), 202);
    eventually("its items run", || runs_of("job1") == 2);
    // The primary runs get their first event from the old weights, so a job that needs new ones cannot use them.
    std::thread::sleep(Duration::from_millis(1_400));
    platform.publish_version(2);
    eventually("one of them runs a second time", || runs_of("job1") == 3);
    assert_eq!(submit(&daemon, "job2", 8), 202);
    eventually("the new job uses all slots but two", || runs_of("job2") == 6);
    assert_eq!(platform.engine.last_runs.lock().unwrap().len(), 8, "no item completed before");
    assert_eq!(runs_of("job1"), 3);
}

/// Guards against a later job that reuses every slot its own runs free while an earlier job of the same
/// model waits.
#[test]
fn an_earlier_job_of_a_model_gets_free_slots_first() {
    const SLOTS: usize = 8;
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.event_interval_ms.store(200, Ordering::SeqCst);
    let runs = || platform.engine.runs.lock().unwrap().clone();
    // The earlier job requires version 2, which no engine has yet, so the later job fills all slots.
    let body = job_body_of("earlier", SLOTS, 2);
    assert_eq!(call(&daemon.client, "POST", "/jobs/earlier", &[("request-id", "earlier")], &body).unwrap().status, 202);
    assert_eq!(submit(&daemon, "later", 3 * SLOTS), 202);
    eventually("the later job occupies all slots", || runs().len() == SLOTS);
    platform.publish_version(2);
    eventually("both engines accept a load order", || platform.engine.orders.lock().unwrap().len() == 2);
    assert_eq!(runs().len(), SLOTS, "no further run has started");
    read_results(&daemon, "earlier", SLOTS);
    let runs = runs();
    let last_earlier = runs.iter().rposition(|run| run.starts_with("earlier")).unwrap();
    let later_runs = runs[..last_earlier].iter().filter(|run| run.starts_with("later")).count();
    assert_eq!(later_runs, SLOTS, "{runs:?}");
}

#[test]
fn a_small_node_has_its_jobs_driven_by_a_large_one() {
    let platform = Platform::start();
    let store = platform.store.address.to_string();
    let log = std::env::temp_dir().join(format!("entry-large-{}.log", std::process::id()));
    let large = DaemonSettings { store: store.clone(), log: Some(log.clone()), ..DaemonSettings::default() };
    let _large = EntryDaemon::start_with("large", &large);
    let small = DaemonSettings { store, cpu_share: 0.2, ..DaemonSettings::default() };
    let small = EntryDaemon::start_with("small", &small);
    let lines = |event: &str| std::fs::read_to_string(&log).unwrap().matches(event).count();
    eventually("both are registered", || {
        let partitions = std::collections::BTreeSet::from([node_partition("small"), node_partition("large")]);
        partitions.iter().map(|partition| platform.store.row_count("state", partition)).sum::<usize>() == 2
    });
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(submit(&small, "job1", 4), 202);
    assert_eq!(read_results(&small, "job1", 4).len(), 4);
    assert_eq!((lines("name=job-driven"), lines("name=job-taken")), (1, 0));
    std::fs::remove_file(&log).unwrap();
}

/// A VM that was lost drove the newest job of a model, and its row still exists. Guards against assigning each
/// next job of the model to it: after the first takeover its row is removed.
#[test]
fn no_more_jobs_are_assigned_to_a_node_that_does_not_respond() {
    let platform = Platform::start();
    let mut killed = EntryDaemon::start("gone", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&killed.peer]);
    let rows = || platform.store.row_count("state", &node_partition("gone"));
    eventually("it is registered", || rows() == 1);
    assert_eq!(submit(&killed, "job1", 2), 202);
    assert_eq!(read_results(&killed, "job1", 2).len(), 2);
    killed.signal("-KILL");
    killed.wait_end();
    assert_eq!(submit(&other, "job2", 2), 202);
    assert_eq!(read_results(&other, "job2", 2).len(), 2);
    eventually("its row is removed", || rows() == 0);
}

#[test]
fn a_suspended_node_that_was_unregistered_registers_again() {
    let platform = Platform::start();
    let suspended = EntryDaemon::start("frozen", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&suspended.peer]);
    let rows = || platform.store.row_count("state", &node_partition("frozen"));
    eventually("it is registered", || rows() == 1);
    assert_eq!(submit(&suspended, "job1", 2), 202);
    assert_eq!(read_results(&suspended, "job1", 2).len(), 2);
    // The other node must know the last job before it assigns the next one to the same driver.
    assert_eq!(read_results(&other, "job1", 2).len(), 2);
    suspended.signal("-STOP");
    assert_eq!(submit(&other, "job2", 2), 202);
    eventually("its row is removed", || rows() == 0);
    suspended.signal("-CONT");
    eventually("its row is there again", || rows() == 1);
    assert_eq!(submit(&suspended, "job3", 2), 202);
    assert_eq!(read_results(&suspended, "job3", 2).len(), 2);
}

#[test]
fn a_refused_job_is_not_stored_and_a_lost_reply_does_not_refuse_one() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.store.refuse_writes(true);
    assert_eq!(submit(&daemon, "job1", 2), 503);
    platform.store.refuse_writes(false);
    assert_eq!(platform.store.row_count("state", "job1"), 0);
    platform.store.lose_replies(1);
    assert_eq!(submit(&daemon, "job2", 2), 202);
    assert_eq!(read_results(&daemon, "job2", 2).len(), 2);
}

/// Starts two daemons, of which the first drives a job whose four items run.
fn two_daemons_with_a_running_job(platform: &Platform) -> (EntryDaemon, EntryDaemon) {
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&daemon.peer]);
    platform.engine.event_interval_ms.store(300, Ordering::SeqCst);
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
    assert_eq!(read_results(&other, "job1", 4).len(), 4);
}

#[test]
fn a_stopping_node_hands_its_job_over_with_its_texts_and_exits_by_itself() {
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
    assert_eq!(read_results(&other, "job1", 4).len(), 4);
    let runs = platform.engine.runs.lock().unwrap();
    assert!(runs[4..].iter().all(|run| !run.ends_with("@1")), "runs continue from the stored text: {runs:?}");
}

#[test]
fn the_rows_of_an_expired_job_are_removed_and_those_of_an_open_one_stay() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.event_interval_ms.store(4_000, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "open", 2), 202);
    assert_eq!(submit(&daemon, "over", 2), 202);
    assert_eq!(call(&daemon.client, "DELETE", "/trestlerack/lots/over", &[], "").unwrap().status, 200);
    let rows = |job: &str| ["state", "specs"].map(|table| platform.store.row_count(table, job));
    assert!(rows("over").iter().all(|count| *count > 0));
    eventually("its rows are removed", || rows("over") == [0, 0]);
    assert!(rows("open").iter().all(|count| *count > 0), "the job is still open");
    let answer = call(&daemon.client, "GET", "/trestlerack/lots/over?after=0", &[], "").unwrap();
    assert_eq!(answer.status, 404);
}

/// Guards against jobs that cannot be read any more because all of their results are there, though nobody has ended
/// them.
#[test]
fn a_complete_job_can_be_read_until_a_client_ends_it() {
    let platform = Platform::start();
    let settings =
        DaemonSettings { store: platform.store.address.to_string(), retention_s: 3, ..DaemonSettings::default() };
    let daemon = EntryDaemon::start_with("a", &settings);
    assert_eq!(submit(&daemon, "job1", 2), 202);
    let results = read_results(&daemon, "job1", 2);
    assert_eq!(results.len(), 2);
    // Several sweeps after the retention time of the job.
    std::thread::sleep(Duration::from_secs(7));
    assert_eq!(read_results(&daemon, "job1", 2), results);
    assert_eq!(call(&daemon.client, "DELETE", "/trestlerack/lots/job1", &[], "").unwrap().status, 200);
    eventually("the job is removed", || {
        call(&daemon.client, "GET", "/trestlerack/lots/job1?after=0", &[], "").unwrap().status == 404
    });
}

/// The store refuses writes while a node that drives a job stops. The node must still exit in time, and another
/// node finishes the job once the store accepts writes.
#[test]
fn a_stop_during_an_outage_of_the_store_ends_in_time_and_loses_no_job() {
    let platform = Platform::start();
    let (mut daemon, other) = two_daemons_with_a_running_job(&platform);
    platform.store.refuse_writes(true);
    let started = Instant::now();
    daemon.signal("-TERM");
    let answer = call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "late").unwrap();
    assert_eq!(answer.status, 200);
    assert!(daemon.wait_end());
    assert!(started.elapsed() < STOP_LIMIT, "{:?}", started.elapsed());
    platform.store.refuse_writes(false);
    assert_eq!(read_results(&other, "job1", 4).len(), 4);
}

#[test]
fn after_a_lost_watch_history_only_rows_that_may_change_are_read() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.event_interval_ms.store(2_000, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "open", 2), 202);
    assert_eq!(submit(&daemon, "over", 2), 202);
    assert_eq!(call(&daemon.client, "DELETE", "/trestlerack/lots/over", &[], "").unwrap().status, 200);
    std::thread::sleep(Duration::from_millis(200));
    let nodes = node_partition(&daemon.name);
    let before = [&*nodes, "open", "over"].map(|partition| platform.store.reads(partition));
    // Rows change while the watch reports nothing, since the lease is renewed.
    platform.store.silence_watches(Some("state"));
    std::thread::sleep(Duration::from_secs(1));
    platform.store.drop_history();
    platform.store.silence_watches(None);
    eventually("it reads the rows that may have changed", || {
        platform.store.reads(&nodes) > before[0] && platform.store.reads("open") > before[1]
    });
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(platform.store.reads("over"), before[2], "an ended job is not read again");
}

/// Results may be recorded around the end of a job while a node's watch reports nothing. A node that knows of the
/// end but missed the results must not answer that there are none.
#[test]
fn results_that_a_node_missed_are_read_after_job_end_and_lost_history() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&daemon.peer]);
    platform.engine.event_interval_ms.store(200, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "job1", 4), 202);
    let path = "/trestlerack/lots/job1";
    eventually("the other node knows the job", || call(&other.client, "GET", path, &[], "").unwrap().status == 200);
    platform.store.silence_watches(Some("state"));
    eventually("its results are recorded", || platform.store.row_count("results", "job1") == 4);
    assert_eq!(call(&other.client, "DELETE", path, &[], "").unwrap().status, 200);
    let nodes = node_partition(&daemon.name);
    let reads = platform.store.reads(&nodes);
    platform.store.drop_history();
    platform.store.silence_watches(None);
    eventually("both nodes read the table again", || platform.store.reads(&nodes) >= reads + 2);
    std::thread::sleep(Duration::from_millis(300));
    let page = call(&other.client, "GET", path, &[], "").unwrap().json();
    assert_eq!(page["results"].as_array().unwrap().len(), 4, "{page}");
}

/// The owner's watch does not report the end of its job, which a client sent to another node. The owner must
/// still start no more items.
#[test]
fn the_owner_of_a_job_is_notified_of_its_end_by_the_node_that_stored_it() {
    let platform = Platform::start();
    let owner = EntryDaemon::start("a", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&owner.peer]);
    platform.engine.event_interval_ms.store(200, Ordering::SeqCst);
    assert_eq!(submit(&owner, "job1", 40), 202);
    let path = "/trestlerack/lots/job1";
    eventually("the other node knows the job", || call(&other.client, "GET", path, &[], "").unwrap().status == 200);
    platform.store.silence_watches(Some("state"));
    assert_eq!(call(&other.client, "DELETE", path, &[], "").unwrap().status, 200);
    std::thread::sleep(Duration::from_millis(200));
    let runs = || platform.engine.runs.lock().unwrap().len();
    let before = runs();
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(runs(), before, "an item ran after the end of its job");
    platform.store.silence_watches(None);
}

/// The job ends after a successor has read its rows and before it first checks the job. The successor must start
/// no items.
#[test]
fn a_job_that_ends_while_it_is_taken_over_runs_nothing_afterwards() {
    let platform = Platform::start();
    let mut daemon = EntryDaemon::start("a", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&daemon.peer]);
    platform.engine.event_interval_ms.store(300, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "job1", 40), 202);
    eventually("items run", || !platform.engine.runs.lock().unwrap().is_empty());
    platform.store.set_read_delay("specs", 500);
    daemon.signal("-KILL");
    daemon.wait_end();
    let reads = platform.store.reads("job1");
    eventually("the other node reads the job to take it over", || platform.store.reads("job1") > reads);
    assert_eq!(call(&other.client, "DELETE", "/trestlerack/lots/job1", &[], "").unwrap().status, 200);
    let runs = || platform.engine.runs.lock().unwrap().len();
    let before = runs();
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(runs(), before, "an item ran after the end of its job");
}

/// A client that has read results at one node must get them from another one, too, whose watch reports nothing.
#[test]
fn results_read_at_one_node_are_served_by_another_whose_watch_lags() {
    let platform = Platform::start();
    let first = EntryDaemon::start("a", &platform.store, &[]);
    let second = EntryDaemon::start("b", &platform.store, &[&first.peer]);
    platform.engine.event_interval_ms.store(100, Ordering::SeqCst);
    assert_eq!(submit(&first, "job1", 4), 202);
    eventually("the other node knows the job", || {
        call(&second.client, "GET", "/trestlerack/lots/job1?after=0", &[], "")
            .is_some_and(|answer| answer.status == 200)
    });
    platform.store.silence_watches(Some("state"));
    let stored_results = |job: &str| platform.store.row_count("results", job);
    eventually("results are recorded", || stored_results("job1") == 4);
    for headers in [&[][..], &[("wait-ms", "300")]] {
        let answer = call(&second.client, "GET", "/trestlerack/lots/job1?after=0", headers, "").unwrap();
        assert_eq!((answer.status, &answer.json()["next"]), (200, &json!(4)), "{headers:?}");
    }
}
