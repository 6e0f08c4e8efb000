//! Calls to scoring services, which are repeatable.

use super::admission::{self, ServiceCall};
use super::attempt::{self, AttemptError};
use super::in_flight::{InFlightGuard, SendPermission};
use super::node::EntryNode;
use super::server_responses::{self, ResponseTimer};
use super::{engine_priority, hedging, placement, plain, shares, suspects};
use crate::process::clock;
use crate::process::logs;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{AttemptReason, CallKind, RecoveryRule, ServerNeed, ServerSet, SlotNeed};
use trestlerack::request::{RequestContent, RequestFingerprint, ScoreCall};
use trestlerack::version::{RequestPlacement, RequestRoute};
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform::ServerRequest;

/// Most servers that run one call in parallel. A second server gets the call when the first exceeds the late
/// threshold, and the first goes on, since a call that takes long by itself would never complete if it were
/// cancelled.
const MAX_PARALLEL_SERVERS: usize = 2;

/// Shortest time before another server is searched. A route may have no target latency, and there may be no
/// other server.
const MIN_OVERDUE_THRESHOLD: Duration = Duration::from_millis(20);

/// Result of a score call.
pub enum ScoreOutcome {
    /// The signature of the scoring service's response.
    Scored(Name),
    /// The scoring service responded with a failure, which counts against the item.
    Failed {
        /// Number of failures from which the item is given up: the maximum attempts of the call's route.
        max_failures: u32,
    },
    /// There is no response; the call may be repeated.
    NoResponse,
    /// The call is blocked for this time, because servers crashed while they ran it.
    Blocked(Duration),
}

/// Returns the fingerprint of the content of a call.
pub fn fingerprint(call: &ScoreCall) -> RequestFingerprint {
    RequestContent { customer: None, host: &call.host, path: &call.path, body: &call.body }.fingerprint()
}

/// Scores the text of `item` for a job of `customer`, within the time limit of the scorer's route.
pub async fn score(
    node: &Arc<EntryNode>,
    item: &Name,
    customer: Option<&Name>,
    call: &ScoreCall,
    permission: &Arc<dyn SendPermission>,
) -> ScoreOutcome {
    let started = node.now();
    let mut tried: Vec<Name> = Vec::new();
    let call_usage = call_service(node, call).map(|service| shares::count_call(node, &service, customer));
    let outcome = try_servers(node, customer, call, permission, &mut tried).await;
    if let (ScoreOutcome::Scored(_), Some(call_usage)) = (&outcome, call_usage) {
        call_usage.record_served();
    }
    let label = match &outcome {
        ScoreOutcome::Scored(_) => "scored",
        ScoreOutcome::Failed { .. } => "failed",
        ScoreOutcome::NoResponse => "no answer",
        ScoreOutcome::Blocked(_) => "held",
    };
    let ms = node.now().since(started).as_millis();
    let fields: [(&str, &dyn std::fmt::Display); 5] =
        [("request", &call.id), ("item", item), ("end", &label), ("servers", &tried.join(",")), ("ms", &ms)];
    logs::write(event::SCORE_ENDED, &fields);
    outcome
}

/// Returns the service that scores a call.
fn call_service(node: &EntryNode, call: &ScoreCall) -> Option<Name> {
    let routing = node.routing()?;
    routing.select(&call.host, &call.path)?.service_for(&call.id).cloned()
}

