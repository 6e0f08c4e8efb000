//! Generations of the configuration: a set of items that only ever moves forward.

use super::{Backend, BackendKind, Campaign, User, Zone};
use crate::Name;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The content of one configuration item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ItemBody {
    /// An availability zone.
    Zone(Zone),
    /// A backend server.
    Backend(Backend),
    /// A user.
    User(User),
    /// A campaign.
    Campaign(Campaign),
}

impl ItemBody {
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
pub struct Item {
    /// Scope that owns the item.
    pub scope: Name,
    /// Content of the item.
    pub body: ItemBody,
}

/// The difference between one generation and the next.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigDelta {
    /// The generation that this delta leads to; it applies to the one before only.
    pub generation: u64,
    /// Scope that was changed.
    pub scope: Name,
    /// Id of the confirmation that committed it, for settling a lost answer.
    pub operation: Name,
    /// New content by key; `None` removes the item.
    pub changes: Vec<(Name, Option<Arc<Item>>)>,
}

/// One generation of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Number of the generation; 0 is the empty configuration.
    pub generation: u64,
    /// Items by key, shared between the generations that hold them unchanged.
    pub items: BTreeMap<Name, Arc<Item>>,
    /// Generation at which each scope last changed.
    pub scopes: BTreeMap<Name, u64>,
}

impl Configuration {
    /// Applies the next generation, or returns `false` and leaves everything as it was.
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
        match self.body(&format!("campaign/{name}")) {
            Some(ItemBody::Campaign(campaign)) => Some(campaign),
            _ => None,
        }
    }

    /// Returns the user called `name`.
    pub fn user(&self, name: &str) -> Option<&User> {
        match self.body(&format!("user/{name}")) {
            Some(ItemBody::User(user)) => Some(user),
            _ => None,
        }
    }

    /// Returns the region of the zone called `name`.
    pub fn region(&self, name: &str) -> Option<&Name> {
        match self.body(&format!("zone/{name}")) {
            Some(ItemBody::Zone(zone)) => Some(&zone.region),
            _ => None,
        }
    }

    /// Returns the campaigns in name order.
    pub fn campaigns(&self) -> impl Iterator<Item = &Campaign> {
        self.section("campaign/").filter_map(|item| match &item.body {
            ItemBody::Campaign(campaign) => Some(campaign),
            _ => None,
        })
    }

    /// Returns the backend servers in name order.
    pub fn backends(&self) -> impl Iterator<Item = &Backend> {
        self.section("backend/").filter_map(|item| match &item.body {
            ItemBody::Backend(backend) => Some(backend),
            _ => None,
        })
    }

    /// Returns the backend servers of one kind and service in name order.
    pub fn serving<'a>(&'a self, kind: BackendKind, service: &'a str) -> impl Iterator<Item = &'a Backend> {
        self.backends().filter(move |backend| backend.kind == kind && backend.service.as_ref() == service)
    }

    /// Returns the backend server called `name`.
    pub fn backend(&self, name: &str) -> Option<&Backend> {
        match self.body(&format!("backend/{name}")) {
            Some(ItemBody::Backend(backend)) => Some(backend),
            _ => None,
        }
    }

    fn body(&self, key: &str) -> Option<&ItemBody> {
        self.items.get(key).map(|item| &item.body)
    }

    fn section<'a>(&'a self, prefix: &'static str) -> impl Iterator<Item = &'a Item> {
        let first: Name = prefix.into();
        let rest = self.items.range(first..);
        rest.take_while(move |(key, _)| key.starts_with(prefix)).map(|(_, item)| item.as_ref())
    }
}
