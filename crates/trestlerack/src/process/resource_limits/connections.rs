//! Bounds of open connections by kind, so that a flood of one kind never takes the place of another.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Descriptors that connections cannot have: files and listeners.
const OWN_DESCRIPTORS: usize = 264;

/// Time for which a connection is idle between requests before it may be closed for another one; the
/// next request may be on its way to a younger one.
const LEAST_IDLE: Duration = Duration::from_millis(500);

/// The same for a connection on which no request has come. A client that connects has a request, and
/// sends it within a round trip or two.
const LEAST_UNUSED: Duration = Duration::from_millis(100);

/// What a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorKind {
    /// Clients' connections to this node.
    Clients,
    /// Peers' connections to this node.
    Peers,
    /// Connections to backend servers and peers.
    Servers,
    /// Connections to the store.
    Store,
}

impl DescriptorKind {
    /// All kinds.
    pub const ALL: [Self; 4] = [Self::Clients, Self::Peers, Self::Servers, Self::Store];

    /// Returns the word that metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Clients => "clients",
            Self::Peers => "peers",
            Self::Servers => "servers",
            Self::Store => "store",
        }
    }

    /// Returns the kind's share of all descriptors. Requests need one on each side; each of some hundreds
    /// of peers may keep a connection.
    fn share(self) -> f64 {
        match self {
            Self::Clients => 0.4,
            Self::Peers => 0.25,
            Self::Servers => 0.3,
            Self::Store => 0.05,
        }
    }
}

/// Most connections of each kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorBounds {
    most: [usize; DescriptorKind::ALL.len()],
}

impl DescriptorBounds {
    /// Divides the descriptors of a VM; 0 bounds nothing.
    pub fn of_descriptors(max_descriptors: u64) -> Self {
        let all = usize::try_from(max_descriptors).unwrap_or(usize::MAX);
        if all == 0 {
            return Self { most: [usize::MAX; DescriptorKind::ALL.len()] };
        }
        let free = all.saturating_sub(OWN_DESCRIPTORS) as f64;
        Self { most: DescriptorKind::ALL.map(|kind| ((free * kind.share()) as usize).max(1)) }
    }

    /// Lowers the bound of a kind, where something else allows fewer.
    pub fn at_most(mut self, kind: DescriptorKind, most: usize) -> Self {
        let held = &mut self.most[kind as usize];
        *held = (*held).min(most);
        self
    }

    /// Returns the bound of a kind.
    pub fn of(&self, kind: DescriptorKind) -> usize {
        self.most[kind as usize]
    }
}

/// Counts open connections by kind.
#[derive(Clone, Debug)]
pub struct DescriptorBoard {
    bounds: DescriptorBounds,
    open: Arc<[AtomicUsize; DescriptorKind::ALL.len()]>,
}

impl DescriptorBoard {
    /// Builds a board on which nothing is open.
    pub fn new(bounds: DescriptorBounds) -> Self {
        Self { bounds, open: Arc::default() }
    }

    /// Takes the seat of a connection, or returns `None` where its kind has no more.
    pub fn take(&self, kind: DescriptorKind) -> Option<DescriptorSeat> {
        self.take_beyond(kind, 0)
    }

    /// Takes a seat that may be one of `more` beyond the bound, for connections that end at once.
    pub fn take_beyond(&self, kind: DescriptorKind, more: usize) -> Option<DescriptorSeat> {
        let most = self.bounds.of(kind).saturating_add(more);
        let before = self.open[kind as usize].fetch_add(1, Ordering::Relaxed);
        // Dropped where it is one too many, which takes the count back.
        let seat = DescriptorSeat { open: self.open.clone(), kind };
        (before < most).then_some(seat)
    }

    /// Returns how many connections of a kind are open.
    pub fn open(&self, kind: DescriptorKind) -> usize {
        self.open[kind as usize].load(Ordering::Relaxed)
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> DescriptorBounds {
        self.bounds
    }
}

/// The seat of an open connection; dropping it frees the seat.
#[derive(Debug)]
pub struct DescriptorSeat {
    open: Arc<[AtomicUsize; DescriptorKind::ALL.len()]>,
    kind: DescriptorKind,
}

impl Drop for DescriptorSeat {
    fn drop(&mut self) {
        self.open[self.kind as usize].fetch_sub(1, Ordering::Relaxed);
    }
}

/// A client's connection on which no request is served.
#[derive(Clone, Copy, Debug)]
pub struct IdleClient {
    /// The connection.
    pub id: u64,
    /// Time since its last request, or since it was opened.
    pub idle: Duration,
    /// Whether a request has come.
    pub is_used: bool,
}

/// Returns the connection that has been idle for longest, if it may be closed for another one.
pub fn longest_idle(idle: impl Iterator<Item = IdleClient>) -> Option<u64> {
    let least = |client: &IdleClient| if client.is_used { LEAST_IDLE } else { LEAST_UNUSED };
    let may_close = idle.filter(|client| client.idle >= least(client));
    may_close.max_by_key(|client| client.idle).map(|client| client.id)
}
