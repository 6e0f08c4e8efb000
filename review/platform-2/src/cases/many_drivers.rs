//! The owner of a job stands still. Several nodes take the job over, each from the one before, and all of them run it.

use super::Context;
use super::deployment::{self, Client, JobShape, MAX_ATTEMPTS, ZONES};
use crate::nodes::{self, Node};
use crate::servers::{Run, Seen};
use std::thread::sleep;
use std::time::{Duration, Instant};

const PREFIX: &str = "/rollout-a/";

/// Items of the job: two groups. The first item fails at each run.
const ITEMS: usize = 8;

/// Events of each text: the longest that the site file names.
const EVENTS: u64 = 165;

/// Time from the submission to the freeze, in which the owner stores the texts so far.
const RUN_TIME: Duration = Duration::from_millis(1_800);

/// Time for which the machine stands still: `for_s` of `node_freeze` in the site file.
const FREEZE_TIME: Duration = Duration::from_secs(4);

/// Answers of 500, in multiples of `max_attempts`, after which an item must reach no engine again.
const ANSWER_FACTOR: u64 = 3;

/// Most rounds of one run; it ends with the first one that breaks the rule. How many nodes take the job over depends on
/// when each of them asks its owner.
const MAX_ROUNDS: u32 = 5;

/// Pause between two rounds, in which the owner of the last one registers again.
const ROUND_PAUSE: Duration = Duration::from_secs(3);

/// Machines of the site.
const NAMES: [(&str, &str); 9] = [
    ("edge-a-1", "leeds-a"),
    ("edge-a-2", "leeds-a"),
    ("edge-a-3", "leeds-a"),
    ("edge-b-1", "leeds-b"),
    ("edge-b-2", "leeds-b"),
    ("edge-b-3", "leeds-b"),
    ("edge-c-1", "leeds-c"),
    ("edge-c-2", "leeds-c"),
    ("edge-c-3", "leeds-c"),
];

pub fn run(context: &Context) -> Option<Vec<String>> {
    let record = &context.record;
    let seen = Seen::new(record.clone());
    let store = deployment::start_platform(&seen, PREFIX);
    let mut nodes = nodes::prepare(&context.folder, &store.address.to_string(), &ZONES, &NAMES);
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_ready);
    sleep(Duration::from_secs(1));
    for round in 1..=MAX_ROUNDS {
        let id = format!("job-{round}");
        let job = JobShape { id: &id, items: ITEMS, events: EVENTS, first_fails: true, ..JobShape::default() };
        let findings = play_round(context, &nodes, &seen, &job)?;
        if !findings.is_empty() {
            return Some(findings);
        }
        sleep(ROUND_PAUSE);
    }
    Some(Vec::new())
}

/// Submits a job, lets its owner stand still and returns what broke the rule meanwhile.
fn play_round(context: &Context, nodes: &[Node], seen: &Seen, job: &JobShape<'_>) -> Option<Vec<String>> {
    let (record, client) = (&context.record, Client { context, nodes });
    client.submit(0, PREFIX, job)?;
    sleep(RUN_TIME);
    let driven = format!("job={} fence=1", job.id);
    let owner = nodes.iter().position(|node| !node.log_lines(&driven).is_empty())?;
    let frozen_at = Instant::now();
    if context.has_trouble {
        record.line(&format!("trouble   {}, the owner of {}, stands still", nodes[owner].name, job.id));
        nodes[owner].signal("-STOP");
    }
    sleep(FREEZE_TIME);
    let runs = seen.runs();
    if context.has_trouble {
        nodes[owner].signal("-CONT");
        record.line(&format!("trouble   {} goes on", nodes[owner].name));
    }
    let results = client.read_all((owner + 1) % nodes.len(), job)?;
    let completed = results.iter().filter(|result| result.text("state") == "completed").count();
    record.line(&format!("read      {completed} of {ITEMS} items are completed"));
    for node in nodes {
        let lines = node.log_lines(&format!("job={} ", job.id));
        for line in lines.iter().filter(|line| is_about_drivers(line)) {
            record.line(&format!("log       {}: {line}", node.name));
        }
    }
    record_doubled_work(context, &runs, frozen_at);
    client.end((owner + 1) % nodes.len(), job)?;
    Some(excess_runs(&runs, &format!("{}-item-0", job.id), frozen_at))
}

/// Returns the runs of the failing item that began after enough answers of 500. They are judged only while the owner
/// stood still, so each was sent by a calm machine.
fn excess_runs(runs: &[Run], item: &str, frozen_at: Instant) -> Vec<String> {
    let of_item: Vec<&Run> = runs.iter().filter(|run| run.id == item).collect();
    let mut findings = Vec::new();
    for run in of_item.iter().filter(|run| run.started > frozen_at) {
        let has_answered = |other: &&&Run| other.has_failed && other.ended.is_some_and(|ended| ended < run.started);
        let answers = of_item.iter().filter(has_answered).count() as u64;
        if answers >= ANSWER_FACTOR * MAX_ATTEMPTS {
            findings.push(format!(
                "BUDGET: {} reaches {} after {answers} answers of 500; max_attempts is {MAX_ATTEMPTS}",
                run.id, run.server,
            ));
        }
    }
    findings
}

/// Records how long engines worked on the same item at the same time, for calm machines.
fn record_doubled_work(context: &Context, runs: &[Run], frozen_at: Instant) {
    let calm: Vec<&Run> = runs.iter().filter(|run| run.started > frozen_at).collect();
    for (number, later) in calm.iter().enumerate() {
        let Some(event) = later.resumed_after else { continue };
        for earlier in calm[..number].iter().filter(|run| run.id == later.id && run.server != later.server) {
            let worked_on = earlier.ended.unwrap_or_else(Instant::now).saturating_duration_since(later.started);
            context.record.line(&format!(
                "doubled   {} goes on at {} after event {event}, and {} works on it {} ms longer",
                later.id,
                later.server,
                earlier.server,
                worked_on.as_millis(),
            ));
        }
    }
}

fn is_about_drivers(line: &str) -> bool {
    ["job-driven", "job-taken", "job-left", "job-not-taken", "owner-silent"].iter().any(|name| line.contains(name))
}
