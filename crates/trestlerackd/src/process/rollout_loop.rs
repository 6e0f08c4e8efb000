//! Leases on models, weight targets and the orders that carry them out.

use super::logs;
use crate::connection::links;
use crate::node::Node;
use crate::process::clock;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::connection::LinkFrame;
use trestlerack::event;
use trestlerack::interfaces::{CommitOutcome, StoreError, TableRow, TableTransaction};
use trestlerack::process::{LeaseAction, LeaseKeeper, LeaseRow, LeaseSettings};
use trestlerack::version::{BackendKind, Configuration, EngineOrder, WeightTarget, WeightVersion};
use trestlerack::{AllowedZones, Name};

/// Leases kept by this node, by model.
#[derive(Default)]
pub struct HeldLeases {
    keepers: Mutex<HashMap<Name, LeaseKeeper>>,
    nudged: Notify,
}

impl HeldLeases {
    /// Asks for a look at the published weights now.
    pub fn nudge(&self) {
        self.nudged.notify_one();
    }
}

/// Parts of a lease's life after which it is renewed.
const RENEWALS_PER_TTL: u64 = 4;

/// Interval at which owned engines are asked for their status and swaps go on.
const DRIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the key of a model's lease row.
fn lease_key(model: &str) -> String {
    format!("lease/{model}")
}

/// Returns the key of the row with a model's newest weight version.
pub fn weights_key(model: &str) -> String {
    format!("weights/{model}")
}

/// Takes and renews the leases that this node is a candidate for, and spreads weight targets.
pub async fn watch_leases(node: Arc<Node>) {
    let pause = Duration::from_millis(node.settings.lease_ttl_ms / RENEWALS_PER_TTL);
    loop {
        let config = node.config.current();
        for model in models(&config) {
            if is_candidate(&node, &model) {
                watch_lease(&node, &config, &model).await;
            } else {
                // A candidate then need not wait for the lease to lapse.
                release_lease(&node, &model).await;
            }
        }
        // A nudge ends the pause early; without one the pause is the backstop.
        let _ = clock::timeout(pause, node.leases.nudged.notified()).await;
    }
}

/// Tells the candidates for a model's lease that newer weights were published.
pub async fn nudge_candidates(node: &Arc<Node>, model: &Name) {
    let view = node.ownership.read().unwrap().clone();
    for candidate in view.lease_candidates(model) {
        if candidate.name == *node.name() {
            node.leases.nudge();
        } else {
            let frame = LinkFrame::WeightsPublished { model: model.clone() };
            links::post(node, &candidate.name, frame).await;
        }
    }
}

/// Gives back every lease, so that the next holder need not wait for it to lapse.
pub async fn release_leases(node: &Arc<Node>) {
    let models: Vec<Name> = node.leases.keepers.lock().unwrap().keys().cloned().collect();
    for model in models {
        release_lease(node, &model).await;
    }
}

async fn release_lease(node: &Arc<Node>, model: &Name) {
    let key = lease_key(model);
    let Ok(Some(held)) = node.table.read(&key).await else { return };
    let row = decode_lease(&held);
    let released = node.leases.keepers.lock().unwrap().get_mut(model).and_then(|keeper| keeper.release(row.as_ref()));
    let Some(row) = released else { return };
    let transaction = lease_write(&key, Some(&held), &row);
    // If this fails the lease lapses by itself.
    let _ = node.table.commit(transaction).await;
    logs::write(event::LEASE_LOST, &[("model", model), ("cause", &"released")]);
}

fn models(config: &Configuration) -> BTreeSet<Name> {
    let engines = config.backends().filter(|backend| backend.kind == BackendKind::Engine);
    engines.map(|backend| backend.service.clone()).collect()
}

fn is_candidate(node: &Node, model: &str) -> bool {
    let view = node.ownership.read().unwrap().clone();
    view.lease_candidates(model).iter().any(|candidate| candidate.name == *node.name())
}

async fn watch_lease(node: &Arc<Node>, config: &Configuration, model: &Name) {
    let key = lease_key(model);
    let Ok(row) = node.table.read(&key).await else { return };
    let read_at = node.now();
    let seen = row.as_ref().and_then(|row| Some((row.version, decode_lease(row)?)));
    let step = with_keeper(node, model, |keeper| keeper.decide(read_at, seen));
    if let LeaseAction::Write(next) = step {
        let sent_at = node.now();
        let outcome = node.table.commit(lease_write(&key, row.as_ref(), &next)).await;
        match outcome {
            Ok(CommitOutcome::Committed) => {
                if next.renewal == 0 {
                    logs::write(event::LEASE_TAKEN, &[("model", model), ("fence", &next.fence)]);
                }
                with_keeper(node, model, |keeper| keeper.record_write(sent_at, next));
            }
            Ok(CommitOutcome::Conflict) => {}
            Err(error) => store_failed(node, "lease", error),
        }
    }
    spread_target(node, config, model).await;
}

