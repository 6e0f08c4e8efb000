//! What nodes tell of the use of customers, and the shares that are worked out of it.

use crate::entry::node::EntryNode;
use std::sync::Arc;
use trestlerack::Name;
use trestlerack::process::{CustomerUse, ServiceShares};

/// Adds up what customers took at the sender, and returns the shares of its services.
pub fn answer(_node: &Arc<EntryNode>, _sender: &Name, _uses: &[CustomerUse]) -> Vec<ServiceShares> {
    Vec::new()
}

/// Takes over shares that were worked out by a peer.
pub fn learn(_node: &Arc<EntryNode>, _shares: Vec<ServiceShares>) {}
