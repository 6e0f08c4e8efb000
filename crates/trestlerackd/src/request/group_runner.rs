//! Generates the samples of a group that this node owns.

use super::call_driver::{CallSink, HEDGE_PRIORITY, drive};
use super::call_router::has_free_slot;
use super::content_blocking::{self, BackendRequest};
use super::group_record::record;
use crate::node::Node;
use crate::process::stop::WorkGuard;
use crate::process::{logs, spool, step_loop};
use async_trait::async_trait;
use opentelemetry::trace::SpanKind;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;
use trestlerack::connection::{CallSpec, GroupRequest, TokenChunk};
use trestlerack::hash::hash_parts;
use trestlerack::process::{GeneratedGroup, RecoveryRule};
use trestlerack::request::{
    GroupAction, GroupDriver, GroupEvent, GroupSettings, RequestContent, ResumePolicy, Sample, SampleAssembler,
};
use trestlerack::verdict::Reason;
use trestlerack::version::{BackendKind, Campaign, WeightVersion};
use trestlerack::{Failure, Name, event};

/// Interval at which the driver of a group checks for stragglers and delayed attempts.
const TICK_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout of a sample's call, over all its attempts.
const SAMPLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Priority of a sample of a step that is not the next one, below that of applications' calls.
const SAMPLE_PRIORITY: u8 = 10;

/// Priority of a sample of the step that its trainer waits for next.
const NEXT_STEP_PRIORITY: u8 = 15;

/// Largest number of attempts to score a sample, each on another scoring server.
const MAX_SCORE_ATTEMPTS: usize = 3;

/// Index of the sample, number of the attempt, and its result.
type AttemptResult = (usize, u32, Result<Sample, Failure>);

/// Starts to generate a group, unless it is in progress, this node is stopping or its spool is full.
pub fn begin(node: &Arc<Node>, request: GroupRequest) {
    if node.stop.is_stopping() || !node.spool.has_space() {
        return;
    }
    let Some(key) = node.groups_in_progress.begin(&request) else { return };
    let node = node.clone();
    tokio::spawn(async move {
        let _work = WorkGuard::new(&node);
        run_group(&node, &request).await;
        node.groups_in_progress.end(&key);
    });
}

async fn run_group(node: &Arc<Node>, request: &GroupRequest) {
    let Some((campaign, samples)) = generate_group(node, request).await else {
        let key = &request.spec.group;
        logs::write(event::GROUP_FAILED, &[("campaign", &request.campaign), ("step", &request.step), ("group", key)]);
        return;
    };
    let group = build_group(node, request, &samples);
    match record(node, &group).await {
        Ok(_) => step_loop::notify_owner(node, &campaign).await,
        Err(_) => spool::spool_group(node, group).await,
    }
}

/// Generates a group for the current campaign, and starts again if its allowed zones change meanwhile.
async fn generate_group(node: &Arc<Node>, request: &GroupRequest) -> Option<(Campaign, Vec<Sample>)> {
    loop {
        let campaign = node.config.current().campaign(&request.campaign).cloned()?;
        if !campaign.allowed_zones.allows(&node.settings.zone) {
            return None;
        }
        match generate_samples(node, &campaign, request).await {
            GroupOutcome::Generated(samples) => return Some((campaign, samples)),
            GroupOutcome::ZonesChanged => {}
            GroupOutcome::GaveUp => return None,
        }
    }
}

/// Outcome of one run of a group's driver.
enum GroupOutcome {
    /// All samples were generated in allowed zones.
    Generated(Vec<Sample>),
    /// The campaign's allowed zones changed, so the samples are discarded.
    ZonesChanged,
    /// A sample has no attempts left.
    GaveUp,
}

/// Returns whether a campaign still has the allowed zones with which a run began.
fn has_same_zones(node: &Node, campaign: &Campaign) -> bool {
    let config = node.config.current();
    config.campaign(&campaign.name).is_some_and(|current| current.allowed_zones == campaign.allowed_zones)
}

