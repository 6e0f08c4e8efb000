//! What nodes ask each other: to relay a store call, and whether a job is driven.

use super::feed_relay::{self, FeedCall, FeedReply};

use super::node::EntryNode;
use super::pool::ConnectionPool;
use super::resource_limits::HeldDecision;
use super::suspects;
use super::{job_takeover, load_gossip};
use crate::process::clock::{self, SystemClock};
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use trestlerack::Name;
use trestlerack::interfaces::{Clock, StoreError};
use trestlerack::process::{
    ConnectionKind, ConnectionPermit, CrashReport, LoadMessage, MemoryPurpose, NodeRow, NodeRows, RelaySelector,
    UsageSender, UsageSnapshot,
};
use trestlerack::request::RequestFingerprint;
use trestlerack::rows::{StoreCall, StoreReply};

/// Path of all calls between nodes.
const PEER_PATH: &str = "/peer";

/// Time for an answer to a liveness question.
const PING_TIMEOUT: Duration = Duration::from_millis(350);

/// Time that a node gives a store call that it relays.
const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest call or reply, in bytes.
const MAX_MESSAGE: usize = 8 * 1024 * 1024;

/// A question to a peer.
#[derive(Serialize, Deserialize)]
pub enum PeerCall {
    /// Make a store call and return its reply.
    Relay(StoreCall),
    /// Say whether you drive a job.
    Drives {
        /// The job.
        job: Name,
    },
    /// Drive a job that names you as its owner, and say whether you do.
    Drive {
        /// The job.
        job: Name,
    },
    /// Take what a node counted of its customers' usage.
    Usage {
        /// Who counted.
        sender: UsageSender,
        /// What was counted.
        notes: Vec<UsageSnapshot>,
    },
    /// Take strikes over, and say which others you know.
    Strikes {
        /// What the caller knows.
        notes: Vec<CrashReport>,
    },
    /// Take news of load over, and say what the caller asks for.
    News(LoadMessage),
    /// Say what has changed in the store's tables.
    Feed(FeedCall),
    /// Give a server to a suspect, if you keep its trials for nobody else.
    Trial {
        /// The server.
        server: Name,
        /// What the suspect asks for.
        fingerprint: RequestFingerprint,
    },
    /// A job is ended, as the store holds; say whether you drove it.
    End {
        /// The job.
        job: Name,
    },
}

/// The answer of a peer.
#[derive(Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply of the store.
    Relayed(StoreReply),
    /// The store cannot be reached from here either; nothing was done.
    Unavailable,
    /// The store serves this node but takes no more calls now; nothing was done.
    RateLimited,
    /// The store call may have been applied.
    Unknown,
    /// Whether the job is driven.
    Drives(bool),
    /// The usage is noted.
    Noted,
    /// Strikes that the caller may not know.
    Strikes(Vec<CrashReport>),
    /// News of load that the caller asked for.
    News(LoadMessage),
    /// Changes of the store's tables.
    Feed(FeedReply),
    /// Whether the server is given to the suspect.
    Trial(bool),
}

/// Calls peers.
pub struct PeerClient {
    pool: Arc<ConnectionPool>,
    own_address: Name,
    seeds: Mutex<Vec<Name>>,
    known: Mutex<NodeRows>,
    relays: Mutex<RelaySelector>,
    time: SystemClock,
}

impl PeerClient {
    /// Builds a client that knows the seeds only.
    pub fn new(pool: Arc<ConnectionPool>, own_address: Name, seeds: Vec<Name>) -> Self {
        let relays = Mutex::new(RelaySelector::new(&own_address));
        let (seeds, known, time) = (Mutex::new(seeds), Mutex::default(), SystemClock::new());
        Self { pool, own_address, seeds, known, relays, time }
    }

    /// Takes over other seeds.
    pub fn set_seeds(&self, seeds: Vec<Name>) {
        *self.seeds.lock().unwrap() = seeds;
    }

    /// Takes over the row of a peer as of a version in the store, or its removal.
    pub fn put(&self, name: &Name, version: u64, row: Option<NodeRow>) {
        self.known.lock().unwrap().put(name, version, row);
    }

    /// Forgets the rows that were not among all those read at the version `as_of`, unless they are
    /// newer than that.
    pub fn forget_missing(&self, registered: &[Name], as_of: u64) {
        self.known.lock().unwrap().forget_missing(registered, as_of);
    }

    /// Returns whether a node runs as another incarnation by now than the one that wrote a row at
    /// the version `written_at`.
    pub fn is_restarted(&self, name: &str, incarnation: u64, written_at: u64) -> bool {
        self.known.lock().unwrap().is_restarted(name, incarnation, written_at)
    }

    /// Returns the row of a registered node.
    pub fn get(&self, name: &str) -> Option<NodeRow> {
        self.known.lock().unwrap().get(name).cloned()
    }

