//! Orders engines to load the weight versions that trainers publish. Runs on the lease holder.

use super::engine_calls::{self, ORDER_TIMEOUT};
use super::node::EntryNode;
use super::{placement, table_watch, tables};
use crate::process::logs;
use futures_util::future;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;
use trestlerack::process::{EntrySettings, ServerEntry, engines_to_load};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall};
use trestlerack::time::millis;
use trestlerack::version::{
    DueOrder, EngineAssignment, MAX_HEARTBEAT_LAG, ModelPlacement, OrderOutcome, RequestRoute, RoutedService,
    RoutingTable, WeightScheduler, WeightSchedulerSettings, engines_needed,
};
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform::EngineReport;

/// Delay between the row that announces an order and its acceptance from which the row is corrected, in
/// milliseconds. Nodes compute the end of the load from the time in the row.
const CORRECTION_DELAY_MS: u64 = 60;

/// Maximum time between two updates of a scheduler while no engine changes.
const SYNC_INTERVAL: Duration = Duration::from_millis(200);

/// Schedules weight loads of one service.
pub struct ServiceScheduler {
    scheduler: WeightScheduler,
    synced_at: Option<Timestamp>,
    /// Change counter of the registry at the last update.
    changes: u64,
}

/// Running tasks that order and poll engines. Dropping them cancels the waits for replies.
#[derive(Default)]
pub struct OrderTasks {
    tasks: JoinSet<TaskResult>,
    results: Vec<TaskResult>,
}

impl OrderTasks {
    /// Waits until a task has ended, or forever while there is none.
    pub async fn wait(&mut self) {
        match self.tasks.join_next().await {
            Some(Ok(result)) => self.results.push(result),
            // A task fails only when the process ends.
            Some(Err(_)) => {}
            None => future::pending().await,
        }
    }
}

/// An order with everything needed to carry it out.
struct PlannedOrder {
    service: Name,
    engine: ServerEntry,
    order: DueOrder,
    orders_before: u64,
    options: OrderOptions,
    /// Row that announces the order.
    intent: EngineAssignment,
    /// Row before the order.
    previous: Option<EngineAssignment>,
}

/// Result of a task.
enum TaskResult {
    /// Whether the rows that announce orders were written; if not, the orders must not be sent.
    Announced(Vec<PlannedOrder>, bool),
    /// An engine was polled for its report; `None` if it did not answer.
    Polled(Name, DueOrder, Option<EngineReport>),
    /// An engine was sent an order.
    Sent(Box<PlannedOrder>, OrderOutcome),
    /// Rows were corrected whose orders did not turn out as announced.
    Corrected(Vec<(PlannedOrder, OrderOutcome)>),
}

/// Decides which engines load next, and starts tasks that order them under the lease with the token
/// `fence`. Does not wait for replies, because an engine that does not reply would delay all others and the
/// renewal of the lease by 0.8 s.
pub async fn order_engines(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    fence: u64,
    schedulers: &mut BTreeMap<Name, ServiceScheduler>,
    running: &mut OrderTasks,
) {
    process_results(node, schedulers, running);
    let mut planned: Vec<PlannedOrder> = Vec::new();
    for service in routing.services.values().filter(|service| !service.models.is_empty()) {
        let service_scheduler =
            schedulers.entry(service.name.clone()).or_insert_with(|| ServiceScheduler::new(&node.settings));
        update_scheduler(node, service_scheduler, service).await;
        let scheduler = &mut service_scheduler.scheduler;
        let orders = due_orders(node, scheduler);
        let waits_for_runs = requires_single_version(routing, &service.name);
        let options = OrderOptions { fence, load_time: scheduler.load_time(), waits_for_runs };
        for order in orders {
            let Some(engine) = node.registry.lock().unwrap().get(&order.instance).cloned() else {
                scheduler.record_unreachable(node.now(), &order.instance);
                continue;
            };
            match order.orders_before {
                Some(orders_before) => {
                    planned.push(plan_order(node, service.name.clone(), engine, order, orders_before, options));
                }
                None => {
                    let (node, service) = (node.clone(), service.name.clone());
                    running.tasks.spawn(async move {
                        let report = engine_calls::poll_engine(&node, &engine).await;
                        TaskResult::Polled(service, order, report)
                    });
                }
            }
        }
    }
    // Orders are batched because separate transactions in one partition would wait for each other.
    while !planned.is_empty() {
        let batch: Vec<PlannedOrder> = planned.drain(..planned.len().min(tables::MAX_COMMIT_ROWS)).collect();
        let node = node.clone();
        running.tasks.spawn(async move {
            let rows: Vec<_> = batch.iter().map(|planned| planned.row(planned.intent.clone())).collect();
            let is_announced = write_assignments(&node, &rows).await;
            TaskResult::Announced(batch, is_announced)
        });
    }
}

impl ServiceScheduler {
    fn new(settings: &EntrySettings) -> Self {
        Self { scheduler: WeightScheduler::new(scheduler_settings(settings)), synced_at: None, changes: 0 }
    }
}

