//! How long a service is expected to take for one more call.

use std::time::Duration;

/// What is expected of a service at one moment, as one node believes it.
///
/// Admission and the choice of a server use the same estimate; see
/// [docs/design/uneven-load.md](../../../../docs/design/uneven-load.md).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WaitEstimate {
    /// Time until a place is free.
    pub wait: Duration,
    /// Time that the work takes then; zero while none is known.
    pub work: Duration,
    /// Calls that the servers which take work run at once.
    pub places: u32,
    /// How many of these are free.
    pub free: u32,
    /// Age of the youngest stated load that this rests on; `None` where it rests on this node's own
    /// calls only.
    pub age: Option<Duration>,
}

impl WaitEstimate {
    /// Returns whether a call that came now would be answered within `left`.
    pub fn fits(&self, left: Duration) -> bool {
        self.wait.saturating_add(self.work) <= left
    }
}
