//! What lives as long as a connection: link frames, correlation ids and stream order.

mod correlation;
mod frame;
mod reassembly;

pub use correlation::CorrelationIds;
pub use frame::{
    BackendNews, CallEvent, CallOutcome, CallSpec, GroupWanted, LinkFrame, NewsSource, NodeLoad, TokenChunk,
};
pub use reassembly::{ReassemblyError, StreamReassembler};
