//! Waits on a VM that is suspended meanwhile.

#[allow(dead_code)]
#[path = "../src/process/clock.rs"]
mod clock;

use clock::{TimeOver, timeout_by};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use trestlerack::interfaces::Clock;

/// The file that reads clocks, monotonic time only to compare it with the time since boot.
const CLOCKS: &str = "process/clock.rs";

/// A clock that a test sets forward, as a suspension does, beside the real time that passes.
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
async fn a_wait_that_ended_during_a_suspension_ends_at_once() {
    let clock = TestClock { started: Instant::now(), suspended_ms: Arc::default() };
    let (resumed, resumptions) = watch::channel(0);
    let (reader, suspended) = (clock.clone(), clock.suspended_ms.clone());
    let wait = tokio::spawn(async move {
        timeout_by(|| reader.read(), resumptions, Duration::from_secs(60), std::future::pending::<()>()).await
    });
    tokio::time::sleep(Duration::from_millis(50)).await;
    suspended.store(30_000, Ordering::SeqCst);
    resumed.send(1).unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!wait.is_finished(), "half of its time is left");
    suspended.store(61_000, Ordering::SeqCst);
    resumed.send(2).unwrap();
    let ended = tokio::time::timeout(Duration::from_secs(1), wait).await.expect("it ends at once");
    assert_eq!(ended.unwrap(), Err(TimeOver));
}

#[tokio::test]
async fn a_wait_without_a_suspension_ends_in_its_time() {
    let started = Instant::now();
    assert_eq!(clock::timeout(Duration::from_millis(80), std::future::pending::<()>()).await, Err(TimeOver));
    assert!(started.elapsed() >= Duration::from_millis(80));
    assert_eq!(clock::timeout(Duration::ZERO, async { 5 }).await, Ok(5), "what is there counts");
}

#[test]
fn the_daemons_clock_is_the_time_since_boot() {
    let clock = clock::SystemClock::new();
    let (before, from) = (clock.now(), clock::since_boot());
    std::thread::sleep(Duration::from_millis(30));
    let (shown, passed) = (clock.now().since(before), clock::since_boot() - from);
    assert!(shown.abs_diff(passed) < Duration::from_millis(5), "{shown:?} and {passed:?}");
}

/// Leases, deadlines, ages and waits must not go by a clock that stands still during a suspension.
#[test]
fn monotonic_time_is_read_nowhere_else() {
    let sources = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    for file in rust_files(&sources) {
        let name = file.strip_prefix(&sources).unwrap().to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&file).unwrap();
        for clock in ["Instant", "tokio::time::sleep", "tokio::time::timeout"] {
            assert!(name == CLOCKS || !text.contains(clock), "{name} uses {clock}; see process/clock.rs");
        }
    }
}

fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    entries.flat_map(|path| if path.is_dir() { rust_files(&path) } else { vec![path] }).collect()
}
