//! Customers of a configuration and their keys.
//!
//! Keys are secrets. Only their digests stay in memory, so that neither a log line nor a memory dump reveals a
//! key; see [docs/PLATFORM.md](../../../../docs/PLATFORM.md#customers).

use super::AllowedRegions;
use crate::{Name, Timestamp};
use secrecy::{ExposeSecret, SecretString};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::time::Duration;

/// A key in plain text, from a caller or a configuration. Its text is never printed.
#[derive(Clone, Debug)]
pub struct CustomerKey(SecretString);

impl CustomerKey {
    /// Wraps the text of a key.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns the digest by which the key is looked up.
    pub fn digest(&self) -> KeyDigest {
        KeyDigest(Sha256::digest(self.0.expose_secret()).into())
    }

    fn is_empty(&self) -> bool {
        self.0.expose_secret().is_empty()
    }
}

/// SHA-256 digest of a key. Keys are looked up by digest, so that the time of a look-up reveals nothing about
/// the characters of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyDigest([redacted])")
    }
}

/// The credential that a caller presents.
#[derive(Clone, Debug)]
pub enum CallerCredential {
    /// The caller presents none.
    Missing,
    /// The credential does not have the form of a key.
    Malformed,
    /// A key, which may belong to no customer.
    Key(CustomerKey),
}

/// A customer of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name, which is passed to backend servers.
    pub name: Name,
    /// Priority of the customer's requests, of which 0 is served first; it overrides that of a route.
    pub priority: Option<u8>,
    /// Weight of the customer's share of a service that is overloaded.
    pub weight: u32,
    /// Regions in which its requests may be served and stored.
    pub allowed_regions: AllowedRegions,
}

impl Default for Customer {
    fn default() -> Self {
        Self { name: "".into(), priority: None, weight: 1, allowed_regions: AllowedRegions::All }
    }
}

/// The customers of one configuration, which are looked up by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CustomerDirectory {
    customers: Vec<Customer>,
    by_key: HashMap<KeyDigest, usize>,
}

impl CustomerDirectory {
    /// Adds a customer with its keys. Empty keys are ignored.
    pub fn add(&mut self, customer: Customer, keys: &[CustomerKey]) {
        let index = self.customers.len();
        let digests = keys.iter().filter(|key| !key.is_empty()).map(CustomerKey::digest);
        self.by_key.extend(digests.map(|digest| (digest, index)));
        self.customers.push(customer);
    }

    /// Returns the customer to whom a credential belongs.
    pub fn find(&self, credential: &CallerCredential) -> Option<&Customer> {
        // A credential without a key is looked up too, so that it takes the same time.
        let digest = match credential {
            CallerCredential::Key(key) => key.digest(),
            CallerCredential::Missing | CallerCredential::Malformed => CustomerKey::new("").digest(),
        };
        self.by_key.get(&digest).map(|index| &self.customers[*index])
    }

    /// Returns all customers, each with the number of its keys.
    pub fn iter(&self) -> impl Iterator<Item = (&Customer, usize)> {
        let key_count = |index: usize| self.by_key.values().filter(|owner| **owner == index).count();
        self.customers.iter().enumerate().map(move |(index, customer)| (customer, key_count(index)))
    }

    /// Returns the priorities of all customers, `None` for customers without their own.
    pub fn priorities(&self) -> impl Iterator<Item = Option<u8>> {
        self.customers.iter().map(|customer| customer.priority)
    }

    /// Returns a customer by its name.
    pub fn get(&self, name: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| &*customer.name == name)
    }
}

/// The identity for which a request is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerIdentity {
    /// The configuration has no customers, so every caller is served.
    Unrestricted,
    /// A caller without a key on a public route.
    Anonymous,
    /// A customer.
    Customer(Customer),
    /// The credential is missing where it is required, or belongs to no customer.
    Unknown,
}

impl CallerIdentity {
    /// Identifies a caller by the customers of a configuration.
    pub fn identify(customers: Option<&CustomerDirectory>, is_public: bool, credential: &CallerCredential) -> Self {
        let Some(directory) = customers else { return Self::Unrestricted };
        match (directory.find(credential), credential) {
            (Some(customer), _) => Self::Customer(customer.clone()),
            (None, CallerCredential::Missing) if is_public => Self::Anonymous,
            (None, _) => Self::Unknown,
        }
    }

    /// Returns the identified customer.
    pub fn customer(&self) -> Option<&Customer> {
        if let Self::Customer(customer) = self { Some(customer) } else { None }
    }

    /// Returns whether the caller may read and change what belongs to `owner`. A job belongs to a customer and
    /// not to a key, so any key of that customer gives access.
    pub fn may_access(&self, owner: Option<&Name>) -> bool {
        match (self, owner) {
            (Self::Unrestricted, _) => true,
            (Self::Unknown, _) => false,
            (Self::Customer(customer), Some(owner)) => customer.name == *owner,
            (Self::Anonymous, Some(_)) => false,
            (Self::Customer(_) | Self::Anonymous, None) => true,
        }
    }
}

/// Limits how often a node reads the configuration again because of unknown keys.
///
/// An unknown key may be newer than the node's configuration, so the node reads the configuration once before
/// it denies the caller. Callers that arrive between two reads are identified by the last one. So many unknown
/// keys at every node cost the store one read for each node and interval, and a new key is recognised at most
/// one interval late, or earlier if the node's watch of the store reports it.
#[derive(Debug)]
pub struct RefreshLimiter {
    interval: Duration,
    last_started_at: Option<Timestamp>,
}

impl RefreshLimiter {
    /// Builds a limiter that allows one read in each `interval`.
    pub fn new(interval: Duration) -> Self {
        Self { interval, last_started_at: None }
    }

    /// Returns whether the caller must start a read now, and counts it as started if so.
    pub fn try_start(&mut self, now: Timestamp) -> bool {
        let is_due = self.last_started_at.is_none_or(|started| now.since(started) >= self.interval);
        if is_due {
            self.last_started_at = Some(now);
        }
        is_due
    }
}
