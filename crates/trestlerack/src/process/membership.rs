//! Gossip membership with failure detection, which is faster than the platform's membership list.
//!
//! Each node probes one peer per interval and piggybacks updates about others on probes and answers,
//! so a node's traffic does not grow with the number of nodes
//! ([docs/DESIGN.md](../../../../docs/DESIGN.md#membership)).

use super::{BroadcastQueue, EligibleNode};
use crate::interfaces::ListedNode;
use crate::trace::TraceHead;
use crate::{Name, Timestamp};
use rand::Rng;
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Liveness of a peer, ordered so that a later variant overrides an earlier one of the same
/// incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It answers probes.
    Alive,
    /// It failed a probe and has not refuted that yet.
    Suspect,
    /// It is stopping: it finishes its current work and owns nothing new.
    Leaving,
    /// It did not refute a suspicion in time, or stopped answering after it announced its leave.
    Dead,
}

impl Liveness {
    /// Returns the name that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Dead => "dead",
        }
    }
}

/// Identity and address of a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address of the node link listener, as `ip:port`.
    pub link: Name,
    /// Incarnation, which grows with each restart and each refutation; 0 if the peer is known from the
    /// platform's list only.
    pub incarnation: u64,
}

/// An update about one peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The peer.
    pub peer: PeerInfo,
    /// Its liveness.
    pub liveness: Liveness,
}

/// The payload of a probe and of its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// State of the sender, as it reports it itself.
    pub sender: PeerUpdate,
    /// Updates about other peers.
    pub updates: Vec<PeerUpdate>,
}

/// Settings of a [`PeerMembership`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct MembershipSettings {
    /// How long a suspect may leave the suspicion unrefuted before it counts as dead.
    pub suspicion: Duration,
    /// How long a dead peer that is not in the platform's list is remembered.
    pub forget_after: Duration,
    /// Time for which a recovered peer owns nothing; it doubles with each flap.
    pub flap_hold: Duration,
    /// Time without a flap after which earlier flaps are forgotten.
    pub flap_memory: Duration,
    /// Maximum number of updates in one heartbeat, which bounds its size.
    pub max_updates: usize,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            suspicion: Duration::from_millis(2_000),
            forget_after: Duration::from_secs(120),
            flap_hold: Duration::from_secs(2),
            flap_memory: Duration::from_secs(120),
            max_updates: 8,
        }
    }
}

/// An input of a [`PeerMembership`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MembershipEvent {
    /// A probe interval passed.
    Tick,
    /// A heartbeat arrived, as a probe or as an answer.
    Received(Heartbeat),
    /// This peer did not answer a probe.
    Unanswered(Name),
    /// The platform's list was read.
    Listed(Vec<ListedNode>),
    /// This node begins a planned stop.
    Leave,
}

/// An output of a [`PeerMembership`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipAction {
    /// Send a heartbeat to this peer, and report the answer or its absence as an event.
    Probe(PeerInfo),
    /// A peer's liveness changed.
    Changed(PeerUpdate),
}

#[derive(Clone, Debug)]
struct PeerState {
    info: PeerInfo,
    liveness: Liveness,
    changed_at: Timestamp,
    listed: bool,
    flaps: u32,
    last_flap: Timestamp,
    eligible_at: Timestamp,
}

/// One node's view of its peers.
#[derive(Clone, Debug)]
pub struct PeerMembership {
    settings: MembershipSettings,
    own: PeerInfo,
    leaving: bool,
    listed_leaving: bool,
    peers: BTreeMap<Name, PeerState>,
    probe_order: Vec<Name>,
    outgoing: BroadcastQueue<PeerUpdate>,
    seed: u64,
    random: Pcg64Mcg,
}

/// One in this many ticks on average also probes a dead peer that the platform lists, so that the two
/// sides of a healed network partition find each other again.
const DEAD_PROBE_ODDS: u32 = 4;

/// Maximum number of doublings of the flap hold.
const MAX_FLAP_DOUBLINGS: u32 = 5;

