//! The settings file of one VM.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use wire::clock::Millis;
use wire::id;

use crate::unit;

/// Everything a VM learns from its file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM itself.
    pub vm: Vm,
    /// Where the VM listens.
    pub listen: Listen,
    /// The platform.
    pub platform: Platform,
    /// All data centres of the deployment.
    pub centres: Vec<Centre>,
    /// Other VMs to begin with; the rest is learnt from them.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Limits at the door.
    #[serde(default)]
    pub limits: Limits,
    /// What a decision weighs.
    #[serde(default)]
    pub weights: Weights,
}

/// The VM itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The VM's name.
    pub name: id::Vm,
    /// Its data centre.
    pub centre: id::Centre,
    /// Its size beside the others, in cores.
    #[serde(default = "one")]
    pub size: u32,
}

fn one() -> u32 {
    1
}

/// Where the VM listens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: SocketAddr,
    /// For other VMs.
    pub peers: SocketAddr,
    /// For operators and metrics.
    pub admin: SocketAddr,
}

/// The platform's service as this VM uses it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Where it answers; the first that does is used.
    pub addresses: Vec<SocketAddr>,
    /// How long a call may take.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "platform_timeout")]
    pub timeout: Millis,
    /// Writes that this VM may make.
    #[serde_as(as = "unit::Rate")]
    #[serde(default = "writes")]
    pub writes: u32,
    /// Reads that this VM may make.
    #[serde_as(as = "unit::Rate")]
    #[serde(default = "reads")]
    pub reads: u32,
    /// How long a lease lasts without renewal.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "lease")]
    pub lease: Millis,
}

fn platform_timeout() -> Millis {
    Millis::new(500)
}

fn writes() -> u32 {
    30
}

fn reads() -> u32 {
    200
}

fn lease() -> Millis {
    Millis::new(5_000)
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Centre {
    /// Its name.
    pub name: id::Centre,
    /// How many shards its programs are split into; never changed once set.
    pub shards: u16,
}

/// Another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// Its name.
    pub name: id::Vm,
    /// Its data centre.
    pub centre: id::Centre,
    /// Its listener for VMs.
    pub address: SocketAddr,
}

/// Limits at the door.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// Connections of callers at once.
    pub connections: u32,
    /// Of these, how many are kept for urgent work.
    pub connections_urgent: u32,
    /// The largest body.
    #[serde_as(as = "unit::Size")]
    pub body: usize,
    /// How long a request may take to arrive.
    #[serde_as(as = "unit::Span")]
    pub receive: Millis,
    /// Calls that wait for an endpoint at once.
    pub queue: usize,
    /// How long a call may wait for an endpoint.
    #[serde_as(as = "unit::Span")]
    pub wait: Millis,
    /// How long a runner may be silent within an answer.
    #[serde_as(as = "unit::Span")]
    pub silence: Millis,
    /// How long a shutdown takes at most.
    #[serde_as(as = "unit::Span")]
    pub grace: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            connections_urgent: 256,
            body: 2 * 1024 * 1024,
            receive: Millis::new(10_000),
            queue: 2048,
            wait: Millis::new(30_000),
            silence: Millis::new(20_000),
            grace: Millis::new(120_000),
        }
    }
}

/// What placement weighs against each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// The weight of waiting time.
    pub latency: f64,
    /// The weight of prompt tokens computed again.
    pub cache: f64,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            latency: 1.0,
            cache: 1.0,
        }
    }
}

/// Why a settings file isn't taken.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{message}")]
pub struct Fault {
    /// The line, the value and what is allowed.
    pub message: String,
}

/// The outcome of reading settings.
pub type Result<T> = std::result::Result<T, Fault>;

/// Parses a settings file.
///
/// # Errors
///
/// Fails with the first fault of the text.
pub fn parse(text: &str) -> Result<Settings> {
    toml::from_str(text).map_err(|fault| Fault {
        message: fault.to_string(),
    })
}
