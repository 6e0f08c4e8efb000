//! Calls to scoring services, which may be repeated.

use super::attempt::{self, AttemptError};
use super::node::EntryNode;
use super::room::{self, RoomCall};
use super::server_answers::{self, AnswerWatch};
use super::server_ticket::ServerTicket;
use super::{plain, second_attempts, shares, suspects, urgency};
use crate::process::clock;
use crate::process::logs;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{AttemptReason, CallKind, ServerNeed, SlotNeed};
use trestlerack::request::{RequestContent, RequestFingerprint, ScoreCall};
use trestlerack::version::RequestRoute;
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform::ServerRequest;

/// Most servers that work on one call at a time. A second one gets it when the first takes longer
/// than is usual, and the first goes on: a call that takes long by itself would never end if it
/// were cut.
const SERVERS_AT_ONCE: usize = 2;

/// Shortest time before another server is looked for; a route may state no target latency, and there
/// may be no other server.
const LEAST_PATIENCE: Duration = Duration::from_millis(20);

/// How a score call came out.
pub enum ScoreEnd {
    /// The signature of the scoring service's answer.
    Scored(Name),
    /// The scoring service answered that it failed, which counts against the item.
    Failed,
    /// There is no answer; the call may be made again.
    NoAnswer,
    /// The call is not to be made for so long: servers ended under it.
    Held(Duration),
}

/// Returns the fingerprint of what a call asks for.
pub fn fingerprint(call: &ScoreCall) -> RequestFingerprint {
    RequestContent { customer: None, host: &call.host, path: &call.path, body: &call.body }.fingerprint()
}

/// Has the text of `item` scored, within the time limit of the scorer's route, for a job of `customer`.
pub async fn score(node: &Arc<EntryNode>, item: &Name, customer: Option<&Name>, call: &ScoreCall) -> ScoreEnd {
    let started = node.now();
    let mut tried: Vec<Name> = Vec::new();
    let call_use = call_service(node, call).map(|service| shares::count(node, &service, customer));
    let end = ask_servers(node, customer, call, &mut tried).await;
    if let (ScoreEnd::Scored(_), Some(call_use)) = (&end, call_use) {
        call_use.served();
    }
    let outcome = match &end {
        ScoreEnd::Scored(_) => "scored",
        ScoreEnd::Failed => "failed",
        ScoreEnd::NoAnswer => "no answer",
        ScoreEnd::Held(_) => "held",
    };
    let ms = node.now().since(started).as_millis();
    let fields: [(&str, &dyn std::fmt::Display); 5] =
        [("request", &call.id), ("item", item), ("end", &outcome), ("servers", &tried.join(",")), ("ms", &ms)];
    logs::write(event::SCORE_ENDED, &fields);
    end
}

/// Returns the service that scores a call.
fn call_service(node: &EntryNode, call: &ScoreCall) -> Option<Name> {
    let routing = node.routing()?;
    routing.select(&call.host, &call.path)?.service_for(&call.id).cloned()
}

/// Asks servers until one answers; `tried` takes their names.
async fn ask_servers(
    node: &Arc<EntryNode>,
    customer: Option<&Name>,
    call: &ScoreCall,
    tried: &mut Vec<Name>,
) -> ScoreEnd {
    let Some(routing) = node.routing() else { return ScoreEnd::NoAnswer };
    let Some(route) = routing.select(&call.host, &call.path) else { return ScoreEnd::NoAnswer };
    let Some(service) = route.service_for(&call.id) else { return ScoreEnd::NoAnswer };
    let deadline = node.now() + plain::time_limit(route, None);
    let rank = urgency::of_score(&routing, route, service, customer);
    let fingerprint = fingerprint(call);
    let (kind, arrived) = (CallKind::Score, node.now());
    let directory = routing.customers.as_ref();
    let customer = customer.and_then(|name| directory?.get(name));
    let room_call = RoomCall { id: &call.id, service, route, customer, kind, arrived, deadline };
    let is_by_room = room::is_active(node, service);
    let mut attempts = FuturesUnordered::new();
    let mut starts: Vec<AnswerWatch> = Vec::new();
    let mut next_at = node.now();
    let mut early_at = None;
    let (mut is_trial, mut is_early) = (false, false);
    if is_by_room {
        room::note_call(node, &room_call);
    }
    loop {
        if attempts.is_empty()
            && let Some(left) = suspects::held_for(node, fingerprint)
        {
            suspects::log_held(node, &call.id, fingerprint, left);
            return ScoreEnd::Held(left);
        }
        // A second server beside the first would be one more that ends.
        let servers_at_once = if suspects::is_suspect(node, fingerprint) { 1 } else { SERVERS_AT_ONCE };
        let is_due = attempts.len() < servers_at_once && node.now() >= next_at;
        let pick = |room| pick_server(node, fingerprint, service, tried, room);
        let ticket = match attempts.len() {
            _ if !is_due || !node.may_start_work() => None,
            open if is_by_room => find_place(node, &room_call, open == 0, is_trial || !is_early, pick).await,
            _ => pick(SlotNeed::One),
        };
        if let Some(ticket) = ticket {
            tried.push(ticket.server.instance.clone());
            starts.push(AnswerWatch::start(node));
            is_trial = second_attempts::is_trial(node, &ticket.server.instance);
            attempts.push(attempt_score(node, call, route, ticket, deadline, rank));
        }
        if is_due {
            is_early = false;
            next_at = node.now() + patience(node, service, route);
            early_at = second_attempts::after(node, route, service).map(|after| node.now() + after);
        }
        let wake_at = early_at.map_or(next_at, |early| next_at.min(early));
        let answer = match attempts.len() {
            // There is nothing to do before one of them answers or its time is over.
            open if open >= servers_at_once => Ok(attempts.next().await),
            _ => clock::timeout(wake_at.since(node.now()), attempts.next()).await,
        };
        match answer {
            Ok(Some((server, ScoreEnd::Scored(signature)))) => {
                note_slower(node, route, tried, &starts, &server);
                return ScoreEnd::Scored(signature);
            }
            Ok(Some((_, ScoreEnd::Failed))) => return ScoreEnd::Failed,
            Ok(Some((_, ScoreEnd::Held(left)))) => return ScoreEnd::Held(left),
            Ok(Some((_, ScoreEnd::NoAnswer))) if attempts.is_empty() => return ScoreEnd::NoAnswer,
            Ok(None) => return ScoreEnd::NoAnswer,
            Ok(Some((_, ScoreEnd::NoAnswer))) => next_at = node.now(),
            Err(_) => {
                is_early = early_at.take_if(|early| *early < next_at).is_some();
                if is_early && second_attempts::has_place(node, service) {
                    next_at = node.now();
                }
            }
        }
    }
}

