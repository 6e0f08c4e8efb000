//! The groups that this node generates now, so that it does not start one of them twice.

use std::collections::HashSet;
use std::sync::Mutex;
use trestlerack::connection::GroupRequest;
use trestlerack::process::group_key;

/// Keys of the groups in progress on this node.
#[derive(Default)]
pub struct GroupsInProgress {
    keys: Mutex<HashSet<String>>,
}

impl GroupsInProgress {
    /// Marks a group as in progress and returns its key, or `None` if it already is in progress.
    pub fn begin(&self, request: &GroupRequest) -> Option<String> {
        let key = group_key(&request.campaign, request.step, &request.spec.group);
        let is_new = self.keys.lock().unwrap().insert(key.clone());
        is_new.then_some(key)
    }

    /// Removes a group that is no longer in progress.
    pub fn end(&self, key: &str) {
        self.keys.lock().unwrap().remove(key);
    }

    /// Returns how many groups are in progress.
    pub fn len(&self) -> usize {
        self.keys.lock().unwrap().len()
    }
}
