//! Latency that the service adds, and what one daemon carries per core.

use crate::client::ApiClient;
use crate::footprint::cpu_seconds;
use anyhow::Context;
use hdrhistogram::Histogram;
use hyper::Method;
use std::time::{Duration, Instant};

/// Calls of each kind before the measured ones, to open connections and links.
const WARM_UP: usize = 200;

/// Tokens of an answer in the throughput run: the design size's 162,000 tokens over 760 calls.
const TOKENS: u32 = 213;

/// Calls in progress in the throughput run.
const IN_PROGRESS: usize = 64;

/// Measures latency in turns, direct, over one hop and over two, and then throughput.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let engine: String = arguments.value_from_str("--engine")?;
    let owner: String = arguments.value_from_str("--owner")?;
    let other: String = arguments.value_from_str("--other")?;
    let owner_pid: u32 = arguments.value_from_str("--owner-pid")?;
    let other_pid: u32 = arguments.value_from_str("--other-pid")?;
    let client = ApiClient::new(arguments.value_from_str::<_, String>("--key")?);
    let calls: usize = arguments.opt_value_from_str("--calls")?.unwrap_or(3_000);
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(5);
    crate::server::finish(arguments)?;
    let kinds = [("direct", &engine), ("one hop", &owner), ("two hops", &other)];
    let mut times = [Histogram::<u64>::new(3)?, Histogram::new(3)?, Histogram::new(3)?];
    for round in 0..WARM_UP + calls {
        for (index, (_, address)) in kinds.iter().enumerate() {
            let began = Instant::now();
            complete(&client, address, 1).await?;
            if round >= WARM_UP {
                times[index].record(u64::try_from(began.elapsed().as_micros())?)?;
            }
        }
    }
    for ((name, _), times) in kinds.iter().zip(&times) {
        let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
        println!("{name:<9} p50 {p50} us  p99 {p99} us  ({calls} calls, one at a time)");
    }
    for (name, address, pids) in
        [("one hop", &owner, vec![owner_pid]), ("two hops", &other, vec![owner_pid, other_pid])]
    {
        throughput(&client, name, address, &pids, Duration::from_secs(seconds)).await?;
    }
    Ok(())
}

async fn complete(client: &ApiClient, address: &str, tokens: u32) -> anyhow::Result<()> {
    let body = serde_json::json!({
        "model": "model", "prompt": "p", "max_tokens": tokens, "stream": true, "seed": 1,
    });
    let reply = client.send(Method::POST, address, "/v1/completions", None, body.to_string()).await?;
    anyhow::ensure!(reply.status.is_success(), "{}", String::from_utf8_lossy(&reply.body));
    anyhow::ensure!(reply.body.ends_with(b"[DONE]\n\n"), "the answer is not whole");
    Ok(())
}

async fn throughput(client: &ApiClient, name: &str, address: &str, pids: &[u32], time: Duration) -> anyhow::Result<()> {
    let spent = |pids: &[u32]| -> anyhow::Result<f64> {
        let each = pids.iter().map(|pid| cpu_seconds(*pid).with_context(|| format!("pid {pid}")));
        Ok(each.collect::<anyhow::Result<Vec<f64>>>()?.into_iter().sum())
    };
    let before = spent(pids)?;
    let began = Instant::now();
    let workers = (0..IN_PROGRESS).map(|_| {
        let (client, address) = (client.clone(), address.to_owned());
        tokio::spawn(async move {
            let mut calls = 0_u64;
            while began.elapsed() < time {
                complete(&client, &address, TOKENS).await?;
                calls += 1;
            }
            anyhow::Ok(calls)
        })
    });
    let workers: Vec<_> = workers.collect();
    let mut calls = 0;
    for worker in workers {
        calls += worker.await??;
    }
    let elapsed = began.elapsed().as_secs_f64();
    let cores = (spent(pids)? - before) / elapsed;
    let rate = calls as f64 / elapsed;
    println!(
        "{name:<9} {rate:.0} calls/s with {:.0} tokens/s on {cores:.2} cores of {} daemon(s): \
         {:.0} calls/s and {:.0} tokens/s per core",
        rate * f64::from(TOKENS),
        pids.len(),
        rate / cores,
        rate * f64::from(TOKENS) / cores
    );
    Ok(())
}
