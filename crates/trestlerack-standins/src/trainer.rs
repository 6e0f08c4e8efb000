//! A trainer: submits steps ahead, takes them, checks them, trains and publishes weights.

use crate::checks::{Expected, Findings};
use crate::client::{ApiClient, Reply};
use anyhow::{Context, bail};
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use trestlerack::process::{GroupSpec, StepSubmission};
use trestlerack::request::Sample;

/// Pause after a failed request that names no time to return.
const RETRY: Duration = Duration::from_millis(100);

/// Tries at one request before the trainer gives up.
const MAX_TRIES: usize = 3_000;

/// What one trainer reports at its end.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct TrainerResult {
    /// Campaign.
    pub campaign: String,
    /// Steps that were trained.
    pub steps: u64,
    /// Time spent waiting for samples, in milliseconds.
    pub idle_ms: u64,
    /// Time from the first submission to the end, in milliseconds.
    pub total_ms: u64,
    /// Part of the idle time spent on the first step, which nothing could be made ahead of.
    pub first_wait_ms: u64,
    /// Longest wait for one step, in milliseconds.
    pub longest_wait_ms: u64,
    /// Requests that were sent again, also through another node.
    pub retries: u64,
    /// What was found in the samples.
    pub findings: Findings,
}

struct Trainer {
    campaign: String,
    model: String,
    nodes: Vec<String>,
    weights: String,
    client: ApiClient,
    steps: u64,
    groups: usize,
    size: usize,
    train: Duration,
    lookahead: u64,
    publish_every: u64,
    zones: BTreeSet<String>,
    staleness: u64,
    result: TrainerResult,
    next_node: usize,
    samples: Option<std::fs::File>,
}

/// Runs a trainer to its last step.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let list = |text: String| -> Vec<String> { text.split(',').map(str::to_owned).collect() };
    let campaign: String = arguments.value_from_str("--campaign")?;
    let out: String = arguments.value_from_str("--out")?;
    let samples: Option<String> = arguments.opt_value_from_str("--samples")?;
    let mut trainer = Trainer {
        model: arguments.value_from_str("--model")?,
        nodes: list(arguments.value_from_str("--nodes")?),
        weights: arguments.value_from_str("--weights")?,
        client: ApiClient::new(arguments.value_from_str::<_, String>("--key")?),
        steps: arguments.value_from_str("--steps")?,
        groups: arguments.value_from_str("--groups")?,
        size: arguments.value_from_str("--size")?,
        train: Duration::from_millis(arguments.value_from_str("--train-ms")?),
        lookahead: arguments.opt_value_from_str("--lookahead")?.unwrap_or(1),
        publish_every: arguments.opt_value_from_str("--publish-every")?.unwrap_or(1),
        zones: list(arguments.value_from_str("--zones")?).into_iter().collect(),
        staleness: arguments.value_from_str("--staleness")?,
        result: TrainerResult { campaign: campaign.clone(), ..TrainerResult::default() },
        next_node: 0,
        samples: samples.map(std::fs::File::create).transpose()?,
        campaign,
    };
    crate::server::finish(arguments)?;
    let outcome = trainer.train_all().await;
    std::fs::write(&out, serde_json::to_vec_pretty(&trainer.result)?).with_context(|| format!("cannot write {out}"))?;
    outcome
}

impl Trainer {
    async fn train_all(&mut self) -> anyhow::Result<()> {
        let started = Instant::now();
        self.publish(1).await?;
        for step in 0..=self.lookahead.min(self.steps - 1) {
            self.submit(step).await?;
        }
        for step in 0..self.steps {
            let waiting = Instant::now();
            let samples = self.take(step).await?;
            let waited = u64::try_from(waiting.elapsed().as_millis())?;
            self.result.idle_ms += waited;
            if step == 0 {
                self.result.first_wait_ms = waited;
            }
            self.result.longest_wait_ms = self.result.longest_wait_ms.max(waited);
            self.check(step, &samples);
            self.acknowledge(step).await?;
            tokio::time::sleep(self.train).await;
            if (step + 1).is_multiple_of(self.publish_every) {
                self.publish(self.version_at(step + 1)).await?;
            }
            let next = step + self.lookahead + 1;
            if next < self.steps {
                self.submit(next).await?;
            }
            self.result.steps += 1;
            self.result.total_ms = u64::try_from(started.elapsed().as_millis())?;
        }
        Ok(())
    }

