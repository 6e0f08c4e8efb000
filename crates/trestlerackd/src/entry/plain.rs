//! Forwards requests to a backend server of their route's service.

use super::admission::{self, ServiceCall};
use super::attempt::CompleteResponse;
use super::client_requests::{ClientRequest, ReplyBody, full_body};
use super::in_flight::InFlightGuard;
use super::node::EntryNode;
use super::request_history::RequestHistory;
use super::resource_limits::ResponseReservation;
use super::{attempts, choice_log, engine_memory, engine_priority, evacuations, placement, shares, streams, suspects};
use crate::process::clock;
use http::{HeaderMap, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{AttemptReason, CallKind, RecoveryRule, ServerEntry, ServerNeed, ServerSet, SlotNeed};
use trestlerack::request::RequestFingerprint;
use trestlerack::version::{RequestRoute, RouteKind};
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform::{self as platform, ServerRequest};

/// Multiple of the target latency after which a repeatable request is tried at another server.
const OVERDUE_FACTOR: u32 = 3;

/// Shortest time that a server has for its response before another one is tried, until the latency of the route
/// is known. An attempt that is given up too early means that the work is done twice.
const INITIAL_OVERDUE_THRESHOLD: Duration = Duration::from_millis(400);

/// Time between two searches for a server while all are paused or gone.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which a client is told to retry if no server accepted its request.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Time after which a client is told to retry if its request exceeds the memory of every engine. Only a new
/// configuration can change that.
const TOO_LARGE_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Fraction of the target latency for which a server is searched before the request is refused.
const SEARCH_FRACTION: f64 = 0.2;

/// Why a request has no response of a server.
pub enum RequestFailure {
    /// No server ran it.
    NotRun,
    /// A server may have run it.
    MayHaveRun,
    /// Its time limit has passed, and a server may have run it.
    TimedOut,
    /// No server ran it, and its caller may retry after this time: its content is blocked because servers crashed
    /// while they ran it, its customer is over its share, or its service has no free slot for it.
    RetryAfter(Duration),
}

impl RequestFailure {
    /// Returns the failure of a request that may be retried after `left`. A request that may have run before keeps
    /// that failure.
    pub fn with_retry_after(self, left: Duration) -> Self {
        match self {
            Self::NotRun | Self::RetryAfter(_) => Self::RetryAfter(left),
            Self::MayHaveRun | Self::TimedOut => self,
        }
    }

    /// Returns the failure of a request that found no server, with the time after which its caller may retry;
    /// `None` if that is not known.
    pub fn with_optional_retry_after(self, retry_after: Option<Duration>) -> Self {
        match retry_after {
            Some(left) => self.with_retry_after(left),
            None => self,
        }
    }
}

/// Forwards a request to a server and returns the reply for the client.
pub async fn serve(node: &Arc<EntryNode>, route: &RequestRoute, request: ClientRequest) -> Response<ReplyBody> {
    let limit = time_limit(route, request.head.time_left);
    let deadline = node.now() + limit;
    let mut history = RequestHistory::new(node, &request, &route.name);
    if engine_memory::is_too_large(node, route, &request) {
        let reply = platform::not_run_reply(request.head.request_id.as_ref(), TOO_LARGE_RETRY_AFTER).map(full_body);
        history.record_response(reply.status());
        return reply;
    }
    let call_usage = match shares::admit(node, route, &request) {
        Ok(call_usage) => call_usage,
        Err(retry_after) => {
            let reply = failure_reply(&request, &RequestFailure::RetryAfter(retry_after), true);
            history.record_response(reply.status());
            return reply;
        }
    };
    if route.streaming {
        let reply = streams::serve(node, route, request, deadline, history).await;
        if reply.status().is_success() {
            call_usage.record_started();
        }
        return reply;
    }
    let attempts = attempts::try_servers(node, route, &request, deadline, &mut history);
    let outcome = clock::timeout(limit, attempts).await.unwrap_or(Err(RequestFailure::TimedOut));
    let reply = match outcome {
        Ok(response) => {
            call_usage.record_served();
            complete_reply(response)
        }
        Err(failure) => failure_reply(&request, &failure, history.tried().is_empty()),
    };
    history.record_response(reply.status());
    reply
}

/// Returns the time limit of a request whose client allows `time_left`.
pub fn time_limit(route: &RequestRoute, time_left: Option<Duration>) -> Duration {
    const NO_LIMIT: Duration = Duration::from_secs(60);
    let route_limit = if route.timeout_ms == 0 { NO_LIMIT } else { Duration::from_millis(route.timeout_ms) };
    time_left.map_or(route_limit, |left| left.min(route_limit))
}

fn complete_reply(response: CompleteResponse) -> Response<ReplyBody> {
    let mut reply = Response::new(full_body(response.body));
    *reply.status_mut() = response.status;
    copy_headers(&response.headers, reply.headers_mut());
    reply.extensions_mut().insert(ResponseReservation::new(response.reservation));
    reply
}

/// Copies the headers that are relayed between clients and servers.
pub fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if platform::is_relayed_header(name) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Builds the reply to a request that has no response of a server.
pub fn failure_reply(request: &ClientRequest, failure: &RequestFailure, is_untried: bool) -> Response<ReplyBody> {
    let id = request.head.request_id.as_ref();
    let reply = match failure {
        RequestFailure::NotRun => platform::not_run_reply(id, DEFAULT_RETRY_AFTER),
        RequestFailure::RetryAfter(left) => platform::not_run_reply(id, *left),
        RequestFailure::TimedOut if is_untried => platform::not_run_reply(id, DEFAULT_RETRY_AFTER),
        RequestFailure::MayHaveRun => platform::plain_reply(StatusCode::BAD_GATEWAY, id, ""),
        RequestFailure::TimedOut => platform::plain_reply(StatusCode::GATEWAY_TIMEOUT, id, ""),
    };
    reply.map(full_body)
}

/// Returns the time after which a repeatable request is overdue at a server: the late threshold of its route, or
/// longer if the target latency allows it.
pub fn overdue_threshold(node: &EntryNode, route: &RequestRoute) -> Duration {
    let late_threshold = node.route_latencies.lock().unwrap().late_threshold(&route.name);
    let by_target = Duration::from_millis(route.target_latency_ms) * OVERDUE_FACTOR;
    by_target.max(late_threshold.unwrap_or(INITIAL_OVERDUE_THRESHOLD))
}

/// Returns for how long the content of a request is blocked, if it is, and logs that.
pub fn check_blocked(node: &EntryNode, request: &ClientRequest, fingerprint: RequestFingerprint) -> Option<Duration> {
    let left = suspects::blocked_for(node, fingerprint, RecoveryRule::Limited)?;
    suspects::log_blocked(node, request.id(), fingerprint, left);
    Some(left)
}

/// Finds a server that was not tried yet, or returns after which time the client may retry, if that is known.
pub async fn find_server(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: &ClientRequest,
    fingerprint: RequestFingerprint,
    deadline: Timestamp,
    history: &mut RequestHistory,
) -> Result<InFlightGuard, Option<Duration>> {
    // A stream that is resumed queues like a call that arrives now.
    let arrived = if is_resuming(route, history) { node.now() } else { history.started() };
    let call = service_call(node, route, request, arrived, deadline).ok_or(None)?;
    if let Some(retry_after) = refuse_evacuated(node, &call) {
        return Err(Some(retry_after));
    }
    if placement::lacks_servers(&node.balancer, &call.server_set, call.id, &node.metrics.placement) {
        return Err(None);
    }
    let pick = |slot_need| pick_server(node, route, request, fingerprint, history.tried(), slot_need);
    let found = if admission::is_active(node, &call.server_set.service) {
        find_slot(node, &call, history, pick).await
    } else {
        search_server(node, &call, pick).await.ok_or(None)
    };
    if found.is_err() {
        node.cold.record_unserved(&node.balancer, &node.metrics.cold, node.now(), &call.server_set.service);
    }
    // The last zone of the service may have been evacuated while the call waited.
    let guard = found.map_err(|retry_after| refuse_evacuated(node, &call).or(retry_after))?;
    history.record_server(&guard.server.instance);
    Ok(guard)
}

/// Returns after which time the client may retry if evacuations leave the call's service without a server, so that
/// neither a search nor a wait could find one.
fn refuse_evacuated(node: &EntryNode, call: &ServiceCall<'_>) -> Option<Duration> {
    let ServerSet { service, allowed_zones } = &call.server_set;
    if !node.evacuations.is_service_evacuated(&node.balancer, service, allowed_zones.as_deref()) {
        return None;
    }
    node.evacuations.record_refusal(&node.metrics.evacuations, node.now(), service);
    Some(evacuations::EVACUATED_RETRY_AFTER)
}

/// Describes a client's request as a call for admission control; `None` if its route has no service.
pub fn service_call<'a>(
    node: &EntryNode,
    route: &'a RequestRoute,
    request: &'a ClientRequest,
    arrived: Timestamp,
    deadline: Timestamp,
) -> Option<ServiceCall<'a>> {
    let id = request.id();
    let service = route.service_for(id)?;
    let customer = request.caller.customer();
    let placement = placement::decide(node.routing().as_deref(), route, request.customer());
    let server_set = ServerSet::new(service.clone(), placement.placement());
    Some(ServiceCall { id, server_set, route, customer, kind: CallKind::Client, arrived, deadline })
}

