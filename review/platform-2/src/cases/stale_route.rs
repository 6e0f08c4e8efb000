//! A job on a new route, accepted by one node and driven by another one whose watch has not shown the route yet.

use super::Context;
use super::deployment::{self, Client, JobShape, MAX_WAIT, ZONES};
use crate::nodes::{self, Node};
use crate::servers::Seen;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Events of each text.
const EVENTS: u64 = 8;

/// Items of each job.
const ITEMS: usize = 24;

/// Time for which watches hear nothing: the second that `fleetbench kinds` names for `platform_compact`.
const DEAF_TIME: Duration = Duration::from_secs(1);

/// Time from the acknowledgement of the configuration to the submission.
const SUBMIT_DELAY: Duration = Duration::from_millis(150);

pub fn run(context: &Context) -> Option<Vec<String>> {
    let record = &context.record;
    let seen = Seen::new(record.clone());
    let store = deployment::start_platform(&seen, "/rollout-a/");
    let names = [("edge-a", "leeds-a"), ("edge-b", "leeds-b"), ("edge-c", "leeds-c")];
    let mut nodes = nodes::prepare(&context.folder, &store.address.to_string(), &ZONES, &names);
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_ready);
    sleep(Duration::from_secs(1));
    let client = Client { context, nodes: &nodes };
    let [first_job, second_job] =
        ["job-1", "job-2"].map(|id| JobShape { id, items: ITEMS, events: EVENTS, ..JobShape::default() });
    // The trainer's first step, at node b, which then drives the jobs of this model.
    client.submit(1, "/rollout-a/", &first_job)?;
    let first = client.read_all(0, &first_job)?;
    if first.iter().any(|result| result.text("state") != "completed") {
        record.line("note      the first job was not completed; the case can't run");
        return None;
    }
    client.end(0, &first_job)?;
    sleep(Duration::from_millis(300));
    if context.has_trouble {
        record.line("trouble   watches of the store hear nothing for a second");
        store.set_deaf(true);
    }
    let changed_at = Instant::now();
    store.put("op", "config", &deployment::configuration(2, &["/rollout-a/", "/rollout-b/"]));
    record.line("config    version 2 acknowledged: route /rollout-b/ added, nothing removed");
    sleep(SUBMIT_DELAY);
    // As PROTOCOL.md says, a client sends a job that was not accepted again, at another node.
    let accepted = client.submit(0, "/rollout-b/", &second_job)?;
    record.line(&format!("accepted  job-2 at {accepted:?} after its first submission"));
    let accepted_at = Instant::now();
    if context.has_trouble {
        sleep(DEAF_TIME.saturating_sub(changed_at.elapsed()));
        store.set_deaf(false);
        store.drop_history();
        record.line("trouble   the history is dropped and the watches are cut");
    }
    let results = client.read_all(2, &second_job)?;
    let age = accepted_at.elapsed();
    let runs = seen.runs();
    let mut findings = Vec::new();
    for result in &results {
        let id = result.text("id");
        let reached = runs.iter().filter(|run| run.id == id).count();
        if result.text("state") == "down" && age < MAX_WAIT {
            findings.push(format!(
                "MIXED: item {id} is down {} ms after the job was accepted, before max_wait_s ({} s); its route is \
                 there, no engine answered 422 or 500, and it reached engines {reached} times",
                age.as_millis(),
                MAX_WAIT.as_secs(),
            ));
        }
    }
    for node in &nodes {
        for line in node.log_lines("its route was removed").into_iter().take(1) {
            record.line(&format!("log       {}: {line}", node.name));
        }
    }
    Some(findings)
}
