//! One attempt of a request at one backend server.

use super::in_flight::InFlightGuard;
use super::node::EntryNode;
use super::pool::{ConnectionLease, ExchangeError};
use super::resource_limits::{ReadError, ResponseProgress};
use super::suspects::RunPermit;
use super::{admission, crash_detection, placement, resource_limits, server_responses, suspects};
use crate::process::clock;
use crate::process::tracing::HopSpan;
use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use opentelemetry::trace::SpanKind;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::MemoryReservation;
use trestlerack_platform::{self as platform, ResponseHead, ServerRequest};

/// Longest response that is buffered before it is forwarded, in bytes.
const MAX_RESPONSE_BYTES: usize = 32 * 1024 * 1024;

/// A complete response of a backend server.
#[derive(Debug)]
pub struct CompleteResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// What the headers say.
    pub head: ResponseHead,
    /// Body.
    pub body: Bytes,
    /// Reservation of the memory of the body.
    pub reservation: MemoryReservation,
}

/// The head of a response whose body has not been read yet.
pub struct StreamingResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// What the headers say.
    pub head: ResponseHead,
    /// Body.
    pub body: Incoming,
    /// Connection; dropping it cancels the request at the server.
    pub lease: ConnectionLease,
    /// Counts the request as in flight at its server.
    pub guard: InFlightGuard,
    /// Tracing span, which ends when the response has been read.
    pub span: Option<HopSpan>,
}

impl StreamingResponse {
    /// Closes the connection, which ends the work of the server.
    pub fn close(self) {
        drop(self);
    }
}

/// Why an attempt failed without a response.
#[derive(Debug)]
pub enum AttemptError {
    /// The server did not run the request.
    NotRun(String),
    /// The server may have run the request.
    MayHaveRun(String),
    /// The request was not sent and is blocked for this time, because servers crashed while they ran its content.
    Blocked(Duration),
}

impl AttemptError {
    /// Returns whether the server did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Blocked(_))
    }
}

impl std::fmt::Display for AttemptError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotRun(detail) => write!(formatter, "not run: {detail}"),
            Self::MayHaveRun(detail) => write!(formatter, "may have run: {detail}"),
            Self::Blocked(left) => write!(formatter, "not run: blocked for {} s", left.as_secs()),
        }
    }
}

/// Sends a request and returns the head of the response, after checking that it belongs to the request's id.
pub async fn open_response(
    node: &Arc<EntryNode>,
    guard: InFlightGuard,
    request: ServerRequest<'_>,
    wants_fresh: bool,
) -> Result<StreamingResponse, AttemptError> {
    // All requests of callers, of whatever kind, are sent from here, so none bypasses this check.
    if !suspects::is_suspect(node, guard.fingerprint) {
        return send_request(node, guard, request, wants_fresh).await;
    }
    let fingerprint = guard.fingerprint;
    // Boxed because few requests are suspects, and the future would enlarge each request in progress.
    match Box::pin(suspects::request_permit(node, &guard, request.request_id)).await {
        RunPermit::Granted => send_request(node, guard, request, wants_fresh).await,
        RunPermit::RecoveryTrial(number) => {
            let result = send_request(node, guard, request, wants_fresh).await;
            if result.as_ref().is_err_and(AttemptError::is_not_run) {
                suspects::cancel_recovery_trial(node, fingerprint, number);
            }
            result
        }
        RunPermit::Blocked(left) => {
            suspects::log_blocked(node, request.request_id, fingerprint, left);
            Err(AttemptError::Blocked(left))
        }
        RunPermit::ServerTaken => {
            Err(AttemptError::NotRun("another suspect content has its trial at this server".into()))
        }
    }
}