/// Tries servers until one responds; their names are added to `tried`.
async fn try_servers(
    node: &Arc<EntryNode>,
    customer: Option<&Name>,
    call: &ScoreCall,
    permission: &Arc<dyn SendPermission>,
    tried: &mut Vec<Name>,
) -> ScoreOutcome {
    let Some(routing) = node.routing() else { return ScoreOutcome::NoResponse };
    let Some(route) = routing.select(&call.host, &call.path) else { return ScoreOutcome::NoResponse };
    let Some(service) = route.service_for(&call.id) else { return ScoreOutcome::NoResponse };
    let deadline = node.now() + plain::time_limit(route, None);
    let priority = engine_priority::of_score(&routing, route, service, customer);
    let fingerprint = fingerprint(call);
    let (kind, arrived) = (CallKind::Score, node.now());
    let placement = placement::decide(Some(&routing), route, customer);
    let server_set = ServerSet::new(service.clone(), placement.placement());
    let directory = routing.customers.as_ref();
    let customer = customer.and_then(|name| directory?.get(name));
    let service_call = ServiceCall { id: &call.id, server_set, route, customer, kind, arrived, deadline };
    let uses_admission = admission::is_active(node, service);
    let mut attempts = FuturesUnordered::new();
    let mut timers: Vec<ResponseTimer> = Vec::new();
    let mut next_at = node.now();
    let mut hedge_at = None;
    let (mut is_probe, mut is_hedge) = (false, false);
    if uses_admission {
        admission::record_call(node, &service_call);
    }
    loop {
        if attempts.is_empty()
            && let Some(left) = suspects::blocked_for(node, fingerprint, RecoveryRule::Limited)
        {
            suspects::log_blocked(node, &call.id, fingerprint, left);
            return ScoreOutcome::Blocked(left);
        }
        // A second server that runs a suspect content in parallel could crash too.
        let max_parallel = if suspects::is_suspect(node, fingerprint) { 1 } else { MAX_PARALLEL_SERVERS };
        let is_due = attempts.len() < max_parallel && node.now() >= next_at;
        let pick = |slot_need| pick_server(node, fingerprint, service, &placement, tried, slot_need);
        let guard = match attempts.len() {
            _ if !is_due || !permission.may_send() => None,
            pending if uses_admission => {
                find_slot(node, &service_call, pending == 0, is_probe || !is_hedge, pick).await
            }
            _ => pick(SlotNeed::One),
        };
        if let Some(guard) = guard {
            tried.push(guard.server.instance.clone());
            timers.push(ResponseTimer::start(node));
            is_probe = hedging::is_probe(node, &guard.server.instance);
            let guard = guard.with_permission(permission.clone());
            attempts.push(send_score_call(node, call, route, guard, deadline, priority));
        }
        if is_due {
            is_hedge = false;
            next_at = node.now() + overdue_threshold(node, service, route);
            hedge_at = hedging::hedge_delay(node, route, service).map(|delay| node.now() + delay);
        }
        let wake_at = hedge_at.map_or(next_at, |hedge_at| next_at.min(hedge_at));
        let ended = match attempts.len() {
            // There is nothing to do before one of the attempts ends.
            pending if pending >= max_parallel => Ok(attempts.next().await),
            _ => clock::timeout(wake_at.since(node.now()), attempts.next()).await,
        };
        match ended {
            Ok(Some((server, ScoreOutcome::Scored(signature)))) => {
                record_slower_servers(node, route, tried, &timers, &server);
                return ScoreOutcome::Scored(signature);
            }
            Ok(Some((_, failed @ ScoreOutcome::Failed { .. }))) => return failed,
            Ok(Some((_, ScoreOutcome::Blocked(left)))) => return ScoreOutcome::Blocked(left),
            Ok(Some((_, ScoreOutcome::NoResponse))) if attempts.is_empty() => return ScoreOutcome::NoResponse,
            Ok(None) => return ScoreOutcome::NoResponse,
            Ok(Some((_, ScoreOutcome::NoResponse))) => next_at = node.now(),
            Err(_) => {
                is_hedge = hedge_at.take_if(|hedge_at| *hedge_at < next_at).is_some();
                if is_hedge && hedging::has_free_slot(node, &service_call.server_set) {
                    next_at = node.now();
                }
            }
        }
    }
}

/// Returns the time after which a second server gets the call: the late threshold of the service, or the route's
/// target latency until that is known.
fn overdue_threshold(node: &EntryNode, service: &Name, route: &RequestRoute) -> Duration {
    let late_threshold = node.balancer.lock().unwrap().late_threshold(service);
    late_threshold.unwrap_or(Duration::from_millis(route.target_latency_ms)).max(MIN_OVERDUE_THRESHOLD)
}

