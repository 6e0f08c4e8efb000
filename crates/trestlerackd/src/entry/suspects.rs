//! Requests under which servers ended: asks the book, and tells all nodes what it says.
//!
//! Strikes are rows of the system's own table, which every node watches, so that they outlast all
//! processes. While the store serves a node in no way, neither directly nor through peers, it asks
//! peers for their strikes and tells them its own; see
//! [docs/PLATFORM.md](../../../../docs/PLATFORM.md#requests-that-end-servers).

use super::node::{EntryNode, ServerTicket};
use super::tables;
use crate::process::clock;
use crate::process::logs;
use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::border::StoreError;
use trestlerack::process::{
    GossipSettings, ServerEntry, ServerNeed, StrikeNote, SuspectBook, SuspectSettings, SuspectStanding, failure_pause,
};
use trestlerack::request::RequestFingerprint;
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply, StoredRow};
use trestlerack::{Name, Timestamp, event, time::millis};

/// Strikes that wait to be stored, at most. In an outage as long as a strike's life, ends of a server a
/// second leave 600.
const MOST_WAITING: usize = 2_048;

/// Strikes told to a peer at once, at most, newest first; some 50 bytes each.
const MOST_TOLD: usize = 1_000;

/// Rows of strikes that are kept in the store; each is read by every node that starts.
const MOST_ROWS: usize = 4_096;

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

/// A strike as a row holds it.
#[derive(Serialize, Deserialize)]
struct StrikeRow {
    fingerprint: RequestFingerprint,
    server: u64,
    is_trial: bool,
    /// When the server ended, on the store's clock.
    at_ms: u64,
}

/// A change of a strike's row that waits to be stored.
#[derive(Clone, Copy)]
enum RowChange {
    /// The server ended at this time of this node's clock.
    Put { at: Timestamp, is_trial: bool },
    /// The strike is void.
    Remove,
}

type StrikeKey = (RequestFingerprint, u64);

/// What a node knows of suspects, and what of it other nodes are still to be told.
pub struct SuspectDesk {
    book: Mutex<SuspectBook>,
    unstored: Mutex<BTreeMap<StrikeKey, RowChange>>,
    untold: Mutex<Vec<StrikeNote>>,
    has_unstored: Notify,
    has_untold: Notify,
    /// Whether the watch of the system's rows brings no news, or has brought none yet.
    is_cut_off: AtomicBool,
}

impl Default for SuspectDesk {
    fn default() -> Self {
        Self {
            book: Mutex::new(SuspectBook::new(SuspectSettings::default())),
            unstored: Mutex::default(),
            untold: Mutex::default(),
            has_unstored: Notify::new(),
            has_untold: Notify::new(),
            is_cut_off: AtomicBool::new(true),
        }
    }
}

impl SuspectDesk {
    /// Gives access to the book; nothing else is to be locked meanwhile.
    pub fn book(&self) -> std::sync::MutexGuard<'_, SuspectBook> {
        self.book.lock().unwrap()
    }

    /// Records whether the watch of the system's rows brings news.
    pub fn set_cut_off(&self, is_cut_off: bool) {
        self.is_cut_off.store(is_cut_off, Ordering::Relaxed);
    }

    fn is_cut_off(&self) -> bool {
        self.is_cut_off.load(Ordering::Relaxed)
    }

    /// Queues strikes for the store; while that is out of reach, for peers as well.
    fn publish(&self, now: Timestamp, notes: &[StrikeNote]) {
        if notes.is_empty() {
            return;
        }
        let mut unstored = self.unstored.lock().unwrap();
        for note in notes {
            let at = now - Duration::from_millis(note.age_ms);
            let change = if note.is_void { RowChange::Remove } else { RowChange::Put { at, is_trial: note.is_trial } };
            if unstored.len() < MOST_WAITING {
                unstored.insert((note.fingerprint, note.server), change);
            }
        }
        drop(unstored);
        self.has_unstored.notify_one();
        if self.is_cut_off() {
            self.tell(notes);
        }
    }

    fn tell(&self, notes: &[StrikeNote]) {
        let mut untold = self.untold.lock().unwrap();
        untold.extend_from_slice(notes);
        let surplus = untold.len().saturating_sub(MOST_TOLD);
        untold.drain(..surplus);
        drop(untold);
        self.has_untold.notify_one();
    }

    fn take_unstored(&self) -> Vec<(StrikeKey, RowChange)> {
        let mut unstored = self.unstored.lock().unwrap();
        let keys: Vec<StrikeKey> = unstored.keys().take(tables::COMMIT_ROWS).copied().collect();
        keys.into_iter().filter_map(|key| unstored.remove(&key).map(|change| (key, change))).collect()
    }

    /// Puts changes back that could not be stored, unless newer ones came meanwhile.
    fn return_unstored(&self, changes: Vec<(StrikeKey, RowChange)>) {
        let mut unstored = self.unstored.lock().unwrap();
        for (key, change) in changes {
            unstored.entry(key).or_insert(change);
        }
    }
}

