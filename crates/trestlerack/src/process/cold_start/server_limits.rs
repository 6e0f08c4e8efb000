//! How the load balancer applies the limit of requests to cold engines.

use super::decisions::ColdCandidate;
use super::limiter::{ColdLimiter, ServiceLimit};
use super::status::ColdStatus;
use crate::process::server_state::ServerState;
use crate::process::{LoadBalancer, ServerEntry, ServerNeed};
use crate::version::RoutingTable;
use crate::{Name, Timestamp};

/// The right to send one request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SendPermit {
    /// Whether the server is not known to be warm.
    pub is_cold: bool,
}

impl LoadBalancer {
    /// Returns the load balancer with a limiter of requests to cold engines.
    pub fn with_cold_limiter(mut self, cold: ColdLimiter) -> Self {
        self.cold = cold;
        self
    }

    /// Returns whether a server is known to be warm and has a free slot.
    pub(in crate::process) fn is_warm_and_free(&self, now: Timestamp, server: &ServerState) -> bool {
        server.requests(now, self.settings.max_load_age) < server.slots()
            && self.cold.is_warm(now, &self.cold_candidate(server))
    }

    /// Returns whether a server accepts work, is not paused, and may get a request from this node although it is
    /// or may be cold.
    pub(in crate::process) fn is_usable(&self, now: Timestamp, server: &ServerState) -> bool {
        server.accepts_work()
            && server.paused_until <= now
            && self.cold.remaining(now, &self.cold_candidate(server)) > 0
    }

    pub(in crate::process) fn cold_candidate<'a>(&'a self, server: &'a ServerState) -> ColdCandidate<'a> {
        ColdCandidate { entry: &server.entry, reference: server.cold_ref, models: &self.assigned_models }
    }

    /// Returns whether a server of a service with a limit may get a request from this node now.
    pub(in crate::process) fn is_permitted(
        &self,
        now: Timestamp,
        limit: &ServiceLimit,
        server: &ServerState,
        need: &ServerNeed<'_>,
    ) -> bool {
        let candidate = self.cold_candidate(server);
        let is_warm_enough = !need.needs_warm || self.cold.is_warm(now, &candidate);
        is_warm_enough && self.cold.remaining_within(now, limit, &candidate) > 0
    }

    /// Applies the limits of requests to cold engines of a configuration. All entries of service discovery, which
    /// arrived before, are recorded as if they arrived now.
    pub fn set_cold_limits<'a>(
        &mut self,
        now: Timestamp,
        table: &RoutingTable,
        entries: impl Iterator<Item = &'a ServerEntry>,
    ) {
        self.cold.set_services(table);
        entries.for_each(|entry| self.cold.record_entry(now, entry));
        for server in self.servers.values_mut() {
            server.cold_ref = self.cold.reference(&server.entry.instance);
        }
    }

    /// Counts a request that this node sends to a server now; `None` if the server is or may be cold and the
    /// request would exceed the limit.
    pub fn try_send(&mut self, now: Timestamp, entry: &ServerEntry) -> Option<SendPermit> {
        let reference = self.servers.get(&entry.instance).map(|server| server.cold_ref).unwrap_or_default();
        let candidate = ColdCandidate { entry, reference, models: &self.assigned_models };
        if self.cold.remaining(now, &candidate) == 0 {
            return None;
        }
        Some(SendPermit { is_cold: self.cold.record_send(now, entry) })
    }

    /// Returns a server of a service that would be usable without the limit of requests to cold servers.
    pub fn limited_server(&self, now: Timestamp, service: &str) -> Option<Name> {
        if !self.cold.is_limited(service) {
            return None;
        }
        let is_limited =
            |server: &&ServerState| server.accepts_work() && server.paused_until <= now && !self.is_usable(now, server);
        self.of_service(service).find(is_limited).map(|server| server.entry.instance.clone())
    }

    /// Returns the state of the engines of services with a limit of requests to cold engines.
    pub fn cold_statuses(&self, now: Timestamp) -> Vec<ColdStatus> {
        self.cold.statuses(now, &self.assigned_models)
    }
}
