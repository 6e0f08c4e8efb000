//! Calls between nodes: relayed store calls, jobs, usage, load, crash reports and store changes.

use super::feed_relay::{self, FeedCall, FeedReply};
use super::node::EntryNode;
use super::peer_traffic::PeerTraffic;
use super::pool::ConnectionPool;
use super::resource_limits::LimitDecision;
use super::suspects;
use super::{job_takeover, load_gossip, tables};
use crate::process::clock::{self, SystemClock};
use crate::process::logs;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::convert::Infallible;
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use trestlerack::interfaces::{Clock, StoreError};
use trestlerack::process::{
    ConnectionKind, ConnectionPermit, CrashReport, LoadMessage, MemoryPurpose, NodeRow, NodeRows, RegionalPeers,
    RelaySelector, StoreContact, UsageSender, UsageSnapshot, may_relay,
};
use trestlerack::request::{JobRecord, RequestFingerprint};
use trestlerack::rows::{StoreCall, StoreReply};
use trestlerack::version::OwnRegion;
use trestlerack::{AllowedZones, Name, event};

/// Path of all calls between nodes.
const PEER_PATH: &str = "/peer";

/// Timeout of calls that a peer answers without calling the store.
const REPLY_TIMEOUT: Duration = Duration::from_millis(350);

/// Timeout of a store call that a node makes for a peer.
const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum size of a call or reply, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// A call to a peer.
#[derive(Serialize, Deserialize)]
pub enum PeerCall {
    /// Makes a store call and returns its reply.
    Relay(StoreCall),
    /// Asks whether the peer drives a job.
    #[serde(rename = "Drives")]
    IsDriving {
        /// The job.
        job: Name,
    },
    /// Asks the peer to drive a job whose record names it as owner, and to say whether it does.
    Drive {
        /// The job.
        job: Name,
        /// The job's record with its version, so that the peer need not read it from the store first.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        record: Option<Box<(JobRecord, u64)>>,
    },
    /// Sends the usage that a node counted for its customers.
    Usage {
        /// Node that counted the usage.
        sender: UsageSender,
        /// Cumulative counts by window.
        #[serde(rename = "notes")]
        snapshots: Vec<UsageSnapshot>,
    },
    /// Sends crash reports and asks for those that the caller lacks.
    #[serde(rename = "Strikes")]
    CrashReports {
        /// Crash reports that the caller knows.
        #[serde(rename = "notes")]
        reports: Vec<CrashReport>,
    },
    /// Sends load information and asks for that which the caller requests.
    #[serde(rename = "News")]
    Load(LoadMessage),
    /// Asks for changes of the store's tables.
    Feed(FeedCall),
    /// Asks to reserve a server for the trial of a suspect, unless it is reserved for another one.
    Trial {
        /// The server.
        server: Name,
        /// Fingerprint of the suspect's content.
        fingerprint: RequestFingerprint,
    },
    /// Announces that a job has ended in the store, and asks whether the peer drove it.
    End {
        /// The job.
        job: Name,
    },
    /// Tells the previous owner of a job that the caller has taken the job over.
    Taken {
        /// The job.
        job: Name,
        /// The job's record with its version.
        record: Box<(JobRecord, u64)>,
    },
}

/// The reply of a peer.
#[derive(Serialize, Deserialize)]
pub enum PeerReply {
    /// Reply of the store to a relayed call.
    Relayed(StoreReply),
    /// The peer cannot reach the store either; the call was not applied.
    Unavailable,
    /// The store serves the peer but rejects calls for their rate; the call was not applied.
    RateLimited,
    /// The store call may have been applied.
    Unknown,
    /// Whether the peer drives the job.
    #[serde(rename = "Drives")]
    IsDriving(bool),
    /// The usage was recorded.
    #[serde(rename = "Noted")]
    UsageRecorded,
    /// Crash reports that the caller may not know.
    #[serde(rename = "Strikes")]
    CrashReports(Vec<CrashReport>),
    /// Load information that the caller requested.
    #[serde(rename = "News")]
    Load(LoadMessage),
    /// Changes of the store's tables.
    Feed(FeedReply),
    /// Whether the server is reserved for the suspect.
    Trial(bool),
}

