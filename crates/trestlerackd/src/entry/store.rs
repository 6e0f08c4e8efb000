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

/// Timeout of a store call. A slow store takes 60 times its usual 4 to 8 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Timeout of a direct call when peers could relay it instead.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval between direct calls that test whether the store serves this node again.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which the state of direct access is checked, in case its notification is missed.
const ACCESS_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of peers with an unknown outcome after which a call is not relayed again, because each of them
/// may take the whole timeout.
const MAX_UNKNOWN_OUTCOMES: usize = 2;

/// Maximum size of a reply, in bytes. The store's pages are 1 MB before encoding.
const MAX_REPLY_BYTES: usize = 8 * 1024 * 1024;

/// Client that calls the store at its own address.
pub struct DirectStore {
    pool: Arc<ConnectionPool>,
    address: Name,
    /// Number of calls sent.
    pub calls: AtomicU64,
}

impl DirectStore {
    /// Creates a client of the store at `address`.
    pub fn new(pool: Arc<ConnectionPool>, address: Name) -> Self {
        Self { pool, address, calls: AtomicU64::new(0) }
    }

    async fn exchange(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let mut request = platform::encode_store_call(call).map_err(|_| StoreError::Unavailable)?;
        let host = self.address.parse().map_err(|_| StoreError::Unavailable)?;
        request.headers_mut().insert(header::HOST, host);
        self.calls.fetch_add(1, Ordering::Relaxed);
        let (response, lease) = match self.pool.send(&self.address, request, false).await {
            Ok(response) => response,
            Err(ExchangeError::NotSent(_) | ExchangeError::NotPermitted) => return Err(StoreError::Unavailable),
            Err(ExchangeError::NoResponse(_)) => return Err(StoreError::Unknown),
        };
        let (parts, body) = response.into_parts();
        let head = platform::decode_response_head(&parts.headers);
        let body = Limited::new(body, MAX_REPLY_BYTES).collect().await.map_err(|_| StoreError::Unknown)?.to_bytes();
        if !head.is_closing {
            self.pool.keep(lease, head.idle_timeout);
        }
        platform::decode_store_reply(call, parts.status, body)
    }

    /// Returns the shortest latency of a few calls; `None` if none succeeds.
    pub async fn measure_latency(&self) -> Option<Duration> {
        let clock = SystemClock::new();
        let call = short_read();
        let mut shortest: Option<Duration> = None;
        for _ in 0..LATENCY_SAMPLES {
            let sent_at = clock.now();
            if self.call_within(&call, DIRECT_TIMEOUT).await.is_ok() {
                let latency = clock.now().since(sent_at);
                shortest = Some(shortest.map_or(latency, |shortest| shortest.min(latency)));
            }
        }
        shortest
    }

    /// Makes a call with a timeout. A call that times out may have been applied, so it returns
    /// [`StoreError::Unknown`].
    pub async fn call_within(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        clock::timeout(limit, self.exchange(call)).await.unwrap_or(Err(StoreError::Unknown))
    }
}

/// Number of calls by which the latency of the store is measured. The first one opens the connection, and calls
/// are delayed while all nodes of a fleet start.
const LATENCY_SAMPLES: usize = 4;

/// Returns the read of at most one row, which the store answers as fast as any call.
fn short_read() -> StoreCall {
    StoreCall::Read {
        table: tables::STATE.into(),
        partition: tables::LEASES.into(),
        from: "".into(),
        to: "".into(),
        limit: 1,
    }
}

/// Returns the timeout of a call, including the time for which a watch waits for changes.
fn time_limit(call: &StoreCall, base: Duration) -> Duration {
    match call {
        StoreCall::Watch { wait_ms, .. } => base + Duration::from_millis(*wait_ms),
        _ => base,
    }
}

/// Returns the kind of a call and its partition, table or object, for the log.
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

/// Client that calls the store directly, or through a peer while the store is unavailable to this node.
pub struct RelayedStore {
    direct: Arc<DirectStore>,
    peers: Arc<PeerClient>,
    /// Whether direct calls come first; if not, peers are asked first until a probe succeeds.
    direct_access: Mutex<DirectAccess>,
    monotonic_clock: SystemClock,
    /// Notified when direct access is lost.
    access_lost: Notify,
    store_clock: Mutex<Option<StoreClock>>,
}

/// Reading of the store's clock.
#[derive(Clone, Copy)]
struct StoreClock {
    moment: StoreMoment,
    /// Time since boot at which the reply arrived.
    replied_at: Duration,
}

impl RelayedStore {
    /// Creates a client on top of a direct client and the peers.
    pub fn new(direct: Arc<DirectStore>, peers: Arc<PeerClient>) -> Self {
        Self {
            direct,
            peers,
            direct_access: Mutex::default(),
            monotonic_clock: SystemClock::new(),
            access_lost: Notify::new(),
            store_clock: Mutex::new(None),
        }
    }

    /// Waits before the retry of a call that failed `failures` times in a row. Waits for `pause`, or for the
    /// longer rate limit backoff if the store rejected the call for its rate. That backoff ends early
    /// when direct access is lost, because peers are asked from then on.
    pub async fn wait_before_retry(&self, error: StoreError, failures: u32, pause: Duration) {
        match error {
            StoreError::RateLimited => {
                let lost = self.access_lost.notified();
                // Either outcome, the timeout or the notification, leads to a retry.
                let _ = clock::timeout(rate_limit_backoff(failures, rand::random()), lost).await;
            }
            StoreError::Unavailable | StoreError::Unknown => clock::sleep(pause).await,
        }
    }

