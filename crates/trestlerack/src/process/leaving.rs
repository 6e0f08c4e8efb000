//! Which backend servers receive no new work, from three signals, whichever comes first.

use super::BroadcastQueue;
use crate::Name;
use crate::connection::{BackendNews, NewsSource};
use std::collections::{HashMap, HashSet};

/// News carried by one heartbeat at most.
const MAX_NEWS: usize = 8;

/// Merges the platform's list, backend servers' own answers, operators' orders and peers' news.
///
/// The platform's list and the configuration are levels that each node reads for itself. Answers
/// and orders are news with a stamp, which peers pass on, so that they spread while the platform's
/// services are down.
#[derive(Clone, Debug, Default)]
pub struct LeavingBoard {
    listed: HashSet<Name>,
    declared: HashSet<Name>,
    news: HashMap<(Name, NewsSource), BackendNews>,
    queue: BroadcastQueue<BackendNews>,
}

impl LeavingBoard {
    /// Returns whether `backend` receives no new work.
    pub fn is_leaving(&self, backend: &str) -> bool {
        let told = [NewsSource::Answer, NewsSource::Order].iter().any(|source| self.told(backend, *source));
        told || self.listed.contains(backend) || self.declared.contains(backend)
    }

    /// Takes in what the platform's list says of a backend server.
    pub fn set_listed(&mut self, backend: &Name, leaving: bool) {
        set(&mut self.listed, backend, leaving);
    }

    /// Takes in what the configuration says of a backend server.
    pub fn set_declared(&mut self, backend: &Name, leaving: bool) {
        set(&mut self.declared, backend, leaving);
    }

    /// Takes in news from a peer, or from this node; returns whether it was new.
    pub fn hear(&mut self, news: BackendNews, nodes: usize) -> bool {
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
        if self.told(backend, NewsSource::Answer) != leaving {
            let news = BackendNews { backend: backend.clone(), source: NewsSource::Answer, leaving, stamp };
            self.hear(news, nodes);
        }
    }

    fn told(&self, backend: &str, source: NewsSource) -> bool {
        let news = self.news.get(&(Name::from(backend), source));
        news.is_some_and(|news| news.leaving)
    }

    /// Takes the news to put on the next heartbeat.
    pub fn take_news(&mut self) -> Vec<BackendNews> {
        self.queue.take(MAX_NEWS)
    }
}

fn set(members: &mut HashSet<Name>, member: &Name, present: bool) {
    if present {
        members.insert(member.clone());
    } else {
        members.remove(member);
    }
}
