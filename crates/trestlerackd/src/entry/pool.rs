//! Connections to backend servers, the store and peers.
//!
//! A connection is used by one exchange at a time. It returns to the pool only after a complete response to the
//! request of that exchange. In any other case it is closed at once, which also cancels the work of a backend
//! server.

use super::region_traffic::{CountedStream, TrafficCounter};
use super::response_meter::{ResponseMeter, StrayBytesObserver, is_stray_message};
use crate::process::clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use trestlerack::Name;
use trestlerack::process::{ConnectionCounter, ConnectionKind, ConnectionPermit};

/// Time limit for opening a connection. Connecting takes a few milliseconds. A lost SYN packet is sent again only
/// after a second, and another server is tried before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which unacknowledged bytes break a connection, to detect unreachable peers.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle timeout of a connection whose server sends none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time limit for checking whether an address still accepts connections. If its process has ended, the address
/// refuses within one round trip of a few milliseconds. The request for which this is checked waits meanwhile.
const LISTEN_TIMEOUT: Duration = Duration::from_millis(100);

/// Fraction of the idle timeout after which a connection is no longer used, so that its server does not
/// close it while a request is being sent.
const IDLE_FRACTION: f64 = 0.75;

/// Most idle connections that are kept for one address.
const MAX_IDLE_PER_ADDRESS: usize = 24;

/// Read buffer of a connection, in bytes. Responses of engines consist of small events.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Why an exchange has no response.
#[derive(Debug)]
pub enum ExchangeError {
    /// No byte of the request was sent.
    NotSent(String),
    /// The request was sent and no response arrived.
    NoResponse(String),
    /// The caller's condition for sending the request did not hold when it was about to be written.
    NotPermitted,
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(detail) => write!(formatter, "not sent: {detail}"),
            Self::NoResponse(detail) => write!(formatter, "no response: {detail}"),
            Self::NotPermitted => write!(formatter, "not sent: not permitted now"),
        }
    }
}

/// Whether an address accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenState {
    /// A process accepts them.
    Listening,
    /// They are refused, which is the case after the process has ended.
    Refusing,
    /// The check did not complete in time or failed for another reason.
    Unknown,
}

impl ListenState {
    /// Returns the value in log events.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Listening => "yes",
            Self::Refusing => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// Why a connection could not be opened.
enum OpenError {
    /// The address refuses connections.
    Refused(String),
    /// Any other error.
    Failed(String),
}

impl From<OpenError> for ExchangeError {
    fn from(error: OpenError) -> Self {
        match error {
            OpenError::Refused(detail) | OpenError::Failed(detail) => Self::NotSent(detail),
        }
    }
}

struct IdleConnection {
    connection: OpenConnection,
    /// Time since boot after which it is no longer used.
    usable_until: Duration,
}

struct OpenConnection {
    _permit: ConnectionPermit,
    sender: SendRequest<Full<Bytes>>,
    meter: Arc<ResponseMeter>,
    task: JoinHandle<()>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Idle connections by address.
pub struct ConnectionPool {
    idle: Mutex<HashMap<Name, Vec<IdleConnection>>>,
    opened_count: AtomicU64,
    counter: ConnectionCounter,
    /// Address of the store, whose connections have a limit of their own.
    store: Name,
    observer: OnceLock<Arc<dyn StrayBytesObserver>>,
}

/// A connection that one exchange uses; dropping it closes it.
pub struct ConnectionLease {
    connection: OpenConnection,
    address: Name,
}

impl ConnectionPool {
    /// Builds a pool without connections.
    pub fn new(counter: ConnectionCounter, store: Name) -> Self {
        Self { idle: Mutex::default(), opened_count: AtomicU64::new(0), counter, store, observer: OnceLock::new() }
    }

    /// Sets who learns of bytes that belong to no response. Only the first call has an effect.
    pub fn observe(&self, observer: Arc<dyn StrayBytesObserver>) {
        // A second observer is ignored, as documented.
        let _ = self.observer.set(observer);
    }

    /// Acquires the permit for a connection to an address. If none is left, closes an idle connection of the
    /// same kind, at the address that has the most of them, and tries again.
    fn acquire_permit(&self, address: &Name) -> Option<ConnectionPermit> {
        let kind = if *address == self.store { ConnectionKind::Store } else { ConnectionKind::Servers };
        if let Some(permit) = self.counter.try_acquire(kind) {
            return Some(permit);
        }
        let mut idle = self.idle.lock().unwrap();
        let is_of_kind =
            |(other, _): &(&Name, &mut Vec<IdleConnection>)| (**other == self.store) == (*address == self.store);
        let most = idle.iter_mut().filter(is_of_kind).max_by_key(|(_, connections)| connections.len());
        drop(most.map(|(_, connections)| connections.pop()));
        drop(idle);
        self.counter.try_acquire(kind)
    }

    /// Returns how many connections were opened since the start.
    pub fn opened_count(&self) -> u64 {
        self.opened_count.load(Ordering::Relaxed)
    }

