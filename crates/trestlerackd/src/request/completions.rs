//! Completion calls of applications, forwarded to an engine, with streamed responses.

use super::api_call::{ApiCall, error_response, json_response, serve};
use super::call_driver::{CallSink, drive};
use super::engine_client::{CompletionChoice, CompletionEvent, STREAM_END};
use crate::node::Node;
use crate::process::stop::WorkGuard;
use async_trait::async_trait;
use bytes::Bytes;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::state::State;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use hyper::{Response, header};
use serde::Deserialize;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use trestlerack::connection::{CallSpec, TokenChunk};
use trestlerack::hash::hash_parts;
use trestlerack::request::ResumePolicy;
use trestlerack::verdict::Reason;
use trestlerack::{Failure, Name, Timestamp};

/// Default priority of an application's call, above that of samples.
const APPLICATION_PRIORITY: u8 = 50;

/// Highest priority that a caller may request.
const MAX_PRIORITY: u8 = 100;

/// Number of leading characters of a prompt that are hashed as its shared prefix.
const PREFIX_CHARACTERS: usize = 256;

/// Number of events buffered for a slow reader. A full buffer applies backpressure to the engine.
const STREAM_EVENT_CAPACITY: usize = 16;

#[derive(Deserialize)]
struct CompletionRequest {
    model: Name,
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
    #[serde(default)]
    stream: bool,
    #[serde(default = "default_priority")]
    priority: u8,
    #[serde(default)]
    seed: u64,
}

fn default_max_tokens() -> u32 {
    256
}

fn default_priority() -> u8 {
    APPLICATION_PRIORITY
}

/// `POST /v1/completions`.
pub async fn complete(state: State) -> HandlerResult {
    serve(state, "completions", run).await
}

async fn run(call: ApiCall) -> Result<Response<Body>, Failure> {
    let user = call.require_user()?;
    let request: CompletionRequest = call.json()?;
    let timeout = call.timeout()?;
    let config = call.node.config.current();
    let allowed_zones = config.user(&user).map(|user| user.allowed_zones.clone()).unwrap_or_default();
    let prefix: String = request.prompt.chars().take(PREFIX_CHARACTERS).collect();
    let spec = CallSpec {
        account: user,
        weight: 1,
        model: request.model.clone(),
        allowed_zones,
        prefix: hash_parts(&[&prefix]),
        prompt: request.prompt,
        offset: 0,
        max_tokens: request.max_tokens.max(1),
        seed: request.seed,
        priority: request.priority.min(MAX_PRIORITY),
        min_version: 0,
        needs_version: false,
        deadline_ms: trestlerack::time::millis(timeout),
        traceparent: call.span.traceparent.clone(),
        fingerprint: None,
    };
    let spec = spec.with_fingerprint();
    let deadline = call.node.now() + timeout;
    if request.stream { stream(call, spec, deadline).await } else { collect(call, spec, deadline).await }
}

const RESUME_POLICY: ResumePolicy = ResumePolicy { repeatable: true, waits_for_engine: false };

async fn collect(call: ApiCall, spec: CallSpec, deadline: Timestamp) -> Result<Response<Body>, Failure> {
    let mut sink = CollectSink::default();
    drive(&call.node, &spec, deadline, RESUME_POLICY, &mut sink).await?;
    let mut event = completion_event(&spec.model, 0, sink.tokens, sink.text);
    event.choices[0].finish_reason = sink.finish_reason;
    event.weight_version = sink.version;
    event.engine_incarnation = sink.incarnation;
    json_response(&event)
}

fn completion_event(model: &Name, offset: u32, tokens: u32, text: String) -> CompletionEvent {
    CompletionEvent {
        object: "text_completion".into(),
        model: model.clone(),
        choices: vec![CompletionChoice { index: 0, text, finish_reason: None }],
        weight_version: None,
        engine_incarnation: None,
        offset,
        tokens,
    }
}

#[derive(Default)]
struct CollectSink {
    tokens: u32,
    text: String,
    version: Option<u64>,
    incarnation: Option<Name>,
    finish_reason: Option<Name>,
}

#[async_trait]
impl CallSink for CollectSink {
    fn started(&mut self, _engine: Name, _zone: Name, _owner: Name) {}

    async fn chunk(&mut self, chunk: TokenChunk) -> Result<(), Failure> {
        check_offset(self.tokens, &chunk)?;
        self.tokens += chunk.tokens;
        self.text.push_str(&chunk.text);
        self.version = chunk.version;
        self.incarnation = Some(chunk.incarnation);
        self.finish_reason = chunk.finish_reason;
        Ok(())
    }

