//! Expected latency of a call at each backend server, and the choice of the server with the lowest.
//!
//! This applies only to services whose servers are compared: those whose servers report their slowness, and
//! those that several customers share; see
//! [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md).

use super::latency_estimate::LatencyEstimates;
use super::load_balancer::{LoadBalancer, ServerNeed, SlotNeed};
use super::server_health::{MedianStats, SLOW_FACTOR, ServerHealth, ServerStats};
use super::server_state::ServerState;
use crate::hash::{hash_parts, rendezvous_weight};
use crate::{Name, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Weight of a response that is slower than the running mean. High, because callers wait until the mean
/// follows.
const RISE_WEIGHT: f64 = 0.4;

/// Weight of a response that is faster than the running mean. Low, because one short request is little
/// evidence.
const FALL_WEIGHT: f64 = 0.15;

/// Half-life of a measured difference from the median, so that a recovered server is tried again.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(4);

/// Half-life of the weight of a report, because load and slowness change many times per second.
const REPORT_HALF_LIFE: Duration = Duration::from_millis(100);

/// Weight of a slowness that was reported just now, so that a report never counts alone.
const REPORT_WEIGHT: f64 = 0.5;

/// Factor up to which a measured difference is ignored. The work of requests varies by itself, and a node that
/// changed servers for it would open connections without any benefit.
const NOISE_FACTOR: f64 = 1.25;

/// Largest slowness that one response counts as, so that the effect of a single response decays soon.
const MAX_SLOWNESS: f64 = 16.0;

/// Factor on the time waited for a response that was cancelled, which estimates its full latency.
const CANCELLED_FACTOR: u32 = 2;

/// Weight of a response in the running failure rate.
const FAILURE_WEIGHT: f64 = 0.2;

/// Lower bound of the success rate, which keeps the expected latency finite.
const MIN_SUCCESS_RATE: f64 = 0.05;

/// Extra latency, in median latencies, that is accepted to stay in the node's own availability zone. It is more
/// than the noise of the measurements, so that noise does not move calls to another zone.
const ZONE_PREFERENCE: f64 = 0.3;

/// Slowness and failure rate of a server, measured from its responses.
#[derive(Clone, Copy, Debug)]
pub(super) struct MeasuredSlowness {
    factor: f64,
    failure_rate: f64,
    /// When the last response was recorded.
    pub(super) updated_at: Timestamp,
}

impl Default for MeasuredSlowness {
    fn default() -> Self {
        Self { factor: 1.0, failure_rate: 0.0, updated_at: Timestamp::default() }
    }
}

impl MeasuredSlowness {
    /// Returns the statistics, decayed to `now`.
    pub(super) fn stats(&self, now: Timestamp) -> ServerStats {
        let remaining = decay(now.since(self.updated_at), SLOWNESS_HALF_LIFE);
        ServerStats { slowness: 1.0 + (self.factor - 1.0) * remaining, failure_rate: self.failure_rate * remaining }
    }

    fn record_slowness(&mut self, now: Timestamp, factor: f64) {
        let current = self.stats(now);
        let factor = factor.min(MAX_SLOWNESS);
        // A normal response of a server that was slow shows that it has recovered.
        let has_recovered = current.slowness >= SLOW_FACTOR && factor <= current.slowness / SLOW_FACTOR;
        let weight = if factor > current.slowness || has_recovered { RISE_WEIGHT } else { FALL_WEIGHT };
        let slowness = current.slowness + weight * (factor - current.slowness);
        (self.factor, self.failure_rate, self.updated_at) = (slowness, current.failure_rate, now);
    }

    fn record_outcome(&mut self, now: Timestamp, is_failure: bool) {
        let current = self.stats(now);
        let sample = if is_failure { 1.0 } else { 0.0 };
        let failing = current.failure_rate + FAILURE_WEIGHT * (sample - current.failure_rate);
        (self.factor, self.failure_rate, self.updated_at) = (current.slowness, failing, now);
    }
}

/// Slowness that a server reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportedSlowness {
    pub(super) factor: f64,
    pub(super) reported_at: Timestamp,
}

