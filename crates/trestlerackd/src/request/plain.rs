//! Calls to plain services. Some of them must run at most once.

use super::api_call::{ApiCall, serve};
use super::content_blocking::{self, BackendRequest};
use crate::connection::http_client::{HttpResponse, read_response};
use crate::node::Node;
use crate::process::clock;
use crate::process::logs;
use crate::process::stop::WorkGuard;
use bytes::Bytes;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::state::State;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, header};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::hash::digest_hex;
use trestlerack::process::RecoveryRule;
use trestlerack::request::{
    IdempotencyDecision, IdempotencyState, IdempotencyStore, RequestContent, RequestFingerprint, ResumeDecision,
    ResumePolicy, decide_resume, idempotency_row_key,
};
use trestlerack::verdict::Reason;
use trestlerack::version::{Backend, BackendKind};
use trestlerack::{Failure, Name, Timestamp, Verdict, event};

/// Header that carries an idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Largest length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 128;

/// Number of path segments before the path of the service: `v1`, `services` and the service name.
const PREFIX_SEGMENTS: usize = 3;

/// Largest response body that is recorded for repeated calls, in bytes.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// Handles `/v1/services/{service}/{path}`.
pub async fn call(state: State) -> HandlerResult {
    serve(state, "services", run).await
}

/// Call of a user to a plain service.
struct PlainCall {
    user: Name,
    service: Name,
    method: Method,
    target: String,
    content_type: String,
    body: Bytes,
    key: Option<String>,
    traceparent: Option<Name>,
    deadline: Timestamp,
    repeatable: bool,
}

impl PlainCall {
    fn fingerprint(&self) -> RequestFingerprint {
        let path = [self.method.as_str(), " ", &self.target].concat();
        RequestContent { customer: Some(&self.user), host: &self.service, path: &path, body: &self.body }.fingerprint()
    }
}

async fn run(call: ApiCall) -> Result<Response<Body>, Failure> {
    let user = call.require_user()?;
    let service: Name = call.segment(2).into();
    let config = call.node.config.current();
    let allowed_zones = config.user(&user).map(|user| user.allowed_zones.clone()).unwrap_or_default();
    let backends = call.node.plain.backends(BackendKind::Plain, &service, &allowed_zones);
    if backends.is_empty() {
        let detail = format!("no plain service {service} in the user's zones");
        return Err(Failure::not_run(Reason::NotFound, detail));
    }
    let plain = plain_call(&call, user, service, &backends)?;
    let response = if plain.repeatable {
        send(&call.node, &plain, &backends).await
    } else {
        send_detached(&call, plain, backends).await
    };
    response.map(plain_response)
}

/// Sends a call that must not be repeated in a separate task, which continues when the caller
/// disconnects. A retry of the caller then finds the recorded response and not an unfinished record.
async fn send_detached(call: &ApiCall, plain: PlainCall, backends: Vec<Backend>) -> Result<HttpResponse, Failure> {
    let node = call.node.clone();
    let work = WorkGuard::new(&node);
    let needs_record = plain.key.is_some() && !backends[0].honours_keys;
    let task = tokio::spawn(async move {
        let _work = work;
        if needs_record {
            send_idempotent(&node, &plain, &backends).await
        } else {
            send(&node, &plain, &backends).await
        }
    });
    let task_failed = |_| Err(Failure::may_have_run(Reason::BackendFailed, "the call ended without a response"));
    task.await.unwrap_or_else(task_failed)
}

