//! Makes the samples of a group that this node owns.

use super::call_driver::{CallSink, HEDGE_PRIORITY, drive};
use super::call_router::has_spare;
use super::content_gate::{self, GuardedSend};
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
use trestlerack::process::GeneratedGroup;
use trestlerack::request::{
    GroupAction, GroupDriver, GroupEvent, GroupSettings, RequestContent, ResumePolicy, Sample, SampleAssembler,
};
use trestlerack::verdict::Reason;
use trestlerack::version::{BackendKind, Campaign, WeightVersion};
use trestlerack::{Failure, Name, event};

/// Interval at which stragglers and waits are looked at.
const TICK: Duration = Duration::from_millis(25);

/// Time that a sample's call may take in all.
const SAMPLE_DEADLINE: Duration = Duration::from_secs(120);

/// Priority of a sample of a step that is not the next one; applications' calls go before it.
const SAMPLE_PRIORITY: u8 = 10;

/// Priority of a sample of the step that its trainer waits for next.
const NEXT_STEP_PRIORITY: u8 = 15;

/// Tries at scoring a sample, each on another scoring service.
const SCORE_TRIES: usize = 3;

type AttemptEnd = (usize, u32, Result<Sample, Failure>);

/// Begins a group, unless it is in progress here or this node can take on nothing new.
pub fn begin(node: &Arc<Node>, wanted: GroupRequest) {
    if node.stop.is_stopping() || !node.spool.has_space() {
        return;
    }
    let Some(key) = node.groups_in_progress.begin(&wanted) else { return };
    let node = node.clone();
    tokio::spawn(async move {
        let _work = WorkGuard::new(&node);
        run_group(&node, &wanted).await;
        node.groups_in_progress.end(&key);
    });
}

async fn run_group(node: &Arc<Node>, wanted: &GroupRequest) {
    let Some((campaign, samples)) = make_group(node, wanted).await else {
        let key = &wanted.spec.group;
        logs::write(event::GROUP_FAILED, &[("campaign", &wanted.campaign), ("step", &wanted.step), ("group", key)]);
        return;
    };
    let group = made_group(node, wanted, &samples);
    match record(node, &group).await {
        Ok(_) => step_loop::notify_owner(node, &campaign).await,
        Err(_) => spool::spool_group(node, group).await,
    }
}

/// Makes a group under the campaign as it stands, and anew when its places change on the way.
async fn make_group(node: &Arc<Node>, wanted: &GroupRequest) -> Option<(Campaign, Vec<Sample>)> {
    loop {
        let campaign = node.config.current().campaign(&wanted.campaign).cloned()?;
        if !campaign.allowed_zones.allows(&node.settings.zone) {
            return None;
        }
        match make_samples(node, &campaign, wanted).await {
            GroupOutcome::Made(samples) => return Some((campaign, samples)),
            GroupOutcome::PlacesChanged => {}
            GroupOutcome::GivenUp => return None,
        }
    }
}

/// How one run of a group's driver ended.
enum GroupOutcome {
    /// Every sample is made, where the campaign allows it.
    Made(Vec<Sample>),
    /// The campaign's places changed; what was made is discarded.
    PlacesChanged,
    /// A sample used up its attempts.
    GivenUp,
}

/// Returns whether a campaign still has the places that a run began with.
fn has_places(node: &Node, campaign: &Campaign) -> bool {
    let config = node.config.current();
    config.campaign(&campaign.name).is_some_and(|current| current.allowed_zones == campaign.allowed_zones)
}

fn made_group(node: &Node, wanted: &GroupRequest, samples: &[Sample]) -> GeneratedGroup {
    let mut lines = String::new();
    for sample in samples {
        lines.push_str(&serde_json::to_string(sample).expect("a sample always encodes"));
        lines.push('\n');
    }
    GeneratedGroup {
        campaign: wanted.campaign.clone(),
        step: wanted.step,
        group: wanted.spec.group.clone(),
        oldest_version: samples.iter().map(Sample::oldest_version).min().unwrap_or(0),
        first_unix: samples.iter().map(|sample| sample.first_unix).min().unwrap_or(0),
        operation: node.operation_id(),
        lines,
    }
}

