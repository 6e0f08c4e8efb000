//! Followers, change feeds and server subsets in fleets of 25 to 2,000 nodes with ten servers each: the
//! load on each node and on the store stays bounded.

use bolero::check;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use trestlerack::Name;
use trestlerack::process::{
    ChangeFeed, FeedPosition, FollowerCandidate, ServerCounts, ServerEntry, choose_followers, follower_count,
    follower_order,
};
use trestlerack::rows::StoredRow;
use trestlerack::version::ZoneMap;

const FLEETS: [usize; 5] = [25, 100, 300, 1_000, 2_000];
const SERVERS_PER_NODE: usize = 10;
const HEARTBEAT: Duration = Duration::from_secs(5);
const ZONES: usize = 6;

/// Maximum number of heartbeat rows that all followers together read from the store per second.
const MAX_ROWS_PER_S: f64 = 80_000.0;

/// Maximum number of nodes that ask one follower first.
const MAX_ASKING: usize = 256;

/// Maximum number of servers of one service that a node uses.
const MAX_USED: usize = 200;

fn zone(number: usize) -> Name {
    format!("zone-{}", number % ZONES).into()
}

fn node(number: usize) -> FollowerCandidate {
    let capacity = if (number / ZONES).is_multiple_of(4) { 500 } else { 120 };
    FollowerCandidate { name: format!("node-{number}").into(), zone: zone(number), capacity }
}

fn nodes(count: usize) -> Vec<FollowerCandidate> {
    (0..count).map(node).collect()
}

fn server(number: usize) -> ServerEntry {
    ServerEntry {
        instance: format!("i-{number}").into(),
        started_ms: 1,
        service: if number.is_multiple_of(3) { "plain" } else { "models" }.into(),
        address: "10.0.0.1:80".into(),
        zone: zone(number / 3),
        slots: 6,
        is_draining: false,
        cold_left_ms: 0,
        models: Vec::new(),
        heartbeat: 1,
    }
}

fn followers_of(nodes: &[FollowerCandidate], servers: usize) -> BTreeSet<Name> {
    choose_followers(nodes, follower_count(nodes.len(), Some(servers), HEARTBEAT))
}

#[test]
fn the_rows_that_all_followers_read_are_bounded() {
    for count in FLEETS {
        let (all, servers) = (nodes(count), count * SERVERS_PER_NODE);
        let followers = followers_of(&all, servers);
        let rows_per_s = servers as f64 / HEARTBEAT.as_secs_f64() * followers.len() as f64;
        assert!(rows_per_s <= MAX_ROWS_PER_S, "{rows_per_s} rows a second at {count} nodes");
    }
    assert_eq!(followers_of(&nodes(25), 250).len(), 25, "all nodes of a small fleet follow the store");
    assert!(followers_of(&nodes(2_000), 20_000).len() <= 64);
    assert_eq!(follower_count(100, None, Duration::from_millis(1_200)), 100, "while the number of servers is unknown");
    assert!(follower_count(1_000, None, HEARTBEAT) <= 64);
}

#[test]
fn nodes_spread_over_the_followers_of_their_zone() {
    for count in FLEETS {
        let all = nodes(count);
        let chosen = followers_of(&all, count * SERVERS_PER_NODE);
        let followers: Vec<FollowerCandidate> =
            all.iter().filter(|node| chosen.contains(&node.name)).cloned().collect();
        let mut asking: BTreeMap<Name, usize> = BTreeMap::new();
        for own in all.iter().filter(|node| !chosen.contains(&node.name)) {
            let order = follower_order(own, None, &followers);
            assert_eq!(order.len(), followers.len(), "each follower may be asked");
            let zone_of = |name: &Name| followers.iter().find(|node| node.name == *name).unwrap().zone.clone();
            assert_eq!(zone_of(&order[0]), own.zone);
            assert_eq!(zone_of(&order[1]), own.zone, "the zone has a second follower in case the first is lost");
            *asking.entry(order[0].clone()).or_default() += 1;
        }
        let highest = asking.values().max().copied().unwrap_or(0);
        assert!(highest <= MAX_ASKING, "{highest} nodes ask one follower in a fleet of {count}");
    }
}

#[test]
fn followers_are_large_nodes_and_the_others_stay_when_one_is_lost() {
    let all = nodes(1_000);
    let chosen = followers_of(&all, 10_000);
    assert!(all.iter().filter(|node| chosen.contains(&node.name)).all(|node| node.capacity == 500));
    let lost = chosen.iter().next().unwrap().clone();
    let remaining: Vec<FollowerCandidate> = all.iter().filter(|node| node.name != lost).cloned().collect();
    let next = followers_of(&remaining, 10_000);
    assert_eq!(chosen.difference(&next).collect::<Vec<_>>(), [&lost]);
    assert_eq!(next.difference(&chosen).count(), 1, "one node replaces it");
    let no_large: Vec<FollowerCandidate> = all.into_iter().filter(|node| node.capacity < 500).collect();
    assert!(!followers_of(&no_large, 10_000).is_empty());
}

