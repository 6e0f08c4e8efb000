//! Brings engines to the weight versions that trainers name, on the holder of the order lease.

use super::engine_calls::{self, ORDER_TIMEOUT};
use super::node::EntryNode;
use super::{feeds, tables};
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
    DueOrder, EngineAssignment, LIST_LAG, OrderOutcome, RequestRoute, RoutedService, RoutingTable, WeightPlan,
    WeightPlanSettings,
};
use trestlerack::{Name, event};
use trestlerack_platform::EngineReport;

/// Time between the row that tells of an order and its acceptance from which the row is corrected,
/// in milliseconds; nodes reckon the end of the load from it.
const LATE_ORDER_MS: u64 = 60;

/// Orders and questions that are on their way to engines. Dropping them ends the waits for answers.
#[derive(Default)]
pub struct OrderTasks {
    tasks: JoinSet<OrderEnd>,
    ended: Vec<OrderEnd>,
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

/// What came of an order or a question for a service.
struct OrderEnd {
    service: Name,
    order: DueOrder,
    done: OrderDone,
}

/// Decides which engines load next, and has them ordered under the lease of `fence`. Does not wait for
/// their answers: an engine that gives none took 0.8 s from all others and from the lease itself.
pub async fn order_engines(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    fence: u64,
    plans: &mut BTreeMap<Name, WeightPlan>,
    running: &mut OrderTasks,
) {
    take_ends(node, plans, running);
    for service in routing.services.values().filter(|service| !service.models.is_empty()) {
        let plan = plans.entry(service.name.clone()).or_insert_with(|| WeightPlan::new(plan_settings(&node.settings)));
        let engines = usable_engines(node, &service.name);
        let assigned = node.weights.assignments();
        divide_engines(node, plan, service, &engines, &assigned).await;
        let orders = due_orders(node, plan, &assigned);
        let waits_for_runs = wants_single_versions(routing, &service.name);
        let terms = OrderTerms { fence, load_time: plan.load_time(), waits_for_runs };
        for order in orders {
            let Some(engine) = engines.iter().find(|engine| engine.instance == order.instance) else { continue };
            let (node, engine, service) = (node.clone(), engine.clone(), service.name.clone());
            running.tasks.spawn(async move {
                let done = carry_out(&node, &engine, &order, terms).await;
                OrderEnd { service, order, done }
            });
        }
    }
}

fn usable_engines(node: &EntryNode, service: &Name) -> Vec<ServerEntry> {
    let registry = node.registry.lock().unwrap();
    let is_usable = |entry: &&ServerEntry| entry.service == *service && !entry.is_draining;
    registry.entries().filter(is_usable).cloned().collect()
}

/// Returns whether a route of a service wants each answer from one version, so that runs end before a
/// load begins.
fn wants_single_versions(routing: &RoutingTable, service: &Name) -> bool {
    let is_of_service = |route: &RequestRoute| route.shares.iter().any(|share| share.service == *service);
    routing.routes().any(|route| route.single_version && is_of_service(route))
}

/// Tells a plan what is wanted and what is there, and tells all nodes which engines it gave to another
/// model.
async fn divide_engines(
    node: &Arc<EntryNode>,
    plan: &mut WeightPlan,
    service: &RoutedService,
    engines: &[ServerEntry],
    assigned: &BTreeMap<Name, EngineAssignment>,
) {
    let named = node.weights.named_versions();
    for (model, version) in named.iter().filter(|(model, _)| service.models.contains(model)) {
        plan.target(model, *version);
        plan.allow_lag(model, node.accepted_lag(model));
    }
    let decided = plan.sync(node.now(), &service.models, &engines.iter().collect::<Vec<_>>(), assigned);
    let decided: Vec<(Name, EngineAssignment)> = decided
        .into_iter()
        .map(|(instance, model)| {
            let holder = node.settings.name.clone();
            let (version, ordered_ms, tried_ms, load_ms) = (0, 0, 0, 0);
            (instance, EngineAssignment { model, version, ordered_ms, tried_ms, holder, load_ms })
        })
        .collect();
    decided.iter().for_each(|(instance, assignment)| feeds::learn_assignment(node, instance, assignment.clone()));
    // Together, since a start decides on all engines.
    for batch in decided.chunks(tables::COMMIT_ROWS) {
        write_assignments(node, batch).await;
    }
}

/// Takes note of the orders that have come to an end.
fn take_ends(node: &EntryNode, plans: &mut BTreeMap<Name, WeightPlan>, running: &mut OrderTasks) {
    while let Some(Ok(end)) = running.tasks.try_join_next() {
        running.ended.push(end);
    }
    for end in running.ended.drain(..) {
        if let Some(plan) = plans.get_mut(&end.service) {
            apply_done(node, plan, &end.order, end.done);
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

async fn carry_out(node: &Arc<EntryNode>, entry: &ServerEntry, order: &DueOrder, terms: OrderTerms) -> OrderDone {
    let Some(orders_before) = order.orders_before else {
        return OrderDone::Asked(engine_calls::ask_report(node, entry).await);
    };
    let before = node.weights.assignment(&order.instance);
    let clock_ms = node.store.clock_ms();
    let intent = EngineAssignment {
        model: order.model.clone(),
        version: order.version,
        ordered_ms: clock_ms,
        tried_ms: clock_ms,
        holder: node.settings.name.clone(),
        load_ms: millis(terms.load_time),
    };
    let is_told = write_assignment(node, &order.instance, &intent).await;
    // The lease is checked next to the send, since the write before it may have taken long.
    let Some(fence) = node.lease.fence(node.now()).filter(|held| is_told && *held == terms.fence) else {
        return OrderDone::Ordered(OrderOutcome::NotSent, orders_before);
    };
    let outcome = engine_calls::send_order(node, entry, order, fence, orders_before, terms.waits_for_runs).await;
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
    write_assignments(node, &[(instance.clone(), assignment.clone())]).await
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

fn plan_settings(settings: &EntrySettings) -> WeightPlanSettings {
    WeightPlanSettings {
        parallel_share: settings.load_share,
        load_time: Duration::from_millis(settings.first_load_ms),
        proof_time: settings.lapse_time() + LIST_LAG,
        ..WeightPlanSettings::default()
    }
}
