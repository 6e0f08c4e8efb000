//! Reads and watches the store's tables: the operator's, service discovery's and the system's own.

use super::evacuations::{self, ZoneUse};
use super::node::EntryNode;
use super::{admission, cold, feed_relay, follower_state, placement, server_discovery, suspects, tables};
use crate::process::clock;
use crate::process::logs;
use futures_util::{StreamExt, TryStreamExt, stream};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{EvacuationChange, EvacuationList, failure_backoff, is_node_partition, watch_interval};
use trestlerack::rows::{RowStore, StoreCall, StoreReply, StoredRow};
use trestlerack::version::{EngineAssignment, RoutingTable};
use trestlerack::{Name, event};
use trestlerack_platform as platform;

/// Time that a watch waits for changes, in milliseconds. A store that stops responding is noticed after this time.
const MAX_WATCH_WAIT_MS: u64 = 700;

/// Partitions that a full read of a table reads in parallel. A store that serves 2,000 reads a second at 4 ms each
/// has 8 in flight.
const MAX_PARALLEL_READS: usize = 8;

/// Minimum delay between watches of service discovery, whose entries change with each heartbeat. Requests must stop
/// reaching a draining server within two seconds.
const MIN_SERVER_DELAY: Duration = Duration::from_millis(150);

/// Minimum delay between watches of the system's own rows, so that changes that arrive one by one are read together.
const MIN_WATCH_DELAY: Duration = Duration::from_millis(10);

/// Reads and watches one table until the process ends; pauses while this node does not follow the store.
pub async fn follow_table(node: Arc<EntryNode>, table: &'static str) {
    let mut known_version: Option<u64> = None;
    let mut failures = 0;
    loop {
        if !node.follower.is_direct() {
            known_version = None;
            node.follower.wait_direct().await;
        }
        if follower_state::needs_full_read(&node, table) {
            known_version = None;
        }
        let requested_at = node.now();
        let result = match known_version {
            None => read_table(&node, table).await.map(Some),
            Some(after) => watch_once(&node, table, after).await,
        };
        match result {
            Ok(version) => {
                if table == tables::STATE {
                    node.suspects.set_watch_down(false);
                    // A watch that has lost its history shows nothing before the table is read again.
                    if version.is_some() {
                        node.job_end_freshness.lock().unwrap().record_answer(requested_at);
                        node.store_contact.lock().unwrap().record_answer(requested_at);
                    }
                }
                if table == platform::SERVER_TABLE {
                    node.balancer.lock().unwrap().cold.record_information(requested_at);
                }
                node.registry.lock().unwrap().store_regained(node.now());
                if version.is_none() {
                    logs::write(event::HISTORY_LOST, &[("table", &table)]);
                }
                known_version = version;
                node.follower.record_read(table, requested_at, version);
                failures = 0;
                clock::sleep(watch_delay(&node, table)).await;
            }
            Err(error) => {
                if table == tables::STATE {
                    node.suspects.set_watch_down(true);
                    node.job_end_freshness.lock().unwrap().record_failure();
                    node.store_contact.lock().unwrap().record_failure(requested_at);
                }
                node.follower.record_store_failure();
                // A store that rejects a call for its rate limit is available, and server entries do not expire
                // because of it.
                if error != StoreError::RateLimited {
                    node.registry.lock().unwrap().store_lost();
                }
                failures += 1;
                node.store.wait_before_retry(error, failures, failure_backoff(failures, rand::random())).await;
            }
        }
    }
}

/// Returns the delay before a table is watched again; none for the operator's rows, which change rarely.
fn watch_delay(node: &EntryNode, table: &str) -> Duration {
    let followers = node.follower.followers().map_or_else(|| node.peers.count(), |followers| followers.len());
    let interval = watch_interval(followers, node.settings.store_reads_per_s).max(MIN_WATCH_DELAY);
    match table {
        platform::OPERATOR_TABLE => Duration::ZERO,
        platform::SERVER_TABLE => interval.max(MIN_SERVER_DELAY),
        _ => interval,
    }
}

