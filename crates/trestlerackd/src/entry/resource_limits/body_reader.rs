//! Reads request bodies. Memory is reserved before the bytes are read, and the bytes have to arrive at a
//! minimum rate.

use super::uploads::UploadGuard;
use super::{LimitDecision, ResourceLimiter};
use crate::entry::node::EntryNode;
use crate::process::clock;
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use trestlerack::process::{MemoryPurpose, MemoryReservation, ReserveError, SMALL_BYTES, UploadProgress};
use trestlerack::{Name, Timestamp};

/// Bytes by which the reservation of a body without a declared length grows.
const GROWTH_BYTES: usize = 32 * 1024;

/// Time for which the rest of a refused body is read and discarded, so that the client gets to read the
/// reply. A connection that is closed with unread bytes is reset, and the reply is lost.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the socket is read once more before a client is treated as too slow. After this node
/// was suspended or busy, bytes that arrived in time are still in its socket.
const SOCKET_DRAIN_TIMEOUT: Duration = Duration::from_millis(50);

/// Why a request body could not be read.
#[derive(Debug)]
pub enum RequestBodyError {
    /// The body is longer than allowed.
    TooLarge,
    /// No memory is available for the body now.
    MemoryExhausted,
    /// The body arrived too slowly.
    TooSlow,
    /// The connection broke, or the body is malformed.
    Broken(String),
}

/// A request body that is being read.
struct BodyReader<'a> {
    limiter: &'a ResourceLimiter,
    max_bytes: usize,
    bytes: BytesMut,
    reservation: MemoryReservation,
    progress: UploadProgress,
    upload: Option<UploadGuard<'a>>,
}

/// Reads a body of at most `max_bytes` bytes, which has to arrive within `limit`.
pub async fn read_body(
    node: &Arc<EntryNode>,
    id: &Name,
    mut body: Incoming,
    max_bytes: usize,
    limit: Duration,
) -> Result<(Bytes, MemoryReservation), RequestBodyError> {
    let limiter = &*node.resource_limits;
    let reservation = limiter.memory.reserve(MemoryPurpose::Bodies, 0);
    if body.is_end_stream() {
        return Ok((Bytes::new(), reservation));
    }
    let now = node.now();
    let progress = UploadProgress::start(now, limit);
    let mut reader = BodyReader { limiter, max_bytes, bytes: BytesMut::new(), reservation, progress, upload: None };
    let declared = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    let outcome = match reader.reserve_declared(now, declared) {
        Ok(()) => reader.read(node, &mut body).await,
        Err(error) => Err(error),
    };
    let Err(error) = outcome else { return Ok((reader.bytes.freeze(), reader.reservation)) };
    reader.log_error(node.now(), id, declared, &error);
    tokio::spawn(clock::timeout(DISCARD_TIMEOUT, discard(body)));
    Err(error)
}

async fn discard(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

impl BodyReader<'_> {
    /// Reserves memory for the declared length before anything is read.
    fn reserve_declared(&mut self, now: Timestamp, declared: Option<usize>) -> Result<(), RequestBodyError> {
        if declared.is_some_and(|length| length > self.max_bytes) {
            return Err(RequestBodyError::TooLarge);
        }
        self.reserve(now, declared.unwrap_or(GROWTH_BYTES))
    }

    /// Reserves `more` bytes and grows the buffer by them. Pages of the buffer that were never written to take
    /// no physical memory.
    fn reserve(&mut self, now: Timestamp, more: usize) -> Result<(), RequestBodyError> {
        let length = self.reservation.bytes().saturating_add(more);
        let result = self.reservation.try_grow(more);
        self.refuse_large_upload(now);
        result.map_err(|error| match error {
            ReserveError::TooLarge => RequestBodyError::TooLarge,
            ReserveError::Exhausted => RequestBodyError::MemoryExhausted,
        })?;
        self.bytes.reserve(length - self.bytes.len());
        if self.limiter.is_bounded() && length > SMALL_BYTES {
            let upload = self.upload.get_or_insert_with(|| self.limiter.uploads.register(now));
            upload.state.reserved.store(length, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Refuses a large upload if this body is large and the reserved memory is near its limit.
    fn refuse_large_upload(&self, now: Timestamp) {
        if self.reservation.bytes() > SMALL_BYTES && self.limiter.is_near_limit() {
            self.limiter.uploads.refuse_one(now);
        }
    }

    async fn read(&mut self, node: &EntryNode, body: &mut Incoming) -> Result<(), RequestBodyError> {
        while let Some(frame) = self.next_frame(node, body).await? {
            let frame = frame.map_err(|error| RequestBodyError::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            let now = node.now();
            let length = self.bytes.len() + data.len();
            if length > self.max_bytes {
                return Err(RequestBodyError::TooLarge);
            }
            if length > self.reservation.bytes() {
                self.reserve(now, GROWTH_BYTES.max(data.len()))?;
            }
            self.bytes.extend_from_slice(&data);
            self.progress.record(now, data.len());
            if let Some(upload) = &self.upload {
                upload.state.received.store(length, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    /// Returns the next frame, `None` at the end of the body.
    async fn next_frame(
        &self,
        node: &EntryNode,
        body: &mut Incoming,
    ) -> Result<Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>, RequestBodyError> {
        if body.is_end_stream() {
            return Ok(None);
        }
        // Most bodies arrive together with their headers and need no timer.
        if let Some(frame) = body.frame().now_or_never() {
            return Ok(frame);
        }
        if !self.limiter.is_bounded() {
            return Ok(body.frame().await);
        }
        let left = self.progress.due().since(node.now());
        let refused = async {
            match &self.upload {
                Some(upload) => upload.state.refused.notified().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            frame = clock::timeout(left, body.frame()) => if let Ok(frame) = frame { return Ok(frame) },
            () = refused => return Err(RequestBodyError::MemoryExhausted),
        }
        clock::timeout(SOCKET_DRAIN_TIMEOUT, body.frame()).await.map_err(|_| RequestBodyError::TooSlow)
    }

    fn log_error(&self, now: Timestamp, id: &Name, declared: Option<usize>, error: &RequestBodyError) {
        let (received, reserved) = (self.bytes.len(), self.reservation.bytes());
        match error {
            RequestBodyError::MemoryExhausted if received == 0 => {
                let bytes = declared.unwrap_or(GROWTH_BYTES);
                let (total, max_total) = (self.limiter.memory.total(), self.limiter.memory.limits().total);
                self.limiter.record(
                    now,
                    LimitDecision::BodyRefused,
                    &[("request", id), ("bytes", &bytes), ("held", &total), ("bound", &max_total)],
                );
            }
            RequestBodyError::MemoryExhausted | RequestBodyError::TooSlow => {
                let why = if matches!(error, RequestBodyError::TooSlow) { "too slow" } else { "no memory left" };
                self.limiter.record(
                    now,
                    LimitDecision::UploadAborted,
                    &[("request", id), ("why", &why), ("received", &received), ("held", &reserved)],
                );
            }
            RequestBodyError::TooLarge | RequestBodyError::Broken(_) => {}
        }
    }
}
