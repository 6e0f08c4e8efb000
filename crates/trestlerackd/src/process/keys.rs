//! Keys of callers, operators and peers, compared in constant time.

use anyhow::Context;
use std::collections::BTreeMap;
use subtle::ConstantTimeEq;
use trestlerack::Name;
use trestlerack::process::DaemonSettings;

/// The keys that this node accepts.
pub struct KeyRing {
    callers: BTreeMap<String, Name>,
    operator: String,
    link: String,
}

impl KeyRing {
    /// Reads the key files that the settings name.
    pub fn load(settings: &DaemonSettings) -> anyhow::Result<Self> {
        let text = read(&settings.caller_keys_file)?;
        let callers: BTreeMap<String, Name> = serde_json::from_str(&text)
            .with_context(|| format!("{}: expected an object from key to user", settings.caller_keys_file))?;
        let operator = read(&settings.operator_key_file)?.trim().to_owned();
        let link = read(&settings.link_key_file)?.trim().to_owned();
        anyhow::ensure!(!operator.is_empty(), "{}: the key is empty", settings.operator_key_file);
        anyhow::ensure!(!link.is_empty(), "{}: the key is empty", settings.link_key_file);
        Ok(Self { callers, operator, link })
    }

    /// Returns the user whose key is presented.
    ///
    /// Every key is compared, so that the time taken says nothing about which one is near.
    pub fn caller(&self, presented: &str) -> Option<Name> {
        let mut found = None;
        for (key, user) in &self.callers {
            if is_equal(key, presented) {
                found = Some(user.clone());
            }
        }
        found
    }

    /// Returns whether the operators' key is presented.
    pub fn is_operator(&self, presented: &str) -> bool {
        is_equal(&self.operator, presented)
    }

    /// Returns whether the peers' key is presented.
    pub fn is_peer(&self, presented: &str) -> bool {
        is_equal(&self.link, presented)
    }

    /// Returns the key to present to peers.
    pub fn link_key(&self) -> &str {
        &self.link
    }
}

fn is_equal(key: &str, presented: &str) -> bool {
    key.as_bytes().ct_eq(presented.as_bytes()).into()
}

fn read(file: &str) -> anyhow::Result<String> {
    std::fs::read_to_string(file).with_context(|| format!("cannot read the key file {file}"))
}
