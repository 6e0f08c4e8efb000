//! What operators are told of room: by service who waits, who is refused and why.

use super::view;
use crate::entry::node::EntryNode;
use serde::Serialize;
use std::collections::BTreeMap;
use trestlerack::Name;
use trestlerack::process::RefusalReason;

/// Customers that a line names at most.
const NAMED_CUSTOMERS: usize = 5;

/// Customers whose refusals are counted at most.
const COUNTED_CUSTOMERS: usize = 256;

/// Refusals of one service since the node started.
#[derive(Debug, Default)]
pub struct RefusalCounts {
    by_reason: BTreeMap<RefusalReason, u64>,
    by_customer: BTreeMap<Name, u64>,
}

impl RefusalCounts {
    /// Counts a refusal.
    pub fn add(&mut self, reason: RefusalReason, customer: Option<&Name>) {
        *self.by_reason.entry(reason).or_default() += 1;
        let Some(customer) = customer else { return };
        if self.by_customer.len() < COUNTED_CUSTOMERS || self.by_customer.contains_key(customer) {
            *self.by_customer.entry(customer.clone()).or_default() += 1;
        }
    }
}

/// A line on one service.
#[derive(Serialize)]
pub struct RoomLine {
    service: Name,
    waiting: usize,
    /// Priority of the first one that waits.
    first_priority: Option<u8>,
    places: u32,
    free: u32,
    /// Expected wait; `None` while no place is in sight.
    wait_ms: Option<u64>,
    /// Age of the youngest load that a server stated.
    age_ms: Option<u64>,
    /// Customers with most calls that wait, with how many.
    waiting_customers: String,
    /// Refusals by reason.
    refused: String,
    /// Customers with most refusals, with how many.
    refused_customers: String,
}

/// Returns a line for each service for which calls were admitted here.
pub fn lines(node: &EntryNode) -> Vec<RoomLine> {
    let mut services: Vec<Name> = node.room.queues().keys().cloned().collect();
    services.sort();
    services.into_iter().map(|service| line(node, service)).collect()
}

fn line(node: &EntryNode, service: Name) -> RoomLine {
    let estimate = view(node, &service).estimate;
    let millis = |time: std::time::Duration| u64::try_from(time.as_millis()).ok();
    node.room.with_queue(&service, |held| {
        let mut waiting_customers: BTreeMap<Name, u64> = BTreeMap::new();
        for customer in held.queue.calls().filter_map(|call| call.customer.clone()) {
            *waiting_customers.entry(customer).or_default() += 1;
        }
        let refused = held.counts.by_reason.iter().map(|(reason, count)| format!("{}:{count}", reason.as_str()));
        RoomLine {
            service: service.clone(),
            waiting: held.queue.len(),
            first_priority: held.queue.calls().next().map(|call| call.rank.priority),
            places: estimate.slots,
            free: estimate.free_slots,
            wait_ms: millis(estimate.wait),
            age_ms: estimate.load_age.and_then(millis),
            waiting_customers: most(&waiting_customers),
            refused: refused.collect::<Vec<_>>().join(", "),
            refused_customers: most(&held.counts.by_customer),
        }
    })
}

/// Returns the customers with the highest counts.
fn most(counts: &BTreeMap<Name, u64>) -> String {
    let mut counts: Vec<(&Name, u64)> = counts.iter().map(|(name, count)| (name, *count)).collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let named = counts.into_iter().take(NAMED_CUSTOMERS).map(|(name, count)| format!("{name}:{count}"));
    named.collect::<Vec<_>>().join(", ")
}
