//! What nodes tell of the use of customers, and the shares that are worked out of it.

use super::tell;
use crate::entry::node::EntryNode;
use crate::process::clock;
use crate::process::logs;
use futures_util::future::join_all;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{CustomerUsage, LoadMessage, ServiceShares};
use trestlerack::{Name, event};

/// Interval at which a short service without news is looked at, to log that it no longer is.
const EASE_INTERVAL: Duration = Duration::from_secs(1);

/// Questions for one look at most: two in vain to the adder and one to the next.
const MOST_QUESTIONS: u32 = 3;

/// Adds up what customers took at the sender, and returns the shares of its services that are short.
pub fn answer(node: &Arc<EntryNode>, sender: &Name, uses: &[CustomerUsage]) -> Vec<ServiceShares> {
    let now = node.now();
    let shares = node.shares.add_up(now, sender, uses);
    // A node that is asked because its senders cannot reach the right one knows of their use only, and
    // keeps what comes of it to them.
    let is_own = |shares: &ServiceShares| {
        let adder = node.shares.choose_adder(now, &shares.service, node.peers.names());
        adder.as_ref() == Some(&node.settings.name)
    };
    learn(node, shares.iter().filter(|shares| is_own(shares)).cloned().collect());
    shares
}

/// Takes over shares that were worked out by a peer, and passes them on where that is due.
pub fn learn(node: &Arc<EntryNode>, shares: Vec<ServiceShares>) {
    if shares.is_empty() {
        return;
    }
    let shares = node.shares.learn(node.now(), shares);
    if shares.is_empty() {
        return;
    }
    let peers = node.shares.gossip().pick_push_peers(&node.peers.peer_addresses(), &mut rand::rng());
    let node = node.clone();
    tokio::spawn(async move { tell(&node, &peers, LoadMessage { shares, ..LoadMessage::default() }).await });
}

/// Tells the nodes that add up what is taken here of services that are short, until the process ends.
pub async fn tell_adders(node: Arc<EntryNode>) {
    let mut short = BTreeSet::new();
    loop {
        if short.is_empty() {
            node.shares.wait_news().await;
        } else {
            // Ends with news or with the interval; both lead to a look.
            let _ = clock::timeout(EASE_INTERVAL, node.shares.wait_news()).await;
        }
        let services: BTreeSet<Name> = node.shares.short_services(node.now()).into_iter().collect();
        log_changes(&short, &services);
        join_all(services.iter().map(|service| tell_adder(&node, service))).await;
        short = services;
        clock::sleep(node.shares.period()).await;
    }
}

fn log_changes(before: &BTreeSet<Name>, now: &BTreeSet<Name>) {
    now.difference(before).for_each(|service| logs::write(event::SERVICE_SHORT, &[("service", service)]));
    before.difference(now).for_each(|service| logs::write(event::SERVICE_EASED, &[("service", service)]));
}

/// Tells the adder of a service, and the next one at once where it does not answer.
async fn tell_adder(node: &Arc<EntryNode>, service: &Name) {
    for _ in 0..MOST_QUESTIONS {
        if try_tell(node, service).await {
            return;
        }
    }
}

/// Returns whether there is nothing left to tell.
async fn try_tell(node: &Arc<EntryNode>, service: &Name) -> bool {
    let now = node.now();
    let Some(adder) = node.shares.choose_adder(now, service, node.peers.names()) else { return true };
    let uses = node.shares.untold(now, service, &adder);
    if uses.is_empty() {
        return true;
    }
    let is_told = if adder == node.settings.name {
        answer(node, &adder, &uses);
        true
    } else {
        let news = LoadMessage { usage: uses.clone(), ..LoadMessage::default() };
        match node.peers.get(&adder) {
            Some(row) => tell(node, &[row.address], news).await == 1,
            None => false,
        }
    };
    if is_told {
        node.shares.told(node.now(), &adder, &uses);
    } else {
        node.shares.adder_missed(node.now(), service, &adder);
    }
    is_told
}
