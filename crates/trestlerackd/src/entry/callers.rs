//! Identifies the customer of a request by the newest configuration that can be read.

use super::node::EntryNode;
use super::table_watch;
use crate::process::clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use trestlerack::version::{CallerCredential, CallerIdentity, RefreshLimiter, RoutingTable};

/// Minimum time between two reads of the configuration because of unknown keys. A thousand nodes that get many
/// bad keys then make a thousand reads a second, half of what the smallest store can serve.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that a caller with an unknown key waits for that read, including the time for a store that does
/// not respond and for one peer.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(900);

/// Refreshes the configuration because of unknown keys. Only one caller at a time does so.
#[derive(Debug)]
pub struct KeyRefresh {
    limiter: std::sync::Mutex<RefreshLimiter>,
    /// Locked while a read is in progress, so that other callers wait for it.
    in_flight: tokio::sync::Mutex<()>,
    /// Whether the last read succeeded.
    is_fresh: AtomicBool,
}

impl Default for KeyRefresh {
    fn default() -> Self {
        Self {
            limiter: std::sync::Mutex::new(RefreshLimiter::new(REFRESH_INTERVAL)),
            in_flight: tokio::sync::Mutex::default(),
            is_fresh: AtomicBool::new(false),
        }
    }
}

/// Whether a request is served, and for which caller.
pub enum CallerDecision {
    /// The request is served for this caller.
    Serve(CallerIdentity),
    /// No customer has the key according to a configuration that was just read.
    Denied,
    /// The key may be newer than the configuration of this node, and the store does not respond.
    Unverified,
}

/// Identifies a caller by the configuration in force, and refreshes the configuration before it denies
/// a caller.
pub async fn identify(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    is_public: bool,
    credential: &CallerCredential,
) -> CallerDecision {
    let identity = CallerIdentity::identify(routing.customers.as_ref(), is_public, credential);
    if identity != CallerIdentity::Unknown {
        return CallerDecision::Serve(identity);
    }
    let is_fresh = refresh(node).await;
    let newest = node.routing();
    let customers = newest.as_ref().and_then(|routing| routing.customers.as_ref());
    match CallerIdentity::identify(customers, is_public, credential) {
        CallerIdentity::Unknown if is_fresh => CallerDecision::Denied,
        CallerIdentity::Unknown => CallerDecision::Unverified,
        identity => CallerDecision::Serve(identity),
    }
}

/// Reads the configuration if the last read is at least `REFRESH_INTERVAL` ago, or waits for a read that is in
/// progress. Returns whether the last read succeeded.
///
/// A key or a route that this node does not know may be newer than its configuration, and clients do not
/// retry after a response that it does not exist.
pub async fn refresh(node: &Arc<EntryNode>) -> bool {
    let refresh = &node.key_refresh;
    let is_due = refresh.limiter.lock().unwrap().try_start(node.now());
    let in_flight = refresh.in_flight.lock().await;
    if is_due {
        let read = clock::timeout(REFRESH_TIMEOUT, table_watch::read_configuration(node)).await;
        refresh.is_fresh.store(matches!(read, Ok(Ok(()))), Ordering::Relaxed);
    }
    drop(in_flight);
    refresh.is_fresh.load(Ordering::Relaxed)
}
