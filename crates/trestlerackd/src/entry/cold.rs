//! Carries out the limit of requests to engines that are or may be cold; see
//! [docs/design/cold-engines.md](../../../../docs/design/cold-engines.md).

use crate::process::interval_limiter::IntervalLimiter;
use crate::process::{clock, logs};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Meter};
use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::process::{
    ColdChange, ColdSettings, ColdStatus, EngineWarmth, EntrySettings, JobDrivers, LoadBalancer, ServerEntry,
    SuspensionDetector,
};
use trestlerack::time::millis;
use trestlerack::{Name, Timestamp, event};
use trestlerack_platform::InvalidField;

/// Interval at which drivers, nodes and states of engines are read. A former driver uses its allotment for at most
/// this much longer.
pub const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two log lines of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of engines that a log line names; of the others it has only the count.
const MAX_LOGGED_ENGINES: usize = 4;

/// Returns the settings of the limiter.
pub fn limiter_settings(settings: &EntrySettings) -> ColdSettings {
    ColdSettings {
        node: settings.name.clone(),
        over: settings.cold_over,
        slack: settings.cold_slack,
        heartbeat: Duration::from_millis(settings.server_heartbeat_ms),
        ..ColdSettings::default()
    }
}

/// Counters of the limit.
pub struct ColdMetrics {
    refused: Counter<u64>,
    sent: Counter<u64>,
}

impl ColdMetrics {
    /// Starts the metrics.
    pub fn start(meter: &Meter) -> Self {
        Self {
            refused: meter.u64_counter("trestlerack.entry.cold.refused").build(),
            sent: meter.u64_counter("trestlerack.entry.cold.sent").build(),
        }
    }
}

/// Asks the limiter of the load balancer before each send, and logs what it decides.
pub struct ColdControl {
    suspension: Mutex<SuspensionDetector>,
    refusal_log: IntervalLimiter,
    change_log: IntervalLimiter,
    entry_log: IntervalLimiter,
    /// Engines that became cold or warm and have not been logged yet, with their latest state.
    unlogged: Mutex<BTreeMap<Name, EngineWarmth>>,
    /// Notified when a configuration sets a limit.
    limit_set: Notify,
}

impl ColdControl {
    /// Creates the control of a process that starts now.
    pub fn new() -> Self {
        Self {
            suspension: Mutex::default(),
            refusal_log: IntervalLimiter::every(LOG_INTERVAL),
            change_log: IntervalLimiter::every(LOG_INTERVAL),
            entry_log: IntervalLimiter::every(LOG_INTERVAL),
            unlogged: Mutex::default(),
            limit_set: Notify::new(),
        }
    }

    /// Waits until a configuration sets a limit, so that a deployment without one has no periodic work.
    pub async fn wait_for_limit(&self, balancer: &Mutex<LoadBalancer>) {
        while !balancer.lock().unwrap().cold.is_active() {
            self.limit_set.notified().await;
        }
    }

    /// Records that a configuration was applied, which may have set a limit.
    pub fn record_configuration(&self) {
        self.limit_set.notify_one();
    }

    /// Counts a request that is sent to a server now, unless it would exceed the limit. Returns whether it may be
    /// sent.
    pub fn try_send(
        &self,
        balancer: &Mutex<LoadBalancer>,
        metrics: &ColdMetrics,
        now: Timestamp,
        server: &ServerEntry,
    ) -> bool {
        let mut balancer = balancer.lock().unwrap();
        if !balancer.cold.is_limited(&server.service) {
            return true;
        }
        // A suspension that the periodic check has not noticed yet makes the state of engines unknown too.
        let (since_boot, monotonic) = clock::boot_and_monotonic_time();
        if self.suspension.lock().unwrap().update(since_boot, monotonic).is_some() {
            balancer.cold.record_resumption(now);
        }
        let permit = balancer.try_send(now, server);
        drop(balancer);
        match permit {
            Some(permit) if permit.is_cold => metrics.sent.add(1, &service_label(&server.service)),
            Some(_) => {}
            None => self.record_refusal(metrics, now, &server.service, &server.instance),
        }
        permit.is_some()
    }

