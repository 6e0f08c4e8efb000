//! Handles client requests: reads each one, identifies its caller and dispatches it by kind.

use super::callers::{self, CallerDecision};
use super::node::EntryNode;
use super::resource_limits::{self, RequestBodyError};
use super::{job_accept, job_calls, placement, plain};
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
use trestlerack::version::{CallerCredential, CallerIdentity, RequestRoute, RouteKind, RoutingTable};
use trestlerack::{Name, event};
use trestlerack_platform::{self as platform, ClientOperation, RequestHead};

/// Delay after which a client is told to retry while this node knows no configuration.
const NO_CONFIG_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Delay after which a client is told to retry if its key or route could not be looked up.
const LOOKUP_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Delay after which a client is told to retry if there is no memory for its body. By then the earlier bodies
/// have been read, or have been refused as too slow.
const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time limit for the body of a request that matches no route.
const UNROUTED_BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Body of a reply to a client.
pub type ReplyBody = UnsyncBoxBody<Bytes, ReplyError>;

/// Why a reply is incomplete. hyper then closes the connection without terminating the reply.
pub type ReplyError = Box<dyn std::error::Error + Send + Sync>;

/// A client request that has been read completely.
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
    /// Values decoded from the headers.
    pub head: RequestHead,
    /// Identity of the caller.
    pub caller: CallerIdentity,
    /// Body.
    pub body: Bytes,
    /// Memory reserved for the body, which is released with the request.
    pub reservation: MemoryReservation,
}

impl ClientRequest {
    /// Returns the id of the request, or an empty string if it has none.
    pub fn id(&self) -> &str {
        self.head.request_id.as_deref().unwrap_or("")
    }

    /// Returns the name of the customer on whose behalf the request is served.
    pub fn customer(&self) -> Option<&Name> {
        self.caller.customer().map(|customer| &customer.name)
    }

    /// Drops the body and releases its memory once it is no longer needed.
    pub fn drop_body(&mut self) {
        self.body = Bytes::new();
        self.reservation.resize(0);
    }

    /// Returns the fingerprint of the content of the request.
    pub fn fingerprint(&self) -> RequestFingerprint {
        let customer = self.customer().map(|name| &**name);
        RequestContent { customer, host: &self.host, path: &self.path_and_query, body: &self.body }.fingerprint()
    }
}

