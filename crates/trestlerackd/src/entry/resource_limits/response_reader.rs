//! Reads whole answers of backend servers as there is room for them.

use super::HeldDecision;
use crate::entry::node::EntryNode;
use crate::process::clock;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::fmt::Display;
use std::sync::Arc;
use std::time::Duration;
use trestlerack::process::{MemoryPurpose, MemoryReservation, ReserveError};

/// Interval at which an answer that waits looks for room again.
const ROOM_INTERVAL: Duration = Duration::from_millis(20);

/// Reads an answer of `most` bytes at most; `None` if it breaks off or is longer.
///
/// An answer for which there is no room stays with its server: it is not read on meanwhile.
pub async fn read_answer(
    node: &Arc<EntryNode>,
    request: &str,
    mut body: Incoming,
    most: usize,
) -> Option<(Bytes, MemoryReservation)> {
    let mut held = node.held.ledger.reserve(MemoryPurpose::Responses, 0);
    let stated = body.size_hint().exact().map_or(0, |length| usize::try_from(length).unwrap_or(usize::MAX));
    if stated > most {
        return None;
    }
    wait_for_room(node, request, &mut held, stated).await?;
    let mut bytes = BytesMut::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else { continue };
        let length = bytes.len() + data.len();
        if length > most {
            return None;
        }
        let missing = length.saturating_sub(held.bytes());
        wait_for_room(node, request, &mut held, missing).await?;
        bytes.extend_from_slice(&data);
    }
    Some((bytes.freeze(), held))
}

/// Takes bytes for an answer, as soon as there is room; `None` if there never is.
async fn wait_for_room(node: &EntryNode, request: &str, held: &mut MemoryReservation, more: usize) -> Option<()> {
    match held.try_grow(more) {
        Ok(()) => return Some(()),
        Err(ReserveError::TooLarge) => return None,
        Err(ReserveError::Exhausted) => tell_wait(node, request, more),
    }
    // One answer at a time looks for room, so that hundreds that wait cost no more than one.
    let _turn = node.held.turn.lock().await;
    while let Err(refusal) = held.try_grow(more) {
        if refusal == ReserveError::TooLarge {
            return None;
        }
        node.held.cut_reader(node.now());
        clock::sleep(ROOM_INTERVAL).await;
    }
    Some(())
}

fn tell_wait(node: &EntryNode, request: &str, bytes: usize) {
    let (held, bound) = (node.held.ledger.total(), node.held.ledger.limits().total);
    let fields: [(&str, &dyn Display); 4] =
        [("request", &request), ("bytes", &bytes), ("held", &held), ("bound", &bound)];
    node.held.note(node.now(), HeldDecision::AnswerWaits, &fields);
}
