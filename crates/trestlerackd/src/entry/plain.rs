//! Requests that are passed on to a backend server of their route's service.

use super::attempt::WholeAnswer;
use super::front::{ClientRequest, ReplyBody, full_reply};
use super::held::AnswerBytes;
use super::node::EntryNode;
use super::room::{self, RoomCall};
use super::server_ticket::ServerTicket;
use super::trail::RequestTrail;
use super::{attempts, choice_log, engine_memory, shares, streams, suspects};
use crate::process::clock;
use http::{HeaderMap, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{AttemptReason, CallKind, ServerNeed, SlotNeed};
use trestlerack::request::RequestFingerprint;
use trestlerack::version::{RequestRoute, RouteKind};
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform::{self as platform, ServerRequest};

/// Target latencies after which a repeatable request is tried at another server.
const PATIENCE_FACTOR: u32 = 3;

/// Shortest time that a server gets to answer before another one is tried, until enough answers on a
/// route are known. A try that is left too early is work done twice.
const FIRST_PATIENCE: Duration = Duration::from_millis(400);

/// Pause before servers are looked for again while all are paused or gone.
const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// Time after which a client is told to return when no server takes its request.
const RETURN_TIME: Duration = Duration::from_millis(150);

/// Time after which a client is told to return whose request no engine's memory can hold: only a new
/// configuration can change that.
const TOO_LARGE_RETURN: Duration = Duration::from_secs(60);

/// Share of the target latency for which a server is looked for before the request is refused.
const SEARCH_SHARE: f64 = 0.2;

/// How a request came out when it has no answer of a server.
pub enum Shortfall {
    /// It ran nowhere.
    NotRun,
    /// It may have run.
    MayHaveRun,
    /// Its time is over, and it may have run.
    TimedOut,
    /// It ran nowhere, and its caller may return after this time: servers ended under what it asks for, its
    /// customer is over its share, or its service has no room for it.
    Held(Duration),
}

impl Shortfall {
    /// Returns how a request comes out that is held after this: what may have run before stays so.
    pub fn or_held(self, left: Duration) -> Self {
        match self {
            Self::NotRun | Self::Held(_) => Self::Held(left),
            Self::MayHaveRun | Self::TimedOut => self,
        }
    }

    /// Returns how a request comes out that found no server, after which its caller may return; `None` where
    /// that is not known.
    pub fn or_returning(self, return_after: Option<Duration>) -> Self {
        match return_after {
            Some(left) => self.or_held(left),
            None => self,
        }
    }
}

/// Passes a request on and returns the reply for the client.
pub async fn serve(node: &Arc<EntryNode>, route: &RequestRoute, request: ClientRequest) -> Response<ReplyBody> {
    let limit = time_limit(route, request.head.time_left);
    let deadline = node.now() + limit;
    let mut trail = RequestTrail::new(node, &request, &route.name);
    if engine_memory::is_too_large(node, route, &request) {
        let reply = platform::not_run_reply(request.head.request_id.as_ref(), TOO_LARGE_RETURN).map(full_reply);
        trail.answered(reply.status());
        return reply;
    }
    let call_use = match shares::ask(node, route, &request) {
        Ok(call_use) => call_use,
        Err(returns) => {
            let reply = failure_reply(&request, &Shortfall::Held(returns), true);
            trail.answered(reply.status());
            return reply;
        }
    };
    if route.streaming {
        let reply = streams::serve(node, route, request, deadline, trail).await;
        if reply.status().is_success() {
            call_use.begun();
        }
        return reply;
    }
    let attempts = attempts::attempt_all(node, route, &request, deadline, &mut trail);
    let outcome = clock::timeout(limit, attempts).await.unwrap_or(Err(Shortfall::TimedOut));
    let reply = match outcome {
        Ok(answer) => {
            call_use.served();
            whole_reply(answer)
        }
        Err(shortfall) => failure_reply(&request, &shortfall, trail.tried().is_empty()),
    };
    trail.answered(reply.status());
    reply
}

/// Returns how long a request may take that its client gives `time_left`.
pub fn time_limit(route: &RequestRoute, time_left: Option<Duration>) -> Duration {
    const NO_LIMIT: Duration = Duration::from_secs(60);
    let route_limit = if route.timeout_ms == 0 { NO_LIMIT } else { Duration::from_millis(route.timeout_ms) };
    time_left.map_or(route_limit, |left| left.min(route_limit))
}

fn whole_reply(answer: WholeAnswer) -> Response<ReplyBody> {
    let mut reply = Response::new(full_reply(answer.body));
    *reply.status_mut() = answer.status;
    copy_headers(&answer.headers, reply.headers_mut());
    reply.extensions_mut().insert(AnswerBytes::new(answer.held));
    reply
}

/// Copies the headers that travel on.
pub fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if platform::is_relayed_header(name) {
            to.append(name.clone(), value.clone());
        }
    }
}

