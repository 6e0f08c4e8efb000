//! Callers of the soak that send or read too slowly. Others are to be served beside them.

use super::super::support::*;
use super::clients::{Findings, NOT_RUN};
use super::cluster::World;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Time in which a slow sender is answered or cut: the deadline that it states, and as much again.
const CUT_TIME: Duration = Duration::from_secs(2);

/// Time for which a stream is not read.
const READ_PAUSE: Duration = Duration::from_millis(800);

/// Sends half of a large body and stops.
pub fn send_slowly(world: &Arc<World>, findings: &Findings, mut random: Pcg64Mcg) {
    while !world.is_over() {
        let node = random.random_range(0..world.nodes.len());
        let id = world.new_id("halfsent");
        findings.slow.lock().unwrap().push(id.clone());
        let Ok(mut stream) = TcpStream::connect(&world.nodes[node].client) else { continue };
        stream.set_read_timeout(Some(CUT_TIME)).unwrap();
        let head = format!(
            "POST /once/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: {id}\r\ndeadline-ms: 1000\r\n\
             content-length: 900000\r\n\r\n"
        );
        // The node may be down, or cut the sender off.
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&vec![b'x'; 450_000]);
        let answer = read_response(&mut BufReader::new(stream));
        if let Some(answer) = answer.filter(|answer| !NOT_RUN.contains(&answer.status)) {
            world.violation(format!("{id}, whose body never came whole, got {}", answer.status));
        }
        std::thread::sleep(Duration::from_millis(random.random_range(100..300)));
    }
}

/// Asks for a stream and does not read it for a while.
pub fn read_slowly(world: &Arc<World>, findings: &Findings, mut random: Pcg64Mcg) {
    while !world.is_over() {
        let node = random.random_range(0..world.nodes.len());
        let id = world.new_id("unread");
        findings.slow.lock().unwrap().push(id.clone());
        if let Ok(mut stream) = TcpStream::connect(&world.nodes[node].client) {
            // The node may be down.
            let _ = send(&mut stream, "POST", "/streamed/x", &[("request-id", &id), ("model", "m")], "prompt");
            std::thread::sleep(READ_PAUSE);
        }
        std::thread::sleep(Duration::from_millis(random.random_range(100..300)));
    }
}

/// A request whose body never came whole ran nowhere, and slow callers are a small share of all.
pub fn senders_never_ran(world: &World, findings: &Findings) {
    let runs = world.platform.plain.runs.lock().unwrap();
    if let Some(id) = runs.iter().find(|id| id.starts_with("halfsent")) {
        world.violation(format!("{id} ran, though its body never came whole"));
    }
    let served = findings.served.load(Ordering::SeqCst);
    let slow = findings.slow.lock().unwrap().len();
    if slow * 10 >= served {
        world.violation(format!("{slow} slow callers beside only {served} requests that were served"));
    }
}
