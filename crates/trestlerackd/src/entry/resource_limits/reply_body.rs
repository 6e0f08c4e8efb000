//! The body of a reply to a client, whose memory stays reserved until the connection has taken it.

use super::ClientConnection;
use crate::entry::client_requests::{ReplyBody, ReplyError};
use crate::entry::node::EntryNode;
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use trestlerack::process::{MemoryPurpose, MemoryReservation};

/// Maximum number of bytes passed to the connection at once. It asks for more when it has written most of
/// them, so that its own buffer stays small.
const MAX_PIECE_BYTES: usize = 16 * 1024;

/// Memory already reserved for a server's response, passed on as an extension of the reply.
#[derive(Clone)]
pub struct ResponseReservation(Arc<Mutex<Option<MemoryReservation>>>);

impl ResponseReservation {
    /// Wraps the reservation of a response.
    pub fn new(reservation: MemoryReservation) -> Self {
        Self(Arc::new(Mutex::new(Some(reservation))))
    }

    fn take(&self) -> Option<MemoryReservation> {
        self.0.lock().unwrap().take()
    }
}

/// The body of a reply, split into pieces, with the memory reserved for it.
pub struct TrackedBody {
    inner: ReplyBody,
    rest: Bytes,
    reservation: Option<MemoryReservation>,
    node: Arc<EntryNode>,
    connection: Arc<ClientConnection>,
}

impl TrackedBody {
    /// Wraps the body of a reply. The connection counts as busy until the wrapper is dropped.
    pub fn wrap(
        node: &Arc<EntryNode>,
        connection: &Arc<ClientConnection>,
        mut reply: Response<ReplyBody>,
    ) -> Response<ReplyBody> {
        let existing = reply.extensions_mut().remove::<ResponseReservation>().and_then(|existing| existing.take());
        reply.map(|inner| {
            let length = inner.size_hint().exact().and_then(|length| usize::try_from(length).ok());
            let reservation =
                existing.or_else(|| Some(node.resource_limits.memory.reserve(MemoryPurpose::Responses, length?)));
            connection.set_reply_bytes(reservation.as_ref().map_or(0, MemoryReservation::bytes));
            Self { inner, rest: Bytes::new(), reservation, node: node.clone(), connection: connection.clone() }
                .boxed_unsync()
        })
    }

    fn next_piece(&mut self) -> Frame<Bytes> {
        let length = self.rest.len().min(MAX_PIECE_BYTES);
        let piece = self.rest.split_to(length);
        if self.rest.is_empty() && self.inner.is_end_stream() {
            self.release();
        }
        Frame::data(piece)
    }

    fn release(&mut self) {
        self.reservation = None;
        self.connection.set_reply_bytes(0);
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = ReplyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ReplyError>>> {
        if !self.rest.is_empty() {
            return Poll::Ready(Some(Ok(self.next_piece())));
        }
        match std::task::ready!(Pin::new(&mut self.inner).poll_frame(context)) {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(data) => {
                    self.rest = data;
                    Poll::Ready(Some(Ok(self.next_piece())))
                }
                Err(frame) => Poll::Ready(Some(Ok(frame))),
            },
            ended => Poll::Ready(ended),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (inner, rest) = (self.inner.size_hint(), self.rest.len() as u64);
        let mut hint = SizeHint::new();
        hint.set_lower(inner.lower() + rest);
        if let Some(upper) = inner.upper() {
            hint.set_upper(upper + rest);
        }
        hint
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.release();
        self.connection.set_idle(self.node.now());
    }
}
