//! Records the events and actions of state machines, for `trestlerack replay`.

use serde::Serialize;
use std::collections::HashMap;
use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;
use trestlerack::Timestamp;
use trestlerack::trace::{TraceHead, TraceLine};

/// Writes one trace file per state machine, or nothing if the settings name no directory.
pub struct TraceRecorder {
    dir: Option<PathBuf>,
    files: Mutex<HashMap<String, File>>,
}

impl TraceRecorder {
    /// Builds a recorder that writes into `dir`, or writes nothing if `dir` is empty.
    pub fn new(dir: &str) -> Self {
        let dir = (!dir.is_empty()).then(|| PathBuf::from(dir));
        Self { dir, files: Mutex::default() }
    }

    /// Encodes an event for the trace, before its state machine consumes it. Returns `None` if nothing is
    /// recorded.
    pub fn capture(&self, event: &impl Serialize) -> Option<serde_json::Value> {
        self.dir.as_ref()?;
        serde_json::to_value(event).ok()
    }

    /// Records the actions with which the state machine `name` responded to a captured event.
    pub fn record(
        &self,
        name: &str,
        head: impl FnOnce() -> TraceHead,
        at: Timestamp,
        event: Option<serde_json::Value>,
        actions: &impl Serialize,
    ) {
        let (Some(dir), Some(event)) = (&self.dir, event) else { return };
        let Ok(actions) = serde_json::to_value(actions) else { return };
        let mut files = self.files.lock().unwrap();
        if !files.contains_key(name) {
            let Ok(file) = File::create(dir.join(format!("{name}.jsonl"))) else { return };
            write_line(&file, &head());
            files.insert(name.to_owned(), file);
        }
        write_line(&files[name], &TraceLine { at, event, actions });
    }
}

/// Writes one line. A line that cannot be written is missing from the trace, and the replay reports that.
fn write_line(mut file: &File, line: &impl Serialize) {
    if let Ok(text) = serde_json::to_string(line) {
        let _ = writeln!(file, "{text}");
    }
}
