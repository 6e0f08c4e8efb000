//! How often a node may send requests to the store, so that all nodes together stay within its rate limits.

use std::time::Duration;

/// Fraction of the store's reads that the watches of all nodes may use. The rest is for reads of results and
/// of tables.
const WATCH_FRACTION: f64 = 0.4;

/// Number of watches per node that return changes continuously: service discovery and the system's own rows.
const BUSY_WATCHES: f64 = 2.0;

/// Backoff after a failed request, and its maximum after several in a row.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);
const MAX_FAILURE_BACKOFF: Duration = Duration::from_millis(800);

/// Backoff after a request that the store refused due to its rate limit, and its maximum. It starts higher
/// than after a failure, because a store that refuses requests has a second's worth of them queued.
const RATE_LIMIT_BACKOFF: Duration = Duration::from_millis(500);
const MAX_RATE_LIMIT_BACKOFF: Duration = Duration::from_secs(4);

/// Returns the interval between two watches of a table, if `nodes` nodes watch a store that accepts
/// `reads_per_s` reads per second in total.
///
/// A watch returns with the first change. If rows change continuously, each node would watch again immediately,
/// and the number of reads would grow with the product of nodes and changes.
pub fn watch_interval(nodes: usize, reads_per_s: u64) -> Duration {
    let budget = reads_per_s.max(1) as f64 * WATCH_FRACTION;
    Duration::from_secs_f64(nodes.max(1) as f64 * BUSY_WATCHES / budget)
}

/// Returns the backoff after `refusals` requests in a row that the store refused due to its rate limit. `jitter`
/// is from 0 to 1 and separates nodes that were refused at the same moment.
pub fn rate_limit_backoff(refusals: u32, jitter: f64) -> Duration {
    let backoff = RATE_LIMIT_BACKOFF * 2_u32.saturating_pow(refusals.saturating_sub(1).min(8));
    backoff.min(MAX_RATE_LIMIT_BACKOFF).mul_f64(0.5 + jitter.clamp(0.0, 1.0))
}

/// Returns the backoff after `failures` failed requests in a row. `jitter` is from 0 to 1 and separates nodes
/// whose requests failed at the same moment.
pub fn failure_backoff(failures: u32, jitter: f64) -> Duration {
    let backoff = FAILURE_BACKOFF * 2_u32.saturating_pow(failures.saturating_sub(1).min(8));
    backoff.min(MAX_FAILURE_BACKOFF).mul_f64(0.5 + jitter.clamp(0.0, 1.0))
}
