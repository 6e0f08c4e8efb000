//! Settings of the entry service, which runs on the users' platform.

use crate::Name;
use crate::process::UsageSettings;
use crate::schema::{DocumentError, FieldKind, FieldSpec, check_document};
use crate::version::Zone;
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
    /// Availability zones of the deployment with their regions; empty if it has no regions.
    pub zones: Vec<Zone>,
    /// Listen address for clients.
    pub client_listen: Name,
    /// Listen address for readiness checks.
    pub ready_listen: Name,
    /// Listen address for peers.
    pub peer_listen: Name,
    /// Listen address for metrics; empty for none.
    pub metrics_listen: String,
    /// URL of an OTLP collector for spans; empty for none.
    pub otlp_endpoint: String,
    /// Peer addresses of a few nodes that may be running.
    pub seeds: Vec<Name>,
    /// Address of the platform's store.
    pub store: Name,
    /// Read calls per second that the store accepts from all nodes together.
    pub store_reads_per_s: u64,
    /// Maximum size of a row's content in the store, in bytes.
    pub store_row_bytes: usize,
    /// Number of processor cores that the VM has, which may be a fraction of one.
    pub cpu_share: f64,
    /// Speed of such a core relative to a standard core.
    pub cpu_speed: f64,
    /// Memory of the VM in megabytes, from which the limits on buffered data follow; 0 for no limits.
    pub memory_mb: u64,
    /// Maximum number of open file descriptors, from which the limits on connections follow; 0 for no limits.
    pub max_descriptors: u64,
    /// Time from the start of a planned stop until the platform kills the process, in seconds.
    pub stop_limit_s: f64,
    /// Time that a new holder of the order lease waits before its first order, so that no order of the
    /// previous holder is still in flight, in milliseconds.
    pub order_handover_ms: u64,
    /// Time after its submission for which a finished job can be read, in seconds.
    pub retention_s: u64,
    /// Interval at which backend servers write heartbeats to service discovery, in milliseconds.
    pub server_heartbeat_ms: u64,
    /// Number of nodes that follow the store and relay its changes; 0 to derive it from the size of the
    /// fleet.
    pub followers: usize,
    /// Fraction of a service's engines that may load weights at the same time.
    pub load_share: f64,
    /// Assumed time to load weights until a load has been observed, in milliseconds.
    pub first_load_ms: u64,
    /// Address of the platform's API for duties (usage reports and orders of engines); empty for none.
    pub duty_service: Name,
    /// Duty calls per second that the platform accepts from all nodes together.
    pub duty_calls_per_s: f64,
    /// Length of a usage report's window, in seconds; 0 for no reports.
    pub usage_window_s: f64,
    /// Time from the end of a window until its report is due, in seconds.
    pub usage_due_s: f64,
    /// Whether calls of customers that exceed their share of an overloaded service are refused.
    pub customer_shares: bool,
    /// Factor on the requests per second that a cold engine tolerates, above which all nodes together must
    /// not send.
    pub cold_over: f64,
    /// Requests per second that are added to that limit.
    pub cold_slack: f64,
    /// Least severe level that is logged.
    pub log_level: Name,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            name: "".into(),
            zone: "".into(),
            zones: Vec::new(),
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
            cold_over: 1.5,
            cold_slack: 5.0,
            log_level: "info".into(),
        }
    }
}

/// Number of missed heartbeats after which the platform expires the entry of a backend server.
const EXPIRY_HEARTBEATS: u64 = 3;

impl EntrySettings {
    /// Returns the processor capacity of the VM, in thousandths of a standard core.
    pub fn capacity(&self) -> u32 {
        (self.cpu_share * self.cpu_speed * 1_000.0).round() as u32
    }

    /// Returns the time after which service discovery expires the entry of a server without heartbeats.
    pub fn entry_ttl(&self) -> Duration {
        Duration::from_millis(self.server_heartbeat_ms.saturating_mul(EXPIRY_HEARTBEATS))
    }