/// Runs the group's driver to its end.
async fn make_samples(node: &Arc<Node>, campaign: &Campaign, wanted: &GroupRequest) -> GroupOutcome {
    let size = wanted.spec.size;
    let mut driver = GroupDriver::new(group_settings(node), size);
    let (sender, mut ends) = mpsc::channel::<AttemptEnd>(size.max(1));
    let mut samples: Vec<Option<Sample>> = vec![None; size];
    let progress: Vec<SharedProgress> = (0..size).map(|_| SharedProgress::default()).collect();
    let mut running = AttemptTasks::default();
    let mut ticks = tokio::time::interval(TICK);
    let mut event = GroupEvent::Begin;
    let made: Option<Vec<Sample>> = 'run: loop {
        let may_hedge = || may_hedge(node, campaign);
        for action in driver.handle(node.now(), &event, may_hedge) {
            match action {
                GroupAction::Start { index, attempt, hedge } => {
                    let shared = progress[index].clone();
                    let attempt = SampleAttempt { index, number: attempt, hedge, progress: shared };
                    let key = (index, attempt.number);
                    let task = run_attempt(node.clone(), campaign.clone(), wanted.clone(), attempt, sender.clone());
                    running.start(key, task);
                }
                GroupAction::Cancel { index, attempt } => running.cancel((index, attempt)),
                GroupAction::Complete => break 'run samples.into_iter().collect(),
                GroupAction::GiveUp => return GroupOutcome::GivenUp,
            }
        }
        if !has_places(node, campaign) {
            return GroupOutcome::PlacesChanged;
        }
        event = tokio::select! {
            Some(end) = ends.recv() => settle_attempt(node, &mut samples, end),
            _ = ticks.tick() => GroupEvent::Tick,
        };
    };
    match made {
        Some(_) if !has_places(node, campaign) => GroupOutcome::PlacesChanged,
        Some(samples) => GroupOutcome::Made(samples),
        None => GroupOutcome::GivenUp,
    }
}

/// A hedge needs a spare slot, and then spends from the retry budget.
fn may_hedge(node: &Node, campaign: &Campaign) -> bool {
    has_spare(node, &campaign.model, &campaign.allowed_zones)
        && node.retry_budget.lock().unwrap().spend(&campaign.name, &campaign.model)
}

fn group_settings(node: &Node) -> GroupSettings {
    let defaults = GroupSettings::default();
    let hedge_factor = if node.settings.policy_hedging { defaults.hedge_factor } else { 0.0 };
    GroupSettings { hedge_factor, ..defaults }
}

/// The running attempts of a group; dropping it cancels them all.
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