    /// Returns the version of a registered node's row in the store.
    pub fn row_version(&self, name: &str) -> Option<u64> {
        self.known.lock().unwrap().version(name)
    }

    /// Returns the names of all registered nodes.
    pub fn names(&self) -> Vec<Name> {
        self.known.lock().unwrap().iter().map(|(name, _)| name.clone()).collect()
    }

    /// Returns all registered nodes with their capacities.
    pub fn capacities(&self) -> Vec<(Name, u32)> {
        self.known.lock().unwrap().iter().map(|(name, row)| (name.clone(), row.capacity)).collect()
    }

    /// Returns what `take` makes of the rows of all registered nodes.
    pub fn rows<T>(&self, take: impl Fn(&Name, &NodeRow) -> T) -> Vec<T> {
        self.known.lock().unwrap().iter().map(|(name, row)| take(name, row)).collect()
    }

    /// Returns how many nodes are registered.
    pub fn count(&self) -> usize {
        self.known.lock().unwrap().iter().count()
    }

    /// Returns whether any peer may be asked.
    pub fn has_any(&self) -> bool {
        !self.others().is_empty()
    }

    /// Returns the addresses of all other nodes that are known, seeds included.
    pub fn others(&self) -> Vec<Name> {
        let known = self.known.lock().unwrap();
        let mut addresses: Vec<Name> = known.iter().map(|(_, row)| row.address.clone()).collect();
        let seeds = self.seeds.lock().unwrap();
        let unknown: Vec<Name> = seeds.iter().filter(|seed| !addresses.contains(seed)).cloned().collect();
        addresses.extend(unknown);
        addresses.retain(|address| *address != self.own_address);
        addresses
    }

    /// Returns the peers that are to relay a store call, to be asked in turn.
    pub fn pick_relays(&self) -> Vec<Name> {
        let addresses = self.others();
        self.relays.lock().unwrap().pick(self.time.now(), addresses)
    }

    /// Asks a peer to make a store call.
    pub async fn relay(&self, peer: &Name, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        let error = match self.ask(peer, &PeerCall::Relay(call.clone()), limit).await {
            Some(PeerReply::Relayed(reply)) => {
                self.relays.lock().unwrap().record_success(peer);
                return Ok(reply);
            }
            Some(PeerReply::RateLimited) => return Err(StoreError::RateLimited),
            Some(PeerReply::Unavailable) => StoreError::Unavailable,
            // A peer that does not answer may still have passed the call on.
            _ => StoreError::Unknown,
        };
        self.relays.lock().unwrap().record_failure(self.time.now(), peer);
        Err(error)
    }

    /// Asks a peer whether it drives a job; `None` if it does not answer.
    pub async fn drives(&self, peer: &Name, job: &Name) -> Option<bool> {
        self.ask_about(peer, &PeerCall::Drives { job: job.clone() }).await
    }

    /// Asks a peer to drive a job that names it as owner; `None` if it does not answer.
    pub async fn drive(&self, peer: &Name, job: &Name) -> Option<bool> {
        self.ask_about(peer, &PeerCall::Drive { job: job.clone() }).await
    }

    /// Tells the owner of a job that the job is ended. The owner's watch tells it too, only later;
    /// `None` if it does not answer.
    pub async fn end(&self, peer: &Name, job: &Name) -> Option<bool> {
        self.ask_about(peer, &PeerCall::End { job: job.clone() }).await
    }

    /// Tells the holder of the lease what was counted; `None` if it does not answer.
    pub async fn tell_usage(&self, peer: &Name, sender: &UsageSender, notes: &[UsageSnapshot]) -> Option<()> {
        let call = PeerCall::Usage { sender: sender.clone(), notes: notes.to_vec() };
        match self.ask(peer, &call, PING_TIMEOUT).await {
            Some(PeerReply::Noted) => Some(()),
            _ => None,
        }
    }

    /// Tells a peer of strikes and returns those that it knows besides; `None` if it does not answer.
    pub async fn tell_strikes(&self, peer: &Name, notes: &[CrashReport]) -> Option<Vec<CrashReport>> {
        match self.ask(peer, &PeerCall::Strikes { notes: notes.to_vec() }, PING_TIMEOUT).await {
            Some(PeerReply::Strikes(notes)) => Some(notes),
            _ => None,
        }
    }

    /// Tells a peer news of load and returns its own; `None` if it does not answer.
    pub async fn tell_news(&self, peer: &Name, news: LoadMessage) -> Option<LoadMessage> {
        match self.ask(peer, &PeerCall::News(news), PING_TIMEOUT).await {
            Some(PeerReply::News(news)) => Some(news),
            _ => None,
        }
    }

