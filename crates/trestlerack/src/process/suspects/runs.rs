//! The suspects of this node that servers work on.

use crate::Name;
use crate::request::RequestFingerprint;
use std::collections::BTreeMap;

/// Tells one run of a suspect from any other of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectRun(u64);

#[derive(Clone, Copy, Debug)]
struct RunState {
    run: SuspectRun,
    fingerprint: RequestFingerprint,
    /// Whether no other suspect has been beside it so far.
    is_alone: bool,
}

/// Suspects in progress, by server. A content may be there several times.
#[derive(Debug, Default)]
pub(super) struct SuspectRuns {
    servers: BTreeMap<Name, Vec<RunState>>,
    begun: u64,
}

impl SuspectRuns {
    pub(super) fn begin(&mut self, server: &Name, fingerprint: RequestFingerprint) -> SuspectRun {
        self.begun += 1;
        let run = SuspectRun(self.begun);
        let running = self.servers.entry(server.clone()).or_default();
        running.push(RunState { run, fingerprint, is_alone: true });
        if running.iter().any(|state| state.fingerprint != running[0].fingerprint) {
            running.iter_mut().for_each(|state| state.is_alone = false);
        }
        run
    }

    /// Returns whether no other suspect was beside a run, all the while that it has lasted.
    pub(super) fn is_alone(&self, server: &str, run: SuspectRun) -> bool {
        let mut running = self.servers.get(server).into_iter().flatten();
        running.any(|state| state.run == run && state.is_alone)
    }

    pub(super) fn end(&mut self, server: &str, run: SuspectRun) {
        let Some(running) = self.servers.get_mut(server) else { return };
        running.retain(|state| state.run != run);
        if running.is_empty() {
            self.servers.remove(server);
        }
    }

    /// Returns the servers that work on other suspects.
    pub(super) fn with_others(&self, fingerprint: RequestFingerprint) -> Vec<Name> {
        let has_other = |running: &Vec<RunState>| running.iter().any(|state| state.fingerprint != fingerprint);
        self.servers.iter().filter(|(_, running)| has_other(running)).map(|(server, _)| server.clone()).collect()
    }
}
