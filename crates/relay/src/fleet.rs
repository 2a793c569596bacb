//! The runners as this VM knows them, and the choice of one for a request.

use std::net::SocketAddr;

use adapter::config::Engine;
use adapter::runner::Entry;
use adapter::runner::Load;
use adapter::runner::State;
use policy::class::Class;
use policy::eject;
use policy::eject::Detector;
use policy::eject::Sample;
use policy::place;
use policy::place::Candidate;
use policy::place::Lane;
use policy::place::Weights;
use policy::prefix;
use policy::prefix::Cache;
use wire::clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::reach::Target;
use crate::tally::Source;
use crate::tally::Tally;
use crate::tally::Told;

/// Tokens a second that an engine generates for one request before any has been measured.
const SPEED: f64 = 700.0;
/// Requests a second that a plain service's runner does one after the other before any has been
/// measured: work of 25 ms, the usual one of both deployments (10 to 52 ms). One thought faster
/// would draw all calls after its start, as a wait at it looks short.
const SPEED_PLAIN: f64 = 40.0;
/// Prompt tokens that an engine reads in the time in which it generates one. Measured at the
/// engines of both deployments: 206 and 260.
const READS: f64 = 220.0;
/// The weight of the latest request in a runner's speed.
const FRESH: f64 = 0.15;
/// How long a runner gets nothing after another one answered at its address: until its entry is
/// gone from the list, as a rule.
const ELSEWHERE: Millis = Millis::new(1_000);
/// How long a runner is passed over after it turned a request away as full: about the time in
/// which one of its requests ends.
const FULL: Millis = Millis::new(40);
/// How long an entry that is missing after the key-value service was away is still used; the
/// runners that live are back in the list within two seconds.
const MISSING: Millis = Millis::new(1_700);
/// How long a runner's own count of its requests holds: a fraction of the time that one takes.
const TOLD: Millis = Millis::new(120);
/// A runner that hasn't answered for this long is tried where others of its data centre don't
/// answer: some times the pause between two answers of a busy runner.
const QUIET: Millis = Millis::new(300);
/// What a way to another data centre costs a request that may run again, in milliseconds: there and
/// back between the data centres of both deployments, 1 and 2.8.
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
/// So many other VMs that hold a runner off are believed. One may have a broken way to a runner
/// that all others reach. Measured on 91 VMs with runners that go down and up: without it each VM
/// found out by itself, 369 requests in 5 s.
const BELIEVED: u32 = 2;

/// A runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its id, which no other runner ever has.
    pub id: String,
    /// What it says of itself.
    pub entry: Entry,
    /// Requests of this VM under way at it.
    pub own: u32,
    /// What other VMs told of it.
    told: Told,
    /// What it said of its load last.
    load: Option<(Load, Millis)>,
    /// Stands for its id where runners are ranked.
    number: u64,
    /// Its engine's memory in tokens; 0 for plain services.
    memory: u64,
    cache: Cache,
    /// Tokens a second for one request; for plain services, requests a second.
    speed: f64,
    detector: Detector,
    /// No connection to it could be made, or one broke, and none has been made since.
    unreachable: bool,
    /// Requests to it that broke since one was answered last.
    broken: u32,
    held_until: Millis,
    /// When an answer of its came last, or a connection was made beside the traffic.
    heard: Millis,
    elsewhere_until: Millis,
    full_until: Millis,
    /// Its entry was missing when the key-value service came back.
    missing_since: Option<Millis>,
}

