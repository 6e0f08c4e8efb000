//! The entry service: trestlerack on the users' platform.
//!
//! All nodes have the same role. Each serves clients, drives the batch jobs that it accepted or took
//! over, relays store calls for peers, and may hold the lease on weight orders. Durable state is in
//! the platform's store; see [docs/PLATFORM.md](../../../../docs/PLATFORM.md).

mod admission;
mod attempt;
mod attempts;
mod callers;
mod choice_log;
mod client_connections;
mod client_requests;
mod cold;
mod crash_detection;
mod drive_mode;
mod drive_permit;
mod duties;
mod engine_calls;
mod engine_memory;
mod engine_priority;
mod evacuations;
mod feed_relay;
mod follower_state;
mod hedging;
mod in_flight;
mod item_run;
mod job_accept;
mod job_calls;
mod job_config;
mod job_driver;
mod job_records;
mod job_runs;
mod job_scores;
mod job_takeover;
mod job_texts;
mod lease_cache;
mod load_gossip;
mod metrics;
mod node;
mod order_lease;
mod peer_traffic;
mod peers;
mod placement;
mod plain;
mod pool;
mod readiness;
mod region_traffic;
mod regions;
mod request_history;
mod resource_limits;
mod response_meter;
mod result_pages;
mod retention;
mod run_moves;
mod score_calls;
mod score_servers;
mod server_discovery;
mod server_responses;
mod shares;
mod starting_jobs;
mod status;
mod stop;
mod store;
mod streams;
mod suspects;
mod table_watch;
mod tables;

mod weight_orders;
mod weight_state;

use crate::process::clock;
use crate::process::logs;
use anyhow::Context;
use node::{EntryNode, LiveSettings};
use placement::TakeoverView;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use trestlerack::process::{EntrySettings, failure_backoff, node_partition};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::{Name, event};
use trestlerack_platform as platform;

/// Interval between two searches for idle connections to close.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Serves until SIGTERM or SIGINT, then stops gracefully.
///
/// # Errors
///
/// Fails if an address cannot be bound, or if signal handlers, metrics or tracing cannot be set up.
pub async fn run(settings: EntrySettings, settings_file: String) -> anyhow::Result<()> {
    let clients = bind(&settings.client_listen).await?;
    let readiness = bind(&settings.ready_listen).await?;
    let peer_calls = bind(&settings.peer_listen).await?;
    let metrics_calls =
        if settings.metrics_listen.is_empty() { None } else { Some(bind(&settings.metrics_listen).await?) };
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let hangup = signal(SignalKind::hangup())?;
    let node = Arc::new(EntryNode::open(settings)?);
    node.pool.observe(Arc::new(server_responses::StrayBytesRecorder::new(&node)));
    logs::write(event::NODE_STARTED, &[("node", &node.settings.name), ("zone", &node.settings.zone)]);
    tokio::spawn(client_connections::serve(node.clone(), clients));
    tokio::spawn(readiness::serve(node.clone(), readiness));
    tokio::spawn(peers::serve(node.clone(), peer_calls));
    if let Some(listener) = metrics_calls {
        tokio::spawn(metrics::serve(node.clone(), listener));
    }
    for table in [platform::OPERATOR_TABLE, platform::SERVER_TABLE, tables::STATE] {
        tokio::spawn(table_watch::follow_table(node.clone(), table));
    }
    tokio::spawn(feed_relay::maintain_role(node.clone()));
    tokio::spawn(log_suspensions(node.clone()));
    tokio::spawn(update_cold_limits(node.clone()));
    tokio::spawn(keep_registered(node.clone()));
    tokio::spawn(probe_store(node.clone()));
    if node.regions.own.is_some() {
        let node = node.clone();
        let unreachable_zones = move || node.balancer.lock().unwrap().unreachable_zones();
        tokio::spawn(regions::log_unreachable_zones(unreachable_zones));
    }
    tokio::spawn(job_takeover::watch_owners(node.clone()));
    let (peers, waiting_jobs, reserved_node) = (node.peers.clone(), node.waiting_jobs.clone(), node.clone());
    tokio::spawn(async move {
        let node = &reserved_node;
        let reserved_jobs = || {
            let routing = node.routing().filter(|routing| routing.has_restricted_placements());
            // A node that does not follow the store sees no change of a job in time.
            let Some(routing) = routing.filter(|_| node.follower.is_direct() && !node.is_stopping()) else {
                return Vec::new();
            };
            let view = TakeoverView {
                routing: &routing,
                zones: &node.regions.zones,
                own_name: &node.settings.name,
                own_zone: &node.settings.zone,
                nodes: &node.peers.zones(),
            };
            let jobs = job_takeover::open_jobs(node).into_iter();
            jobs.filter_map(|(job, job_view)| {
                view.reserved_job(job, job_view.record, node.now().since(job_view.changed_at))
            })
            .collect()
        };
        let probe_owner = |address: Name, job: Name| {
            let peers = peers.clone();
            async move { peers.is_driving(&address, &job).await }
        };
        placement::report_waiting_jobs(&waiting_jobs, probe_owner, reserved_jobs).await;
    });
    tokio::spawn(order_lease::run(node.clone()));
    duties::start(&node);
    tokio::spawn(close_idle_connections(node.clone()));
    tokio::spawn(retention::sweep(node.clone()));
    tokio::spawn(suspects::read_at_start(node.clone()));
    tokio::spawn(suspects::store_reports(node.clone()));
    tokio::spawn(suspects::send_to_peers(node.clone()));
    tokio::spawn(suspects::pull_from_peers(node.clone()));
    tokio::spawn(load_gossip::observations::send_to_peers(node.clone()));
    tokio::spawn(load_gossip::report_usage(node.clone()));
    tokio::spawn(reload(node.clone(), hangup, settings_file));
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop::stop_as_planned(&node).await;
    if let Some(tracer) = &node.tracer {
        tracer.close();
    }
    Ok(())
}

