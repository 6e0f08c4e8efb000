//! Batch jobs: accepted once, finished by whoever is left, read at lasting positions.

use super::support::*;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use trestlerack::process::node_partition;

#[test]
fn a_job_is_accepted_once_and_read_scored_at_lasting_positions() {
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

/// Only a server's own failure counts against an item. One that ran out of time is another matter.
#[test]
fn answers_of_servers_that_ran_out_of_time_do_not_give_an_item_up() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.timeout_responses.store(8, Ordering::SeqCst);
    platform.engine.timeout_responses.store(8, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "job1", 2), 202);
    for result in read_results(&daemon, "job1", 2) {
        assert_eq!(result["state"], "completed", "{result}");
    }
}

/// A score call may take as long as its route allows: it goes on beside a second one, and neither
/// is cut and sent again and again.
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
fn a_scoring_server_that_falls_silent_delays_a_score_by_a_moment_only() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.plain.unanswered_requests.store(1, Ordering::SeqCst);
    let begun = Instant::now();
    assert_eq!(submit(&daemon, "job1", 2), 202);
    assert_eq!(read_results(&daemon, "job1", 2).len(), 2);
    assert!(begun.elapsed() < Duration::from_secs(2), "{:?}", begun.elapsed());
}

/// The scorer's route states no target latency, and its servers are silent. The node waits for them
/// without using its processor.
#[test]
fn score_calls_of_a_route_without_a_target_wait_in_peace() {
    let platform = Platform::start_behind_proxies(4, |address| address.to_string());
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    // Processor time is dearer beside other work, for a node without a job as well.
    let used_in_two_seconds = || {
        let before = daemon.cpu_time();
        std::thread::sleep(Duration::from_secs(2));
        daemon.cpu_time() - before
    };
    let idle = used_in_two_seconds();
    platform.plain.unanswered_requests.store(16, Ordering::SeqCst);
    let body = job_body_of("job1", 8, 1).replace("/safe/score", "/untimed/score");
    assert_eq!(call(&daemon.client, "POST", "/jobs/job1", &[("request-id", "job1")], &body).unwrap().status, 202);
    eventually("two servers were asked for each item", || platform.plain.runs.lock().unwrap().len() == 16);
    let used = used_in_two_seconds();
    assert!(used < idle + Duration::from_millis(90), "{used:?} of two seconds, {idle:?} without a job");
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

/// A submission of more bytes than rows are meant for lies in an object. The one of a refused
/// submission stays, and must not be taken for that of another one with the same id.
#[test]
fn a_large_job_lies_in_an_object_that_goes_with_it() {
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
    eventually("all results are listed", || {
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

/// Two engines have four places each. A second run on the newest weights takes one of them while
/// nobody needs it, and gives it back to a job whose items wait.
#[test]
fn a_second_run_gives_its_place_to_an_item_that_waits() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    // An engine whose pace is not known yet is left after 1.6 s without an event.
    platform.engine.event_interval_ms.store(1_200, Ordering::SeqCst);
    let runs_of = |job: &str| platform.engine.runs.lock().unwrap().iter().filter(|run| run.starts_with(job)).count();
    assert_eq!(submit(&daemon, "job1", 2), 202);
    eventually("its items run", || runs_of("job1") == 2);
    // A text whose first event the old weights made is of no use to a job that needs the new ones.
    std::thread::sleep(Duration::from_millis(1_400));
    platform.publish_version(2);
    eventually("one of them runs a second time", || runs_of("job1") == 3);
    assert_eq!(submit(&daemon, "job2", 8), 202);
    eventually("all places but two are taken by the new job", || runs_of("job2") == 6);
    assert_eq!(platform.engine.last_runs.lock().unwrap().len(), 8, "no item ran out before");
    assert_eq!(runs_of("job1"), 3);
}

/// Guards against a later job that reuses every place its own runs free while an earlier job of the same
/// model waits.
#[test]
fn an_earlier_job_of_a_model_gets_free_places_first() {
    const PLACES: usize = 8;
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.event_interval_ms.store(200, Ordering::SeqCst);
    let runs = || platform.engine.runs.lock().unwrap().clone();
    // The earlier job requires version 2, which no engine has yet, so the later job fills all places.
    let body = job_body_of("earlier", PLACES, 2);
    assert_eq!(call(&daemon.client, "POST", "/jobs/earlier", &[("request-id", "earlier")], &body).unwrap().status, 202);
    assert_eq!(submit(&daemon, "later", 3 * PLACES), 202);
    eventually("the later job occupies all places", || runs().len() == PLACES);
    platform.publish_version(2);
    eventually("both engines accept a load order", || platform.engine.orders.lock().unwrap().len() == 2);
    assert_eq!(runs().len(), PLACES, "no further run has started");
    read_results(&daemon, "earlier", PLACES);
    let runs = runs();
    let last_earlier = runs.iter().rposition(|run| run.starts_with("earlier")).unwrap();
    let later_runs = runs[..last_earlier].iter().filter(|run| run.starts_with("later")).count();
    assert_eq!(later_runs, PLACES, "{runs:?}");
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

/// A VM that is gone for good drove the newest job of a model, and its row is still there. One job
/// waits for it, no further one does.
#[test]
fn no_more_jobs_are_given_to_a_node_that_does_not_answer() {
    let platform = Platform::start();
    let mut gone = EntryDaemon::start("gone", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&gone.peer]);
    let rows = || platform.store.row_count("state", &node_partition("gone"));
    eventually("it is registered", || rows() == 1);
    assert_eq!(submit(&gone, "job1", 2), 202);
    assert_eq!(read_results(&gone, "job1", 2).len(), 2);
    gone.signal("-KILL");
    gone.wait_end();
    assert_eq!(submit(&other, "job2", 2), 202);
    assert_eq!(read_results(&other, "job2", 2).len(), 2);
    eventually("its row is removed", || rows() == 0);
}

#[test]
fn a_node_that_was_taken_for_gone_registers_again() {
    let platform = Platform::start();
    let frozen = EntryDaemon::start("frozen", &platform.store, &[]);
    let other = EntryDaemon::start("b", &platform.store, &[&frozen.peer]);
    let rows = || platform.store.row_count("state", &node_partition("frozen"));
    eventually("it is registered", || rows() == 1);
    assert_eq!(submit(&frozen, "job1", 2), 202);
    assert_eq!(read_results(&frozen, "job1", 2).len(), 2);
    // The other node names the driver of the last job only once it has heard of that job.
    assert_eq!(read_results(&other, "job1", 2).len(), 2);
    frozen.signal("-STOP");
    assert_eq!(submit(&other, "job2", 2), 202);
    eventually("its row is removed", || rows() == 0);
    frozen.signal("-CONT");
    eventually("its row is there again", || rows() == 1);
    assert_eq!(submit(&frozen, "job3", 2), 202);
    assert_eq!(read_results(&frozen, "job3", 2).len(), 2);
}

#[test]
fn a_refused_job_was_not_stored_and_a_lost_reply_is_no_refusal() {
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
    assert_eq!(read_results(&other, "job1", 4).len(), 4);
    let runs = platform.engine.runs.lock().unwrap();
    assert!(runs[4..].iter().all(|run| !run.ends_with("@1")), "texts go on where they were: {runs:?}");
}

#[test]
fn the_rows_of_an_old_job_are_removed_and_those_of_an_open_one_stay() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.event_interval_ms.store(4_000, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "open", 2), 202);
    assert_eq!(submit(&daemon, "over", 2), 202);
    assert_eq!(call(&daemon.client, "DELETE", "/trestlerack/lots/over", &[], "").unwrap().status, 200);
    let rows = |job: &str| ["state", "specs"].map(|table| platform.store.row_count(table, job));
    assert!(rows("over").iter().all(|count| *count > 0));
    eventually("its rows are removed", || rows("over") == [0, 0]);
    assert!(rows("open").iter().all(|count| *count > 0), "it is not over");
    let answer = call(&daemon.client, "GET", "/trestlerack/lots/over?after=0", &[], "").unwrap();
    assert_eq!(answer.status, 404);
}

/// The store takes nothing while a node that drives a job stops: it must end in time all the same,
/// and the job is finished by another node once the store is back.
#[test]
fn a_stop_during_an_outage_of_the_store_ends_in_time_and_loses_no_job() {
    let platform = Platform::start();
    let (mut daemon, other) = two_daemons_with_a_running_job(&platform);
    platform.store.refuse_writes(true);
    let begun = Instant::now();
    daemon.signal("-TERM");
    let answer = call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "late").unwrap();
    assert_eq!(answer.status, 200);
    assert!(daemon.wait_end());
    assert!(begun.elapsed() < STOP_LIMIT, "{:?}", begun.elapsed());
    platform.store.refuse_writes(false);
    assert_eq!(read_results(&other, "job1", 4).len(), 4);
}