fn without_noise(slowness: f64) -> f64 {
    let is_noise = (1.0 / NOISE_FACTOR..=NOISE_FACTOR).contains(&slowness);
    if is_noise { 1.0 } else { slowness }
}

fn decay(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Total weight of the reported loads of a service above which their mean is used.
const MIN_LOAD_WEIGHT: f64 = 0.05;

/// Lower bound of the known utilization. The randomness of a choice is proportional to it; without any, all
/// nodes with the same knowledge would choose the same server.
const MIN_KNOWN_UTILIZATION: f64 = 0.3;

/// Time within which a node uses each connection to a service again if it spreads its calls over all of them.
const CONNECTION_REUSE_TIME: Duration = Duration::from_secs(1);

/// Weight of an interval between two responses in the mean interval.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Mean interval between the responses of a service.
#[derive(Clone, Copy, Debug)]
struct ResponseInterval {
    mean: Duration,
    last_response: Timestamp,
}

/// Measurements by which servers are compared.
#[derive(Debug, Default)]
pub(super) struct ResponseHistory {
    /// Intervals between responses, by service.
    intervals: BTreeMap<Name, ResponseInterval>,
    /// Services whose servers are compared by latency.
    compared_services: BTreeSet<Name>,
    /// Services of which a server has reported its slowness.
    reporting_services: BTreeSet<Name>,
    /// Latencies of responses, by route.
    route_latencies: LatencyEstimates,
}

impl ResponseHistory {
    /// Returns the mean interval between two responses of a service.
    fn mean_interval(&self, now: Timestamp, service: &str) -> Duration {
        self.intervals
            .get(service)
            .map_or(Duration::MAX, |interval| interval.mean.max(now.since(interval.last_response)))
    }

    fn record_arrival(&mut self, now: Timestamp, service: &Name) {
        let Some(interval) = self.intervals.get_mut(service) else {
            // Assume a low rate until more responses arrive.
            self.intervals
                .insert(service.clone(), ResponseInterval { mean: CONNECTION_REUSE_TIME, last_response: now });
            return;
        };
        interval.mean =
            interval.mean.mul_f64(1.0 - INTERVAL_WEIGHT) + now.since(interval.last_response).mul_f64(INTERVAL_WEIGHT);
        interval.last_response = now;
    }
}

impl LoadBalancer {
    /// Returns whether the servers of a service are compared by latency: they report their slowness, customers
    /// share them, or a peer sent an observation of them.
    pub fn compares_servers(&self, service: &str) -> bool {
        self.history.compared_services.contains(service)
    }

    /// Records the slowness that a server reported, in percent of the normal processing time. Returns whether
    /// it is the first report of the service.
    pub fn record_reported_slowness(&mut self, now: Timestamp, instance: &str, percent: u32) -> bool {
        let factor = f64::from(percent) / 100.0;
        let Some(server) = self.servers.get_mut(instance) else { return false };
        server.reported_slowness = Some(ReportedSlowness { factor, reported_at: now });
        let service = server.entry.service.clone();
        self.compare_servers(&service);
        !self.history.reporting_services.contains(&service) && self.history.reporting_services.insert(service)
    }

    /// Starts to compare the servers of a service.
    pub fn compare_servers(&mut self, service: &Name) {
        if !self.history.compared_services.contains(service) {
            self.history.compared_services.insert(service.clone());
        }
    }

    /// Records the latency of a successful response to a request of a route.
    pub fn record_response(&mut self, now: Timestamp, instance: &str, route: &Name, took: Duration) {
        if !self.is_compared(instance) {
            return;
        }
        let took = self.without_transit(instance, took);
        self.history.route_latencies.record(route, took);
        if let Some(server) = self.servers.get(instance) {
            self.history.record_arrival(now, &server.entry.service);
        }
        let factor = self.history.route_latencies.ratio_to_median(route, took);
        self.update(instance, |server| {
            server.measured.record_outcome(now, false);
            server.measured.record_slowness(now, factor);
        });
        self.update_health(now, instance, Some(factor));
    }

    /// Records that a server did not respond within `elapsed`, whether or not the response is still awaited.
    /// This is a lower bound of its latency.
    pub fn record_pending_response(&mut self, now: Timestamp, instance: &str, route: &Name, elapsed: Duration) {
        if !self.is_compared(instance) {
            return;
        }
        let elapsed = self.without_transit(instance, elapsed);
        let factor = self.history.route_latencies.ratio_to_median(route, elapsed);
        self.update(instance, |server| {
            if factor > server.measured.stats(now).slowness {
                server.measured.record_slowness(now, factor);
            }
        });
        // A lower bound can show that a response is slow, but never that it is fast.
        self.update_health(now, instance, None);
    }

    /// Records that a request was cancelled after `elapsed`, because a server that was asked later responded
    /// first. The response would have taken longer still.
    pub fn record_cancelled_response(&mut self, now: Timestamp, instance: &str, route: &Name, elapsed: Duration) {
        let more = self.without_transit(instance, elapsed) * (CANCELLED_FACTOR - 1);
        self.record_pending_response(now, instance, route, elapsed + more);
    }

    /// Records that a server responded with a failure or broke off its response.
    pub fn record_failed_response(&mut self, now: Timestamp, instance: &str) {
        if !self.is_compared(instance) {
            return;
        }
        self.update(instance, |server| server.measured.record_outcome(now, true));
        self.update_health(now, instance, None);
    }

    /// Returns the median latency of a route, once enough responses are known.
    pub fn median_latency(&self, route: &str) -> Option<Duration> {
        self.history.route_latencies.median(route)
    }

    /// Returns the 95th percentile of the latency of a route, once enough responses are known.
    pub fn p95_latency(&self, route: &str) -> Option<Duration> {
        self.history.route_latencies.p95(route)
    }

    /// Returns whether a server is compared with its peers by latency.
    pub fn is_compared(&self, instance: &str) -> bool {
        self.servers.get(instance).is_some_and(|server| self.compares_servers(&server.entry.service))
    }

    /// Returns the statistics of a server: this node's own measurements, or a newer observation by a peer.
    pub(super) fn server_stats(&self, now: Timestamp, server: &ServerState) -> ServerStats {
        match self.trusted_observation(now, server) {
            Some(received) => received.stats,
            None => server.measured.stats(now),
        }
    }

    /// Returns the expected slowness of one call at a server, relative to the median latency of its route and
    /// without queueing.
    pub(super) fn expected_slowness(&self, now: Timestamp, server: &ServerState) -> f64 {
        let stats = self.server_stats(now, server);
        let measured = without_noise(stats.slowness);
        let slowness = match server.reported_slowness {
            None => measured,
            Some(reported) => {
                let weight = REPORT_WEIGHT * decay(now.since(reported.reported_at), REPORT_HALF_LIFE);
                measured + weight * (reported.factor - measured)
            }
        };
        slowness.max(1.0 / MAX_SLOWNESS) / (1.0 - stats.failure_rate).max(MIN_SUCCESS_RATE)
    }

    /// Returns the expected latency of one more call at a server, in median latencies.
    pub(super) fn expected_latency(&self, now: Timestamp, server: &ServerState, mean_other_requests: f64) -> f64 {
        let latency = self.expected_slowness(now, server) * (1.0 + self.utilization(now, server, mean_other_requests));
        if server.is_remote { latency + self.transit_in_medians(&server.entry.service) } else { latency }
    }

    /// Returns the mean number of requests from other nodes at the servers of a service, with reported loads
    /// weighted by age; 0 if no server has reported its load recently.
    pub(super) fn mean_other_requests(&self, now: Timestamp, service: &str) -> f64 {
        let (mut weighted_sum, mut total_weight) = (0.0, 0.0);
        for server in self.of_service(service) {
            let weight = decay(now.since(server.load.reported_at), REPORT_HALF_LIFE);
            weighted_sum += weight * f64::from(server.load.other_requests);
            total_weight += weight;
        }
        if total_weight > MIN_LOAD_WEIGHT { weighted_sum / total_weight } else { 0.0 }
    }

    /// Returns the estimated ratio of requests to slots at a server.
    ///
    /// As a reported load ages, the estimate decays to the mean of the service. If it decayed to zero, a server
    /// without a recent report would look idle and all nodes would send their calls to it at once.
    fn utilization(&self, now: Timestamp, server: &ServerState, mean_other_requests: f64) -> f64 {
        let weight = decay(now.since(server.load.reported_at), REPORT_HALF_LIFE);
        let others = mean_other_requests + weight * (f64::from(server.load.other_requests) - mean_other_requests);
        (f64::from(server.in_flight) + others) / f64::from(server.slots())
    }

    /// Chooses the candidate with the lowest expected latency among those that are not degraded; a degraded one
    /// gets only probe calls.
    ///
    /// The less a node knows of the present load, the more its choice is randomized by a hash of its own name,
    /// in proportion to the servers' speed: otherwise all nodes with the same knowledge would choose the same
    /// server.
    pub(super) fn choose_fastest<'a>(
        &self,
        now: Timestamp,
        need: &ServerNeed<'_>,
        candidates: Vec<&'a ServerState>,
    ) -> Option<&'a ServerState> {
        let candidates = self.prefer_own_region(now, need, candidates);
        if let Some(server) = self.choose_probe(now, need, &candidates) {
            return Some(server);
        }
        let accepts = |server: &&&ServerState| self.accepts_calls(now, server);
        let mut accepting: Vec<&ServerState> = candidates.iter().filter(accepts).copied().collect();
        if accepting.is_empty() {
            // A request that needs a free slot can wait for one at a server that is not degraded.
            if need.slot_need != SlotNeed::Any && self.in_set(need.into()).any(|server| self.accepts_calls(now, server))
            {
                return None;
            }
            accepting = candidates;
        }
        let mean_other_requests = self.mean_other_requests(now, need.service);
        let latencies: Vec<f64> =
            accepting.iter().map(|server| self.expected_latency(now, server, mean_other_requests)).collect();
        let is_in_zone = |server: &ServerState| &*server.entry.zone == need.zone;
        let min_latency = latencies.iter().copied().fold(f64::INFINITY, f64::min);
        let stays_in_zone = accepting
            .iter()
            .zip(&latencies)
            .any(|(server, latency)| is_in_zone(server) && *latency <= min_latency + ZONE_PREFERENCE);
        let randomness = self.unknown_load_fraction(now, &accepting, mean_other_requests);
        let key = self.hash_key(now, need, accepting.len());
        let score = |server: &ServerState, latency: f64| {
            let sample = exponential_sample(rendezvous_weight(key, &server.entry.instance));
            latency * sample.powf(randomness)
        };
        let scored = accepting.iter().zip(&latencies).filter(|(server, _)| !stays_in_zone || is_in_zone(server));
        let scored = scored.map(|(server, latency)| (score(server, *latency), *server));
        let weight = |server: &ServerState| rendezvous_weight(key, &server.entry.instance);
        let first = scored.min_by(|(left_score, left), (right_score, right)| {
            left_score.total_cmp(right_score).then_with(|| weight(left).cmp(&weight(right)))
        });
        first.map(|(_, server)| server)
    }

    /// Returns the fraction of the present load that this node does not know, from 0 to 1: the servers without
    /// a recent report, as far as other nodes send calls too.
    fn unknown_load_fraction(&self, now: Timestamp, servers: &[&ServerState], mean_other_requests: f64) -> f64 {
        let known: f64 = servers.iter().map(|server| decay(now.since(server.load.reported_at), REPORT_HALF_LIFE)).sum();
        let recent = servers.iter().filter(|server| now.since(server.load.reported_at) < self.settings.max_load_age);
        let (own, others) =
            recent.fold((0, 0), |(own, others), server| (own + server.in_flight, others + server.load.other_requests));
        let others_fraction = if own + others == 0 { 1.0 } else { f64::from(others) / f64::from(own + others) };
        (1.0 - known / servers.len().max(1) as f64)
            * others_fraction
            * self.known_utilization(now, servers, mean_other_requests)
    }

    /// Returns the mean utilization of the servers with a recent report; 1 if there are none. Where it is low,
    /// the fast servers can take more than their share.
    fn known_utilization(&self, now: Timestamp, servers: &[&ServerState], mean_other_requests: f64) -> f64 {
        let recent = servers.iter().filter(|server| now.since(server.load.reported_at) < self.settings.max_load_age);
        let utilizations: Vec<f64> = recent.map(|server| self.utilization(now, server, mean_other_requests)).collect();
        if utilizations.is_empty() {
            return 1.0;
        }
        (utilizations.iter().sum::<f64>() / utilizations.len() as f64).clamp(MIN_KNOWN_UTILIZATION, 1.0)
    }

    /// Returns the hash key of a choice. A node with few calls keeps to its servers and their connections. One
    /// that uses all connections anyway takes a new key for each call, since a few nodes that each keep to
    /// their own servers would not spread the load evenly.
    fn hash_key(&self, now: Timestamp, need: &ServerNeed<'_>, servers: usize) -> u64 {
        let uses_all =
            self.history.mean_interval(now, need.service).saturating_mul(servers as u32) <= CONNECTION_REUSE_TIME;
        if !uses_all {
            return hash_parts(&[need.tie_key]);
        }
        let sent: u64 = self.of_service(need.service).map(|server| server.sent).sum();
        hash_parts(&[need.tie_key, &sent.to_string()])
    }

    pub(super) fn accepts_calls(&self, now: Timestamp, server: &ServerState) -> bool {
        match self.health(now, &server.entry.instance) {
            ServerHealth::Healthy => true,
            ServerHealth::Degraded => false,
            ServerHealth::Recovering(limit) => server.in_flight < limit,
        }
    }

    /// Returns a degraded or recovering server if it is time to send it a probe call.
    fn choose_probe<'a>(
        &self,
        now: Timestamp,
        need: &ServerNeed<'_>,
        candidates: &[&'a ServerState],
    ) -> Option<&'a ServerState> {
        // A hedged request goes where a response is expected, and a request that must not run twice cannot be
        // hedged if its probe is slow.
        if !need.is_repeatable || !need.avoid.is_empty() {
            return None;
        }
        let sent: u64 = self.of_service(need.service).map(|server| server.sent).sum();
        let offset = hash_parts(&[need.tie_key]) % CALLS_PER_PROBE;
        if sent % CALLS_PER_PROBE != offset {
            return None;
        }
        let is_candidate = |server: &&&ServerState| {
            server.in_flight == 0 && self.health(now, &server.entry.instance) != ServerHealth::Healthy
        };
        candidates.iter().filter(is_candidate).min_by_key(|server| server.sent).copied()
    }

    /// Returns the median statistics of a service, with which each of its servers is compared.
    pub(super) fn median_stats(&self, now: Timestamp, service: &str) -> MedianStats {
        MedianStats::of(self.of_service(service).map(|server| self.server_stats(now, server)).collect())
    }
}

/// Calls for each probe call to a degraded server, which shows whether the server has recovered.
const CALLS_PER_PROBE: u64 = 50;

/// Maps a hash to a sample of the exponential distribution with mean 1. This is the basis of weighted
/// rendezvous hashing, which chooses servers in proportion to their weights.
fn exponential_sample(hash: u64) -> f64 {
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.min(1.0 - f64::EPSILON).ln()
}
