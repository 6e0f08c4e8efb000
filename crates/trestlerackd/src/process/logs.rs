//! Writes numbered events through `simplelog`.

use simplelog::{ConfigBuilder, LevelFilter, WriteLogger};
use std::fmt::{Display, Write};
use trestlerack::event::{LogEvent, Severity};
use trestlerack::process::DaemonSettings;

/// Starts logging to standard error at the level of the settings.
pub fn start(settings: &DaemonSettings) -> anyhow::Result<()> {
    let level: LevelFilter = settings.log_level.parse()?;
    let config = ConfigBuilder::new().set_time_format_rfc3339().add_filter_allow_str("trestlerack").build();
    WriteLogger::init(level, config, std::io::stderr())?;
    Ok(())
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
