//! Accounts for the memory that a node uses, by purpose and by customer.

use crate::Name;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes of a megabyte in the settings.
const MEGABYTE: usize = 1_000_000;

/// Memory of the process without any request: code, tables of peers and servers, and buffers of its own
/// connections.
const PROCESS_BYTES: usize = 24 * MEGABYTE;

/// Fraction of the VM's memory that is left unaccounted, for copies in flight and allocator overhead.
const OVERHEAD_FRACTION: f64 = 0.25;

/// Largest reservation of a small call in bytes. Small calls may use the reserve.
pub const SMALL_BYTES: usize = 64 * 1024;

/// Fraction of the limit that only small calls may use.
const RESERVE_FRACTION: f64 = 0.125;

/// Fraction of the limit up to which large request bodies are accepted. The rest is left for requests that
/// have already started.
const BODY_FRACTION: f64 = 0.5;

/// Memory per open client connection: its task and its read buffer.
pub const CONNECTION_BYTES: usize = 16 * 1024;

/// Memory per request in progress in addition to its body and its response: tasks and buffers of both
/// connections.
pub const REQUEST_BYTES: usize = 40 * 1024;

/// Memory per open stream: buffers of both connections and the event in between.
pub const STREAM_BYTES: usize = 48 * 1024;

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemoryPurpose {
    /// Bodies of incoming requests.
    Bodies,
    /// Responses to clients.
    Responses,
    /// Streams relayed to clients.
    Streams,
    /// Specifications and generated texts of the jobs that this node drives.
    Texts,
    /// Requests of peers.
    Peers,
    /// Open client connections and their requests in progress.
    Connections,
}

impl MemoryPurpose {
    /// All purposes.
    pub const ALL: [Self; 6] =
        [Self::Bodies, Self::Responses, Self::Streams, Self::Texts, Self::Peers, Self::Connections];

    /// Returns the name of the purpose in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Bodies => "bodies",
            Self::Responses => "answers",
            Self::Streams => "streams",
            Self::Texts => "texts",
            Self::Peers => "peers",
            Self::Connections => "connections",
        }
    }
}

/// Limits of a memory pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Maximum number of reserved bytes; `usize::MAX` means no limit.
    pub total: usize,
}

impl MemoryLimits {
    /// Derives the limits from the VM's memory in megabytes; 0 means no limit.
    pub fn from_memory(memory_mb: u64) -> Self {
        if memory_mb == 0 {
            return Self { total: usize::MAX };
        }
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(MEGABYTE);
        let overhead = fraction_of(memory, OVERHEAD_FRACTION);
        // A VM that is smaller than the process needs can still serve small calls one by one.
        let total = memory.saturating_sub(PROCESS_BYTES + overhead).max(16 * SMALL_BYTES);
        Self { total }
    }

    /// Returns whether there is a limit.
    pub fn is_bounded(self) -> bool {
        self.total != usize::MAX
    }

    /// Returns the total up to which a reservation may grow to `reserved` bytes.
    fn limit(self, purpose: MemoryPurpose, reserved: usize) -> usize {
        match purpose {
            _ if !self.is_bounded() => usize::MAX,
            _ if reserved <= SMALL_BYTES => self.total,
            MemoryPurpose::Bodies => fraction_of(self.total, BODY_FRACTION),
            _ => self.total - self.reserve(),
        }
    }

    /// Returns how many bytes small calls may use even if unconditional reservations exceed the limit.
    fn reserve(self) -> usize {
        fraction_of(self.total, RESERVE_FRACTION)
    }
}

fn fraction_of(bytes: usize, fraction: f64) -> usize {
    (bytes as f64 * fraction) as usize
}

/// Why memory could not be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveError {
    /// The reservation exceeds the limit even if nothing else is reserved.
    TooLarge,
    /// The pool does not have enough free bytes at the moment.
    Exhausted,
}

#[derive(Debug, Default)]
struct PoolTotals {
    total: usize,
    by_purpose: [usize; MemoryPurpose::ALL.len()],
    by_customer: HashMap<Name, usize>,
    /// Bytes of small reservations that were subject to the limit, without unconditional ones.
    small: usize,
}

impl PoolTotals {
    fn add(&mut self, purpose: MemoryPurpose, customer: Option<&Name>, bytes: usize) {
        self.total += bytes;
        self.by_purpose[purpose as usize] += bytes;
        if let Some(customer) = customer.filter(|_| bytes > 0) {
            *self.by_customer.entry(customer.clone()).or_default() += bytes;
        }
    }

    fn subtract(&mut self, purpose: MemoryPurpose, customer: Option<&Name>, bytes: usize) {
        self.total -= bytes;
        self.by_purpose[purpose as usize] -= bytes;
        let Some(customer) = customer else { return };
        if let Some(reserved) = self.by_customer.get_mut(customer) {
            *reserved -= bytes;
            if *reserved == 0 {
                self.by_customer.remove(customer);
            }
        }
    }
}

