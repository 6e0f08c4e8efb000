//! Observes an evacuation from its start: whether it has any effect, and when nothing runs in the zone any more.

use crate::process::{clock, logs};
use std::time::Duration;
use trestlerack::{Name, event};

/// Interval between two looks at the zone. Requests of a node in one zone end one by one over seconds.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Use of an evacuated zone as seen by this node.
#[derive(Clone, Copy, Debug)]
pub struct ZoneUse {
    /// Whether the zone has a server or a VM.
    pub has_members: bool,
    /// Requests of this node in progress there.
    pub in_progress: u32,
    /// Whether the zone is still evacuated.
    pub is_evacuated: bool,
}

/// Logs once if the evacuated zone is unknown, and otherwise once when no request of this node runs there any more.
/// `examine` returns `None` while this node does not know the servers and VMs yet.
pub async fn observe(zone: Name, examine: impl Fn() -> Option<ZoneUse>) {
    loop {
        clock::sleep(CHECK_INTERVAL).await;
        match examine() {
            None => {}
            Some(zone_use) if !zone_use.is_evacuated => return,
            Some(zone_use) if !zone_use.has_members => {
                return logs::write(event::EVACUATION_EMPTY, &[("zone", &zone)]);
            }
            Some(zone_use) if zone_use.in_progress == 0 => {
                return logs::write(event::ZONE_VACATED, &[("zone", &zone)]);
            }
            Some(_) => {}
        }
    }
}