/// Finds a server with a free slot. The first attempt of a call is admitted in the order of the queue. A further
/// one is charged to the budget of second attempts unless it `skips_budget`.
async fn find_slot(
    node: &Arc<EntryNode>,
    call: &ServiceCall<'_>,
    is_first: bool,
    skips_budget: bool,
    pick: impl Fn(SlotNeed) -> Option<InFlightGuard>,
) -> Option<InFlightGuard> {
    if is_first {
        return admission::acquire_slot(node, call, pick).await.ok();
    }
    let guard = pick(SlotNeed::One)?;
    (skips_budget || admission::try_spend_attempt(node, call, AttemptReason::Hedge)).then_some(guard)
}

fn pick_server(
    node: &Arc<EntryNode>,
    fingerprint: RequestFingerprint,
    service: &Name,
    placement: &RequestPlacement,
    tried: &[Name],
    slot_need: SlotNeed,
) -> Option<InFlightGuard> {
    let need = ServerNeed {
        allowed_zones: placement.allowed_zones(),
        service,
        avoid: tried,
        slot_need,
        zone: &node.settings.zone,
        tie_key: &node.settings.name,
        is_repeatable: true,
        ..ServerNeed::default()
    };
    let entry = suspects::choose_server(node, fingerprint, &need)?;
    Some(InFlightGuard::new(node, entry, fingerprint, placement.clone()))
}

/// Records that the servers that got the call before the responding one are slow or unresponsive. If latencies of
/// servers are compared, a slow one is not paused like one that fails.
fn record_slower_servers(
    node: &EntryNode,
    route: &RequestRoute,
    tried: &[Name],
    timers: &[ResponseTimer],
    responding: &Name,
) {
    let now = node.now();
    for (server, timer) in tried.iter().zip(timers).take_while(|(server, _)| *server != responding) {
        let is_compared = node.balancer.lock().unwrap().is_compared(server);
        if is_compared {
            server_responses::record_cancelled(node, server, &route.name, *timer);
        } else {
            node.balancer.lock().unwrap().failed(now, server);
        }
    }
}

async fn send_score_call(
    node: &Arc<EntryNode>,
    call: &ScoreCall,
    route: &RequestRoute,
    guard: InFlightGuard,
    deadline: Timestamp,
    priority: Option<u8>,
) -> (Name, ScoreOutcome) {
    let (instance, service) = (guard.server.instance.clone(), guard.server.service.clone());
    let timer = ResponseTimer::start(node);
    let left = deadline.since(timer.started);
    let request = ServerRequest {
        method: Method::POST,
        path: &call.path,
        host: &call.host,
        request_id: &call.id,
        headers: HeaderMap::new(),
        instance: &instance,
        // The customer was identified when the job with the item was accepted.
        customer: None,
        time_left: Some(left),
        priority,
        exact_version: None,
        resume_after: None,
        body: call.body.clone(),
    };
    let outcome = match attempt::fetch_response(node, guard, request, false, left).await {
        Ok(response) if response.status.is_success() => match response.head.signature {
            Some(signature) => {
                node.balancer.lock().unwrap().record_latency(&service, node.now().since(timer.started));
                server_responses::record_success(node, &instance, &route.name, timer);
                ScoreOutcome::Scored(signature)
            }
            None => ScoreOutcome::NoResponse,
        },
        Ok(response) if response.status == StatusCode::INTERNAL_SERVER_ERROR => {
            ScoreOutcome::Failed { max_failures: route.max_attempts }
        }
        // The deadline passed or something in front of the scorer failed, so the item did not fail.
        Ok(response) => {
            node.balancer.lock().unwrap().failed(node.now(), &instance);
            server_responses::record_failure(node, &instance);
            log_failed_attempt(call, &instance, &response.status);
            ScoreOutcome::NoResponse
        }
        Err(AttemptError::Blocked(left)) => ScoreOutcome::Blocked(left),
        Err(error) => {
            if !error.is_not_run() {
                server_responses::record_failure(node, &instance);
            }
            log_failed_attempt(call, &instance, &error);
            ScoreOutcome::NoResponse
        }
    };
    (instance, outcome)
}

fn log_failed_attempt(call: &ScoreCall, server: &Name, why: &dyn std::fmt::Display) {
    logs::write(event::ATTEMPT_FAILED, &[("request", &call.id), ("server", server), ("why", why)]);
}