/// A snapshot of the reserved bytes of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemoryUsage {
    /// All reserved bytes.
    pub total: usize,
    /// Bytes by purpose, in the order of [`MemoryPurpose::ALL`].
    pub by_purpose: Vec<(MemoryPurpose, usize)>,
    /// Bytes by customer, in descending order.
    pub by_customer: Vec<(Name, usize)>,
}

/// A pool of memory from which requests, responses and jobs reserve what they use. Clones share the pool.
#[derive(Clone, Debug)]
pub struct MemoryPool {
    limits: MemoryLimits,
    totals: Arc<Mutex<PoolTotals>>,
}

impl MemoryPool {
    /// Creates a pool without reservations.
    pub fn new(limits: MemoryLimits) -> Self {
        Self { limits, totals: Arc::default() }
    }

    /// Returns the limits.
    pub fn limits(&self) -> MemoryLimits {
        self.limits
    }

    /// Reserves bytes within the limits, or returns why that is not possible.
    pub fn try_reserve(&self, purpose: MemoryPurpose, bytes: usize) -> Result<MemoryReservation, ReserveError> {
        let mut reservation = self.reserve(purpose, 0);
        reservation.try_grow(bytes)?;
        Ok(reservation)
    }

    /// Reserves bytes regardless of the limits, for memory that is used in any case, such as that of accepted
    /// jobs.
    pub fn reserve(&self, purpose: MemoryPurpose, bytes: usize) -> MemoryReservation {
        let mut reservation = MemoryReservation { pool: self.clone(), purpose, customer: None, bytes: 0, small: 0 };
        reservation.resize(bytes);
        reservation
    }

    /// Returns the number of reserved bytes.
    pub fn total(&self) -> usize {
        self.totals().total
    }

    /// Returns the reserved bytes by purpose and by customer.
    pub fn usage(&self) -> MemoryUsage {
        let totals = self.totals();
        let by_purpose = MemoryPurpose::ALL.iter().map(|purpose| (*purpose, totals.by_purpose[*purpose as usize]));
        let by_purpose = by_purpose.collect();
        let mut by_customer: Vec<(Name, usize)> =
            totals.by_customer.iter().map(|(name, bytes)| (name.clone(), *bytes)).collect();
        by_customer.sort_by(|left, right| (right.1, &left.0).cmp(&(left.1, &right.0)));
        MemoryUsage { total: totals.total, by_purpose, by_customer }
    }

    fn totals(&self) -> MutexGuard<'_, PoolTotals> {
        // Each critical section leaves the totals consistent, so a poisoned lock is safe to use.
        self.totals.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reserved bytes of a [`MemoryPool`], released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    pool: MemoryPool,
    purpose: MemoryPurpose,
    customer: Option<Name>,
    bytes: usize,
    /// Bytes counted in [`PoolTotals::small`]; 0 if the reservation is large or unconditional.
    small: usize,
}

impl MemoryReservation {
    /// Returns the number of reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Reserves `more` bytes in addition. Whether the reservation is small depends on its new size.
    pub fn try_grow(&mut self, more: usize) -> Result<(), ReserveError> {
        if more == 0 {
            return Ok(());
        }
        let bytes = self.bytes.saturating_add(more);
        let limit = self.pool.limits.limit(self.purpose, bytes);
        if bytes > limit {
            return Err(ReserveError::TooLarge);
        }
        let small = if bytes <= SMALL_BYTES { bytes } else { 0 };
        let mut totals = self.pool.totals();
        let small_total = totals.small - self.small + small;
        let is_in_reserve = small > 0 && small_total <= self.pool.limits.reserve();
        if totals.total.saturating_add(more) > limit && !is_in_reserve {
            return Err(ReserveError::Exhausted);
        }
        totals.add(self.purpose, self.customer.as_ref(), more);
        totals.small = small_total;
        drop(totals);
        (self.bytes, self.small) = (bytes, small);
        Ok(())
    }

    /// Changes the size of the reservation regardless of the limits.
    pub fn resize(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        let mut totals = self.pool.totals();
        totals.subtract(self.purpose, self.customer.as_ref(), self.bytes);
        totals.add(self.purpose, self.customer.as_ref(), bytes);
        totals.small -= self.small;
        drop(totals);
        (self.bytes, self.small) = (bytes, 0);
    }

    /// Attributes the reservation to a customer, once the customer of a request is known.
    pub fn set_customer(&mut self, customer: &Name) {
        if self.bytes > 0 {
            let mut totals = self.pool.totals();
            totals.subtract(self.purpose, self.customer.as_ref(), self.bytes);
            totals.add(self.purpose, Some(customer), self.bytes);
        }
        self.customer = Some(customer.clone());
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
