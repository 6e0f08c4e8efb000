//! Gossip membership under lost messages, crashed peers and a platform list that is wrong.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use support::for_seeds;
use trestlerack::connection::{DrainSource, DrainUpdate};
use trestlerack::interfaces::ListedNode;
use trestlerack::process::{
    DrainingServers, EligibleNode, EngineOwners, MembershipAction, MembershipEvent, MembershipSettings, OwnershipView,
    PeerInfo, PeerMembership,
};
use trestlerack::{AllowedZones, Name, Timestamp};

const TICK_MS: u64 = 500;

struct Peer {
    membership: PeerMembership,
    draining: DrainingServers,
    alive: bool,
}

/// Simulated peers that exchange heartbeats without a network, at a given rate of lost probes.
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
            Peer { membership, draining: DrainingServers::default(), alive: true }
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
        let updates = self.peers[from].draining.take_updates();
        self.peers[to].membership.handle(now, MembershipEvent::Received(heartbeat));
        for update in updates {
            self.peers[to].draining.merge(update, 32);
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
fn a_dead_peer_is_dropped_and_the_others_stay_eligible_under_message_loss() {
    for_seeds(30, |seed| {
        let mut peers = Peers::new(seed, 12);
        peers.run(20);
        assert_eq!(peers.eligible(0), names(0..12), "each peer knows all others");
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
fn a_dead_peer_is_dropped_by_all_24_peers_within_ten_seconds() {
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
fn a_list_that_lacks_a_live_peer_or_names_a_dead_one_does_not_change_the_eligible_nodes() {
    let mut peers = Peers::new(1, 6);
    peers.run(20);
    peers.peers[5].alive = false;
    peers.run(40);
    let wrong_list: Vec<ListedNode> = listed(6).into_iter().filter(|node| node.name != name(1)).collect();
    for of in 0..5 {
        let now = Timestamp(peers.now);
        peers.peers[of].membership.handle(now, MembershipEvent::Listed(wrong_list.clone()));
    }
    peers.run(10);
    assert_eq!(peers.eligible(0), names(0..5));
}

#[test]
fn a_peer_that_is_listed_as_leaving_is_ineligible_until_the_list_takes_it_back() {
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
fn a_flapping_peer_is_ineligible_for_longer_each_time() {
    let mut peers = Peers::new(1, 3);
    peers.run(20);
    let mut absences = Vec::new();
    for _ in 0..3 {
        peers.peers[2].alive = false;
        peers.run(30);
        peers.peers[2].alive = true;
        let restarted_at = peers.now;
        while !peers.eligible(0).contains(&name(2)) {
            peers.run(1);
            assert!(peers.now < restarted_at + 60_000, "it becomes eligible again");
        }
        absences.push(peers.now - restarted_at);
    }
    assert!(absences[2] > absences[0], "{absences:?}");
}

#[test]
fn a_planned_leave_reaches_all_peers_without_the_list() {
    let mut peers = Peers::new(1, 24);
    peers.run(20);
    peers.peers[7].membership.handle(Timestamp(peers.now), MembershipEvent::Leave);
    peers.run(6);
    let uninformed = (0..24).filter(|of| peers.eligible(*of).contains(&name(7))).count();
    assert_eq!(uninformed, 0, "after 3 s");
}

#[test]
fn an_update_of_a_draining_backend_server_reaches_all_peers_with_the_stores_down() {
    for_seeds(20, |seed| {
        let mut peers = Peers::new(seed, 24);
        peers.run(20);
        let update = DrainUpdate { backend: "engine".into(), source: DrainSource::Operator, leaving: true, stamp: 1 };
        peers.peers[0].draining.merge(update, 24);
        peers.run(8);
        let uninformed = peers.peers.iter().filter(|peer| !peer.draining.is_draining("engine")).count();
        assert_eq!(uninformed, 0, "after 4 s");
    });
}

#[test]
fn an_answer_does_not_override_an_operators_drain_order() {
    let mut draining = DrainingServers::default();
    draining.merge(DrainUpdate { backend: "e".into(), source: DrainSource::Operator, leaving: true, stamp: 1 }, 3);
    draining.record_answer(&"e".into(), false, 2, 3);
    assert!(draining.is_draining("e"));
    draining.merge(DrainUpdate { backend: "e".into(), source: DrainSource::Operator, leaving: false, stamp: 3 }, 3);
    assert!(!draining.is_draining("e"));
}

#[test]
fn engine_owners_agree_with_the_ownership_view_after_any_changes() {
    for_seeds(200, |seed| {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let zones = ["a", "b"];
        let mut owners = EngineOwners::default();
        let mut view = OwnershipView::default();
        let mut engines: std::collections::BTreeMap<Name, Name> = std::collections::BTreeMap::new();
        for _ in 0..40 {
            if random.random_ratio(1, 2) {
                let engine: Name = format!("e{}", random.random_range(0..8)).into();
                let zone: Name = zones[random.random_range(0..2)].into();
                owners.set_engine(&engine, &"m".into(), &zone, 2);
                engines.insert(engine, zone);
            } else {
                let nodes = (0..5).filter(|_| random.random_ratio(1, 2));
                let nodes = nodes.map(|node| EligibleNode { name: name(node), zone: zones[node % 2].into() });
                view = OwnershipView::new(nodes.collect());
                owners.set_nodes(view.clone());
            }
            let places = AllowedZones::new(zones.map(Name::from));
            let mut expected: std::collections::BTreeMap<(Name, Name), u32> = std::collections::BTreeMap::new();
            for (engine, zone) in &engines {
                if let Some(owner) = view.engine_owner(engine, zone) {
                    *expected.entry((owner.name.clone(), zone.clone())).or_default() += 2;
                }
            }
            let found =
                owners.model_owners("m", &places).into_iter().map(|owner| ((owner.node, owner.zone), owner.slots));
            assert_eq!(found.collect::<std::collections::BTreeMap<_, _>>(), expected);
        }
    });
}

#[test]
fn a_list_that_one_node_reads_reaches_all_peers_and_a_wrong_entry_is_revoked() {
    let mut peers = Peers::new(1, 24);
    peers.run(20);
    assert_eq!(peers.peers[3].draining.merge_list(&["e".into()], 10, 24), [Name::from("e")]);
    assert!(peers.peers[3].draining.merge_list(&["e".into()], 11, 24).is_empty(), "a repeated list is no change");
    peers.run(8);
    assert!(peers.peers.iter().all(|peer| peer.draining.is_draining("e")), "after 4 s");
    peers.peers[9].draining.merge_list(&[], 20, 24);
    peers.run(8);
    assert!(peers.peers.iter().all(|peer| !peer.draining.is_draining("e")), "after 4 s");
}
