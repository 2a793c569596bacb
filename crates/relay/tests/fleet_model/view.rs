//! The views of runners and configuration that have to agree, and violations by VMs.

use adapter::config;
use adapter::kv::Freshness;
use adapter::runner;
use adapter::runner::State;
use relay::subject::Subject;

use super::vm::Process;
use super::world::World;

/// A runner that had left and was used again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Readmission {
    /// The VM that used it again.
    pub vm: String,
    /// Id of the runner.
    pub runner: String,
    /// Time in milliseconds since the start.
    pub at: u64,
}

/// The runners and the configuration as the service has them, or as a VM knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Version of the configuration.
    pub version: u64,
    /// Ids of the runners that take requests, sorted.
    pub runners: Vec<String>,
}

impl View {
    /// Returns what a process knows.
    pub fn of(process: &Process) -> Self {
        let fleet = process.node.fleet();
        let ready = fleet.runners().iter();
        let ready = ready.filter(|runner| runner.entry.state == State::Ready);
        Self {
            version: process.node.table().version,
            runners: ready.map(|runner| runner.id.clone()).collect(),
        }
    }

    /// Returns what the service has.
    pub fn of_store(world: &World) -> Self {
        let config = world
            .store
            .list(Subject::Config.prefix(), Freshness::Latest);
        let version = config.entries.first().map_or(0, |entry| {
            let decoded = config::decode(&entry.value);
            decoded.expect("the model writes what can be read").version
        });
        let prefix = Subject::Runners.prefix();
        let entries = world.store.list(prefix, Freshness::Latest).entries;
        let ready = entries.iter().filter(|entry| {
            let decoded = runner::decode(&entry.value);
            decoded.is_some_and(|runner| runner.state == State::Ready)
        });
        let id = |key: &str| key.strip_prefix(prefix).map(str::to_owned);
        Self {
            version,
            runners: ready.filter_map(|entry| id(&entry.key)).collect(),
        }
    }
}
