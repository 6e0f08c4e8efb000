//! A model engine: slots, a token rate, a prefix cache, weights and faults.

use crate::faults::{FaultMode, Faults};
use crate::server::{Answer, AnswerBody, ReadRequest, ServerOptions, bytes, finish, json, serve, status};
use crate::tokens::token;
use ::bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use std::collections::{BinaryHeap, VecDeque};
use std::io::Write;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use trestlerack::hash::hash_parts;

/// Tokens in one event.
const TOKENS_PER_EVENT: u32 = 4;

/// Time that the prompt takes when its prefix is cached, relative to when it is not.
const CACHED_PREFILL: f64 = 0.1;

/// Characters of a prompt that the prefix cache keys on.
const PREFIX_CHARACTERS: usize = 256;

/// Interval at which the reported load is renewed, which is how late it is.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// Wait before the weight store is asked again after it refused for its rate.
const WEIGHTS_RETRY: Duration = Duration::from_millis(50);

struct EngineOptions {
    name: String,
    model: String,
    slots: usize,
    token_ms: f64,
    prefill_ms: f64,
    cache_entries: usize,
    swap_ms: u64,
    load_ms: u64,
    tail: bool,
    checks_fencing: bool,
    weights: String,
}

#[derive(Default)]
struct Held {
    version: Option<u64>,
    max_fence: u64,
}

#[derive(Default)]
struct Slots {
    used: usize,
    waiting: BinaryHeap<Waiting>,
    arrivals: u64,
}

/// A request that waits for a slot; higher priority first, then first come.
struct Waiting {
    priority: u8,
    arrival: u64,
    turn: oneshot::Sender<()>,
}

impl PartialEq for Waiting {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Waiting {}

impl PartialOrd for Waiting {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiting {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.priority.cmp(&other.priority).then(other.arrival.cmp(&self.arrival))
    }
}

struct Engine {
    options: EngineOptions,
    incarnation: String,
    held: Mutex<Held>,
    slots: Mutex<Slots>,
    reported: Mutex<usize>,
    cache: Mutex<VecDeque<u64>>,
    log: Mutex<Option<std::fs::File>>,
    http: Client<HttpConnector, Full<Bytes>>,
    pauses: AtomicU32,
    faults: Faults,
}

/// Runs a model engine.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let server = ServerOptions::parse(&mut arguments)?;
    let options = EngineOptions {
        name: arguments.value_from_str("--name")?,
        model: arguments.value_from_str("--model")?,
        slots: arguments.opt_value_from_str("--slots")?.unwrap_or(4),
        token_ms: arguments.opt_value_from_str("--token-ms")?.unwrap_or(2.0),
        prefill_ms: arguments.opt_value_from_str("--prefill-ms")?.unwrap_or(20.0),
        cache_entries: arguments.opt_value_from_str("--cache-entries")?.unwrap_or(8),
        swap_ms: arguments.opt_value_from_str("--swap-ms")?.unwrap_or(50),
        load_ms: arguments.opt_value_from_str("--load-ms")?.unwrap_or(0),
        tail: arguments.contains("--tail"),
        checks_fencing: arguments.contains("--checks-fencing"),
        weights: arguments.value_from_str("--weights")?,
    };
    let log: Option<String> = arguments.opt_value_from_str("--log")?;
    finish(arguments)?;
    let open_log = |file| std::fs::OpenOptions::new().create(true).append(true).open(file);
    let engine = Arc::new(Engine {
        incarnation: format!("{}#{:08x}", options.name, rand::rng().random::<u32>()),
        options,
        held: Mutex::default(),
        slots: Mutex::default(),
        reported: Mutex::default(),
        cache: Mutex::default(),
        log: Mutex::new(log.map(open_log).transpose()?),
        http: Client::builder(TokioExecutor::new()).build(HttpConnector::new()),
        pauses: AtomicU32::new(0),
        faults: Faults::default(),
    });
    tokio::spawn(report_load(engine.clone()));
    serve(server, engine, handle).await
}

async fn report_load(engine: Arc<Engine>) {
    loop {
        *engine.reported.lock().unwrap() = engine.slots.lock().unwrap().used;
        tokio::time::sleep(REPORT_LAG).await;
    }
}

