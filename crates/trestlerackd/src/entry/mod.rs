//! The entry service: trestlerack on the users' platform.
//!
//! All nodes are alike. Each serves clients, drives the batch jobs that it accepted or took over,
//! relays store calls for peers, and may hold the lease on weight orders. What has to last is in
//! the platform's store; see [docs/PLATFORM.md](../../../../docs/PLATFORM.md).

mod admission;
mod attempt;
mod attempts;
mod callers;
mod choice_log;
mod client_connections;
mod crash_detection;
mod drive_mode;
mod duties;
mod engine_calls;
mod engine_memory;
mod engine_priority;
mod feed_relay;
mod follower_state;
mod front;
mod hedging;
mod in_flight;
mod item_run;
mod job_accept;
mod job_calls;
mod job_driver;
mod job_records;
mod job_runs;
mod job_scores;
mod job_takeover;
mod job_texts;
mod lease_book;
mod load_gossip;
mod metrics;
mod node;
mod order_lease;
mod peers;
mod plain;
mod pool;
mod readiness;
mod request_history;
mod resource_limits;
mod retention;
mod run_moves;
mod score_calls;
mod server_discovery;
mod server_responses;
mod shares;
mod status;
mod stop;
mod store;
mod streams;
mod suspects;
mod table_watch;
mod tables;

mod weight_book;
mod weights;

use crate::process::clock;
use crate::process::logs;
use anyhow::Context;
use node::{EntryBounds, EntryNode};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use trestlerack::event;
use trestlerack::process::{EntrySettings, failure_backoff, node_partition};
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack_platform as platform;

/// Interval at which idle connections are looked through.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Serves until a signal asks for a planned stop, and then stops as planned.
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
    tokio::spawn(note_suspensions(node.clone()));
    tokio::spawn(keep_registered(node.clone()));
    tokio::spawn(probe_store(node.clone()));
    tokio::spawn(job_takeover::watch_owners(node.clone()));
    tokio::spawn(order_lease::run(node.clone()));
    duties::start(&node);
    tokio::spawn(expire_connections(node.clone()));
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

/// Logs each time for which the VM was suspended. What peers and the store told meanwhile was missed.
async fn note_suspensions(node: Arc<EntryNode>) {
    let resumed = |suspended: Duration| {
        logs::log_suspension(suspended);
        node.suspects.set_watch_down(true);
    };
    clock::watch_suspensions(resumed).await;
}

async fn bind(address: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

/// Keeps the row by which peers find this node in the store. A peer that could not reach this node
/// may have removed it.
async fn keep_registered(node: Arc<EntryNode>) {
    loop {
        register(&node).await;
        node.unlisted.notified().await;
        if node.is_stopping() {
            return;
        }
    }
}

/// Writes the row by which peers find this node, until the store has it.
async fn register(node: &Arc<EntryNode>) {
    let row = tables::encode(&node.node_row());
    let partition = node_partition(&node.settings.name);
    let transaction = RowTransaction::new(partition).put(tables::STATE, &node.settings.name, row);
    let call = StoreCall::Commit(transaction);
    let mut failures = 0;
    loop {
        match node.store.call(&call).await {
            Ok(StoreReply::Committed(moment)) => {
                node.registered_at.store(moment.version, Ordering::Relaxed);
                break;
            }
            Ok(_) => break,
            Err(error) => {
                failures += 1;
                node.store.pause_after(error, failures, failure_backoff(failures, rand::random())).await;
            }
        }
    }
    node.is_registered.store(true, Ordering::Relaxed);
}

async fn probe_store(node: Arc<EntryNode>) {
    node.store.probe_direct().await;
}

async fn expire_connections(node: Arc<EntryNode>) {
    loop {
        clock::sleep(EXPIRE_INTERVAL).await;
        node.pool.expire();
    }
}

/// Reads the settings file again when told that it has changed: seeds and bounds take effect at
/// once, and the log says where a restart is needed.
async fn reload(node: Arc<EntryNode>, mut hangup: tokio::signal::unix::Signal, file: String) {
    while hangup.recv().await.is_some() {
        match crate::read_entry_settings(&file) {
            Ok(settings) => {
                *node.bounds.write().unwrap() = EntryBounds::from(&settings);
                node.peers.set_seeds(settings.seeds.clone());
                let needs_restart = needs_restart(&node.settings, &settings);
                logs::write(event::SETTINGS_RELOADED, &[("file", &file), ("needs_restart", &needs_restart)]);
            }
            Err(error) => logs::write(event::SETTINGS_REFUSED, &[("file", &file), ("why", &format!("{error:#}"))]),
        }
    }
}

/// Returns whether something changed that only a restart takes over.
fn needs_restart(held: &EntrySettings, read: &EntrySettings) -> bool {
    let live = EntrySettings {
        seeds: read.seeds.clone(),
        stop_limit_s: read.stop_limit_s,
        order_handover_ms: read.order_handover_ms,
        ..held.clone()
    };
    live != *read
}