/// The runners, in the order of their ids.
#[derive(Debug, Default)]
pub struct Fleet {
    runners: Vec<Runner>,
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
            if runner.memory != memory {
                runner.memory = memory;
                runner.cache = Cache::new(memory);
                runner.speed = first_speed(memory);
            }
        }
    }

    /// Takes in what another VM tells of each runner; the tallies are in the order of runners.
    pub fn hear(&mut self, source: &Source, tallies: &[Tally], now: Millis) {
        for runner in &mut self.runners {
            let found = tallies.binary_search_by(|tally| tally.runner.cmp(&runner.id));
            let tally = found.ok().map(|at| &tallies[at]);
            runner.told.note(source, tally, now);
        }
    }

    /// Yields what this VM and the sources that `speaks_for` names have at each runner.
    #[must_use]
    pub fn tallies(&self, now: Millis, speaks_for: impl Fn(&Source) -> bool) -> Vec<Tally> {
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
        let mut candidates: Vec<Candidate> =
            usable.iter().map(|runner| runner.candidate(want)).collect();
        if let Some(first) = want.prompt.first() {
            let numbers: Vec<u64> = usable.iter().map(|runner| runner.number).collect();
            let presumed = prefix::presumed(first.id, &numbers);
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

/// Yields the speed to reckon with before any was measured; plain services have no memory.
const fn first_speed(memory: u64) -> f64 {
    if memory == 0 { SPEED_PLAIN } else { SPEED }
}

impl Runner {
    fn new(id: &str, entry: Entry, memory: u64) -> Self {
        Self {
            number: xxh3_64(id.as_bytes()),
            memory,
            id: id.to_owned(),
            entry,
            own: 0,
            told: Told::default(),
            load: None,
            cache: Cache::new(memory),
            speed: first_speed(memory),
            detector: Detector::new(Millis::ZERO),
            unreachable: false,
            broken: 0,
            held_until: Millis::ZERO,
            heard: Millis::ZERO,
            elsewhere_until: Millis::ZERO,
            full_until: Millis::ZERO,
            missing_since: None,
        }
    }

    fn may_take(&self, want: &Want<'_>) -> bool {
        self.entry.service == want.service
            && self.entry.state == State::Ready
            && !self.unreachable
            && !self.is_held_off(want.now)
            && self.elsewhere_until <= want.now
            && !want.not.contains(&self.id)
    }

    fn candidate(&self, want: &Want<'_>) -> Candidate {
        let (others, _) = self.told.all(want.now);
        let known = self.own + others;
        // What the runner said just now counts where it is more than is known here: another VM that
        // can't be heard has requests at it, too.
        let told = self.load.filter(|(_, at)| want.now.since(*at) < TOLD);
        let told = told.map_or(0, |(load, _)| load.running + load.waiting);
        let busy = if self.full_until > want.now {
            known.max(self.entry.slots + 2)
        } else {
            known.max(told)
        };
        Candidate {
            slots: self.entry.slots,
            reported: busy,
            sent: 0,
            ended: 0,
            claimed: 0,
            speed: self.speed,
            prefill: self.speed * READS,
            cached: self.cache.cached(want.prompt),
            share: self.detector.share(want.now),
            lane: Lane::Open,
            away: if self.entry.centre == want.centre {
                0.0
            } else {
                want.away
            },
        }
    }

    /// Notes that a prompt goes to the runner.
    pub fn note_prompt(&mut self, prompt: &[prefix::Part], now: Millis) {
        self.cache.note(prompt, now);
    }

    fn target(&self) -> Target {
        Target {
            id: self.id.clone(),
            address: self.entry.address,
            centre: self.entry.centre.clone(),
        }
    }

    /// Notes the load that an answer told.
    pub fn note_load(&mut self, load: Load, now: Millis) {
        self.load = Some((load, now));
    }

    /// Notes that an answer came.
    pub fn note_heard(&mut self, now: Millis) {
        self.heard = now;
        self.broken = 0;
        self.held_until = Millis::ZERO;
    }

    /// Tells whether this VM holds the runner off, as requests to it broke.
    fn is_held_off(&self, now: Millis) -> bool {
        self.held_until > now
    }

    /// Notes that a connection was made; tells whether that is news.
    pub fn note_reachable(&mut self, now: Millis) -> bool {
        self.heard = now;
        std::mem::replace(&mut self.unreachable, false)
    }

    /// Notes that another runner has its address.
    pub fn note_elsewhere(&mut self, now: Millis) {
        self.elsewhere_until = now.plus(ELSEWHERE);
    }

    /// Notes that the runner turned a request away.
    pub fn note_full(&mut self, now: Millis) {
        self.full_until = now.plus(FULL);
    }

    /// Notes that the runner failed a request.
    pub fn note_failed(&mut self) {
        self.detector.note(Sample::Failed);
    }

    /// Notes that a request of so many tokens (1 for a plain service) took `span` at the runner.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts and spans are far below 2^52"
    )]
    pub fn note_done(&mut self, tokens: u64, span: Millis) {
        let span = span.as_u64().max(1) as f64;
        let pace = span / tokens.max(1) as f64;
        self.speed += FRESH * (1000.0 / pace - self.speed);
        self.detector.note(Sample::Done { pace });
    }
}

#[cfg(test)]
mod tests;
