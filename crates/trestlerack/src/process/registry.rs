//! Backend servers that are registered in service discovery.

use crate::version::WeightVersion;
use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

/// The service discovery entry of one backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Name of the instance. A restarted server may have the same one as before.
    pub instance: Name,
    /// Start of the server in milliseconds since 1970, by its own clock; 0 if it does not report one.
    pub started_ms: u64,
    /// Service that the server belongs to.
    pub service: Name,
    /// Address of the server.
    pub address: Name,
    /// Availability zone.
    pub zone: Name,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining, that is, asks for no new work.
    pub is_draining: bool,
    /// How much longer the server stays cold after its start, in milliseconds, at its last heartbeat.
    #[serde(default)]
    pub cold_left_ms: u64,
    /// Models and the weight versions that were loaded at its last heartbeat.
    pub models: Vec<(Name, WeightVersion)>,
    /// Number of heartbeats so far.
    pub heartbeat: u64,
}

impl ServerEntry {
    /// Returns whether `later` differs from this entry only in what changes with each heartbeat.
    pub fn is_heartbeat(&self, later: &Self) -> bool {
        let Self { heartbeat, cold_left_ms, .. } = *later;
        Self { heartbeat, cold_left_ms, ..self.clone() } == *later
    }

    /// Returns whether `later` is another report that the server is cold, or the first one that it is not.
    pub fn is_cold_report(&self, later: &Self) -> bool {
        let is_other = (self.heartbeat, self.cold_left_ms) != (later.heartbeat, later.cold_left_ms);
        is_other && (self.cold_left_ms > 0 || later.cold_left_ms > 0) && self.is_heartbeat(later)
    }
}

/// Settings of a [`ServerRegistry`].
#[derive(Clone, Debug)]
pub struct RegistrySettings {
    /// Time after an outage of the store within which live servers whose entries expired register again.
    /// The platform states about two seconds; half a second is added for the delay of the watch.
    pub reregistration_time: Duration,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self { reregistration_time: Duration::from_millis(2_500) }
    }
}

/// The registered backend servers, including those whose entries were removed just after an outage of
/// the store and that may still register again.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    settings: RegistrySettings,
    entries: BTreeMap<Name, ServerEntry>,
    /// Instance names by service.
    services: BTreeMap<Name, BTreeSet<Name>>,
    /// Number of changes of entries other than heartbeats and cold times.
    changes: u64,
    /// Removed entries that are still kept, and the time until which they are.
    pending_removals: BTreeMap<Name, Timestamp>,
    outage_ended_at: Option<Timestamp>,
    is_store_down: bool,
}

impl ServerRegistry {
    /// Builds an empty registry.
    pub fn new(settings: RegistrySettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that the store has become unavailable.
    pub fn store_lost(&mut self) {
        self.is_store_down = true;
    }

    /// Records that the store is available again.
    pub fn store_regained(&mut self, now: Timestamp) {
        if self.is_store_down {
            self.is_store_down = false;
            self.outage_ended_at = Some(now);
        }
    }

    /// Returns whether live servers may be missing, because the store is unavailable or because removals
    /// after an outage are pending.
    pub fn may_be_incomplete(&self) -> bool {
        self.is_store_down || !self.pending_removals.is_empty()
    }

    /// Stores an entry, unless the known one is of a later start of the server. Returns whether more than
    /// the heartbeat and the cold time changed, since the cold time changes with each heartbeat.
    pub fn put(&mut self, entry: ServerEntry) -> bool {
        let known = self.entries.get(&entry.instance);
        if known.is_some_and(|known| known.started_ms > entry.started_ms) {
            return false;
        }
        self.pending_removals.remove(&entry.instance);
        let is_changed = known.is_none_or(|known| !known.is_heartbeat(&entry));
        if is_changed {
            self.changes += 1;
            self.remove_from_service(&entry.instance);
            self.services.entry(entry.service.clone()).or_default().insert(entry.instance.clone());
        }
        self.entries.insert(entry.instance.clone(), entry);
        is_changed
    }

    fn remove_from_service(&mut self, instance: &str) {
        let Some(known) = self.entries.get(instance) else { return };
        if let Some(instances) = self.services.get_mut(&known.service) {
            instances.remove(instance);
        }
    }

    fn remove_now(&mut self, instance: &str) -> bool {
        self.remove_from_service(instance);
        let was_known = self.entries.remove(instance).is_some();
        self.changes += u64::from(was_known);
        was_known
    }

    /// Records that an entry was removed from the store. Shortly after an outage it is kept a little
    /// longer, because live servers are about to register again. Returns whether it was removed here.
    pub fn remove(&mut self, now: Timestamp, instance: &str) -> bool {
        let limit = self.outage_ended_at.map(|ended| ended + self.settings.reregistration_time);
        match limit {
            Some(limit) if now < limit && self.entries.contains_key(instance) => {
                self.pending_removals.insert(instance.into(), limit);
                false
            }
            _ => self.remove_now(instance),
        }
    }

    /// Removes an entry that was overwritten by a row that describes no server. Unlike a removed entry, it
    /// is not kept after an outage. Returns whether there was one.
    pub fn remove_invalid(&mut self, instance: &str) -> bool {
        self.pending_removals.remove(instance);
        self.remove_now(instance)
    }

    /// Replaces all entries by those of a full read. Missing ones are removed as by [`Self::remove`].
    pub fn replace(&mut self, now: Timestamp, entries: Vec<ServerEntry>) {
        let listed: HashSet<Name> = entries.iter().map(|entry| entry.instance.clone()).collect();
        for entry in entries {
            self.put(entry);
        }
        let missing: Vec<Name> = self.entries.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for instance in missing {
            if !self.pending_removals.contains_key(&instance) {
                self.remove(now, &instance);
            }
        }
    }

    /// Removes the entries whose removal is no longer pending and returns their instances.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Name> {
        let due: Vec<Name> =
            self.pending_removals.iter().filter(|(_, limit)| **limit <= now).map(|(name, _)| name.clone()).collect();
        for instance in &due {
            self.pending_removals.remove(instance);
            self.remove_now(instance);
        }
        due
    }

    /// Returns the entry of an instance.
    pub fn get(&self, instance: &str) -> Option<&ServerEntry> {
        self.entries.get(instance)
    }

    /// Returns the number of changes of entries other than heartbeats and cold times.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the entries of a service, ordered by instance.
    pub fn of_service(&self, service: &str) -> impl Iterator<Item = &ServerEntry> {
        let instances = self.services.get(service).into_iter().flatten();
        instances.filter_map(|instance| self.entries.get(instance))
    }

    /// Returns all entries, ordered by instance.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        self.entries.values()
    }
}
