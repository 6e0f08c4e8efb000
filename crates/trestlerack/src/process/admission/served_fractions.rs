//! The fraction of calls of each priority class that was recently served.

use super::queue::CallKind;
use crate::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Interval at which counts are halved, so that they follow a change of load within seconds.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Calls of the same priority and kind. The smallest class is the most urgent.
pub type PriorityClass = (u8, CallKind);

/// Calls of a class that arrived and that were served.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    arrived: f64,
    served: f64,
}

impl ClassCounts {
    fn fraction(&self) -> f64 {
        if self.arrived > 0.0 { self.served / self.arrived } else { 1.0 }
    }
}

/// Counts of arrived and served calls by class, with exponential decay.
#[derive(Clone, Debug, Default)]
pub struct ServedFractions {
    classes: BTreeMap<PriorityClass, ClassCounts>,
    halved_at: Timestamp,
}

impl ServedFractions {
    /// Records that a call arrived.
    pub fn record_arrival(&mut self, now: Timestamp, class: PriorityClass) {
        self.halve(now);
        self.classes.entry(class).or_default().arrived += 1.0;
    }

    /// Records that a call was admitted.
    pub fn record_served(&mut self, class: PriorityClass) {
        self.classes.entry(class).or_default().served += 1.0;
    }

    /// Returns whether a class is served less than all more urgent ones, and less than `fraction` of what the
    /// best served of these is.
    pub fn is_underserved(&self, class: PriorityClass, fraction: f64) -> bool {
        let Some(own) = self.classes.get(&class).map(ClassCounts::fraction) else { return false };
        let more_urgent = || self.classes.range(..class).map(|(_, counts)| counts.fraction());
        more_urgent().all(|other| own < other) && more_urgent().any(|other| own < fraction * other)
    }

    fn halve(&mut self, now: Timestamp) {
        const NEGLIGIBLE: f64 = 0.5;
        if now.since(self.halved_at) < HALF_LIFE {
            return;
        }
        self.halved_at = now;
        for counts in self.classes.values_mut() {
            counts.arrived /= 2.0;
            counts.served /= 2.0;
        }
        self.classes.retain(|_, counts| counts.arrived >= NEGLIGIBLE);
    }
}
