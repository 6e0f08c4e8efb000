//! Decides whether the driver of a job may still act for it, although another node may have taken the job over.
//!
//! The store settles who drives a job, and a driver learns of a takeover from its watch. A node that stood still or was
//! cut off knows nothing of the time in between. See
//! [docs/PLATFORM.md](../../../../docs/PLATFORM.md#when-a-node-is-gone).

use crate::Timestamp;
use std::time::Duration;

/// Settings of a [`DriveGuard`].
#[derive(Clone, Debug)]
pub struct DriveSettings {
    /// Age of the newest evidence from which no work is started.
    pub max_age: Duration,
    /// Age of the newest contact from which peers are asked.
    pub contact_age: Duration,
    /// Age of the newest evidence from which work in progress is cancelled.
    pub cancel_age: Duration,
    /// Time without a check from which the process counts as stalled. It is less than the two failed probes take
    /// without which no other node takes a job over.
    pub stall_limit: Duration,
}

impl Default for DriveSettings {
    fn default() -> Self {
        Self {
            max_age: Duration::from_secs(2),
            contact_age: Duration::from_secs(1),
            cancel_age: Duration::from_secs(3),
            stall_limit: Duration::from_millis(500),
        }
    }
}

/// When this node was last in contact with the store and with peers. All times are those at which calls were sent.
#[derive(Clone, Debug, Default)]
pub struct StoreContact {
    settings: DriveSettings,
    /// Newest call whose answer shows all jobs that were taken over before.
    answered: Option<Timestamp>,
    /// Newest call that failed, unless a later one was answered.
    failed: Option<Timestamp>,
    /// Newest call that a peer answered.
    peer_answered: Option<Timestamp>,
    /// First call that a peer answered after a time without any contact.
    returned: Timestamp,
}

impl StoreContact {
    /// Creates a record without contacts.
    pub fn new(settings: DriveSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Records an answer of the store.
    pub fn record_answer(&mut self, sent_at: Timestamp) {
        self.answered = self.answered.max(Some(sent_at));
        self.failed = self.failed.filter(|failed| *failed > sent_at);
    }

    /// Records a call that the store did not answer, neither directly nor through peers.
    pub fn record_failure(&mut self, sent_at: Timestamp) {
        self.failed = self.failed.max(Some(sent_at));
    }

    /// Records an answer of a peer to a call of any kind.
    pub fn record_peer_answer(&mut self, sent_at: Timestamp) {
        let last = self.answered.max(self.peer_answered);
        if last.is_none_or(|last| sent_at.since(last) >= self.settings.max_age) {
            self.returned = self.returned.max(sent_at);
        }
        self.peer_answered = self.peer_answered.max(Some(sent_at));
    }

    /// Returns whether the store is down for this node's peers as well, so that no node can take a job over that this
    /// one drove at `known`: a call has failed since then, and this node was never without contact.
    fn is_store_down(&self, now: Timestamp, known: Timestamp, has_peers: bool) -> bool {
        let has_contact = self.peer_answered.is_some_and(|answered| now.since(answered) < self.settings.max_age);
        self.failed.is_some() && (!has_peers || (has_contact && self.returned <= known))
    }
}

/// What a driver may do for its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriveDecision {
    /// It may start work.
    Start,
    /// It may start no work before the store has confirmed that it still drives the job. Work in progress goes on.
    Confirm,
    /// It also cancels work in progress, which another node is likely to do again.
    Cancel,
}

/// Evidence that one driver still drives its job.
#[derive(Clone, Debug)]
pub struct DriveGuard {
    settings: DriveSettings,
    /// Newest call in whose answer the store named this driver.
    confirmed: Timestamp,
    checked: Timestamp,
    /// End of the last time in which the process stood still.
    stalled: Timestamp,
}

impl DriveGuard {
    /// Creates the guard of a driver that the store named in the answer to a call sent at `confirmed`.
    pub fn new(settings: DriveSettings, confirmed: Timestamp) -> Self {
        Self { settings, confirmed, checked: confirmed, stalled: Timestamp::default() }
    }

    /// Records that the store named this driver in the answer to a call sent at `sent_at`.
    pub fn confirm(&mut self, sent_at: Timestamp) {
        self.confirmed = self.confirmed.max(sent_at);
    }

    /// Decides what the driver may do at `now`. It has to ask at least every [`DriveSettings::stall_limit`], and before
    /// it sends anything. `has_peers` is whether other nodes are registered, which could have taken the job over.
    pub fn check(&mut self, now: Timestamp, contact: &StoreContact, has_peers: bool) -> DriveDecision {
        if now.since(self.checked) >= self.settings.stall_limit {
            self.stalled = now;
        }
        self.checked = self.checked.max(now);
        let known = self.known(contact);
        let is_recent = now.since(known) < self.settings.max_age || contact.is_store_down(now, known, has_peers);
        if is_recent && known >= self.stalled {
            return DriveDecision::Start;
        }
        let newest = known.max(contact.peer_answered.unwrap_or_default()).max(self.stalled);
        if has_peers && now.since(newest) >= self.settings.cancel_age {
            return DriveDecision::Cancel;
        }
        DriveDecision::Confirm
    }

    /// Returns whether peers are to be asked, as the newest answer of the store is getting old. Only a node that is never
    /// without contact can tell an outage of the store from a cut of its own links.
    pub fn needs_contact(&self, now: Timestamp, contact: &StoreContact) -> bool {
        now.since(self.known(contact).max(contact.peer_answered.unwrap_or_default())) >= self.settings.contact_age
    }

    /// Returns the time as of which the store is known to name this driver.
    fn known(&self, contact: &StoreContact) -> Timestamp {
        contact.answered.map_or(self.confirmed, |answered| answered.max(self.confirmed))
    }
}
