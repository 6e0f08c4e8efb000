//! Changes the configuration at a rate and measures how long each change takes to be everywhere.

use crate::client::ApiClient;
use anyhow::Context;
use hdrhistogram::Histogram;
use hyper::Method;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Pause between two looks at the nodes' generations.
const LOOK_PAUSE: Duration = Duration::from_millis(5);

/// Longest wait for a change to be everywhere.
const GIVE_UP: Duration = Duration::from_secs(60);

/// Confirms changes at a rate and prints the times until they were in force on all nodes.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let nodes: String = arguments.value_from_str("--nodes")?;
    let nodes: Vec<String> = nodes.split(',').map(str::to_owned).collect();
    let client = ApiClient::new(arguments.value_from_str::<_, String>("--key")?);
    let changes: u64 = arguments.value_from_str("--changes")?;
    let per_second: f64 = arguments.value_from_str("--per-second")?;
    crate::server::finish(arguments)?;
    let mut times = Histogram::<u64>::new(3)?;
    let mut waits = Vec::new();
    for number in 0..changes {
        let began = Instant::now();
        let generation = change(&client, &nodes[number as usize % nodes.len()], number).await?;
        let (client, nodes) = (client.clone(), nodes.clone());
        waits.push(tokio::spawn(async move { everywhere(&client, &nodes, generation, began).await }));
        let next = Duration::from_secs_f64(1.0 / per_second);
        tokio::time::sleep(next.saturating_sub(began.elapsed())).await;
    }
    for wait in waits {
        times.record(u64::try_from(wait.await??.as_millis())?)?;
    }
    println!(
        "nodes {:>3}  changes {changes} at {per_second}/s  in force everywhere after ms: p50 {} p99 {} max {}",
        nodes.len(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.99),
        times.max()
    );
    Ok(())
}

async fn change(client: &ApiClient, node: &str, number: u64) -> anyhow::Result<u64> {
    let declaration = json!({
        "scope": "churn",
        "zones": [{ "name": "churn-zone", "region": "none" }],
        "users": [{ "name": "churn-user", "calls_per_second": 1 + number % 1000, "places": ["churn-zone"] }],
    });
    let text = declaration.to_string();
    let request = json!({ "file": "churn", "text": text });
    let plan = client.send(Method::POST, node, "/v1/plans", None, request.to_string()).await?;
    let plan: Value = serde_json::from_slice(&plan.body)?;
    let request = json!({ "file": "churn", "text": text, "made_from": plan["made_from"], "digest": plan["digest"] });
    let answer = client.send(Method::POST, node, "/v1/plans/confirm", None, request.to_string()).await?;
    let answer: Value = serde_json::from_slice(&answer.body)?;
    answer["generation"].as_u64().with_context(|| format!("not confirmed: {answer}"))
}

async fn everywhere(client: &ApiClient, nodes: &[String], generation: u64, began: Instant) -> anyhow::Result<Duration> {
    for node in nodes {
        while held(client, node).await? < generation {
            anyhow::ensure!(began.elapsed() < GIVE_UP, "{node} lacks generation {generation}");
            tokio::time::sleep(LOOK_PAUSE).await;
        }
    }
    Ok(began.elapsed())
}

async fn held(client: &ApiClient, node: &str) -> anyhow::Result<u64> {
    let answer = client.send(Method::GET, node, "/v1/nodes?self=1", None, String::new()).await?;
    let answer: Value = serde_json::from_slice(&answer.body)?;
    Ok(answer[0]["generation"].as_u64().unwrap_or(0))
}
