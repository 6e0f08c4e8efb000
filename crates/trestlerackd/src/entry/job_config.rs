//! The configuration by which a job is driven: at least as new as the one by which it was accepted.
//!
//! An older one may lack the route of the job, or have other limits for it. See
//! [docs/PLATFORM.md](../../../../docs/PLATFORM.md#the-route-of-a-job).

use super::tables;
use crate::process::clock;
use crate::process::logs;
use async_trait::async_trait;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::interfaces::StoreError;
use trestlerack::request::{JobRecord, JobSpec, TrackerSettings};
use trestlerack::version::RoutingTable;
use trestlerack::{Name, event};

/// Interval between two checks of whether the configuration is new enough.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Source of the configuration that a driver waits for.
#[async_trait]
pub trait ConfigurationSource: Send + Sync {
    /// Returns the configuration in force on this node; `None` before the first one is known.
    fn current(&self) -> Option<Arc<RoutingTable>>;

    /// Reads the newest configuration from the store.
    async fn read(&self) -> Result<(), StoreError>;

    /// Reads the newest configuration from the store, at most once a second for all callers of this node.
    async fn refresh(&self);
}

/// Waits for a configuration that is at least as new as the one by which a job was accepted. Returns `None` once the
/// driver `is_stopping`.
pub async fn wait_for_configuration(
    source: &dyn ConfigurationSource,
    job: &Name,
    record: &JobRecord,
    is_stopping: impl Fn() -> bool,
) -> Option<Arc<RoutingTable>> {
    let mut has_logged = false;
    // A record without the version was written before this read, so the read returns a configuration that is new enough.
    let mut needs_read = record.config_version == 0;
    while !is_stopping() {
        let current = source.current().filter(|current| current.version >= record.config_version);
        if let Some(current) = current.filter(|_| !needs_read) {
            return Some(current);
        }
        if !std::mem::replace(&mut has_logged, true) {
            let known = source.current().map_or(0, |current| current.version);
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("job", job), ("config", &record.config_version), ("known", &known)];
            logs::write(event::JOB_WAITS_FOR_CONFIG, &fields);
        }
        if needs_read {
            needs_read = source.read().await.is_err();
        } else {
            source.refresh().await;
        }
        clock::sleep(CHECK_INTERVAL).await;
    }
    None
}

/// Returns the settings of a job's tracker by a configuration.
pub fn tracker_settings(routing: &RoutingTable, spec: &JobSpec) -> TrackerSettings {
    let defaults = TrackerSettings::default();
    let route = routing.select(&spec.host, &spec.path);
    TrackerSettings {
        max_failures: route.map_or(defaults.max_failures, |route| route.max_attempts),
        single_version: route.is_some_and(|route| route.single_version),
        max_text_bytes: tables::MAX_COMMIT_BYTES,
        ..defaults
    }
}
