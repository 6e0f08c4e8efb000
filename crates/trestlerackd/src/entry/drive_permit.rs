//! Permission of a driver to start work on its job, and the questions to the store that renew it.

use crate::process::clock::SystemClock;
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::interfaces::Clock;
use trestlerack::process::{DriveDecision, DriveGuard, DriveSettings, StoreContact};

/// Shortest time between two questions of the same kind about one job.
const QUESTION_INTERVAL: Duration = Duration::from_millis(200);

/// What a driver asks to find out whether it still drives its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DriveQuestion {
    /// Whom the store names as the owner.
    Ownership,
    /// Whether a peer answers, so that only the store is out of reach.
    Contact,
}

/// Permission of one driver.
pub struct DrivePermit {
    guard: Mutex<DriveGuard>,
    contact: Arc<Mutex<StoreContact>>,
    clock: SystemClock,
    /// Time of the last question of each kind, and whether it is not answered yet.
    questions: Mutex<HashMap<DriveQuestion, (Timestamp, bool)>>,
}

impl DrivePermit {
    /// Creates the permission of a driver that the store named in the answer to a call sent at `named_at`.
    pub fn new(clock: SystemClock, contact: Arc<Mutex<StoreContact>>, named_at: Timestamp) -> Self {
        let guard = Mutex::new(DriveGuard::new(DriveSettings::default(), named_at));
        Self { guard, contact, clock, questions: Mutex::default() }
    }

    /// Decides what the driver may do now. `has_peers` tells whether other nodes are registered.
    pub fn check(&self, has_peers: impl FnOnce() -> bool) -> DriveDecision {
        let contact = self.contact.lock().unwrap();
        self.guard.lock().unwrap().check(self.clock.now(), &contact, has_peers())
    }

    /// Records that the store named this driver in the answer to a call sent at `sent_at`.
    pub fn confirm(&self, sent_at: Timestamp) {
        self.guard.lock().unwrap().confirm(sent_at);
    }

    /// Returns whether peers are to be asked, as the newest answer of the store is getting old.
    pub fn needs_contact(&self) -> bool {
        let contact = self.contact.lock().unwrap();
        self.guard.lock().unwrap().needs_contact(self.clock.now(), &contact)
    }

    /// Returns whether a question is to be asked now. The caller asks it if so, and calls [`Self::end`] then.
    pub fn begin(&self, question: DriveQuestion) -> bool {
        let now = self.clock.now();
        let mut questions = self.questions.lock().unwrap();
        let (asked_at, is_pending) = questions.get(&question).copied().unwrap_or_default();
        let is_due = !is_pending && now.since(asked_at) >= QUESTION_INTERVAL;
        if is_due {
            questions.insert(question, (now, true));
        }
        is_due
    }

    /// Records that a question was answered, or that there will be no answer.
    pub fn end(&self, question: DriveQuestion) {
        if let Some((_, is_pending)) = self.questions.lock().unwrap().get_mut(&question) {
            *is_pending = false;
        }
    }
}
