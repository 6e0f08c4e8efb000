//! Engines reach the published weight versions with few loads, ordered by one lease holder at a time.

use std::collections::BTreeMap;
use std::time::Duration;
use trestlerack::process::ServerEntry;
use trestlerack::version::{
    DueOrder, EngineAssignment, ModelPlacement, OrderOutcome, WeightScheduler, WeightSchedulerSettings,
};
use trestlerack::{AllowedZones, Name, Timestamp};

const NOW: Timestamp = Timestamp(100_000);

fn entry(instance: &str, versions: &[(&str, u64)]) -> ServerEntry {
    ServerEntry {
        instance: instance.into(),
        service: "models".into(),
        address: "10.0.0.1:1".into(),
        zone: "z".into(),
        slots: 12,
        is_draining: false,
        cold_left_ms: 0,
        models: versions.iter().map(|(model, version)| (Name::from(*model), *version)).collect(),
        heartbeat: 1,
        started_ms: 1,
    }
}

fn models(names: &[&str]) -> Vec<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

fn sync(scheduler: &mut WeightScheduler, now: Timestamp, names: &[&str], entries: &[ServerEntry]) -> Vec<(Name, Name)> {
    scheduler.sync(now, &models(names), &entries.iter().collect::<Vec<_>>(), &BTreeMap::new())
}

fn engines(count: usize, versions: &[(&str, u64)]) -> Vec<ServerEntry> {
    (0..count).map(|number| entry(&format!("i-{number:02}"), versions)).collect()
}

/// Reports version 1 for each poll and accepts each order. Returns the orders.
fn accept_orders(scheduler: &mut WeightScheduler, now: Timestamp) -> Vec<DueOrder> {
    let mut accepted = Vec::new();
    for _ in 0..2 {
        for order in scheduler.next_orders(now, |_| Some(0)) {
            match order.orders_before {
                None => scheduler.record_report(now, &order.instance, 1, false, 0),
                Some(before) => {
                    scheduler.record_outcome(now, &order, OrderOutcome::Accepted, before);
                    accepted.push(order);
                }
            }
        }
    }
    accepted
}

#[test]
fn a_fifth_of_the_engines_but_at_least_two_load_at_once() {
    for (count, at_once) in [(1, 1), (3, 2), (11, 2), (44, 9)] {
        let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
        sync(&mut scheduler, NOW, &["m"], &engines(count, &[("m", 1)]));
        assert!(accept_orders(&mut scheduler, NOW).is_empty(), "no version was published yet");
        scheduler.raise_target(&"m".into(), 2);
        assert_eq!(accept_orders(&mut scheduler, NOW).len(), at_once, "of {count}");
        assert!(accept_orders(&mut scheduler, NOW).is_empty(), "the first engines are still loading");
    }
}

#[test]
fn each_engine_loads_a_version_at_most_once_and_may_skip_versions() {
    let entries = engines(5, &[("m", 1)]);
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    sync(&mut scheduler, NOW, &["m"], &entries);
    scheduler.raise_target(&"m".into(), 2);
    let mut loads: Vec<(Name, u64)> = Vec::new();
    let mut now = NOW;
    for step in 0..20 {
        now = now + Duration::from_millis(500);
        if step == 3 {
            scheduler.raise_target(&"m".into(), 3);
            scheduler.raise_target(&"m".into(), 2);
        }
        loads.extend(accept_orders(&mut scheduler, now).into_iter().map(|order| (order.instance, order.version)));
    }
    let newest = loads.iter().filter(|(_, version)| *version == 3).count();
    assert_eq!(newest, 5, "{loads:?}");
    assert!(loads.len() < 10, "engines that still had version 1 loaded version 3 directly: {loads:?}");
}

/// Publishes `versions` versions, one every four seconds, and returns the loads of each interval. Jobs accept
/// weights that are up to `lag` versions behind the newest one.
fn loads_by_version(count: usize, lag: u64, versions: u64) -> Vec<Vec<u64>> {
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    sync(&mut scheduler, NOW, &["m"], &engines(count, &[("m", 1)]));
    scheduler.set_accepted_lag(&"m".into(), lag);
    let mut now = NOW;
    let mut loads = Vec::new();
    for version in 2..2 + versions {
        scheduler.raise_target(&"m".into(), version);
        let mut of_version = Vec::new();
        for _ in 0..80 {
            now = now + Duration::from_millis(50);
            of_version.extend(accept_orders(&mut scheduler, now).into_iter().map(|order| order.version));
        }
        loads.push(of_version);
    }
    loads
}

