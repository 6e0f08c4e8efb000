//! Sums up one run of an experiment as a row, and draws rows as a plot.

use crate::trainer::TrainerResult;
use anyhow::Context;
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use trestlerack::request::Sample;

/// One run of an experiment.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunSummary {
    /// Policy that ran.
    pub policy: String,
    /// Load in percent of the engines' capacity.
    pub load: u32,
    /// Fault that struck.
    pub fault: String,
    /// Share of the trainer's time after the first step that it was idle, in percent.
    pub idle_percent: f64,
    /// The same for a scheduler that keeps every slot busy and knows every length.
    pub bound_percent: f64,
    /// Mean age of the samples in versions.
    pub age_mean: f64,
    /// 99th percentile of the age.
    pub age_p99: u64,
    /// Largest age.
    pub age_max: u64,
    /// Tokens delivered per second.
    pub goodput: f64,
    /// Tokens generated and not delivered, in percent of those generated.
    pub wasted_percent: f64,
    /// Whether a promise broke or the run did not end.
    pub broken: bool,
}

#[derive(Deserialize)]
struct LogLine {
    from: u32,
    to: u32,
}

/// Prints the row of one run and appends it to a file.
pub fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let policy = arguments.value_from_str("--policy")?;
    let load = arguments.value_from_str("--load")?;
    let fault = arguments.value_from_str("--fault")?;
    let train_ms: f64 = arguments.value_from_str("--train-ms")?;
    let make_ms: f64 = arguments.value_from_str("--make-ms")?;
    let append: String = arguments.value_from_str("--append")?;
    let trainer: String = arguments.value_from_str("--trainer")?;
    let samples: String = arguments.value_from_str("--samples")?;
    let steps: u64 = arguments.value_from_str("--steps")?;
    let logs = arguments.finish();
    let result: TrainerResult = serde_json::from_str(&std::fs::read_to_string(trainer)?)?;
    let delivered = count_delivered(&std::fs::read_to_string(samples)?)?;
    let mut generated = 0;
    for log in logs {
        generated += count_generated(&std::fs::read_to_string(log)?);
    }
    let mut ages = result.findings.ages.clone();
    ages.sort_unstable();
    let total = result.total_ms.saturating_sub(result.first_wait_ms).max(1) as f64;
    let summary = RunSummary {
        policy,
        load,
        fault,
        idle_percent: 100.0 * (result.idle_ms - result.first_wait_ms) as f64 / total,
        bound_percent: 100.0 * (make_ms - train_ms).max(0.0) / make_ms.max(train_ms),
        age_mean: ages.iter().sum::<u64>() as f64 / ages.len().max(1) as f64,
        age_p99: ages.get(ages.len() * 99 / 100).copied().unwrap_or(0),
        age_max: ages.last().copied().unwrap_or(0),
        goodput: delivered as f64 * 1_000.0 / result.total_ms.max(1) as f64,
        wasted_percent: 100.0 * generated.saturating_sub(delivered) as f64 / generated.max(1) as f64,
        broken: result.findings.is_broken() || result.steps < steps,
    };
    println!(
        "| {} | {} % | {} | {:.1} % | {:.1} % | {:.2} | {} | {} | {:.0} | {:.1} % | {} |",
        summary.policy,
        summary.load,
        summary.fault,
        summary.idle_percent,
        summary.bound_percent,
        summary.age_mean,
        summary.age_p99,
        summary.age_max,
        summary.goodput,
        summary.wasted_percent,
        if summary.broken { "BROKEN" } else { "kept" }
    );
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(append)?;
    std::io::Write::write_all(&mut file, format!("{}\n", serde_json::to_string(&summary)?).as_bytes())?;
    Ok(())
}

fn count_delivered(samples: &str) -> anyhow::Result<u64> {
    let mut tokens = 0;
    for line in samples.lines() {
        let sample: Sample = serde_json::from_str(line)?;
        tokens += u64::from(sample.tokens);
    }
    Ok(tokens)
}

fn count_generated(log: &str) -> u64 {
    // A line cut short by a kill is left out.
    let lines = log.lines().filter_map(|line| serde_json::from_str::<LogLine>(line).ok());
    lines.map(|line| u64::from(line.to - line.from)).sum()
}

/// Draws the idle time of the runs without faults against the load.
pub fn plot(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let rows: String = arguments.value_from_str("--rows")?;
    let out: String = arguments.value_from_str("--out")?;
    crate::server::finish(arguments)?;
    let text = std::fs::read_to_string(&rows).with_context(|| format!("cannot read {rows}"))?;
    let runs = text.lines().map(serde_json::from_str).collect::<Result<Vec<RunSummary>, _>>()?;
    draw(&runs, &out).map_err(|error| anyhow::anyhow!("cannot draw {out}: {error}"))
}

fn draw(runs: &[RunSummary], out: &str) -> Result<(), Box<dyn std::error::Error>> {
    let runs: Vec<&RunSummary> = runs.iter().filter(|run| run.fault == "none").collect();
    let loads = runs.iter().map(|run| run.load);
    let (low, high) = (loads.clone().min().unwrap_or(0), loads.max().unwrap_or(100));
    let top = runs.iter().map(|run| run.idle_percent).fold(10.0, f64::max) * 1.1;
    let area = SVGBackend::new(out, (760, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(16)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(low..high, 0.0..top)?;
    chart.configure_mesh().x_desc("load, % of capacity").y_desc("trainer idle, %").draw()?;
    let mut policies: Vec<&str> = runs.iter().map(|run| run.policy.as_str()).collect();
    policies.sort_unstable();
    policies.dedup();
    for (index, policy) in policies.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let mut points: Vec<(u32, f64)> =
            runs.iter().filter(|run| run.policy == policy).map(|run| (run.load, run.idle_percent)).collect();
        points.sort_by_key(|(load, _)| *load);
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