/// Where a client records that peers answered.
pub struct PeerContact {
    /// Clock of the node, by which the contact is measured.
    pub clock: SystemClock,
    /// Contacts of the node.
    pub store_contact: Arc<Mutex<StoreContact>>,
}

/// Client for calls to peers, with the registered nodes.
pub struct PeerClient {
    contact: PeerContact,
    pool: Arc<ConnectionPool>,
    own_address: Name,
    own_region: Option<OwnRegion>,
    /// `None` if the deployment does not span regions.
    traffic: Option<PeerTraffic>,
    seeds: Mutex<Vec<Name>>,
    nodes: Mutex<NodeRows>,
    relays: Mutex<RelaySelector>,
    /// Availability zones of the peers that may relay store calls; `None` for all.
    relay_zones: RwLock<Option<AllowedZones>>,
    clock: SystemClock,
}

impl PeerClient {
    /// Creates a client that knows only the seeds.
    pub fn new(
        pool: Arc<ConnectionPool>,
        own_address: Name,
        own_region: Option<OwnRegion>,
        seeds: Vec<Name>,
        contact: PeerContact,
    ) -> Self {
        let relays = Mutex::new(RelaySelector::new(&own_address));
        let (seeds, nodes, clock) = (Mutex::new(seeds), Mutex::default(), SystemClock::new());
        let traffic = own_region.clone().map(PeerTraffic::new);
        let relay_zones = RwLock::default();
        Self { contact, pool, own_address, own_region, traffic, seeds, nodes, relays, relay_zones, clock }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&self, seeds: Vec<Name>) {
        *self.seeds.lock().unwrap() = seeds;
    }

    /// Merges the row of a node, or its removal, as of a version in the store.
    pub fn put(&self, name: &Name, version: u64, row: Option<NodeRow>) {
        self.nodes.lock().unwrap().put(name, version, row);
    }

    /// Forgets nodes that are missing from a complete list as of the version `as_of`. Nodes with a newer row
    /// are kept.
    pub fn forget_missing(&self, registered: &[Name], as_of: u64) {
        self.nodes.lock().unwrap().forget_missing(registered, as_of);
    }

    /// Returns whether a node was restarted since its given incarnation wrote a row at the version
    /// `written_at`.
    pub fn is_restarted(&self, name: &str, incarnation: u64, written_at: u64) -> bool {
        self.nodes.lock().unwrap().is_restarted(name, incarnation, written_at)
    }

    /// Returns the row of a registered node.
    pub fn get(&self, name: &str) -> Option<NodeRow> {
        self.nodes.lock().unwrap().get(name).cloned()
    }

    /// Returns the version of a registered node's row in the store.
    pub fn row_version(&self, name: &str) -> Option<u64> {
        self.nodes.lock().unwrap().version(name)
    }

    /// Returns the registered nodes with their zones.
    pub fn zones(&self) -> Vec<(Name, Name)> {
        self.rows(|name, row| (name.clone(), row.zone.clone()))
    }

    /// Returns the names of all registered nodes.
    pub fn names(&self) -> Vec<Name> {
        self.nodes.lock().unwrap().iter().map(|(name, _)| name.clone()).collect()
    }

    /// Applies `take` to the rows of all registered nodes and returns the results.
    pub fn rows<T>(&self, take: impl Fn(&Name, &NodeRow) -> T) -> Vec<T> {
        self.nodes.lock().unwrap().iter().map(|(name, row)| take(name, row)).collect()
    }

    /// Returns how many nodes are registered.
    pub fn count(&self) -> usize {
        self.nodes.lock().unwrap().iter().count()
    }

    /// Returns whether another node is registered.
    pub fn has_registered(&self) -> bool {
        self.nodes.lock().unwrap().iter().any(|(_, row)| row.address != self.own_address)
    }

    /// Returns whether any peer is nodes.
    pub fn has_any(&self) -> bool {
        !self.peer_addresses().is_empty()
    }

