//! Brings engines to the weight versions that trainers name, on the holder of the order lease.

use super::node::EntryNode;
use super::pool::ExchangeError;
use super::{feeds, tables};
use crate::process::logs;
use futures_util::future;
use http::StatusCode;
use http_body_util::{BodyExt, Limited};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use trestlerack::process::{LeaseKeeper, LeaseRow, LeaseSettings, LeaseStep, ServerEntry};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::version::{DueOrder, EngineAssignment, OrderOutcome, RoutingTable, WeightPlan, WeightPlanSettings};
use trestlerack::{Name, event};
use trestlerack_platform::{self as platform, EngineReport, WeightOrder};

/// Interval between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a renewal of the lease holds. Short, because nobody orders until a new holder
/// has waited for it and for the orders that may be on their way.
const LEASE_TTL: Duration = Duration::from_millis(1_500);

/// Time added before a lease counts as lapsed, for clocks that drift and slow replies.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Time that an order or a report may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between the row that tells of an order and its acceptance from which the row is corrected,
/// in milliseconds; nodes reckon the end of the load from it.
const LATE_ORDER_MS: u64 = 60;

/// Longest answer of an engine to an order or to the question for its report, in bytes.
const MAX_ANSWER: usize = 256 * 1024;

/// Holds the lease while it can, and orders engines while it holds it.
pub async fn run(node: Arc<EntryNode>) {
    // The wait for orders of the holder before is kept for each engine, not with the lease.
    let settings = LeaseSettings { ttl: LEASE_TTL, margin: LEASE_MARGIN, order_time: Duration::ZERO };
    let mut keeper = LeaseKeeper::new(settings, node.settings.name.clone(), node.incarnation);
    let mut plans: BTreeMap<Name, WeightPlan> = BTreeMap::new();
    let mut renewed_at = node.now();
    let mut held_fence = None;
    loop {
        tokio::time::sleep(LOOK_INTERVAL).await;
        let now = node.now();
        if node.is_stopping() {
            let held = node.lease_row.lock().unwrap().clone().map(|(_, row)| row);
            if let Some(row) = keeper.release(held.as_ref()) {
                write_lease(&node, row).await;
                logs::write(event::LEASE_LOST, &[("why", &"this node stops")]);
            }
            continue;
        }
        let is_renewal_due = keeper.fence(now).is_none() || now.since(renewed_at) >= RENEW_INTERVAL;
        if is_renewal_due {
            renewed_at = now;
            keep_lease(&node, &mut keeper).await;
        }
        let fence = keeper.fence(node.now());
        if fence != held_fence {
            note_lease(&node, fence, &mut plans);
            held_fence = fence;
        }
        let may_order = fence.is_some();
        if let Some(routing) = node.routing().filter(|_| may_order) {
            order_engines(&node, &routing, &keeper, &mut plans).await;
        }
    }
}

fn note_lease(node: &EntryNode, fence: Option<u64>, plans: &mut BTreeMap<Name, WeightPlan>) {
    match fence {
        Some(fence) => logs::write(event::LEASE_TAKEN, &[("node", &node.settings.name), ("fence", &fence)]),
        None => logs::write(event::LEASE_LOST, &[("why", &"it was not renewed in time")]),
    }
    plans.clear();
}

async fn keep_lease(node: &Arc<EntryNode>, keeper: &mut LeaseKeeper) {
    // Peers tell a restarted holder by its row, so that row has to be there first.
    if !node.is_registered.load(Ordering::Relaxed) {
        return;
    }
    let now = node.now();
    let mut row = node.lease_row.lock().unwrap().clone();
    if let Some((version, held)) = &mut row {
        held.released |= node.peers.is_restarted(&held.holder, held.incarnation, *version);
    }
    let LeaseStep::Write(row) = keeper.decide(now, row) else { return };
    if write_lease(node, row.clone()).await {
        keeper.written(now, row);
    }
}

/// Writes the lease row on condition that it is as this node last saw it.
async fn write_lease(node: &Arc<EntryNode>, row: LeaseRow) -> bool {
    let version = node.lease_row.lock().unwrap().as_ref().map_or(0, |(version, _)| *version);
    let transaction = RowTransaction::new(tables::LEASES).expect(tables::STATE, tables::ORDER_LEASE, version).put(
        tables::STATE,
        tables::ORDER_LEASE,
        tables::encode(&row),
    );
    match node.store.call(&StoreCall::Commit(transaction)).await {
        Ok(StoreReply::Committed(moment)) => {
            *node.lease_row.lock().unwrap() = Some((moment.version, row));
            true
        }
        Ok(StoreReply::Conflict(rows)) => {
            let held = rows.into_iter().find(|held| &*held.key == tables::ORDER_LEASE);
            let held = held.and_then(|held| Some((held.version, tables::decode::<LeaseRow>(&held.value).ok()?)));
            let is_own = held.as_ref().is_some_and(|(_, held)| *held == row);
            if held.is_some() {
                *node.lease_row.lock().unwrap() = held;
            }
            is_own
        }
        // The next look decides anew; an applied write shows in the row.
        Ok(_) | Err(_) => false,
    }
}

