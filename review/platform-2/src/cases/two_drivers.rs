//! The owner of a job stops responding. Two other nodes take the job over, one from the other, and both run it.

use super::Context;
use super::deployment::{self, Client, JobShape, ZONES};
use crate::nodes::{self, Node};
use crate::servers::{Run, Seen};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PREFIX: &str = "/rollout-a/";

/// Items of each job: two groups.
const ITEMS: usize = 8;

/// Events of each text: the longest that the site file names.
const EVENTS: u64 = 165;

/// Time from the submission to the freeze, in which the owner stores the texts so far.
const RUN_TIME: Duration = Duration::from_millis(1_800);

/// Time for which the machine stands still: `for_s` of `node_freeze` in the site file.
const FREEZE_TIME: Duration = Duration::from_secs(4);

/// Time after which the engine before must have stopped.
const STOP_LIMIT: Duration = Duration::from_millis(400);

pub fn run(context: &Context) -> Option<Vec<String>> {
    let record = &context.record;
    let seen = Seen::new(record.clone());
    let store = deployment::start_platform(&seen, PREFIX);
    let names = [
        ("edge-a", "leeds-a"),
        ("edge-b", "leeds-b"),
        ("edge-c", "leeds-c"),
        ("edge-d", "leeds-a"),
        ("edge-e", "leeds-b"),
    ];
    let mut nodes = nodes::prepare(&context.folder, &store.address.to_string(), &ZONES, &names);
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_ready);
    sleep(Duration::from_secs(1));
    let client = Client { context, nodes: &nodes };
    let job = JobShape { id: "job-1", items: ITEMS, events: EVENTS };
    // The node that accepts the first job of a model drives it.
    client.submit(0, PREFIX, &job)?;
    sleep(RUN_TIME);
    let frozen_at = Instant::now();
    if context.has_trouble {
        record.line("trouble   edge-a stands still");
        nodes[0].signal("-STOP");
    }
    sleep(FREEZE_TIME);
    if context.has_trouble {
        nodes[0].signal("-CONT");
        record.line("trouble   edge-a goes on");
    }
    let results = client.read_all(1, &job)?;
    let completed = results.iter().filter(|result| result.text("state") == "completed").count();
    record.line(&format!("read      {completed} of {ITEMS} items are completed"));
    for node in &nodes {
        for line in node.log_lines("job=job-1").iter().filter(|line| is_about_drivers(line)) {
            record.line(&format!("log       {}: {line}", node.name));
        }
    }
    let runs = seen.runs();
    // Runs that edge-a sent are left out, since it was not in touch. All others were sent by calm machines.
    let is_calm = |run: &&Run| run.started > frozen_at && run.started < frozen_at + FREEZE_TIME;
    let calm: Vec<&Run> = runs.iter().filter(is_calm).collect();
    let mut findings = Vec::new();
    for (number, later) in calm.iter().enumerate() {
        // Score calls are not resumed, and may be repeated.
        let Some(event) = later.resumed_after else { continue };
        let is_before = |run: &&&Run| run.id == later.id && run.server != later.server;
        for earlier in calm[..number].iter().filter(is_before) {
            let worked_on = earlier.ended.unwrap_or_else(Instant::now).saturating_duration_since(later.started);
            if worked_on > STOP_LIMIT {
                findings.push(format!(
                    "TWICE: {} goes on at {} after event {event}, and {} still works on it {} ms later; the machines \
                     that sent it to either were not disrupted",
                    later.id,
                    later.server,
                    earlier.server,
                    worked_on.as_millis(),
                ));
            }
        }
    }
    Some(findings)
}

fn is_about_drivers(line: &str) -> bool {
    ["job-driven", "job-taken", "job-left", "job-not-taken", "owner-silent"].iter().any(|name| line.contains(name))
}
