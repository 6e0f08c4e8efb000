//! Handlers of the operators' API: plans, status reports and drains.

use super::api_call::{ApiCall, json_response, serve};
use crate::process::rollout_loop::loaded_versions;
use crate::version::plans::{self, ConfirmRequest, PlanRequest};
use gotham::handler::HandlerResult;
use gotham::helpers::http::Body;
use gotham::state::State;
use hyper::Response;
use serde::Serialize;
use trestlerack::process::Liveness;
use trestlerack::verdict::Reason;
use trestlerack::version::{Backend, BackendKind, WeightVersion};
use trestlerack::{Failure, Name};

/// `POST /v1/plans`.
pub async fn plan(state: State) -> HandlerResult {
    serve(state, "plan", |call| async move {
        call.require_operator()?;
        let request: PlanRequest = call.json()?;
        json_response(&plans::plan(&call.node, &request).await?)
    })
    .await
}

/// `POST /v1/plans/confirm`.
pub async fn confirm(state: State) -> HandlerResult {
    serve(state, "confirm", |call| async move {
        call.require_operator()?;
        let request: ConfirmRequest = call.json()?;
        json_response(&plans::confirm(&call.node, &request).await?)
    })
    .await
}

/// Status of a node as the node that serves the request knows it.
#[derive(Serialize)]
struct NodeReport {
    name: Name,
    zone: Name,
    liveness: Liveness,
    incarnation: u64,
    is_self: bool,
    generation: Option<u64>,
    in_progress: Option<usize>,
    groups: Option<usize>,
    spooled: Option<usize>,
    links: Option<usize>,
}

/// `GET /v1/nodes`.
pub async fn nodes(state: State) -> HandlerResult {
    serve(state, "show-nodes", |call| async move {
        call.require_operator()?;
        json_response(&node_reports(&call))
    })
    .await
}

fn node_reports(call: &ApiCall) -> Vec<NodeReport> {
    let node = &call.node;
    let liveness = if node.stop.is_stopping() { Liveness::Leaving } else { Liveness::Alive };
    let own = NodeReport {
        name: node.name().clone(),
        zone: node.settings.zone.clone(),
        liveness,
        incarnation: node.incarnation,
        is_self: true,
        generation: Some(node.config.current().generation),
        // The request for this report is in progress too and is not counted.
        in_progress: Some(node.stop.in_progress().saturating_sub(1)),
        groups: Some(node.groups_in_progress.len()),
        spooled: Some(node.spool.len()),
        links: Some(node.links.len()),
    };
    let membership = node.membership.lock().unwrap();
    let peers = membership.peers().map(|update| NodeReport {
        name: update.peer.name,
        zone: update.peer.zone,
        liveness: update.liveness,
        incarnation: update.peer.incarnation,
        is_self: false,
        generation: None,
        in_progress: None,
        groups: None,
        spooled: None,
        links: None,
    });
    std::iter::once(own).chain(peers).collect()
}

/// Status of a backend server as the node that serves the request knows it.
#[derive(Serialize)]
struct BackendReport {
    #[serde(flatten)]
    backend: Backend,
    receives_work: bool,
    owner: Option<Name>,
    #[serde(rename = "held_version")]
    loaded_version: Option<WeightVersion>,
}

/// `GET /v1/backends`.
pub async fn backends(state: State) -> HandlerResult {
    serve(state, "show-backends", |call| async move {
        call.require_operator()?;
        json_response(&backend_reports(&call))
    })
    .await
}

fn backend_reports(call: &ApiCall) -> Vec<BackendReport> {
    let node = &call.node;
    let config = node.config.current();
    let ownership = node.ownership.read().unwrap().clone();
    let loaded_versions = loaded_versions(node);
    let report = |backend: &Backend| {
        let owner = ownership.engine_owner(&backend.name, &backend.zone).map(|owner| owner.name.clone());
        let owner = owner.filter(|_| backend.kind == BackendKind::Engine);
        let engines = loaded_versions.get(&backend.service);
        BackendReport {
            receives_work: !node.dispatchers.is_draining(&backend.name),
            owner,
            loaded_version: engines.and_then(|engines| engines.get(&backend.name).copied().flatten()),
            backend: backend.clone(),
        }
    };
    config.backends().map(report).collect()
}

/// `GET /v1/campaigns`.
pub async fn campaigns(state: State) -> HandlerResult {
    serve(state, "show-campaigns", |call| async move {
        call.require_operator()?;
        let config = call.node.config.current();
        json_response(&config.campaigns().collect::<Vec<_>>())
    })
    .await
}

/// `POST /v1/backends/{backend}/drain`.
pub async fn drain(state: State) -> HandlerResult {
    serve(state, "drain", |call| async move { set_draining(&call, true) }).await
}

/// `DELETE /v1/backends/{backend}/drain`.
pub async fn undrain(state: State) -> HandlerResult {
    serve(state, "undrain", |call| async move { set_draining(&call, false) }).await
}

/// Marks a backend server as draining, or clears the mark. The change spreads by gossip only, so
/// that it works while the table is unavailable.
fn set_draining(call: &ApiCall, draining: bool) -> Result<Response<Body>, Failure> {
    call.require_operator()?;
    let name: Name = call.segment(2).into();
    let config = call.node.config.current();
    if !config.backends().any(|backend| backend.name == name) {
        return Err(Failure::not_run(Reason::NotFound, format!("no backend server {name}")));
    }
    call.node.dispatchers.set_draining(call.node.now(), &name, draining);
    json_response(&serde_json::json!({ "backend": name, "receives_work": !draining }))
}
