//! Starts and controls the entry daemon as a process.

use super::platform::Platform;
use super::store::StandinStore;
use super::{CallTimes, call, eventually, time_of_day};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// An entry daemon process.
pub struct EntryDaemon {
    child: Child,
    pub name: String,
    pub client: String,
    pub ready: String,
    pub peer: String,
    settings: PathBuf,
    log: Option<PathBuf>,
}

/// Time limit of a planned stop.
pub const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Time for which ended jobs can be read, in seconds; longer than any test that reads one takes.
const RETENTION_S: u64 = 12;

/// First port given to daemons. It is below the range of ephemeral ports, so that no outgoing connection uses
/// it when the daemon starts.
const FIRST_PORT: u16 = 15_000;

/// Ports of one test run, which are reused in turn.
const PORTS_PER_RUN: u16 = 512;

/// Maximum number of concurrent test runs on this machine.
const MAX_RUNS: u16 = 32;

/// Returns the first port of a range that no other run uses, because a restarted daemon must find its ports
/// free. The port before the range stays bound during this run as a lock.
fn reserved_ports() -> u16 {
    static GUARD: OnceLock<(TcpListener, u16)> = OnceLock::new();
    let claim = || {
        let guards = (0..MAX_RUNS).map(|run| FIRST_PORT + run * PORTS_PER_RUN);
        let mut claims = guards.filter_map(|guard| Some((TcpListener::bind(("127.0.0.1", guard)).ok()?, guard + 1)));
        claims.next().expect("a free range of ports")
    };
    GUARD.get_or_init(claim).1
}

/// Held while a port is tested and while a process is spawned. Between fork and exec a child holds all sockets
/// of this process, so a daemon would find a port in use that was only being tested.
static FORK_LOCK: Mutex<()> = Mutex::new(());

/// Returns an address without a listener. Addresses repeat only after all ports of this run were used.
pub fn free_address() -> String {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let _fork_guard = lock_fork();
    loop {
        let port = reserved_ports() + NEXT.fetch_add(1, Ordering::SeqCst) % (PORTS_PER_RUN - 1);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap().to_string();
        }
    }
}

fn lock_fork() -> MutexGuard<'static, ()> {
    // The lock protects no data, so a test that panicked while holding it leaves nothing inconsistent.
    FORK_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Settings of a daemon that tests choose.
#[derive(Clone)]
pub struct DaemonSettings {
    /// Address of the store.
    pub store: String,
    pub seeds: Vec<String>,
    /// Time for which a new holder of the order lease orders nothing from engines that its predecessor
    /// ordered.
    pub order_handover_ms: u64,
    /// Time for which ended jobs can be read, in seconds.
    pub retention_s: u64,
    /// Number of processor cores of the VM; may be a fraction.
    pub cpu_share: f64,
    /// Endpoint of the span collector; empty for none.
    pub otlp_endpoint: String,
    /// File for the log, which is discarded if `None`.
    pub log: Option<PathBuf>,
    /// Further fields of the settings file.
    pub more: Value,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        Self {
            store: String::new(),
            seeds: Vec::new(),
            order_handover_ms: 300,
            retention_s: RETENTION_S,
            cpu_share: 1.0,
            otlp_endpoint: String::new(),
            log: None,
            more: json!({}),
        }
    }
}

impl EntryDaemon {
    pub fn start(name: &str, store: &StandinStore, seeds: &[&str]) -> Self {
        let seeds = seeds.iter().map(ToString::to_string).collect();
        let settings = DaemonSettings { store: store.address.to_string(), seeds, ..DaemonSettings::default() };
        Self::start_with(name, &settings)
    }

