//! Selects the node that aggregates the usage of a service.

use crate::hash::{hash_parts, rendezvous_weight};
use crate::{Name, Timestamp};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Nodes that may become the aggregator when those ranked before them do not answer. More than three would help
/// only if several nodes failed within [`RETRY_DELAY`].
const CANDIDATES: usize = 3;

/// Consecutive requests without an answer after which a node is skipped. A single one may be a lost message.
const MISSED_ANSWER_LIMIT: u32 = 2;

/// How long an unresponsive node is skipped. Changing the aggregator resets all counts, so it must not happen
/// often. A node that is gone for good soon disappears from the registered nodes.
const RETRY_DELAY: Duration = Duration::from_secs(10);

/// Time after its start during which a node prefers other aggregators to itself. Equals the default
/// [`ShareSettings::shares_ttl`](super::ShareSettings::shares_ttl), during which shares from the previous
/// aggregator are valid.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// Selects the aggregator of a service. Nodes that know and reach the same nodes select the same one.
#[derive(Clone, Debug, Default)]
pub struct AggregatorSelector {
    /// Consecutive unanswered requests of each node, and the time of the last one.
    timeouts: BTreeMap<Name, (u32, Timestamp)>,
    /// Name of this node, and the time until which it prefers other aggregators to itself.
    startup: Option<(Name, Timestamp)>,
}

impl AggregatorSelector {
    /// Creates the selector of a node that has just started. For two seconds it prefers other aggregators to itself,
    /// because it has no counts to compute shares from and would admit every call.
    pub fn at_startup(now: Timestamp, own_name: Name) -> Self {
        Self { timeouts: BTreeMap::new(), startup: Some((own_name, now + STARTUP_TIME)) }
    }

    /// Returns the aggregator of a service, or `None` if no candidate answered recently.
    pub fn select(&self, now: Timestamp, service: &str, mut nodes: Vec<Name>) -> Option<Name> {
        let key = hash_parts(&["shares", service]);
        nodes.sort_by_cached_key(|node| Reverse(rendezvous_weight(key, node)));
        nodes.truncate(CANDIDATES);
        let mut responsive = nodes.into_iter().filter(|node| !self.is_unresponsive(now, node));
        let first = responsive.next()?;
        if self.is_starting_up(now, &first) { responsive.next().or(Some(first)) } else { Some(first) }
    }

    fn is_starting_up(&self, now: Timestamp, node: &Name) -> bool {
        self.startup.as_ref().is_some_and(|(own_name, until)| own_name == node && now < *until)
    }

    fn is_unresponsive(&self, now: Timestamp, node: &Name) -> bool {
        let timeouts = self.timeouts.get(node);
        timeouts.is_some_and(|(count, at)| *count >= MISSED_ANSWER_LIMIT && now.since(*at) < RETRY_DELAY)
    }

    /// Records that a node answered.
    pub fn record_answer(&mut self, node: &Name) {
        self.timeouts.remove(node);
    }

    /// Records that a node did not answer. Returns whether the node is skipped from now on.
    pub fn record_timeout(&mut self, now: Timestamp, node: &Name) -> bool {
        let (count, at) = self.timeouts.entry(node.clone()).or_default();
        (*count, *at) = (count.saturating_add(1), now);
        *count >= MISSED_ANSWER_LIMIT
    }
}