impl PlannedOrder {
    fn row(&self, assignment: EngineAssignment) -> (Name, EngineAssignment) {
        (self.order.instance.clone(), assignment)
    }
}

/// Returns whether a route of a service requires each response to come from a single version, so that
/// runs must end before a load begins.
fn requires_single_version(routing: &RoutingTable, service: &Name) -> bool {
    let is_of_service = |route: &RequestRoute| route.shares.iter().any(|share| share.service == *service);
    routing.routes().any(|route| route.single_version && is_of_service(route))
}

/// Updates a scheduler with the published versions and the registered engines, and publishes which model it
/// assigned to which engine for the nodes that drive jobs.
async fn update_scheduler(node: &Arc<EntryNode>, service_scheduler: &mut ServiceScheduler, service: &RoutedService) {
    let scheduler = &mut service_scheduler.scheduler;
    let versions = node.weights.newest_versions();
    for (model, version) in versions.iter().filter(|(model, _)| service.models.contains(model)) {
        scheduler.raise_target(model, *version);
        scheduler.set_accepted_lag(model, node.accepted_lag(model));
    }
    let now = node.now();
    let assigned = {
        let registry = node.registry.lock().unwrap();
        let is_old = service_scheduler.synced_at.is_none_or(|at| now.since(at) >= SYNC_INTERVAL);
        if registry.changes() == service_scheduler.changes && !is_old {
            return;
        }
        (service_scheduler.synced_at, service_scheduler.changes) = (Some(now), registry.changes());
        let engines = engines_to_load(registry.of_service(&service.name), &node.evacuations.zones());
        let slots = engines.iter().map(|entry| entry.slots).min().unwrap_or(0);
        for model in &service.models {
            scheduler.set_needed_engines(model, engines_needed(node.open_items(model), slots));
        }
        scheduler.set_placement(model_placement(node, service));
        scheduler.sync(now, &service.models, &engines, &node.weights.assignments())
    };
    let assigned: Vec<(Name, EngineAssignment)> = assigned
        .into_iter()
        .map(|(instance, model)| {
            let holder = node.settings.name.clone();
            let (version, ordered_ms, tried_ms, load_ms) = (0, 0, 0, 0);
            (instance, EngineAssignment { model, version, ordered_ms, tried_ms, holder, load_ms })
        })
        .collect();
    assigned
        .iter()
        .for_each(|(instance, assignment)| table_watch::apply_assignment(node, instance, assignment.clone()));
    // Batched, because the first update assigns many engines.
    for batch in assigned.chunks(tables::MAX_COMMIT_ROWS) {
        write_assignments(node, batch).await;
    }
}

/// Returns in which zones the jobs of a service's models may run, by the newest job of each. A model whose jobs have
/// several routes gets engines for the route of that one.
fn model_placement(node: &EntryNode, service: &RoutedService) -> ModelPlacement {
    let mut placement = ModelPlacement::default();
    let Some(routing) = node.routing().filter(|routing| routing.has_restricted_placements()) else { return placement };
    for model in &service.models {
        let record = node.newest_job(model);
        let of_job = record.map(|record| {
            placement::record_placement(Some(&routing), &record.host, &record.path, record.customer.as_ref())
        });
        placement.set(model, of_job.and_then(|of_job| of_job.allowed_zones().cloned()));
    }
    placement
}

/// Processes the results of tasks that have ended, and starts the tasks that follow.
fn process_results(node: &Arc<EntryNode>, schedulers: &mut BTreeMap<Name, ServiceScheduler>, running: &mut OrderTasks) {
    while let Some(Ok(result)) = running.tasks.try_join_next() {
        running.results.push(result);
    }
    let mut to_correct: Vec<(PlannedOrder, OrderOutcome, EngineAssignment)> = Vec::new();
    for result in std::mem::take(&mut running.results) {
        match result {
            TaskResult::Announced(batch, true) => {
                for planned in batch {
                    running.tasks.spawn(send_order(node.clone(), planned));
                }
            }
            TaskResult::Announced(batch, false) => {
                batch.iter().for_each(|planned| record_order(node, schedulers, planned, OrderOutcome::NotSent));
            }
            TaskResult::Polled(service, order, report) => {
                if let Some(service_scheduler) = schedulers.get_mut(&service) {
                    record_report(node.now(), &mut service_scheduler.scheduler, &order, report);
                }
            }
            TaskResult::Sent(planned, outcome) => match correct_assignment(node, &planned, outcome) {
                Some(row) => to_correct.push((*planned, outcome, row)),
                None => record_order(node, schedulers, &planned, outcome),
            },
            TaskResult::Corrected(batch) => {
                batch.iter().for_each(|(planned, outcome)| record_order(node, schedulers, planned, *outcome));
            }
        }
    }
    while !to_correct.is_empty() {
        let batch: Vec<_> = to_correct.drain(..to_correct.len().min(tables::MAX_COMMIT_ROWS)).collect();
        let node = node.clone();
        running.tasks.spawn(async move {
            let rows: Vec<_> = batch.iter().map(|(planned, _, row)| planned.row(row.clone())).collect();
            write_assignments(&node, &rows).await;
            TaskResult::Corrected(batch.into_iter().map(|(planned, outcome, _)| (planned, outcome)).collect())
        });
    }
}

