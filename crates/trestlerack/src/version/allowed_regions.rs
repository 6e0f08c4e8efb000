//! The regions that a configuration allows for a route or a customer.

use crate::Name;
use serde::{Deserialize, Serialize};

/// The regions in which requests may be served and stored, as the configuration lists them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum AllowedRegions {
    /// All regions: the list is absent or empty.
    #[default]
    All,
    /// Only these regions, of which there is at least one.
    Listed(Vec<Name>),
    /// The list cannot be read. No region is allowed, because an error must not lift a restriction.
    Unreadable,
}

impl AllowedRegions {
    /// Builds the restriction from the names in a list.
    pub fn from_names(names: Vec<Name>) -> Self {
        if names.is_empty() { Self::All } else { Self::Listed(names) }
    }

    /// Returns whether some regions are not allowed.
    pub fn is_restricted(&self) -> bool {
        *self != Self::All
    }

    /// Returns the listed names.
    pub fn names(&self) -> &[Name] {
        if let Self::Listed(names) = self { names } else { &[] }
    }
}
