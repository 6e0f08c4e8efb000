//! Passes event streams on as they arrive, and resumes those that may be resumed.

use super::attempt::{self, StreamingResponse};
use super::front::{BrokenReply, ClientRequest, ReplyBody};
use super::node::EntryNode;
use super::plain::{self, RequestFailure};
use super::request_history::RequestHistory;
use super::{crash_detection, engine_priority, suspects};
use crate::process::clock;
use bytes::Bytes;
use futures_util::stream;
use http::{HeaderMap, Response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{MemoryPurpose, MemoryReservation, STREAM_BYTES};
use trestlerack::version::RequestRoute;
use trestlerack_platform::EventDecoder;

/// Longest pause between two events before a stream is resumed elsewhere; clients leave after two
/// seconds at the earliest.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A stream on its way to a client.
struct StreamRelay {
    node: Arc<EntryNode>,
    route: RequestRoute,
    request: ClientRequest,
    deadline: Timestamp,
    history: RequestHistory,
    open: StreamingResponse,
    decoder: EventDecoder,
    last_event: Option<u64>,
    /// What the stream costs; its events are read only as the client reads them.
    _held: MemoryReservation,
}

/// Serves a request for a stream: the reply has the head of the first server that answers.
pub async fn serve(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: ClientRequest,
    deadline: Timestamp,
    mut history: RequestHistory,
) -> Response<ReplyBody> {
    let resume_after = request.head.resume_after;
    let Ok(held) = node.held.ledger.try_reserve(MemoryPurpose::Streams, STREAM_BYTES) else {
        let reply = plain::failure_reply(&request, &RequestFailure::NotRun, true);
        history.record_response(reply.status());
        return reply;
    };
    let opened = open(node, route, &request, deadline, resume_after, &mut history).await;
    let open = match opened {
        Ok(open) => open,
        Err(failure) => {
            let reply = plain::failure_reply(&request, &failure, history.tried().is_empty());
            history.record_response(reply.status());
            return reply;
        }
    };
    history.record_response(open.status);
    let relay = StreamRelay {
        node: node.clone(),
        route: route.clone(),
        request,
        deadline,
        history,
        open,
        decoder: EventDecoder::default(),
        last_event: resume_after,
        _held: held,
    };
    relay.into_reply()
}

/// Opens a stream after the last event that is known, at servers that were not tried yet.
async fn open(
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
        let instance = guard.server.instance.clone();
        let left = deadline.since(node.now());
        let mut engine_request = plain::engine_request(request, &instance, left);
        engine_request.resume_after = resume_after;
        let service = &guard.server.service;
        engine_request.priority = engine_priority::of_request(node, route, service, request, left, resume_after);
        let opening = attempt::open_response(node, guard, engine_request, !route.resumable);
        match clock::timeout(left, opening).await {
            Ok(Ok(answer)) => {
                // A generation begins with its first event, with which the head comes.
                history.record_start();
                history.record_run();
                return Ok(answer);
            }
            Ok(Err(error)) => {
                history.log_failed_attempt(&instance, &error);
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
        plain::copy_headers(&self.open.headers, &mut headers);
        let status = self.open.status;
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
        suspects::record_response(&self.node, &self.open.guard);
        self.node.balancer.lock().unwrap().succeeded(&self.open.guard.server.instance);
        if !self.open.head.is_closing {
            self.node.pool.keep(self.open.lease, self.open.head.idle_timeout);
        }
    }

    /// Returns the next bytes for the client, or `None` at the stream's own end.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenReply> {
        loop {
            let why = match self.read_frame().await {
                Ok(Some(bytes)) if bytes.is_empty() => continue,
                Ok(Some(bytes)) => return Ok(Some(bytes)),
                Ok(None) if self.decoder.is_between_events() => return Ok(None),
                Ok(None) => BrokenReply::from("the stream ended within an event"),
                Err(error) => error,
            };
            if why.is::<hyper::Error>() {
                let id = self.request.id();
                crash_detection::check_broken_connection(&self.node, &self.open.guard, id).await;
            }
            self.resume(why).await?;
        }
    }

    async fn read_frame(&mut self) -> Result<Option<Bytes>, BrokenReply> {
        let can_resume = self.route.resumable && self.open.status.is_success();
        let frame = if can_resume {
            clock::timeout(EVENT_TIMEOUT, self.open.body.frame()).await?
        } else {
            self.open.body.frame().await
        };
        let Some(frame) = frame else { return Ok(None) };
        let Ok(bytes) = frame?.into_data() else { return Ok(Some(Bytes::new())) };
        if !can_resume {
            return Ok(Some(bytes));
        }
        // Only whole events go on, since the next server begins with a whole one.
        let (raw, events) = self.decoder.feed_raw(&bytes)?;
        for event in events {
            let follows = self.last_event.is_none_or(|last| event.number == last + 1);
            if !follows {
                return Err(format!("event {} does not follow", event.number).into());
            }
            self.last_event = Some(event.number);
        }
        Ok(Some(raw))
    }

    /// Goes on at another server after the last whole event, if the route allows it.
    async fn resume(&mut self, why: BrokenReply) -> Result<(), BrokenReply> {
        let instance = self.open.guard.server.instance.clone();
        self.node.balancer.lock().unwrap().failed(self.node.now(), &instance);
        self.history.log_failed_attempt(&instance, &why);
        let has_repeated_crashes = suspects::has_repeated_crashes(&self.node, self.open.guard.fingerprint);
        if !self.route.resumable || !self.open.status.is_success() || has_repeated_crashes {
            return Err(why);
        }
        let opened =
            open(&self.node, &self.route, &self.request, self.deadline, self.last_event, &mut self.history).await;
        match opened {
            Ok(answer) if answer.status == self.open.status => {
                self.open = answer;
                self.decoder = EventDecoder::default();
                Ok(())
            }
            Ok(_) | Err(_) => Err(why),
        }
    }
}
