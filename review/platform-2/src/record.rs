//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the time since the start, in milliseconds.
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
    pub fn line(&self, text: &str) {
        let ms = self.started.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{ms:>6} ms  {text}");
    }
}
