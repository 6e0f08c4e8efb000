//! Clients of the soak that send or read too slowly. They must not keep other clients from being served.

use super::super::support::*;
use super::clients::{ClientRecords, NOT_RUN};
use super::cluster::SoakCluster;
use super::placement::id_at;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time within which a slow upload gets a response or is disconnected: twice its deadline.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a client does not read its stream.
const READ_PAUSE: Duration = Duration::from_millis(800);

/// Sends half of a large body and then nothing.
pub fn send_slowly(cluster: &Arc<SoakCluster>, records: &ClientRecords, mut random: Pcg64Mcg) {
    while !cluster.is_over() {
        let node = random.random_range(0..cluster.nodes.len());
        let id = cluster.new_id("halfsent");
        records.slow.lock().unwrap().push(id.clone());
        let Ok(mut stream) = TcpStream::connect(&cluster.nodes[node].client) else { continue };
        stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        let head = format!(
            "POST /once/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: {id}\r\ndeadline-ms: 1000\r\n\
             content-length: 900000\r\n\r\n"
        );
        // The node may be down, or may have closed the connection.
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&vec![b'x'; 450_000]);
        let answer = read_response(&mut BufReader::new(stream));
        if let Some(answer) = answer.filter(|answer| !NOT_RUN.contains(&answer.status)) {
            cluster.violation(format!("{id}, whose body was incomplete, got {}", answer.status));
        }
        std::thread::sleep(Duration::from_millis(random.random_range(100..300)));
    }
}

/// Requests a stream and reads nothing of it for a while.
pub fn read_slowly(cluster: &Arc<SoakCluster>, records: &ClientRecords, mut random: Pcg64Mcg) {
    while !cluster.is_over() {
        let node = random.random_range(0..cluster.nodes.len());
        let id = id_at(cluster, node, "unread");
        records.slow.lock().unwrap().push(id.clone());
        if let Ok(mut stream) = TcpStream::connect(&cluster.nodes[node].client) {
            // The node may be down.
            let _ = send(&mut stream, "POST", "/streamed/x", &[("request-id", &id), ("model", "m")], "prompt");
            std::thread::sleep(READ_PAUSE);
        }
        std::thread::sleep(Duration::from_millis(random.random_range(100..300)));
    }
}

/// Checks that no request with an incomplete body ran, and that slow clients were less than a tenth of the
/// served requests.
pub fn incomplete_uploads_never_ran(cluster: &SoakCluster, records: &ClientRecords) {
    let runs = cluster.platform.plain.runs.lock().unwrap();
    if let Some(id) = runs.iter().find(|id| id.starts_with("halfsent")) {
        cluster.violation(format!("{id} ran although its body was incomplete"));
    }
    let served = records.served.load(Ordering::SeqCst);
    let slow = records.slow.lock().unwrap().len();
    if slow * 10 >= served {
        cluster.violation(format!("{slow} slow clients but only {served} served requests"));
    }
}
