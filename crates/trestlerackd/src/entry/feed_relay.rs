//! Hears of changes of the store's tables from a follower, and tells other nodes of them.

use super::levels::{self, FOLLOWED_TABLES};
use super::node::EntryNode;
use super::{feeds, server_feed, tables};
use crate::process::{clock, logs};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use trestlerack::process::{
    FeedPosition, FollowerCandidate, ServerCounts, ServerRegistry, follower_order, is_node_partition,
};
use trestlerack::rows::StoredRow;
use trestlerack::time::millis;
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform as platform;

/// Interval at which a node looks whether it is to follow the store.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait of a follower for changes. One that falls silent is noticed this long after it did, and
/// [`ANSWER_TIME`].
const WAIT_MS: u64 = 500;

/// Time for an answer, beyond the wait that was asked for.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Time for all questions of a node that starts to its seeds, before it reads the store. Seeds that are up answer
/// within milliseconds, and one that starts beside them is not to wait for those that are not.
const START_TIME: Duration = Duration::from_millis(60);

/// Age from which what a follower knows is too old, and another one is asked.
const LONGEST_AGE: Duration = Duration::from_millis(1_800);

/// Age that is told where nothing is known.
const OLDEST_TOLD: Duration = Duration::from_secs(60);

/// Pause before a follower is asked again that reads its tables yet, and how often it is asked.
const READING_PAUSE: Duration = Duration::from_millis(150);
const READING_TRIES: usize = 4;

/// Time with a follower of another zone, or not the first one, after which the first one is asked again.
const RETURN_TIME: Duration = Duration::from_secs(5);

/// Followers asked of those that a seed names.
const TRIES: usize = 3;

/// Time without a follower that has news after which a node follows the store itself. Followers that have
/// just started read their tables first.
const UNHEARD_TIME: Duration = Duration::from_millis(1_500);

/// Time for which it does.
const DIRECT_TIME: Duration = Duration::from_secs(3);

/// Pause between two questions, so that changes that come one by one are told together.
const POLL_PAUSE: Duration = Duration::from_millis(50);

/// A question for changes.
#[derive(Debug, Serialize, Deserialize)]
pub struct FeedCall {
    node: Name,
    zone: Name,
    /// How far the caller has heard this follower; `None` for all.
    place: Option<FeedPosition>,
    /// Counts from which the caller drew its servers.
    drawn: u64,
    wait_ms: u64,
}

/// The answer of a node that was asked for changes.
#[derive(Debug, Serialize, Deserialize)]
pub enum FeedReply {
    /// Changes, or all rows.
    Changes(FeedChanges),
    /// The node does not follow the store; these addresses do, as far as it knows.
    Elsewhere(Vec<Name>),
}

/// What a follower tells.
#[derive(Debug, Serialize, Deserialize)]
pub struct FeedChanges {
    rows: Vec<StoredRow>,
    place: FeedPosition,
    /// Whether these are all rows.
    is_whole: bool,
    /// All servers of the caller, where they are drawn anew.
    part: Option<ServerPart>,
    /// How old what the follower knows may be.
    age_ms: u64,
    /// Whether the store does not answer the follower.
    is_out: bool,
    /// Version of the store as of which the follower knows the system's own rows.
    state_version: u64,
}

/// The servers that a node makes use of.
#[derive(Debug, Serialize, Deserialize)]
struct ServerPart {
    rows: Vec<StoredRow>,
    counts: ServerCounts,
    drawn: u64,
}

/// Where a node hears of changes.
#[derive(Default)]
struct RelayState {
    /// Addresses that another node named, before the registered nodes are known.
    named: Vec<Name>,
    /// Follower in use, and how far it was heard.
    heard: Option<(Name, FeedPosition)>,
    /// Place of the follower in use in the order in which they are asked.
    turn: usize,
    /// Answers in a row that the follower in turn has nothing to tell.
    reading: usize,
    /// Since when the follower in use is not the first.
    strayed_at: Option<Timestamp>,
    /// Since when no follower had news.
    unheard_since: Option<Timestamp>,
    /// Followers in a row whose store does not answer.
    outs: usize,
    direct_until: Option<Timestamp>,
}

/// Keeps this node at its level until the process ends.
pub async fn keep_level(node: Arc<EntryNode>) {
    let mut state = RelayState::default();
    if clock::timeout(START_TIME, start_from_seeds(&node, &mut state)).await.is_err() {
        levels::set_direct(&node, true, "no seed answers");
    }
    loop {
        let is_chosen = levels::decide(&node);
        let is_forced = state.direct_until.is_some_and(|until| node.now() < until);
        if is_chosen || is_forced {
            levels::set_direct(&node, true, if is_chosen { "it is a follower" } else { "no follower answers" });
            state = RelayState { direct_until: state.direct_until, ..RelayState::default() };
            clock::sleep(LOOK_INTERVAL).await;
            continue;
        }
        poll(&node, &mut state).await;
        clock::sleep(POLL_PAUSE).await;
    }
}

