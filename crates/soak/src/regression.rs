//! Reads the file of runs that once failed.

use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use wire::clock::Millis;

use crate::fault::Kind;
use crate::plan::Plan;

/// The file can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("the regressions can't be read: {_0}")]
pub struct Fault(#[error(not(source))] String);

/// The outcome of reading the file.
pub type Result<T> = std::result::Result<T, Fault>;

/// A run that once failed.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Run {
    /// Its seed.
    pub seed: u64,
    /// How long clients sent requests, in seconds.
    pub for_s: u64,
    /// The number of VMs that took callers.
    pub vms: usize,
    /// The number of runners.
    #[serde(default = "default_runners")]
    pub runners: usize,
    /// The number of clients.
    #[serde(default = "default_clients")]
    pub clients: usize,
    /// The kinds of faults.
    pub faults: Vec<Kind>,
    /// Why the run failed.
    pub cause: String,
}

impl Run {
    /// Returns the plan that repeats the run with this binary, in this folder, for at most `most`.
    #[must_use]
    pub fn plan(&self, binary: PathBuf, folder: PathBuf, most: Millis) -> Plan {
        Plan {
            binary,
            folder,
            seed: self.seed,
            span: most.min(Millis::new(self.for_s * 1_000)),
            vms: self.vms,
            runners: self.runners,
            clients: self.clients,
            kinds: self.faults.clone(),
        }
    }
}

/// Returns the default of the command line.
const fn default_runners() -> usize {
    6
}

/// Returns the default of the command line.
const fn default_clients() -> usize {
    24
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
/// Fails if a run lacks a key or names an unknown fault.
pub fn parse(text: &str) -> Result<Vec<Run>> {
    let file: File = toml::from_str(text).map_err(|fault| Fault(fault.to_string()))?;
    Ok(file.run)
}

#[cfg(test)]
mod tests;
