//! Gossip of the usage of customers, and of the shares that are computed from it.

use super::send;
use crate::entry::node::EntryNode;
use crate::process::clock;
use crate::process::logs;
use futures_util::future::join_all;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{CustomerUsage, LoadMessage, ServiceShares};
use trestlerack::{Name, event};

/// Interval at which an overloaded service without updates is checked, to log when it no longer is overloaded.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Most attempts to report usage in one round: two failed ones to the aggregator and one to the next.
const MAX_REPORT_ATTEMPTS: u32 = 3;

/// Aggregates the usage of customers at the sender, and returns the shares of its overloaded services.
pub fn respond(node: &Arc<EntryNode>, sender: &Name, usage: &[CustomerUsage]) -> Vec<ServiceShares> {
    let now = node.now();
    let shares = node.shares.aggregate_usage(now, sender, usage);
    // A node that gets reports only because their senders cannot reach the aggregator knows just the usage of
    // these senders, so its shares are returned to them and not applied here.
    let is_own = |shares: &ServiceShares| {
        let aggregator = node.shares.select_aggregator(now, &shares.service, node.peers.names());
        aggregator.as_ref() == Some(&node.settings.name)
    };
    apply(node, shares.iter().filter(|shares| is_own(shares)).cloned().collect());
    shares
}

/// Applies shares that an aggregator computed, and forwards them to peers if they are new.
pub fn apply(node: &Arc<EntryNode>, shares: Vec<ServiceShares>) {
    if shares.is_empty() {
        return;
    }
    let shares = node.shares.apply_shares(node.now(), shares);
    if shares.is_empty() {
        return;
    }
    let peers = node.shares.gossip_settings().pick_push_peers(&node.peers.regional_peers(), &mut rand::rng());
    let node = node.clone();
    tokio::spawn(async move { send(&node, &peers, LoadMessage { shares, ..LoadMessage::default() }).await });
}

/// Reports the usage of overloaded services to their aggregators, until the process ends.
pub async fn report_usage(node: Arc<EntryNode>) {
    let mut overloaded = BTreeSet::new();
    loop {
        if overloaded.is_empty() {
            node.shares.wait_for_updates().await;
        } else {
            // Ends with an update or after the interval; both lead to a check.
            let _ = clock::timeout(RECHECK_INTERVAL, node.shares.wait_for_updates()).await;
        }
        let services: BTreeSet<Name> = node.shares.overloaded_services(node.now()).into_iter().collect();
        log_changes(&overloaded, &services);
        join_all(services.iter().map(|service| report_to_aggregator(&node, service))).await;
        overloaded = services;
        clock::sleep(node.shares.period()).await;
    }
}

fn log_changes(previous: &BTreeSet<Name>, current: &BTreeSet<Name>) {
    current.difference(previous).for_each(|service| logs::write(event::SERVICE_SHORT, &[("service", service)]));
    previous.difference(current).for_each(|service| logs::write(event::SERVICE_EASED, &[("service", service)]));
}

/// Reports usage to the aggregator of a service, or to the next one if it does not respond.
async fn report_to_aggregator(node: &Arc<EntryNode>, service: &Name) {
    for _ in 0..MAX_REPORT_ATTEMPTS {
        if try_report(node, service).await {
            return;
        }
    }
}

/// Returns whether there is nothing left to report.
async fn try_report(node: &Arc<EntryNode>, service: &Name) -> bool {
    let now = node.now();
    let Some(aggregator) = node.shares.select_aggregator(now, service, node.peers.names()) else { return true };
    let usage = node.shares.unreported_usage(now, service, &aggregator);
    if usage.is_empty() {
        return true;
    }
    let is_reported = if aggregator == node.settings.name {
        respond(node, &aggregator, &usage);
        true
    } else {
        let message = LoadMessage { usage: usage.clone(), ..LoadMessage::default() };
        match node.peers.get(&aggregator) {
            Some(row) => send(node, &[row.address], message).await == 1,
            None => false,
        }
    };
    if is_reported {
        node.shares.acknowledge_usage(node.now(), &aggregator, &usage);
    } else {
        node.shares.record_aggregator_timeout(node.now(), service, &aggregator);
    }
    is_reported
}