fn record_report(now: Timestamp, scheduler: &mut WeightScheduler, order: &DueOrder, report: Option<EngineReport>) {
    let Some(report) = report else { return scheduler.record_unreachable(now, &order.instance) };
    let loaded = report.models.iter().find(|(model, _)| *model == order.model);
    let version = loaded.map_or(0, |(_, version)| *version);
    scheduler.record_report(now, &order.instance, version, report.is_loading, report.orders);
}

fn record_order(
    node: &EntryNode,
    schedulers: &mut BTreeMap<Name, ServiceScheduler>,
    planned: &PlannedOrder,
    outcome: OrderOutcome,
) {
    if let Some(service_scheduler) = schedulers.get_mut(&planned.service) {
        service_scheduler.scheduler.record_outcome(node.now(), &planned.order, outcome, planned.orders_before);
        node.metrics.record_order(outcome);
    }
}

fn due_orders(node: &EntryNode, scheduler: &mut WeightScheduler) -> Vec<DueOrder> {
    let clock_ms = node.store.clock_ms();
    let handover = node.live_settings().order_handover + ORDER_TIMEOUT;
    let may_be_ordered = |instance: &str| {
        let assignment = node.weights.assignment(instance);
        assignment.is_none_or(|assignment| assignment.may_be_ordered_by(&node.settings.name, clock_ms, handover))
    };
    let balancer = node.balancer.lock().unwrap();
    let now = node.now();
    let in_flight = |instance: &str| match balancer.get(instance) {
        Some(server) => balancer.cold.may_order(now, &server.entry).then_some(server.in_flight),
        None => Some(0),
    };
    scheduler.next_orders(now, |instance| if may_be_ordered(instance) { in_flight(instance) } else { None })
}

/// Options common to all orders of a service.
#[derive(Clone, Copy)]
struct OrderOptions {
    /// Fencing token of the lease under which the orders were assigned.
    fence: u64,
    /// Expected duration of a load.
    load_time: Duration,
    /// Whether runs in progress must end before the version changes.
    waits_for_runs: bool,
}

fn plan_order(
    node: &EntryNode,
    service: Name,
    engine: ServerEntry,
    order: DueOrder,
    orders_before: u64,
    options: OrderOptions,
) -> PlannedOrder {
    let clock_ms = node.store.clock_ms();
    let intent = EngineAssignment {
        model: order.model.clone(),
        version: order.version,
        ordered_ms: clock_ms,
        tried_ms: clock_ms,
        holder: node.settings.name.clone(),
        load_ms: millis(options.load_time),
    };
    let previous = node.weights.assignment(&order.instance);
    PlannedOrder { service, engine, order, orders_before, options, intent, previous }
}

/// Sends an order whose row is in the store. The lease is checked immediately before the send, because the
/// write of the row may have taken long.
async fn send_order(node: Arc<EntryNode>, planned: PlannedOrder) -> TaskResult {
    let PlannedOrder { engine, order, orders_before, options, .. } = &planned;
    let Some(fence) = node.lease.fence(node.now()).filter(|current| *current == options.fence) else {
        return TaskResult::Announced(vec![planned], false);
    };
    let outcome = engine_calls::send_order(&node, engine, order, fence, *orders_before, options.waits_for_runs).await;
    log_order(order, fence, *orders_before, outcome);
    TaskResult::Sent(Box::new(planned), outcome)
}

/// Records the outcome of an order. Returns a corrected row if the outcome differs from the announced
/// order.
fn correct_assignment(
    node: &Arc<EntryNode>,
    planned: &PlannedOrder,
    outcome: OrderOutcome,
) -> Option<EngineAssignment> {
    let intent = planned.intent.clone();
    if outcome == OrderOutcome::Accepted {
        let now_ms = node.store.clock_ms();
        let is_late = now_ms >= intent.ordered_ms + CORRECTION_DELAY_MS;
        let accepted = EngineAssignment { ordered_ms: now_ms, tried_ms: now_ms, ..intent };
        table_watch::apply_assignment(node, &planned.order.instance, accepted.clone());
        return is_late.then_some(accepted);
    }
    let (version, ordered_ms) =
        planned.previous.as_ref().map_or((0, 0), |previous| (previous.version, previous.ordered_ms));
    let reverted = EngineAssignment { version, ordered_ms, ..intent };
    table_watch::apply_assignment(node, &planned.order.instance, reverted.clone());
    Some(reverted)
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

/// Writes assignments of engines in one transaction. Returns whether the store has them.
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

fn scheduler_settings(settings: &EntrySettings) -> WeightSchedulerSettings {
    WeightSchedulerSettings {
        parallel_fraction: settings.load_share,
        initial_load_time: Duration::from_millis(settings.first_load_ms),
        discovery_timeout: settings.entry_ttl() + MAX_HEARTBEAT_LAG,
        ..WeightSchedulerSettings::default()
    }
}
