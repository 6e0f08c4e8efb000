//! A holder frozen past its lease and waking to act does no harm, with and without fencing.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{count_failures, for_seeds};
use trestlerack::Timestamp;
use trestlerack::process::{LeaseKeeper, LeaseRow, LeaseSettings, LeaseStep};

const STEP_MS: u64 = 100;
const STEPS: u64 = 900;
const NODES: usize = 3;

/// A node with a clock of its own rate, which may be frozen or cut off from the table for a while.
struct Holder {
    keeper: LeaseKeeper,
    rate: f64,
    frozen_until: u64,
    cut_until: u64,
}

impl Holder {
    fn local(&self, now: u64) -> Timestamp {
        Timestamp((now as f64 * self.rate) as u64 + 10_000)
    }
}

struct World {
    random: Pcg64Mcg,
    row: Option<(u64, LeaseRow)>,
    holders: Vec<Holder>,
    /// Orders under way: when they arrive and their fencing numbers.
    under_way: Vec<(u64, u64)>,
    /// Fencing numbers of the orders that the engine took, in order.
    taken: Vec<u64>,
    checks_fencing: bool,
    waits: bool,
}

fn world(seed: u64, checks_fencing: bool, waits: bool) -> World {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let holders = (0..NODES).map(|node| Holder {
        keeper: LeaseKeeper::new(LeaseSettings::default(), format!("node-{node}").into(), 1),
        rate: random.random_range(0.96..1.04),
        frozen_until: 0,
        cut_until: 0,
    });
    let holders = holders.collect();
    World { random, row: None, holders, under_way: vec![], taken: vec![], checks_fencing, waits }
}

impl World {
    fn run(&mut self) {
        for step in 0..STEPS {
            let now = step * STEP_MS;
            self.arrive(now);
            for node in 0..NODES {
                self.act(now, node);
            }
        }
    }

    fn arrive(&mut self, now: u64) {
        self.under_way.sort_unstable();
        while self.under_way.first().is_some_and(|(at, _)| *at <= now) {
            let (_, fence) = self.under_way.remove(0);
            let newest = self.taken.iter().max().copied().unwrap_or(0);
            if !self.checks_fencing || fence >= newest {
                self.taken.push(fence);
            }
        }
    }

    fn act(&mut self, now: u64, node: usize) {
        if now < self.holders[node].frozen_until {
            return;
        }
        if self.random.random_ratio(1, 60) {
            self.holders[node].frozen_until = now + self.random.random_range(1_000..20_000);
            return;
        }
        if self.random.random_ratio(1, 100) {
            self.holders[node].cut_until = now + self.random.random_range(1_000..20_000);
        }
        if now >= self.holders[node].cut_until && self.random.random_ratio(1, 8) {
            self.renew(now, node);
        }
        self.order(now, node);
    }

    fn renew(&mut self, now: u64, node: usize) {
        let is_lost = self.random.random_ratio(1, 5);
        let holder = &mut self.holders[node];
        let local = holder.local(now);
        let LeaseStep::Write(row) = holder.keeper.decide(local, self.row.clone()) else { return };
        let version = self.row.as_ref().map_or(0, |(version, _)| *version) + 1;
        self.row = Some((version, row.clone()));
        // A lost answer leaves the holder in doubt, and then it does not count as one.
        if !is_lost {
            holder.keeper.written(local, row);
        }
    }

    fn order(&mut self, now: u64, node: usize) {
        let holder = &self.holders[node];
        let local = holder.local(now);
        let fence =
            if self.waits { holder.keeper.order_fence(local, self.checks_fencing) } else { holder.keeper.fence(local) };
        if let Some(fence) = fence {
            let order_ms = LeaseSettings::default().order_time.as_millis() as u64;
            let delay = self.random.random_range(0..order_ms);
            self.under_way.push((now + delay, fence));
        }
    }
}

fn check(seed: u64, checks_fencing: bool, waits: bool) {
    let mut world = world(seed, checks_fencing, waits);
    world.run();
    assert!(world.taken.is_sorted(), "an old holder's order came after a new one's: {:?}", world.taken);
}

#[test]
fn an_engine_that_checks_fencing_never_obeys_an_old_holder() {
    for_seeds(300, |seed| check(seed, true, true));
}

#[test]
fn an_engine_that_ignores_fencing_gets_no_order_of_an_old_holder_after_a_new_one() {
    for_seeds(300, |seed| check(seed, false, true));
}

#[test]
fn the_checker_notices_a_holder_that_does_not_wait() {
    assert!(count_failures(100, |seed| check(seed, false, false)) > 0);
}

#[test]
fn some_node_holds_the_lease_in_the_end() {
    for_seeds(50, |seed| {
        let mut world = world(seed, true, true);
        world.run();
        assert!(!world.taken.is_empty());
    });
}

#[test]
fn a_lapsed_holder_has_no_fence() {
    let mut keeper = LeaseKeeper::new(LeaseSettings::default(), "node".into(), 1);
    let LeaseStep::Write(row) = keeper.decide(Timestamp(0), None) else { panic!("the lease is free") };
    keeper.written(Timestamp(0), row);
    assert_eq!(keeper.fence(Timestamp(5_999)), Some(1));
    assert_eq!(keeper.fence(Timestamp(6_000)), None);
}

/// Found by the bench as two holders with one fencing number: a stopping node gave back a lease
/// that another one had taken meanwhile, and wrote its own, older row over the newer one.
#[test]
fn a_lease_that_has_a_successor_is_not_given_back() {
    let settings = LeaseSettings::default();
    let lapse = settings.ttl + settings.margin;
    let mut first = LeaseKeeper::new(settings.clone(), "first".into(), 1);
    let mut second = LeaseKeeper::new(settings, "second".into(), 1);
    let LeaseStep::Write(first_row) = first.decide(Timestamp(0), None) else { panic!("it is free") };
    first.written(Timestamp(0), first_row.clone());
    assert_eq!(second.decide(Timestamp(0), Some((1, first_row.clone()))), LeaseStep::Wait);
    let later = Timestamp(0) + lapse;
    let LeaseStep::Write(second_row) = second.decide(later, Some((1, first_row.clone()))) else { panic!("it lapsed") };
    second.written(later, second_row.clone());
    let mut stopping = first.clone();
    assert_eq!(stopping.release(Some(&second_row)), None);
    let released = first.release(Some(&first_row)).expect("its own row is still there");
    assert!(released.released && released.fence == first_row.fence);
}
