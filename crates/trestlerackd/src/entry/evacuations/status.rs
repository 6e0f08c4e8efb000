//! Status page of the availability zones.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::Mutex;
use trestlerack::Name;
use trestlerack::process::{LoadBalancer, ModelEngines, ServerCapacity, ZoneFacts, ZoneStatus};

/// Row of the status page for one zone.
#[derive(Serialize)]
pub struct ZoneJson {
    zone: Name,
    region: Name,
    state: &'static str,
    servers: u32,
    slots: u32,
    /// Servers and slots of each service in the other open zones, as `service:servers/slots`.
    remaining: String,
    /// Engines of each model, as `model@version:newest/all`, with those of the other open zones after a `+`.
    engines: String,
    /// Requests of this node in progress in the zone.
    in_progress: u32,
}

/// Returns a row for each zone.
pub fn zone_rows(facts: &ZoneFacts<'_>, balancer: &Mutex<LoadBalancer>) -> Vec<ZoneJson> {
    let to_json = |status: ZoneStatus| ZoneJson {
        in_progress: balancer.lock().unwrap().in_flight_in_zone(&status.zone),
        zone: status.zone,
        region: status.region,
        state: status.state.as_str(),
        servers: status.capacity.servers,
        slots: status.capacity.slots,
        remaining: joined(&status.remaining, |service, capacity: &ServerCapacity| {
            format!("{service}:{}/{}", capacity.servers, capacity.slots)
        }),
        engines: joined(&status.engines, |model, engines: &ModelEngines| {
            let ModelEngines { version, newest, total, newest_elsewhere, total_elsewhere } = engines;
            format!("{model}@{version}:{newest}/{total}+{newest_elsewhere}/{total_elsewhere}")
        }),
    };
    facts.statuses().into_iter().map(to_json).collect()
}

fn joined<T>(values: &BTreeMap<Name, T>, format: impl Fn(&Name, &T) -> String) -> String {
    values.iter().map(|(name, value)| format(name, value)).collect::<Vec<_>>().join(", ")
}
