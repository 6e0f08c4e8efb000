//! Calls to plain services, some of which must not run twice.

use super::answer::{ApiCall, serve};
use super::content_gate::{self, GuardedSend};
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
use trestlerack::request::{
    IdempotencyDecision, IdempotencyState, IdempotencyStore, RequestContent, RequestFingerprint, ResumeDecision,
    ResumePolicy, decide_resume, idempotency_row_key,
};
use trestlerack::verdict::Reason;
use trestlerack::version::{Backend, BackendKind};
use trestlerack::{Failure, Name, Timestamp, Verdict, event};

/// Header that carries an idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Longest idempotency key.
const MAX_KEY: usize = 128;

/// Segments of the path before the service's own path: `v1`, `services` and the service.
const OWN_SEGMENTS: usize = 3;

/// Largest answer that is recorded for repeated calls, in bytes.
const MAX_RECORDED: usize = 64 * 1024;

/// `/v1/services/{service}/{path}`.
pub async fn call(state: State) -> HandlerResult {
    serve(state, "services", run).await
}

/// A plain call on its way to a backend server.
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
    fn content(&self) -> RequestFingerprint {
        let path = [self.method.as_str(), " ", &self.target].concat();
        RequestContent { customer: Some(&self.user), host: &self.service, path: &path, body: &self.body }.fingerprint()
    }
}

async fn run(call: ApiCall) -> Result<Response<Body>, Failure> {
    let user = call.require_user()?;
    let service: Name = call.segment(2).into();
    let config = call.node.config.current();
    let places = config.user(&user).map(|user| user.allowed_zones.clone()).unwrap_or_default();
    let backends = call.node.plain.backends(BackendKind::Plain, &service, &places);
    if backends.is_empty() {
        let detail = format!("no plain service {service} in the user's places");
        return Err(Failure::not_run(Reason::NotFound, detail));
    }
    let plain = plain_call(&call, user, service, &backends)?;
    let answer = if plain.repeatable {
        send(&call.node, &plain, &backends).await
    } else {
        send_detached(&call, plain, backends).await
    };
    answer.map(plain_response)
}

/// Sends a call that must not be repeated in a task of its own, which goes on when the caller goes
/// away: the caller's next try then meets the recorded answer and not a claim that was never ended.
async fn send_detached(call: &ApiCall, plain: PlainCall, backends: Vec<Backend>) -> Result<HttpResponse, Failure> {
    let node = call.node.clone();
    let work = WorkGuard::new(&node);
    let is_claimed = plain.key.is_some() && !backends[0].honours_keys;
    let task = tokio::spawn(async move {
        let _work = work;
        if is_claimed { send_claimed(&node, &plain, &backends).await } else { send(&node, &plain, &backends).await }
    });
    let lost = |_| Err(Failure::may_have_run(Reason::BackendFailed, "the call ended without an answer"));
    task.await.unwrap_or_else(lost)
}

fn plain_call(call: &ApiCall, user: Name, service: Name, backends: &[Backend]) -> Result<PlainCall, Failure> {
    let key = call.header(KEY_HEADER).map(str::to_owned);
    let is_fine = |key: &String| {
        !key.is_empty() && key.len() <= MAX_KEY && key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b'/')
    };
    if key.as_ref().is_some_and(|key| !is_fine(key)) {
        let detail = format!("{KEY_HEADER}: expected 1 to {MAX_KEY} visible characters without /");
        return Err(Failure::not_run(Reason::BadRequest, detail));
    }
    let path: Vec<&str> = call.uri.path().split('/').skip(1 + OWN_SEGMENTS).collect();
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
        deadline: call.node.now() + call.time_allowed()?,
    })
}