#[test]
fn half_of_the_engines_load_each_version_while_jobs_accept_the_previous_one() {
    for loads in loads_by_version(10, 1, 6) {
        assert_eq!(loads.len(), 5, "{loads:?}");
    }
}

#[test]
fn all_engines_load_each_version_if_jobs_accept_only_the_newest() {
    for loads in loads_by_version(8, 0, 4) {
        assert_eq!(loads.len(), 8, "{loads:?}");
    }
}

#[test]
fn an_engine_with_a_version_that_no_job_accepts_loads_in_any_case() {
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    let mut entries = engines(4, &[("m", 5)]);
    entries[3].models = vec![("m".into(), 3)];
    sync(&mut scheduler, NOW, &["m"], &entries);
    scheduler.set_accepted_lag(&"m".into(), 1);
    scheduler.raise_target(&"m".into(), 5);
    let loads = accept_orders(&mut scheduler, NOW);
    assert_eq!(loads.iter().map(|order| &*order.instance).collect::<Vec<_>>(), ["i-03"]);
}

#[test]
fn engines_are_divided_among_models_and_keep_their_model() {
    let versions = [("a", 1), ("b", 1)];
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    let assigned = sync(&mut scheduler, NOW, &["a", "b"], &engines(9, &versions));
    assert_eq!(assigned.len(), 9);
    let on_a = scheduler.models().filter(|(_, model)| &***model == "a").count();
    assert!((4..=5).contains(&on_a));
    assert!(sync(&mut scheduler, NOW, &["a", "b"], &engines(9, &versions)).is_empty());
    let before: BTreeMap<Name, Name> = scheduler.models().map(|(name, model)| (name.clone(), model.clone())).collect();
    // Three engines of one model are lost. At most two of the others change their model.
    let lost: Vec<&Name> = before.iter().filter(|(_, model)| &***model == "b").map(|(name, _)| name).take(3).collect();
    let remaining: Vec<ServerEntry> =
        engines(9, &versions).into_iter().filter(|entry| !lost.contains(&&entry.instance)).collect();
    let moved = sync(&mut scheduler, NOW, &["a", "b"], &remaining);
    assert!(moved.len() <= 2, "{moved:?}");
    let on_a = scheduler.models().filter(|(_, model)| &***model == "a").count();
    assert_eq!(on_a, 3);
}

#[test]
fn the_stored_model_of_an_engine_is_kept() {
    let assignment = EngineAssignment {
        model: "b".into(),
        version: 4,
        ordered_ms: 1,
        tried_ms: 1,
        holder: "node-1".into(),
        load_ms: 0,
    };
    let stored: BTreeMap<Name, EngineAssignment> =
        (0..2).map(|number| (format!("i-{number:02}").into(), assignment.clone())).collect();
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    let entries = engines(2, &[("a", 1), ("b", 4)]);
    let assigned = scheduler.sync(NOW, &models(&["a", "b"]), &entries.iter().collect::<Vec<_>>(), &stored);
    assert_eq!(assigned.len(), 1, "only one engine moves, to balance the models: {assigned:?}");
}

#[test]
fn an_engine_is_polled_after_an_unknown_outcome() {
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    sync(&mut scheduler, NOW, &["m"], &engines(1, &[("m", 1)]));
    scheduler.raise_target(&"m".into(), 2);
    let poll = scheduler.next_orders(NOW, |_| Some(0)).remove(0);
    assert_eq!(poll.orders_before, None);
    scheduler.record_report(NOW, &poll.instance, 1, false, 3);
    let order = scheduler.next_orders(NOW, |_| Some(0)).remove(0);
    assert_eq!(order.orders_before, Some(3));
    scheduler.record_outcome(NOW, &order, OrderOutcome::Unknown, 3);
    assert!(scheduler.next_orders(NOW, |_| Some(0)).is_empty(), "the retry delay has not passed");
    let later = NOW + WeightSchedulerSettings::default().retry_delay;
    assert_eq!(scheduler.next_orders(later, |_| Some(0)).remove(0).orders_before, None);
}