/// Builds a complete reply body.
pub fn full_body(body: impl Into<Bytes>) -> ReplyBody {
    Full::new(body.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Handles a request and returns the reply.
pub async fn handle(node: &Arc<EntryNode>, request: Request<Incoming>) -> Response<ReplyBody> {
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
        return platform::not_run_reply(id.as_ref(), NO_CONFIG_RETRY_DELAY).map(full_body);
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
        reservation: node.resource_limits.memory.reserve(MemoryPurpose::Bodies, 0),
    };
    if let Err(refusal) = receive_body(node, &routing, &mut request, body).await {
        return refusal;
    }
    let call = platform::classify_request(&request.method, &request.path, parts.uri.query().unwrap_or(""));
    let mut reply = match identify(node, &routing, &call, &mut request, &credential).await {
        Ok(()) => {
            if let Some(customer) = request.caller.customer() {
                request.reservation.set_customer(&customer.name);
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

/// Reads the body of a request. Returns the reply that refuses the request if that fails.
async fn receive_body(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    request: &mut ClientRequest,
    body: Incoming,
) -> Result<(), Response<ReplyBody>> {
    let route = routing.select(&request.host, &request.path);
    let time_left = request.head.time_left;
    let limit = route.map_or(UNROUTED_BODY_TIMEOUT, |route| plain::time_limit(route, time_left));
    let id = or_empty(&request.head.request_id);
    match resource_limits::read_body(node, &id, body, routing.limits.max_body_bytes, limit).await {
        Ok((body, reservation)) => {
            (request.body, request.reservation) = (body, reservation);
            Ok(())
        }
        Err(refusal) => Err(refuse_body(request.head.request_id.as_ref(), &refusal)),
    }
}

fn refuse_body(id: Option<&Name>, error: &RequestBodyError) -> Response<ReplyBody> {
    let mut reply = match error {
        RequestBodyError::TooLarge => {
            let why = "the body is too large";
            logs::write(event::REQUEST_REFUSED, &[("request", &or_empty(&id.cloned())), ("why", &why)]);
            return empty_reply(StatusCode::PAYLOAD_TOO_LARGE, id);
        }
        RequestBodyError::Broken(why) => {
            logs::write(event::REQUEST_REFUSED, &[("request", &or_empty(&id.cloned())), ("why", why)]);
            return empty_reply(StatusCode::BAD_REQUEST, id);
        }
        RequestBodyError::MemoryExhausted => return platform::not_run_reply(id, MEMORY_RETRY_DELAY).map(full_body),
        RequestBodyError::TooSlow => empty_reply(StatusCode::REQUEST_TIMEOUT, id),
    };
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    reply
}

fn or_empty(id: &Option<Name>) -> Name {
    id.clone().unwrap_or_else(|| "".into())
}

/// Builds a reply without a body that this system makes itself, not a backend server.
pub fn empty_reply(status: StatusCode, id: Option<&Name>) -> Response<ReplyBody> {
    platform::plain_reply(status, id, "").map(full_body)
}

/// Identifies the caller of a request. Returns the reply that refuses the request if that fails.
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
            None => find_route_again(node, request).await?,
        },
        // Whether the caller may access the job is checked once the job is known.
        _ => true,
    };
    match callers::identify(node, routing, is_public, credential).await {
        CallerDecision::Serve(caller) => {
            request.caller = caller;
            Ok(())
        }
        CallerDecision::Denied => Err(refuse(request, routing, "no customer holds the key", StatusCode::UNAUTHORIZED)),
        CallerDecision::Unverified => {
            let why = "the API key is unknown and the store does not respond";
            log_refusal(request, routing, why);
            Err(platform::not_run_reply(request.head.request_id.as_ref(), LOOKUP_RETRY_DELAY).map(full_body))
        }
    }
}

/// Reads the configuration again if a request matches no route, since the configuration of a node may be some
/// seconds old. Returns whether the route is public, or the reply that refuses the request.
async fn find_route_again(node: &Arc<EntryNode>, request: &ClientRequest) -> Result<bool, Response<ReplyBody>> {
    let is_fresh = callers::refresh(node).await;
    let Some(newest) = node.routing() else { return Err(empty_reply(StatusCode::NOT_FOUND, None)) };
    match newest.select(&request.host, &request.path) {
        Some(route) => Ok(route.is_public),
        None if is_fresh => Err(refuse(request, &newest, "no route matches", StatusCode::NOT_FOUND)),
        None => {
            log_refusal(request, &newest, "no route matches and the store does not respond");
            Err(platform::not_run_reply(request.head.request_id.as_ref(), LOOKUP_RETRY_DELAY).map(full_body))
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
    empty_reply(status, request.head.request_id.as_ref())
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
        ClientOperation::Unknown => empty_reply(StatusCode::NOT_FOUND, request.head.request_id.as_ref()),
        ClientOperation::Routed => serve_routed(node, request).await,
    }
}

/// Returns the reply to a request that may be served in no zone; `None` for any other request.
fn refuse_unplaced(
    node: &EntryNode,
    routing: &RoutingTable,
    route: &RequestRoute,
    request: &ClientRequest,
) -> Option<Response<ReplyBody>> {
    let decided = placement::decide(Some(routing), route, request.customer());
    let refusal = placement::refuse_unplaced(&decided, request.head.request_id.as_ref(), &node.metrics.placement)?;
    node.metrics.record_request(&route.name, refusal.status(), Duration::ZERO);
    Some(refusal.map(full_body))
}

/// Serves a request with the newest configuration, which may have been loaded while the caller was
/// identified.
async fn serve_routed(node: &Arc<EntryNode>, request: ClientRequest) -> Response<ReplyBody> {
    let routing = node.routing();
    let Some(routing) = routing.as_deref() else {
        return platform::not_run_reply(request.head.request_id.as_ref(), NO_CONFIG_RETRY_DELAY).map(full_body);
    };
    let route = routing.select(&request.host, &request.path);
    if let Some(route) = route
        && let Some(refusal) = refuse_unplaced(node, routing, route, &request)
    {
        return refusal;
    }
    match route {
        None => refuse(&request, routing, "no route matches", StatusCode::NOT_FOUND),
        Some(route) if route.kind == RouteKind::Batch && request.method == Method::POST => {
            job_accept::submit(node, routing, route, request).await
        }
        Some(route) => plain::serve(node, route, request).await,
    }
}
