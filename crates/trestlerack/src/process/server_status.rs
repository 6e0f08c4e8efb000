//! Status of backend servers for operators: their health as this node and its peers see it.

use super::load_balancer::LoadBalancer;
use super::server_health::{ServerHealth, ServerStats};
use super::server_state::ServerState;
use crate::time::millis;
use crate::{Name, Timestamp};

/// Status of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerStatus {
    /// Instance.
    pub instance: Name,
    /// Service.
    pub service: Name,
    /// Health at this node.
    pub health: ServerHealth,
    /// Expected slowness of one call, relative to the median latency of its route and without queueing.
    pub expected_slowness: f64,
    /// Requests that this node has sent to the server since the node started.
    pub sent: u64,
    /// What this node measured itself.
    pub measured: ServerStats,
    /// The last observation received from peers, until it expires.
    pub received: Option<PeerObservation>,
}

/// A peer's observation of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerObservation {
    /// The node that made the observation.
    pub origin: Name,
    /// What it observed.
    pub stats: ServerStats,
    /// Time since the observation, in milliseconds.
    pub age_ms: u64,
}

impl LoadBalancer {
    /// Returns the status of all servers that are compared with their peers, ordered by instance.
    pub fn server_statuses(&self, now: Timestamp) -> Vec<ServerStatus> {
        let compared = self.servers.values().filter(|server| self.compares_servers(&server.entry.service));
        compared.map(|server| self.server_status(now, server)).collect()
    }

    fn server_status(&self, now: Timestamp, server: &ServerState) -> ServerStatus {
        let received = server.received_observation(now).map(|received| PeerObservation {
            origin: received.origin.clone(),
            stats: received.stats,
            age_ms: millis(now.since(received.observed_at)),
        });
        ServerStatus {
            instance: server.entry.instance.clone(),
            service: server.entry.service.clone(),
            health: self.health(now, &server.entry.instance),
            expected_slowness: self.expected_slowness(now, server),
            sent: server.sent,
            measured: server.measured.stats(now),
            received,
        }
    }
}
