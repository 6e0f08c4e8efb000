//! Attempts of a request whose response is buffered until it is complete.
//!
//! A repeatable request is hedged: it gets a second server while the first one still works on it, if a response
//! can still arrive in time; see [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md#parts).

use super::attempt::{self, AttemptError, CompleteResponse};
use super::client_requests::ClientRequest;
use super::in_flight::InFlightGuard;
use super::node::EntryNode;
use super::plain::{self, RequestFailure};
use super::request_history::RequestHistory;
use super::server_responses::{self, ResponseTimer};
use super::{admission, hedging, placement, suspects};
use crate::process::clock;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{AttemptReason, ServerSet, SlotNeed};
use trestlerack::request::RequestFingerprint;
use trestlerack::version::{RequestRoute, RouteKind};
use trestlerack::{Name, Timestamp};

/// Tries servers until one responds, the route's limit of attempts is reached, or the request may have run
/// and must not run again.
pub async fn try_servers(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: &ClientRequest,
    deadline: Timestamp,
    history: &mut RequestHistory,
) -> Result<CompleteResponse, RequestFailure> {
    let call = ProxiedCall { node, route, request, deadline, fingerprint: request.fingerprint() };
    if call.may_hedge() { call.attempt_hedged(history).await } else { call.attempt_sequentially(history).await }
}

/// A request with the data that all its attempts share.
struct ProxiedCall<'a> {
    node: &'a Arc<EntryNode>,
    route: &'a RequestRoute,
    request: &'a ClientRequest,
    deadline: Timestamp,
    fingerprint: RequestFingerprint,
}

/// An attempt whose server has not responded yet.
#[derive(Clone)]
struct PendingAttempt {
    server: Name,
    timer: ResponseTimer,
    /// Whether the server was degraded, so that the attempt probes it.
    is_probe: bool,
}

/// State of a request that is tried at several servers in parallel.
struct HedgingState {
    /// Attempts in flight, in the order in which they were started.
    pending: Vec<PendingAttempt>,
    /// Whether another server is wanted.
    wants_server: bool,
    /// Whether the time for a hedged attempt has passed, with or without one.
    is_hedge_decided: bool,
    /// Whether the attempts in flight are overdue, so that their servers may never respond.
    is_overdue: bool,
    /// Result of the request if no server responds.
    failure: RequestFailure,
    /// Last error response of a server.
    last_error_response: Option<CompleteResponse>,
}

impl Default for HedgingState {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            wants_server: true,
            is_hedge_decided: false,
            is_overdue: false,
            failure: RequestFailure::NotRun,
            last_error_response: None,
        }
    }
}

impl HedgingState {
    fn set_retry_after(&mut self, left: Duration) {
        self.set_optional_retry_after(Some(left));
    }

    /// Sets the time after which the caller may retry, if it is known.
    fn set_optional_retry_after(&mut self, retry_after: Option<Duration>) {
        let failure = std::mem::replace(&mut self.failure, RequestFailure::NotRun);
        self.failure = failure.with_optional_retry_after(retry_after);
    }

    fn may_have_run_without_response(&self) -> bool {
        self.pending.is_empty() && matches!(self.failure, RequestFailure::MayHaveRun)
    }
}

/// When to start the next attempt if no response arrives before.
enum NextAttempt {
    /// Hedge at this time, if the budget and the free slots allow it then.
    Hedge(Timestamp),
    /// The attempts in flight are overdue at this time, so their servers may never respond.
    Overdue(Timestamp),
    /// No further attempt is started while others are in flight.
    Never,
}

