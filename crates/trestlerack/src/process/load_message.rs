//! Messages in which nodes exchange load: usage by customers, their shares and observations of servers.
//!
//! Requests and answers share one format, so that one request covers everything. It contains the names of
//! customers, never their keys. Fields that are repeated for each customer have one-letter names on the wire
//! because they make up most of a message.

use crate::Name;
use serde::{Deserialize, Serialize};

/// A load message or the answer to one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadMessage {
    /// Name of the sending node.
    pub sender: Name,
    /// Usage of customers at the sender.
    #[serde(rename = "uses", default, skip_serializing_if = "Vec::is_empty")]
    pub usage: Vec<CustomerUsage>,
    /// Shares that the sender computed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<ServiceShares>,
    /// Observations of servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerObservation>,
}

impl LoadMessage {
    /// Returns whether the message has no content.
    pub fn is_empty(&self) -> bool {
        self.usage.is_empty() && self.shares.is_empty() && self.servers.is_empty()
    }
}

/// Usage of a service by one customer at one node since its counts started.
///
/// Counts of one incarnation only grow, so a lost or duplicate message does no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerUsage {
    /// Service.
    #[serde(rename = "s")]
    pub service: Name,
    /// Customer; empty for calls without a customer.
    #[serde(rename = "c")]
    pub customer: Name,
    /// Weight of the customer's share.
    #[serde(rename = "w")]
    pub weight: u32,
    /// Start of the counts, in milliseconds; a later one replaces all counts of earlier ones.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Milliseconds of work requested.
    #[serde(rename = "a")]
    pub requested_ms: u64,
    /// Milliseconds of work served.
    #[serde(rename = "g")]
    pub served_ms: u64,
}

/// Shares of one service as its aggregator last computed them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceShares {
    /// Service.
    #[serde(rename = "s")]
    pub service: Name,
    /// Customers over their share, with the fraction of their calls to admit, above 0 and below 1. Calls of all other
    /// customers are admitted.
    #[serde(rename = "p")]
    pub fractions: Vec<(Name, f32)>,
    /// Time since the shares were computed, in milliseconds.
    #[serde(rename = "t")]
    pub age_ms: u64,
    /// Rate of requested work from which the shares were computed, summed over the nodes that report to the
    /// aggregator, in milliseconds a second.
    #[serde(rename = "u", default)]
    pub requested_ms_per_second: u64,
}

/// Performance of a server as one node measured it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerObservation {
    /// Instance of the server.
    pub instance: Name,
    /// Start of the server according to service discovery.
    pub started_ms: u64,
    /// Name of the node that measured it.
    pub origin: Name,
    /// Sequence number of the observation at its origin.
    pub number: u64,
    /// Response time relative to the usual one.
    pub slowness: f32,
    /// Fraction of the recent answers that failed, from 0 to 1.
    #[serde(rename = "failing")]
    pub failure_rate: f32,
    /// Time since the origin measured this, in milliseconds; grows as the observation is forwarded.
    pub age_ms: u64,
}
