//! Which endpoints this VM polls, when it does so, and how it evaluates their answers.
//!
//! Each endpoint has one poller: the VM of its data centre that rendezvous hashing assigns to it.
//! 600 endpoints are therefore polled 600 times a second in total, and not once by each of 380 VMs.
//! A poller that dies is replaced when it is thought to be down. Two pollers at the same time for a
//! while do no harm.

use serde::Deserialize;
use settings::config::Endpoint;
use settings::config::Kind;
use wire::clock::Millis;
use wire::id;

use super::claims::Vm;
use super::members::heartbeat;
use super::rendezvous;
use super::rendezvous::Candidate;

pub mod sweep;

/// How often an endpoint is asked for its load. An endpoint that leaves must get no calls after 3
/// s: 1 s until it is polled, 1 s to spread the report and 1 s of margin.
pub const LOAD_INTERVAL: Millis = Millis::new(1_000);
/// How often a runner is asked which programs it has cached; see [`sweep::GRACE`] for the time
/// until a leak is found.
pub const CACHE_INTERVAL: Millis = Millis::new(15_000);
/// Consecutive polls without an answer after which an endpoint counts as down. A single answer may
/// be lost.
const FAILURE_THRESHOLD: u32 = 2;
/// The maximum age of a published report while nothing changes.
const REFRESH_INTERVAL: Millis = Millis::new(5_000);
/// A report is published if the number of calls changed by this fraction, one eighth. A smaller
/// change affects placement by less than the lag of the reports does.
const CHANGE_DIVISOR: u32 = 8;
/// The smallest change of the number of calls that is published.
const MIN_CHANGE: u32 = 2;

/// What an endpoint is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Question {
    /// Its load.
    Load,
    /// The programs it has cached.
    Cache,
}

/// A poll of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// IP address and port.
    pub address: String,
    /// What it is asked for.
    pub question: Question,
}

/// An endpoint's report. Missing fields count as zero or false.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Report {
    /// Calls that it is running.
    pub running: u32,
    /// Calls that wait at it.
    pub waiting: u32,
    /// Tokens a second for one call.
    pub tokens_per_second: f32,
    /// Prompt tokens that fit in its cache.
    pub cache_tokens_free: u64,
    /// Whether it takes no new calls.
    pub leaving: bool,
    /// The age of the report.
    pub age_ms: Millis,
}

/// To whom a report is published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// To the other VMs of the centre.
    Centre,
    /// To this VM only, because it differs little from the last one published to others.
    Local,
}

/// An endpoint that this VM polls.
#[derive(Clone, Debug)]
struct Target {
    endpoint: id::Endpoint,
    next_load: Millis,
    next_cache: Millis,
    failures: u32,
    last: heartbeat::Load,
    published: Option<(heartbeat::Load, Millis)>,
}

/// The endpoints that this VM polls, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Poller {
    targets: Vec<Target>,
}

impl Poller {
    /// Updates the polled endpoints to the configuration and the live VMs, and returns the polls
    /// that are due. The endpoints of a data centre without a live VM aren't polled.
    pub fn due(&mut self, all: &[Endpoint], vms: &[Vm], me: &id::Vm, now: Millis) -> Vec<Poll> {
        let mine = |e: &&Endpoint| poller(e, vms) == Some(me);
        let mine: Vec<&Endpoint> = all.iter().filter(mine).collect();
        self.targets
            .retain(|t| mine.iter().any(|e| e.name == t.endpoint));
        let mut polls = Vec::new();
        for endpoint in mine {
            let target = self.target_mut(&endpoint.name, now);
            let poll = |question| Poll {
                endpoint: endpoint.name.clone(),
                address: endpoint.address.clone(),
                question,
            };
            if now >= target.next_load {
                target.next_load = now.plus(LOAD_INTERVAL);
                polls.push(poll(Question::Load));
            }
            if now >= target.next_cache && endpoint.kind == Kind::Runner {
                target.next_cache = now.plus(CACHE_INTERVAL);
                polls.push(poll(Question::Cache));
            }
        }
        polls
    }

    /// Handles the answer to a load poll, `None` if there was none. Returns what to publish and to
    /// whom.
    pub fn on_answer(
        &mut self,
        endpoint: &id::Endpoint,
        report: Option<&Report>,
        now: Millis,
    ) -> Option<(heartbeat::Load, Audience)> {
        let index = self.position(endpoint).ok()?;
        let target = &mut self.targets[index];
        if let Some(report) = report {
            target.failures = 0;
            target.last = load(endpoint, report);
        } else {
            target.failures += 1;
            if target.failures < FAILURE_THRESHOLD {
                return None;
            }
            target.last.up = false;
            target.last.age = Millis::ZERO;
        }
        let audience = match &target.published {
            Some((published, published_at))
                if now.since(*published_at) < REFRESH_INTERVAL
                    && is_similar(published, &target.last) =>
            {
                Audience::Local
            }
            _ => Audience::Centre,
        };
        if audience == Audience::Centre {
            target.published = Some((target.last.clone(), now));
        }
        Some((target.last.clone(), audience))
    }

    fn target_mut(&mut self, endpoint: &id::Endpoint, now: Millis) -> &mut Target {
        let index = self.position(endpoint).unwrap_or_else(|index| {
            let target = Target {
                endpoint: endpoint.clone(),
                next_load: now,
                next_cache: now.plus(CACHE_INTERVAL),
                failures: 0,
                last: load(endpoint, &Report::default()),
                published: None,
            };
            self.targets.insert(index, target);
            index
        });
        &mut self.targets[index]
    }

    fn position(&self, endpoint: &id::Endpoint) -> std::result::Result<usize, usize> {
        self.targets.binary_search_by(|t| t.endpoint.cmp(endpoint))
    }
}

/// Chooses the VM that polls an endpoint.
fn poller<'a>(endpoint: &Endpoint, vms: &'a [Vm]) -> Option<&'a id::Vm> {
    let eligible = vms
        .iter()
        .filter(|v| v.centre == endpoint.centre && v.up && !v.stopping);
    let candidates = eligible.map(|v| Candidate {
        vm: &v.vm,
        size: v.size,
    });
    rendezvous::choose(endpoint.name.as_str(), candidates)
}

fn load(endpoint: &id::Endpoint, report: &Report) -> heartbeat::Load {
    heartbeat::Load {
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

fn is_similar(published: &heartbeat::Load, last: &heartbeat::Load) -> bool {
    let calls = |l: &heartbeat::Load| l.running + l.waiting;
    let similar =
        calls(published).abs_diff(calls(last)) < MIN_CHANGE.max(calls(published) / CHANGE_DIVISOR);
    similar && published.up == last.up && published.leaving == last.leaving
}

#[cfg(test)]
mod tests;
