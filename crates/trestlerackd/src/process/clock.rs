//! The clocks of a running daemon, and the waits that go by them.
//!
//! Leases, deadlines, ages and waits go by the time since boot: it counts the time for which the VM
//! was suspended, which the runtime's own timers and `Instant` do not. A holder of a lease that was
//! suspended would otherwise act on it for as long as it was asleep.

use std::future::Future;
use std::sync::LazyLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use trestlerack::Timestamp;
use trestlerack::interfaces::Clock;
use trestlerack::process::SuspensionDetector;
use trestlerack::time::millis;

/// Interval at which both clocks are compared. A wait that a suspension has ended is noticed so late, and
/// each look is a wake-up of the process.
const GAUGE_INTERVAL: Duration = Duration::from_millis(200);

/// Time shown by a clock at its start, so that "some seconds ago" never falls below zero.
const START_MS: u64 = 3_600_000;

/// Counts the suspensions that were noticed.
static RESUMPTIONS: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::channel(0).0);

/// Returns the time since the VM booted, suspensions included.
pub fn since_boot() -> Duration {
    let read = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME);
    // Linux has had this clock since 2.6.39, and reading it takes no right.
    Duration::from(read.expect("the clock of the time since boot can be read"))
}

/// Returns the time since boot and monotonic time, which stands still during a suspension.
pub fn both_clocks() -> (Duration, Duration) {
    let monotonic = nix::time::clock_gettime(nix::time::ClockId::CLOCK_MONOTONIC);
    (since_boot(), Duration::from(monotonic.expect("the monotonic clock can be read")))
}

/// Reads the operating system's clocks.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    started: Duration,
}

impl SystemClock {
    /// Starts a clock.
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
        Timestamp(START_MS + millis(since_boot().saturating_sub(self.started)))
    }

    fn unix_seconds(&self) -> u64 {
        Self::unix_millis() / 1_000
    }
}

/// Looks for suspensions until the process ends, and calls `resumed` with the length of each.
pub async fn watch_suspensions(resumed: impl Fn(Duration)) {
    let mut gauge = SuspensionDetector::default();
    loop {
        let (since_boot, monotonic) = both_clocks();
        if let Some(suspended) = gauge.update(since_boot, monotonic) {
            RESUMPTIONS.send_modify(|count| *count += 1);
            resumed(suspended);
        }
        tokio::time::sleep(GAUGE_INTERVAL).await;
    }
}

/// A future did not end in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeOver;

impl std::fmt::Display for TimeOver {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("its time is over")
    }
}

impl std::error::Error for TimeOver {}

/// Waits for a future for `limit` at most.
pub async fn timeout<F: Future>(limit: Duration, future: F) -> Result<F::Output, TimeOver> {
    timeout_by(since_boot, RESUMPTIONS.subscribe(), limit, future).await
}

/// Waits for `span`.
pub async fn sleep(span: Duration) {
    // Nothing else can end this wait.
    let _ = timeout(span, std::future::pending::<()>()).await;
}

/// Waits for a future until `clock` is further by `limit`. The runtime's timer may lag behind that clock;
/// `resumptions` tells when to look again.
pub async fn timeout_by<F: Future>(
    clock: impl Fn() -> Duration,
    mut resumptions: watch::Receiver<u64>,
    limit: Duration,
    future: F,
) -> Result<F::Output, TimeOver> {
    let started = clock();
    tokio::pin!(future);
    loop {
        let left = limit.saturating_sub(clock().saturating_sub(started));
        tokio::select! {
            // A result that is there counts, also at the last moment.
            biased;
            output = &mut future => return Ok(output),
            () = tokio::time::sleep(left) => return Err(TimeOver),
            // The sender is never dropped.
            _ = resumptions.changed() => {}
        }
    }
}