async fn handle(engine: Arc<Engine>, request: ReadRequest) -> Answer {
    if request.path == "/faults" {
        return engine.faults.order(&request);
    }
    if let Err(refusal) = engine.faults.before().await {
        return refusal;
    }
    match request.path.as_str() {
        "/status" => engine_status(&engine),
        "/orders" => take_order(engine, request).await,
        "/v1/completions" => complete(engine, request).await,
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn engine_status(engine: &Engine) -> Answer {
    json(&serde_json::json!({
        "held_version": engine.held.lock().unwrap().version,
        "incarnation": engine.incarnation,
        "in_flight": *engine.reported.lock().unwrap(),
        "leaving": engine.faults.mode() == FaultMode::Leaving,
    }))
}

#[derive(Deserialize)]
struct OrderBody {
    hold_version: u64,
    fence: u64,
    #[serde(default = "default_staged")]
    staged: bool,
}

fn default_staged() -> bool {
    true
}

async fn take_order(engine: Arc<Engine>, request: ReadRequest) -> Answer {
    let Some(order) = request.json::<OrderBody>() else { return status(StatusCode::BAD_REQUEST) };
    {
        let mut held = engine.held.lock().unwrap();
        if engine.options.checks_fencing && order.fence < held.max_fence {
            return bytes(StatusCode::CONFLICT, "old fencing number");
        }
        held.max_fence = held.max_fence.max(order.fence);
    }
    if engine.faults.strikes(FaultMode::SwapFails) {
        return bytes(StatusCode::INTERNAL_SERVER_ERROR, "the swap failed");
    }
    // Without staging the old weights make room first, so nothing is generated while loading.
    let mut pause = (!order.staged).then(|| SwapPause::begin(&engine));
    if let Err(refusal) = fetch_weights(&engine, order.hold_version).await {
        return refusal;
    }
    tokio::time::sleep(Duration::from_millis(engine.options.load_ms)).await;
    pause.get_or_insert_with(|| SwapPause::begin(&engine));
    tokio::time::sleep(Duration::from_millis(engine.options.swap_ms)).await;
    engine.held.lock().unwrap().version = Some(order.hold_version);
    let answer = engine_status(&engine);
    engine.faults.after(answer)
}

/// Stops generation until it is dropped.
struct SwapPause {
    engine: Arc<Engine>,
}

impl SwapPause {
    fn begin(engine: &Arc<Engine>) -> Self {
        engine.pauses.fetch_add(1, Ordering::SeqCst);
        Self { engine: engine.clone() }
    }
}

impl Drop for SwapPause {
    fn drop(&mut self) {
        self.engine.pauses.fetch_sub(1, Ordering::SeqCst);
    }
}

async fn fetch_weights(engine: &Engine, version: u64) -> Result<(), Answer> {
    let uri = format!("http://{}/weights/{}/{version}", engine.options.weights, engine.options.model);
    loop {
        let request = Request::builder().method(Method::GET).uri(&uri).body(Full::default()).expect("a fixed request");
        match engine.http.request(request).await.map(|answer| answer.status()) {
            Ok(StatusCode::OK) => return Ok(()),
            Ok(StatusCode::TOO_MANY_REQUESTS) => tokio::time::sleep(WEIGHTS_RETRY).await,
            _ => return Err(bytes(StatusCode::BAD_GATEWAY, "the weights cannot be loaded")),
        }
    }
}

#[derive(Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: u32,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    seed: u64,
    #[serde(default)]
    offset: u32,
}

async fn complete(engine: Arc<Engine>, request: ReadRequest) -> Answer {
    let Some(body) = request.json::<CompletionBody>() else { return status(StatusCode::BAD_REQUEST) };
    if body.model != engine.options.model {
        return bytes(StatusCode::NOT_FOUND, "another model");
    }
    if engine.faults.mode() == FaultMode::Leaving {
        return bytes(StatusCode::SERVICE_UNAVAILABLE, "leaving");
    }
    if engine.faults.strikes(FaultMode::BadAnswers) {
        return bytes(StatusCode::INTERNAL_SERVER_ERROR, "bad answer on command");
    }
    let (events, receiver) = mpsc::channel::<Result<Bytes, ()>>(4);
    tokio::spawn(async move {
        let _slot = take_slot(engine.clone(), body.priority).await;
        generate(&engine, &body, &events).await;
    });
    Ok(stream_response(receiver))
}

/// Turns events into an answer; an error item drops the connection.
fn stream_response(mut receiver: mpsc::Receiver<Result<Bytes, ()>>) -> Response<AnswerBody> {
    let events = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context));
    // A stream that ends without its end mark is what a crash looks like to the reader.
    let frames = events.take_while(|event| std::future::ready(event.is_ok()));
    let frames = frames.map(|event| Ok(Frame::data(event.unwrap_or_default())));
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    response.headers_mut().insert("content-type", hyper::header::HeaderValue::from_static("text/event-stream"));
    response
}

