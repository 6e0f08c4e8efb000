//! Takes and renews the lease on weight orders, and orders engines to load weights while this node
//! holds it.

use super::node::EntryNode;
use super::weight_orders::{self, OrderTasks, ServiceScheduler};
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

/// Interval between two checks of the lease and of due orders.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Time to live of a renewal. It is short because after a failure nobody orders until the lease has
/// expired and a new holder has waited for orders that may still be on their way.
const LEASE_TTL: Duration = Duration::from_millis(1_500);

/// Margin after which a lease counts as expired, for clock drift and slow replies.
const LEASE_MARGIN: Duration = Duration::from_millis(300);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// Delay per rank before a node tries to take a free lease, long enough for the transaction of the node
/// ranked before it and for the watch that reports it. Without the delay all nodes would write one row at
/// the same moment, and a partition of the store takes 150 transactions per second.
const RANK_DELAY: Duration = Duration::from_millis(60);

/// Maximum of that delay, for the case that most nodes of lower rank have failed too.
const MAX_RANK_DELAY: Duration = Duration::from_secs(1);

/// State of the task that keeps the lease and orders engines.
struct LeaseTask {
    keeper: LeaseKeeper,
    schedulers: BTreeMap<Name, ServiceScheduler>,
    order_tasks: OrderTasks,
    renewed_at: Timestamp,
    held_fence: Option<u64>,
    /// Whether the orders of previous holders were read since the lease was taken.
    has_read_orders: bool,
    /// When this node first saw the lease free; `None` while it is held.
    free_since: Option<Timestamp>,
    /// Consecutive writes of the lease row that were rejected for the store's rate limit.
    failures: u32,
    /// Earliest time of the next attempt to take the lease.
    retry_at: Timestamp,
}

/// Keeps the lease and orders engines until the process ends.
pub async fn run(node: Arc<EntryNode>) {
    // `order_time` is zero because the wait for a previous holder's orders is tracked for each engine.
    let settings = LeaseSettings { ttl: LEASE_TTL, margin: LEASE_MARGIN, order_time: Duration::ZERO };
    let mut task = LeaseTask {
        keeper: LeaseKeeper::new(settings, node.settings.name.clone(), node.incarnation),
        schedulers: BTreeMap::new(),
        order_tasks: OrderTasks::default(),
        renewed_at: node.now(),
        held_fence: None,
        has_read_orders: false,
        free_since: None,
        failures: 0,
        retry_at: Timestamp::default(),
    };
    loop {
        // A node that does not follow the store takes no lease and has none to release.
        if !node.follower.is_direct() && task.held_fence.is_none() {
            node.follower.wait_direct().await;
        }
        tokio::select! {
            () = clock::sleep(CHECK_INTERVAL) => {}
            () = task.order_tasks.wait() => {}
        }
        if node.is_stopping() {
            node.lease.set_grant(None);
            release(&node, &mut task.keeper).await;
        } else {
            check(&node, &mut task).await;
        }
    }
}

async fn check(node: &Arc<EntryNode>, task: &mut LeaseTask) {
    let now = node.now();
    if task.keeper.fence(now).is_none() || now.since(task.renewed_at) >= RENEW_INTERVAL {
        task.renewed_at = now;
        renew_or_take(node, task).await;
    }
    node.lease.set_grant(task.keeper.grant());
    let fence = task.keeper.fence(node.now());
    if fence != task.held_fence {
        log_lease_change(node, fence);
        task.schedulers.clear();
        task.order_tasks = OrderTasks::default();
        task.has_read_orders = false;
        task.held_fence = fence;
    }
    let Some(fence) = fence else { return };
    if !task.has_read_orders {
        match read_orders(node).await {
            Ok(()) => task.has_read_orders = true,
            Err(error) => return logs::write(event::ROW_REFUSED, &[("key", &tables::ENGINES), ("why", &error)]),
        }
    }
    if let Some(routing) = node.routing() {
        weight_orders::order_engines(node, &routing, fence, &mut task.schedulers, &mut task.order_tasks).await;
    }
}

