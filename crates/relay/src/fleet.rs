//! The runners as this VM knows them.
//!
//! This module applies changes of the runners' entries and the figures that other VMs report.
//! `choice` selects a runner for a request, `health` tracks which runners answer.

mod choice;
mod health;
pub mod load;
pub mod runner;
pub mod silence;
pub mod slowdown;
mod subset;
mod told;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use adapter::config::Engine;
use adapter::header::Call;
use adapter::runner::Entry;
use adapter::runner::State;
use adapter::settings::Supply;
use link::client::Check;
use policy::crash::Incarnation;
use policy::prefix;
use policy::prefix::Demand;
use policy::slowdown::Reading;
use policy::subset::MAX_USED;
use wire::clock::Millis;
use wire::event::Event;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::runner::Runner;
use crate::fleet::silence::CentrePath;
use crate::tally::Origin;
use crate::tally::Tally;

/// How long a runner is still used after its entry was found missing at the end of an outage of the
/// key-value service. Runners that still run are back in the list within two seconds.
const MISSING_RETENTION: Millis = Millis::new(1_700);
/// Number of runners of a service whose figures a VM is told. More than it uses, as some of those are
/// leaving or unreachable for it.
const MAX_TOLD: usize = MAX_USED + MAX_USED / 3;
/// Cost of a round trip to another data centre for a request that may be repeated, in milliseconds.
pub const REMOTE_COST_MS: f64 = 3.0;
/// The same for a call that may run at most once. If the network breaks before the answer, the
/// call's outcome stays unknown and its program ends. So a runner in the VM's own data centre is
/// worth half the duration of a usual call.
pub const REMOTE_COST_AT_MOST_ONCE_MS: f64 = 15.0;

/// The runners, sorted by id.
#[derive(Debug, Default)]
pub struct Fleet {
    runners: Vec<Runner>,
    /// The first parts of recent prompts by service, sorted by the services' names.
    demand: Vec<(String, Demands)>,
    /// How long connections take, sorted by data centre.
    paths: Vec<CentrePath>,
}

/// The first parts of a service's recent prompts.
#[derive(Debug)]
struct Demands {
    /// By which the presumed holders of a first part are counted.
    for_holders: Demand,
    /// By which the places of homes are counted.
    for_places: Demand,
}

/// The properties of a request that determine its placement.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// Capabilities of the service's engines; `None` for a plain service.
    pub engine: Option<Engine>,
    /// Parts of the prompt.
    pub prompt: &'a [prefix::Part],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Whether the request's program has a home.
    pub home: Home,
    /// The most tokens that the request will generate.
    pub output_tokens: u64,
    /// Random value that breaks ties among equally good runners.
    pub salt: u64,
    /// Which software may run the request.
    pub software: Software<'a>,
    /// Ids of the runners that have refused or failed the request.
    pub excluded: &'a [String],
    /// Data centre of this VM.
    pub centre: &'a str,
    /// Name of this VM, which determines the runners that it uses where there are many.
    pub vm: &'a str,
    /// Cost of using another data centre, in milliseconds.
    pub remote_cost_ms: f64,
    /// Time at which the runner is chosen.
    pub now: Millis,
}

/// Which software may run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Software<'a> {
    /// Any.
    Any,
    /// Any whose build is known: of runners whose entry was written by the process that answers. An entry that
    /// doesn't say when that process started proves no build.
    Known,
    /// That of one build.
    Build(&'a str),
}

/// Whether the turns of a program are to meet at the same runners, whatever VM they arrive at; see
/// [`policy::home`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Home {
    /// They aren't, or the request belongs to no program.
    None,
    /// They are; holds the hash of the program's id.
    Of(u64),
}

impl Home {
    /// Decides for a request. Only where endpoints are scarce does a prompt that is read again cost
    /// others more than the freedom of choice is worth.
    ///
    /// The key is the program and not the session, as sub-agents begin with their parent's prompt.
    #[must_use]
    pub fn of(supply: Supply, call: &Call) -> Self {
        let key = call.program.as_ref().or(call.session.as_ref());
        match (supply, key) {
            (Supply::Scarce, Some(key)) => Self::Of(xxh3_64(key.as_bytes())),
            (Supply::Ample, _) | (Supply::Scarce, None) => Self::None,
        }
    }
}

/// Where a request is placed with regard to the homes of its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// Its program has no home.
    Unassigned,
    /// At the program's home of this rank, from 1.
    Home(usize),
    /// At another runner than the program's homes.
    Elsewhere,
}

