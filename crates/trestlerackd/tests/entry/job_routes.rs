//! Jobs on routes that were added or removed a moment ago, at nodes whose configuration is older.

use super::support::*;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Adds a route for jobs under a prefix, with its own limit of attempts.
fn add_job_route(platform: &Platform, version: u64, prefix: &str, max_attempts: u32) {
    platform.reconfigure(version, |config| {
        let routes = config["routes"].as_array_mut().unwrap();
        let mut route = routes.last().unwrap().clone();
        (route["name"], route["prefix"]) = (json!(format!("added {prefix}")), json!(prefix));
        route["max_attempts"] = json!(max_attempts);
        routes.push(route);
    });
}

/// Submits a job under a prefix other than the usual one.
fn submit_under(daemon: &EntryDaemon, prefix: &str, job: &str, items: usize) -> u16 {
    let path = format!("{prefix}{job}");
    call(&daemon.client, "POST", &path, &[("request-id", job)], &job_body_of(job, items, 1)).unwrap().status
}

fn assert_completed(results: &[Value]) {
    for result in results {
        assert_eq!(result["state"], "completed", "{result}");
    }
}

/// Starts nodes, of which the first drives the newest job of the model, so that it is to drive the next one, too.
fn nodes_with_an_owner(platform: &Platform, names: &[&str]) -> Vec<EntryDaemon> {
    let nodes = start_nodes(platform, names);
    assert_eq!(submit(&nodes[0], "first", 2), 202);
    for node in &nodes {
        assert_eq!(read_results(node, "first", 2).len(), 2);
    }
    nodes
}

/// Guards against a job that is given up whole because its owner's configuration lacks the route that was just added.
#[test]
fn a_job_on_a_route_that_its_owner_does_not_know_yet_is_not_given_up() {
    let platform = Platform::start();
    let nodes = nodes_with_an_owner(&platform, &["owner", "other"]);
    platform.store.silence_watches(Some("op"));
    add_job_route(&platform, 2, "/late/", 3);
    assert_eq!(submit_under(&nodes[1], "/late/", "job1", 6), 202);
    assert_completed(&read_results(&nodes[1], "job1", 6));
    platform.store.silence_watches(None);
}

/// Guards against a job that is given up because the node that takes it over does not know its route yet.
#[test]
fn a_job_that_a_lagging_node_takes_over_is_not_given_up() {
    let platform = Platform::start();
    let mut nodes = nodes_with_an_owner(&platform, &["owner", "second", "third"]);
    platform.engine.event_interval_ms.store(300, Ordering::SeqCst);
    platform.store.silence_watches(Some("op"));
    add_job_route(&platform, 2, "/late/", 3);
    assert_eq!(submit_under(&nodes[1], "/late/", "job1", 4), 202);
    eventually("its items run", || platform.engine.runs.lock().unwrap().iter().any(|run| run.starts_with("job1")));
    // The node that accepted the job knows the route; the third one does not.
    for node in &mut nodes[..2] {
        node.signal("-KILL");
        node.wait_end();
    }
    assert_completed(&read_results(&nodes[2], "job1", 4));
    platform.store.silence_watches(None);
}

/// Guards against limits of attempts that are taken from the configuration that a lagging owner has.
#[test]
fn a_job_has_the_limits_of_the_configuration_that_accepted_it() {
    let platform = Platform::start();
    add_job_route(&platform, 2, "/late/", 1);
    let nodes = nodes_with_an_owner(&platform, &["owner", "other"]);
    platform.store.silence_watches(Some("op"));
    add_job_route(&platform, 3, "/late/", 4);
    add_job_route(&platform, 4, "/later/", 4);
    // The node reads the configuration again for the route that it does not know.
    assert_eq!(submit_under(&nodes[1], "/later/", "job1", 2), 202);
    let item = "job2-item-0";
    platform.engine.item_statuses.lock().unwrap().insert(item.into(), 500);
    assert_eq!(submit_under(&nodes[1], "/late/", "job2", 2), 404, "version 4 has one added route");
    assert_eq!(submit_under(&nodes[1], "/later/", "job2", 2), 202);
    read_results(&nodes[1], "job2", 2);
    let runs = platform.engine.runs.lock().unwrap();
    assert_eq!(runs.iter().filter(|run| run.starts_with(item)).count(), 4, "{runs:?}");
}

/// Guards against limits that stay as they were when the job was accepted.
#[test]
fn a_changed_limit_of_attempts_applies_to_jobs_that_run() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    platform.engine.event_interval_ms.store(300, Ordering::SeqCst);
    platform.engine.item_statuses.lock().unwrap().insert("job1-item-0".into(), 503);
    assert_eq!(submit(&daemon, "job1", 2), 202);
    platform.reconfigure(2, |config| {
        let route = config["routes"].as_array_mut().unwrap().last_mut().unwrap();
        route["max_attempts"] = json!(6);
    });
    std::thread::sleep(Duration::from_millis(500));
    let runs = || platform.engine.runs.lock().unwrap().iter().filter(|run| run.starts_with("job1-item-0")).count();
    let before = runs();
    platform.engine.item_statuses.lock().unwrap().insert("job1-item-0".into(), 500);
    let results = read_results(&daemon, "job1", 2);
    let given_up = results.iter().find(|result| result["id"] == "job1-item-0").unwrap();
    assert_eq!(given_up["state"], "down");
    assert!((6..=7).contains(&(runs() - before)), "{} runs", runs() - before);
}

/// The items of a job end when the operator removes its route, at once and with all their runs.
#[test]
fn a_removed_route_ends_the_items_of_its_jobs_in_time() {
    let platform = Platform::start();
    let nodes = nodes_with_an_owner(&platform, &["owner", "other"]);
    platform.engine.event_interval_ms.store(1_000, Ordering::SeqCst);
    assert_eq!(submit(&nodes[1], "job1", 4), 202);
    eventually("its items run", || platform.engine.runs.lock().unwrap().iter().any(|run| run.starts_with("job1")));
    platform.reconfigure(2, |config| {
        config["routes"].as_array_mut().unwrap().pop();
    });
    let removed_at = Instant::now();
    let results = read_results(&nodes[1], "job1", 4);
    assert!(results.iter().all(|result| result["state"] == "down"), "{results:?}");
    assert!(removed_at.elapsed() < Duration::from_secs(2), "{:?}", removed_at.elapsed());
}

/// Guards against an item that is given up by the default limit because its score call's route is newer than the
/// configuration of the owner, and by the limit of the route that scores another item of the job.
#[test]
fn an_item_has_the_limit_of_the_route_that_scores_it() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    let mut body: Value = serde_json::from_str(&job_body_of("job1", 2, 1)).unwrap();
    body["requests"][1]["scorer"]["path"] = json!("/patient/score");
    let headers = [("request-id", "job1")];
    assert_eq!(call(&daemon.client, "POST", "/jobs/job1", &headers, &body.to_string()).unwrap().status, 202);
    eventually("the text of both items is there", || platform.engine.runs.lock().unwrap().len() == 2);
    std::thread::sleep(Duration::from_millis(500));
    platform.plain.failing_scores.store(4, Ordering::SeqCst);
    platform.reconfigure(2, |config| {
        let routes = config["routes"].as_array_mut().unwrap();
        let mut route = routes[0].clone();
        (route["name"], route["prefix"], route["max_attempts"]) = (json!("patient"), json!("/patient/"), json!(6));
        routes.push(route);
    });
    assert_completed(&read_results(&daemon, "job1", 2));
}
