//! Limits a customer to a fraction of its calls.

use crate::hash::hash_parts;

/// Admits a fixed fraction of a customer's calls at even intervals.
///
/// Unlike random sampling, this admits the right fraction of a short sequence of calls too. The initial credit
/// differs between nodes, so a customer that makes one call at each node gets its fraction of these calls instead
/// of all or none.
#[derive(Clone, Debug)]
pub struct CallThrottle {
    fraction: f32,
    credit: f32,
}

impl CallThrottle {
    /// Creates the throttle of a customer at a node.
    pub fn new(node: &str, customer: &str, fraction: f32) -> Self {
        let initial_credit = hash_parts(&[node, customer]) as f64 / u64::MAX as f64;
        Self { fraction, credit: initial_credit as f32 }
    }

    /// Returns the fraction of calls that is admitted.
    pub fn fraction(&self) -> f32 {
        self.fraction
    }

    /// Changes the fraction and keeps the accumulated credit.
    pub fn set_fraction(&mut self, fraction: f32) {
        self.fraction = fraction;
    }

    /// Counts a call and returns whether it is admitted.
    #[must_use]
    pub fn admit(&mut self) -> bool {
        self.credit += self.fraction;
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }
        is_admitted
    }
}