    /// Returns the settings of usage reports, or `None` if usage is not reported.
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

/// The fields of an availability zone in the settings file.
pub const ZONE_FIELDS: &[FieldSpec] = &[
    field("name", FieldKind::Text, None, "Name of the availability zone."),
    field("region", FieldKind::Text, None, "Region that the zone lies in."),
];

/// The fields of the settings file, from which `docs/SETTINGS.md` is generated as well.
pub const ENTRY_FIELDS: &[FieldSpec] = &[
    field("name", FieldKind::Text, None, "Name of the VM; unique."),
    field("zone", FieldKind::Text, None, "Availability zone of the VM."),
    field(
        "zones",
        FieldKind::Records(ZONE_FIELDS),
        Some("[]"),
        "Availability zones of the deployment with their regions.",
    ),
    field("client_listen", FieldKind::Address, Some("127.0.0.1:0"), "Listen address for clients."),
    field("ready_listen", FieldKind::Address, Some("127.0.0.1:0"), "Listen address for readiness checks."),
    field("peer_listen", FieldKind::Address, Some("127.0.0.1:0"), "Listen address for peers."),
    field("metrics_listen", FieldKind::Text, Some(""), "Listen address for metrics; none if left out."),
    field("otlp_endpoint", FieldKind::Text, Some(""), "URL of an OTLP collector for spans; none if left out."),
    field("seeds", FieldKind::TextList, Some("[]"), "Peer addresses of a few nodes that may be running."),
    field("store", FieldKind::Address, None, "Address of the platform's store."),
    count(
        "store_reads_per_s",
        1,
        1 << 30,
        "2000",
        "Read calls per second that the store accepts from all nodes together.",
    ),
    count("store_row_bytes", 1_024, 1 << 30, "65536", "Maximum size of a row's content in the store, in bytes."),
    ratio(
        "cpu_share",
        0.001,
        1_024.0,
        "1",
        "Number of processor cores that the VM has, which may be a fraction of one; larger VMs drive the batch jobs.",
    ),
    ratio("cpu_speed", 0.001, 1_024.0, "1", "Speed of such a core relative to a standard core."),
    count(
        "memory_mb",
        0,
        1 << 30,
        "0",
        "Memory of the VM in megabytes, from which the limits on buffered data follow; 0 for no limits.",
    ),
    count(
        "max_descriptors",
        0,
        1 << 30,
        "0",
        "Maximum number of open file descriptors, divided among clients, peers, servers and the store; 0 for no limits.",
    ),
    ratio(
        "stop_limit_s",
        0.1,
        3_600.0,
        "8",
        "Time from the start of a planned stop until the platform kills the process.",
    ),
    count(
        "order_handover_ms",
        1,
        HOUR_MS,
        "3000",
        "Time that a new holder of the order lease waits before its first order, so that none of the previous holder is in flight.",
    ),
    count(
        "retention_s",
        1,
        30 * 86_400,
        "600",
        "Time after its submission for which a job that a client has ended can be read; others are kept.",
    ),
    count(
        "server_heartbeat_ms",
        1,
        HOUR_MS,
        "1200",
        "Interval at which backend servers write heartbeats to service discovery; an entry expires after three missed ones.",
    ),
    count(
        "followers",
        0,
        1 << 20,
        "0",
        "Number of nodes that follow the store and relay its changes, at least two per zone; 0 to derive it from the size of the fleet.",
    ),
    ratio(
        "load_share",
        0.0,
        1.0,
        "0.2",
        "Fraction of a service's engines that may load weights at the same time; two may in any case.",
    ),
    count("first_load_ms", 1, HOUR_MS, "950", "Assumed time to load weights until a load has been observed."),
    field(
        "duty_service",
        FieldKind::Text,
        Some(""),
        "Address of the platform's API for duties (usage reports and orders of engines); none if left out.",
    ),
    ratio(
        "duty_calls_per_s",
        0.1,
        1_000_000.0,
        "10",
        "Duty calls per second that the platform accepts from all nodes together; each duty makes at most a quarter of them.",
    ),
    ratio(
        "usage_window_s",
        0.0,
        86_400.0,
        "0",
        "Length of a usage report's window, counted from 1970; 0 for no reports.",
    ),
    ratio("usage_due_s", 0.1, 86_400.0, "10", "Time from the end of a window until its report is due."),
    field(
        "customer_shares",
        FieldKind::Flag,
        Some("false"),
        "Whether calls of customers that exceed their share of an overloaded service are refused.",
    ),
    ratio(
        "cold_over",
        0.0,
        1_000.0,
        "1.5",
        "Factor on `cold_per_s` in the limit of requests that a cold engine gets in any second from all nodes.",
    ),
    ratio("cold_slack", 0.0, 1_000_000.0, "5", "Requests per second that are added to that limit."),
    field(
        "log_level",
        FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]),
        Some("info"),
        "Least severe level that is logged.",
    ),
];

/// Parses a settings file. All errors of the file are reported together.
pub fn parse_entry_settings(file: &str, text: &str) -> Result<EntrySettings, Vec<DocumentError>> {
    let document = check_document(file, text, ENTRY_FIELDS)?;
    EntrySettings::deserialize(document.value()).map_err(|error| vec![document.error("document", error.to_string())])
}
