//! Items under which servers crashed are still owed, whatever crashed: they are placed again once all is calm.

use super::crash_storms::{EVENT_MS, crash_next_run, read_job, start_long_engines, submit_prompt};
use super::support::*;
use base64::Engine as _;
use base64::prelude::BASE64_STANDARD;
use serde_json::{Value, json};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Time after the last crash under an item within which it is at an engine again: the time in which servers count as
/// disturbed, and the five seconds for which a step may go without one of its items.
const PLACEMENT_LIMIT: Duration = Duration::from_secs(8);

/// How late a node may act on a busy machine.
const SLACK: Duration = Duration::from_secs(1);

/// Guards against an item that is at no engine for ten minutes, because three of its runs were cut at one event and no
/// other server crashed.
#[test]
fn an_item_whose_runs_were_cut_at_one_event_is_completed() {
    let platform = Platform::start_with_counts(2, 0);
    let engines = start_long_engines(&platform, 5);
    let nodes = start_logged_nodes(&platform, &["a", "b"], "one-event");
    submit_prompt(&nodes[0], "job1", "unlucky prompt");
    for runs in 0..3 {
        // A resumed run has sent as many events of its own as the first one when it is cut, at most.
        crash_next_run(&engines, "unlucky prompt", runs, if runs == 0 { 3 } else { 0 });
    }
    let last_crash = Instant::now();
    eventually_with_detail(
        "the item is at an engine again",
        || engines.runs_of("unlucky prompt").len() > 3,
        || suspect_lines(&nodes),
    );
    assert!(suspect_lines(&nodes).contains("content-held"), "it was blocked");
    assert!(last_crash.elapsed() < PLACEMENT_LIMIT + SLACK, "at no engine for {:?}", last_crash.elapsed());
    eventually("the item is recorded", || read_job(&nodes[1], "job1").len() == 1);
}

/// Guards against an item that is given no further trial because bursts of crashes cut the first ones. A node that takes
/// the job over places it, too.
#[test]
fn an_item_whose_trials_were_cut_is_completed_after_a_takeover() {
    let platform = Platform::start_with_counts(2, 0);
    let engines = start_long_engines(&platform, 5);
    let mut nodes = start_logged_nodes(&platform, &["a", "b", "c"], "cut-trials");
    submit_prompt(&nodes[0], "job1", "unlucky prompt");
    for runs in 0..5 {
        crash_next_run(&engines, "unlucky prompt", runs, 0);
        // Another server crashes with each, as in a burst.
        engines.crash_server((engines.runs_of("unlucky prompt")[runs].server + 1) % 5);
    }
    let owner = nodes.iter().position(|node| !node.log_lines("name=job-driven job=job1 ").is_empty()).unwrap();
    nodes[owner].signal("-KILL");
    nodes[owner].wait_end();
    let last_crash = Instant::now();
    eventually_with_detail(
        "the item is at an engine again",
        || engines.runs_of("unlucky prompt").len() > 5,
        || suspect_lines(&nodes),
    );
    assert!(last_crash.elapsed() < PLACEMENT_LIMIT + SLACK, "at no engine for {:?}", last_crash.elapsed());
    eventually("the item is recorded", || read_job(&nodes[(owner + 1) % nodes.len()], "job1").len() == 1);
}

/// Guards against suspects that wait for each other while engines have room: each was in progress at more than one
/// crash, and one engine ran one of them at a time.
#[test]
fn many_items_under_which_servers_crashed_run_together_in_calm() {
    const ITEMS: usize = 16;
    const ENGINES: usize = 4;
    const EVENTS_BEFORE_CRASH: u64 = 80;
    let platform = Platform::start_with_counts(2, 0);
    let engines = start_long_engines(&platform, ENGINES);
    engines.events_per_stream.store(4 * EVENTS_BEFORE_CRASH, Ordering::SeqCst);
    let nodes = start_logged_nodes(&platform, &["a"], "many-suspects");
    let item = |number: usize| {
        let id = format!("job1-item-{number}");
        json!({ "id": id, "path": "/jobs/run", "headers": { "Model": "m" },
            "body": BASE64_STANDARD.encode(format!("prompt {number}")), "tokens": 100, "group": id,
            "scorer": { "id": format!("{id}-score"), "host": "h.example", "path": "/safe/score", "body": "" } })
    };
    let items: Vec<Value> = (0..ITEMS).map(item).collect();
    let body = json!({ "step": 0, "model": "m", "min_version": 1, "target_groups": 1, "requests": items }).to_string();
    assert_eq!(call(&nodes[0].client, "POST", "/jobs/job1", &[("request-id", "job1")], &body).unwrap().status, 202);
    let running = || engines.runs.lock().unwrap().len();
    for round in 1..=2 {
        eventually("all items run", || running() >= round * ITEMS);
        // So far that a run which is cut there takes long to get further.
        std::thread::sleep(Duration::from_millis(EVENTS_BEFORE_CRASH * EVENT_MS as u64));
        (0..ENGINES).for_each(|engine| engines.crash_server(engine));
        std::thread::sleep(Duration::from_millis(600));
    }
    let last_crash = Instant::now();
    eventually("all items run again", || {
        let runs = engines.runs.lock().unwrap();
        (0..ITEMS).all(|number| runs.iter().filter(|run| run.id == format!("job1-item-{number}")).count() > 2)
    });
    assert!(last_crash.elapsed() < Duration::from_secs(5), "{:?}", last_crash.elapsed());
    assert_eq!(engines.crash_count(), 0, "no server crashed under a request");
    eventually("all items are recorded", || read_job(&nodes[0], "job1").len() == ITEMS);
}
