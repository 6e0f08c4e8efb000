//! A planned stop of an entry node: it reports that it is not ready, hands its jobs over and lets requests finish.

use super::node::EntryNode;
use super::tables;
use crate::process::clock;
use crate::process::logs;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use trestlerack::event;
use trestlerack::process::node_partition;
use trestlerack::rows::{RowStore, RowTransaction, StoreCall};

/// Time between reporting not ready and closing clients' connections: the platform checks readiness once a second
/// and sends new connections until two responses say that the node is not ready.
const NOT_READY_TIME: Duration = Duration::from_millis(2_600);

/// Time before the platform kills the process at which it exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// Interval between two checks of the remaining connections and jobs.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Stops the node: hands its jobs over, removes its row, and waits until connections and jobs have ended, at most
/// until [`EXIT_MARGIN`] before the limit.
pub async fn stop_as_planned(node: &Arc<EntryNode>) {
    let started = node.now();
    let time_limit = node.live_settings().stop_limit.saturating_sub(EXIT_MARGIN);
    let connections = || node.client_connections.load(Ordering::Relaxed);
    let jobs = || node.drivers.lock().unwrap().len();
    logs::write(event::STOP_BEGUN, &[("in_progress", &connections()), ("jobs", &jobs())]);
    node.stopping.send_replace(true);
    node.job_changes.send_modify(|count| *count += 1);
    for driver in node.drivers.lock().unwrap().values() {
        driver.hand_over();
    }
    let unregister =
        RowTransaction::new(node_partition(&node.settings.name)).remove(tables::STATE, &node.settings.name);
    if let Err(error) = node.store.call(&StoreCall::Commit(unregister)).await {
        logs::write(event::ROW_REFUSED, &[("key", &node.settings.name), ("why", &error)]);
    }
    while node.now().since(started) < NOT_READY_TIME {
        clock::sleep(POLL_INTERVAL).await;
    }
    node.closing.send_replace(true);
    while connections() + jobs() > 0 && node.now().since(started) < time_limit {
        clock::sleep(POLL_INTERVAL).await;
    }
    let remaining = connections() + jobs();
    if remaining > 0 {
        logs::write(event::STOP_OVERRUN, &[("left", &remaining)]);
    } else {
        logs::write(event::STOP_ENDED, &[("node", &node.settings.name)]);
    }
}
