//! Holds made groups while the store is down and drains them afterwards at a set rate.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Settings of a [`SampleSpool`].
#[derive(Clone, Debug)]
pub struct SpoolSettings {
    /// Bytes held at most.
    pub max_bytes: usize,
    /// Shortest time between two groups while draining.
    pub drain_interval: Duration,
    /// Time between two groups for each live node, so that all nodes together keep to one rate that
    /// the store can take, however many of them there are.
    pub drain_interval_per_node: Duration,
    /// Wait after a write that failed; it doubles up to `max_wait`.
    pub first_wait: Duration,
    /// Longest wait between two tries.
    pub max_wait: Duration,
}

impl Default for SpoolSettings {
    fn default() -> Self {
        Self {
            max_bytes: 8 * 1024 * 1024,
            drain_interval: Duration::from_millis(50),
            drain_interval_per_node: Duration::from_millis(5),
            first_wait: Duration::from_millis(250),
            max_wait: Duration::from_secs(5),
        }
    }
}

/// A bounded first-in first-out spool of groups that wait for the store.
#[derive(Clone, Debug)]
pub struct SampleSpool<T> {
    settings: SpoolSettings,
    waiting: VecDeque<(T, usize)>,
    bytes: usize,
    next_try: Timestamp,
    wait: Duration,
}

impl<T> SampleSpool<T> {
    /// Builds an empty spool.
    pub fn new(settings: SpoolSettings) -> Self {
        let wait = settings.first_wait;
        Self { settings, waiting: VecDeque::new(), bytes: 0, next_try: Timestamp::default(), wait }
    }

    /// Takes a group of `size` bytes in, or gives it back if the spool is full.
    pub fn offer(&mut self, group: T, size: usize) -> Result<(), T> {
        if self.bytes + size > self.settings.max_bytes {
            return Err(group);
        }
        self.bytes += size;
        self.waiting.push_back((group, size));
        Ok(())
    }

    /// Returns whether there is room for `size` bytes, so that work is not begun in vain.
    pub fn has_room(&self, size: usize) -> bool {
        self.bytes + size <= self.settings.max_bytes
    }

    /// Returns the groups that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes out the next group to try, if it is time; report back with `stored` or `failed`.
    ///
    /// `nodes` is how many nodes may be draining at the same time.
    pub fn next(&mut self, now: Timestamp, nodes: usize) -> Option<(T, usize)> {
        if now < self.next_try {
            return None;
        }
        let entry = self.waiting.pop_front()?;
        self.bytes -= entry.1;
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let shared = self.settings.drain_interval_per_node.saturating_mul(nodes);
        self.next_try = now + shared.max(self.settings.drain_interval);
        Some(entry)
    }

    /// Records that the store took a group.
    pub fn stored(&mut self) {
        self.wait = self.settings.first_wait;
    }

    /// Puts back a group that the store did not take, at the front, and waits.
    ///
    /// It is taken back even past the bound: dropping a made group would be worse than a spool
    /// that is one group over its size.
    pub fn failed(&mut self, now: Timestamp, group: T, size: usize) {
        self.bytes += size;
        self.waiting.push_front((group, size));
        self.next_try = now + self.wait;
        self.wait = (self.wait * 2).min(self.settings.max_wait);
    }
}
