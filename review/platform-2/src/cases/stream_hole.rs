//! An engine spoils one event of a stream that a client reads, and the stream is resumed at another engine.

use super::Context;
use super::deployment::{self, HOST, MODEL, STREAM_PREFIX, ZONES};
use crate::http;
use crate::nodes::{self, Node};
use crate::servers::Seen;
use std::thread::sleep;
use std::time::Duration;

/// Streams that clients ask for, one after the other.
const STREAMS: usize = 50;

/// The stream of which an answer is spoiled: one of 50, `x` of `garble`.
const SPOILED_STREAM: usize = 25;

/// Events of each stream.
const EVENTS: u64 = 12;

/// Time for which a client waits for bytes.
const CALL_LIMIT: Duration = Duration::from_secs(5);

pub fn run(context: &Context) -> Option<Vec<String>> {
    let record = &context.record;
    let seen = Seen::new(record.clone());
    let store = deployment::start_platform(&seen, "/rollout-a/");
    let names = [("edge-a", "leeds-a"), ("edge-b", "leeds-b"), ("edge-c", "leeds-c")];
    let mut nodes = nodes::prepare(&context.folder, &store.address.to_string(), &ZONES, &names);
    nodes.iter_mut().for_each(Node::start);
    nodes.iter().for_each(Node::wait_ready);
    sleep(Duration::from_secs(1));
    let mut findings = Vec::new();
    let mut complete = 0;
    for number in 0..STREAMS {
        if context.has_trouble && number == SPOILED_STREAM {
            seen.spoil_next_answer();
        }
        let node = &nodes[number % nodes.len()];
        let (id, usage) = (format!("stream-{number}"), format!("16,{EVENTS}"));
        let headers = [
            ("host", HOST),
            ("request-id", &*id),
            ("deadline-ms", "10000"),
            ("model", MODEL),
            ("token-usage", &*usage),
        ];
        let path = format!("{STREAM_PREFIX}{number}");
        let (status, bytes, is_complete) = http::call_chunked(&node.client, &path, &headers, "prompt", CALL_LIMIT)?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let ids: Vec<u64> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
        let end = if is_complete { "complete" } else { "broken off" };
        record.line(&format!("sent      POST {path} to {}: {status}, events {ids:?}, {end}", node.name));
        complete += usize::from(status == 200 && is_complete);
        let expected: Vec<u64> = (1..=EVENTS).collect();
        if status == 200 && is_complete && ids != expected {
            let missing: Vec<u64> = expected.into_iter().filter(|number| !ids.contains(number)).collect();
            findings
                .push(format!("ORDER: {id} at {} ends as complete, and the events {missing:?} are missing", node.name));
        }
    }
    record.line(&format!("note      {complete} of {STREAMS} streams ended as complete"));
    // Without streams that end as complete, the check could not fail.
    (complete * 2 > STREAMS).then_some(findings)
}
