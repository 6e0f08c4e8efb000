//! In-process stand-ins for the users' platform, and the entry daemon as a separate process.

mod client;
mod crashing;
mod daemon;
mod duties;
mod endless;
mod platform;
mod server;
mod store;

pub use client::{CallTimes, HttpResponse, call, read_response, send, time_of_day, timed_call};
pub use crashing::{CrashingServers, FATAL, MAX_LATE_RETRIES};
pub use daemon::{
    DaemonSettings, EntryDaemon, STOP_LIMIT, free_address, recovery_trials, start_logged_nodes, start_nodes,
    suspect_lines,
};
pub use duties::{DutyCall, DutyPlatform};
pub use endless::{EndlessPart, EndlessServers};
pub use platform::{
    Arrival, EVENTS_PER_STREAM, EngineOrder, Platform, ServerMode, complete_text, job_body_of, job_body_with,
    read_results, read_stream_from, read_stream_with_body, submit,
};
pub use server::{ReceivedRequest, rate_limiting_store, reply, serve};
pub use store::StandinStore;

use std::time::{Duration, Instant};

/// Timeout of every wait for a condition.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until a condition holds; panics after [`WAIT_TIMEOUT`].
pub fn eventually(what: &str, holds: impl FnMut() -> bool) {
    eventually_with_detail(what, holds, String::new);
}

/// Like [`eventually`], but appends the output of `detail` to the failure message.
pub fn eventually_with_detail(what: &str, mut holds: impl FnMut() -> bool, detail: impl Fn() -> String) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "timed out waiting until {what}; {}", detail());
        std::thread::sleep(Duration::from_millis(10));
    }
}
