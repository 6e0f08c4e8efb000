//! `trestlerackd`, the daemon of the trestlerack rollout service.
//!
//! The `trestlerack` library makes the decisions; this crate carries them out over the network. As in the
//! library, modules are grouped by the lifetime of their state: process, version, connection, request.

mod connection;
mod entry;
mod node;
mod process;
mod request;
mod version;

use anyhow::{Context, bail};
use std::process::ExitCode;
use std::sync::Arc;
use trestlerack::Name;
use trestlerack::process::{DaemonSettings, EntrySettings, parse_entry_settings, parse_settings};
use trestlerack::schema::DocumentError;

const HELP: &str = "\
trestlerackd - a node of the trestlerack rollout service

Usage: trestlerackd --settings FILE [--check]
       trestlerackd entry [--settings FILE] [--check]

  entry            serve on the users' platform (docs/PLATFORM.md); without --settings
                   the file that TRESTLERACK_CONFIG names is read
  --settings FILE  settings, JSON with comments (docs/SETTINGS.md)
  --check          check the settings, say what is wrong and exit
  --help           print this text
  --version        print the version

Exit codes: 0 stopped as planned, 1 failed, 2 the settings or the command line are wrong.
";

/// Exit code for an invalid command line or invalid settings.
const EXIT_USAGE: u8 = 2;

/// Action that the command line selects.
enum Command {
    Print(String),
    Check(Name),
    Serve(DaemonSettings),
    ServeEntry(EntrySettings, String),
}

/// Environment variable that names the settings file of the entry service.
const ENTRY_SETTINGS_VARIABLE: &str = "TRESTLERACK_CONFIG";

fn main() -> ExitCode {
    let command = match parse_command() {
        Ok(command) => command,
        Err(error) => {
            eprintln!("trestlerackd: {error:#}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    let outcome = match command {
        Command::Print(text) => {
            print!("{text}");
            return ExitCode::SUCCESS;
        }
        Command::Check(name) => {
            println!("{name}: the settings are well formed");
            return ExitCode::SUCCESS;
        }
        Command::Serve(settings) => serve(settings),
        Command::ServeEntry(settings, file) => serve_entry(settings, file),
    };
    match outcome {
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
    let wants_entry = std::env::args().nth(1).is_some_and(|argument| argument == "entry");
    if wants_entry {
        arguments.subcommand()?;
        return parse_entry_command(arguments);
    }
    let file: String = arguments.value_from_str("--settings").context("see trestlerackd --help")?;
    let check = arguments.contains("--check");
    let unknown_arguments = arguments.finish();
    if !unknown_arguments.is_empty() {
        bail!("unknown arguments {unknown_arguments:?}; see trestlerackd --help");
    }
    let text = std::fs::read_to_string(&file).with_context(|| format!("cannot read {file}"))?;
    let settings = parse_settings(&file, &text).map_err(settings_error)?;
    Ok(if check { Command::Check(settings.name) } else { Command::Serve(settings) })
}

fn parse_entry_command(mut arguments: pico_args::Arguments) -> anyhow::Result<Command> {
    let file = match arguments.opt_value_from_str("--settings")? {
        Some(file) => file,
        None => std::env::var(ENTRY_SETTINGS_VARIABLE)
            .with_context(|| format!("--settings or {ENTRY_SETTINGS_VARIABLE} is needed"))?,
    };
    let check = arguments.contains("--check");
    let unknown_arguments = arguments.finish();
    if !unknown_arguments.is_empty() {
        bail!("unknown arguments {unknown_arguments:?}; see trestlerackd --help");
    }
    let settings = read_entry_settings(&file)?;
    Ok(if check { Command::Check(settings.name) } else { Command::ServeEntry(settings, file) })
}

/// Reads and checks the settings of the entry service.
fn read_entry_settings(file: &str) -> anyhow::Result<EntrySettings> {
    let text = std::fs::read_to_string(file).with_context(|| format!("cannot read {file}"))?;
    parse_entry_settings(file, &text).map_err(settings_error)
}

fn settings_error(errors: Vec<DocumentError>) -> anyhow::Error {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    anyhow::anyhow!("the settings are wrong\n{}", lines.join("\n"))
}

fn serve(settings: DaemonSettings) -> anyhow::Result<()> {
    process::logs::start(&settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(async {
        let node = Arc::new(node::Node::open(settings)?);
        process::run(node).await
    })
}

/// Runs the entry service on one thread, since it gets half a core of its VM.
fn serve_entry(settings: EntrySettings, file: String) -> anyhow::Result<()> {
    process::logs::start_bounded(&settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let outcome = runtime.block_on(entry::run(settings, file));
    log::logger().flush();
    outcome
}
