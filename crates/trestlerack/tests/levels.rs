//! What a node does for each server, peer and change, at fleets of 25 to 2,000 nodes with ten servers each.

use bolero::check;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use trestlerack::Name;
use trestlerack::process::{
    FeedLog, FeedPlace, LevelNode, ServerCounts, ServerEntry, ask_order, choose_followers, follower_count,
};
use trestlerack::rows::StoredRow;

const FLEETS: [usize; 5] = [25, 100, 300, 1_000, 2_000];
const SERVERS_PER_NODE: usize = 10;
const HEARTBEAT: Duration = Duration::from_secs(5);
const ZONES: usize = 6;

/// Rows of heartbeats that all readers together take from the store at most, a second.
const MOST_ROWS_PER_S: f64 = 80_000.0;

/// Nodes that ask one follower at most.
const MOST_ASKING: usize = 256;

/// Servers of one service that a node makes use of at most.
const MOST_USED: usize = 200;

fn zone(number: usize) -> Name {
    format!("zone-{}", number % ZONES).into()
}

fn node(number: usize) -> LevelNode {
    let capacity = if (number / ZONES).is_multiple_of(4) { 500 } else { 120 };
    LevelNode { name: format!("node-{number}").into(), zone: zone(number), capacity }
}

fn nodes(count: usize) -> Vec<LevelNode> {
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
        models: Vec::new(),
        heartbeat: 1,
    }
}

fn followers_of(nodes: &[LevelNode], servers: usize) -> BTreeSet<Name> {
    choose_followers(nodes, follower_count(nodes.len(), Some(servers), HEARTBEAT))
}

#[test]
fn what_followers_read_together_is_bounded() {
    for count in FLEETS {
        let (all, servers) = (nodes(count), count * SERVERS_PER_NODE);
        let followers = followers_of(&all, servers);
        let rows_per_s = servers as f64 / HEARTBEAT.as_secs_f64() * followers.len() as f64;
        assert!(rows_per_s <= MOST_ROWS_PER_S, "{rows_per_s} rows a second at {count} nodes");
    }
    assert_eq!(followers_of(&nodes(25), 250).len(), 25, "a small fleet has no levels");
    assert!(followers_of(&nodes(2_000), 20_000).len() <= 64);
    assert_eq!(follower_count(100, None, Duration::from_millis(1_200)), 100, "while the servers are not known");
    assert!(follower_count(1_000, None, HEARTBEAT) <= 64);
}

#[test]
fn nodes_spread_over_the_followers_of_their_zone() {
    for count in FLEETS {
        let all = nodes(count);
        let chosen = followers_of(&all, count * SERVERS_PER_NODE);
        let followers: Vec<LevelNode> = all.iter().filter(|node| chosen.contains(&node.name)).cloned().collect();
        let mut asking: BTreeMap<Name, usize> = BTreeMap::new();
        for own in all.iter().filter(|node| !chosen.contains(&node.name)) {
            let order = ask_order(own, &followers);
            assert_eq!(order.len(), followers.len(), "each follower is one to turn to");
            let zone_of = |name: &Name| followers.iter().find(|node| node.name == *name).unwrap().zone.clone();
            assert_eq!(zone_of(&order[0]), own.zone);
            assert_eq!(zone_of(&order[1]), own.zone, "another one of the zone is left when the first is lost");
            *asking.entry(order[0].clone()).or_default() += 1;
        }
        let most = asking.values().max().copied().unwrap_or(0);
        assert!(most <= MOST_ASKING, "{most} nodes ask one follower at {count}");
    }
}

#[test]
fn followers_are_large_nodes_and_stay_while_others_come_and_go() {
    let all = nodes(1_000);
    let chosen = followers_of(&all, 10_000);
    assert!(all.iter().filter(|node| chosen.contains(&node.name)).all(|node| node.capacity == 500));
    let lost = chosen.iter().next().unwrap().clone();
    let left: Vec<LevelNode> = all.iter().filter(|node| node.name != lost).cloned().collect();
    let next = followers_of(&left, 10_000);
    assert_eq!(chosen.difference(&next).collect::<Vec<_>>(), [&lost]);
    assert_eq!(next.difference(&chosen).count(), 1, "one takes its place");
    let no_large: Vec<LevelNode> = all.into_iter().filter(|node| node.capacity < 500).collect();
    assert!(!followers_of(&no_large, 10_000).is_empty());
}

