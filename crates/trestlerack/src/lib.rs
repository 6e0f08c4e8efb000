//! Decision core of the trestlerack rollout service.
//!
//! Nothing in this crate opens a socket, reads a clock, starts a thread or uses a global random number
//! generator. Each decision is made by a deterministic state machine: a plain struct that takes typed
//! events and a [`Timestamp`] and returns typed actions, which the daemon carries out. Recorded traces
//! can therefore be replayed, and property tests can try many orders of faults quickly. The reasons
//! are in [docs/DESIGN.md](../../../docs/DESIGN.md).
//!
//! Modules are grouped by the lifetime of their state: [`request`], [`connection`], [`version`] and
//! [`process`].
//!
//! ```
//! use trestlerack::version::{StalenessRule, SampleAge};
//!
//! let rule = StalenessRule { max_versions: 2, max_seconds: None };
//! assert!(rule.accepts(SampleAge { versions: 2, seconds: 40 }));
//! assert!(!rule.accepts(SampleAge { versions: 3, seconds: 40 }));
//! ```

pub mod allowed_zones;
pub mod connection;
pub mod event;
pub mod hash;
pub mod interfaces;
pub mod process;
pub mod request;
pub mod rows;
pub mod schema;
pub mod time;
pub mod trace;
pub mod verdict;
pub mod version;

pub use allowed_zones::AllowedZones;
pub use time::Timestamp;
pub use verdict::{Failure, Verdict};

/// A shared immutable string, such as the name of a node, zone, backend server, campaign or user.
pub type Name = std::sync::Arc<str>;