async fn watch_once(node: &Arc<EntryNode>, table: &str, after: u64) -> Result<Option<u64>, StoreError> {
    let call = StoreCall::Watch { table: table.into(), after, wait_ms: MAX_WATCH_WAIT_MS };
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

/// Reads all rows of a table and returns the version after which to watch for changes.
async fn read_table(node: &Arc<EntryNode>, table: &'static str) -> Result<u64, StoreError> {
    let (partitions, version) = list_partitions(node, table).await?;
    if table == tables::STATE {
        node.forget_missing_jobs(&partitions, version);
    }
    let selected =
        partitions.into_iter().filter(|partition| table != tables::STATE || !is_finished_job(node, partition));
    let reads = selected.map(|partition| async move { tables::read_all(&node.store, table, &partition).await });
    let pages: Vec<Vec<StoredRow>> = stream::iter(reads).buffer_unordered(MAX_PARALLEL_READS).try_collect().await?;
    let all: Vec<StoredRow> = pages.into_iter().flatten().collect();
    match table {
        platform::SERVER_TABLE => server_discovery::replace(node, all),
        tables::STATE => {
            feed_relay::relay_table(node, table, &all);
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
            // Before the configuration, so that no request is served without the evacuations.
            replace_evacuations(node, &EvacuationList { as_of: version, zones: evacuation_rows(&all) });
            feed_relay::relay_table(node, table, &all);
            apply_rows(node, table, all);
        }
    }
    Ok(version)
}

/// Returns whether a partition belongs to a job whose rows no longer change as far as this node knows. Ended jobs
/// are retained for a while, and reading all of them again would take seconds.
fn is_finished_job(node: &EntryNode, partition: &str) -> bool {
    node.job(partition).is_some_and(|view| view.is_ended || view.record.is_complete())
}

async fn list_partitions(node: &Arc<EntryNode>, table: &str) -> Result<(Vec<Name>, u64), StoreError> {
    let (mut all, mut version): (Vec<Name>, Option<u64>) = (Vec::new(), None);
    loop {
        let after = all.last().cloned().unwrap_or_else(|| "".into());
        match node.store.call(&StoreCall::Partitions { table: table.into(), after }).await? {
            StoreReply::Partitions { names, more, moment } => {
                version.get_or_insert(moment.version);
                let is_last_page = !more || names.is_empty();
                all.extend(names);
                if is_last_page {
                    return Ok((all, version.unwrap_or(0)));
                }
            }
            _ => return Err(StoreError::Unknown),
        }
    }
}

/// Applies changed rows of a table, and relays them except for those of service discovery.
pub fn apply_rows(node: &Arc<EntryNode>, table: &str, rows: Vec<StoredRow>) {
    if table != platform::SERVER_TABLE {
        feed_relay::relay_rows(node, table, &rows);
    }
    match table {
        platform::OPERATOR_TABLE => rows.iter().for_each(|row| apply_operator_row(node, row)),
        platform::SERVER_TABLE => server_discovery::apply_rows(node, rows),
        _ => rows.iter().for_each(|row| apply_state_row(node, row)),
    }
}

fn apply_operator_row(node: &Arc<EntryNode>, row: &StoredRow) {
    match platform::decode_operator_row(row) {
        Ok(platform::OperatorRow::Routing(table)) => {
            let mut routing = node.routing.write().unwrap();
            // A stale read must not restore an older configuration.
            if routing.as_ref().is_none_or(|current| current.version < table.version) {
                let fields: [(&str, &dyn std::fmt::Display); 2] = [("version", &table.version), ("row", &row.version)];
                logs::write(event::ROUTING_APPLIED, &fields);
                let table = Arc::new(table.with_zones(&node.regions.zones));
                *routing = Some(table.clone());
                drop(routing);
                placement::log_findings(&table, &node.regions.zones, &row.key);
                node.peers.limit_relays(
                    table.has_restricted_placements().then(|| node.regions.zones.zones_near(&node.settings.zone)),
                );
                node.balancer.lock().unwrap().memory.set_capacities(&table);
                server_discovery::set_cold_limits(node, &table);
                let invalid = platform::invalid_cold_start_fields(row).unwrap_or_default();
                invalid.iter().for_each(|field| cold::log_invalid_field(&row.key, field));
                compare_shared_servers(node, &table);
            }
        }
        Ok(platform::OperatorRow::Weights { model, version }) => {
            if node.weights.record_published_version(&model, version) {
                logs::write(event::WEIGHTS_TARGETED, &[("model", &model), ("version", &version)]);
            }
        }
        Ok(platform::OperatorRow::Evacuation { zone, is_active }) => {
            let changes = node.evacuations.apply_row(&node.balancer, &zone, row.version, is_active);
            handle_evacuations(node, changes);
        }
        Ok(platform::OperatorRow::Other) => {}
        Err(error) => logs::write(event::ROW_REFUSED, &[("key", &row.key), ("why", &error)]),
    }
}

/// Returns the evacuated zones of a full read of the operator's rows, with the versions of their rows.
fn evacuation_rows(rows: &[StoredRow]) -> BTreeMap<Name, u64> {
    let decode = |row: &StoredRow| match platform::decode_evacuation(row) {
        Some((zone, true)) => Some((zone, row.version)),
        _ => None,
    };
    rows.iter().filter_map(decode).collect()
}

/// Replaces the evacuated zones by a complete list. The end of an evacuation may show only in that its row is
/// missing.
pub fn replace_evacuations(node: &Arc<EntryNode>, list: &EvacuationList) {
    let changes = node.evacuations.replace(&node.balancer, list);
    handle_evacuations(node, changes);
}

/// Logs changes of the evacuated zones, and looks at the waiting calls again, which have other servers now.
fn handle_evacuations(node: &Arc<EntryNode>, changes: Vec<EvacuationChange>) {
    if changes.is_empty() {
        return;
    }
    node.evacuations.log_changes(&changes);
    admission::servers_changed(node);
    let zones = node.evacuations.zones();
    for service in node.routing().iter().flat_map(|routing| routing.services.keys()) {
        if node.evacuations.is_service_evacuated(&node.balancer, service, None) {
            evacuations::log_evacuated_service(&zones, service, 0);
        }
    }
    for change in changes.into_iter().filter(|change| change.is_active) {
        let (node, zone) = (node.clone(), change.zone.clone());
        tokio::spawn(evacuations::observe(change.zone, move || examine_zone(&node, &zone)));
    }
}

/// Returns the use of an evacuated zone; `None` while the servers or the nodes are not known yet.
fn examine_zone(node: &EntryNode, zone: &Name) -> Option<ZoneUse> {
    let is_read = |flag: &AtomicBool| flag.load(Ordering::Relaxed);
    if !is_read(&node.has_read_registry) || !is_read(&node.has_read_state) {
        return None;
    }
    let has_node = node.settings.zone == *zone || node.peers.rows(|_, row| row.zone == *zone).contains(&true);
    let has_server = node.registry.lock().unwrap().entries().any(|entry| entry.zone == *zone);
    Some(ZoneUse {
        // A node that polls a follower knows only the servers that it uses, but the counts of all.
        has_members: has_node || has_server || node.follower.counts().has_zone(zone),
        in_progress: node.balancer.lock().unwrap().in_flight_in_zone(zone),
        is_evacuated: node.evacuations.contains(zone),
    })
}

/// Enables comparison of server latencies for plain services that several customers share, because one slow server
/// takes capacity from all of them.
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
    apply_assignment(node, &row.key, tables::decode(&row.value)?);
    Ok(())
}

/// Applies the weight order of an engine, which gets no new work until it has loaded the ordered version.
pub fn apply_assignment(node: &Arc<EntryNode>, instance: &Name, assignment: EngineAssignment) {
    node.balancer.lock().unwrap().assign(instance, Some(&assignment.model));
    server_discovery::add_assigned_engine(node, instance, &assignment.model);
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
