//! Removes the rows of expired jobs, which bounds the size of the store and the memory of the nodes.

use super::node::EntryNode;
use super::{job_calls, suspects, tables};
use crate::process::clock;
use crate::process::logs;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::{Name, event};

/// Interval between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Number of sweeps after which one also removes old crash reports; those are kept for minutes.
const SWEEPS_PER_SUSPECT_SWEEP: u32 = 30;

/// Removes expired jobs until the process ends. Only the holder of the order lease does so, which avoids that
/// several nodes remove the same rows.
pub async fn sweep(node: Arc<EntryNode>) {
    let mut sweeps: u32 = 0;
    loop {
        clock::sleep(SWEEP_INTERVAL).await;
        if !holds_lease(&node) {
            continue;
        }
        sweeps += 1;
        if sweeps.is_multiple_of(SWEEPS_PER_SUSPECT_SWEEP)
            && let Err(error) = suspects::sweep_rows(&node).await
        {
            logs::write(event::ROW_REFUSED, &[("key", &tables::SUSPECTS), ("why", &error)]);
        }
        for job in expired_jobs(&node) {
            match remove_job(&node, &job).await {
                Ok(()) => logs::write(event::JOB_REMOVED, &[("job", &job)]),
                // A later sweep removes the remaining rows.
                Err(error) => logs::write(event::ROW_REFUSED, &[("key", &job), ("why", &error)]),
            }
        }
    }
}

fn holds_lease(node: &EntryNode) -> bool {
    let row = node.lease.row();
    row.is_some_and(|row| row.holder == node.settings.name && row.incarnation == node.incarnation)
}

/// Returns the jobs that a client has ended, and whose retention time since their acceptance has passed. A job that
/// nobody has ended can still be read, also if it is complete.
fn expired_jobs(node: &EntryNode) -> Vec<Name> {
    let clock_ms = node.store.clock_ms();
    let retention_ms = node.settings.retention_s * 1_000;
    let jobs = node.jobs.lock().unwrap();
    let is_expired =
        |view: &super::node::JobView| view.is_ended && clock_ms.saturating_sub(view.record.accepted_ms) >= retention_ms;
    jobs.iter().filter(|(_, view)| is_expired(view)).map(|(id, _)| id.clone()).collect()
}

/// Removes a job's object and rows. The record goes last: while it exists, the next lease holder can finish a
/// removal that this node could not.
async fn remove_job(node: &Arc<EntryNode>, job: &Name) -> Result<(), StoreError> {
    if let Some(view) = node.job(job).filter(|view| view.record.spec_rows == 0) {
        let name = job_calls::spec_object(job, view.record.digest);
        node.store.call(&StoreCall::RemoveObject { name }).await?;
    }
    for table in [tables::RESULTS, tables::SPECS, tables::CHECKPOINTS, tables::FAILURES, tables::STATE] {
        let rows = tables::read_all(&node.store, table, job).await?;
        let keys: Vec<Name> = rows.into_iter().map(|row| row.key).collect();
        for keys in keys.chunks(tables::MAX_COMMIT_ROWS) {
            let transaction = keys.iter().fold(RowTransaction::new(job.clone()), |tx, key| tx.remove(table, key));
            match node.store.call(&StoreCall::Commit(transaction)).await? {
                StoreReply::Committed(_) => {}
                _ => return Err(StoreError::Unknown),
            }
        }
    }
    node.forget_job(job);
    Ok(())
}
