//! Follows the store's tables: the operator's, service discovery's and the system's own.

use super::node::EntryNode;
use super::{feed_relay, levels, server_feed, suspects, tables};
use crate::process::clock;
use crate::process::logs;
use futures_util::{StreamExt, TryStreamExt, stream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{failure_backoff, is_node_partition, watch_interval};
use trestlerack::rows::{RowStore, StoreCall, StoreReply, StoredRow};
use trestlerack::version::{EngineAssignment, RoutingTable};
use trestlerack::{Name, event};
use trestlerack_platform as platform;

/// Longest wait of a watch. A store that falls silent is noticed this long after it did.
const WATCH_WAIT_MS: u64 = 700;

/// Partitions read at once when a table is read whole. A store that takes 2,000 reads a second at
/// 4 ms each has 8 under way.
const READS_AT_ONCE: usize = 8;

/// Pause after news of service discovery, whose entries change with each heartbeat; the bound on
/// leaving servers is two seconds.
const SERVER_PAUSE: Duration = Duration::from_millis(150);

/// Shortest pause after news of the system's own rows, so that changes that come one by one are read together.
const CHANGE_PAUSE: Duration = Duration::from_millis(10);

/// Follows one table until the process ends, while this node follows the store.
pub async fn follow(node: Arc<EntryNode>, table: &'static str) {
    let mut known: Option<u64> = None;
    let mut failures = 0;
    loop {
        if !node.levels.is_direct() {
            known = None;
            node.levels.wait_direct().await;
        }
        if levels::is_unread(&node, table) {
            known = None;
        }
        let asked_at = node.now();
        let step = match known {
            None => read_whole(&node, table).await.map(Some),
            Some(after) => watch_once(&node, table, after).await,
        };
        match step {
            Ok(version) => {
                if table == tables::STATE {
                    node.suspects.set_cut_off(false);
                    node.job_end_freshness.lock().unwrap().record_answer(asked_at);
                }
                node.registry.lock().unwrap().store_regained(node.now());
                if version.is_none() {
                    logs::write(event::HISTORY_LOST, &[("table", &table)]);
                }
                known = version;
                node.levels.taken_in(table, asked_at, version);
                failures = 0;
                clock::sleep(pause_between(&node, table)).await;
            }
            Err(error) => {
                if table == tables::STATE {
                    node.suspects.set_cut_off(true);
                    node.job_end_freshness.lock().unwrap().record_failure();
                }
                node.levels.failed();
                // A store that refuses for a rate is there, and entries do not lapse by that.
                if error != StoreError::RateLimited {
                    node.registry.lock().unwrap().store_lost();
                }
                failures += 1;
                node.store.wait_before_retry(error, failures, failure_backoff(failures, rand::random())).await;
            }
        }
    }
}

/// Returns the pause before a table is watched again. The operator's rows change seldom.
fn pause_between(node: &EntryNode, table: &str) -> Duration {
    let followers = node.levels.followers().map_or_else(|| node.peers.count(), |followers| followers.len());
    let paced = watch_interval(followers, node.settings.store_reads_per_s).max(CHANGE_PAUSE);
    match table {
        platform::OPERATOR_TABLE => Duration::ZERO,
        platform::SERVER_TABLE => paced.max(SERVER_PAUSE),
        _ => paced,
    }
}

async fn watch_once(node: &Arc<EntryNode>, table: &str, after: u64) -> Result<Option<u64>, StoreError> {
    let call = StoreCall::Watch { table: table.into(), after, wait_ms: WATCH_WAIT_MS };
    match node.store.call(&call).await? {
        StoreReply::Rows { rows, moment, .. } => {
            let newest = rows.iter().map(|row| row.version).max().unwrap_or(0);
            apply_rows(node, table, rows);
            Ok(Some(after.max(moment.version).max(newest)))
        }
        StoreReply::HistoryLost => Ok(None),
        _ => Err(StoreError::Unknown),
    }
}

/// Reads the newest configuration from the store.
pub async fn read_configuration(node: &Arc<EntryNode>) -> Result<(), StoreError> {
    let key: Name = platform::CONFIG_KEY.into();
    let call = StoreCall::Read {
        table: platform::OPERATOR_TABLE.into(),
        partition: "".into(),
        to: format!("{key}\u{1}").into(),
        from: key,
        limit: 1,
    };
    match node.store.call(&call).await? {
        StoreReply::Rows { rows, .. } => {
            apply_rows(node, platform::OPERATOR_TABLE, rows);
            Ok(())
        }
        _ => Err(StoreError::Unknown),
    }
}

/// Reads a table whole and returns the version from which changes are to be followed.
async fn read_whole(node: &Arc<EntryNode>, table: &'static str) -> Result<u64, StoreError> {
    let (partitions, version) = list_partitions(node, table).await?;
    if table == tables::STATE {
        node.forget_missing_jobs(&partitions, version);
    }
    let wanted = partitions.into_iter().filter(|partition| table != tables::STATE || !is_over(node, partition));
    let reads = wanted.map(|partition| async move { tables::read_all(&node.store, table, &partition).await });
    let pages: Vec<Vec<StoredRow>> = stream::iter(reads).buffer_unordered(READS_AT_ONCE).try_collect().await?;
    let all: Vec<StoredRow> = pages.into_iter().flatten().collect();
    match table {
        platform::SERVER_TABLE => server_feed::replace(node, all),
        tables::STATE => {
            feed_relay::pass_on_whole(node, table, &all);
            let registered = all.iter().filter(|row| is_node_partition(&row.partition)).map(|row| row.key.clone());
            let registered: Vec<Name> = registered.collect();
            node.peers.forget_missing(&registered, version);
            let was_registered = node.is_registered.load(Ordering::Relaxed);
            if was_registered && !registered.contains(&node.settings.name) {
                node.row_missing.notify_one();
            }
            apply_rows(node, table, all);
            node.has_read_state.store(true, Ordering::Relaxed);
        }
        _ => {
            feed_relay::pass_on_whole(node, table, &all);
            apply_rows(node, table, all);
        }
    }
    Ok(version)
}

/// Returns whether a partition is that of a job whose rows do not change any more, as far as this
/// node knows. Ended jobs stay for a while, and reading all of them again would take seconds.
fn is_over(node: &EntryNode, partition: &str) -> bool {
    node.job(partition).is_some_and(|view| view.is_ended || view.record.is_complete())
}

async fn list_partitions(node: &Arc<EntryNode>, table: &str) -> Result<(Vec<Name>, u64), StoreError> {
    let (mut all, mut version): (Vec<Name>, Option<u64>) = (Vec::new(), None);
    loop {
        let after = all.last().cloned().unwrap_or_else(|| "".into());
        match node.store.call(&StoreCall::Partitions { table: table.into(), after }).await? {
            StoreReply::Partitions { names, more, moment } => {
                version.get_or_insert(moment.version);
                let is_over = !more || names.is_empty();
                all.extend(names);
                if is_over {
                    return Ok((all, version.unwrap_or(0)));
                }
            }
            _ => return Err(StoreError::Unknown),
        }
    }
}

/// Takes over changed rows of a table.
pub fn apply_rows(node: &Arc<EntryNode>, table: &str, rows: Vec<StoredRow>) {
    if table != platform::SERVER_TABLE {
        feed_relay::pass_on(node, table, &rows);
    }
    match table {
        platform::OPERATOR_TABLE => rows.iter().for_each(|row| apply_operator_row(node, row)),
        platform::SERVER_TABLE => server_feed::apply_rows(node, rows),
        _ => rows.iter().for_each(|row| apply_state_row(node, row)),
    }
}

fn apply_operator_row(node: &Arc<EntryNode>, row: &StoredRow) {
    match platform::decode_operator_row(row) {
        Ok(platform::OperatorRow::Routing(table)) => {
            let mut routing = node.routing.write().unwrap();
            // Only forward: a stale read must not bring an older configuration back.
            if routing.as_ref().is_none_or(|held| held.version < table.version) {
                let fields: [(&str, &dyn std::fmt::Display); 2] = [("version", &table.version), ("row", &row.version)];
                logs::write(event::ROUTING_APPLIED, &fields);
                let table = Arc::new(table);
                *routing = Some(table.clone());
                drop(routing);
                node.balancer.lock().unwrap().memory.set_capacities(&table);
                compare_shared_servers(node, &table);
            }
        }
        Ok(platform::OperatorRow::Weights { model, version }) => {
            if node.weights.record_published_version(&model, version) {
                logs::write(event::WEIGHTS_TARGETED, &[("model", &model), ("version", &version)]);
            }
        }
        Ok(platform::OperatorRow::Other) => {}
        Err(error) => logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]),
    }
}