fn plain_call(call: &ApiCall, user: Name, service: Name, backends: &[Backend]) -> Result<PlainCall, Failure> {
    let key = call.header(IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
    let is_valid = |key: &String| {
        !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/')
    };
    if key.as_ref().is_some_and(|key| !is_valid(key)) {
        let detail = format!("{IDEMPOTENCY_KEY_HEADER}: expected 1 to {MAX_KEY_BYTES} visible characters without /");
        return Err(Failure::not_run(Reason::BadRequest, detail));
    }
    let path: Vec<&str> = call.uri.path().split('/').skip(1 + PREFIX_SEGMENTS).collect();
    let query = call.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
    let is_safe = matches!(call.method, Method::GET | Method::HEAD);
    Ok(PlainCall {
        repeatable: is_safe || backends.iter().all(|backend| backend.idempotent),
        user,
        service,
        method: call.method.clone(),
        target: format!("/{}{query}", path.join("/")),
        content_type: call.header("content-type").unwrap_or("application/octet-stream").to_owned(),
        body: call.body.clone(),
        key,
        traceparent: call.span.traceparent.clone(),
        deadline: call.node.now() + call.timeout()?,
    })
}

/// Sends a call without an idempotency record. The call is repeatable, has no key, or has a key that
/// the service itself honours.
async fn send(node: &Arc<Node>, call: &PlainCall, backends: &[Backend]) -> Result<HttpResponse, Failure> {
    node.retry_budget.lock().unwrap().earn(&call.user, &call.service);
    let policy = ResumePolicy { repeatable: call.repeatable, waits_for_engine: false };
    let mut tried = Vec::new();
    loop {
        let chosen = node.plain.choose(node.now(), backends, &tried, |name| node.dispatchers.is_draining(name));
        let Some(backend) = chosen else {
            let failure = Failure::not_run(Reason::NoBackend, "no backend server of the service accepts requests");
            return Err(failure.retry_after(Duration::from_secs(1)));
        };
        let request = BackendRequest {
            backend: &backend.name,
            address: &backend.address,
            fingerprint: call.fingerprint(),
            meter: None,
            recovery_rule: RecoveryRule::Limited,
        };
        let result = content_blocking::send_unless_blocked(node, request, send_attempt(node, call, &backend)).await;
        if result.as_ref().is_err_and(content_blocking::is_blocked) {
            node.plain.release(&backend);
        } else {
            let succeeded = result.as_ref().is_ok_and(|response| !response.status.is_server_error());
            node.plain.record_response(node.now(), &backend, succeeded);
        }
        let failure = match result {
            Ok(response) => return Ok(response),
            Err(failure) => failure,
        };
        logs::write(event::PLAIN_BROKEN, &[("backend", &backend.name), ("failure", &failure)]);
        let in_budget = || node.retry_budget.lock().unwrap().spend(&call.user, &call.service);
        tried.push(backend.name);
        if let ResumeDecision::GiveUp(failure) = decide_resume(&failure, policy, node.now(), call.deadline, in_budget) {
            return Err(failure);
        }
        if tried.len() == backends.len() {
            return Err(failure);
        }
    }
}

async fn send_attempt(node: &Arc<Node>, call: &PlainCall, backend: &Backend) -> Result<HttpResponse, Failure> {
    let request = build_request(call, backend)?;
    let remaining = call.deadline.since(node.now());
    if remaining.is_zero() {
        return Err(Failure::not_run(Reason::DeadlineExceeded, "the deadline passed"));
    }
    let exchange = async {
        let response = if call.repeatable {
            node.http.send(request).await?
        } else {
            node.http.send_once(&backend.address, request).await?
        };
        let is_draining = super::engine_client::reports_draining(response.headers());
        node.dispatchers.record_draining(node.now(), &backend.name, is_draining);
        read_response(response).await
    };
    let response = clock::timeout(remaining, exchange).await;
    response
        .unwrap_or_else(|_| Err(Failure::may_have_run(Reason::DeadlineExceeded, "the service did not respond in time")))
}

fn build_request(call: &PlainCall, backend: &Backend) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", backend.address, call.target))
        .header(header::HOST, backend.address.as_ref())
        .header(header::CONTENT_TYPE, &call.content_type);
    if let Some(key) = &call.key {
        request = request.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    if let Some(traceparent) = &call.traceparent {
        request = request.header("traceparent", traceparent.as_ref());
    }
    request
        .body(Full::new(call.body.clone()))
        .map_err(|_| Failure::not_run(Reason::BadRequest, "the path cannot be forwarded"))
}

/// Writes an idempotency record to the table before the call is sent, so that a retry through another
/// node finds it.
async fn send_idempotent(node: &Arc<Node>, call: &PlainCall, backends: &[Backend]) -> Result<HttpResponse, Failure> {
    let key = idempotency_row_key(&call.user, &call.service, call.key.as_deref().unwrap_or(""));
    let digest: Name =
        digest_hex(&[call.method.as_str().as_bytes(), b" ", call.target.as_bytes(), b"\n", &call.body].concat()).into();
    let attempt = node.operation_id();
    let records = IdempotencyStore::new(node.table.as_ref());
    match records.begin(&key, &digest, &attempt).await {
        IdempotencyDecision::Send => {}
        decision => return response_without_sending(decision),
    }
    let result = send(node, call, backends).await;
    records.finish(&key, &attempt, final_state(&result)).await;
    result
}

fn response_without_sending(decision: IdempotencyDecision) -> Result<HttpResponse, Failure> {
    match decision {
        IdempotencyDecision::Replay { status, content_type, body } => Ok(HttpResponse {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::OK),
            content_type,
            body: Bytes::from(body),
        }),
        IdempotencyDecision::Refuse(failure) => Err(failure),
        // Not reached: `IdempotencyStore::begin` never returns `Claim`, and `Send` is handled by the caller.
        IdempotencyDecision::Claim | IdempotencyDecision::Send => {
            Err(Failure::not_run(Reason::StoreUnavailable, "the idempotency record was not written"))
        }
    }
}

fn final_state(result: &Result<HttpResponse, Failure>) -> IdempotencyState {
    match result {
        Ok(response) if response.body.len() <= MAX_RECORDED_BYTES => IdempotencyState::Answered {
            status: response.status.as_u16(),
            content_type: response.content_type.clone(),
            body: String::from_utf8_lossy(&response.body).into_owned(),
        },
        Ok(_) => IdempotencyState::Uncertain,
        Err(failure) => IdempotencyState::after_failure(failure.verdict),
    }
}

fn plain_response(backend_response: HttpResponse) -> Response<Body> {
    let body = Full::new(backend_response.body).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = backend_response.status;
    if let Ok(value) = header::HeaderValue::from_str(&backend_response.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    let verdict = header::HeaderValue::from_static(Verdict::Ran.as_str());
    response.headers_mut().insert(super::api_call::VERDICT_HEADER, verdict);
    response
}