/// Returns whether a client has received a part of its stream, which has to be completed.
fn is_resuming(route: &RequestRoute, history: &RequestHistory) -> bool {
    route.resumable && history.runs() > 0
}

/// Finds a slot for a call in the order of the queue. A call that may have run somewhere does not queue for a
/// second slot, since another call can use that for its first attempt. A stream that has begun does queue.
async fn find_slot(
    node: &Arc<EntryNode>,
    call: &ServiceCall<'_>,
    history: &RequestHistory,
    pick: impl Fn(SlotNeed) -> Option<InFlightGuard>,
) -> Result<InFlightGuard, Option<Duration>> {
    if history.tried().is_empty() {
        admission::record_call(node, call);
    }
    // A call that no server ran yet queues like any other call.
    if history.runs() == 0 || is_resuming(call.route, history) {
        return admission::acquire_slot(node, call, pick).await;
    }
    match pick(SlotNeed::One) {
        Some(guard) => Ok(guard),
        None if admission::try_spend_attempt(node, call, AttemptReason::Retry) => pick(SlotNeed::Any).ok_or(None),
        None => Err(None),
    }
}

/// Records the latency of a response for services whose calls are admitted by free slots.
pub fn record_latency(node: &EntryNode, route: &RequestRoute, request: &ClientRequest, took: Duration) {
    let id = request.id();
    if let Some(service) = route.service_for(id)
        && admission::is_active(node, service)
    {
        node.balancer.lock().unwrap().record_latency(service, took);
    }
}

