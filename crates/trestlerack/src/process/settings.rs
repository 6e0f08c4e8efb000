//! Settings of the daemon, which are validated completely before anything starts.

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
    /// Listen address for callers, operators and health probes.
    pub listen: Name,
    /// Listen address for peers.
    pub link_listen: Name,
    /// Address of the table service.
    pub table: Name,
    /// Address of the object store.
    pub objects: Name,
    /// Address of the membership list.
    pub membership: Name,
    /// File with the callers' API keys.
    pub caller_keys_file: String,
    /// File with the operators' API key.
    pub operator_key_file: String,
    /// File with the key that peers share.
    pub link_key_file: String,
    /// File to which the bound addresses are written, for listeners with port 0; empty for none.
    pub address_file: String,
    /// Least severe level that is logged.
    pub log_level: Name,
    /// URL of an OTLP collector for spans; empty for none.
    pub otlp_endpoint: String,
    /// Directory for traces of decisions, which can be replayed; empty for none.
    pub trace_dir: String,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for reading a request's header, in milliseconds.
    pub header_timeout_ms: u64,
    /// Timeout for reading a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Deadline of a call that does not set one, in milliseconds.
    pub default_deadline_ms: u64,
    /// Interval between probes of peers, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time after which a suspected peer counts as dead, in milliseconds.
    pub suspicion_ms: u64,
    /// Interval at which the table is polled for open steps, in milliseconds.
    pub poll_ms: u64,
    /// Time for which a renewal of a lease is valid, in milliseconds.
    pub lease_ttl_ms: u64,
    /// Maximum time of an order to an engine, in milliseconds.
    pub order_timeout_ms: u64,
    /// Maximum time that a planned stop waits for requests in progress, in milliseconds.
    pub stop_limit_ms: u64,
    /// Maximum number of samples that this node generates concurrently.
    pub max_samples: usize,
    /// Maximum number of calls that wait for one model's engines on this node.
    pub max_queue: usize,
    /// Maximum size of the generated groups that are held while the store is down, in bytes.
    pub spool_bytes: usize,
    /// Policy by which engines and their owners are chosen.
    pub policy_choice: Name,
    /// Whether a call that is projected to miss its deadline is refused at once.
    pub policy_admission: bool,
    /// Whether stragglers are hedged, that is, sent to a second engine.
    pub policy_hedging: bool,
    /// Whether engines load new weights beside the old ones before they switch to them.
    pub policy_staged_swap: bool,
}

impl DaemonSettings {
    /// Returns the policy by which engines and their owners are chosen.
    pub fn choice_policy(&self) -> ChoicePolicy {
        match self.policy_choice.as_ref() {
            "random" => ChoicePolicy::Random,
            "least-in-flight" => ChoicePolicy::LeastInFlight,
            "two-choices" => ChoicePolicy::TwoChoices,
            _ => ChoicePolicy::PrefixAffinity { bound: AFFINITY_BOUND },
        }
    }
}

/// Load of an engine, relative to the mean, up to which calls with the same prefix stay on it.
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

const fn duration_ms(name: &'static str, default: &'static str, meaning: &'static str) -> FieldSpec {
    optional(name, FieldKind::Count { min: 1, max: HOUR_MS }, default, meaning)
}

const fn positive_count(name: &'static str, max: u64, default: &'static str, meaning: &'static str) -> FieldSpec {
    optional(name, FieldKind::Count { min: 1, max }, default, meaning)
}

/// The fields of the settings file, from which `docs/SETTINGS.md` is generated as well.
pub const SETTINGS_FIELDS: &[FieldSpec] = &[
    required("name", FieldKind::Text, "Name of the VM; unique."),
    required("zone", FieldKind::Text, "Availability zone of the VM."),
    optional("listen", FieldKind::Address, "127.0.0.1:0", "Listen address for callers, operators and health probes."),
    optional("link_listen", FieldKind::Address, "127.0.0.1:0", "Listen address for peers."),
    required("table", FieldKind::Address, "Address of the table service."),
    required("objects", FieldKind::Address, "Address of the object store."),
    required("membership", FieldKind::Address, "Address of the membership list."),
    required("caller_keys_file", FieldKind::Text, "File with the callers' API keys: a JSON object from key to user."),
    required("operator_key_file", FieldKind::Text, "File with the operators' API key."),
    required("link_key_file", FieldKind::Text, "File with the key that peers share."),
    optional("address_file", FieldKind::Text, "", "File to which the bound addresses are written; none if left out."),
    optional(
        "log_level",
        FieldKind::Choice(&["error", "warn", "info", "debug", "trace"]),
        "info",
        "Least severe level that is logged.",
    ),
    optional("otlp_endpoint", FieldKind::Text, "", "URL of an OTLP collector for spans; none if left out."),
    optional(
        "trace_dir",
        FieldKind::Text,
        "",
        "Directory for traces of decisions, which can be replayed; none if left out.",
    ),
    positive_count("max_body_bytes", 1 << 30, "8388608", "Maximum size of a request body, in bytes."),
    duration_ms("header_timeout_ms", "5000", "Timeout for reading a request's header."),
    duration_ms("body_timeout_ms", "20000", "Timeout for reading a request's body."),
    positive_count("max_connections", 1_000_000, "4096", "Maximum number of concurrent connections."),
    duration_ms("default_deadline_ms", "60000", "Deadline of a call that does not set one."),
    duration_ms("heartbeat_ms", "500", "Interval between probes of peers."),
    duration_ms("suspicion_ms", "2000", "Time after which a suspected peer counts as dead."),
    duration_ms("poll_ms", "2000", "Interval at which the table is polled for open steps."),
    duration_ms("lease_ttl_ms", "6000", "Time for which a renewal of a lease is valid."),
    duration_ms("order_timeout_ms", "3000", "Maximum time of an order to an engine."),
    duration_ms("stop_limit_ms", "60000", "Maximum time that a planned stop waits for requests in progress."),
    positive_count("max_samples", 1_000_000, "256", "Maximum number of samples that this node generates concurrently."),
    positive_count(
        "max_queue",
        1_000_000,
        "4096",
        "Maximum number of calls that wait for one model's engines on this node.",
    ),
    positive_count(
        "spool_bytes",
        1 << 32,
        "8388608",
        "Maximum size of the generated groups that are held while the store is down, in bytes.",
    ),
    optional(
        "policy_choice",
        FieldKind::Choice(&["prefix-affinity", "random", "least-in-flight", "two-choices"]),
        "prefix-affinity",
        "Policy by which engines and their owners are chosen; those other than the default are baselines for measurements.",
    ),
    optional(
        "policy_admission",
        FieldKind::Flag,
        "true",
        "Whether a call that is projected to miss its deadline is refused at once.",
    ),
    optional(
        "policy_hedging",
        FieldKind::Flag,
        "false",
        "Whether stragglers are hedged, that is, sent to a second engine; this does not pay off if response lengths are heavy-tailed.",
    ),
    optional(
        "policy_staged_swap",
        FieldKind::Flag,
        "true",
        "Whether engines load new weights beside the old ones before they switch to them.",
    ),
];

/// Parses a settings file. All errors of the file are reported together.
pub fn parse_settings(file: &str, text: &str) -> Result<DaemonSettings, Vec<DocumentError>> {
    let document = check_document(file, text, SETTINGS_FIELDS)?;
    DaemonSettings::deserialize(document.value()).map_err(|error| vec![document.error("document", error.to_string())])
}