async fn send_request(
    node: &Arc<EntryNode>,
    guard: InFlightGuard,
    mut request: ServerRequest<'_>,
    wants_fresh: bool,
) -> Result<StreamingResponse, AttemptError> {
    let instance = guard.server.instance.clone();
    let request_id = request.request_id.to_owned();
    // The zone may have been evacuated, or the server replaced by one there, since the server was chosen.
    if node.evacuations.contains_server(&node.registry, &guard.server) {
        node.metrics.evacuations.record_refused_send(&guard.server.service);
        return Err(AttemptError::NotRun("the availability zone of the server is evacuated".into()));
    }
    let span = node.hop("attempt", SpanKind::Client, &mut request.headers);
    if let Some(span) = &span {
        span.set("request", request_id.clone());
        span.set("server", instance.to_string());
    }
    let resume_after = request.resume_after;
    let encoded = platform::encode_request(request).map_err(|error| AttemptError::NotRun(error.to_string()))?;
    // The configuration or the server's zone may have changed since the server was chosen.
    let routing = node.routing();
    if let Err(why) = placement::check_send(routing.as_deref(), &node.balancer, &guard.placement, &guard.server) {
        placement::log_prevented(&request_id, &guard.server, why, &node.metrics.placement);
        return Err(AttemptError::NotRun(why.into()));
    }
    drop(routing);
    guard.record_resumption(resume_after);
    guard.record_sent();
    let traffic = node.regions.record_request(&guard.server.zone);
    // Repeated once the connection is open, which may take seconds.
    let may_send = || {
        let routing = node.routing();
        guard.may_send()
            && !node.evacuations.contains_server(&node.registry, &guard.server)
            && placement::check_send(routing.as_deref(), &node.balancer, &guard.placement, &guard.server).is_ok()
            && node.cold.try_send(&node.balancer, &node.metrics.cold, node.now(), &guard.server)
    };
    let sent = node.pool.send_permitted(&guard.server.address, encoded, wants_fresh, traffic, may_send).await;
    let (response, lease) = match sent {
        Ok(response) => response,
        Err(error) => {
            if !matches!(error, ExchangeError::NotPermitted) {
                node.balancer.lock().unwrap().failed(node.now(), &instance);
            }
            return Err(match error {
                ExchangeError::NotSent(detail) => {
                    guard.record_outcome();
                    AttemptError::NotRun(detail)
                }
                ExchangeError::NotPermitted => {
                    guard.record_outcome();
                    AttemptError::NotRun("the request may not be sent: its server is cold, evacuated or not allowed, or its job is driven by another node".into())
                }
                ExchangeError::NoResponse(detail) => {
                    crash_detection::check_broken_connection(node, &guard, &request_id).await;
                    AttemptError::MayHaveRun(detail)
                }
            });
        }
    };
    let (parts, body) = response.into_parts();
    let head = platform::decode_response_head(&parts.headers);
    let is_other_request = head.request_id.as_deref().is_some_and(|id| id != request_id);
    if is_other_request {
        return Err(AttemptError::MayHaveRun("the response belongs to another request".into()));
    }
    if let Some(load) = head.load {
        node.balancer.lock().unwrap().record_load(node.now(), &instance, load.running, load.waiting);
        if let Some(percent) = load.slowness_percent {
            server_responses::record_reported_slowness(node, &instance, percent);
        }
    }
    let is_other_server = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if let Some(cold_left) = head.cold_left.filter(|_| !is_other_server) {
        node.balancer.lock().unwrap().cold.record_response(node.now(), &instance, cold_left);
    }
    if head.is_not_run || is_other_server {
        guard.record_outcome();
        let is_gone = platform::responding_instance(&parts.headers).is_some_and(|other| other != instance);
        record_refusal(node, &instance, is_gone);
        if !is_gone {
            admission::record_full_server(node, &guard.server_set());
        }
        keep_after_refusal(node, body, lease, &head).await;
        return Err(AttemptError::NotRun(format!("refused with {}", parts.status)));
    }
    if head.is_content_encoded {
        return Err(AttemptError::MayHaveRun(
            "the response has a content encoding, so its body is not the server's own".into(),
        ));
    }
    if head.signature.is_none() || head.request_id.is_none() {
        return Err(AttemptError::MayHaveRun(format!("the response of status {} is not signed", parts.status)));
    }
    Ok(StreamingResponse { status: parts.status, headers: parts.headers, head, body, lease, guard, span })
}

fn record_refusal(node: &EntryNode, instance: &str, is_gone: bool) {
    let mut balancer = node.balancer.lock().unwrap();
    if is_gone {
        balancer.failed(node.now(), instance);
    } else {
        balancer.refused(node.now(), instance);
    }
}

/// Reads the short body of a refusal, so that the connection can be reused.
async fn keep_after_refusal(node: &Arc<EntryNode>, body: Incoming, lease: ConnectionLease, head: &ResponseHead) {
    const MAX_REFUSAL_BYTES: usize = 4 * 1024;
    const REFUSAL_TIMEOUT: Duration = Duration::from_millis(50);
    let read = clock::timeout(REFUSAL_TIMEOUT, Limited::new(body, MAX_REFUSAL_BYTES).collect()).await;
    if matches!(read, Ok(Ok(_))) && !head.is_closing {
        node.pool.keep(lease, head.idle_timeout);
    }
}

/// Sends a request and reads the complete response within `limit`.
pub async fn fetch_response(
    node: &Arc<EntryNode>,
    guard: InFlightGuard,
    request: ServerRequest<'_>,
    wants_fresh: bool,
    limit: Duration,
) -> Result<CompleteResponse, AttemptError> {
    let instance = guard.server.instance.clone();
    let request_id = request.request_id.to_owned();
    let progress = ResponseProgress::default();
    let exchange = async {
        let open = open_response(node, guard, request, wants_fresh).await?;
        let read = resource_limits::read_response(node, &request_id, open.body, MAX_RESPONSE_BYTES, &progress).await;
        let (body, reservation) = match read {
            Ok(response) => response,
            Err(ReadError::TooLong) => {
                let why = "the response is longer than any that is relayed";
                server_responses::record_endless(node, &open.guard, why);
                return Err(AttemptError::MayHaveRun(why.into()));
            }
            Err(ReadError::Broken) => {
                node.balancer.lock().unwrap().failed(node.now(), &instance);
                crash_detection::check_broken_connection(node, &open.guard, &request_id).await;
                return Err(AttemptError::MayHaveRun("the connection broke during the response".into()));
            }
        };
        node.balancer.lock().unwrap().succeeded(&instance);
        suspects::record_response(node, &open.guard);
        if !open.head.is_closing {
            node.pool.keep(open.lease, open.head.idle_timeout);
        }
        Ok(CompleteResponse { status: open.status, headers: open.headers, head: open.head, body, reservation })
    };
    match clock::timeout(limit, exchange).await {
        Ok(response) => response,
        Err(_) => {
            // A server whose response waits for memory at this node is not at fault, unless the response has no end.
            if !node.resource_limits.is_near_limit() || progress.may_be_endless() {
                node.balancer.lock().unwrap().failed(node.now(), &instance);
            }
            Err(AttemptError::MayHaveRun("no whole answer in time".into()))
        }
    }
}
