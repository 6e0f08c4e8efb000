//! Connections of clients: which ones are idle, and which ones have a stalled download.

use super::{LimitDecision, ResourceLimiter};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use trestlerack::Timestamp;
use trestlerack::process::{
    CONNECTION_BYTES, ConnectionKind, ConnectionPermit, DownloadStatus, IdleClient, MemoryPurpose, MemoryReservation,
    REQUEST_BYTES, download_to_close, longest_idle,
};

/// Connections beyond the limit whose first request is answered with a refusal; any further ones are closed
/// without a reply.
const MAX_REFUSED_CONNECTIONS: usize = 32;

/// Value of a time in milliseconds that is not set.
const NEVER: u64 = u64::MAX;

/// State of a connection of a client.
pub struct ClientConnection {
    id: u64,
    /// When the connection became idle, in milliseconds; [`NEVER`] while a request is served.
    idle_since: AtomicU64,
    is_used: AtomicBool,
    /// Since when the client has read nothing of the reply, in milliseconds; [`NEVER`] while it reads.
    stalled_since: AtomicU64,
    /// Bytes of the reply that are in memory.
    reply_bytes: AtomicUsize,
    /// Memory of the connection and its request.
    reservation: Mutex<MemoryReservation>,
    /// Notified to close the connection once no request is served on it.
    pub close_when_done: Notify,
    /// Notified to close the connection at once.
    pub close_now: Notify,
}

impl ClientConnection {
    /// Records that a request is being served.
    pub fn set_busy(&self) {
        self.is_used.store(true, Ordering::Relaxed);
        self.idle_since.store(NEVER, Ordering::Relaxed);
        self.reservation.lock().unwrap().resize(CONNECTION_BYTES + REQUEST_BYTES);
    }

    /// Records that no request is being served.
    pub fn set_idle(&self, now: Timestamp) {
        self.idle_since.store(now.0, Ordering::Relaxed);
        self.reservation.lock().unwrap().resize(CONNECTION_BYTES);
    }

    /// Records since when the client has read nothing; `None` while it reads.
    pub fn set_stalled(&self, since: Option<Timestamp>) {
        self.stalled_since.store(since.map_or(NEVER, |since| since.0), Ordering::Relaxed);
    }

    /// Records how many bytes of the reply are in memory.
    pub fn set_reply_bytes(&self, bytes: usize) {
        self.reply_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns how many bytes of the reply are in memory.
    pub fn reply_bytes(&self) -> usize {
        self.reply_bytes.load(Ordering::Relaxed)
    }

    fn idle_client(&self, now: Timestamp) -> Option<IdleClient> {
        let since = self.idle_since.load(Ordering::Relaxed);
        let (idle, is_used) = (now.since(Timestamp(since)), self.is_used.load(Ordering::Relaxed));
        (since != NEVER).then_some(IdleClient { id: self.id, idle, is_used })
    }

    fn download_status(&self, now: Timestamp) -> Option<DownloadStatus> {
        let since = self.stalled_since.load(Ordering::Relaxed);
        let pause = now.since(Timestamp(since));
        (since != NEVER).then(|| DownloadStatus { id: self.id, reserved: self.reply_bytes(), pause })
    }
}

/// The open connections of clients.
#[derive(Default)]
pub struct ConnectionTable {
    connections: Mutex<HashMap<u64, Arc<ClientConnection>>>,
    next_id: AtomicU64,
}

/// An open connection with its permit. Dropping it releases the permit and removes the connection from the
/// table.
pub struct ConnectionGuard {
    limiter: Arc<ResourceLimiter>,
    /// State of the connection.
    pub connection: Arc<ClientConnection>,
    _permit: ConnectionPermit,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.limiter.clients.connections.lock().unwrap().remove(&self.connection.id);
    }
}

