//! Writes numbered events through `simplelog`.

use simplelog::{Config, ConfigBuilder, LevelFilter, WriteLogger};
use std::fmt::{Display, Write};
use std::io;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use trestlerack::event::{LogEvent, Severity};

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

fn write_lines(waiting: &Receiver<Vec<u8>>) {
    let mut output = io::stdout();
    while let Ok(mut lines) = waiting.recv() {
        // What waits is written at once, since each write costs a system call.
        while let Ok(line) = waiting.try_recv() {
            lines.extend(line);
        }
        // Nobody is left to tell when standard output is closed.
        let _ = io::Write::write_all(&mut output, &lines);
        let _ = io::Write::flush(&mut output);
    }
}

/// Collects the pieces of a line and hands whole lines to the writing thread.
struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
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
            match self.lines.try_send(line) {
                Ok(()) => self.dropped = 0,
                Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.dropped += 1,
            }
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
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
