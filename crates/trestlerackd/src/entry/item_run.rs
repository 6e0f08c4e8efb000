//! One run of a job item on one model engine.

use super::attempt::{self, AttemptError, StreamingResponse};
use super::in_flight::{InFlightGuard, SendPermission};
use super::job_driver::JobDriver;
use super::job_runs;
use super::node::EntryNode;
use super::resource_limits::StreamMemory;
use super::{crash_detection, server_responses, shares, suspects};
use crate::process::clock;
use crate::process::logs;
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use http_body_util::BodyExt;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{EventPace, RunTimeouts, shows_preemption};
use trestlerack::request::{JobItem, RunEnd, RunKind, TranscriptError};
use trestlerack::version::WeightVersion;
use trestlerack::{Name, event};
use trestlerack_platform::{EventDecoder, ServerRequest};

/// Duration from which a run that completed is logged too; other ends are always logged.
const LONG_RUN_TIME: Duration = Duration::from_secs(3);

/// Deadline of one run where the route sets no time limit for jobs. Runs without progress are cancelled long
/// before it; it bounds the work that continues at an engine after its node has crashed.
const DEFAULT_RUN_TIMEOUT: Duration = Duration::from_secs(60);

/// Which run of which item to start.
#[derive(Clone, Copy)]
pub struct RunStart {
    /// Position of the item in its job.
    pub index: usize,
    /// Whether this is the primary or the speculative run.
    pub kind: RunKind,
    /// Priority of the run that is sent to the engine.
    pub priority: Option<u8>,
}

/// A run with the statistics that its log line reports.
struct RunTrace {
    index: usize,
    kind: RunKind,
    priority: Option<u8>,
    events: u64,
    longest_gap: Duration,
}

/// Runs an item and reports the outcome to its driver.
pub async fn run(node: Arc<EntryNode>, driver: Arc<JobDriver>, start: RunStart, guard: InFlightGuard) {
    let RunStart { index, kind, priority } = start;
    let engine = guard.server.instance.clone();
    let started = node.now();
    let mut trace = RunTrace { index, kind, priority, events: 0, longest_gap: Duration::ZERO };
    let call_usage = shares::count_call(&node, &guard.server.service, driver.customer.as_ref());
    let (end, why) = attempt_run(&node, &driver, &mut trace, guard).await;
    let item = &driver.spec.items[index];
    let took = node.now().since(started);
    if end != RunEnd::Complete || took >= LONG_RUN_TIME {
        let fields: [(&str, &dyn std::fmt::Display); 9] = [
            ("lane", &kind.as_str()),
            ("item", &item.id),
            ("job", &driver.spec.id),
            ("engine", &engine),
            ("end", &end.as_str()),
            ("why", &why),
            ("events", &trace.events),
            ("longest_gap_ms", &trace.longest_gap.as_millis()),
            ("ms", &took.as_millis()),
        ];
        logs::write(event::RUN_ENDED, &fields);
    }
    if end == RunEnd::Complete {
        call_usage.record_served();
    }
    node.metrics.record_run(end);
    job_runs::record_run_end(&node, &driver, index, kind, end);
}

/// Permission to send an item or its score call, which is asked once more when its connection is open.
pub struct ItemPermission {
    /// Node that sends it.
    pub node: Arc<EntryNode>,
    /// Driver of its job.
    pub driver: Arc<JobDriver>,
}

impl SendPermission for ItemPermission {
    fn may_send(&self) -> bool {
        self.driver.may_start(&self.node)
    }
}

