//! Grants each server to one suspect at a time, for trials of all nodes.

use crate::request::RequestFingerprint;
use crate::{Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a suspect has a server without other suspects. Most calls are answered within this time. During a
/// longer call another suspect may be sent to the server, and a crash then proves less.
const TRIAL_DURATION: Duration = Duration::from_secs(1);

/// Suspects that currently have a server for their trial. One node keeps the grants of a server for all nodes.
#[derive(Debug, Default)]
pub struct TrialGrants {
    servers: BTreeMap<Name, (RequestFingerprint, Timestamp)>,
}

impl TrialGrants {
    /// Grants a server to a content unless another content has it. The same content may ask again, which its node
    /// does if an answer was lost.
    pub fn grant(&mut self, now: Timestamp, server: &Name, fingerprint: RequestFingerprint) -> bool {
        self.servers.retain(|_, (_, until)| *until > now);
        let granted = *self.servers.entry(server.clone()).or_insert((fingerprint, now + TRIAL_DURATION));
        granted.0 == fingerprint
    }
}
