//! Sets up the log: numbered events on standard error, as text or as one JSON object per line.

use std::io::Write;

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::WriteMode;
use log::Record;

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// One JSON object per line, for programs.
    Json,
}

/// Why the log couldn't be set up.
#[derive(Debug, Display, Error, From)]
#[display("can't set up the log: {_0}")]
pub struct Fault(FlexiLoggerError);

/// The result of setting up the log.
pub type Result<T> = std::result::Result<T, Fault>;

/// The log level if the environment variable `RUST_LOG` isn't set.
const DEFAULT_LEVEL: &str = "info";

/// Starts the log; it is flushed when the handle is dropped.
///
/// # Errors
///
/// Fails if `RUST_LOG` isn't a valid log specification, or a logger is already set.
pub fn start(format: Format) -> Result<LoggerHandle> {
    let format = match format {
        Format::Text => write_text,
        Format::Json => write_json,
    };
    let logger = Logger::try_with_env_or_str(DEFAULT_LEVEL)?
        .log_to_stderr()
        .format(format);
    Ok(logger.write_mode(WriteMode::BufferAndFlush).start()?)
}

fn write_text(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    write!(
        out,
        "{} {:5} {} {}",
        now.format("%Y-%m-%dT%H:%M:%S%.3f"),
        record.level(),
        record.target(),
        record.args(),
    )
}

fn write_json(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let line = serde_json::json!({
        "at": now.format("%Y-%m-%dT%H:%M:%S%.3f%:z").to_string(),
        "level": record.level().as_str(),
        "module": record.target(),
        "text": record.args().to_string(),
    });
    write!(out, "{line}")
}
