//! Declarations: what operators keep in version control and hand in to be planned.

use super::{Item, ItemBody, StalenessRule};
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

/// What a backend server does.
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
    /// What it does.
    pub kind: BackendKind,
    /// Availability zone that it runs in.
    pub zone: Name,
    /// Address that it listens on, as `ip:port`.
    pub address: Name,
    /// Model that an engine serves, or service that the others belong to.
    pub service: Name,
    /// Requests that it works on at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Whether it refuses an order that carries an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether its calls may be repeated.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether it honours idempotency keys by itself.
    #[serde(default)]
    pub honours_keys: bool,
    /// Whether an operator has ordered it to be left alone.
    #[serde(default)]
    pub leaving: bool,
}

fn default_slots() -> u32 {
    4
}

/// The limits of a user.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct User {
    /// Name of the user.
    pub name: Name,
    /// Calls per second over all nodes together.
    #[serde(default = "default_rate")]
    pub calls_per_second: u32,
    /// Availability zones in which the user's own calls may run.
    pub places: AllowedZones,
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
    /// Model whose engines make the samples.
    pub model: Name,
    /// Scoring service.
    pub scoring: Name,
    /// Availability zones in which samples are made, scored and kept.
    pub places: AllowedZones,
    /// Largest accepted sample age in weight versions.
    pub max_staleness_versions: u64,
    /// Largest accepted sample age in seconds; 0 sets no bound.
    #[serde(default)]
    pub max_staleness_seconds: u64,
    /// Share of engine time relative to other campaigns.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Tokens generated for a sample at most.
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
    /// Owner of the declared items; items of other scopes are left alone.
    pub scope: Name,
    /// Zones.
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
    pub fn items(&self) -> BTreeMap<Name, Item> {
        let zones = self.zones.iter().cloned().map(ItemBody::Zone);
        let backends = self.backends.iter().cloned().map(ItemBody::Backend);
        let users = self.users.iter().cloned().map(ItemBody::User);
        let campaigns = self.campaigns.iter().cloned().map(ItemBody::Campaign);
        let bodies = zones.chain(backends).chain(users).chain(campaigns);
        bodies.map(|body| (body.key(), Item { scope: self.scope.clone(), body })).collect()
    }
}

const MAX_COUNT: u64 = 1_000_000_000;

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
    text("service", "Model that an engine serves, or service that the others belong to."),
    count("slots", (1, 4_096), Some("4"), "Requests that it works on at the same time."),
    flag("checks_fencing", "Whether it refuses an order with an old fencing number."),
    flag("idempotent", "Whether its calls may be repeated."),
    flag("honours_keys", "Whether it honours idempotency keys by itself."),
    flag("leaving", "Whether it receives no new work."),
];

const USER_FIELDS: &[FieldSpec] = &[
    text("name", "Name of the user, as in the callers' key file."),
    count("calls_per_second", (1, 1_000_000), Some("1000"), "Calls per second over all nodes."),
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
    text("model", "Model whose engines make the samples."),
    text("scoring", "Scoring service."),
    FieldSpec {
        name: "places",
        kind: FieldKind::TextList,
        default: None,
        meaning: "Availability zones in which samples are made, scored and kept.",
    },
    count("max_staleness_versions", (0, 1_000), None, "Largest sample age in weight versions."),
    count("max_staleness_seconds", (0, MAX_COUNT), Some("0"), "Largest sample age in seconds; 0 sets no bound."),
    count("weight", (1, 1_000), Some("1"), "Share of engine time relative to other campaigns."),
    count("max_tokens", (1, 1_000_000), Some("256"), "Tokens generated for a sample at most."),
    count("serving_percent", (0, 100), Some("50"), "Engines that keep serving during a swap, in percent."),
];

/// The fields of a declaration file, also the source of docs/SETTINGS.md.
pub const DECLARATION_SECTIONS: &[FieldSpec] = &[
    text("scope", "Owner of the declared items; items of other scopes are left alone."),
    records("zones", ZONE_FIELDS, "Availability zones."),
    records("backends", BACKEND_FIELDS, "Backend servers."),
    records("users", USER_FIELDS, "Users and their limits."),
    records("campaigns", CAMPAIGN_FIELDS, "Rollout campaigns."),
];

const fn records(name: &'static str, fields: &'static [FieldSpec], meaning: &'static str) -> FieldSpec {
    FieldSpec { name, kind: FieldKind::Records(fields), default: Some("[]"), meaning }
}

/// Parses a declaration and reports every fault of it at once.
///
/// References are checked within the file: a zone, user, model or scoring service that a campaign
/// names must be declared beside it, so that a plan can never commit a dangling reference.
pub fn parse_declaration(file: &str, text: &str) -> Result<Declaration, Vec<DocumentError>> {
    let document = check_document(file, text, DECLARATION_SECTIONS)?;
    let declaration =
        Declaration::deserialize(document.value()).map_err(|error| vec![document.error("scope", error.to_string())])?;
    let faults = reference_faults(&document, &declaration);
    if faults.is_empty() { Ok(declaration) } else { Err(faults) }
}

fn reference_faults(document: &CheckedDocument, declaration: &Declaration) -> Vec<DocumentError> {
    let zones: BTreeSet<&str> = declaration.zones.iter().map(|zone| zone.name.as_ref()).collect();
    let users: BTreeSet<&str> = declaration.users.iter().map(|user| user.name.as_ref()).collect();
    let mut faults = Vec::new();
    let mut require = |found: bool, key: String, message: String| {
        if !found {
            faults.push(document.error(&key, message));
        }
    };
    for (index, backend) in declaration.backends.iter().enumerate() {
        let known = zones.contains(backend.zone.as_ref());
        require(known, format!("backends[{index}].zone"), format!("no zone {} is declared", backend.zone));
    }
    for (index, user) in declaration.users.iter().enumerate() {
        for zone in user.places.zones() {
            let known = zones.contains(zone.as_ref());
            require(known, format!("users[{index}].places"), format!("no zone {zone} is declared"));
        }
    }
    for (index, campaign) in declaration.campaigns.iter().enumerate() {
        let path = format!("campaigns[{index}]");
        for zone in campaign.places.zones() {
            let known = zones.contains(zone.as_ref());
            require(known, format!("{path}.places"), format!("no zone {zone} is declared"));
        }
        let known = users.contains(campaign.user.as_ref());
        require(known, format!("{path}.user"), format!("no user {} is declared", campaign.user));
        let served = serves(declaration, campaign, BackendKind::Engine, &campaign.model);
        require(served, format!("{path}.model"), format!("no engine in the places serves {}", campaign.model));
        let scored = serves(declaration, campaign, BackendKind::Scoring, &campaign.scoring);
        require(scored, format!("{path}.scoring"), format!("no scoring service {} in the places", campaign.scoring));
    }
    faults
}

fn serves(declaration: &Declaration, campaign: &Campaign, kind: BackendKind, service: &Name) -> bool {
    declaration
        .backends
        .iter()
        .any(|backend| backend.kind == kind && backend.service == *service && campaign.places.allows(&backend.zone))
}
