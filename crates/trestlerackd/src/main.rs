//! `trestlerackd`, the daemon of the trestlerack rollout service.
//!
//! The decisions are in the `trestlerack` library; this crate carries them out over sockets. It is
//! laid out by life span, as the library is.

mod connection;
mod node;
mod process;
mod request;
mod version;

use anyhow::{Context, bail};
use std::process::ExitCode;
use std::sync::Arc;
use trestlerack::process::{DaemonSettings, parse_settings};

const HELP: &str = "\
trestlerackd - a node of the trestlerack rollout service

Usage: trestlerackd --settings FILE [--check]

  --settings FILE  settings, JSON with comments (docs/SETTINGS.md)
  --check          check the settings, say what is wrong and exit
  --help           print this text
  --version        print the version

Exit codes: 0 stopped as planned, 1 failed, 2 the settings or the command line are wrong.
";

/// Exit code for a wrong command line or wrong settings.
const EXIT_USAGE: u8 = 2;

/// What the command line asks for.
enum Command {
    Print(String),
    Check(DaemonSettings),
    Serve(DaemonSettings),
}

fn main() -> ExitCode {
    let command = match parse_command() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("trestlerackd: {error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let settings = match command {
        Command::Print(text) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Command::Check(settings) => {
            println!("{}: the settings are well formed", settings.name);
            return ExitCode::SUCCESS;
        }
        Command::Serve(settings) => settings,
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("trestlerackd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn parse_command() -> anyhow::Result<Command> {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        return Ok(Command::Print(HELP.into()));
    }
    if arguments.contains("--version") {
        return Ok(Command::Print(format!("trestlerackd {}\n", env!("CARGO_PKG_VERSION"))));
    }
    let file: String = arguments.value_from_str("--settings").context("see trestlerackd --help")?;
    let check = arguments.contains("--check");
    let rest = arguments.finish();
    if !rest.is_empty() {
        bail!("unknown arguments {rest:?}; see trestlerackd --help");
    }
    let text = std::fs::read_to_string(&file).with_context(|| format!("cannot read {file}"))?;
    let settings = parse_settings(&file, &text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        anyhow::anyhow!("the settings are wrong\n{}", lines.join("\n"))
    })?;
    Ok(if check { Command::Check(settings) } else { Command::Serve(settings) })
}

fn serve(settings: DaemonSettings) -> anyhow::Result<()> {
    process::logs::start(&settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let node = Arc::new(node::Node::open(settings)?);
        process::run(node).await
    })
}