impl fmt::Display for Placement {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unassigned => Ok(()),
            Self::Home(rank) => write!(out, "{rank}"),
            Self::Elsewhere => write!(out, "none"),
        }
    }
}

/// The runner chosen for a request, with the figures behind the choice.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Id of the runner.
    pub id: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// The runner's present life.
    pub incarnation: Incarnation,
    /// The version of its software.
    pub build: String,
    /// When the process started that has to answer; `None` if any process may.
    pub born: Option<u64>,
    /// Estimated number of requests at the runner.
    pub occupied: u32,
    /// Number of requests that the runner works on at once.
    pub slots: u32,
    /// Estimated number of prompt tokens in the runner's cache.
    pub cached: u64,
    /// Expected duration at the runner, by which runners were compared, in milliseconds.
    pub cost_ms: f64,
    /// Number of runners that were eligible.
    pub candidates: usize,
    /// How fast the runner's machine was when that was last read; `None` if it doesn't share one.
    pub slowdown: Option<Reading>,
    /// Whether the runner is a home of the request's program.
    pub placement: Placement,
    /// How long the request waits for a new connection before it goes elsewhere; `None` if that is as long
    /// as an attempt may take.
    pub first_wait: Option<Duration>,
    /// The suspected runner that would have been chosen.
    pub passed_over: Option<String>,
}

impl Choice {
    /// Returns how the client checks which process is at the address; `None` if any may be.
    #[must_use]
    pub fn check(&self) -> Option<Check> {
        self.born.map(|born| Check {
            born,
            question: adapter::runner::report_request,
            decode: adapter::runner::born,
        })
    }
}

/// The effect of a change of a runner's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The runner is new, or was restarted.
    Appeared,
    /// The runner is about to leave.
    Draining,
    /// The runner is gone.
    Removed,
    /// Nothing changed that is logged or passed on to other VMs.
    Unchanged,
}

/// Logs a change of a runner; `line` holds the fields of the log line.
pub fn log_change(change: &Change, line: &str) {
    let event = match change {
        Change::Appeared => Event::EndpointAppeared,
        Change::Draining => Event::EndpointLeaving,
        Change::Removed => Event::EndpointGone,
        Change::Unchanged => return,
    };
    log::info!("event=E{} text=\"{}\" {line}", event.number(), event.text());
}

impl Fleet {
    fn find(&self, id: &str) -> Result<usize, usize> {
        self.runners
            .binary_search_by(|runner| runner.id.as_str().cmp(id))
    }

    /// Finds a runner by id.
    pub fn runner(&mut self, id: &str) -> Option<&mut Runner> {
        let index = self.find(id).ok()?;
        Some(&mut self.runners[index])
    }

    /// Returns all runners.
    #[must_use]
    pub fn runners(&self) -> &[Runner] {
        &self.runners
    }

    /// Returns whether runners of a service share their machines with others, so that their capacity
    /// varies whatever they are asked.
    #[must_use]
    pub fn shares_machines(&self, service: &str) -> bool {
        let mut runners = self.runners.iter();
        runners.any(|runner| runner.shares_machine && runner.entry.service == service)
    }

    /// Adds or updates a runner's entry. `memory` is the memory of its engine in tokens.
    pub fn set(&mut self, id: &str, entry: Entry, memory: u64) -> Change {
        match self.find(id) {
            Err(index) => {
                self.runners.insert(index, Runner::new(id, entry, memory));
                Change::Appeared
            }
            Ok(index) => {
                let runner = &mut self.runners[index];
                runner.missing_since = None;
                let known = &runner.entry;
                let restarted = (known.born, &known.build) != (entry.born, &entry.build);
                let starts_draining =
                    runner.entry.state == State::Ready && entry.state == State::Draining;
                if restarted {
                    // A restarted process has lost its caches and all other state.
                    let reports = std::mem::take(&mut runner.peer_reports);
                    let own = runner.own_requests;
                    *runner = Runner::new(id, entry, memory);
                    runner.own_requests = own;
                    runner.peer_reports = reports;
                    return Change::Appeared;
                }
                runner.entry = entry;
                if starts_draining {
                    Change::Draining
                } else {
                    Change::Unchanged
                }
            }
        }
    }

