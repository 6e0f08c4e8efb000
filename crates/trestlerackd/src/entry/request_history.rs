//! Tracks the servers that a request was sent to, for its log line and for the usage of its customer.

use super::front::ClientRequest;
use super::node::EntryNode;
use crate::process::logs;
use http::StatusCode;
use std::fmt::Display;
use std::sync::Arc;
use trestlerack::event::{self, LogEvent};
use trestlerack::{Name, Timestamp};

/// The servers that a request was sent to. Logs how the request ended. If a history is dropped without a
/// response, the client has disconnected, because that drops all work on its request.
pub struct RequestHistory {
    node: Arc<EntryNode>,
    request: Name,
    route: Name,
    started: Timestamp,
    tried: Vec<Name>,
    /// Servers that may have run the request.
    runs: u32,
    has_response: bool,
    usage: RequestUsage,
}

/// Usage of a request, which is counted once however the request ends, also if its client disconnects.
struct RequestUsage {
    /// Customer that is charged; `None` if there is none or the request was counted already.
    customer: Option<Name>,
    /// Wall-clock time at which it started to run, in milliseconds; `None` if it did not run.
    started_ms: Option<u64>,
}

impl RequestHistory {
    /// Creates the history of a request that has just arrived.
    pub fn new(node: &Arc<EntryNode>, request: &ClientRequest, route: &Name) -> Self {
        let usage = RequestUsage { customer: request.customer().cloned(), started_ms: None };
        let request = request.head.request_id.clone().unwrap_or_else(|| "".into());
        let (node, route, started) = (node.clone(), route.clone(), node.now());
        Self { node, request, route, started, tried: Vec::new(), runs: 0, has_response: false, usage }
    }

    /// Records a server that the request is sent to.
    pub fn record_server(&mut self, server: &Name) {
        self.tried.push(server.clone());
        self.record_start();
    }

    /// Records that the request starts to run now.
    pub fn record_start(&mut self) {
        self.usage.started_ms = Some(self.node.usage.wall_ms());
    }

    /// Records that the server added last did not run the request.
    pub fn record_not_run(&mut self) {
        self.usage.started_ms = None;
    }

    /// Counts the request as usage of its customer if it started to run and was not counted yet.
    fn count_usage(&mut self) {
        let Some(started_ms) = self.usage.started_ms else { return };
        if let Some(customer) = self.usage.customer.take() {
            self.node.usage.count(&customer, started_ms);
        }
    }

    /// Records that the server added last may have run the request.
    pub fn record_run(&mut self) {
        self.runs += 1;
        self.count_usage();
    }

    /// Returns when the request arrived.
    pub fn started(&self) -> Timestamp {
        self.started
    }

    /// Returns the servers that the request was sent to.
    pub fn tried(&self) -> &[Name] {
        &self.tried
    }

    /// Returns how many servers may have run the request. Servers that refused it do not count
    /// against its attempts.
    pub fn runs(&self) -> u32 {
        self.runs
    }

    /// Logs the response and counts it in the metrics.
    pub fn record_response(&mut self, status: StatusCode) {
        self.has_response = true;
        self.count_usage();
        self.log(event::REQUEST_ANSWERED, &[("status", &status.as_u16())]);
        self.node.metrics.record_request(&self.route, status, self.node.now().since(self.started));
    }

    /// Logs that an attempt at a server failed.
    pub fn log_failed_attempt(&self, server: &Name, why: &dyn Display) {
        logs::write(event::ATTEMPT_FAILED, &[("request", &self.request), ("server", server), ("why", why)]);
    }

    fn log(&self, event: LogEvent, outcome: &[(&str, &dyn Display)]) {
        let (servers, ms) = (self.tried.join(","), self.node.now().since(self.started).as_millis());
        let fields: [(&str, &dyn Display); 4] =
            [("request", &self.request), ("route", &self.route), ("servers", &servers), ("ms", &ms)];
        logs::write(event, &[&fields, outcome].concat());
    }
}

impl Drop for RequestHistory {
    fn drop(&mut self) {
        if !self.has_response {
            self.count_usage();
            self.log(event::REQUEST_LEFT, &[]);
        }
    }
}
