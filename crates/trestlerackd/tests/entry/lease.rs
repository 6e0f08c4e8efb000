//! The lease on weight orders: one holder at a time orders an engine.

use super::support::*;
use std::time::{Duration, Instant};

/// Time that a new holder leaves the engines of the one before alone in these tests.
const HANDOVER: Duration = Duration::from_secs(6);

/// All nodes are killed and start again at one moment. The lease is free then, and one of them takes
/// it: the others are behind it in line, and do not all write the same row.
#[test]
fn nodes_that_start_together_do_not_all_write_the_lease() {
    let platform = Platform::start();
    let mut daemons = vec![EntryDaemon::start("a", &platform.store, &[])];
    for name in ["b", "c", "d", "e", "f"] {
        daemons.push(EntryDaemon::start(name, &platform.store, &[&daemons[0].peer]));
    }
    eventually("a node holds the lease", || platform.store.count("state", "leases") == 1);
    let before = platform.store.conflicts("leases");
    for daemon in &mut daemons {
        daemon.signal("-KILL");
        daemon.wait_end();
    }
    daemons.iter_mut().for_each(EntryDaemon::restart);
    platform.publish_version(2);
    eventually("the engines are ordered", || platform.engine.orders.lock().unwrap().len() == 2);
    let conflicts = platform.store.conflicts("leases") - before;
    assert!(conflicts <= 2, "{conflicts} of six nodes wrote the lease in vain");
}

/// The second node hears nothing of the orders of the first one, because its watches are silent.
/// When it takes the lease it must know of them all the same.
#[test]
fn a_new_holder_whose_watch_is_silent_knows_the_orders_of_the_one_before() {
    let platform = Platform::start();
    let settings = DaemonSettings {
        store: platform.store.address.to_string(),
        order_handover_ms: HANDOVER.as_millis() as u64,
        ..DaemonSettings::default()
    };
    let mut first = EntryDaemon::start_with("a", &settings);
    eventually("the first node holds the lease", || platform.store.count("state", "leases") == 1);
    let _second = EntryDaemon::start_with("b", &settings);
    let orders = || platform.engine.orders.lock().unwrap().clone();
    platform.publish_version(2);
    eventually("both engines are ordered", || orders().len() == 2);
    // What the second node still hears of is so old that it would not wait by that.
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
        assert!(order.at - last >= HANDOVER, "{:?} after the last one of the first", order.at - last);
    }
    assert!(killed_at.elapsed() < PATIENCE);
}

/// The holder asks an engine for its report and gets no answer. The other engine is ordered
/// meanwhile.
#[test]
fn an_engine_that_does_not_answer_holds_up_no_order_to_another() {
    let platform = Platform::start();
    platform.engine.silent_reports.store(1, std::sync::atomic::Ordering::SeqCst);
    let _daemon = EntryDaemon::start("a", &platform.store, &[]);
    eventually("the node holds the lease", || platform.store.count("state", "leases") == 1);
    platform.publish_version(2);
    eventually("the question is given up", || !platform.engine.reports_given_up.lock().unwrap().is_empty());
    let orders = platform.engine.orders.lock().unwrap().clone();
    let given_up = platform.engine.reports_given_up.lock().unwrap()[0];
    assert!(orders.iter().any(|order| order.engine == "i-engine-1" && order.at < given_up), "{orders:?}");
}
