//! Declarations: documents in which operators declare zones, backend servers, users and campaigns.

use super::{ConfigContent, ConfigItem, StalenessRule};
use crate::schema::{CheckedDocument, DocumentError, FieldKind, FieldSpec, check_document};
use crate::{AllowedZones, Name};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// An availability zone and the region it lies in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Name of the zone.
    pub name: Name,
    /// Region that the zone lies in.
    pub region: Name,
}

/// The function of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// Generates tokens.
    Engine,
    /// Scores samples.
    Scoring,
    /// Any other service.
    Plain,
}

/// A backend server: a model engine, a scoring service or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Name of the backend server.
    pub name: Name,
    /// What the server does.
    pub kind: BackendKind,
    /// Availability zone that it runs in.
    pub zone: Name,
    /// Address that it listens on, as `ip:port`.
    pub address: Name,
    /// Model that an engine serves; for other kinds, the service that the server belongs to.
    pub service: Name,
    /// Number of requests that it processes at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it rejects an order with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether a call to it may be executed more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the server itself executes calls with the same idempotency key at most once.
    #[serde(default)]
    pub honours_keys: bool,
    /// Whether it receives no new work.
    #[serde(default, rename = "leaving")]
    pub is_draining: bool,
}

fn default_slots() -> u32 {
    4
}

/// The limits of a user.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct User {
    /// Name of the user.
    pub name: Name,
    /// Largest number of calls per second, over all nodes.
    #[serde(default = "default_rate")]
    pub calls_per_second: u32,
    /// Availability zones in which the user's own calls may run.
    #[serde(rename = "places")]
    pub allowed_zones: AllowedZones,
}

fn default_rate() -> u32 {
    1_000
}

/// A rollout campaign.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Campaign {
    /// Name of the campaign.
    pub name: Name,
    /// User whose trainers may submit steps.
    pub user: Name,
    /// Model whose engines generate the samples.
    pub model: Name,
    /// Service that scores the samples.
    pub scoring: Name,
    /// Availability zones in which samples are generated, scored and stored.
    #[serde(rename = "places")]
    pub allowed_zones: AllowedZones,
    /// Largest accepted sample age in weight versions.
    pub max_staleness_versions: u64,
    /// Largest accepted sample age in seconds; 0 sets no bound.
    #[serde(default)]
    pub max_staleness_seconds: u64,
    /// Share of engine time relative to other campaigns.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Largest number of tokens of a sample.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Smallest share of the model's engines that keeps serving during a swap, in percent.
    #[serde(default = "default_serving_percent")]
    pub serving_percent: u32,
}

fn default_weight() -> u32 {
    1
}

fn default_max_tokens() -> u32 {
    256
}

fn default_serving_percent() -> u32 {
    50
}

impl Campaign {
    /// Returns the bound on the age of this campaign's samples.
    pub fn staleness_rule(&self) -> StalenessRule {
        let max_seconds = (self.max_staleness_seconds > 0).then_some(self.max_staleness_seconds);
        StalenessRule { max_versions: self.max_staleness_versions, max_seconds }
    }
}

/// Everything that one scope declares.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declaration {
    /// Scope that owns the declared items; items of other scopes are not changed.
    pub scope: Name,
    /// Availability zones.
    #[serde(default)]
    pub zones: Vec<Zone>,
    /// Backend servers.
    #[serde(default)]
    pub backends: Vec<Backend>,
    /// Users.
    #[serde(default)]
    pub users: Vec<User>,
    /// Campaigns.
    #[serde(default)]
    pub campaigns: Vec<Campaign>,
}

impl Declaration {
    /// Returns the declared items by key.
    pub fn items(&self) -> BTreeMap<Name, ConfigItem> {
        let zones = self.zones.iter().cloned().map(ConfigContent::Zone);
        let backends = self.backends.iter().cloned().map(ConfigContent::Backend);
        let users = self.users.iter().cloned().map(ConfigContent::User);
        let campaigns = self.campaigns.iter().cloned().map(ConfigContent::Campaign);
        let bodies = zones.chain(backends).chain(users).chain(campaigns);
        bodies.map(|body| (body.key(), ConfigItem { scope: self.scope.clone(), body })).collect()
    }
}

/// Largest staleness bound that a campaign may set, in seconds.
const MAX_STALENESS_SECONDS: u64 = 1_000_000_000;

const fn text(name: &'static str, meaning: &'static str) -> FieldSpec {
    FieldSpec { name, kind: FieldKind::Text, default: None, meaning }
}

const fn count(
    name: &'static str,
    (min, max): (u64, u64),
    default: Option<&'static str>,
    meaning: &'static str,
) -> FieldSpec {
    FieldSpec { name, kind: FieldKind::Count { min, max }, default, meaning }
}

const fn flag(name: &'static str, meaning: &'static str) -> FieldSpec {
    FieldSpec { name, kind: FieldKind::Flag, default: Some("false"), meaning }
}

const ZONE_FIELDS: &[FieldSpec] =
    &[text("name", "Name of the availability zone."), text("region", "Region that the zone lies in.")];

const BACKEND_FIELDS: &[FieldSpec] = &[
    text("name", "Name of the backend server."),
    FieldSpec {
        name: "kind",
        kind: FieldKind::Choice(&["engine", "scoring", "plain"]),
        default: None,
        meaning: "What the backend server does.",
    },
    text("zone", "Availability zone that it runs in; must be declared."),
    FieldSpec { name: "address", kind: FieldKind::Address, default: None, meaning: "Address that it listens on." },
    text("service", "Model that an engine serves; for other kinds, the service that the server belongs to."),
    count("slots", (1, 4_096), Some("4"), "Number of requests that it processes at the same time."),
    flag("checks_fencing", "Whether it rejects an order with an old fencing token."),
    flag("idempotent", "Whether a call to it may be executed more than once."),
    flag("honours_keys", "Whether the server itself executes calls with the same idempotency key at most once."),
    flag("leaving", "Whether it receives no new work."),
];

