//! Decides how many engines load weights at once, by how long their loads take.

use crate::Timestamp;
use std::time::Duration;

/// How many times the usual time a load takes from which it counts as slowed down by others.
const SLOW_LOAD: f64 = 1.25;

/// Slow loads in a row after which one engine fewer loads at once. One or two may be slow engines: two
/// of nine that were slow for eight seconds cost a day 0.04 of its worth where two sufficed.
const SLOW_LOADS: u32 = 3;

/// Loads in a row of the usual time after which one more engine may load at once again, up to as many
/// as at first. A try that fails doubles it up to [`MOST_LOADS`]: while too many load, each version
/// comes later.
const FIRST_LOADS: u32 = 4;

/// Upper limit of that number.
const MOST_LOADS: u32 = 128;

/// The number of loads at once: one less after loads that others slowed down, and one more again after
/// many that none did.
///
/// The store of weights carries so many loads at their usual pace, and which number that is no
/// interface tells. Beyond it they slow each other down, and orders that follow each other by the
/// clock pile up: with three at once where two are carried, engines took over two seconds for each
/// load of 0.9 s.
#[derive(Clone, Debug)]
pub struct LoadPacer {
    first: usize,
    limit: usize,
    changed_at: Timestamp,
    slow: u32,
    in_time: u32,
    loads_to_grow: u32,
}

/// A load that is over.
#[derive(Clone, Copy, Debug)]
pub struct LoadTime {
    /// When the engine accepted its order.
    pub accepted_at: Timestamp,
    /// How long it took.
    pub took: Duration,
    /// How long it takes where no other engine loads.
    pub usual: Duration,
    /// Engines that loaded when it ended, with this one.
    pub at_once: usize,
}

impl LoadPacer {
    /// Starts with a number that nothing is known against, and that is never exceeded.
    pub fn new(first: usize) -> Self {
        let (limit, changed_at, loads_to_grow) = (first.max(1), Timestamp::default(), FIRST_LOADS);
        Self { first: limit, limit, changed_at, slow: 0, in_time: 0, loads_to_grow }
    }

    /// Returns how many engines may load at once.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns whether a load that takes `took` was slowed down, where it usually takes `usual`.
    pub fn is_slow(took: Duration, usual: Duration) -> bool {
        took > usual.mul_f64(SLOW_LOAD)
    }

    /// Records a load that is over, or known to be slow. Loads that began under an earlier limit, or beside fewer others than
    /// the limit allows, say nothing about it.
    pub fn loaded(&mut self, now: Timestamp, load: LoadTime) {
        if load.at_once < self.limit || load.accepted_at < self.changed_at {
            return;
        }
        if Self::is_slow(load.took, load.usual) {
            self.in_time = 0;
            self.slow += 1;
            if self.slow >= SLOW_LOADS && self.limit > 1 {
                self.loads_to_grow = (self.loads_to_grow * 2).min(MOST_LOADS);
                self.change(now, self.limit - 1);
            }
        } else {
            self.slow = 0;
            self.in_time += 1;
            if self.in_time >= self.loads_to_grow && self.limit < self.first {
                self.change(now, self.limit + 1);
            }
        }
    }

    fn change(&mut self, now: Timestamp, limit: usize) {
        self.limit = limit;
        self.changed_at = now;
        self.slow = 0;
        self.in_time = 0;
    }
}
