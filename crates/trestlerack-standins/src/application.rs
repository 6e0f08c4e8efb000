//! An application: plain calls with and without keys, and streamed completions.

use crate::client::{ApiClient, Reply};
use crate::tokens::parse;
use anyhow::Context;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// What an application reports at its end.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ApplicationResult {
    /// Records that were sent with a key, each also a second time through another node, half of
    /// them while the first send is in progress.
    pub records: usize,
    /// Records that were answered.
    pub answered: usize,
    /// Records that ran more than once.
    pub ran_twice: usize,
    /// Records that were answered and did not run.
    pub answered_not_run: usize,
    /// Records that were refused as not-run by both nodes and ran all the same.
    pub refused_and_ran: usize,
    /// Second sends whose answer was another one than the first.
    pub other_answers: usize,
    /// Completions that were streamed.
    pub completions: usize,
    /// Completions whose answer was whole.
    pub whole: usize,
    /// Completions that ended as if whole and were not.
    pub short: usize,
}

impl ApplicationResult {
    /// Returns whether a promise broke.
    pub fn is_broken(&self) -> bool {
        let faults = [self.ran_twice, self.answered_not_run, self.refused_and_ran, self.other_answers, self.short];
        faults.iter().any(|count| *count > 0)
    }
}

struct Record {
    text: String,
    first: Option<Reply>,
    second: Option<Reply>,
}

/// Runs an application.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let nodes: String = arguments.value_from_str("--nodes")?;
    let nodes: Vec<String> = nodes.split(',').map(str::to_owned).collect();
    let client = ApiClient::new(arguments.value_from_str::<_, String>("--key")?);
    let service: String = arguments.value_from_str("--service")?;
    let backends: String = arguments.value_from_str("--backends")?;
    let model: String = arguments.value_from_str("--model")?;
    let rounds: usize = arguments.value_from_str("--rounds")?;
    let out: String = arguments.value_from_str("--out")?;
    crate::server::finish(arguments)?;
    let mut result = ApplicationResult::default();
    let mut records = Vec::new();
    for round in 0..rounds {
        let (first, second) = (&nodes[round % nodes.len()], &nodes[(round + 1) % nodes.len()]);
        records.push(send_record(&client, &service, first, second, round).await);
        stream_completion(&client, &model, first, round, &mut result).await;
        tokio::time::sleep(ROUND_PAUSE).await;
    }
    let runs = count_runs(&client, &backends).await?;
    judge_records(&records, &runs, &mut result);
    std::fs::write(&out, serde_json::to_vec_pretty(&result)?).with_context(|| format!("cannot write {out}"))
}

async fn send_record(client: &ApiClient, service: &str, first: &str, second: &str, round: usize) -> Record {
    let text = format!("wash-{round}");
    let key = format!("key-{round}");
    let path = format!("/v1/services/{service}/records");
    let send = |node: &str| {
        let (node, path, key, text) = (node.to_owned(), path.clone(), key.clone(), text.clone());
        async move { client.send(Method::POST, &node, &path, Some(&key), text).await.ok() }
    };
    // A balancer sends a call again while the first one is in progress, or after it was answered.
    let (first, second) = if round.is_multiple_of(2) {
        tokio::join!(send(first), send(second))
    } else {
        (send(first).await, send(second).await)
    };
    Record { text, first, second }
}

async fn count_runs(client: &ApiClient, backends: &str) -> anyhow::Result<BTreeMap<String, u64>> {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for backend in backends.split(',') {
        let reply = client.send(Method::GET, backend, "/runs", None, String::new()).await?;
        let counted: BTreeMap<String, u64> = serde_json::from_slice(&reply.body)?;
        for (record, count) in counted {
            *runs.entry(record).or_default() += count;
        }
    }
    Ok(runs)
}

fn judge_records(records: &[Record], runs: &BTreeMap<String, u64>, result: &mut ApplicationResult) {
    for record in records {
        let ran = runs.get(&record.text).copied().unwrap_or(0);
        let replies = [&record.first, &record.second];
        let is_answered = |reply: &&Option<Reply>| reply.as_ref().is_some_and(|reply| reply.status == StatusCode::OK);
        let is_not_run = |reply: &&Option<Reply>| reply.as_ref().is_some_and(|reply| reply.verdict == "not-run");
        let answered = replies.iter().any(is_answered);
        result.records += 1;
        result.answered += usize::from(answered);
        result.ran_twice += usize::from(ran > 1);
        result.answered_not_run += usize::from(answered && ran == 0);
        result.refused_and_ran += usize::from(replies.iter().all(is_not_run) && ran > 0);
        let bodies: Vec<_> = replies.into_iter().filter(is_answered).flatten().map(|reply| &reply.body).collect();
        result.other_answers += usize::from(bodies.len() == 2 && bodies[0] != bodies[1]);
    }
}

async fn stream_completion(client: &ApiClient, model: &str, node: &str, round: usize, result: &mut ApplicationResult) {
    let body = serde_json::json!({
        "model": model, "prompt": format!("question {round}"), "max_tokens": 24, "stream": true, "seed": round,
    });
    result.completions += 1;
    let reply = client.send(Method::POST, node, "/v1/completions", None, body.to_string()).await;
    let Some(reply) = reply.ok().filter(|reply| reply.status.is_success()) else { return };
    let text = String::from_utf8_lossy(&reply.body).into_owned();
    if !text.trim_end().ends_with("[DONE]") {
        return;
    }
    let is_whole = is_whole(&text);
    result.whole += usize::from(is_whole);
    result.short += usize::from(!is_whole);
}

/// An answer is whole if its tokens are in order and its last event says why generation ended.
fn is_whole(stream: &str) -> bool {
    let data = stream.lines().filter_map(|line| line.strip_prefix("data: "));
    let events: Vec<serde_json::Value> = data.filter_map(|data| serde_json::from_str(data).ok()).collect();
    let text_of = |event: &serde_json::Value| Some(event.pointer("/choices/0/text")?.as_str()?.to_owned());
    let text: String = events.iter().filter_map(text_of).collect();
    let tokens = parse(&text).unwrap_or_default();
    let in_order = tokens.iter().enumerate().all(|(index, token)| token.index as usize == index);
    let finish = events.last().and_then(|event| event.pointer("/choices/0/finish_reason"));
    in_order && !tokens.is_empty() && finish.is_some_and(serde_json::Value::is_string)
}