/// Builds the reply to a request without an answer of a server.
pub fn failure_reply(request: &ClientRequest, shortfall: &Shortfall, is_untried: bool) -> Response<ReplyBody> {
    let id = request.head.request_id.as_ref();
    let reply = match shortfall {
        Shortfall::NotRun => platform::not_run_reply(id, RETURN_TIME),
        Shortfall::Held(left) => platform::not_run_reply(id, *left),
        Shortfall::TimedOut if is_untried => platform::not_run_reply(id, RETURN_TIME),
        Shortfall::MayHaveRun => platform::plain_reply(StatusCode::BAD_GATEWAY, id, ""),
        Shortfall::TimedOut => platform::plain_reply(StatusCode::GATEWAY_TIMEOUT, id, ""),
    };
    reply.map(full_reply)
}

/// Returns how long a server gets to answer a repeatable request: what is usual on its route, or longer
/// where the target latency leaves the time.
pub fn patience(node: &EntryNode, route: &RequestRoute) -> Duration {
    let usual = node.route_times.lock().unwrap().late_threshold(&route.name);
    let by_target = Duration::from_millis(route.target_latency_ms) * PATIENCE_FACTOR;
    by_target.max(usual.unwrap_or(FIRST_PATIENCE))
}

/// Returns for how long a request is held, if it is, and logs that.
pub fn hold_back(node: &EntryNode, request: &ClientRequest, fingerprint: RequestFingerprint) -> Option<Duration> {
    let left = suspects::held_for(node, fingerprint)?;
    suspects::log_held(node, request.id(), fingerprint, left);
    Some(left)
}

/// Finds a server that was not tried yet, or returns when the client is to come again, if that is known.
pub async fn find_server(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: &ClientRequest,
    fingerprint: RequestFingerprint,
    deadline: Timestamp,
    trail: &mut RequestTrail,
) -> Result<ServerTicket, Option<Duration>> {
    // A stream that has begun goes on as a new call would.
    let arrived = if goes_on(route, trail) { node.now() } else { trail.started() };
    let call = room_call(route, request, arrived, deadline).ok_or(None)?;
    let pick = |room| pick_server(node, route, request, fingerprint, trail.tried(), room);
    let ticket = if room::is_active(node, call.service) {
        find_place(node, &call, trail, pick).await?
    } else {
        search_server(node, &call, pick).await.ok_or(None)?
    };
    trail.add(&ticket.server.instance);
    Ok(ticket)
}

/// Describes a client's request as a call for a place; `None` if its route has no service.
pub fn room_call<'a>(
    route: &'a RequestRoute,
    request: &'a ClientRequest,
    arrived: Timestamp,
    deadline: Timestamp,
) -> Option<RoomCall<'a>> {
    let id = request.id();
    let service = route.service_for(id)?;
    let customer = request.caller.customer();
    Some(RoomCall { id, service, route, customer, kind: CallKind::Client, arrived, deadline })
}

/// Returns whether a client has got a part of its stream, which is to be finished.
fn goes_on(route: &RequestRoute, trail: &RequestTrail) -> bool {
    route.resumable && trail.runs() > 0
}

