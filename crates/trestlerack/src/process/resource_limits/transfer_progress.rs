//! Minimum rates at which clients send request bodies and read responses.

use crate::{Timestamp, time::millis};
use std::time::Duration;

/// Initial time in which an upload may be arbitrarily slow; a lost packet is retransmitted within it.
const UPLOAD_GRACE: Duration = Duration::from_secs(1);

/// Minimum rate of an upload after [`UPLOAD_GRACE`], in bytes per second. It is far below the narrowest links
/// of clients.
const MIN_UPLOAD_RATE: u64 = 1_024;

/// Maximum pause of an upload. Lost packets are retransmitted after 0.2, 0.6 and 1.4 s.
const MAX_UPLOAD_PAUSE: Duration = Duration::from_secs(3);

/// Maximum time in which a client may read nothing of its response, which stays in memory meanwhile.
const MAX_DOWNLOAD_PAUSE: Duration = Duration::from_secs(5);

/// Minimum rate of a download whose writes have been blocked for longer than that pause, in bytes per second.
const MIN_DOWNLOAD_RATE: u64 = 4_096;

/// Tracks whether the body of a request arrives fast enough.
#[derive(Clone, Copy, Debug)]
pub struct UploadProgress {
    started: Timestamp,
    last: Timestamp,
    received: u64,
    /// Deadline of the whole body: the route's timeout or the client's own deadline.
    deadline: Timestamp,
}

impl UploadProgress {
    /// Starts when the head of the request has arrived.
    pub fn start(now: Timestamp, limit: Duration) -> Self {
        Self { started: now, last: now, received: 0, deadline: now + limit }
    }

    /// Records received bytes.
    pub fn record(&mut self, now: Timestamp, bytes: usize) {
        self.received = self.received.saturating_add(bytes as u64);
        self.last = now;
    }

    /// Returns when the next bytes have to arrive.
    pub fn due(&self) -> Timestamp {
        let by_rate =
            self.started + UPLOAD_GRACE + Duration::from_millis(self.received.saturating_mul(1_000) / MIN_UPLOAD_RATE);
        by_rate.min(self.last + MAX_UPLOAD_PAUSE).min(self.deadline)
    }

    /// Returns the time since the start of the upload.
    pub fn age(&self, now: Timestamp) -> Duration {
        now.since(self.started)
    }
}

/// Tracks whether a client reads its response fast enough, from the first write that had to wait for it.
#[derive(Clone, Copy, Debug)]
pub struct DownloadProgress {
    started: Timestamp,
    last: Timestamp,
    sent: u64,
}

impl DownloadProgress {
    /// Starts when a write has to wait for the client for the first time.
    pub fn start(now: Timestamp) -> Self {
        Self { started: now, last: now, sent: 0 }
    }

    /// Records bytes that the connection has accepted.
    pub fn record(&mut self, now: Timestamp, bytes: usize) {
        self.sent = self.sent.saturating_add(bytes as u64);
        self.last = now;
    }

    /// Returns the time since the connection last accepted bytes.
    pub fn pause(&self, now: Timestamp) -> Duration {
        now.since(self.last)
    }

    /// Returns when the connection is closed unless it accepts more bytes.
    pub fn due(&self) -> Timestamp {
        let by_rate = Duration::from_millis(self.sent.saturating_mul(1_000) / MIN_DOWNLOAD_RATE);
        let by_rate = self.started + MAX_DOWNLOAD_PAUSE + by_rate;
        by_rate.min(self.last + MAX_DOWNLOAD_PAUSE)
    }

    /// Returns the time left until [`Self::due`], at least a millisecond, so that a timer always advances.
    pub fn left(&self, now: Timestamp) -> Duration {
        Duration::from_millis(millis(self.due().since(now)).max(1))
    }
}
