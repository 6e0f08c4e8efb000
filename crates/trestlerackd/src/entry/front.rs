//! Serves clients: reads each request and hands it to what it is about.

use super::callers::{self, CallerDecision};
use super::node::EntryNode;
use super::resource_limits::{self, BodyRefusal};
use super::{job_accept, job_calls, plain};
use crate::process::logs;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use opentelemetry::trace::SpanKind;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{MemoryPurpose, MemoryReservation};
use trestlerack::request::{RequestContent, RequestFingerprint};
use trestlerack::version::{CallerCredential, CallerIdentity, RouteKind, RoutingTable};
use trestlerack::{Name, event};
use trestlerack_platform::{self as platform, ClientOperation, RequestHead};

/// Time after which a client is told to return while this node knows no configuration.
const NO_CONFIG_RETURN: Duration = Duration::from_millis(200);

/// Time after which a client is told to return whose key or route could not be looked up.
const UNSURE_RETURN: Duration = Duration::from_millis(300);

/// Time after which a client is told to return for whose body there is no room. Those before it are read
/// by then, or are refused for their pace.
const ROOM_RETURN: Duration = Duration::from_millis(500);

/// Time for a body whose request no route matches.
const UNROUTED_BODY_TIME: Duration = Duration::from_secs(5);

/// Body of a reply.
pub type ReplyBody = UnsyncBoxBody<Bytes, BrokenReply>;

/// Why a reply breaks off; hyper then closes the connection without ending the reply.
pub type BrokenReply = Box<dyn std::error::Error + Send + Sync>;

/// A request that was read whole.
pub struct ClientRequest {
    /// Method.
    pub method: Method,
    /// Host that selects the route.
    pub host: Name,
    /// Path without its query.
    pub path: Name,
    /// Path with its query.
    pub path_and_query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// What the headers say.
    pub head: RequestHead,
    /// Who it is served for.
    pub caller: CallerIdentity,
    /// Body.
    pub body: Bytes,
    /// Count of the bytes of the body, which are given back with the request.
    pub held: MemoryReservation,
}

impl ClientRequest {
    /// Returns the id of the request; empty if it has none.
    pub fn id(&self) -> &str {
        self.head.request_id.as_deref().unwrap_or("")
    }

    /// Returns the name of the customer that the request is served for.
    pub fn customer(&self) -> Option<&Name> {
        self.caller.customer().map(|customer| &customer.name)
    }

    /// Drops the body, of which nothing more is needed.
    pub fn drop_body(&mut self) {
        self.body = Bytes::new();
        self.held.resize(0);
    }

    /// Returns the fingerprint of what the request asks for.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let customer = self.customer().map(|name| &**name);
        RequestContent { customer, host: &self.host, path: &self.path_and_query, body: &self.body }.fingerprint()
    }
}

