//! Limits on open connections by kind, so that a flood of one kind cannot exhaust the descriptors of another.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Descriptors reserved for files and listeners, which connections cannot use.
const RESERVED_DESCRIPTORS: usize = 264;

/// Minimum idle time between requests before a connection may be closed in favor of a new one. The next
/// request may already be on its way on a connection that has been idle for less.
const MIN_IDLE: Duration = Duration::from_millis(500);

/// Minimum age before a connection without any request may be closed in favor of a new one. A client that
/// connects has a request to send, and sends it within one or two round trips.
const MIN_UNUSED: Duration = Duration::from_millis(100);

/// The purpose of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionKind {
    /// Connections from clients to this node.
    Clients,
    /// Connections from peers to this node.
    Peers,
    /// Connections from this node to backend servers and peers.
    Servers,
    /// Connections to the store.
    Store,
}

impl ConnectionKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Clients, Self::Peers, Self::Servers, Self::Store];

    /// Returns the name of the kind in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Clients => "clients",
            Self::Peers => "peers",
            Self::Servers => "servers",
            Self::Store => "store",
        }
    }

    /// Returns the share of the descriptors that connections of this kind may use. A request needs a
    /// connection to its client and one to its server, and each of several hundred peers may keep one open.
    fn share(self) -> f64 {
        match self {
            Self::Clients => 0.4,
            Self::Peers => 0.25,
            Self::Servers => 0.3,
            Self::Store => 0.05,
        }
    }
}

/// Maximum number of open connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    limits: [usize; ConnectionKind::ALL.len()],
}

impl ConnectionLimits {
    /// Divides the descriptors of a VM among the kinds; 0 descriptors means no limit.
    pub fn from_descriptors(max_descriptors: u64) -> Self {
        let all = usize::try_from(max_descriptors).unwrap_or(usize::MAX);
        if all == 0 {
            return Self { limits: [usize::MAX; ConnectionKind::ALL.len()] };
        }
        let available = all.saturating_sub(RESERVED_DESCRIPTORS) as f64;
        Self { limits: ConnectionKind::ALL.map(|kind| ((available * kind.share()) as usize).max(1)) }
    }

    /// Lowers the limit of a kind to `max` if it is higher, for kinds that are also limited by another resource.
    pub fn capped(mut self, kind: ConnectionKind, max: usize) -> Self {
        let limit = &mut self.limits[kind as usize];
        *limit = (*limit).min(max);
        self
    }

    /// Returns the limit of a kind.
    pub fn of(&self, kind: ConnectionKind) -> usize {
        self.limits[kind as usize]
    }
}

/// Counts open connections by kind and enforces their limits.
#[derive(Clone, Debug)]
pub struct ConnectionCounter {
    limits: ConnectionLimits,
    open: Arc<[AtomicUsize; ConnectionKind::ALL.len()]>,
}

impl ConnectionCounter {
    /// Creates a counter without open connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self { limits, open: Arc::default() }
    }

    /// Acquires a permit for a connection, or returns `None` if its kind is at its limit.
    pub fn try_acquire(&self, kind: ConnectionKind) -> Option<ConnectionPermit> {
        self.try_acquire_beyond(kind, 0)
    }

    /// Acquires a permit up to `extra` connections beyond the limit, for connections that end soon.
    pub fn try_acquire_beyond(&self, kind: ConnectionKind, extra: usize) -> Option<ConnectionPermit> {
        let max = self.limits.of(kind).saturating_add(extra);
        let before = self.open[kind as usize].fetch_add(1, Ordering::Relaxed);
        // If the limit is exceeded, dropping the permit decrements the counter again.
        let permit = ConnectionPermit { open: self.open.clone(), kind };
        (before < max).then_some(permit)
    }

    /// Returns the number of open connections of a kind.
    pub fn open(&self, kind: ConnectionKind) -> usize {
        self.open[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the limits.
    pub fn limits(&self) -> ConnectionLimits {
        self.limits
    }
}

/// Permission for one open connection, released on drop.
#[derive(Debug)]
pub struct ConnectionPermit {
    open: Arc<[AtomicUsize; ConnectionKind::ALL.len()]>,
    kind: ConnectionKind,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open[self.kind as usize].fetch_sub(1, Ordering::Relaxed);
    }
}

/// A client connection that is not serving a request.
#[derive(Clone, Copy, Debug)]
pub struct IdleClient {
    /// Id of the connection.
    pub id: u64,
    /// Time since the last request, or since the connection was opened.
    pub idle: Duration,
    /// Whether the connection has received a request.
    pub is_used: bool,
}

/// Returns the connection that has been idle longest among those that may be closed in favor of a new one.
pub fn longest_idle(clients: impl Iterator<Item = IdleClient>) -> Option<u64> {
    let min_idle = |client: &IdleClient| if client.is_used { MIN_IDLE } else { MIN_UNUSED };
    let closable = clients.filter(|client| client.idle >= min_idle(client));
    closable.max_by_key(|client| client.idle).map(|client| client.id)
}
