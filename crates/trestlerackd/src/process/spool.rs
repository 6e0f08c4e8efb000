//! Holds made groups while the store is down, with one copy on a peer in an allowed place.

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

/// Interval at which the spool is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// The spool of this node and the copies that it keeps for peers.
pub struct GroupSpool {
    own: Mutex<SampleSpool<GeneratedGroup>>,
    copies: Mutex<HashMap<Name, (Name, GeneratedGroup)>>,
    max_copies_bytes: usize,
}

impl GroupSpool {
    /// Builds an empty spool of at most `max_bytes`, and as much again for copies.
    pub fn new(max_bytes: usize) -> Self {
        let settings = SpoolSettings { max_bytes, ..SpoolSettings::default() };
        Self { own: Mutex::new(SampleSpool::new(settings)), copies: Mutex::default(), max_copies_bytes: max_bytes }
    }

    /// Returns how many groups wait here.
    pub fn len(&self) -> usize {
        self.own.lock().unwrap().len()
    }

    /// Returns whether another group would fit, so that none is made in vain.
    pub fn has_room(&self) -> bool {
        self.own.lock().unwrap().has_space(0)
    }

    /// Keeps a copy for `holder`, or drops it where `content` is empty.
    pub fn keep_copy(&self, holder: &Name, key: &Name, content: &str) {
        let mut copies = self.copies.lock().unwrap();
        if content.is_empty() {
            copies.remove(key);
            return;
        }
        let held: usize = copies.values().map(|(_, group)| group.size()).sum();
        let decoded = serde_json::from_str::<GeneratedGroup>(content);
        if let Ok(group) = decoded
            && held + group.size() <= self.max_copies_bytes
        {
            copies.insert(key.clone(), (holder.clone(), group));
        }
    }

    /// Takes over the copies of a peer that died; the table decides whose record counts.
    pub fn release_copies_of(&self, holder: &str) {
        let mut copies = self.copies.lock().unwrap();
        let keys: Vec<Name> =
            copies.iter().filter(|(_, (owner, _))| owner.as_ref() == holder).map(|(key, _)| key.clone()).collect();
        for key in keys {
            if let Some((_, group)) = copies.remove(&key) {
                let size = group.size();
                // A full spool means that the group is made again, which costs time and nothing else.
                let _ = self.own.lock().unwrap().try_push(group, size);
            }
        }
    }
}

/// Puts a made group into the spool and a copy of it onto a peer in an allowed place.
pub async fn store(node: &Arc<Node>, group: GeneratedGroup) {
    logs::write(event::GROUP_SPOOLED, &[("group", &group.key())]);
    node.telemetry.spooled.add(1, &[]);
    let content = serde_json::to_string(&group).unwrap_or_default();
    send_copy(node, &group, content).await;
    let size = group.size();
    if node.spool.own.lock().unwrap().try_push(group, size).is_err() {
        logs::write(event::GROUP_FAILED, &[("cause", &"the spool is full; the group will be made again")]);
    }
}

async fn send_copy(node: &Arc<Node>, group: &GeneratedGroup, content: String) {
    let config = node.config.current();
    let Some(campaign) = config.campaign(&group.campaign) else { return };
    let key: Name = group.key().into();
    let view = node.ownership.read().unwrap().clone();
    let Some(peer) = view.spool_peer(&key, node.name(), &campaign.allowed_zones) else { return };
    let frame = LinkFrame::SpoolCopy { key, content };
    links::post(node, &peer.name, frame).await;
}

/// Drains the spool at its rate, for as long as the process lives.
pub async fn drain(node: Arc<Node>) {
    loop {
        clock::sleep(LOOK_INTERVAL).await;
        let nodes = node.ownership.read().unwrap().nodes().len();
        let next = node.spool.own.lock().unwrap().next(node.now(), nodes);
        let Some((group, size)) = next else { continue };
        match record(&node, &group).await {
            Ok(_) => {
                node.spool.own.lock().unwrap().record_success();
                send_copy(&node, &group, String::new()).await;
            }
            Err(_) => {
                node.spool.own.lock().unwrap().record_failure(node.now(), group, size);
            }
        }
    }
}
