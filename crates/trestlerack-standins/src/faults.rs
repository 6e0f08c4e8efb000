//! Faults on command, shared by all stand-ins.

use crate::server::{Answer, Dropped, ReadRequest, json, status};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// What a stand-in does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMode {
    /// Nothing.
    #[default]
    None,
    /// Refuses every call without acting.
    Down,
    /// Answers late.
    Slow,
    /// Acts and then drops the connection instead of answering.
    LoseAnswer,
    /// Accepts a write twice, which no sound store does.
    DoubleWrite,
    /// Drops connections in the middle of a stream.
    Crash,
    /// Stops answering and streaming.
    Freeze,
    /// Names a version that it does not hold.
    Mislabel,
    /// Names no version.
    Unlabelled,
    /// Fails to swap weights.
    SwapFails,
    /// Answers every call with an error.
    BadAnswers,
    /// Says that it is leaving.
    Leaving,
    /// Ends its process when it runs a record that begins with [`FATAL_RECORD`].
    Exit,
}

/// Begins the records that end a service in the mode [`FaultMode::Exit`].
pub const FATAL_RECORD: &str = "fatal";

/// An order to fail.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
pub struct FaultOrder {
    /// What to do wrong.
    pub mode: FaultMode,
    /// For how long, in milliseconds; until the next order if left out.
    #[serde(default)]
    pub for_ms: Option<u64>,
    /// How many calls it touches; all of them if left out.
    #[serde(default)]
    pub count: Option<u64>,
    /// How late a slow answer is, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

#[derive(Default)]
struct FaultState {
    order: FaultOrder,
    ends: Option<Instant>,
}

/// The fault in force.
#[derive(Default)]
pub struct Faults {
    state: Mutex<FaultState>,
}

impl Faults {
    /// Takes an order from `POST /faults`.
    pub fn order(&self, request: &ReadRequest) -> Answer {
        let Some(order) = request.json::<FaultOrder>() else { return status(StatusCode::BAD_REQUEST) };
        let ends = order.for_ms.map(|millis| Instant::now() + Duration::from_millis(millis));
        *self.state.lock().unwrap() = FaultState { order, ends };
        json(&order.mode)
    }

    /// Returns the fault in force without counting.
    pub fn mode(&self) -> FaultMode {
        let mut state = self.state.lock().unwrap();
        let is_over = state.ends.is_some_and(|ends| Instant::now() >= ends) || state.order.count == Some(0);
        if is_over {
            *state = FaultState::default();
        }
        state.order.mode
    }

    /// Returns the fault in force if it is `mode`, and counts this call.
    pub fn strikes(&self, mode: FaultMode) -> bool {
        if self.mode() != mode {
            return false;
        }
        let mut state = self.state.lock().unwrap();
        if let Some(count) = &mut state.order.count {
            *count -= 1;
        }
        true
    }

    /// Refuses or delays a call before the stand-in acts on it.
    pub async fn before(&self) -> Result<(), Answer> {
        if self.strikes(FaultMode::Down) {
            return Err(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        if self.mode() == FaultMode::Slow {
            let delay = self.state.lock().unwrap().order.delay_ms;
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
        while self.mode() == FaultMode::Freeze {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Ok(())
    }

    /// Loses an answer after the stand-in acted.
    pub fn after(&self, answer: Answer) -> Answer {
        if self.strikes(FaultMode::LoseAnswer) { Err(Dropped) } else { answer }
    }
}
