//! Backend servers as service discovery lists them.

use crate::version::WeightVersion;
use crate::{Name, Timestamp};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

/// One registered backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Instance. A server that starts again may have the one that it had.
    pub instance: Name,
    /// Start of the server in milliseconds since 1970, by its own clock; 0 if it does not say.
    pub started_ms: u64,
    /// Service that the server belongs to.
    pub service: Name,
    /// Address.
    pub address: Name,
    /// Availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it asks for no new work.
    pub is_draining: bool,
    /// Weight versions that it held at its last heartbeat.
    pub models: Vec<(Name, WeightVersion)>,
    /// Counts heartbeats.
    pub heartbeat: u64,
}

/// Settings of a [`ServerRegistry`].
#[derive(Clone, Debug)]
pub struct RegistrySettings {
    /// Time after the store's return within which entries that lapsed during its outage come back;
    /// the users' letter says about two seconds, and half a second is added for the watch.
    pub return_time: Duration,
}

impl Default for RegistrySettings {
    fn default() -> Self {
        Self { return_time: Duration::from_millis(2_500) }
    }
}

/// The registered backend servers, with those that lapsed during an outage of the store.
#[derive(Clone, Debug, Default)]
pub struct ServerRegistry {
    settings: RegistrySettings,
    entries: BTreeMap<Name, ServerEntry>,
    /// Instances by service.
    services: BTreeMap<Name, BTreeSet<Name>>,
    /// Counts changes of entries other than heartbeats.
    changes: u64,
    /// Lapsed entries that are still believed, until the given time.
    lapsed: BTreeMap<Name, Timestamp>,
    outage_ended: Option<Timestamp>,
    is_out: bool,
}

impl ServerRegistry {
    /// Builds an empty registry.
    pub fn new(settings: RegistrySettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records that the store cannot be read.
    pub fn store_lost(&mut self) {
        self.is_out = true;
    }

    /// Records that the store can be read again.
    pub fn store_returned(&mut self, now: Timestamp) {
        if self.is_out {
            self.is_out = false;
            self.outage_ended = Some(now);
        }
    }

    /// Returns whether the list may lack servers that live: the store is away, or was until just now.
    pub fn may_be_incomplete(&self) -> bool {
        self.is_out || !self.lapsed.is_empty()
    }

    /// Takes over an entry, unless it is of an earlier start than the one held. Returns whether more
    /// than the heartbeat changed.
    pub fn put(&mut self, entry: ServerEntry) -> bool {
        let held = self.entries.get(&entry.instance);
        if held.is_some_and(|held| held.started_ms > entry.started_ms) {
            return false;
        }
        self.lapsed.remove(&entry.instance);
        let is_news = held.is_none_or(|held| ServerEntry { heartbeat: entry.heartbeat, ..held.clone() } != entry);
        if is_news {
            self.changes += 1;
            self.leave_service(&entry.instance);
            self.services.entry(entry.service.clone()).or_default().insert(entry.instance.clone());
        }
        self.entries.insert(entry.instance.clone(), entry);
        is_news
    }

    fn leave_service(&mut self, instance: &str) {
        let Some(held) = self.entries.get(instance) else { return };
        if let Some(instances) = self.services.get_mut(&held.service) {
            instances.remove(instance);
        }
    }

    fn forget(&mut self, instance: &str) -> bool {
        self.leave_service(instance);
        let was_held = self.entries.remove(instance).is_some();
        self.changes += u64::from(was_held);
        was_held
    }

    /// Records that an entry was removed. Shortly after an outage it is believed a little longer,
    /// because servers that live are about to register again. Returns whether it is gone now.
    pub fn remove(&mut self, now: Timestamp, instance: &str) -> bool {
        let limit = self.outage_ended.map(|ended| ended + self.settings.return_time);
        match limit {
            Some(limit) if now < limit && self.entries.contains_key(instance) => {
                self.lapsed.insert(instance.into(), limit);
                false
            }
            _ => self.forget(instance),
        }
    }

    /// Forgets an entry that was written over by something that names no server. Whatever the store
    /// did before, it is not believed any longer. Returns whether there was one.
    pub fn refuse(&mut self, instance: &str) -> bool {
        self.lapsed.remove(instance);
        self.forget(instance)
    }

    /// Replaces everything by a full read; entries that it lacks are removed as by [`Self::remove`].
    pub fn replace(&mut self, now: Timestamp, entries: Vec<ServerEntry>) {
        let listed: HashSet<Name> = entries.iter().map(|entry| entry.instance.clone()).collect();
        for entry in entries {
            self.put(entry);
        }
        let missing: Vec<Name> = self.entries.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for instance in missing {
            if !self.lapsed.contains_key(&instance) {
                self.remove(now, &instance);
            }
        }
    }

    /// Forgets lapsed entries whose time is over; returns their instances.
    pub fn expire(&mut self, now: Timestamp) -> Vec<Name> {
        let over: Vec<Name> =
            self.lapsed.iter().filter(|(_, limit)| **limit <= now).map(|(name, _)| name.clone()).collect();
        for instance in &over {
            self.lapsed.remove(instance);
            self.forget(instance);
        }
        over
    }

    /// Returns an entry.
    pub fn get(&self, instance: &str) -> Option<&ServerEntry> {
        self.entries.get(instance)
    }

    /// Returns how often more than a heartbeat changed.
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
