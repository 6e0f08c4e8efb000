//! One call for a duty: only under a lease that is held, within the platform's rate.

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
use trestlerack_platform::{self as platform, DutyAnswer, DutyHolder};

/// Time after which a call counts as lost, half a second more than a platform takes that is slowed
/// down by a hundred times.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest answer, in bytes; answers seen are empty.
const MAX_ANSWER: usize = 64 * 1024;

/// Share of the platform's rate that one duty uses: there are two, and two holders may follow each
/// other closely.
const RATE_SHARE: f64 = 0.25;

/// Makes the calls of one duty.
pub struct DutyCaller {
    gate: Mutex<DutyGate>,
    pause: Duration,
    not_before: Mutex<Timestamp>,
}

impl DutyCaller {
    /// Builds the caller of a process that starts now.
    pub fn new(node: &EntryNode) -> Self {
        let handover = node.live_settings().order_handover;
        let settings = DutySettings { call_time: CALL_TIMEOUT, handover };
        Self {
            gate: Mutex::new(DutyGate::new(settings, node.now())),
            pause: Duration::from_secs_f64(1.0 / (node.settings.duty_calls_per_s * RATE_SHARE)),
            not_before: Mutex::new(Timestamp::default()),
        }
    }

    /// Makes a call, or returns `None` if it must not be made now.
    pub async fn call(
        &self,
        node: &Arc<EntryNode>,
        encode: impl FnOnce(DutyHolder<'_>) -> Result<Request<Bytes>, platform::WireError>,
    ) -> Option<(u64, DutyAnswer)> {
        let now = node.now();
        // Checked next to the send, with nothing to wait for in between.
        let fence = node.lease.fence(now).filter(|_| !node.is_stopping())?;
        if now < *self.not_before.lock().unwrap() || !self.gate.lock().unwrap().may_call(now, fence) {
            return None;
        }
        let holder = DutyHolder { node: &node.settings.name, fence };
        let Ok(mut request) = encode(holder) else { return Some((fence, DutyAnswer::Refused)) };
        if let Ok(host) = node.settings.duty_service.parse() {
            request.headers_mut().insert(header::HOST, host);
        }
        self.gate.lock().unwrap().record_call(now, fence);
        *self.not_before.lock().unwrap() = now + self.pause;
        let answer = clock::timeout(CALL_TIMEOUT, exchange(node, request)).await;
        Some((fence, answer.unwrap_or(DutyAnswer::Unknown)))
    }
}

async fn exchange(node: &Arc<EntryNode>, request: Request<Bytes>) -> DutyAnswer {
    let (response, lease) = match node.pool.send(&node.settings.duty_service, request, false).await {
        Ok(answer) => answer,
        Err(ExchangeError::NotSent(_) | ExchangeError::NoAnswer(_)) => return DutyAnswer::Unknown,
    };
    let (parts, body) = response.into_parts();
    let head = platform::decode_reply_head(&parts.headers);
    let is_whole = Limited::new(body, MAX_ANSWER).collect().await.is_ok();
    if is_whole && !head.is_closing {
        node.pool.keep(lease, head.idle_limit);
    }
    platform::decode_duty_answer(parts.status)
}
