//! Writes numbered log events through `simplelog`.

use simplelog::{Config, ConfigBuilder, LevelFilter, WriteLogger};
use std::fmt::{Display, Write};
use std::io;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;
use trestlerack::event::{self, LogEvent, Severity};

/// Lines queued for writing; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;

/// Starts logging to standard error at a level.
pub fn start(level: &str) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse()?;
    WriteLogger::init(level, log_config(), io::stderr())?;
    Ok(())
}

/// Starts logging to standard output at a level, without ever blocking the caller. A separate thread
/// writes the lines from a bounded queue; lines that do not fit are dropped and counted.
pub fn start_bounded(level: &str) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse()?;
    let (sender, messages) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new().name("log".into()).spawn(move || write_lines(&messages))?;
    WriteLogger::init(level, log_config(), BoundedWriter { sender, line: Vec::new(), dropped: 0 })?;
    Ok(())
}

fn log_config() -> Config {
    ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("trestlerack").build()
}

/// Logs how long the VM was suspended.
pub fn log_suspension(suspended: Duration) {
    write(event::VM_RESUMED, &[("suspended_ms", &suspended.as_millis())]);
}

/// Message to the writer thread.
enum WriterMessage {
    /// A complete line.
    Line(Vec<u8>),
    /// Asks that all earlier lines be written. The sender is dropped once they are.
    Flush(SyncSender<()>),
}

fn write_lines(messages: &Receiver<WriterMessage>) {
    let mut output = io::stdout();
    while let Ok(first) = messages.recv() {
        let (mut lines, mut flushes) = (Vec::new(), Vec::new());
        // All queued lines are written together, since each write costs a system call.
        for message in std::iter::once(first).chain(messages.try_iter()) {
            match message {
                WriterMessage::Line(line) => lines.extend(line),
                WriterMessage::Flush(done) => flushes.push(done),
            }
        }
        // If standard output is closed, the error cannot be reported anywhere.
        let _ = io::Write::write_all(&mut output, &lines);
        let _ = io::Write::flush(&mut output);
    }
}

/// Longest time that a process that ends waits for its last lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Collects the parts of a line and sends complete lines to the writer thread.
struct BoundedWriter {
    sender: SyncSender<WriterMessage>,
    line: Vec<u8>,
    dropped: u64,
}

impl io::Write for BoundedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            let mut line = std::mem::take(&mut self.line);
            if self.dropped > 0 {
                line.extend_from_slice(format!("log lines dropped={}\n", self.dropped).as_bytes());
            }
            match self.sender.try_send(WriterMessage::Line(line)) {
                Ok(()) => self.dropped = 0,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
            }
        }
        Ok(bytes.len())
    }

    /// Waits until all lines are written, for at most `FLUSH_TIMEOUT`. Called once, when the process ends.
    fn flush(&mut self) -> io::Result<()> {
        let (done, written) = sync_channel(0);
        if self.sender.try_send(WriterMessage::Flush(done)).is_ok() {
            // Returns an error as soon as the writer thread drops the sender, which means that all is written.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

/// Writes an event followed by its fields as `key=value`.
pub fn write(event: LogEvent, fields: &[(&str, &dyn Display)]) {
    let level = match event.severity {
        Severity::Error => log::Level::Error,
        Severity::Warn => log::Level::Warn,
        Severity::Info => log::Level::Info,
    };
    if !log::log_enabled!(level) {
        return;
    }
    let mut line = event.to_string();
    for (key, value) in fields {
        let value = value.to_string();
        let needs_quotes = value.is_empty() || value.contains([' ', '"', '=', '\n']);
        let written = if needs_quotes { write!(line, " {key}={value:?}") } else { write!(line, " {key}={value}") };
        debug_assert!(written.is_ok(), "writing to a string cannot fail");
    }
    log::log!(level, "{line}");
}
