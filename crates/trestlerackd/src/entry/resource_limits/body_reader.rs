//! Reads the bodies of requests: bytes are taken from the ledger first, and have to come at a least rate.

use super::uploads::BodyPlace;
use super::{HeldDecision, HeldDesk};
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

/// Bytes by which a body without a length grows.
const GROWTH: usize = 32 * 1024;

/// Time for which the rest of a refused body is read and dropped, so that its sender comes to read the
/// answer; a connection that is closed with bytes unread is reset, and the answer with it.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Time in which bytes that wait at this node are found before their sender is called slow; a node that
/// was suspended or busy has them in its socket.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

/// Why a body was not read.
#[derive(Debug)]
pub enum BodyRefusal {
    /// It is longer than a body may be.
    TooLarge,
    /// There is no room for it now.
    NoRoom,
    /// It came too slowly.
    TooSlow,
    /// Its connection broke, or it is no body.
    Broken(String),
}

/// A body as it is read.
struct BodyReader<'a> {
    desk: &'a HeldDesk,
    most: usize,
    bytes: BytesMut,
    held: MemoryReservation,
    pace: UploadProgress,
    place: Option<BodyPlace<'a>>,
}

/// Reads a body of `most` bytes at most, which has to be there within `limit`.
pub async fn read_body(
    node: &Arc<EntryNode>,
    id: &Name,
    mut body: Incoming,
    most: usize,
    limit: Duration,
) -> Result<(Bytes, MemoryReservation), BodyRefusal> {
    let desk = &*node.held;
    let held = desk.ledger.reserve(MemoryPurpose::Bodies, 0);
    if body.is_end_stream() {
        return Ok((Bytes::new(), held));
    }
    let now = node.now();
    let pace = UploadProgress::start(now, limit);
    let mut reader = BodyReader { desk, most, bytes: BytesMut::new(), held, pace, place: None };
    let stated = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    let outcome = match reader.begin(now, stated) {
        Ok(()) => reader.read(node, &mut body).await,
        Err(refusal) => Err(refusal),
    };
    let Err(refusal) = outcome else { return Ok((reader.bytes.freeze(), reader.held)) };
    reader.tell(node.now(), id, stated, &refusal);
    tokio::spawn(clock::timeout(DISCARD_TIME, discard(body)));
    Err(refusal)
}

async fn discard(mut body: Incoming) {
    while let Some(Ok(_)) = body.frame().await {}
}

impl BodyReader<'_> {
    /// Takes the stated length before anything is read.
    fn begin(&mut self, now: Timestamp, stated: Option<usize>) -> Result<(), BodyRefusal> {
        if stated.is_some_and(|length| length > self.most) {
            return Err(BodyRefusal::TooLarge);
        }
        self.make_room(now, stated.unwrap_or(GROWTH))
    }

    /// Takes `more` bytes and makes their place; pages of it that nothing was written to cost nothing.
    fn make_room(&mut self, now: Timestamp, more: usize) -> Result<(), BodyRefusal> {
        let length = self.held.bytes().saturating_add(more);
        let taken = self.held.try_grow(more);
        self.relieve(now);
        taken.map_err(|refusal| match refusal {
            ReserveError::TooLarge => BodyRefusal::TooLarge,
            ReserveError::Exhausted => BodyRefusal::NoRoom,
        })?;
        self.bytes.reserve(length - self.bytes.len());
        if self.desk.is_bounded() && length > SMALL_BYTES {
            let place = self.place.get_or_insert_with(|| self.desk.bodies.enter(now));
            place.watch.held.store(length, Ordering::Relaxed);
        }
        Ok(())
    }

    /// Where what is held nears its bound, has a large sender refused.
    fn relieve(&self, now: Timestamp) {
        if self.held.bytes() > SMALL_BYTES && self.desk.is_pressed() {
            self.desk.bodies.relieve(now);
        }
    }

    async fn read(&mut self, node: &EntryNode, body: &mut Incoming) -> Result<(), BodyRefusal> {
        while let Some(frame) = self.next_frame(node, body).await? {
            let frame = frame.map_err(|error| BodyRefusal::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            let now = node.now();
            let length = self.bytes.len() + data.len();
            if length > self.most {
                return Err(BodyRefusal::TooLarge);
            }
            if length > self.held.bytes() {
                self.make_room(now, GROWTH.max(data.len()))?;
            }
            self.bytes.extend_from_slice(&data);
            self.pace.record(now, data.len());
            if let Some(place) = &self.place {
                place.watch.received.store(length, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    /// Returns the next frame, `None` at the end of the body.
    async fn next_frame(
        &self,
        node: &EntryNode,
        body: &mut Incoming,
    ) -> Result<Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>, BodyRefusal> {
        if body.is_end_stream() {
            return Ok(None);
        }
        // Most bodies came with their heads, and need no timer.
        if let Some(frame) = body.frame().now_or_never() {
            return Ok(frame);
        }
        if !self.desk.is_bounded() {
            return Ok(body.frame().await);
        }
        let left = self.pace.due().since(node.now());
        let refused = async {
            match &self.place {
                Some(place) => place.watch.refused.notified().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            frame = clock::timeout(left, body.frame()) => if let Ok(frame) = frame { return Ok(frame) },
            () = refused => return Err(BodyRefusal::NoRoom),
        }
        clock::timeout(ARRIVAL_TIME, body.frame()).await.map_err(|_| BodyRefusal::TooSlow)
    }

    fn tell(&self, now: Timestamp, id: &Name, stated: Option<usize>, refusal: &BodyRefusal) {
        let (received, held) = (self.bytes.len(), self.held.bytes());
        match refusal {
            BodyRefusal::NoRoom if received == 0 => {
                let bytes = stated.unwrap_or(GROWTH);
                let (held, bound) = (self.desk.ledger.total(), self.desk.ledger.limits().total);
                self.desk.note(
                    now,
                    HeldDecision::BodyRefused,
                    &[("request", id), ("bytes", &bytes), ("held", &held), ("bound", &bound)],
                );
            }
            BodyRefusal::NoRoom | BodyRefusal::TooSlow => {
                let why = if matches!(refusal, BodyRefusal::TooSlow) { "too slow" } else { "no room" };
                self.desk.note(
                    now,
                    HeldDecision::SenderCut,
                    &[("request", id), ("why", &why), ("received", &received), ("held", &held)],
                );
            }
            BodyRefusal::TooLarge | BodyRefusal::Broken(_) => {}
        }
    }
}
