//! Which part of its calls each rank was served of late.

use super::queue::CallKind;
use crate::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which counts weigh half, so that they follow a change of load within seconds.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Calls that compete alike: those of one priority and kind. The least goes first.
pub type RankClass = (u8, CallKind);

/// What one class asked for and was given.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    asked: f64,
    served: f64,
}

impl ClassCounts {
    fn part(&self) -> f64 {
        if self.asked > 0.0 { self.served / self.asked } else { 1.0 }
    }
}

/// Counts by class, of which older calls weigh less.
#[derive(Clone, Debug, Default)]
pub struct RankParts {
    classes: BTreeMap<RankClass, ClassCounts>,
    halved_at: Timestamp,
}

impl RankParts {
    /// Records that a call came.
    pub fn asked(&mut self, now: Timestamp, class: RankClass) {
        self.halve(now);
        self.classes.entry(class).or_default().asked += 1.0;
    }

    /// Records that a call got its place.
    pub fn served(&mut self, class: RankClass) {
        self.classes.entry(class).or_default().served += 1.0;
    }

    /// Returns whether a class is served less than `part` of what the best served of the more urgent ones
    /// is, and less than any of them.
    pub fn is_behind(&self, class: RankClass, part: f64) -> bool {
        let Some(own) = self.classes.get(&class).map(ClassCounts::part) else { return false };
        let more_urgent = || self.classes.range(..class).map(|(_, counts)| counts.part());
        more_urgent().all(|other| own < other) && more_urgent().any(|other| own < part * other)
    }

    fn halve(&mut self, now: Timestamp) {
        const NEGLIGIBLE: f64 = 0.5;
        if now.since(self.halved_at) < HALF_LIFE {
            return;
        }
        self.halved_at = now;
        for counts in self.classes.values_mut() {
            counts.asked /= 2.0;
            counts.served /= 2.0;
        }
        self.classes.retain(|_, counts| counts.asked >= NEGLIGIBLE);
    }
}
