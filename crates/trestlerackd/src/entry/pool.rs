//! Connections to backend servers, the store and peers.
//!
//! One exchange at a time uses a connection. A connection goes back to the pool only after a whole
//! answer to the exchange's own request; in any other case it is closed at once, which is also
//! what cancels the work of a backend server.

use crate::process::clock;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use trestlerack::Name;
use trestlerack::process::{ConnectionCounter, ConnectionKind, ConnectionPermit};

/// Time to open a connection. Links take a few milliseconds; a lost first packet is repeated after
/// a second, and another server is tried before that.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which unacknowledged bytes break a connection, for peers that are dark.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time of a connection whose server states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);

/// Time to find out whether an address still takes connections. An address whose process has ended
/// refuses within one round trip, a few milliseconds; the request that asks waits meanwhile.
const LISTEN_TIMEOUT: Duration = Duration::from_millis(100);

/// Share of the idle time after which a connection is no longer used, so that its server does not
/// close it as a request is on the way.
const IDLE_SHARE: f64 = 0.75;

/// Idle connections kept for one address.
const MAX_IDLE: usize = 24;

/// Read buffer of a connection, in bytes; answers of engines are small events.
const READ_BUFFER: usize = 16 * 1024;

/// Why an exchange has no answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// No byte of the request left this node.
    NotSent(String),
    /// The request was sent and no answer came.
    NoAnswer(String),
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotSent(detail) => write!(formatter, "not sent: {detail}"),
            Self::NoAnswer(detail) => write!(formatter, "no answer: {detail}"),
        }
    }
}

/// Whether an address takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenState {
    /// A process takes them.
    Listening,
    /// They are refused, as they are once a process has ended.
    Refusing,
    /// No answer came in time.
    Unknown,
}

impl ListenState {
    /// Returns the word that logs use.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Listening => "yes",
            Self::Refusing => "no",
            Self::Unknown => "unknown",
        }
    }
}

/// Why no connection was opened.
enum OpenError {
    /// Nothing listens at the address.
    Refused(String),
    /// Anything else.
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
    /// Time since boot from which it is used no more.
    usable_until: Duration,
}

struct OpenConnection {
    _seat: ConnectionPermit,
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections by address.
pub struct ConnectionPool {
    idle: Mutex<HashMap<Name, Vec<IdleConnection>>>,
    opened: AtomicU64,
    descriptors: ConnectionCounter,
    /// Address of the store, whose connections have descriptors of their own.
    store: Name,
}

/// A connection that one exchange uses; dropping it closes it.
pub struct ConnectionLease {
    connection: OpenConnection,
    address: Name,
}

impl ConnectionPool {
    /// Builds a pool without connections.
    pub fn new(descriptors: ConnectionCounter, store: Name) -> Self {
        Self { idle: Mutex::default(), opened: AtomicU64::new(0), descriptors, store }
    }

    /// Takes the descriptor of a connection to an address. Where there is none, an idle connection to
    /// the address that has most of them is closed for it.
    fn take_seat(&self, address: &Name) -> Option<ConnectionPermit> {
        let kind = if *address == self.store { ConnectionKind::Store } else { ConnectionKind::Servers };
        if let Some(seat) = self.descriptors.try_acquire(kind) {
            return Some(seat);
        }
        let mut idle = self.idle.lock().unwrap();
        let is_of_kind =
            |(held, _): &(&Name, &mut Vec<IdleConnection>)| (**held == self.store) == (*address == self.store);
        let most = idle.iter_mut().filter(is_of_kind).max_by_key(|(_, connections)| connections.len());
        drop(most.map(|(_, connections)| connections.pop()));
        drop(idle);
        self.descriptors.try_acquire(kind)
    }

    /// Returns how many connections were opened.
    pub fn opened(&self) -> u64 {
        self.opened.load(Ordering::Relaxed)
    }

