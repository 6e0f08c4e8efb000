//! Relays changes of the store's tables: a follower reads the store and serves its changes to the other nodes,
//! which poll it.

use super::follower_state::{self, FOLLOWED_TABLES};
use super::node::EntryNode;
use super::{server_discovery, table_watch, tables};
use crate::process::{clock, logs};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use trestlerack::process::{
    EvacuationList, FeedPosition, FollowerCandidate, ServerCounts, ServerRegistry, follower_order, is_node_partition,
};
use trestlerack::rows::StoredRow;
use trestlerack::time::millis;
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform as platform;

/// Interval at which a node that reads the store itself checks whether it still has to.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time that a follower may wait for changes before it responds, in milliseconds. A follower that stops
/// responding is noticed after this time plus [`RESPONSE_MARGIN`].
const POLL_WAIT_MS: u64 = 500;

/// Time allowed for a response in addition to the requested wait.
const RESPONSE_MARGIN: Duration = Duration::from_millis(400);

/// Time that a starting node spends on requests to its seeds before it reads the store itself. Running seeds
/// respond within milliseconds, and a node must not be delayed by seeds that are down.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_millis(60);

/// Age of a follower's data from which it is too old, so that another follower is asked.
const MAX_AGE: Duration = Duration::from_millis(1_800);

/// Largest age that a follower reports, also where it has read nothing yet.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(60);

/// Delay before a request to a follower that is still reading its tables is repeated, and the number of repeats.
const NOT_READY_BACKOFF: Duration = Duration::from_millis(150);
const NOT_READY_RETRIES: usize = 4;

/// Time after which a node that uses a follower other than the first in its order, such as one in another zone,
/// tries the first one again.
const FAILBACK_TIME: Duration = Duration::from_secs(5);

/// Maximum number of followers that a starting node asks out of those that a seed names.
const MAX_BOOTSTRAP_FOLLOWERS: usize = 3;

/// Time without a usable follower after which a node reads the store itself. It leaves followers that have just
/// started enough time to read their tables.
const NO_FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for which a node without a usable follower reads the store itself.
const DIRECT_PERIOD: Duration = Duration::from_secs(3);

/// Delay between two requests, so that changes that arrive one by one are sent together.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A request for changes.
#[derive(Debug, Serialize, Deserialize)]
pub struct FeedCall {
    node: Name,
    zone: Name,
    /// Position up to which the caller has this follower's changes; `None` requests all rows.
    #[serde(rename = "place")]
    position: Option<FeedPosition>,
    /// Id of the server counts from which the caller computed its subset of the servers.
    #[serde(rename = "drawn")]
    counts_id: u64,
    wait_ms: u64,
}

/// The response to a request for changes.
#[derive(Debug, Serialize, Deserialize)]
pub enum FeedReply {
    /// Changes, or all rows.
    Changes(FeedChanges),
    /// The node cannot serve changes; the nodes at these addresses follow the store as far as it knows.
    #[serde(rename = "Elsewhere")]
    Redirect(Vec<Name>),
}

/// Changes that a follower sends.
#[derive(Debug, Serialize, Deserialize)]
pub struct FeedChanges {
    rows: Vec<StoredRow>,
    #[serde(rename = "place")]
    position: FeedPosition,
    /// Whether `rows` holds all rows rather than changes since a position.
    #[serde(rename = "is_whole")]
    is_snapshot: bool,
    /// All servers of the caller's subset, if it has to be replaced.
    #[serde(rename = "part")]
    subset: Option<ServerSubset>,
    /// Upper bound of the age of the follower's data, in milliseconds.
    age_ms: u64,
    /// Whether the store does not respond to the follower.
    #[serde(rename = "is_out")]
    is_store_down: bool,
    /// Store version as of which the follower has the system's own rows.
    state_version: u64,
    /// The evacuations in force. They are in each response, because a follower does not know which of them the
    /// caller learned from another follower and still has.
    #[serde(default)]
    evacuations: EvacuationList,
}

/// The subset of all servers that one node uses.
#[derive(Debug, Serialize, Deserialize)]
struct ServerSubset {
    rows: Vec<StoredRow>,
    counts: ServerCounts,
    #[serde(rename = "drawn")]
    counts_id: u64,
}