/// Reads the engine assignments from the store. The watch may lag behind the lease, and the last order of
/// the previous holder decides how long an engine must not be ordered.
async fn read_orders(node: &Arc<EntryNode>) -> Result<(), StoreError> {
    for row in tables::read_all(&node.store, tables::STATE, tables::ENGINES).await? {
        table_watch::apply_assignment(node, &row.key, tables::decode(&row.value)?);
    }
    Ok(())
}

async fn release(node: &Arc<EntryNode>, keeper: &mut LeaseKeeper) {
    if let Some(row) = keeper.release(node.lease.row().as_ref()) {
        // If the write fails, the lease of this node expires after its time to live.
        let why = match write_lease(node, row).await {
            Ok(_) => "this node is stopping".to_owned(),
            Err(error) => format!("this node is stopping, and its lease could not be released: {error}"),
        };
        logs::write(event::LEASE_LOST, &[("why", &why)]);
    }
}

fn log_lease_change(node: &EntryNode, fence: Option<u64>) {
    match fence {
        Some(fence) => logs::write(event::LEASE_TAKEN, &[("node", &node.settings.name), ("fence", &fence)]),
        None => logs::write(event::LEASE_LOST, &[("why", &"the lease was not renewed in time")]),
    }
}

async fn renew_or_take(node: &Arc<EntryNode>, task: &mut LeaseTask) {
    // A node that does not follow the store knows too few engines. Peers recognize a restarted holder by
    // its registration row, so that row must exist first. A node that has not read the state table knows
    // neither the lease nor its own rank.
    if !node.follower.is_direct() {
        return;
    }
    if !node.is_registered.load(Ordering::Relaxed) || !node.has_read_state.load(Ordering::Relaxed) {
        return;
    }
    let now = node.now();
    if now < task.retry_at {
        return;
    }
    let mut row = node.lease.versioned_row();
    if let Some((version, known)) = &mut row {
        known.released |= node.peers.is_restarted(&known.holder, known.incarnation, *version);
    }
    let LeaseAction::Write(row) = task.keeper.decide(now, row) else {
        task.free_since = None;
        return;
    };
    let is_renewal = row.renewal > 0;
    let free_since = *task.free_since.get_or_insert(now);
    if !is_renewal && now.since(free_since) < rank_delay(node, row.fence) {
        return;
    }
    match write_lease(node, row.clone()).await {
        Ok(is_written) => {
            task.failures = 0;
            task.free_since = None;
            if is_written {
                task.keeper.record_write(now, row);
            }
        }
        // A holder retries at the usual interval, because its lease would expire meanwhile.
        Err(StoreError::RateLimited) if !is_renewal => {
            task.failures += 1;
            task.retry_at = now + rate_limit_backoff(task.failures, rand::random());
        }
        // The next check decides again; a write that was applied after all shows in the row.
        Err(_) => {}
    }
}

/// Returns how long this node leaves a free lease to nodes of lower rank. Ranks are drawn anew for each
/// fencing token.
fn rank_delay(node: &EntryNode, fence: u64) -> Duration {
    let mut names = node.peers.names();
    names.retain(|name| node.follower.is_follower(name));
    let key = hash_parts(&[tables::ORDER_LEASE, &fence.to_string()]);
    let rank = rank_among(key, &node.settings.name, names.iter().map(|name| &**name));
    (RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX)).min(MAX_RANK_DELAY)
}

/// Writes the lease row on condition that it has not changed since this node last saw it. Returns whether
/// the store now has this row.
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
            let stored = rows.into_iter().find(|row| &*row.key == tables::ORDER_LEASE);
            let stored = stored.and_then(|row| Some((row.version, tables::decode::<LeaseRow>(&row.value).ok()?)));
            let is_own = stored.as_ref().is_some_and(|(_, stored)| *stored == row);
            if let Some((version, stored)) = stored {
                node.lease.set_row(version, stored);
            }
            Ok(is_own)
        }
        _ => Err(StoreError::Unknown),
    }
}
