//! Maintains the leases on models, sends weight targets to engine owners and weight orders to engines.

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

/// Lease keepers of this node, by model.
#[derive(Default)]
pub struct ModelLeases {
    keepers: Mutex<HashMap<Name, LeaseKeeper>>,
    wakeup: Notify,
}

impl ModelLeases {
    /// Makes the lease loop read the published weights now.
    pub fn wake(&self) {
        self.wakeup.notify_one();
    }
}

/// Renewals of a lease within its time to live.
const RENEWALS_PER_TTL: u64 = 4;

/// Interval at which owned engines are polled for their status and weight swaps are continued.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the key of a model's lease row.
fn lease_key(model: &str) -> String {
    format!("lease/{model}")
}

/// Returns the key of the row with a model's newest weight version.
pub fn weights_key(model: &str) -> String {
    format!("weights/{model}")
}

/// Acquires and renews the leases that this node is a candidate for, and sends weight targets.
pub async fn maintain_leases(node: Arc<Node>) {
    let interval = Duration::from_millis(node.settings.lease_ttl_ms / RENEWALS_PER_TTL);
    loop {
        let config = node.config.current();
        for model in models(&config) {
            if is_candidate(&node, &model) {
                maintain_lease(&node, &config, &model).await;
            } else {
                // A candidate then need not wait for the lease to expire.
                release_lease(&node, &model).await;
            }
        }
        // A wake-up ends the wait early. If one is lost, the loop goes on after the interval.
        let _ = clock::timeout(interval, node.leases.wakeup.notified()).await;
    }
}

/// Tells the candidates for a model's lease that newer weights were published.
pub async fn notify_candidates(node: &Arc<Node>, model: &Name) {
    let view = node.ownership.read().unwrap().clone();
    for candidate in view.lease_candidates(model) {
        if candidate.name == *node.name() {
            node.leases.wake();
        } else {
            let frame = LinkFrame::WeightsPublished { model: model.clone() };
            links::send(node, &candidate.name, frame).await;
        }
    }
}

/// Releases every lease, so that the next holder need not wait for it to expire.
pub async fn release_leases(node: &Arc<Node>) {
    let models: Vec<Name> = node.leases.keepers.lock().unwrap().keys().cloned().collect();
    for model in models {
        release_lease(node, &model).await;
    }
}

async fn release_lease(node: &Arc<Node>, model: &Name) {
    let key = lease_key(model);
    let Ok(Some(current)) = node.table.read(&key).await else { return };
    let row = decode_lease(&current);
    let released = node.leases.keepers.lock().unwrap().get_mut(model).and_then(|keeper| keeper.release(row.as_ref()));
    let Some(row) = released else { return };
    let transaction = lease_write(&key, Some(&current), &row);
    // If this fails, the lease expires by itself.
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

async fn maintain_lease(node: &Arc<Node>, config: &Configuration, model: &Name) {
    let key = lease_key(model);
    let Ok(row) = node.table.read(&key).await else { return };
    let read_at = node.now();
    let seen = row.as_ref().and_then(|row| Some((row.version, decode_lease(row)?)));
    let action = with_keeper(node, model, |keeper| keeper.decide(read_at, seen));
    if let LeaseAction::Write(next) = action {
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
            Err(error) => record_store_failure(node, "lease", error),
        }
    }
    send_target(node, config, model).await;
}

fn with_keeper<T>(node: &Node, model: &Name, operation: impl FnOnce(&mut LeaseKeeper) -> T) -> T {
    let mut keepers = node.leases.keepers.lock().unwrap();
    let keeper = keepers.entry(model.clone()).or_insert_with(|| {
        let settings = LeaseSettings {
            ttl: Duration::from_millis(node.settings.lease_ttl_ms),
            order_time: Duration::from_millis(node.settings.order_timeout_ms),
            ..LeaseSettings::default()
        };
        LeaseKeeper::new(settings, node.name().clone(), node.incarnation)
    });
    operation(keeper)
}

fn lease_write(key: &str, current: Option<&TableRow>, next: &LeaseRow) -> TableTransaction {
    let value = serde_json::to_value(next).expect("a lease row always encodes");
    TableTransaction::default().expect(key, TableTransaction::expectation_of(current)).put(key, value)
}

fn decode_lease(row: &TableRow) -> Option<LeaseRow> {
    serde_json::from_value(row.value.clone()).ok()
}