    /// Returns whether peers are asked first because the store does not serve this node.
    pub fn prefers_peers(&self) -> bool {
        self.direct_access.lock().unwrap().prefers_peers()
    }

    /// Returns the estimated time on the store's clock, in milliseconds, or 0 before the first reply.
    pub fn clock_ms(&self) -> u64 {
        let reading = *self.store_clock.lock().unwrap();
        reading.map_or(0, |reading| {
            reading.moment.clock_ms + millis(clock::since_boot().saturating_sub(reading.replied_at))
        })
    }

    async fn call_direct(&self, call: &StoreCall, limit: Duration) -> Result<StoreReply, StoreError> {
        let sent_at = self.monotonic_clock.now();
        let reply = self.direct.call_within(call, time_limit(call, limit)).await;
        let now = self.monotonic_clock.now();
        let failure = reply.as_ref().err().copied();
        let change = self.direct_access.lock().unwrap().record_result(sent_at, now, failure);
        match (change, failure) {
            (Some(AccessChange::Regained), _) => logs::write(event::STORE_REGAINED, &[]),
            (Some(AccessChange::Lost), Some(error)) => {
                let (kind, target) = describe(call);
                let ms = now.since(sent_at).as_millis();
                let fields: [(&str, &dyn std::fmt::Display); 4] =
                    [("call", &kind), ("place", &target), ("why", &error), ("ms", &ms)];
                logs::write(event::STORE_LOST, &fields);
                self.access_lost.notify_waiters();
            }
            _ => {}
        }
        reply
    }

    /// Probes the store with direct calls while direct access is lost. Runs until the process ends.
    pub async fn probe_direct(&self) {
        let call = short_read();
        loop {
            if !self.prefers_peers() {
                // A notification just before this is missed; the check then follows the timeout.
                let _ = clock::timeout(ACCESS_CHECK_INTERVAL, self.access_lost.notified()).await;
            }
            clock::sleep(PROBE_INTERVAL).await;
            if self.prefers_peers() {
                // `call_direct` records the outcome.
                let _ = self.call_direct(&call, DIRECT_TIMEOUT).await;
            }
        }
    }

    async fn call_relayed(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let (mut error, mut unknown_outcomes) = (StoreError::Unavailable, 0);
        for peer in self.peers.pick_relays(call) {
            match self.peers.relay(&peer, call, time_limit(call, CALL_TIMEOUT)).await {
                Ok(reply) => return Ok(reply),
                Err(StoreError::Unknown) => {
                    error = StoreError::Unknown;
                    unknown_outcomes += 1;
                    if unknown_outcomes == MAX_UNKNOWN_OUTCOMES {
                        break;
                    }
                }
                Err(StoreError::Unavailable) => {}
                // The store serves that peer, so it would apply the same rate limit to other peers.
                Err(StoreError::RateLimited) if error == StoreError::Unavailable => {
                    return Err(StoreError::RateLimited);
                }
                Err(StoreError::RateLimited) => return Err(error),
            }
        }
        Err(error)
    }

    fn record_clock(&self, reply: &Result<StoreReply, StoreError>) {
        let moment = match reply {
            Ok(StoreReply::Committed(moment) | StoreReply::Rows { moment, .. }) => *moment,
            Ok(StoreReply::Partitions { moment, .. }) => *moment,
            _ => return,
        };
        let mut store_clock = self.store_clock.lock().unwrap();
        // Replies may arrive out of order; an older reading is ignored.
        if store_clock.is_none_or(|latest| latest.moment.clock_ms <= moment.clock_ms) {
            *store_clock = Some(StoreClock { moment, replied_at: clock::since_boot() });
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
                // The store rejects every call of this node, also with the status of a rate limit. Peers may
                // serve the next attempt, so the error is theirs.
                Err(relayed) => match self.call_direct(call, DIRECT_TIMEOUT).await {
                    Err(StoreError::RateLimited) => Err(relayed),
                    direct => combine_results(direct, relayed),
                },
            }
        } else {
            let limit = if has_peers { DIRECT_TIMEOUT } else { CALL_TIMEOUT };
            match self.call_direct(call, limit).await {
                Ok(reply) => Ok(reply),
                // A rate limit also applies to peers, unless the store rejects every call of this node.
                Err(StoreError::RateLimited) if !self.prefers_peers() => Err(StoreError::RateLimited),
                Err(direct) if has_peers => combine_results(self.call_relayed(call).await, direct),
                Err(direct) => Err(direct),
            }
        };
        self.record_clock(&reply);
        reply
    }
}

/// Combines the results of two attempts at one call. If the first may have applied the call, a failure
/// of the second does not prove that nothing was done, so the outcome is unknown.
fn combine_results(second: Result<StoreReply, StoreError>, first: StoreError) -> Result<StoreReply, StoreError> {
    match (second, first) {
        (Err(StoreError::Unavailable | StoreError::RateLimited), StoreError::Unknown) => Err(StoreError::Unknown),
        (second, _) => second,
    }
}
