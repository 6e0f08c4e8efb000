//! Jobs that other nodes accept fill the memory of the node that drives them. Not a case; see review/REPORT-2.md.

use super::Context;
use super::deployment::{self, Client, JobShape, ZONES};
use crate::nodes::{self, MEMORY_MB, Node};
use crate::servers::Seen;
use std::thread::sleep;
use std::time::Duration;

const PREFIX: &str = "/rollout-a/";

/// Jobs that are submitted, each about a third of the largest body that the configuration allows.
const JOBS: usize = 20;

/// Bytes of the body of each item.
const BODY_BYTES: usize = 300_000;

/// Pause between two jobs.
const PAUSE: Duration = Duration::from_millis(250);

pub fn run(context: &Context) -> Option<Vec<String>> {
    let record = &context.record;
    let seen = Seen::new(record.clone());
    let store = deployment::start_platform(&seen, PREFIX);
    let names = [("edge-a", "leeds-a"), ("edge-b", "leeds-b"), ("edge-c", "leeds-c")];
    let mut nodes = nodes::prepare(&context.folder, &store.address.to_string(), &ZONES, &names);
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_ready);
    sleep(Duration::from_secs(1));
    // The first job makes edge-b the owner of the model's jobs.
    Client { context, nodes: &nodes }.submit(1, PREFIX, &JobShape { events: 8, ..JobShape::default() })?;
    let mut findings = Vec::new();
    for number in 2..JOBS + 2 {
        let id = format!("job-{number}");
        let job = JobShape { id: &id, items: 24, events: 600, body_bytes: BODY_BYTES, ..JobShape::default() };
        let target = if context.has_trouble { (number % 2) * 2 } else { 1 };
        // One attempt only: a refusal is as good an outcome.
        Client { context, nodes: &nodes[target..=target] }.submit_once(PREFIX, &job);
        sleep(PAUSE);
    }
    for node in &nodes {
        let peak = node.peak_memory_mb();
        record.line(&format!("memory    {}: {peak} MB at most, {MEMORY_MB} MB are allowed", node.name));
        if peak > MEMORY_MB {
            findings.push(format!("Fault: {} used {peak} MB of {MEMORY_MB} MB", node.name));
        }
    }
    Some(findings)
}
