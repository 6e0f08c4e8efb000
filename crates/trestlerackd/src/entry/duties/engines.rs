//! Orders engines from the platform, on the holder of the lease.

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
use trestlerack_platform::{self as platform, DutyAnswer};

/// Interval between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// What the holder knows of one service.
#[derive(Default)]
struct ServiceDesk {
    fleet: FleetController,
    row: FleetRow,
    version: u64,
    /// Zones whose order the platform may not have.
    unsent: Vec<Name>,
}

/// Keeps the engines of all services while this node holds the lease, until the process ends.
pub async fn keep_engines(node: Arc<EntryNode>) {
    let caller = DutyCaller::new(&node);
    let mut held_fence = None;
    let mut desks: BTreeMap<Name, ServiceDesk> = BTreeMap::new();
    loop {
        clock::sleep(LOOK_INTERVAL).await;
        let fence = node.lease.fence(node.now());
        if fence != held_fence {
            desks.clear();
            held_fence = fence;
        }
        let Some(routing) = node.routing().filter(|_| fence.is_some()) else { continue };
        for service in routing.services.values() {
            let Some(terms) = &service.scaling else { continue };
            if let Err(error) = keep_service(&node, &caller, &service.name, terms, &mut desks).await {
                logs::write(event::ROW_REFUSED, &[("key", &tables::ENGINE_ORDERS), ("why", &error)]);
            }
        }
    }
}

async fn keep_service(
    node: &Arc<EntryNode>,
    caller: &DutyCaller,
    service: &Name,
    terms: &ScalingConfig,
    desks: &mut BTreeMap<Name, ServiceDesk>,
) -> Result<(), StoreError> {
    if !desks.contains_key(service) {
        let desk = open(node, service).await?;
        desks.insert(service.clone(), desk);
    }
    let Some(desk) = desks.get_mut(service) else { return Ok(()) };
    let Some(zones) = listed_engines(node, service) else { return Ok(()) };
    let (now, clock_ms) = (node.now(), node.store.clock_ms());
    if let Some(next) = desk.fleet.decide(now, clock_ms, &zones, terms, &desk.row) {
        store(node, service, desk, next).await?;
    }
    send_orders(node, caller, service, desk).await;
    Ok(())
}

/// Reads what the holder before ordered. Its orders are sent again, which changes nothing where
/// the platform has them.
async fn open(node: &Arc<EntryNode>, service: &Name) -> Result<ServiceDesk, StoreError> {
    let rows = tables::read_all(&node.store, tables::ENGINE_ORDERS, tables::ENGINE_ORDERS).await?;
    let fleet = FleetController::new(FleetSettings::default());
    let Some(row) = rows.into_iter().find(|row| row.key == *service) else {
        return Ok(ServiceDesk { fleet, ..ServiceDesk::default() });
    };
    let held: FleetRow = tables::decode(&row.value)?;
    let unsent = held.orders.keys().cloned().collect();
    Ok(ServiceDesk { fleet, row: held, version: row.version, unsent })
}

/// Counts the engines of a service by zone, unless the list is in doubt.
fn listed_engines(node: &EntryNode, service: &Name) -> Option<BTreeMap<Name, ZoneEngines>> {
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

/// Stores what is to be ordered before it is sent.
async fn store(
    node: &Arc<EntryNode>,
    service: &Name,
    desk: &mut ServiceDesk,
    next: FleetRow,
) -> Result<(), StoreError> {
    let transaction = RowTransaction::new(tables::ENGINE_ORDERS)
        .expect(tables::ENGINE_ORDERS, service, desk.version)
        .put(tables::ENGINE_ORDERS, service, tables::encode(&next));
    match node.store.call(&StoreCall::Commit(transaction)).await? {
        StoreReply::Committed(moment) => desk.version = moment.version,
        StoreReply::Conflict(rows) => {
            // A lost reply of an own write, or another holder; what is stored is looked at next time.
            let row = rows.into_iter().find(|row| row.key == *service).ok_or(StoreError::Unknown)?;
            desk.row = tables::decode(&row.value)?;
            desk.version = row.version;
            desk.unsent = desk.row.orders.keys().cloned().collect();
            return Ok(());
        }
        _ => return Err(StoreError::Unknown),
    }
    let is_new = |(zone, order): (&Name, _)| (desk.row.orders.get(zone) != Some(order)).then(|| zone.clone());
    let news: Vec<Name> = next.orders.iter().filter_map(is_new).collect();
    desk.unsent.retain(|zone| next.orders.contains_key(zone) && !news.contains(zone));
    desk.unsent.extend(news);
    desk.row = next;
    Ok(())
}

async fn send_orders(node: &Arc<EntryNode>, caller: &DutyCaller, service: &Name, desk: &mut ServiceDesk) {
    let Some(zone) = desk.unsent.first().cloned() else { return };
    let Some(order) = desk.row.orders.get(&zone).copied() else {
        desk.unsent.remove(0);
        return;
    };
    let encode = |holder: platform::DutyHolder<'_>| platform::encode_engines(holder, service, &zone, order.engines);
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
        DutyAnswer::Done => {
            desk.unsent.remove(0);
        }
        DutyAnswer::NoneLeft | DutyAnswer::Refused => {
            desk.unsent.remove(0);
            desk.row.orders.remove(&zone);
            desk.fleet.record_refusal(node.now(), &zone);
        }
        DutyAnswer::RateLimited | DutyAnswer::Unknown => {}
    }
}
