//! What was done for a request so far, which its log line tells.

use super::node::EntryNode;
use crate::process::logs;
use http::StatusCode;
use std::fmt::Display;
use std::sync::Arc;
use trestlerack::event::{self, LogEvent};
use trestlerack::{Name, Timestamp};

/// The servers that a request was sent to. Logs how the request ended; one whose trail is dropped
/// unanswered was left by its client, because that drops everything done for it.
pub struct RequestTrail {
    node: Arc<EntryNode>,
    request: Name,
    route: Name,
    started: Timestamp,
    tried: Vec<Name>,
    /// Servers that may have run the request.
    runs: u32,
    is_answered: bool,
}

impl RequestTrail {
    /// Begins the trail of a request.
    pub fn new(node: &Arc<EntryNode>, request: &Option<Name>, route: &Name) -> Self {
        let request = request.clone().unwrap_or_else(|| "".into());
        let (node, route, started) = (node.clone(), route.clone(), node.now());
        Self { node, request, route, started, tried: Vec::new(), runs: 0, is_answered: false }
    }

    /// Records a server that the request is sent to.
    pub fn add(&mut self, server: &Name) {
        self.tried.push(server.clone());
    }

    /// Records that the server added last may have run the request.
    pub fn add_run(&mut self) {
        self.runs += 1;
    }

    /// Returns the servers that the request was sent to.
    pub fn tried(&self) -> &[Name] {
        &self.tried
    }

    /// Returns how many servers may have run the request; those that refused it do not count
    /// against its attempts.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Logs and counts the answer.
    pub fn answered(&mut self, status: StatusCode) {
        self.is_answered = true;
        self.write(event::REQUEST_ANSWERED, &[("status", &status.as_u16())]);
        self.node.metrics.request(&self.route, status, self.node.now().since(self.started));
    }

    /// Logs that a server brought no answer.
    pub fn attempt_failed(&self, server: &Name, why: &dyn Display) {
        logs::write(event::ATTEMPT_FAILED, &[("request", &self.request), ("server", server), ("why", why)]);
    }

    fn write(&self, event: LogEvent, outcome: &[(&str, &dyn Display)]) {
        let (servers, ms) = (self.tried.join(","), self.node.now().since(self.started).as_millis());
        let fields: [(&str, &dyn Display); 4] =
            [("request", &self.request), ("route", &self.route), ("servers", &servers), ("ms", &ms)];
        logs::write(event, &[&fields, outcome].concat());
    }
}

impl Drop for RequestTrail {
    fn drop(&mut self) {
        if !self.is_answered {
            self.write(event::REQUEST_LEFT, &[]);
        }
    }
}
