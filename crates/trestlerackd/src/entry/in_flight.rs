//! Counts the requests of this node that are in flight at backend servers.

use super::admission;
use super::node::EntryNode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use trestlerack::process::{RecoveryRule, RunEvidence, RunProgress, ServerEntry, ServerSet, SuspectRun, TokenNeed};
use trestlerack::request::RequestFingerprint;
use trestlerack::version::RequestPlacement;

/// Whether a request may be sent, beside what its server and placement allow.
pub trait SendPermission: Send + Sync {
    /// Returns whether the request may be written now.
    fn may_send(&self) -> bool;
}

impl<T: SendPermission + ?Sized> SendPermission for Arc<T> {
    fn may_send(&self) -> bool {
        (**self).may_send()
    }
}

/// Counts a request as in flight at a backend server until the guard is dropped.
pub struct InFlightGuard {
    node: Arc<EntryNode>,
    /// Server that the request is in flight at.
    pub server: ServerEntry,
    /// Fingerprint of the content of the request.
    pub fingerprint: RequestFingerprint,
    /// Where the request may be served.
    pub placement: RequestPlacement,
    /// Run of the content, if it is suspected of crashing servers.
    suspect_run: Option<SuspectRun>,
    /// Tokens that the request occupies in the server's memory.
    tokens: Option<TokenNeed>,
    /// Whether the request was sent and its outcome is not known yet.
    is_outcome_pending: AtomicBool,
    /// Whether the server may also run a suspect content of another node.
    may_share_server: AtomicBool,
    /// How far the request got on the server.
    progress: Mutex<RunProgress>,
    /// Which rule limits the recovery trials of its content.
    pub recovery_rule: RecoveryRule,
    /// Permission to send it; `None` for a request of a client.
    permission: Option<Box<dyn SendPermission>>,
}

impl InFlightGuard {
    /// Counts a request as in flight at a server.
    pub fn new(
        node: &Arc<EntryNode>,
        server: ServerEntry,
        fingerprint: RequestFingerprint,
        placement: RequestPlacement,
    ) -> Self {
        node.balancer.lock().unwrap().started(&server.instance);
        let suspect_run = node.suspects.tracker().begin_run(node.now(), &server.instance, fingerprint);
        let (is_outcome_pending, may_share_server) = (AtomicBool::new(false), AtomicBool::new(false));
        Self {
            node: node.clone(),
            server,
            fingerprint,
            placement,
            suspect_run,
            tokens: None,
            is_outcome_pending,
            may_share_server,
            progress: Mutex::default(),
            recovery_rule: RecoveryRule::default(),
            permission: None,
        }
    }

    /// Sets the rule that limits the recovery trials of its content.
    pub fn with_recovery_rule(mut self, recovery_rule: RecoveryRule) -> Self {
        self.recovery_rule = recovery_rule;
        self
    }

    /// Makes the request wait for a further permission, which is asked immediately before it is written.
    pub fn with_permission(mut self, permission: impl SendPermission + 'static) -> Self {
        self.permission = Some(Box::new(permission));
        self
    }

    /// Returns whether the request may be written now.
    pub fn may_send(&self) -> bool {
        self.permission.as_ref().is_none_or(|permission| permission.may_send())
    }

    /// Also counts the tokens that the request occupies in the server's memory.
    pub fn with_tokens(mut self, tokens: Option<TokenNeed>) -> Self {
        if let Some(tokens) = &tokens {
            self.node.balancer.lock().unwrap().memory.add_run(&self.server.instance, tokens);
        }
        self.tokens = tokens;
        self
    }

    /// Returns the servers that the request may use.
    pub fn server_set(&self) -> ServerSet {
        ServerSet::new(self.server.service.clone(), self.placement.placement())
    }

    /// Records that the request is sent to the server.
    pub fn record_sent(&self) {
        self.is_outcome_pending.store(true, Ordering::Relaxed);
        admission::record_attempt(&self.node, &self.server.service);
    }

    /// Records that the request continues a stream after the event `last_event`.
    pub fn record_resumption(&self, last_event: Option<u64>) {
        *self.progress.lock().unwrap() = RunProgress::after_event(last_event);
    }

    /// Records the numbers of events that the server sent. Returns how far the request got.
    pub fn record_events(&self, numbers: impl Iterator<Item = u64>) -> RunProgress {
        let mut progress = self.progress.lock().unwrap();
        numbers.for_each(|number| progress.record_event(number));
        *progress
    }

    /// Returns what the request tells about its content if the server crashes.
    pub fn evidence(&self) -> RunEvidence {
        RunEvidence { is_trial: self.is_trial(), progress: *self.progress.lock().unwrap() }
    }

    /// Records that the outcome is known: a response, a refusal or a broken connection.
    pub fn record_outcome(&self) {
        self.is_outcome_pending.store(false, Ordering::Relaxed);
    }

    /// Records that the server may also run a suspect content of another node.
    pub fn mark_shared(&self) {
        self.may_share_server.store(true, Ordering::Relaxed);
    }

    /// Returns whether the request is the trial of a suspect content, with no other suspect at the server.
    pub fn is_trial(&self) -> bool {
        !self.may_share_server.load(Ordering::Relaxed)
            && self
                .suspect_run
                .is_some_and(|suspect_run| self.node.suspects.tracker().is_trial(&self.server.instance, suspect_run))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        {
            let mut balancer = self.node.balancer.lock().unwrap();
            balancer.ended(&self.server.instance);
            if let Some(tokens) = &self.tokens {
                balancer.memory.remove_run(&self.server.instance, tokens);
            }
        }
        if self.is_outcome_pending.load(Ordering::Relaxed) {
            // The client disconnected or the request timed out. If the server crashes now, only service
            // discovery reports it.
            let (now, evidence) = (self.node.now(), self.evidence());
            self.node.suspects.tracker().record_unresolved(now, self.fingerprint, &self.server, evidence);
        }
        if let Some(suspect_run) = self.suspect_run {
            self.node.suspects.tracker().end_run(&self.server.instance, suspect_run);
        }
        admission::slot_freed(&self.node, &self.server.service);
    }
}
