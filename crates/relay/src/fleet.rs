//! The runners as this VM knows them.
//!
//! Their entries and what VMs tell each other of them are taken in here; `choice` finds one for a
//! request, `health` follows which of them answer.

mod choice;
mod health;
pub mod load;
pub mod runner;

use std::net::SocketAddr;

use adapter::config::Engine;
use adapter::runner::Entry;
use adapter::runner::State;
use policy::prefix;
use policy::prefix::Demand;
use wire::clock::Millis;
use wire::event::Event;

use crate::fleet::runner::Runner;
use crate::tally::Origin;
use crate::tally::Tally;

/// How long an entry that is missing after the key-value service was away is still used; the
/// runners that live are back in the list within two seconds.
const MISSING_RETENTION: Millis = Millis::new(1_700);
/// What a way to another data centre costs a request that may run again, in milliseconds: there and
/// back.
pub const REMOTE_COST_MS: f64 = 3.0;
/// What it costs a call that may run at most once. Its outcome stays unknown where the way breaks
/// meanwhile, and its program ends; so one in the VM's own data centre is worth half the time of a
/// usual call.
pub const REMOTE_COST_AT_MOST_ONCE_MS: f64 = 15.0;

/// The runners, in the order of their ids.
#[derive(Debug, Default)]
pub struct Fleet {
    runners: Vec<Runner>,
    /// What prompts begin with, by service, in the order of their names.
    demand: Vec<(String, Demand)>,
}

/// What has to be known of a request to place it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// What the service's engines can do; `None` for a plain service.
    pub engine: Option<Engine>,
    /// The prompt's parts.
    pub prompt: &'a [prefix::Part],
    /// The prompt's length in tokens.
    pub prompt_tokens: u64,
    /// Tokens that it will generate at most.
    pub output_tokens: u64,
    /// Draws among equally good runners.
    pub salt: u64,
    /// Runners that have turned it away or failed it.
    pub excluded: &'a [String],
    /// The data centre of this VM.
    pub centre: &'a str,
    /// What a way to another data centre costs, in milliseconds.
    pub remote_cost_ms: f64,
    /// The time.
    pub now: Millis,
}

/// A runner that was chosen, and the figures that made it so.
#[derive(Clone, Debug)]
pub struct ChosenRunner {
    /// Its id.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Requests that it is thought to have.
    pub occupied: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Tokens of the prompt that it is thought to hold.
    pub cached: u64,
    /// The expected time that was compared, in milliseconds.
    pub cost_ms: f64,
    /// How many runners could have been chosen.
    pub candidates: usize,
}

/// What a change of a runner's entry did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A runner that wasn't known.
    Appeared,
    /// It is about to leave.
    Draining,
    /// It is gone.
    Removed,
    /// Nothing that matters.
    Unchanged,
}

/// Logs what became of a runner.
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

    /// Finds a runner.
    pub fn runner(&mut self, id: &str) -> Option<&mut Runner> {
        let at = self.find(id).ok()?;
        Some(&mut self.runners[at])
    }

    /// Yields all runners.
    #[must_use]
    pub fn runners(&self) -> &[Runner] {
        &self.runners
    }

    /// Takes an entry in.
    pub fn set(&mut self, id: &str, entry: Entry, memory: u64) -> Change {
        match self.find(id) {
            Err(at) => {
                self.runners.insert(at, Runner::new(id, entry, memory));
                Change::Appeared
            }
            Ok(at) => {
                let runner = &mut self.runners[at];
                runner.missing_since = None;
                let restarted = runner.entry.born != entry.born;
                let leaves = runner.entry.state == State::Ready && entry.state == State::Draining;
                if restarted {
                    // It knows nothing of before, nor do its caches.
                    let reports = std::mem::take(&mut runner.peer_reports);
                    let own = runner.own_requests;
                    *runner = Runner::new(id, entry, memory);
                    runner.own_requests = own;
                    runner.peer_reports = reports;
                    return Change::Appeared;
                }
                runner.entry = entry;
                if leaves {
                    Change::Draining
                } else {
                    Change::Unchanged
                }
            }
        }
    }

    /// Takes an entry's removal in.
    pub fn remove(&mut self, id: &str) -> Change {
        match self.find(id) {
            Ok(at) => {
                self.runners.remove(at);
                Change::Removed
            }
            Err(_) => Change::Unchanged,
        }
    }

    /// Notes which entries are missing in a list that was read after the key-value service had
    /// been away; they are used a while longer.
    pub fn note_missing(&mut self, listed: &[String], now: Millis) {
        for runner in &mut self.runners {
            if listed.binary_search(&runner.id).is_err() {
                runner.missing_since.get_or_insert(now);
            }
        }
    }

    /// Removes and yields the runners that aren't listed, but for those that are still used after an
    /// outage: they go with [`Self::remove_missing`].
    pub fn remove_unlisted(&mut self, listed: &[String]) -> Vec<String> {
        let gone = |runner: &mut Runner| {
            runner.missing_since.is_none() && listed.binary_search(&runner.id).is_err()
        };
        let gone = self.runners.extract_if(.., gone);
        gone.map(|runner| runner.id).collect()
    }

    /// Removes and yields the runners whose entries have been missing for too long.
    pub fn remove_missing(&mut self, now: Millis) -> Vec<String> {
        let gone = |runner: &mut Runner| {
            let since = runner.missing_since;
            since.is_some_and(|since| now.since(since) >= MISSING_RETENTION)
        };
        let gone = self.runners.extract_if(.., gone);
        gone.map(|runner| runner.id).collect()
    }

    /// Notes how much memory the engines of each service have, which a new configuration tells.
    /// Entries may be read before the first configuration; without this, such a runner would be
    /// thought to hold nothing of any prompt for as long as it lives.
    pub fn set_memory(&mut self, memory: impl Fn(&str) -> u64) {
        for runner in &mut self.runners {
            let memory = memory(&runner.entry.service);
            runner.set_memory(memory);
        }
    }

    /// Takes in what another VM tells of each runner; the tallies are in the order of runners.
    pub fn note_tallies(&mut self, origin: &Origin, tallies: &[Tally], now: Millis) {
        for runner in &mut self.runners {
            let found = tallies.binary_search_by(|tally| tally.runner.cmp(&runner.id));
            let tally = found.ok().map(|at| &tallies[at]);
            runner.peer_reports.note(origin, tally, now);
        }
    }

    /// Yields what this VM and the origins that `speaks_for` names have at each runner.
    #[must_use]
    pub fn tallies(&self, now: Millis, speaks_for: impl Fn(&Origin) -> bool) -> Vec<Tally> {
        let tally = |runner: &Runner| {
            let (under_way, held_off) = runner.peer_reports.sum(now, &speaks_for);
            Tally {
                runner: runner.id.clone(),
                under_way: runner.own_requests + under_way,
                held_off: u32::from(runner.is_held_off(now)) + held_off,
            }
        };
        let tallies = self.runners.iter().map(tally);
        let tells = |tally: &Tally| tally.under_way > 0 || tally.held_off > 0;
        tallies.filter(tells).collect()
    }
}

#[cfg(test)]
mod tests;
