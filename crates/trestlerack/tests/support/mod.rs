//! Test doubles: a store with seeded faults, and a scheduler that interleaves tasks and kills them at any
//! point.

#![allow(dead_code, reason = "each test file uses a part of it")]

use async_trait::async_trait;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::sync::Mutex;
use std::task::{Context, Poll, Waker};
use trestlerack::interfaces::{CommitOutcome, ObjectStore, StoreError, TableRow, TableStore, TableTransaction};

/// Checks a property for many seeds, which are the same in every run.
pub fn for_seeds(iterations: usize, check: impl Fn(u64) + std::panic::RefUnwindSafe) {
    bolero::check!().with_type::<u64>().cloned().with_iterations(iterations).for_each(check);
}

/// Faults of a fake store.
#[derive(Clone, Copy, Debug)]
pub struct FaultPlan {
    /// Percentage of calls that fail.
    pub percent: u32,
    /// Whether writes are applied even if their preconditions do not hold, which a correct store never does.
    pub ignores_preconditions: bool,
}

/// A correct store with frequent faults.
pub const SOUND: FaultPlan = FaultPlan { percent: 25, ignores_preconditions: false };
/// An incorrect store, to show that a checker detects one.
pub const UNSOUND: FaultPlan = FaultPlan { percent: 25, ignores_preconditions: true };

struct State {
    plan: FaultPlan,
    random: Pcg64Mcg,
    rows: BTreeMap<String, TableRow>,
    objects: BTreeMap<String, Vec<u8>>,
    last_version: u64,
    /// Transactions that the store will apply later, although the caller was told that their outcome is
    /// unknown.
    delayed: Vec<TableTransaction>,
}

/// An in-memory table service and object store.
pub struct FakeStore {
    state: Mutex<State>,
}

enum Fault {
    None,
    Rejected,
    ResponseLost,
    RequestLost,
    Delayed,
}

impl FakeStore {
    pub fn new(seed: u64, plan: FaultPlan) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        let state = State {
            plan,
            random,
            rows: BTreeMap::new(),
            objects: BTreeMap::new(),
            last_version: 0,
            delayed: Vec::new(),
        };
        Self { state: Mutex::new(state) }
    }

    /// Ends all faults and applies the delayed transactions.
    pub fn heal(&self) {
        let mut state = self.state.lock().unwrap();
        state.plan.percent = 0;
        for transaction in std::mem::take(&mut state.delayed) {
            state.apply(transaction);
        }
    }

    /// Returns the rows whose keys start with `prefix`.
    pub fn rows(&self, prefix: &str) -> Vec<TableRow> {
        let state = self.state.lock().unwrap();
        state.rows.values().filter(|row| row.key.starts_with(prefix)).cloned().collect()
    }
}

impl State {
    fn draw_fault(&mut self) -> Fault {
        if !self.random.random_ratio(self.plan.percent, 100) {
            return Fault::None;
        }
        match self.random.random_range(0..4) {
            0 => Fault::Rejected,
            1 => Fault::ResponseLost,
            2 => Fault::RequestLost,
            _ => Fault::Delayed,
        }
    }

    fn apply(&mut self, transaction: TableTransaction) -> CommitOutcome {
        let holds = transaction.is_applicable(|key| self.rows.get(key).map(|row| row.version));
        if !self.plan.ignores_preconditions && !holds {
            return CommitOutcome::Conflict;
        }
        for (key, value) in transaction.write {
            self.last_version += 1;
            let version = self.last_version;
            match value {
                Some(value) => self.rows.insert(key.clone(), TableRow { key, version, value }),
                None => self.rows.remove(&key),
            };
        }
        CommitOutcome::Committed
    }

    fn apply_some_delayed(&mut self) {
        if !self.delayed.is_empty() && self.random.random_ratio(1, 3) {
            let transaction = self.delayed.remove(0);
            self.apply(transaction);
        }
    }
}

