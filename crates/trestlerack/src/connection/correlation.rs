//! Correlation ids that are never used twice on a link.

/// Hands out correlation ids for one link.
#[derive(Debug, Default)]
pub struct CorrelationIds {
    last: u64,
}

impl CorrelationIds {
    /// Returns an id that this link has not used before.
    pub fn next_id(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
