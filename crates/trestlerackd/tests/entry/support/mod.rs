//! Small stand-ins for the users' platform, all in this process, and the entry daemon as a process
//! of its own.

mod client;
mod crashing;
mod daemon;
mod duties;
mod platform;
mod server;
mod store;

pub use client::{Answer, call, read_answer, send};
pub use crashing::{CrashingServers, FATAL};
pub use daemon::{DaemonSettings, EntryDaemon, STOP_LIMIT, free_address};
pub use duties::{DutyCall, DutyPlatform};
pub use platform::{
    EVENTS, EngineOrder, Platform, ServerMode, job_body_of, job_body_with, read_all, read_stream_from, read_stream_of,
    submit, whole_text,
};
pub use server::{rate_limiting_store, reply, serve};

use std::time::{Duration, Instant};

/// Time in which anything that is waited for has to happen.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until something holds.
pub fn eventually(what: &str, holds: impl FnMut() -> bool) {
    eventually_with_detail(what, holds, String::new);
}

/// Like [`eventually`], but appends the output of `detail` to the failure message.
pub fn eventually_with_detail(what: &str, mut holds: impl FnMut() -> bool, detail: impl Fn() -> String) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "timed out waiting until {what}; {}", detail());
        std::thread::sleep(Duration::from_millis(10));
    }
}
