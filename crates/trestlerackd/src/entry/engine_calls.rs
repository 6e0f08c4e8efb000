//! Calls of the holder of the order lease to engines: orders to load a version, and polls for reports.

use super::node::EntryNode;
use super::pool::ExchangeError;
use crate::process::clock;
use crate::process::logs;
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::event;
use trestlerack::process::ServerEntry;
use trestlerack::version::{DueOrder, OrderOutcome};
use trestlerack_platform::{self as platform, EngineReport, WeightOrder};

/// Time limit of an order or a poll.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest response of an engine to an order or a poll, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Orders an engine to load a version, on condition that it accepted `orders_before` orders.
pub async fn send_order(
    node: &Arc<EntryNode>,
    entry: &ServerEntry,
    order: &DueOrder,
    fence: u64,
    orders_before: u64,
    waits_for_runs: bool,
) -> OrderOutcome {
    let weight_order = WeightOrder {
        instance: order.instance.clone(),
        model: order.model.clone(),
        version: order.version,
        waits_for_runs,
        holder: node.settings.name.clone(),
        fence,
        orders_before,
    };
    let Ok(request) = platform::encode_weight_order(&weight_order) else { return OrderOutcome::NotSent };
    match call_engine(node, entry, request).await {
        Ok((StatusCode::ACCEPTED, _)) => OrderOutcome::Accepted,
        Ok((StatusCode::OK, _)) => OrderOutcome::AlreadyLoaded,
        Ok((status, _)) if status.is_client_error() => OrderOutcome::Refused,
        Ok(_) => OrderOutcome::Unknown,
        Err(ExchangeError::NotSent(_) | ExchangeError::NotPermitted) => OrderOutcome::NotSent,
        Err(ExchangeError::NoResponse(_)) => OrderOutcome::Unknown,
    }
}

/// Polls an engine for its report; `None` if it does not respond.
pub async fn poll_engine(node: &Arc<EntryNode>, entry: &ServerEntry) -> Option<EngineReport> {
    let request = platform::encode_engine_report_request(&entry.instance).ok()?;
    let response = call_engine(node, entry, request).await;
    let report = match &response {
        Ok((StatusCode::OK, body)) => platform::decode_engine_report(body).ok(),
        _ => None,
    };
    logs::write(
        event::ENGINE_ASKED,
        &[("engine", &entry.instance), ("report", &platform::engine_report_text(report.as_ref()))],
    );
    report
}

async fn call_engine(
    node: &Arc<EntryNode>,
    entry: &ServerEntry,
    mut request: http::Request<bytes::Bytes>,
) -> Result<(StatusCode, bytes::Bytes), ExchangeError> {
    // The order may have been planned before the evacuation.
    if node.evacuations.contains_server(&node.registry, entry) {
        node.metrics.evacuations.record_refused_send(&entry.service);
        return Err(ExchangeError::NotSent("the availability zone of the engine is evacuated".into()));
    }
    if let Ok(host) = entry.address.parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let exchange = async {
        let traffic = node.regions.record_request(&entry.zone);
        let may_send = || node.balancer.lock().unwrap().cold.try_order(node.now(), entry);
        let (response, lease) = node.pool.send_permitted(&entry.address, request, true, traffic, may_send).await?;
        let (parts, body) = response.into_parts();
        let head = platform::decode_response_head(&parts.headers);
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
        let body = body.map_err(|error| {
            // The response is longer than any that an engine gives, or broke.
            node.balancer.lock().unwrap().failed(node.now(), &entry.instance);
            ExchangeError::NoResponse(error.to_string())
        });
        let body = body?.to_bytes();
        if !head.is_closing {
            node.pool.keep(lease, head.idle_timeout);
        }
        Ok((parts.status, body))
    };
    let no_response = || ExchangeError::NoResponse("no response in time".into());
    clock::timeout(ORDER_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(no_response()))
}
