//! Requests that are passed on to a backend server of their route's service.

use super::attempt::{self, WholeAnswer};
use super::front::{ClientRequest, ReplyBody, full_reply};
use super::held::AnswerBytes;
use super::node::EntryNode;
use super::server_ticket::ServerTicket;
use super::trail::RequestTrail;
use super::{choice_log, streams, suspects};
use crate::process::clock;
use http::{HeaderMap, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::ServerNeed;
use trestlerack::request::RequestFingerprint;
use trestlerack::version::{RequestRoute, RouteKind};
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform::{self as platform, EngineRequest};

/// Share of the target latency after which a repeatable request is tried at another server.
const PATIENCE_SHARE: u32 = 3;

/// Shortest time that a server gets to answer before another one is tried, until enough answers on a
/// route are known. A try that is left too early is work done twice.
const FIRST_PATIENCE: Duration = Duration::from_millis(400);

/// Pause before servers are looked for again while all are paused or gone.
const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// Time after which a client is told to return when no server takes its request.
const RETURN_TIME: Duration = Duration::from_millis(150);

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
    /// It ran nowhere and is not to be sent for so long: servers ended under what it asks for.
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
}

/// Passes a request on and returns the reply for the client.
pub async fn serve(node: &Arc<EntryNode>, route: &RequestRoute, request: ClientRequest) -> Response<ReplyBody> {
    let limit = time_limit(route, request.head.time_left);
    let deadline = node.now() + limit;
    let mut trail = RequestTrail::new(node, &request, &route.name);
    if route.streaming {
        return streams::serve(node, route, request, deadline, trail).await;
    }
    let attempts = attempt_all(node, route, &request, deadline, &mut trail);
    let outcome = clock::timeout(limit, attempts).await.unwrap_or(Err(Shortfall::TimedOut));
    let reply = match outcome {
        Ok(answer) => whole_reply(answer),
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

/// Tries servers until one answers, the attempts are used up or the request may have run and must
/// not run again.
async fn attempt_all(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: &ClientRequest,
    deadline: Timestamp,
    trail: &mut RequestTrail,
) -> Result<WholeAnswer, Shortfall> {
    let is_safe = route.kind == RouteKind::Safe;
    let fingerprint = request.fingerprint();
    let mut shortfall = Shortfall::NotRun;
    let mut last_answer = None;
    while trail.runs() < route.max_attempts {
        if let Some(left) = hold_back(node, request, fingerprint) {
            shortfall = shortfall.or_held(left);
            break;
        }
        let Some(ticket) = find_server(node, route, request, fingerprint, trail).await else { break };
        let server = ticket.server.instance.clone();
        let left = deadline.since(node.now());
        let is_last = trail.runs() + 1 == route.max_attempts || !is_safe;
        let limit = if is_last { left } else { left.min(patience(node, route)) };
        let engine_request = engine_request(request, &server, left);
        let started = node.now();
        match attempt::whole_answer(node, ticket, engine_request, !is_safe, limit).await {
            // A failure that the server states itself may pass at another one.
            Ok(answer) if is_safe && answer.status.is_server_error() => {
                trail.add_run();
                last_answer = Some(answer);
            }
            Ok(answer) => {
                let took = node.now().since(started);
                node.route_times.lock().unwrap().record(&route.name, took);
                return Ok(answer);
            }
            Err(error) => {
                trail.attempt_failed(&server, &error);
                if error.is_not_run() {
                    trail.did_not_run();
                    continue;
                }
                trail.add_run();
                shortfall = Shortfall::MayHaveRun;
                // Each arrival of what ended several servers takes one more at most.
                if !is_safe || suspects::is_repeated(node, fingerprint) {
                    return Err(shortfall);
                }
            }
        }
    }
    last_answer.ok_or(shortfall)
}

/// Returns how long a server gets to answer a repeatable request: what is usual on its route, or longer
/// where the target latency leaves the time.
fn patience(node: &EntryNode, route: &RequestRoute) -> Duration {
    let usual = node.route_times.lock().unwrap().usual(&route.name);
    let by_target = Duration::from_millis(route.target_latency_ms) * PATIENCE_SHARE;
    by_target.max(usual.unwrap_or(FIRST_PATIENCE))
}

/// Returns for how long a request is held, if it is, and logs that.
pub fn hold_back(node: &EntryNode, request: &ClientRequest, fingerprint: RequestFingerprint) -> Option<Duration> {
    let left = suspects::held_for(node, fingerprint)?;
    suspects::log_held(node, request.head.request_id.as_deref().unwrap_or(""), fingerprint, left);
    Some(left)
}

/// Finds a server that was not tried yet. While all are paused for a moment, waits a little; a
/// request that nobody takes is refused early, so that its client can come again in time.
pub async fn find_server(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: &ClientRequest,
    fingerprint: RequestFingerprint,
    trail: &mut RequestTrail,
) -> Option<ServerTicket> {
    let id = request.head.request_id.as_deref().unwrap_or("");
    let service = route.service_for(id)?.clone();
    let search = Duration::from_millis(route.target_latency_ms).mul_f64(SEARCH_SHARE);
    let until = node.now() + search;
    loop {
        if let Some(ticket) = pick_server(node, &service, request, fingerprint, trail.tried()) {
            trail.add(&ticket.server.instance);
            return Some(ticket);
        }
        if node.now() >= until {
            return None;
        }
        clock::sleep(SEARCH_PAUSE).await;
    }
}

fn pick_server(
    node: &Arc<EntryNode>,
    service: &Name,
    request: &ClientRequest,
    fingerprint: RequestFingerprint,
    tried: &[Name],
) -> Option<ServerTicket> {
    // A generation may run under any version of its model.
    let model = request.head.model.as_deref();
    let weights = model.map(|model| (model, 0));
    let id = request.head.request_id.clone().unwrap_or_else(|| "".into());
    let zone = &node.settings.zone;
    let need =
        ServerNeed { service, weights, avoid: tried, zone, tie_key: &node.settings.name, ..ServerNeed::default() };
    let entry = suspects::choose_apart(node, fingerprint, &need)?;
    let config = node.routing().map_or(0, |routing| routing.version);
    let about: [(&str, &dyn std::fmt::Display); 3] =
        [("request", &id), ("config", &config), ("server", &entry.instance)];
    choice_log::write_choice(node, event::SERVER_CHOSEN, &about, &entry, model);
    Some(ServerTicket::new(node, entry, fingerprint))
}

pub fn engine_request<'a>(request: &'a ClientRequest, instance: &'a str, left: Duration) -> EngineRequest<'a> {
    let mut headers = HeaderMap::new();
    copy_headers(&request.headers, &mut headers);
    EngineRequest {
        method: request.method.clone(),
        path: &request.path_and_query,
        host: &request.host,
        request_id: request.head.request_id.as_deref().unwrap_or(""),
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
