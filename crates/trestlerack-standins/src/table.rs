//! The transactional table service.

use crate::faults::{FaultMode, Faults};
use crate::server::{Answer, ReadRequest, ServerOptions, finish, json, serve, status};
use hyper::StatusCode;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use trestlerack::interfaces::{CommitOutcome, TableRow, TableTransaction};

#[derive(Default)]
struct Rows {
    rows: BTreeMap<String, TableRow>,
    last_version: u64,
}

impl Rows {
    fn commit(&mut self, transaction: TableTransaction) -> CommitOutcome {
        if !transaction.is_applicable(|key| self.rows.get(key).map(|row| row.version)) {
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
}

#[derive(Default)]
struct Table {
    rows: Mutex<Rows>,
    faults: Faults,
    reads: AtomicU64,
    writes: AtomicU64,
}

#[derive(Deserialize)]
struct ReadBody {
    key: String,
}

#[derive(Deserialize)]
struct ScanBody {
    prefix: String,
    after: String,
    limit: usize,
}

/// Runs the table service.
pub async fn run(mut arguments: pico_args::Arguments) -> anyhow::Result<()> {
    let options = ServerOptions::parse(&mut arguments)?;
    finish(arguments)?;
    serve(options, Arc::new(Table::default()), handle).await
}

async fn handle(table: Arc<Table>, request: ReadRequest) -> Answer {
    match request.path.as_str() {
        "/faults" => return table.faults.order(&request),
        "/counts" => {
            let (reads, writes) = (table.reads.load(Ordering::Relaxed), table.writes.load(Ordering::Relaxed));
            return json(&serde_json::json!({ "reads": reads, "writes": writes }));
        }
        _ => {}
    }
    if let Err(refusal) = table.faults.before().await {
        return refusal;
    }
    let answer = act(&table, &request);
    table.faults.after(answer)
}

fn act(table: &Table, request: &ReadRequest) -> Answer {
    let mut rows = table.rows.lock().unwrap();
    match request.path.as_str() {
        "/table/read" => {
            let Some(body) = request.json::<ReadBody>() else { return status(StatusCode::BAD_REQUEST) };
            table.reads.fetch_add(1, Ordering::Relaxed);
            json(&rows.rows.get(&body.key))
        }
        "/table/scan" => {
            let Some(body) = request.json::<ScanBody>() else { return status(StatusCode::BAD_REQUEST) };
            table.reads.fetch_add(1, Ordering::Relaxed);
            let from = if body.after.is_empty() { body.prefix.clone() } else { body.after.clone() };
            let found = rows.rows.range(from..).map(|(_, row)| row);
            let found = found.filter(|row| row.key > body.after).take_while(|row| row.key.starts_with(&body.prefix));
            json(&found.take(body.limit).collect::<Vec<_>>())
        }
        "/table/commit" => {
            let Some(transaction) = request.json::<TableTransaction>() else { return status(StatusCode::BAD_REQUEST) };
            table.writes.fetch_add(1, Ordering::Relaxed);
            if table.faults.strikes(FaultMode::DoubleWrite) {
                let writes = TableTransaction { expect: Vec::new(), ..transaction };
                rows.commit(writes);
                return json(&CommitOutcome::Committed);
            }
            json(&rows.commit(transaction))
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}
