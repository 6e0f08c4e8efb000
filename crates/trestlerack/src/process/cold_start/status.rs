//! What operators see of cold engines.

use crate::Name;
use std::time::Duration;

/// What a node knows of the temperature of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineWarmth {
    /// It is warm.
    Warm,
    /// It stays cold for this time.
    Cold(Duration),
    /// The node's information is too old, or the engine may have become cold meanwhile.
    Unknown,
}

impl EngineWarmth {
    /// Returns the value in lists and log events.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::Cold(_) => "cold",
            Self::Unknown => "unknown",
        }
    }
}

/// State of one engine of a service with a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdStatus {
    /// The engine.
    pub engine: Name,
    /// Its service.
    pub service: Name,
    /// Whether it is cold.
    pub warmth: EngineWarmth,
    /// Requests per second that this node may send to it now; `None` if that is not limited.
    pub allotment: Option<u32>,
    /// Requests that this node sent to it in the last second.
    pub sent: usize,
}

/// An engine became cold or warm.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The engine.
    pub engine: Name,
    /// Whether it is cold now.
    pub warmth: EngineWarmth,
}
