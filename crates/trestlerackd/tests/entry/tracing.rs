//! Tests of the spans of requests and attempts that a collector receives.

use super::support::*;
use std::sync::{Arc, Mutex};

const TRACE_ID: &str = "4bf92f3577b34da6a3ce929d0e0e4736";
const CALLER_SPAN_ID: &str = "00f067aa0ba902b7";

/// Starts a collector. Returns its endpoint and the bytes that it receives.
fn collector() -> (String, Arc<Mutex<Vec<u8>>>) {
    let received = Arc::<Mutex<Vec<u8>>>::default();
    let sink = received.clone();
    let address = serve(move |request, stream| {
        sink.lock().unwrap().extend(request.body);
        reply(stream, 200, &[("content-type", "application/x-protobuf")], "")
    });
    (format!("http://{address}/v1/traces"), received)
}

fn contains(bytes: &[u8], part: &[u8]) -> bool {
    bytes.windows(part.len()).any(|window| window == part)
}

#[test]
fn each_hop_of_a_request_has_a_span_below_the_callers_span() {
    let platform = Platform::start();
    let (endpoint, received) = collector();
    let settings = DaemonSettings {
        store: platform.store.address.to_string(),
        otlp_endpoint: endpoint,
        ..DaemonSettings::default()
    };
    let mut daemon = EntryDaemon::start_with("a", &settings);
    let context = format!("00-{TRACE_ID}-{CALLER_SPAN_ID}-01");
    let headers = [("request-id", "r1"), ("traceparent", context.as_str())];
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &headers, "x").unwrap().status, 200);
    let contexts = platform.plain.trace_contexts.lock().unwrap().clone();
    assert_eq!(contexts.len(), 1);
    assert!(contexts[0].contains(TRACE_ID) && !contexts[0].contains(CALLER_SPAN_ID), "{contexts:?}");
    // A planned stop exports the remaining spans.
    daemon.signal("-TERM");
    assert!(daemon.wait_end());
    let received = received.lock().unwrap();
    let trace: Vec<u8> =
        (0..TRACE_ID.len()).step_by(2).map(|at| u8::from_str_radix(&TRACE_ID[at..at + 2], 16).unwrap()).collect();
    for part in [b"request".as_slice(), b"attempt", b"i-plain-", &trace] {
        assert!(contains(&received, part), "{part:?} in {} bytes", received.len());
    }
}

#[test]
fn without_a_collector_requests_get_no_trace_context() {
    let platform = Platform::start();
    let daemon = EntryDaemon::start("a", &platform.store, &[]);
    assert_eq!(call(&daemon.client, "POST", "/safe/x", &[("request-id", "r1")], "x").unwrap().status, 200);
    assert!(platform.plain.trace_contexts.lock().unwrap().is_empty());
}
