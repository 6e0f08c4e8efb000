//! Settings of the daemon, checked whole before anything starts.

use crate::Name;
use crate::request::ChoicePolicy;
use crate::schema::{DocumentError, FieldKind, FieldSpec, check_document};
use serde::Deserialize;

/// Settings of one daemon, read from a JSON file with comments.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct DaemonSettings {
    /// Name of the VM.
    pub name: Name,
    /// Availability zone of the VM.
    pub zone: Name,
    /// Address on which callers, operators and probes are served.
    pub listen: Name,
    /// Address on which peers are served.
    pub link_listen: Name,
    /// Address of the table service.
    pub table: Name,
    /// Address of the object store.
    pub objects: Name,
    /// Address of the membership list.
    pub membership: Name,
    /// File with the callers' keys.
    pub caller_keys_file: String,
    /// File with the operators' key.
    pub operator_key_file: String,
    /// File with the key that peers share.
    pub link_key_file: String,
    /// File to which the bound addresses are written, for port 0.
    pub address_file: String,
    /// Log level.
    pub log_level: Name,
    /// Address of an OTLP collector; empty for none.
    pub otlp_endpoint: String,
    /// Folder in which decisions are recorded; empty for none.
    pub trace_dir: String,
    /// Longest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time to read a request's header, in milliseconds.
    pub header_timeout_ms: u64,
    /// Time to read a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Connections served at once.
    pub max_connections: usize,
    /// Deadline of a call that states none, in milliseconds.
    pub default_deadline_ms: u64,
    /// Interval between two probes of peers, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time a suspected peer may stay silent, in milliseconds.
    pub suspicion_ms: u64,
    /// Interval at which the table is polled for open steps, in milliseconds.
    pub poll_ms: u64,
    /// Time for which a renewal of a lease holds, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Time that an order to an engine may take, in milliseconds.
    pub order_timeout_ms: u64,
    /// Longest time a planned stop waits for requests in progress, in milliseconds.
    pub stop_limit_ms: u64,
    /// Samples that this node makes at once.
    pub max_samples: usize,
    /// Calls that wait for one model's engines on this node.
    pub max_queue: usize,
    /// Bytes of made groups held while the store is down.
    pub spool_bytes: usize,
    /// How engines and their owners are chosen.
    pub policy_choice: Name,
    /// Whether a call whose projected wait is past its deadline is refused at once.
    pub policy_admission: bool,
    /// Whether stragglers are hedged.
    pub policy_hedging: bool,
    /// Whether engines load new weights beside the old ones before they switch.
    pub policy_staged_swap: bool,
}

impl DaemonSettings {
    /// Returns how engines and their owners are chosen.
    pub fn choice_policy(&self) -> ChoicePolicy {
        match self.policy_choice.as_ref() {
            "random" => ChoicePolicy::Random,
            "least-in-flight" => ChoicePolicy::LeastInFlight,
            "two-choices" => ChoicePolicy::TwoChoices,
            _ => ChoicePolicy::PrefixAffinity { bound: AFFINITY_BOUND },
        }
    }
}

/// Load relative to the mean up to which a prefix keeps to its engine.
const AFFINITY_BOUND: f64 = 1.25;

impl Default for DaemonSettings {
    fn default() -> Self {
        Self {
            name: "".into(),
            zone: "".into(),
            listen: "127.0.0.1:0".into(),
            link_listen: "127.0.0.1:0".into(),
            table: "".into(),
            objects: "".into(),
            membership: "".into(),
            caller_keys_file: String::new(),
            operator_key_file: String::new(),
            link_key_file: String::new(),
            address_file: String::new(),
            log_level: "info".into(),
            otlp_endpoint: String::new(),
            trace_dir: String::new(),
            max_body_bytes: 8 * 1024 * 1024,
            header_timeout_ms: 5_000,
            body_timeout_ms: 20_000,
            max_connections: 4_096,
            default_deadline_ms: 60_000,
            heartbeat_ms: 500,
            suspicion_ms: 2_000,
            poll_ms: 2_000,
            lease_ttl_ms: 6_000,
            order_timeout_ms: 3_000,
            stop_limit_ms: 60_000,
            max_samples: 256,
            max_queue: 4_096,
            spool_bytes: 8 * 1024 * 1024,
            policy_choice: "prefix-affinity".into(),
            policy_admission: true,
            policy_hedging: false,
            policy_staged_swap: true,
        }
    }
}

