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

/// The contents of a VM's settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM's name, data centre and size.
    pub vm: Vm,
    /// The addresses on which the VM listens.
    pub listen: Listen,
    /// The platform's key-value service.
    pub platform: Platform,
    /// All data centres of the deployment.
    pub centres: Vec<Centre>,
    /// The VMs to contact at start. The VM learns about all other VMs from them.
    #[serde(default)]
    pub peers: Vec<Peer>,
    /// Limits on connections, requests and waiting.
    #[serde(default)]
    pub limits: Limits,
    /// The weights of placement decisions.
    #[serde(default)]
    pub weights: Weights,
}

/// The VM's name, data centre and size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// The VM's name.
    pub name: id::Vm,
    /// The VM's data centre.
    pub centre: id::Centre,
    /// The VM's size in cores, relative to other VMs.
    #[serde(default = "one")]
    pub size: u32,
}

fn one() -> u32 {
    1
}

/// The addresses on which the VM listens.
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

/// How this VM uses the platform's key-value service.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// The service's addresses. The first that answers is used.
    pub addresses: Vec<SocketAddr>,
    /// The time-out of a call.
    #[serde_as(as = "unit::Span")]
    #[serde(default = "platform_timeout")]
    pub timeout: Millis,
    /// The writes per second that this VM may make.
    #[serde_as(as = "unit::Rate")]
    #[serde(default = "writes")]
    pub writes: u32,
    /// The reads per second that this VM may make.
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
    /// The data centre's name.
    pub name: id::Centre,
    /// The number of shards that its programs are divided into. It must never change.
    pub shards: u16,
}

/// Another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    /// The VM's name.
    pub name: id::Vm,
    /// The VM's data centre.
    pub centre: id::Centre,
    /// The address of the VM's listener for other VMs.
    pub address: SocketAddr,
}

/// Limits on connections, requests and waiting.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The most concurrent connections of callers.
    pub connections: u32,
    /// How many of these are reserved for urgent work.
    pub connections_urgent: u32,
    /// The largest request body, in bytes.
    #[serde_as(as = "unit::Size")]
    pub body: usize,
    /// How long a request may take to arrive.
    #[serde_as(as = "unit::Span")]
    pub receive: Millis,
    /// The most calls that may wait for an endpoint at the same time.
    pub queue: usize,
    /// How long a call may wait for an endpoint.
    #[serde_as(as = "unit::Span")]
    pub wait: Millis,
    /// How long a runner may send nothing within a response.
    #[serde_as(as = "unit::Span")]
    pub silence: Millis,
    /// The longest duration of a shutdown.
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

/// The relative weights of the costs that placement compares.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Weights {
    /// The weight of waiting time.
    pub latency: f64,
    /// The weight of prompt tokens that are recomputed.
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

/// The reason that a settings file is rejected.
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
/// Fails with the first fault in the text.
pub fn parse(text: &str) -> Result<Settings> {
    toml::from_str(text).map_err(|fault| Fault {
        message: fault.to_string(),
    })
}
