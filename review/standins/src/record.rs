//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file of the record.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    /// Writes a line.
    pub fn write(&self, line: &str) {
        // A record that can't be written shows in the missing lines.
        let _ = writeln!(self.file.lock().unwrap(), "{:9.3} {line}", self.started.elapsed().as_secs_f64());
    }

    /// Returns a moment in seconds since the start of the case.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}