#[test]
fn a_load_that_discovery_never_shows_is_ordered_again() {
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    let entries = engines(1, &[("m", 1)]);
    sync(&mut scheduler, NOW, &["m"], &entries);
    scheduler.raise_target(&"m".into(), 2);
    assert_eq!(accept_orders(&mut scheduler, NOW).len(), 1);
    let soon = NOW + Duration::from_secs(2);
    sync(&mut scheduler, soon, &["m"], &entries);
    assert!(accept_orders(&mut scheduler, soon).is_empty(), "the discovery timeout has not passed");
    let late = NOW + WeightSchedulerSettings::default().discovery_timeout;
    sync(&mut scheduler, late, &["m"], &entries);
    assert_eq!(accept_orders(&mut scheduler, late).len(), 1);
}

#[test]
fn a_new_holder_waits_after_the_last_attempt_of_the_previous_one_at_each_engine() {
    let handover = Duration::from_secs(3);
    let assignment = |holder: &str, tried_ms: u64| EngineAssignment {
        model: "m".into(),
        version: 2,
        ordered_ms: tried_ms,
        tried_ms,
        holder: holder.into(),
        load_ms: 0,
    };
    assert!(!assignment("old", 10_000).may_be_ordered_by("new", 12_999, handover));
    assert!(assignment("old", 10_000).may_be_ordered_by("new", 13_000, handover));
    assert!(assignment("old", 10_000).may_be_ordered_by("old", 10_001, handover));
    assert!(assignment("old", 0).may_be_ordered_by("new", 1, handover), "the engine was never ordered");
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    sync(&mut scheduler, NOW, &["m"], &engines(2, &[("m", 1)]));
    scheduler.raise_target(&"m".into(), 2);
    let due = scheduler.next_orders(NOW, |instance| (instance != "i-00").then_some(0));
    assert_eq!(due.len(), 1);
    assert_eq!(&*due[0].instance, "i-01");
}

/// A simulated engine.
#[derive(Default)]
struct FakeEngine {
    version: u64,
    /// End and version of the load in progress.
    loading: Option<(Timestamp, u64)>,
    orders: u64,
}

/// Simulated engines whose loads all take `load_time`.
struct FakeEngines {
    load_time: Duration,
    engines: BTreeMap<Name, FakeEngine>,
    polls: usize,
    loads: usize,
    max_parallel: usize,
}

impl FakeEngines {
    fn new(count: usize, load_time: Duration) -> Self {
        let engines = (0..count)
            .map(|number| (format!("i-{number:03}").into(), FakeEngine { version: 1, ..FakeEngine::default() }))
            .collect();
        Self { load_time, engines, polls: 0, loads: 0, max_parallel: 0 }
    }

    fn finish_loads(&mut self, now: Timestamp) {
        for engine in self.engines.values_mut() {
            if let Some((_, loaded)) = engine.loading.take_if(|(ends_at, _)| *ends_at <= now) {
                engine.version = loaded;
            }
        }
    }

    fn entries(&self) -> Vec<ServerEntry> {
        self.engines.iter().map(|(name, engine)| entry(name, &[("m", engine.version)])).collect()
    }

    fn handle_orders(&mut self, scheduler: &mut WeightScheduler, now: Timestamp) {
        for order in scheduler.next_orders(now, |_| Some(0)) {
            let engine = self.engines.get_mut(&order.instance).unwrap();
            match order.orders_before {
                None => {
                    self.polls += 1;
                    scheduler.record_report(
                        now,
                        &order.instance,
                        engine.version,
                        engine.loading.is_some(),
                        engine.orders,
                    );
                }
                Some(before) if engine.loading.is_some() || before != engine.orders => {
                    scheduler.record_outcome(now, &order, OrderOutcome::Refused, before);
                }
                Some(before) => {
                    engine.loading = Some((now + self.load_time, order.version));
                    engine.orders += 1;
                    self.loads += 1;
                    scheduler.record_outcome(now, &order, OrderOutcome::Accepted, before);
                }
            }
        }
        let parallel = self.engines.values().filter(|engine| engine.loading.is_some()).count();
        self.max_parallel = self.max_parallel.max(parallel);
    }

