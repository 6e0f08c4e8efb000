//! Requests as handlers receive them, and responses with problem details and a verdict.

use crate::connection::accept::NodeHandle;
use crate::node::Node;
use crate::process::clock;
use crate::process::logs;
use crate::process::stop::WorkGuard;
use crate::process::tracing::HopSpan;
use bytes::Bytes;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::state::{FromState, State};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{HeaderMap, Method, Response, StatusCode, Uri, header};
use opentelemetry::KeyValue;
use opentelemetry::trace::SpanKind;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::verdict::Reason;
use trestlerack::{Failure, Name, event};

/// Header that carries the verdict of a failed request.
pub const VERDICT_HEADER: &str = "trestlerack-verdict";

/// Header with the timeout of a request, in milliseconds.
pub const TIMEOUT_HEADER: &str = "request-timeout-ms";

/// Media type of problem details.
const PROBLEM_JSON: &str = "application/problem+json";

/// Retry-after time of a stopping node. By then the external load balancer uses other nodes.
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Request of the HTTP API with its complete body.
pub struct ApiCall {
    /// Node that serves the request.
    pub node: Arc<Node>,
    /// HTTP method.
    pub method: Method,
    /// Request target.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Span of this hop.
    pub span: HopSpan,
    /// Counts the request as in progress; streamed responses keep it until they end.
    pub work: WorkGuard,
}

/// Authenticated caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Principal {
    /// An operator.
    Operator,
    /// A user.
    User(Name),
}

impl ApiCall {
    /// Returns the path segment at `index`, counted from 0.
    pub fn segment(&self, index: usize) -> &str {
        self.uri.path().split('/').skip(1).nth(index).unwrap_or("")
    }

    /// Returns the path segment at `index` as a number.
    pub fn number(&self, index: usize) -> Result<u64, Failure> {
        let segment = self.segment(index);
        segment.parse().map_err(|_| Failure::not_run(Reason::BadRequest, format!("{segment:?} is not a number")))
    }

    /// Returns a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query().unwrap_or("").split('&');
        pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns a header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    /// Decodes the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Failure> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Failure::not_run(Reason::BadRequest, format!("invalid request body: {error}")))
    }

    /// Returns the timeout that the caller set, or the default.
    pub fn timeout(&self) -> Result<Duration, Failure> {
        let Some(text) = self.header(TIMEOUT_HEADER) else {
            return Ok(Duration::from_millis(self.node.settings.default_deadline_ms));
        };
        let timeout = text.parse().ok().filter(|millis| *millis > 0);
        let timeout = timeout.ok_or_else(|| {
            Failure::not_run(Reason::BadRequest, format!("{TIMEOUT_HEADER}: expected milliseconds above 0"))
        })?;
        Ok(Duration::from_millis(timeout))
    }

    /// Authenticates the caller. Fails if the key is missing or unknown.
    pub fn principal(&self) -> Result<Principal, Failure> {
        let key = self.header("authorization").and_then(|value| value.strip_prefix("Bearer "));
        let Some(key) = key else {
            return Err(Failure::not_run(Reason::Unauthorized, "expected a bearer token"));
        };
        if self.node.keys.is_operator(key) {
            return Ok(Principal::Operator);
        }
        let user = self.node.keys.find_user(key).map(Principal::User);
        user.ok_or_else(|| Failure::not_run(Reason::Unauthorized, "unknown key"))
    }

    /// Fails unless the caller is an operator.
    pub fn require_operator(&self) -> Result<(), Failure> {
        match self.principal()? {
            Principal::Operator => Ok(()),
            Principal::User(_) => Err(Failure::not_run(Reason::Forbidden, "only operators may do this")),
        }
    }

    /// Returns the calling user and counts the call against its rate limit.
    pub fn require_user(&self) -> Result<Name, Failure> {
        let Principal::User(user) = self.principal()? else {
            return Err(Failure::not_run(Reason::Forbidden, "this call needs a user's key"));
        };
        let config = self.node.config.current();
        let Some(declared) = config.user(&user) else {
            return Err(Failure::not_run(Reason::Forbidden, format!("user {user} is not declared")));
        };
        let nodes = self.node.ownership.read().unwrap().nodes().len();
        let admitted = self.node.rate_limits.admit(self.node.now(), &user, declared.calls_per_second, nodes);
        admitted.map_err(|wait| {
            let failure = Failure::not_run(Reason::RateLimited, "the user's rate limit is used up");
            failure.retry_after(wait)
        })?;
        Ok(user)
    }
}