#[async_trait]
impl TableStore for FakeStore {
    async fn read(&self, key: &str) -> Result<Option<TableRow>, StoreError> {
        yield_now().await;
        let mut state = self.state.lock().unwrap();
        state.apply_some_delayed();
        match state.draw_fault() {
            Fault::None => Ok(state.rows.get(key).cloned()),
            _ => Err(StoreError::Unavailable),
        }
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<TableRow>, StoreError> {
        yield_now().await;
        let mut state = self.state.lock().unwrap();
        state.apply_some_delayed();
        match state.draw_fault() {
            Fault::None => {
                let found = state.rows.values().filter(|row| row.key.starts_with(prefix) && row.key.as_str() > after);
                Ok(found.take(limit).cloned().collect())
            }
            _ => Err(StoreError::Unavailable),
        }
    }

    async fn commit(&self, transaction: TableTransaction) -> Result<CommitOutcome, StoreError> {
        yield_now().await;
        let outcome = {
            let mut state = self.state.lock().unwrap();
            state.apply_some_delayed();
            match state.draw_fault() {
                Fault::None => Ok(state.apply(transaction)),
                Fault::Rejected => Err(StoreError::Unavailable),
                Fault::RequestLost => Err(StoreError::Unknown),
                Fault::ResponseLost => {
                    state.apply(transaction);
                    Err(StoreError::Unknown)
                }
                Fault::Delayed => {
                    state.delayed.push(transaction);
                    Err(StoreError::Unknown)
                }
            }
        };
        // The response takes time as well, so a task can be killed after its write took effect.
        yield_now().await;
        outcome
    }
}

#[async_trait]
impl ObjectStore for FakeStore {
    async fn put(&self, key: &str, content: Vec<u8>) -> Result<(), StoreError> {
        yield_now().await;
        let mut state = self.state.lock().unwrap();
        match state.draw_fault() {
            Fault::Rejected => return Err(StoreError::Unavailable),
            Fault::RequestLost => return Err(StoreError::Unknown),
            _ => {}
        }
        state.objects.insert(key.to_owned(), content);
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Option<Vec<u8>>, StoreError> {
        yield_now().await;
        let mut state = self.state.lock().unwrap();
        match state.draw_fault() {
            Fault::None => Ok(state.objects.get(key).cloned()),
            _ => Err(StoreError::Unavailable),
        }
    }
}

/// Yields once to the scheduler, which may then run another task.
pub async fn yield_now() {
    let mut is_first = true;
    std::future::poll_fn(|_| if std::mem::take(&mut is_first) { Poll::Pending } else { Poll::Ready(()) }).await;
}

type Task<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Polls tasks in a seeded random order and kills some of them before they end.
pub struct Scheduler<'a> {
    random: Pcg64Mcg,
    tasks: Vec<Task<'a>>,
    kill_permille: u32,
}

impl<'a> Scheduler<'a> {
    pub fn new(seed: u64, kill_permille: u32) -> Self {
        Self { random: Pcg64Mcg::seed_from_u64(seed ^ 0x5eed), tasks: Vec::new(), kill_permille }
    }

    pub fn spawn(&mut self, task: impl Future<Output = ()> + 'a) {
        self.tasks.push(Box::pin(task));
    }

    /// Runs until every task has ended or was killed.
    pub fn run(mut self) {
        let mut context = Context::from_waker(Waker::noop());
        while !self.tasks.is_empty() {
            let index = self.random.random_range(0..self.tasks.len());
            let is_killed = self.random.random_ratio(self.kill_permille, 1_000);
            if is_killed || self.tasks[index].as_mut().poll(&mut context).is_ready() {
                drop(self.tasks.swap_remove(index));
            }
        }
    }
}

/// Polls one task until it ends.
pub fn block_on<T>(task: impl Future<Output = T>) -> T {
    let mut task = Box::pin(task);
    let mut context = Context::from_waker(Waker::noop());
    loop {
        if let Poll::Ready(value) = task.as_mut().poll(&mut context) {
            return value;
        }
    }
}

/// Returns the number of seeds below `seeds` for which `check` panics, to test that a checker can fail.
pub fn count_failures(seeds: u64, check: impl Fn(u64) + std::panic::RefUnwindSafe) -> usize {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let failed = (0..seeds).filter(|seed| std::panic::catch_unwind(|| check(*seed)).is_err()).count();
    std::panic::set_hook(hook);
    failed
}
