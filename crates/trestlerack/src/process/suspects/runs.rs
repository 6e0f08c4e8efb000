//! Runs of suspects that this node has in progress.

use crate::Name;
use crate::request::RequestFingerprint;
use std::collections::BTreeMap;

/// Identifies one run of a suspect at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspectRun(u64);

#[derive(Clone, Copy, Debug)]
struct RunState {
    run: SuspectRun,
    fingerprint: RequestFingerprint,
    /// Whether the server has run no other suspect since this run began.
    is_alone: bool,
}

/// Runs in progress, by server. The same content may run on a server several times.
#[derive(Debug, Default)]
pub(super) struct SuspectRuns {
    servers: BTreeMap<Name, Vec<RunState>>,
    started_runs: u64,
}

impl SuspectRuns {
    /// Begins a run. Runs of contents that are no suspects any more do not count as company.
    pub(super) fn begin(
        &mut self,
        server: &Name,
        fingerprint: RequestFingerprint,
        is_suspect: impl Fn(RequestFingerprint) -> bool,
    ) -> SuspectRun {
        self.started_runs += 1;
        let run = SuspectRun(self.started_runs);
        let runs = self.servers.entry(server.clone()).or_default();
        let has_company = runs.iter().any(|state| state.fingerprint != fingerprint && is_suspect(state.fingerprint));
        runs.push(RunState { run, fingerprint, is_alone: true });
        if has_company {
            runs.iter_mut().for_each(|state| state.is_alone = false);
        }
        run
    }

    /// Returns whether no other suspect ran on the server at any time since the run began.
    pub(super) fn is_alone(&self, server: &str, run: SuspectRun) -> bool {
        let mut runs = self.servers.get(server).into_iter().flatten();
        runs.any(|state| state.run == run && state.is_alone)
    }

    pub(super) fn end(&mut self, server: &str, run: SuspectRun) {
        let Some(runs) = self.servers.get_mut(server) else { return };
        runs.retain(|state| state.run != run);
        if runs.is_empty() {
            self.servers.remove(server);
        }
    }

    /// Returns whether a run of the content is in progress that began when it was a suspect.
    pub(super) fn has_run(&self, fingerprint: RequestFingerprint) -> bool {
        self.servers.values().flatten().any(|state| state.fingerprint == fingerprint)
    }

    /// Returns the servers that run suspects other than this one.
    pub(super) fn servers_with_others(
        &self,
        fingerprint: RequestFingerprint,
        is_suspect: impl Fn(RequestFingerprint) -> bool,
    ) -> Vec<Name> {
        let is_other = |state: &RunState| state.fingerprint != fingerprint && is_suspect(state.fingerprint);
        let has_other = |runs: &Vec<RunState>| runs.iter().any(is_other);
        self.servers.iter().filter(|(_, runs)| has_other(runs)).map(|(server, _)| server.clone()).collect()
    }
}
