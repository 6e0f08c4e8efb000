//! Fatal requests of the soak, which crash each server that runs them, and requests beside them, which must
//! not be blocked.

use super::super::support::*;
use super::clients::ClientRecords;
use super::cluster::SoakCluster;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Route to the servers that crash under fatal requests.
const PATH: &str = "/fragile/x";

/// Number of fatal contents. Each is sent with a new request id every time.
const FATAL_CONTENTS: usize = 2;

/// Limit of `retry-after` in seconds: rejections by overloaded services name less, those of blocked contents
/// more.
const MAX_OVERLOAD_WAIT_S: f64 = 10.0;

/// Time after the last fault within which pending crash reports are delivered.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Requests with a fatal content after that time, by which all nodes must block it.
const FINAL_REQUESTS: usize = 8;

/// Servers that one content may crash after that time, besides those of its recovery trials. Crash reports known only to
/// a node that was killed are lost, so up to three crashes may be needed again, and one more request may have been in
/// progress.
const MAX_FINAL_CRASHES: usize = 4;

/// Largest number of recovery trials of one content at all nodes together.
const MAX_RECOVERY_TRIALS: usize = 2;

/// Time within which the log of a node has the lines of a request that it has answered.
const LOG_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two of these requests, within which crashed servers restart.
const REQUEST_PAUSE: Duration = Duration::from_millis(700);

fn fatal_body(content: usize) -> String {
    format!("{FATAL} {content}")
}

fn send_request(cluster: &SoakCluster, node: usize, kind: &str, body: &str) -> Option<HttpResponse> {
    send_as(cluster, node, &cluster.new_id(kind), body)
}

fn send_as(cluster: &SoakCluster, node: usize, id: &str, body: &str) -> Option<HttpResponse> {
    call(&cluster.nodes[node].client, "POST", PATH, &[("request-id", id), ("deadline-ms", "2000")], body)
}

fn is_blocked(answer: &HttpResponse) -> bool {
    let wait = answer.headers.get("retry-after").and_then(|value| value.parse::<f64>().ok());
    answer.status == 503 && wait.is_some_and(|seconds| seconds > MAX_OVERLOAD_WAIT_S)
}

/// How a node dealt with a fatal request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Decision {
    Blocked,
    RecoveryTrial,
    Other,
}

/// Returns how a node dealt with a request that it has answered, from its log: the answer to a blocked content that
/// waits for its recovery trial names a short time, like those of overloaded services.
fn decision(cluster: &SoakCluster, node: usize, id: &str) -> Decision {
    let until = Instant::now() + LOG_TIMEOUT;
    while Instant::now() < until {
        let lines = cluster.daemon(node).log_lines(&format!("request={id} "));
        if lines.contains("name=request-held") {
            return Decision::Blocked;
        }
        if lines.contains("name=recovery-trial") && lines.contains("outcome=reserved") {
            return Decision::RecoveryTrial;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Decision::Other
}

/// Sends fatal contents to random nodes until the soak is over.
pub fn send_fatal(cluster: &Arc<SoakCluster>, mut random: Pcg64Mcg) {
    while !cluster.is_over() {
        let node = random.random_range(0..cluster.nodes.len());
        let content = random.random_range(0..FATAL_CONTENTS);
        send_request(cluster, node, "fatal", &fatal_body(content));
        std::thread::sleep(Duration::from_millis(random.random_range(100..500)));
    }
}

/// Sends other contents to the same servers. None of them may be blocked, even if they ran on a server at the
/// time of a crash. A third has the same content every time, like the requests of many real clients.
pub fn send_bystanders(cluster: &Arc<SoakCluster>, records: &ClientRecords, mut random: Pcg64Mcg) {
    while !cluster.is_over() {
        let node = random.random_range(0..cluster.nodes.len());
        let is_repeated = random.random_range(0..3) == 0;
        let body = if is_repeated { "usual".to_owned() } else { cluster.new_id("bystander") };
        // A client retries the same content until it is served, up to four times.
        for _ in 0..4 {
            let Some(answer) = send_request(cluster, node, "beside", &body) else { break };
            if is_blocked(&answer) {
                cluster.violation(format!("{body} shared servers with fatal contents and is blocked by node {node}"));
            }
            if answer.status == 200 {
                records.served.fetch_add(1, Ordering::SeqCst);
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        std::thread::sleep(Duration::from_millis(random.random_range(1..40)));
    }
}

/// Checks that no node has blocked a bystander, also for the short time until a recovery trial.
fn bystanders_were_not_blocked(cluster: &SoakCluster) {
    for node in 0..cluster.nodes.len() {
        let lines = cluster.daemon(node).log_lines("name=request-held");
        if let Some(line) = lines.lines().find(|line| line.contains("request=beside")) {
            cluster.violation(format!("node {node} has blocked a content that shared servers with fatal ones: {line}"));
        }
    }
}

/// Checks after the last fault that all nodes block the fatal contents and serve other ones.
pub fn fatal_content_is_blocked(cluster: &SoakCluster) {
    std::thread::sleep(SETTLE_TIME);
    bystanders_were_not_blocked(cluster);
    for content in 0..FATAL_CONTENTS {
        let (body, crashes_before) = (fatal_body(content), cluster.fragile.crash_count());
        let (mut blocking, mut trials) = (vec![false; cluster.nodes.len()], 0);
        for request in 0..FINAL_REQUESTS {
            let (node, id) = (request % cluster.nodes.len(), cluster.new_id("last"));
            let is_refused = send_as(cluster, node, &id, &body).is_some_and(|answer| answer.status == 503);
            let decision = decision(cluster, node, &id);
            trials += usize::from(decision == Decision::RecoveryTrial);
            let is_blocked = decision == Decision::Blocked && is_refused;
            blocking[node] = is_blocked || decision == Decision::RecoveryTrial;
            if !is_blocked {
                std::thread::sleep(REQUEST_PAUSE);
            }
        }
        let crashes = cluster.fragile.crash_count() - crashes_before;
        if crashes > MAX_FINAL_CRASHES + trials.min(MAX_RECOVERY_TRIALS) || blocking.contains(&false) {
            cluster.violation(format!(
                "content {content} crashed {crashes} servers after the last fault, {trials} of them on recovery trials, \
                 blocked by nodes: {blocking:?}"
            ));
        }
    }
    let until = Instant::now() + WAIT_TIMEOUT;
    for node in 0..cluster.nodes.len() {
        while send_request(cluster, node, "calm", &format!("calm {node}")).is_none_or(|answer| answer.status != 200) {
            if Instant::now() >= until {
                cluster.violation(format!("node {node} does not serve contents that shared servers with blocked ones"));
                break;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}