#[test]
fn a_lost_history_leads_to_reads_of_what_may_still_change() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.event_interval_ms.store(2_000, Ordering::SeqCst);
    assert_eq!(submit(&daemon, "open", 2), 202);
    assert_eq!(submit(&daemon, "over", 2), 202);
    assert_eq!(call(&daemon.client, "DELETE", "/trestlerack/lots/over", &[], "").unwrap().status, 200);
    std::thread::sleep(Duration::from_millis(200));
    let nodes = node_partition(&daemon.name);
    let before = [&*nodes, "open", "over"].map(|partition| platform.store.reads(partition));
    // Rows change while the watch is silent, since the lease is renewed.
    platform.store.silence_watches(Some("state"));
    std::thread::sleep(Duration::from_secs(1));
    platform.store.drop_history();
    platform.store.silence_watches(None);
    eventually("it reads the rows that may have changed", || {
        platform.store.reads(&nodes) > before[0] && platform.store.reads("open") > before[1]
    });
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(platform.store.reads("over"), before[2], "a job that is over changes no more");
}

/// Results may be recorded around the end of a job without a node hearing of them. One that knows of
/// the end and missed them must not answer that there are none.
#[test]
fn results_that_a_node_missed_are_read_after_the_end_of_their_job_and_a_lost_history() {
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

/// The owner's watch hears nothing of the end of its job, which another node was told.
#[test]
fn the_owner_of_a_job_hears_of_its_end_from_the_node_that_was_told() {
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

/// News of an end that comes between the rows that a successor read and its first look at the job.
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

/// A client that reads a job at one node goes on at another, whose watch brings no news.
#[test]
fn results_that_were_read_at_one_node_are_there_at_another_whose_watch_is_behind() {
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
    let by_store = |job: &str| platform.store.row_count("results", job);
    eventually("results are recorded", || by_store("job1") == 4);
    for headers in [&[][..], &[("wait-ms", "300")]] {
        let answer = call(&second.client, "GET", "/trestlerack/lots/job1?after=0", headers, "").unwrap();
        assert_eq!((answer.status, &answer.json()["next"]), (200, &json!(4)), "{headers:?}");
    }
}
