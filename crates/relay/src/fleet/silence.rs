//! Which endpoints this VM, or others, found silent; see [`policy::reachability`].
//!
//! VMs tell each other with each exchange. Of two reports on an endpoint the newer one counts, whoever
//! made it, and nothing is confirmed or repeated. VMs pass on what they hear by the rules for all figures
//! ([`crate::tally::is_forwarded`]). In quiet times nothing is sent.

use std::time::Duration;

use policy::reachability;
use policy::reachability::Evidence;
use policy::reachability::Knowledge;
use policy::reachability::MAX_CHECKS;
use policy::reachability::Path;
use policy::reachability::Report;
use policy::reachability::Verdict;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::connections::CONNECT_TIMEOUT;
use crate::fleet::Fleet;
use crate::fleet::runner::Runner;
use crate::fleet::runner::Target;
use crate::fleet::told;
use crate::fleet::told::short_hash;
use crate::tally::Origin;

/// The most reports that a message holds, the newest: some 400 bytes.
const MAX_TOLD: usize = 40;

/// A report as VMs tell it. Encoded by position, so the order of fields must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Hash of the runner's id.
    pub runner: u32,
    /// How long ago the runner answered, or its silence began, in milliseconds.
    pub age: u64,
    /// Whether it was silent.
    pub silent: bool,
}

/// What is known of a runner's silence.
#[derive(Clone, Debug, Default)]
pub(super) struct Known {
    pub(super) knowledge: Knowledge,
    /// The VMs that told the latest report.
    told_by: Option<Origin>,
}

impl Known {
    /// Returns what others need to hear from a VM that speaks for the VMs that `speaks_for` selects.
    fn news(&self, now: Millis, speaks_for: impl Fn(&Origin) -> bool) -> Option<Report> {
        let told = self.told_by.as_ref().filter(|by| speaks_for(by));
        let told = told.and_then(|_| self.knowledge.told_news(now));
        let own = self.knowledge.own_news(now);
        own.into_iter().chain(told).max_by_key(|report| report.at)
    }
}

/// How long connections to the runners of a data centre take.
#[derive(Debug)]
pub(super) struct CentrePath {
    centre: String,
    path: Path,
}

/// Why a runner is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// A connection to it takes long.
    Slow,
    /// Another VM found it silent.
    Told,
    /// This VM has never reached it.
    Unreached,
}

impl Why {
    /// Returns the name for the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Slow => "slow",
            Self::Told => "told",
            Self::Unreached => "unreached",
        }
    }
}

impl Fleet {
    /// Returns what others need to hear: the reports of this VM and those that the origins told which
    /// `speaks_for` selects. Sorted by runner.
    #[must_use]
    pub fn silences(&self, now: Millis, speaks_for: impl Fn(&Origin) -> bool) -> Vec<Told> {
        let reports = self.runners.iter().filter_map(|runner| {
            let report = runner.silence.news(now, &speaks_for)?;
            Some(Told {
                runner: short_hash(runner.id_hash),
                age: now.since(report.at).as_u64(),
                silent: report.evidence == Evidence::Silent,
            })
        });
        told::newest(reports, MAX_TOLD, |told| told.age, |told| told.runner)
    }

    /// Records reports that another VM told. Returns how many were newer than what was told before.
    pub fn note_silences(&mut self, origin: &Origin, told: &[Told], now: Millis) -> u64 {
        let mut taken = 0;
        for (runner, told) in self.reported(told, |told| told.runner) {
            let report = Report {
                evidence: if told.silent {
                    Evidence::Silent
                } else {
                    Evidence::Reached
                },
                at: told::made_at(told.age, now),
            };
            if runner.silence.knowledge.note_told(report) {
                runner.silence.told_by = Some(origin.clone());
                taken += 1;
            }
        }
        taken
    }

    /// Records how long a connection to a runner took to establish.
    pub fn note_connected(&mut self, id: &str, took: Duration) {
        let Ok(index) = self.find(id) else {
            return;
        };
        let centre = &self.runners[index].entry.centre;
        let at = self.find_path(centre).unwrap_or_else(|at| {
            let new = CentrePath {
                centre: centre.clone(),
                path: Path::default(),
            };
            self.paths.insert(at, new);
            at
        });
        self.paths[at].path.note(took.as_secs_f64() * 1_000.0);
    }

