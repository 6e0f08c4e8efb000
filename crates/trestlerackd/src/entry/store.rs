//! The platform's store, called directly or through a peer.

use super::peers::PeerClient;
use super::pool::{ConnectionPool, ExchangeError};
use super::tables;
use crate::process::clock::{self, SystemClock};
use crate::process::logs;
use async_trait::async_trait;
use http_body_util::{BodyExt, Limited};
use hyper::header;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;
use trestlerack::interfaces::{Clock, StoreError};
use trestlerack::process::{AccessChange, DirectAccess, rate_limit_backoff};
use trestlerack::rows::{RowStore, StoreCall, StoreMoment, StoreReply};
use trestlerack::{Name, event, time::millis};
use trestlerack_platform as platform;

/// Time after which a call counts as lost. A slow store takes 60 times its 4 to 8 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which a direct call is given up where a peer may do better.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval at which the direct way is tried again after it failed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Longest time until a node notices that its direct way is in doubt, should it miss the news.
const LOST_INTERVAL: Duration = Duration::from_secs(1);

/// Peers that may leave the outcome of one call open; each takes a time limit.
const RELAY_DOUBTS: usize = 2;

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
        let mut request = platform::encode_store_call(call).map_err(|_| StoreError::Unavailable)?;
        let host = self.address.parse().map_err(|_| StoreError::Unavailable)?;
        request.headers_mut().insert(header::HOST, host);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let (response, lease) = match self.pool.send(&self.address, request, false).await {
            Ok(answer) => answer,
            Err(ExchangeError::NotSent(_)) => return Err(StoreError::Unavailable),
            Err(ExchangeError::NoResponse(_)) => return Err(StoreError::Unknown),
        };
        let (parts, body) = response.into_parts();
        let head = platform::decode_response_head(&parts.headers);
        let body = Limited::new(body, MAX_REPLY).collect().await.map_err(|_| StoreError::Unknown)?.to_bytes();
        if !head.is_closing {
            self.pool.keep(lease, head.idle_timeout);
        }
        platform::decode_store_reply(call, parts.status, body)
    }

    /// Makes a call within `limit`.
    pub async fn call_within(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        clock::timeout(limit, self.exchange(call)).await.unwrap_or(Err(StoreError::Unknown))
    }
}

/// Returns how long a call may take, including the wait that it asks for.
fn time_limit(call: &StoreCall, base: Duration) -> Duration {
    match call {
        StoreCall::Watch { wait_ms, .. } => base + Duration::from_millis(*wait_ms),
        _ => base,
    }
}

/// Returns the kind of a call and the partition, table or object that it is for, for the log.
fn describe(call: &StoreCall) -> (&'static str, Name) {
    match call {
        StoreCall::Commit(transaction) => ("commit", transaction.partition.clone()),
        StoreCall::Read { table, partition, .. } => ("read", format!("{table}/{partition}").into()),
        StoreCall::Watch { table, .. } => ("watch", table.clone()),
        StoreCall::Partitions { table, .. } => ("partitions", table.clone()),
        StoreCall::PutObject { name, .. } => ("put-object", name.clone()),
        StoreCall::GetObject { name } => ("get-object", name.clone()),
        StoreCall::RemoveObject { name } => ("remove-object", name.clone()),
    }
}

/// The store, through a peer while it refuses this node or cannot be reached.
pub struct RelayedStore {
    direct: Arc<DirectStore>,
    peers: Arc<PeerClient>,
    /// Whether the direct way is to be used; if not, peers are asked first until a probe succeeds.
    way: Mutex<DirectAccess>,
    time: SystemClock,
    /// Tells that the direct way is in doubt from now on.
    way_lost: Notify,
    clock: Mutex<Option<StoreClock>>,
}

/// The store's clock, as of a reply.
#[derive(Clone, Copy)]
struct StoreClock {
    moment: StoreMoment,
    /// Time since boot of the reply.
    at: Duration,
}

impl RelayedStore {
    /// Builds the client.
    pub fn new(direct: Arc<DirectStore>, peers: Arc<PeerClient>) -> Self {
        Self {
            direct,
            peers,
            way: Mutex::default(),
            time: SystemClock::new(),
            way_lost: Notify::new(),
            clock: Mutex::new(None),
        }
    }

