//! The runners as this VM knows them, and the choice of one for a request.

pub mod runner;

use std::net::SocketAddr;

use adapter::config::Engine;
use adapter::runner::Entry;
use adapter::runner::State;
use policy::class::Class;
use policy::eject;
use policy::eject::Detector;
use policy::eject::Sample;
use policy::pace;
use policy::place;
use policy::place::Candidate;
use policy::place::Weights;
use policy::prefix;
use policy::prefix::Demand;
use wire::clock::Millis;

use crate::fleet::runner::Runner;
use crate::fleet::runner::Target;
use crate::tally::Origin;
use crate::tally::Tally;

/// How long an entry that is missing after the key-value service was away is still used; the
/// runners that live are back in the list within two seconds.
const MISSING: Millis = Millis::new(1_700);
/// A runner that hasn't answered for this long is tried where others of its data centre don't
/// answer: some times the pause between two answers of a busy runner.
const QUIET: Millis = Millis::new(300);
/// What a way to another data centre costs a request that may run again, in milliseconds: there and
/// back between data centres that are half a millisecond to one and a half apart, 1 to 2.8.
pub const AWAY: f64 = 3.0;
/// What it costs a call that may run at most once. Its outcome stays unknown where the way breaks
/// meanwhile, and its program ends; so one in the VM's own data centre is worth half the time of a
/// usual call (26 to 52 ms).
pub const AWAY_ONCE: f64 = 15.0;
/// How long a runner gets nothing after a request to it broke and no other was answered since: for
/// the first one, then doubled up to [`HOLD_MOST`]. A runner that goes down and up again accepts
/// connections while it is down, so that a connection tells nothing.
const HOLD: Millis = Millis::new(250);
/// The longest: about the time that a runner takes to be back.
const HOLD_MOST: Millis = Millis::new(1_000);
/// Milliseconds that an engine is presumed to take for a token before any runner of its service was
/// measured: for the first second of the first VM. All runners have the same then, so that it only
/// weighs the reading of a prompt against the way to another data centre.
const FIRST_PACE: f64 = 3.0;
/// The same for a request of a plain service.
const FIRST_PACE_PLAIN: f64 = 50.0;
/// So many other VMs that hold a runner off are believed. One may have a broken way to a runner
/// that all others reach. Measured on 91 VMs with runners that go down and up: without it each VM
/// found out by itself, 369 requests in 5 s.
const BELIEVED: u32 = 2;

/// The runners, in the order of their ids.
#[derive(Debug, Default)]
pub struct Fleet {
    runners: Vec<Runner>,
    /// What prompts begin with, by service, in the order of their names.
    demand: Vec<(String, Demand)>,
}

/// What has to be known of a request to place it.
#[derive(Clone, Copy, Debug)]
pub struct Want<'a> {
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
    pub not: &'a [String],
    /// The data centre of this VM.
    pub centre: &'a str,
    /// What a way to another data centre costs, in milliseconds.
    pub away: f64,
    /// The time.
    pub now: Millis,
}

/// A runner that was chosen, and the figures that made it so.
#[derive(Clone, Debug)]
pub struct Chosen {
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
    pub cost: f64,
    /// How many runners could have been chosen.
    pub among: usize,
}