    /// Closes idle connections whose idle timeout has passed.
    pub fn expire(&self) {
        let now = clock::since_boot();
        let mut idle = self.idle.lock().unwrap();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.usable_until > now && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Sends a request and returns the head of the response with the connection from which the body is read.
    ///
    /// A pooled connection that was closed before the request was written is replaced. With `wants_fresh`, a new
    /// connection is opened, for requests that must not be sent twice.
    pub async fn send(
        &self,
        address: &Name,
        request: Request<Bytes>,
        wants_fresh: bool,
    ) -> Result<(Response<Incoming>, ConnectionLease), ExchangeError> {
        self.send_permitted(address, request, wants_fresh, None, || true).await
    }

    /// Like [`Self::send`], but asks for permission immediately before the request is written, since opening a
    /// connection may take long. If a connection is opened, its bytes are counted by `traffic` as long as it is used.
    pub async fn send_permitted(
        &self,
        address: &Name,
        request: Request<Bytes>,
        wants_fresh: bool,
        traffic: Option<&Arc<TrafficCounter>>,
        may_send: impl Fn() -> bool,
    ) -> Result<(Response<Incoming>, ConnectionLease), ExchangeError> {
        let mut request = request.map(Full::new);
        if !wants_fresh {
            while let Some(mut lease) = self.take_idle(address) {
                if !may_send() {
                    return Err(ExchangeError::NotPermitted);
                }
                lease.connection.meter.await_head();
                match lease.connection.sender.try_send_request(request).await {
                    Ok(response) => {
                        lease.connection.meter.record_head();
                        return Ok((response, lease));
                    }
                    Err(mut error) => match error.take_message() {
                        Some(unsent) => request = unsent,
                        None => return Err(ExchangeError::NoResponse(error.error().to_string())),
                    },
                }
            }
        }
        let mut lease = self.open(address, traffic).await?;
        if !may_send() {
            return Err(ExchangeError::NotPermitted);
        }
        lease.connection.meter.await_head();
        match lease.connection.sender.send_request(request).await {
            Ok(response) => {
                lease.connection.meter.record_head();
                Ok((response, lease))
            }
            Err(error) => Err(ExchangeError::NoResponse(error.to_string())),
        }
    }

    fn take_idle(&self, address: &Name) -> Option<ConnectionLease> {
        let now = clock::since_boot();
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.get_mut(address)?;
        while let Some(candidate) = connections.pop() {
            let is_usable = candidate.usable_until > now && candidate.connection.sender.is_ready();
            if is_usable {
                return Some(ConnectionLease { connection: candidate.connection, address: address.clone() });
            }
        }
        None
    }

    /// Checks whether an address accepts connections. The connection that it opens is kept for a later exchange.
    pub async fn listen_state(self: &Arc<Self>, address: &Name, traffic: Option<&Arc<TrafficCounter>>) -> ListenState {
        match clock::timeout(LISTEN_TIMEOUT, self.open(address, traffic)).await {
            Ok(Ok(lease)) => {
                self.keep(lease, None);
                ListenState::Listening
            }
            Ok(Err(OpenError::Refused(_))) => ListenState::Refusing,
            Ok(Err(OpenError::Failed(_))) | Err(_) => ListenState::Unknown,
        }
    }

    async fn open(&self, address: &Name, traffic: Option<&Arc<TrafficCounter>>) -> Result<ConnectionLease, OpenError> {
        let Some(permit) = self.acquire_permit(address) else {
            return Err(OpenError::Failed(format!("no file descriptor is left for a connection to {address}")));
        };
        let stream = match clock::timeout(CONNECT_TIMEOUT, TcpStream::connect(&**address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(OpenError::Refused(format!("cannot connect to {address}: {error}")));
            }
            Ok(Err(error)) => return Err(OpenError::Failed(format!("cannot connect to {address}: {error}"))),
            Err(_) => return Err(OpenError::Failed(format!("timed out connecting to {address}"))),
        };
        self.opened_count.fetch_add(1, Ordering::Relaxed);
        set_socket_options(&stream);
        let meter = ResponseMeter::new();
        let stream = TokioIo::new(CountedStream::new(stream, traffic.cloned()).with_meter(meter.clone()));
        let handshake = http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(stream).await;
        let (sender, connection) = handshake.map_err(|error| OpenError::Failed(error.to_string()))?;
        let observer = self.observer.get().cloned();
        let server = address.clone();
        let task = tokio::spawn(async move {
            // The exchange that uses the connection gets the error too and reports it.
            let Err(error) = connection.await else { return };
            if let Some(observer) = observer.filter(|_| is_stray_message(&error)) {
                observer.record_stray_bytes(&server);
            }
        });
        let connection = OpenConnection { _permit: permit, sender, meter, task };
        Ok(ConnectionLease { connection, address: address.clone() })
    }

    /// Returns a connection to the pool after a complete response.
    pub fn keep(self: &Arc<Self>, lease: ConnectionLease, idle_limit: Option<Duration>) {
        let usable = idle_limit.unwrap_or(DEFAULT_IDLE_TIMEOUT).mul_f64(IDLE_FRACTION);
        let ConnectionLease { connection, address } = lease;
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(IdleConnection { connection, usable_until: clock::since_boot() + usable });
        }
    }
}

/// Sets the options of a socket. Errors are ignored, since a socket without them works with more delay.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}
