//! Clients of the soak that read, end and submit again, at any node, the jobs of other clients.

use super::super::support::*;
use super::clients::{self, ClientRecords, SoakJob};
use super::cluster::SoakCluster;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Largest number of calls of one reader.
const MAX_CALLS: usize = 400;

/// Pause between two calls of a reader, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 10..100;

/// What a reader knows of the job that it picked.
struct PickedJob {
    id: String,
    items: usize,
    min_version: u64,
    is_ended: bool,
}

/// Calls random nodes about random accepted jobs until the soak is over, at most [`MAX_CALLS`] times.
pub fn read_jobs(cluster: &Arc<SoakCluster>, records: &ClientRecords, mut random: Pcg64Mcg) {
    for _ in 0..MAX_CALLS {
        std::thread::sleep(Duration::from_millis(random.random_range(PAUSE_MS)));
        if cluster.is_over() {
            return;
        }
        let node = random.random_range(0..cluster.nodes.len());
        let Some(job) = pick_job(records, &mut random) else { continue };
        match random.random_range(0..8) {
            0..4 => {
                // One position past the end is a valid one too.
                let from = random.random_range(0..=job.items + 1);
                clients::read_results_page(cluster, records, node, &job.id, from);
            }
            4..6 => read_body(cluster, node, &job, random.random_range(0..job.items)),
            6 => submit_again(cluster, node, &job),
            _ if job.is_ended => end_again(cluster, node, &job),
            _ => {}
        }
    }
}

fn pick_job(records: &ClientRecords, random: &mut Pcg64Mcg) -> Option<PickedJob> {
    let jobs = records.jobs.lock().unwrap();
    let accepted: Vec<(&String, &SoakJob)> = jobs.iter().filter(|(_, job)| job.accepted_at.is_some()).collect();
    if accepted.is_empty() {
        return None;
    }
    let (id, job) = accepted[random.random_range(0..accepted.len())];
    let (items, min_version, is_ended) = (job.items, job.min_version, job.ended_at.is_some());
    Some(PickedJob { id: id.clone(), items, min_version, is_ended })
}

/// Makes a call about an accepted job and returns the answer if it has the expected status. An answer that denies
/// the job is a violation, as is any other status of an undisturbed node.
fn call_expecting(
    cluster: &SoakCluster,
    node: usize,
    (method, path, id, body): (&str, &str, &str, &str),
    expected: u16,
) -> Option<HttpResponse> {
    let asked_at = Instant::now();
    let answer = call(&cluster.nodes[node].client, method, path, &[("request-id", id)], body)?;
    if answer.status == expected {
        return Some(answer);
    }
    let denies = matches!(answer.status, 400 | 404 | 409 | 410 | 413);
    let is_refused = answer.status == 503 && answer.headers.contains_key("retry-after");
    if denies || cluster.was_undisturbed(node, asked_at, Instant::now(), clients::AFTERMATH, true) {
        cluster.violation(format!("node {node} answers {method} {path} with {}", answer.status));
    } else if answer.status == 503 && !is_refused {
        cluster.violation(format!("node {node} refuses {method} {path} without a time to retry"));
    }
    None
}

fn read_body(cluster: &SoakCluster, node: usize, job: &PickedJob, item: usize) {
    let path = format!("/trestlerack/items/{}?id={}-item-{item}", job.id, job.id);
    let id = cluster.new_id("body");
    if let Some(answer) = call_expecting(cluster, node, ("GET", &path, &id, ""), 200)
        && answer.body != "body"
    {
        cluster.violation(format!("node {node} answers {path} with another body: {:?}", answer.body));
    }
}

fn submit_again(cluster: &SoakCluster, node: usize, job: &PickedJob) {
    let body = job_body_of(&job.id, job.items, job.min_version);
    call_expecting(cluster, node, ("POST", &format!("/jobs/{}", job.id), &job.id, &body), 202);
}

fn end_again(cluster: &SoakCluster, node: usize, job: &PickedJob) {
    let id = cluster.new_id("end");
    call_expecting(cluster, node, ("DELETE", &format!("/trestlerack/lots/{}", job.id), &id, ""), 200);
}
