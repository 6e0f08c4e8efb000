//! Which backend servers receive no new work, from three signals, whichever comes first.

use super::BroadcastQueue;
use crate::Name;
use crate::connection::{DrainSource, DrainUpdate};
use std::collections::{HashMap, HashSet};

/// News carried by one heartbeat at most.
const MAX_NEWS: usize = 8;

/// Merges the platform's list, backend servers' own answers, operators' orders and peers' news.
///
/// The configuration is a level that each node holds for itself. The rest is news with a stamp,
/// which peers pass on: it spreads while the platform's services are down, and a node need not read
/// the platform's list often for all to know soon what one of them has read.
#[derive(Clone, Debug, Default)]
pub struct LeavingBoard {
    declared: HashSet<Name>,
    news: HashMap<(Name, DrainSource), DrainUpdate>,
    queue: BroadcastQueue<DrainUpdate>,
}

impl LeavingBoard {
    /// Returns whether `backend` receives no new work.
    pub fn is_leaving(&self, backend: &str) -> bool {
        let sources = [DrainSource::Server, DrainSource::Operator, DrainSource::Platform];
        sources.iter().any(|source| self.told(backend, *source)) || self.declared.contains(backend)
    }

    /// Takes in the backend servers that the platform's list calls leaving; the others are not.
    /// Returns those for which that is news.
    pub fn listed(&mut self, leaving: &[Name], stamp: u64, nodes: usize) -> Vec<Name> {
        let told = self.news.values().filter(|news| news.source == DrainSource::Platform && news.leaving);
        let back: Vec<Name> =
            told.map(|news| news.backend.clone()).filter(|backend| !leaving.contains(backend)).collect();
        let gone = leaving.iter().filter(|backend| !self.told(backend, DrainSource::Platform)).cloned();
        let changes: Vec<(Name, bool)> =
            gone.map(|backend| (backend, true)).chain(back.into_iter().map(|backend| (backend, false))).collect();
        for (backend, leaving) in &changes {
            let news =
                DrainUpdate { backend: backend.clone(), source: DrainSource::Platform, leaving: *leaving, stamp };
            self.hear(news, nodes);
        }
        changes.into_iter().map(|(backend, _)| backend).collect()
    }

    /// Takes in what the configuration says of a backend server.
    pub fn set_declared(&mut self, backend: &Name, leaving: bool) {
        if leaving {
            self.declared.insert(backend.clone());
        } else {
            self.declared.remove(backend);
        }
    }

    /// Takes in news from a peer, or from this node; returns whether it was new.
    pub fn hear(&mut self, news: DrainUpdate, nodes: usize) -> bool {
        let key = (news.backend.clone(), news.source);
        let held = self.news.get(&key);
        if held.is_some_and(|held| held.stamp >= news.stamp) {
            return false;
        }
        self.news.insert(key.clone(), news.clone());
        self.queue.push(news, nodes, |held| (&held.backend, held.source) == (&key.0, key.1));
        true
    }

    /// Takes in what a backend server answered at wall clock millisecond `stamp`; only a change
    /// becomes news.
    pub fn answered(&mut self, backend: &Name, leaving: bool, stamp: u64, nodes: usize) {
        if self.told(backend, DrainSource::Server) != leaving {
            let news = DrainUpdate { backend: backend.clone(), source: DrainSource::Server, leaving, stamp };
            self.hear(news, nodes);
        }
    }

    fn told(&self, backend: &str, source: DrainSource) -> bool {
        let news = self.news.get(&(Name::from(backend), source));
        news.is_some_and(|news| news.leaving)
    }

    /// Takes the news to put on the next heartbeat.
    pub fn take_news(&mut self) -> Vec<DrainUpdate> {
        self.queue.take(MAX_NEWS)
    }
}
