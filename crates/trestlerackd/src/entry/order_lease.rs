//! Holds the lease on weight orders while it can, and orders engines while it holds it.

use super::node::EntryNode;
use super::weights::{self, OrderTasks, ServicePlan};
use super::{table_watch, tables};
use crate::process::clock;
use crate::process::logs;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use trestlerack::hash::{hash_parts, rank_among};
use trestlerack::interfaces::StoreError;
use trestlerack::process::{LeaseAction, LeaseKeeper, LeaseRow, LeaseSettings, rate_limit_backoff};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::{Name, Timestamp, event};

/// Interval between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which a renewal of the lease holds. Short, because nobody orders until a new holder
/// has waited for it and for the orders that may be on their way.
const LEASE_TTL: Duration = Duration::from_millis(1_500);

/// Time added before a lease counts as lapsed, for clocks that drift and slow replies.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Time that each successor in line for the lease leaves to the one before, in which a transaction
/// and the watch that tells of it pass. Without it all nodes write one row at the same moment, and a
/// partition of the store takes 150 transactions a second.
const RANK_TIME: Duration = Duration::from_millis(60);

/// Longest such wait, where most of the nodes in line are gone too.
const RANK_TIME_MAX: Duration = Duration::from_secs(1);

/// What this node does about the lease.
struct OrderDesk {
    keeper: LeaseKeeper,
    plans: BTreeMap<Name, ServicePlan>,
    orders: OrderTasks,
    renewed_at: Timestamp,
    held_fence: Option<u64>,
    /// Whether the orders of the holders before were read since the lease was taken.
    knows_orders: bool,
    /// Since when the lease has been free, as far as this node knows.
    free_since: Option<Timestamp>,
    /// Writes of the lease row that failed in a row, and the time before which none is made.
    failures: u32,
    not_before: Timestamp,
}

/// Holds the lease while it can, and orders engines while it holds it.
pub async fn run(node: Arc<EntryNode>) {
    // The wait for orders of the holder before is kept for each engine, not with the lease.
    let settings = LeaseSettings { ttl: LEASE_TTL, margin: LEASE_MARGIN, order_time: Duration::ZERO };
    let mut desk = OrderDesk {
        keeper: LeaseKeeper::new(settings, node.settings.name.clone(), node.incarnation),
        plans: BTreeMap::new(),
        orders: OrderTasks::default(),
        renewed_at: node.now(),
        held_fence: None,
        knows_orders: false,
        free_since: None,
        failures: 0,
        not_before: Timestamp::default(),
    };
    loop {
        // A node that does not follow the store takes no lease and has none to give back.
        if !node.follower.is_direct() && desk.held_fence.is_none() {
            node.follower.wait_direct().await;
        }
        tokio::select! {
            () = clock::sleep(LOOK_INTERVAL) => {}
            () = desk.orders.wait() => {}
        }
        if node.is_stopping() {
            node.lease.set_grant(None);
            give_back(&node, &mut desk.keeper).await;
        } else {
            look(&node, &mut desk).await;
        }
    }
}

async fn look(node: &Arc<EntryNode>, desk: &mut OrderDesk) {
    let now = node.now();
    if desk.keeper.fence(now).is_none() || now.since(desk.renewed_at) >= RENEW_INTERVAL {
        desk.renewed_at = now;
        keep_lease(node, desk).await;
    }
    node.lease.set_grant(desk.keeper.grant());
    let fence = desk.keeper.fence(node.now());
    if fence != desk.held_fence {
        note_lease(node, fence);
        desk.plans.clear();
        desk.orders = OrderTasks::default();
        desk.knows_orders = false;
        desk.held_fence = fence;
    }
    let Some(fence) = fence else { return };
    if !desk.knows_orders {
        match read_orders(node).await {
            Ok(()) => desk.knows_orders = true,
            Err(error) => return logs::write(event::ROW_REFUSED, &[("key", &tables::ENGINES), ("why", &error)]),
        }
    }
    if let Some(routing) = node.routing() {
        weights::order_engines(node, &routing, fence, &mut desk.plans, &mut desk.orders).await;
    }
}

/// Reads what engines were ordered so far. A watch may lag behind the lease, and what the holder
/// before ordered last decides how long its engines are left alone.
async fn read_orders(node: &Arc<EntryNode>) -> Result<(), StoreError> {
    for row in tables::read_all(&node.store, tables::STATE, tables::ENGINES).await? {
        table_watch::apply_assignment(node, &row.key, tables::decode(&row.value)?);
    }
    Ok(())
}

