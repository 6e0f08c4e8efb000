//! Log events for the choice of a server, with the state of the server that the choice was based on.

use super::node::EntryNode;
use crate::process::logs;
use std::fmt::Display;
use trestlerack::event::LogEvent;
use trestlerack::process::ServerEntry;

/// Logs that a server was chosen, with its current state at this node.
pub fn log_choice(
    node: &EntryNode,
    event: LogEvent,
    about: &[(&str, &dyn Display)],
    server: &ServerEntry,
    model: Option<&str>,
) {
    let snapshot = node.balancer.lock().unwrap().snapshot(node.now(), &server.instance, model);
    // A server that was removed just now was still chosen, so the event is logged without its state.
    let Some(snapshot) = snapshot else { return logs::write(event, about) };
    let load_age_ms = snapshot.load_age_ms.map_or_else(|| "none".to_owned(), |age| age.to_string());
    let slowness = format!("{:.2}", snapshot.slowness);
    let expected = format!("{:.2}", snapshot.expected_slowness);
    let health = snapshot.health.as_str();
    let reported_by = snapshot.reported_by.as_deref().unwrap_or("own");
    let state: [(&str, &dyn Display); 9] = [
        ("in_flight", &snapshot.in_flight),
        ("others", &snapshot.other_requests),
        ("load_age_ms", &load_age_ms),
        ("slowness", &slowness),
        ("expected", &expected),
        ("standing", &health),
        ("told_by", &reported_by),
        ("weights", &snapshot.weight_version),
        ("zone", &server.zone),
    ];
    logs::write(event, &[about, &state].concat());
}
