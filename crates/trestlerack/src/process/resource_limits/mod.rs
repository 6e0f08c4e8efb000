//! Limits on the memory and connections that slow clients can occupy, and load shedding near these limits.
//!
//! The limits follow from the memory and descriptors of the VM in the settings; see
//! [docs/design/held-memory.md](../../../../../docs/design/held-memory.md).

mod connections;
mod load_shedding;
mod memory;
mod transfer_progress;

pub use connections::{
    ConnectionCounter, ConnectionKind, ConnectionLimits, ConnectionPermit, IdleClient, longest_idle,
};
pub use load_shedding::{DownloadStatus, UploadStatus, download_to_close, is_near_limit, run_limit, upload_to_refuse};
pub use memory::{
    CONNECTION_BYTES, MemoryLimits, MemoryPool, MemoryPurpose, MemoryReservation, MemoryUsage, REQUEST_BYTES,
    ReserveError, SMALL_BYTES, STREAM_BYTES,
};
pub use transfer_progress::{DownloadProgress, UploadProgress};
