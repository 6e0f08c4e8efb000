//! Decision core of the trestlerack rollout service.
//!
//! Nothing in this crate opens a socket, reads a clock, starts a thread or draws from a global
//! random source: every decision maker is a plain struct that is fed typed events and a
//! [`Timestamp`] and answers with typed actions. The daemon carries the actions out. This is what
//! lets a recorded trace be replayed and a property test drive fault orders quickly; the reasons
//! are in [docs/DESIGN.md](../../../docs/DESIGN.md).
//!
//! Modules are laid out by the life span of what they hold: [`request`], [`connection`],
//! [`version`] and [`process`].
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

pub use allowed_zones::PlaceSet;
pub use time::Timestamp;
pub use verdict::{Failure, Verdict};

/// A shared immutable name of a node, zone, backend server, campaign or user.
pub type Name = std::sync::Arc<str>;
