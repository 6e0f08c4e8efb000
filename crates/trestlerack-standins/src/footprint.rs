//! Measures running daemons: processor time, memory and bytes on node links.

use crate::client::ApiClient;
use anyhow::Context;
use hyper::Method;
use std::time::Duration;

/// Clock ticks per second in /proc; fixed by the kernel's interface to user space.
const TICKS_PER_SECOND: f64 = 100.0;

struct Process {
    pid: u32,
    address: String,
}

/// One reading of one process.
#[derive(Clone, Copy, Default)]
struct Reading {
    cpu_seconds: f64,
    resident_kib: f64,
    link_bytes: f64,
}

/// Reads processes twice and prints the rates between, mean and largest.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let seconds: u64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(20);
    let label: String = arguments.opt_value_from_str("--label")?.unwrap_or_default();
    let words = arguments.finish();
    let processes = words.iter().map(|word| parse(&word.to_string_lossy())).collect::<anyhow::Result<Vec<_>>>()?;
    let client = ApiClient::new("");
    let before = read_all(&client, &processes).await?;
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let after = read_all(&client, &processes).await?;
    let rate = |pick: fn(&Reading) -> f64| -> Vec<f64> {
        let pairs = before.iter().zip(&after);
        pairs.map(|(before, after)| (pick(after) - pick(before)) / seconds as f64).collect()
    };
    let cpu = rate(|reading| reading.cpu_seconds * 100.0);
    let link = rate(|reading| reading.link_bytes);
    let resident: Vec<f64> = after.iter().map(|reading| reading.resident_kib / 1024.0).collect();
    println!(
        "{label} nodes {:>3}  cpu % of a core mean {:.3} max {:.3}  resident MiB mean {:.1} max {:.1}  \
         link bytes/s mean {:.0} max {:.0}",
        processes.len(),
        mean(&cpu),
        max(&cpu),
        mean(&resident),
        max(&resident),
        mean(&link),
        max(&link)
    );
    Ok(())
}

fn parse(word: &str) -> anyhow::Result<Process> {
    let (pid, address) = word.split_once('@').with_context(|| format!("{word}: expected PID@ADDRESS"))?;
    Ok(Process { pid: pid.parse()?, address: address.to_owned() })
}

async fn read_all(client: &ApiClient, processes: &[Process]) -> anyhow::Result<Vec<Reading>> {
    let mut readings = Vec::new();
    for process in processes {
        readings.push(read(client, process).await?);
    }
    Ok(readings)
}

async fn read(client: &ApiClient, process: &Process) -> anyhow::Result<Reading> {
    let cpu_seconds = cpu_seconds(process.pid)?;
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.pid))?;
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
    let resident_kib = resident.split_whitespace().next().unwrap_or("0").parse()?;
    let page = client.send(Method::GET, &process.address, "/metrics", None, String::new()).await?;
    let page = String::from_utf8_lossy(&page.body).into_owned();
    let lines = page.lines().filter(|line| line.starts_with("trestlerack_link_bytes_total"));
    let link_bytes = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum();
    Ok(Reading { cpu_seconds, resident_kib, link_bytes })
}

/// Returns the processor time that a process has used so far.
pub fn cpu_seconds(pid: u32) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / TICKS_PER_SECOND)
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn max(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}