    pub fn start_with(name: &str, settings: &DaemonSettings) -> Self {
        let (client, ready, peer) = (free_address(), free_address(), free_address());
        let mut text = json!({
            "name": name, "zone": "z", "client_listen": client, "ready_listen": ready, "peer_listen": peer,
            "seeds": settings.seeds, "store": settings.store, "stop_limit_s": STOP_LIMIT.as_secs_f64(),
            "order_handover_ms": settings.order_handover_ms, "retention_s": settings.retention_s,
            "cpu_share": settings.cpu_share,
        });
        if !settings.otlp_endpoint.is_empty() {
            text["otlp_endpoint"] = json!(settings.otlp_endpoint);
        }
        for (field, value) in settings.more.as_object().unwrap() {
            text[field] = value.clone();
        }
        let file = format!("entry-{name}-{}-{}.json", std::process::id(), client.replace([':', '.'], "-"));
        let log = settings.log.clone();
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text.to_string()).unwrap();
        let child = spawn(&settings, log.as_deref());
        let mut daemon = Self { child, name: name.into(), client, ready, peer, settings, log };
        daemon.wait_ready();
        daemon
    }

    fn wait_ready(&mut self) {
        eventually("the daemon is ready", || {
            assert!(self.child.try_wait().unwrap().is_none(), "{} exited", self.name);
            call(&self.ready, "GET", "/trestlerack/ready", &[], "").is_some_and(|answer| answer.status == 200)
        });
    }

    pub fn signal(&self, signal: &str) {
        let process = self.child.id().to_string();
        let kill = {
            let _fork_guard = lock_fork();
            Command::new("kill").args([signal, &process]).spawn()
        };
        let status = kill.unwrap().wait().unwrap();
        assert!(status.success());
    }

    /// Returns the log lines that contain a text; none if the node has no log.
    pub fn log_lines(&self, text: &str) -> String {
        self.log_lines_where(|line| line.contains(text))
    }

    /// Returns the log lines from the start to the end of a call, which show whether the node was working meanwhile.
    pub fn log_during(&self, times: &CallTimes) -> String {
        let (from, to) = (time_of_day(times.started), time_of_day(times.started + times.took));
        // A line starts with its time in the form 2026-01-31T23:59:59.123456789Z.
        self.log_lines_where(|line| line.get(11..23).is_some_and(|time| (&*from..=&*to).contains(&time)))
    }

    fn log_lines_where(&self, is_wanted: impl Fn(&str) -> bool) -> String {
        let log = self.log.as_ref().map(|log| std::fs::read_to_string(log).unwrap()).unwrap_or_default();
        log.lines().filter(|line| is_wanted(line)).collect::<Vec<_>>().join("\n")
    }

    /// Returns how long the process has used the processor.
    pub fn cpu_time(&self) -> Duration {
        const TICK: Duration = Duration::from_millis(10);
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        // The name in parentheses may contain spaces. Fields 11 and 12 after it, counted from 0, are user and
        // system time.
        let fields = stat.rsplit_once(") ").unwrap().1.split(' ').skip(11).take(2);
        fields.map(|ticks| TICK * ticks.parse::<u32>().unwrap()).sum()
    }

    /// Returns how long the threads of the process, added up, have run and have waited for a processor while they could
    /// run. The wait tells a node that is slow from a machine that has no processor for it.
    pub fn scheduling(&self) -> (Duration, Duration) {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.child.id())).unwrap().flatten();
        let times = threads.filter_map(|thread| {
            // A thread may have ended since.
            let stat = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
            let mut fields = stat.split_whitespace().map(|field| Duration::from_nanos(field.parse().unwrap()));
            Some((fields.next()?, fields.next()?))
        });
        times.fold(<_>::default(), |(ran, waited), (more_ran, more_waited)| (ran + more_ran, waited + more_waited))
    }

    /// Returns the current and the peak resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> (usize, usize) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let field = |name: &str| -> usize {
            let line = status.lines().find(|line| line.starts_with(name)).unwrap();
            line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() * 1_024
        };
        (field("VmRSS:"), field("VmHWM:"))
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, self.log.as_deref());
    }

    /// Sends a signal unless the process has ended.
    pub fn signal_if_running(&mut self, signal: &str) {
        if self.is_running() {
            self.signal(signal);
        }
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits for the exit of the daemon and returns whether its exit status is success.
    pub fn wait_end(&mut self) -> bool {
        let mut exit_status = None;
        eventually("the daemon ends", || {
            exit_status = self.child.try_wait().unwrap();
            exit_status.is_some()
        });
        exit_status.unwrap().success()
    }
}

fn spawn(settings: &Path, log: Option<&Path>) -> Child {
    let output = log.map_or_else(Stdio::null, |log| {
        let file = std::fs::OpenOptions::new().create(true).append(true).open(log);
        file.unwrap().into()
    });
    let _fork_guard = lock_fork();
    Command::new(env!("CARGO_BIN_EXE_trestlerackd"))
        .args(["entry", "--settings"])
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(output)
        .stderr(Stdio::inherit())
        .spawn()
        .unwrap()
}

impl Drop for EntryDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Starts nodes one after the other, each with those before as its seeds.
pub fn start_nodes(platform: &Platform, names: &[&str]) -> Vec<EntryDaemon> {
    let mut nodes: Vec<EntryDaemon> = Vec::new();
    for name in names {
        let seeds: Vec<&str> = nodes.iter().map(|node| &*node.peer).collect();
        let node = EntryDaemon::start(name, &platform.store, &seeds);
        nodes.push(node);
    }
    nodes
}

/// Starts nodes like [`start_nodes`], with logs in files of this name.
pub fn start_logged_nodes(platform: &Platform, names: &[&str], log: &str) -> Vec<EntryDaemon> {
    let mut nodes: Vec<EntryDaemon> = Vec::new();
    for name in names {
        let file = format!("entry-{log}-{name}-{}.log", std::process::id());
        let settings = DaemonSettings {
            store: platform.store.address.to_string(),
            seeds: nodes.iter().map(|node| node.peer.clone()).collect(),
            log: Some(std::env::temp_dir().join(file)),
            ..DaemonSettings::default()
        };
        nodes.push(EntryDaemon::start_with(name, &settings));
    }
    nodes
}

/// Returns the lines of the nodes' logs that tell how contents were blocked and tried.
pub fn suspect_lines(nodes: &[EntryDaemon]) -> String {
    let names = ["server-ended", "content-held", "recovery-trial", "suspect-cleared"];
    nodes.iter().flat_map(|node| names.map(|name| node.log_lines(name))).collect::<Vec<_>>().join("\n")
}

/// Returns the number of recovery trials that the nodes reserved for a request.
pub fn recovery_trials(nodes: &[EntryDaemon], request: &str) -> usize {
    let is_given = |line: &&str| line.contains(&format!("request={request} ")) && line.contains("outcome=reserved");
    nodes.iter().map(|node| node.log_lines("recovery-trial").lines().filter(is_given).count()).sum()
}