/// The follower that a node polls, and how polling has gone.
#[derive(Default)]
struct PollState {
    /// Addresses of followers that a seed named; used before the registered nodes are known.
    seed_followers: Vec<Name>,
    /// Address of the current follower, and the position up to which its changes were received.
    last_position: Option<(Name, FeedPosition)>,
    /// Index of the current follower in the order in which followers are asked.
    order_index: usize,
    /// Consecutive responses of the current follower that it cannot serve changes yet.
    not_ready_count: usize,
    /// Time since which the current follower is not the first in the order.
    failed_over_at: Option<Timestamp>,
    /// Time since which no follower was usable.
    no_follower_since: Option<Timestamp>,
    /// Consecutive responses of followers that the store does not respond to them.
    store_down_count: usize,
    /// Time until which this node reads the store itself because no follower was usable.
    direct_until: Option<Timestamp>,
}

/// Reads the store as a follower, or polls a follower for changes, until the process ends.
pub async fn maintain_role(node: Arc<EntryNode>) {
    let mut state = PollState::default();
    if clock::timeout(BOOTSTRAP_TIMEOUT, bootstrap_from_seeds(&node, &mut state)).await.is_err() {
        follower_state::set_direct(&node, true, "no seed responds");
    }
    loop {
        let is_chosen = follower_state::update_followers(&node);
        let is_fallback = state.direct_until.is_some_and(|until| node.now() < until);
        if is_chosen || is_fallback {
            follower_state::set_direct(
                &node,
                true,
                if is_chosen { "this node is a follower" } else { "no follower responds" },
            );
            state = PollState { direct_until: state.direct_until, ..PollState::default() };
            clock::sleep(ROLE_CHECK_INTERVAL).await;
            continue;
        }
        poll_follower(&node, &mut state).await;
        clock::sleep(POLL_INTERVAL).await;
    }
}

/// Asks the seeds for the followers of the store, and loads all rows from one of those.
async fn bootstrap_from_seeds(node: &Arc<EntryNode>, state: &mut PollState) {
    for seed in node.settings.seeds.iter().filter(|seed| **seed != node.settings.peer_listen) {
        match request_changes(node, seed, None, 0).await {
            Some(FeedReply::Redirect(followers)) => state.seed_followers = followers,
            Some(FeedReply::Changes(changes)) => return apply_changes(node, state, seed, changes, node.now()),
            None => continue,
        }
        for follower in state.seed_followers.clone().iter().take(MAX_BOOTSTRAP_FOLLOWERS) {
            let requested_at = node.now();
            if let Some(FeedReply::Changes(changes)) = request_changes(node, follower, None, 0).await {
                return apply_changes(node, state, follower, changes, requested_at);
            }
        }
        break;
    }
    follower_state::set_direct(node, true, "no follower was found at the start");
}

/// Requests changes from the current follower once, and fails over to the next one if that is not usable.
async fn poll_follower(node: &Arc<EntryNode>, state: &mut PollState) {
    let order = follower_addresses(node);
    if state.order_index != 0 && state.failed_over_at.is_some_and(|at| node.now().since(at) >= FAILBACK_TIME) {
        (state.order_index, state.last_position, state.failed_over_at) = (0, None, None);
    }
    let Some(follower) = order.get(state.order_index % order.len().max(1)).cloned() else {
        state.direct_until = Some(node.now() + DIRECT_PERIOD);
        return;
    };
    let position =
        state.last_position.as_ref().filter(|(address, _)| *address == follower).map(|(_, position)| *position);
    let requested_at = node.now();
    match request_changes(node, &follower, position, if position.is_some() { POLL_WAIT_MS } else { 0 }).await {
        Some(FeedReply::Changes(changes)) if changes.is_store_down || changes.age_ms < millis(MAX_AGE) => {
            (state.no_follower_since, state.not_ready_count) = (None, 0);
            // Only the first such response causes a failover: if the store responds to no follower, none is better.
            state.store_down_count = if changes.is_store_down { state.store_down_count + 1 } else { 0 };
            let is_store_down = changes.is_store_down;
            apply_changes(node, state, &follower, changes, requested_at);
            if is_store_down && state.store_down_count == 1 {
                state.order_index += 1;
                state.last_position = None;
                state.failed_over_at.get_or_insert(requested_at);
            }
        }
        Some(FeedReply::Redirect(_)) if state.not_ready_count < NOT_READY_RETRIES => {
            state.not_ready_count += 1;
            clock::sleep(NOT_READY_BACKOFF).await;
        }
        reply => {
            let reason = if reply.is_some() {
                "its data is too old or it no longer follows the store"
            } else {
                "it does not respond"
            };
            logs::write(event::FOLLOWER_LEFT, &[("follower", &follower), ("why", &reason)]);
            state.order_index += 1;
            (state.last_position, state.not_ready_count) = (None, 0);
            state.failed_over_at.get_or_insert(requested_at);
            let no_follower_since = *state.no_follower_since.get_or_insert(requested_at);
            if node.now().since(no_follower_since) >= NO_FOLLOWER_TIMEOUT {
                state.no_follower_since = None;
                state.direct_until = Some(node.now() + DIRECT_PERIOD);
            }
        }
    }
}

