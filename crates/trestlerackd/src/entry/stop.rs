//! A planned stop of an entry node: not ready, jobs handed over, then the end of every request.

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

/// Time between saying "not ready" and ending clients' connections: the platform asks once a
/// second and sends new connections until two answers said so.
const NOT_READY_TIME: Duration = Duration::from_millis(2_600);

/// Time before the kill at which the process ends by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(700);

/// Interval between two looks at what is left.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Stops as planned.
pub async fn stop_as_planned(node: &Arc<EntryNode>) {
    let started = node.now();
    let limit = node.live_settings().stop_limit.saturating_sub(EXIT_MARGIN);
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
        clock::sleep(LOOK_INTERVAL).await;
    }
    node.closing.send_replace(true);
    while connections() + jobs() > 0 && node.now().since(started) < limit {
        clock::sleep(LOOK_INTERVAL).await;
    }
    let left = connections() + jobs();
    if left > 0 {
        logs::write(event::STOP_OVERRUN, &[("left", &left)]);
    } else {
        logs::write(event::STOP_ENDED, &[("node", &node.settings.name)]);
    }
}