    fn received(&self) -> (u32, &str) {
        (self.tokens, &self.text)
    }
}

/// Checks that a chunk continues exactly after the tokens received so far. Otherwise the stream is broken.
fn check_offset(received: u32, chunk: &TokenChunk) -> Result<(), Failure> {
    if chunk.offset == received {
        return Ok(());
    }
    let detail = format!("the engine continued at token {} instead of {received}", chunk.offset);
    Err(Failure::may_have_run(Reason::BackendFailed, detail))
}

/// Starts a streamed response. The response head is sent after the first token, so that a call which
/// cannot start gets an error status instead of a broken stream.
async fn stream(call: ApiCall, spec: CallSpec, deadline: Timestamp) -> Result<Response<Body>, Failure> {
    let (events, receiver) = mpsc::channel::<Bytes>(STREAM_EVENT_CAPACITY);
    let (head, head_result) = oneshot::channel();
    let ApiCall { node, work, span, .. } = call;
    tokio::spawn(async move {
        let _span = span;
        run_stream(node, work, spec, deadline, events, head).await;
    });
    match head_result.await {
        Ok(Ok(())) => Ok(stream_response(receiver)),
        Ok(Err(failure)) => Err(failure),
        Err(_) => Err(Failure::may_have_run(Reason::BackendFailed, "the call ended without a response")),
    }
}

async fn run_stream(
    node: Arc<Node>,
    _work: WorkGuard,
    spec: CallSpec,
    deadline: Timestamp,
    events: mpsc::Sender<Bytes>,
    head: oneshot::Sender<Result<(), Failure>>,
) {
    let mut sink = StreamSink { model: spec.model.clone(), tokens: 0, text: String::new(), events, head: Some(head) };
    let outcome = drive(&node, &spec, deadline, RESUME_POLICY, &mut sink).await;
    match (outcome, sink.head.take()) {
        (Ok(_), head) => {
            if let Some(head) = head {
                // Fails only if the caller is gone.
                let _ = head.send(Ok(()));
            }
            sink.send_data(STREAM_END).await;
        }
        (Err(failure), Some(head)) => {
            // Fails only if the caller is gone.
            let _ = head.send(Err(failure));
        }
        (Err(failure), None) => sink.send_failure(&node, &failure).await,
    }
}

fn stream_response(receiver: mpsc::Receiver<Bytes>) -> Response<Body> {
    let frames = ReceiverStream::new(receiver).map(|event| Ok(Frame::data(event)));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-store"));
    response
}

struct StreamSink {
    model: Name,
    tokens: u32,
    text: String,
    events: mpsc::Sender<Bytes>,
    head: Option<oneshot::Sender<Result<(), Failure>>>,
}

impl StreamSink {
    async fn send_data(&mut self, data: &str) -> bool {
        self.events.send(Bytes::from(format!("data: {data}\n\n"))).await.is_ok()
    }

    /// Ends an incomplete stream with an error event and without [`STREAM_END`], so that a truncated
    /// response is never taken for a complete one.
    async fn send_failure(&mut self, node: &Node, failure: &Failure) {
        let problem = error_response(node, "completions", failure);
        if let Ok(body) = problem.into_body().collect().await {
            let body = body.to_bytes();
            let text = format!("event: error\ndata: {}\n\n", String::from_utf8_lossy(&body));
            // Fails only if the caller is gone.
            let _ = self.events.send(Bytes::from(text)).await;
        }
    }
}

#[async_trait]
impl CallSink for StreamSink {
    fn started(&mut self, _engine: Name, _zone: Name, _owner: Name) {}

    async fn chunk(&mut self, chunk: TokenChunk) -> Result<(), Failure> {
        check_offset(self.tokens, &chunk)?;
        if let Some(head) = self.head.take() {
            // Fails only if the caller is gone, which `send_data` reports below.
            let _ = head.send(Ok(()));
        }
        self.tokens += chunk.tokens;
        self.text.push_str(&chunk.text);
        let mut event = completion_event(&self.model, chunk.offset, chunk.tokens, chunk.text);
        event.weight_version = chunk.version;
        event.engine_incarnation = Some(chunk.incarnation);
        event.choices[0].finish_reason = chunk.finish_reason;
        let data = serde_json::to_string(&event).expect("a completion event is always serializable");
        if self.send_data(&data).await {
            return Ok(());
        }
        Err(Failure::may_have_run(Reason::Conflict, "the caller disconnected"))
    }

    fn received(&self) -> (u32, &str) {
        (self.tokens, &self.text)
    }
}
