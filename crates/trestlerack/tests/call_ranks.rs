//! The order of calls while a service is overloaded, and the estimated wait of a service.

#[path = "support/load.rs"]
mod load;

use load::{balancer_of, plain_server, safe_route};
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::CallRank;
use trestlerack::version::Customer;

#[test]
fn calls_are_ordered_by_priority_then_share_then_deadline() {
    let customer = |priority| Customer { name: "c".into(), priority, ..Customer::default() };
    let rank = |customer: &Customer, route_priority, is_over, deadline| {
        CallRank::new(Some(customer), &safe_route(route_priority), is_over, Timestamp(deadline))
    };
    let (first, second, without_priority) = (customer(Some(0)), customer(Some(1)), customer(None));
    assert!(rank(&first, 9, true, 900) < rank(&second, 0, false, 100), "the customer's priority overrides the route's");
    assert!(
        rank(&without_priority, 0, true, 900) < rank(&second, 9, false, 100),
        "a customer without a priority uses the route's"
    );
    assert!(rank(&second, 0, false, 900) < rank(&second, 9, true, 100), "customers within their share come first");
    assert!(rank(&second, 0, true, 100) < rank(&second, 0, true, 101), "the earlier deadline comes first");
    assert!(CallRank::new(None, &safe_route(1), false, Timestamp(5)) < rank(&second, 9, false, 6));
}

#[test]
fn the_estimated_wait_is_zero_until_all_slots_are_taken() {
    let now = Timestamp(1_000);
    let mut balancer = balancer_of(&[plain_server("i-1", "s", "z", 2), plain_server("i-2", "s", "z", 2)]);
    for _ in 0..10 {
        balancer.record_latency(&"s".into(), Duration::from_millis(40));
    }
    let estimate = balancer.wait_estimate(now, "s");
    assert_eq!((estimate.wait, estimate.slots, estimate.free_slots), (Duration::ZERO, 4, 4));
    assert_eq!((estimate.service_time, estimate.load_age), (Duration::from_millis(40), None));
    balancer.record_load(now, "i-1", 2, 1);
    balancer.record_load(now, "i-2", 2, 0);
    let full = balancer.wait_estimate(now, "s");
    assert_eq!((full.free_slots, full.load_age), (0, Some(Duration::ZERO)));
    assert_eq!(full.wait, Duration::from_millis(20), "one call waits already, and a slot becomes free every 10 ms");
    assert_eq!(balancer.wait_estimate(now, "none").wait, Duration::MAX, "there are no servers");
}

#[test]
fn a_paused_service_opens_when_the_first_pause_of_its_servers_ends() {
    let now = Timestamp(1_000);
    let mut balancer = balancer_of(&["a", "b"].map(|name| plain_server(name, "s", "z", 4)));
    assert_eq!(balancer.available_at(now, "none"), None);
    let first_pause = balancer.failed(now, "a");
    balancer.failed(now + Duration::from_millis(50), "b");
    assert_eq!(balancer.available_at(now, "s"), Some(now + first_pause));
    assert_eq!(balancer.wait_estimate(now + Duration::from_millis(50), "s").slots, 0);
    assert_eq!(balancer.wait_estimate(now + first_pause, "s").slots, 4);
}

#[test]
fn a_draining_server_never_opens_the_service() {
    let mut draining = plain_server("a", "s", "z", 4);
    draining.is_draining = true;
    assert_eq!(balancer_of(&[draining]).available_at(Timestamp(1_000), "s"), None);
}
