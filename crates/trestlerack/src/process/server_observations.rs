//! Gossip about backend servers: what a node sends to its peers, and how it uses what they send.
//!
//! Observations keep the age and the number that their origin gave them, so that relaying does not extend their
//! life; see [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md#parts).

use super::load_balancer::LoadBalancer;
use super::load_message::ServerObservation;
use super::server_health::{MedianStats, SLOW_FACTOR, ServerStats};
use super::server_state::ServerState;
use super::suspects::GossipSettings;
use crate::time::millis;
use crate::{Name, Timestamp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Age at which an observation expires.
const OBSERVATION_TTL: Duration = Duration::from_secs(5);

/// Smallest factor by which a slowness must change to be gossiped.
const MIN_SLOWNESS_CHANGE: f64 = 1.5;

/// Age that each message adds to an observation. It is more than most messages take, so that an observation
/// does not get younger as it is relayed.
const AGE_PER_HOP: Duration = Duration::from_millis(100);

/// Largest fraction of a service's servers that peer observations may make worse, rounded to the nearest whole
/// number of servers. A node that wrongly reports all servers then removes at most about a third of them.
const MAX_PEER_DEGRADED_FRACTION: f64 = 1.0 / 3.0;

/// Observations that a node may send per second on average, each to [`GOSSIP_FANOUT`] peers, and at once.
const OBSERVATIONS_PER_SECOND: f64 = 0.6;
const OBSERVATION_BURST: f64 = 6.0;

/// Ratio to the median slowness at which a server is degraded by a peer observation alone. It is higher than
/// what noisy neighbours on the same host cause, and lower than the ratio that is needed in local measurements,
/// because the effect ends when the observation expires.
const PEER_DEGRADED_FACTOR: f64 = 2.5;

/// Peers that each observation is sent to, so that a few lost messages usually leave no node out.
const GOSSIP_FANOUT: usize = 4;

/// Returns the settings of the gossip about servers.
pub fn server_gossip_settings() -> GossipSettings {
    GossipSettings { fanout: GOSSIP_FANOUT, ..GossipSettings::default() }
}

/// The last observation of a server received from peers.
#[derive(Clone, Debug)]
pub(super) struct ReceivedObservation {
    pub(super) stats: ServerStats,
    /// When the origin observed this.
    pub(super) observed_at: Timestamp,
    /// The node that observed it.
    pub(super) origin: Name,
}

/// Gossip received and sent about one server.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipState {
    received: Option<ReceivedObservation>,
    /// Last number received from each origin.
    last_numbers: BTreeMap<Name, (u64, Timestamp)>,
    /// What peers are expected to know, from the last observation sent or received.
    announced: Option<(ServerStats, Timestamp)>,
}

impl ServerState {
    /// Returns the last peer observation, unless this node has a newer measurement of its own.
    pub(super) fn newer_observation(&self, now: Timestamp) -> Option<&ReceivedObservation> {
        self.received_observation(now).filter(|received| received.observed_at > self.measured.updated_at)
    }

    /// Returns the last peer observation until it expires.
    pub(super) fn received_observation(&self, now: Timestamp) -> Option<&ReceivedObservation> {
        self.gossip.received.as_ref().filter(|received| now.since(received.observed_at) < OBSERVATION_TTL)
    }
}

/// Observations to be sent, one for each server, and the token bucket that limits them.
#[derive(Debug)]
pub(super) struct ObservationOutbox {
    pending: BTreeMap<Name, PendingObservation>,
    last_number: u64,
    allowance: f64,
    refilled_at: Timestamp,
}

impl Default for ObservationOutbox {
    fn default() -> Self {
        Self {
            pending: BTreeMap::new(),
            last_number: 0,
            allowance: OBSERVATION_BURST,
            refilled_at: Timestamp::default(),
        }
    }
}

#[derive(Clone, Debug)]
struct PendingObservation {
    stats: ServerStats,
    observed_at: Timestamp,
    /// Origin and number of a relayed observation; `None` for a local measurement.
    relayed_from: Option<(Name, u64)>,
}

