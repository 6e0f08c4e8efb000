//! Reads complete responses of backend servers into memory reserved from the pool.

use super::LimitDecision;
use crate::entry::node::EntryNode;
use crate::process::clock;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Mutex;
use trestlerack::process::{MemoryPurpose, MemoryReservation, ReserveError};

/// Interval at which a response that waits for memory tries again to reserve it.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Size from which a response without a length, or one that its server does not end, is the server's fault even if it
/// waits for memory here.
const LARGE_RESPONSE_BYTES: usize = 1024 * 1024;

/// Why a response was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadError {
    /// Its connection broke before the end.
    Broken,
    /// It is longer than the limits allow.
    TooLong,
}

/// How much of a response has arrived, for an exchange that is cancelled.
#[derive(Debug, Default)]
pub struct ResponseProgress {
    bytes: AtomicUsize,
    has_length: AtomicBool,
}

impl ResponseProgress {
    /// Returns whether so much of a response without a length has arrived that its server may never end it.
    pub fn may_be_endless(&self) -> bool {
        !self.has_length.load(Ordering::Relaxed) && self.bytes.load(Ordering::Relaxed) >= LARGE_RESPONSE_BYTES
    }
}

/// Reads a response of at most `max_bytes` bytes.
///
/// While there is no memory for a response, its body is not read, so that the remaining bytes stay at its
/// server. Responses without a length share a part of the memory, so that those without end leave room for the others.
///
/// # Errors
///
/// Fails if the response is longer, or if its connection breaks before the end.
pub async fn read_response(
    node: &Arc<EntryNode>,
    request: &str,
    mut body: Incoming,
    max_bytes: usize,
    progress: &ResponseProgress,
) -> Result<(Bytes, MemoryReservation), ReadError> {
    let mut reservation = node.resource_limits.memory.reserve(MemoryPurpose::Responses, 0);
    let mut unframed = node.resource_limits.unframed_memory.reserve(MemoryPurpose::Responses, 0);
    let exact = body.size_hint().exact();
    progress.has_length.store(exact.is_some(), Ordering::Relaxed);
    let declared = exact.map_or(0, |length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared > max_bytes {
        return Err(ReadError::TooLong);
    }
    let limits = &node.resource_limits;
    wait_for_memory(node, request, &mut reservation, declared, &limits.retry_lock).await?;
    let mut bytes = BytesMut::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| ReadError::Broken)?.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return Err(ReadError::TooLong);
        }
        if exact.is_none() {
            progress.bytes.store(length, Ordering::Relaxed);
            let missing = length.saturating_sub(unframed.bytes());
            wait_for_memory(node, request, &mut unframed, missing, &limits.unframed_retry_lock).await?;
        }
        let missing = length.saturating_sub(reservation.bytes());
        wait_for_memory(node, request, &mut reservation, missing, &limits.retry_lock).await?;
        bytes.extend_from_slice(&data);
    }
    Ok((bytes.freeze(), reservation))
}

/// Reserves `more` bytes for a response, and waits until they are available. Fails if the response is larger than the
/// limits ever allow.
async fn wait_for_memory(
    node: &EntryNode,
    request: &str,
    reservation: &mut MemoryReservation,
    more: usize,
    retry_lock: &Mutex<()>,
) -> Result<(), ReadError> {
    match reservation.try_grow(more) {
        Ok(()) => return Ok(()),
        Err(ReserveError::TooLarge) => return Err(ReadError::TooLong),
        Err(ReserveError::Exhausted) => log_wait(node, request, more),
    }
    // Only one response at a time tries again, so that hundreds of waiting ones cost no more than one.
    let _guard = retry_lock.lock().await;
    while let Err(error) = reservation.try_grow(more) {
        if error == ReserveError::TooLarge {
            return Err(ReadError::TooLong);
        }
        node.resource_limits.close_stalled_download(node.now());
        clock::sleep(MEMORY_RETRY_INTERVAL).await;
    }
    Ok(())
}

fn log_wait(node: &EntryNode, request: &str, bytes: usize) {
    let (total, max_total) = (node.resource_limits.memory.total(), node.resource_limits.memory.limits().total);
    let fields: [(&str, &dyn Display); 4] =
        [("request", &request), ("bytes", &bytes), ("held", &total), ("bound", &max_total)];
    node.resource_limits.record(node.now(), LimitDecision::ResponseWaits, &fields);
}
