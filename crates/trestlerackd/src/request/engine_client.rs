//! Client of model engines: completions as server-sent events, status and orders.

use crate::connection::http_client::{HttpClient, HttpResponse, read_response};
use crate::process::clock;
use async_trait::async_trait;
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full};
use hyper::{Request, header};
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use trestlerack::connection::{CallSpec, TokenChunk};
use trestlerack::interfaces::{ChunkSink, EngineClient, EngineStatus};
use trestlerack::verdict::Reason;
use trestlerack::version::{EngineOrder, WeightVersion};
use trestlerack::{Failure, Name};

/// Data of the event that marks the end of a complete stream.
pub const STREAM_END: &str = "[DONE]";

/// Longest time between two events of a stream.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(5);

/// Most bytes without a complete event of a stream.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Timeout of a status request.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// Header with which a backend server reports that it is draining.
const DRAINING_HEADER: &str = "x-leaving";

/// Client of model engines over HTTP.
pub struct HttpEngineClient {
    http: HttpClient,
    order_timeout: Duration,
    staged_swap: bool,
}

impl HttpEngineClient {
    /// Builds a client. An order times out after `order_timeout` and asks the engine for a staged swap
    /// of weights if `staged_swap` is set.
    pub fn new(http: HttpClient, order_timeout: Duration, staged_swap: bool) -> Self {
        Self { http, order_timeout, staged_swap }
    }
}

#[derive(Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    priority: u8,
    seed: u64,
    offset: u32,
}

/// One event of a completion stream, as engines send it and callers receive it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionEvent {
    /// Kind of object; fixed by the protocol.
    pub object: Name,
    /// Model.
    pub model: Name,
    /// Generated text; one choice only.
    pub choices: Vec<CompletionChoice>,
    /// Weight version that generated the tokens.
    #[serde(default)]
    pub weight_version: Option<WeightVersion>,
    /// Incarnation of the engine.
    #[serde(default)]
    pub engine_incarnation: Option<Name>,
    /// Index of the first token.
    #[serde(default)]
    pub offset: u32,
    /// Number of tokens.
    #[serde(default)]
    pub tokens: u32,
}

/// One choice of a completion.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Index of the choice; always 0.
    pub index: u32,
    /// Text.
    pub text: String,
    /// Why generation ended, on the last event.
    pub finish_reason: Option<Name>,
}

impl CompletionEvent {
    fn into_chunk(self) -> TokenChunk {
        TokenChunk {
            offset: self.offset,
            tokens: self.tokens,
            finish_reason: self.choices.iter().find_map(|choice| choice.finish_reason.clone()),
            text: self.choices.into_iter().map(|choice| choice.text).collect(),
            version: self.weight_version,
            incarnation: self.engine_incarnation.unwrap_or_else(|| "".into()),
        }
    }
}

#[async_trait]
impl EngineClient for HttpEngineClient {
    async fn complete(&self, address: &str, call: &CallSpec, sink: &mut dyn ChunkSink) -> Result<(), Failure> {
        let response = self.http.send(completion_request(address, call)?).await?;
        if !response.status().is_success() {
            return Err(rejection(read_response(response).await?));
        }
        // Bytes since the last event, which the parser keeps in memory.
        let pending = AtomicUsize::new(0);
        let limited = response.into_body().into_data_stream().map(|chunk| {
            let bytes = chunk.map_err(io::Error::other)?;
            match pending.fetch_add(bytes.len(), Ordering::Relaxed) + bytes.len() <= MAX_EVENT_BYTES {
                true => Ok(bytes),
                false => Err(io::Error::other("an event exceeds the size limit")),
            }
        });
        let mut events = limited.eventsource();
        loop {
            let event = match clock::timeout(CHUNK_TIMEOUT, events.next()).await {
                Ok(Some(Ok(event))) => event,
                Ok(Some(Err(error))) => return Err(backend_failure(&format!("the stream broke: {error}"))),
                Ok(None) => return Err(backend_failure("the stream ended without [DONE]")),
                Err(_) => return Err(backend_failure("the engine sent no event in time")),
            };
            if event.data == STREAM_END {
                return Ok(());
            }
            let parsed = serde_json::from_str::<CompletionEvent>(&event.data);
            let parsed = parsed.map_err(|error| backend_failure(&format!("invalid completion event: {error}")))?;
            pending.store(0, Ordering::Relaxed);
            if parsed.tokens > 0 && !sink.accept(parsed.into_chunk()).await {
                return Err(backend_failure("the receiver of the response is gone"));
            }
        }
    }

    async fn status(&self, address: &str) -> Result<EngineStatus, Failure> {
        let response = self.http.send_bytes(hyper::Method::GET, address, "/status", Vec::new(), STATUS_TIMEOUT);
        decode_status(response.await?)
    }

    async fn order(&self, address: &str, order: &EngineOrder) -> Result<EngineStatus, Failure> {
        let body =
            serde_json::json!({ "hold_version": order.version, "fence": order.fence, "staged": self.staged_swap });
        let response = self.http.post_json(address, "/orders", &body, self.order_timeout).await?;
        decode_status(response)
    }
}

fn completion_request(address: &str, call: &CallSpec) -> Result<Request<Full<Bytes>>, Failure> {
    let body = CompletionBody {
        model: &call.model,
        prompt: &call.prompt,
        max_tokens: call.max_tokens,
        stream: true,
        priority: call.priority,
        seed: call.seed,
        offset: call.offset,
    };
    let encoded = serde_json::to_vec(&body).expect("a completion request is always serializable");
    let mut request = Request::builder()
        .method(hyper::Method::POST)
        .uri(format!("http://{address}/v1/completions"))
        .header(header::CONTENT_TYPE, "application/json");
    if let Some(traceparent) = &call.traceparent {
        request = request.header("traceparent", traceparent.as_ref());
    }
    request
        .body(Full::new(Bytes::from(encoded)))
        .map_err(|_| Failure::not_run(Reason::BadRequest, "the engine's address is invalid"))
}

/// Converts an error status of an engine. An engine that rejects with a status did not run the call.
fn rejection(response: HttpResponse) -> Failure {
    let detail = String::from_utf8_lossy(&response.body).into_owned();
    Failure::not_run(
        Reason::BackendFailed,
        format!("the engine rejected the request with {}: {detail}", response.status),
    )
}

fn decode_status(response: HttpResponse) -> Result<EngineStatus, Failure> {
    if !response.status.is_success() {
        return Err(rejection(response));
    }
    serde_json::from_slice(&response.body).map_err(|error| backend_failure(&format!("invalid engine status: {error}")))
}

fn backend_failure(detail: &str) -> Failure {
    Failure::may_have_run(Reason::BackendFailed, detail)
}

/// Returns whether the headers of a response say that the backend server is draining.
pub fn reports_draining(headers: &hyper::HeaderMap) -> bool {
    headers.contains_key(DRAINING_HEADER)
}
