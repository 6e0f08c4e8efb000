//! How long a backend server is expected to take, against its peers.
//!
//! Only services whose servers are compared are judged by this: they state how long work takes, or
//! customers share them; see
//! [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md).

use super::latency_estimate::AnswerTimes;
use super::load_balancer::{ServerBoard, ServerNeed, ServerRoom};
use super::server_health::{PeerFigures, SLOW_FACTOR, ServerFigures, ServerStanding};
use super::server_state::ServerBelief;
use crate::hash::{hash_parts, rendezvous_weight};
use crate::{Name, Timestamp};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Weight of an answer that took longer than was learnt. Quick, because callers wait meanwhile.
const RISE_WEIGHT: f64 = 0.4;

/// Weight of an answer that took less. Slow, because one short piece of work shows little.
const FALL_WEIGHT: f64 = 0.15;

/// Time in which half of a learnt difference is forgotten, so that a recovered server is tried again.
const FORGET_HALF: Duration = Duration::from_secs(4);

/// Time in which a stated slowness loses half of its weight: it changes many times a second.
const STATED_HALF: Duration = Duration::from_millis(100);

/// Weight of a slowness stated just now; it never counts alone.
const STATED_WEIGHT: f64 = 0.5;

/// Factor up to which a learnt difference counts as none. Work differs by itself, and a node that changed
/// servers for that would open connections for nothing.
const LEAST_DIFFERENCE: f64 = 1.25;

/// Largest factor that one answer counts as, so that a single one is forgotten soon.
const MOST_SLOWNESS: f64 = 16.0;

/// Times as long as it was awaited that an answer counts for which another one made superfluous.
const CUT_FACTOR: u32 = 2;

/// Weight of an answer in the share of those that fail.
const FAILURE_WEIGHT: f64 = 0.2;

/// Least share of the answers that counts as good, which keeps the expected time finite.
const LEAST_GOOD: f64 = 0.05;

/// Extra time, as a share of the usual one, at which a server of another availability zone goes first. It
/// is more than the noise of what is learnt, so that calls do not change zones for that.
const NEAR_SHARE: f64 = 0.3;

/// How many times longer than usual a server's answers take, as learnt from them.
#[derive(Clone, Copy, Debug)]
pub(super) struct LearntSlowness {
    factor: f64,
    failing: f64,
    /// When the last answer was recorded.
    pub(super) at: Timestamp,
}

impl Default for LearntSlowness {
    fn default() -> Self {
        Self { factor: 1.0, failing: 0.0, at: Timestamp::default() }
    }
}

impl LearntSlowness {
    /// Returns what is left of the figures at `now`.
    pub(super) fn figures(&self, now: Timestamp) -> ServerFigures {
        let left = half_life(now.since(self.at), FORGET_HALF);
        ServerFigures { slowness: 1.0 + (self.factor - 1.0) * left, failing: self.failing * left }
    }

    fn record(&mut self, now: Timestamp, factor: f64) {
        let held = self.figures(now);
        let factor = factor.min(MOST_SLOWNESS);
        // An answer as usual of a server that was slow shows that it has recovered.
        let has_recovered = held.slowness >= SLOW_FACTOR && factor <= held.slowness / SLOW_FACTOR;
        let weight = if factor > held.slowness || has_recovered { RISE_WEIGHT } else { FALL_WEIGHT };
        let slowness = held.slowness + weight * (factor - held.slowness);
        (self.factor, self.failing, self.at) = (slowness, held.failing, now);
    }

    fn record_end(&mut self, now: Timestamp, is_failure: bool) {
        let held = self.figures(now);
        let end = if is_failure { 1.0 } else { 0.0 };
        let failing = held.failing + FAILURE_WEIGHT * (end - held.failing);
        (self.factor, self.failing, self.at) = (held.slowness, failing, now);
    }
}

/// Slowness that a server stated.
#[derive(Clone, Copy, Debug)]
pub(super) struct StatedSlowness {
    pub(super) factor: f64,
    pub(super) at: Timestamp,
}

fn without_noise(slowness: f64) -> f64 {
    let is_noise = (1.0 / LEAST_DIFFERENCE..=LEAST_DIFFERENCE).contains(&slowness);
    if is_noise { 1.0 } else { slowness }
}

fn half_life(age: Duration, half: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half.as_secs_f64())
}

/// Total weight of the stated loads of a service above which their mean is used.
const LEAST_LOAD_WEIGHT: f64 = 0.05;

/// Least spread over servers of which nothing is known: nodes that know the same would all take the same.
const LEAST_SPREAD: f64 = 0.3;

/// Time within which a node uses each connection to a service again if it has calls for all of them.
const USED_TIME: Duration = Duration::from_secs(1);

