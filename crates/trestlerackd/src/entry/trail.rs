//! What was done for a request so far, which its log line tells.

use super::client_requests::ClientRequest;
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
    usage: RequestUsage,
}

/// Usage that a request is counted as, once, whichever way it ends: also where its client left.
struct RequestUsage {
    /// Customer that is charged; `None` where none is or once the request is counted.
    customer: Option<Name>,
    /// Time of day at which it began to run, if it did.
    began_ms: Option<u64>,
}

impl RequestTrail {
    /// Begins the trail of a request.
    pub fn new(node: &Arc<EntryNode>, request: &ClientRequest, route: &Name) -> Self {
        let usage = RequestUsage { customer: request.customer().cloned(), began_ms: None };
        let request = request.head.request_id.clone().unwrap_or_else(|| "".into());
        let (node, route, started) = (node.clone(), route.clone(), node.now());
        Self { node, request, route, started, tried: Vec::new(), runs: 0, is_answered: false, usage }
    }

    /// Records a server that the request is sent to.
    pub fn add(&mut self, server: &Name) {
        self.tried.push(server.clone());
        self.begins();
    }

    /// Records that the request begins to run about now, unless it did before.
    pub fn begins(&mut self) {
        self.usage.began_ms = Some(self.node.usage.wall_ms());
    }

    /// Records that the server added last did not run the request.
    pub fn did_not_run(&mut self) {
        self.usage.began_ms = None;
    }

    /// Counts the request as usage of its customer if it began to run and is not counted yet.
    fn count_usage(&mut self) {
        let Some(began_ms) = self.usage.began_ms else { return };
        if let Some(customer) = self.usage.customer.take() {
            self.node.usage.count(&customer, began_ms);
        }
    }

    /// Records that the server added last may have run the request.
    pub fn add_run(&mut self) {
        self.runs += 1;
        self.count_usage();
    }

    /// Returns when the request came.
    pub fn started(&self) -> Timestamp {
        self.started
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
        self.count_usage();
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
            self.count_usage();
            self.write(event::REQUEST_LEFT, &[]);
        }
    }
}