/// Returns for how long a content is not to be sent to servers, if it is held.
pub fn held_for(node: &EntryNode, fingerprint: RequestFingerprint) -> Option<Duration> {
    match node.suspects.book().standing(node.now(), fingerprint) {
        SuspectStanding::Held(left) => Some(left),
        SuspectStanding::Clear | SuspectStanding::Suspected(_) => None,
    }
}

/// Chooses a server for a request. A suspect goes where no other suspect of this node is, so that the
/// next end tells them apart. Under one that was there at a single end, most likely as a bystander, it
/// may go to any server if there is no other.
pub fn choose_apart(node: &EntryNode, fingerprint: RequestFingerprint, need: &ServerNeed<'_>) -> Option<ServerEntry> {
    let now = node.now();
    let choose =
        |need: &ServerNeed<'_>| node.board.lock().unwrap().choose(now, need).map(|belief| belief.entry.clone());
    let (standing, shared) = {
        let book = node.suspects.book();
        (book.standing(now, fingerprint), book.shared_servers(fingerprint))
    };
    if standing == SuspectStanding::Clear || shared.is_empty() {
        return choose(need);
    }
    let avoid = [need.avoid, &shared].concat();
    let apart = choose(&ServerNeed { avoid: &avoid, ..need.clone() });
    match standing {
        SuspectStanding::Suspected(1) => apart.or_else(|| choose(need)),
        _ => apart,
    }
}

/// Returns whether servers ended under a content, so that it gets no second server beside the first.
pub fn is_suspect(node: &EntryNode, fingerprint: RequestFingerprint) -> bool {
    node.suspects.book().standing(node.now(), fingerprint) != SuspectStanding::Clear
}

/// Returns whether more than one server ended under a content.
pub fn is_repeated(node: &EntryNode, fingerprint: RequestFingerprint) -> bool {
    match node.suspects.book().standing(node.now(), fingerprint) {
        SuspectStanding::Clear => false,
        SuspectStanding::Suspected(ended) => ended > 1,
        SuspectStanding::Held(_) => true,
    }
}

/// Logs that a content was not sent to a server.
pub fn log_held(node: &EntryNode, request: &str, fingerprint: RequestFingerprint, left: Duration) {
    let ended = node.suspects.book().ended(fingerprint);
    node.metrics.held();
    let fields: [(&str, &dyn std::fmt::Display); 4] =
        [("request", &request), ("fingerprint", &fingerprint), ("ended", &ended), ("left_s", &left.as_secs())];
    logs::write(event::REQUEST_HELD, &fields);
}

/// Takes note that a server ended as it worked on a request of this node.
pub fn server_ended(
    node: &EntryNode,
    request: &str,
    fingerprint: RequestFingerprint,
    server: &ServerEntry,
    is_trial: bool,
) {
    let now = node.now();
    let note = node.suspects.book().ended_under(now, fingerprint, server, is_trial);
    let ended = node.suspects.book().ended(fingerprint);
    let fields: [(&str, &dyn std::fmt::Display); 5] = [
        ("request", &request),
        ("fingerprint", &fingerprint),
        ("server", &server.instance),
        ("trial", &is_trial),
        ("ended", &ended),
    ];
    logs::write(event::SERVER_ENDED, &fields);
    node.metrics.server_ended();
    let notes: Vec<StrikeNote> = note.into_iter().collect();
    log_standing(node, &notes, StrikeSource::Own);
    node.suspects.publish(now, &notes);
}

/// Takes note that service discovery lost a server, or lists a later start of it.
pub fn server_gone(node: &EntryNode, server: &ServerEntry) {
    if server.is_draining || !node.suspects.book().has_doubts() {
        return;
    }
    let now = node.now();
    let notes = node.suspects.book().server_gone(now, server);
    log_standing(node, &notes, StrikeSource::Own);
    node.suspects.publish(now, &notes);
}

