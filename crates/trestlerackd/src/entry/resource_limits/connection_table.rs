//! Connections of clients: which are idle, and whose reply waits for its reader.

use super::{HeldDecision, HeldDesk};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use trestlerack::Timestamp;
use trestlerack::process::{
    CONNECTION_BYTES, ConnectionKind, ConnectionPermit, DownloadStatus, IdleClient, MemoryPurpose, MemoryReservation,
    REQUEST_BYTES, download_to_close, longest_idle,
};

/// Connections beyond the bound that are told to come again; any more are closed.
const TOLD_CONNECTIONS: usize = 32;

/// Stands for no time.
const NEVER: u64 = u64::MAX;

/// A connection of a client.
pub struct ClientLink {
    id: u64,
    /// When it became idle, in milliseconds; [`NEVER`] while a request is served.
    idle_since: AtomicU64,
    is_used: AtomicBool,
    /// Since when its client takes nothing of what is written; [`NEVER`] while it does.
    waits_since: AtomicU64,
    /// Bytes of its reply that are held.
    reply_bytes: AtomicUsize,
    /// Count of what the connection and its request cost.
    held: Mutex<MemoryReservation>,
    /// Ends the connection once nothing is served on it.
    pub leave: Notify,
    /// Ends the connection at once.
    pub cut: Notify,
}

impl ClientLink {
    /// Notes that a request is served.
    pub fn set_busy(&self) {
        self.is_used.store(true, Ordering::Relaxed);
        self.idle_since.store(NEVER, Ordering::Relaxed);
        self.held.lock().unwrap().resize(CONNECTION_BYTES + REQUEST_BYTES);
    }

    /// Notes that nothing is served.
    pub fn set_idle(&self, now: Timestamp) {
        self.idle_since.store(now.0, Ordering::Relaxed);
        self.held.lock().unwrap().resize(CONNECTION_BYTES);
    }

    /// Notes since when the client takes nothing; `None` while it does.
    pub fn set_waiting(&self, since: Option<Timestamp>) {
        self.waits_since.store(since.map_or(NEVER, |since| since.0), Ordering::Relaxed);
    }

    /// Notes how many bytes of the reply are held.
    pub fn set_reply_bytes(&self, bytes: usize) {
        self.reply_bytes.store(bytes, Ordering::Relaxed);
    }

    /// Returns how many bytes of the reply are held.
    pub fn reply_bytes(&self) -> usize {
        self.reply_bytes.load(Ordering::Relaxed)
    }

    fn as_idle(&self, now: Timestamp) -> Option<IdleClient> {
        let since = self.idle_since.load(Ordering::Relaxed);
        let (idle, is_used) = (now.since(Timestamp(since)), self.is_used.load(Ordering::Relaxed));
        (since != NEVER).then_some(IdleClient { id: self.id, idle, is_used })
    }

    fn as_reader(&self, now: Timestamp) -> Option<DownloadStatus> {
        let since = self.waits_since.load(Ordering::Relaxed);
        let pause = now.since(Timestamp(since));
        (since != NEVER).then(|| DownloadStatus { id: self.id, reserved: self.reply_bytes(), pause })
    }
}

/// The connections of clients.
#[derive(Default)]
pub struct LinkTable {
    links: Mutex<HashMap<u64, Arc<ClientLink>>>,
    next: AtomicU64,
}

/// An open connection: its seat and what it costs, given back when this is dropped.
pub struct LinkSeat {
    desk: Arc<HeldDesk>,
    /// The connection.
    pub link: Arc<ClientLink>,
    _seat: ConnectionPermit,
}

impl Drop for LinkSeat {
    fn drop(&mut self) {
        self.desk.links.links.lock().unwrap().remove(&self.link.id);
    }
}

/// What becomes of a new connection.
pub enum Admission {
    /// It is served.
    Serve(LinkSeat),
    /// Its first request is refused.
    Refuse(LinkSeat),
    /// It is closed.
    Close,
}

impl HeldDesk {
    /// Decides on a new connection of a client. Where there is no seat, the one that has been idle for
    /// longest is closed for it.
    pub fn admit(self: &Arc<Self>, now: Timestamp) -> Admission {
        if let Some(seat) = self.descriptors.try_acquire(ConnectionKind::Clients) {
            return Admission::Serve(self.enter(now, seat));
        }
        let open = self.descriptors.open(ConnectionKind::Clients);
        let is_closed = self.close_idle(now);
        let why = if is_closed { "an idle one is closed for it" } else { "none is idle" };
        let kind = ConnectionKind::Clients.as_str();
        self.note(now, HeldDecision::ConnectionsFull, &[("kind", &kind), ("why", &why), ("open", &open)]);
        // The one that was closed frees its seat as soon as its task runs.
        let more = if is_closed { usize::MAX } else { TOLD_CONNECTIONS };
        let Some(seat) = self.descriptors.try_acquire_beyond(ConnectionKind::Clients, more) else {
            return Admission::Close;
        };
        let seat = self.enter(now, seat);
        if is_closed { Admission::Serve(seat) } else { Admission::Refuse(seat) }
    }

    fn enter(self: &Arc<Self>, now: Timestamp, seat: ConnectionPermit) -> LinkSeat {
        let link = Arc::new(ClientLink {
            id: self.links.next.fetch_add(1, Ordering::Relaxed),
            idle_since: AtomicU64::new(now.0),
            is_used: AtomicBool::new(false),
            waits_since: AtomicU64::new(NEVER),
            reply_bytes: AtomicUsize::new(0),
            held: Mutex::new(self.ledger.reserve(MemoryPurpose::Connections, CONNECTION_BYTES)),
            leave: Notify::new(),
            cut: Notify::new(),
        });
        self.links.links.lock().unwrap().insert(link.id, link.clone());
        LinkSeat { desk: self.clone(), link, _seat: seat }
    }

    fn close_idle(&self, now: Timestamp) -> bool {
        let links = self.links.links.lock().unwrap();
        let chosen = longest_idle(links.values().filter_map(|link| link.as_idle(now)));
        let Some(link) = chosen.and_then(|id| links.get(&id)) else { return false };
        // It is not chosen again until it has ended.
        link.idle_since.store(NEVER, Ordering::Relaxed);
        let is_used = link.is_used.load(Ordering::Relaxed);
        let end = if is_used { &link.leave } else { &link.cut };
        end.notify_one();
        true
    }

    /// Cuts the slowest reader that holds most, of those that take nothing.
    pub fn cut_reader(&self, now: Timestamp) {
        if self.relief.pass(now).is_none() {
            return;
        }
        let links = self.links.links.lock().unwrap();
        let readers: Vec<DownloadStatus> = links.values().filter_map(|link| link.as_reader(now)).collect();
        let Some(link) = download_to_close(&readers).and_then(|id| links.get(&id)) else { return };
        let pause_ms = now.since(Timestamp(link.waits_since.load(Ordering::Relaxed))).as_millis();
        link.set_waiting(None);
        link.cut.notify_one();
        let (link, why) = (link.clone(), "no room");
        drop(links);
        let held = link.reply_bytes();
        self.note(now, HeldDecision::ReaderCut, &[("why", &why), ("held", &held), ("pause_ms", &pause_ms)]);
    }
}
