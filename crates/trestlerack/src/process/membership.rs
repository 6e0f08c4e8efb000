//! Which peers are alive, found out between peers and faster than the platform's list.
//!
//! Each node probes one peer per interval and piggybacks news on probes and answers, so a node's
//! traffic does not grow with the number of nodes
//! ([docs/DESIGN.md](../../../../docs/DESIGN.md#membership)).

use super::{BroadcastQueue, NodeView};
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

/// How a peer is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Liveness {
    /// It answers.
    Alive,
    /// It failed a probe and has not refuted that yet.
    Suspect,
    /// It is stopping: it finishes what it has and owns nothing new.
    Leaving,
    /// It stayed silent past the suspicion time, or said that it is gone.
    Dead,
}

/// Who a peer is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address of the node link listener, as `ip:port`.
    pub link: Name,
    /// Grows with each restart and each refutation; 0 where only the platform's list knows the peer.
    pub incarnation: u64,
}

/// News about a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUpdate {
    /// The peer.
    pub peer: PeerInfo,
    /// How it is doing.
    pub liveness: Liveness,
}

/// What two peers tell each other in a probe and in its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender itself.
    pub sender: PeerUpdate,
    /// News about others.
    pub updates: Vec<PeerUpdate>,
}

/// Settings of a [`PeerMembership`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
pub struct MembershipSettings {
    /// How long a suspect may stay silent before it counts as dead.
    pub suspicion: Duration,
    /// How long a dead peer that is not in the platform's list is remembered.
    pub forget_after: Duration,
    /// Wait before a peer that came back once owns anything again; it doubles with each flap.
    pub flap_hold: Duration,
    /// Time without a flap after which earlier flaps are forgotten.
    pub flap_memory: Duration,
    /// News in one heartbeat at most, which bounds its size.
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

/// What a membership is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum MembershipEvent {
    /// A probe interval passed.
    Tick,
    /// A heartbeat came in, as a probe or as an answer.
    Received(Heartbeat),
    /// A probe of this peer was not answered.
    Unanswered(Name),
    /// The platform's list was read.
    Listed(Vec<ListedNode>),
    /// This node begins a planned stop.
    Leave,
}

/// What a membership asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipAction {
    /// Send a heartbeat to this peer and report the answer or its absence.
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
    news: BroadcastQueue<PeerUpdate>,
    seed: u64,
    random: Pcg64Mcg,
}

/// One in this many ticks also probes a dead peer that the platform lists, to heal partitions.
const DEAD_PROBE_ODDS: u32 = 4;

