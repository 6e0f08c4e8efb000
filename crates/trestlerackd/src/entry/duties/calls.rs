//! Calls to the platform for a duty, made only while this node holds the lease and within the platform's rate limit.

use crate::entry::node::EntryNode;
use crate::entry::pool::ExchangeError;
use crate::process::clock;
use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt, Limited};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use trestlerack::Timestamp;
use trestlerack::process::{DutyGate, DutySettings};
use trestlerack_platform::{self as platform, DutyOutcome, LeaseHolder};

/// Time after which a call counts as lost. It is half a second more than the platform takes when it is slowed down
/// a hundredfold.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum size of a response body, in bytes. The platform's response bodies are empty.
const MAX_RESPONSE_BYTES: usize = 64 * 1024;

/// Fraction of the platform's rate limit that one duty uses. There are two duties, and the calls of two lease holders
/// may follow each other closely.
const RATE_SHARE: f64 = 0.25;

/// Makes the platform calls of one duty.
pub struct DutyCaller {
    gate: Mutex<DutyGate>,
    /// Minimum time between two calls.
    min_interval: Duration,
    /// Earliest time of the next call.
    next_call_at: Mutex<Timestamp>,
}

impl DutyCaller {
    /// Builds the caller of a process that starts now.
    pub fn new(node: &EntryNode) -> Self {
        let handover = node.live_settings().order_handover;
        let settings = DutySettings { call_time: CALL_TIMEOUT, handover };
        Self {
            gate: Mutex::new(DutyGate::new(settings, node.now())),
            min_interval: Duration::from_secs_f64(1.0 / (node.settings.duty_calls_per_s * RATE_SHARE)),
            next_call_at: Mutex::new(Timestamp::default()),
        }
    }

    /// Makes a call and returns its fencing token and answer, or returns `None` if it must not be made now.
    pub async fn call(
        &self,
        node: &Arc<EntryNode>,
        encode: impl FnOnce(LeaseHolder<'_>) -> Result<Request<Bytes>, platform::WireError>,
    ) -> Option<(u64, DutyOutcome)> {
        let now = node.now();
        // The lease is checked right before the call is sent, without an await in between.
        let fence = node.lease.fence(now).filter(|_| !node.is_stopping())?;
        if now < *self.next_call_at.lock().unwrap() || !self.gate.lock().unwrap().may_call(now, fence) {
            return None;
        }
        let holder = LeaseHolder { node: &node.settings.name, fence };
        let Ok(mut request) = encode(holder) else { return Some((fence, DutyOutcome::Refused)) };
        if let Ok(host) = node.settings.duty_service.parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        self.gate.lock().unwrap().record_call(now, fence);
        *self.next_call_at.lock().unwrap() = now + self.min_interval;
        let answer = clock::timeout(CALL_TIMEOUT, exchange(node, request)).await;
        Some((fence, answer.unwrap_or(DutyOutcome::Unknown)))
    }
}

async fn exchange(node: &Arc<EntryNode>, request: Request<Bytes>) -> DutyOutcome {
    let (response, connection) = match node.pool.send(&node.settings.duty_service, request, false).await {
        Ok(answer) => answer,
        Err(ExchangeError::NotSent(_) | ExchangeError::NotPermitted | ExchangeError::NoResponse(_)) => {
            return DutyOutcome::Unknown;
        }
    };
    let (parts, body) = response.into_parts();
    let head = platform::decode_response_head(&parts.headers);
    let is_complete = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.is_ok();
    if is_complete && !head.is_closing {
        node.pool.keep(connection, head.idle_timeout);
    }
    platform::decode_duty_outcome(parts.status)
}
