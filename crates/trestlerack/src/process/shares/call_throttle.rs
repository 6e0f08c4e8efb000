//! Admits a part of the calls of a customer.

use crate::hash::hash_parts;

/// Admits a part of a customer's calls by an even count.
///
/// A count, unlike chance, gives the customer its part of any few calls. Gates of nodes begin at
/// different places of the count, so that a customer which makes one call at each node gets its part of
/// these too, and not all or none.
#[derive(Clone, Debug)]
pub struct PartGate {
    part: f32,
    credit: f32,
}

impl PartGate {
    /// Builds the gate of a node for a customer.
    pub fn new(node: &str, customer: &str, part: f32) -> Self {
        let place = hash_parts(&[node, customer]) as f64 / u64::MAX as f64;
        Self { part, credit: place as f32 }
    }

    /// Returns the part that is admitted.
    pub fn part(&self) -> f32 {
        self.part
    }

    /// Changes the part; the count goes on.
    pub fn set_part(&mut self, part: f32) {
        self.part = part;
    }

    /// Counts a call, and returns whether it is admitted.
    #[must_use]
    pub fn admit(&mut self) -> bool {
        self.credit += self.part;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }
}