async fn attempt_run(
    node: &Arc<EntryNode>,
    driver: &Arc<JobDriver>,
    trace: &mut RunTrace,
    guard: InFlightGuard,
) -> (RunEnd, String) {
    let item = &driver.spec.items[trace.index];
    let instance = guard.server.instance.clone();
    let (resume_after, exact_version) = match trace.kind {
        RunKind::Primary => {
            let tracker = driver.tracker.lock().unwrap();
            (tracker.transcript(trace.index).last_event, tracker.pinned_version(trace.index))
        }
        RunKind::Speculative => (None, None),
    };
    let request = ServerRequest {
        method: Method::POST,
        path: &item.path,
        host: &driver.spec.host,
        request_id: &item.id,
        headers: item_headers(item),
        instance: &instance,
        customer: driver.customer.as_deref(),
        time_left: Some(run_timeout(node, driver)),
        priority: trace.priority,
        exact_version,
        resume_after,
        body: item.body.clone(),
    };
    if !driver.may_start(node) {
        return (RunEnd::NotRun, "the job may have ended or have another driver".into());
    }
    let guard = guard.with_permission(ItemPermission { node: node.clone(), driver: driver.clone() });
    let timeouts =
        RunTimeouts::for_event_gap(node.balancer.lock().unwrap().median_pace(node.now(), &guard.server.service));
    let opening = attempt::open_response(node, guard, request, false);
    let open = match clock::timeout(timeouts.response_head, opening).await {
        Ok(Ok(open)) => open,
        Ok(Err(AttemptError::MayHaveRun(detail))) => return (RunEnd::Broken, detail),
        Ok(Err(error)) => return (RunEnd::NotRun, error.to_string()),
        Err(_) => {
            node.balancer.lock().unwrap().failed(node.now(), &instance);
            return (RunEnd::Broken, "no response head in time".into());
        }
    };
    match open.status {
        StatusCode::OK => read_events(node, driver, trace, open, timeouts).await,
        StatusCode::UNPROCESSABLE_ENTITY => (RunEnd::Rejected, "the engine rejected the item permanently".into()),
        StatusCode::INTERNAL_SERVER_ERROR => (RunEnd::Failed, "the engine reported a failure".into()),
        // The deadline passed, or a component in front of the engine failed; it does not count against the item.
        status => {
            node.balancer.lock().unwrap().failed(node.now(), &instance);
            (RunEnd::Broken, format!("the engine responded with {status}"))
        }
    }
}

/// Returns the time until the job's items are given up, or [`DEFAULT_RUN_TIMEOUT`] if its route sets no limit.
fn run_timeout(node: &EntryNode, driver: &JobDriver) -> Duration {
    let routing = node.routing();
    let route = routing.as_ref().and_then(|routing| routing.select(&driver.spec.host, &driver.spec.path));
    let Some(give_up_ms) = route.map(|route| route.give_up_ms).filter(|give_up_ms| *give_up_ms > 0) else {
        return DEFAULT_RUN_TIMEOUT;
    };
    let age_ms = node.store.clock_ms().saturating_sub(driver.accepted_ms);
    Duration::from_millis(give_up_ms.saturating_sub(age_ms))
}

fn item_headers(item: &JobItem) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let (name, value) = (HeaderName::from_bytes(name.as_bytes()), HeaderValue::from_str(value));
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.insert(name, value);
        }
    }
    headers
}

