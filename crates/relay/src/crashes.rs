//! Runners that crash, and the contents that they ran when they did.
//!
//! A connection that breaks off may have many reasons. So a content isn't blamed for a break at
//! once, but when the runner's address refuses the next connection ([`crate::reachability`]), as
//! after the end of its process. Then `policy::crash` decides which contents are refused, and at which
//! width; the other VMs are told ([`news`]).

pub mod news;
pub mod record;

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use policy::crash::Content;
use policy::crash::Incarnation;
use policy::crash::Ledger;
use policy::crash::Outcome;
use policy::crash::Report;
use policy::crash::Scope;
use policy::crash::Verdict;
use policy::crash::Width;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::event::Event;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::content;
use crate::content::Digests;
use crate::crashes::news::Contact;
use crate::crashes::record::Record;
use crate::fleet;
use crate::job::Job;
use crate::metrics::Counter;
use crate::node::Node;

/// For how long the reason of a break may be found. A runner that doesn't answer at all for this
/// long is cut off or has no power, which no content causes.
const BREAK_RETENTION: Millis = Millis::new(2_000);
/// The most breaks whose reason is looked for; the oldest is dropped first.
const MAX_BREAKS: usize = 1_024;
/// How long a request waits for the reason of a break that would get it refused, or for what other VMs
/// tell of it. A connection that is refused, or made, takes some milliseconds.
const MAX_CHECK_TIME: Duration = Duration::from_millis(100);
/// How often a waiting request looks for the reason.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// At how many widths a request is judged, the narrowest first.
const WIDTHS: [Width; 3] = [Width::Exact, Width::Body, Width::Resource];

/// What a VM knows of crashes.
#[derive(Debug, Default)]
pub struct Crashes {
    ledger: Ledger,
    /// Breaks whose reason isn't known yet.
    breaks: Vec<Break>,
    /// Runners that have crashed lately.
    crashed: Vec<Crash>,
    /// The exchange of reports with each other VM, sorted by VM.
    contacts: Vec<Contact>,
}

/// A connection that broke off while the runner had a request.
#[derive(Clone, Debug)]
struct Break {
    runner: String,
    incarnation: Incarnation,
    content: Content,
    wider: Scope,
    at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    incarnation: Incarnation,
    at: Millis,
}

/// What is known of a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    /// It may be sent to a runner.
    Allowed,
    /// It may not if its last runners have crashed, which isn't known yet.
    Pending,
    /// It may not, unless other VMs tell what else its last runner was running; holds the width.
    Doubted(Width),
    /// It may not: too many runners have crashed under what is the same at this width.
    Refused(Width),
}

/// Records that the connection to a runner broke off before the end of a request's answer.
pub fn note_break(job: &Job, runner: &fleet::Choice) {
    let node = &job.node;
    let Digests { content, wider } = content::digests(job);
    let broken = Break {
        runner: runner.id.clone(),
        incarnation: runner.incarnation,
        content,
        wider,
        at: node.clock.now(),
    };
    let mut crashes = node.crashes();
    if crashes.has_crashed(runner.incarnation) {
        crashes.blame(node, &broken);
        return;
    }
    if crashes.breaks.len() >= MAX_BREAKS {
        crashes.breaks.remove(0);
    }
    crashes.breaks.push(broken);
}

/// Records that a runner refuses connections, as its process has ended: whatever it was running may
/// be the reason.
pub fn note_refused(node: &Arc<Node>, runner: &str) {
    let now = node.clock.now();
    let mut crashes = node.crashes();
    for broken in crashes.take_breaks(runner) {
        let incarnation = broken.incarnation;
        if !crashes.has_crashed(incarnation) {
            crashes.crashed.push(Crash {
                incarnation,
                at: now,
            });
        }
        crashes.blame(node, &broken);
    }
}

/// Records that a connection to a runner was made: its process goes on.
pub fn note_connected(node: &Node, runner: &str) {
    let _innocent = node.crashes().take_breaks(runner);
}

/// Records that a runner ran a request to its end.
pub fn note_completed(job: &Job) {
    if job.node.crashes().ledger.is_empty() {
        return;
    }
    // Computed without the lock: bodies may be long.
    let Digests { content, wider } = content::digests(job);
    let report = Report {
        content,
        wider: Some(wider),
        outcome: Outcome::Completed,
        age: Millis::ZERO,
    };
    let now = job.node.clock.now();
    job.node.crashes().ledger.note(report, now);
}

/// Forgets what is too old.
pub fn forget_old(node: &Node) {
    let now = node.clock.now();
    let mut crashes = node.crashes();
    crashes.ledger.forget_old(now);
    let is_recent = |at: Millis| now.since(at) < BREAK_RETENTION;
    crashes.breaks.retain(|broken| is_recent(broken.at));
    crashes.crashed.retain(|crash| is_recent(crash.at));
    crashes.forget_contacts(now);
}

