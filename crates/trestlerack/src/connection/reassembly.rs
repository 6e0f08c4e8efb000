//! Restores the order of the parts of a stream and detects missing parts.

use std::collections::BTreeMap;
use std::fmt;

/// Error returned if a stream cannot be reassembled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReassemblyError {
    /// More parts than the window allows arrived ahead of a missing one.
    Gap {
        /// Position of the missing part.
        missing: u64,
    },
}

impl fmt::Display for ReassemblyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Gap { missing } => write!(formatter, "part {missing} of the stream is missing"),
        }
    }
}

impl std::error::Error for ReassemblyError {}

/// Reorders the parts of one stream within a bounded window and drops duplicates.
#[derive(Clone, Debug)]
pub struct StreamReassembler<T> {
    next: u64,
    window: usize,
    buffered: BTreeMap<u64, T>,
}

impl<T> StreamReassembler<T> {
    /// Builds a reassembler that buffers at most `window` parts ahead of a missing one.
    pub fn new(window: usize) -> Self {
        Self { next: 0, window, buffered: BTreeMap::new() }
    }

    /// Accepts the part at position `sequence` and returns the parts that are now in order.
    pub fn accept(&mut self, sequence: u64, part: T) -> Result<Vec<T>, ReassemblyError> {
        if sequence < self.next {
            return Ok(Vec::new());
        }
        self.buffered.insert(sequence, part);
        let mut ready = Vec::new();
        while let Some(part) = self.buffered.remove(&self.next) {
            ready.push(part);
            self.next += 1;
        }
        if self.buffered.len() > self.window {
            return Err(ReassemblyError::Gap { missing: self.next });
        }
        Ok(ready)
    }
}
