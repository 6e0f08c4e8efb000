//! `trestlerack`, the command-line tool of the rollout service.

mod api;
mod commands;
mod print;

use std::process::ExitCode;

const HELP: &str = "\
trestlerack - operate the trestlerack rollout service

Usage: trestlerack [options] COMMAND

  check FILE               check a declaration or, with --settings, a settings file, offline
  plan FILE [--out PLAN]   show what a declaration would change; keep the plan for confirm
  confirm FILE --plan PLAN bring the planned change into force
  show nodes|backends|campaigns|steps CAMPAIGN
  show cold|customers|duties|level|memory|placement|room|suspects|servers|zones
                            of an entry service; --node is the metrics address of one of its nodes,
                           and no key is needed
  drain BACKEND [--undo]   send a backend server no new work, or use it again
  trace SAMPLE             show what made a sample (campaign/step/group/index)
  replay FILE... [--restate]
                           replay recorded decisions and compare their outcomes, offline, or
                           state the outcomes anew

Options:
  --node ADDRESS           node to ask (default: $TRESTLERACK_NODE)
  --key-file FILE          file with the operators' key (default: $TRESTLERACK_KEY_FILE)
  --json                   print JSON for scripts
  --help, --version

Exit codes: 0 done; 1 refused or failed; 2 wrong command line or unreadable file;
3 the declaration or settings are wrong; 4 the node cannot be reached; 5 the plan is out of date;
6 a replayed outcome differs.
";

/// Exit codes, as printed in the help text and documented in docs/API.md.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// Refused or failed.
    Refused = 1,
    /// Wrong command line or unreadable file.
    Usage = 2,
    /// The declaration or the settings are wrong.
    Invalid = 3,
    /// The node cannot be reached.
    Unreachable = 4,
    /// The plan is out of date.
    OutOfDate = 5,
    /// A replayed outcome differs.
    Differs = 6,
}

/// A failed command: its exit code and what to print.
#[derive(Debug)]
pub struct CommandError {
    /// Exit code.
    pub exit: Exit,
    /// What to print.
    pub message: String,
}

impl CommandError {
    /// Builds a failed command.
    pub fn new(exit: Exit, message: impl Into<String>) -> Self {
        Self { exit, message: message.into() }
    }
}

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if arguments.contains("--help") {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains("--version") {
        println!("trestlerack {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match commands::run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("trestlerack: {}", error.message);
            ExitCode::from(error.exit as u8)
        }
    }
}
