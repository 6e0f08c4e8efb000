//! Generations of the configuration: a set of items with a number that only increases.

use super::{Backend, BackendKind, Campaign, User, Zone};
use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The content of one configuration item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ConfigContent {
    /// An availability zone.
    Zone(Zone),
    /// A backend server.
    Backend(Backend),
    /// A user.
    User(User),
    /// A campaign.
    Campaign(Campaign),
}

impl ConfigContent {
    /// Returns the key of the item: its kind and its name.
    pub fn key(&self) -> Name {
        let (kind, name) = match self {
            Self::Zone(zone) => ("zone", &zone.name),
            Self::Backend(backend) => ("backend", &backend.name),
            Self::User(user) => ("user", &user.name),
            Self::Campaign(campaign) => ("campaign", &campaign.name),
        };
        format!("{kind}/{name}").into()
    }
}

/// A configuration item and the scope that declared it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigItem {
    /// Scope that owns the item.
    pub scope: Name,
    /// Content of the item.
    pub body: ConfigContent,
}

/// The changes from one generation to the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The generation that this delta produces; it applies only to the generation directly before.
    pub generation: u64,
    /// Scope that was changed.
    pub scope: Name,
    /// Id of the confirmation that committed it, by which a commit is recognised whose response was lost.
    pub operation: Name,
    /// New content by key; `None` removes the item.
    pub changes: Vec<(Name, Option<Arc<ConfigItem>>)>,
}

/// One generation of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of the generation; 0 is the empty configuration.
    pub generation: u64,
    /// Items by key. Generations share the items that are the same in both.
    pub items: BTreeMap<Name, Arc<ConfigItem>>,
    /// Generation at which each scope last changed.
    pub scopes: BTreeMap<Name, u64>,
}

impl Configuration {
    /// Applies a delta to the next generation and returns whether it fits. A delta that does not directly
    /// follow this generation changes nothing.
    #[must_use]
    pub fn apply(&mut self, delta: &ConfigDelta) -> bool {
        if delta.generation != self.generation + 1 {
            return false;
        }
        for (key, item) in &delta.changes {
            match item {
                Some(item) => self.items.insert(key.clone(), item.clone()),
                None => self.items.remove(key),
            };
        }
        self.scopes.insert(delta.scope.clone(), delta.generation);
        self.generation = delta.generation;
        true
    }

    /// Returns the generation at which `scope` last changed, or 0.
    pub fn scope_generation(&self, scope: &str) -> u64 {
        self.scopes.get(scope).copied().unwrap_or(0)
    }

    /// Returns the campaign called `name`.
    pub fn campaign(&self, name: &str) -> Option<&Campaign> {
        match self.content(&format!("campaign/{name}")) {
            Some(ConfigContent::Campaign(campaign)) => Some(campaign),
            _ => None,
        }
    }

    /// Returns the user called `name`.
    pub fn user(&self, name: &str) -> Option<&User> {
        match self.content(&format!("user/{name}")) {
            Some(ConfigContent::User(user)) => Some(user),
            _ => None,
        }
    }

    /// Returns the region of the zone called `name`.
    pub fn region(&self, name: &str) -> Option<&Name> {
        match self.content(&format!("zone/{name}")) {
            Some(ConfigContent::Zone(zone)) => Some(&zone.region),
            _ => None,
        }
    }

    /// Returns the campaigns in name order.
    pub fn campaigns(&self) -> impl Iterator<Item = &Campaign> {
        self.items_with_prefix("campaign/").filter_map(|item| match &item.body {
            ConfigContent::Campaign(campaign) => Some(campaign),
            _ => None,
        })
    }

    /// Returns the backend servers in name order.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.items_with_prefix("backend/").filter_map(|item| match &item.body {
            ConfigContent::Backend(backend) => Some(backend),
            _ => None,
        })
    }

    /// Returns the backend servers of one kind and service in name order.
    pub fn backends_of<'a>(&'a self, kind: BackendKind, service: &'a str) -> impl Iterator<Item = &'a Backend> {
        self.backends().filter(move |backend| backend.kind == kind && backend.service.as_ref() == service)
    }

    /// Returns the backend server called `name`.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        match self.content(&format!("backend/{name}")) {
            Some(ConfigContent::Backend(backend)) => Some(backend),
            _ => None,
        }
    }

    fn content(&self, key: &str) -> Option<&ConfigContent> {
        self.items.get(key).map(|item| &item.body)
    }

    fn items_with_prefix<'a>(&'a self, prefix: &'static str) -> impl Iterator<Item = &'a ConfigItem> {
        let first: Name = prefix.into();
        let rest = self.items.range(first..);
        rest.take_while(move |(key, _)| key.starts_with(prefix)).map(|(_, item)| item.as_ref())
    }
}
