//! The current configuration, which any task can read at low cost.

use std::sync::{Arc, Mutex, RwLock};
use trestlerack::version::{ConfigDelta, ConfigFollower, Configuration, FollowAction, FollowEvent};

/// The configuration follower and a shared copy of its current configuration.
#[derive(Default)]
pub struct ConfigCell {
    follower: Mutex<ConfigFollower>,
    current: RwLock<Arc<Configuration>>,
}

impl ConfigCell {
    /// Returns the current configuration.
    pub fn current(&self) -> Arc<Configuration> {
        self.current.read().unwrap().clone()
    }

    /// Passes an event to the follower. Readers see a new generation before this returns.
    pub fn handle(&self, event: FollowEvent) -> Option<FollowAction> {
        let mut follower = self.follower.lock().unwrap();
        let action = follower.handle(event);
        if let Some(FollowAction::Applied { .. }) = action {
            *self.current.write().unwrap() = follower.current().clone();
        }
        action
    }

    /// Returns the deltas after `generation`, or `None` if they are no longer kept.
    pub fn deltas_after(&self, generation: u64) -> Option<Vec<ConfigDelta>> {
        self.follower.lock().unwrap().deltas_after(generation)
    }
}
