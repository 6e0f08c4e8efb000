//! Status page of admission control: the waiting and refused calls of each service.

use super::service_load;
use crate::entry::node::EntryNode;
use crate::entry::placement;
use serde::Serialize;
use std::collections::BTreeMap;
use trestlerack::Name;
use trestlerack::process::{RefusalReason, ServerSet};

/// Maximum number of customers that a row lists.
const MAX_LISTED_CUSTOMERS: usize = 5;

/// Maximum number of customers whose refusals are counted, per service.
const MAX_COUNTED_CUSTOMERS: usize = 256;

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
        if self.by_customer.len() < MAX_COUNTED_CUSTOMERS || self.by_customer.contains_key(customer) {
            *self.by_customer.entry(customer.clone()).or_default() += 1;
        }
    }
}

/// Row of the status page for one service, or for its servers in some zones.
#[derive(Serialize)]
pub struct AdmissionStatus {
    service: Name,
    /// Zones of the servers that the calls may use, separated by commas; empty for all.
    zones: String,
    waiting: usize,
    /// Priority of the first waiting call.
    first_priority: Option<u8>,
    #[serde(rename = "places")]
    slots: u32,
    #[serde(rename = "free")]
    free_slots: u32,
    /// Expected wait in milliseconds; `None` if no slot is expected to become free.
    wait_ms: Option<u64>,
    /// Age in milliseconds of the latest load that a server reported.
    #[serde(rename = "age_ms")]
    load_age_ms: Option<u64>,
    /// Customers with the most waiting calls, with their numbers.
    waiting_customers: String,
    /// Number of refusals by reason.
    refused: String,
    /// Customers with the most refusals, with their numbers.
    refused_customers: String,
}

/// Returns a row for each queue of this node.
pub fn status(node: &EntryNode) -> Vec<AdmissionStatus> {
    let mut sets: Vec<ServerSet> = node.admission.queues().keys().cloned().collect();
    sets.sort();
    sets.into_iter().map(|server_set| set_status(node, &server_set)).collect()
}

fn set_status(node: &EntryNode, server_set: &ServerSet) -> AdmissionStatus {
    let estimate = service_load(node, server_set).estimate;
    let millis = |time: std::time::Duration| u64::try_from(time.as_millis()).ok();
    node.admission.with_queue(server_set, |service_queue| {
        let mut waiting_customers: BTreeMap<Name, u64> = BTreeMap::new();
        for customer in service_queue.queue.calls().filter_map(|call| call.customer.clone()) {
            *waiting_customers.entry(customer).or_default() += 1;
        }
        let refused =
            service_queue.counts.by_reason.iter().map(|(reason, count)| format!("{}:{count}", reason.as_str()));
        AdmissionStatus {
            service: server_set.service.clone(),
            zones: placement::zone_list(server_set),
            waiting: service_queue.queue.len(),
            first_priority: service_queue.queue.calls().next().map(|call| call.rank.priority),
            slots: estimate.slots,
            free_slots: estimate.free_slots,
            wait_ms: millis(estimate.wait),
            load_age_ms: estimate.load_age.and_then(millis),
            waiting_customers: highest_counts(&waiting_customers),
            refused: refused.collect::<Vec<_>>().join(", "),
            refused_customers: highest_counts(&service_queue.counts.by_customer),
        }
    })
}

/// Returns the customers with the highest counts, as `name:count` separated by commas.
fn highest_counts(counts: &BTreeMap<Name, u64>) -> String {
    let mut counts: Vec<(&Name, u64)> = counts.iter().map(|(name, count)| (name, *count)).collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let listed = counts.into_iter().take(MAX_LISTED_CUSTOMERS).map(|(name, count)| format!("{name}:{count}"));
    listed.collect::<Vec<_>>().join(", ")
}
