//! Jobs that this node is about to drive, so that a peer that asks does not take them over meanwhile.

use std::collections::HashMap;
use std::sync::Mutex;
use trestlerack::Name;

/// Jobs that this node is about to drive or to take over, with the number of tasks that do so.
#[derive(Debug, Default)]
pub struct StartingJobs {
    tasks: Mutex<HashMap<Name, usize>>,
}

/// Counts a job as starting until it is dropped.
pub struct StartGuard<'a> {
    jobs: &'a StartingJobs,
    job: Name,
}

impl StartingJobs {
    /// Counts a job as starting as long as the guard exists.
    pub fn begin(&self, job: &Name) -> StartGuard<'_> {
        *self.tasks.lock().unwrap().entry(job.clone()).or_default() += 1;
        StartGuard { jobs: self, job: job.clone() }
    }

    /// Returns whether a job is starting.
    pub fn contains(&self, job: &str) -> bool {
        self.tasks.lock().unwrap().contains_key(job)
    }
}

impl Drop for StartGuard<'_> {
    fn drop(&mut self) {
        let mut tasks = self.jobs.tasks.lock().unwrap();
        if let Some(count) = tasks.get_mut(&self.job) {
            *count -= 1;
            if *count == 0 {
                tasks.remove(&self.job);
            }
        }
    }
}
