//! The configuration in force, cheap to read from any task.

use std::sync::{Arc, Mutex, RwLock};
use trestlerack::version::{ConfigDelta, ConfigFollower, Configuration, FollowAction, FollowEvent};

/// The follower and a shared copy of what it holds.
#[derive(Default)]
pub struct ConfigCell {
    follower: Mutex<ConfigFollower>,
    current: RwLock<Arc<Configuration>>,
}

impl ConfigCell {
    /// Returns the configuration in force.
    pub fn current(&self) -> Arc<Configuration> {
        self.current.read().unwrap().clone()
    }

    /// Feeds an event to the follower; readers see a new generation before this returns.
    pub fn handle(&self, event: FollowEvent) -> Option<FollowAction> {
        let mut follower = self.follower.lock().unwrap();
        let action = follower.handle(event);
        if let Some(FollowAction::Applied { .. }) = action {
            *self.current.write().unwrap() = follower.current().clone();
        }
        action
    }

    /// Returns the deltas after `generation`, where they are still kept.
    pub fn deltas_after(&self, generation: u64) -> Option<Vec<ConfigDelta>> {
        self.follower.lock().unwrap().deltas_after(generation)
    }
}
