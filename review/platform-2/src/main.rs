//! Runs a case of the second review: `review-2 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.

mod cases;
mod http;
mod json;
mod nodes;
mod record;
mod servers;
mod store;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

/// Longest time of a case; its processes end with it.
const LIMIT: Duration = Duration::from_secs(110);

const BROKEN: u8 = 1;
const NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, path] = &arguments[..] else {
        eprintln!("usage: review-2 CASE RECORD");
        return ExitCode::from(NOT_RUN);
    };
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("cannot write {path}");
        return ExitCode::from(NOT_RUN);
    };
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if std::fs::create_dir_all(&folder).is_err() {
        eprintln!("cannot create a temporary folder");
        return ExitCode::from(NOT_RUN);
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let context = cases::Context { record: record.clone(), folder: folder.clone(), has_trouble };
    let (sender, receiver) = std::sync::mpsc::channel();
    let name = case.clone();
    let runner = std::thread::spawn(move || {
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::run(&name, &context)));
        // The receiver lives until it has a value or the limit has passed.
        let _ = sender.send(outcome.ok().flatten());
    });
    let outcome = receiver.recv_timeout(LIMIT);
    if outcome.is_err() {
        // Dropping the nodes ends their processes; the thread that owns them is stuck, so they are ended by their ids.
        nodes::kill_all();
    } else {
        let _ = runner.join();
    }
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("logs are kept in {}", folder.display());
    }
    match outcome {
        Ok(Some(findings)) if findings.is_empty() => {
            record.line("verdict   the rule held");
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(Some(findings)) => {
            findings.iter().for_each(|finding| record.line(&format!("broken    {finding}")));
            record.line("verdict   the rule was broken");
            println!("broken: {}", findings[0]);
            ExitCode::from(BROKEN)
        }
        Ok(None) | Err(_) => {
            record.line("verdict   the case could not run");
            println!("not run");
            ExitCode::from(NOT_RUN)
        }
    }
}
