//! Brings engines to the weight versions that trainers name, on the holder of the order lease.

use super::engine_calls::{self, ORDER_TIMEOUT};
use super::node::EntryNode;
use super::{table_watch, tables};
use crate::process::logs;
use futures_util::future;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use trestlerack::process::{EntrySettings, ServerEntry};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall};
use trestlerack::time::millis;
use trestlerack::version::{
    DueOrder, EngineAssignment, MAX_HEARTBEAT_LAG, OrderOutcome, RequestRoute, RoutedService, RoutingTable,
    WeightScheduler, WeightSchedulerSettings, engines_needed,
};
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform::EngineReport;

/// Time between the row that tells of an order and its acceptance from which the row is corrected,
/// in milliseconds; nodes reckon the end of the load from it.
const LATE_ORDER_MS: u64 = 60;

/// Longest time between two looks at all engines of a service while none of them changes.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);

/// The plan of a service's weights, and as of when it knows the engines.
pub struct ServicePlan {
    plan: WeightScheduler,
    synced_at: Option<Timestamp>,
    /// Changes of the registry that it has seen.
    changes: u64,
}

/// Orders and questions that are on their way to engines. Dropping them ends the waits for answers.
#[derive(Default)]
pub struct OrderTasks {
    tasks: JoinSet<TaskEnd>,
    ended: Vec<TaskEnd>,
}

impl OrderTasks {
    /// Waits until one has ended; for ever while there is none.
    pub async fn wait(&mut self) {
        match self.tasks.join_next().await {
            Some(Ok(end)) => self.ended.push(end),
            // A task ends otherwise only with the process.
            Some(Err(_)) => {}
            None => future::pending().await,
        }
    }
}

/// An order with all that it takes to carry it out.
struct PlannedOrder {
    service: Name,
    engine: ServerEntry,
    order: DueOrder,
    orders_before: u64,
    terms: OrderTerms,
    /// The row that tells of it.
    intent: EngineAssignment,
    /// The row before.
    before: Option<EngineAssignment>,
}

/// How a task ended.
enum TaskEnd {
    /// The rows were written that tell of orders, or the orders are not to be sent.
    Told(Vec<PlannedOrder>, bool),
    /// An engine was asked for its report.
    Asked(Name, DueOrder, Option<EngineReport>),
    /// An engine was sent an order.
    Sent(Box<PlannedOrder>, OrderOutcome),
    /// Rows were written again that told of what did not come so.
    Corrected(Vec<(PlannedOrder, OrderOutcome)>),
}

/// Decides which engines load next, and has them ordered under the lease of `fence`. Does not wait for
/// their answers: an engine that gives none took 0.8 s from all others and from the lease itself.
pub async fn order_engines(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    fence: u64,
    plans: &mut BTreeMap<Name, ServicePlan>,
    running: &mut OrderTasks,
) {
    take_ends(node, plans, running);
    let mut planned: Vec<PlannedOrder> = Vec::new();
    for service in routing.services.values().filter(|service| !service.models.is_empty()) {
        let service_plan = plans.entry(service.name.clone()).or_insert_with(|| ServicePlan::new(&node.settings));
        divide_engines(node, service_plan, service).await;
        let plan = &mut service_plan.plan;
        let orders = due_orders(node, plan);
        let waits_for_runs = wants_single_versions(routing, &service.name);
        let terms = OrderTerms { fence, load_time: plan.load_time(), waits_for_runs };
        for order in orders {
            let Some(engine) = node.registry.lock().unwrap().get(&order.instance).cloned() else {
                plan.record_unreachable(node.now(), &order.instance);
                continue;
            };
            match order.orders_before {
                Some(orders_before) => {
                    planned.push(plan_order(node, service.name.clone(), engine, order, orders_before, terms));
                }
                None => {
                    let (node, service) = (node.clone(), service.name.clone());
                    running.tasks.spawn(async move {
                        let report = engine_calls::poll_engine(&node, &engine).await;
                        TaskEnd::Asked(service, order, report)
                    });
                }
            }
        }
    }
    // Together: a transaction for each order would wait for those of all others in their partition.
    while !planned.is_empty() {
        let batch: Vec<PlannedOrder> = planned.drain(..planned.len().min(tables::COMMIT_ROWS)).collect();
        let node = node.clone();
        running.tasks.spawn(async move {
            let rows: Vec<_> = batch.iter().map(|planned| planned.row(planned.intent.clone())).collect();
            let is_told = write_assignments(&node, &rows).await;
            TaskEnd::Told(batch, is_told)
        });
    }
}

impl ServicePlan {
    fn new(settings: &EntrySettings) -> Self {
        Self { plan: WeightScheduler::new(plan_settings(settings)), synced_at: None, changes: 0 }
    }
}

impl PlannedOrder {
    fn row(&self, assignment: EngineAssignment) -> (Name, EngineAssignment) {
        (self.order.instance.clone(), assignment)
    }
}

