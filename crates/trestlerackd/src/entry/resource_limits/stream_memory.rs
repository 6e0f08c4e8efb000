//! Memory of the events of a stream that are not complete yet.

use trestlerack::process::{MemoryPool, MemoryPurpose, MemoryReservation, SMALL_BYTES};

/// Reserves memory for the partial event of one stream. Small ones are part of what each stream is counted with.
pub struct StreamMemory {
    pool: MemoryPool,
    reservation: Option<MemoryReservation>,
}

impl StreamMemory {
    /// Creates the memory of a stream without a partial event.
    pub fn new(pool: MemoryPool) -> Self {
        Self { pool, reservation: None }
    }

    /// Reserves what a partial event of `bytes` bytes takes.
    ///
    /// # Errors
    ///
    /// Fails if the node has no memory for it.
    pub fn hold(&mut self, bytes: usize) -> Result<(), String> {
        if bytes <= SMALL_BYTES {
            self.reservation = None;
            return Ok(());
        }
        let reservation = self.reservation.get_or_insert_with(|| self.pool.reserve(MemoryPurpose::Streams, 0));
        let missing = bytes.saturating_sub(reservation.bytes());
        reservation.try_grow(missing).map_err(|_| "no memory is left for an event without end".to_owned())
    }
}
