//! The clocks of a running daemon, and the sleeps and timeouts that use them.
//!
//! Leases, deadlines, ages and timeouts are measured by the time since boot. It includes the time for
//! which the VM was suspended, which the runtime's own timers and `Instant` leave out. With those, a
//! lease holder that was suspended would use the lease after its expiry, for as long as the suspension
//! took.

use std::future::Future;
use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use trestlerack::Timestamp;
use trestlerack::interfaces::Clock;
use trestlerack::process::SuspensionDetector;
use trestlerack::time::millis;

/// Interval at which the time since boot is compared with monotonic time. A timeout that expired during
/// a suspension is noticed up to this much late; a shorter interval wakes the process more often.
const SUSPENSION_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time that a clock shows when it is created, so that subtracting an age from it does not underflow.
const CLOCK_START_MS: u64 = 3_600_000;

/// Number of suspensions detected so far.
static RESUME_COUNT: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::channel(0).0);

/// Returns the time since the VM booted, suspensions included.
pub fn since_boot() -> Duration {
    let read = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    // Linux has this clock since 2.6.39, and reading it needs no privilege.
    Duration::from(read.expect("the clock of the time since boot can be read"))
}

/// Returns the time since boot and the monotonic time. The latter does not advance during a suspension.
pub fn boot_and_monotonic_time() -> (Duration, Duration) {
    let monotonic = nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC);
    (since_boot(), Duration::from(monotonic.expect("the monotonic clock can be read")))
}

/// Reads the operating system's clocks.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    started: Duration,
}

impl SystemClock {
    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self { started: since_boot() }
    }

    /// Returns wall clock milliseconds since the Unix epoch.
    pub fn unix_millis() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, millis)
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Timestamp {
        Timestamp(CLOCK_START_MS + millis(since_boot().saturating_sub(self.started)))
    }

    fn unix_seconds(&self) -> u64 {
        Self::unix_millis() / 1_000
    }
}

/// Detects suspensions until the process ends, and calls `on_resume` with the length of each.
pub async fn watch_suspensions(on_resume: impl Fn(Duration)) {
    let mut detector = SuspensionDetector::default();
    loop {
        let (since_boot, monotonic) = boot_and_monotonic_time();
        if let Some(suspended) = detector.update(since_boot, monotonic) {
            RESUME_COUNT.send_modify(|count| *count += 1);
            on_resume(suspended);
        }
        tokio::time::sleep(SUSPENSION_CHECK_INTERVAL).await;
    }
}

/// A future did not complete within its time limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeoutError;

impl std::fmt::Display for TimeoutError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("timed out")
    }
}

impl std::error::Error for TimeoutError {}

/// Waits for a future for at most `limit`, measured by the time since boot.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, TimeoutError> {
    timeout_by(since_boot, RESUME_COUNT.subscribe(), limit, future).await
}

/// Waits for `duration`, measured by the time since boot.
pub async fn sleep(duration: Duration) {
    // A pending future never completes, so the timeout is the only result.
    let _ = timeout(duration, std::future::pending::<()>()).await;
}

/// Waits for a future until `clock` has advanced by `limit`. The runtime's timer may lag behind that
/// clock, so the remaining time is computed again whenever `resumptions` changes.
pub async fn timeout_by<F: Future>(
    clock: impl Fn() -> Duration,
    mut resumptions: watch::Receiver<u64>,
    limit: Duration,
    future: F,
) -> Result<F::Output, TimeoutError> {
    let started = clock();
    tokio::pin!(future);
    loop {
        let remaining = limit.saturating_sub(clock().saturating_sub(started));
        tokio::select! {
            // A completed future takes precedence over an expired timeout.
            biased;
            output = &mut future => return Ok(output),
            () = tokio::time::sleep(remaining) => return Err(TimeoutError),
            // The sender is never dropped.
            _ = resumptions.changed() => {}
        }
    }
}
