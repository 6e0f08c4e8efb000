//! State with the lifetime of a connection: link frames, correlation ids and the order of stream parts.

mod correlation;
mod frame;
mod reassembly;

pub use correlation::CorrelationIds;
pub use frame::{
    CallEvent, CallOutcome, CallSpec, DrainSource, DrainUpdate, GroupRequest, LinkFrame, NodeLoad, TokenChunk,
};
pub use reassembly::{ReassemblyError, StreamReassembler};
