//! Seeds that once showed a fault, kept in a file.

use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use wire::clock::Millis;

use crate::fault::Kind;
use crate::plan::Plan;

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
    /// Runners.
    #[serde(default = "default_runners")]
    pub runners: usize,
    /// Clients.
    #[serde(default = "default_clients")]
    pub clients: usize,
    /// What was done to the system.
    pub faults: Vec<Kind>,
    /// Why the run failed.
    pub cause: String,
}

impl Run {
    /// Plans to play the run again, with this binary, in this folder, for at most `most`.
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

/// As many as the command line takes where it isn't told.
const fn default_runners() -> usize {
    6
}

/// As many as the command line takes where it isn't told.
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
/// Fails where a run lacks something or names an unknown fault.
pub fn parse(text: &str) -> Result<Vec<Run>> {
    let file: File = toml::from_str(text).map_err(|fault| Fault(fault.to_string()))?;
    Ok(file.run)
}

#[cfg(test)]
mod tests;
