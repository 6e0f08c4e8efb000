//! Failures of requests. Each has a verdict, which states whether the request may have run.

use crate::Name;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// States whether a failed request may have had an effect on a backend server.
///
/// [docs/API.md](../../../docs/API.md) describes how the verdict is returned to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// No byte of the request can have reached a backend server.
    NotRun,
    /// Bytes were sent, but no complete answer was received.
    MayHaveRun,
    /// The backend server answered, so the request ran.
    Ran,
}

impl Verdict {
    /// Returns the name used in headers and problem documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        }
    }

    /// Returns the verdict for a request after two attempts: the one that assumes more was run.
    pub fn worst(self, other: Self) -> Self {
        self.max(other)
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// The reason why a request failed, in categories that callers can handle.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request itself is malformed or names something unknown.
    BadRequest,
    /// The caller's key is missing or wrong.
    Unauthorized,
    /// The caller's key is valid but does not permit this call.
    Forbidden,
    /// The requested resource does not exist.
    NotFound,
    /// The request conflicts with one accepted before.
    Conflict,
    /// The body is larger than the limit in the settings.
    TooLarge,
    /// The caller's rate limit is exceeded.
    RateLimited,
    /// The projected queue delay is past the caller's deadline, or the queue is full.
    Overloaded,
    /// The deadline passed before the answer was complete.
    DeadlineExceeded,
    /// No backend server in an allowed zone can serve the request now.
    NoBackend,
    /// The backend server or the connection to it failed.
    BackendFailed,
    /// Several backend servers crashed while they ran the same content, so it is blocked for a while.
    ContentHeld,
    /// The request cannot be answered safely, because the platform's store is unreachable.
    StoreUnavailable,
    /// The node is stopping.
    Stopping,
    /// The result is not available yet.
    NotReady,
    /// A sample of the step is older than the campaign allows.
    TooStale,
}

impl Reason {
    /// Returns the HTTP status code for this reason.
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Conflict | Self::TooStale => 409,
            Self::TooLarge => 413,
            Self::NotReady => 425,
            Self::RateLimited => 429,
            Self::BackendFailed => 502,
            Self::Overloaded | Self::NoBackend | Self::ContentHeld | Self::StoreUnavailable | Self::Stopping => 503,
            Self::DeadlineExceeded => 504,
        }
    }

    /// Returns the stable kebab-case name, used as the problem type and in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad-request",
            Self::Unauthorized => "unauthorized",
            Self::Forbidden => "forbidden",
            Self::NotFound => "not-found",
            Self::Conflict => "conflict",
            Self::TooLarge => "too-large",
            Self::RateLimited => "rate-limited",
            Self::Overloaded => "overloaded",
            Self::DeadlineExceeded => "deadline-exceeded",
            Self::NoBackend => "no-backend",
            Self::BackendFailed => "backend-failed",
            Self::ContentHeld => "content-held",
            Self::StoreUnavailable => "store-unavailable",
            Self::Stopping => "stopping",
            Self::NotReady => "not-ready",
            Self::TooStale => "too-stale",
        }
    }
}

/// A failed request, with the reason, the verdict and an optional retry delay.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Failure {
    /// Why the request failed.
    pub reason: Reason,
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Human-readable description.
    pub detail: Name,
    /// Delay after which the caller should retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Builds a failure of a request of which no byte was sent to a backend server.
    pub fn not_run(reason: Reason, detail: impl Into<Name>) -> Self {
        Self { reason, verdict: Verdict::NotRun, detail: detail.into(), retry_after: None }
    }

    /// Builds a failure of a request that was sent, but not completely answered.
    pub fn may_have_run(reason: Reason, detail: impl Into<Name>) -> Self {
        Self { verdict: Verdict::MayHaveRun, ..Self::not_run(reason, detail) }
    }

    /// Returns the failure with a retry delay.
    #[must_use]
    pub fn retry_after(self, wait: Duration) -> Self {
        Self { retry_after: Some(wait), ..self }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} ({}): {}", self.reason.as_str(), self.verdict, self.detail)
    }
}

impl std::error::Error for Failure {}
