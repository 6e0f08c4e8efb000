//! Repeats the decision where a request may be served when the request is sent.

use super::registry::ServerEntry;
use crate::version::Placement;

/// Returns why a request must not be sent to the server that was chosen for it; `Ok` if it may.
///
/// `registered` is the server's present entry in service discovery. An entry with another address belongs to another
/// process, whose zone says nothing about the address that was chosen.
pub fn check_send(
    placement: &Placement,
    chosen: &ServerEntry,
    registered: Option<&ServerEntry>,
) -> Result<(), &'static str> {
    if *placement == Placement::Anywhere {
        return Ok(());
    }
    match registered {
        None => Err("the server is not registered any more"),
        Some(entry) if entry.address != chosen.address => Err("the server has another address now"),
        Some(entry) if !placement.allows(&entry.zone) => Err("the zone of the server is not allowed"),
        Some(_) => Ok(()),
    }
}
