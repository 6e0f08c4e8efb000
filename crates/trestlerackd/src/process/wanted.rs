//! The groups that this node is making, so that none is begun twice here.

use std::collections::HashSet;
use std::sync::Mutex;
use trestlerack::connection::GroupRequest;
use trestlerack::process::group_key;

/// Keys of the groups in progress on this node.
#[derive(Default)]
pub struct WantedGroups {
    in_progress: Mutex<HashSet<String>>,
}

impl WantedGroups {
    /// Begins a group, or returns `None` if it is in progress.
    pub fn begin(&self, wanted: &GroupRequest) -> Option<String> {
        let key = group_key(&wanted.campaign, wanted.step, &wanted.spec.group);
        let fresh = self.in_progress.lock().unwrap().insert(key.clone());
        fresh.then_some(key)
    }

    /// Ends a group.
    pub fn end(&self, key: &str) {
        self.in_progress.lock().unwrap().remove(key);
    }

    /// Returns how many groups are in progress.
    pub fn len(&self) -> usize {
        self.in_progress.lock().unwrap().len()
    }
}
