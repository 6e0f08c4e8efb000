//! One attempt of a request at one backend server.

use super::node::EntryNode;
use super::pool::{ConnectionLease, ExchangeError};
use super::server_ticket::ServerTicket;
use super::{held, room, server_answers, server_end, suspects};
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

/// Longest answer that is read whole before it is passed on, in bytes.
const MAX_ANSWER: usize = 32 * 1024 * 1024;

/// A whole answer of a backend server.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// What the headers say.
    pub head: ResponseHead,
    /// Body.
    pub body: Bytes,
    /// Count of the bytes of the body.
    pub held: MemoryReservation,
}

/// The head of an answer whose body is still to come.
pub struct OpenAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// What the headers say.
    pub head: ResponseHead,
    /// Body.
    pub body: Incoming,
    /// Connection; dropping it cancels the work.
    pub lease: ConnectionLease,
    /// Counts the request at its server.
    pub ticket: ServerTicket,
    /// Lasts as long as the answer is read.
    pub span: Option<HopSpan>,
}

/// Why an attempt brought no answer.
#[derive(Debug)]
pub enum AttemptError {
    /// The server did not run the request.
    NotRun(String),
    /// The server may have run the request.
    MayHaveRun(String),
    /// The request was not sent, and is not to be sent for so long: servers ended under what it asks for.
    Held(Duration),
}

impl AttemptError {
    /// Returns whether the server did not run the request.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Held(_))
    }
}

impl std::fmt::Display for AttemptError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotRun(detail) => write!(formatter, "not run: {detail}"),
            Self::MayHaveRun(detail) => write!(formatter, "may have run: {detail}"),
            Self::Held(left) => write!(formatter, "not run: held for {} s", left.as_secs()),
        }
    }
}

/// Sends a request and returns the head of its own answer, checked against the request's id.
pub async fn open_answer(
    node: &Arc<EntryNode>,
    ticket: ServerTicket,
    mut request: ServerRequest<'_>,
    wants_fresh: bool,
) -> Result<OpenAnswer, AttemptError> {
    let instance = ticket.server.instance.clone();
    let request_id = request.request_id.to_owned();
    // Every request of a caller, of whatever kind, is sent from here, so none gets past this.
    if let Some(left) = suspects::held_for(node, ticket.fingerprint) {
        suspects::log_held(node, &request_id, ticket.fingerprint, left);
        return Err(AttemptError::Held(left));
    }
    // Boxed, since few requests are suspected and each one in progress would hold room for the question.
    if suspects::is_suspect(node, ticket.fingerprint) && !Box::pin(suspects::ask_trial(node, &ticket)).await {
        return Err(AttemptError::NotRun("another suspect is tried at this server".into()));
    }
    let span = node.hop("attempt", SpanKind::Client, &mut request.headers);
    if let Some(span) = &span {
        span.set("request", request_id.clone());
        span.set("server", instance.to_string());
    }
    let encoded = platform::encode_request(request).map_err(|error| AttemptError::NotRun(error.to_string()))?;
    ticket.sent();
    let sent = node.pool.send(&ticket.server.address, encoded, wants_fresh).await;
    let (response, lease) = match sent {
        Ok(answer) => answer,
        Err(error) => {
            node.balancer.lock().unwrap().failed(node.now(), &instance);
            return Err(match error {
                ExchangeError::NotSent(detail) => {
                    ticket.settle();
                    AttemptError::NotRun(detail)
                }
                ExchangeError::NoAnswer(detail) => {
                    server_end::connection_broke(node, &ticket, &request_id).await;
                    AttemptError::MayHaveRun(detail)
                }
            });
        }
    };
    let (parts, body) = response.into_parts();
    let head = platform::decode_response_head(&parts.headers);
    let is_foreign = head.request_id.as_deref().is_some_and(|id| id != request_id);
    if is_foreign {
        return Err(AttemptError::MayHaveRun("an answer to another request came".into()));
    }
    if let Some(load) = head.load {
        node.balancer.lock().unwrap().record_load(node.now(), &instance, load.running, load.waiting);
        if let Some(percent) = load.slowness_percent {
            server_answers::record_reported_slowness(node, &instance, percent);
        }
    }
    let is_other_server = parts.status == StatusCode::MISDIRECTED_REQUEST;
    if head.is_not_run || is_other_server {
        ticket.settle();
        let is_gone = platform::responding_instance(&parts.headers).is_some_and(|other| other != instance);
        note_refusal(node, &instance, is_gone);
        if !is_gone {
            room::note_full(node, &ticket.server.service);
        }
        keep_after_body(node, body, lease, &head).await;
        return Err(AttemptError::NotRun(format!("refused with {}", parts.status)));
    }
    if head.is_content_encoded {
        return Err(AttemptError::MayHaveRun("the answer is encoded, so it is not the server's own body".into()));
    }
    if head.signature.is_none() || head.request_id.is_none() {
        return Err(AttemptError::MayHaveRun(format!("the answer of status {} is not signed", parts.status)));
    }
    Ok(OpenAnswer { status: parts.status, headers: parts.headers, head, body, lease, ticket, span })
}

fn note_refusal(node: &EntryNode, instance: &str, is_gone: bool) {
    let mut balancer = node.balancer.lock().unwrap();
    if is_gone {
        balancer.failed(node.now(), instance);
    } else {
        balancer.refused(node.now(), instance);
    }
}

/// Reads the short body of a refusal, so that its connection can be used again.
async fn keep_after_body(node: &Arc<EntryNode>, body: Incoming, lease: ConnectionLease, head: &ResponseHead) {
    const REFUSAL_BYTES: usize = 4 * 1024;
    const REFUSAL_TIME: Duration = Duration::from_millis(50);
    let read = clock::timeout(REFUSAL_TIME, Limited::new(body, REFUSAL_BYTES).collect()).await;
    if matches!(read, Ok(Ok(_))) && !head.is_closing {
        node.pool.keep(lease, head.idle_timeout);
    }
}

/// Makes an attempt and reads the whole answer, within `limit`.
pub async fn whole_answer(
    node: &Arc<EntryNode>,
    ticket: ServerTicket,
    request: ServerRequest<'_>,
    wants_fresh: bool,
    limit: Duration,
) -> Result<WholeAnswer, AttemptError> {
    let instance = ticket.server.instance.clone();
    let request_id = request.request_id.to_owned();
    let exchange = async {
        let open = open_answer(node, ticket, request, wants_fresh).await?;
        let body = held::read_answer(node, &request_id, open.body, MAX_ANSWER).await;
        let Some((body, held)) = body else {
            node.balancer.lock().unwrap().failed(node.now(), &instance);
            server_end::connection_broke(node, &open.ticket, &request_id).await;
            return Err(AttemptError::MayHaveRun("the answer broke off".into()));
        };
        node.balancer.lock().unwrap().succeeded(&instance);
        suspects::answered(node, &open.ticket);
        if !open.head.is_closing {
            node.pool.keep(open.lease, open.head.idle_timeout);
        }
        Ok(WholeAnswer { status: open.status, headers: open.headers, head: open.head, body, held })
    };
    match clock::timeout(limit, exchange).await {
        Ok(answer) => answer,
        Err(_) => {
            // A server whose answer waits for room here is not to blame.
            if !node.held.is_pressed() {
                node.balancer.lock().unwrap().failed(node.now(), &instance);
            }
            Err(AttemptError::MayHaveRun("no whole answer in time".into()))
        }
    }
}