/// Builds a reply body that is whole.
pub fn full_reply(body: impl Into<Bytes>) -> ReplyBody {
    Full::new(body.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Answers a request.
pub async fn answer(node: &Arc<EntryNode>, request: Request<Incoming>) -> Response<ReplyBody> {
    let (mut parts, body) = request.into_parts();
    let credential = platform::take_credential(&mut parts.headers);
    let head = platform::decode_request_head(&parts.headers);
    let id = head.request_id.clone();
    let span = node.hop("request", SpanKind::Server, &mut parts.headers);
    if let Some(span) = &span {
        span.set("request", or_empty(&id).to_string());
    }
    let Some(routing) = node.routing() else {
        logs::write(event::REQUEST_REFUSED, &[("request", &or_empty(&id)), ("why", &"no configuration is known")]);
        return platform::not_run_reply(id.as_ref(), NO_CONFIG_RETURN).map(full_reply);
    };
    let host = parts.headers.get(header::HOST).and_then(|value| value.to_str().ok()).unwrap_or("");
    let mut request = ClientRequest {
        host: host.into(),
        path: parts.uri.path().into(),
        path_and_query: parts.uri.path_and_query().map_or_else(String::new, ToString::to_string),
        method: parts.method,
        headers: parts.headers,
        head,
        caller: CallerIdentity::Unknown,
        body: Bytes::new(),
        held: node.held.ledger.reserve(MemoryPurpose::Bodies, 0),
    };
    if let Err(refusal) = take_body(node, &routing, &mut request, body).await {
        return refusal;
    }
    let call = platform::classify_request(&request.method, &request.path, parts.uri.query().unwrap_or(""));
    let mut reply = match identify(node, &routing, &call, &mut request, &credential).await {
        Ok(()) => {
            if let Some(customer) = request.caller.customer() {
                request.held.set_customer(&customer.name);
            }
            dispatch(node, call, request).await
        }
        Err(refusal) => refusal,
    };
    if node.is_stopping() {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(span) = span {
        span.set("status", reply.status().as_u16().to_string());
    }
    reply
}

/// Reads the body of a request, or returns the reply that refuses it.
async fn take_body(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    request: &mut ClientRequest,
    body: Incoming,
) -> Result<(), Response<ReplyBody>> {
    let route = routing.select(&request.host, &request.path);
    let time_left = request.head.time_left;
    let limit = route.map_or(UNROUTED_BODY_TIME, |route| plain::time_limit(route, time_left));
    let id = or_empty(&request.head.request_id);
    match resource_limits::read_body(node, &id, body, routing.limits.max_body_bytes, limit).await {
        Ok((body, held)) => {
            (request.body, request.held) = (body, held);
            Ok(())
        }
        Err(refusal) => Err(refuse_body(request.head.request_id.as_ref(), &refusal)),
    }
}

fn refuse_body(id: Option<&Name>, refusal: &BodyRefusal) -> Response<ReplyBody> {
    let mut reply = match refusal {
        BodyRefusal::TooLarge => {
            let why = "the body is too large";
            logs::write(event::REQUEST_REFUSED, &[("request", &or_empty(&id.cloned())), ("why", &why)]);
            return own_reply(StatusCode::PAYLOAD_TOO_LARGE, id);
        }
        BodyRefusal::Broken(why) => {
            logs::write(event::REQUEST_REFUSED, &[("request", &or_empty(&id.cloned())), ("why", why)]);
            return own_reply(StatusCode::BAD_REQUEST, id);
        }
        BodyRefusal::NoRoom => return platform::not_run_reply(id, ROOM_RETURN).map(full_reply),
        BodyRefusal::TooSlow => own_reply(StatusCode::REQUEST_TIMEOUT, id),
    };
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}

fn or_empty(id: &Option<Name>) -> Name {
    id.clone().unwrap_or_else(|| "".into())
}

/// Builds a reply of this system's own without a body.
pub fn own_reply(status: StatusCode, id: Option<&Name>) -> Response<ReplyBody> {
    platform::plain_reply(status, id, "").map(full_reply)
}

/// Finds out who the request is served for, or returns the reply that refuses it.
async fn identify(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    call: &ClientOperation,
    request: &mut ClientRequest,
    credential: &CallerCredential,
) -> Result<(), Response<ReplyBody>> {
    let is_public = match call {
        ClientOperation::Routed => match routing.select(&request.host, &request.path) {
            Some(route) => route.is_public,
            None => find_new_route(node, request).await?,
        },
        // Whether the caller may see the job is judged once the job is known.
        _ => true,
    };
    match callers::identify(node, routing, is_public, credential).await {
        CallerDecision::Serve(verdict) => {
            request.caller = verdict;
            Ok(())
        }
        CallerDecision::Denied => Err(refuse(request, routing, "no customer holds the key", StatusCode::UNAUTHORIZED)),
        CallerDecision::Unverified => {
            let why = "the key is not known and the store does not answer";
            log_refusal(request, routing, why);
            Err(platform::not_run_reply(request.head.request_id.as_ref(), UNSURE_RETURN).map(full_reply))
        }
    }
}

/// Reads the configuration once more for a route that is not known. Returns whether the route is open
/// to all, or the reply if there is none. A node may be some seconds behind.
async fn find_new_route(node: &Arc<EntryNode>, request: &ClientRequest) -> Result<bool, Response<ReplyBody>> {
    let is_fresh = callers::refresh(node).await;
    let Some(newest) = node.routing() else { return Err(own_reply(StatusCode::NOT_FOUND, None)) };
    match newest.select(&request.host, &request.path) {
        Some(route) => Ok(route.is_public),
        None if is_fresh => Err(refuse(request, &newest, "no route matches", StatusCode::NOT_FOUND)),
        None => {
            log_refusal(request, &newest, "no route matches and the store does not answer");
            Err(platform::not_run_reply(request.head.request_id.as_ref(), UNSURE_RETURN).map(full_reply))
        }
    }
}

fn refuse(
    request: &ClientRequest,
    routing: &RoutingTable,
    why: &'static str,
    status: StatusCode,
) -> Response<ReplyBody> {
    log_refusal(request, routing, why);
    own_reply(status, request.head.request_id.as_ref())
}

fn log_refusal(request: &ClientRequest, routing: &RoutingTable, why: &'static str) {
    let id = or_empty(&request.head.request_id);
    logs::write(event::REQUEST_REFUSED, &[("request", &id), ("why", &why), ("version", &routing.version)]);
}

async fn dispatch(node: &Arc<EntryNode>, call: ClientOperation, request: ClientRequest) -> Response<ReplyBody> {
    match call {
        ClientOperation::ReadResults { job, offset } => job_calls::read_results(node, &job, offset, &request).await,
        ClientOperation::ReadItem { job, item } => job_calls::read_item(node, &job, &item, &request).await,
        ClientOperation::EndJob { job } => job_calls::end_job(node, &job, &request).await,
        ClientOperation::Unknown => own_reply(StatusCode::NOT_FOUND, request.head.request_id.as_ref()),
        ClientOperation::Routed => serve_routed(node, request).await,
    }
}

/// Serves a request by the newest configuration, which may have come while the caller was identified.
async fn serve_routed(node: &Arc<EntryNode>, request: ClientRequest) -> Response<ReplyBody> {
    let routing = node.routing();
    let Some(routing) = routing.as_deref() else {
        return platform::not_run_reply(request.head.request_id.as_ref(), NO_CONFIG_RETURN).map(full_reply);
    };
    match routing.select(&request.host, &request.path) {
        None => refuse(&request, routing, "no route matches", StatusCode::NOT_FOUND),
        Some(route) if route.kind == RouteKind::Batch && request.method == Method::POST => {
            job_accept::submit(node, route, request).await
        }
        Some(route) => plain::serve(node, route, request).await,
    }
}
