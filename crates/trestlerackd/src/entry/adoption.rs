//! Takes over jobs whose owner is gone.
//!
//! Any node may take a job by a conditional write of its head; the writes of the node before it
//! then fail. Who looks first is decided by rank, so that nodes rarely race.

use super::job_driver;
use super::node::{EntryNode, JobView};
use super::{job_calls, tables};
use crate::process::clock;
use crate::process::logs;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::process::{node_partition, successor_rank};
use trestlerack::request::JobRecord;
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::{Name, Timestamp, event};

/// Interval between two looks at all open jobs.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without news of a job after which its first two successors ask its owner.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// The same for every other node, and what each further rank adds.
const QUIET_TIME_OTHERS: Duration = Duration::from_millis(1_500);
const RANK_TIME: Duration = Duration::from_millis(200);

/// Nodes that ask the owner early.
const SUCCESSORS: usize = 2;

/// Time between two questions about one job.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

/// Questions without an answer after which the owner counts as gone.
const STRIKES: u32 = 2;

/// What this node asked about a job.
#[derive(Default)]
struct JobSuspicion {
    asked_at: Timestamp,
    strikes: u32,
    unclaimed_since: Option<Timestamp>,
}

/// Looks after open jobs until the process ends.
pub async fn watch_owners(node: Arc<EntryNode>) {
    let mut suspicions: HashMap<Name, JobSuspicion> = HashMap::new();
    loop {
        clock::sleep(LOOK_INTERVAL).await;
        // Only a node that follows the store sees each change of a job.
        node.levels.wait_direct().await;
        if node.is_stopping() || node.routing().is_none() {
            continue;
        }
        let open = open_jobs(&node);
        suspicions.retain(|job, _| open.iter().any(|(id, _)| id == job));
        for (job, view) in open {
            if is_own(&node, &view.record) {
                drive_assigned(&node, &job).await;
                continue;
            }
            let suspicion = suspicions.entry(job.clone()).or_default();
            if is_due(&node, &job, &view, suspicion).await {
                let is_silent = suspicion.strikes >= STRIKES;
                take_over(&node, &job).await;
                if is_silent {
                    unlist(&node, &view.record.owner).await;
                }
            }
        }
    }
}

fn open_jobs(node: &EntryNode) -> Vec<(Name, JobView)> {
    let drivers = node.drivers.lock().unwrap();
    let jobs = node.jobs.lock().unwrap();
    let is_open = |id: &Name, view: &JobView| !view.is_ended && !view.record.is_complete() && !drivers.contains_key(id);
    jobs.iter().filter(|(id, view)| is_open(id, view)).map(|(id, view)| (id.clone(), view.clone())).collect()
}

fn is_own(node: &EntryNode, head: &JobRecord) -> bool {
    head.owner == node.settings.name && head.incarnation == node.incarnation
}

/// Drives a job that names this node as its owner. Returns whether it is driven here now.
pub async fn drive_assigned(node: &Arc<EntryNode>, job: &Name) -> bool {
    let is_driven = || node.drivers.lock().unwrap().contains_key(job);
    if is_driven() {
        return true;
    }
    if node.is_stopping() {
        return false;
    }
    let Ok((head, version, is_ended)) = read_head(node, job).await else { return false };
    if is_ended || !is_own(node, &head) {
        return false;
    }
    let Ok(spec) = job_calls::load_spec(node, job, &head).await else { return false };
    node.merge_job_record(head.clone(), version, job);
    job_driver::start(node, Arc::new(spec), head, version);
    true
}

async fn read_head(node: &Arc<EntryNode>, job: &Name) -> Result<(JobRecord, u64, bool), StoreError> {
    let rows = tables::read_all(&node.store, tables::STATE, job).await?;
    let is_ended = rows.iter().any(|row| &*row.key == tables::JOB_END);
    let row = rows.into_iter().find(|row| &*row.key == tables::JOB_RECORD).ok_or(StoreError::Unknown)?;
    Ok((tables::decode(&row.value)?, row.version, is_ended))
}

/// Asks the owner of a job that was just accepted to drive it, and takes the job over if the
/// owner does not.
pub async fn ensure_driven(node: Arc<EntryNode>, job: Name, head: JobRecord) {
    for _ in 0..STRIKES {
        if node.peers.drive(&head.owner_address, &job).await == Some(true) {
            return;
        }
    }
    logs::write(event::OWNER_SILENT, &[("job", &job), ("owner", &head.owner), ("strikes", &STRIKES)]);
    take_over(&node, &job).await;
    unlist(&node, &head.owner).await;
}