const USER_FIELDS: &[FieldSpec] = &[
    text("name", "Name of the user, as in the callers' key file."),
    count("calls_per_second", (1, 1_000_000), Some("1000"), "Largest number of calls per second, over all nodes."),
    FieldSpec {
        name: "places",
        kind: FieldKind::TextList,
        default: None,
        meaning: "Availability zones in which the user's own calls may run.",
    },
];

const CAMPAIGN_FIELDS: &[FieldSpec] = &[
    text("name", "Name of the campaign."),
    text("user", "User whose trainers may submit steps; must be declared."),
    text("model", "Model whose engines generate the samples."),
    text("scoring", "Service that scores the samples."),
    FieldSpec {
        name: "places",
        kind: FieldKind::TextList,
        default: None,
        meaning: "Availability zones in which samples are generated, scored and stored.",
    },
    count("max_staleness_versions", (0, 1_000), None, "Largest sample age in weight versions."),
    count(
        "max_staleness_seconds",
        (0, MAX_STALENESS_SECONDS),
        Some("0"),
        "Largest sample age in seconds; 0 sets no bound.",
    ),
    count("weight", (1, 1_000), Some("1"), "Share of engine time relative to other campaigns."),
    count("max_tokens", (1, 1_000_000), Some("256"), "Largest number of tokens of a sample."),
    count(
        "serving_percent",
        (0, 100),
        Some("50"),
        "Smallest share of the model's engines that keeps serving during a swap, in percent.",
    ),
];

/// The fields of a declaration file, from which its table in docs/SETTINGS.md is generated.
pub const DECLARATION_SECTIONS: &[FieldSpec] = &[
    text("scope", "Scope that owns the declared items; items of other scopes are not changed."),
    records("zones", ZONE_FIELDS, "Availability zones."),
    records("backends", BACKEND_FIELDS, "Backend servers."),
    records("users", USER_FIELDS, "Users and their limits."),
    records("campaigns", CAMPAIGN_FIELDS, "Rollout campaigns."),
];

const fn records(name: &'static str, fields: &'static [FieldSpec], meaning: &'static str) -> FieldSpec {
    FieldSpec { name, kind: FieldKind::Records(fields), default: Some("[]"), meaning }
}

/// Parses a declaration, or returns all of its errors.
///
/// References are checked within the file: each zone, user, model and scoring service that is named must be
/// declared in the same file, so that a plan never commits a dangling reference.
pub fn parse_declaration(file: &str, text: &str) -> Result<Declaration, Vec<DocumentError>> {
    let document = check_document(file, text, DECLARATION_SECTIONS)?;
    let declaration =
        Declaration::deserialize(document.value()).map_err(|error| vec![document.error("scope", error.to_string())])?;
    let errors = reference_errors(&document, &declaration);
    if errors.is_empty() { Ok(declaration) } else { Err(errors) }
}

fn reference_errors(document: &CheckedDocument, declaration: &Declaration) -> Vec<DocumentError> {
    let zones: BTreeSet<&str> = declaration.zones.iter().map(|zone| zone.name.as_ref()).collect();
    let users: BTreeSet<&str> = declaration.users.iter().map(|user| user.name.as_ref()).collect();
    let mut errors = Vec::new();
    let mut require = |is_met: bool, key: String, message: String| {
        if !is_met {
            errors.push(document.error(&key, message));
        }
    };
    for (index, backend) in declaration.backends.iter().enumerate() {
        let is_declared = zones.contains(backend.zone.as_ref());
        require(is_declared, format!("backends[{index}].zone"), format!("no zone {} is declared", backend.zone));
    }
    for (index, user) in declaration.users.iter().enumerate() {
        for zone in user.allowed_zones.zones() {
            let is_declared = zones.contains(zone.as_ref());
            require(is_declared, format!("users[{index}].places"), format!("no zone {zone} is declared"));
        }
    }
    for (index, campaign) in declaration.campaigns.iter().enumerate() {
        let path = format!("campaigns[{index}]");
        for zone in campaign.allowed_zones.zones() {
            let is_declared = zones.contains(zone.as_ref());
            require(is_declared, format!("{path}.places"), format!("no zone {zone} is declared"));
        }
        let is_declared = users.contains(campaign.user.as_ref());
        require(is_declared, format!("{path}.user"), format!("no user {} is declared", campaign.user));
        let has_engine = is_served(declaration, campaign, BackendKind::Engine, &campaign.model);
        require(
            has_engine,
            format!("{path}.model"),
            format!("no engine in the campaign's zones serves {}", campaign.model),
        );
        let has_scoring = is_served(declaration, campaign, BackendKind::Scoring, &campaign.scoring);
        require(
            has_scoring,
            format!("{path}.scoring"),
            format!("no scoring service {} in the campaign's zones", campaign.scoring),
        );
    }
    errors
}

fn is_served(declaration: &Declaration, campaign: &Campaign, kind: BackendKind, service: &Name) -> bool {
    declaration.backends.iter().any(|backend| {
        backend.kind == kind && backend.service == *service && campaign.allowed_zones.allows(&backend.zone)
    })
}