/// Asks the seeds who follows the store, and begins with what a follower knows.
async fn start_from_seeds(node: &Arc<EntryNode>, state: &mut RelayState) {
    for seed in node.settings.seeds.iter().filter(|seed| **seed != node.settings.peer_listen) {
        match ask(node, seed, None, 0).await {
            Some(FeedReply::Elsewhere(followers)) => state.named = followers,
            Some(FeedReply::Changes(changes)) => return take_in(node, state, seed, changes, node.now()),
            None => continue,
        }
        for follower in state.named.clone().iter().take(TRIES) {
            let asked_at = node.now();
            if let Some(FeedReply::Changes(changes)) = ask(node, follower, None, 0).await {
                return take_in(node, state, follower, changes, asked_at);
            }
        }
        break;
    }
    levels::set_direct(node, true, "it starts");
}

/// Asks a follower for changes once.
async fn poll(node: &Arc<EntryNode>, state: &mut RelayState) {
    let order = followers_in_turn(node);
    if state.turn != 0 && state.strayed_at.is_some_and(|at| node.now().since(at) >= RETURN_TIME) {
        (state.turn, state.heard, state.strayed_at) = (0, None, None);
    }
    let Some(follower) = order.get(state.turn % order.len().max(1)).cloned() else {
        state.direct_until = Some(node.now() + DIRECT_TIME);
        return;
    };
    let place = state.heard.as_ref().filter(|(heard, _)| *heard == follower).map(|(_, place)| *place);
    let asked_at = node.now();
    match ask(node, &follower, place, if place.is_some() { WAIT_MS } else { 0 }).await {
        Some(FeedReply::Changes(changes)) if changes.is_out || changes.age_ms < millis(LONGEST_AGE) => {
            (state.unheard_since, state.reading) = (None, 0);
            // While the store answers no follower, there is no better one.
            state.outs = if changes.is_out { state.outs + 1 } else { 0 };
            let is_out = changes.is_out;
            take_in(node, state, &follower, changes, asked_at);
            if is_out && state.outs == 1 {
                state.turn += 1;
                state.heard = None;
                state.strayed_at.get_or_insert(asked_at);
            }
        }
        Some(FeedReply::Elsewhere(_)) if state.reading < READING_TRIES => {
            state.reading += 1;
            clock::sleep(READING_PAUSE).await;
        }
        answer => {
            let why = if answer.is_some() { "it is behind or follows no more" } else { "it does not answer" };
            logs::write(event::FOLLOWER_LEFT, &[("follower", &follower), ("why", &why)]);
            state.turn += 1;
            (state.heard, state.reading) = (None, 0);
            state.strayed_at.get_or_insert(asked_at);
            let unheard_since = *state.unheard_since.get_or_insert(asked_at);
            if node.now().since(unheard_since) >= UNHEARD_TIME {
                state.unheard_since = None;
                state.direct_until = Some(node.now() + DIRECT_TIME);
            }
        }
    }
}

fn followers_in_turn(node: &EntryNode) -> Vec<Name> {
    let own = FollowerCandidate { name: node.settings.name.clone(), zone: node.settings.zone.clone(), capacity: 0 };
    let mut followers = levels::level_nodes(node);
    followers.retain(|follower| node.levels.is_follower(&follower.name));
    let order = follower_order(&own, &followers);
    order.iter().filter_map(|name| node.peers.get(name).map(|row| row.address)).collect()
}

async fn ask(node: &Arc<EntryNode>, peer: &Name, place: Option<FeedPosition>, wait_ms: u64) -> Option<FeedReply> {
    let (name, zone) = (node.settings.name.clone(), node.settings.zone.clone());
    let call = FeedCall { node: name, zone, place, drawn: node.levels.drawn(), wait_ms };
    node.peers.read_feed(peer, call, ANSWER_TIME + Duration::from_millis(wait_ms)).await
}

/// Takes over what a follower tells; the question was sent at `asked_at`.
fn take_in(node: &Arc<EntryNode>, state: &mut RelayState, follower: &Name, changes: FeedChanges, asked_at: Timestamp) {
    let FeedChanges { rows, place, is_whole, part, age_ms, is_out, state_version } = changes;
    levels::set_direct(node, false, "a follower answers");
    state.heard = Some((follower.clone(), place));
    let (mut servers, mut states, mut operators) = (Vec::new(), Vec::new(), Vec::new());
    for row in rows {
        match &*row.table {
            platform::SERVER_TABLE => servers.push(row),
            tables::STATE => states.push(row),
            _ => operators.push(row),
        }
    }
    if is_whole {
        forget_missing(node, &states, state_version);
    }
    feeds::apply_rows(node, platform::OPERATOR_TABLE, operators);
    feeds::apply_rows(node, tables::STATE, states);
    if is_whole {
        node.has_read_state.store(true, Ordering::Relaxed);
    }
    match part {
        Some(part) => {
            levels::take_counts(node, part.counts, part.drawn);
            server_feed::replace(node, part.rows);
        }
        None => feeds::apply_rows(node, platform::SERVER_TABLE, servers),
    }
    node.suspects.set_cut_off(is_out);
    let mut end_news = node.job_end_freshness.lock().unwrap();
    if is_out {
        end_news.record_failure();
    } else {
        end_news.record_answer(asked_at - Duration::from_millis(age_ms));
    }
}

