//! Zones of other regions that do not respond.
//!
//! See [docs/design/regions.md](../../../../docs/design/regions.md#choice-of-a-server).

use super::load_balancer::LoadBalancer;
use super::server_state::ServerState;
use crate::{Name, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Number of servers of a zone that must fail one after another, without a response of any, before the zone counts
/// as unreachable. A single failing server has its own pause.
const UNREACHABLE_AFTER: usize = 2;

/// Time after a pause for which a probe without an outcome keeps further requests from its zone. A probe of a server that
/// is removed meanwhile has no outcome.
const MAX_PROBE_TIME: Duration = Duration::from_secs(2);

/// Zones of other regions with failed servers.
///
/// Without it, each of the servers behind a broken link would cost a call its connection timeout.
#[derive(Debug, Default)]
pub(super) struct RemoteZones {
    zones: BTreeMap<Name, RemoteZone>,
}

#[derive(Debug, Default)]
struct RemoteZone {
    /// Servers that failed since the last response of the zone.
    failed_servers: BTreeSet<Name>,
    pauses: u32,
    paused_until: Timestamp,
    /// Requests in flight that were sent since the first failure.
    probes: u32,
}

impl RemoteZone {
    fn is_suspect(&self) -> bool {
        self.failed_servers.len() >= UNREACHABLE_AFTER
    }

    /// After a pause, one request at a time finds out whether the zone responds again.
    fn is_unreachable(&self, now: Timestamp) -> bool {
        let is_probed = self.probes > 0 && now < self.paused_until + MAX_PROBE_TIME;
        self.is_suspect() && (now < self.paused_until || is_probed)
    }
}

impl RemoteZones {
    /// Forgets a server that was removed.
    pub(super) fn forget(&mut self, instance: &str) {
        self.zones.values_mut().for_each(|zone| _ = zone.failed_servers.remove(instance));
        self.zones.retain(|_, zone| !zone.failed_servers.is_empty());
    }
}

impl LoadBalancer {
    /// Returns the zones of other regions that have not responded since several of their servers failed.
    pub fn unreachable_zones(&self) -> Vec<Name> {
        let unreachable = self.remote_zones.zones.iter().filter(|(_, zone)| zone.is_suspect());
        unreachable.map(|(zone, _)| zone.clone()).collect()
    }

    /// Returns whether a server lies in a zone of another region that does not respond.
    pub(super) fn is_unreachable(&self, now: Timestamp, server: &ServerState) -> bool {
        server.is_remote && self.remote_zones.zones.get(&server.entry.zone).is_some_and(|zone| zone.is_unreachable(now))
    }

    pub(super) fn record_remote_failure(&mut self, now: Timestamp, instance: &str) {
        let Some(server) = self.servers.get(instance).filter(|server| server.is_remote) else { return };
        let (first, longest) = (self.settings.failure_pause, self.settings.max_failure_pause);
        let zone = self.remote_zones.zones.entry(server.entry.zone.clone()).or_default();
        zone.failed_servers.insert(server.entry.instance.clone());
        // Failures of requests that were sent together count as one.
        if zone.is_suspect() && now >= zone.paused_until {
            zone.paused_until = now + (first * 2_u32.saturating_pow(zone.pauses.min(16))).min(longest);
            zone.pauses += 1;
        }
    }

    pub(super) fn record_remote_success(&mut self, instance: &str) {
        if self.remote_zones.zones.is_empty() {
            return;
        }
        if let Some(server) = self.servers.get(instance).filter(|server| server.is_remote) {
            self.remote_zones.zones.remove(&server.entry.zone);
        }
    }

    /// Counts a request that was sent to, or has ended at, a server of a zone with failures.
    pub(super) fn count_probe(&mut self, instance: &str, is_start: bool) {
        if self.remote_zones.zones.is_empty() {
            return;
        }
        let Some(server) = self.servers.get(instance).filter(|server| server.is_remote) else { return };
        if let Some(zone) = self.remote_zones.zones.get_mut(&server.entry.zone) {
            zone.probes = if is_start { zone.probes + 1 } else { zone.probes.saturating_sub(1) };
        }
    }
}