/// Sends a call that needs no claim: repeatable, without a key, or with a key that the service
/// itself honours.
async fn send(node: &Arc<Node>, call: &PlainCall, backends: &[Backend]) -> Result<HttpResponse, Failure> {
    node.retry_budget.lock().unwrap().earn(&call.user, &call.service);
    let policy = ResumePolicy { repeatable: call.repeatable, waits_for_engine: false };
    let mut tried = Vec::new();
    loop {
        let chosen = node.plain.choose(node.now(), backends, &tried, |name| node.desks.is_leaving(name));
        let Some(backend) = chosen else {
            let failure = Failure::not_run(Reason::NoBackend, "no backend server of the service takes requests");
            return Err(failure.retry_after(Duration::from_secs(1)));
        };
        let send = GuardedSend { backend: &backend.name, address: &backend.address, content: call.content() };
        let result = content_gate::guarded(node, send, send_once(node, call, &backend)).await;
        let is_good = result.as_ref().is_ok_and(|answer| !answer.status.is_server_error());
        node.plain.ended(node.now(), &backend, is_good);
        let failure = match result {
            Ok(answer) => return Ok(answer),
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

async fn send_once(node: &Arc<Node>, call: &PlainCall, backend: &Backend) -> Result<HttpResponse, Failure> {
    let request = build_request(call, backend)?;
    let left = call.deadline.since(node.now());
    if left.is_zero() {
        return Err(Failure::not_run(Reason::DeadlineExceeded, "the deadline passed"));
    }
    let exchange = async {
        let response = if call.repeatable {
            node.http.send(request).await?
        } else {
            node.http.send_once(&backend.address, request).await?
        };
        let is_leaving = super::engine_client::says_leaving(response.headers());
        node.desks.engine_answered(node.now(), &backend.name, is_leaving);
        read_response(response).await
    };
    let answer = clock::timeout(left, exchange).await;
    answer
        .unwrap_or_else(|_| Err(Failure::may_have_run(Reason::DeadlineExceeded, "the service did not answer in time")))
}

fn build_request(call: &PlainCall, backend: &Backend) -> Result<Request<Full<Bytes>>, Failure> {
    let mut request = Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", backend.address, call.target))
        .header(header::HOST, backend.address.as_ref())
        .header(header::CONTENT_TYPE, &call.content_type);
    if let Some(key) = &call.key {
        request = request.header(KEY_HEADER, key);
    }
    if let Some(traceparent) = &call.traceparent {
        request = request.header("traceparent", traceparent.as_ref());
    }
    request
        .body(Full::new(call.body.clone()))
        .map_err(|_| Failure::not_run(Reason::BadRequest, "the path cannot be passed on"))
}

/// Claims a keyed call in the table before it is sent, so that a retry through another node meets
/// the claim.
async fn send_claimed(node: &Arc<Node>, call: &PlainCall, backends: &[Backend]) -> Result<HttpResponse, Failure> {
    let key = idempotency_row_key(&call.user, &call.service, call.key.as_deref().unwrap_or(""));
    let digest: Name =
        digest_hex(&[call.method.as_str().as_bytes(), b" ", call.target.as_bytes(), b"\n", &call.body].concat()).into();
    let attempt = node.operation_id();
    let claims = IdempotencyStore::new(node.table.as_ref());
    match claims.begin(&key, &digest, &attempt).await {
        IdempotencyDecision::Send => {}
        other => return answer_without_sending(other),
    }
    let result = send(node, call, backends).await;
    claims.finish(&key, &attempt, end_of_claim(&result)).await;
    result
}

fn answer_without_sending(decision: IdempotencyDecision) -> Result<HttpResponse, Failure> {
    match decision {
        IdempotencyDecision::Replay { status, content_type, body } => Ok(HttpResponse {
            status: StatusCode::from_u16(status).unwrap_or(StatusCode::OK),
            content_type,
            body: Bytes::from(body),
        }),
        IdempotencyDecision::Refuse(failure) => Err(failure),
        // The claim store turns these into the others before it answers.
        IdempotencyDecision::Claim | IdempotencyDecision::Send => {
            Err(Failure::not_run(Reason::StoreUnavailable, "the call could not be claimed"))
        }
    }
}

fn end_of_claim(result: &Result<HttpResponse, Failure>) -> IdempotencyState {
    match result {
        Ok(answer) if answer.body.len() <= MAX_RECORDED => IdempotencyState::Answered {
            status: answer.status.as_u16(),
            content_type: answer.content_type.clone(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        },
        Ok(_) => IdempotencyState::Uncertain,
        Err(failure) => IdempotencyState::after_failure(failure.verdict),
    }
}

fn plain_response(answer: HttpResponse) -> Response<Body> {
    let body = Full::new(answer.body).map_err(|never| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    if let Ok(value) = header::HeaderValue::from_str(&answer.content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    let verdict = header::HeaderValue::from_static(Verdict::Ran.as_str());
    response.headers_mut().insert(super::answer::VERDICT_HEADER, verdict);
    response
}
