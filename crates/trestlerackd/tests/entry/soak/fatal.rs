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

/// Servers that one content may crash after that time. Crash reports known only to a node that was killed are
/// lost, so up to three crashes may be needed again, and one more request may have been in progress.
const MAX_FINAL_CRASHES: usize = 4;

/// Pause between two of these requests, within which crashed servers restart.
const REQUEST_PAUSE: Duration = Duration::from_millis(700);

fn fatal_body(content: usize) -> String {
    format!("{FATAL} {content}")
}

fn send_request(cluster: &SoakCluster, node: usize, kind: &str, body: &str) -> Option<HttpResponse> {
    let id = cluster.new_id(kind);
    call(&cluster.nodes[node].client, "POST", PATH, &[("request-id", &id), ("deadline-ms", "2000")], body)
}

fn is_blocked(answer: &HttpResponse) -> bool {
    let wait = answer.headers.get("retry-after").and_then(|value| value.parse::<f64>().ok());
    answer.status == 503 && wait.is_some_and(|seconds| seconds > MAX_OVERLOAD_WAIT_S)
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

/// Checks after the last fault that all nodes block the fatal contents and serve other ones.
pub fn fatal_content_is_blocked(cluster: &SoakCluster) {
    std::thread::sleep(SETTLE_TIME);
    for content in 0..FATAL_CONTENTS {
        let (body, crashes_before) = (fatal_body(content), cluster.fragile.crash_count());
        let mut blocking = vec![false; cluster.nodes.len()];
        for request in 0..FINAL_REQUESTS {
            let node = request % cluster.nodes.len();
            blocking[node] = send_request(cluster, node, "last", &body).as_ref().is_some_and(is_blocked);
            if !blocking[node] {
                std::thread::sleep(REQUEST_PAUSE);
            }
        }
        let crashes = cluster.fragile.crash_count() - crashes_before;
        if crashes > MAX_FINAL_CRASHES || blocking.contains(&false) {
            cluster.violation(format!(
                "content {content} crashed {crashes} servers after the last fault, blocked by nodes: {blocking:?}"
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