    /// Closes idle connections whose time is over.
    pub fn expire(&self) {
        let now = clock::since_boot();
        let mut idle = self.idle.lock().unwrap();
        for connections in idle.values_mut() {
            connections.retain(|held| held.usable_until > now && !held.connection.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Sends a request and returns the head of the answer with the connection that brings its body.
    ///
    /// A pooled connection that turns out closed before the request was written is replaced. With
    /// `wants_fresh`, a new connection is opened, for requests that must not be sent twice.
    pub async fn send(
        &self,
        address: &Name,
        request: Request<Bytes>,
        wants_fresh: bool,
    ) -> Result<(Response<Incoming>, ConnectionLease), ExchangeError> {
        let mut request = request.map(Full::new);
        if !wants_fresh {
            while let Some(mut lease) = self.take_idle(address) {
                match lease.connection.sender.try_send_request(request).await {
                    Ok(response) => return Ok((response, lease)),
                    Err(mut error) => match error.take_message() {
                        Some(unsent) => request = unsent,
                        None => return Err(ExchangeError::NoAnswer(error.error().to_string())),
                    },
                }
            }
        }
        let mut lease = self.open(address).await?;
        match lease.connection.sender.send_request(request).await {
            Ok(response) => Ok((response, lease)),
            Err(error) => Err(ExchangeError::NoAnswer(error.to_string())),
        }
    }

    fn take_idle(&self, address: &Name) -> Option<ConnectionLease> {
        let now = clock::since_boot();
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.get_mut(address)?;
        while let Some(held) = connections.pop() {
            let is_usable = held.usable_until > now && held.connection.sender.is_ready();
            if is_usable {
                return Some(ConnectionLease { connection: held.connection, address: address.clone() });
            }
        }
        None
    }

    /// Finds out whether an address takes connections. One that it opens is kept for a later exchange.
    pub async fn listen_state(self: &Arc<Self>, address: &Name) -> ListenState {
        match clock::timeout(LISTEN_TIMEOUT, self.open(address)).await {
            Ok(Ok(lease)) => {
                self.keep(lease, None);
                ListenState::Listening
            }
            Ok(Err(OpenError::Refused(_))) => ListenState::Refusing,
            Ok(Err(OpenError::Failed(_))) | Err(_) => ListenState::Unknown,
        }
    }

    async fn open(&self, address: &Name) -> Result<ConnectionLease, OpenError> {
        let Some(seat) = self.take_seat(address) else {
            return Err(OpenError::Failed(format!("no descriptor is left for a connection to {address}")));
        };
        let stream = match clock::timeout(CONNECT_TIMEOUT, TcpStream::connect(&**address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
                return Err(OpenError::Refused(format!("cannot connect to {address}: {error}")));
            }
            Ok(Err(error)) => return Err(OpenError::Failed(format!("cannot connect to {address}: {error}"))),
            Err(_) => return Err(OpenError::Failed(format!("connecting to {address} took too long"))),
        };
        self.opened.fetch_add(1, Ordering::Relaxed);
        prepare(&stream);
        let handshake = http1::Builder::new().max_buf_size(READ_BUFFER).handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| OpenError::Failed(error.to_string()))?;
        let task = tokio::spawn(async move {
            // The exchange that uses the connection sees the error too and reports it.
            let _ = connection.await;
        });
        Ok(ConnectionLease { connection: OpenConnection { _seat: seat, sender, task }, address: address.clone() })
    }

    /// Takes a connection back after a whole answer.
    pub fn keep(self: &Arc<Self>, lease: ConnectionLease, idle_limit: Option<Duration>) {
        let usable = idle_limit.unwrap_or(DEFAULT_IDLE).mul_f64(IDLE_SHARE);
        let ConnectionLease { connection, address } = lease;
        let mut idle = self.idle.lock().unwrap();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE {
            connections.push(IdleConnection { connection, usable_until: clock::since_boot() + usable });
        }
    }
}

/// Sets the options of a socket. A socket that refuses one still works, only less promptly.
pub fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}