/// Reads a request, runs `work` on it and converts a failure into problem details.
pub async fn serve<F, W>(mut state: State, route: &'static str, work: W) -> HandlerResult
where
    W: FnOnce(ApiCall) -> F,
    F: Future<Output = Result<Response<Body>, Failure>>,
{
    let node = NodeHandle::borrow_from(&state).0.clone();
    let response = match read_call(&node, &mut state, route).await {
        Ok(call) => work(call).await,
        Err(failure) => Err(failure),
    };
    let response = response.unwrap_or_else(|failure| error_response(&node, route, &failure));
    let status = i64::from(response.status().as_u16());
    node.telemetry.requests.add(1, &[KeyValue::new("route", route), KeyValue::new("status", status)]);
    Ok((state, response))
}

async fn read_call(node: &Arc<Node>, state: &mut State, route: &'static str) -> Result<ApiCall, Failure> {
    let work = WorkGuard::new(node);
    if node.stop.is_stopping() && *node.stop.closed().borrow() {
        let failure = Failure::not_run(Reason::Stopping, "the node is stopping");
        return Err(failure.retry_after(STOPPING_RETRY_AFTER));
    }
    let method = Method::take_from(state);
    let uri = Uri::take_from(state);
    let headers = HeaderMap::take_from(state);
    let body = read_body(node, state, &headers).await?;
    let parent = headers.get("traceparent").and_then(|value| value.to_str().ok());
    let span = node.telemetry.start_span(route, SpanKind::Server, parent);
    Ok(ApiCall { node: node.clone(), method, uri, headers, body, span, work })
}

async fn read_body(node: &Node, state: &mut State, headers: &HeaderMap) -> Result<Bytes, Failure> {
    let limit = node.settings.max_body_bytes;
    let too_large = || Failure::not_run(Reason::TooLarge, format!("the body is longer than {limit} bytes"));
    let declared = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let body = Body::take_from(state);
    let body = Limited::new(body, limit).collect();
    let body_timeout = Duration::from_millis(node.settings.body_timeout_ms);
    match clock::timeout(body_timeout, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.downcast_ref::<LengthLimitError>().is_some() => Err(too_large()),
        Ok(Err(_)) => Err(Failure::not_run(Reason::BadRequest, "the body is incomplete")),
        Err(_) => Err(Failure::not_run(Reason::BadRequest, "the body was not received in time")),
    }
}

/// Problem details, RFC 9457, with the verdict as an extension member.
#[derive(Serialize)]
struct ProblemDetails<'a> {
    r#type: String,
    title: &'a str,
    status: u16,
    detail: &'a str,
    verdict: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// Builds the response to a failed request, and logs and counts the failure.
pub fn error_response(node: &Node, route: &'static str, failure: &Failure) -> Response<Body> {
    node.telemetry.refusals.add(1, &[KeyValue::new("reason", failure.reason.as_str())]);
    // Not logged for `NotReady`: trainers poll a step until it is sealed.
    if failure.reason != Reason::NotReady {
        logs::write(event::REQUEST_REFUSED, &[("route", &route), ("failure", failure)]);
    }
    let status = failure.reason.status();
    let problem = ProblemDetails {
        r#type: format!("urn:trestlerack:problem:{}", failure.reason.as_str()),
        title: failure.reason.as_str(),
        status,
        detail: &failure.detail,
        verdict: failure.verdict.as_str(),
        retry_after_ms: failure.retry_after.map(trestlerack::time::millis),
    };
    let body = serde_json::to_vec(&problem).expect("problem details are always serializable");
    let mut response = bytes_response(StatusCode::from_u16(status).unwrap_or_default(), PROBLEM_JSON, body);
    let headers = response.headers_mut();
    headers.insert(VERDICT_HEADER, header::HeaderValue::from_static(failure.verdict.as_str()));
    if let Some(wait) = failure.retry_after {
        headers.insert(header::RETRY_AFTER, wait.as_secs_f64().ceil().max(1.0).into_header());
    }
    response
}

trait IntoHeader {
    fn into_header(self) -> header::HeaderValue;
}

impl IntoHeader for f64 {
    fn into_header(self) -> header::HeaderValue {
        header::HeaderValue::from(self as u64)
    }
}

/// Builds a response from bytes.
pub fn bytes_response(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Response<Body> {
    let body = Full::new(body.into()).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(content_type));
    response
}

/// Builds a JSON response with status 200.
pub fn json_response(body: &impl Serialize) -> Result<Response<Body>, Failure> {
    let body = serde_json::to_vec(body).map_err(|error| Failure {
        verdict: trestlerack::Verdict::Ran,
        ..Failure::not_run(Reason::BackendFailed, error.to_string())
    })?;
    Ok(bytes_response(StatusCode::OK, "application/json", body))
}