/// Has the servers compared of plain services that several customers share: one that is slow takes room from
/// all of them.
fn compare_shared_servers(node: &EntryNode, table: &RoutingTable) {
    if table.customers.is_none() {
        return;
    }
    let mut balancer = node.balancer.lock().unwrap();
    for service in table.services.values().filter(|service| service.models.is_empty()) {
        balancer.compare_servers(&service.name);
    }
}

fn apply_state_row(node: &Arc<EntryNode>, row: &StoredRow) {
    let applied = match &*row.partition {
        partition if is_node_partition(partition) => apply_node_row(node, row),
        tables::ENGINES => apply_engine_row(node, row),
        tables::LEASES => apply_lease_row(node, row),
        tables::SUSPECTS => suspects::apply_row(node, row),
        _ => apply_job_row(node, row),
    };
    if let Err(error) = applied {
        logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]);
    }
}

fn apply_node_row(node: &Arc<EntryNode>, row: &StoredRow) -> Result<(), StoreError> {
    let peer = if row.removed { None } else { Some(tables::decode(&row.value)?) };
    node.peers.put(&row.key, row.version, peer);
    if row.removed && row.key == node.settings.name {
        node.row_missing.notify_one();
    }
    Ok(())
}

fn apply_engine_row(node: &Arc<EntryNode>, row: &StoredRow) -> Result<(), StoreError> {
    if row.removed {
        node.weights.set_assignment(&row.key, None);
        node.balancer.lock().unwrap().assign(&row.key, None);
        return Ok(());
    }
    learn_assignment(node, &row.key, tables::decode(&row.value)?);
    Ok(())
}