struct SlotGuard {
    engine: Arc<Engine>,
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let mut slots = self.engine.slots.lock().unwrap();
        slots.used -= 1;
        grant_slots(&mut slots, self.engine.options.slots);
    }
}

async fn take_slot(engine: Arc<Engine>, priority: u8) -> SlotGuard {
    let (turn, granted) = oneshot::channel();
    {
        let mut slots = engine.slots.lock().unwrap();
        slots.arrivals += 1;
        let arrival = slots.arrivals;
        slots.waiting.push(Waiting { priority, arrival, turn });
        grant_slots(&mut slots, engine.options.slots);
    }
    // The sender is dropped only after it was used.
    let _ = granted.await;
    SlotGuard { engine }
}

fn grant_slots(slots: &mut Slots, limit: usize) {
    while slots.used < limit {
        let Some(next) = slots.waiting.pop() else { return };
        if next.turn.send(()).is_ok() {
            slots.used += 1;
        }
    }
}

async fn generate(engine: &Arc<Engine>, body: &CompletionBody, events: &mpsc::Sender<Result<Bytes, ()>>) {
    tokio::time::sleep(engine.prefill_time(&body.prompt)).await;
    let length = engine.answer_length(body);
    let mut index = body.offset;
    while index < length {
        let tokens = TOKENS_PER_EVENT.min(length - index);
        let time = engine.options.token_ms * f64::from(tokens);
        tokio::time::sleep(Duration::from_secs_f64(time / 1_000.0)).await;
        while engine.faults.mode() == FaultMode::Freeze || engine.pauses.load(Ordering::SeqCst) > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        if engine.faults.strikes(FaultMode::Crash) {
            // The reader may be gone already.
            let _ = events.send(Err(())).await;
            return;
        }
        let is_last = index + tokens >= length;
        let event = engine.event(body, index, tokens, is_last);
        if events.send(Ok(event)).await.is_err() {
            return;
        }
        index += tokens;
    }
    // As above.
    let _ = events.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await;
}

impl Engine {
    fn prefill_time(&self, prompt: &str) -> Duration {
        let prefix: String = prompt.chars().take(PREFIX_CHARACTERS).collect();
        let key = hash_parts(&[&prefix]);
        let mut cache = self.cache.lock().unwrap();
        let is_hit = cache.contains(&key);
        cache.retain(|held| *held != key);
        cache.push_back(key);
        if cache.len() > self.options.cache_entries {
            cache.pop_front();
        }
        let factor = if is_hit { CACHED_PREFILL } else { 1.0 };
        Duration::from_secs_f64(self.options.prefill_ms * factor / 1_000.0)
    }

    /// Returns how long the answer is: all tokens, or with `--tail` a heavy-tailed length that
    /// depends on the seed alone, so that every engine would make the same number.
    fn answer_length(&self, body: &CompletionBody) -> u32 {
        if !self.options.tail {
            return body.max_tokens;
        }
        let mut random = Pcg64Mcg::seed_from_u64(body.seed);
        let uniform: f64 = random.random_range(0.0001..1.0);
        let pareto = f64::from(body.max_tokens) / 8.0 / uniform.powf(0.7);
        (pareto as u32).clamp(1, body.max_tokens)
    }

    fn event(&self, body: &CompletionBody, index: u32, tokens: u32, is_last: bool) -> Bytes {
        let version = self.held.lock().unwrap().version;
        let text: String = (index..index + tokens).map(|index| token(version, &self.options.name, index)).collect();
        let label = match self.faults.mode() {
            FaultMode::Mislabel => version.map(|version| version + 1),
            FaultMode::Unlabelled => None,
            _ => version,
        };
        self.write_log(body.seed, index, tokens, version);
        let event = serde_json::json!({
            "object": "text_completion",
            "model": self.options.model,
            "choices": [{ "index": 0, "text": text, "finish_reason": is_last.then_some("length") }],
            "weight_version": label,
            "engine_incarnation": self.incarnation,
            "offset": index,
            "tokens": tokens,
        });
        Bytes::from(format!("data: {event}\n\n"))
    }

    fn write_log(&self, seed: u64, index: u32, tokens: u32, version: Option<u64>) {
        let mut log = self.log.lock().unwrap();
        let Some(file) = log.as_mut() else { return };
        let line = serde_json::json!({
            "engine": self.options.name, "seed": seed, "from": index, "to": index + tokens, "version": version,
        });
        // A full disk shows in the check of the log, which then lacks lines.
        let _ = writeln!(file, "{line}");
    }
}
