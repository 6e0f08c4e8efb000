//! Published weight versions, and the assignments of engines.

use std::collections::BTreeMap;
use std::sync::Mutex;
use trestlerack::Name;
use trestlerack::version::{EngineAssignment, WeightVersion};

/// Newest published version of each model and assignment of each engine, as known to this node.
#[derive(Debug, Default)]
pub struct WeightState {
    newest: Mutex<BTreeMap<Name, WeightVersion>>,
    assignments: Mutex<BTreeMap<Name, EngineAssignment>>,
}

impl WeightState {
    /// Records that a trainer published a version. Returns whether it is newer than the known ones.
    pub fn record_published_version(&self, model: &Name, version: WeightVersion) -> bool {
        let mut versions = self.newest.lock().unwrap();
        let newest = versions.entry(model.clone()).or_insert(0);
        let is_newer = version > *newest;
        *newest = version.max(*newest);
        is_newer
    }

    /// Returns the newest published version of a model, or 0 if there is none.
    pub fn newest_version(&self, model: &str) -> WeightVersion {
        self.newest.lock().unwrap().get(model).copied().unwrap_or(0)
    }

    /// Returns the newest published version of each model.
    pub fn newest_versions(&self) -> BTreeMap<Name, WeightVersion> {
        self.newest.lock().unwrap().clone()
    }

    /// Returns the assignment of an engine, if one is known.
    pub fn assignment(&self, instance: &str) -> Option<EngineAssignment> {
        self.assignments.lock().unwrap().get(instance).cloned()
    }

    /// Returns the assignments of all engines.
    pub fn assignments(&self) -> BTreeMap<Name, EngineAssignment> {
        self.assignments.lock().unwrap().clone()
    }

    /// Sets the assignment of an engine, or removes it if `assignment` is `None`.
    pub fn set_assignment(&self, instance: &Name, assignment: Option<EngineAssignment>) {
        let mut assignments = self.assignments.lock().unwrap();
        match assignment {
            Some(assignment) => assignments.insert(instance.clone(), assignment),
            None => assignments.remove(instance),
        };
    }
}