fn build_group(node: &Node, request: &GroupRequest, samples: &[Sample]) -> GeneratedGroup {
    let mut lines = String::new();
    for sample in samples {
        lines.push_str(&serde_json::to_string(sample).expect("a sample is always serializable"));
        lines.push('\n');
    }
    GeneratedGroup {
        campaign: request.campaign.clone(),
        step: request.step,
        group: request.spec.group.clone(),
        oldest_version: samples.iter().map(Sample::oldest_version).min().unwrap_or(0),
        first_unix: samples.iter().map(|sample| sample.first_unix).min().unwrap_or(0),
        operation: node.operation_id(),
        lines,
    }
}

/// Runs the driver of a group until it completes or gives up.
async fn generate_samples(node: &Arc<Node>, campaign: &Campaign, request: &GroupRequest) -> GroupOutcome {
    let size = request.spec.size;
    let mut driver = GroupDriver::new(group_settings(node), size);
    let (sender, mut results) = mpsc::channel::<AttemptResult>(size.max(1));
    let mut samples: Vec<Option<Sample>> = vec![None; size];
    let progress: Vec<SharedProgress> = (0..size).map(|_| SharedProgress::default()).collect();
    let mut running = AttemptTasks::default();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    let mut event = GroupEvent::Begin;
    let generated: Option<Vec<Sample>> = 'run: loop {
        let may_hedge = || may_hedge(node, campaign);
        for action in driver.handle(node.now(), &event, may_hedge) {
            match action {
                GroupAction::Start { index, attempt, hedge } => {
                    let shared = progress[index].clone();
                    let attempt = SampleAttempt { index, number: attempt, hedge, progress: shared };
                    let key = (index, attempt.number);
                    let task = run_attempt(node.clone(), campaign.clone(), request.clone(), attempt, sender.clone());
                    running.start(key, task);
                }
                GroupAction::Cancel { index, attempt } => running.cancel((index, attempt)),
                GroupAction::Complete => break 'run samples.into_iter().collect(),
                GroupAction::GiveUp => return GroupOutcome::GaveUp,
            }
        }
        if !has_same_zones(node, campaign) {
            return GroupOutcome::ZonesChanged;
        }
        event = tokio::select! {
            Some(result) = results.recv() => record_attempt(node, &mut samples, result),
            _ = ticks.tick() => GroupEvent::Tick,
        };
    };
    match generated {
        Some(_) if !has_same_zones(node, campaign) => GroupOutcome::ZonesChanged,
        Some(samples) => GroupOutcome::Generated(samples),
        None => GroupOutcome::GaveUp,
    }
}

/// Returns whether an attempt may be hedged. That takes a free slot, and spends from the retry budget.
fn may_hedge(node: &Node, campaign: &Campaign) -> bool {
    has_free_slot(node, &campaign.model, &campaign.allowed_zones)
        && node.retry_budget.lock().unwrap().spend(&campaign.name, &campaign.model)
}

fn group_settings(node: &Node) -> GroupSettings {
    let defaults = GroupSettings::default();
    let hedge_factor = if node.settings.policy_hedging { defaults.hedge_factor } else { 0.0 };
    GroupSettings { hedge_factor, ..defaults }
}

/// Running attempts of a group. Dropping it cancels them all.
#[derive(Default)]
struct AttemptTasks {
    tasks: HashMap<(usize, u32), tokio::task::AbortHandle>,
}

impl AttemptTasks {
    fn start(&mut self, key: (usize, u32), task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.insert(key, tokio::spawn(task).abort_handle());
    }

    fn cancel(&mut self, key: (usize, u32)) {
        if let Some(task) = self.tasks.remove(&key) {
            task.abort();
        }
    }
}

impl Drop for AttemptTasks {
    fn drop(&mut self) {
        for task in self.tasks.values() {
            task.abort();
        }
    }
}

