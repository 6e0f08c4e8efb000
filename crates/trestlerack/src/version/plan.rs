//! Plans the changes that a declaration would make, so that an operator can review and confirm them.

use super::{Campaign, ConfigContent, ConfigDelta, ConfigItem, Configuration, Declaration};
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
    /// The confirmation is rejected if the scope has changed since. Changes of other scopes are allowed: at
    /// 66,000 changes a day, every plan would be outdated before it is read.
    #[serde(rename = "made_from")]
    pub base_generation: u64,
    /// Digest of the changes; a confirmation must contain the same digest.
    pub digest: Name,
    /// Description of each change for the operator.
    pub effects: Vec<Name>,
    /// New content by key; `None` removes the item.
    pub changes: Vec<(Name, Option<Arc<ConfigItem>>)>,
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

/// Plans the changes that bring the current configuration in line with a declaration.
///
/// Fails if the declaration names an item of another scope.
pub fn plan_change(current: &Configuration, declaration: &Declaration) -> Result<ChangePlan, PlanError> {
    let wanted = declaration.items();
    let mut changes = Vec::new();
    let mut effects = Vec::new();
    for (key, item) in &wanted {
        let existing = current.items.get(key);
        if let Some(other) = existing.filter(|existing| existing.scope != declaration.scope) {
            return Err(PlanError::OwnedElsewhere { key: key.clone(), owner: other.scope.clone() });
        }
        if existing.map(Arc::as_ref) != Some(item) {
            effects.push(describe_change(key, existing.map(Arc::as_ref), item));
            changes.push((key.clone(), Some(Arc::new(item.clone()))));
        }
    }
    let removed =
        current.items.iter().filter(|(key, item)| item.scope == declaration.scope && !wanted.contains_key(*key));
    for (key, item) in removed {
        effects.push(describe_removal(key, item));
        changes.push((key.clone(), None));
    }
    let base_generation = current.scope_generation(&declaration.scope);
    let encoded = serde_json::to_vec(&changes).expect("items always encode");
    let digest = digest_hex(&encoded).into();
    Ok(ChangePlan { scope: declaration.scope.clone(), base_generation, digest, effects, changes })
}

fn describe_change(key: &Name, existing: Option<&ConfigItem>, wanted: &ConfigItem) -> Name {
    match (existing.map(|item| &item.body), &wanted.body) {
        (None, ConfigContent::Backend(backend)) => {
            format!("{key}: starts to receive work for {} in {}", backend.service, backend.zone).into()
        }
        (None, _) => format!("{key}: is created").into(),
        (Some(ConfigContent::Campaign(old)), ConfigContent::Campaign(new)) => describe_campaign(old, new).into(),
        (Some(ConfigContent::Backend(old)), ConfigContent::Backend(new)) if new.is_draining && !old.is_draining => {
            format!("{key}: receives no new work; requests in progress are completed").into()
        }
        (Some(ConfigContent::Backend(old)), ConfigContent::Backend(new)) if new.zone != old.zone => {
            format!("{key}: moves from {} to {}", old.zone, new.zone).into()
        }
        _ => format!("{key}: changes").into(),
    }
}

fn describe_campaign(old: &Campaign, new: &Campaign) -> String {
    let mut effects = Vec::new();
    for zone in old.allowed_zones.zones_missing_from(&new.allowed_zones) {
        effects.push(format!("no longer uses {zone}; groups in progress are cancelled and generated again"));
    }
    for zone in new.allowed_zones.zones_missing_from(&old.allowed_zones) {
        effects.push(format!("may use {zone}"));
    }
    if new.max_staleness_versions < old.max_staleness_versions {
        effects.push(format!(
            "staleness bound tightens from {} to {} versions; older samples of open steps are generated again",
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

fn describe_removal(key: &Name, item: &ConfigItem) -> Name {
    match &item.body {
        ConfigContent::Backend(_) => format!("{key}: receives no new work and is removed").into(),
        ConfigContent::Campaign(_) => format!("{key}: ends; its open steps are abandoned").into(),
        _ => format!("{key}: is removed").into(),
    }
}