    /// Returns the trainer's version when it consumes `step`.
    fn version_at(&self, step: u64) -> u64 {
        1 + step / self.publish_every
    }

    fn submission(&self, step: u64) -> StepSubmission {
        let groups = (0..self.groups).map(|group| GroupSpec {
            group: format!("g{group}").into(),
            prompt: format!("{} step {step} group {group}: draft the next answer. ", self.campaign),
            size: self.size,
        });
        StepSubmission { consume_version: self.version_at(step), groups: groups.collect() }
    }

    async fn submit(&mut self, step: u64) -> anyhow::Result<()> {
        let body = serde_json::to_string(&self.submission(step))?;
        let path = format!("/v1/campaigns/{}/steps/{step}", self.campaign);
        self.request(Method::PUT, &path, body).await?;
        Ok(())
    }

    /// Takes a step, and once more through another node: the bytes must be the same.
    async fn take(&mut self, step: u64) -> anyhow::Result<Vec<Sample>> {
        let version = self.version_at(step);
        let path = format!("/v1/campaigns/{}/steps/{step}/samples?trainer_version={version}", self.campaign);
        let first = self.request(Method::GET, &path, String::new()).await?;
        let second = self.request(Method::GET, &path, String::new()).await?;
        self.result.findings.changed += usize::from(first.body != second.body);
        if let Some(file) = &mut self.samples {
            std::io::Write::write_all(file, &first.body)?;
        }
        let text = String::from_utf8(first.body.to_vec())?;
        text.lines().map(|line| serde_json::from_str(line).context("not a sample")).collect()
    }

    fn check(&mut self, step: u64, samples: &[Sample]) {
        let ids = self.sample_ids(step);
        let expected = Expected {
            ids: &ids,
            zones: &self.zones,
            consume_version: self.version_at(step),
            staleness: self.staleness,
        };
        self.result.findings.check_step(&expected, samples);
    }

    fn sample_ids(&self, step: u64) -> BTreeSet<String> {
        let groups = 0..self.groups;
        let pairs = groups.flat_map(|group| (0..self.size).map(move |index| (group, index)));
        pairs.map(|(group, index)| format!("{}/{step}/g{group}/{index}", self.campaign)).collect()
    }

    async fn acknowledge(&mut self, step: u64) -> anyhow::Result<()> {
        let path = format!("/v1/campaigns/{}/steps/{step}/ack", self.campaign);
        self.request(Method::POST, &path, String::new()).await?;
        Ok(())
    }

    async fn publish(&mut self, version: u64) -> anyhow::Result<()> {
        let stored = format!("/weights/{}/{version}", self.model);
        let address = self.weights.clone();
        self.client.send(Method::PUT, &address, &stored, None, String::new()).await?;
        let path = format!("/v1/models/{}/weights", self.model);
        self.request(Method::POST, &path, serde_json::json!({ "version": version }).to_string()).await?;
        Ok(())
    }

    /// Sends a request through one node after the other, as a balancer would, until it is answered.
    async fn request(&mut self, method: Method, path: &str, body: String) -> anyhow::Result<Reply> {
        for _ in 0..MAX_TRIES {
            let node = self.nodes[self.next_node % self.nodes.len()].clone();
            self.next_node += 1;
            let reply = self.client.send(method.clone(), &node, path, None, body.clone()).await;
            match reply {
                Ok(reply) if reply.status.is_success() => return Ok(reply),
                Ok(reply) if reply.status == StatusCode::TOO_EARLY => pause(&reply).await,
                Ok(reply) if reply.status.is_server_error() => {
                    self.result.retries += 1;
                    pause(&reply).await;
                }
                Ok(reply) => {
                    let text = String::from_utf8_lossy(&reply.body).into_owned();
                    bail!("{method} {path} was refused with {}: {text}", reply.status);
                }
                Err(_) => {
                    self.result.retries += 1;
                    tokio::time::sleep(RETRY).await;
                }
            }
        }
        bail!("{method} {path} was not answered")
    }
}

async fn pause(reply: &Reply) {
    let wait = reply.retry_after_ms.map_or(RETRY, Duration::from_millis);
    tokio::time::sleep(wait).await;
}
