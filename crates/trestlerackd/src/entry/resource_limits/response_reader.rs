//! Reads complete responses of backend servers into memory reserved from the pool.

use super::LimitDecision;
use crate::entry::node::EntryNode;
use crate::process::clock;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{MemoryPurpose, MemoryReservation, ReserveError};

/// Interval at which a response that waits for memory tries again to reserve it.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Reads a response of at most `max_bytes` bytes. Returns `None` if it is longer, or if its connection
/// breaks before the end.
///
/// While there is no memory for a response, its body is not read, so that the remaining bytes stay at its
/// server.
pub async fn read_response(
    node: &Arc<EntryNode>,
    request: &str,
    mut body: Incoming,
    max_bytes: usize,
) -> Option<(Bytes, MemoryReservation)> {
    let mut reservation = node.resource_limits.memory.reserve(MemoryPurpose::Responses, 0);
    let declared = body.size_hint().exact().map_or(0, |length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared > max_bytes {
        return None;
    }
    wait_for_memory(node, request, &mut reservation, declared).await?;
    let mut bytes = BytesMut::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > max_bytes {
            return None;
        }
        let missing = length.saturating_sub(reservation.bytes());
        wait_for_memory(node, request, &mut reservation, missing).await?;
        bytes.extend_from_slice(&data);
    }
    Some((bytes.freeze(), reservation))
}

/// Reserves `more` bytes for a response, and waits until they are available. Returns `None` if the
/// response is larger than the limits ever allow.
async fn wait_for_memory(
    node: &EntryNode,
    request: &str,
    reservation: &mut MemoryReservation,
    more: usize,
) -> Option<()> {
    match reservation.try_grow(more) {
        Ok(()) => return Some(()),
        Err(ReserveError::TooLarge) => return None,
        Err(ReserveError::Exhausted) => log_wait(node, request, more),
    }
    // Only one response at a time tries again, so that hundreds of waiting ones cost no more than one.
    let _guard = node.resource_limits.retry_lock.lock().await;
    while let Err(error) = reservation.try_grow(more) {
        if error == ReserveError::TooLarge {
            return None;
        }
        node.resource_limits.close_stalled_download(node.now());
        clock::sleep(MEMORY_RETRY_INTERVAL).await;
    }
    Some(())
}

fn log_wait(node: &EntryNode, request: &str, bytes: usize) {
    let (total, max_total) = (node.resource_limits.memory.total(), node.resource_limits.memory.limits().total);
    let fields: [(&str, &dyn Display); 4] =
        [("request", &request), ("bytes", &bytes), ("held", &total), ("bound", &max_total)];
    node.resource_limits.record(node.now(), LimitDecision::ResponseWaits, &fields);
}