/// Logs each suspension of the VM, and marks the watch of the state table as cut off until it delivers again,
/// because messages of peers and the store were missed meanwhile.
async fn log_suspensions(node: Arc<EntryNode>) {
    let resumed = |suspended: Duration| {
        logs::log_suspension(suspended);
        node.suspects.set_watch_down(true);
        node.balancer.lock().unwrap().cold.record_resumption(node.now());
    };
    clock::watch_suspensions(resumed).await;
}

/// Keeps the limits of requests to cold engines up to date with the drivers of jobs and the registered nodes.
async fn update_cold_limits(node: Arc<EntryNode>) {
    loop {
        node.cold.wait_for_limit(&node.balancer).await;
        let (drivers, nodes) = (node.job_drivers(), node.peers.names());
        node.cold.update(&node.balancer, node.now(), drivers, nodes);
        clock::sleep(cold::UPDATE_INTERVAL).await;
    }
}

async fn bind(address: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

/// Keeps this node's registration row in the store. A peer that could not reach this node may have
/// removed the row.
async fn keep_registered(node: Arc<EntryNode>) {
    loop {
        register(&node).await;
        node.row_missing.notified().await;
        if node.is_stopping() {
            return;
        }
    }
}

/// Writes this node's registration row, and retries until the store has it.
async fn register(node: &Arc<EntryNode>) {
    if node.regions.zones.has_several_regions() {
        let latency = node.direct_store.measure_latency().await;
        let latency_ms = latency.map_or(0, |latency| u32::try_from(latency.as_millis()).unwrap_or(u32::MAX));
        node.store_latency_ms.store(latency_ms, Ordering::Relaxed);
    }
    let row = tables::encode(&node.node_row());
    let partition = node_partition(&node.settings.name);
    let transaction = RowTransaction::new(partition).put(tables::STATE, &node.settings.name, row);
    let call = StoreCall::Commit(transaction);
    let mut failures = 0;
    loop {
        match node.store.call(&call).await {
            Ok(StoreReply::Committed(commit)) => {
                node.registered_version.store(commit.version, Ordering::Relaxed);
                break;
            }
            Ok(_) => break,
            Err(error) => {
                failures += 1;
                node.store.wait_before_retry(error, failures, failure_backoff(failures, rand::random())).await;
            }
        }
    }
    node.is_registered.store(true, Ordering::Relaxed);
}

async fn probe_store(node: Arc<EntryNode>) {
    node.store.probe_direct().await;
}

async fn close_idle_connections(node: Arc<EntryNode>) {
    loop {
        clock::sleep(IDLE_CHECK_INTERVAL).await;
        node.pool.expire();
    }
}

/// Reads the settings file again on SIGHUP. Seeds and live settings take effect immediately, and the
/// log says whether other changes need a restart.
async fn reload(node: Arc<EntryNode>, mut hangup: tokio::signal::unix::Signal, file: String) {
    while hangup.recv().await.is_some() {
        match crate::read_entry_settings(&file) {
            Ok(settings) => {
                *node.live_settings.write().unwrap() = LiveSettings::from(&settings);
                node.peers.set_seeds(settings.seeds.clone());
                let needs_restart = needs_restart(&node.settings, &settings);
                logs::write(event::SETTINGS_RELOADED, &[("file", &file), ("needs_restart", &needs_restart)]);
            }
            Err(error) => logs::write(event::SETTINGS_REFUSED, &[("file", &file), ("why", &format!("{error:#}"))]),
        }
    }
}

/// Returns whether a setting changed that takes effect only after a restart.
fn needs_restart(current: &EntrySettings, reloaded: &EntrySettings) -> bool {
    let live = EntrySettings {
        seeds: reloaded.seeds.clone(),
        stop_limit_s: reloaded.stop_limit_s,
        order_handover_ms: reloaded.order_handover_ms,
        ..current.clone()
    };
    live != *reloaded
}