/// Removes the row of a node that does not answer, if it is as it was last read. A VM that is gone for
/// good would be given the next job of its model again and again, and each would wait for it; a
/// node that lives, and was cut off or frozen, writes its row again when it hears of this.
async fn unlist(node: &Arc<EntryNode>, name: &Name) {
    let Some(version) = node.peers.row_version(name) else { return };
    let transaction = RowTransaction::new(node_partition(name)).expect(tables::STATE, name, version);
    let call = StoreCall::Commit(transaction.remove(tables::STATE, name));
    let why = match node.store.call(&call).await {
        Ok(StoreReply::Committed(moment)) => {
            node.peers.put(name, moment.version, None);
            "it does not answer".to_owned()
        }
        Ok(_) => "its row has changed and stays".to_owned(),
        Err(error) => format!("its row may stay: {error}"),
    };
    logs::write(event::NODE_UNLISTED, &[("node", name), ("why", &why)]);
}

/// Returns this node's place in the line of a job's successors.
fn rank(node: &EntryNode, job: &Name, owner: &Name) -> usize {
    let mut others = node.peers.capacities();
    others.retain(|(name, _)| name != owner && node.levels.is_follower(name));
    successor_rank(job, (&node.settings.name, node.settings.capacity()), &others)
}

async fn is_due(node: &Arc<EntryNode>, job: &Name, view: &JobView, suspicion: &mut JobSuspicion) -> bool {
    let now = node.now();
    let head = &view.record;
    if head.owner == node.settings.name {
        return head.incarnation != node.incarnation;
    }
    let rank = rank(node, job, &head.owner);
    let rank_time = RANK_TIME * u32::try_from(rank).unwrap_or(u32::MAX);
    if head.owner.is_empty() {
        let since = *suspicion.unclaimed_since.get_or_insert(now);
        return now.since(since) >= rank_time;
    }
    suspicion.unclaimed_since = None;
    let quiet_time = if rank < SUCCESSORS { QUIET_TIME } else { QUIET_TIME_OTHERS + rank_time };
    let is_quiet = now.since(view.changed_at) >= quiet_time;
    if !is_quiet || now.since(suspicion.asked_at) < ASK_INTERVAL {
        return false;
    }
    suspicion.asked_at = now;
    match node.peers.is_driving(&head.owner_address, job).await {
        Some(true) => {
            suspicion.strikes = 0;
            false
        }
        Some(false) => true,
        None => {
            suspicion.strikes += 1;
            logs::write(event::OWNER_SILENT, &[("job", job), ("owner", &head.owner), ("strikes", &suspicion.strikes)]);
            suspicion.strikes >= STRIKES
        }
    }
}

/// Takes a job over, on condition that its head is as it was read just now.
async fn take_over(node: &Arc<EntryNode>, job: &Name) {
    let why = match try_take_over(node, job).await {
        Ok(true) => return,
        Ok(false) => "the job is ended or has another owner".to_owned(),
        Err(error) => error.to_string(),
    };
    logs::write(event::JOB_NOT_TAKEN, &[("job", job), ("why", &why)]);
}

async fn try_take_over(node: &Arc<EntryNode>, job: &Name) -> Result<bool, StoreError> {
    let seen = node.job(job).ok_or(StoreError::Unknown)?;
    let (held, version, is_ended) = read_head(node, job).await?;
    if is_ended {
        node.record_job_end(job);
        return Ok(false);
    }
    if held.fence != seen.record.fence || held.owner != seen.record.owner {
        node.merge_job_record(held, version, job);
        return Ok(false);
    }
    let spec = Arc::new(job_calls::load_spec(node, job, &held).await?);
    let head = JobRecord {
        owner: node.settings.name.clone(),
        owner_address: node.settings.peer_listen.clone(),
        incarnation: node.incarnation,
        fence: held.fence + 1,
        write_id: node.write_id(),
        ..held.clone()
    };
    let transaction = RowTransaction::new(job.clone()).expect(tables::STATE, tables::JOB_RECORD, version).put(
        tables::STATE,
        tables::JOB_RECORD,
        tables::encode(&head),
    );
    match node.store.call(&StoreCall::Commit(transaction)).await? {
        StoreReply::Committed(moment) => {
            let fields: [(&str, &dyn std::fmt::Display); 4] =
                [("job", job), ("from", &held.owner), ("fence", &head.fence), ("listed", &head.recorded)];
            logs::write(event::JOB_TAKEN, &fields);
            node.merge_job_record(head.clone(), moment.version, job);
            job_driver::start(node, spec, head, moment.version);
            Ok(true)
        }
        StoreReply::Conflict(_) => Ok(false),
        _ => Err(StoreError::Unknown),
    }
}
