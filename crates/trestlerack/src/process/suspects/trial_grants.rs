//! Decides which suspect has a server for itself, over all nodes.

use crate::request::RequestFingerprint;
use crate::{Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time for which a suspect has a server for itself. Most calls are answered within it; a longer one may
/// get company, and its end then proves less.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// The suspects that have a server for themselves, as the node knows that keeps these servers' trials.
#[derive(Debug, Default)]
pub struct TrialGrants {
    servers: BTreeMap<Name, (RequestFingerprint, Timestamp)>,
}

impl TrialGrants {
    /// Gives a server to a content, unless another one has it. The same content may ask again, as its node
    /// does after a lost answer.
    pub fn grant(&mut self, now: Timestamp, server: &Name, fingerprint: RequestFingerprint) -> bool {
        self.servers.retain(|_, (_, until)| *until > now);
        let held = *self.servers.entry(server.clone()).or_insert((fingerprint, now + TRIAL_TIME));
        held.0 == fingerprint
    }
}
