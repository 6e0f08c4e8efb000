//! Relays event streams to clients as they arrive, and resumes resumable ones at another server.

use super::attempt::{self, StreamingResponse};
use super::client_requests::{ClientRequest, ReplyBody, ReplyError};
use super::node::EntryNode;
use super::plain::{self, RequestFailure};
use super::request_history::RequestHistory;
use super::resource_limits::StreamMemory;
use super::{crash_detection, server_responses, suspects};
use crate::process::clock;
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{MemoryPurpose, MemoryReservation, STREAM_BYTES};
use trestlerack::request::FIRST_EVENT_NUMBERS;
use trestlerack::version::RequestRoute;
use trestlerack_platform::{EventBlock, EventDecoder};

/// Maximum gap between two events before a stream is resumed at another server. Clients disconnect after two
/// seconds at the earliest.
const EVENT_GAP_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after the time limit of the route for which a stream may still end by itself. Its server ends it at the limit
/// unless it has gone silent, and its last bytes may be on their way.
const LIMIT_SLACK: Duration = Duration::from_millis(100);

/// Time after that for which bytes that have arrived are still relayed to a client that reads slowly.
const LIMIT_GRACE: Duration = Duration::from_millis(500);

/// An event stream that is relayed from a server to a client.
struct StreamRelay {
    node: Arc<EntryNode>,
    route: RequestRoute,
    request: ClientRequest,
    deadline: Timestamp,
    /// When the stream is broken off if it has not ended; `None` if neither its route nor its client sets a time limit.
    ends_at: Option<Timestamp>,
    history: RequestHistory,
    /// Response of the current server; `None` while another one is searched.
    open: Option<StreamingResponse>,
    decoder: EventDecoder,
    /// Memory of the event that is not complete yet.
    event_memory: StreamMemory,
    last_event: Option<u64>,
    /// Why the current server's stream cannot be continued after the events that were taken of it.
    sequence_error: Option<ReplyError>,
    /// When the last event arrived from the current server, or its response was opened.
    event_at: Timestamp,
    /// Memory of the stream. Its size is fixed, since events are read only as the client reads them.
    _reservation: MemoryReservation,
}

/// Serves a request for a stream. The reply has the status and headers of the first server that responds.
pub async fn serve(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: ClientRequest,
    deadline: Timestamp,
    mut history: RequestHistory,
) -> Response<ReplyBody> {
    let resume_after = request.head.resume_after;
    let Ok(reservation) = node.resource_limits.memory.try_reserve(MemoryPurpose::Streams, STREAM_BYTES) else {
        let reply = plain::failure_reply(&request, &RequestFailure::NotRun, true);
        history.record_response(reply.status());
        return reply;
    };
    let opened = open_stream(node, route, &request, deadline, resume_after, &mut history).await;
    let open = match opened {
        Ok(open) => open,
        Err(failure) => {
            let reply = plain::failure_reply(&request, &failure, history.tried().is_empty());
            history.record_response(reply.status());
            return reply;
        }
    };
    history.record_response(open.status);
    let limit = Duration::from_millis(route.timeout_ms);
    let ends_at = match limit.is_zero() {
        false => Some(history.started() + limit + LIMIT_SLACK),
        true => request.head.time_left.map(|_| deadline + LIMIT_SLACK),
    };
    let relay = StreamRelay {
        node: node.clone(),
        route: route.clone(),
        request,
        deadline,
        ends_at,
        history,
        open: Some(open),
        decoder: EventDecoder::default(),
        event_memory: StreamMemory::new(node.resource_limits.memory.clone()),
        last_event: resume_after,
        sequence_error: None,
        event_at: node.now(),
        _reservation: reservation,
    };
    relay.into_reply()
}

