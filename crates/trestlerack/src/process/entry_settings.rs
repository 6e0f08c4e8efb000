//! Settings of the entry service, which runs on the users' platform.

use crate::Name;
use crate::process::UsageSettings;
use crate::schema::{DocumentError, FieldKind, FieldSpec, check_document};
use serde::Deserialize;
use std::time::Duration;

/// Settings of one entry node, read from a JSON file with comments.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct EntrySettings {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// Address on which clients are served.
    pub client_listen: Name,
    /// Address on which readiness is told.
    pub ready_listen: Name,
    /// Address on which peers are served.
    pub peer_listen: Name,
    /// Address on which metrics are served; empty for none.
    pub metrics_listen: String,
    /// URL of an OTLP collector for spans; empty for none.
    pub otlp_endpoint: String,
    /// Peer addresses of a few nodes that may be up.
    pub seeds: Vec<Name>,
    /// Address of the platform's store.
    pub store: Name,
    /// Reading calls that the store takes from all nodes together, each second.
    pub store_reads_per_s: u64,
    /// Most bytes of a row's content.
    pub store_row_bytes: usize,
    /// Share of a processor core that the VM has.
    pub cpu_share: f64,
    /// How many times as fast as one core that core is.
    pub cpu_speed: f64,
    /// Memory of the VM in megabytes; 0 bounds nothing that is held.
    pub memory_mb: u64,
    /// Descriptors that the process may have open; 0 bounds no connections.
    pub max_descriptors: u64,
    /// Time from a planned stop to the kill, in seconds.
    pub stop_limit_s: f64,
    /// Time that a new holder of the order lease waits for the last order of the holder before it.
    pub order_handover_ms: u64,
    /// Time after its submission for which an ended job can be read, in seconds.
    pub retention_s: u64,
    /// Interval at which backend servers write to service discovery.
    pub server_heartbeat_ms: u64,
    /// Nodes that follow the store and tell the others; 0 decides by the size of the fleet.
    pub followers: usize,
    /// Share of a service's engines that may load weights at once.
    pub load_share: f64,
    /// Time that a load of weights takes, until loads were seen.
    pub first_load_ms: u64,
    /// Address of the platform's interface for duties; empty where there is none.
    pub duty_service: Name,
    /// Duty calls that the platform takes from all nodes together, each second.
    pub duty_calls_per_s: f64,
    /// Length of a window of usage reports, in seconds; 0 for no reports.
    pub usage_window_s: f64,
    /// Time after a window's end at which its report is due, in seconds.
    pub usage_due_s: f64,
    /// Whether calls of customers that have more than their share of a short service are refused.
    pub customer_shares: bool,
    /// Log level.
    pub log_level: Name,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            name: "".into(),
            zone: "".into(),
            client_listen: "127.0.0.1:0".into(),
            ready_listen: "127.0.0.1:0".into(),
            peer_listen: "127.0.0.1:0".into(),
            metrics_listen: String::new(),
            otlp_endpoint: String::new(),
            seeds: Vec::new(),
            store: "".into(),
            store_reads_per_s: 2_000,
            store_row_bytes: 65_536,
            cpu_share: 1.0,
            cpu_speed: 1.0,
            memory_mb: 0,
            max_descriptors: 0,
            stop_limit_s: 8.0,
            order_handover_ms: 3_000,
            retention_s: 600,
            server_heartbeat_ms: 1_200,
            followers: 0,
            load_share: 0.2,
            first_load_ms: 950,
            duty_service: "".into(),
            duty_calls_per_s: 10.0,
            usage_window_s: 0.0,
            usage_due_s: 10.0,
            customer_shares: false,
            log_level: "info".into(),
        }
    }
}

/// Heartbeats of silence after which the entry of a backend server lapses, by the platform's pages.
const LAPSE_HEARTBEATS: u64 = 3;

impl EntrySettings {
    /// Returns what the VM's processor can do, in thousandths of a core.
    pub fn capacity(&self) -> u32 {
        (self.cpu_share * self.cpu_speed * 1_000.0).round() as u32
    }

    /// Returns the time after which service discovery has dropped the entry of a server that is gone.
    pub fn lapse_time(&self) -> Duration {
        Duration::from_millis(self.server_heartbeat_ms.saturating_mul(LAPSE_HEARTBEATS))
    }

    /// Returns how usage is reported, where it is.
    pub fn usage(&self) -> Option<UsageSettings> {
        let millis = |seconds: f64| (seconds * 1_000.0) as u64;
        let settings = UsageSettings { window_ms: millis(self.usage_window_s), due_ms: millis(self.usage_due_s) };
        (!self.duty_service.is_empty() && settings.window_ms > 0).then_some(settings)
    }
}