impl PeerMembership {
    /// Builds a membership that knows only its own node.
    pub fn new(settings: MembershipSettings, own: PeerInfo, seed: u64) -> Self {
        Self {
            settings,
            own,
            leaving: false,
            listed_leaving: false,
            peers: BTreeMap::new(),
            probe_order: Vec::new(),
            outgoing: BroadcastQueue::default(),
            seed,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Sets the address of this node's link listener once it is bound.
    pub fn set_link(&mut self, link: Name) {
        self.own.link = link;
    }

    /// Returns the first line of a trace of this membership, before its first event.
    pub fn trace_head(&self) -> TraceHead {
        TraceHead::Membership { settings: self.settings.clone(), own: self.own.clone(), seed: self.seed }
    }

    /// Handles one event.
    pub fn handle(&mut self, now: Timestamp, event: MembershipEvent) -> Vec<MembershipAction> {
        match event {
            MembershipEvent::Tick => self.tick(now),
            MembershipEvent::Received(heartbeat) => self.receive(now, heartbeat),
            MembershipEvent::Unanswered(name) => self.suspect(now, &name).into_iter().collect(),
            MembershipEvent::Listed(nodes) => self.merge_list(now, nodes),
            MembershipEvent::Leave => {
                self.leaving = true;
                self.own.incarnation += 1;
                Vec::new()
            }
        }
    }

    /// Builds the heartbeat to send now and takes its updates off the queue.
    pub fn heartbeat(&mut self) -> Heartbeat {
        let updates = self.outgoing.take(self.settings.max_updates);
        Heartbeat { sender: self.own_update(), updates }
    }

    /// Returns every known peer except this node, with its liveness.
    pub fn peers(&self) -> impl Iterator<Item = PeerUpdate> + '_ {
        self.peers.values().map(|state| PeerUpdate { peer: state.info.clone(), liveness: state.liveness })
    }

    /// Returns the peer called `name`.
    pub fn peer(&self, name: &str) -> Option<&PeerInfo> {
        self.peers.get(name).map(|state| &state.info)
    }

    /// Returns the nodes that may own something at `now`: live peers past their flap hold, and this
    /// node unless it is leaving. A peer that only the platform's list knows is not among them.
    pub fn eligible(&self, now: Timestamp) -> Vec<EligibleNode> {
        let peers = self.peers.values().filter(|state| {
            state.liveness == Liveness::Alive && now >= state.eligible_at && state.info.incarnation > 0
        });
        let mut nodes: Vec<EligibleNode> = peers.map(|state| EligibleNode::from(&state.info)).collect();
        if !self.is_leaving() {
            nodes.push(EligibleNode::from(&self.own));
        }
        nodes.sort_by(|left, right| left.name.cmp(&right.name));
        nodes
    }

    /// Returns whether this node may own nothing new, because it is stopping or because the platform's
    /// list says that it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving
    }

    fn own_update(&self) -> PeerUpdate {
        let liveness = if self.is_leaving() { Liveness::Leaving } else { Liveness::Alive };
        PeerUpdate { peer: self.own.clone(), liveness }
    }

    fn tick(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = self.expire_suspects(now);
        self.forget_dead(now);
        actions.extend(self.next_probe().map(MembershipAction::Probe));
        if self.random.random_ratio(1, DEAD_PROBE_ODDS) {
            actions.extend(self.dead_probe().map(MembershipAction::Probe));
        }
        actions
    }

    fn expire_suspects(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let limit = self.settings.suspicion;
        let overdue: Vec<PeerInfo> = self
            .peers
            .values()
            .filter(|state| state.liveness == Liveness::Suspect && now.since(state.changed_at) >= limit)
            .map(|state| state.info.clone())
            .collect();
        let expired = overdue.into_iter().map(|peer| PeerUpdate { peer, liveness: Liveness::Dead });
        let expired: Vec<_> = expired.collect();
        expired.into_iter().filter_map(|update| self.merge_update(now, update)).collect()
    }

    fn forget_dead(&mut self, now: Timestamp) {
        let limit = self.settings.forget_after;
        self.peers
            .retain(|_, state| state.listed || state.liveness != Liveness::Dead || now.since(state.changed_at) < limit);
    }

    /// Returns the next peer to probe. Each round visits the peers in a newly shuffled order, so that
    /// every peer is probed once per round and nodes do not probe the same peers at the same time.
    fn next_probe(&mut self) -> Option<PeerInfo> {
        for _ in 0..=self.peers.len() {
            if self.probe_order.is_empty() {
                self.probe_order = self.peers.keys().cloned().collect();
                self.probe_order.shuffle(&mut self.random);
            }
            let name = self.probe_order.pop()?;
            let state = self.peers.get(&name);
            if let Some(state) = state.filter(|state| state.liveness != Liveness::Dead) {
                return Some(state.info.clone());
            }
        }
        None
    }