fn with_keeper<T>(node: &Node, model: &Name, act: impl FnOnce(&mut LeaseKeeper) -> T) -> T {
    let mut keepers = node.leases.keepers.lock().unwrap();
    let keeper = keepers.entry(model.clone()).or_insert_with(|| {
        let settings = LeaseSettings {
            ttl: Duration::from_millis(node.settings.lease_ttl_ms),
            order_time: Duration::from_millis(node.settings.order_timeout_ms),
            ..LeaseSettings::default()
        };
        LeaseKeeper::new(settings, node.name().clone(), node.incarnation)
    });
    act(keeper)
}

fn lease_write(key: &str, held: Option<&TableRow>, next: &LeaseRow) -> TableTransaction {
    let value = serde_json::to_value(next).expect("a lease row always encodes");
    TableTransaction::default().expect(key, TableTransaction::expectation_of(held)).put(key, value)
}

fn decode_lease(row: &TableRow) -> Option<LeaseRow> {
    serde_json::from_value(row.value.clone()).ok()
}

/// Logs and counts a failed call of the table service.
pub fn store_failed(node: &Node, call: &'static str, error: StoreError) {
    node.telemetry.store_failures.add(1, &[]);
    logs::write(event::TABLE_FAILED, &[("call", &call), ("error", &error)]);
}

/// Tells the owners of a model's engines which version to hold, if this node holds the lease.
async fn spread_target(node: &Arc<Node>, config: &Configuration, model: &Name) {
    let Ok(Some(row)) = node.table.read(&weights_key(model)).await else { return };
    let Some(version) = row.value.get("version").and_then(serde_json::Value::as_u64) else { return };
    let now = node.now();
    let (fence, ordering) = with_keeper(node, model, |keeper| (keeper.fence(now), keeper.order_fence(now, false)));
    let Some(fence) = fence else { return };
    let serving_percent = serving_percent(config, model);
    let is_handover_complete = ordering.is_some();
    let target = WeightTarget { model: model.clone(), version, fence, serving_percent, is_handover_complete };
    let places = AllowedZones::new(config.backends_of(BackendKind::Engine, model).map(|backend| backend.zone.clone()));
    let owners = node.owners.read().unwrap().model_owners(model, &places);
    let nodes: BTreeSet<Name> = owners.into_iter().map(|owner| owner.node).collect();
    for owner in nodes {
        if owner == *node.name() {
            accept_target(node, target.clone());
        } else {
            let node = node.clone();
            let frame = LinkFrame::Target(target.clone());
            tokio::spawn(async move { links::post(&node, &owner, frame).await });
        }
    }
}

/// The strictest campaign decides how many engines of a shared model keep serving.
fn serving_percent(config: &Configuration, model: &str) -> u32 {
    let sharing = config.campaigns().filter(|campaign| campaign.model.as_ref() == model);
    sharing.map(|campaign| campaign.serving_percent).max().unwrap_or(0)
}

/// Takes in a weight target and sends the orders that follow from it.
pub fn accept_target(node: &Arc<Node>, target: WeightTarget) {
    let known = node.desks.target_version(&target.model);
    if known != Some(target.version) {
        logs::write(
            event::WEIGHTS_TARGETED,
            &[("model", &target.model), ("version", &target.version), ("fence", &target.fence)],
        );
    }
    let orders = node.desks.set_target(node.now(), target);
    send_orders(node, orders);
}

/// Asks owned engines for their status and goes on with swaps, for as long as the process lives.
pub async fn drive_engines(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(DRIVE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for number in 0.. {
        ticks.tick().await;
        let orders = node.desks.tick(node.now());
        send_orders(&node, orders);
        for (engine, address) in node.desks.due_for_status(number) {
            tokio::spawn(ask_status(node.clone(), engine, address));
        }
    }
}

async fn ask_status(node: Arc<Node>, engine: Name, address: Name) {
    let Ok(status) = node.engines.status(&address).await else {
        return node.desks.set_reachable(node.now(), &engine, false);
    };
    let orders = node.desks.hear_status(node.now(), &engine, &status);
    send_orders(&node, orders);
}

fn send_orders(node: &Arc<Node>, orders: Vec<EngineOrder>) {
    for order in orders {
        let address = node.desks.address(&order.engine);
        if let Some(address) = address {
            tokio::spawn(send_order(node.clone(), order, address));
        }
    }
}

async fn send_order(node: Arc<Node>, order: EngineOrder, address: Name) {
    let answer = node.engines.order(&address, &order).await;
    let orders = match answer {
        Ok(status) if status.loaded_version == Some(order.version) => {
            logs::write(event::WEIGHTS_HELD, &[("engine", &order.engine), ("version", &order.version)]);
            node.desks.hear_status(node.now(), &order.engine, &status)
        }
        Ok(_) => node.desks.order_failed(node.now(), &order.engine),
        Err(failure) => {
            logs::write(event::ORDER_FAILED, &[("engine", &order.engine), ("error", &failure)]);
            node.desks.order_failed(node.now(), &order.engine)
        }
    };
    send_orders(&node, orders);
}

/// Returns the versions that the engines of each owned model hold, for operators.
pub fn progress(node: &Node) -> BTreeMap<Name, BTreeMap<Name, Option<WeightVersion>>> {
    node.desks.progress()
}
