//! Assigns engines, groups, campaigns and leases to nodes by rendezvous hashing, with the same result on
//! every node that knows the same nodes.

use super::PeerInfo;
use crate::hash::{hash_parts, rendezvous_weight};
use crate::{AllowedZones, Name};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// A node that is eligible as an owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EligibleNode {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone.
    pub zone: Name,
}

impl From<&PeerInfo> for EligibleNode {
    fn from(peer: &PeerInfo) -> Self {
        Self { name: peer.name.clone(), zone: peer.zone.clone() }
    }
}

/// The nodes that are eligible as owners, and the owners that follow from them.
///
/// Ownership is a hint: if two nodes both consider themselves the owner, load balance suffers but never
/// correctness ([docs/DESIGN.md](../../../../docs/DESIGN.md#ownership)).
#[derive(Clone, Debug, Default)]
pub struct OwnershipView {
    nodes: Arc<[EligibleNode]>,
}

impl OwnershipView {
    /// Builds the view from eligible nodes.
    pub fn new(nodes: Vec<EligibleNode>) -> Self {
        Self { nodes: nodes.into() }
    }

    /// Returns the eligible nodes in name order.
    pub fn nodes(&self) -> &[EligibleNode] {
        &self.nodes
    }

    /// Returns the owner of an engine: a node of the engine's own zone.
    pub fn engine_owner(&self, engine: &str, zone: &str) -> Option<&EligibleNode> {
        self.best_candidate(hash_parts(&["engine", engine]), |node| node.zone.as_ref() == zone)
    }

    /// Returns the owner of a group: a node in the campaign's allowed zones.
    pub fn group_owner(&self, campaign: &str, step: u64, group: &str, places: &AllowedZones) -> Option<&EligibleNode> {
        let key = hash_parts(&["group", campaign, &step.to_string(), group]);
        self.best_candidate(key, |node| places.allows(&node.zone))
    }

    /// Returns the owner of a campaign: the node that seals its steps and asks for its groups.
    pub fn campaign_owner(&self, campaign: &str, places: &AllowedZones) -> Option<&EligibleNode> {
        self.best_candidate(hash_parts(&["campaign", campaign]), |node| places.allows(&node.zone))
    }

    /// Returns the two nodes that watch the lease of a model, so that the other nodes need not read it.
    pub fn lease_candidates(&self, model: &str) -> Vec<&EligibleNode> {
        let key = hash_parts(&["lease", model]);
        let mut ranked: Vec<_> = self.nodes.iter().collect();
        ranked.sort_by_key(|node| std::cmp::Reverse(rendezvous_weight(key, &node.name)));
        ranked.truncate(2);
        ranked
    }

    /// Returns the peer in the campaign's allowed zones that holds a copy of a spooled group.
    pub fn spool_peer(&self, key: &str, own: &str, places: &AllowedZones) -> Option<&EligibleNode> {
        self.best_candidate(hash_parts(&["spool", key]), |node| node.name.as_ref() != own && places.allows(&node.zone))
    }

    fn best_candidate(&self, key: u64, is_candidate: impl Fn(&EligibleNode) -> bool) -> Option<&EligibleNode> {
        let candidates = self.nodes.iter().filter(|node| is_candidate(node));
        candidates.max_by_key(|node| rendezvous_weight(key, &node.name))
    }
}

/// The engines of one model in one zone that one node owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelOwner {
    /// Name of the node.
    pub node: Name,
    /// Zone of the engines.
    pub zone: Name,
    /// Total slots of the engines.
    pub slots: u32,
}

#[derive(Clone, Debug)]
struct OwnedEngine {
    model: Name,
    zone: Name,
    slots: u32,
    owner: Option<Name>,
}

/// The owner of each engine, updated incrementally.
///
/// A change of one backend server costs one rendezvous hash. Only a change of the nodes costs one for
/// each engine in the affected zones.
#[derive(Clone, Debug, Default)]
pub struct EngineOwners {
    view: OwnershipView,
    engines: BTreeMap<Name, OwnedEngine>,
    by_model: HashMap<Name, BTreeMap<(Name, Name), u32>>,
}

impl EngineOwners {
    /// Replaces the eligible nodes.
    pub fn set_nodes(&mut self, view: OwnershipView) {
        let changed = changed_zones(&self.view, &view);
        self.view = view;
        let affected: Vec<(Name, OwnedEngine)> = self
            .engines
            .iter()
            .filter(|(_, engine)| changed.contains(&engine.zone))
            .map(|(name, engine)| (name.clone(), engine.clone()))
            .collect();
        for (name, engine) in affected {
            self.set_engine(&name, &engine.model, &engine.zone, engine.slots);
        }
    }

    /// Adds or changes an engine.
    pub fn set_engine(&mut self, name: &Name, model: &Name, zone: &Name, slots: u32) {
        self.remove_engine(name);
        let owner = self.view.engine_owner(name, zone).map(|node| node.name.clone());
        if let Some(owner) = &owner {
            let owners = self.by_model.entry(model.clone()).or_default();
            *owners.entry((owner.clone(), zone.clone())).or_default() += slots;
        }
        let engine = OwnedEngine { model: model.clone(), zone: zone.clone(), slots, owner };
        self.engines.insert(name.clone(), engine);
    }

    /// Removes an engine.
    pub fn remove_engine(&mut self, name: &str) {
        let Some(engine) = self.engines.remove(name) else { return };
        let Some(owner) = engine.owner else { return };
        let Some(owners) = self.by_model.get_mut(&engine.model) else { return };
        let key = (owner, engine.zone);
        if let Some(slots) = owners.get_mut(&key) {
            *slots -= engine.slots;
            if *slots == 0 {
                owners.remove(&key);
            }
        }
    }

    /// Returns the owners of a model's engines that `places` allows, in name order.
    pub fn model_owners(&self, model: &str, places: &AllowedZones) -> Vec<ModelOwner> {
        let Some(owners) = self.by_model.get(model) else { return Vec::new() };
        let allowed = owners.iter().filter(|((_, zone), _)| places.allows(zone));
        allowed
            .map(|((node, zone), slots)| ModelOwner { node: node.clone(), zone: zone.clone(), slots: *slots })
            .collect()
    }

    /// Returns the engines that `node` owns.
    pub fn owned_by<'a>(&'a self, node: &'a str) -> impl Iterator<Item = &'a Name> {
        let is_owned = move |engine: &OwnedEngine| engine.owner.as_deref() == Some(node);
        self.engines.iter().filter(move |(_, engine)| is_owned(engine)).map(|(name, _)| name)
    }
}

fn changed_zones(before: &OwnershipView, after: &OwnershipView) -> BTreeSet<Name> {
    let removed = before.nodes().iter().filter(|node| !after.nodes().contains(node));
    let added = after.nodes().iter().filter(|node| !before.nodes().contains(node));
    removed.chain(added).map(|node| node.zone.clone()).collect()
}
