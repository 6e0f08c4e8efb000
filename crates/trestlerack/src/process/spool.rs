//! Holds generated groups while the store is down and drains them afterwards at a limited rate.

use crate::Timestamp;
use std::collections::VecDeque;
use std::time::Duration;

/// Settings of a [`SampleSpool`].
#[derive(Clone, Debug)]
pub struct SpoolSettings {
    /// Maximum number of bytes held.
    pub max_bytes: usize,
    /// Minimum time between two groups while draining.
    pub drain_interval: Duration,
    /// Time between two groups per live node, so that all nodes together keep to one rate that the store
    /// can take, however many nodes there are.
    pub drain_interval_per_node: Duration,
    /// Wait after the first failed write; it doubles with each further one, up to `max_backoff`.
    pub first_backoff: Duration,
    /// Maximum backoff after a failed write.
    pub max_backoff: Duration,
}

impl Default for SpoolSettings {
    fn default() -> Self {
        Self {
            max_bytes: 8 * 1024 * 1024,
            drain_interval: Duration::from_millis(50),
            drain_interval_per_node: Duration::from_millis(5),
            first_backoff: Duration::from_millis(250),
            max_backoff: Duration::from_secs(5),
        }
    }
}

/// A bounded first-in, first-out queue of groups that wait for the store.
#[derive(Clone, Debug)]
pub struct SampleSpool<T> {
    settings: SpoolSettings,
    waiting: VecDeque<(T, usize)>,
    bytes: usize,
    next_try: Timestamp,
    backoff: Duration,
}

impl<T> SampleSpool<T> {
    /// Builds an empty spool.
    pub fn new(settings: SpoolSettings) -> Self {
        let backoff = settings.first_backoff;
        Self { settings, waiting: VecDeque::new(), bytes: 0, next_try: Timestamp::default(), backoff }
    }

    /// Adds a group of `size` bytes, or returns it as the error if the spool is full.
    pub fn try_push(&mut self, group: T, size: usize) -> Result<(), T> {
        if self.bytes + size > self.settings.max_bytes {
            return Err(group);
        }
        self.bytes += size;
        self.waiting.push_back((group, size));
        Ok(())
    }

    /// Returns whether there is space for `size` bytes, to be checked before a group is generated.
    pub fn has_space(&self, size: usize) -> bool {
        self.bytes + size <= self.settings.max_bytes
    }

    /// Returns the number of waiting groups.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no group waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes out the next group to write and its size, if the drain rate and the backoff allow one at
    /// `now`. The outcome is to be reported with [`Self::record_success`] or [`Self::record_failure`].
    ///
    /// `nodes` is the number of nodes that may be draining at the same time.
    pub fn next(&mut self, now: Timestamp, nodes: usize) -> Option<(T, usize)> {
        if now < self.next_try {
            return None;
        }
        let entry = self.waiting.pop_front()?;
        self.bytes -= entry.1;
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let shared_interval = self.settings.drain_interval_per_node.saturating_mul(nodes);
        self.next_try = now + shared_interval.max(self.settings.drain_interval);
        Some(entry)
    }

    /// Records that the store accepted a group, which resets the backoff.
    pub fn record_success(&mut self) {
        self.backoff = self.settings.first_backoff;
    }

    /// Puts a group that the store did not accept back to the front, and backs off.
    ///
    /// The group is put back even if the spool is full by now: dropping a generated group would be worse
    /// than exceeding the bound by one group.
    pub fn record_failure(&mut self, now: Timestamp, group: T, size: usize) {
        self.bytes += size;
        self.waiting.push_front((group, size));
        self.next_try = now + self.backoff;
        self.backoff = (self.backoff * 2).min(self.settings.max_backoff);
    }
}
