//! Writes numbered events through `simplelog`.

use simplelog::{Config, ConfigBuilder, LevelFilter, WriteLogger};
use std::fmt::{Display, Write};
use std::io;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;
use trestlerack::event::{self, LogEvent, Severity};

/// Lines that wait to be written before further ones are dropped and counted.
const MAX_WAITING_LINES: usize = 2_048;

/// Starts logging to standard error at a level.
pub fn start(level: &str) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse()?;
    WriteLogger::init(level, log_config(), io::stderr())?;
    Ok(())
}

/// Starts logging to standard output at a level, bounded and without ever blocking: a thread of
/// its own writes the lines, and lines that it cannot keep up with are dropped and counted.
pub fn start_bounded(level: &str) -> anyhow::Result<()> {
    let level: LevelFilter = level.parse()?;
    let (lines, waiting) = sync_channel(MAX_WAITING_LINES);
    std::thread::Builder::new().name("log".into()).spawn(move || write_lines(&waiting))?;
    WriteLogger::init(level, log_config(), BoundedWriter { lines, line: Vec::new(), dropped: 0 })?;
    Ok(())
}

fn log_config() -> Config {
    ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("trestlerack").build()
}

/// Logs for how long the VM was suspended.
pub fn write_suspension(suspended: Duration) {
    write(event::VM_RESUMED, &[("suspended_ms", &suspended.as_millis())]);
}

/// What the writing thread is handed.
enum LogPiece {
    /// A whole line.
    Line(Vec<u8>),
    /// Everything before this is to be written; the sender is dropped once it is.
    Flush(SyncSender<()>),
}

fn write_lines(waiting: &Receiver<LogPiece>) {
    let mut output = io::stdout();
    while let Ok(first) = waiting.recv() {
        let (mut lines, mut flushes) = (Vec::new(), Vec::new());
        // What waits is written at once, since each write costs a system call.
        for piece in std::iter::once(first).chain(waiting.try_iter()) {
            match piece {
                LogPiece::Line(line) => lines.extend(line),
                LogPiece::Flush(done) => flushes.push(done),
            }
        }
        // Nobody is left to tell when standard output is closed.
        let _ = io::Write::write_all(&mut output, &lines);
        let _ = io::Write::flush(&mut output);
    }
}

/// Longest time that the end of the process waits for its last lines.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// Collects the pieces of a line and hands whole lines to the writing thread.
struct BoundedWriter {
    lines: SyncSender<LogPiece>,
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
            match self.lines.try_send(LogPiece::Line(line)) {
                Ok(()) => self.dropped = 0,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
            }
        }
        Ok(bytes.len())
    }

    /// Waits, for a short time only, until everything is written; called once, at the end.
    fn flush(&mut self) -> io::Result<()> {
        let (done, written) = sync_channel(0);
        if self.lines.try_send(LogPiece::Flush(done)).is_ok() {
            // Ends with an error as soon as the thread drops the other side.
            let _ = written.recv_timeout(FLUSH_TIME);
        }
        Ok(())
    }
}

/// Writes an event with its fields as `key=value`.
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
