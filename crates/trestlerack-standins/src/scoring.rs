//! A scoring service.

use crate::faults::{FaultMode, Faults};
use crate::server::{Answer, ReadRequest, ServerOptions, finish, json, serve, status};
use hyper::StatusCode;
use std::sync::Arc;

/// Runs a scoring service.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let options = ServerOptions::parse(&mut arguments)?;
    finish(arguments)?;
    serve(options, Arc::new(Faults::default()), handle).await
}

async fn handle(faults: Arc<Faults>, request: ReadRequest) -> Answer {
    if request.path == "/faults" {
        return faults.order(&request);
    }
    if let Err(refusal) = faults.before().await {
        return refusal;
    }
    if faults.strikes(FaultMode::BadAnswers) {
        return status(StatusCode::INTERNAL_SERVER_ERROR);
    }
    let Some(body) = request.json::<serde_json::Value>() else { return status(StatusCode::BAD_REQUEST) };
    let length = body.get("text").and_then(|text| text.as_str()).map_or(0, str::len);
    json(&serde_json::json!({ "score": (length % 100) as f64 / 100.0 }))
}
