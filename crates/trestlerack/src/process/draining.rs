//! Tracks which backend servers are draining, that is, receive no new work before they stop.

use super::BroadcastQueue;
use crate::Name;
use crate::connection::{DrainSource, DrainUpdate};
use std::collections::{HashMap, HashSet};

/// Maximum number of updates in one heartbeat.
const MAX_UPDATES: usize = 8;

/// The backend servers that the configuration, the platform's list, their own answers or an operator's
/// order call draining; one of these sources is enough.
///
/// What the configuration says is local state of each node. The other sources become updates with a
/// timestamp, which peers gossip: they spread while the platform's services are down, and all nodes
/// soon know what one of them has read in the platform's list, so that none has to read it often.
#[derive(Clone, Debug, Default)]
pub struct DrainingServers {
    declared: HashSet<Name>,
    updates: HashMap<(Name, DrainSource), DrainUpdate>,
    outgoing: BroadcastQueue<DrainUpdate>,
}

impl DrainingServers {
    /// Returns whether `backend` receives no new work.
    pub fn is_draining(&self, backend: &str) -> bool {
        let sources = [DrainSource::Server, DrainSource::Operator, DrainSource::Platform];
        sources.iter().any(|source| self.is_reported(backend, *source)) || self.declared.contains(backend)
    }

    /// Replaces what the platform's list says: the servers in `leaving` are draining and no others.
    /// Returns the servers whose state in the list has changed.
    pub fn merge_list(&mut self, leaving: &[Name], stamp: u64, nodes: usize) -> Vec<Name> {
        let listed = self.updates.values().filter(|update| update.source == DrainSource::Platform && update.leaving);
        let returned: Vec<Name> =
            listed.map(|update| update.backend.clone()).filter(|backend| !leaving.contains(backend)).collect();
        let newly_listed = leaving.iter().filter(|backend| !self.is_reported(backend, DrainSource::Platform)).cloned();
        let changes: Vec<(Name, bool)> = newly_listed
            .map(|backend| (backend, true))
            .chain(returned.into_iter().map(|backend| (backend, false)))
            .collect();
        for (backend, leaving) in &changes {
            let update =
                DrainUpdate { backend: backend.clone(), source: DrainSource::Platform, leaving: *leaving, stamp };
            self.merge(update, nodes);
        }
        changes.into_iter().map(|(backend, _)| backend).collect()
    }

    /// Sets whether the configuration calls a backend server draining.
    pub fn set_declared(&mut self, backend: &Name, draining: bool) {
        if draining {
            self.declared.insert(backend.clone());
        } else {
            self.declared.remove(backend);
        }
    }

    /// Merges an update of a peer or of this node and queues it for gossip. Returns whether it was newer
    /// than what was known.
    pub fn merge(&mut self, update: DrainUpdate, nodes: usize) -> bool {
        let key = (update.backend.clone(), update.source);
        let known = self.updates.get(&key);
        if known.is_some_and(|known| known.stamp >= update.stamp) {
            return false;
        }
        self.updates.insert(key.clone(), update.clone());
        self.outgoing.push(update, nodes, |queued| (&queued.backend, queued.source) == (&key.0, key.1));
        true
    }

    /// Records whether a backend server called itself draining in an answer at wall clock millisecond
    /// `stamp`. Only a change becomes an update.
    pub fn record_answer(&mut self, backend: &Name, leaving: bool, stamp: u64, nodes: usize) {
        if self.is_reported(backend, DrainSource::Server) != leaving {
            let update = DrainUpdate { backend: backend.clone(), source: DrainSource::Server, leaving, stamp };
            self.merge(update, nodes);
        }
    }

    /// Returns whether the newest update from `source` calls the server draining.
    fn is_reported(&self, backend: &str, source: DrainSource) -> bool {
        let update = self.updates.get(&(Name::from(backend), source));
        update.is_some_and(|update| update.leaving)
    }

    /// Takes the updates to send with the next heartbeat.
    pub fn take_updates(&mut self) -> Vec<DrainUpdate> {
        self.outgoing.take(MAX_UPDATES)
    }
}
