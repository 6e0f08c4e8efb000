//! How often a node may ask the store, so that all nodes together stay within its rates.

use std::time::Duration;

/// Share of the store's reading calls that the watches of all nodes may take; the rest is for
/// reads of results and of tables.
const WATCH_SHARE: f64 = 0.4;

/// Watches of a node that bring news all the time: service discovery and the system's own rows.
const BUSY_WATCHES: f64 = 2.0;

/// Pause after a failed call, and the longest one after several in a row.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);
const FAILURE_PAUSE_MAX: Duration = Duration::from_millis(800);

/// Pause after a call that the store refused for its rate, and the longest one. The first is longer
/// than a failure's, because a store that refuses has a second of calls waiting.
const RATE_PAUSE: Duration = Duration::from_millis(500);
const RATE_PAUSE_MAX: Duration = Duration::from_secs(4);

/// Returns the pause between two watches of one table, where `nodes` watch a store that takes
/// `reads_per_s` reading calls from all of them.
///
/// A watch returns with the first change. Where rows change all the time each node would ask again
/// at once, and the calls would grow with the nodes times the changes.
pub fn watch_pause(nodes: usize, reads_per_s: u64) -> Duration {
    let budget = reads_per_s.max(1) as f64 * WATCH_SHARE;
    Duration::from_secs_f64(nodes.max(1) as f64 * BUSY_WATCHES / budget)
}

/// Returns the pause after `refusals` calls in a row that the store refused for their rate. `spread`
/// from 0 to 1 sets apart nodes that were refused at the same moment.
pub fn rate_pause(refusals: u32, spread: f64) -> Duration {
    let pause = RATE_PAUSE * 2_u32.saturating_pow(refusals.saturating_sub(1).min(8));
    pause.min(RATE_PAUSE_MAX).mul_f64(0.5 + spread.clamp(0.0, 1.0))
}

/// Returns the pause after a number of failed calls in a row. `spread` from 0 to 1 sets nodes apart
/// that failed at the same moment.
pub fn failure_pause(failures: u32, spread: f64) -> Duration {
    let pause = FAILURE_PAUSE * 2_u32.saturating_pow(failures.saturating_sub(1).min(8));
    pause.min(FAILURE_PAUSE_MAX).mul_f64(0.5 + spread.clamp(0.0, 1.0))
}
