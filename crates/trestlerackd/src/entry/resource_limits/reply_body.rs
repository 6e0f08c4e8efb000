//! The body of a reply on its way to a client, counted until the connection takes it.

use super::ClientLink;
use crate::entry::front::{BrokenReply, ReplyBody};
use crate::entry::node::EntryNode;
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use trestlerack::process::{MemoryPurpose, MemoryReservation};

/// Most bytes that the connection is handed at once. It asks for more when it has written most of them,
/// so that what it buffers itself stays small.
const PIECE: usize = 16 * 1024;

/// Bytes of an answer that are counted already; travels with the reply.
#[derive(Clone)]
pub struct AnswerBytes(Arc<Mutex<Option<MemoryReservation>>>);

impl AnswerBytes {
    /// Wraps the bytes of an answer.
    pub fn new(held: MemoryReservation) -> Self {
        Self(Arc::new(Mutex::new(Some(held))))
    }

    fn take(&self) -> Option<MemoryReservation> {
        self.0.lock().unwrap().take()
    }
}

/// The body of a reply, in pieces, with the count of what is held for it.
pub struct LinkedBody {
    inner: ReplyBody,
    rest: Bytes,
    held: Option<MemoryReservation>,
    node: Arc<EntryNode>,
    link: Arc<ClientLink>,
}

impl LinkedBody {
    /// Wraps the body of a reply; the connection is busy until it is dropped.
    pub fn wrap(node: &Arc<EntryNode>, link: &Arc<ClientLink>, mut reply: Response<ReplyBody>) -> Response<ReplyBody> {
        let counted = reply.extensions_mut().remove::<AnswerBytes>().and_then(|bytes| bytes.take());
        reply.map(|inner| {
            let length = inner.size_hint().exact().and_then(|length| usize::try_from(length).ok());
            let held = counted.or_else(|| Some(node.held.ledger.reserve(MemoryPurpose::Responses, length?)));
            link.set_reply_bytes(held.as_ref().map_or(0, MemoryReservation::bytes));
            Self { inner, rest: Bytes::new(), held, node: node.clone(), link: link.clone() }.boxed_unsync()
        })
    }

    fn next_piece(&mut self) -> Frame<Bytes> {
        let length = self.rest.len().min(PIECE);
        let piece = self.rest.split_to(length);
        if self.rest.is_empty() && self.inner.is_end_stream() {
            self.let_go();
        }
        Frame::data(piece)
    }

    fn let_go(&mut self) {
        self.held = None;
        self.link.set_reply_bytes(0);
    }
}

impl Body for LinkedBody {
    type Data = Bytes;
    type Error = BrokenReply;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenReply>>> {
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

impl Drop for LinkedBody {
    fn drop(&mut self) {
        self.let_go();
        self.link.set_idle(self.node.now());
    }
}