async fn order_engines(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    keeper: &LeaseKeeper,
    plans: &mut BTreeMap<Name, WeightPlan>,
) {
    for service in routing.services.values().filter(|service| !service.models.is_empty()) {
        let plan = plans.entry(service.name.clone()).or_insert_with(|| WeightPlan::new(WeightPlanSettings::default()));
        let entries: Vec<ServerEntry> = {
            let registry = node.registry.lock().unwrap();
            let is_usable = |entry: &&ServerEntry| entry.service == service.name && !entry.is_draining;
            registry.entries().filter(is_usable).cloned().collect()
        };
        for (model, version) in node.targets.lock().unwrap().iter() {
            if service.models.contains(model) {
                plan.target(model, *version);
            }
        }
        let assigned = node.assignments.lock().unwrap().clone();
        let decided = plan.sync(node.now(), &service.models, &entries.iter().collect::<Vec<_>>(), &assigned);
        for (instance, model) in decided {
            let holder = node.settings.name.clone();
            let assignment = EngineAssignment { model, version: 0, ordered_ms: 0, tried_ms: 0, holder };
            feeds::learn_assignment(node, &instance, assignment.clone());
            write_assignment(node, &instance, &assignment).await;
        }
        let orders = due_orders(node, plan, &assigned);
        let waits_for_runs = routing
            .routes()
            .any(|route| route.single_version && route.shares.iter().any(|share| share.service == service.name));
        // Together, so that engines that do not answer cost the lease one time limit and not several.
        let tasks = orders.iter().filter_map(|order| {
            let entry = entries.iter().find(|entry| entry.instance == order.instance)?;
            Some(async move { (order, carry_out(node, keeper, entry, order, waits_for_runs).await) })
        });
        for (order, done) in future::join_all(tasks).await {
            apply_done(node, plan, order, done);
        }
    }
}

/// What came of a due order.
enum OrderDone {
    /// The engine was asked for its report first.
    Asked(Option<EngineReport>),
    /// The order was sent, or could not be.
    Ordered(OrderOutcome, u64),
}

fn apply_done(node: &EntryNode, plan: &mut WeightPlan, order: &DueOrder, done: OrderDone) {
    let now = node.now();
    match done {
        OrderDone::Asked(Some(report)) => {
            let held = report.models.iter().find(|(model, _)| *model == order.model);
            let version = held.map_or(0, |(_, version)| *version);
            plan.reported(now, &order.instance, version, report.is_loading, report.orders);
        }
        OrderDone::Asked(None) => plan.unreachable(now, &order.instance),
        OrderDone::Ordered(outcome, orders_before) => {
            plan.ordered(now, order, outcome, orders_before);
            node.metrics.order(outcome);
        }
    }
}

fn due_orders(node: &EntryNode, plan: &mut WeightPlan, assigned: &BTreeMap<Name, EngineAssignment>) -> Vec<DueOrder> {
    let clock_ms = node.store.clock_ms();
    let handover = node.bounds().order_handover + ORDER_TIMEOUT;
    let is_open = |instance: &str| {
        let assignment = assigned.get(instance);
        assignment.is_none_or(|assignment| assignment.is_open_to(&node.settings.name, clock_ms, handover))
    };
    let board = node.board.lock().unwrap();
    let in_flight = |instance: &str| board.get(instance).map_or(0, |belief| belief.in_flight);
    plan.next_orders(node.now(), |instance| is_open(instance).then(|| in_flight(instance)))
}

