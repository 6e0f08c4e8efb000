//! Plans: what a declaration would change, in words, before anything changes.

use super::{Campaign, ConfigDelta, Configuration, Declaration, Item, ItemBody};
use crate::Name;
use crate::hash::digest_hex;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// A plan for an operator to confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangePlan {
    /// Scope that would change.
    pub scope: Name,
    /// Generation at which the scope last changed when the plan was made.
    ///
    /// The confirmation is refused if the scope has changed since. Changes of other scopes do not
    /// matter, or at 66,000 changes a day no plan would live long enough to be read.
    pub made_from: u64,
    /// Digest of the changes; a confirmation must present the same one.
    pub digest: Name,
    /// What would change, a sentence each.
    pub effects: Vec<Name>,
    /// The changes themselves.
    pub changes: Vec<(Name, Option<Arc<Item>>)>,
}

impl ChangePlan {
    /// Turns the plan into the delta that commits it as `generation`.
    pub fn into_delta(self, generation: u64, operation: Name) -> ConfigDelta {
        ConfigDelta { generation, scope: self.scope, operation, changes: self.changes }
    }
}

/// Why no plan could be made from a declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanError {
    /// The declaration names an item that another scope owns.
    OwnedElsewhere {
        /// Key of the item.
        key: Name,
        /// Scope that owns it.
        owner: Name,
    },
}

impl fmt::Display for PlanError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OwnedElsewhere { key, owner } => {
                write!(formatter, "{key} is declared by scope {owner}; choose another name or change it there")
            }
        }
    }
}

impl std::error::Error for PlanError {}

/// Compares a declaration with the configuration in force.
pub fn plan_change(current: &Configuration, declaration: &Declaration) -> Result<ChangePlan, PlanError> {
    let wanted = declaration.items();
    let mut changes = Vec::new();
    let mut effects = Vec::new();
    for (key, item) in &wanted {
        let held = current.items.get(key);
        if let Some(held) = held.filter(|held| held.scope != declaration.scope) {
            return Err(PlanError::OwnedElsewhere { key: key.clone(), owner: held.scope.clone() });
        }
        if held.map(Arc::as_ref) != Some(item) {
            effects.push(describe_change(key, held.map(Arc::as_ref), item));
            changes.push((key.clone(), Some(Arc::new(item.clone()))));
        }
    }
    let dropped =
        current.items.iter().filter(|(key, item)| item.scope == declaration.scope && !wanted.contains_key(*key));
    for (key, item) in dropped {
        effects.push(describe_removal(key, item));
        changes.push((key.clone(), None));
    }
    let made_from = current.scope_generation(&declaration.scope);
    let encoded = serde_json::to_vec(&changes).expect("items always encode");
    let digest = digest_hex(&encoded).into();
    Ok(ChangePlan { scope: declaration.scope.clone(), made_from, digest, effects, changes })
}

fn describe_change(key: &Name, held: Option<&Item>, wanted: &Item) -> Name {
    match (held.map(|item| &item.body), &wanted.body) {
        (None, ItemBody::Backend(backend)) => {
            format!("{key}: starts to receive work for {} in {}", backend.service, backend.zone).into()
        }
        (None, _) => format!("{key}: is created").into(),
        (Some(ItemBody::Campaign(old)), ItemBody::Campaign(new)) => describe_campaign(old, new).into(),
        (Some(ItemBody::Backend(old)), ItemBody::Backend(new)) if new.leaving && !old.leaving => {
            format!("{key}: receives no new work; requests in progress end by themselves").into()
        }
        (Some(ItemBody::Backend(old)), ItemBody::Backend(new)) if new.zone != old.zone => {
            format!("{key}: moves from {} to {}", old.zone, new.zone).into()
        }
        _ => format!("{key}: changes").into(),
    }
}

fn describe_campaign(old: &Campaign, new: &Campaign) -> String {
    let mut effects = Vec::new();
    for zone in old.places.zones_missing_from(&new.places) {
        effects.push(format!("no longer uses {zone}; groups in progress are cancelled and made again"));
    }
    for zone in new.places.zones_missing_from(&old.places) {
        effects.push(format!("may use {zone}"));
    }
    if new.max_staleness_versions < old.max_staleness_versions {
        effects.push(format!(
            "staleness bound tightens from {} to {} versions; older samples of open steps are made again",
            old.max_staleness_versions, new.max_staleness_versions
        ));
    }
    if new.max_staleness_versions > old.max_staleness_versions {
        effects.push(format!(
            "staleness bound loosens from {} to {} versions",
            old.max_staleness_versions, new.max_staleness_versions
        ));
    }
    if effects.is_empty() {
        effects.push("changes".into());
    }
    format!("campaign/{}: {}", new.name, effects.join("; "))
}

fn describe_removal(key: &Name, item: &Item) -> Name {
    match &item.body {
        ItemBody::Backend(_) => format!("{key}: receives no new work and is forgotten").into(),
        ItemBody::Campaign(_) => format!("{key}: ends; its open steps are abandoned").into(),
        _ => format!("{key}: is removed").into(),
    }
}
