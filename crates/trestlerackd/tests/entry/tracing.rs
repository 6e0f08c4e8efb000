//! Spans of requests and of their attempts, at a collector.

use super::support::*;
use std::sync::{Arc, Mutex};

const TRACE: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLER_SPAN: &str = "00f067aa0ba902b7";

/// A collector that keeps what it is sent.
fn collector() -> (String, Arc<Mutex<Vec<u8>>>) {
    let received = Arc::<Mutex<Vec<u8>>>::default();
    let kept = received.clone();
    let address = serve(move |request, stream| {
        kept.lock().unwrap().extend(request.body);
        reply(stream, 200, &[("content-type", "application/x-protobuf")], "")
    });
    (format!("http://{address}/v1/traces"), received)
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

#[test]
fn a_request_has_a_span_for_each_hop_below_its_callers() {
    let platform = Platform::start();
    let (endpoint, received) = collector();
    let settings = DaemonSettings {
        store: platform.store.address.to_string(),
        otlp_endpoint: endpoint,
        ..DaemonSettings::default()
    };
    let mut daemon = EntryDaemon::start_with("a", &settings);
    let context = format!("00-{TRACE}-{CALLER_SPAN}-01");
    let headers = [("request-id", "r1"), ("traceparent", context.as_str())];
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &headers, "x").unwrap().status, 200);
    let contexts = platform.plain.trace_contexts.lock().unwrap().clone();
    assert_eq!(contexts.len(), 1);
    assert!(contexts[0].contains(TRACE) && !contexts[0].contains(CALLER_SPAN), "{contexts:?}");
    // A planned stop exports what is left.
    daemon.signal("-TERM");
    assert!(daemon.wait_end());
    let received = received.lock().unwrap();
    let trace: Vec<u8> =
        (0..TRACE.len()).step_by(2).map(|at| u8::from_str_radix(&TRACE[at..at + 2], 16).unwrap()).collect();
    for part in [b"request".as_slice(), b"attempt", b"i-plain-", &trace] {
        assert!(contains(&received, part), "{part:?} in {} bytes", received.len());
    }
}

#[test]
fn without_a_collector_nothing_is_added_to_a_request() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "x").unwrap().status, 200);
    assert!(platform.plain.trace_contexts.lock().unwrap().is_empty());
}
