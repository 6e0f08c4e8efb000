//! Counts the servers of a scope by state, to tell operators why none is eligible.

use super::load_balancer::LoadBalancer;
use super::server_scope::ServerScope;
use crate::Timestamp;

/// How many servers of a service a request may use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ScopeCounts {
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

impl ScopeCounts {
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
    /// Counts the servers of a scope by their state.
    pub fn scope_counts<'a>(&'a self, now: Timestamp, scope: impl Into<ServerScope<'a>>) -> ScopeCounts {
        let scope = scope.into();
        let registered = self.of_service(scope.service).count();
        let mut counts = ScopeCounts { registered, ..ScopeCounts::default() };
        for server in self.in_scope(scope) {
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
