//! What a node knows of one engine that may be cold.

use super::send_window::{SEND_SPAN, SendWindow};
use crate::process::ServerEntry;
use crate::{Name, Timestamp};
use std::cell::Cell;
use std::time::Duration;

/// Which allotments of an engine a node has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct HeldAllotments {
    pub(super) has_driver: bool,
    pub(super) has_node: bool,
    /// Number of drivers that share what a warm engine may get.
    pub(super) driver_count: u32,
}

/// State of one engine, as known to this node.
#[derive(Clone, Debug, Default)]
pub(super) struct EngineState {
    pub(super) name: Name,
    /// Number that tells it from other engines at the same position; 0 for a free position.
    pub(super) serial: u64,
    pub(super) service: Name,
    pub(super) zone: Name,
    started_ms: u64,
    heartbeat: u64,
    cold_left_ms: u64,
    /// End of the cold time according to the entry in service discovery.
    listed_until: Timestamp,
    /// End of the cold time according to the responses of the engine.
    responded_until: Timestamp,
    /// Time until which the state is unknown, because the evacuation of the engine's zone has ended.
    pub(super) unknown_until: Timestamp,
    /// Whether service discovery lists the engine.
    pub(super) is_listed: bool,
    /// Requests sent by this node.
    pub(super) sends: SendWindow,
    /// Weight orders and polls for reports sent by this node.
    pub(super) orders: SendWindow,
    /// Allotments of this node as of a revision of the limiter's input, since ranking the nodes for each choice
    /// of a server would cost more than the choice.
    pub(super) held: Cell<Option<(u64, HeldAllotments)>>,
    /// Whether the engine was cold when changes were last reported.
    pub(super) was_cold: bool,
}

impl EngineState {
    /// Builds the state of an engine of which nothing is known.
    pub(super) fn new(name: &Name, serial: u64) -> Self {
        Self { name: name.clone(), serial, ..Self::default() }
    }

    /// Applies an entry that arrived now, unless it is the one that is known or of an earlier start.
    pub(super) fn update(&mut self, now: Timestamp, entry: &ServerEntry) {
        let key = (entry.started_ms, entry.heartbeat, entry.cold_left_ms);
        let is_known = key == (self.started_ms, self.heartbeat, self.cold_left_ms);
        if self.is_listed && (is_known || entry.started_ms < self.started_ms) {
            return;
        }
        let is_same_start = self.started_ms == entry.started_ms;
        if !is_same_start {
            self.responded_until = Timestamp::default();
        }
        // A follower to which the node has switched may know less than the previous one.
        let is_earlier = self.is_listed && is_same_start && entry.heartbeat < self.heartbeat;
        let listed_until = now + Duration::from_millis(entry.cold_left_ms);
        self.listed_until = if is_earlier { self.listed_until.max(listed_until) } else { listed_until };
        (self.started_ms, self.heartbeat, self.cold_left_ms) = key;
        self.is_listed = true;
        self.service = entry.service.clone();
        self.zone = entry.zone.clone();
    }

    /// Applies the cold time that a response reported. It does not shorten the cold time of the entry, because
    /// the response may have been generated before the engine became cold.
    pub(super) fn record_response(&mut self, now: Timestamp, cold_left: Duration) {
        self.responded_until = now + cold_left;
    }

    /// Returns the end of the cold time; in the past if the engine is warm.
    pub(super) fn cold_until(&self) -> Timestamp {
        self.listed_until.max(self.responded_until)
    }

    /// Returns whether the state still matters: the engine is listed, or got a request within the span in which
    /// requests are counted.
    pub(super) fn is_in_use(&self, now: Timestamp) -> bool {
        self.is_listed || self.sends.count(now) > 0 || now < self.responded_until + SEND_SPAN
    }
}
