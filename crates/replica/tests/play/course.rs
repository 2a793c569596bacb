//! The course of a play: VMs with programs, and the check of what was promised at its end.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use replica::ledger;
use replica::record::Key;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;
use wire::clock::Millis;

use crate::fleet::Fleet;
use crate::oracle::Mode;
use crate::oracle::Oracle;
use crate::oracle::Stored;
use crate::traffic::Caller;

/// How long after the return of all VMs everything may take to be served and readable.
const TOLERATED_LIMIT: Duration = Duration::from_secs(12);
/// The same for new turns and reservations after any loss.
const ANY_LIMIT: Duration = Duration::from_secs(40);
/// How often it is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// How much longer reading may take than the limit: it says what is lost.
const READ_RESERVE: Duration = Duration::from_secs(6);
/// How many new turns and reservations have to be served in a check, so that all members matter.
const PROBES: usize = 8;
/// How long a VM that may be gone for good is waited for: longer than any cut.
const MAX_SILENCE: Millis = Millis::new(10_000);
/// How many callers send requests.
const CALLERS: u64 = 2;
/// The most problems of a kind that a report names.
const MAX_NAMED: usize = 5;

/// How many turns and programs are read at once.
const READS_AT_ONCE: usize = 16;

/// What has to be readable.
enum Item {
    Turn(Stored),
    Program(Key),
}

/// A play that runs.
pub struct Course {
    pub fleet: Arc<Fleet>,
    pub oracle: Arc<Oracle>,
    pub caller: Caller,
    callers: Vec<AbortHandle>,
    seed: u64,
}

impl Course {
    /// Starts `vms` VMs without requests.
    pub async fn start_idle(mode: Mode, vms: usize, seed: u64) -> Self {
        let max_silence = match mode {
            Mode::Tolerated => ledger::RETENTION,
            Mode::Any => MAX_SILENCE,
        };
        let fleet = Fleet::start(vms, max_silence).await;
        let oracle = Arc::new(Oracle::new(mode));
        let caller = Caller::new(&fleet, &oracle, "probe", seed).await;
        Self {
            fleet,
            oracle,
            caller,
            callers: Vec::new(),
            seed,
        }
    }

    /// Starts `vms` VMs and programs that use them.
    pub async fn start(mode: Mode, vms: usize, seed: u64) -> Self {
        let mut course = Self::start_idle(mode, vms, seed).await;
        for at in 0..CALLERS {
            let (fleet, oracle) = (&course.fleet, &course.oracle);
            let caller_seed = seed.wrapping_mul(CALLERS).wrapping_add(at);
            let caller = Caller::new(fleet, oracle, &format!("caller{at}"), caller_seed).await;
            let task = tokio::spawn(caller.run());
            course.callers.push(task.abort_handle());
        }
        course
    }

    fn note(&self, line: &str) {
        self.fleet.network.trace.note(line);
    }

    /// Checks the promises once all VMs that are left are back. Returns a report if one is broken.
    pub async fn finish(mut self) -> Result<Duration, String> {
        self.note("all are back");
        let limit = match self.oracle.mode {
            Mode::Tolerated => TOLERATED_LIMIT,
            Mode::Any => ANY_LIMIT,
        };
        let begun = Instant::now();
        let refusal = self.wait_for_service(begun, limit).await;
        let served_after = begun.elapsed();
        self.note(&format!("new turns and reservations: {refusal:?}"));
        let mut problems: Vec<String> = refusal.into_iter().collect();
        for caller in &self.callers {
            caller.abort();
        }
        problems.extend(self.read_all(begun, limit).await);
        problems.extend(self.oracle.violations().into_iter().take(MAX_NAMED));
        self.note("ended");
        let described = self.fleet.describe();
        self.fleet.end();
        if problems.is_empty() {
            return Ok(served_after);
        }
        let mut report = format!("seed {}:\n", self.seed);
        for problem in problems {
            writeln!(report, "  {problem}").unwrap();
        }
        let trace = self.fleet.network.trace.text();
        writeln!(report, "{trace}\n{described}").unwrap();
        Err(report)
    }

    /// Waits until new turns and reservations are served.
    async fn wait_for_service(&mut self, begun: Instant, limit: Duration) -> Option<String> {
        loop {
            self.caller.refresh().await;
            let refusal = self.caller.probe(PROBES).await?;
            if begun.elapsed() >= limit {
                return Some(format!("after {limit:?}: {refusal}"));
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Reads all that was acknowledged, and returns what can't be read or is lost.
    async fn read_all(&self, begun: Instant, limit: Duration) -> Vec<String> {
        let mut items: Vec<Item> = self.oracle.turns().into_iter().map(Item::Turn).collect();
        // After any losses only turns are promised anything: that they aren't called absent.
        if self.oracle.mode == Mode::Tolerated {
            let programs = self.oracle.programs().into_iter();
            items.extend(programs.map(Item::Program));
        }
        let count = items.len();
        loop {
            let (unread, mut problems) = self.read_each(items, begun + limit).await;
            if unread.is_empty() || self.oracle.mode == Mode::Any {
                return Vec::new();
            }
            if begun.elapsed() >= limit {
                problems.truncate(MAX_NAMED);
                let unread = unread.len();
                problems.push(format!(
                    "{unread} of {count} turns and programs aren't read"
                ));
                return problems;
            }
            items = unread;
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Reads items, some at once. Returns those that weren't read, and why.
    async fn read_each(&self, items: Vec<Item>, deadline: Instant) -> (Vec<Item>, Vec<String>) {
        let mut unread = Vec::new();
        let mut problems = Vec::new();
        let mut items = items.into_iter();
        let mut running = JoinSet::new();
        loop {
            if running.len() < READS_AT_ONCE
                && let Some(item) = items.next()
            {
                if Instant::now() >= deadline + READ_RESERVE {
                    unread.push(item);
                    continue;
                }
                let (oracle, client) = (self.oracle.clone(), self.caller.client());
                running.spawn(async move {
                    let problem = match &item {
                        Item::Turn(turn) => oracle.read_turn(&client, turn).await,
                        Item::Program(program) => oracle.read_account(&client, *program).await,
                    };
                    problem.map(|problem| (item, problem))
                });
                continue;
            }
            let Some(read) = running.join_next().await else {
                return (unread, problems);
            };
            if let Some((item, problem)) = read.unwrap() {
                unread.push(item);
                problems.push(problem);
            }
        }
    }
}