/// What a change of a runner's entry did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A runner that wasn't known.
    Appeared,
    /// It is about to leave.
    Leaves,
    /// It is gone.
    Gone,
    /// Nothing that matters.
    Same,
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
                let anew = runner.entry.born != entry.born;
                let leaves = runner.entry.state == State::Ready && entry.state == State::Draining;
                if anew {
                    // It knows nothing of before, nor do its caches.
                    let told = std::mem::take(&mut runner.told);
                    let own = runner.own;
                    *runner = Runner::new(id, entry, memory);
                    runner.own = own;
                    runner.told = told;
                    return Change::Appeared;
                }
                runner.entry = entry;
                if leaves { Change::Leaves } else { Change::Same }
            }
        }
    }

    /// Takes an entry's removal in.
    pub fn remove(&mut self, id: &str) -> Change {
        match self.find(id) {
            Ok(at) => {
                self.runners.remove(at);
                Change::Gone
            }
            Err(_) => Change::Same,
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

    /// Removes and yields the runners whose entries have been missing for too long.
    pub fn sweep(&mut self, now: Millis) -> Vec<String> {
        let gone = |runner: &mut Runner| {
            let since = runner.missing_since;
            since.is_some_and(|since| now.since(since) >= MISSING)
        };
        let gone = self.runners.extract_if(.., gone);
        gone.map(|runner| runner.id).collect()
    }

    /// Ejects failing runners and takes them back, by service. To be called about once a second.
    pub fn judge(&mut self, now: Millis) -> Vec<(String, eject::Kind)> {
        let mut services: Vec<String> = Vec::new();
        for runner in &self.runners {
            if !services.contains(&runner.entry.service) {
                services.push(runner.entry.service.clone());
            }
        }
        let mut changes = Vec::new();
        for service in services {
            let mut pool: Vec<&mut Runner> = self
                .runners
                .iter_mut()
                .filter(|runner| runner.entry.service == service)
                .collect();
            let mut detectors: Vec<Detector> = pool.iter().map(|runner| runner.detector).collect();
            for change in eject::sweep(&mut detectors, now) {
                changes.push((pool[change.index].id.clone(), change.kind));
            }
            for (runner, detector) in pool.iter_mut().zip(detectors) {
                runner.detector = detector;
            }
        }
        changes
    }

    /// Notes that a connection to a runner broke or could not be made; yields where to try it again
    /// if that is news. It gets nothing until a new connection was made: beside a partition each
    /// request sent there would wait in vain.
    pub fn lose(&mut self, id: &str, now: Millis) -> Option<Target> {
        let runner = self.runner(id)?;
        let doubled = HOLD.as_u64() << runner.broken.min(8);
        runner.held_until = now.plus(Millis::new(doubled).min(HOLD_MOST));
        runner.broken += 1;
        runner.detector.note(Sample::Failed);
        if std::mem::replace(&mut runner.unreachable, true) {
            return None;
        }
        Some(runner.target())
    }

    /// Yields the runners to which no connection could be made, to try them again.
    #[must_use]
    pub fn unreachable(&self) -> Vec<Target> {
        let unreachable = self.runners.iter().filter(|runner| runner.unreachable);
        unreachable.map(Runner::target).collect()
    }

    /// Yields the runners of a data centre that are thought reachable, but haven't answered for
    /// [`QUIET`].
    #[must_use]
    pub fn unheard(&self, centre: &str, now: Millis) -> Vec<Target> {
        let around = self.runners.iter().filter(|runner| {
            runner.entry.centre == centre && !runner.unreachable && now.since(runner.heard) >= QUIET
        });
        around.map(Runner::target).collect()
    }

    /// Notes how much memory the engines of each service have, which a new configuration tells.
    /// Entries may be read before the first configuration; without this, such a runner would be
    /// thought to hold nothing of any prompt for as long as it lives.
    pub fn learn_memory(&mut self, memory: impl Fn(&str) -> u64) {
        for runner in &mut self.runners {
            let memory = memory(&runner.entry.service);
            runner.learn_memory(memory);
        }
    }

    /// Takes in what another VM tells of each runner; the tallies are in the order of runners.
    pub fn hear(&mut self, origin: &Origin, tallies: &[Tally], now: Millis) {
        for runner in &mut self.runners {
            let found = tallies.binary_search_by(|tally| tally.runner.cmp(&runner.id));
            let tally = found.ok().map(|at| &tallies[at]);
            runner.told.note(origin, tally, now);
        }
    }

    /// Yields what this VM and the origins that `speaks_for` names have at each runner.
    #[must_use]
    pub fn tallies(&self, now: Millis, speaks_for: impl Fn(&Origin) -> bool) -> Vec<Tally> {
        let tally = |runner: &Runner| {
            let (under_way, held_off) = runner.told.sum(now, &speaks_for);
            Tally {
                runner: runner.id.clone(),
                under_way: runner.own + under_way,
                held_off: u32::from(runner.is_held_off(now)) + held_off,
            }
        };
        let tallies = self.runners.iter().map(tally);
        let tells = |tally: &Tally| tally.under_way > 0 || tally.held_off > 0;
        tallies.filter(tells).collect()
    }

    /// Notes a turn of a service that is placed.
    pub fn note_demand(&mut self, service: &str, prompt: &[prefix::Part], now: Millis) {
        let Some(first) = prompt.first() else {
            return;
        };
        let at = self.find_demand(service).unwrap_or_else(|at| {
            let new = (service.to_owned(), Demand::default());
            self.demand.insert(at, new);
            at
        });
        self.demand[at].1.note(first.id, now);
    }

    fn demand(&self, service: &str) -> Option<&Demand> {
        let at = self.find_demand(service).ok()?;
        Some(&self.demand[at].1)
    }

    fn find_demand(&self, service: &str) -> Result<usize, usize> {
        self.demand
            .binary_search_by(|(known, _)| known.as_str().cmp(service))
    }

    /// Yields the pace of the service's runners that nobody has measured.
    fn middle_pace(&self, want: &Want<'_>) -> f64 {
        let of_service = self
            .runners
            .iter()
            .filter(|runner| runner.entry.service == want.service);
        let paces = of_service.map(|runner| runner.pace.at(want.now));
        let first = match want.engine {
            Some(_) => FIRST_PACE,
            None => FIRST_PACE_PLAIN,
        };
        pace::middle(paces, first)
    }

    /// Chooses a runner; `None` where the service has none that may be used.
    #[must_use]
    pub fn choose(&self, want: &Want<'_>) -> Option<Chosen> {
        let mut usable: Vec<&Runner> = self
            .runners
            .iter()
            .filter(|runner| runner.may_take(want))
            .collect();
        let sound = |runner: &&Runner| runner.told.all(want.now).1 < BELIEVED;
        if usable.iter().any(sound) {
            usable.retain(sound);
        }
        let pace = self.middle_pace(want);
        let usable_runners = usable.iter();
        let mut candidates: Vec<Candidate> = usable_runners
            .map(|runner| runner.candidate(want, pace))
            .collect();
        if let Some(first) = want.prompt.first() {
            let numbers: Vec<u64> = usable.iter().map(|runner| runner.number).collect();
            let demand = self.demand(want.service);
            let holders = demand.map_or(prefix::PRESUMED_LEAST, |demand| {
                demand.holders(first.id, numbers.len())
            });
            let presumed = prefix::presumed(first.id, &numbers, holders);
            for (candidate, presumed) in candidates.iter_mut().zip(presumed) {
                if presumed {
                    candidate.cached = candidate.cached.max(first.tokens);
                }
            }
        }
        let call = place::Call {
            class: Class::Routine,
            prompt: want.prompt_tokens,
            output: want.output_tokens.max(1),
            salt: want.salt,
        };
        let choice = place::choose(&candidates, &call, &Weights::default())?;
        let runner = usable[choice.index];
        let candidate = &candidates[choice.index];
        Some(Chosen {
            id: runner.id.clone(),
            address: runner.entry.address,
            occupied: place::occupied(candidate),
            slots: runner.entry.slots,
            cached: candidate.cached,
            cost: choice.cost,
            among: candidates.len(),
        })
    }
}

#[cfg(test)]
mod tests;
