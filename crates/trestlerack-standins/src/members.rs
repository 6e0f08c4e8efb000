//! The platform's list of VMs and backend servers, which lags.

use crate::faults::Faults;
use crate::server::{Answer, ReadRequest, ServerOptions, finish, json, serve, status};
use hyper::{Method, StatusCode};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trestlerack::interfaces::MembershipList;

struct Members {
    shown: Arc<Mutex<MembershipList>>,
    lag: Duration,
    faults: Faults,
}

/// Runs the membership list.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let options = ServerOptions::parse(&mut arguments)?;
    let lag: Option<u64> = arguments.opt_value_from_str("--lag-ms")?;
    finish(arguments)?;
    let members =
        Members { shown: Arc::default(), lag: Duration::from_millis(lag.unwrap_or(0)), faults: Faults::default() };
    serve(options, Arc::new(members), handle).await
}

async fn handle(members: Arc<Members>, request: ReadRequest) -> Answer {
    if request.path == "/faults" {
        return members.faults.order(&request);
    }
    if let Err(refusal) = members.faults.before().await {
        return refusal;
    }
    match request.method {
        Method::GET => json(&*members.shown.lock().unwrap()),
        Method::PUT => {
            let Some(list) = request.json::<MembershipList>() else { return status(StatusCode::BAD_REQUEST) };
            let (shown, lag) = (members.shown.clone(), members.lag);
            tokio::spawn(async move {
                tokio::time::sleep(lag).await;
                *shown.lock().unwrap() = list;
            });
            status(StatusCode::NO_CONTENT)
        }
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}
