//! Stand-in for the platform's duty interface, as its published page describes it, which records the calls.

use super::server::{reply, serve};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Minimum time between two calls of a holder with another holder's call in between, as in the settings of test
/// daemons.
const MIN_HANDBACK_TIME: Duration = Duration::from_millis(300);

/// A received call.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: Value,
    pub at: Instant,
    /// Response status; 0 if there was no response.
    pub status: u16,
}

impl DutyCall {
    /// Returns whether the platform accepted the call, also if the response was lost.
    pub fn is_accepted(&self) -> bool {
        matches!(self.status, 0 | 200)
    }
}

#[derive(Default)]
struct DutyState {
    calls: Vec<DutyCall>,
    /// Statuses of the next calls; 0 accepts the call and sends no response.
    next_statuses: Vec<u16>,
}

/// The platform's duty interface.
#[derive(Clone)]
pub struct DutyPlatform {
    state: Arc<Mutex<DutyState>>,
    pub address: SocketAddr,
}

impl DutyPlatform {
    pub fn start() -> Self {
        let state: Arc<Mutex<DutyState>> = Arc::default();
        let handler_state = state.clone();
        let address = serve(move |request, stream| {
            let status = {
                let mut state = handler_state.lock().unwrap();
                let status = if state.next_statuses.is_empty() { 200 } else { state.next_statuses.remove(0) };
                state.calls.push(DutyCall {
                    path: request.path.clone(),
                    holder: request.headers["lease-holder"].clone(),
                    fence: request.headers["fencing-token"].parse().unwrap(),
                    body: serde_json::from_slice(&request.body).unwrap(),
                    at: Instant::now(),
                    status,
                });
                status
            };
            if status == 0 {
                std::thread::sleep(Duration::from_millis(1_500));
                return false;
            }
            reply(stream, status, &[], "")
        });
        Self { state, address }
    }

    /// Sets the response statuses of the next calls; 0 accepts a call and sends no response.
    pub fn respond_next(&self, statuses: &[u16]) {
        self.state.lock().unwrap().next_statuses.extend(statuses);
    }

    /// Returns the calls to a path so far.
    pub fn calls(&self, path: &str) -> Vec<DutyCall> {
        self.state.lock().unwrap().calls.iter().filter(|call| call.path == path).cloned().collect()
    }

    /// Checks all calls to a path: fencing tokens never decrease, none is used by two holders, calls do not alternate
    /// between holders within `MIN_HANDBACK_TIME`, and a window has only one report.
    pub fn check(&self, path: &str) {
        let calls = self.calls(path);
        for pair in calls.windows(2) {
            assert!(pair[0].fence <= pair[1].fence, "{pair:?}");
            assert!(pair[0].fence != pair[1].fence || pair[0].holder == pair[1].holder, "{pair:?}");
        }
        for triple in calls.windows(3) {
            let [first, middle, last] = triple else { unreachable!("windows of three") };
            let is_handed_back = first.holder == last.holder && middle.holder != last.holder;
            assert!(!is_handed_back || last.at - first.at > MIN_HANDBACK_TIME, "{first:?} {middle:?} {last:?}");
        }
        for call in calls.iter().filter(|call| call.path == "/usage") {
            let same = |other: &&DutyCall| other.body["window"] == call.body["window"];
            assert!(calls.iter().filter(same).all(|other| other.body == call.body), "{calls:?}");
        }
    }
}
