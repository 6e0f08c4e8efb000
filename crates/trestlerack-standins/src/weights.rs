//! The weight store, which limits its rate.

use crate::faults::Faults;
use crate::server::{Answer, ReadRequest, ServerOptions, finish, serve, status};
use hyper::{Method, StatusCode};
use std::collections::HashSet;
use std::sync::{Arc, Mutex};
use tokio::time::Instant;

struct Weights {
    published: Mutex<HashSet<String>>,
    allowance: Mutex<(f64, Instant)>,
    per_second: f64,
    faults: Faults,
}

/// Runs the weight store.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let options = ServerOptions::parse(&mut arguments)?;
    let per_second = arguments.opt_value_from_str("--per-second")?.unwrap_or(50.0);
    finish(arguments)?;
    let weights = Weights {
        published: Mutex::default(),
        allowance: Mutex::new((per_second, Instant::now())),
        per_second,
        faults: Faults::default(),
    };
    serve(options, Arc::new(weights), handle).await
}

async fn handle(weights: Arc<Weights>, request: ReadRequest) -> Answer {
    if request.path == "/faults" {
        return weights.faults.order(&request);
    }
    if let Err(refusal) = weights.faults.before().await {
        return refusal;
    }
    match request.method {
        Method::PUT => {
            weights.published.lock().unwrap().insert(request.path);
            status(StatusCode::NO_CONTENT)
        }
        Method::GET if !weights.admit() => status(StatusCode::TOO_MANY_REQUESTS),
        Method::GET if weights.published.lock().unwrap().contains(&request.path) => status(StatusCode::OK),
        Method::GET => status(StatusCode::NOT_FOUND),
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

impl Weights {
    fn admit(&self) -> bool {
        let mut allowance = self.allowance.lock().unwrap();
        let (tokens, filled) = *allowance;
        let now = Instant::now();
        let tokens = (tokens + now.duration_since(filled).as_secs_f64() * self.per_second).min(self.per_second);
        let admitted = tokens >= 1.0;
        *allowance = (if admitted { tokens - 1.0 } else { tokens }, now);
        admitted
    }
}
