//! Correlation ids, which are unique on a link.

/// Generates the correlation ids of one link.
#[derive(Debug, Default)]
pub struct CorrelationIds {
    last: u64,
}

impl CorrelationIds {
    /// Returns an id that has not been used on this link before.
    pub fn next_id(&mut self) -> u64 {
        self.last += 1;
        self.last
    }
}
