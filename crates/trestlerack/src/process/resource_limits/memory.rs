//! Counts the bytes that a node holds, by what for and for whom.

use crate::Name;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A megabyte, as the settings count memory.
const MEGABYTE: usize = 1_000_000;

/// What the process needs with nothing held: code, tables of peers and servers, buffers of its own links.
const PROCESS_BYTES: usize = 24 * MEGABYTE;

/// Share of the memory left as working room, for copies in flight and what the allocator keeps.
const WORKING_SHARE: f64 = 0.25;

/// Most bytes of a small call, which may use the reserve.
pub const SMALL_BYTES: usize = 64 * 1024;

/// Share of the bound that only small calls may use.
const RESERVE_SHARE: f64 = 0.125;

/// Share of the bound up to which new large bodies are read; what is above is for what has begun.
const BODY_SHARE: f64 = 0.5;

/// What an open connection of a client costs: its task and its read buffer.
pub const CONNECTION_BYTES: usize = 16 * 1024;

/// What a request in progress costs beside its body and its answer: its tasks and buffers on both sides.
pub const REQUEST_BYTES: usize = 40 * 1024;

/// What an open stream costs: buffers on both sides and the event in between.
pub const STREAM_BYTES: usize = 48 * 1024;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HeldPurpose {
    /// Bodies of requests that come in.
    Bodies,
    /// Answers that go out.
    Answers,
    /// Streams that are passed on.
    Streams,
    /// Specifications and texts of jobs that this node drives.
    Texts,
    /// Calls of peers.
    Peers,
    /// Open connections of clients and their requests in progress.
    Connections,
}

impl HeldPurpose {
    /// All purposes.
    pub const ALL: [Self; 6] =
        [Self::Bodies, Self::Answers, Self::Streams, Self::Texts, Self::Peers, Self::Connections];

    /// Returns the word that metrics use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Bodies => "bodies",
            Self::Answers => "answers",
            Self::Streams => "streams",
            Self::Texts => "texts",
            Self::Peers => "peers",
            Self::Connections => "connections",
        }
    }
}

/// How much may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldBounds {
    /// Most bytes held for everything; `usize::MAX` where nothing is bounded.
    pub total: usize,
}

impl HeldBounds {
    /// Derives the bounds from the VM's memory in megabytes; 0 bounds nothing.
    pub fn of_memory(memory_mb: u64) -> Self {
        if memory_mb == 0 {
            return Self { total: usize::MAX };
        }
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(MEGABYTE);
        let working = share(memory, WORKING_SHARE);
        // A VM smaller than the process needs still serves small calls, one after the other.
        let total = memory.saturating_sub(PROCESS_BYTES + working).max(16 * SMALL_BYTES);
        Self { total }
    }

    /// Returns whether anything is bounded.
    pub fn is_bounded(self) -> bool {
        self.total != usize::MAX
    }

    /// Returns up to where the total may rise by a take that makes its holder `held` bytes large.
    fn limit(self, purpose: HeldPurpose, held: usize) -> usize {
        match purpose {
            _ if !self.is_bounded() => usize::MAX,
            _ if held <= SMALL_BYTES => self.total,
            HeldPurpose::Bodies => share(self.total, BODY_SHARE),
            _ => self.total - self.reserve(),
        }
    }

    /// Returns what small calls may hold in any case, also where what is only counted is above the bound.
    fn reserve(self) -> usize {
        share(self.total, RESERVE_SHARE)
    }
}

fn share(whole: usize, share: f64) -> usize {
    (whole as f64 * share) as usize
}

/// Why bytes were not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TakeRefusal {
    /// They would not fit if nothing else was held.
    Never,
    /// They do not fit beside what is held now.
    NotNow,
}

#[derive(Debug, Default)]
struct Sums {
    total: usize,
    by_purpose: [usize; HeldPurpose::ALL.len()],
    by_customer: HashMap<Name, usize>,
    /// Bytes of small holders that were taken, not only counted.
    small: usize,
}

impl Sums {
    fn add(&mut self, purpose: HeldPurpose, customer: Option<&Name>, bytes: usize) {
        self.total += bytes;
        self.by_purpose[purpose as usize] += bytes;
        if let Some(customer) = customer.filter(|_| bytes > 0) {
            *self.by_customer.entry(customer.clone()).or_default() += bytes;
        }
    }

    fn subtract(&mut self, purpose: HeldPurpose, customer: Option<&Name>, bytes: usize) {
        self.total -= bytes;
        self.by_purpose[purpose as usize] -= bytes;
        let Some(customer) = customer else { return };
        if let Some(held) = self.by_customer.get_mut(customer) {
            *held -= bytes;
            if *held == 0 {
                self.by_customer.remove(customer);
            }
        }
    }
}

