//! What a node holds for slow callers: how much, for what, and what gives way when it nears its bound.
//!
//! Memory and descriptors of a VM are bounded by its settings; see
//! [docs/design/held-memory.md](../../../../../docs/design/held-memory.md).

mod connections;
mod load_shedding;
mod memory;
mod transfer_progress;

pub use connections::{DescriptorBoard, DescriptorBounds, DescriptorKind, DescriptorSeat, IdleClient, longest_idle};
pub use load_shedding::{ReaderView, SenderView, is_pressed, reader_to_cut, run_limit, sender_to_refuse};
pub use memory::{
    ByteLedger, CONNECTION_BYTES, HeldBounds, HeldBytes, HeldPurpose, LedgerView, REQUEST_BYTES, SMALL_BYTES,
    STREAM_BYTES, TakeRefusal,
};
pub use transfer_progress::{ReadPace, SendPace};
