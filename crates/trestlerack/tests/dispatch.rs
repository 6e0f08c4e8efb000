//! Tests of the dispatcher: each call has exactly one outcome, runs only in its allowed zones, engines
//! are never above their slots, and unavailable engines receive no new work.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use support::for_seeds;
use trestlerack::request::{
    ChoicePolicy, DispatchAction, DispatchEngine, DispatchEvent, DispatchSettings, EngineDispatcher, QueuedCall,
};
use trestlerack::verdict::Reason;
use trestlerack::{AllowedZones, Name, Timestamp, Verdict};

const ZONES: [&str; 3] = ["obihiro", "kushiro", "nayoro"];
const SLOTS: u32 = 2;

/// The actual state of an engine, independent of the dispatcher's state.
#[derive(Clone, Default)]
struct EngineModel {
    zone: Name,
    accepts_work: bool,
    version: Option<u64>,
    running: BTreeSet<u64>,
}

struct DispatchSimulation {
    random: Pcg64Mcg,
    dispatcher: EngineDispatcher,
    engines: BTreeMap<Name, EngineModel>,
    calls: BTreeMap<u64, QueuedCall>,
    ended: BTreeMap<u64, &'static str>,
    now: Timestamp,
}

fn random_call(random: &mut Pcg64Mcg, id: u64, now: Timestamp) -> QueuedCall {
    let allowed = ZONES.iter().filter(|_| random.random_ratio(2, 3)).map(|zone| Name::from(*zone));
    QueuedCall {
        id,
        allowed_zones: AllowedZones::new(allowed.collect::<Vec<_>>()),
        account: format!("account-{}", random.random_range(0..3)).into(),
        weight: random.random_range(1..4),
        priority: random.random_range(0..3),
        prefix: random.random_range(0..4),
        min_version: random.random_range(0..4),
        needs_version: random.random_ratio(1, 2),
        deadline: now + Duration::from_millis(random.random_range(1..20_000)),
        cost: random.random_range(1..200),
    }
}

impl DispatchSimulation {
    fn new(seed: u64, policy: ChoicePolicy) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let settings = DispatchSettings { max_queue: 20, policy, seed, ..DispatchSettings::default() };
        let mut engines = BTreeMap::new();
        for number in 0..6 {
            let zone = ZONES[random.random_range(0..ZONES.len())].into();
            engines.insert(
                format!("engine-{number}").into(),
                EngineModel { zone, accepts_work: true, ..EngineModel::default() },
            );
        }
        let dispatcher = EngineDispatcher::new(settings);
        let mut simulation =
            Self { random, dispatcher, engines, calls: BTreeMap::new(), ended: BTreeMap::new(), now: Timestamp(1) };
        let declared = simulation.engines.iter().map(|(name, model)| DispatchEngine {
            name: name.clone(),
            zone: model.zone.clone(),
            slots: SLOTS,
        });
        let declared = declared.collect();
        simulation.feed(DispatchEvent::Engines(declared));
        simulation
    }

    fn feed(&mut self, event: DispatchEvent) {
        for action in self.dispatcher.handle(self.now, event) {
            match action {
                DispatchAction::Start { id, engine } => self.started(id, &engine),
                DispatchAction::Refuse { id, failure } => {
                    assert_eq!(failure.verdict, Verdict::NotRun);
                    assert!(failure.retry_after.is_some(), "a refusal has a retry delay");
                    assert_eq!(self.ended.insert(id, "refused"), None, "one final outcome");
                }
                DispatchAction::Ejected { .. } => {}
            }
        }
    }

    fn started(&mut self, id: u64, engine: &Name) {
        let call = &self.calls[&id];
        let model = self.engines.get_mut(engine).expect("a known engine");
        assert!(model.accepts_work, "an unavailable engine receives no new work");
        assert!(call.allowed_zones.allows(&model.zone), "a call starts only in its allowed zones");
        assert!(model.version.is_some() || !call.needs_version);
        assert!(
            model.version.is_none_or(|version| version >= call.min_version),
            "a call starts only on a version that is new enough"
        );
        model.running.insert(id);
        assert!(model.running.len() <= SLOTS as usize, "no engine is over its slots");
        assert_eq!(self.ended.insert(id, "started"), None, "a call starts once, and never after its refusal");
    }

    fn step(&mut self, id: u64) {
        self.now = self.now + Duration::from_millis(self.random.random_range(0..400));
        match self.random.random_range(0..10) {
            0..4 => {
                let call = random_call(&mut self.random, id, self.now);
                self.calls.insert(id, call.clone());
                self.feed(DispatchEvent::Arrived(call));
            }
            4..7 => self.end_one(),
            7 => {
                let (engine, accepts_work) = (self.any_engine(), self.random.random_ratio(1, 2));
                self.engines.get_mut(&engine).unwrap().accepts_work = accepts_work;
                self.feed(DispatchEvent::Availability { engine, accepts_work });
            }
            8 => {
                let (engine, version) = (self.any_engine(), self.random.random_range(0..5));
                self.engines.get_mut(&engine).unwrap().version = Some(version);
                self.feed(DispatchEvent::VersionReported { engine, version });
            }
            _ => self.feed(DispatchEvent::Tick),
        }
    }

    fn any_engine(&mut self) -> Name {
        let index = self.random.random_range(0..self.engines.len());
        self.engines.keys().nth(index).unwrap().clone()
    }

    fn end_one(&mut self) {
        let running: Vec<(Name, u64)> =
            self.engines.iter().flat_map(|(name, model)| model.running.iter().map(|id| (name.clone(), *id))).collect();
        if running.is_empty() {
            return;
        }
        let (engine, id) = running[self.random.random_range(0..running.len())].clone();
        self.engines.get_mut(&engine).unwrap().running.remove(&id);
        let succeeded = self.random.random_ratio(3, 4);
        self.feed(DispatchEvent::Ended { id, succeeded, tokens: 10 });
    }
}