    /// Runs the scheduler for `span` with a new version in each `interval`.
    fn run(&mut self, scheduler: &mut WeightScheduler, start: Timestamp, span: Duration, interval: Duration) {
        let step = Duration::from_millis(20);
        let (mut elapsed, mut listed, mut version) = (Duration::ZERO, self.entries(), 1);
        while elapsed < span {
            let now = start + elapsed;
            self.finish_loads(now);
            if elapsed.as_millis().is_multiple_of(interval.as_millis()) {
                version += 1;
                scheduler.raise_target(&"m".into(), version);
            }
            if elapsed.as_millis().is_multiple_of(1_200) {
                listed = self.entries();
            }
            sync(scheduler, now, &["m"], &listed);
            self.handle_orders(scheduler, now);
            elapsed += step;
        }
    }
}

/// Loads take about a third, the same, three times and ten times as long as initially expected. After the first
/// four versions, no more engines load at the same time than allowed, and the expected time is close to the
/// actual one.
#[test]
fn the_rate_of_orders_follows_the_measured_load_times() {
    for load_ms in [300, 900, 2_700, 9_000] {
        let load_time = Duration::from_millis(load_ms);
        let mut scheduler = WeightScheduler::new(WeightSchedulerSettings {
            discovery_timeout: load_time * 5,
            ..WeightSchedulerSettings::default()
        });
        let mut engines = FakeEngines::new(40, load_time);
        let interval = load_time * 10;
        engines.run(&mut scheduler, NOW, interval * 4, interval);
        engines.max_parallel = 0;
        let polls = engines.polls;
        let loads = engines.loads;
        engines.run(&mut scheduler, NOW + interval * 4, interval * 4, interval);
        assert!(engines.max_parallel <= 8, "{} of 40 at once at {load_ms} ms", engines.max_parallel);
        let ratio = scheduler.load_time().as_secs_f64() / load_time.as_secs_f64();
        assert!((0.75..1.3).contains(&ratio), "{:?} expected at {load_ms} ms", scheduler.load_time());
        let (polls, loads) = (engines.polls - polls, engines.loads - loads);
        assert!(polls * 2 <= loads, "{polls} polls for {loads} loads at {load_ms} ms");
    }
}

/// An engine that restarts with the same instance id counts accepted orders from zero. Its earlier orders must
/// be discarded, and it must be polled before it is ordered again.
#[test]
fn a_restarted_engine_is_polled_before_it_is_ordered() {
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    let first = entry("a", &[("m", 1)]);
    sync(&mut scheduler, NOW, &["m"], std::slice::from_ref(&first));
    scheduler.raise_target(&"m".into(), 2);
    let polls = scheduler.next_orders(NOW, |_| Some(0));
    assert_eq!(polls[0].orders_before, None);
    scheduler.record_report(NOW, "a", 1, false, 7);
    let order = scheduler.next_orders(NOW, |_| Some(0)).remove(0);
    assert_eq!(order.orders_before, Some(7));
    scheduler.record_outcome(NOW, &order, OrderOutcome::Accepted, 7);
    assert!(scheduler.next_orders(NOW, |_| Some(0)).is_empty());
    let restarted = ServerEntry { started_ms: 2, ..first };
    sync(&mut scheduler, NOW, &["m"], std::slice::from_ref(&restarted));
    let polls = scheduler.next_orders(NOW, |_| Some(0));
    assert_eq!((polls.len(), polls[0].orders_before, polls[0].version), (1, None, 2));
}

/// A poll is late if the scheduler waits for the responses of other engines. Then the load may have ended long
/// before the poll, so the estimate must not rise unless a report showed the load in progress.
#[test]
fn late_polls_do_not_raise_the_estimated_load_time() {
    let load_time = Duration::from_millis(900);
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    let mut engines = FakeEngines::new(40, load_time);
    let (mut now, mut version) = (NOW, 1);
    for round in 0..60 {
        // There are 1.7 s between two rounds.
        if round % 3 == 0 {
            version += 1;
            scheduler.raise_target(&"m".into(), version);
        }
        engines.finish_loads(now);
        sync(&mut scheduler, now, &["m"], &engines.entries());
        engines.handle_orders(&mut scheduler, now);
        now = now + Duration::from_millis(1_700);
    }
    assert!(scheduler.load_time() <= Duration::from_millis(1_200), "{:?}", scheduler.load_time());
}

