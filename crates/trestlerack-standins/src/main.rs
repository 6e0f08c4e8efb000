//! Small stand-ins for the systems that trestlerack meets, one process each.
//!
//! They speak the same protocols as the real systems and fail on command. The daemon does not
//! depend on this crate.

mod application;
mod checks;
mod churn;
mod client;
mod engine;
mod faults;
mod footprint;
mod hops;
mod members;
mod objects;
mod plain;
mod report;
mod scoring;
mod server;
mod summary;
mod table;
mod tokens;
mod trainer;
mod weights;

use anyhow::bail;
use std::process::ExitCode;

const HELP: &str = "\
trestlerack-standin - stand-ins for the systems that trestlerack meets

Usage: trestlerack-standin KIND [options]

  engine   --name N --model M --slots S --token-ms T --weights ADDR --log FILE [--checks-fencing]
  table    [--log FILE]
  objects
  weights  --per-second R
  scoring
  plain    --log FILE
  members  --lag-ms L
  trainer  --campaign C --model M --nodes A,B --key K --steps N --groups G --size S --train-ms T
           --zones Z,Y --staleness V --out FILE
  application --nodes A,B --key K --service S --backends C,D --model M --rounds N --out FILE
  churn    --nodes A,B --key K --changes N --per-second R
  hops                 latency and throughput, for measure/hops.sh
  summary, plot        rows and the plot of measure/policies.sh
  footprint [--seconds S] [--label L] PID@ADDRESS...
  call     METHOD ADDRESS PATH [BODY [KEY]]
  report   FILE...     sum up trainers' results; exit 1 if a promise broke

Servers take --listen ADDR (default 127.0.0.1:0) and --address-file FILE.
Faults are ordered with POST /faults; see CONTRIBUTING.md.
";

fn main() -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let outcome = runtime.map_err(anyhow::Error::from).and_then(|runtime| runtime.block_on(run()));
    match outcome {
        Ok(code) => code,
        Err(error) => {
            eprintln!("trestlerack-standin: {error:#}");
            ExitCode::from(2)
        }
    }
}

async fn run() -> anyhow::Result<ExitCode> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return Ok(ExitCode::SUCCESS);
    }
    let kind = arguments.subcommand()?.unwrap_or_default();
    match kind.as_str() {
        "engine" => engine::run(arguments).await?,
        "table" => table::run(arguments).await?,
        "objects" => objects::run(arguments).await?,
        "weights" => weights::run(arguments).await?,
        "scoring" => scoring::run(arguments).await?,
        "plain" => plain::run(arguments).await?,
        "members" => members::run(arguments).await?,
        "application" => application::run(arguments).await?,
        "churn" => churn::run(arguments).await?,
        "footprint" => footprint::run(arguments).await?,
        "hops" => hops::run(arguments).await?,
        "summary" => summary::run(arguments)?,
        "plot" => summary::plot(arguments)?,
        "call" => return client::run(arguments).await,
        "trainer" => trainer::run(arguments).await?,
        "report" => return report::run(arguments),
        other => bail!("unknown kind {other:?}; see trestlerack-standin --help"),
    }
    Ok(ExitCode::SUCCESS)
}