#[test]
fn every_call_has_one_outcome_and_starts_only_on_eligible_engines() {
    let policies = [
        ChoicePolicy::PrefixAffinity { bound: 1.25 },
        ChoicePolicy::Random,
        ChoicePolicy::LeastInFlight,
        ChoicePolicy::TwoChoices,
    ];
    for policy in policies {
        for_seeds(150, |seed| {
            let mut simulation = DispatchSimulation::new(seed, policy);
            for id in 0..300 {
                simulation.step(id);
            }
            // After every deadline, each call must have been started or refused.
            simulation.now = simulation.now + Duration::from_secs(60);
            simulation.feed(DispatchEvent::Tick);
            assert_eq!(simulation.ended.len(), simulation.calls.len(), "no call is lost");
        });
    }
}

fn single_engine_dispatcher(slots: u32) -> EngineDispatcher {
    let mut dispatcher = EngineDispatcher::new(DispatchSettings::default());
    let engine = DispatchEngine { name: "only".into(), zone: "obihiro".into(), slots };
    dispatcher.handle(Timestamp(1), DispatchEvent::Engines(vec![engine]));
    dispatcher
}

fn one_zone_call(id: u64, account: &str, deadline: u64) -> QueuedCall {
    QueuedCall {
        id,
        account: account.into(),
        weight: 1,
        allowed_zones: AllowedZones::new(["obihiro".into()]),
        priority: 1,
        prefix: 0,
        min_version: 0,
        needs_version: false,
        deadline: Timestamp(deadline),
        cost: 100,
    }
}

#[test]
fn a_call_that_cannot_finish_by_its_deadline_is_refused_on_arrival() {
    let mut dispatcher = single_engine_dispatcher(1);
    for id in 0..20 {
        dispatcher.handle(Timestamp(1), DispatchEvent::Arrived(one_zone_call(id, "a", 1_000_000)));
    }
    let actions = dispatcher.handle(Timestamp(1), DispatchEvent::Arrived(one_zone_call(99, "a", 500)));
    let [DispatchAction::Refuse { id: 99, failure }] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!((failure.reason, failure.verdict), (Reason::Overloaded, Verdict::NotRun));
    assert!(failure.retry_after.is_some());
}

#[test]
fn queued_calls_are_refused_when_the_only_engine_is_unavailable() {
    let mut dispatcher = single_engine_dispatcher(1);
    for id in 0..3 {
        dispatcher.handle(Timestamp(1), DispatchEvent::Arrived(one_zone_call(id, "a", 1_000_000)));
    }
    dispatcher.handle(Timestamp(2), DispatchEvent::Availability { engine: "only".into(), accepts_work: false });
    let actions = dispatcher.handle(Timestamp(3), DispatchEvent::Tick);
    assert_eq!(actions.len(), 2, "the two queued calls are refused: {actions:?}");
}

#[test]
fn an_account_with_many_calls_does_not_starve_another_one() {
    let mut dispatcher = single_engine_dispatcher(1);
    let mut started = Vec::new();
    let mut record = |actions: Vec<DispatchAction>| {
        started.extend(actions.into_iter().filter_map(|action| match action {
            DispatchAction::Start { id, .. } => Some(id),
            _ => None,
        }));
    };
    for id in 0..30 {
        record(dispatcher.handle(Timestamp(1), DispatchEvent::Arrived(one_zone_call(id, "greedy", 1_000_000))));
    }
    for id in 100..105 {
        record(dispatcher.handle(Timestamp(1), DispatchEvent::Arrived(one_zone_call(id, "modest", 1_000_000))));
    }
    for round in 0..11 {
        let running = *started.last().unwrap();
        let mut actions =
            dispatcher.handle(Timestamp(2 + round), DispatchEvent::Ended { id: running, succeeded: true, tokens: 100 });
        actions.retain(|action| matches!(action, DispatchAction::Start { .. }));
        started.extend(actions.into_iter().filter_map(|action| match action {
            DispatchAction::Start { id, .. } => Some(id),
            _ => None,
        }));
    }
    let modest = started.iter().filter(|id| **id >= 100).count();
    assert_eq!(modest, 5, "all five calls of the other account are among the first twelve: {started:?}");
}