/// Opens a stream after the event `resume_after`, at servers that were not tried yet.
async fn open_stream(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: &ClientRequest,
    deadline: Timestamp,
    resume_after: Option<u64>,
    history: &mut RequestHistory,
) -> Result<StreamingResponse, RequestFailure> {
    let fingerprint = request.fingerprint();
    let mut failure = RequestFailure::NotRun;
    while history.runs() < route.max_attempts {
        if let Some(left) = plain::check_blocked(node, request, fingerprint) {
            failure = failure.with_retry_after(left);
            break;
        }
        let guard = match plain::find_server(node, route, request, fingerprint, deadline, history).await {
            Ok(guard) => guard,
            Err(return_after) => {
                failure = failure.with_optional_retry_after(return_after);
                break;
            }
        };
        let server = guard.server.clone();
        let left = deadline.since(node.now());
        let engine_request = plain::engine_request(node, route, request, &server, left, resume_after);
        let opening = attempt::open_response(node, guard, engine_request, !route.resumable);
        match clock::timeout(left, opening).await {
            Ok(Ok(answer)) => {
                // The response headers arrive with the first event, so the generation has started.
                history.record_start();
                history.record_run();
                return Ok(answer);
            }
            Ok(Err(error)) => {
                history.log_failed_attempt(&server.instance, &error);
                if error.is_not_run() {
                    history.record_not_run();
                    continue;
                }
                history.record_run();
                failure = RequestFailure::MayHaveRun;
                if !route.resumable || suspects::has_repeated_crashes(node, fingerprint) {
                    return Err(failure);
                }
            }
            Err(_) => return Err(RequestFailure::TimedOut),
        }
    }
    Err(failure)
}