/// Weight of a gap between two answers in the mean gap.
const GAP_WEIGHT: f64 = 0.1;

/// How often answers of a service come.
#[derive(Clone, Copy, Debug)]
struct AnswerGap {
    mean: Duration,
    last: Timestamp,
}

/// What a board has learnt of the time that answers take.
#[derive(Debug, Default)]
pub(super) struct LearntTimes {
    /// How often answers come, by service.
    gaps: BTreeMap<Name, AnswerGap>,
    /// Services whose servers are compared by the time of their answers.
    compared: BTreeSet<Name>,
    /// Services of which a server has stated how long work takes there.
    stating: BTreeSet<Name>,
    /// How long answers take, by kind of request.
    kinds: AnswerTimes,
}

impl LearntTimes {
    /// Returns the mean time between two answers of a service.
    fn gap(&self, now: Timestamp, service: &str) -> Duration {
        self.gaps.get(service).map_or(Duration::MAX, |gap| gap.mean.max(now.since(gap.last)))
    }

    fn note_answer(&mut self, now: Timestamp, service: &Name) {
        let Some(gap) = self.gaps.get_mut(service) else {
            // Seldom, until answers show more.
            self.gaps.insert(service.clone(), AnswerGap { mean: USED_TIME, last: now });
            return;
        };
        gap.mean = gap.mean.mul_f64(1.0 - GAP_WEIGHT) + now.since(gap.last).mul_f64(GAP_WEIGHT);
        gap.last = now;
    }
}

impl ServerBoard {
    /// Returns whether the servers of a service are compared by the time of their answers: they state how
    /// long work takes, customers share them, or a peer told of them.
    pub fn compares_servers(&self, service: &str) -> bool {
        self.learnt.compared.contains(service)
    }

    /// Records how long work takes at a server, as it stated, in hundredths of what is usual. Returns
    /// whether it is the first of its service to do so.
    pub fn stated_slowness(&mut self, now: Timestamp, instance: &str, percent: u32) -> bool {
        let factor = f64::from(percent) / 100.0;
        let Some(belief) = self.servers.get_mut(instance) else { return false };
        belief.stated = Some(StatedSlowness { factor, at: now });
        let service = belief.entry.service.clone();
        self.compare_servers(&service);
        !self.learnt.stating.contains(&service) && self.learnt.stating.insert(service)
    }

    /// Compares the servers of a service from now on.
    pub fn compare_servers(&mut self, service: &Name) {
        if !self.learnt.compared.contains(service) {
            self.learnt.compared.insert(service.clone());
        }
    }

    /// Records how long a good answer to a kind of request took, as a route names it.
    pub fn answer_took(&mut self, now: Timestamp, instance: &str, kind: &Name, took: Duration) {
        if !self.is_compared(instance) {
            return;
        }
        self.learnt.kinds.record(kind, took);
        if let Some(belief) = self.servers.get(instance) {
            self.learnt.note_answer(now, &belief.entry.service);
        }
        let factor = self.learnt.kinds.times_usual(kind, took);
        self.change(instance, |belief| {
            belief.learnt.record_end(now, false);
            belief.learnt.record(now, factor);
        });
        self.review(now, instance, Some(factor));
    }

    /// Records that a server did not answer within `elapsed`, whether or not its answer is still awaited.
    /// That is a lower bound of its time.
    pub fn answer_outstanding(&mut self, now: Timestamp, instance: &str, kind: &Name, elapsed: Duration) {
        if !self.is_compared(instance) {
            return;
        }
        let factor = self.learnt.kinds.times_usual(kind, elapsed);
        self.change(instance, |belief| {
            if factor > belief.learnt.figures(now).slowness {
                belief.learnt.record(now, factor);
            }
        });
        // It shows that the answer is slow, and never that it is not.
        self.review(now, instance, None);
    }

    /// Records that the work of a server was ended after `elapsed`, because another one answered first
    /// that was asked later. It would have taken longer still.
    pub fn answer_cut(&mut self, now: Timestamp, instance: &str, kind: &Name, elapsed: Duration) {
        self.answer_outstanding(now, instance, kind, elapsed * CUT_FACTOR);
    }

    /// Records that a server answered with a failure or broke off.
    pub fn answer_failed(&mut self, now: Timestamp, instance: &str) {
        if !self.is_compared(instance) {
            return;
        }
        self.change(instance, |belief| belief.learnt.record_end(now, true));
        self.review(now, instance, None);
    }

    /// Returns the time that half of the answers to a kind of request take, once enough are known.
    pub fn median_time(&self, kind: &str) -> Option<Duration> {
        self.learnt.kinds.median(kind)
    }