impl ObservationOutbox {
    fn refill(&mut self, now: Timestamp) {
        let earned = now.since(self.refilled_at).as_secs_f64() * OBSERVATIONS_PER_SECOND;
        self.allowance = (self.allowance + earned).min(OBSERVATION_BURST);
        self.refilled_at = now;
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

impl LoadBalancer {
    /// Queues an observation of a server if peers do not already know about the same. An improvement is sent
    /// only after a good response: a slowness that merely decayed is no evidence.
    pub(super) fn announce_if_changed(&mut self, now: Timestamp, instance: &str, median: &MedianStats, is_good: bool) {
        let Some(server) = self.servers.get_mut(instance) else { return };
        let stats = server.measured.stats(now);
        let before = server.announced_stats(now);
        let is_better = relative_cost(stats) < relative_cost(before);
        if !is_significant_change(before, stats, median) || (is_better && !is_good) {
            return;
        }
        server.gossip.announced = Some((stats, now));
        self.outbox.pending.insert(instance.into(), PendingObservation { stats, observed_at: now, relayed_from: None });
    }

    /// Returns whether observations are waiting to be sent.
    pub fn has_observations(&self) -> bool {
        !self.outbox.pending.is_empty()
    }

    /// Takes the observations that may be sent to peers now; `origin` is this node. The rest stays queued until
    /// it expires.
    pub fn take_observations(&mut self, now: Timestamp, origin: &Name) -> Vec<ServerObservation> {
        self.outbox.refill(now);
        let mut observations = Vec::new();
        while self.outbox.allowance >= 1.0 {
            let Some((instance, observation)) = self.outbox.pending.pop_first() else { break };
            let Some(server) = self.servers.get(&instance) else { continue };
            if now.since(observation.observed_at) >= OBSERVATION_TTL {
                continue;
            }
            self.outbox.allowance -= 1.0;
            let (origin, number) = match observation.relayed_from {
                Some(relayed_from) => relayed_from,
                None => (origin.clone(), self.outbox.next_number()),
            };
            observations.push(make_observation(
                now,
                server,
                origin,
                number,
                observation.stats,
                observation.observed_at,
            ));
        }
        observations
    }

    /// Returns the observations for a peer that has just started: all of servers that are slow or fail.
    pub fn known_observations(&mut self, now: Timestamp, origin: &Name) -> Vec<ServerObservation> {
        let mut observations = Vec::new();
        for server in self.servers.values() {
            let (stats, observed_at) = match server.newer_observation(now) {
                Some(received) => (received.stats, received.observed_at),
                None => (server.measured.stats(now), server.measured.updated_at),
            };
            let is_notable = stats.slowness >= MIN_SLOWNESS_CHANGE || stats.failure_rate > 0.0;
            if !is_notable || now.since(observed_at) >= OBSERVATION_TTL {
                continue;
            }
            let relayed_origin = server.newer_observation(now).map(|received| received.origin.clone());
            let number = relayed_origin
                .as_ref()
                .and_then(|origin| server.gossip.last_numbers.get(origin))
                .map(|(number, _)| *number);
            let number = number.unwrap_or_else(|| self.outbox.next_number());
            let origin = relayed_origin.unwrap_or_else(|| origin.clone());
            observations.push(make_observation(now, server, origin, number, stats, observed_at));
        }
        observations
    }

    /// Merges an observation from a peer. Returns whether it is a significant change, which this node then
    /// relays.
    pub fn merge_observation(&mut self, now: Timestamp, own_name: &Name, observation: &ServerObservation) -> bool {
        let age = Duration::from_millis(observation.age_ms).saturating_add(AGE_PER_HOP);
        let Some(server) = self.servers.get_mut(&observation.instance) else { return false };
        let is_known = server
            .gossip
            .last_numbers
            .get(&observation.origin)
            .is_some_and(|(number, _)| *number >= observation.number);
        let is_other_process = server.entry.started_ms != observation.started_ms;
        let Some(stats) = observation.stats() else { return false };
        if age >= OBSERVATION_TTL || observation.origin == *own_name || is_known || is_other_process {
            return false;
        }
        let observed_at = now - age;
        server.gossip.last_numbers.retain(|_, (_, observed_at)| now.since(*observed_at) < OBSERVATION_TTL);
        server.gossip.last_numbers.insert(observation.origin.clone(), (observation.number, observed_at));
        let before = server.announced_stats(now);
        let is_younger = |other: Timestamp| observed_at > other;
        if !is_younger(server.measured.updated_at)
            || server.gossip.received.as_ref().is_some_and(|received| !is_younger(received.observed_at))
        {
            return false;
        }
        server.gossip.received = Some(ReceivedObservation { stats, observed_at, origin: observation.origin.clone() });
        server.gossip.announced = Some((stats, observed_at));
        let service = server.entry.service.clone();
        // Nodes gossip only about services whose servers they compare.
        self.compare_servers(&service);
        let median = self.median_stats(now, &service);
        if !is_significant_change(before, stats, &median) {
            return false;
        }
        let relayed_from = Some((observation.origin.clone(), observation.number));
        self.outbox
            .pending
            .insert(observation.instance.clone(), PendingObservation { stats, observed_at, relayed_from });
        true
    }

    /// Returns the peer observation of a server unless too many servers are worse. Observations that make servers
    /// worse count only for the worst third of a service.
    pub(super) fn trusted_observation<'a>(
        &self,
        now: Timestamp,
        server: &'a ServerState,
    ) -> Option<&'a ReceivedObservation> {
        let received = server.newer_observation(now)?;
        if !is_worse_than_default(received.stats) {
            return Some(received);
        }
        let rank = |stats: ServerStats, instance: &Name| (relative_cost(stats), instance.clone());
        let own_rank = rank(received.stats, &server.entry.instance);
        let (mut count, mut worse_count) = (0, 0);
        for other in self.of_service(&server.entry.service) {
            count += 1;
            let competing = other.newer_observation(now).filter(|competing| is_worse_than_default(competing.stats));
            worse_count +=
                usize::from(competing.is_some_and(|competing| rank(competing.stats, &other.entry.instance) > own_rank));
        }
        (worse_count < (f64::from(count) * MAX_PEER_DEGRADED_FRACTION).round() as usize).then_some(received)
    }