/// Takes over what an engine was ordered: it takes no new work until it holds the version.
pub fn learn_assignment(node: &Arc<EntryNode>, instance: &Name, assignment: EngineAssignment) {
    node.balancer.lock().unwrap().assign(instance, Some(&assignment.model));
    server_feed::hold_assigned(node, instance, &assignment.model);
    if assignment.version > 0 {
        let age = Duration::from_millis(node.store.clock_ms().saturating_sub(assignment.ordered_ms));
        let until = node.now() + Duration::from_millis(assignment.load_ms).saturating_sub(age);
        node.balancer.lock().unwrap().record_loading(instance, &assignment.model, assignment.version, until);
    }
    node.weights.set_assignment(instance, Some(assignment));
}

fn apply_lease_row(node: &Arc<EntryNode>, row: &StoredRow) -> Result<(), StoreError> {
    let lease = if row.removed { None } else { Some(tables::decode(&row.value)?) };
    node.lease.merge_row(row.version, lease);
    Ok(())
}

fn apply_job_row(node: &Arc<EntryNode>, row: &StoredRow) -> Result<(), StoreError> {
    match (&*row.key, row.removed) {
        (tables::JOB_RECORD, false) => node.merge_job_record(tables::decode(&row.value)?, row.version, &row.partition),
        (tables::JOB_END, false) => node.record_job_end(&row.partition),
        (tables::JOB_RECORD, true) => node.forget_job(&row.partition),
        _ => {}
    }
    Ok(())
}
