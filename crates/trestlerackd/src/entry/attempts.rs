//! The attempts of a request whose answer is passed on whole.
//!
//! A request that may be repeated gets a second server beside the first where that still brings an answer
//! in time; see [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md#parts).

use super::attempt::{self, AttemptError, WholeAnswer};
use super::front::ClientRequest;
use super::node::EntryNode;
use super::plain::{self, Shortfall};
use super::server_ticket::ServerTicket;
use super::trail::RequestTrail;
use super::{second_attempts, server_answers, suspects};
use crate::process::clock;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use std::sync::Arc;
use std::time::Duration;
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
    started: Timestamp,
    /// Whether the server had been set aside.
    is_trial: bool,
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
        self.route.service_for(self.request.head.request_id.as_deref().unwrap_or(""))
    }

    fn may_have_second(&self) -> bool {
        let states_slowness = |service: &Name| self.node.board.lock().unwrap().states_slowness(service);
        self.is_safe() && self.service().is_some_and(states_slowness)
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
            let Some(ticket) = plain::find_server(node, route, request, fingerprint, trail).await else { break };
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
        let Self { node, route, request, fingerprint, .. } = *self;
        let mut shortfall = Shortfall::NotRun;
        let mut last_answer = None;
        let mut at_work = FuturesUnordered::new();
        let mut open: Vec<OpenAttempt> = Vec::new();
        let Some(service) = self.service() else { return Err(shortfall) };
        second_attempts::earn(node, route, service);
        let mut wants_server = true;
        let mut is_early_over = false;
        loop {
            if wants_server || open.is_empty() {
                wants_server = false;
                if trail.runs() as usize + open.len() >= route.max_attempts as usize {
                    // Only those at work are left to wait for.
                } else if let Some(left) = plain::hold_back(node, request, fingerprint) {
                    shortfall = shortfall.or_held(left);
                } else if let Some(ticket) = self.find_server(trail, open.first()).await {
                    let server = ticket.server.instance.clone();
                    let is_trial = second_attempts::is_trial(node, &server);
                    open.push(OpenAttempt { server, started: node.now(), is_trial });
                    at_work.push(self.attempt(ticket, self.deadline.since(node.now())));
                }
            }
            let next = self.next_server(trail, &open, is_early_over);
            let ended = match next {
                NextServer::Never => at_work.next().await,
                NextServer::Early(at) | NextServer::Late(at) => {
                    match clock::timeout(at.since(node.now()), at_work.next()).await {
                        Ok(ended) => ended,
                        Err(_) => {
                            self.note_outstanding(&open);
                            wants_server = matches!(next, NextServer::Late(_))
                                || second_attempts::may_ask(
                                    node,
                                    route,
                                    service,
                                    open.iter().any(|attempt| attempt.is_trial),
                                );
                            is_early_over = true;
                            if matches!(next, NextServer::Late(_)) {
                                self.pause_silent(&open);
                            }
                            continue;
                        }
                    }
                }
            };
            let Some((server, outcome)) = ended else { break };
            let started = open.iter().find(|attempt| attempt.server == server).map(|attempt| attempt.started);
            open.retain(|attempt| attempt.server != server);
            match outcome {
                Ok(answer) if answer.status.is_server_error() => {
                    trail.add_run();
                    last_answer = Some(answer);
                }
                Ok(answer) => {
                    self.note_cut(&open, started);
                    return Ok(answer);
                }
                Err(error) => {
                    trail.attempt_failed(&server, &error);
                    if !error.is_not_run() {
                        trail.add_run();
                        shortfall = Shortfall::MayHaveRun;
                    } else if open.is_empty() {
                        trail.did_not_run();
                    }
                }
            }
            // Each arrival of what ended several servers takes one more at most.
            if open.is_empty() && matches!(shortfall, Shortfall::MayHaveRun) && suspects::is_repeated(node, fingerprint)
            {
                break;
            }
        }
        last_answer.ok_or(shortfall)
    }

    /// Finds a server. One beside others is wanted now or not at all.
    async fn find_server(&self, trail: &mut RequestTrail, before: Option<&OpenAttempt>) -> Option<ServerTicket> {
        let Self { node, route, request, fingerprint, .. } = *self;
        let Some(before) = before else {
            return plain::find_server(node, route, request, fingerprint, trail).await;
        };
        let ticket = plain::pick_server(node, self.service()?, request, fingerprint, trail.tried(), true)?;
        trail.add(&ticket.server.instance);
        let (id, waited) = (request.head.request_id.as_deref().unwrap_or(""), node.now().since(before.started));
        second_attempts::log_asked(id, &ticket.server.instance, waited);
        Some(ticket)
    }

    fn next_server(&self, trail: &RequestTrail, open: &[OpenAttempt], is_early_over: bool) -> NextServer {
        let Self { node, route, fingerprint, .. } = *self;
        let Some(last) = open.last() else { return NextServer::Never };
        // A second server under what ended one would be one more that ends.
        let is_full = trail.runs() as usize + open.len() >= route.max_attempts as usize;
        if is_full || suspects::is_suspect(node, fingerprint) {
            return NextServer::Never;
        }
        let late = last.started + plain::patience(node, route);
        if late <= node.now() {
            return NextServer::Never;
        }
        let early = self.service().and_then(|service| second_attempts::after(node, route, service));
        match early.map(|early| last.started + early) {
            Some(early) if !is_early_over && early < late => NextServer::Early(early),
            _ => NextServer::Late(late),
        }
    }

    /// Records that servers have not answered yet.
    fn note_outstanding(&self, open: &[OpenAttempt]) {
        for attempt in open {
            let elapsed = self.node.now().since(attempt.started);
            server_answers::outstanding(self.node, &attempt.server, &self.route.name, elapsed);
        }
    }

    /// Records that servers lost against one that was asked later.
    fn note_cut(&self, open: &[OpenAttempt], winner_started: Option<Timestamp>) {
        let now = self.node.now();
        let slower = open.iter().filter(|attempt| winner_started.is_some_and(|started| attempt.started < started));
        for attempt in slower {
            server_answers::cut(self.node, &attempt.server, &self.route.name, now.since(attempt.started));
        }
    }

    /// Pauses servers that may never answer.
    fn pause_silent(&self, open: &[OpenAttempt]) {
        let now = self.node.now();
        let mut board = self.node.board.lock().unwrap();
        open.iter().for_each(|attempt| {
            board.failed(now, &attempt.server);
        });
    }

    /// Makes one attempt and records how it ended.
    async fn attempt(&self, ticket: ServerTicket, limit: Duration) -> (Name, Result<WholeAnswer, AttemptError>) {
        let Self { node, route, request, deadline, .. } = *self;
        let server = ticket.server.instance.clone();
        let started = node.now();
        let engine_request = plain::engine_request(request, &server, deadline.since(started));
        let outcome = attempt::whole_answer(node, ticket, engine_request, !self.is_safe(), limit).await;
        let took = node.now().since(started);
        match &outcome {
            Ok(answer) if answer.status.is_server_error() => server_answers::failed(node, &server),
            Ok(_) => {
                node.route_times.lock().unwrap().record(&route.name, took);
                server_answers::took(node, &server, &route.name, took);
            }
            Err(error) if error.is_not_run() => {}
            Err(_) => {
                server_answers::failed(node, &server);
                server_answers::outstanding(node, &server, &route.name, took);
            }
        }
        (server, outcome)
    }
}
