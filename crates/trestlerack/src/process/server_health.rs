//! Which backend servers are set aside because their answers are slow or fail against those of their
//! peers, and how they come back.
//!
//! A server is compared with the median of its service, never with a constant; see
//! [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md#parts).

use super::load_balancer::ServerBoard;
use super::server_state::ServerBelief;
use crate::{Name, Timestamp};
use std::time::Duration;

/// Times the median at which answers are slow.
pub(super) const SLOW_FACTOR: f64 = 2.0;

/// Times the median at which a server is set aside at once: neighbours on its host do not slow a server
/// that much.
const FAR_TOO_SLOW: f64 = 3.0;

/// Time for which all answers of a server must have been slow to set it aside, longer than neighbours on its
/// host slow it.
const SLOW_TIME: Duration = Duration::from_millis(2_400);

/// Answers that must have shown it.
const SLOW_ANSWERS: u32 = 12;

/// Share of failing answers at which a server is set aside if the median's is lower.
const FAILING_SHARE: f64 = 1.0 / 3.0;

/// Calls at once at which a returning server takes part again.
const RETURNED: u32 = 4;

/// How the answers of a server are at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerFigures {
    /// How many times longer than usual they take.
    pub slowness: f64,
    /// Share of them that fails.
    pub failing: f64,
}

/// How the answers of the middle one of a service's servers are.
#[derive(Clone, Copy, Debug)]
pub(super) struct PeerFigures {
    slowness: f64,
    failing: f64,
}

impl PeerFigures {
    pub(super) fn of(servers: Vec<ServerFigures>) -> Self {
        let slowness = servers.iter().map(|figures| figures.slowness).collect();
        let failing = servers.iter().map(|figures| figures.failing).collect();
        Self { slowness: lower_median(slowness), failing: lower_median(failing) }
    }

    /// Returns how many times slower than the middle one a server is.
    pub(super) fn times_median(&self, figures: ServerFigures) -> f64 {
        figures.slowness / self.slowness
    }

    /// Returns whether a server fails often while the middle one does not.
    pub(super) fn is_failing(&self, figures: ServerFigures) -> bool {
        figures.failing >= FAILING_SHARE && self.failing < FAILING_SHARE / 2.0
    }
}

/// Of two servers the better one is the measure of the other.
fn lower_median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// What share of the calls a server gets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerStanding {
    /// As much as its expected time brings.
    #[default]
    Well,
    /// A call now and then, one at a time.
    Trickle,
    /// At most so many calls at once.
    Returning(u32),
}

impl ServerStanding {
    /// Returns the word for logs and lists.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Well => "well",
            Self::Trickle => "trickle",
            Self::Returning(_) => "returning",
        }
    }
}

/// The standing of a server by this node's own calls.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StandingRecord {
    pub(super) standing: ServerStanding,
    /// Since when all its answers have been slow.
    slow_since: Option<Timestamp>,
    slow_answers: u32,
    /// Good answers since it began to return, or since its last step.
    good_answers: u32,
}

impl StandingRecord {
    /// Takes the figures after an answer into account. `may_leave` says whether the floor allows to set
    /// one more server aside.
    fn judge(&mut self, now: Timestamp, figures: ServerFigures, peers: &PeerFigures, may_leave: bool) {
        let times_median = peers.times_median(figures);
        let has_lasted = self.slow_since.is_some_and(|since| now.since(since) >= SLOW_TIME);
        let is_slow = (has_lasted && self.slow_answers >= SLOW_ANSWERS) || times_median >= FAR_TOO_SLOW;
        if is_slow || peers.is_failing(figures) {
            self.set_aside(may_leave);
        } else if times_median < SLOW_FACTOR {
            self.come_back();
        }
    }

    /// Counts an answer that took `times_median` times as long as is usual at the middle one.
    fn count_answer(&mut self, now: Timestamp, times_median: f64) {
        if times_median < SLOW_FACTOR {
            (self.slow_since, self.slow_answers) = (None, 0);
        } else {
            self.slow_since.get_or_insert(now);
            self.slow_answers += 1;
        }
    }

    fn set_aside(&mut self, may_leave: bool) {
        if may_leave || self.standing != ServerStanding::Well {
            self.standing = ServerStanding::Trickle;
            self.good_answers = 0;
        }
    }

    fn come_back(&mut self) {
        self.good_answers += 1;
        self.standing = match self.standing {
            ServerStanding::Well => ServerStanding::Well,
            ServerStanding::Trickle => ServerStanding::Returning(1),
            ServerStanding::Returning(most) if self.good_answers < most => return,
            ServerStanding::Returning(most) if most >= RETURNED => ServerStanding::Well,
            ServerStanding::Returning(most) => ServerStanding::Returning(2 * most),
        };
        self.good_answers = 0;
    }
}

impl ServerBoard {
    /// Returns the standing of a server, by this node's own calls or else by what peers told.
    pub fn standing(&self, now: Timestamp, instance: &str) -> ServerStanding {
        let Some(belief) = self.servers.get(instance) else { return ServerStanding::Well };
        match belief.record.standing {
            ServerStanding::Well if self.is_left_on_word(now, belief) => ServerStanding::Trickle,
            // Nothing was heard of it for long, so one call shows how it is now.
            ServerStanding::Trickle if self.is_forgotten(now, belief) => ServerStanding::Returning(1),
            standing => standing,
        }
    }

    fn is_forgotten(&self, now: Timestamp, belief: &ServerBelief) -> bool {
        let figures = self.figures(now, belief);
        let peers = self.peer_figures(now, &belief.entry.service);
        peers.times_median(figures) < SLOW_FACTOR && !peers.is_failing(figures)
    }

    /// Judges a server anew, after an answer that took `factor` times as long as is usual if there was one.
    pub(super) fn review(&mut self, now: Timestamp, instance: &str, factor: Option<f64>) {
        let Some(belief) = self.servers.get(instance) else { return };
        let service = belief.entry.service.clone();
        let peers = self.peer_figures(now, &service);
        let may_leave = self.may_leave_one(&service);
        self.change(instance, |belief| {
            let figures = belief.learnt.figures(now);
            if let Some(factor) = factor {
                belief.record.count_answer(now, peers.times_median(ServerFigures { slowness: factor, ..figures }));
            }
            belief.record.judge(now, figures, &peers, may_leave);
        });
        let is_good = factor.is_some_and(|factor| factor < SLOW_FACTOR);
        self.tell_if_news(now, instance, &peers, is_good);
    }

    /// Returns whether one more server can be set aside: at least half of a service stays.
    fn may_leave_one(&self, service: &Name) -> bool {
        let servers = self.of_service(service).count();
        let aside = self.of_service(service).filter(|belief| belief.record.standing != ServerStanding::Well).count();
        2 * (aside + 1) <= servers
    }
}