    /// Returns the time that few answers to a kind of request take, once enough are known.
    pub fn high_time(&self, kind: &str) -> Option<Duration> {
        self.learnt.kinds.high(kind)
    }

    /// Returns whether a server is compared with its peers by the time of its answers.
    pub fn is_compared(&self, instance: &str) -> bool {
        self.servers.get(instance).is_some_and(|belief| self.compares_servers(&belief.entry.service))
    }

    /// Returns what is believed of a server's answers: what this node has seen, or others since.
    pub(super) fn figures(&self, now: Timestamp, belief: &ServerBelief) -> ServerFigures {
        match self.counted_word(now, belief) {
            Some(told) => told.figures,
            None => belief.learnt.figures(now),
        }
    }

    /// Returns how many times longer than usual a server is expected to take for one call, without what
    /// runs and waits there.
    pub(super) fn expected_slowness(&self, now: Timestamp, belief: &ServerBelief) -> f64 {
        let figures = self.figures(now, belief);
        let learnt = without_noise(figures.slowness);
        let slowness = match belief.stated {
            None => learnt,
            Some(stated) => {
                let weight = STATED_WEIGHT * half_life(now.since(stated.at), STATED_HALF);
                learnt + weight * (stated.factor - learnt)
            }
        };
        slowness.max(1.0 / MOST_SLOWNESS) / (1.0 - figures.failing).max(LEAST_GOOD)
    }

    /// Returns the time that a server is expected to take for one more call, in usual answer times.
    fn expected_time(&self, now: Timestamp, belief: &ServerBelief, mean_others: f64) -> f64 {
        self.expected_slowness(now, belief) * (1.0 + self.fill(now, belief, mean_others))
    }

    /// Returns the mean number of requests from other nodes at the servers of a service, with stated loads
    /// weighted by age; 0 if no server has stated its load recently.
    fn mean_others(&self, now: Timestamp, service: &str) -> f64 {
        let (mut weighted_sum, mut total_weight) = (0.0, 0.0);
        for belief in self.of_service(service) {
            let weight = half_life(now.since(belief.load.at), STATED_HALF);
            weighted_sum += weight * f64::from(belief.load.others);
            total_weight += weight;
        }
        if total_weight > LEAST_LOAD_WEIGHT { weighted_sum / total_weight } else { 0.0 }
    }

    /// Returns the estimated ratio of requests to slots at a server.
    ///
    /// As a stated load ages, the estimate decays to the mean of the service. If it decayed to zero, a server
    /// without a recent report would look idle and all nodes would send their calls to it at once.
    fn fill(&self, now: Timestamp, belief: &ServerBelief, mean_others: f64) -> f64 {
        let weight = half_life(now.since(belief.load.at), STATED_HALF);
        let others = mean_others + weight * (f64::from(belief.load.others) - mean_others);
        (f64::from(belief.in_flight) + others) / f64::from(belief.slots())
    }

