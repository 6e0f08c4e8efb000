//! What operators see of backend servers: their standing as this node and as its peers see them.

use super::load_balancer::ServerBoard;
use super::server_health::{ServerFigures, ServerStanding};
use super::server_state::ServerBelief;
use crate::time::millis;
use crate::{Name, Timestamp};

/// What is known of one backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerLine {
    /// Instance.
    pub instance: Name,
    /// Service.
    pub service: Name,
    /// Standing at this node.
    pub standing: ServerStanding,
    /// How many times longer than usual a call is expected to take, without what runs and waits there.
    pub expected: f64,
    /// Requests that this node has sent there since it started.
    pub sent: u64,
    /// What this node's own calls showed.
    pub own: ServerFigures,
    /// What peers told last, while it is believed.
    pub told: Option<ToldLine>,
}

/// What peers told of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct ToldLine {
    /// The node that saw it.
    pub origin: Name,
    /// What it saw.
    pub figures: ServerFigures,
    /// Time since it saw this, in milliseconds.
    pub age_ms: u64,
}

impl ServerBoard {
    /// Returns what is known of the servers that are compared with their peers, by name.
    pub fn server_lines(&self, now: Timestamp) -> Vec<ServerLine> {
        let compared = self.servers.values().filter(|belief| self.compares_servers(&belief.entry.service));
        compared.map(|belief| self.server_line(now, belief)).collect()
    }

    fn server_line(&self, now: Timestamp, belief: &ServerBelief) -> ServerLine {
        let told = belief.last_word(now).map(|told| ToldLine {
            origin: told.origin.clone(),
            figures: told.figures,
            age_ms: millis(now.since(told.at)),
        });
        ServerLine {
            instance: belief.entry.instance.clone(),
            service: belief.entry.service.clone(),
            standing: self.standing(now, &belief.entry.instance),
            expected: self.expected_slowness(now, belief),
            sent: belief.sent,
            own: belief.learnt.figures(now),
            told,
        }
    }
}