/// Searches for a server and waits a short time while all are paused. A request that no server can accept is
/// refused early, so that its client can retry in time.
async fn search_server(
    node: &EntryNode,
    call: &ServiceCall<'_>,
    pick: impl Fn(SlotNeed) -> Option<InFlightGuard>,
) -> Option<InFlightGuard> {
    let search = Duration::from_millis(call.route.target_latency_ms).mul_f64(SEARCH_FRACTION);
    let until = node.now() + search;
    loop {
        if let Some(guard) = pick(SlotNeed::Any) {
            return Some(guard);
        }
        if node.now() >= until {
            return None;
        }
        clock::sleep(SEARCH_INTERVAL).await;
    }
}

/// Chooses a server that was not tried yet and has the free slots in `slot_need`.
pub fn pick_server(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: &ClientRequest,
    fingerprint: RequestFingerprint,
    tried: &[Name],
    slot_need: SlotNeed,
) -> Option<InFlightGuard> {
    // A client request accepts any version of its model.
    let model = request.head.model.as_deref();
    let weights = model.map(|model| (model, 0));
    let id = request.head.request_id.clone().unwrap_or_else(|| "".into());
    let service = route.service_for(&id)?;
    let zone = &node.settings.zone;
    let is_repeatable = route.kind == RouteKind::Safe && !route.streaming;
    let tokens = request.head.tokens;
    let placement = placement::decide(node.routing().as_deref(), route, request.customer());
    let need = ServerNeed {
        allowed_zones: placement.allowed_zones(),
        service,
        weights,
        tokens: tokens.as_ref(),
        avoid: tried,
        slot_need,
        zone,
        tie_key: &node.settings.name,
        is_repeatable,
        ..ServerNeed::default()
    };
    engine_memory::log_full_engines(node, &id, &need);
    let entry = suspects::choose_server(node, fingerprint, &need)?;
    let config = node.routing().map_or(0, |routing| routing.version);
    let about: [(&str, &dyn std::fmt::Display); 3] =
        [("request", &id), ("config", &config), ("server", &entry.instance)];
    choice_log::log_choice(node, event::SERVER_CHOSEN, &about, &entry, model);
    Some(InFlightGuard::new(node, entry, fingerprint, placement).with_tokens(tokens))
}

/// Builds the request that is sent to `server` for a client's request. A stream that was interrupted resumes after
/// the event `resume_after`.
pub fn engine_request<'a>(
    node: &EntryNode,
    route: &RequestRoute,
    request: &'a ClientRequest,
    server: &'a ServerEntry,
    left: Duration,
    resume_after: Option<u64>,
) -> ServerRequest<'a> {
    let mut headers = HeaderMap::new();
    copy_headers(&request.headers, &mut headers);
    ServerRequest {
        method: request.method.clone(),
        path: &request.path_and_query,
        host: &request.host,
        request_id: request.id(),
        headers,
        instance: &server.instance,
        customer: request.customer().map(|name| &**name),
        time_left: Some(left),
        priority: engine_priority::of_request(node, route, &server.service, request, left, resume_after),
        exact_version: None,
        resume_after: resume_after.or(request.head.resume_after),
        body: request.body.clone(),
    }
}
