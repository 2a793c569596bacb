//! Which endpoints this VM keeps, when it asks them, and what their answers mean.
//!
//! Each endpoint has one keeper, the VM of its data centre that rendezvous hashing gives it, so
//! that 600 endpoints are asked 600 times a second in all and not once by each of 380 VMs. A keeper
//! that dies is replaced when it is thought down; two keepers for a while do no harm.

use serde::Deserialize;
use settings::config::Endpoint;
use settings::config::Kind;
use wire::clock::Millis;
use wire::id;

use super::claims::Vm;
use super::members::beat;
use super::rendezvous;
use super::rendezvous::Candidate;

pub mod sweep;

/// How often an endpoint is asked for its load. A leaving one must get nothing after 3 s: a second
/// until it is asked, one for the spread, one to spare.
pub const POLL: Millis = Millis::new(1_000);
/// How often a runner is asked what it holds; see [`sweep::GRACE`] for the time until a leak is
/// found.
pub const CACHE: Millis = Millis::new(15_000);
/// Questions in a row without an answer from which on an endpoint isn't up. One may be lost.
const MISSES: u32 = 2;
/// How old a told report may grow while nothing changes.
const REFRESH: Millis = Millis::new(5_000);
/// Which part of its calls more or fewer make a report worth telling: one eighth moves a placement
/// by less than the lag of the reports does.
const PART: u32 = 8;
/// The least change of calls that is worth telling.
const LEAST: u32 = 2;

/// What an endpoint is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// Its load.
    Load,
    /// What it holds.
    Cache,
}

/// A question to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// IP number and port.
    pub address: String,
    /// What it is asked.
    pub question: Question,
}

/// An endpoint's report; what it leaves out is taken for nothing.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Calls that it works on.
    pub running: u32,
    /// Calls that wait at it.
    pub waiting: u32,
    /// Tokens a second for one call.
    pub tokens_per_second: f32,
    /// Prompt tokens that fit in its cache.
    pub cache_tokens_free: u64,
    /// Whether it takes no new calls.
    pub leaving: bool,
    /// The report's age.
    pub age_ms: Millis,
}

/// Whether a report is told to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tell {
    /// It is.
    Others,
    /// It is kept here only, as it differs little from the last one told.
    Nobody,
}

/// An endpoint that this VM keeps.
#[derive(Clone, Debug)]
struct Kept {
    endpoint: id::Endpoint,
    next_load: Millis,
    next_cache: Millis,
    misses: u32,
    last: beat::Load,
    told: Option<(beat::Load, Millis)>,
}

/// The endpoints that this VM keeps, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Keeper {
    kept: Vec<Kept>,
}

impl Keeper {
    /// Takes up and gives up endpoints as the configuration and the live VMs say, and yields the
    /// questions that are due. A data centre without a live VM has no keepers.
    pub fn due(&mut self, all: &[Endpoint], vms: &[Vm], me: &id::Vm, now: Millis) -> Vec<Poll> {
        let mine = |e: &&Endpoint| keeper(e, vms) == Some(me);
        let mine: Vec<&Endpoint> = all.iter().filter(mine).collect();
        self.kept
            .retain(|k| mine.iter().any(|e| e.name == k.endpoint));
        let mut polls = Vec::new();
        for endpoint in mine {
            let kept = self.take_up(&endpoint.name, now);
            let poll = |question| Poll {
                endpoint: endpoint.name.clone(),
                address: endpoint.address.clone(),
                question,
            };
            if now >= kept.next_load {
                kept.next_load = now.plus(POLL);
                polls.push(poll(Question::Load));
            }
            if now >= kept.next_cache && endpoint.kind == Kind::Runner {
                kept.next_cache = now.plus(CACHE);
                polls.push(poll(Question::Cache));
            }
        }
        polls
    }

    /// Takes the answer to a question for the load, `None` where there was none, and yields what
    /// to publish.
    pub fn answered(
        &mut self,
        endpoint: &id::Endpoint,
        report: Option<&Report>,
        now: Millis,
    ) -> Option<(beat::Load, Tell)> {
        let at = self.at(endpoint).ok()?;
        let kept = &mut self.kept[at];
        if let Some(report) = report {
            kept.misses = 0;
            kept.last = line(endpoint, report);
        } else {
            kept.misses += 1;
            if kept.misses < MISSES {
                return None;
            }
            kept.last.up = false;
            kept.last.age = Millis::ZERO;
        }
        let tell = match &kept.told {
            Some((told, at)) if now.since(*at) < REFRESH && alike(told, &kept.last) => Tell::Nobody,
            _ => Tell::Others,
        };
        if tell == Tell::Others {
            kept.told = Some((kept.last.clone(), now));
        }
        Some((kept.last.clone(), tell))
    }

    fn take_up(&mut self, endpoint: &id::Endpoint, now: Millis) -> &mut Kept {
        let at = self.at(endpoint).unwrap_or_else(|at| {
            let kept = Kept {
                endpoint: endpoint.clone(),
                next_load: now,
                next_cache: now.plus(CACHE),
                misses: 0,
                last: line(endpoint, &Report::default()),
                told: None,
            };
            self.kept.insert(at, kept);
            at
        });
        &mut self.kept[at]
    }

    fn at(&self, endpoint: &id::Endpoint) -> std::result::Result<usize, usize> {
        self.kept.binary_search_by(|k| k.endpoint.cmp(endpoint))
    }
}

/// Chooses the VM that keeps an endpoint.
fn keeper<'a>(endpoint: &Endpoint, vms: &'a [Vm]) -> Option<&'a id::Vm> {
    let able = vms
        .iter()
        .filter(|v| v.centre == endpoint.centre && v.up && !v.stopping);
    let candidates = able.map(|v| Candidate {
        vm: &v.vm,
        size: v.size,
    });
    rendezvous::choose(endpoint.name.as_str(), candidates)
}

fn line(endpoint: &id::Endpoint, report: &Report) -> beat::Load {
    beat::Load {
        endpoint: endpoint.clone(),
        age: report.age_ms,
        up: true,
        leaving: report.leaving,
        running: report.running,
        waiting: report.waiting,
        speed: report.tokens_per_second,
        cache: report.cache_tokens_free,
    }
}

fn alike(told: &beat::Load, last: &beat::Load) -> bool {
    let calls = |l: &beat::Load| l.running + l.waiting;
    let near = calls(told).abs_diff(calls(last)) < LEAST.max(calls(told) / PART);
    near && told.up == last.up && told.leaving == last.leaving
}

#[cfg(test)]
mod tests;