async fn read_events(
    node: &Arc<EntryNode>,
    driver: &Arc<JobDriver>,
    trace: &mut RunTrace,
    open: StreamingResponse,
    timeouts: RunTimeouts,
) -> (RunEnd, String) {
    let StreamingResponse { mut body, lease, guard, head, span: _span, .. } = open;
    let instance = guard.server.instance.clone();
    let item = &driver.spec.items[trace.index];
    let model = driver.spec.model_of(item);
    let mut version = head.version;
    record_version(node, &instance, model.as_ref(), version);
    let mut decoder = EventDecoder::default();
    let mut memory = StreamMemory::new(node.resource_limits.memory.clone());
    let mut pace = EventPace::default();
    let mut event_at = node.now();
    loop {
        // Bytes that complete no event do not prolong the wait, also if there are always some.
        let left = (event_at + timeouts.event_gap).since(node.now());
        let frame = match clock::timeout(left, body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => {
                node.balancer.lock().unwrap().failed(node.now(), &instance);
                crash_detection::check_broken_connection(node, &guard, &item.id).await;
                return (RunEnd::Broken, error.to_string());
            }
            Ok(None) => break,
            Err(_) => {
                node.balancer.lock().unwrap().failed(node.now(), &instance);
                return (RunEnd::Broken, "no event in time".into());
            }
        };
        let Some(bytes) = frame.data_ref() else { continue };
        let decoded = decoder.feed(bytes).map_err(|error| error.to_string());
        let events = match decoded.and_then(|events| memory.hold(decoder.buffered_bytes()).map(|()| events)) {
            Ok(events) => events,
            Err(error) => {
                server_responses::record_endless(node, &guard, &error);
                return (RunEnd::Broken, error);
            }
        };
        match events.is_empty() {
            false => event_at = node.now(),
            true if left.is_zero() => {
                node.balancer.lock().unwrap().failed(node.now(), &instance);
                return (RunEnd::Broken, "no event in time".into());
            }
            true => {}
        }
        suspects::record_events(node, &guard, events.iter().map(|event| event.number));
        let gap = record_pace(node, &instance, &mut pace, events.len());
        detect_preemption(node, driver, trace, &guard.server.service, gap);
        trace.longest_gap = gap.max(trace.longest_gap);
        trace.events += events.len() as u64;
        for event in events {
            if event.version.is_some() {
                version = event.version;
                record_version(node, &instance, model.as_ref(), version);
            }
            let appended = driver.tracker.lock().unwrap().append(trace.index, trace.kind, &event, version);
            match appended {
                Ok(()) => {}
                // The whole text is of no use, since nobody knows which of its events are the item's.
                Err(TranscriptError::TooLong) => {
                    let why = format!("event {} is beyond the end of any text of the item", event.number);
                    server_responses::record_endless(node, &guard, &why);
                    driver.tracker.lock().unwrap().discard_run_text(trace.index, trace.kind);
                    return (RunEnd::Broken, why);
                }
                Err(error) => {
                    return (RunEnd::Broken, format!("event {} cannot be used: {}", event.number, error.as_str()));
                }
            }
        }
    }
    if !decoder.is_between_events() {
        return (RunEnd::Broken, "the stream ended within an event".into());
    }
    node.balancer.lock().unwrap().succeeded(&instance);
    suspects::record_response(node, &guard);
    if !head.is_closing {
        node.pool.keep(lease, head.idle_timeout);
    }
    (RunEnd::Complete, String::new())
}

fn record_version(node: &EntryNode, instance: &Name, model: Option<&Name>, version: Option<WeightVersion>) {
    if let (Some(model), Some(version)) = (model, version) {
        node.balancer.lock().unwrap().record_version(instance, model, version);
    }
}

/// Records the pace of events that arrived together. Returns the time since the previous ones.
fn record_pace(node: &EntryNode, instance: &Name, pace: &mut EventPace, events: usize) -> Duration {
    if events == 0 {
        return Duration::ZERO;
    }
    let (since_boot, monotonic) = clock::boot_and_monotonic_time();
    let Some(sample) = pace.record_arrival(since_boot, monotonic, events) else { return Duration::ZERO };
    node.balancer.lock().unwrap().record_event_gap(node.now(), instance, sample.pace);
    sample.gap
}

/// Marks the item as preempted if a gap between events shows that the engine preempted the run.
fn detect_preemption(node: &EntryNode, driver: &JobDriver, trace: &RunTrace, service: &str, gap: Duration) {
    // Most gaps are shorter than the longest one so far, so they need no comparison with the median pace.
    if gap <= trace.longest_gap || trace.kind == RunKind::Speculative {
        return;
    }
    let median_pace = node.balancer.lock().unwrap().median_pace(node.now(), service);
    if shows_preemption(gap, median_pace) {
        driver.tracker.lock().unwrap().mark_preempted(trace.index);
    }
}