    /// Records a request that found no server, if a server of its service was left out because of the limit.
    pub fn record_unserved(
        &self,
        balancer: &Mutex<LoadBalancer>,
        metrics: &ColdMetrics,
        now: Timestamp,
        service: &str,
    ) {
        let limited = balancer.lock().unwrap().limited_server(now, service);
        if let Some(server) = limited {
            self.record_refusal(metrics, now, service, &server);
        }
    }

    /// Applies the drivers of open jobs and the registered nodes, and logs which engines became cold or warm.
    pub fn update(&self, balancer: &Mutex<LoadBalancer>, now: Timestamp, drivers: JobDrivers, nodes: Vec<Name>) {
        let changes = {
            let cold = &mut balancer.lock().unwrap().cold;
            cold.set_drivers(now, drivers);
            cold.set_nodes(nodes.into_iter().collect());
            cold.advance(now)
        };
        let mut unlogged = self.unlogged.lock().unwrap();
        unlogged.extend(changes.into_iter().map(|ColdChange { engine, warmth }| (engine, warmth)));
        if !unlogged.is_empty() && self.change_log.try_pass(now).is_some() {
            log_changes(&std::mem::take(&mut *unlogged));
        }
    }

    /// Logs an invalid cold time in the entry of a server, which may come with each heartbeat.
    pub fn log_invalid_entry(&self, now: Timestamp, key: &str, invalid: &InvalidField) {
        if self.entry_log.try_pass(now).is_some() {
            log_invalid_field(key, invalid);
        }
    }

    fn record_refusal(&self, metrics: &ColdMetrics, now: Timestamp, service: &str, server: &Name) {
        metrics.refused.add(1, &service_label(service));
        if let Some(skipped) = self.refusal_log.try_pass(now) {
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("service", &service), ("server", server), ("count", &(skipped + 1))];
            logs::write(event::COLD_LIMIT_REACHED, &fields);
        }
    }
}

/// Logs a field about cold engines whose invalid value is replaced.
pub fn log_invalid_field(key: &str, invalid: &InvalidField) {
    let fields: [(&str, &dyn std::fmt::Display); 3] = [("key", &key), ("field", &invalid.field), ("why", &invalid.why)];
    logs::write(event::COLD_FIELD_INVALID, &fields);
}

fn service_label(service: &str) -> [KeyValue; 1] {
    [KeyValue::new("service", service.to_owned())]
}

fn log_changes(changes: &BTreeMap<Name, EngineWarmth>) {
    let is_cold = |warmth: &EngineWarmth| matches!(warmth, EngineWarmth::Cold(_));
    for (event, wants_cold) in [(event::ENGINES_COLD, true), (event::ENGINES_WARM, false)] {
        let engines = changes.iter().filter(|(_, warmth)| is_cold(warmth) == wants_cold);
        let engines: Vec<&str> = engines.map(|(engine, _)| &**engine).collect();
        if !engines.is_empty() {
            let named = engines[..engines.len().min(MAX_LOGGED_ENGINES)].join(",");
            logs::write(event, &[("engines", &named), ("count", &engines.len())]);
        }
    }
}

/// An engine in the list of engines that may be cold.
#[derive(Serialize)]
pub struct ColdJson {
    engine: Name,
    service: Name,
    state: &'static str,
    cold_for_ms: u64,
    /// Requests per second that this node may send to it now; null if that is not limited.
    allotment: Option<u32>,
    sent_last_second: usize,
}

/// Returns the list of the engines of services with a limit.
pub fn statuses(balancer: &Mutex<LoadBalancer>, now: Timestamp) -> Vec<ColdJson> {
    let to_json = |status: ColdStatus| {
        let cold_for_ms = if let EngineWarmth::Cold(left) = status.warmth { millis(left) } else { 0 };
        let ColdStatus { engine, service, warmth, allotment, sent } = status;
        ColdJson { engine, service, state: warmth.as_str(), cold_for_ms, allotment, sent_last_second: sent }
    };
    balancer.lock().unwrap().cold_statuses(now).into_iter().map(to_json).collect()
}
