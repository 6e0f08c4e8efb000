//! Bounds what a server may send before the head of its response, and notices bytes that belong to no response.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use trestlerack::Name;

/// Most bytes before the end of a response's head, including interim responses.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Learns of servers that send bytes which belong to no response.
pub trait StrayBytesObserver: Send + Sync {
    /// Records that such bytes came from a server's address.
    fn record_stray_bytes(&self, address: &Name);
}

/// Counts what a connection receives until the head of a response is complete.
#[derive(Debug, Default)]
pub struct ResponseMeter {
    is_awaiting_head: AtomicBool,
    received: AtomicUsize,
}

impl ResponseMeter {
    /// Creates the meter of a connection without an exchange.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Records that a request is sent, to which a response is due.
    pub fn await_head(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.is_awaiting_head.store(true, Ordering::Relaxed);
    }

    /// Records that the head of the response is complete.
    pub fn record_head(&self) {
        self.is_awaiting_head.store(false, Ordering::Relaxed);
    }

    /// Records received bytes.
    ///
    /// # Errors
    ///
    /// Fails if the head of a response is longer than [`MAX_HEAD_BYTES`].
    pub fn record_received(&self, bytes: usize) -> io::Result<()> {
        if !self.is_awaiting_head.load(Ordering::Relaxed) {
            return Ok(());
        }
        let received = self.received.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if received <= MAX_HEAD_BYTES { Ok(()) } else { Err(io::Error::other("the head of the response has no end")) }
    }
}

/// Returns whether a connection ended because its server sent bytes that belong to no response.
pub fn is_stray_message(error: &hyper::Error) -> bool {
    let has_other_cause = std::error::Error::source(error).is_some();
    !has_other_cause && !error.is_canceled() && !error.is_closed() && !error.is_incomplete_message()
}
