//! Removes the rows of old jobs, so that the store and the nodes' memory stay bounded.

use super::node::EntryNode;
use super::{job_calls, suspects, tables};
use crate::process::clock;
use crate::process::logs;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::rows::{RowStore, RowTransaction, StoreCall, StoreReply};
use trestlerack::{Name, event};

/// Interval between two looks for old jobs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Looks after which old strikes are looked for too; they are kept for minutes.
const LOOKS_FOR_STRIKES: u32 = 30;

/// Removes old jobs for as long as the process lives; only the holder of the order lease does, so
/// that each row is removed once.
pub async fn sweep(node: Arc<EntryNode>) {
    let mut looks: u32 = 0;
    loop {
        clock::sleep(SWEEP_INTERVAL).await;
        if !holds_lease(&node) {
            continue;
        }
        looks += 1;
        if looks.is_multiple_of(LOOKS_FOR_STRIKES)
            && let Err(error) = suspects::sweep_rows(&node).await
        {
            logs::write(event::ROW_REFUSED, &[("key", &tables::SUSPECTS), ("why", &error)]);
        }
        for job in old_jobs(&node) {
            match remove_job(&node, &job).await {
                Ok(()) => logs::write(event::JOB_REMOVED, &[("job", &job)]),
                // The rows that are left are removed at a later look.
                Err(error) => logs::write(event::ROW_REFUSED, &[("key", &job), ("why", &error)]),
            }
        }
    }
}

fn holds_lease(node: &EntryNode) -> bool {
    let row = node.lease.row();
    row.is_some_and(|row| row.holder == node.settings.name && row.incarnation == node.incarnation)
}

/// Returns the jobs that are over and were submitted long enough ago.
fn old_jobs(node: &EntryNode) -> Vec<Name> {
    let clock_ms = node.store.clock_ms();
    let retention_ms = node.settings.retention_s * 1_000;
    let jobs = node.jobs.lock().unwrap();
    let is_old = |view: &super::node::JobView| {
        let is_over = view.is_ended || view.record.is_complete();
        is_over && clock_ms.saturating_sub(view.record.accepted_ms) >= retention_ms
    };
    jobs.iter().filter(|(_, view)| is_old(view)).map(|(id, _)| id.clone()).collect()
}

/// Removes a job's object and rows, its head last: while that is there, a node that stops in between leaves
/// the rest to the next holder of the lease.
async fn remove_job(node: &Arc<EntryNode>, job: &Name) -> Result<(), StoreError> {
    if let Some(view) = node.job(job).filter(|view| view.record.spec_rows == 0) {
        let name = job_calls::spec_object(job, view.record.digest);
        node.store.call(&StoreCall::RemoveObject { name }).await?;
    }
    for table in [tables::RESULTS, tables::SPECS, tables::CHECKPOINTS, tables::STATE] {
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
