//! Customers of a configuration, and who a caller's key belongs to.
//!
//! Keys are secrets. Only their digests stay in memory, so that neither a log line nor a memory
//! dump gives one away; see [docs/PLATFORM.md](../../../../docs/PLATFORM.md#customers).

use crate::{Name, Timestamp};
use secrecy::{ExposeSecret, SecretString};
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::time::Duration;

/// A key as a caller or a configuration states it. It cannot be printed.
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

/// SHA-256 of a key. Looking keys up by digest makes the time of a look-up say nothing about the
/// characters of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("KeyDigest([redacted])")
    }
}

/// What a caller shows to say for which customer it acts.
#[derive(Clone, Debug)]
pub enum CallerCredential {
    /// Nothing.
    Missing,
    /// Something that has not the form of a key.
    Malformed,
    /// A key, which may be unknown.
    Key(CustomerKey),
}

/// A customer of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name, which backend servers are told.
    pub name: Name,
    /// Rank of the customer's requests, from 0 (first); goes before that of a route.
    pub priority: Option<u8>,
    /// Weight of its share where a service has too little room.
    pub weight: u32,
}

impl Default for Customer {
    fn default() -> Self {
        Self { name: "".into(), priority: None, weight: 1 }
    }
}

/// The customers of one configuration by their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CustomerDirectory {
    customers: Vec<Customer>,
    by_key: HashMap<KeyDigest, usize>,
}

impl CustomerDirectory {
    /// Adds a customer with its keys. An empty key belongs to nobody.
    pub fn add(&mut self, customer: Customer, keys: &[CustomerKey]) {
        let index = self.customers.len();
        let digests = keys.iter().filter(|key| !key.is_empty()).map(CustomerKey::digest);
        self.by_key.extend(digests.map(|digest| (digest, index)));
        self.customers.push(customer);
    }

    /// Returns the customer that holds a key.
    pub fn holder(&self, credential: &CallerCredential) -> Option<&Customer> {
        // Credentials without a key take the same way, so that they take the same time.
        let digest = match credential {
            CallerCredential::Key(key) => key.digest(),
            CallerCredential::Missing | CallerCredential::Malformed => CustomerKey::new("").digest(),
        };
        self.by_key.get(&digest).map(|index| &self.customers[*index])
    }

    /// Returns all customers with how many keys each holds.
    pub fn iter(&self) -> impl Iterator<Item = (&Customer, usize)> {
        let keys = |index: usize| self.by_key.values().filter(|holder| **holder == index).count();
        self.customers.iter().enumerate().map(move |(index, customer)| (customer, keys(index)))
    }

    /// Returns the ranks of all customers, `None` for those without one of their own.
    pub fn ranks(&self) -> impl Iterator<Item = Option<u8>> {
        self.customers.iter().map(|customer| customer.priority)
    }

    /// Returns a customer by its name.
    pub fn get(&self, name: &str) -> Option<&Customer> {
        self.customers.iter().find(|customer| &*customer.name == name)
    }
}

/// Who a request is served for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerVerdict {
    /// Everybody is served, because the configuration has no customers.
    Open,
    /// Nobody in particular, on a route that is open to all.
    Anonymous,
    /// A customer.
    Customer(Customer),
    /// No customer holds what the caller shows.
    Unknown,
}

impl CallerVerdict {
    /// Judges a credential by the customers of a configuration.
    pub fn judge(customers: Option<&CustomerDirectory>, is_public: bool, credential: &CallerCredential) -> Self {
        let Some(directory) = customers else { return Self::Open };
        match (directory.holder(credential), credential) {
            (Some(customer), _) => Self::Customer(customer.clone()),
            (None, CallerCredential::Missing) if is_public => Self::Anonymous,
            (None, _) => Self::Unknown,
        }
    }

    /// Returns the customer that is served.
    pub fn customer(&self) -> Option<&Customer> {
        if let Self::Customer(customer) = self { Some(customer) } else { None }
    }

    /// Returns whether what belongs to `owner` may be seen and changed. A job belongs to its
    /// customer and not to a key, so any key of the customer does.
    pub fn may_see(&self, owner: Option<&Name>) -> bool {
        match (self, owner) {
            (Self::Open, _) => true,
            (Self::Unknown, _) => false,
            (Self::Customer(customer), Some(owner)) => customer.name == *owner,
            (Self::Anonymous, Some(_)) => false,
            (Self::Customer(_) | Self::Anonymous, None) => true,
        }
    }
}

/// Bounds how often a node reads the configuration again because of a key that it does not know.
///
/// Such a key may be newer than what the node holds, so it is worth one read before the caller is
/// denied. Callers that come between two reads are judged by the last one: a storm of bad keys at
/// every node costs the store one read for each node and interval, and a new key is at most one
/// interval late, which a watch of the store makes up for.
#[derive(Debug)]
pub struct RefreshGate {
    interval: Duration,
    started_at: Option<Timestamp>,
}

impl RefreshGate {
    /// Builds a gate that opens once in `interval`.
    pub fn new(interval: Duration) -> Self {
        Self { interval, started_at: None }
    }

    /// Returns whether a read is to be made now.
    pub fn try_start(&mut self, now: Timestamp) -> bool {
        let is_due = self.started_at.is_none_or(|started| now.since(started) >= self.interval);
        if is_due {
            self.started_at = Some(now);
        }
        is_due
    }
}