/// Returns whether a route of a service wants each answer from one version, so that runs end before a
/// load begins.
fn wants_single_versions(routing: &RoutingTable, service: &Name) -> bool {
    let is_of_service = |route: &RequestRoute| route.shares.iter().any(|share| share.service == *service);
    routing.routes().any(|route| route.single_version && is_of_service(route))
}

/// Tells a plan what is wanted and what is there, and tells the nodes that drive jobs which engines it gave to a
/// model.
async fn divide_engines(node: &Arc<EntryNode>, service_plan: &mut ServicePlan, service: &RoutedService) {
    let plan = &mut service_plan.plan;
    let named = node.weights.named_versions();
    for (model, version) in named.iter().filter(|(model, _)| service.models.contains(model)) {
        plan.raise_target(model, *version);
        plan.set_accepted_lag(model, node.accepted_lag(model));
    }
    let now = node.now();
    let decided = {
        let registry = node.registry.lock().unwrap();
        let is_old = service_plan.synced_at.is_none_or(|at| now.since(at) >= SYNC_INTERVAL);
        if registry.changes() == service_plan.changes && !is_old {
            return;
        }
        (service_plan.synced_at, service_plan.changes) = (Some(now), registry.changes());
        let engines: Vec<&ServerEntry> =
            registry.of_service(&service.name).filter(|entry| !entry.is_draining).collect();
        let slots = engines.iter().map(|entry| entry.slots).min().unwrap_or(0);
        for model in &service.models {
            plan.set_needed_engines(model, engines_needed(node.open_items(model), slots));
        }
        plan.sync(now, &service.models, &engines, &node.weights.assignments())
    };
    let decided: Vec<(Name, EngineAssignment)> = decided
        .into_iter()
        .map(|(instance, model)| {
            let holder = node.settings.name.clone();
            let (version, ordered_ms, tried_ms, load_ms) = (0, 0, 0, 0);
            (instance, EngineAssignment { model, version, ordered_ms, tried_ms, holder, load_ms })
        })
        .collect();
    decided.iter().for_each(|(instance, assignment)| table_watch::apply_assignment(node, instance, assignment.clone()));
    // Together, since a start decides on many engines.
    for batch in decided.chunks(tables::COMMIT_ROWS) {
        write_assignments(node, batch).await;
    }
}

/// Takes note of the tasks that have come to an end, and goes on with what they began.
fn take_ends(node: &Arc<EntryNode>, plans: &mut BTreeMap<Name, ServicePlan>, running: &mut OrderTasks) {
    while let Some(Ok(end)) = running.tasks.try_join_next() {
        running.ended.push(end);
    }
    let mut to_correct: Vec<(PlannedOrder, OrderOutcome, EngineAssignment)> = Vec::new();
    for end in std::mem::take(&mut running.ended) {
        match end {
            TaskEnd::Told(batch, true) => {
                for planned in batch {
                    running.tasks.spawn(send_order(node.clone(), planned));
                }
            }
            TaskEnd::Told(batch, false) => {
                batch.iter().for_each(|planned| note_order(node, plans, planned, OrderOutcome::NotSent));
            }
            TaskEnd::Asked(service, order, report) => {
                if let Some(service_plan) = plans.get_mut(&service) {
                    note_report(node.now(), &mut service_plan.plan, &order, report);
                }
            }
            TaskEnd::Sent(planned, outcome) => match correction(node, &planned, outcome) {
                Some(row) => to_correct.push((*planned, outcome, row)),
                None => note_order(node, plans, &planned, outcome),
            },
            TaskEnd::Corrected(batch) => {
                batch.iter().for_each(|(planned, outcome)| note_order(node, plans, planned, *outcome));
            }
        }
    }
    while !to_correct.is_empty() {
        let batch: Vec<_> = to_correct.drain(..to_correct.len().min(tables::COMMIT_ROWS)).collect();
        let node = node.clone();
        running.tasks.spawn(async move {
            let rows: Vec<_> = batch.iter().map(|(planned, _, row)| planned.row(row.clone())).collect();
            write_assignments(&node, &rows).await;
            TaskEnd::Corrected(batch.into_iter().map(|(planned, outcome, _)| (planned, outcome)).collect())
        });
    }
}

fn note_report(now: Timestamp, plan: &mut WeightScheduler, order: &DueOrder, report: Option<EngineReport>) {
    let Some(report) = report else { return plan.record_unreachable(now, &order.instance) };
    let held = report.models.iter().find(|(model, _)| *model == order.model);
    let version = held.map_or(0, |(_, version)| *version);
    plan.record_report(now, &order.instance, version, report.is_loading, report.orders);
}

fn note_order(
    node: &EntryNode,
    plans: &mut BTreeMap<Name, ServicePlan>,
    planned: &PlannedOrder,
    outcome: OrderOutcome,
) {
    if let Some(service_plan) = plans.get_mut(&planned.service) {
        service_plan.plan.record_outcome(node.now(), &planned.order, outcome, planned.orders_before);
        node.metrics.record_order(outcome);
    }
}

