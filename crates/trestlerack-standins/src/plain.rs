//! A plain service that counts each call that it ran.

use crate::faults::{FATAL_RECORD, FaultMode, Faults};
use crate::server::{Answer, Dropped, ReadRequest, ServerOptions, finish, json, serve, status};
use hyper::StatusCode;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

/// Exit code of a service that a record ended.
const FATAL_EXIT: i32 = 9;

#[derive(Default)]
struct Plain {
    runs: Mutex<BTreeMap<String, u64>>,
    faults: Faults,
}

/// Runs a plain service.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let options = ServerOptions::parse(&mut arguments)?;
    finish(arguments)?;
    serve(options, Arc::new(Plain::default()), handle).await
}

async fn handle(plain: Arc<Plain>, request: ReadRequest) -> Answer {
    match request.path.as_str() {
        "/faults" => return plain.faults.order(&request),
        "/runs" => return json(&*plain.runs.lock().unwrap()),
        _ => {}
    }
    if plain.faults.strikes(FaultMode::Crash) {
        return Err(Dropped);
    }
    if let Err(refusal) = plain.faults.before().await {
        return refusal;
    }
    if plain.faults.strikes(FaultMode::BadAnswers) {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let record = String::from_utf8_lossy(&request.body).into_owned();
    if plain.faults.mode() == FaultMode::Exit && record.starts_with(FATAL_RECORD) {
        std::process::exit(FATAL_EXIT);
    }
    let runs = {
        let mut runs = plain.runs.lock().unwrap();
        let count = runs.entry(record.clone()).or_default();
        *count += 1;
        *count
    };
    let mut answer = json(&serde_json::json!({ "record": record, "runs": runs }));
    if let Ok(answer) = &mut answer
        && plain.faults.mode() == FaultMode::Leaving
    {
        answer.headers_mut().insert("x-leaving", hyper::header::HeaderValue::from_static("1"));
    }
    plain.faults.after(answer)
}
