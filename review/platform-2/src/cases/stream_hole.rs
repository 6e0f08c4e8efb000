//! An engine spoils one event of a stream that a client reads, and the stream is resumed at another engine.

use super::Context;
use super::deployment::{self, HOST, MODEL, STREAM_PREFIX, ZONES};
use crate::http;
use crate::nodes::{self, Node};
use crate::servers::Seen;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Clients that ask for streams at the same time, each for one after the other.
const CLIENTS: usize = 30;

/// Streams of each client.
const STREAMS: usize = 12;

/// Time from the first stream until an answer is spoiled.
const SPOIL_DELAY: Duration = Duration::from_millis(2_000);

/// Fewest answers of the engine that spoils one: `x` of `garble` is 0.02.
const MIN_ANSWERS: usize = 50;

/// Longest time in which it gives these answers: `for_s` of `garble`.
const GARBLE_TIME: Duration = Duration::from_millis(5_500);

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
    let started = Instant::now();
    let (findings, complete) = (Mutex::new(Vec::new()), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (nodes, findings, complete) = (&nodes, &findings, &complete);
            scope.spawn(move || {
                for number in 0..STREAMS {
                    let (is_complete, finding) = ask_for_stream(context, &nodes[client % nodes.len()], client, number);
                    complete.fetch_add(usize::from(is_complete), Ordering::SeqCst);
                    findings.lock().unwrap().extend(finding);
                }
            });
        }
        if context.has_trouble {
            sleep(SPOIL_DELAY);
            seen.spoil_next_answer();
        }
    });
    let (took, complete, streams) = (started.elapsed(), complete.into_inner(), CLIENTS * STREAMS);
    let runs = seen.runs();
    let spoiler = runs.iter().find(|run| run.is_spoiled).map(|run| run.server.clone());
    let answers = runs.iter().filter(|run| Some(&run.server) == spoiler.as_ref()).count();
    record.line(&format!("note      {complete} of {streams} streams ended as complete, in {} ms", took.as_millis()));
    record.line(&format!("note      {spoiler:?} spoiled one of its {answers} answers; the other engines spoiled none"));
    // More than the pages' dose, and streams of which hardly any ends as complete, show nothing.
    let is_within_dose = !context.has_trouble || (answers >= MIN_ANSWERS && took <= GARBLE_TIME);
    (is_within_dose && complete * 2 > streams).then(|| findings.into_inner().unwrap())
}

/// Asks for a stream. Returns whether it ended as complete, and what broke the rule.
fn ask_for_stream(context: &Context, node: &Node, client: usize, number: usize) -> (bool, Option<String>) {
    let (id, usage) = (format!("stream-{client}-{number}"), format!("16,{EVENTS}"));
    let headers =
        [("host", HOST), ("request-id", &*id), ("deadline-ms", "10000"), ("model", MODEL), ("token-usage", &*usage)];
    let path = format!("{STREAM_PREFIX}{client}/{number}");
    let answer = http::call_chunked(&node.client, &path, &headers, "prompt", CALL_LIMIT);
    let (status, bytes, is_complete) = answer.unwrap_or((0, Vec::new(), false));
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let ids: Vec<u64> = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    let end = if is_complete { "complete" } else { "broken off" };
    context.record.line(&format!("sent      POST {path} to {}: {status}, events {ids:?}, {end}", node.name));
    let is_complete = status == 200 && is_complete;
    let expected: Vec<u64> = (1..=EVENTS).collect();
    if !is_complete || ids == expected {
        return (is_complete, None);
    }
    let missing: Vec<u64> = expected.into_iter().filter(|number| !ids.contains(number)).collect();
    let finding = format!("ORDER: {id} at {} ends as complete, and the events {missing:?} are missing", node.name);
    (true, Some(finding))
}