    /// Waits before a call is made again that failed `failures` times in a row: for `pause`, or for
    /// longer where the store refused it for its rate, but not beyond the moment from which peers
    /// are asked instead.
    pub async fn pause_after(&self, error: StoreError, failures: u32, pause: Duration) {
        match error {
            StoreError::RateLimited => {
                let is_lost = self.way_lost.notified();
                // Ends with the pause or with the news; both lead to another try.
                let _ = clock::timeout(rate_limit_backoff(failures, rand::random()), is_lost).await;
            }
            StoreError::Unavailable | StoreError::Unknown => clock::sleep(pause).await,
        }
    }

    /// Returns whether the store does not serve this node, so that peers are asked first.
    pub fn prefers_peers(&self) -> bool {
        self.way.lock().unwrap().prefers_peers()
    }

    /// Returns the time on the store's clock, in milliseconds, or 0 before the first reply.
    pub fn clock_ms(&self) -> u64 {
        let seen = *self.clock.lock().unwrap();
        seen.map_or(0, |seen| seen.moment.clock_ms + millis(clock::since_boot().saturating_sub(seen.at)))
    }

    async fn call_direct(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        let sent_at = self.time.now();
        let reply = self.direct.call_within(call, time_limit(call, limit)).await;
        let now = self.time.now();
        let failure = reply.as_ref().err().copied();
        let change = self.way.lock().unwrap().record_result(sent_at, now, failure);
        match (change, failure) {
            (Some(AccessChange::Regained), _) => logs::write(event::STORE_REGAINED, &[]),
            (Some(AccessChange::Lost), Some(error)) => {
                let (kind, place) = describe(call);
                let ms = now.since(sent_at).as_millis();
                let fields: [(&str, &dyn std::fmt::Display); 4] =
                    [("call", &kind), ("place", &place), ("why", &error), ("ms", &ms)];
                logs::write(event::STORE_LOST, &fields);
                self.way_lost.notify_waiters();
            }
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
            if !self.prefers_peers() {
                // The news may come just before this, and is then seen after the pause.
                let _ = clock::timeout(LOST_INTERVAL, self.way_lost.notified()).await;
            }
            clock::sleep(PROBE_INTERVAL).await;
            if self.prefers_peers() {
                // The outcome is noted by the call itself.
                let _ = self.call_direct(&call, DIRECT_TIMEOUT).await;
            }
        }
    }

    async fn call_relayed(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let (mut worst, mut doubts) = (StoreError::Unavailable, 0);
        for peer in self.peers.pick_relays() {
            match self.peers.relay(&peer, call, time_limit(call, CALL_TIMEOUT)).await {
                Ok(reply) => return Ok(reply),
                Err(StoreError::Unknown) => {
                    worst = StoreError::Unknown;
                    doubts += 1;
                    if doubts == RELAY_DOUBTS {
                        break;
                    }
                }
                Err(StoreError::Unavailable) => {}
                // The store serves that peer, so another one would be refused too.
                Err(StoreError::RateLimited) if worst == StoreError::Unavailable => {
                    return Err(StoreError::RateLimited);
                }
                Err(StoreError::RateLimited) => return Err(worst),
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
            *clock = Some(StoreClock { moment, at: clock::since_boot() });
        }
    }
}

#[async_trait]
impl RowStore for RelayedStore {
    async fn call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let has_peers = self.peers.has_any();
        let reply = if has_peers && self.prefers_peers() {
            match self.call_relayed(call).await {
                Ok(reply) => Ok(reply),
                Err(StoreError::RateLimited) => Err(StoreError::RateLimited),
                // This node's way is shut, whatever status says so, and peers may serve the next try.
                Err(relayed) => match self.call_direct(call, DIRECT_TIMEOUT).await {
                    Err(StoreError::RateLimited) => Err(relayed),
                    direct => merge(direct, relayed),
                },
            }
        } else {
            let limit = if has_peers { DIRECT_TIMEOUT } else { CALL_TIMEOUT };
            match self.call_direct(call, limit).await {
                Ok(reply) => Ok(reply),
                // Unless the store refuses all calls of this node, peers would be refused as well.
                Err(StoreError::RateLimited) if !self.prefers_peers() => Err(StoreError::RateLimited),
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
        (Err(StoreError::Unavailable | StoreError::RateLimited), StoreError::Unknown) => Err(StoreError::Unknown),
        (second, _) => second,
    }
}
