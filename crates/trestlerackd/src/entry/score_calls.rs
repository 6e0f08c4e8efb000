//! Calls to scoring services, which may be repeated.

use super::attempt::{self, AttemptError};
use super::node::EntryNode;
use super::room::{self, RoomCall};
use super::server_ticket::ServerTicket;
use super::{plain, suspects};
use crate::process::clock;
use crate::process::logs;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Method, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{CallKind, ServerNeed, ServerRoom};
use trestlerack::request::{RequestContent, RequestFingerprint, ScoreCall};
use trestlerack::version::RequestRoute;
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform::EngineRequest;

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

/// Has the text of `item` scored, within the time limit of the scorer's route.
pub async fn score(node: &Arc<EntryNode>, item: &Name, call: &ScoreCall) -> ScoreEnd {
    let started = node.now();
    let mut tried: Vec<Name> = Vec::new();
    let end = ask_servers(node, call, &mut tried).await;
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

/// Asks servers until one answers; `tried` takes their names.
async fn ask_servers(node: &Arc<EntryNode>, call: &ScoreCall, tried: &mut Vec<Name>) -> ScoreEnd {
    let Some(routing) = node.routing() else { return ScoreEnd::NoAnswer };
    let Some(route) = routing.select(&call.host, &call.path) else { return ScoreEnd::NoAnswer };
    let Some(service) = route.service_for(&call.id) else { return ScoreEnd::NoAnswer };
    let deadline = node.now() + plain::time_limit(route, None);
    let fingerprint = fingerprint(call);
    let (kind, arrived) = (CallKind::Score, node.now());
    let room_call = RoomCall { id: &call.id, service, route, customer: None, kind, arrived, deadline };
    let is_by_room = room::is_active(node, service);
    let mut may_add = true;
    let mut attempts = FuturesUnordered::new();
    loop {
        if attempts.is_empty()
            && let Some(left) = suspects::held_for(node, fingerprint)
        {
            suspects::log_held(node, &call.id, fingerprint, left);
            return ScoreEnd::Held(left);
        }
        // A second server beside the first would be one more that ends.
        let servers_at_once = if suspects::is_suspect(node, fingerprint) { 1 } else { SERVERS_AT_ONCE };
        let pick = |room| pick_server(node, fingerprint, service, tried, room);
        let ticket = match attempts.len() {
            open if open >= servers_at_once => None,
            open if is_by_room => find_place(node, &room_call, open == 0, &mut may_add, pick).await,
            _ => pick(ServerRoom::Place),
        };
        if let Some(ticket) = ticket {
            tried.push(ticket.server.instance.clone());
            attempts.push(attempt_score(node, call, ticket, deadline));
        }
        let answer = match attempts.len() {
            // There is nothing to do before one of them answers or its time is over.
            open if open >= servers_at_once => Ok(attempts.next().await),
            _ => clock::timeout(patience(node, service, route), attempts.next()).await,
        };
        match answer {
            Ok(Some((server, ScoreEnd::Scored(signature)))) => {
                pause_slower(node, tried, &server);
                return ScoreEnd::Scored(signature);
            }
            Ok(Some((_, ScoreEnd::Failed))) => return ScoreEnd::Failed,
            Ok(Some((_, ScoreEnd::Held(left)))) => return ScoreEnd::Held(left),
            Ok(Some((_, ScoreEnd::NoAnswer))) if attempts.is_empty() => return ScoreEnd::NoAnswer,
            Ok(None) => return ScoreEnd::NoAnswer,
            Ok(Some((_, ScoreEnd::NoAnswer))) | Err(_) => {}
        }
    }
}

/// Returns how long an answer may take before a second server is asked: what is usual for the
/// service, or the route's target latency until that is known.
fn patience(node: &EntryNode, service: &Name, route: &RequestRoute) -> Duration {
    let usual = node.board.lock().unwrap().usual_answer_time(service);
    usual.unwrap_or(Duration::from_millis(route.target_latency_ms)).max(LEAST_PATIENCE)
}

/// Finds a place for a call in the order of all that want one, for its first server, or for one more while
/// that works. Once a second one was denied, `may_add` is false and none is asked for again.
async fn find_place(
    node: &Arc<EntryNode>,
    call: &RoomCall<'_>,
    is_first: bool,
    may_add: &mut bool,
    pick: impl Fn(ServerRoom) -> Option<ServerTicket>,
) -> Option<ServerTicket> {
    if is_first {
        room::note_call(node, call);
        return room::enter(node, call, pick).await.ok();
    }
    if !*may_add {
        return None;
    }
    let ticket = pick(ServerRoom::Place)?;
    *may_add = room::may_try_again(node, call, true);
    may_add.then_some(ticket)
}

fn pick_server(
    node: &Arc<EntryNode>,
    fingerprint: RequestFingerprint,
    service: &Name,
    tried: &[Name],
    room: ServerRoom,
) -> Option<ServerTicket> {
    let need = ServerNeed {
        service,
        avoid: tried,
        room,
        zone: &node.settings.zone,
        tie_key: &node.settings.name,
        ..ServerNeed::default()
    };
    let entry = suspects::choose_apart(node, fingerprint, &need)?;
    Some(ServerTicket::new(node, entry, fingerprint))
}

/// Pauses the servers that were asked before the one that answered: they are slow or silent.
fn pause_slower(node: &EntryNode, tried: &[Name], answered: &Name) {
    let mut board = node.board.lock().unwrap();
    for server in tried.iter().take_while(|server| *server != answered) {
        board.failed(node.now(), server);
    }
}

async fn attempt_score(
    node: &Arc<EntryNode>,
    call: &ScoreCall,
    ticket: ServerTicket,
    deadline: Timestamp,
) -> (Name, ScoreEnd) {
    let (instance, service) = (ticket.server.instance.clone(), ticket.server.service.clone());
    let started = node.now();
    let left = deadline.since(started);
    let request = EngineRequest {
        method: Method::POST,
        path: &call.path,
        host: &call.host,
        request_id: &call.id,
        headers: HeaderMap::new(),
        instance: &instance,
        // A score is of the item, for which its customer was identified already.
        customer: None,
        time_left: Some(left),
        priority: None,
        exact_version: None,
        resume_after: None,
        body: call.body.clone(),
    };
    let end = match attempt::whole_answer(node, ticket, request, false, left).await {
        Ok(answer) if answer.status.is_success() => match answer.head.signature {
            Some(signature) => {
                node.board.lock().unwrap().answered(&service, node.now().since(started));
                ScoreEnd::Scored(signature)
            }
            None => ScoreEnd::NoAnswer,
        },
        Ok(answer) if answer.status == StatusCode::INTERNAL_SERVER_ERROR => ScoreEnd::Failed,
        // Its deadline passed, or something before it failed: no failure of the item.
        Ok(answer) => {
            node.board.lock().unwrap().failed(node.now(), &instance);
            log_score(call, &instance, &answer.status);
            ScoreEnd::NoAnswer
        }
        Err(AttemptError::Held(left)) => ScoreEnd::Held(left),
        Err(error) => {
            log_score(call, &instance, &error);
            ScoreEnd::NoAnswer
        }
    };
    (instance, end)
}

fn log_score(call: &ScoreCall, server: &Name, why: &dyn std::fmt::Display) {
    logs::write(event::ATTEMPT_FAILED, &[("request", &call.id), ("server", server), ("why", why)]);
}