    /// Removes a runner.
    pub fn remove(&mut self, id: &str) -> Change {
        match self.find(id) {
            Ok(index) => {
                self.runners.remove(index);
                Change::Removed
            }
            Err(_) => Change::Unchanged,
        }
    }

    /// Marks the runners that are missing in a list that was read after an outage of the key-value
    /// service. They stay in use for `MISSING_RETENTION`. `listed` is sorted.
    pub fn note_missing(&mut self, listed: &[String], now: Millis) {
        for runner in &mut self.runners {
            if listed.binary_search(&runner.id).is_err() {
                runner.missing_since.get_or_insert(now);
            }
        }
    }

    /// Removes and returns the runners that aren't listed, except those that stay in use after an
    /// outage: [`Self::remove_missing`] removes them. `listed` is sorted.
    pub fn remove_unlisted(&mut self, listed: &[String]) -> Vec<String> {
        let gone = |runner: &mut Runner| {
            runner.missing_since.is_none() && listed.binary_search(&runner.id).is_err()
        };
        let gone = self.runners.extract_if(.., gone);
        gone.map(|runner| runner.id).collect()
    }

    /// Removes and returns the runners whose entries have been missing for `MISSING_RETENTION`.
    pub fn remove_missing(&mut self, now: Millis) -> Vec<String> {
        let gone = |runner: &mut Runner| {
            let since = runner.missing_since;
            since.is_some_and(|since| now.since(since) >= MISSING_RETENTION)
        };
        let gone = self.runners.extract_if(.., gone);
        gone.map(|runner| runner.id).collect()
    }

    /// Sets the memory of each service's engines from a new configuration. Entries may be read
    /// before the first configuration. Without this call, the runners of such entries would be
    /// presumed to cache no prompts for as long as they live.
    pub fn set_memory(&mut self, memory: impl Fn(&str) -> u64) {
        for runner in &mut self.runners {
            let memory = memory(&runner.entry.service);
            runner.set_memory(memory);
        }
    }

    /// Records what another VM reports of each runner; `tallies` is sorted by runner.
    pub fn note_tallies(&mut self, origin: &Origin, tallies: &[Tally], now: Millis) {
        for runner in &mut self.runners {
            let found = tallies.binary_search_by(|tally| tally.runner.cmp(&runner.id));
            let tally = found.ok().map(|index| &tallies[index]);
            runner.peer_reports.note(origin, tally, now);
        }
    }

    /// Returns, for each runner, the sum of this VM's own figures and those from the origins that
    /// `speaks_for` selects.
    #[must_use]
    pub fn tallies(&self, now: Millis, speaks_for: impl Fn(&Origin) -> bool) -> Vec<Tally> {
        tallies(self.runners.iter(), now, speaks_for)
    }

    /// The same for the runners that another VM of a data centre uses.
    #[must_use]
    pub fn tallies_for(
        &self,
        vm: &str,
        centre: &str,
        now: Millis,
        speaks_for: impl Fn(&Origin) -> bool,
    ) -> Vec<Tally> {
        if self.runners.len() <= MAX_TOLD {
            return self.tallies(now, speaks_for);
        }
        let mut services: Vec<&str> = Vec::new();
        for runner in &self.runners {
            if !services.contains(&runner.entry.service.as_str()) {
                services.push(&runner.entry.service);
            }
        }
        let used = services.into_iter().flat_map(|service| {
            let runners = self.runners.iter();
            let of_service = runners.filter(|runner| runner.entry.service == service);
            subset::used(vm, centre, &of_service.collect::<Vec<_>>(), MAX_TOLD)
        });
        let mut tallies = tallies(used, now, speaks_for);
        tallies.sort_by(|a, b| a.runner.cmp(&b.runner));
        tallies
    }
}

fn tallies<'a>(
    runners: impl Iterator<Item = &'a Runner>,
    now: Millis,
    speaks_for: impl Fn(&Origin) -> bool,
) -> Vec<Tally> {
    let tally = |runner: &Runner| {
        let (under_way, held_off) = runner.peer_reports.sum(now, &speaks_for);
        Tally {
            runner: runner.id.clone(),
            under_way: runner.own_requests.saturating_add(under_way),
            held_off: held_off.saturating_add(u32::from(runner.is_held_off(now))),
        }
    };
    let has_figures = |tally: &Tally| tally.under_way > 0 || tally.held_off > 0;
    runners.map(tally).filter(has_figures).collect()
}

#[cfg(test)]
mod tests;
