//! What nodes tell each other of load: use by customers, their shares, and servers.
//!
//! One message carries all of it, both ways, so that a node needs one question for everything. The
//! names of customers are in it and their keys never are. Fields that are sent for each customer are named by
//! one letter there: a message is mostly of these.

use crate::Name;
use serde::{Deserialize, Serialize};

/// A message of a node, and the answer to one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeNews {
    /// Name of the node that tells.
    pub sender: Name,
    /// What customers took at the sender.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub uses: Vec<CustomerUse>,
    /// Shares that the sender worked out.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<ServiceShares>,
    /// What is known of servers.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerNote>,
}

impl NodeNews {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.uses.is_empty() && self.shares.is_empty() && self.servers.is_empty()
    }
}

/// What a customer took of a service at one node since its counts began.
///
/// Counts of one incarnation only grow, so a message that is lost or comes twice does no harm.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerUse {
    /// Service.
    #[serde(rename = "s")]
    pub service: Name,
    /// Customer; empty for calls of nobody in particular.
    #[serde(rename = "c")]
    pub customer: Name,
    /// Weight of the customer's share.
    #[serde(rename = "w")]
    pub weight: u32,
    /// When the counts began; a later one begins them anew.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Milliseconds of work asked for.
    #[serde(rename = "a")]
    pub asked_ms: u64,
    /// Milliseconds of work that servers did.
    #[serde(rename = "g")]
    pub given_ms: u64,
}

/// Shares of one service, as its adder last worked them out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceShares {
    /// Service.
    #[serde(rename = "s")]
    pub service: Name,
    /// Customers that ask for more than their share, with the part of their calls to admit, above 0
    /// and below 1. All others are admitted whole.
    #[serde(rename = "p")]
    pub parts: Vec<(Name, f32)>,
    /// Time since the shares were worked out, in milliseconds.
    #[serde(rename = "t")]
    pub age_ms: u64,
    /// Rate of work asked for that the shares are worked out from, summed over the nodes that report to the
    /// adder, in milliseconds a second.
    #[serde(rename = "u", default)]
    pub asked_ms_per_second: u64,
}

/// What a node knows of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerNote {
    /// Instance of the server.
    pub instance: Name,
    /// Start of the server, as service discovery states it.
    pub started_ms: u64,
    /// Name of the node that saw it.
    pub origin: Name,
    /// Number of the note at its origin, which grows.
    pub number: u64,
    /// How many times longer than usual its answers take.
    pub slowness: f32,
    /// Share of the recent answers that failed, from 0 to 1.
    pub failing: f32,
    /// Time since the origin saw this, in milliseconds; grows as the note is passed on.
    pub age_ms: u64,
}
