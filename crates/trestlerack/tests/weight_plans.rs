//! Engines are brought to named versions with few loads, by one holder at a time.

use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::process::ServerEntry;
use trestlerack::version::{DueOrder, EngineAssignment, OrderOutcome, WeightPlan, WeightPlanSettings};
use trestlerack::{Name, Timestamp};

const NOW: Timestamp = Timestamp(100_000);

fn entry(instance: &str, versions: &[(&str, u64)]) -> ServerEntry {
    ServerEntry {
        instance: instance.into(),
        service: "models".into(),
        address: "10.0.0.1:1".into(),
        zone: "z".into(),
        slots: 12,
        is_draining: false,
        models: versions.iter().map(|(model, version)| (Name::from(*model), *version)).collect(),
        heartbeat: 1,
        started_ms: 1,
    }
}

fn models(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn sync(plan: &mut WeightPlan, now: Timestamp, names: &[&str], entries: &[ServerEntry]) -> Vec<(Name, Name)> {
    plan.sync(now, &models(names), &entries.iter().collect::<Vec<_>>(), &BTreeMap::new())
}

fn engines(count: usize, versions: &[(&str, u64)]) -> Vec<ServerEntry> {
    (0..count).map(|number| entry(&format!("i-{number:02}"), versions)).collect()
}

/// Answers each question for a report and accepts each order, and returns the orders.
fn carry_out(plan: &mut WeightPlan, now: Timestamp) -> Vec<DueOrder> {
    let mut accepted = Vec::new();
    for _ in 0..2 {
        for order in plan.next_orders(now, |_| Some(0)) {
            match order.orders_before {
                None => plan.reported(now, &order.instance, 1, false, 0),
                Some(before) => {
                    plan.ordered(now, &order, OrderOutcome::Accepted, before);
                    accepted.push(order);
                }
            }
        }
    }
    accepted
}

#[test]
fn a_fifth_of_the_engines_and_two_at_least_load_at_once() {
    for (count, at_once) in [(1, 1), (3, 2), (11, 2), (44, 9)] {
        let mut plan = WeightPlan::new(WeightPlanSettings::default());
        sync(&mut plan, NOW, &["m"], &engines(count, &[("m", 1)]));
        assert!(carry_out(&mut plan, NOW).is_empty(), "nothing was named yet");
        plan.target(&"m".into(), 2);
        assert_eq!(carry_out(&mut plan, NOW).len(), at_once, "of {count}");
        assert!(carry_out(&mut plan, NOW).is_empty(), "those still load");
    }
}

#[test]
fn each_engine_loads_each_named_version_once_at_most_and_may_skip_one() {
    let entries = engines(5, &[("m", 1)]);
    let mut plan = WeightPlan::new(WeightPlanSettings::default());
    sync(&mut plan, NOW, &["m"], &entries);
    plan.target(&"m".into(), 2);
    let mut loads: Vec<(Name, u64)> = Vec::new();
    let mut now = NOW;
    for step in 0..20 {
        now = now + Duration::from_millis(500);
        if step == 3 {
            plan.target(&"m".into(), 3);
            plan.target(&"m".into(), 2);
        }
        loads.extend(carry_out(&mut plan, now).into_iter().map(|order| (order.instance, order.version)));
    }
    let newest = loads.iter().filter(|(_, version)| *version == 3).count();
    assert_eq!(newest, 5, "{loads:?}");
    assert!(loads.len() < 10, "engines that still had version 1 went to 3 at once: {loads:?}");
}

/// Names a version every four seconds and returns the loads in between, for jobs that accept `lag`
/// versions before the newest one.
fn loads_by_version(count: usize, lag: u64, named: u64) -> Vec<Vec<u64>> {
    let mut plan = WeightPlan::new(WeightPlanSettings::default());
    sync(&mut plan, NOW, &["m"], &engines(count, &[("m", 1)]));
    plan.allow_lag(&"m".into(), lag);
    let mut now = NOW;
    let mut loads = Vec::new();
    for version in 2..2 + named {
        plan.target(&"m".into(), version);
        let mut of_version = Vec::new();
        for _ in 0..80 {
            now = now + Duration::from_millis(50);
            of_version.extend(carry_out(&mut plan, now).into_iter().map(|order| order.version));
        }
        loads.push(of_version);
    }
    loads
}

#[test]
fn half_of_the_engines_load_a_version_while_jobs_accept_the_one_before() {
    for loads in loads_by_version(10, 1, 6) {
        assert_eq!(loads.len(), 5, "{loads:?}");
    }
}

#[test]
fn all_engines_load_each_version_where_jobs_accept_no_older_one() {
    for loads in loads_by_version(8, 0, 4) {
        assert_eq!(loads.len(), 8, "{loads:?}");
    }
}

#[test]
fn an_engine_that_no_job_accepts_any_more_loads_whatever_the_others_hold() {
    let mut plan = WeightPlan::new(WeightPlanSettings::default());
    let mut entries = engines(4, &[("m", 5)]);
    entries[3].models = vec![("m".into(), 3)];
    sync(&mut plan, NOW, &["m"], &entries);
    plan.allow_lag(&"m".into(), 1);
    plan.target(&"m".into(), 5);
    let loads = carry_out(&mut plan, NOW);
    assert_eq!(loads.iter().map(|order| &*order.instance).collect::<Vec<_>>(), ["i-03"]);
}

#[test]
fn engines_are_divided_among_models_and_stay_where_they_are() {
    let versions = [("a", 1), ("b", 1)];
    let mut plan = WeightPlan::new(WeightPlanSettings::default());
    let decided = sync(&mut plan, NOW, &["a", "b"], &engines(9, &versions));
    assert_eq!(decided.len(), 9);
    let on_a = plan.models().filter(|(_, model)| &***model == "a").count();
    assert!((4..=5).contains(&on_a));
    assert!(sync(&mut plan, NOW, &["a", "b"], &engines(9, &versions)).is_empty());
    let before: BTreeMap<Name, Name> = plan.models().map(|(name, model)| (name.clone(), model.clone())).collect();
    // Three engines of one model are lost; one engine moves, the others stay.
    let lost: Vec<&Name> = before.iter().filter(|(_, model)| &***model == "b").map(|(name, _)| name).take(3).collect();
    let left: Vec<ServerEntry> =
        engines(9, &versions).into_iter().filter(|entry| !lost.contains(&&entry.instance)).collect();
    let moved = sync(&mut plan, NOW, &["a", "b"], &left);
    assert!(moved.len() <= 2, "{moved:?}");
    let on_a = plan.models().filter(|(_, model)| &***model == "a").count();
    assert_eq!(on_a, 3);
}

#[test]
fn what_the_store_says_of_an_engines_model_is_kept() {
    let assignment = EngineAssignment {
        model: "b".into(),
        version: 4,
        ordered_ms: 1,
        tried_ms: 1,
        holder: "node-1".into(),
        load_ms: 0,
    };
    let assigned: BTreeMap<Name, EngineAssignment> =
        (0..2).map(|number| (format!("i-{number:02}").into(), assignment.clone())).collect();
    let mut plan = WeightPlan::new(WeightPlanSettings::default());
    let entries = engines(2, &[("a", 1), ("b", 4)]);
    let decided = plan.sync(NOW, &models(&["a", "b"]), &entries.iter().collect::<Vec<_>>(), &assigned);
    assert_eq!(decided.len(), 1, "only the move that evens the models out: {decided:?}");
}

#[test]
fn an_unknown_outcome_is_settled_by_asking_the_engine() {
    let mut plan = WeightPlan::new(WeightPlanSettings::default());
    sync(&mut plan, NOW, &["m"], &engines(1, &[("m", 1)]));
    plan.target(&"m".into(), 2);
    let question = plan.next_orders(NOW, |_| Some(0)).remove(0);
    assert_eq!(question.orders_before, None);
    plan.reported(NOW, &question.instance, 1, false, 3);
    let order = plan.next_orders(NOW, |_| Some(0)).remove(0);
    assert_eq!(order.orders_before, Some(3));
    plan.ordered(NOW, &order, OrderOutcome::Unknown, 3);
    assert!(plan.next_orders(NOW, |_| Some(0)).is_empty(), "it pauses first");
    let later = NOW + WeightPlanSettings::default().retry_pause;
    assert_eq!(plan.next_orders(later, |_| Some(0)).remove(0).orders_before, None);
}

#[test]
fn a_load_that_discovery_never_shows_is_ordered_again() {
    let mut plan = WeightPlan::new(WeightPlanSettings::default());
    let entries = engines(1, &[("m", 1)]);
    sync(&mut plan, NOW, &["m"], &entries);
    plan.target(&"m".into(), 2);
    assert_eq!(carry_out(&mut plan, NOW).len(), 1);
    let soon = NOW + Duration::from_secs(2);
    sync(&mut plan, soon, &["m"], &entries);
    assert!(carry_out(&mut plan, soon).is_empty(), "discovery lags");
    let late = NOW + WeightPlanSettings::default().proof_time;
    sync(&mut plan, late, &["m"], &entries);
    assert_eq!(carry_out(&mut plan, late).len(), 1);
}

#[test]
fn a_new_holder_waits_for_the_last_try_of_the_one_before_at_each_engine() {
    let handover = Duration::from_secs(3);
    let tried = |holder: &str, tried_ms: u64| EngineAssignment {
        model: "m".into(),
        version: 2,
        ordered_ms: tried_ms,
        tried_ms,
        holder: holder.into(),
        load_ms: 0,
    };
    assert!(!tried("old", 10_000).is_open_to("new", 12_999, handover));
    assert!(tried("old", 10_000).is_open_to("new", 13_000, handover));
    assert!(tried("old", 10_000).is_open_to("old", 10_001, handover));
    assert!(tried("old", 0).is_open_to("new", 1, handover), "it was never ordered");
    let mut plan = WeightPlan::new(WeightPlanSettings::default());
    sync(&mut plan, NOW, &["m"], &engines(2, &[("m", 1)]));
    plan.target(&"m".into(), 2);
    let due = plan.next_orders(NOW, |instance| (instance != "i-00").then_some(0));
    assert_eq!(due.len(), 1);
    assert_eq!(&*due[0].instance, "i-01");
}

/// An engine as its reports tell of it.
#[derive(Default)]
struct LoadingEngine {
    version: u64,
    /// The end of the load in progress, and its version.
    loading: Option<(Timestamp, u64)>,
    orders: u64,
}

/// Engines whose loads take a stated time, as the holder of the lease sees them.
struct LoadingEngines {
    load_time: Duration,
    engines: BTreeMap<Name, LoadingEngine>,
    questions: usize,
    loads: usize,
    most_at_once: usize,
}

impl LoadingEngines {
    fn new(count: usize, load_time: Duration) -> Self {
        let engines = (0..count)
            .map(|number| (format!("i-{number:03}").into(), LoadingEngine { version: 1, ..LoadingEngine::default() }))
            .collect();
        Self { load_time, engines, questions: 0, loads: 0, most_at_once: 0 }
    }

    fn finish_loads(&mut self, now: Timestamp) {
        for engine in self.engines.values_mut() {
            if let Some((_, loaded)) = engine.loading.take_if(|(until, _)| *until <= now) {
                engine.version = loaded;
            }
        }
    }

    fn entries(&self) -> Vec<ServerEntry> {
        self.engines.iter().map(|(name, engine)| entry(name, &[("m", engine.version)])).collect()
    }

    fn carry_out(&mut self, plan: &mut WeightPlan, now: Timestamp) {
        for order in plan.next_orders(now, |_| Some(0)) {
            let engine = self.engines.get_mut(&order.instance).unwrap();
            match order.orders_before {
                None => {
                    self.questions += 1;
                    plan.reported(now, &order.instance, engine.version, engine.loading.is_some(), engine.orders);
                }
                Some(before) if engine.loading.is_some() || before != engine.orders => {
                    plan.ordered(now, &order, OrderOutcome::Refused, before);
                }
                Some(before) => {
                    engine.loading = Some((now + self.load_time, order.version));
                    engine.orders += 1;
                    self.loads += 1;
                    plan.ordered(now, &order, OrderOutcome::Accepted, before);
                }
            }
        }
        let at_once = self.engines.values().filter(|engine| engine.loading.is_some()).count();
        self.most_at_once = self.most_at_once.max(at_once);
    }

    /// Names a version every few loads' time, for `span`.
    fn play(&mut self, plan: &mut WeightPlan, start: Timestamp, span: Duration, every: Duration) {
        let step = Duration::from_millis(20);
        let (mut at, mut listed, mut version) = (Duration::ZERO, self.entries(), 1);
        while at < span {
            let now = start + at;
            self.finish_loads(now);
            if at.as_millis().is_multiple_of(every.as_millis()) {
                version += 1;
                plan.target(&"m".into(), version);
            }
            if at.as_millis().is_multiple_of(1_200) {
                listed = self.entries();
            }
            sync(plan, now, &["m"], &listed);
            self.carry_out(plan, now);
            at += step;
        }
    }
}

/// Loads that take a third, three and ten times as long as expected: after the first ones no more
/// engines load at once than may, and the expected time is theirs.
#[test]
fn the_pace_of_orders_follows_the_load_times_that_are_seen() {
    for load_ms in [300, 900, 2_700, 9_000] {
        let load_time = Duration::from_millis(load_ms);
        let mut plan =
            WeightPlan::new(WeightPlanSettings { proof_time: load_time * 5, ..WeightPlanSettings::default() });
        let mut engines = LoadingEngines::new(40, load_time);
        let every = load_time * 10;
        engines.play(&mut plan, NOW, every * 4, every);
        engines.most_at_once = 0;
        let questions = engines.questions;
        let loads = engines.loads;
        engines.play(&mut plan, NOW + every * 4, every * 4, every);
        assert!(engines.most_at_once <= 8, "{} of 40 at once at {load_ms} ms", engines.most_at_once);
        let share = plan.load_time().as_secs_f64() / load_time.as_secs_f64();
        assert!((0.75..1.3).contains(&share), "{:?} expected at {load_ms} ms", plan.load_time());
        let (questions, loads) = (engines.questions - questions, engines.loads - loads);
        assert!(questions * 2 <= loads, "{questions} questions for {loads} loads at {load_ms} ms");
    }
}

/// An engine that starts again under its instance counts its orders from zero, and what it was
/// ordered before is forgotten: it is asked before it is ordered again.
#[test]
fn an_engine_that_starts_again_is_asked_before_it_is_ordered() {
    let mut plan = WeightPlan::new(WeightPlanSettings::default());
    let first = entry("a", &[("m", 1)]);
    sync(&mut plan, NOW, &["m"], std::slice::from_ref(&first));
    plan.target(&"m".into(), 2);
    let asked = plan.next_orders(NOW, |_| Some(0));
    assert_eq!(asked[0].orders_before, None);
    plan.reported(NOW, "a", 1, false, 7);
    let order = plan.next_orders(NOW, |_| Some(0)).remove(0);
    assert_eq!(order.orders_before, Some(7));
    plan.ordered(NOW, &order, OrderOutcome::Accepted, 7);
    assert!(plan.next_orders(NOW, |_| Some(0)).is_empty());
    let again = ServerEntry { started_ms: 2, ..first };
    sync(&mut plan, NOW, &["m"], std::slice::from_ref(&again));
    let asked = plan.next_orders(NOW, |_| Some(0));
    assert_eq!((asked.len(), asked[0].orders_before, asked[0].version), (1, None, 2));
}

/// Questions that come late, because answers of other engines are waited for, say nothing of how long
/// a load takes: only one that was seen under way does.
#[test]
fn a_late_question_does_not_make_loads_seem_longer() {
    let load_time = Duration::from_millis(900);
    let mut plan = WeightPlan::new(WeightPlanSettings::default());
    let mut engines = LoadingEngines::new(40, load_time);
    let (mut now, mut version) = (NOW, 1);
    for look in 0..60 {
        // Each look comes 1.7 s after the one before.
        if look % 3 == 0 {
            version += 1;
            plan.target(&"m".into(), version);
        }
        engines.finish_loads(now);
        sync(&mut plan, now, &["m"], &engines.entries());
        engines.carry_out(&mut plan, now);
        now = now + Duration::from_millis(1_700);
    }
    assert!(plan.load_time() <= Duration::from_millis(1_200), "{:?}", plan.load_time());
}

/// Steps of 176 items before engines with six places each need some sixty engines, however many there are.
#[test]
fn a_model_gets_the_engines_that_its_work_needs() {
    const NEED: usize = 60;
    let names = ["a", "b", "c"];
    for count in [90, 252, 1_000, 10_000, 20_000] {
        let all: Vec<ServerEntry> =
            (0..count).map(|number| entry(&format!("i-{number:05}"), &names.map(|name| (name, 1)))).collect();
        let mut plan = WeightPlan::new(WeightPlanSettings::default());
        names.iter().for_each(|name| plan.need(&(*name).into(), NEED));
        let decided = sync(&mut plan, NOW, &names, &all);
        assert_eq!(decided.len(), count.min(names.len() * NEED));
        names.iter().for_each(|name| plan.allow_lag(&(*name).into(), 1));
        names.iter().for_each(|name| plan.target(&(*name).into(), 2));
        let (mut orders, mut now) = (0, NOW);
        for _ in 0..40 {
            now = now + Duration::from_millis(100);
            orders += carry_out(&mut plan, now).len();
        }
        assert_eq!(orders, count.min(names.len() * NEED).div_ceil(2), "half of the engines of each, of {count}");
        // What is lost is replaced from those that nobody needed yet.
        let left: Vec<ServerEntry> = all
            .iter()
            .filter(|entry| !decided[..10].iter().any(|(lost, _)| *lost == entry.instance))
            .cloned()
            .collect();
        let replaced = sync(&mut plan, now, &names, &left);
        assert!(count == 90 || replaced.len() == 10, "{} of {count}", replaced.len());
        names.iter().for_each(|name| plan.need(&(*name).into(), 2 * NEED));
        sync(&mut plan, now, &names, &left);
        assert_eq!(plan.models().count(), left.len().min(names.len() * 2 * NEED), "more work gets more engines");
    }
}