#[test]
fn a_node_makes_use_of_a_part_that_does_not_grow_with_the_fleet() {
    for count in FLEETS {
        let servers: Vec<ServerEntry> = (0..count * SERVERS_PER_NODE).map(server).collect();
        let counts = ServerCounts::of(servers.iter());
        for number in 0..20 {
            let own = node(number);
            let used = servers.iter().filter(|entry| counts.is_in_subset(&own.name, &own.zone, entry));
            let mut by_service: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
            for entry in used {
                let (near, far) = by_service.entry(&entry.service).or_default();
                *(if entry.zone == own.zone { near } else { far }) += 1;
            }
            for (service, (near, far)) in by_service {
                let all = servers.iter().filter(|entry| *entry.service == *service).count();
                let in_zone =
                    servers.iter().filter(|entry| *entry.service == *service && entry.zone == own.zone).count();
                assert!(near + far <= MOST_USED.min(all), "{near} and {far} of {all}");
                assert!(near >= 12.min(in_zone) && near + far >= 16.min(all), "{near} and {far} of {all}");
            }
        }
    }
}

#[test]
fn parts_are_redrawn_only_when_numbers_have_changed_much() {
    let mut counts = ServerCounts::default();
    let of = |count: usize| ServerCounts::of((0..count).map(server).collect::<Vec<_>>().iter());
    assert!(counts.replace_if_changed(of(10_000)));
    assert!(!counts.replace_if_changed(of(9_000)) && !counts.replace_if_changed(of(12_000)));
    assert!(counts.replace_if_changed(of(25_000)));
    // From one server to twenty thousand at a start.
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

fn apply(held: &mut BTreeMap<Name, Vec<u8>>, rows: Vec<StoredRow>) {
    for row in rows {
        match row.removed {
            true => held.remove(&row.key),
            false => held.insert(row.key, row.value.to_vec()),
        };
    }
}

/// Whenever a node asks, it comes to know what the follower knows.
#[test]
fn a_node_that_asks_at_any_time_knows_what_its_follower_knows() {
    check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|steps| {
        let mut log = FeedLog::new(7);
        let (mut truth, mut held) = (BTreeMap::new(), BTreeMap::new());
        let mut place: Option<FeedPlace> = None;
        for (step, key, value) in steps {
            match step % 8 {
                0..4 => {
                    let row = row(key % 8, *value, step % 2 == 1);
                    apply(&mut truth, vec![row.clone()]);
                    log.put(row);
                }
                4 => {
                    let rows: Vec<StoredRow> = (0..key % 8).map(|key| row(key, *value, false)).collect();
                    truth.clear();
                    apply(&mut truth, rows.clone());
                    log.replace("servers", rows);
                }
                5 => {
                    log.clear();
                    let rows: Vec<StoredRow> = (0..key % 8).map(|key| row(key, *value, false)).collect();
                    truth.clear();
                    apply(&mut truth, rows.clone());
                    log.replace("servers", rows);
                    // What was removed meanwhile is not told any more: it is taken over whole.
                    place = None;
                }
                _ => {
                    match place.and_then(|place| log.changes(place, |_| true)) {
                        Some(rows) => apply(&mut held, rows),
                        None => {
                            held.clear();
                            apply(&mut held, log.all(|_| true));
                        }
                    }
                    place = Some(log.place());
                    assert_eq!(held, truth);
                }
            }
        }
    });
}

#[test]
fn what_a_follower_remembers_of_removed_rows_is_bounded() {
    let mut log = FeedLog::new(7);
    let named = |number: u32| StoredRow { key: format!("{number}").into(), ..row(0, 0, false) };
    log.put(named(0));
    let early = log.place();
    for number in 1..=10_000 {
        log.put(named(number));
        log.put(StoredRow { removed: true, ..named(number) });
    }
    assert!(log.changes(early, |_| true).is_none(), "some removals are forgotten");
    assert!(log.changes(FeedPlace { epoch: 8, ..early }, |_| true).is_none(), "another follower's numbers");
    assert_eq!(log.all(|_| true).len(), 1);
    assert!(log.changes(log.place(), |_| true).unwrap().is_empty());
}
