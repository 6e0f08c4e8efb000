//! Sharded tables with one lock per shard.

use std::sync::{Mutex, MutexGuard};
use std::time::Duration;
use trestlerack::hash::hash_parts;
use trestlerack::process::UserLimiter;
use trestlerack::{Name, Timestamp};

/// Number of shards of a table; more than the cores of a small VM.
const SHARDS: usize = 16;

/// Table in shards that are selected by the hash of a name.
pub struct Sharded<T> {
    shards: Vec<Mutex<T>>,
}

impl<T: Default> Default for Sharded<T> {
    fn default() -> Self {
        Self { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }
}

impl<T> Sharded<T> {
    /// Locks the shard of `name`.
    pub fn lock(&self, name: &str) -> MutexGuard<'_, T> {
        let index = hash_parts(&[name]) as usize % self.shards.len();
        self.shards[index].lock().unwrap()
    }

    /// Iterates over the shards. Each is locked when the iterator reaches it.
    pub fn each(&self) -> impl Iterator<Item = MutexGuard<'_, T>> {
        self.shards.iter().map(|shard| shard.lock().unwrap())
    }
}

/// Sharded rate limiters of users.
#[derive(Default)]
pub struct UserLimits {
    limiters: Sharded<UserLimiter>,
}

impl UserLimits {
    /// Admits a call of `user`, or returns the time to wait as an error.
    pub fn admit(&self, now: Timestamp, user: &Name, limit: u32, nodes: usize) -> Result<(), Duration> {
        self.limiters.lock(user).admit(now, user, limit, nodes)
    }
}