/// What is held at a moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LedgerView {
    /// All bytes.
    pub total: usize,
    /// Bytes by purpose, in the order of [`HeldPurpose::ALL`].
    pub by_purpose: Vec<(HeldPurpose, usize)>,
    /// Bytes by customer, the largest first.
    pub by_customer: Vec<(Name, usize)>,
}

/// The ledger of held bytes, shared by those who hold them.
#[derive(Clone, Debug)]
pub struct ByteLedger {
    bounds: HeldBounds,
    sums: Arc<Mutex<Sums>>,
}

impl ByteLedger {
    /// Builds an empty ledger.
    pub fn new(bounds: HeldBounds) -> Self {
        Self { bounds, sums: Arc::default() }
    }

    /// Returns the bounds.
    pub fn bounds(&self) -> HeldBounds {
        self.bounds
    }

    /// Takes bytes that may be refused.
    pub fn take(&self, purpose: HeldPurpose, bytes: usize) -> Result<HeldBytes, TakeRefusal> {
        let mut held = self.count(purpose, 0);
        held.grow(bytes)?;
        Ok(held)
    }

    /// Counts bytes that are held in any case, as those of accepted jobs.
    pub fn count(&self, purpose: HeldPurpose, bytes: usize) -> HeldBytes {
        let mut held = HeldBytes { ledger: self.clone(), purpose, customer: None, bytes: 0, small: 0 };
        held.set(bytes);
        held
    }

    /// Returns how many bytes are held.
    pub fn total(&self) -> usize {
        self.sums().total
    }

    /// Returns what is held.
    pub fn view(&self) -> LedgerView {
        let sums = self.sums();
        let by_purpose = HeldPurpose::ALL.iter().map(|purpose| (*purpose, sums.by_purpose[*purpose as usize]));
        let by_purpose = by_purpose.collect();
        let mut by_customer: Vec<(Name, usize)> =
            sums.by_customer.iter().map(|(name, bytes)| (name.clone(), *bytes)).collect();
        by_customer.sort_by(|left, right| (right.1, &left.0).cmp(&(left.1, &right.0)));
        LedgerView { total: sums.total, by_purpose, by_customer }
    }

    fn sums(&self) -> MutexGuard<'_, Sums> {
        // The sums are whole after each step, so a panic elsewhere leaves them right.
        self.sums.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes that are held; dropping this gives them back.
#[derive(Debug)]
pub struct HeldBytes {
    ledger: ByteLedger,
    purpose: HeldPurpose,
    customer: Option<Name>,
    bytes: usize,
    /// How many of them the reserve for small calls may have given.
    small: usize,
}

impl HeldBytes {
    /// Returns how many they are.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes more bytes for the same holder; the whole of it decides whether it is small.
    pub fn grow(&mut self, more: usize) -> Result<(), TakeRefusal> {
        if more == 0 {
            return Ok(());
        }
        let held = self.bytes.saturating_add(more);
        let limit = self.ledger.bounds.limit(self.purpose, held);
        if held > limit {
            return Err(TakeRefusal::Never);
        }
        let small = if held <= SMALL_BYTES { held } else { 0 };
        let mut sums = self.ledger.sums();
        let small_sum = sums.small - self.small + small;
        let is_in_reserve = small > 0 && small_sum <= self.ledger.bounds.reserve();
        if sums.total.saturating_add(more) > limit && !is_in_reserve {
            return Err(TakeRefusal::NotNow);
        }
        sums.add(self.purpose, self.customer.as_ref(), more);
        sums.small = small_sum;
        drop(sums);
        (self.bytes, self.small) = (held, small);
        Ok(())
    }

    /// Sets how many bytes are held, whatever the bounds say.
    pub fn set(&mut self, bytes: usize) {
        if bytes == self.bytes {
            return;
        }
        let mut sums = self.ledger.sums();
        sums.subtract(self.purpose, self.customer.as_ref(), self.bytes);
        sums.add(self.purpose, self.customer.as_ref(), bytes);
        sums.small -= self.small;
        drop(sums);
        (self.bytes, self.small) = (bytes, 0);
    }

    /// Says for which customer the bytes are held, once that is known.
    pub fn assign(&mut self, customer: &Name) {
        if self.bytes > 0 {
            let mut sums = self.ledger.sums();
            sums.subtract(self.purpose, self.customer.as_ref(), self.bytes);
            sums.add(self.purpose, Some(customer), self.bytes);
        }
        self.customer = Some(customer.clone());
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.set(0);
    }
}
