//! Jobs without a driver that wait, because the only nodes that may take them over are missing or do not respond.
//!
//! A job waits rather than be driven where its data may not be, so an operator has to know of it.

use super::job_placement::{previous_zone, record_placement};
use crate::process::{clock, logs};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::sync::Mutex;
use std::time::Duration;
use trestlerack::process::{TakeoverObstacle, TakeoverRule};
use trestlerack::request::JobRecord;
use trestlerack::version::{RoutingTable, ZoneMap};
use trestlerack::{Name, event};

/// Interval between two checks of all jobs that this node may not take over.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a change of a job after which its owner is probed. Nodes that may take a job over wait as long.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);

/// The same while registered nodes may take the job over. It exceeds their delays by rank and failed probes.
const OTHER_NODES_SILENCE_LIMIT: Duration = Duration::from_secs(5);

/// Number of failed probes in a row after which an owner counts as lost.
const MAX_FAILED_PROBES: u32 = 2;

/// An open job that this node may not take over.
pub struct ReservedJob {
    /// The job.
    pub job: Name,
    /// Route of the job.
    pub route: Name,
    /// Customer that the job belongs to.
    pub customer: Option<Name>,
    /// Name of the owner; empty if the job was released.
    pub owner: Name,
    /// Address of the owner; `None` if no process may drive the job.
    pub owner_address: Option<Name>,
    /// Time since the last change of the job.
    pub silent_for: Duration,
    /// Why this node leaves the job to others.
    pub obstacle: TakeoverObstacle,
}

/// What this node knows when it decides which jobs it may not take over.
pub struct TakeoverView<'a> {
    /// Configuration.
    pub routing: &'a RoutingTable,
    /// Regions of the availability zones.
    pub zones: &'a ZoneMap,
    /// Name of this node.
    pub own_name: &'a Name,
    /// Availability zone of this node.
    pub own_zone: &'a Name,
    /// Registered nodes with their zones.
    pub nodes: &'a [(Name, Name)],
}

impl TakeoverView<'_> {
    /// Describes an open job that this node does not drive; `None` if this node may take it over. The job has not
    /// changed for `silent_for`.
    pub fn reserved_job(&self, job: Name, record: JobRecord, silent_for: Duration) -> Option<ReservedJob> {
        let route = self.routing.select(&record.host, &record.path)?.name.clone();
        let placement = record_placement(Some(self.routing), &record.host, &record.path, record.customer.as_ref());
        let registered = |owner: &Name| self.nodes.iter().find(|(name, _)| name == owner).map(|(_, zone)| zone.clone());
        let owner_zone = previous_zone(&record, registered);
        let rule = TakeoverRule { placement: &placement, zones: self.zones, previous_zone: owner_zone.as_deref() };
        let others = self.nodes.iter().filter(|(name, _)| *name != record.owner).map(|(_, zone)| &**zone);
        let obstacle = rule.obstacle(self.own_zone, others)?;
        // An earlier process of this node drives nothing any more.
        let may_be_driven = !record.owner.is_empty() && record.owner != *self.own_name;
        Some(ReservedJob {
            job,
            route,
            customer: record.customer,
            owner_address: may_be_driven.then_some(record.owner_address),
            owner: record.owner,
            silent_for,
            obstacle,
        })
    }
}

impl ReservedJob {
    fn is_silent(&self) -> bool {
        let limit = match self.obstacle {
            TakeoverObstacle::NoNode => SILENCE_LIMIT,
            TakeoverObstacle::OtherNodes => OTHER_NODES_SILENCE_LIMIT,
        };
        self.silent_for >= limit
    }
}

#[derive(Default)]
struct JobWait {
    route: Name,
    customer: Option<Name>,
    failed_probes: u32,
    is_waiting: bool,
    logged: BTreeSet<TakeoverObstacle>,
}

/// The jobs that wait, as this node knows.
#[derive(Default)]
pub struct WaitingJobs {
    jobs: Mutex<BTreeMap<Name, JobWait>>,
}

impl WaitingJobs {
    /// Returns the number of waiting jobs of a route whose customer matches.
    pub fn count(&self, route: &Name, is_customer: impl Fn(Option<&Name>) -> bool) -> usize {
        let jobs = self.jobs.lock().unwrap();
        let waiting = jobs.values().filter(|wait| wait.is_waiting && wait.route == *route);
        waiting.filter(|wait| is_customer(wait.customer.as_ref())).count()
    }

    /// Forgets all jobs that are not among `reserved`.
    fn retain(&self, reserved: &[ReservedJob]) {
        self.jobs.lock().unwrap().retain(|job, _| reserved.iter().any(|candidate| candidate.job == *job));
    }

    /// Records whether a process drives a job; `None` if its owner did not answer. Returns whether the job waits for a
    /// cause that was not logged yet.
    fn record(&self, reserved: &ReservedJob, is_driven: Option<bool>) -> bool {
        let mut jobs = self.jobs.lock().unwrap();
        let wait = jobs.entry(reserved.job.clone()).or_default();
        (wait.route, wait.customer) = (reserved.route.clone(), reserved.customer.clone());
        wait.failed_probes = if is_driven.is_none() { wait.failed_probes + 1 } else { 0 };
        wait.is_waiting = is_driven == Some(false) || wait.failed_probes >= MAX_FAILED_PROBES;
        wait.is_waiting && wait.logged.insert(reserved.obstacle)
    }
}

/// Finds out which jobs wait and logs each once for each cause, until the process ends. `reserved_jobs` returns the
/// jobs to check. `probe_owner` asks the node with an address whether it drives a job, and returns `None` if it does not
/// answer. The owners are probed here and not where jobs are taken over, since each probe of a lost owner takes until its
/// time limit.
pub async fn report_waiting_jobs<F: Future<Output = Option<bool>>>(
    waiting: &WaitingJobs,
    probe_owner: impl Fn(Name, Name) -> F,
    reserved_jobs: impl Fn() -> Vec<ReservedJob>,
) {
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        let reserved = reserved_jobs();
        waiting.retain(&reserved);
        for candidate in &reserved {
            let is_driven = match &candidate.owner_address {
                _ if !candidate.is_silent() => Some(true),
                None => Some(false),
                Some(address) => probe_owner(address.clone(), candidate.job.clone()).await,
            };
            if waiting.record(candidate, is_driven) {
                let why = candidate.obstacle.as_str();
                let fields: [(&str, &dyn Display); 4] =
                    [("job", &candidate.job), ("route", &candidate.route), ("owner", &candidate.owner), ("why", &why)];
                logs::write(event::JOB_WAITS_FOR_NODE, &fields);
            }
        }
    }
}
