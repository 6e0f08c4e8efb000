//! Timeouts of the daemon's clock on a VM that is suspended while they run.

#[allow(dead_code)]
#[path = "../src/process/clock.rs"]
mod clock;

use clock::{TimeoutError, timeout_by};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use trestlerack::interfaces::Clock;

/// The only source file that may read monotonic time, which it compares with the time since boot.
const CLOCK_MODULE: &str = "process/clock.rs";

/// A clock that adds a simulated suspension, set by the test, to the real time that passes.
#[derive(Clone)]
struct TestClock {
    started: Instant,
    suspended_ms: Arc<AtomicU64>,
}

impl TestClock {
    fn read(&self) -> Duration {
        self.started.elapsed() + Duration::from_millis(self.suspended_ms.load(Ordering::SeqCst))
    }
}

#[tokio::test]
async fn a_timeout_that_expired_during_a_suspension_ends_on_resume() {
    let clock = TestClock { started: Instant::now(), suspended_ms: Arc::default() };
    let (resume_count, resumptions) = watch::channel(0);
    let (reader, suspended) = (clock.clone(), clock.suspended_ms.clone());
    let wait = tokio::spawn(async move {
        timeout_by(|| reader.read(), resumptions, Duration::from_secs(60), std::future::pending::<()>()).await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    suspended.store(30_000, Ordering::SeqCst);
    resume_count.send(1).unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!wait.is_finished(), "half of the time limit remains");
    suspended.store(61_000, Ordering::SeqCst);
    resume_count.send(2).unwrap();
    let ended = tokio::time::timeout(Duration::from_secs(1), wait).await.expect("the timeout expires on resume");
    assert_eq!(ended.unwrap(), Err(TimeoutError));
}

#[tokio::test]
async fn a_timeout_without_a_suspension_ends_after_its_limit() {
    let started = Instant::now();
    assert_eq!(clock::timeout(Duration::from_millis(80), std::future::pending::<()>()).await, Err(TimeoutError));
    assert!(started.elapsed() >= Duration::from_millis(80));
    assert_eq!(clock::timeout(Duration::ZERO, async { 5 }).await, Ok(5), "a completed future takes precedence");
}

#[test]
fn the_system_clock_follows_the_time_since_boot() {
    let clock = clock::SystemClock::new();
    let (before, from) = (clock.now(), clock::since_boot());
    std::thread::sleep(Duration::from_millis(30));
    let (shown, passed) = (clock.now().since(before), clock::since_boot() - from);
    assert!(shown.abs_diff(passed) < Duration::from_millis(5), "{shown:?} and {passed:?}");
}

/// Leases, deadlines, ages and timeouts must not use a clock that stops during a suspension.
#[test]
fn monotonic_time_is_read_only_in_the_clock_module() {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for file in rust_files(&sources) {
        let name = file.strip_prefix(&sources).unwrap().to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&file).unwrap();
        for clock in ["Instant", "tokio::time::sleep", "tokio::time::timeout"] {
            assert!(name == CLOCK_MODULE || !text.contains(clock), "{name} uses {clock}; see process/clock.rs");
        }
    }
}

fn rust_files(dir: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(dir).unwrap().map(|entry| entry.unwrap().path());
    entries.flat_map(|path| if path.is_dir() { rust_files(&path) } else { vec![path] }).collect()
}
