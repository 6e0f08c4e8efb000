//! Counts a set of servers by state, to tell operators why none is eligible.

use super::load_balancer::LoadBalancer;
use super::server_set::ServerSetRef;
use crate::Timestamp;

/// How many servers of a service a request may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SetCounts {
    /// Registered servers of the service.
    pub registered: usize,
    /// Servers in allowed zones.
    pub allowed: usize,
    /// Servers in allowed zones that are neither evacuated, draining nor paused.
    pub eligible: usize,
    /// Servers in allowed zones that are evacuated.
    pub evacuated: usize,
    /// Servers in allowed zones that are not evacuated but draining.
    pub draining: usize,
}

impl SetCounts {
    /// Returns why no server is eligible; `None` if one is.
    pub fn missing_reason(&self) -> Option<&'static str> {
        let reason = match *self {
            Self { eligible: 1.., .. } => return None,
            Self { registered: 0, .. } => "none registered",
            Self { allowed: 0, .. } => "none registered in an allowed zone",
            Self { allowed, evacuated, .. } if evacuated == allowed => "all evacuated",
            Self { allowed, draining, .. } if draining == allowed => "all draining",
            Self { evacuated: 0, draining: 0, .. } => "all paused",
            _ => "all evacuated, draining or paused",
        };
        Some(reason)
    }
}

impl LoadBalancer {
    /// Counts a set of servers by state.
    pub fn set_counts<'a>(&'a self, now: Timestamp, server_set: impl Into<ServerSetRef<'a>>) -> SetCounts {
        let server_set = server_set.into();
        let registered = self.of_service(server_set.service).count();
        let mut counts = SetCounts { registered, ..SetCounts::default() };
        for server in self.in_set(server_set) {
            counts.allowed += 1;
            if server.is_evacuated {
                counts.evacuated += 1;
            } else if !server.accepts_work() {
                counts.draining += 1;
            } else if server.paused_until <= now {
                counts.eligible += 1;
            }
        }
        counts
    }
}
