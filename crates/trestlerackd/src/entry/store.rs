//! The platform's store, called directly or through a peer.

use super::peers::PeerClient;
use super::pool::{ConnectionPool, ExchangeError};
use super::tables;
use crate::process::logs;
use async_trait::async_trait;
use http_body_util::{BodyExt, Limited};
use hyper::header;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use trestlerack::border::StoreError;
use trestlerack::rows::{RowStore, StoreCall, StoreMoment, StoreReply};
use trestlerack::{Name, event};
use trestlerack_platform as platform;

/// Time after which a call counts as lost. A slow store takes 60 times its 4 to 8 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which a direct call is given up where a peer may do better.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval at which the direct way is tried again after it failed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Peers that are asked to relay one call.
const RELAY_TRIES: usize = 2;

/// Longest reply, in bytes; the store's pages are 1 MB before their encoding.
const MAX_REPLY: usize = 8 * 1024 * 1024;

/// The store at its own address.
pub struct DirectStore {
    pool: Arc<ConnectionPool>,
    address: Name,
    /// Counts calls.
    pub calls: AtomicU64,
}

impl DirectStore {
    /// Builds a client of the store at `address`.
    pub fn new(pool: Arc<ConnectionPool>, address: Name) -> Self {
        Self { pool, address, calls: AtomicU64::new(0) }
    }

    async fn exchange(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let mut request = platform::encode_call(call).map_err(|_| StoreError::Unavailable)?;
        let host = self.address.parse().map_err(|_| StoreError::Unavailable)?;
        request.headers_mut().insert(header::HOST, host);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let (response, lease) = match self.pool.send(&self.address, request, false).await {
            Ok(answer) => answer,
            Err(ExchangeError::NotSent(_)) => return Err(StoreError::Unavailable),
            Err(ExchangeError::NoAnswer(_)) => return Err(StoreError::Unknown),
        };
        let (parts, body) = response.into_parts();
        let head = platform::decode_reply_head(&parts.headers);
        let body = Limited::new(body, MAX_REPLY).collect().await.map_err(|_| StoreError::Unknown)?.to_bytes();
        if !head.is_closing {
            self.pool.keep(lease, head.idle_limit);
        }
        platform::decode_reply(call, parts.status, body)
    }

    /// Makes a call within `limit`.
    pub async fn call_within(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        tokio::time::timeout(limit, self.exchange(call)).await.unwrap_or(Err(StoreError::Unknown))
    }
}

/// Returns how long a call may take, including the wait that it asks for.
fn time_limit(call: &StoreCall, base: Duration) -> Duration {
    match call {
        StoreCall::Watch { wait_ms, .. } => base + Duration::from_millis(*wait_ms),
        _ => base,
    }
}

/// The store, through a peer while it refuses this node or cannot be reached.
pub struct RelayedStore {
    direct: Arc<DirectStore>,
    peers: Arc<PeerClient>,
    /// Whether the last direct call failed; peers are asked first until a probe succeeds.
    is_doubtful: AtomicBool,
    clock: Mutex<Option<StoreClock>>,
}

/// The store's clock, as of a reply.
#[derive(Clone, Copy)]
struct StoreClock {
    moment: StoreMoment,
    at: Instant,
}

impl RelayedStore {
    /// Builds the client.
    pub fn new(direct: Arc<DirectStore>, peers: Arc<PeerClient>) -> Self {
        Self { direct, peers, is_doubtful: AtomicBool::new(false), clock: Mutex::new(None) }
    }

    /// Returns the time on the store's clock, in milliseconds, or 0 before the first reply.
    pub fn clock_ms(&self) -> u64 {
        let clock = *self.clock.lock().unwrap();
        clock.map_or(0, |clock| {
            let since = u64::try_from(clock.at.elapsed().as_millis()).unwrap_or(u64::MAX);
            clock.moment.clock_ms + since
        })
    }

    async fn call_direct(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        let reply = self.direct.call_within(call, time_limit(call, limit)).await;
        let was_doubtful = self.is_doubtful.swap(reply.is_err(), Ordering::Relaxed);
        match (&reply, was_doubtful) {
            (Ok(_), true) => logs::write(event::STORE_REGAINED, &[]),
            (Err(error), false) => logs::write(event::STORE_LOST, &[("why", error)]),
            _ => {}
        }
        reply
    }

    /// Tries the direct way again while it is in doubt, until the process ends.
    pub async fn probe_direct(&self) {
        let call = StoreCall::Read {
            table: tables::STATE.into(),
            partition: tables::LEASES.into(),
            from: "".into(),
            to: "".into(),
            limit: 1,
        };
        loop {
            tokio::time::sleep(PROBE_INTERVAL).await;
            if self.is_doubtful.load(Ordering::Relaxed) {
                // The outcome is noted by the call itself.
                let _ = self.call_direct(&call, DIRECT_TIMEOUT).await;
            }
        }
    }

    async fn call_relayed(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let mut worst = StoreError::Unavailable;
        for peer in self.peers.pick(RELAY_TRIES) {
            match self.peers.relay(&peer, call, time_limit(call, CALL_TIMEOUT)).await {
                Ok(reply) => return Ok(reply),
                Err(StoreError::Unknown) => worst = StoreError::Unknown,
                Err(StoreError::Unavailable) => {}
            }
        }
        Err(worst)
    }

    fn note(&self, reply: &Result<StoreReply, StoreError>) {
        let moment = match reply {
            Ok(StoreReply::Committed(moment) | StoreReply::Rows { moment, .. }) => *moment,
            Ok(StoreReply::Partitions { moment, .. }) => *moment,
            _ => return,
        };
        let mut clock = self.clock.lock().unwrap();
        // Replies may overtake each other, and the clock only goes forward.
        if clock.is_none_or(|held| held.moment.clock_ms <= moment.clock_ms) {
            *clock = Some(StoreClock { moment, at: Instant::now() });
        }
    }
}

#[async_trait]
impl RowStore for RelayedStore {
    async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let has_peers = self.peers.has_any();
        let reply = if has_peers && self.is_doubtful.load(Ordering::Relaxed) {
            match self.call_relayed(call).await {
                Ok(reply) => Ok(reply),
                Err(relayed) => merge(self.call_direct(call, DIRECT_TIMEOUT).await, relayed),
            }
        } else {
            let limit = if has_peers { DIRECT_TIMEOUT } else { CALL_TIMEOUT };
            match self.call_direct(call, limit).await {
                Ok(reply) => Ok(reply),
                Err(direct) if has_peers => merge(self.call_relayed(call).await, direct),
                Err(direct) => Err(direct),
            }
        };
        self.note(&reply);
        reply
    }
}

/// Joins the results of two ways of making one call: if one way may have applied it, a failure of
/// the other cannot say that nothing was done.
fn merge(second: Result<StoreReply, StoreError>, first: StoreError) -> Result<StoreReply, StoreError> {
    match (second, first) {
        (Err(StoreError::Unavailable), StoreError::Unknown) => Err(StoreError::Unknown),
        (second, _) => second,
    }
}
