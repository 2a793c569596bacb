//! Seeds that once showed a fault, kept in a file.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;

use crate::fault::Kind;

/// The file can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the regressions can't be read: {_0}")]
pub struct Fault(#[error(not(source))] String);

/// The outcome of reading the file.
pub type Result<T> = std::result::Result<T, Fault>;

/// A run that once showed a fault.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Run {
    /// Its seed.
    pub seed: u64,
    /// How long clients asked, in seconds.
    pub for_s: u64,
    /// VMs that took callers.
    pub vms: usize,
    /// What was done to the system.
    pub faults: Vec<Kind>,
    /// Why the run failed.
    pub cause: String,
}

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    run: Vec<Run>,
}

/// Parses the file's text.
///
/// # Errors
///
/// Fails where a run lacks something or names an unknown fault.
pub fn parse(text: &str) -> Result<Vec<Run>> {
    let file: File = toml::from_str(text).map_err(|fault| Fault(fault.to_string()))?;
    Ok(file.run)
}

#[cfg(test)]
mod tests;