/// Refuses a request if too many runners have crashed under its content, its body or its resource.
/// Waits for the reason of a break that decides this, and for what other VMs tell of the last crash;
/// `possible_runs` counts the runners that may have run the request.
///
/// # Errors
///
/// Fails if the content is refused.
pub async fn check(job: &Job, possible_runs: u32) -> Result<(), Refusal> {
    if job.node.crashes().is_empty() {
        return Ok(());
    }
    let Digests { content, wider } = content::digests(job);
    let until = job.deadline.min(Instant::now() + MAX_CHECK_TIME);
    loop {
        let now = job.node.clock.now();
        let status = job.node.crashes().status(content, wider, now);
        let may_wait = Instant::now() < until;
        match status {
            Status::Pending | Status::Doubted(_) if may_wait => sleep(CHECK_INTERVAL).await,
            Status::Allowed | Status::Pending => return Ok(()),
            Status::Doubted(width) | Status::Refused(width) => {
                return Err(refusal(content, width, possible_runs));
            }
        }
    }
}

fn refusal(content: Content, width: Width, possible_runs: u32) -> Refusal {
    let ran = if possible_runs == 0 {
        Ran::No
    } else {
        Ran::Yes
    };
    let detail = format!("content={content} width={width}");
    Refusal::new(Code::Poisoned, &detail).ran(ran)
}

impl Crashes {
    fn is_empty(&self) -> bool {
        self.ledger.is_empty() && self.breaks.is_empty()
    }

    fn has_crashed(&self, incarnation: Incarnation) -> bool {
        let mut crashed = self.crashed.iter();
        crashed.any(|crash| crash.incarnation == incarnation)
    }

    fn take_breaks(&mut self, runner: &str) -> Vec<Break> {
        let of_runner = |broken: &mut Break| broken.runner == runner;
        self.breaks.extract_if(.., of_runner).collect()
    }

    fn status(&self, content: Content, wider: Scope, now: Millis) -> Status {
        let known = Some(wider);
        if let Verdict::Refused(width) = self.ledger.verdict(content, known) {
            return match self.ledger.unsettled_for(content, known, width, now) {
                Millis::ZERO => Status::Refused(width),
                _ => Status::Doubted(width),
            };
        }
        let might_refuse = |width: &Width| {
            let breaks = self.breaks.iter();
            let breaks = breaks.filter(|broken| broken.is_same(content, wider, *width));
            let breaks = breaks.count();
            let weight = self.ledger.weight(content, Some(wider), *width);
            breaks > 0 && weight + breaks >= width.min_weight()
        };
        if WIDTHS.iter().any(might_refuse) {
            Status::Pending
        } else {
            Status::Allowed
        }
    }

    fn blame(&mut self, node: &Arc<Node>, broken: &Break) {
        let now = node.clock.now();
        let report = Report {
            content: broken.content,
            wider: Some(broken.wider),
            outcome: Outcome::Crashed(broken.incarnation),
            age: now.since(broken.at),
        };
        let wider = Some(broken.wider);
        let before = self.ledger.verdict(broken.content, wider);
        if !self.ledger.note(report, now) {
            return;
        }
        let verdict = self.ledger.verdict(broken.content, wider);
        if verdict != before
            && let Verdict::Refused(width) = verdict
        {
            record::write(node, Record::of(&self.ledger, broken, width));
        }
        node.metrics.count(Counter::Blamed);
        log::warn!(
            "event=E{} text=\"{}\" content={} runner={} crashes={} verdict={}",
            Event::CallBlamed.number(),
            Event::CallBlamed.text(),
            broken.content,
            broken.runner,
            self.ledger.crashes(broken.content),
            Shown(verdict)
        );
    }
}

impl Break {
    /// Returns whether the request is the same as another one at a width.
    fn is_same(&self, content: Content, wider: Scope, width: Width) -> bool {
        match width {
            Width::Exact => self.content == content,
            Width::Body => self.wider.body == wider.body,
            Width::Resource => self.wider.resource == wider.resource,
        }
    }
}

/// A verdict as it is logged.
struct Shown(Verdict);

impl fmt::Display for Shown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Verdict::Allowed => f.write_str("Allowed"),
            Verdict::Refused(width) => write!(f, "Refused width={width}"),
        }
    }
}

/// Returns what identifies the life of a runner that started at `born`.
#[must_use]
pub fn incarnation(runner: &str, born: Option<u64>) -> Incarnation {
    let seed = born.unwrap_or_default();
    Incarnation(xxh3_64_with_seed(runner.as_bytes(), seed))
}
