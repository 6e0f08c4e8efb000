//! Keeps generated groups while the store is down, with one copy on a peer in an allowed zone.

use super::logs;
use crate::connection::links;
use crate::node::Node;
use crate::process::clock;
use crate::request::group_record::record;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trestlerack::Name;
use trestlerack::connection::LinkFrame;
use trestlerack::event;
use trestlerack::process::{GeneratedGroup, SampleSpool, SpoolSettings};

/// Interval at which the spool is checked for a group to store.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The spool of this node, and the copies that it keeps for peers.
pub struct GroupSpool {
    queue: Mutex<SampleSpool<GeneratedGroup>>,
    copies: Mutex<HashMap<Name, (Name, GeneratedGroup)>>,
    max_copy_bytes: usize,
}

impl GroupSpool {
    /// Builds an empty spool of at most `max_bytes`, with the same limit again for copies from peers.
    pub fn new(max_bytes: usize) -> Self {
        let settings = SpoolSettings { max_bytes, ..SpoolSettings::default() };
        Self { queue: Mutex::new(SampleSpool::new(settings)), copies: Mutex::default(), max_copy_bytes: max_bytes }
    }

    /// Returns how many groups of this node wait for the store.
    pub fn len(&self) -> usize {
        self.queue.lock().unwrap().len()
    }

    /// Returns whether the spool has space left. Without space, generating another group would be wasted work.
    pub fn has_space(&self) -> bool {
        self.queue.lock().unwrap().has_space(0)
    }

    /// Stores a copy of a group for the peer `owner`, or removes it if `content` is empty. A copy beyond the
    /// byte limit is dropped.
    pub fn store_copy(&self, owner: &Name, key: &Name, content: &str) {
        let mut copies = self.copies.lock().unwrap();
        if content.is_empty() {
            copies.remove(key);
            return;
        }
        let used_bytes: usize = copies.values().map(|(_, group)| group.size()).sum();
        let decoded = serde_json::from_str::<GeneratedGroup>(content);
        if let Ok(group) = decoded
            && used_bytes + group.size() <= self.max_copy_bytes
        {
            copies.insert(key.clone(), (owner.clone(), group));
        }
    }

    /// Moves the copies kept for a peer that died into the spool of this node. If the peer
    /// stored a group as well, the table decides which record counts.
    pub fn adopt_copies_of(&self, owner: &str) {
        let mut copies = self.copies.lock().unwrap();
        let keys: Vec<Name> = copies
            .iter()
            .filter(|(_, (copy_owner, _))| copy_owner.as_ref() == owner)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            if let Some((_, group)) = copies.remove(&key) {
                let size = group.size();
                // If the spool is full, the group is generated again, which costs only time.
                let _ = self.queue.lock().unwrap().try_push(group, size);
            }
        }
    }
}

/// Puts a generated group into the spool, and a copy of it on a peer in an allowed zone.
pub async fn spool_group(node: &Arc<Node>, group: GeneratedGroup) {
    logs::write(event::GROUP_SPOOLED, &[("group", &group.key())]);
    node.telemetry.spooled.add(1, &[]);
    let content = serde_json::to_string(&group).unwrap_or_default();
    send_copy(node, &group, content).await;
    let size = group.size();
    if node.spool.queue.lock().unwrap().try_push(group, size).is_err() {
        logs::write(event::GROUP_FAILED, &[("cause", &"the spool is full; the group will be generated again")]);
    }
}

async fn send_copy(node: &Arc<Node>, group: &GeneratedGroup, content: String) {
    let config = node.config.current();
    let Some(campaign) = config.campaign(&group.campaign) else { return };
    let key: Name = group.key().into();
    let view = node.ownership.read().unwrap().clone();
    let Some(peer) = view.spool_peer(&key, node.name(), &campaign.allowed_zones) else { return };
    let frame = LinkFrame::SpoolCopy { key, content };
    links::send(node, &peer.name, frame).await;
}

/// Stores spooled groups at the spool's rate, until the process ends.
pub async fn drain(node: Arc<Node>) {
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        let nodes = node.ownership.read().unwrap().nodes().len();
        let next = node.spool.queue.lock().unwrap().next(node.now(), nodes);
        let Some((group, size)) = next else { continue };
        match record(&node, &group).await {
            Ok(_) => {
                node.spool.queue.lock().unwrap().record_success();
                send_copy(&node, &group, String::new()).await;
            }
            Err(_) => {
                node.spool.queue.lock().unwrap().record_failure(node.now(), group, size);
            }
        }
    }
}
