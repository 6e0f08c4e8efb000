//! Log lines of the choice of a server, with the beliefs that decided it.

use super::node::EntryNode;
use crate::process::logs;
use std::fmt::Display;
use trestlerack::event::LogEvent;
use trestlerack::process::ServerEntry;

/// Logs that a server was chosen, with what is believed of it now.
pub fn write_choice(
    node: &EntryNode,
    event: LogEvent,
    about: &[(&str, &dyn Display)],
    server: &ServerEntry,
    model: Option<&str>,
) {
    let basis = node.balancer.lock().unwrap().snapshot(node.now(), &server.instance, model);
    // A server that left just now was chosen all the same.
    let Some(basis) = basis else { return logs::write(event, about) };
    let load_age_ms = basis.load_age_ms.map_or_else(|| "none".to_owned(), |age| age.to_string());
    let slowness = format!("{:.2}", basis.slowness);
    let expected = format!("{:.2}", basis.expected_slowness);
    let standing = basis.health.as_str();
    let told_by = basis.reported_by.as_deref().unwrap_or("own");
    let beliefs: [(&str, &dyn Display); 9] = [
        ("in_flight", &basis.in_flight),
        ("others", &basis.other_requests),
        ("load_age_ms", &load_age_ms),
        ("slowness", &slowness),
        ("expected", &expected),
        ("standing", &standing),
        ("told_by", &told_by),
        ("weights", &basis.weight_version),
        ("zone", &server.zone),
    ];
    logs::write(event, &[about, &beliefs].concat());
}