/// Decision on a new connection of a client.
pub enum ConnectionAdmission {
    /// Its requests are served.
    Serve(ConnectionGuard),
    /// Its first request is refused.
    Refuse(ConnectionGuard),
    /// It is closed.
    Close,
}

impl ResourceLimiter {
    /// Decides on a new connection of a client. If all permits are in use, the connection that has been idle
    /// for longest is closed in its favour.
    pub fn admit(self: &Arc<Self>, now: Timestamp) -> ConnectionAdmission {
        if let Some(permit) = self.connections.try_acquire(ConnectionKind::Clients) {
            return ConnectionAdmission::Serve(self.register(now, permit));
        }
        let open = self.connections.open(ConnectionKind::Clients);
        let is_closed = self.close_idle(now);
        let why = if is_closed { "closing an idle connection in its favour" } else { "no connection is idle" };
        let kind = ConnectionKind::Clients.as_str();
        self.record(now, LimitDecision::ConnectionsFull, &[("kind", &kind), ("why", &why), ("open", &open)]);
        // The closed connection releases its permit as soon as its task runs.
        let max_beyond = if is_closed { usize::MAX } else { MAX_REFUSED_CONNECTIONS };
        let Some(permit) = self.connections.try_acquire_beyond(ConnectionKind::Clients, max_beyond) else {
            return ConnectionAdmission::Close;
        };
        let guard = self.register(now, permit);
        if is_closed { ConnectionAdmission::Serve(guard) } else { ConnectionAdmission::Refuse(guard) }
    }

    fn register(self: &Arc<Self>, now: Timestamp, permit: ConnectionPermit) -> ConnectionGuard {
        let connection = Arc::new(ClientConnection {
            id: self.clients.next_id.fetch_add(1, Ordering::Relaxed),
            idle_since: AtomicU64::new(now.0),
            is_used: AtomicBool::new(false),
            stalled_since: AtomicU64::new(NEVER),
            reply_bytes: AtomicUsize::new(0),
            reservation: Mutex::new(self.memory.reserve(MemoryPurpose::Connections, CONNECTION_BYTES)),
            close_when_done: Notify::new(),
            close_now: Notify::new(),
        });
        self.clients.connections.lock().unwrap().insert(connection.id, connection.clone());
        ConnectionGuard { limiter: self.clone(), connection, _permit: permit }
    }

    fn close_idle(&self, now: Timestamp) -> bool {
        let connections = self.clients.connections.lock().unwrap();
        let chosen = longest_idle(connections.values().filter_map(|connection| connection.idle_client(now)));
        let Some(connection) = chosen.and_then(|id| connections.get(&id)) else { return false };
        // Marked as busy, so that it is not chosen again before it has closed.
        connection.idle_since.store(NEVER, Ordering::Relaxed);
        let is_used = connection.is_used.load(Ordering::Relaxed);
        let close = if is_used { &connection.close_when_done } else { &connection.close_now };
        close.notify_one();
        true
    }

    /// Closes one connection whose download is stalled, as [`download_to_close`] chooses.
    pub fn close_stalled_download(&self, now: Timestamp) {
        if self.close_limiter.try_pass(now).is_none() {
            return;
        }
        let connections = self.clients.connections.lock().unwrap();
        let downloads: Vec<DownloadStatus> =
            connections.values().filter_map(|connection| connection.download_status(now)).collect();
        let Some(connection) = download_to_close(&downloads).and_then(|id| connections.get(&id)) else { return };
        let pause_ms = now.since(Timestamp(connection.stalled_since.load(Ordering::Relaxed))).as_millis();
        connection.set_stalled(None);
        connection.close_now.notify_one();
        let (connection, why) = (connection.clone(), "no memory left");
        drop(connections);
        let reply_bytes = connection.reply_bytes();
        self.record(
            now,
            LimitDecision::DownloadClosed,
            &[("why", &why), ("held", &reply_bytes), ("pause_ms", &pause_ms)],
        );
    }
}