    /// Returns the addresses of all other known nodes, including seeds.
    pub fn peer_addresses(&self) -> Vec<Name> {
        let nodes = self.nodes.lock().unwrap();
        let mut addresses: Vec<Name> = nodes.iter().map(|(_, row)| row.address.clone()).collect();
        let seeds = self.seeds.lock().unwrap();
        let unknown: Vec<Name> = seeds.iter().filter(|seed| !addresses.contains(seed)).cloned().collect();
        addresses.extend(unknown);
        addresses.retain(|address| *address != self.own_address);
        addresses
    }

    /// Limits the peers that may relay store calls to those in some zones; `None` ends the limit. A relayed call may
    /// contain the body of a request.
    pub fn limit_relays(&self, zones: Option<AllowedZones>) {
        let mut current = self.relay_zones.write().unwrap();
        if *current == zones {
            return;
        }
        let names: Vec<&str> = zones.iter().flat_map(AllowedZones::zones).map(|zone| &**zone).collect();
        logs::write(event::RELAYS_LIMITED, &[("zones", &names.join(","))]);
        *current = zones;
    }

    /// Returns the addresses of all other known nodes by region. A seed that is not registered has no known region.
    pub fn regional_peers(&self) -> RegionalPeers {
        let addresses = self.peer_addresses();
        let Some(region) = &self.own_region else { return addresses.into() };
        let nodes = self.nodes.lock().unwrap();
        let near_rows = nodes.iter().filter(|(_, row)| region.contains(&row.zone));
        let near: HashSet<&Name> = near_rows.map(|(_, row)| &row.address).collect();
        let (near, far) = addresses.into_iter().partition(|address| near.contains(address));
        RegionalPeers { near, far }
    }

    /// Adds the metrics of the traffic to peers to a metrics page.
    pub fn write_metrics(&self, page: &mut String) {
        if let Some(traffic) = &self.traffic {
            traffic.write_metrics(page);
        }
    }

    /// Returns the peers that may relay a store call, in the order in which to ask them.
    pub fn pick_relays(&self, call: &StoreCall) -> Vec<Name> {
        let mut peers = self.regional_peers();
        if let Some(zones) = &*self.relay_zones.read().unwrap() {
            let known: BTreeMap<Name, Name> =
                self.rows(|_, row| (row.address.clone(), row.zone.clone())).into_iter().collect();
            let zone = |address: &Name| known.get(address).map(|zone| &**zone);
            let is_permitted = |address: &Name| may_relay(zones, zone(address), tables::contains_bodies(call));
            peers.near.retain(is_permitted);
            peers.far.retain(is_permitted);
        }
        self.relays.lock().unwrap().pick(self.clock.now(), peers)
    }

    /// Asks a peer to make a store call. A peer that does not answer may have passed the call on, which
    /// returns [`StoreError::Unknown`].
    pub async fn relay(&self, peer: &Name, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        let error = match self.call(peer, &PeerCall::Relay(call.clone()), limit).await {
            Some(PeerReply::Relayed(reply)) => {
                self.relays.lock().unwrap().record_success(peer);
                return Ok(reply);
            }
            Some(PeerReply::RateLimited) => return Err(StoreError::RateLimited),
            Some(PeerReply::Unavailable) => StoreError::Unavailable,
            // A peer that does not answer may still have passed the call on.
            _ => StoreError::Unknown,
        };
        self.relays.lock().unwrap().record_failure(self.clock.now(), peer);
        Err(error)
    }

    /// Asks a peer whether it drives a job. Returns `None` if it does not answer.
    pub async fn is_driving(&self, peer: &Name, job: &Name) -> Option<bool> {
        self.call_about_job(peer, &PeerCall::IsDriving { job: job.clone() }).await
    }

    /// Asks a peer to drive a job that names it as owner. Returns `None` if it does not answer.
    pub async fn drive(&self, peer: &Name, job: &Name, accepted: Option<(JobRecord, u64)>) -> Option<bool> {
        let record = accepted.map(Box::new);
        self.call_about_job(peer, &PeerCall::Drive { job: job.clone(), record }).await
    }

    /// Tells the owner of a job that the job has ended, which its watch would show only later. Returns
    /// `None` if the owner does not answer.
    pub async fn announce_job_end(&self, peer: &Name, job: &Name) -> Option<bool> {
        self.call_about_job(peer, &PeerCall::End { job: job.clone() }).await
    }

