//! Peers find out about each other faster than the platform's list, and the list may be wrong.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use support::for_seeds;
use trestlerack::connection::{DrainSource, DrainUpdate};
use trestlerack::interfaces::ListedNode;
use trestlerack::process::{
    LeavingBoard, MembershipAction, MembershipEvent, MembershipSettings, NodeView, OwnerTable, OwnershipView, PeerInfo,
    PeerMembership,
};
use trestlerack::{AllowedZones, Name, Timestamp};

const TICK_MS: u64 = 500;

struct Peer {
    membership: PeerMembership,
    board: LeavingBoard,
    alive: bool,
}

/// A handful of memberships that exchange heartbeats directly.
struct Peers {
    random: Pcg64Mcg,
    peers: Vec<Peer>,
    loss_percent: u32,
    now: u64,
}

fn name(number: usize) -> Name {
    format!("node-{number}").into()
}

fn listed(count: usize) -> Vec<ListedNode> {
    let node = |number| ListedNode { name: name(number), zone: "obihiro".into(), link: "x".into(), leaving: false };
    (0..count).map(node).collect()
}

impl Peers {
    fn new(seed: u64, count: usize) -> Self {
        let peer = |number: usize| {
            let own = PeerInfo { name: name(number), zone: "obihiro".into(), link: "x".into(), incarnation: 1 };
            let mut membership = PeerMembership::new(MembershipSettings::default(), own, number as u64);
            membership.handle(Timestamp(1), MembershipEvent::Listed(listed(count)));
            Peer { membership, board: LeavingBoard::default(), alive: true }
        };
        let peers = (0..count).map(peer).collect();
        Self { random: Pcg64Mcg::seed_from_u64(seed), peers, loss_percent: 0, now: 1 }
    }

    fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK_MS;
            for from in 0..self.peers.len() {
                if !self.peers[from].alive {
                    continue;
                }
                let now = Timestamp(self.now);
                for action in self.peers[from].membership.handle(now, MembershipEvent::Tick) {
                    if let MembershipAction::Probe(peer) = action {
                        self.probe(from, &peer.name);
                    }
                }
            }
        }
    }

    fn probe(&mut self, from: usize, to: &Name) {
        let now = Timestamp(self.now);
        let target = (0..self.peers.len()).find(|number| name(*number) == *to);
        let is_lost = self.random.random_ratio(self.loss_percent, 100);
        let Some(target) = target.filter(|target| self.peers[*target].alive && !is_lost) else {
            self.peers[from].membership.handle(now, MembershipEvent::Unanswered(to.clone()));
            return;
        };
        self.deliver(from, target);
        self.deliver(target, from);
    }

    fn deliver(&mut self, from: usize, to: usize) {
        let now = Timestamp(self.now);
        let heartbeat = self.peers[from].membership.heartbeat();
        let news = self.peers[from].board.take_news();
        self.peers[to].membership.handle(now, MembershipEvent::Received(heartbeat));
        for item in news {
            self.peers[to].board.hear(item, 32);
        }
    }

    fn eligible(&self, of: usize) -> BTreeSet<Name> {
        let nodes = self.peers[of].membership.eligible(Timestamp(self.now));
        nodes.into_iter().map(|node| node.name).collect()
    }
}

fn names(numbers: impl Iterator<Item = usize>) -> BTreeSet<Name> {
    numbers.map(name).collect()
}

#[test]
fn a_dead_peer_is_dropped_and_the_others_stay_under_message_loss() {
    for_seeds(30, |seed| {
        let mut peers = Peers::new(seed, 12);
        peers.run(20);
        assert_eq!(peers.eligible(0), names(0..12), "everyone knows everyone");
        peers.peers[3].alive = false;
        peers.loss_percent = 5;
        peers.run(40);
        peers.loss_percent = 0;
        peers.run(140);
        for of in (0..12).filter(|of| *of != 3) {
            assert_eq!(peers.eligible(of), names((0..12).filter(|number| *number != 3)));
        }
    });
}

#[test]
fn a_death_is_known_everywhere_within_ten_seconds_among_24_peers() {
    for_seeds(20, |seed| {
        let mut peers = Peers::new(seed, 24);
        peers.run(20);
        peers.peers[5].alive = false;
        peers.run(20);
        for of in (0..24).filter(|of| *of != 5) {
            assert!(!peers.eligible(of).contains(&name(5)), "node {of} still counts the dead peer");
        }
    });
}

#[test]
fn a_list_that_lacks_a_live_peer_or_names_a_dead_one_changes_nothing() {
    let mut peers = Peers::new(1, 6);
    peers.run(20);
    peers.peers[5].alive = false;
    peers.run(40);
    let wrong: Vec<ListedNode> = listed(6).into_iter().filter(|node| node.name != name(1)).collect();
    for of in 0..5 {
        let now = Timestamp(peers.now);
        peers.peers[of].membership.handle(now, MembershipEvent::Listed(wrong.clone()));
    }
    peers.run(10);
    assert_eq!(peers.eligible(0), names(0..5));
}