/// Finds a place for a call in the order of all that want one. A call that may have run somewhere does
/// not wait for one more place, since another call can use it first; a stream that has begun does.
async fn find_place(
    node: &Arc<EntryNode>,
    call: &RoomCall<'_>,
    trail: &RequestTrail,
    pick: impl Fn(SlotNeed) -> Option<ServerTicket>,
) -> Result<ServerTicket, Option<Duration>> {
    if trail.tried().is_empty() {
        room::note_call(node, call);
    }
    // What ran nowhere yet waits for its place like any other call.
    if trail.runs() == 0 || goes_on(call.route, trail) {
        return room::enter(node, call, pick).await;
    }
    match pick(SlotNeed::One) {
        Some(ticket) => Ok(ticket),
        None if room::may_try_again(node, call, AttemptReason::Retry) => pick(SlotNeed::Any).ok_or(None),
        None => Err(None),
    }
}

/// Records how long an answer took where calls are admitted by that.
pub fn note_work(node: &EntryNode, route: &RequestRoute, request: &ClientRequest, took: Duration) {
    let id = request.id();
    if let Some(service) = route.service_for(id)
        && room::is_active(node, service)
    {
        node.balancer.lock().unwrap().record_latency(service, took);
    }
}

/// Looks for a server. While all are paused for a moment, waits a little; a request that nobody takes is
/// refused early, so that its client can come again in time.
async fn search_server(
    node: &EntryNode,
    call: &RoomCall<'_>,
    pick: impl Fn(SlotNeed) -> Option<ServerTicket>,
) -> Option<ServerTicket> {
    let search = Duration::from_millis(call.route.target_latency_ms).mul_f64(SEARCH_SHARE);
    let until = node.now() + search;
    loop {
        if let Some(ticket) = pick(SlotNeed::Any) {
            return Some(ticket);
        }
        if node.now() >= until {
            return None;
        }
        clock::sleep(SEARCH_PAUSE).await;
    }
}

/// Chooses a server that was not tried yet and has the room that is asked for.
pub fn pick_server(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: &ClientRequest,
    fingerprint: RequestFingerprint,
    tried: &[Name],
    room: SlotNeed,
) -> Option<ServerTicket> {
    // A generation may run under any version of its model.
    let model = request.head.model.as_deref();
    let weights = model.map(|model| (model, 0));
    let id = request.head.request_id.clone().unwrap_or_else(|| "".into());
    let service = route.service_for(&id)?;
    let zone = &node.settings.zone;
    let is_repeatable = route.kind == RouteKind::Safe && !route.streaming;
    let tokens = request.head.tokens;
    let need = ServerNeed {
        service,
        weights,
        tokens: tokens.as_ref(),
        avoid: tried,
        slot_need: room,
        zone,
        tie_key: &node.settings.name,
        is_repeatable,
        ..ServerNeed::default()
    };
    engine_memory::log_left(node, &id, &need);
    let entry = suspects::choose_apart(node, fingerprint, &need)?;
    let config = node.routing().map_or(0, |routing| routing.version);
    let about: [(&str, &dyn std::fmt::Display); 3] =
        [("request", &id), ("config", &config), ("server", &entry.instance)];
    choice_log::write_choice(node, event::SERVER_CHOSEN, &about, &entry, model);
    Some(ServerTicket::new(node, entry, fingerprint).holding(tokens))
}

pub fn engine_request<'a>(request: &'a ClientRequest, instance: &'a str, left: Duration) -> ServerRequest<'a> {
    let mut headers = HeaderMap::new();
    copy_headers(&request.headers, &mut headers);
    ServerRequest {
        method: request.method.clone(),
        path: &request.path_and_query,
        host: &request.host,
        request_id: request.id(),
        headers,
        instance,
        customer: request.customer().map(|name| &**name),
        time_left: Some(left),
        priority: None,
        exact_version: None,
        resume_after: request.head.resume_after,
        body: request.body.clone(),
    }
}
