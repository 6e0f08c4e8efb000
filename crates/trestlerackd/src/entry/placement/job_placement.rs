//! Where the requests and the record of a job may be.

use trestlerack::Name;
use trestlerack::request::JobRecord;
use trestlerack::version::{Placement, RoutingTable};

/// Returns where the requests of a job may be served. A job without a route is only waiting to be given up, which any
/// node may do.
pub fn record_placement(routing: Option<&RoutingTable>, host: &str, path: &str, customer: Option<&Name>) -> Placement {
    let route = routing.and_then(|routing| Some((routing, routing.select(host, path)?)));
    route.map_or(Placement::Anywhere, |(routing, route)| routing.placement(route, customer.map(|name| &**name)))
}

/// Returns the zone of a job's owner, or of the last one while it has none. The registered zone of an owner, which a
/// planned stop removes, counts only for records that do not name the zone.
pub fn previous_zone(record: &JobRecord, registered_zone: impl FnOnce(&Name) -> Option<Name>) -> Option<Name> {
    if record.owner_zone.is_empty() { registered_zone(&record.owner) } else { Some(record.owner_zone.clone()) }
}