    fn dead_probe(&mut self) -> Option<PeerInfo> {
        let dead: Vec<&PeerState> =
            self.peers.values().filter(|state| state.listed && state.liveness == Liveness::Dead).collect();
        if dead.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..dead.len());
        Some(dead[index].info.clone())
    }

    fn receive(&mut self, now: Timestamp, heartbeat: Heartbeat) -> Vec<MembershipAction> {
        let mut actions: Vec<MembershipAction> = self.merge_sender(now, heartbeat.sender).into_iter().collect();
        for update in heartbeat.updates {
            actions.extend(self.merge_update(now, update));
        }
        actions
    }

    /// Merges what a peer reports about itself. If this node has it as suspect or dead in the same
    /// incarnation, that state is kept and queued again: the peer receives it in the answer and refutes
    /// it for all nodes with a higher incarnation.
    fn merge_sender(&mut self, now: Timestamp, sender: PeerUpdate) -> Option<MembershipAction> {
        let known = self.peers.get(&sender.peer.name);
        let contradicts = known.is_some_and(|state| {
            state.info.incarnation == sender.peer.incarnation
                && matches!(state.liveness, Liveness::Suspect | Liveness::Dead)
        });
        if contradicts {
            let state = known.expect("the contradicting state is known");
            let update = PeerUpdate { peer: state.info.clone(), liveness: state.liveness };
            self.enqueue(update);
            return None;
        }
        self.merge_update(now, sender)
    }

    fn suspect(&mut self, now: Timestamp, name: &str) -> Option<MembershipAction> {
        let state = self.peers.get(name)?;
        if state.liveness != Liveness::Alive && state.liveness != Liveness::Leaving {
            return None;
        }
        let liveness = if state.liveness == Liveness::Leaving { Liveness::Dead } else { Liveness::Suspect };
        let update = PeerUpdate { peer: state.info.clone(), liveness };
        self.merge_update(now, update)
    }

    fn merge_list(&mut self, now: Timestamp, nodes: Vec<ListedNode>) -> Vec<MembershipAction> {
        for state in self.peers.values_mut() {
            state.listed = nodes.iter().any(|node| node.name == state.info.name);
        }
        let mut actions = Vec::new();
        for node in nodes {
            actions.extend(self.merge_listed(now, node));
        }
        actions
    }

    /// Merges an entry of the platform's list. The list lags and may be wrong in both directions, so it
    /// only introduces peers and marks them as leaving; it never revives a peer that does not answer or
    /// declares one dead that does.
    fn merge_listed(&mut self, now: Timestamp, node: ListedNode) -> Option<MembershipAction> {
        if node.name == self.own.name {
            self.set_listed_leaving(node.leaving);
            return None;
        }
        let known = self.peers.get(&node.name).map(|state| (state.info.clone(), state.liveness));
        let update = match known {
            None => {
                let peer = PeerInfo { name: node.name.clone(), zone: node.zone, link: node.link, incarnation: 0 };
                PeerUpdate { peer, liveness: Liveness::Alive }
            }
            Some((peer, Liveness::Alive)) if node.leaving => PeerUpdate { peer, liveness: Liveness::Leaving },
            Some(_) => return None,
        };
        let action = self.merge_update(now, update);
        if let Some(state) = self.peers.get_mut(&node.name) {
            state.listed = true;
        }
        action
    }

    fn set_listed_leaving(&mut self, leaving: bool) {
        if self.listed_leaving != leaving {
            self.listed_leaving = leaving;
            self.own.incarnation += 1;
        }
    }

    /// Applies an update if it supersedes the known state: a higher incarnation, or a later liveness of
    /// the same incarnation.
    fn merge_update(&mut self, now: Timestamp, update: PeerUpdate) -> Option<MembershipAction> {
        if update.peer.name == self.own.name {
            self.refute(&update);
            return None;
        }
        let incoming = (update.peer.incarnation, update.liveness);
        let known = self.peers.get(&update.peer.name).cloned();
        if known.as_ref().is_some_and(|known| incoming <= (known.info.incarnation, known.liveness)) {
            return None;
        }
        let state = self.next_state(now, known, &update);
        self.peers.insert(update.peer.name.clone(), state);
        if update.peer.incarnation > 0 {
            self.enqueue(update.clone());
        }
        Some(MembershipAction::Changed(update))
    }

    fn next_state(&self, now: Timestamp, known: Option<PeerState>, update: &PeerUpdate) -> PeerState {
        let initial = PeerState {
            info: update.peer.clone(),
            liveness: update.liveness,
            changed_at: now,
            listed: false,
            flaps: 0,
            last_flap: now,
            eligible_at: now,
        };
        let Some(known) = known else { return initial };
        let has_recovered = update.liveness == Liveness::Alive
            && matches!(known.liveness, Liveness::Suspect | Liveness::Dead)
            && known.info.incarnation > 0;
        let mut state = PeerState { listed: known.listed, ..initial };
        let recent = now.since(known.last_flap) < self.settings.flap_memory;
        state.flaps = if recent { known.flaps } else { 0 };
        state.last_flap = known.last_flap;
        state.eligible_at = known.eligible_at;
        if has_recovered {
            let doublings = state.flaps.min(MAX_FLAP_DOUBLINGS);
            state.eligible_at = now + self.settings.flap_hold * 2_u32.pow(doublings);
            state.flaps += 1;
            state.last_flap = now;
        }
        state
    }

    /// Refutes an update that calls this node suspect or dead, or that has a higher incarnation of it,
    /// by raising its own incarnation above the update's.
    fn refute(&mut self, update: &PeerUpdate) {
        let own = self.own_update();
        let newer = update.peer.incarnation > own.peer.incarnation;
        let refutable = matches!(update.liveness, Liveness::Suspect | Liveness::Dead);
        let worse = update.peer.incarnation == own.peer.incarnation && refutable;
        if newer || worse {
            self.own.incarnation = update.peer.incarnation + 1;
            let refutation = self.own_update();
            self.enqueue(refutation);
        }
    }

    fn enqueue(&mut self, update: PeerUpdate) {
        let name = update.peer.name.clone();
        self.outgoing.push(update, self.peers.len() + 1, |queued| queued.peer.name == name);
    }
}
