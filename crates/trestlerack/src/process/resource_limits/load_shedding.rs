//! Which work is dropped or limited when the memory pool nears its limit.
//!
//! The pool first refuses large new bodies. Next, the upload that uses the most memory relative to its
//! progress is refused, and then the connection of a stalled download that uses much memory is closed.
//! Small uploads and downloads are never selected.

use super::SMALL_BYTES;
use std::time::Duration;

/// Fraction of the limit from which uploads are refused and runs are limited.
const NEAR_LIMIT_FRACTION: f64 = 0.75;

/// Maximum number of concurrent runs at that fraction; it falls to one at the limit.
const MAX_RUNS_NEAR_LIMIT: usize = 64;

/// Minimum age at which an upload may be refused, so that its progress is known.
const MIN_UPLOAD_AGE: Duration = Duration::from_millis(500);

/// Minimum stall after which a download may be closed. It is longer than the retransmission of a lost packet
/// takes.
const MIN_DOWNLOAD_PAUSE: Duration = Duration::from_secs(1);

/// State of a request body that is being received.
#[derive(Clone, Copy, Debug)]
pub struct UploadStatus {
    /// Id of the upload.
    pub id: u64,
    /// Reserved bytes.
    pub reserved: usize,
    /// Received bytes.
    pub received: usize,
    /// Time since the head of the request arrived.
    pub age: Duration,
}

/// State of a response whose client is not reading.
#[derive(Clone, Copy, Debug)]
pub struct DownloadStatus {
    /// Id of the connection.
    pub id: u64,
    /// Reserved bytes.
    pub reserved: usize,
    /// Time for which the client has read nothing.
    pub pause: Duration,
}

/// Returns the upload that uses the most memory relative to its progress.
pub fn upload_to_refuse(uploads: &[UploadStatus]) -> Option<u64> {
    let is_eligible = |upload: &&UploadStatus| upload.reserved > SMALL_BYTES && upload.age >= MIN_UPLOAD_AGE;
    let cost = |upload: &UploadStatus| {
        let rate = upload.received.max(1) as f64 / upload.age.as_secs_f64();
        upload.reserved as f64 / rate
    };
    let costliest = uploads.iter().filter(is_eligible).max_by(|left, right| cost(left).total_cmp(&cost(right)));
    costliest.map(|upload| upload.id)
}

/// Returns the stalled download with the highest product of reserved bytes and length of the stall.
pub fn download_to_close(downloads: &[DownloadStatus]) -> Option<u64> {
    let is_eligible =
        |download: &&DownloadStatus| download.reserved > SMALL_BYTES && download.pause >= MIN_DOWNLOAD_PAUSE;
    let cost = |download: &DownloadStatus| download.reserved as f64 * download.pause.as_secs_f64();
    let costliest = downloads.iter().filter(is_eligible).max_by(|left, right| cost(left).total_cmp(&cost(right)));
    costliest.map(|download| download.id)
}

/// Returns how many item runs a node may have at once; `None` below three quarters of the limit.
///
/// One run is always allowed, so that accepted jobs can finish and release their memory.
pub fn run_limit(total: usize, limit: usize) -> Option<usize> {
    if !is_near_limit(total, limit) {
        return None;
    }
    let threshold = limit as f64 * NEAR_LIMIT_FRACTION;
    let left = (limit as f64 - total as f64).max(0.0) / (limit as f64 - threshold);
    Some(((MAX_RUNS_NEAR_LIMIT as f64 * left) as usize).max(1))
}

/// Returns whether the reserved bytes are so close to the limit that uploads are refused and runs are limited.
pub fn is_near_limit(total: usize, limit: usize) -> bool {
    limit != usize::MAX && total as f64 >= limit as f64 * NEAR_LIMIT_FRACTION
}
