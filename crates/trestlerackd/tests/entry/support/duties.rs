//! The platform's interface for duties, by its published page: it takes calls and remembers them.

use super::server::{reply, serve};
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time within which two holders must not take turns, as the daemons of tests are told.
const TURN_TIME: Duration = Duration::from_millis(300);

/// A call that came.
#[derive(Clone, Debug)]
pub struct DutyCall {
    pub path: String,
    pub holder: String,
    pub fence: u64,
    pub body: Value,
    pub at: Instant,
    /// Status that it got; 0 for none.
    pub status: u16,
}

impl DutyCall {
    /// Returns whether the platform took it.
    pub fn is_taken(&self) -> bool {
        matches!(self.status, 0 | 200)
    }
}

#[derive(Default)]
struct DutyState {
    calls: Vec<DutyCall>,
    /// Statuses of the next calls; 0 takes the call and loses its answer.
    next: Vec<u16>,
}

/// The interface.
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
                let status = if state.next.is_empty() { 200 } else { state.next.remove(0) };
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

    /// Answers the next calls with these statuses; 0 takes a call and loses its answer.
    pub fn answer_next(&self, statuses: &[u16]) {
        self.state.lock().unwrap().next.extend(statuses);
    }

    /// Returns the calls to a path so far.
    pub fn calls(&self, path: &str) -> Vec<DutyCall> {
        self.state.lock().unwrap().calls.iter().filter(|call| call.path == path).cloned().collect()
    }

    /// Checks what must hold of all calls to a path: fencing numbers never fall, none has two
    /// holders, holders take no turns within `TURN_TIME`, and a window has one report only.
    pub fn check(&self, path: &str) {
        let calls = self.calls(path);
        for pair in calls.windows(2) {
            assert!(pair[0].fence <= pair[1].fence, "{pair:?}");
            assert!(pair[0].fence != pair[1].fence || pair[0].holder == pair[1].holder, "{pair:?}");
        }
        for three in calls.windows(3) {
            let [first, middle, last] = three else { unreachable!("windows of three") };
            let takes_turns = first.holder == last.holder && middle.holder != last.holder;
            assert!(!takes_turns || last.at - first.at > TURN_TIME, "{first:?} {middle:?} {last:?}");
        }
        for call in calls.iter().filter(|call| call.path == "/usage") {
            let same = |other: &&DutyCall| other.body["window"] == call.body["window"];
            assert!(calls.iter().filter(same).all(|other| other.body == call.body), "{calls:?}");
        }
    }
}