/// Takes note that a server answered a request whole.
pub fn answered(node: &EntryNode, ticket: &ServerTicket) {
    ticket.settle();
    let (now, server, fingerprint) = (node.now(), &ticket.server.instance, ticket.fingerprint);
    let void = node.suspects.book().answered(now, fingerprint);
    if void.is_empty() {
        return;
    }
    let fields: [(&str, &dyn std::fmt::Display); 3] =
        [("fingerprint", &fingerprint), ("server", server), ("strikes", &void.len())];
    logs::write(event::SUSPECT_CLEARED, &fields);
    node.suspects.publish(now, &void);
}

/// Logs the contents that strikes which are news here turned into held ones.
fn log_standing(node: &EntryNode, news: &[StrikeNote], source: StrikeSource) {
    let mut contents: Vec<RequestFingerprint> = news.iter().map(|note| note.fingerprint).collect();
    contents.dedup();
    for fingerprint in contents {
        if held_for(node, fingerprint).is_none() {
            continue;
        }
        let ended = node.suspects.book().ended(fingerprint);
        let age_ms = news.iter().filter(|note| note.fingerprint == fingerprint).map(|note| note.age_ms).min();
        let fields: [(&str, &dyn std::fmt::Display); 4] = [
            ("fingerprint", &fingerprint),
            ("ended", &ended),
            ("source", &source.as_str()),
            ("age_ms", &age_ms.unwrap_or_default()),
        ];
        logs::write(event::CONTENT_HELD, &fields);
    }
}

/// Takes over strikes; returns those that are news here.
fn join(node: &EntryNode, notes: &[StrikeNote], source: StrikeSource) -> Vec<StrikeNote> {
    let now = node.now();
    let mut book = node.suspects.book();
    let news: Vec<StrikeNote> = notes.iter().filter(|note| book.join(now, note)).copied().collect();
    drop(book);
    log_standing(node, &news, source);
    news
}

/// Takes over what a peer tells, and returns what it may not know.
pub fn answer_peer(node: &EntryNode, told: &[StrikeNote]) -> Vec<StrikeNote> {
    let known = newest_notes(node);
    learn_from_peer(node, told);
    let is_untold = |note: &StrikeNote| {
        !told.iter().any(|told| {
            let is_same = told.fingerprint == note.fingerprint && told.server == note.server;
            is_same && told.is_trial == note.is_trial && told.is_void == note.is_void
        })
    };
    known.into_iter().filter(is_untold).collect()
}

/// Takes over what a peer told. A node that the store serves stores it, because the peer may not be able
/// to. Another one passes it on and leaves storing to the node that saw the end: once the store is
/// back, all nodes would write the same rows at one moment.
fn learn_from_peer(node: &EntryNode, told: &[StrikeNote]) {
    let news = join(node, told, StrikeSource::Peer);
    if news.is_empty() {
        return;
    }
    if node.suspects.is_cut_off() {
        node.suspects.tell(&news);
    } else {
        node.suspects.publish(node.now(), &news);
    }
}

fn newest_notes(node: &EntryNode) -> Vec<StrikeNote> {
    let mut notes = node.suspects.book().notes(node.now());
    notes.sort_by_key(|note| note.age_ms);
    notes.truncate(MOST_TOLD);
    notes
}

/// Takes over the row of a strike.
pub fn apply_row(node: &EntryNode, row: &StoredRow) -> Result<(), StoreError> {
    if row.removed {
        let (fingerprint, server) = decode_key(&row.key).ok_or(StoreError::Unknown)?;
        node.suspects.book().void(fingerprint, server);
        return Ok(());
    }
    let strike: StrikeRow = tables::decode(&row.value)?;
    let age_ms = node.store.clock_ms().saturating_sub(strike.at_ms);
    let StrikeRow { fingerprint, server, is_trial, .. } = strike;
    join(node, &[StrikeNote { fingerprint, server, is_trial, is_void: false, age_ms }], StrikeSource::Store);
    Ok(())
}

fn encode_key((fingerprint, server): &StrikeKey) -> String {
    format!("{fingerprint}-{server:016x}")
}

fn decode_key(key: &str) -> Option<StrikeKey> {
    let (fingerprint, server) = key.split_once('-')?;
    Some((fingerprint.parse().ok()?, u64::from_str_radix(server, 16).ok()?))
}

