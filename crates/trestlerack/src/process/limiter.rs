//! Per-user rate limits, based on token buckets, and retry budgets.

use crate::{Name, Timestamp};
use std::collections::HashMap;
use std::time::Duration;

/// A token bucket. Its owner passes the fill rate and the burst, which may change over time.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: f64,
    filled_at: Timestamp,
}

impl TokenBucket {
    fn full(now: Timestamp, burst: f64) -> Self {
        Self { tokens: burst, filled_at: now }
    }

    fn fill(&mut self, now: Timestamp, per_second: f64, burst: f64) {
        let seconds = now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + seconds * per_second).min(burst);
        self.filled_at = self.filled_at.max(now);
    }
}

/// Minimum wait that is reported, so that rounding never tells a caller to retry immediately.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// Limits the calls of each user on this node to its share of the user's limit.
///
/// The share is the limit divided by the number of live nodes, because the platform's load balancer
/// distributes calls evenly. The sum over all nodes therefore stays within the limit without any
/// messages between nodes; the alternatives are compared in [docs/DESIGN.md](../../../../docs/DESIGN.md#rate-limits).
#[derive(Clone, Debug, Default)]
pub struct UserLimiter {
    buckets: HashMap<Name, TokenBucket>,
}

impl UserLimiter {
    /// Admits a call at `now`, or returns how long to wait.
    ///
    /// `limit` is in calls per second for all `nodes` together.
    pub fn admit(&mut self, now: Timestamp, user: &Name, limit: u32, nodes: usize) -> Result<(), Duration> {
        let share = f64::from(limit) / nodes.max(1) as f64;
        let burst = share.max(1.0);
        let bucket = self.buckets.entry(user.clone()).or_insert_with(|| TokenBucket::full(now, burst));
        bucket.fill(now, share, burst);
        if bucket.tokens < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - bucket.tokens) / share);
            return Err(wait.max(MIN_WAIT));
        }
        bucket.tokens -= 1.0;
        Ok(())
    }
}

/// Limits retries and hedges to a fraction of the first attempts, per user and service.
///
/// A failing service then receives at most `ratio` more calls than it would without retries, plus a
/// small reserve that allows users with few calls to retry at all.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    reserve: f64,
    balances: HashMap<(Name, Name), f64>,
}

impl RetryBudget {
    /// Creates a budget that earns `ratio` retries per first attempt, and holds at most `reserve` retries,
    /// with which it starts.
    pub fn new(ratio: f64, reserve: f64) -> Self {
        Self { ratio, reserve, balances: HashMap::new() }
    }

    /// Records a first attempt.
    pub fn earn(&mut self, user: &Name, service: &Name) {
        let (ratio, limit) = (self.ratio, self.reserve);
        let balance = self.balance(user, service);
        *balance = (*balance + ratio).min(limit);
    }

    /// Takes a retry or hedge from the budget, or returns `false` if it is exhausted.
    #[must_use]
    pub fn spend(&mut self, user: &Name, service: &Name) -> bool {
        let balance = self.balance(user, service);
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }

    fn balance(&mut self, user: &Name, service: &Name) -> &mut f64 {
        let reserve = self.reserve;
        self.balances.entry((user.clone(), service.clone())).or_insert(reserve)
    }
}
