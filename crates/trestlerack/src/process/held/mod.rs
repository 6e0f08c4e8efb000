//! What a node holds for slow callers: how much, for what, and what gives way when it nears its bound.
//!
//! Memory and descriptors of a VM are bounded by its settings; see
//! [docs/design/held-memory.md](../../../../../docs/design/held-memory.md).

mod descriptors;
mod ledger;
mod rates;
mod relief;

pub use descriptors::{DescriptorBoard, DescriptorBounds, DescriptorKind, DescriptorSeat, IdleClient, longest_idle};
pub use ledger::{
    ByteLedger, CONNECTION_BYTES, HeldBounds, HeldBytes, HeldPurpose, LedgerView, REQUEST_BYTES, SMALL_BYTES,
    STREAM_BYTES, TakeRefusal,
};
pub use rates::{ReadPace, SendPace};
pub use relief::{ReaderView, SenderView, is_pressed, reader_to_cut, run_limit, sender_to_refuse};
