//! Runs the scripted cases of the review: `review-standins CASE FOLDER`, from the root of the repository.
//!
//! Exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in
//! the environment the disruption is left out.

mod cases;
mod engine;
mod http;
mod json;
mod link;
mod record;
mod store;
mod system;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Result of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

/// What every case gets.
pub struct Setting {
    pub record: Record,
    /// Folder for settings and logs of the daemons, removed at the end.
    pub scratch: PathBuf,
    /// Whether the disruption takes place.
    pub has_trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&scratch) {
        eprintln!("cannot create a temporary folder: {error}");
        return ExitCode::from(2);
    }
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let setting = Setting { record: record.clone(), scratch: scratch.clone(), has_trouble };
    record.write(&format!("case {case}, trouble {has_trouble}"));
    let outcome = match &**case {
        "held-items" => cases::held_items(&setting),
        "open-job" => cases::open_job(&setting),
        "stale-driver" => cases::stale_driver(&setting),
        "stream-timeout" => cases::stream_timeout(&setting),
        "stream-resume" => cases::stream_resume(&setting),
        _ => Outcome::NotRun("there is no such case".into()),
    };
    if std::env::var_os("KEEP").is_none() {
        // What can't be removed is left to the system.
        let _ = std::fs::remove_dir_all(&scratch);
    }
    let (text, code) = match outcome {
        Outcome::Held => ("the rule held".to_owned(), 0),
        Outcome::Broken => ("the rule was broken".to_owned(), 1),
        Outcome::NotRun(why) => (format!("the case could not run: {why}"), 2),
    };
    record.write(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