/// Largest number of doublings of the flap hold.
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
            news: BroadcastQueue::default(),
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

    /// Builds the heartbeat to send now; it takes news off the queue.
    pub fn heartbeat(&mut self) -> Heartbeat {
        let updates = self.news.take(self.settings.max_updates);
        Heartbeat { sender: self.own_update(), updates }
    }

    /// Returns every known peer and its liveness, without this node.
    pub fn peers(&self) -> impl Iterator<Item = PeerUpdate> + '_ {
        self.peers.values().map(|state| PeerUpdate { peer: state.info.clone(), liveness: state.liveness })
    }

    /// Returns the peer called `name`.
    pub fn peer(&self, name: &str) -> Option<&PeerInfo> {
        self.peers.get(name).map(|state| &state.info)
    }

    /// Returns the nodes that may own something now: alive, past their flap hold, this one too
    /// unless it is leaving.
    pub fn eligible(&self, now: Timestamp) -> Vec<NodeView> {
        let peers = self.peers.values().filter(|state| {
            state.liveness == Liveness::Alive && now >= state.eligible_at && state.info.incarnation > 0
        });
        let mut nodes: Vec<NodeView> = peers.map(|state| NodeView::from(&state.info)).collect();
        if !self.is_leaving() {
            nodes.push(NodeView::from(&self.own));
        }
        nodes.sort_by(|left, right| left.name.cmp(&right.name));
        nodes
    }

    /// Returns whether this node owns nothing new, by its own stop or by the platform's list.
    pub fn is_leaving(&self) -> bool {
        self.leaving || self.listed_leaving
    }

    fn own_update(&self) -> PeerUpdate {
        let liveness = if self.is_leaving() { Liveness::Leaving } else { Liveness::Alive };
        PeerUpdate { peer: self.own.clone(), liveness }
    }

    fn tick(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let mut actions = self.bury_suspects(now);
        self.forget_dead(now);
        actions.extend(self.next_probe().map(MembershipAction::Probe));
        if self.random.random_ratio(1, DEAD_PROBE_ODDS) {
            actions.extend(self.dead_probe().map(MembershipAction::Probe));
        }
        actions
    }

    fn bury_suspects(&mut self, now: Timestamp) -> Vec<MembershipAction> {
        let limit = self.settings.suspicion;
        let overdue: Vec<PeerInfo> = self
            .peers
            .values()
            .filter(|state| state.liveness == Liveness::Suspect && now.since(state.changed_at) >= limit)
            .map(|state| state.info.clone())
            .collect();
        let buried = overdue.into_iter().map(|peer| PeerUpdate { peer, liveness: Liveness::Dead });
        let buried: Vec<_> = buried.collect();
        buried.into_iter().filter_map(|update| self.learn(now, update)).collect()
    }

    fn forget_dead(&mut self, now: Timestamp) {
        let limit = self.settings.forget_after;
        self.peers
            .retain(|_, state| state.listed || state.liveness != Liveness::Dead || now.since(state.changed_at) < limit);
    }

    /// Probes go round in a shuffled order, so that each peer is probed once per round and no two
    /// nodes walk in step.
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
        let mut actions: Vec<MembershipAction> = self.hear_directly(now, heartbeat.sender).into_iter().collect();
        for update in heartbeat.updates {
            actions.extend(self.learn(now, update));
        }
        actions
    }

    /// A heartbeat from the peer itself proves that it runs, so it clears a suspicion here at once.
    /// If this node still holds worse news of the same incarnation, that news is repeated: the
    /// peer hears it in the answer and refutes it for everyone with a higher incarnation.
    fn hear_directly(&mut self, now: Timestamp, sender: PeerUpdate) -> Option<MembershipAction> {
        let held = self.peers.get(&sender.peer.name);
        let contradicts = held.is_some_and(|state| {
            state.info.incarnation == sender.peer.incarnation
                && matches!(state.liveness, Liveness::Suspect | Liveness::Dead)
        });
        if contradicts {
            let state = held.expect("a contradicting state is held");
            let news = PeerUpdate { peer: state.info.clone(), liveness: state.liveness };
            self.spread(news);
            return None;
        }
        self.learn(now, sender)
    }

    fn suspect(&mut self, now: Timestamp, name: &str) -> Option<MembershipAction> {
        let state = self.peers.get(name)?;
        if state.liveness != Liveness::Alive && state.liveness != Liveness::Leaving {
            return None;
        }
        let liveness = if state.liveness == Liveness::Leaving { Liveness::Dead } else { Liveness::Suspect };
        let update = PeerUpdate { peer: state.info.clone(), liveness };
        self.learn(now, update)
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

    /// The list lags and may be wrong both ways: it introduces peers and says who is leaving, and
    /// it never makes a peer alive that does not answer or dead that does.
    fn merge_listed(&mut self, now: Timestamp, node: ListedNode) -> Option<MembershipAction> {
        if node.name == self.own.name {
            self.listed_as_leaving(node.leaving);
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
        let action = self.learn(now, update);
        if let Some(state) = self.peers.get_mut(&node.name) {
            state.listed = true;
        }
        action
    }

    fn listed_as_leaving(&mut self, leaving: bool) {
        if self.listed_leaving != leaving {
            self.listed_leaving = leaving;
            self.own.incarnation += 1;
        }
    }

    /// Takes in news if it is newer than what is held: a higher incarnation, or worse news of the
    /// same one.
    fn learn(&mut self, now: Timestamp, update: PeerUpdate) -> Option<MembershipAction> {
        if update.peer.name == self.own.name {
            self.refute(&update);
            return None;
        }
        let incoming = (update.peer.incarnation, update.liveness);
        let held = self.peers.get(&update.peer.name).cloned();
        if held.as_ref().is_some_and(|held| incoming <= (held.info.incarnation, held.liveness)) {
            return None;
        }
        let state = self.advance(now, held, &update);
        self.peers.insert(update.peer.name.clone(), state);
        if update.peer.incarnation > 0 {
            self.spread(update.clone());
        }
        Some(MembershipAction::Changed(update))
    }

    fn advance(&self, now: Timestamp, held: Option<PeerState>, update: &PeerUpdate) -> PeerState {
        let fresh = PeerState {
            info: update.peer.clone(),
            liveness: update.liveness,
            changed_at: now,
            listed: false,
            flaps: 0,
            last_flap: now,
            eligible_at: now,
        };
        let Some(held) = held else { return fresh };
        let came_back = update.liveness == Liveness::Alive
            && matches!(held.liveness, Liveness::Suspect | Liveness::Dead)
            && held.info.incarnation > 0;
        let mut state = PeerState { listed: held.listed, ..fresh };
        let recent = now.since(held.last_flap) < self.settings.flap_memory;
        state.flaps = if recent { held.flaps } else { 0 };
        state.last_flap = held.last_flap;
        state.eligible_at = held.eligible_at;
        if came_back {
            let doublings = state.flaps.min(MAX_FLAP_DOUBLINGS);
            state.eligible_at = now + self.settings.flap_hold * 2_u32.pow(doublings);
            state.flaps += 1;
            state.last_flap = now;
        }
        state
    }

    /// Answers worse news about this node, or news of a later incarnation of it, with a higher
    /// incarnation of its own.
    fn refute(&mut self, update: &PeerUpdate) {
        let own = self.own_update();
        let newer = update.peer.incarnation > own.peer.incarnation;
        let refutable = matches!(update.liveness, Liveness::Suspect | Liveness::Dead);
        let worse = update.peer.incarnation == own.peer.incarnation && refutable;
        if newer || worse {
            self.own.incarnation = update.peer.incarnation + 1;
            let news = self.own_update();
            self.spread(news);
        }
    }

    fn spread(&mut self, update: PeerUpdate) {
        let name = update.peer.name.clone();
        self.news.push(update, self.peers.len() + 1, |held| held.peer.name == name);
    }
}
