//! Sums up what trainers and applications found, and checks samples against the engines' logs.

use crate::application::ApplicationResult;
use crate::trainer::TrainerResult;
use anyhow::Context;
use serde::Deserialize;
use std::collections::HashMap;
use std::process::ExitCode;
use trestlerack::hash::hash_parts;
use trestlerack::request::{Sample, VersionRange};

#[derive(Deserialize)]
struct LogLine {
    engine: String,
    seed: u64,
    from: u32,
    to: u32,
    version: Option<u64>,
}

/// Token ranges by engine and seed, as the engines logged them.
type EngineLogs = HashMap<(String, u64), Vec<LogLine>>;

/// Prints the table and returns a failure if a promise broke.
///
/// Files are told apart by their names: `trainer-*.json`, `application-*.json`, `samples-*.jsonl`
/// and `engine-*.jsonl`.
pub fn run(arguments: pico_args::Arguments) -> anyhow::Result<ExitCode> {
    let files: Vec<String> = arguments.finish().into_iter().map(|file| file.to_string_lossy().into_owned()).collect();
    let logs = read_logs(&files)?;
    let mut is_broken = false;
    print_trainer_head();
    for file in named(&files, "trainer-") {
        let result: TrainerResult = serde_json::from_str(&read(file)?).with_context(|| file.clone())?;
        print_trainer(&result);
        let is_unfinished = result.findings.expected == 0;
        is_broken |= result.findings.is_broken() || is_unfinished;
    }
    for file in named(&files, "samples-") {
        let unproved = count_unproved(&read(file)?, &logs)?;
        println!("{}: samples with tokens that no engine logged: {unproved}", base(file));
        is_broken |= unproved > 0;
    }
    for file in named(&files, "application-") {
        let result: ApplicationResult = serde_json::from_str(&read(file)?).with_context(|| file.clone())?;
        print_application(base(file), &result);
        is_broken |= result.is_broken();
    }
    println!("{}", if is_broken { "A PROMISE BROKE" } else { "no promise broke" });
    Ok(if is_broken { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}

fn base(file: &str) -> &str {
    file.rsplit('/').next().unwrap_or(file)
}

fn named<'a>(files: &'a [String], prefix: &'a str) -> impl Iterator<Item = &'a String> {
    files.iter().filter(move |file| base(file).starts_with(prefix))
}

fn read(file: &str) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))
}

fn read_logs(files: &[String]) -> anyhow::Result<EngineLogs> {
    let mut logs = EngineLogs::new();
    for file in named(files, "engine-") {
        for line in read(file)?.lines() {
            // A line cut short by a kill proves nothing and is left out.
            let Ok(line) = serde_json::from_str::<LogLine>(line) else { continue };
            logs.entry((line.engine.clone(), line.seed)).or_default().push(line);
        }
    }
    Ok(logs)
}

/// Counts samples with a token whose engine logged no such token at the named version.
fn count_unproved(samples: &str, logs: &EngineLogs) -> anyhow::Result<usize> {
    let mut unproved = 0;
    for line in samples.lines() {
        let sample: Sample = serde_json::from_str(line)?;
        let parts: Vec<&str> = sample.id.split('/').collect();
        let seed = hash_parts(&parts);
        let is_proved = sample.versions.iter().all(|range| is_logged(range, seed, logs));
        unproved += usize::from(!is_proved);
    }
    Ok(unproved)
}

fn is_logged(range: &VersionRange, seed: u64, logs: &EngineLogs) -> bool {
    let Some(lines) = logs.get(&(range.engine.to_string(), seed)) else { return false };
    (range.from..range.to).all(|token| {
        lines.iter().any(|line| (line.from..line.to).contains(&token) && line.version == Some(range.version))
    })
}

fn print_trainer_head() {
    println!(
        "{:<16} {:>5} {:>8} {:>9} {:>4} {:>7} {:>7} {:>5} {:>8} {:>6} {:>7} {:>6} {:>9} {:>8}",
        "campaign",
        "steps",
        "expected",
        "delivered",
        "lost",
        "doubled",
        "outside",
        "stale",
        "misnamed",
        "broken",
        "changed",
        "idle",
        "age mean",
        "age max"
    );
}

fn print_trainer(result: &TrainerResult) {
    let found = &result.findings;
    let idle = 100.0 * result.idle_ms as f64 / result.total_ms.max(1) as f64;
    let mean = found.ages.iter().sum::<u64>() as f64 / found.ages.len().max(1) as f64;
    let max = found.ages.iter().max().copied().unwrap_or(0);
    println!(
        "{:<16} {:>5} {:>8} {:>9} {:>4} {:>7} {:>7} {:>5} {:>8} {:>6} {:>7} {:>5.1}% {:>9.2} {:>8}",
        result.campaign,
        result.steps,
        found.expected,
        found.delivered,
        found.lost,
        found.doubled,
        found.outside,
        found.stale,
        found.misnamed,
        found.broken,
        found.changed,
        idle,
        mean,
        max
    );
}

fn print_application(name: &str, result: &ApplicationResult) {
    println!(
        "{name}: records {} answered {} ran twice {} answered and not run {} refused and ran {} other answers {}; \
         completions {} whole {} short {}",
        result.records,
        result.answered,
        result.ran_twice,
        result.answered_not_run,
        result.refused_and_ran,
        result.other_answers,
        result.completions,
        result.whole,
        result.short
    );
}