    /// Returns whether a server is degraded by peer observations alone.
    pub(super) fn is_degraded_by_peers(&self, now: Timestamp, server: &ServerState) -> bool {
        let Some(received) = self.trusted_observation(now, server) else { return false };
        let median = self.median_stats(now, &server.entry.service);
        median.ratio_to_median(received.stats) >= PEER_DEGRADED_FACTOR || median.has_excess_failures(received.stats)
    }
}

/// Returns whether a server with these statistics would get fewer calls than one without any.
fn is_worse_than_default(stats: ServerStats) -> bool {
    relative_cost(stats) > 1.0
}

/// Returns the relative time that a call is expected to take, which ranks servers.
fn relative_cost(stats: ServerStats) -> f64 {
    stats.slowness / (1.0 - stats.failure_rate).max(0.01)
}

impl ServerState {
    /// Returns what peers are expected to know.
    fn announced_stats(&self, now: Timestamp) -> ServerStats {
        let current = self.gossip.announced.filter(|(_, observed_at)| now.since(*observed_at) < OBSERVATION_TTL);
        current.map_or(ServerStats { slowness: 1.0, failure_rate: 0.0 }, |(stats, _)| stats)
    }
}

/// Returns whether a change is worth sending: one to or from slow or failing. Smaller variations are of no use
/// to other nodes.
fn is_significant_change(before: ServerStats, after: ServerStats, median: &MedianStats) -> bool {
    let is_slow = |stats: ServerStats| median.ratio_to_median(stats) >= SLOW_FACTOR;
    let ratio = after.slowness / before.slowness;
    let has_changed = ratio >= MIN_SLOWNESS_CHANGE || ratio <= 1.0 / MIN_SLOWNESS_CHANGE;
    let involves_slow = is_slow(before) || is_slow(after);
    (has_changed && involves_slow) || median.has_excess_failures(before) != median.has_excess_failures(after)
}

fn make_observation(
    now: Timestamp,
    server: &ServerState,
    origin: Name,
    number: u64,
    stats: ServerStats,
    observed_at: Timestamp,
) -> ServerObservation {
    ServerObservation {
        instance: server.entry.instance.clone(),
        started_ms: server.entry.started_ms,
        origin,
        number,
        slowness: stats.slowness as f32,
        failure_rate: stats.failure_rate as f32,
        age_ms: millis(now.since(observed_at)),
    }
}

impl ServerObservation {
    /// Returns the statistics in the observation, or `None` if they are out of range.
    fn stats(&self) -> Option<ServerStats> {
        let (slowness, failure_rate) = (f64::from(self.slowness), f64::from(self.failure_rate));
        let is_valid = slowness.is_finite() && slowness > 0.0 && (0.0..=1.0).contains(&failure_rate);
        is_valid.then_some(ServerStats { slowness, failure_rate })
    }
}
