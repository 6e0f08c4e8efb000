//! The strikes of one content.

use super::CrashReport;
use crate::request::RequestFingerprint;
use crate::{Timestamp, time::millis};
use std::collections::BTreeMap;

/// A server that ended under a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Strike {
    /// When, on this node's clock.
    pub(super) at: Timestamp,
    pub(super) is_trial: bool,
    pub(super) is_void: bool,
}

/// The strikes of one content, by the start of the server that ended.
#[derive(Clone, Debug, Default)]
pub(super) struct SuspectRecord {
    strikes: BTreeMap<u64, Strike>,
}

impl SuspectRecord {
    /// Joins a strike with what is known of the same server. Returns whether that says anything new.
    pub(super) fn join(&mut self, server: u64, strike: Strike, most: usize) -> bool {
        let Some(held) = self.strikes.get_mut(&server) else {
            if self.strikes.len() >= most && !self.drop_void() {
                return false;
            }
            self.strikes.insert(server, strike);
            return true;
        };
        // Only ever from false to true, so that the order in which nodes tell makes no difference.
        let joined =
            Strike { at: held.at, is_trial: held.is_trial || strike.is_trial, is_void: held.is_void || strike.is_void };
        let is_news = joined != *held;
        *held = joined;
        is_news
    }

    /// Forgets the oldest void strike, so that a content that was sound for long can still be held once
    /// it ends servers. Returns whether there was one.
    fn drop_void(&mut self) -> bool {
        let void = self.strikes.iter().filter(|(_, strike)| strike.is_void);
        let Some((server, _)) = void.min_by_key(|(_, strike)| strike.at) else { return false };
        let server = *server;
        self.strikes.remove(&server);
        true
    }

    pub(super) fn void(&mut self, server: u64) {
        if let Some(strike) = self.strikes.get_mut(&server) {
            strike.is_void = true;
        }
    }

    /// Returns the strikes that count.
    pub(super) fn live(&self) -> impl Iterator<Item = (&u64, &Strike)> {
        self.strikes.iter().filter(|(_, strike)| !strike.is_void)
    }

    pub(super) fn is_struck(&self, server: u64) -> bool {
        self.strikes.get(&server).is_some_and(|strike| !strike.is_void)
    }

    /// Returns when the last server ended.
    pub(super) fn last_at(&self) -> Timestamp {
        self.strikes.values().map(|strike| strike.at).max().unwrap_or_default()
    }

    pub(super) fn notes(
        &self,
        now: Timestamp,
        fingerprint: RequestFingerprint,
    ) -> impl Iterator<Item = CrashReport> + '_ {
        self.strikes.iter().map(move |(server, strike)| CrashReport {
            fingerprint,
            server: *server,
            is_trial: strike.is_trial,
            is_void: strike.is_void,
            age_ms: millis(now.since(strike.at)),
        })
    }
}