fn settle_attempt(node: &Node, samples: &mut [Option<Sample>], (index, attempt, result): AttemptEnd) -> GroupEvent {
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

/// The furthest that any attempt at a sample has come; later attempts go on from there.
type SharedProgress = Arc<Mutex<Option<SampleAssembler>>>;

/// Chunks after which an attempt shares how far it has come.
const SHARE_EVERY: u32 = 4;

struct SampleAttempt {
    index: usize,
    number: u32,
    hedge: bool,
    progress: SharedProgress,
}

async fn run_attempt(
    node: Arc<Node>,
    campaign: Campaign,
    wanted: GroupRequest,
    attempt: SampleAttempt,
    sender: mpsc::Sender<AttemptEnd>,
) {
    let slots = node.sample_slots.clone();
    let Ok(_slot) = slots.acquire().await else { return };
    let result = make_sample(&node, &campaign, &wanted, &attempt).await;
    // A group that ended meanwhile needs no more attempts.
    let _ = sender.send((attempt.index, attempt.number, result)).await;
}

async fn make_sample(
    node: &Arc<Node>,
    campaign: &Campaign,
    wanted: &GroupRequest,
    attempt: &SampleAttempt,
) -> Result<Sample, Failure> {
    let span = node.telemetry.start_span("sample", SpanKind::Internal, None);
    let id = sample_id(wanted, attempt.index);
    span.set("sample", id.to_string());
    let first_unix = node.clock.unix_seconds();
    let min_version = campaign.staleness_rule().oldest_acceptable(wanted.consume_version);
    let spec = call_spec(node, campaign, wanted, attempt, span.traceparent.clone());
    let mut sink = SampleSink::new(min_version, attempt);
    let deadline = node.now() + SAMPLE_DEADLINE;
    let policy = ResumePolicy { repeatable: true, waits_for_engine: true };
    let attempts = drive(node, &spec, deadline, policy, &mut sink).await?;
    let (text, tokens, versions) = sink.assembler.finish();
    let score = score(node, campaign, &wanted.spec.prompt, &text).await?;
    Ok(Sample {
        id,
        prompt: wanted.spec.prompt.clone(),
        text,
        tokens,
        versions,
        score,
        attempts: attempts + attempt.number - 1,
        driver: node.name().clone(),
        first_unix,
    })
}

fn sample_id(wanted: &GroupRequest, index: usize) -> Name {
    format!("{}/{}/{}/{index}", wanted.campaign, wanted.step, wanted.spec.group).into()
}

fn call_spec(
    node: &Node,
    campaign: &Campaign,
    wanted: &GroupRequest,
    attempt: &SampleAttempt,
    traceparent: Option<Name>,
) -> CallSpec {
    let step = wanted.step.to_string();
    let index = attempt.index.to_string();
    let spec = CallSpec {
        account: campaign.name.clone(),
        weight: campaign.weight,
        model: campaign.model.clone(),
        allowed_zones: campaign.allowed_zones.clone(),
        prompt: wanted.spec.prompt.clone(),
        offset: 0,
        max_tokens: campaign.max_tokens,
        seed: hash_parts(&[&campaign.name, &step, &wanted.spec.group, &index]),
        priority: match (attempt.hedge, wanted.is_next) {
            (true, _) => HEDGE_PRIORITY,
            (false, true) => NEXT_STEP_PRIORITY,
            (false, false) => SAMPLE_PRIORITY,
        },
        prefix: hash_parts(&[&wanted.spec.prompt]),
        min_version: campaign.staleness_rule().oldest_acceptable(wanted.consume_version),
        needs_version: true,
        deadline_ms: node.remaining_ms(node.now() + SAMPLE_DEADLINE),
        traceparent,
        fingerprint: None,
    };
    spec.with_fingerprint()
}

/// Scores a sample on a scoring service in the campaign's places.
async fn score(node: &Arc<Node>, campaign: &Campaign, prompt: &str, text: &str) -> Result<f64, Failure> {
    let backends = node.plain.backends(BackendKind::Scoring, &campaign.scoring, &campaign.allowed_zones);
    let body = [prompt, "\n", text].concat();
    let host = &campaign.scoring;
    let content = RequestContent { customer: Some(&campaign.name), host, path: "score", body }.fingerprint();
    let mut tried = Vec::new();
    let mut last = Failure::not_run(Reason::NoBackend, "no scoring service in an allowed place");
    for _ in 0..SCORE_TRIES {
        let chosen = node.plain.choose(node.now(), &backends, &tried, |name| node.desks.is_leaving(name));
        let Some(backend) = chosen else { break };
        let send = GuardedSend { backend: &backend.name, address: &backend.address, content };
        let result = content_gate::guarded(node, send, node.scoring.score(&backend.address, prompt, text)).await;
        node.plain.ended(node.now(), &backend, result.is_ok());
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
    /// Goes on from the tokens that an earlier attempt shared, and on another owner than its.
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
        // Tells a hedge which owner to avoid, also before the first token.
        self.share();
    }

    async fn chunk(&mut self, chunk: TokenChunk) -> Result<(), Failure> {
        self.assembler.accept(&chunk).map_err(|error| {
            // The chunk was not taken in, so the call can be resumed from the tokens before it.
            Failure::may_have_run(Reason::BackendFailed, error.to_string())
        })?;
        self.chunks += 1;
        if self.chunks.is_multiple_of(SHARE_EVERY) {
            self.share();
        }
        Ok(())
    }

    fn avoided(&self) -> Vec<Name> {
        self.avoided.clone()
    }

    fn held(&self) -> (u32, &str) {
        (self.assembler.tokens(), self.assembler.text())
    }
}