/// Logs and counts a failed call to the table service.
pub fn record_store_failure(node: &Node, call: &'static str, error: StoreError) {
    node.telemetry.store_failures.add(1, &[]);
    logs::write(event::TABLE_FAILED, &[("call", &call), ("error", &error)]);
}

/// Tells the owners of a model's engines which version to load, if this node holds the lease.
async fn send_target(node: &Arc<Node>, config: &Configuration, model: &Name) {
    let Ok(Some(row)) = node.table.read(&weights_key(model)).await else { return };
    let Some(version) = row.value.get("version").and_then(serde_json::Value::as_u64) else { return };
    let now = node.now();
    let (fence, ordering) = with_keeper(node, model, |keeper| (keeper.fence(now), keeper.order_fence(now, false)));
    let Some(fence) = fence else { return };
    let serving_percent = serving_percent(config, model);
    let is_handover_complete = ordering.is_some();
    let target = WeightTarget { model: model.clone(), version, fence, serving_percent, is_handover_complete };
    let allowed_zones =
        AllowedZones::new(config.backends_of(BackendKind::Engine, model).map(|backend| backend.zone.clone()));
    let owners = node.engine_owners.read().unwrap().model_owners(model, &allowed_zones);
    let nodes: BTreeSet<Name> = owners.into_iter().map(|owner| owner.node).collect();
    for owner in nodes {
        if owner == *node.name() {
            apply_target(node, target.clone());
        } else {
            let node = node.clone();
            let frame = LinkFrame::Target(target.clone());
            tokio::spawn(async move { links::send(&node, &owner, frame).await });
        }
    }
}

/// Returns the percentage of engines that must keep serving: the highest of all campaigns that share
/// the model.
fn serving_percent(config: &Configuration, model: &str) -> u32 {
    let sharing = config.campaigns().filter(|campaign| campaign.model.as_ref() == model);
    sharing.map(|campaign| campaign.serving_percent).max().unwrap_or(0)
}

/// Applies a weight target and sends the resulting orders to engines.
pub fn apply_target(node: &Arc<Node>, target: WeightTarget) {
    let current = node.dispatchers.target_version(&target.model);
    if current != Some(target.version) {
        logs::write(
            event::WEIGHTS_TARGETED,
            &[("model", &target.model), ("version", &target.version), ("fence", &target.fence)],
        );
    }
    let orders = node.dispatchers.set_target(node.now(), target);
    send_orders(node, orders);
}

/// Polls owned engines for their status and continues weight swaps until the process ends.
pub async fn poll_engines(node: Arc<Node>) {
    let mut ticks = tokio::time::interval(ENGINE_POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    for tick in 0.. {
        ticks.tick().await;
        let orders = node.dispatchers.tick(node.now());
        send_orders(&node, orders);
        for (engine, address) in node.dispatchers.engines_to_poll(tick) {
            tokio::spawn(poll_status(node.clone(), engine, address));
        }
    }
}

async fn poll_status(node: Arc<Node>, engine: Name, address: Name) {
    let Ok(status) = node.engines.status(&address).await else {
        return node.dispatchers.set_reachable(node.now(), &engine, false);
    };
    let orders = node.dispatchers.record_status(node.now(), &engine, &status);
    send_orders(&node, orders);
}

fn send_orders(node: &Arc<Node>, orders: Vec<EngineOrder>) {
    for order in orders {
        let address = node.dispatchers.address(&order.engine);
        if let Some(address) = address {
            tokio::spawn(send_order(node.clone(), order, address));
        }
    }
}

async fn send_order(node: Arc<Node>, order: EngineOrder, address: Name) {
    let response = node.engines.order(&address, &order).await;
    let orders = match response {
        Ok(status) if status.loaded_version == Some(order.version) => {
            logs::write(event::WEIGHTS_HELD, &[("engine", &order.engine), ("version", &order.version)]);
            node.dispatchers.record_status(node.now(), &order.engine, &status)
        }
        Ok(_) => node.dispatchers.record_order_failure(node.now(), &order.engine),
        Err(failure) => {
            logs::write(event::ORDER_FAILED, &[("engine", &order.engine), ("error", &failure)]);
            node.dispatchers.record_order_failure(node.now(), &order.engine)
        }
    };
    send_orders(&node, orders);
}

/// Returns the weight versions loaded by the engines of each owned model, for operators.
pub fn loaded_versions(node: &Node) -> BTreeMap<Name, BTreeMap<Name, Option<WeightVersion>>> {
    node.dispatchers.progress()
}
