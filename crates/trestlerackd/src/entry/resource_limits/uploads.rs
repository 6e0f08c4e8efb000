//! Large bodies that are being read, so that the one that holds most for its progress can be refused.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;
use trestlerack::Timestamp;
use trestlerack::process::{UploadStatus, upload_to_refuse};

/// A body that is being read.
pub struct BodyWatch {
    started: Timestamp,
    /// Bytes that are held for it.
    pub held: AtomicUsize,
    /// Bytes that came.
    pub received: AtomicUsize,
    /// Tells that it is to be refused.
    pub refused: Notify,
}

/// The large bodies that are being read.
#[derive(Default)]
pub struct BodyTable {
    watches: Mutex<HashMap<u64, Arc<BodyWatch>>>,
    next: AtomicU64,
}

/// A place in the table; dropping it leaves it.
pub struct BodyPlace<'a> {
    table: &'a BodyTable,
    id: u64,
    /// What is known of the body.
    pub watch: Arc<BodyWatch>,
}

impl BodyTable {
    /// Enters a body.
    pub fn enter(&self, now: Timestamp) -> BodyPlace<'_> {
        let watch = Arc::new(BodyWatch {
            started: now,
            held: AtomicUsize::new(0),
            received: AtomicUsize::new(0),
            refused: Notify::new(),
        });
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        self.watches.lock().unwrap().insert(id, watch.clone());
        BodyPlace { table: self, id, watch }
    }

    /// Has the sender refused that holds most for its progress.
    pub fn relieve(&self, now: Timestamp) {
        let watches = self.watches.lock().unwrap();
        let view = |(id, watch): (&u64, &Arc<BodyWatch>)| UploadStatus {
            id: *id,
            reserved: watch.held.load(Ordering::Relaxed),
            received: watch.received.load(Ordering::Relaxed),
            age: now.since(watch.started),
        };
        let views: Vec<UploadStatus> = watches.iter().map(view).collect();
        if let Some(watch) = upload_to_refuse(&views).and_then(|id| watches.get(&id)) {
            watch.refused.notify_one();
        }
    }
}

impl Drop for BodyPlace<'_> {
    fn drop(&mut self) {
        self.table.watches.lock().unwrap().remove(&self.id);
    }
}
