//! Routes of the HTTP API for callers, operators and health checks.

use super::api_call::{bytes_response, error_response};
use super::{completions, operators, plain, steps};
use crate::connection::accept::NodeHandle;
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::builder::{DefineSingleRoute, DrawRoutes, build_simple_router};
use gotham::state::{FromState, State};
use hyper::{Method, Response, StatusCode};
use serde::Deserialize;
use trestlerack::Failure;
use trestlerack::verdict::Reason;

/// Path parameters. Gotham needs their names to match a path; the handlers parse the path themselves.
#[derive(Deserialize, StateData, StaticResponseExtender)]
#[allow(dead_code, reason = "gotham fills the fields while it matches a path")]
struct PathParams {
    campaign: Option<String>,
    step: Option<u64>,
    group: Option<String>,
    index: Option<usize>,
    model: Option<String>,
    backend: Option<String>,
    service: Option<String>,
    #[serde(rename = "*")]
    rest: Option<Vec<String>>,
}

/// Builds the router.
pub fn router() -> Router {
    build_simple_router(|route| {
        route.get("/livez").to_async(live);
        route.get("/readyz").to_async(ready);
        route.get("/metrics").to_async(metrics);
        route.post("/v1/completions").to_async(completions::complete);
        route.post("/v1/plans").to_async(operators::plan);
        route.post("/v1/plans/confirm").to_async(operators::confirm);
        route.get("/v1/nodes").to_async(operators::nodes);
        route.get("/v1/backends").to_async(operators::backends);
        route.get("/v1/campaigns").to_async(operators::campaigns);
        route.post("/v1/backends/:backend/drain").with_path_extractor::<PathParams>().to_async(operators::drain);
        route.delete("/v1/backends/:backend/drain").with_path_extractor::<PathParams>().to_async(operators::undrain);
        route.post("/v1/models/:model/weights").with_path_extractor::<PathParams>().to_async(steps::publish);
        route.get("/v1/campaigns/:campaign/steps").with_path_extractor::<PathParams>().to_async(steps::list);
        route.put("/v1/campaigns/:campaign/steps/:step").with_path_extractor::<PathParams>().to_async(steps::submit);
        route
            .get("/v1/campaigns/:campaign/steps/:step/samples")
            .with_path_extractor::<PathParams>()
            .to_async(steps::take);
        route
            .post("/v1/campaigns/:campaign/steps/:step/ack")
            .with_path_extractor::<PathParams>()
            .to_async(steps::acknowledge);
        route
            .get("/v1/campaigns/:campaign/steps/:step/groups/:group/:index")
            .with_path_extractor::<PathParams>()
            .to_async(steps::trace);
        let methods = vec![Method::GET, Method::POST, Method::PUT, Method::PATCH, Method::DELETE];
        route.request(methods, "/v1/services/:service/*").with_path_extractor::<PathParams>().to_async(plain::call);
    })
}

/// Builds the response to a request whose handler panicked.
pub fn internal_error() -> Response<Body> {
    bytes_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", "internal error\n")
}

async fn live(state: State) -> HandlerResult {
    Ok((state, bytes_response(StatusCode::OK, "text/plain", "live\n")))
}

/// Reports readiness: a node is ready from its first configuration until its planned stop.
async fn ready(state: State) -> HandlerResult {
    let node = NodeHandle::borrow_from(&state).0.clone();
    let failure = if node.stop.is_stopping() {
        Some(Failure::not_run(Reason::Stopping, "the node is stopping"))
    } else if node.config.current().generation == 0 {
        Some(Failure::not_run(Reason::NotReady, "no configuration is in force yet"))
    } else {
        None
    };
    let response = match failure {
        Some(failure) => {
            let mut response = error_response(&node, "readyz", &failure);
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response
        }
        None => bytes_response(StatusCode::OK, "text/plain", "ready\n"),
    };
    Ok((state, response))
}

async fn metrics(state: State) -> HandlerResult {
    let node = NodeHandle::borrow_from(&state).0.clone();
    let response = match node.telemetry.page() {
        Ok(page) => bytes_response(StatusCode::OK, "text/plain; version=0.0.4", page),
        Err(_) => internal_error(),
    };
    Ok((state, response))
}
