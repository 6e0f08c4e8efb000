//! Tests of the lease on weight orders: an engine is ordered by one holder at a time.

use super::support::*;
use std::time::{Duration, Instant};

/// Time for which a new holder orders nothing from engines that its predecessor ordered.
const HANDOVER: Duration = Duration::from_secs(6);

/// All nodes are killed and restart at the same moment, so the lease is free. Without ranks all of them would
/// write the lease row at once; at most two writes may conflict.
#[test]
fn nodes_that_start_together_do_not_all_write_the_lease() {
    let platform = Platform::start();
    let mut daemons = vec![EntryDaemon::start("a", &platform.store, &[])];
    for name in ["b", "c", "d", "e", "f"] {
        daemons.push(EntryDaemon::start(name, &platform.store, &[&daemons[0].peer]));
    }
    eventually("a node holds the lease", || platform.store.row_count("state", "leases") == 1);
    let before = platform.store.conflicts("leases");
    for daemon in &mut daemons {
        daemon.signal("-KILL");
        daemon.wait_end();
    }
    daemons.iter_mut().for_each(EntryDaemon::restart);
    platform.publish_version(2);
    eventually("the engines are ordered", || platform.engine.orders.lock().unwrap().len() == 2);
    let conflicts = platform.store.conflicts("leases") - before;
    assert!(conflicts <= 2, "{conflicts} writes of the lease by six nodes conflicted");
}

/// The watches deliver nothing, so the second node does not see the latest orders of the first one. When it
/// takes the lease, it must still wait for the handover time after the last of them.
#[test]
fn a_new_holder_whose_watch_is_silent_knows_its_predecessors_orders() {
    let platform = Platform::start();
    let settings = DaemonSettings {
        store: platform.store.address.to_string(),
        order_handover_ms: HANDOVER.as_millis() as u64,
        ..DaemonSettings::default()
    };
    let mut first = EntryDaemon::start_with("a", &settings);
    eventually("the first node holds the lease", || platform.store.row_count("state", "leases") == 1);
    let _second = EntryDaemon::start_with("b", &settings);
    let orders = || platform.engine.orders.lock().unwrap().clone();
    platform.publish_version(2);
    eventually("both engines are ordered", || orders().len() == 2);
    // By the orders that the second node still sees, its wait would be over.
    std::thread::sleep(HANDOVER / 2);
    platform.store.silence_watches(Some("state"));
    platform.publish_version(3);
    eventually("both engines are ordered again", || orders().len() == 4);
    first.signal("-KILL");
    first.wait_end();
    let killed_at = Instant::now();
    platform.publish_version(4);
    eventually("the second node orders them", || orders().len() == 6);
    for order in &orders()[4..] {
        assert_eq!((order.holder.as_str(), order.fence, order.version), ("b", 2, 4));
        let last = orders().iter().rfind(|other| other.engine == order.engine && other.holder == "a").unwrap().at;
        assert!(order.at - last >= HANDOVER, "{:?} after the last order of the previous holder", order.at - last);
    }
    assert!(killed_at.elapsed() < WAIT_TIMEOUT);
}

/// The lease holder polls an engine for its report and gets no answer. The other engine must be ordered
/// before that poll times out.
#[test]
fn an_unresponsive_engine_does_not_delay_orders_to_others() {
    let platform = Platform::start();
    platform.engine.unanswered_reports.store(1, std::sync::atomic::Ordering::SeqCst);
    let _daemon = EntryDaemon::start("a", &platform.store, &[]);
    eventually("the node holds the lease", || platform.store.row_count("state", "leases") == 1);
    platform.publish_version(2);
    eventually("the poll is given up", || !platform.engine.abandoned_reports.lock().unwrap().is_empty());
    let orders = platform.engine.orders.lock().unwrap().clone();
    let given_up = platform.engine.abandoned_reports.lock().unwrap()[0];
    assert!(orders.iter().any(|order| order.engine == "i-engine-1" && order.at < given_up), "{orders:?}");
}