/// Returns the addresses of the followers in the order in which this node asks them.
fn follower_addresses(node: &EntryNode) -> Vec<Name> {
    let own = FollowerCandidate { name: node.settings.name.clone(), zone: node.settings.zone.clone(), capacity: 0 };
    let mut followers = follower_state::candidates(node);
    followers.retain(|follower| node.follower.is_follower(&follower.name));
    let order = follower_order(&own, node.regions.own.as_ref(), &followers);
    order.iter().filter_map(|name| node.peers.get(name).map(|row| row.address)).collect()
}

async fn request_changes(
    node: &Arc<EntryNode>,
    peer: &Name,
    position: Option<FeedPosition>,
    wait_ms: u64,
) -> Option<FeedReply> {
    let (name, zone) = (node.settings.name.clone(), node.settings.zone.clone());
    let call = FeedCall { node: name, zone, position, counts_id: node.follower.counts_id(), wait_ms };
    node.peers.read_feed(peer, call, RESPONSE_MARGIN + Duration::from_millis(wait_ms)).await
}

/// Applies the changes of a follower; the request was sent at `requested_at`.
fn apply_changes(
    node: &Arc<EntryNode>,
    state: &mut PollState,
    follower: &Name,
    changes: FeedChanges,
    requested_at: Timestamp,
) {
    let FeedChanges { rows, position, is_snapshot, subset, age_ms, is_store_down, state_version, evacuations } =
        changes;
    follower_state::set_direct(node, false, "a follower responds");
    state.last_position = Some((follower.clone(), position));
    let (mut servers, mut states, mut operators) = (Vec::new(), Vec::new(), Vec::new());
    for row in rows {
        match &*row.table {
            platform::SERVER_TABLE => servers.push(row),
            tables::STATE => states.push(row),
            _ => operators.push(row),
        }
    }
    if is_snapshot {
        forget_missing(node, &states, state_version);
    }
    table_watch::replace_evacuations(node, &evacuations);
    table_watch::apply_rows(node, platform::OPERATOR_TABLE, operators);
    table_watch::apply_rows(node, tables::STATE, states);
    if is_snapshot {
        node.has_read_state.store(true, Ordering::Relaxed);
    }
    match subset {
        Some(subset) => {
            follower_state::set_counts(node, subset.counts, subset.counts_id);
            server_discovery::replace(node, subset.rows);
        }
        None => table_watch::apply_rows(node, platform::SERVER_TABLE, servers),
    }
    node.suspects.set_watch_down(is_store_down);
    let known_as_of = requested_at - Duration::from_millis(age_ms);
    let mut end_news = node.job_end_freshness.lock().unwrap();
    if is_store_down {
        end_news.record_failure();
        node.store_contact.lock().unwrap().record_failure(requested_at);
    } else {
        end_news.record_answer(known_as_of);
        node.store_contact.lock().unwrap().record_answer(known_as_of);
        node.balancer.lock().unwrap().cold.record_information(known_as_of);
    }
}

/// Forgets nodes and jobs that all `rows` of the system's own table lack as of a store version.
fn forget_missing(node: &Arc<EntryNode>, rows: &[StoredRow], version: u64) {
    let node_rows = rows.iter().filter(|row| is_node_partition(&row.partition));
    let registered: Vec<Name> = node_rows.map(|row| row.key.clone()).collect();
    let own = node.settings.name.clone();
    if node.registered_version.load(Ordering::Relaxed) <= version && !registered.contains(&own) {
        node.row_missing.notify_one();
    }
    node.peers.forget_missing(&registered, version);
    let jobs: Vec<Name> = rows.iter().map(|row| row.partition.clone()).collect();
    node.forget_missing_jobs(&jobs, version);
}

