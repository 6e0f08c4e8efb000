//! A link that can be cut: a proxy that forwards bytes between two loopback addresses.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Whether the links of a machine are cut. Odd numbers mean cut, and each change adds one.
#[derive(Clone, Default)]
pub struct Cut(Arc<AtomicU64>);

impl Cut {
    /// Cuts the links, or heals them.
    pub fn set(&self, is_cut: bool) {
        if self.is_cut() != is_cut {
            self.0.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn is_cut(&self) -> bool {
        self.changes() % 2 == 1
    }

    fn changes(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}

/// The machines at both ends of a link.
#[derive(Clone)]
struct Ends(Vec<Cut>);

impl Ends {
    fn changes(&self) -> u64 {
        self.0.iter().map(Cut::changes).sum()
    }

    /// Waits until the link works. Returns whether it was cut since `epoch`, so that bytes were lost.
    fn wait(&self, epoch: u64) -> bool {
        while self.0.iter().any(Cut::is_cut) {
            std::thread::sleep(Duration::from_millis(2));
        }
        self.changes() != epoch
    }
}

/// Forwards connections to `target`. During a cut nothing is forwarded, neither bytes nor connections;
/// connections that were open or opened during a cut are closed when it heals, and what they held up is lost.
/// Returns the address at which it listens.
pub fn forward(target: SocketAddr, ends: &[&Cut]) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the listener has an address").to_string();
    let ends = Ends(ends.iter().map(|cut| (*cut).clone()).collect());
    std::thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let ends = ends.clone();
            std::thread::spawn(move || connect(client, target, &ends));
        }
    });
    address
}

fn connect(client: TcpStream, target: SocketAddr, ends: &Ends) -> Option<()> {
    let epoch = ends.changes();
    if ends.wait(epoch) {
        return None;
    }
    let server = TcpStream::connect(target).ok()?;
    client.set_nodelay(true).ok()?;
    server.set_nodelay(true).ok()?;
    let (from, to) = (client.try_clone().ok()?, server.try_clone().ok()?);
    let back = ends.clone();
    std::thread::spawn(move || pump(from, to, &back, epoch));
    pump(server, client, ends, epoch);
    Some(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, ends: &Ends, epoch: u64) {
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        if ends.wait(epoch) || read == 0 || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