#[test]
fn a_list_that_says_leaving_takes_ownership_away_and_gives_it_back() {
    let mut peers = Peers::new(1, 4);
    peers.run(20);
    let mut leaving = listed(4);
    leaving[2].leaving = true;
    for of in 0..4 {
        peers.peers[of].membership.handle(Timestamp(peers.now), MembershipEvent::Listed(leaving.clone()));
    }
    peers.run(10);
    assert!((0..4).all(|of| !peers.eligible(of).contains(&name(2))));
    for of in 0..4 {
        peers.peers[of].membership.handle(Timestamp(peers.now), MembershipEvent::Listed(listed(4)));
    }
    peers.run(20);
    assert!((0..4).all(|of| peers.eligible(of).contains(&name(2))));
}

#[test]
fn a_peer_that_flaps_owns_nothing_for_longer_each_time() {
    let mut peers = Peers::new(1, 3);
    peers.run(20);
    let mut absences = Vec::new();
    for _ in 0..3 {
        peers.peers[2].alive = false;
        peers.run(30);
        peers.peers[2].alive = true;
        let back = peers.now;
        while !peers.eligible(0).contains(&name(2)) {
            peers.run(1);
            assert!(peers.now < back + 60_000, "it comes back");
        }
        absences.push(peers.now - back);
    }
    assert!(absences[2] > absences[0], "{absences:?}");
}

#[test]
fn a_planned_leave_is_known_to_all_without_the_list() {
    let mut peers = Peers::new(1, 24);
    peers.run(20);
    peers.peers[7].membership.handle(Timestamp(peers.now), MembershipEvent::Leave);
    peers.run(6);
    let unaware = (0..24).filter(|of| peers.eligible(*of).contains(&name(7))).count();
    assert_eq!(unaware, 0, "after 3 s");
}

#[test]
fn news_of_a_leaving_backend_server_reaches_all_peers_with_the_stores_down() {
    for_seeds(20, |seed| {
        let mut peers = Peers::new(seed, 24);
        peers.run(20);
        let news = DrainUpdate { backend: "engine".into(), source: DrainSource::Operator, leaving: true, stamp: 1 };
        peers.peers[0].board.hear(news, 24);
        peers.run(8);
        let unaware = peers.peers.iter().filter(|peer| !peer.board.is_leaving("engine")).count();
        assert_eq!(unaware, 0, "after 4 s");
    });
}

#[test]
fn an_answer_never_takes_back_an_operators_order() {
    let mut board = LeavingBoard::default();
    board.hear(DrainUpdate { backend: "e".into(), source: DrainSource::Operator, leaving: true, stamp: 1 }, 3);
    board.answered(&"e".into(), false, 2, 3);
    assert!(board.is_leaving("e"));
    board.hear(DrainUpdate { backend: "e".into(), source: DrainSource::Operator, leaving: false, stamp: 3 }, 3);
    assert!(!board.is_leaving("e"));
}

#[test]
fn the_owner_table_agrees_with_the_view_after_any_changes() {
    for_seeds(200, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let zones = ["a", "b"];
        let mut table = OwnerTable::default();
        let mut view = OwnershipView::default();
        let mut engines: std::collections::BTreeMap<Name, Name> = std::collections::BTreeMap::new();
        for _ in 0..40 {
            if random.random_ratio(1, 2) {
                let engine: Name = format!("e{}", random.random_range(0..8)).into();
                let zone: Name = zones[random.random_range(0..2)].into();
                table.set_engine(&engine, &"m".into(), &zone, 2);
                engines.insert(engine, zone);
            } else {
                let nodes = (0..5).filter(|_| random.random_ratio(1, 2));
                let nodes = nodes.map(|node| NodeView { name: name(node), zone: zones[node % 2].into() });
                view = OwnershipView::new(nodes.collect());
                table.set_nodes(view.clone());
            }
            let places = AllowedZones::new(zones.map(Name::from));
            let mut expected: std::collections::BTreeMap<(Name, Name), u32> = std::collections::BTreeMap::new();
            for (engine, zone) in &engines {
                if let Some(owner) = view.engine_owner(engine, zone) {
                    *expected.entry((owner.name.clone(), zone.clone())).or_default() += 2;
                }
            }
            let found = table.owners("m", &places).into_iter().map(|owner| ((owner.node, owner.zone), owner.slots));
            assert_eq!(found.collect::<std::collections::BTreeMap<_, _>>(), expected);
        }
    });
}

#[test]
fn what_one_node_reads_in_the_list_all_know_and_a_wrong_entry_is_taken_back() {
    let mut peers = Peers::new(1, 24);
    peers.run(20);
    assert_eq!(peers.peers[3].board.listed(&["e".into()], 10, 24), [Name::from("e")]);
    assert!(peers.peers[3].board.listed(&["e".into()], 11, 24).is_empty(), "it is news once");
    peers.run(8);
    assert!(peers.peers.iter().all(|peer| peer.board.is_leaving("e")), "after 4 s");
    peers.peers[9].board.listed(&[], 20, 24);
    peers.run(8);
    assert!(peers.peers.iter().all(|peer| !peer.board.is_leaving("e")), "after 4 s");
}
