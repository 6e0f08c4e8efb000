//! The cases.

mod deployment;
mod many_drivers;
mod owner_memory;
mod stale_route;
mod stream_hole;

use crate::record::Record;
use std::path::PathBuf;

/// What a case needs to run.
pub struct Context {
    pub record: Record,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

/// Runs a case. Returns what broke the rule; `None` if there is no such case or it could not run.
pub fn run(name: &str, context: &Context) -> Option<Vec<String>> {
    match name {
        "stream-hole" => stream_hole::run(context),
        "owner-memory" => owner_memory::run(context),
        "stale-route" => stale_route::run(context),
        "many-drivers" => many_drivers::run(context),
        _ => None,
    }
}
