//! Which weight versions trainers named, and what engines were ordered to load.

use std::collections::BTreeMap;
use std::sync::Mutex;
use trestlerack::Name;
use trestlerack::version::{EngineAssignment, WeightVersion};

/// Versions by model, and orders by engine, as this node knows them.
#[derive(Debug, Default)]
pub struct WeightBook {
    named: Mutex<BTreeMap<Name, WeightVersion>>,
    assignments: Mutex<BTreeMap<Name, EngineAssignment>>,
}

impl WeightBook {
    /// Records that a trainer named a version. Returns whether it is newer than those known.
    pub fn name_version(&self, model: &Name, version: WeightVersion) -> bool {
        let mut named = self.named.lock().unwrap();
        let newest = named.entry(model.clone()).or_insert(0);
        let is_newer = version > *newest;
        *newest = version.max(*newest);
        is_newer
    }

    /// Returns the newest version that was named for a model; 0 if none was.
    pub fn newest_version(&self, model: &str) -> WeightVersion {
        self.named.lock().unwrap().get(model).copied().unwrap_or(0)
    }

    /// Returns the newest version of each model.
    pub fn named_versions(&self) -> BTreeMap<Name, WeightVersion> {
        self.named.lock().unwrap().clone()
    }

    /// Returns what an engine was ordered.
    pub fn assignment(&self, instance: &str) -> Option<EngineAssignment> {
        self.assignments.lock().unwrap().get(instance).cloned()
    }

    /// Returns what all engines were ordered.
    pub fn assignments(&self) -> BTreeMap<Name, EngineAssignment> {
        self.assignments.lock().unwrap().clone()
    }

    /// Records what an engine was ordered; `None` if that is not known any more.
    pub fn assign(&self, instance: &Name, assignment: Option<EngineAssignment>) {
        let mut assignments = self.assignments.lock().unwrap();
        match assignment {
            Some(assignment) => assignments.insert(instance.clone(), assignment),
            None => assignments.remove(instance),
        };
    }
}
