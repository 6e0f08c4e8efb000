//! Orders engines from the platform; runs on the lease holder.

use super::calls::DutyCaller;
use crate::entry::node::EntryNode;
use crate::entry::tables;
use crate::process::clock;
use crate::process::logs;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{FleetController, FleetRow, FleetSettings, ScalingConfig, ZoneEngines};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::{Name, event};
use trestlerack_platform::{self as platform, DutyOutcome};

/// Interval between two checks of the services.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Engine orders of one service, as the lease holder knows them.
#[derive(Default)]
struct ServiceState {
    controller: FleetController,
    /// Orders as stored, and the version of that row.
    row: FleetRow,
    version: u64,
    /// Zones whose order the platform may not have received.
    unsent: Vec<Name>,
}

/// Keeps the ordered number of engines for all services while this node holds the lease, until the process ends.
pub async fn maintain_engines(node: Arc<EntryNode>) {
    let caller = DutyCaller::new(&node);
    let mut current_fence = None;
    let mut states: BTreeMap<Name, ServiceState> = BTreeMap::new();
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        let fence = node.lease.fence(node.now());
        if fence != current_fence {
            states.clear();
            current_fence = fence;
        }
        let Some(routing) = node.routing().filter(|_| fence.is_some()) else { continue };
        for service in routing.services.values() {
            let Some(scaling) = &service.scaling else { continue };
            if let Err(error) = maintain_service(&node, &caller, &service.name, scaling, &mut states).await {
                logs::write(event::ROW_REFUSED, &[("key", &tables::ENGINE_ORDERS), ("why", &error)]);
            }
        }
    }
}

async fn maintain_service(
    node: &Arc<EntryNode>,
    caller: &DutyCaller,
    service: &Name,
    scaling: &ScalingConfig,
    states: &mut BTreeMap<Name, ServiceState>,
) -> Result<(), StoreError> {
    if !states.contains_key(service) {
        let state = load_state(node, service).await?;
        states.insert(service.clone(), state);
    }
    let Some(state) = states.get_mut(service) else { return Ok(()) };
    let Some(zones) = count_engines(node, service) else { return Ok(()) };
    let (now, clock_ms) = (node.now(), node.store.clock_ms());
    state.controller.set_evacuated_zones(node.evacuations.zones());
    if let Some(new_row) = state.controller.decide(now, clock_ms, &zones, scaling, &state.row) {
        store_orders(node, service, state, new_row).await?;
    }
    send_orders(node, caller, service, state).await;
    Ok(())
}

/// Reads the orders of the previous lease holder. They are sent again, which has no effect if the platform already
/// has them.
async fn load_state(node: &Arc<EntryNode>, service: &Name) -> Result<ServiceState, StoreError> {
    let rows = tables::read_all(&node.store, tables::ENGINE_ORDERS, tables::ENGINE_ORDERS).await?;
    let controller = FleetController::new(FleetSettings::default());
    let Some(row) = rows.into_iter().find(|row| row.key == *service) else {
        return Ok(ServiceState { controller, ..ServiceState::default() });
    };
    let stored: FleetRow = tables::decode(&row.value)?;
    let unsent = stored.orders.keys().cloned().collect();
    Ok(ServiceState { controller, row: stored, version: row.version, unsent })
}

/// Counts the engines of a service by zone; `None` while the list of servers may be incomplete.
fn count_engines(node: &EntryNode, service: &Name) -> Option<BTreeMap<Name, ZoneEngines>> {
    let registry = node.registry.lock().unwrap();
    if registry.may_be_incomplete() {
        return None;
    }
    let mut zones: BTreeMap<Name, ZoneEngines> = BTreeMap::new();
    for entry in registry.entries().filter(|entry| entry.service == *service) {
        let zone = zones.entry(entry.zone.clone()).or_default();
        if entry.is_draining {
            zone.draining += 1;
        } else {
            zone.ready += 1;
        }
    }
    Some(zones)
}

/// Stores new orders, which must be done before they are sent.
async fn store_orders(
    node: &Arc<EntryNode>,
    service: &Name,
    state: &mut ServiceState,
    new_row: FleetRow,
) -> Result<(), StoreError> {
    let transaction = RowTransaction::new(tables::ENGINE_ORDERS)
        .expect(tables::ENGINE_ORDERS, service, state.version)
        .put(tables::ENGINE_ORDERS, service, tables::encode(&new_row));
    match node.store.call(&StoreCall::Commit(transaction)).await? {
        StoreReply::Committed(moment) => state.version = moment.version,
        StoreReply::Conflict(rows) => {
            // The reply to an earlier write was lost, or another holder wrote. The next check starts from the
            // stored row.
            let row = rows.into_iter().find(|row| row.key == *service).ok_or(StoreError::Unknown)?;
            state.row = tables::decode(&row.value)?;
            state.version = row.version;
            state.unsent = state.row.orders.keys().cloned().collect();
            return Ok(());
        }
        _ => return Err(StoreError::Unknown),
    }
    let is_new = |(zone, order): (&Name, _)| (state.row.orders.get(zone) != Some(order)).then(|| zone.clone());
    let new_zones: Vec<Name> = new_row.orders.iter().filter_map(is_new).collect();
    state.unsent.retain(|zone| new_row.orders.contains_key(zone) && !new_zones.contains(zone));
    state.unsent.extend(new_zones);
    state.row = new_row;
    Ok(())
}

async fn send_orders(node: &Arc<EntryNode>, caller: &DutyCaller, service: &Name, state: &mut ServiceState) {
    let Some(zone) = state.unsent.first().cloned() else { return };
    let Some(order) = state.row.orders.get(&zone).copied() else {
        state.unsent.remove(0);
        return;
    };
    // The next check drops the order of a zone that was evacuated while it was stored.
    if node.evacuations.contains(&zone) {
        return;
    }
    let encode =
        |holder: platform::LeaseHolder<'_>| platform::encode_scale_request(holder, service, &zone, order.engines);
    let Some((fence, answer)) = caller.call(node, encode).await else { return };
    let fields: [(&str, &dyn std::fmt::Display); 5] = [
        ("service", service),
        ("zone", &zone),
        ("engines", &order.engines),
        ("fence", &fence),
        ("answer", &answer.as_str()),
    ];
    logs::write(event::ENGINES_ORDERED, &fields);
    match answer {
        DutyOutcome::Done => {
            state.unsent.remove(0);
        }
        DutyOutcome::NoneLeft | DutyOutcome::Refused => {
            state.unsent.remove(0);
            state.row.orders.remove(&zone);
            state.controller.record_refusal(node.now(), &zone);
        }
        DutyOutcome::RateLimited | DutyOutcome::Unknown => {}
    }
}