/// Returns how long an answer may take before a second server is asked: what is usual for the
/// service, or the route's target latency until that is known.
fn patience(node: &EntryNode, service: &Name, route: &RequestRoute) -> Duration {
    let usual = node.balancer.lock().unwrap().late_threshold(service);
    usual.unwrap_or(Duration::from_millis(route.target_latency_ms)).max(LEAST_PATIENCE)
}

/// Finds a server with a free place, if nobody waits for one: the first of a call, or one more beside it,
/// which is paid for unless it `is_free`.
async fn find_place(
    node: &Arc<EntryNode>,
    call: &RoomCall<'_>,
    is_first: bool,
    is_free: bool,
    pick: impl Fn(SlotNeed) -> Option<ServerTicket>,
) -> Option<ServerTicket> {
    if is_first {
        return room::enter(node, call, pick).await.ok();
    }
    let ticket = pick(SlotNeed::One)?;
    (is_free || room::may_try_again(node, call, AttemptReason::Hedge)).then_some(ticket)
}

fn pick_server(
    node: &Arc<EntryNode>,
    fingerprint: RequestFingerprint,
    service: &Name,
    tried: &[Name],
    room: SlotNeed,
) -> Option<ServerTicket> {
    let need = ServerNeed {
        service,
        avoid: tried,
        slot_need: room,
        zone: &node.settings.zone,
        tie_key: &node.settings.name,
        is_repeatable: true,
        ..ServerNeed::default()
    };
    let entry = suspects::choose_apart(node, fingerprint, &need)?;
    Some(ServerTicket::new(node, entry, fingerprint))
}

/// Takes note of the servers that were asked before the one that answered: they are slow or silent.
/// Where they are compared by their times, a slow one is not paused like one that fails.
fn note_slower(node: &EntryNode, route: &RequestRoute, tried: &[Name], starts: &[AnswerWatch], answered: &Name) {
    let now = node.now();
    for (server, watch) in tried.iter().zip(starts).take_while(|(server, _)| *server != answered) {
        let is_compared = node.balancer.lock().unwrap().is_compared(server);
        if is_compared {
            server_answers::cut(node, server, &route.name, *watch);
        } else {
            node.balancer.lock().unwrap().failed(now, server);
        }
    }
}

async fn attempt_score(
    node: &Arc<EntryNode>,
    call: &ScoreCall,
    route: &RequestRoute,
    ticket: ServerTicket,
    deadline: Timestamp,
    rank: Option<u8>,
) -> (Name, ScoreEnd) {
    let (instance, service) = (ticket.server.instance.clone(), ticket.server.service.clone());
    let watch = AnswerWatch::start(node);
    let left = deadline.since(watch.started);
    let request = ServerRequest {
        method: Method::POST,
        path: &call.path,
        host: &call.host,
        request_id: &call.id,
        headers: HeaderMap::new(),
        instance: &instance,
        // A score is of the item, for which its customer was identified already.
        customer: None,
        time_left: Some(left),
        priority: rank,
        exact_version: None,
        resume_after: None,
        body: call.body.clone(),
    };
    let end = match attempt::whole_answer(node, ticket, request, false, left).await {
        Ok(answer) if answer.status.is_success() => match answer.head.signature {
            Some(signature) => {
                node.balancer.lock().unwrap().record_latency(&service, node.now().since(watch.started));
                server_answers::took(node, &instance, &route.name, watch);
                ScoreEnd::Scored(signature)
            }
            None => ScoreEnd::NoAnswer,
        },
        Ok(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR => ScoreEnd::Failed,
        // Its deadline passed, or something before it failed: no failure of the item.
        Ok(answer) => {
            node.balancer.lock().unwrap().failed(node.now(), &instance);
            server_answers::failed(node, &instance);
            log_score(call, &instance, &answer.status);
            ScoreEnd::NoAnswer
        }
        Err(AttemptError::Held(left)) => ScoreEnd::Held(left),
        Err(error) => {
            if !error.is_not_run() {
                server_answers::failed(node, &instance);
            }
            log_score(call, &instance, &error);
            ScoreEnd::NoAnswer
        }
    };
    (instance, end)
}

fn log_score(call: &ScoreCall, server: &Name, why: &dyn std::fmt::Display) {
    logs::write(event::ATTEMPT_FAILED, &[("request", &call.id), ("server", server), ("why", why)]);
}
