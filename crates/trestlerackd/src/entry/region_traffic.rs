//! Counts requests and the bytes of their connections. Those to other regions are charged for.

use super::response_meter::ResponseMeter;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Names of the metrics of a [`TrafficCounter`].
pub struct TrafficMetrics {
    pub requests: &'static str,
    pub sent_bytes: &'static str,
    pub received_bytes: &'static str,
}

/// Requests and bytes between this node and a group of servers or peers since the start.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    requests: AtomicU64,
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
}

impl TrafficCounter {
    /// Counts a request that is sent.
    pub fn record_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds the counters to a metrics page, with labels, which may be empty.
    pub fn write_metrics(&self, names: &TrafficMetrics, labels: &str, page: &mut String) {
        let counters = [
            (names.requests, &self.requests),
            (names.sent_bytes, &self.sent_bytes),
            (names.received_bytes, &self.received_bytes),
        ];
        for (name, counter) in counters {
            page.push_str(&format!("{name}{labels} {}\n", counter.load(Ordering::Relaxed)));
        }
    }
}

/// A TCP stream whose bytes are counted if it has a counter, and whose response heads are bounded.
pub struct CountedStream {
    stream: TcpStream,
    meter: Arc<ResponseMeter>,
    traffic: Option<Arc<TrafficCounter>>,
}

impl CountedStream {
    /// Wraps a stream. Without a counter nothing is counted.
    pub fn new(stream: TcpStream, traffic: Option<Arc<TrafficCounter>>) -> Self {
        Self { stream, meter: ResponseMeter::new(), traffic }
    }

    /// Sets the meter that bounds the heads of responses.
    pub fn with_meter(self, meter: Arc<ResponseMeter>) -> Self {
        Self { meter, ..self }
    }

    fn record_sent(&self, written: &Poll<io::Result<usize>>) {
        if let (Some(traffic), Poll::Ready(Ok(count))) = (&self.traffic, written) {
            traffic.sent_bytes.fetch_add(*count as u64, Ordering::Relaxed);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received = buffer.filled().len() - before;
        if let Some(traffic) = &self.traffic {
            traffic.received_bytes.fetch_add(received as u64, Ordering::Relaxed);
        }
        self.meter.record_received(received)?;
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_sent(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