async fn carry_out(
    node: &Arc<EntryNode>,
    keeper: &LeaseKeeper,
    entry: &ServerEntry,
    order: &DueOrder,
    waits_for_runs: bool,
) -> OrderDone {
    let Some(orders_before) = order.orders_before else {
        return OrderDone::Asked(ask_report(node, entry).await);
    };
    let before = node.assignments.lock().unwrap().get(&order.instance).cloned();
    let clock_ms = node.store.clock_ms();
    let intent = EngineAssignment {
        model: order.model.clone(),
        version: order.version,
        ordered_ms: clock_ms,
        tried_ms: clock_ms,
        holder: node.settings.name.clone(),
    };
    let is_told = write_assignment(node, &order.instance, &intent).await;
    // The lease is checked next to the send, since the write before it may have taken long.
    let Some(fence) = keeper.fence(node.now()).filter(|_| is_told) else {
        return OrderDone::Ordered(OrderOutcome::NotSent, orders_before);
    };
    let outcome = send_order(node, entry, order, fence, orders_before, waits_for_runs).await;
    log_order(order, fence, orders_before, outcome);
    if outcome == OrderOutcome::Accepted {
        let now_ms = node.store.clock_ms();
        let is_late = now_ms >= clock_ms + LATE_ORDER_MS;
        let accepted = EngineAssignment { ordered_ms: now_ms, tried_ms: now_ms, ..intent };
        feeds::learn_assignment(node, &order.instance, accepted.clone());
        if is_late {
            write_assignment(node, &order.instance, &accepted).await;
        }
        return OrderDone::Ordered(outcome, orders_before);
    }
    let (version, ordered_ms) = before.map_or((0, 0), |before| (before.version, before.ordered_ms));
    let undone = EngineAssignment { version, ordered_ms, ..intent };
    feeds::learn_assignment(node, &order.instance, undone.clone());
    write_assignment(node, &order.instance, &undone).await;
    OrderDone::Ordered(outcome, orders_before)
}

fn log_order(order: &DueOrder, fence: u64, orders_before: u64, outcome: OrderOutcome) {
    let outcome = format!("{outcome:?}").to_lowercase();
    let fields: [(&str, &dyn std::fmt::Display); 6] = [
        ("engine", &order.instance),
        ("model", &order.model),
        ("version", &order.version),
        ("fence", &fence),
        ("orders_before", &orders_before),
        ("outcome", &outcome),
    ];
    logs::write(event::ENGINE_ORDERED, &fields);
}

/// Tells all nodes what an engine is ordered. Returns whether the store has it.
async fn write_assignment(node: &Arc<EntryNode>, instance: &Name, assignment: &EngineAssignment) -> bool {
    let transaction = RowTransaction::new(tables::ENGINES).put(tables::STATE, instance, tables::encode(assignment));
    match node.store.call(&StoreCall::Commit(transaction)).await {
        Ok(_) => true,
        Err(error) => {
            logs::write(event::ASSIGNMENT_LOST, &[("engine", instance), ("why", &error)]);
            false
        }
    }
}

async fn send_order(
    node: &Arc<EntryNode>,
    entry: &ServerEntry,
    order: &DueOrder,
    fence: u64,
    orders_before: u64,
    waits_for_runs: bool,
) -> OrderOutcome {
    let wire = WeightOrder {
        instance: order.instance.clone(),
        model: order.model.clone(),
        version: order.version,
        waits_for_runs,
        holder: node.settings.name.clone(),
        fence,
        orders_before,
    };
    let Ok(request) = platform::encode_order(&wire) else { return OrderOutcome::NotSent };
    match ask_engine(node, entry, request).await {
        Ok((StatusCode::ACCEPTED, _)) => OrderOutcome::Accepted,
        Ok((StatusCode::OK, _)) => OrderOutcome::Held,
        Ok((status, _)) if status.is_client_error() => OrderOutcome::Refused,
        Ok(_) => OrderOutcome::Unknown,
        Err(ExchangeError::NotSent(_)) => OrderOutcome::NotSent,
        Err(ExchangeError::NoAnswer(_)) => OrderOutcome::Unknown,
    }
}

async fn ask_report(node: &Arc<EntryNode>, entry: &ServerEntry) -> Option<EngineReport> {
    let request = platform::encode_report_request(&entry.instance).ok()?;
    let answer = ask_engine(node, entry, request).await;
    let report = match &answer {
        Ok((StatusCode::OK, body)) => platform::decode_report(body).ok(),
        _ => None,
    };
    logs::write(event::ENGINE_ASKED, &[("engine", &entry.instance), ("report", &format!("{report:?}"))]);
    report
}

async fn ask_engine(
    node: &Arc<EntryNode>,
    entry: &ServerEntry,
    mut request: http::Request<bytes::Bytes>,
) -> Result<(StatusCode, bytes::Bytes), ExchangeError> {
    if let Ok(host) = entry.address.parse() {
        request.headers_mut().insert(http::header::HOST, host);
    }
    let exchange = async {
        let (response, lease) = node.pool.send(&entry.address, request, true).await?;
        let (parts, body) = response.into_parts();
        let head = platform::decode_reply_head(&parts.headers);
        let body = Limited::new(body, MAX_ANSWER).collect().await;
        let body = body.map_err(|error| ExchangeError::NoAnswer(error.to_string()))?.to_bytes();
        if !head.is_closing {
            node.pool.keep(lease, head.idle_limit);
        }
        Ok((parts.status, body))
    };
    let lost = || ExchangeError::NoAnswer("no answer in time".into());
    tokio::time::timeout(ORDER_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(lost()))
}