    /// Returns how long a request waits for a connection to a runner before it goes elsewhere; `None` if
    /// that is as long as an attempt may take.
    pub(super) fn first_wait(&self, runner: &Runner) -> Option<Duration> {
        let found = self.find_path(&runner.entry.centre);
        let wait_ms = self.paths[found.ok()?].path.first_wait_ms()?;
        let wait = Duration::from_secs_f64(wait_ms / 1_000.0);
        (wait < CONNECT_TIMEOUT).then_some(wait)
    }

    fn find_path(&self, centre: &str) -> Result<usize, usize> {
        self.paths
            .binary_search_by(|path| path.centre.as_str().cmp(centre))
    }

    /// Returns those that get requests before the other ones: neither they are suspected, nor that their
    /// data centre is cut off, and this VM has reached them, if it has reached any.
    pub(super) fn trusted<'a>(&self, runners: &[&'a Runner], now: Millis) -> Vec<&'a Runner> {
        let verdict = |runner: &Runner| runner.silence.knowledge.verdict(now);
        let has_reached_any = runners.iter().any(|runner| runner.has_been_reached());
        let is_trusted = |runner: &Runner| {
            verdict(runner) == Verdict::Trusted && (runner.has_been_reached() || !has_reached_any)
        };
        if self.runners.iter().all(is_trusted) {
            return runners.to_vec();
        }
        let is_cut_off = |centre: &str| {
            let beside = self.runners.iter();
            let beside = beside.filter(|runner| runner.entry.centre == centre);
            let last_answer = beside.clone().map(|runner| runner.last_contact).max();
            reachability::is_cut_off(beside.map(verdict), last_answer.unwrap_or_default())
        };
        let mut centres: Vec<&str> = runners
            .iter()
            .map(|runner| runner.entry.centre.as_str())
            .collect();
        centres.sort_unstable();
        centres.dedup();
        centres.retain(|centre| is_cut_off(centre));
        let runners = runners.iter().copied();
        let trusted = runners.filter(|runner| {
            is_trusted(runner) && !centres.contains(&runner.entry.centre.as_str())
        });
        trusted.collect()
    }

    /// Returns whether others found a runner silent and this VM hasn't reached it since.
    #[must_use]
    pub fn is_suspected(&self, id: &str, now: Millis) -> bool {
        let known = self.find(id).map(|index| &self.runners[index]);
        known.is_ok_and(|known| {
            let verdict = known.silence.knowledge.verdict(now);
            matches!(verdict, Verdict::Suspected(_))
        })
    }

    /// Returns whether this VM has reached a runner.
    #[must_use]
    pub fn has_reached(&self, id: &str) -> bool {
        let known = self.find(id).map(|index| &self.runners[index]);
        known.is_ok_and(Runner::has_been_reached)
    }

    /// Records that a check of a runner begins that isn't trusted. Returns where to connect; `None` if it is
    /// under way already, or too many others are.
    pub fn begin_check(&mut self, id: &str, now: Millis) -> Option<Target> {
        let is_checked =
            |runner: &&Runner| matches!(runner.silence.knowledge.verdict(now), Verdict::Checked(_));
        if self.runners.iter().filter(is_checked).count() >= MAX_CHECKS {
            return None;
        }
        self.note_slow(id, now, now)
    }

    /// Records that an attempt which began at `since` is slow. Returns where to connect; `None` if one is
    /// known to be under way already.
    pub fn note_slow(&mut self, id: &str, since: Millis, now: Millis) -> Option<Target> {
        let runner = self.runner(id)?;
        if matches!(runner.silence.knowledge.verdict(now), Verdict::Checked(_)) {
            return None;
        }
        runner.note_attempt(since);
        Some(runner.target())
    }

    /// Records that nothing answered an attempt to connect to a runner that began at `since`.
    pub fn note_silent(&mut self, id: &str, since: Millis, now: Millis) {
        if let Some(runner) = self.runner(id) {
            runner.silence.knowledge.note_silent(since, now);
        }
    }
}