fn record_attempt(node: &Node, samples: &mut [Option<Sample>], (index, attempt, result): AttemptResult) -> GroupEvent {
    match result {
        Ok(sample) => {
            node.telemetry.samples.add(1, &[]);
            samples[index].get_or_insert(sample);
            GroupEvent::Finished { index, attempt }
        }
        Err(failure) => {
            node.telemetry.regenerated.add(1, &[opentelemetry::KeyValue::new("cause", failure.reason.as_str())]);
            logs::write(event::CALL_BROKEN, &[("sample", &index), ("attempt", &attempt), ("cause", &failure)]);
            GroupEvent::Failed { index, attempt }
        }
    }
}

/// Longest text that any attempt at a sample has received. Later attempts continue from it.
type SharedProgress = Arc<Mutex<Option<SampleAssembler>>>;

/// Number of chunks after which an attempt shares its progress.
const CHUNKS_PER_SHARE: u32 = 4;

struct SampleAttempt {
    index: usize,
    number: u32,
    hedge: bool,
    progress: SharedProgress,
}

async fn run_attempt(
    node: Arc<Node>,
    campaign: Campaign,
    request: GroupRequest,
    attempt: SampleAttempt,
    sender: mpsc::Sender<AttemptResult>,
) {
    let slots = node.sample_slots.clone();
    let Ok(_slot) = slots.acquire().await else { return };
    let result = generate_sample(&node, &campaign, &request, &attempt).await;
    // Fails only if the group has ended.
    let _ = sender.send((attempt.index, attempt.number, result)).await;
}

async fn generate_sample(
    node: &Arc<Node>,
    campaign: &Campaign,
    request: &GroupRequest,
    attempt: &SampleAttempt,
) -> Result<Sample, Failure> {
    let span = node.telemetry.start_span("sample", SpanKind::Internal, None);
    let id = sample_id(request, attempt.index);
    span.set("sample", id.to_string());
    let first_unix = node.clock.unix_seconds();
    let min_version = campaign.staleness_rule().oldest_acceptable(request.consume_version);
    let spec = call_spec(node, campaign, request, attempt, span.traceparent.clone());
    let mut sink = SampleSink::new(min_version, attempt);
    let deadline = node.now() + SAMPLE_TIMEOUT;
    let policy = ResumePolicy { repeatable: true, waits_for_engine: true };
    let attempts = drive(node, &spec, deadline, policy, &mut sink).await?;
    let (text, tokens, versions) = sink.assembler.finish();
    let score = score(node, campaign, &request.spec.prompt, &text).await?;
    Ok(Sample {
        id,
        prompt: request.spec.prompt.clone(),
        text,
        tokens,
        versions,
        score,
        attempts: attempts + attempt.number - 1,
        driver: node.name().clone(),
        first_unix,
    })
}

fn sample_id(request: &GroupRequest, index: usize) -> Name {
    format!("{}/{}/{}/{index}", request.campaign, request.step, request.spec.group).into()
}

fn call_spec(
    node: &Node,
    campaign: &Campaign,
    request: &GroupRequest,
    attempt: &SampleAttempt,
    traceparent: Option<Name>,
) -> CallSpec {
    let step = request.step.to_string();
    let index = attempt.index.to_string();
    let spec = CallSpec {
        account: campaign.name.clone(),
        weight: campaign.weight,
        model: campaign.model.clone(),
        allowed_zones: campaign.allowed_zones.clone(),
        prompt: request.spec.prompt.clone(),
        offset: 0,
        max_tokens: campaign.max_tokens,
        seed: hash_parts(&[&campaign.name, &step, &request.spec.group, &index]),
        priority: match (attempt.hedge, request.is_next) {
            (true, _) => HEDGE_PRIORITY,
            (false, true) => NEXT_STEP_PRIORITY,
            (false, false) => SAMPLE_PRIORITY,
        },
        prefix: hash_parts(&[&request.spec.prompt]),
        min_version: campaign.staleness_rule().oldest_acceptable(request.consume_version),
        needs_version: true,
        deadline_ms: node.remaining_ms(node.now() + SAMPLE_TIMEOUT),
        traceparent,
        fingerprint: None,
    };
    spec.with_fingerprint()
}

