//! Starts and controls the project's daemon as the deploy file does.

use crate::http;
use crate::json::{Json, object};
use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Memory of a machine, in MB, as on the sheet of hallworth-ops.
pub const MEMORY_MB: u64 = 130;

/// Program of the deploy file, in the root of the repository.
const PROGRAM: &str = "target/release/trestlerackd";

/// Variable that names the settings file.
const SETTINGS_VARIABLE: &str = "TRESTLERACK_CONFIG";

/// Longest time until a node is ready.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Ids of the processes that were started and have not been waited for.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that this run started.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().iter() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
}

/// A daemon process, which is killed when this value is dropped.
pub struct Node {
    pub name: String,
    /// Address for clients.
    pub client: String,
    ready: String,
    /// Log of the process.
    pub log: PathBuf,
    settings: PathBuf,
    child: Option<Child>,
}

/// First port for daemons. It is below the range of ephemeral ports, so that no outgoing connection takes a port before
/// its daemon does.
const FIRST_PORT: u16 = 15_000;

/// Number of ports for daemons.
const PORTS: u16 = 15_000;

/// Returns loopback addresses that are free now.
fn free_addresses<const N: usize>() -> [String; N] {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Runs at the same time begin at different ports.
    let offset = (std::process::id() % 1_000) as u16 * 15;
    std::array::from_fn(|_| {
        loop {
            let port = FIRST_PORT + (offset + NEXT.fetch_add(1, Ordering::SeqCst)) % PORTS;
            if TcpListener::bind(("127.0.0.1", port)).is_ok() {
                return format!("127.0.0.1:{port}");
            }
        }
    })
}

/// Prepares nodes in the given zones, with up to three of them as seeds.
pub fn prepare(folder: &Path, store: &str, zones: &[(&str, &str)], names: &[(&str, &str)]) -> Vec<Node> {
    let addresses: Vec<[String; 4]> = names.iter().map(|_| free_addresses()).collect();
    let seeds: Vec<Json> = addresses.iter().take(3).map(|[.., peer]| peer.as_str().into()).collect();
    let zone_list = |(name, region): &(&str, &str)| object([("name", (*name).into()), ("region", (*region).into())]);
    let zone_list: Vec<Json> = zones.iter().map(zone_list).collect();
    let mut nodes = Vec::new();
    for ((name, zone), [client, ready, metrics, peer]) in names.iter().zip(addresses) {
        let settings = object([
            ("name", (*name).into()),
            ("zone", (*zone).into()),
            ("zones", zone_list.clone().into()),
            ("client_listen", client.as_str().into()),
            ("ready_listen", ready.as_str().into()),
            ("peer_listen", peer.as_str().into()),
            ("metrics_listen", metrics.into()),
            ("seeds", seeds.clone().into()),
            ("store", store.into()),
            ("store_reads_per_s", 2_000.into()),
            ("store_row_bytes", 65_536.into()),
            ("cpu_share", Json::Number(0.5)),
            ("cpu_speed", 1.into()),
            ("memory_mb", MEMORY_MB.into()),
            ("max_descriptors", 8_200.into()),
            ("stop_limit_s", 8.into()),
            ("order_handover_ms", 3_000.into()),
            ("retention_s", 120.into()),
            ("server_heartbeat_ms", 1_200.into()),
            ("log_level", "info".into()),
        ]);
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("the settings file can be written");
        let log = folder.join(format!("{name}.log"));
        nodes.push(Node { name: (*name).into(), client, ready, log, settings: file, child: None });
    }
    nodes
}

impl Node {
    /// Starts the process.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("the log file can be written");
        let errors = log.try_clone().expect("the log file can be shared");
        let child = Command::new(PROGRAM)
            .arg("entry")
            .env(SETTINGS_VARIABLE, &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        let child = child.expect("the daemon can be started; build it first");
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Returns whether the node says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = http::call(&self.ready, "GET", "/trestlerack/ready", &[], "", Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status == 200)
    }

    /// Waits until the node is ready; panics if it is not in time.
    pub fn wait_ready(&self) {
        let until = Instant::now() + START_LIMIT;
        while !self.is_ready() {
            assert!(Instant::now() < until, "{} is not ready in time", self.name);
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the largest resident memory of the process so far, in MB.
    pub fn peak_memory_mb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok()).unwrap_or(0) / 1_024
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        let status = Command::new("kill").args([signal, &child.id().to_string()]).status();
        assert!(status.is_ok_and(|status| status.success()), "the signal could not be sent");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Returns the lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