fn due_orders(node: &EntryNode, plan: &mut WeightScheduler) -> Vec<DueOrder> {
    let clock_ms = node.store.clock_ms();
    let handover = node.bounds().order_handover + ORDER_TIMEOUT;
    let is_open = |instance: &str| {
        let assignment = node.weights.assignment(instance);
        assignment.is_none_or(|assignment| assignment.may_be_ordered_by(&node.settings.name, clock_ms, handover))
    };
    let balancer = node.balancer.lock().unwrap();
    let in_flight = |instance: &str| balancer.get(instance).map_or(0, |server| server.in_flight);
    plan.next_orders(node.now(), |instance| is_open(instance).then(|| in_flight(instance)))
}

/// What holds for all orders of a service.
#[derive(Clone, Copy)]
struct OrderTerms {
    /// Fencing number of the lease under which they are decided.
    fence: u64,
    /// How long a load is expected to take.
    load_time: Duration,
    /// Whether runs in progress are to end before the version changes.
    waits_for_runs: bool,
}

fn plan_order(
    node: &EntryNode,
    service: Name,
    engine: ServerEntry,
    order: DueOrder,
    orders_before: u64,
    terms: OrderTerms,
) -> PlannedOrder {
    let clock_ms = node.store.clock_ms();
    let intent = EngineAssignment {
        model: order.model.clone(),
        version: order.version,
        ordered_ms: clock_ms,
        tried_ms: clock_ms,
        holder: node.settings.name.clone(),
        load_ms: millis(terms.load_time),
    };
    let before = node.weights.assignment(&order.instance);
    PlannedOrder { service, engine, order, orders_before, terms, intent, before }
}

/// Sends an order that the store knows of. The lease is checked next to the send, since the write before it
/// may have taken long.
async fn send_order(node: Arc<EntryNode>, planned: PlannedOrder) -> TaskEnd {
    let PlannedOrder { engine, order, orders_before, terms, .. } = &planned;
    let Some(fence) = node.lease.fence(node.now()).filter(|held| *held == terms.fence) else {
        return TaskEnd::Told(vec![planned], false);
    };
    let outcome = engine_calls::send_order(&node, engine, order, fence, *orders_before, terms.waits_for_runs).await;
    log_order(order, fence, *orders_before, outcome);
    TaskEnd::Sent(Box::new(planned), outcome)
}

/// Takes over what an order came to. Returns the row that tells so where it is not as was told before the
/// order was sent.
fn correction(node: &Arc<EntryNode>, planned: &PlannedOrder, outcome: OrderOutcome) -> Option<EngineAssignment> {
    let intent = planned.intent.clone();
    if outcome == OrderOutcome::Accepted {
        let now_ms = node.store.clock_ms();
        let is_late = now_ms >= intent.ordered_ms + LATE_ORDER_MS;
        let accepted = EngineAssignment { ordered_ms: now_ms, tried_ms: now_ms, ..intent };
        table_watch::apply_assignment(node, &planned.order.instance, accepted.clone());
        return is_late.then_some(accepted);
    }
    let (version, ordered_ms) = planned.before.as_ref().map_or((0, 0), |before| (before.version, before.ordered_ms));
    let undone = EngineAssignment { version, ordered_ms, ..intent };
    table_watch::apply_assignment(node, &planned.order.instance, undone.clone());
    Some(undone)
}

fn log_order(order: &DueOrder, fence: u64, orders_before: u64, outcome: OrderOutcome) {
    let fields: [(&str, &dyn std::fmt::Display); 6] = [
        ("engine", &order.instance),
        ("model", &order.model),
        ("version", &order.version),
        ("fence", &fence),
        ("orders_before", &orders_before),
        ("outcome", &outcome.as_str()),
    ];
    logs::write(event::ENGINE_ORDERED, &fields);
}

/// Tells all nodes what some engines are ordered, in one transaction. Returns whether the store has it.
async fn write_assignments(node: &Arc<EntryNode>, assignments: &[(Name, EngineAssignment)]) -> bool {
    let transaction =
        assignments.iter().fold(RowTransaction::new(tables::ENGINES), |transaction, (instance, assignment)| {
            transaction.put(tables::STATE, instance, tables::encode(assignment))
        });
    match node.store.call(&StoreCall::Commit(transaction)).await {
        Ok(_) => true,
        Err(error) => {
            let engines: Vec<&str> = assignments.iter().map(|(instance, _)| &**instance).collect();
            logs::write(event::ASSIGNMENT_LOST, &[("engine", &engines.join(",")), ("why", &error)]);
            false
        }
    }
}

fn plan_settings(settings: &EntrySettings) -> WeightSchedulerSettings {
    WeightSchedulerSettings {
        parallel_fraction: settings.load_share,
        initial_load_time: Duration::from_millis(settings.first_load_ms),
        discovery_timeout: settings.entry_ttl() + MAX_HEARTBEAT_LAG,
        ..WeightSchedulerSettings::default()
    }
}