fn forget_missing(node: &Arc<EntryNode>, rows: &[StoredRow], version: u64) {
    let of_nodes = rows.iter().filter(|row| is_node_partition(&row.partition));
    let registered: Vec<Name> = of_nodes.map(|row| row.key.clone()).collect();
    let own = node.settings.name.clone();
    if node.registered_version.load(Ordering::Relaxed) <= version && !registered.contains(&own) {
        node.row_missing.notify_one();
    }
    node.peers.forget_missing(&registered, version);
    let jobs: Vec<Name> = rows.iter().map(|row| row.partition.clone()).collect();
    node.forget_missing_jobs(&jobs, version);
}

/// Answers a node that asks for changes.
pub async fn answer(node: &Arc<EntryNode>, call: FeedCall) -> FeedReply {
    if !node.levels.passes_on() || !node.levels.knows_all() {
        let followers = if node.levels.followers().is_some() { followers_in_turn(node) } else { Vec::new() };
        return FeedReply::Elsewhere(followers);
    }
    let until = node.now() + Duration::from_millis(call.wait_ms);
    let mut news = node.levels.subscribe();
    let mut place = call.place;
    loop {
        let told = node.levels.log().position();
        let rows = place.and_then(|place| changes_for(node, &call, place));
        let is_drawn = node.levels.drawn() == call.drawn;
        if place.is_some() && is_drawn && rows.as_ref().is_some_and(Vec::is_empty) && node.now() < until {
            place = Some(told);
            // Ends with news or with the wait; both lead to another look.
            let _ = clock::timeout(until.since(node.now()), news.changed()).await;
            continue;
        }
        return FeedReply::Changes(tell(node, &call, rows, told, is_drawn));
    }
}

/// Returns the changes after a place that a node is to know; `None` if it is to be told of all rows.
fn changes_for(node: &EntryNode, call: &FeedCall, place: FeedPosition) -> Option<Vec<StoredRow>> {
    let registry = node.registry.lock().unwrap();
    node.levels.log().changes(place, |row| is_for(node, &registry, call, row))
}

/// Tells a node of changed `rows`, or of all where they are not known, up to a place.
fn tell(
    node: &EntryNode,
    call: &FeedCall,
    rows: Option<Vec<StoredRow>>,
    place: FeedPosition,
    is_drawn: bool,
) -> FeedChanges {
    let is_whole = rows.is_none();
    let rows = rows.unwrap_or_else(|| node.levels.log().all(|row| &*row.table != platform::SERVER_TABLE));
    let part = (is_whole || !is_drawn).then(|| {
        let registry = node.registry.lock().unwrap();
        let is_own = |row: &StoredRow| &*row.table == platform::SERVER_TABLE && is_for(node, &registry, call, row);
        let rows = node.levels.log().all(is_own);
        ServerPart { rows, counts: node.levels.counts(), drawn: node.levels.drawn() }
    });
    let age_ms = millis(node.levels.age(node.now()).min(OLDEST_TOLD));
    let (is_out, state_version) = (node.levels.is_out(), node.levels.state_version());
    FeedChanges { rows, place, is_whole, part, age_ms, is_out, state_version }
}

/// Returns whether a node is to know a row: all but servers that it makes no use of.
fn is_for(node: &EntryNode, registry: &ServerRegistry, call: &FeedCall, row: &StoredRow) -> bool {
    if &*row.table != platform::SERVER_TABLE || row.removed {
        return true;
    }
    registry.get(&row.key).is_none_or(|entry| node.levels.is_in_subset(&call.node, &call.zone, entry))
}

/// Passes on what the store told of a table other than service discovery's.
pub fn pass_on(node: &EntryNode, table: &str, rows: &[StoredRow]) {
    if !node.levels.passes_on() || !FOLLOWED_TABLES.contains(&table) {
        return;
    }
    let is_for_all = |row: &&StoredRow| {
        let log = node.levels.log();
        table != tables::STATE || levels::is_for_all(row, log.get(table, &row.partition, &row.key))
    };
    let rows: Vec<StoredRow> = rows.iter().filter(is_for_all).cloned().collect();
    node.levels.put(rows);
}

/// Passes on a table that was read whole.
pub fn pass_on_whole(node: &EntryNode, table: &str, rows: &[StoredRow]) {
    if !node.levels.passes_on() {
        return;
    }
    let is_passed = |row: &&StoredRow| table != tables::STATE || &*row.partition != tables::ENGINES;
    let rows: Vec<StoredRow> = rows.iter().filter(is_passed).cloned().collect();
    node.levels.log().replace(table, rows);
    node.levels.hold_whole(table);
    node.levels.tell();
}
