//! Which node adds up the use of a service.

use crate::hash::{hash_parts, rendezvous_weight};
use crate::{Name, Timestamp};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

/// Nodes that are asked in turn when one does not answer. A further one helps only where several nodes
/// die within [`SILENT_TIME`].
const ADDERS: usize = 3;

/// Questions in vain, one after the other, after which a node is not asked: one may be lost by itself.
const VAIN_QUESTIONS: u32 = 2;

/// Time for which such a node is not asked. Each change of the adder begins the counts anew, so it is not
/// to come often; one that is gone for good is soon not registered any more.
const SILENT_TIME: Duration = Duration::from_secs(10);

/// Time after its start for which a node prefers another adder to itself. Equals the default
/// [`ShareSettings::life`](super::ShareSettings::life), for which answers of the previous adder are valid.
const STARTUP_TIME: Duration = Duration::from_secs(2);

/// Chooses the adder of a service, the same at all nodes that know the same nodes and reach them.
#[derive(Clone, Debug, Default)]
pub struct AdderChoice {
    /// Nodes that did not answer the last question, with how many they did not and when.
    misses: BTreeMap<Name, (u32, Timestamp)>,
    /// Name of this node, and the time until which it prefers another adder to itself.
    startup: Option<(Name, Timestamp)>,
}

impl AdderChoice {
    /// Builds the choice of a node that has just started. For two seconds it prefers another adder to itself,
    /// because it has no counts to work shares out from and would admit every call.
    pub fn at_startup(now: Timestamp, own_name: Name) -> Self {
        Self { misses: BTreeMap::new(), startup: Some((own_name, now + STARTUP_TIME)) }
    }

    /// Returns the adder of a service among nodes; `None` if none of the first few answered lately.
    pub fn choose(&self, now: Timestamp, service: &str, mut nodes: Vec<Name>) -> Option<Name> {
        let key = hash_parts(&["shares", service]);
        nodes.sort_by_cached_key(|node| Reverse(rendezvous_weight(key, node)));
        nodes.truncate(ADDERS);
        let mut answering = nodes.into_iter().filter(|node| !self.is_silent(now, node));
        let first = answering.next()?;
        if self.is_starting_up(now, &first) { answering.next().or(Some(first)) } else { Some(first) }
    }

    fn is_starting_up(&self, now: Timestamp, node: &Name) -> bool {
        self.startup.as_ref().is_some_and(|(own_name, until)| own_name == node && now < *until)
    }

    fn is_silent(&self, now: Timestamp, node: &Name) -> bool {
        let misses = self.misses.get(node);
        misses.is_some_and(|(count, at)| *count >= VAIN_QUESTIONS && now.since(*at) < SILENT_TIME)
    }

    /// Records that a node answered.
    pub fn answered(&mut self, node: &Name) {
        self.misses.remove(node);
    }

    /// Records that a node did not answer. Returns whether it is not asked from now on.
    pub fn missed(&mut self, now: Timestamp, node: &Name) -> bool {
        let (count, at) = self.misses.entry(node.clone()).or_default();
        (*count, *at) = (count.saturating_add(1), now);
        *count >= VAIN_QUESTIONS
    }
}
