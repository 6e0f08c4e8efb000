//! Stream of a client's connection that fails when the client reads too slowly.

use super::{ClientConnection, LimitDecision};
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

/// Wraps the stream of a connection and tracks how fast the client reads. A timer runs only while a write
/// is pending.
pub struct WatchedStream {
    stream: TcpStream,
    node: Arc<EntryNode>,
    connection: Arc<ClientConnection>,
    progress: Option<DownloadProgress>,
    timer: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl WatchedStream {
    /// Wraps the stream of a connection.
    pub fn new(node: Arc<EntryNode>, connection: Arc<ClientConnection>, stream: TcpStream) -> Self {
        Self { stream, node, connection, progress: None, timer: None }
    }

    /// Records the result of a write. A pending write fails if the client reads too slowly.
    fn check_write(&mut self, context: &mut Context<'_>, written: Poll<Result<usize>>) -> Poll<Result<usize>> {
        match written {
            Poll::Ready(Ok(bytes)) => {
                self.record_write(bytes);
                written
            }
            Poll::Pending if self.node.resource_limits.is_bounded() => self.poll_stall(context),
            _ => written,
        }
    }

    fn record_write(&mut self, bytes: usize) {
        let Some(progress) = &mut self.progress else { return };
        progress.record(self.node.now(), bytes);
        self.timer = None;
        self.connection.set_stalled(None);
    }

    fn poll_stall(&mut self, context: &mut Context<'_>) -> Poll<Result<usize>> {
        let now = self.node.now();
        let progress = *self.progress.get_or_insert_with(|| DownloadProgress::start(now));
        if self.timer.is_none() {
            self.connection.set_stalled(Some(now));
        }
        let timer = self.timer.get_or_insert_with(|| Box::pin(clock::sleep(progress.left(now))));
        if timer.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        let (why, reply_bytes, pause_ms) = ("too slow", self.connection.reply_bytes(), progress.pause(now).as_millis());
        let fields: [(&str, &dyn std::fmt::Display); 3] =
            [("why", &why), ("held", &reply_bytes), ("pause_ms", &pause_ms)];
        self.node.resource_limits.record(now, LimitDecision::DownloadClosed, &fields);
        Poll::Ready(Err(Error::new(ErrorKind::TimedOut, "client reads the reply too slowly")))
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
        self.check_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.check_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        // Everything has been written, so the client has caught up.
        self.progress = None;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
