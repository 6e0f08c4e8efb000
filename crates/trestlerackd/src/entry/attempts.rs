//! The attempts of a request whose answer is passed on whole.
//!
//! A request that may be repeated gets a second server beside the first where that still brings an answer
//! in time; see [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md#parts).

use super::attempt::{self, AttemptError, WholeAnswer};
use super::front::ClientRequest;
use super::node::EntryNode;
use super::plain::{self, Shortfall};
use super::server_answers::{self, AnswerWatch};
use super::server_ticket::ServerTicket;
use super::trail::RequestTrail;
use super::{room, second_attempts, suspects, urgency};
use crate::process::clock;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{AttemptReason, SlotNeed};
use trestlerack::request::RequestFingerprint;
use trestlerack::version::{RequestRoute, RouteKind};
use trestlerack::{Name, Timestamp};

/// Tries servers until one answers, the attempts are used up or the request may have run and must
/// not run again.
pub async fn attempt_all(
    node: &Arc<EntryNode>,
    route: &RequestRoute,
    request: &ClientRequest,
    deadline: Timestamp,
    trail: &mut RequestTrail,
) -> Result<WholeAnswer, Shortfall> {
    let call = PlainCall { node, route, request, deadline, fingerprint: request.fingerprint() };
    if call.may_have_second() { call.attempt_beside(trail).await } else { call.attempt_in_turn(trail).await }
}

/// A request with what its attempts have in common.
struct PlainCall<'a> {
    node: &'a Arc<EntryNode>,
    route: &'a RequestRoute,
    request: &'a ClientRequest,
    deadline: Timestamp,
    fingerprint: RequestFingerprint,
}

/// A server that works on a call.
#[derive(Clone)]
struct OpenAttempt {
    server: Name,
    watch: AnswerWatch,
    /// Whether the server had been set aside.
    is_trial: bool,
}

/// What became of a call that is tried at servers beside each other.
struct BesideState {
    /// Servers at work, in the order in which they were asked.
    open: Vec<OpenAttempt>,
    /// Whether a further server is to be asked.
    wants_server: bool,
    /// Whether the time of the early second attempt is over.
    is_early_over: bool,
    /// Whether those at work may never answer.
    is_late: bool,
    /// How it comes out if no server answers.
    shortfall: Shortfall,
    /// The last failure that a server stated itself.
    last_answer: Option<WholeAnswer>,
}

impl Default for BesideState {
    fn default() -> Self {
        Self {
            open: Vec::new(),
            wants_server: true,
            is_early_over: false,
            is_late: false,
            shortfall: Shortfall::NotRun,
            last_answer: None,
        }
    }
}

impl BesideState {
    fn hold(&mut self, left: Duration) {
        self.hold_until(Some(left));
    }

    /// Notes after which time the caller may return; `None` where that is not known.
    fn hold_until(&mut self, return_after: Option<Duration>) {
        let shortfall = std::mem::replace(&mut self.shortfall, Shortfall::NotRun);
        self.shortfall = shortfall.or_returning(return_after);
    }

    fn may_have_run_alone(&self) -> bool {
        self.open.is_empty() && matches!(self.shortfall, Shortfall::MayHaveRun)
    }
}

/// How long the next server waits for the ones before it.
enum NextServer {
    /// Until this time, if the budget and the room allow one then.
    Early(Timestamp),
    /// Until this time; those before it may never answer.
    Late(Timestamp),
    /// There is none beside those that are at work.
    Never,
}

