//! Sets the log up: numbered events on standard error, for people or as a JSON object a line.

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

/// How a line of the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// A JSON object a line, for programs.
    Json,
}

/// Why the log couldn't be set up.
#[derive(Debug, Display, Error, From)]
#[display("can't set the log up: {_0}")]
pub struct Fault(FlexiLoggerError);

/// The outcome of setting the log up.
pub type Result<T> = std::result::Result<T, Fault>;

/// The level where the environment's `RUST_LOG` names none.
const LEVEL: &str = "info";

/// Starts the log; it is flushed when the handle is dropped.
///
/// # Errors
///
/// Fails where `RUST_LOG` isn't a log specification or a logger is set already.
pub fn start(format: Format) -> Result<LoggerHandle> {
    let format = match format {
        Format::Text => text,
        Format::Json => json,
    };
    let logger = Logger::try_with_env_or_str(LEVEL)?
        .log_to_stderr()
        .format(format);
    Ok(logger.write_mode(WriteMode::BufferAndFlush).start()?)
}

fn text(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    write!(
        out,
        "{} {:5} {} {}",
        now.format("%Y-%m-%dT%H:%M:%S%.3f"),
        record.level(),
        record.target(),
        record.args(),
    )
}

fn json(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    let line = serde_json::json!({
        "at": now.format("%Y-%m-%dT%H:%M:%S%.3f%:z").to_string(),
        "level": record.level().as_str(),
        "module": record.target(),
        "text": record.args().to_string(),
    });
    write!(out, "{line}")
}