/// Scores a sample on a scoring service in the campaign's allowed zones.
async fn score(node: &Arc<Node>, campaign: &Campaign, prompt: &str, text: &str) -> Result<f64, Failure> {
    let backends = node.plain.backends(BackendKind::Scoring, &campaign.scoring, &campaign.allowed_zones);
    let body = [prompt, "\n", text].concat();
    let host = &campaign.scoring;
    let fingerprint = RequestContent { customer: Some(&campaign.name), host, path: "score", body }.fingerprint();
    let mut tried = Vec::new();
    let mut last = Failure::not_run(Reason::NoBackend, "no scoring service in an allowed zone");
    for _ in 0..MAX_SCORE_ATTEMPTS {
        let chosen = node.plain.choose(node.now(), &backends, &tried, |name| node.dispatchers.is_draining(name));
        let Some(backend) = chosen else { break };
        let recovery_rule = RecoveryRule::Limited;
        let request = BackendRequest {
            backend: &backend.name,
            address: &backend.address,
            fingerprint,
            meter: None,
            recovery_rule,
        };
        let result =
            content_blocking::send_unless_blocked(node, request, node.scoring.score(&backend.address, prompt, text))
                .await;
        if result.as_ref().is_err_and(content_blocking::is_blocked) {
            node.plain.release(&backend);
        } else {
            node.plain.record_response(node.now(), &backend, result.is_ok());
        }
        match result {
            Ok(score) => return Ok(score),
            Err(failure) => last = failure,
        }
        tried.push(backend.name);
    }
    Err(last)
}

struct SampleSink {
    assembler: SampleAssembler,
    progress: SharedProgress,
    avoided: Vec<Name>,
    chunks: u32,
}

impl SampleSink {
    /// Continues after the tokens that an earlier attempt shared, and avoids the owner of that attempt.
    fn new(min_version: WeightVersion, attempt: &SampleAttempt) -> Self {
        let shared = attempt.progress.lock().unwrap().clone();
        let avoided = shared.as_ref().and_then(|shared| shared.owner().cloned());
        Self {
            assembler: shared.unwrap_or_else(|| SampleAssembler::new(min_version)),
            progress: attempt.progress.clone(),
            avoided: avoided.into_iter().collect(),
            chunks: 0,
        }
    }

    fn share(&self) {
        let mut shared = self.progress.lock().unwrap();
        if shared.as_ref().is_none_or(|shared| shared.tokens() <= self.assembler.tokens()) {
            *shared = Some(self.assembler.clone());
        }
    }
}

#[async_trait]
impl CallSink for SampleSink {
    fn started(&mut self, engine: Name, zone: Name, owner: Name) {
        self.assembler.start_attempt(engine, zone, owner);
        // Shares the owner before the first token, so that a hedged attempt avoids it.
        self.share();
    }

    async fn chunk(&mut self, chunk: TokenChunk) -> Result<(), Failure> {
        self.assembler.accept(&chunk).map_err(|error| {
            // The chunk was not added, so the call can resume after the tokens before it.
            Failure::may_have_run(Reason::BackendFailed, error.to_string())
        })?;
        self.chunks += 1;
        if self.chunks.is_multiple_of(CHUNKS_PER_SHARE) {
            self.share();
        }
        Ok(())
    }

    fn avoided(&self) -> Vec<Name> {
        self.avoided.clone()
    }

    fn received(&self) -> (u32, &str) {
        (self.assembler.tokens(), self.assembler.text())
    }
}
