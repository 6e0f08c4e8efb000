//! Holds contents under which backend servers ended, on the daemon's own interface.
//!
//! The decisions are those of the entry service ([`SuspectTracker`]). Nodes tell each other of strikes with
//! their probes, so a node that starts or returns knows them with its first one. News is told at once:
//! with the probes of each interval only, the next arrival of a content came before its strikes.

use crate::node::Node;
use crate::process::clock::{self, SystemClock};
use crate::process::{logs, member_loop};
use std::future::Future;
use std::io::ErrorKind;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use trestlerack::hash::hash_parts;
use trestlerack::process::{CrashReport, GossipSettings, SuspectSettings, SuspectState, SuspectTracker};
use trestlerack::request::RequestFingerprint;
use trestlerack::verdict::Reason;
use trestlerack::{Failure, Name, Verdict, event};

/// Time to find out whether an address still takes connections; one whose process has ended refuses
/// within a round trip.
const LISTEN_TIMEOUT: Duration = Duration::from_millis(100);

/// How often an address is asked, and the pause in between.
const LISTEN_TRIES: usize = 3;
const LISTEN_PAUSE: Duration = Duration::from_millis(30);

/// Strikes that travel with a probe, newest first; some 50 bytes each.
const PROBE_STRIKES: usize = 64;

/// Time within which ends of one backend server count as one end. Declared servers have no start to
/// tell their ends apart, and one that is down for seconds ends under several nodes' requests at once.
const SAME_END_MS: u64 = 10_000;

/// What this node knows of contents under which backend servers ended.
pub struct ContentGate {
    book: Mutex<SuspectTracker>,
}

impl Default for ContentGate {
    fn default() -> Self {
        Self { book: Mutex::new(SuspectTracker::new(SuspectSettings::default())) }
    }
}

impl ContentGate {
    fn book(&self) -> MutexGuard<'_, SuspectTracker> {
        self.book.lock().unwrap()
    }
}

/// Where a request goes.
pub struct GuardedSend<'a> {
    /// Backend server.
    pub backend: &'a Name,
    /// Its address.
    pub address: &'a str,
    /// What is asked for.
    pub content: RequestFingerprint,
}

/// Makes an exchange with a backend server, unless its content is held, and takes note of how it ends.
pub async fn guarded<T>(
    node: &Arc<Node>,
    send: GuardedSend<'_>,
    exchange: impl Future<Output = Result<T, Failure>>,
) -> Result<T, Failure> {
    let now = node.now();
    // Taken before it is looked at: the refusal asks the book too.
    let standing = node.gate.book().state(now, send.content);
    if let SuspectState::Blocked(left) = standing {
        return Err(refuse(node, &send, left));
    }
    let run = node.gate.book().begin_run(now, send.backend, send.content);
    let result = exchange.await;
    let is_trial = run.is_some_and(|run| node.gate.book().is_trial(send.backend, run));
    if let Some(run) = run {
        node.gate.book().end_run(send.backend, run);
    }
    match &result {
        Ok(_) => {
            node.gate.book().record_answer(node.now(), send.content);
        }
        Err(failure) if failure.verdict == Verdict::MayHaveRun && failure.reason == Reason::BackendFailed => {
            if refuses_connections(send.address).await {
                note_end(node, &send, is_trial);
            }
        }
        Err(_) => {}
    }
    result
}

fn refuse(node: &Node, send: &GuardedSend<'_>, left: Duration) -> Failure {
    let ended = node.gate.book().crash_count(send.content);
    let fields: [(&str, &dyn std::fmt::Display); 4] =
        [("request", &"-"), ("fingerprint", &send.content), ("ended", &ended), ("left_s", &left.as_secs())];
    logs::write(event::REQUEST_HELD, &fields);
    Failure::not_run(Reason::ContentHeld, "backend servers ended under what is asked for").retry_after(left)
}

fn note_end(node: &Arc<Node>, send: &GuardedSend<'_>, is_trial: bool) {
    let end = hash_parts(&[send.backend, &(SystemClock::unix_millis() / SAME_END_MS).to_string()]);
    let is_news = node.gate.book().record_crash_by_start(node.now(), send.content, end, is_trial).is_some();
    if is_news {
        member_loop::probe_gossip_peers(node, &GossipSettings::default());
    }
    let ended = node.gate.book().crash_count(send.content);
    let fields: [(&str, &dyn std::fmt::Display); 5] = [
        ("request", &"-"),
        ("fingerprint", &send.content),
        ("server", send.backend),
        ("trial", &is_trial),
        ("ended", &ended),
    ];
    logs::write(event::SERVER_ENDED, &fields);
}

/// A process that ends may close a connection before the address that it listens on, and there is no
/// service discovery here to tell later that it ended; so the address is asked several times.
async fn refuses_connections(address: &str) -> bool {
    for _ in 0..LISTEN_TRIES {
        let connecting = clock::timeout(LISTEN_TIMEOUT, TcpStream::connect(address)).await;
        if matches!(connecting, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused) {
            return true;
        }
        clock::sleep(LISTEN_PAUSE).await;
    }
    false
}

/// Returns the strikes that travel with a probe.
pub fn probe_strikes(node: &Node) -> Vec<CrashReport> {
    let mut notes = node.gate.book().reports(node.now());
    notes.sort_by_key(|note| note.age_ms);
    notes.truncate(PROBE_STRIKES);
    notes
}

/// Takes over the strikes that came with a probe.
pub fn hear_strikes(node: &Arc<Node>, notes: &[CrashReport]) {
    let now = node.now();
    let mut book = node.gate.book();
    let news = notes.iter().filter(|note| book.merge(now, note)).count();
    drop(book);
    if news > 0 {
        member_loop::probe_gossip_peers(node, &GossipSettings::default());
    }
}
