//! Requests under which servers ended: asks the book, and tells all nodes what it says.
//!
//! Strikes are rows of the system's own table, which every node watches, so that they outlast all
//! processes. While the store serves a node in no way, neither directly nor through peers, it asks
//! peers for their strikes and tells them its own; see
//! [docs/PLATFORM.md](../../../../../docs/PLATFORM.md#requests-that-end-servers).

mod desk;
mod gossip;
mod rows;
mod trials;

pub use desk::SuspectDesk;
pub use gossip::{answer_peer, ask_peers, tell_peers};
pub use rows::{apply_row, read_at_start, store_strikes, sweep_rows};
pub use trials::{ask_trial, grant_trial};

use super::node::EntryNode;
use super::server_ticket::ServerTicket;
use crate::process::{clock, logs};
use std::sync::Arc;
use std::time::Duration;
use trestlerack::event;
use trestlerack::process::{CrashReport, ServerEntry, ServerNeed, SuspectState};
use trestlerack::request::RequestFingerprint;

/// Where a node heard of a strike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StrikeSource {
    Own,
    Store,
    Peer,
}

impl StrikeSource {
    fn as_str(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// Returns for how long a content is not to be sent to servers, if it is held.
pub fn held_for(node: &EntryNode, fingerprint: RequestFingerprint) -> Option<Duration> {
    match node.suspects.book().state(node.now(), fingerprint) {
        SuspectState::Blocked(left) => Some(left),
        SuspectState::Clear | SuspectState::Suspected(_) => None,
    }
}

/// Chooses a server for a request. A suspect goes where no other suspect of this node is, so that the
/// next end tells them apart. Under one that was there at a single end, most likely as a bystander, it
/// may go to any server if there is no other.
pub fn choose_apart(node: &EntryNode, fingerprint: RequestFingerprint, need: &ServerNeed<'_>) -> Option<ServerEntry> {
    let now = node.now();
    let choose =
        |need: &ServerNeed<'_>| node.balancer.lock().unwrap().choose(now, need).map(|server| server.entry.clone());
    let (standing, shared) = {
        let book = node.suspects.book();
        (book.state(now, fingerprint), book.servers_with_other_suspects(fingerprint))
    };
    if standing == SuspectState::Clear || shared.is_empty() {
        return choose(need);
    }
    let avoid = [need.avoid, &shared].concat();
    let apart = choose(&ServerNeed { avoid: &avoid, ..need.clone() });
    match standing {
        SuspectState::Suspected(1) => apart.or_else(|| choose(need)),
        _ => apart,
    }
}

/// Returns whether servers ended under a content, so that it gets no second server beside the first.
pub fn is_suspect(node: &EntryNode, fingerprint: RequestFingerprint) -> bool {
    node.suspects.book().state(node.now(), fingerprint) != SuspectState::Clear
}

/// Returns whether more than one server ended under a content.
pub fn is_repeated(node: &EntryNode, fingerprint: RequestFingerprint) -> bool {
    match node.suspects.book().state(node.now(), fingerprint) {
        SuspectState::Clear => false,
        SuspectState::Suspected(ended) => ended > 1,
        SuspectState::Blocked(_) => true,
    }
}

/// Returns how long a content is to wait that can: one under which several servers ended, while a verdict
/// is open, would end one more.
pub fn wait_time(node: &EntryNode, fingerprint: RequestFingerprint) -> Duration {
    let now = node.now();
    let book = node.suspects.book();
    match book.state(now, fingerprint) {
        SuspectState::Clear | SuspectState::Suspected(1) => Duration::ZERO,
        SuspectState::Suspected(_) => book.time_to_settle(now, fingerprint),
        SuspectState::Blocked(left) => left,
    }
}

/// Logs that a content was not sent to a server.
pub fn log_held(node: &EntryNode, request: &str, fingerprint: RequestFingerprint, left: Duration) {
    let ended = node.suspects.book().crash_count(fingerprint);
    node.metrics.held();
    let fields: [(&str, &dyn std::fmt::Display); 4] =
        [("request", &request), ("fingerprint", &fingerprint), ("ended", &ended), ("left_s", &left.as_secs())];
    logs::write(event::REQUEST_HELD, &fields);
}

/// Takes note that a server ended as it worked on a request of this node.
pub fn server_ended(
    node: &Arc<EntryNode>,
    request: &str,
    fingerprint: RequestFingerprint,
    server: &ServerEntry,
    is_trial: bool,
) {
    let now = node.now();
    let note = node.suspects.book().record_crash(now, fingerprint, server, is_trial);
    let ended = node.suspects.book().crash_count(fingerprint);
    let fields: [(&str, &dyn std::fmt::Display); 5] = [
        ("request", &request),
        ("fingerprint", &fingerprint),
        ("server", &server.instance),
        ("trial", &is_trial),
        ("ended", &ended),
    ];
    logs::write(event::SERVER_ENDED, &fields);
    node.metrics.server_ended();
    let notes: Vec<CrashReport> = note.into_iter().collect();
    log_standing(node, &notes, StrikeSource::Own);
    node.suspects.publish(now, &notes);
}

/// Takes note that service discovery lost a server, or lists a later start of it.
pub fn server_gone(node: &Arc<EntryNode>, server: &ServerEntry) {
    if server.is_draining || !node.suspects.book().has_unresolved() {
        return;
    }
    let now = node.now();
    let notes = node.suspects.book().resolve_server_gone(now, server);
    log_standing(node, &notes, StrikeSource::Own);
    node.suspects.publish(now, &notes);
}

/// Takes note that a server answered a request whole.
pub fn answered(node: &EntryNode, ticket: &ServerTicket) {
    ticket.settle();
    let (now, server, fingerprint) = (node.now(), &ticket.server.instance, ticket.fingerprint);
    let void = node.suspects.book().record_answer(now, fingerprint);
    if void.is_empty() {
        return;
    }
    let fields: [(&str, &dyn std::fmt::Display); 3] =
        [("fingerprint", &fingerprint), ("server", server), ("strikes", &void.len())];
    logs::write(event::SUSPECT_CLEARED, &fields);
    node.suspects.publish(now, &void);
}

/// Logs the contents that strikes which are news here turn into held ones, once they count.
fn log_standing(node: &Arc<EntryNode>, news: &[CrashReport], source: StrikeSource) {
    let mut contents: Vec<RequestFingerprint> = news.iter().map(|note| note.fingerprint).collect();
    contents.dedup();
    // With fewer there is no hold to wait for.
    contents.retain(|fingerprint| is_repeated(node, *fingerprint));
    for fingerprint in contents {
        let age_ms = news.iter().filter(|note| note.fingerprint == fingerprint).map(|note| note.age_ms).min();
        tokio::spawn(log_if_held(node.clone(), fingerprint, source, age_ms.unwrap_or_default()));
    }
}

async fn log_if_held(node: Arc<EntryNode>, fingerprint: RequestFingerprint, source: StrikeSource, age_ms: u64) {
    let settles_in = node.suspects.book().time_to_settle(node.now(), fingerprint);
    clock::sleep(settles_in).await;
    if held_for(&node, fingerprint).is_some() {
        let ended = node.suspects.book().crash_count(fingerprint);
        let fields: [(&str, &dyn std::fmt::Display); 4] =
            [("fingerprint", &fingerprint), ("ended", &ended), ("source", &source.as_str()), ("age_ms", &age_ms)];
        logs::write(event::CONTENT_HELD, &fields);
    }
}

/// Takes over strikes; returns those that are news here.
fn join(node: &Arc<EntryNode>, notes: &[CrashReport], source: StrikeSource) -> Vec<CrashReport> {
    let now = node.now();
    let mut book = node.suspects.book();
    let news: Vec<CrashReport> = notes.iter().filter(|note| book.merge(now, note)).copied().collect();
    drop(book);
    log_standing(node, &news, source);
    news
}
