//! Keys of callers, operators and peers, compared in constant time.

use anyhow::Context;
use std::collections::BTreeMap;
use subtle::ConstantTimeEq;
use trestlerack::Name;
use trestlerack::process::DaemonSettings;
use trestlerack::version::{CallerCredential, Customer, CustomerDirectory, CustomerKey};

/// The keys that this node accepts.
pub struct KeyRing {
    users: CustomerDirectory,
    operator_key: String,
    peer_key: String,
}

impl KeyRing {
    /// Reads the key files that the settings name. Fails if a file cannot be read or the operator or
    /// peer key is empty.
    pub fn load(settings: &DaemonSettings) -> anyhow::Result<Self> {
        let text = read_key_file(&settings.caller_keys_file)?;
        let users_by_key: BTreeMap<String, Name> = serde_json::from_str(&text)
            .with_context(|| format!("{}: expected an object from key to user", settings.caller_keys_file))?;
        let mut users = CustomerDirectory::default();
        for (key, name) in users_by_key {
            users.add(Customer { name, ..Customer::default() }, &[CustomerKey::new(&key)]);
        }
        let operator_key = read_key_file(&settings.operator_key_file)?.trim().to_owned();
        let peer_key = read_key_file(&settings.link_key_file)?.trim().to_owned();
        anyhow::ensure!(!operator_key.is_empty(), "{}: the key is empty", settings.operator_key_file);
        anyhow::ensure!(!peer_key.is_empty(), "{}: the key is empty", settings.link_key_file);
        Ok(Self { users, operator_key, peer_key })
    }

    /// Returns the user to whom the presented key belongs.
    pub fn find_user(&self, presented: &str) -> Option<Name> {
        let credential = CallerCredential::Key(CustomerKey::new(presented));
        self.users.find(&credential).map(|user| user.name.clone())
    }

    /// Returns whether the presented key is that of the operators.
    pub fn is_operator(&self, presented: &str) -> bool {
        keys_match(&self.operator_key, presented)
    }

    /// Returns whether the presented key is that of the peers.
    pub fn is_peer(&self, presented: &str) -> bool {
        keys_match(&self.peer_key, presented)
    }

    /// Returns the key that this node presents to its peers.
    pub fn peer_key(&self) -> &str {
        &self.peer_key
    }
}

fn keys_match(key: &str, presented: &str) -> bool {
    key.as_bytes().ct_eq(presented.as_bytes()).into()
}

fn read_key_file(file: &str) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read the key file {file}"))
}