#[test]
fn the_servers_that_a_node_uses_do_not_grow_with_the_fleet() {
    for count in FLEETS {
        let servers: Vec<ServerEntry> = (0..count * SERVERS_PER_NODE).map(server).collect();
        let counts = ServerCounts::of(servers.iter());
        for number in 0..20 {
            let own = node(number);
            let used =
                servers.iter().filter(|entry| counts.is_in_subset(&own.name, &own.zone, &ZoneMap::default(), entry));
            let mut by_service: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
            for entry in used {
                let (same_zone, other_zones) = by_service.entry(&entry.service).or_default();
                *(if entry.zone == own.zone { same_zone } else { other_zones }) += 1;
            }
            for (service, (same_zone, other_zones)) in by_service {
                let all = servers.iter().filter(|entry| *entry.service == *service).count();
                let in_zone =
                    servers.iter().filter(|entry| *entry.service == *service && entry.zone == own.zone).count();
                assert!(same_zone + other_zones <= MAX_USED.min(all), "{same_zone} and {other_zones} of {all}");
                assert!(
                    same_zone >= 12.min(in_zone) && same_zone + other_zones >= 16.min(all),
                    "{same_zone} and {other_zones} of {all}"
                );
            }
        }
    }
}

#[test]
fn server_subsets_are_redrawn_only_after_large_changes_of_the_server_counts() {
    let mut counts = ServerCounts::default();
    let of = |count: usize| ServerCounts::of((0..count).map(server).collect::<Vec<_>>().iter());
    assert!(counts.replace_if_changed(of(10_000)));
    assert!(!counts.replace_if_changed(of(9_000)) && !counts.replace_if_changed(of(12_000)));
    assert!(counts.replace_if_changed(of(25_000)));
    // The servers of a fleet register one after the other when it starts, here up to 20,000.
    let mut draws = 0;
    let mut counts = ServerCounts::default();
    for count in (0..20_000).step_by(50) {
        draws += usize::from(counts.replace_if_changed(of(count)));
    }
    assert!(draws <= 16, "{draws} draws");
}

fn row(key: u8, value: u8, removed: bool) -> StoredRow {
    StoredRow {
        table: "servers".into(),
        partition: "".into(),
        key: format!("{key}").into(),
        value: vec![value].into(),
        version: 0,
        removed,
    }
}

fn apply(received: &mut BTreeMap<Name, Vec<u8>>, rows: Vec<StoredRow>) {
    for row in rows {
        match row.removed {
            true => received.remove(&row.key),
            false => received.insert(row.key, row.value.to_vec()),
        };
    }
}

#[test]
fn a_node_that_reads_the_feed_at_any_time_has_the_rows_of_its_follower() {
    check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let mut feed = ChangeFeed::new(7);
        let (mut expected, mut received) = (BTreeMap::new(), BTreeMap::new());
        let mut position: Option<FeedPosition> = None;
        for (step, key, value) in steps {
            match step % 8 {
                0..4 => {
                    let row = row(key % 8, *value, step % 2 == 1);
                    apply(&mut expected, vec![row.clone()]);
                    feed.put(row);
                }
                4 => {
                    let rows: Vec<StoredRow> = (0..key % 8).map(|key| row(key, *value, false)).collect();
                    expected.clear();
                    apply(&mut expected, rows.clone());
                    feed.replace("servers", rows);
                }
                5 => {
                    feed.clear();
                    let rows: Vec<StoredRow> = (0..key % 8).map(|key| row(key, *value, false)).collect();
                    expected.clear();
                    apply(&mut expected, rows.clone());
                    feed.replace("servers", rows);
                    // The feed no longer has the removals since then, so the node reads all rows again.
                    position = None;
                }
                _ => {
                    match position.and_then(|position| feed.changes(position, |_| true)) {
                        Some(rows) => apply(&mut received, rows),
                        None => {
                            received.clear();
                            apply(&mut received, feed.all(|_| true));
                        }
                    }
                    position = Some(feed.position());
                    assert_eq!(received, expected);
                }
            }
        }
    });
}

#[test]
fn the_tombstones_of_a_change_feed_are_bounded() {
    let mut feed = ChangeFeed::new(7);
    let row_named = |number: u32| StoredRow { key: format!("{number}").into(), ..row(0, 0, false) };
    feed.put(row_named(0));
    let early = feed.position();
    for number in 1..=10_000 {
        feed.put(row_named(number));
        feed.put(StoredRow { removed: true, ..row_named(number) });
    }
    assert!(feed.changes(early, |_| true).is_none(), "some tombstones were dropped");
    assert!(
        feed.changes(FeedPosition { epoch: 8, ..early }, |_| true).is_none(),
        "a position in another follower's feed"
    );
    assert_eq!(feed.all(|_| true).len(), 1);
    assert!(feed.changes(feed.position(), |_| true).unwrap().is_empty());
}