    /// Chooses the server that is expected to answer first among those of `candidates` that are not set
    /// aside; one that is gets a trickle.
    ///
    /// The less a node knows of the present load, the more its choice follows its own hash, with
    /// shares by expected time: nodes that know the same would else all take the same server.
    pub(super) fn choose_expected<'a>(
        &self,
        now: Timestamp,
        need: &ServerNeed<'_>,
        candidates: Vec<&'a ServerBelief>,
    ) -> Option<&'a ServerBelief> {
        if let Some(belief) = self.choose_trickle(now, need, &candidates) {
            return Some(belief);
        }
        let has_part = |belief: &&&ServerBelief| self.takes_part(now, belief);
        let mut open: Vec<&ServerBelief> = candidates.iter().filter(has_part).copied().collect();
        if open.is_empty() {
            // Who asks for a free place can wait for one at a server that is not set aside.
            if need.room != ServerRoom::Any && self.of_service(need.service).any(|belief| self.takes_part(now, belief))
            {
                return None;
            }
            open = candidates;
        }
        let mean_others = self.mean_others(now, need.service);
        let times: Vec<f64> = open.iter().map(|belief| self.expected_time(now, belief, mean_others)).collect();
        let is_near = |belief: &ServerBelief| &*belief.entry.zone == need.zone;
        let least = times.iter().copied().fold(f64::INFINITY, f64::min);
        let stays_near = open.iter().zip(&times).any(|(belief, time)| is_near(belief) && *time <= least + NEAR_SHARE);
        let spread = self.unknown_share(now, &open, mean_others);
        let key = self.draw_key(now, need, open.len());
        let score = |belief: &ServerBelief, time: f64| {
            let draw = exponential(rendezvous_weight(key, &belief.entry.instance));
            time * draw.powf(spread)
        };
        let scored = open.iter().zip(&times).filter(|(belief, _)| !stays_near || is_near(belief));
        let scored = scored.map(|(belief, time)| (score(belief, *time), *belief));
        let weight = |belief: &ServerBelief| rendezvous_weight(key, &belief.entry.instance);
        let first = scored.min_by(|(left_score, left), (right_score, right)| {
            left_score.total_cmp(right_score).then_with(|| weight(left).cmp(&weight(right)))
        });
        first.map(|(_, belief)| belief)
    }

    /// Returns how much of the present load this node does not know, from 0 to 1: the servers that it has not
    /// heard of lately, as far as others send calls as well.
    fn unknown_share(&self, now: Timestamp, servers: &[&ServerBelief], mean_others: f64) -> f64 {
        let known: f64 = servers.iter().map(|belief| half_life(now.since(belief.load.at), STATED_HALF)).sum();
        let recent = servers.iter().filter(|belief| now.since(belief.load.at) < self.settings.load_age);
        let (own, others) =
            recent.fold((0, 0), |(own, others), belief| (own + belief.in_flight, others + belief.load.others));
        let others_share = if own + others == 0 { 1.0 } else { f64::from(others) / f64::from(own + others) };
        (1.0 - known / servers.len().max(1) as f64) * others_share * self.known_fill(now, servers, mean_others)
    }

    /// Returns the mean fill of the servers heard of lately; 1 if there are none. Where it is low the fast
    /// servers have room for more than their share.
    fn known_fill(&self, now: Timestamp, servers: &[&ServerBelief], mean_others: f64) -> f64 {
        let recent = servers.iter().filter(|belief| now.since(belief.load.at) < self.settings.load_age);
        let fills: Vec<f64> = recent.map(|belief| self.fill(now, belief, mean_others)).collect();
        if fills.is_empty() {
            return 1.0;
        }
        (fills.iter().sum::<f64>() / fills.len() as f64).clamp(LEAST_SPREAD, 1.0)
    }

    /// Returns the key of a choice. A node with few calls keeps to its servers and their connections; one
    /// that uses them all anyway draws for each call, since a few nodes that keep to theirs would not
    /// spread evenly.
    fn draw_key(&self, now: Timestamp, need: &ServerNeed<'_>, servers: usize) -> u64 {
        let uses_all = self.learnt.gap(now, need.service).saturating_mul(servers as u32) <= USED_TIME;
        if !uses_all {
            return hash_parts(&[need.tie_key]);
        }
        let sent: u64 = self.of_service(need.service).map(|belief| belief.sent).sum();
        hash_parts(&[need.tie_key, &sent.to_string()])
    }

    fn takes_part(&self, now: Timestamp, belief: &ServerBelief) -> bool {
        match self.standing(now, &belief.entry.instance) {
            ServerStanding::Well => true,
            ServerStanding::Trickle => false,
            ServerStanding::Returning(most) => belief.in_flight < most,
        }
    }

    /// Returns a server that is set aside, or returns, and whose turn it is to get one call.
    fn choose_trickle<'a>(
        &self,
        now: Timestamp,
        need: &ServerNeed<'_>,
        candidates: &[&'a ServerBelief],
    ) -> Option<&'a ServerBelief> {
        // A second attempt goes where an answer is expected, and who cannot have one stays where it is.
        if !need.is_repeatable || !need.avoid.is_empty() {
            return None;
        }
        let sent: u64 = self.of_service(need.service).map(|belief| belief.sent).sum();
        let offset = hash_parts(&[need.tie_key]) % TRICKLE;
        if sent % TRICKLE != offset {
            return None;
        }
        let is_aside = |belief: &&&ServerBelief| {
            belief.in_flight == 0 && self.standing(now, &belief.entry.instance) != ServerStanding::Well
        };
        candidates.iter().filter(is_aside).min_by_key(|belief| belief.sent).copied()
    }

    /// Returns the figures of a service's servers with which each of them is compared.
    pub(super) fn peer_figures(&self, now: Timestamp, service: &str) -> PeerFigures {
        PeerFigures::of(self.of_service(service).map(|belief| self.figures(now, belief)).collect())
    }
}

/// Calls of which one goes to a server that is set aside, which shows whether it has recovered.
const TRICKLE: u64 = 50;

/// Makes a draw from the exponential distribution of mean 1 out of a hash, the basis of weighted
/// rendezvous hashing: with it, servers are first in proportion to their weights.
fn exponential(hash: u64) -> f64 {
    let share = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -share.min(1.0 - f64::EPSILON).ln()
}