/// A step of 176 items needs about 60 engines with six slots each, regardless of the number of engines.
#[test]
fn a_model_is_assigned_as_many_engines_as_its_work_needs() {
    const NEED: usize = 60;
    let names = ["a", "b", "c"];
    for count in [90, 252, 1_000, 10_000, 20_000] {
        let all: Vec<ServerEntry> =
            (0..count).map(|number| entry(&format!("i-{number:05}"), &names.map(|name| (name, 1)))).collect();
        let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
        names.iter().for_each(|name| scheduler.set_needed_engines(&(*name).into(), NEED));
        let assigned = sync(&mut scheduler, NOW, &names, &all);
        assert_eq!(assigned.len(), count.min(names.len() * NEED));
        names.iter().for_each(|name| scheduler.set_accepted_lag(&(*name).into(), 1));
        names.iter().for_each(|name| scheduler.raise_target(&(*name).into(), 2));
        let (mut orders, mut now) = (0, NOW);
        for _ in 0..40 {
            now = now + Duration::from_millis(100);
            orders += accept_orders(&mut scheduler, now).len();
        }
        assert_eq!(
            orders,
            count.min(names.len() * NEED).div_ceil(2),
            "half of the engines of each model, of {count} engines"
        );
        // Lost engines are replaced by engines without a model.
        let remaining: Vec<ServerEntry> = all
            .iter()
            .filter(|entry| !assigned[..10].iter().any(|(lost, _)| *lost == entry.instance))
            .cloned()
            .collect();
        let replaced = sync(&mut scheduler, now, &names, &remaining);
        assert!(count == 90 || replaced.len() == 10, "{} of {count}", replaced.len());
        names.iter().for_each(|name| scheduler.set_needed_engines(&(*name).into(), 2 * NEED));
        sync(&mut scheduler, now, &names, &remaining);
        assert_eq!(
            scheduler.models().count(),
            remaining.len().min(names.len() * 2 * NEED),
            "more work is assigned more engines"
        );
    }
}

/// Guards against assigning engines to a model whose jobs may not run in their zones: with an even division it could
/// use a third of the engines in its zone and none of the others.
#[test]
fn a_model_of_one_zone_gets_the_engines_of_that_zone_and_gives_up_the_others() {
    let names = ["anywhere-1", "anywhere-2", "in-zone-0"];
    let mut scheduler = WeightScheduler::new(WeightSchedulerSettings::default());
    let zone = |number: usize| format!("zone-{}", number % 3).into();
    let entries: Vec<ServerEntry> = engines(48, &[("anywhere-1", 1), ("anywhere-2", 1), ("in-zone-0", 1)])
        .into_iter()
        .enumerate()
        .map(|(number, entry)| ServerEntry { zone: zone(number), ..entry })
        .collect();
    let count = |scheduler: &WeightScheduler, model: &str, zone: &str| {
        let zone_of = |instance: &Name| &entries.iter().find(|entry| entry.instance == *instance).unwrap().zone;
        scheduler.models().filter(|(instance, name)| ***name == *model && **zone_of(instance) == *zone).count()
    };
    sync(&mut scheduler, Timestamp(0), &names, &entries);
    assert_eq!(scheduler.models().filter(|(_, model)| ***model == *"in-zone-0").count(), 16);

    let mut placement = ModelPlacement::default();
    placement.set(&"in-zone-0".into(), Some(AllowedZones::new(["zone-0".into()])));
    scheduler.set_placement(placement.clone());
    let moved = sync(&mut scheduler, Timestamp(1), &names, &entries);
    assert!(!moved.is_empty());
    assert_eq!(count(&scheduler, "in-zone-0", "zone-0"), 16);
    for model in ["anywhere-1", "anywhere-2"] {
        assert_eq!(count(&scheduler, model, "zone-1") + count(&scheduler, model, "zone-2"), 16, "{model}");
    }
    assert_eq!(sync(&mut scheduler, Timestamp(2), &names, &entries), [], "a division that holds is not changed");

    // Half of the zone's engines are lost: the others stay with the model that can use no engine elsewhere.
    let left: Vec<ServerEntry> =
        entries.iter().enumerate().filter(|(n, _)| n % 6 != 0).map(|(_, e)| e.clone()).collect();
    sync(&mut scheduler, Timestamp(3), &names, &left);
    assert_eq!(count(&scheduler, "in-zone-0", "zone-0"), 8);
}
