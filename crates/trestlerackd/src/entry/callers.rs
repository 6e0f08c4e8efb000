//! Tells for which customer a request is served, by the newest configuration that can be had.

use super::node::EntryNode;
use super::table_watch;
use crate::process::clock;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use trestlerack::version::{CallerCredential, CallerIdentity, RefreshLimiter, RoutingTable};

/// Time between two reads of the configuration for keys that are not known. A thousand nodes under a
/// storm of bad keys then make a thousand reads a second, half of what the smallest store takes.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time that a caller with a key that is not known waits for that read, a store that does not
/// answer and one peer included.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(900);

/// Reads the configuration again for keys that are not known, for one caller at a time.
#[derive(Debug)]
pub struct KeyRefresh {
    gate: std::sync::Mutex<RefreshLimiter>,
    /// Held while a read is on its way, so that others wait for it.
    flight: tokio::sync::Mutex<()>,
    /// Whether the last read succeeded.
    is_fresh: AtomicBool,
}

impl Default for KeyRefresh {
    fn default() -> Self {
        Self {
            gate: std::sync::Mutex::new(RefreshLimiter::new(REFRESH_INTERVAL)),
            flight: tokio::sync::Mutex::default(),
            is_fresh: AtomicBool::new(false),
        }
    }
}

/// Who calls, or why that cannot be told.
pub enum CallerAnswer {
    /// Serve the request for this caller.
    Serve(CallerIdentity),
    /// No customer holds the key, as of a configuration that was just read.
    Denied,
    /// The key may be newer than the configuration in force here, and the store does not answer.
    Unsure,
}

/// Judges a caller by the configuration in force, and reads the configuration once more before it
/// denies anybody.
pub async fn identify(
    node: &Arc<EntryNode>,
    routing: &RoutingTable,
    is_public: bool,
    credential: &CallerCredential,
) -> CallerAnswer {
    let verdict = CallerIdentity::identify(routing.customers.as_ref(), is_public, credential);
    if verdict != CallerIdentity::Unknown {
        return CallerAnswer::Serve(verdict);
    }
    let is_fresh = refresh(node).await;
    let newest = node.routing();
    let customers = newest.as_ref().and_then(|routing| routing.customers.as_ref());
    match CallerIdentity::identify(customers, is_public, credential) {
        CallerIdentity::Unknown if is_fresh => CallerAnswer::Denied,
        CallerIdentity::Unknown => CallerAnswer::Unsure,
        verdict => CallerAnswer::Serve(verdict),
    }
}

/// Reads the configuration if the last read is some time ago, or waits for the one on its way.
/// Returns whether the last read succeeded. What this node does not know, a key or a route, may be newer
/// than its configuration, and clients do not come back after they were told that it does not exist.
pub async fn refresh(node: &Arc<EntryNode>) -> bool {
    let refresh = &node.key_refresh;
    let is_due = refresh.gate.lock().unwrap().try_start(node.now());
    let flight = refresh.flight.lock().await;
    if is_due {
        let read = clock::timeout(REFRESH_TIMEOUT, table_watch::read_configuration(node)).await;
        refresh.is_fresh.store(matches!(read, Ok(Ok(()))), Ordering::Relaxed);
    }
    drop(flight);
    refresh.is_fresh.load(Ordering::Relaxed)
}
