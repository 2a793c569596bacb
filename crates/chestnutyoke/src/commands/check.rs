//! `check`: reports all errors in a settings file at once.

use std::fs;
use std::path::Path;

use derive_more::Display;
use derive_more::Error;
use settings::check;
use settings::vm::Settings;
use wire::code::Code;

/// Why a settings file was rejected: all its errors, one per line.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("CY{}: {}:\n{report}", Code::BadSettings.number(), Code::BadSettings.text())]
pub struct Fault {
    report: String,
}

/// The result of reading a settings file.
pub type Result<T> = std::result::Result<T, Fault>;

/// Reads and checks a settings file.
///
/// # Errors
///
/// Fails with all errors of the file, or with the reason why it can't be read.
pub fn load(path: &Path) -> Result<Settings> {
    let name = path.display();
    let text = fs::read_to_string(path).map_err(|fault| Fault {
        report: format!("{name}: {fault}"),
    })?;
    check::parse(&text).map_err(|faults| {
        let lines: Vec<String> = faults
            .iter()
            .map(|fault| format!("{name}: {fault}"))
            .collect();
        Fault {
            report: lines.join("\n"),
        }
    })
}

/// Renders the effective settings, including defaults, as a valid settings file.
///
/// # Errors
///
/// Fails if the settings can't be written as TOML.
pub fn print(settings: &Settings) -> Result<String> {
    toml::to_string(settings).map_err(|fault| Fault {
        report: fault.to_string(),
    })
}
