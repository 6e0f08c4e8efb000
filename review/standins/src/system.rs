//! Starts the daemon of the project with the command of the deploy file, and waits until it is ready.

use crate::http;
use crate::record::Record;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

/// Ports of the daemons lie below those that the system gives to stand-ins, so that none is taken before its daemon starts.
const DAEMON_PORTS: std::ops::Range<u32> = 20_000..32_000;

/// Returns a loopback address that is free now.
pub fn free_address() -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id() * 31 + NEXT.fetch_add(1, Ordering::SeqCst);
        let port = DAEMON_PORTS.start + number % (DAEMON_PORTS.end - DAEMON_PORTS.start);
        let address = format!("127.0.0.1:{port}");
        if TcpListener::bind(&address).is_ok() {
            return address;
        }
    }
}

/// Addresses of a node.
#[derive(Clone)]
pub struct NodeAddresses {
    pub client: String,
    pub ready: String,
    pub peer: String,
}

impl NodeAddresses {
    /// Chooses free ones.
    pub fn free() -> Self {
        Self { client: free_address(), ready: free_address(), peer: free_address() }
    }
}

/// A running daemon. It is killed when the value is dropped.
pub struct Daemon {
    pub name: String,
    pub addresses: NodeAddresses,
    child: Child,
    log: PathBuf,
}

impl Daemon {
    /// Starts a daemon with settings as the deploy file makes them for a small deployment.
    pub fn start(
        folder: &Path,
        name: &str,
        addresses: &NodeAddresses,
        store: &str,
        seeds: &[String],
        status_s: u64,
    ) -> Option<Self> {
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let NodeAddresses { client, ready, peer } = addresses;
        let settings = format!(
            "{{\"name\": \"{name}\", \"zone\": \"obihiro\", \"zones\": [{{\"name\": \"obihiro\", \"region\": \"hokkaido\"}}],\n\
             \"client_listen\": \"{client}\", \"ready_listen\": \"{ready}\", \"peer_listen\": \"{peer}\",\n\
             \"seeds\": [{}], \"store\": \"{store}\", \"store_reads_per_s\": 2000, \"store_row_bytes\": 65536,\n\
             \"cpu_share\": 0.5, \"cpu_speed\": 1, \"memory_mb\": 310, \"max_descriptors\": 8200, \"stop_limit_s\": 8,\n\
             \"order_handover_ms\": 3000, \"retention_s\": {status_s}, \"server_heartbeat_ms\": 1200, \"log_level\": \"info\"}}\n",
            seeds.join(", ")
        );
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings).ok()?;
        let log = folder.join(format!("{name}.log"));
        let child = Command::new("target/release/trestlerackd")
            .arg("entry")
            .env_clear()
            .env("TRESTLERACK_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(std::fs::File::create(&log).ok()?)
            .stderr(Stdio::null())
            .spawn()
            .ok()?;
        Some(Self { name: name.into(), addresses: addresses.clone(), child, log })
    }

    /// Waits until the daemon says that it is ready.
    pub fn wait_ready(&self, record: &Record) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let limit = Duration::from_secs(1);
            if let Some((200, _)) = http::call(&self.addresses.ready, "GET", "/trestlerack/ready", &[], b"", limit) {
                record.write(&format!("{} is ready", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the log lines that contain a text. They only serve to choose a machine and to explain the record.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