impl ProxiedCall<'_> {
    fn is_safe(&self) -> bool {
        self.route.kind == RouteKind::Safe
    }

    fn service(&self) -> Option<&Name> {
        self.route.service_for(self.request.id())
    }

    fn may_hedge(&self) -> bool {
        let is_compared = |service: &Name| self.node.balancer.lock().unwrap().compares_servers(service);
        self.is_safe() && self.service().is_some_and(is_compared)
    }

    /// Tries one server after another.
    async fn attempt_sequentially(&self, history: &mut RequestHistory) -> Result<CompleteResponse, RequestFailure> {
        let Self { node, route, request, deadline, fingerprint } = *self;
        let is_safe = self.is_safe();
        let mut failure = RequestFailure::NotRun;
        let mut last_error_response = None;
        while history.runs() < route.max_attempts {
            if let Some(left) = plain::check_blocked(node, request, fingerprint) {
                failure = failure.with_retry_after(left);
                break;
            }
            let guard = match plain::find_server(node, route, request, fingerprint, deadline, history).await {
                Ok(guard) => guard,
                Err(retry_after) => {
                    failure = failure.with_optional_retry_after(retry_after);
                    break;
                }
            };
            let server = guard.server.instance.clone();
            let left = deadline.since(node.now());
            let is_last = history.runs() + 1 == route.max_attempts || !is_safe;
            let limit = if is_last { left } else { left.min(plain::overdue_threshold(node, route)) };
            match self.attempt(guard, limit).await.1 {
                // Another server may succeed where this one responded with an error.
                Ok(response) if is_safe && response.status.is_server_error() => {
                    history.record_run();
                    last_error_response = Some(response);
                }
                Ok(response) => return Ok(response),
                Err(error) => {
                    history.log_failed_attempt(&server, &error);
                    if error.is_not_run() {
                        history.record_not_run();
                        continue;
                    }
                    history.record_run();
                    failure = RequestFailure::MayHaveRun;
                    // A content that crashed several servers may crash one more per request at most.
                    if !is_safe || suspects::has_repeated_crashes(node, fingerprint) {
                        return Err(failure);
                    }
                }
            }
        }
        last_error_response.ok_or(failure)
    }

    /// Tries servers in parallel. Earlier attempts go on, and the first complete response wins. The connections
    /// of the other attempts are closed then, which cancels their work.
    async fn attempt_hedged(&self, history: &mut RequestHistory) -> Result<CompleteResponse, RequestFailure> {
        let Some(service) = self.service() else { return Err(RequestFailure::NotRun) };
        let mut attempts = FuturesUnordered::new();
        let mut state = HedgingState::default();
        loop {
            if let Some(guard) = self.next_guard(&mut state, history).await {
                attempts.push(self.attempt(guard, self.deadline.since(self.node.now())));
            }
            let next = self.next_attempt(history, &state);
            let ended = match next {
                NextAttempt::Never => Ok(attempts.next().await),
                NextAttempt::Hedge(at) | NextAttempt::Overdue(at) => {
                    clock::timeout(at.since(self.node.now()), attempts.next()).await
                }
            };
            match ended {
                Ok(Some((server, outcome))) => {
                    if let Some(response) = self.handle_outcome(&mut state, history, &server, outcome) {
                        return Ok(response);
                    }
                    // A content that crashed several servers may crash one more per request at most.
                    if state.may_have_run_without_response()
                        && suspects::has_repeated_crashes(self.node, self.fingerprint)
                    {
                        break;
                    }
                }
                Ok(None) => break,
                Err(_) => self.handle_timeout(&mut state, &next, service),
            }
        }
        state.last_error_response.ok_or(state.failure)
    }

    /// Finds the next server if one is wanted and allowed, and adds its attempt to the pending ones.
    async fn next_guard(&self, state: &mut HedgingState, history: &mut RequestHistory) -> Option<InFlightGuard> {
        let is_wanted = std::mem::take(&mut state.wants_server) || state.pending.is_empty();
        if !is_wanted || self.is_limit_reached(history, state) {
            return None;
        }
        if let Some(left) = plain::check_blocked(self.node, self.request, self.fingerprint) {
            state.set_retry_after(left);
            return None;
        }
        let guard = match state.pending.first() {
            Some(previous) => self.find_hedge_server(history, previous, !state.is_overdue)?,
            None => {
                let Self { node, route, request, deadline, fingerprint } = *self;
                match plain::find_server(node, route, request, fingerprint, deadline, history).await {
                    Ok(guard) => guard,
                    Err(retry_after) => {
                        state.set_optional_retry_after(retry_after);
                        return None;
                    }
                }
            }
        };
        let server = guard.server.instance.clone();
        let is_probe = hedging::is_probe(self.node, &server);
        state.pending.push(PendingAttempt { server, timer: ResponseTimer::start(self.node), is_probe });
        Some(guard)
    }

    /// Returns whether the number of servers that may have run the request, or still may, has reached the limit of
    /// the route.
    fn is_limit_reached(&self, history: &RequestHistory, state: &HedgingState) -> bool {
        history.runs() as usize + state.pending.len() >= self.route.max_attempts as usize
    }

    /// Decides whether another server is wanted after the time of [`NextAttempt`] has passed without a response.
    fn handle_timeout(&self, state: &mut HedgingState, next: &NextAttempt, service: &Name) {
        self.record_pending(&state.pending);
        state.is_hedge_decided = true;
        if matches!(next, NextAttempt::Overdue(_)) {
            self.pause_unresponsive(&state.pending);
            state.is_overdue = true;
            state.wants_server = true;
        } else {
            let routing = self.node.routing();
            let placement = placement::decide(routing.as_deref(), self.route, self.request.customer());
            let server_set = ServerSet::new(service.clone(), placement.placement());
            state.wants_server = hedging::has_free_slot(self.node, &server_set);
        }
    }

    /// Records how an attempt ended. Returns its response if that is the response to the request.
    fn handle_outcome(
        &self,
        state: &mut HedgingState,
        history: &mut RequestHistory,
        server: &Name,
        outcome: Result<CompleteResponse, AttemptError>,
    ) -> Option<CompleteResponse> {
        let ended =
            state.pending.iter().position(|attempt| attempt.server == *server).map(|at| state.pending.remove(at));
        match outcome {
            // Another server may succeed where this one responded with an error.
            Ok(response) if response.status.is_server_error() => {
                history.record_run();
                state.last_error_response = Some(response);
            }
            Ok(response) => {
                self.record_cancelled(&state.pending, ended.map(|attempt| attempt.timer.started));
                return Some(response);
            }
            Err(error) => {
                history.log_failed_attempt(server, &error);
                if !error.is_not_run() {
                    history.record_run();
                    state.failure = RequestFailure::MayHaveRun;
                } else if state.pending.is_empty() {
                    history.record_not_run();
                }
            }
        }
        None
    }

    /// Finds a further server with a free slot; does not wait for one. A hedge is charged to the budget of second
    /// attempts, unless the previous attempt is a probe. An attempt that is started because the previous one is
    /// overdue is not, since that may never get a response.
    fn find_hedge_server(
        &self,
        history: &mut RequestHistory,
        previous: &PendingAttempt,
        is_hedge: bool,
    ) -> Option<InFlightGuard> {
        let Self { node, route, request, deadline, fingerprint } = *self;
        let pick = |slot_need| plain::pick_server(node, route, request, fingerprint, history.tried(), slot_need);
        let guard = pick(SlotNeed::One)?;
        let call = plain::service_call(node, route, request, history.started(), deadline)?;
        if is_hedge && !previous.is_probe && !admission::try_spend_attempt(node, &call, AttemptReason::Hedge) {
            return None;
        }
        history.record_server(&guard.server.instance);
        let (id, waited) = (request.id(), node.now().since(previous.timer.started));
        hedging::log_hedge(id, &guard.server.instance, waited);
        Some(guard)
    }

    fn next_attempt(&self, history: &RequestHistory, state: &HedgingState) -> NextAttempt {
        let Self { node, route, fingerprint, .. } = *self;
        let Some(last) = state.pending.last() else { return NextAttempt::Never };
        // A second server that gets a content under which one crashed could crash too.
        if self.is_limit_reached(history, state) || suspects::is_suspect(node, fingerprint) {
            return NextAttempt::Never;
        }
        let overdue_at = last.timer.started + plain::overdue_threshold(node, route);
        if overdue_at <= node.now() {
            return NextAttempt::Never;
        }
        let hedge_delay = self.service().and_then(|service| hedging::hedge_delay(node, route, service));
        match hedge_delay.map(|delay| last.timer.started + delay) {
            Some(hedge_at) if !state.is_hedge_decided && hedge_at < overdue_at => NextAttempt::Hedge(hedge_at),
            _ => NextAttempt::Overdue(overdue_at),
        }
    }

    /// Records that the servers of pending attempts have not responded yet.
    fn record_pending(&self, pending: &[PendingAttempt]) {
        for attempt in pending {
            server_responses::record_pending(self.node, &attempt.server, &self.route.name, attempt.timer);
        }
    }

    /// Records which attempts are cancelled because a later one got its response first.
    fn record_cancelled(&self, pending: &[PendingAttempt], winner_started: Option<Timestamp>) {
        let slower =
            pending.iter().filter(|attempt| winner_started.is_some_and(|started| attempt.timer.started < started));
        for attempt in slower {
            server_responses::record_cancelled(self.node, &attempt.server, &self.route.name, attempt.timer);
        }
    }

    /// Pauses the servers of pending attempts, which may never respond.
    fn pause_unresponsive(&self, pending: &[PendingAttempt]) {
        let now = self.node.now();
        let mut balancer = self.node.balancer.lock().unwrap();
        pending.iter().for_each(|attempt| {
            balancer.failed(now, &attempt.server);
        });
    }

    /// Makes one attempt and records how it ended.
    async fn attempt(&self, guard: InFlightGuard, limit: Duration) -> (Name, Result<CompleteResponse, AttemptError>) {
        let Self { node, route, request, deadline, .. } = *self;
        let entry = guard.server.clone();
        let server = entry.instance.clone();
        let timer = ResponseTimer::start(node);
        let left = deadline.since(timer.started);
        let engine_request = plain::engine_request(node, route, request, &entry, left, None);
        let outcome = attempt::fetch_response(node, guard, engine_request, !self.is_safe(), limit).await;
        match &outcome {
            Ok(response) if response.status.is_server_error() => server_responses::record_failure(node, &server),
            Ok(_) => {
                let took = node.now().since(timer.started);
                node.route_latencies.lock().unwrap().record(&route.name, took);
                plain::record_latency(node, route, request, took);
                server_responses::record_success(node, &server, &route.name, timer);
            }
            Err(error) if error.is_not_run() => {}
            Err(_) => {
                server_responses::record_failure(node, &server);
                server_responses::record_pending(node, &server, &route.name, timer);
            }
        }
        (server, outcome)
    }
}