/// Handles a request for changes; waits up to the requested time if there are none.
pub async fn handle_call(node: &Arc<EntryNode>, call: FeedCall) -> FeedReply {
    if !node.follower.relays_changes() || !node.follower.has_all_tables() {
        let followers = if node.follower.followers().is_some() { follower_addresses(node) } else { Vec::new() };
        return FeedReply::Redirect(followers);
    }
    let until = node.now() + Duration::from_millis(call.wait_ms);
    let mut updates = node.follower.subscribe();
    let mut position = call.position;
    loop {
        let latest = node.follower.change_feed().position();
        let rows = position.and_then(|position| changes_since(node, &call, position));
        let is_counts_current = node.follower.counts_id() == call.counts_id;
        if position.is_some() && is_counts_current && rows.as_ref().is_some_and(Vec::is_empty) && node.now() < until {
            position = Some(latest);
            // Ends with an update or after the wait; the feed is checked again in either case.
            let _ = clock::timeout(until.since(node.now()), updates.changed()).await;
            continue;
        }
        return FeedReply::Changes(build_changes(node, &call, rows, latest, is_counts_current));
    }
}

/// Returns the changes after a position that are relevant to the caller; `None` if it needs all rows.
fn changes_since(node: &EntryNode, call: &FeedCall, position: FeedPosition) -> Option<Vec<StoredRow>> {
    let registry = node.registry.lock().unwrap();
    node.follower.change_feed().changes(position, |row| is_relevant(node, &registry, call, row))
}

/// Builds the response up to `position`, with the changed `rows`, or with all rows if that is `None`.
fn build_changes(
    node: &EntryNode,
    call: &FeedCall,
    rows: Option<Vec<StoredRow>>,
    position: FeedPosition,
    is_counts_current: bool,
) -> FeedChanges {
    let is_snapshot = rows.is_none();
    // The version is read first, so that the list is never older than the version that it is said to have.
    let operator_version = node.follower.operator_version();
    let evacuations = node.evacuations.list(operator_version);
    let rows = rows.unwrap_or_else(|| node.follower.change_feed().all(|row| &*row.table != platform::SERVER_TABLE));
    let subset = (is_snapshot || !is_counts_current).then(|| {
        let registry = node.registry.lock().unwrap();
        let is_selected =
            |row: &StoredRow| &*row.table == platform::SERVER_TABLE && is_relevant(node, &registry, call, row);
        let rows = node.follower.change_feed().all(is_selected);
        ServerSubset { rows, counts: node.follower.counts(), counts_id: node.follower.counts_id() }
    });
    let age_ms = millis(node.follower.age(node.now()).min(MAX_REPORTED_AGE));
    let (is_store_down, state_version) = (node.follower.is_store_down(), node.follower.state_version());
    FeedChanges { rows, position, is_snapshot, subset, age_ms, is_store_down, state_version, evacuations }
}

/// Returns whether a row is sent to the caller: all rows are, except for servers outside of its subset.
fn is_relevant(node: &EntryNode, registry: &ServerRegistry, call: &FeedCall, row: &StoredRow) -> bool {
    if &*row.table != platform::SERVER_TABLE || row.removed {
        return true;
    }
    registry
        .get(&row.key)
        .is_none_or(|entry| node.follower.is_in_subset(&call.node, &call.zone, &node.regions.zones, entry))
}

/// Adds changed rows of a table other than service discovery's to the change feed.
pub fn relay_rows(node: &EntryNode, table: &str, rows: &[StoredRow]) {
    if !node.follower.relays_changes() || !FOLLOWED_TABLES.contains(&table) {
        return;
    }
    let is_relayed = |row: &&StoredRow| {
        let feed = node.follower.change_feed();
        table != tables::STATE || follower_state::is_relayed(row, feed.get(table, &row.partition, &row.key))
    };
    let rows: Vec<StoredRow> = rows.iter().filter(is_relayed).cloned().collect();
    node.follower.relay(rows);
}

/// Replaces a table in the change feed after a full read.
pub fn relay_table(node: &EntryNode, table: &str, rows: &[StoredRow]) {
    if !node.follower.relays_changes() {
        return;
    }
    let is_relayed = |row: &&StoredRow| table != tables::STATE || &*row.partition != tables::ENGINES;
    let rows: Vec<StoredRow> = rows.iter().filter(is_relayed).cloned().collect();
    node.follower.change_feed().replace(table, rows);
    node.follower.mark_complete(table);
    node.follower.notify_subscribers();
}