    /// Asks a follower for changes of the store's tables; `None` if it does not answer.
    pub async fn ask_feed(&self, peer: &Name, call: FeedCall, limit: Duration) -> Option<FeedReply> {
        match self.ask(peer, &PeerCall::Feed(call), limit).await {
            Some(PeerReply::Feed(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Asks a peer that keeps a server's trials to give it to a suspect; `None` if it does not answer.
    pub async fn ask_trial(&self, peer: &Name, server: &Name, fingerprint: RequestFingerprint) -> Option<bool> {
        match self.ask(peer, &PeerCall::Trial { server: server.clone(), fingerprint }, PING_TIMEOUT).await {
            Some(PeerReply::Trial(is_granted)) => Some(is_granted),
            _ => None,
        }
    }

    async fn ask_about(&self, peer: &Name, call: &PeerCall) -> Option<bool> {
        match self.ask(peer, call, PING_TIMEOUT).await {
            Some(PeerReply::Drives(drives)) => Some(drives),
            _ => None,
        }
    }

    async fn ask(&self, peer: &Name, call: &PeerCall, limit: Duration) -> Option<PeerReply> {
        let mut body = Vec::new();
        ciborium::into_writer(call, &mut body).ok()?;
        let request = Request::post(PEER_PATH).header(header::HOST, &**peer).body(Bytes::from(body)).ok()?;
        clock::timeout(limit, self.exchange(peer, request)).await.ok()?
    }

    async fn exchange(&self, peer: &Name, request: Request<Bytes>) -> Option<PeerReply> {
        let (response, lease) = self.pool.send(peer, request, false).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_MESSAGE).collect().await.ok()?.to_bytes();
        self.pool.keep(lease, None);
        ciborium::from_reader(&body[..]).ok()
    }
}

/// Answers peers until the process ends.
pub async fn serve(node: Arc<EntryNode>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        // A peer whose connection is closed asks another one.
        let Some(seat) = node.held.descriptors.try_acquire(ConnectionKind::Peers) else {
            let (kind, why) = (ConnectionKind::Peers.as_str(), "the part of the peers is used up");
            let open = node.held.descriptors.open(ConnectionKind::Peers);
            let fields: [(&str, &dyn std::fmt::Display); 3] = [("kind", &kind), ("why", &why), ("open", &open)];
            node.held.note(node.now(), HeldDecision::ConnectionsFull, &fields);
            continue;
        };
        tokio::spawn(serve_peer(node.clone(), seat, stream));
    }
}

async fn serve_peer(node: Arc<EntryNode>, _seat: ConnectionPermit, stream: TcpStream) {
    super::pool::set_socket_options(&stream);
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let node = node.clone();
        async move {
            let reply = match answer(&node, request).await {
                Some(reply) => Response::new(Full::new(reply)),
                None => bad_request(),
            };
            Ok::<_, Infallible>(reply)
        }
    });
    // A peer that breaks its connection asks again elsewhere.
    let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

fn bad_request() -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = StatusCode::BAD_REQUEST;
    reply
}

async fn answer(node: &Arc<EntryNode>, request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE).collect().await.ok()?.to_bytes();
    let _held = node.held.ledger.reserve(MemoryPurpose::Peers, body.len());
    let call: PeerCall = ciborium::from_reader(&body[..]).ok()?;
    let reply = match call {
        PeerCall::Relay(call) => {
            let wait = match &call {
                StoreCall::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
                _ => Duration::ZERO,
            };
            // Only directly: a call that wandered from peer to peer might never end.
            match node.direct_store.call_within(&call, RELAY_TIMEOUT + wait).await {
                Ok(reply) => PeerReply::Relayed(reply),
                Err(StoreError::RateLimited) if !node.store.prefers_peers() => PeerReply::RateLimited,
                Err(StoreError::Unavailable | StoreError::RateLimited) => PeerReply::Unavailable,
                Err(StoreError::Unknown) => PeerReply::Unknown,
            }
        }
        PeerCall::Usage { sender, notes } => {
            node.usage.merge(&sender, notes);
            PeerReply::Noted
        }
        PeerCall::Strikes { notes } => PeerReply::Strikes(suspects::respond_to_peer(node, &notes)),
        PeerCall::Feed(call) => PeerReply::Feed(feed_relay::handle_call(node, call).await),
        PeerCall::Trial { server, fingerprint } => PeerReply::Trial(suspects::grant_trial(node, &server, fingerprint)),
        PeerCall::News(told) => PeerReply::News(load_gossip::respond_to_peer(node, told)),
        PeerCall::Drive { job } => PeerReply::Drives(job_takeover::drive_assigned(node, &job).await),
        PeerCall::End { job } => {
            let is_driven = node.drivers.lock().unwrap().contains_key(&job);
            node.learn_end(&job);
            PeerReply::Drives(is_driven)
        }
        PeerCall::Drives { job } => PeerReply::Drives(node.drivers.lock().unwrap().contains_key(&job)),
    };
    let mut encoded = Vec::new();
    ciborium::into_writer(&reply, &mut encoded).ok()?;
    Some(encoded.into())
}