    /// Tells the previous owner of a job that this node has taken the job over. Returns `None` if it does not answer.
    pub async fn announce_takeover(&self, peer: &Name, job: &Name, record: JobRecord, version: u64) -> Option<bool> {
        self.call_about_job(peer, &PeerCall::Taken { job: job.clone(), record: Box::new((record, version)) }).await
    }

    /// Sends counted usage to the lease holder. Returns `None` if it does not answer.
    pub async fn send_usage(&self, peer: &Name, sender: &UsageSender, snapshots: &[UsageSnapshot]) -> Option<()> {
        let call = PeerCall::Usage { sender: sender.clone(), snapshots: snapshots.to_vec() };
        match self.call(peer, &call, REPLY_TIMEOUT).await {
            Some(PeerReply::UsageRecorded) => Some(()),
            _ => None,
        }
    }

    /// Sends crash reports to a peer and returns others that it knows. Returns `None` if it does not answer.
    pub async fn exchange_crash_reports(&self, peer: &Name, reports: &[CrashReport]) -> Option<Vec<CrashReport>> {
        match self.call(peer, &PeerCall::CrashReports { reports: reports.to_vec() }, REPLY_TIMEOUT).await {
            Some(PeerReply::CrashReports(reports)) => Some(reports),
            _ => None,
        }
    }

    /// Sends load information to a peer and returns the peer's. Returns `None` if it does not answer.
    pub async fn exchange_load(&self, peer: &Name, message: LoadMessage) -> Option<LoadMessage> {
        match self.call(peer, &PeerCall::Load(message), REPLY_TIMEOUT).await {
            Some(PeerReply::Load(message)) => Some(message),
            _ => None,
        }
    }

    /// Asks a follower for changes of the store's tables. Returns `None` if it does not answer.
    pub async fn read_feed(&self, peer: &Name, call: FeedCall, limit: Duration) -> Option<FeedReply> {
        match self.call(peer, &PeerCall::Feed(call), limit).await {
            Some(PeerReply::Feed(reply)) => Some(reply),
            _ => None,
        }
    }

    /// Asks the peer that grants a server's trials to reserve the server for a suspect. Returns `None` if it
    /// does not answer.
    pub async fn request_trial(&self, peer: &Name, server: &Name, fingerprint: RequestFingerprint) -> Option<bool> {
        match self.call(peer, &PeerCall::Trial { server: server.clone(), fingerprint }, REPLY_TIMEOUT).await {
            Some(PeerReply::Trial(is_granted)) => Some(is_granted),
            _ => None,
        }
    }

    async fn call_about_job(&self, peer: &Name, call: &PeerCall) -> Option<bool> {
        match self.call(peer, call, REPLY_TIMEOUT).await {
            Some(PeerReply::IsDriving(is_driving)) => Some(is_driving),
            _ => None,
        }
    }

    async fn call(&self, peer: &Name, call: &PeerCall, limit: Duration) -> Option<PeerReply> {
        let mut body = Vec::new();
        ciborium::into_writer(call, &mut body).ok()?;
        let request = Request::post(PEER_PATH).header(header::HOST, &**peer).body(Bytes::from(body)).ok()?;
        let sent_at = self.contact.clock.now();
        let reply = clock::timeout(limit, self.exchange(peer, request)).await.ok()??;
        self.contact.store_contact.lock().unwrap().record_peer_answer(sent_at);
        Some(reply)
    }

    /// Returns the zone of the registered node with a peer address, if the node states it.
    fn zone_at(&self, address: &str) -> Option<Name> {
        let nodes = self.nodes.lock().unwrap();
        let row = nodes.iter().find(|(_, row)| *row.address == *address);
        row.map(|(_, row)| row.zone.clone()).filter(|zone| !zone.is_empty())
    }

    async fn exchange(&self, peer: &Name, request: Request<Bytes>) -> Option<PeerReply> {
        let traffic = self.traffic.as_ref().map(|traffic| traffic.record_call(self.zone_at(peer).as_deref()));
        let (response, lease) = self.pool.send_permitted(peer, request, false, traffic, || true).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_MESSAGE_BYTES).collect().await.ok()?.to_bytes();
        self.pool.keep(lease, None);
        ciborium::from_reader(&body[..]).ok()
    }
}