const fn field(name: &'static str, kind: FieldKind, default: Option<&'static str>, meaning: &'static str) -> FieldSpec {
    FieldSpec { name, kind, default, meaning }
}

const fn count(name: &'static str, min: u64, max: u64, default: &'static str, meaning: &'static str) -> FieldSpec {
    field(name, FieldKind::Count { min, max }, Some(default), meaning)
}

const fn ratio(name: &'static str, min: f64, max: f64, default: &'static str, meaning: &'static str) -> FieldSpec {
    field(name, FieldKind::Ratio { min, max }, Some(default), meaning)
}

const HOUR_MS: u64 = 3_600_000;

/// The fields of the settings file, also the source of docs/SETTINGS.md.
pub const ENTRY_FIELDS: &[FieldSpec] = &[
    field("name", FieldKind::Text, None, "Name of the VM; unique."),
    field("zone", FieldKind::Text, None, "Availability zone of the VM."),
    field("client_listen", FieldKind::Address, Some("127.0.0.1:0"), "Address for clients."),
    field("ready_listen", FieldKind::Address, Some("127.0.0.1:0"), "Address at which readiness is asked."),
    field("peer_listen", FieldKind::Address, Some("127.0.0.1:0"), "Address for peers."),
    field("metrics_listen", FieldKind::Text, Some(""), "Address for metrics; none if left out."),
    field("otlp_endpoint", FieldKind::Text, Some(""), "URL of an OTLP collector for spans; none if left out."),
    field("seeds", FieldKind::TextList, Some("[]"), "Peer addresses of a few nodes that may be up."),
    field("store", FieldKind::Address, None, "Address of the platform's store."),
    count(
        "store_reads_per_s",
        1,
        1 << 30,
        "2000",
        "Reading calls that the store takes from all nodes together, each second.",
    ),
    count("store_row_bytes", 1_024, 1 << 30, "65536", "Most bytes of the content of a row in the store."),
    ratio(
        "cpu_share",
        0.001,
        1_024.0,
        "1",
        "Share of a processor core that the VM has; larger VMs drive the batch jobs.",
    ),
    ratio("cpu_speed", 0.001, 1_024.0, "1", "How many times as fast as one core that core is."),
    count(
        "memory_mb",
        0,
        1 << 30,
        "0",
        "Memory of the VM in megabytes, from which it follows how much is held for callers; 0 for no bound.",
    ),
    count(
        "max_descriptors",
        0,
        1 << 30,
        "0",
        "Descriptors that the process may have open, of which clients, peers, servers and the store have parts; 0 for no bound.",
    ),
    ratio("stop_limit_s", 0.1, 3_600.0, "8", "Time from a planned stop to the kill."),
    count(
        "order_handover_ms",
        1,
        HOUR_MS,
        "3000",
        "Time that a new holder of the order lease waits before its first order.",
    ),
    count("retention_s", 1, 30 * 86_400, "600", "Time after its submission for which an ended job can be read."),
    count(
        "server_heartbeat_ms",
        1,
        HOUR_MS,
        "1200",
        "Interval at which backend servers write to service discovery; an entry lapses after three.",
    ),
    count(
        "followers",
        0,
        1 << 20,
        "0",
        "Nodes that follow the store and tell the others of changes, two a zone at least; 0 decides by the size of the fleet.",
    ),
    ratio(
        "load_share",
        0.0,
        1.0,
        "0.2",
        "Share of a service's engines that may load weights at once; two may in any case.",
    ),
    count("first_load_ms", 1, HOUR_MS, "950", "Time that a load of weights takes, until loads were seen."),
    field(
        "duty_service",
        FieldKind::Text,
        Some(""),
        "Address of the platform's interface for usage reports and orders of engines; none if left out.",
    ),
    ratio(
        "duty_calls_per_s",
        0.1,
        1_000_000.0,
        "10",
        "Calls for duties that the platform takes from all nodes together, each second; a quarter of them are made for each duty.",
    ),
    ratio(
        "usage_window_s",
        0.0,
        86_400.0,
        "0",
        "Length of a window of usage reports, counted from 1970; 0 for no reports.",
    ),
    ratio("usage_due_s", 0.1, 86_400.0, "10", "Time after a window's end at which its report is due."),
    field(
        "customer_shares",
        FieldKind::Flag,
        Some("false"),
        "Whether calls of customers that have more than their share of a service that is short are refused.",
    ),
    field(
        "log_level",
        FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]),
        Some("info"),
        "Least severe level that is logged.",
    ),
];

/// Parses a settings file and reports every fault of it at once.
pub fn parse_entry_settings(file: &str, text: &str) -> Result<EntrySettings, Vec<DocumentError>> {
    let document = check_document(file, text, ENTRY_FIELDS)?;
    EntrySettings::deserialize(document.value()).map_err(|error| vec![document.error("document", error.to_string())])
}
