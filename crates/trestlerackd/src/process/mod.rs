//! State that lives as long as the process, and the background loops that use it.

pub mod clock;
pub mod groups_in_progress;
pub mod interval_limiter;
pub mod keys;
pub mod logs;
pub mod member_loop;
pub mod platform;
pub mod recorder;
pub mod rollout_loop;
pub mod spool;
pub mod step_loop;
pub mod stop;
pub mod telemetry;
pub mod tracing;

use crate::connection::{accept, link_server};
use crate::node::Node;
use crate::version::config_loop;
use anyhow::Context;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use trestlerack::event;

/// Serves until SIGTERM or SIGINT asks for a planned stop, and then carries it out.
pub async fn run(node: Arc<Node>) -> anyhow::Result<()> {
    let listener = bind(&node.settings.listen).await?;
    let link_listener = bind(&node.settings.link_listen).await?;
    write_addresses(&node, &listener, &link_listener)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let link_task = tokio::spawn(link_server::serve(node.clone(), link_listener));
    let loops = start_loops(&node);
    let server = tokio::spawn(accept::serve(node.clone(), listener));
    logs::write(event::NODE_STARTED, &[("node", node.name()), ("zone", &node.settings.zone)]);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    stop::run_planned_stop(&node).await;
    for task in loops {
        task.abort();
    }
    server.abort();
    link_task.abort();
    node.telemetry.close();
    Ok(())
}

fn start_loops(node: &Arc<Node>) -> Vec<tokio::task::JoinHandle<()>> {
    vec![
        tokio::spawn(member_loop::probe_peers(node.clone())),
        tokio::spawn(member_loop::follow_member_list(node.clone())),
        tokio::spawn(config_loop::follow_table(node.clone())),
        tokio::spawn(rollout_loop::maintain_leases(node.clone())),
        tokio::spawn(rollout_loop::poll_engines(node.clone())),
        tokio::spawn(step_loop::watch_steps(node.clone())),
        tokio::spawn(spool::drain(node.clone())),
        tokio::spawn(clock::watch_suspensions(logs::log_suspension)),
    ]
}

async fn bind(address: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| format!("cannot listen on {address}"))
}

/// Writes the bound addresses to a file, for a parent process that started the daemon on port 0. The
/// file is renamed into place, so that a reader never sees part of it.
fn write_addresses(node: &Node, listener: &TcpListener, link: &TcpListener) -> anyhow::Result<()> {
    let (listen, link) = (listener.local_addr()?, link.local_addr()?);
    node.membership.lock().unwrap().set_link(link.to_string().into());
    let file = &node.settings.address_file;
    if file.is_empty() {
        return Ok(());
    }
    let content = serde_json::json!({ "listen": listen.to_string(), "link": link.to_string() });
    let temporary_file = format!("{file}.draft");
    std::fs::write(&temporary_file, content.to_string()).with_context(|| format!("cannot write {temporary_file}"))?;
    std::fs::rename(&temporary_file, file).with_context(|| format!("cannot write {file}"))
}