async fn give_back(node: &Arc<EntryNode>, keeper: &mut LeaseKeeper) {
    if let Some(row) = keeper.release(node.lease.row().as_ref()) {
        // A row that still names this node lapses with its time.
        let why = match write_lease(node, row).await {
            Ok(_) => "this node stops".to_owned(),
            Err(error) => format!("this node stops, and the row still names it: {error}"),
        };
        logs::write(event::LEASE_LOST, &[("why", &why)]);
    }
}

fn note_lease(node: &EntryNode, fence: Option<u64>) {
    match fence {
        Some(fence) => logs::write(event::LEASE_TAKEN, &[("node", &node.settings.name), ("fence", &fence)]),
        None => logs::write(event::LEASE_LOST, &[("why", &"it was not renewed in time")]),
    }
}

async fn keep_lease(node: &Arc<EntryNode>, desk: &mut OrderDesk) {
    // Peers tell a restarted holder by its row, so that row has to be there first. A node that has
    // not read the rows yet knows neither the lease nor who comes before it in line.
    // One that does not follow the store knows too few engines.
    if !node.follower.is_direct() {
        return;
    }
    if !node.is_registered.load(Ordering::Relaxed) || !node.has_state.load(Ordering::Relaxed) {
        return;
    }
    let now = node.now();
    if now < desk.not_before {
        return;
    }
    let mut row = node.lease.versioned_row();
    if let Some((version, held)) = &mut row {
        held.released |= node.peers.is_restarted(&held.holder, held.incarnation, *version);
    }
    let LeaseAction::Write(row) = desk.keeper.decide(now, row) else {
        desk.free_since = None;
        return;
    };
    let is_renewal = row.renewal > 0;
    let free_since = *desk.free_since.get_or_insert(now);
    if !is_renewal && now.since(free_since) < wait_in_line(node, row.fence) {
        return;
    }
    match write_lease(node, row.clone()).await {
        Ok(is_written) => {
            desk.failures = 0;
            desk.free_since = None;
            if is_written {
                desk.keeper.record_write(now, row);
            }
        }
        // A holder goes on trying at the usual pace, because its lease runs out meanwhile.
        Err(StoreError::RateLimited) if !is_renewal => {
            desk.failures += 1;
            desk.not_before = now + rate_limit_backoff(desk.failures, rand::random());
        }
        // The next look decides anew; an applied write shows in the row.
        Err(_) => {}
    }
}

/// Returns how long this node leaves a free lease to those before it in line. The line is another
/// one for each fencing number.
fn wait_in_line(node: &EntryNode, fence: u64) -> Duration {
    let mut names = node.peers.names();
    names.retain(|name| node.follower.is_follower(name));
    let key = hash_parts(&[tables::ORDER_LEASE, &fence.to_string()]);
    let rank = rank_among(key, &node.settings.name, names.iter().map(|name| &**name));
    (RANK_TIME * u32::try_from(rank).unwrap_or(u32::MAX)).min(RANK_TIME_MAX)
}

/// Writes the lease row on condition that it is as this node last saw it. Returns whether it stands.
async fn write_lease(node: &Arc<EntryNode>, row: LeaseRow) -> Result<bool, StoreError> {
    let version = node.lease.versioned_row().map_or(0, |(version, _)| version);
    let transaction = RowTransaction::new(tables::LEASES).expect(tables::STATE, tables::ORDER_LEASE, version).put(
        tables::STATE,
        tables::ORDER_LEASE,
        tables::encode(&row),
    );
    match node.store.call(&StoreCall::Commit(transaction)).await? {
        StoreReply::Committed(moment) => {
            node.lease.set_row(moment.version, row);
            Ok(true)
        }
        StoreReply::Conflict(rows) => {
            let held = rows.into_iter().find(|held| &*held.key == tables::ORDER_LEASE);
            let held = held.and_then(|held| Some((held.version, tables::decode::<LeaseRow>(&held.value).ok()?)));
            let is_own = held.as_ref().is_some_and(|(_, held)| *held == row);
            if let Some((version, held)) = held {
                node.lease.set_row(version, held);
            }
            Ok(is_own)
        }
        _ => Err(StoreError::Unknown),
    }
}