/// Stores strikes until the process ends.
pub async fn store_strikes(node: Arc<EntryNode>) {
    loop {
        node.suspects.has_unstored.notified().await;
        let mut failures = 0;
        loop {
            let changes = node.suspects.take_unstored();
            if changes.is_empty() {
                break;
            }
            let Err(error) = commit(&node, &changes).await else { continue };
            if failures == 0 {
                logs::write(event::STRIKES_WAIT, &[("count", &changes.len()), ("why", &error)]);
                node.suspects.tell(&newest_notes(&node));
            }
            failures += 1;
            node.suspects.return_unstored(changes);
            node.store.pause_after(error, failures, failure_pause(failures, rand::random())).await;
        }
    }
}

async fn commit(node: &Arc<EntryNode>, changes: &[(StrikeKey, RowChange)]) -> Result<(), StoreError> {
    let now = node.now();
    let mut transaction = RowTransaction::new(tables::SUSPECTS);
    for (key, change) in changes {
        let row_key = encode_key(key);
        transaction = match change {
            RowChange::Remove => transaction.remove(tables::STATE, &row_key),
            RowChange::Put { at, is_trial } => {
                let at_ms = node.store.clock_ms().saturating_sub(millis(now.since(*at)));
                let row = StrikeRow { fingerprint: key.0, server: key.1, is_trial: *is_trial, at_ms };
                transaction.put(tables::STATE, &row_key, tables::encode(&row))
            }
        };
    }
    match node.store.call(&StoreCall::Commit(transaction)).await? {
        StoreReply::Committed(_) => Ok(()),
        _ => Err(StoreError::Unknown),
    }
}

/// Tells peers of strikes that cannot be stored, until the process ends.
pub async fn tell_peers(node: Arc<EntryNode>) {
    let gossip = GossipSettings::default();
    loop {
        node.suspects.has_untold.notified().await;
        let notes = std::mem::take(&mut *node.suspects.untold.lock().unwrap());
        let chosen = gossip.pick_told(&node.peers.others(), &mut rand::rng());
        join_all(chosen.iter().map(|peer| exchange(&node, peer, &notes))).await;
    }
}

async fn exchange(node: &Arc<EntryNode>, peer: &Name, notes: &[StrikeNote]) {
    // A peer that does not answer hears of it from others, or asks for it.
    if let Some(answer) = node.peers.tell_strikes(peer, notes).await {
        learn_from_peer(node, &answer);
    }
}

/// Asks peers for their strikes while the store brings no news, until the process ends. A process that
/// starts asks at once, since the store may be away.
pub async fn ask_peers(node: Arc<EntryNode>) {
    let gossip = GossipSettings::default();
    loop {
        if node.suspects.is_cut_off() {
            let peer = gossip.pick_asked(&node.peers.others(), &mut rand::rng());
            if let Some(peer) = peer {
                exchange(&node, &peer, &newest_notes(&node)).await;
            }
        }
        clock::sleep(gossip.ask_interval).await;
    }
}

/// Removes the rows of strikes that no longer count, and the oldest of too many.
pub async fn sweep_rows(node: &Arc<EntryNode>) -> Result<(), StoreError> {
    let rows = tables::read_all(&node.store, tables::STATE, tables::SUSPECTS).await?;
    let clock_ms = node.store.clock_ms();
    let life_ms = millis(SuspectSettings::default().life);
    let at_ms = |row: &StoredRow| tables::decode::<StrikeRow>(&row.value).map_or(0, |strike| strike.at_ms);
    let mut dated: Vec<(u64, Name)> = rows.iter().map(|row| (at_ms(row), row.key.clone())).collect();
    dated.sort();
    let surplus = dated.len().saturating_sub(MOST_ROWS);
    // A content is held until `life` after its last strike, so the ones before may be twice as old.
    let is_over = |(place, (at_ms, _)): &(usize, &(u64, Name))| *place < surplus || at_ms + 2 * life_ms <= clock_ms;
    let over: Vec<&Name> = dated.iter().enumerate().filter(is_over).map(|(_, (_, key))| key).collect();
    for keys in over.chunks(tables::COMMIT_ROWS) {
        let transaction =
            keys.iter().fold(RowTransaction::new(tables::SUSPECTS), |tx, key| tx.remove(tables::STATE, key));
        node.store.call(&StoreCall::Commit(transaction)).await?;
    }
    Ok(())
}