const HOUR_MS: u64 = 3_600_000;

const fn required(name: &'static str, kind: FieldKind, meaning: &'static str) -> FieldSpec {
    FieldSpec { name, kind, default: None, meaning }
}

const fn optional(name: &'static str, kind: FieldKind, default: &'static str, meaning: &'static str) -> FieldSpec {
    FieldSpec { name, kind, default: Some(default), meaning }
}

const fn span(name: &'static str, default: &'static str, meaning: &'static str) -> FieldSpec {
    optional(name, FieldKind::Count { min: 1, max: HOUR_MS }, default, meaning)
}

const fn size(name: &'static str, max: u64, default: &'static str, meaning: &'static str) -> FieldSpec {
    optional(name, FieldKind::Count { min: 1, max }, default, meaning)
}

/// The fields of the settings file, also the source of docs/SETTINGS.md.
pub const SETTINGS_FIELDS: &[FieldSpec] = &[
    required("name", FieldKind::Text, "Name of the VM; unique."),
    required("zone", FieldKind::Text, "Availability zone of the VM."),
    optional("listen", FieldKind::Address, "127.0.0.1:0", "Address for callers, operators and probes."),
    optional("link_listen", FieldKind::Address, "127.0.0.1:0", "Address for peers."),
    required("table", FieldKind::Address, "Address of the table service."),
    required("objects", FieldKind::Address, "Address of the object store."),
    required("membership", FieldKind::Address, "Address of the membership list."),
    required("caller_keys_file", FieldKind::Text, "File with the callers' keys: a JSON object from key to user."),
    required("operator_key_file", FieldKind::Text, "File with the operators' key."),
    required("link_key_file", FieldKind::Text, "File with the key that peers share."),
    optional("address_file", FieldKind::Text, "", "File to which the bound addresses are written."),
    optional(
        "log_level",
        FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]),
        "info",
        "Least severe level that is logged.",
    ),
    optional("otlp_endpoint", FieldKind::Text, "", "URL of an OTLP collector for spans; none if left out."),
    optional("trace_dir", FieldKind::Text, "", "Folder in which decisions are recorded for replay; none if left out."),
    size("max_body_bytes", 1 << 30, "8388608", "Longest request body, in bytes."),
    span("header_timeout_ms", "5000", "Time to read a request's header."),
    span("body_timeout_ms", "20000", "Time to read a request's body."),
    size("max_connections", 1_000_000, "4096", "Connections served at once."),
    span("default_deadline_ms", "60000", "Deadline of a call that states none."),
    span("heartbeat_ms", "500", "Interval between two probes of peers."),
    span("suspicion_ms", "2000", "Time that a suspected peer may stay silent."),
    span("poll_ms", "2000", "Interval at which the table is polled."),
    span("lease_ttl_ms", "6000", "Time for which a renewal of a lease holds."),
    span("order_timeout_ms", "3000", "Time that an order to an engine may take."),
    span("stop_limit_ms", "60000", "Longest time that a planned stop waits for requests in progress."),
    size("max_samples", 1_000_000, "256", "Samples that this node makes at once."),
    size("max_queue", 1_000_000, "4096", "Calls that wait for one model's engines on this node."),
    size("spool_bytes", 1 << 32, "8388608", "Bytes of made groups held while the store is down."),
    optional(
        "policy_choice",
        FieldKind::Choice(&["prefix-affinity", "random", "least-in-flight", "two-choices"]),
        "prefix-affinity",
        "How engines and their owners are chosen; the others are baselines for measurements.",
    ),
    optional(
        "policy_admission",
        FieldKind::Flag,
        "true",
        "Whether a call that cannot be whole in time is refused at once.",
    ),
    optional(
        "policy_hedging",
        FieldKind::Flag,
        "false",
        "Whether stragglers are hedged; measured not to pay where lengths are heavy-tailed.",
    ),
    optional(
        "policy_staged_swap",
        FieldKind::Flag,
        "true",
        "Whether engines load weights beside the old ones and then switch.",
    ),
];

/// Parses a settings file and reports every fault of it at once.
pub fn parse_settings(file: &str, text: &str) -> Result<DaemonSettings, Vec<DocumentError>> {
    let document = check_document(file, text, SETTINGS_FIELDS)?;
    DaemonSettings::deserialize(document.value()).map_err(|error| vec![document.error("document", error.to_string())])
}
