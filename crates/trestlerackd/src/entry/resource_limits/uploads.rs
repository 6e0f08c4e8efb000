//! Large request bodies that are being received. When memory runs short, the one that has reserved the
//! most memory for the bytes received so far is refused.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use trestlerack::Timestamp;
use trestlerack::process::{UploadStatus, upload_to_refuse};

/// State of a request body that is being received.
pub struct UploadState {
    started: Timestamp,
    /// Bytes reserved for the body.
    pub reserved: AtomicUsize,
    /// Bytes received so far.
    pub received: AtomicUsize,
    /// Notified when the body is to be refused.
    pub refused: Notify,
}

/// The large request bodies that are being received.
#[derive(Default)]
pub struct UploadTable {
    uploads: Mutex<HashMap<u64, Arc<UploadState>>>,
    next_id: AtomicU64,
}

/// Entry of a body in the table, which is removed on drop.
pub struct UploadGuard<'a> {
    table: &'a UploadTable,
    id: u64,
    /// State of the body.
    pub state: Arc<UploadState>,
}

impl UploadTable {
    /// Adds a body to the table until the guard is dropped.
    pub fn register(&self, now: Timestamp) -> UploadGuard<'_> {
        let state = Arc::new(UploadState {
            started: now,
            reserved: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            refused: Notify::new(),
        });
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        self.uploads.lock().unwrap().insert(id, state.clone());
        UploadGuard { table: self, id, state }
    }

    /// Refuses the upload that has reserved the most memory for its progress.
    pub fn refuse_one(&self, now: Timestamp) {
        let uploads = self.uploads.lock().unwrap();
        let status = |(id, state): (&u64, &Arc<UploadState>)| UploadStatus {
            id: *id,
            reserved: state.reserved.load(Ordering::Relaxed),
            received: state.received.load(Ordering::Relaxed),
            age: now.since(state.started),
        };
        let statuses: Vec<UploadStatus> = uploads.iter().map(status).collect();
        if let Some(state) = upload_to_refuse(&statuses).and_then(|id| uploads.get(&id)) {
            state.refused.notify_one();
        }
    }
}

impl Drop for UploadGuard<'_> {
    fn drop(&mut self) {
        self.table.uploads.lock().unwrap().remove(&self.id);
    }
}