impl PlainCall<'_> {
    fn is_safe(&self) -> bool {
        self.route.kind == RouteKind::Safe
    }

    fn service(&self) -> Option<&Name> {
        self.route.service_for(self.request.id())
    }

    fn may_have_second(&self) -> bool {
        let is_compared = |service: &Name| self.node.balancer.lock().unwrap().compares_servers(service);
        self.is_safe() && self.service().is_some_and(is_compared)
    }

    /// Tries one server after the other.
    async fn attempt_in_turn(&self, trail: &mut RequestTrail) -> Result<WholeAnswer, Shortfall> {
        let Self { node, route, request, deadline, fingerprint } = *self;
        let is_safe = self.is_safe();
        let mut shortfall = Shortfall::NotRun;
        let mut last_answer = None;
        while trail.runs() < route.max_attempts {
            if let Some(left) = plain::hold_back(node, request, fingerprint) {
                shortfall = shortfall.or_held(left);
                break;
            }
            let ticket = match plain::find_server(node, route, request, fingerprint, deadline, trail).await {
                Ok(ticket) => ticket,
                Err(return_after) => {
                    shortfall = shortfall.or_returning(return_after);
                    break;
                }
            };
            let server = ticket.server.instance.clone();
            let left = deadline.since(node.now());
            let is_last = trail.runs() + 1 == route.max_attempts || !is_safe;
            let limit = if is_last { left } else { left.min(plain::patience(node, route)) };
            match self.attempt(ticket, limit).await.1 {
                // A failure that the server states itself may pass at another one.
                Ok(answer) if is_safe && answer.status.is_server_error() => {
                    trail.add_run();
                    last_answer = Some(answer);
                }
                Ok(answer) => return Ok(answer),
                Err(error) => {
                    trail.attempt_failed(&server, &error);
                    if error.is_not_run() {
                        trail.did_not_run();
                        continue;
                    }
                    trail.add_run();
                    shortfall = Shortfall::MayHaveRun;
                    // Each arrival of what ended several servers takes one more at most.
                    if !is_safe || suspects::is_repeated(node, fingerprint) {
                        return Err(shortfall);
                    }
                }
            }
        }
        last_answer.ok_or(shortfall)
    }

    /// Tries servers beside each other: those before go on, and the first whole answer wins. The others'
    /// connections are closed with it, which ends the work there.
    async fn attempt_beside(&self, trail: &mut RequestTrail) -> Result<WholeAnswer, Shortfall> {
        let Some(service) = self.service() else { return Err(Shortfall::NotRun) };
        let mut at_work = FuturesUnordered::new();
        let mut state = BesideState::default();
        loop {
            if let Some(ticket) = self.next_ticket(&mut state, trail).await {
                at_work.push(self.attempt(ticket, self.deadline.since(self.node.now())));
            }
            let next = self.next_server(trail, &state);
            let ended = match next {
                NextServer::Never => Ok(at_work.next().await),
                NextServer::Early(at) | NextServer::Late(at) => {
                    clock::timeout(at.since(self.node.now()), at_work.next()).await
                }
            };
            match ended {
                Ok(Some((server, outcome))) => {
                    if let Some(answer) = self.take_outcome(&mut state, trail, &server, outcome) {
                        return Ok(answer);
                    }
                    // Each arrival of what ended several servers takes one more at most.
                    if state.may_have_run_alone() && suspects::is_repeated(self.node, self.fingerprint) {
                        break;
                    }
                }
                Ok(None) => break,
                Err(_) => self.time_over(&mut state, &next, service),
            }
        }
        state.last_answer.ok_or(state.shortfall)
    }

    /// Finds the next server if one is wanted and allowed, and notes it as at work.
    async fn next_ticket(&self, state: &mut BesideState, trail: &mut RequestTrail) -> Option<ServerTicket> {
        let is_wanted = std::mem::take(&mut state.wants_server) || state.open.is_empty();
        if !is_wanted || self.is_used_up(trail, state) {
            return None;
        }
        if let Some(left) = plain::hold_back(self.node, self.request, self.fingerprint) {
            state.hold(left);
            return None;
        }
        let ticket = match state.open.first() {
            Some(before) => self.find_beside(trail, before, !state.is_late)?,
            None => {
                let Self { node, route, request, deadline, fingerprint } = *self;
                match plain::find_server(node, route, request, fingerprint, deadline, trail).await {
                    Ok(ticket) => ticket,
                    Err(return_after) => {
                        state.hold_until(return_after);
                        return None;
                    }
                }
            }
        };
        let server = ticket.server.instance.clone();
        let is_trial = second_attempts::is_trial(self.node, &server);
        state.open.push(OpenAttempt { server, watch: AnswerWatch::start(self.node), is_trial });
        Some(ticket)
    }

    /// Returns whether as many servers may have run the request, or still may, as its route allows.
    fn is_used_up(&self, trail: &RequestTrail, state: &BesideState) -> bool {
        trail.runs() as usize + state.open.len() >= self.route.max_attempts as usize
    }

    /// Decides whether another server is asked, now that those at work have taken long.
    fn time_over(&self, state: &mut BesideState, next: &NextServer, service: &Name) {
        self.note_outstanding(&state.open);
        state.is_early_over = true;
        if matches!(next, NextServer::Late(_)) {
            self.pause_silent(&state.open);
            state.is_late = true;
            state.wants_server = true;
        } else {
            state.wants_server = second_attempts::has_place(self.node, service);
        }
    }

    /// Takes note of how an attempt ended. Returns the answer if it is the call's.
    fn take_outcome(
        &self,
        state: &mut BesideState,
        trail: &mut RequestTrail,
        server: &Name,
        outcome: Result<WholeAnswer, AttemptError>,
    ) -> Option<WholeAnswer> {
        let ended = state.open.iter().position(|attempt| attempt.server == *server).map(|at| state.open.remove(at));
        match outcome {
            // A failure that the server states itself may pass at another one.
            Ok(answer) if answer.status.is_server_error() => {
                trail.add_run();
                state.last_answer = Some(answer);
            }
            Ok(answer) => {
                self.note_cut(&state.open, ended.map(|attempt| attempt.watch.started));
                return Some(answer);
            }
            Err(error) => {
                trail.attempt_failed(server, &error);
                if !error.is_not_run() {
                    trail.add_run();
                    state.shortfall = Shortfall::MayHaveRun;
                } else if state.open.is_empty() {
                    trail.did_not_run();
                }
            }
        }
        None
    }

    /// Finds a server beside those at work, which is wanted now or not at all. One that is asked early is paid
    /// for; later on the first one may never answer.
    fn find_beside(&self, trail: &mut RequestTrail, before: &OpenAttempt, is_early: bool) -> Option<ServerTicket> {
        let Self { node, route, request, deadline, fingerprint } = *self;
        let pick = |room| plain::pick_server(node, route, request, fingerprint, trail.tried(), room);
        let ticket = pick(SlotNeed::One)?;
        let call = plain::room_call(route, request, trail.started(), deadline)?;
        if is_early && !before.is_trial && !room::may_try_again(node, &call, AttemptReason::Hedge) {
            return None;
        }
        trail.add(&ticket.server.instance);
        let (id, waited) = (request.id(), node.now().since(before.watch.started));
        second_attempts::log_asked(id, &ticket.server.instance, waited);
        Some(ticket)
    }

    fn next_server(&self, trail: &RequestTrail, state: &BesideState) -> NextServer {
        let Self { node, route, fingerprint, .. } = *self;
        let Some(last) = state.open.last() else { return NextServer::Never };
        // A second server under what ended one would be one more that ends.
        if self.is_used_up(trail, state) || suspects::is_suspect(node, fingerprint) {
            return NextServer::Never;
        }
        let late = last.watch.started + plain::patience(node, route);
        if late <= node.now() {
            return NextServer::Never;
        }
        let early = self.service().and_then(|service| second_attempts::after(node, route, service));
        match early.map(|early| last.watch.started + early) {
            Some(early) if !state.is_early_over && early < late => NextServer::Early(early),
            _ => NextServer::Late(late),
        }
    }

    /// Records that servers have not answered yet.
    fn note_outstanding(&self, open: &[OpenAttempt]) {
        for attempt in open {
            server_answers::outstanding(self.node, &attempt.server, &self.route.name, attempt.watch);
        }
    }

    /// Records that servers lost against one that was asked later.
    fn note_cut(&self, open: &[OpenAttempt], winner_started: Option<Timestamp>) {
        let slower =
            open.iter().filter(|attempt| winner_started.is_some_and(|started| attempt.watch.started < started));
        for attempt in slower {
            server_answers::cut(self.node, &attempt.server, &self.route.name, attempt.watch);
        }
    }

    /// Pauses servers that may never answer.
    fn pause_silent(&self, open: &[OpenAttempt]) {
        let now = self.node.now();
        let mut balancer = self.node.balancer.lock().unwrap();
        open.iter().for_each(|attempt| {
            balancer.failed(now, &attempt.server);
        });
    }

    /// Makes one attempt and records how it ended.
    async fn attempt(&self, ticket: ServerTicket, limit: Duration) -> (Name, Result<WholeAnswer, AttemptError>) {
        let Self { node, route, request, deadline, .. } = *self;
        let server = ticket.server.instance.clone();
        let watch = AnswerWatch::start(node);
        let left = deadline.since(watch.started);
        let mut engine_request = plain::engine_request(request, &server, left);
        engine_request.priority = urgency::of_request(node, route, &ticket.server.service, request, left, None);
        let outcome = attempt::whole_answer(node, ticket, engine_request, !self.is_safe(), limit).await;
        match &outcome {
            Ok(answer) if answer.status.is_server_error() => server_answers::failed(node, &server),
            Ok(_) => {
                let took = node.now().since(watch.started);
                node.route_latencies.lock().unwrap().record(&route.name, took);
                plain::note_work(node, route, request, took);
                server_answers::took(node, &server, &route.name, watch);
            }
            Err(error) if error.is_not_run() => {}
            Err(_) => {
                server_answers::failed(node, &server);
                server_answers::outstanding(node, &server, &route.name, watch);
            }
        }
        (server, outcome)
    }
}