/// Answers calls of peers until the process ends.
pub async fn serve(node: Arc<EntryNode>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        // A peer whose connection is closed asks another node.
        let Some(permit) = node.resource_limits.connections.try_acquire(ConnectionKind::Peers) else {
            let (kind, why) = (ConnectionKind::Peers.as_str(), "all connections reserved for peers are in use");
            let open = node.resource_limits.connections.open(ConnectionKind::Peers);
            let fields: [(&str, &dyn std::fmt::Display); 3] = [("kind", &kind), ("why", &why), ("open", &open)];
            node.resource_limits.record(node.now(), LimitDecision::ConnectionsFull, &fields);
            continue;
        };
        tokio::spawn(serve_peer(node.clone(), permit, stream));
    }
}

async fn serve_peer(node: Arc<EntryNode>, _permit: ConnectionPermit, stream: TcpStream) {
    super::pool::set_socket_options(&stream);
    let service = hyper::service::service_fn(move |request: Request<Incoming>| {
        let node = node.clone();
        async move {
            let reply = match handle_call(&node, request).await {
                Some(reply) => Response::new(Full::new(reply)),
                None => bad_request(),
            };
            Ok::<_, Infallible>(reply)
        }
    });
    // After a connection error the peer asks another node.
    let _ = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

fn bad_request() -> Response<Full<Bytes>> {
    let mut reply = Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = StatusCode::BAD_REQUEST;
    reply
}

async fn handle_call(node: &Arc<EntryNode>, request: Request<Incoming>) -> Option<Bytes> {
    let body = Limited::new(request.into_body(), MAX_MESSAGE_BYTES).collect().await.ok()?.to_bytes();
    let _reservation = node.resource_limits.memory.reserve(MemoryPurpose::Peers, body.len());
    let call: PeerCall = ciborium::from_reader(&body[..]).ok()?;
    let reply = match call {
        PeerCall::Relay(call) => {
            let wait = match &call {
                StoreCall::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
                _ => Duration::ZERO,
            };
            // Only directly: a call that is relayed from peer to peer might never end.
            match node.direct_store.call_within(&call, RELAY_TIMEOUT + wait).await {
                Ok(reply) => PeerReply::Relayed(reply),
                Err(StoreError::RateLimited) if !node.store.prefers_peers() => PeerReply::RateLimited,
                Err(StoreError::Unavailable | StoreError::RateLimited) => PeerReply::Unavailable,
                Err(StoreError::Unknown) => PeerReply::Unknown,
            }
        }
        PeerCall::Usage { sender, snapshots } => {
            node.usage.merge(&sender, snapshots);
            PeerReply::UsageRecorded
        }
        PeerCall::CrashReports { reports } => PeerReply::CrashReports(suspects::respond_to_peer(node, &reports)),
        PeerCall::Feed(call) => PeerReply::Feed(feed_relay::handle_call(node, call).await),
        PeerCall::Trial { server, fingerprint } => PeerReply::Trial(suspects::grant_trial(node, &server, fingerprint)),
        PeerCall::Load(message) => PeerReply::Load(load_gossip::respond_to_peer(node, message)),
        PeerCall::Drive { job, record } => {
            PeerReply::IsDriving(job_takeover::drive_assigned(node, &job, record.map(|record| *record)).await)
        }
        PeerCall::End { job } => {
            let is_driven = node.drivers.lock().unwrap().contains_key(&job);
            node.record_job_end(&job);
            PeerReply::IsDriving(is_driven)
        }
        PeerCall::IsDriving { job } => {
            let is_driving = node.drivers.lock().unwrap().contains_key(&job);
            PeerReply::IsDriving(is_driving || node.starting_jobs.contains(&job))
        }
        PeerCall::Taken { job, record } => {
            let (record, version) = *record;
            node.merge_job_record(record, version, &job);
            PeerReply::IsDriving(node.drivers.lock().unwrap().contains_key(&job))
        }
    };
    let mut encoded = Vec::new();
    ciborium::into_writer(&reply, &mut encoded).ok()?;
    Some(encoded.into())
}