impl StreamRelay {
    fn into_reply(self) -> Response<ReplyBody> {
        let mut headers = HeaderMap::new();
        let status = self.open.as_ref().map_or(StatusCode::BAD_GATEWAY, |open| {
            plain::copy_headers(&open.headers, &mut headers);
            open.status
        });
        let frames = stream::unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(bytes)) => Some((Ok(Frame::data(bytes)), Some(relay))),
                Ok(None) => {
                    relay.keep_connection();
                    None
                }
                Err(error) => Some((Err(error), None)),
            }
        });
        let mut reply = Response::new(BodyExt::boxed_unsync(StreamBody::new(frames)));
        *reply.status_mut() = status;
        *reply.headers_mut() = headers;
        reply
    }

    fn keep_connection(self) {
        let Some(open) = self.open else { return };
        suspects::record_response(&self.node, &open.guard);
        self.node.balancer.lock().unwrap().succeeded(&open.guard.server.instance);
        if !open.head.is_closing {
            self.node.pool.keep(open.lease, open.head.idle_timeout);
        }
    }

    /// Returns the next bytes for the client, or `None` at the regular end of the stream. Fails at the time limit of the
    /// route, also if the server has gone silent.
    async fn next(&mut self) -> Result<Option<Bytes>, ReplyError> {
        let Some(ends_at) = self.ends_at else { return self.relay_next().await };
        let now = self.node.now();
        let relayed = match now > ends_at + LIMIT_GRACE {
            // The timeout does not end a stream whose next bytes are always there.
            true => None,
            false => clock::timeout(ends_at.since(now), self.relay_next()).await.ok(),
        };
        relayed.unwrap_or_else(|| {
            let error = ReplyError::from("the time limit of the route has passed");
            // A server ends its response at the limit by itself.
            if let Some(open) = &self.open {
                let instance = &open.guard.server.instance;
                self.node.balancer.lock().unwrap().failed(self.node.now(), instance);
                self.history.log_failed_attempt(instance, &error);
            }
            Err(error)
        })
    }

    async fn relay_next(&mut self) -> Result<Option<Bytes>, ReplyError> {
        loop {
            let error = match self.read_frame().await {
                Ok(Some(bytes)) if bytes.is_empty() => continue,
                Ok(Some(bytes)) => return Ok(Some(bytes)),
                Ok(None) if self.decoder.is_between_events() => return Ok(None),
                Ok(None) => ReplyError::from("stream ended in the middle of an event"),
                Err(error) => error,
            };
            if let Some(open) = self.open.as_ref().filter(|_| error.is::<hyper::Error>()) {
                let id = self.request.id();
                crash_detection::check_broken_connection(&self.node, &open.guard, id).await;
            }
            self.resume(error).await?;
        }
    }

    async fn read_frame(&mut self) -> Result<Option<Bytes>, ReplyError> {
        if let Some(error) = self.sequence_error.take() {
            return Err(error);
        }
        let Some(open) = &mut self.open else { return Err("no server has the stream".into()) };
        let can_resume = self.route.resumable && open.status.is_success();
        let mut wait = EVENT_GAP_TIMEOUT;
        let frame = if can_resume {
            // Bytes that complete no event do not prolong the wait, also if there are always some.
            wait = (self.event_at + EVENT_GAP_TIMEOUT).since(self.node.now());
            clock::timeout(wait, open.body.frame()).await?
        } else {
            open.body.frame().await
        };
        let Some(frame) = frame else { return Ok(None) };
        let Ok(bytes) = frame?.into_data() else { return Ok(Some(Bytes::new())) };
        if !can_resume {
            return Ok(Some(bytes));
        }
        // Only complete events are relayed, since the next server starts with a complete one.
        let decoded = self.decoder.feed_blocks(&bytes).map_err(|error| error.to_string());
        let held = decoded.and_then(|blocks| self.event_memory.hold(self.decoder.buffered_bytes()).map(|()| blocks));
        let blocks = held.inspect_err(|why| server_responses::record_endless(&self.node, &open.guard, why))?;
        if wait.is_zero() && blocks.iter().all(|block| block.event.is_none()) {
            return Err("no event in time".into());
        }
        let numbers = blocks.iter().filter_map(|block| block.event.as_ref().map(|event| event.number));
        suspects::record_events(&self.node, &open.guard, numbers);
        Ok(Some(self.take_blocks(blocks)))
    }

    /// Returns the bytes of events that follow those before. What comes from the first other event on is dropped, and the
    /// next read fails, so that the stream is resumed after the events that the client has got.
    fn take_blocks(&mut self, blocks: Vec<EventBlock>) -> Bytes {
        let mut taken = BytesMut::new();
        for EventBlock { raw, event } in blocks {
            if let Some(event) = event {
                let follows = match self.last_event {
                    Some(last) => event.number == last + 1,
                    None => FIRST_EVENT_NUMBERS.contains(&event.number),
                };
                if !follows {
                    self.sequence_error = Some(format!("event {} is out of sequence", event.number).into());
                    break;
                }
                self.last_event = Some(event.number);
                self.event_at = self.node.now();
            }
            taken.extend_from_slice(&raw);
        }
        taken.freeze()
    }

    /// Resumes the stream at another server after the last complete event, if the route allows it.
    async fn resume(&mut self, error: ReplyError) -> Result<(), ReplyError> {
        let Some(open) = self.open.take() else { return Err(error) };
        let (instance, status, fingerprint) = (open.guard.server.instance.clone(), open.status, open.guard.fingerprint);
        // The search for another server may take long, and this one may go on sending.
        open.close();
        self.node.balancer.lock().unwrap().failed(self.node.now(), &instance);
        self.history.log_failed_attempt(&instance, &error);
        let has_repeated_crashes = suspects::has_repeated_crashes(&self.node, fingerprint);
        if !self.route.resumable || !status.is_success() || has_repeated_crashes {
            return Err(error);
        }
        let opened =
            open_stream(&self.node, &self.route, &self.request, self.deadline, self.last_event, &mut self.history)
                .await;
        match opened {
            Ok(answer) if answer.status == status => {
                self.open = Some(answer);
                self.decoder = EventDecoder::default();
                self.event_at = self.node.now();
                Ok(())
            }
            Ok(_) | Err(_) => Err(error),
        }
    }
}
