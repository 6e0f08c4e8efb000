//! A request that a backend server works on, as this node counts it.

use super::node::EntryNode;
use super::room;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use trestlerack::process::{ServerEntry, SuspectRun, TokenNeed};
use trestlerack::request::RequestFingerprint;

/// Counts a request that a backend server works on until it is dropped.
pub struct ServerTicket {
    node: Arc<EntryNode>,
    /// The server.
    pub server: ServerEntry,
    /// What the request asks for.
    pub fingerprint: RequestFingerprint,
    /// The run, if that is suspected.
    run: Option<SuspectRun>,
    /// What it takes in the server's memory.
    tokens: Option<TokenNeed>,
    /// Whether the request is on its way, with an outcome still to come.
    is_open: AtomicBool,
    /// Whether a suspect of another node may be beside it.
    is_shared: AtomicBool,
}

impl ServerTicket {
    /// Counts a request in.
    pub fn new(node: &Arc<EntryNode>, server: ServerEntry, fingerprint: RequestFingerprint) -> Self {
        node.balancer.lock().unwrap().started(&server.instance);
        let run = node.suspects.book().begin_run(node.now(), &server.instance, fingerprint);
        let (is_open, is_shared) = (AtomicBool::new(false), AtomicBool::new(false));
        Self { node: node.clone(), server, fingerprint, run, tokens: None, is_open, is_shared }
    }

    /// Counts what the request takes in the server's memory too.
    pub fn holding(mut self, tokens: Option<TokenNeed>) -> Self {
        if let Some(tokens) = &tokens {
            self.node.balancer.lock().unwrap().memory.add_run(&self.server.instance, tokens);
        }
        self.tokens = tokens;
        self
    }

    /// Records that the request is on its way to the server.
    pub fn sent(&self) {
        self.is_open.store(true, Ordering::Relaxed);
        room::note_attempt(&self.node, &self.server.service);
    }

    /// Records that the outcome is known: an answer, a refusal or a broken connection.
    pub fn settle(&self) {
        self.is_open.store(false, Ordering::Relaxed);
    }

    /// Records that a suspect of another node may be beside the request.
    pub fn share_trial(&self) {
        self.is_shared.store(true, Ordering::Relaxed);
    }

    /// Returns whether the request is there as a known suspect, with no other suspect beside it.
    pub fn is_trial(&self) -> bool {
        !self.is_shared.load(Ordering::Relaxed)
            && self.run.is_some_and(|run| self.node.suspects.book().is_trial(&self.server.instance, run))
    }
}

impl Drop for ServerTicket {
    fn drop(&mut self) {
        {
            let mut balancer = self.node.balancer.lock().unwrap();
            balancer.ended(&self.server.instance);
            if let Some(tokens) = &self.tokens {
                balancer.memory.remove_run(&self.server.instance, tokens);
            }
        }
        if self.is_open.load(Ordering::Relaxed) {
            // Its client left or its time was over. Should its server end now, only service discovery
            // tells.
            let (now, is_trial) = (self.node.now(), self.is_trial());
            self.node.suspects.book().record_unresolved(now, self.fingerprint, &self.server, is_trial);
        }
        if let Some(run) = self.run {
            self.node.suspects.book().end_run(&self.server.instance, run);
        }
        room::place_freed(&self.node, &self.server.service);
    }
}
