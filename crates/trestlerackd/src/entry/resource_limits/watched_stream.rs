//! A client's connection that is closed when its client takes too little of what is written.

use super::{ClientLink, HeldDecision};
use crate::entry::node::EntryNode;
use crate::process::clock;
use std::future::Future;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use trestlerack::process::DownloadProgress;

/// A connection and how its client reads. A timer runs only while a write waits.
pub struct WatchedStream {
    stream: TcpStream,
    node: Arc<EntryNode>,
    link: Arc<ClientLink>,
    pace: Option<DownloadProgress>,
    timer: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl WatchedStream {
    /// Watches a connection.
    pub fn new(node: Arc<EntryNode>, link: Arc<ClientLink>, stream: TcpStream) -> Self {
        Self { stream, node, link, pace: None, timer: None }
    }

    /// Looks at the outcome of a write.
    fn look(&mut self, context: &mut Context<'_>, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        match written {
            Poll::Ready(Ok(bytes)) => {
                self.wrote(bytes);
                written
            }
            Poll::Pending if self.node.held.is_bounded() => self.wait(context),
            _ => written,
        }
    }

    fn wrote(&mut self, bytes: usize) {
        let Some(pace) = &mut self.pace else { return };
        pace.record(self.node.now(), bytes);
        self.timer = None;
        self.link.set_waiting(None);
    }

    fn wait(&mut self, context: &mut Context<'_>) -> Poll<Result<usize>> {
        let now = self.node.now();
        let pace = *self.pace.get_or_insert_with(|| DownloadProgress::start(now));
        if self.timer.is_none() {
            self.link.set_waiting(Some(now));
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(clock::sleep(pace.left(now))));
        if timer.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        let (why, held, pause_ms) = ("too slow", self.link.reply_bytes(), pace.pause(now).as_millis());
        let fields: [(&str, &dyn std::fmt::Display); 3] = [("why", &why), ("held", &held), ("pause_ms", &pause_ms)];
        self.node.held.note(now, HeldDecision::ReaderCut, &fields);
        Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "the client reads too slowly")))
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(mut self: Pin<&mut Self>, context: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.look(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.look(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        // Everything is written, so the client has caught up.
        self.pace = None;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
