//! Decides which requests are refused because the endpoints that run them crash.
//!
//! The load: a request that crashes each endpoint that begins to run it is repeated, by its caller
//! or by other programs, through any VM. Each attempt takes one or two endpoints of a service down,
//! with everything else that they run, and after a few attempts the service has none left. So VMs
//! tell each other which contents an endpoint was running when it crashed, and refuse a content
//! after [`MIN_CRASHES`] to [`MAX_CRASHES`] crashes.
//!
//! What comes back needn't be the same content: a body may continue another turn each time, and a
//! resource may crash endpoints with any body. So contents are suspected at several widths
//! ([`Width`]), and the narrowest that repeats is refused.
//!
//! Most contents that a crashing endpoint runs have nothing to do with the crash. These keep them
//! from being refused:
//! - One crash is no proof.
//! - Two are one only if nothing else was there both times. A request that was sent again when its
//!   endpoint crashed often meets the same culprit at the next one, as both are sent to the endpoint
//!   with the least work.
//! - A crash that another culprit explains, as it was refused for it before, doesn't count.
//! - What an endpoint ran to its end since then is no culprit.
//! - A wider width needs several narrower parts, and a resource counts each body once: one content
//!   never gets its resource refused. A crash that a culprit elsewhere of a narrower width explains
//!   doesn't count, whenever it was found.
//! - A crash accuses a resource only if one body of it was there: many share a busy resource. It
//!   takes [`MIN_BODIES`] bodies, or [`MAX_BODIES`] if something else was there each time.

use std::fmt;

use wire::clock::Millis;

use crate::crash::group::Accusation;

/// Number of endpoints that crash under a content before it is refused if no other content was
/// running at as many of them.
pub const MIN_CRASHES: usize = 2;
/// The same whatever else they were running.
pub const MAX_CRASHES: usize = 3;
/// Number of bodies of a resource under which endpoints crash before the resource is refused if
/// nothing else was running at all of them.
pub const MIN_BODIES: usize = 3;
/// The same whatever else they were running.
pub const MAX_BODIES: usize = 6;
/// How long other VMs need to tell what else an endpoint was running when it crashed.
pub const SETTLE_TIME: Millis = Millis::new(100);
/// How long a content is remembered after the last crash under it. Callers repeat requests for
/// minutes at most; by then operators may have mended the endpoints.
pub const RETENTION: Millis = Millis::new(600_000);
/// The most contents that are remembered. When a large endpoint crashes, some dozens are added.
const MAX_SUSPECTS: usize = 1_024;
/// The most bodies and resources that are remembered because one of them ran to its end.
const MAX_CLEARINGS: usize = 2 * MAX_SUSPECTS;
/// The most crashes that are remembered of a content. VMs that have not heard of a refusal yet may
/// add a few to [`MAX_CRASHES`].
const MAX_REMEMBERED: usize = 8;
/// By how much earlier a content must have been suspected to explain the crashes of another one. VMs
/// notice a crash at slightly different times, and tell each other ages.
const MIN_LEAD: Millis = Millis::new(1_000);

/// The digest of what a request asks for. Requests with the same digest do the same to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Content(pub u128);

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// What a content is a part of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Scope {
    /// The digest of its body and resource, whatever turn it continues.
    pub body: Content,
    /// The digest of its resource, whatever its body is.
    pub resource: Content,
}

/// How much requests have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Width {
    /// Everything.
    Exact,
    /// All but the turn that they continue.
    Body,
    /// The workspace, the method, the host and the path.
    Resource,
}

impl fmt::Display for Width {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Exact => "exact",
            Self::Body => "body",
            Self::Resource => "resource",
        })
    }
}

/// Identifies one life of an endpoint: it has another one after each start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation(pub u64);

/// What an endpoint did with a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It crashed while it ran the content.
    Crashed(Incarnation),
    /// It ran the content to its end.
    Completed,
}

/// An outcome that one VM tells another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The content. Of one that ran to its end it may be that of any width.
    pub content: Content,
    /// What the content is a part of, if that is known.
    pub wider: Option<Scope>,
    /// What an endpoint did.
    pub outcome: Outcome,
    /// How long ago.
    pub age: Millis,
}

/// Changes of a ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changes {
    /// What changed, in order.
    pub reports: Vec<Report>,
    /// The number of the last change that they hold.
    pub through: u64,
}

/// Whether a content may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Allowed,
    /// It may not: too many endpoints crashed under what is the same at this width.
    Refused(Width),
}

/// The contents under which endpoints have crashed, as far as a VM knows.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    /// Sorted by content.
    suspects: Vec<Suspect>,
    /// The bodies and resources of suspects of which one ran to its end, sorted by content.
    clearings: Vec<Clearing>,
    /// Number of the latest change.
    latest: u64,
}

#[derive(Clone, Debug)]
struct Suspect {
    content: Content,
    wider: Option<Scope>,
    /// The crashes since the content last ran to its end, sorted by time.
    crashes: Vec<Crash>,
    completed: Option<Completion>,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    incarnation: Incarnation,
    at: Millis,
    /// Number of the change that added it.
    change: u64,
}

#[derive(Clone, Copy, Debug)]
struct Completion {
    at: Millis,
    /// Number of the change that recorded it.
    change: u64,
}

/// That a body or a resource ran to its end.
#[derive(Clone, Copy, Debug)]
struct Clearing {
    content: Content,
    completed: Completion,
}

impl Ledger {
    /// Returns whether no content is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns the number of the latest change.
    #[must_use]
    pub const fn latest(&self) -> u64 {
        self.latest
    }

    /// Returns how many endpoints crashed under a content since it last ran to its end.
    #[must_use]
    pub fn crashes(&self, content: Content) -> usize {
        let found = self.find(content).ok();
        found.map_or(0, |index| self.suspects[index].crashes.len())
    }

    /// Decides whether a content may be sent to an endpoint.
    #[must_use]
    pub fn verdict(&self, content: Content, wider: Option<Scope>) -> Verdict {
        let mut groups = group::of(content, wider);
        let refused = groups.find(|group| self.is_refused(*group));
        refused.map_or(Verdict::Allowed, |group| Verdict::Refused(group.width))
    }

    /// Returns for how long a refusal at a width isn't settled: until other VMs have told what else the last
    /// endpoint was running.
    #[must_use]
    pub fn unsettled_for(
        &self,
        content: Content,
        wider: Option<Scope>,
        width: Width,
        now: Millis,
    ) -> Millis {
        let accusations = self.accusations_at(content, wider, width);
        let last = accusations.last();
        last.map_or(Millis::ZERO, |last| last.settled_at().since(now))
    }

    /// Returns how much accuses a content at a width: the crashes, or of a resource the bodies.
    #[must_use]
    pub fn weight(&self, content: Content, wider: Option<Scope>, width: Width) -> usize {
        group::weight(width, &self.accusations_at(content, wider, width))
    }

    /// Returns the crashes that accuse a content at a width, each with the content that ran there.
    #[must_use]
    pub fn evidence(&self, content: Content, wider: Option<Scope>, width: Width) -> Vec<Report> {
        let accusations = self.accusations_at(content, wider, width);
        accusations.iter().map(Accusation::report).collect()
    }

    /// Returns the crashes that accuse a content at a width, sorted by time; none if it isn't known what the
    /// content is a part of there.
    fn accusations_at(
        &self,
        content: Content,
        wider: Option<Scope>,
        width: Width,
    ) -> Vec<Accusation<'_>> {
        let mut groups = group::of(content, wider);
        let found = groups.find(|group| group.width == width);
        found.map_or_else(Vec::new, |group| self.accusations(group))
    }

    /// Records what an endpoint did `age` ago, and returns whether that was new. That a content ran to
    /// its end is recorded only of one under which endpoints crashed.
    pub fn note(&mut self, report: Report, now: Millis) -> bool {
        let at = Millis::new(now.as_u64().saturating_sub(report.age.as_u64()));
        let is_new = match report.outcome {
            Outcome::Crashed(incarnation) => self.note_crash(report, incarnation, at),
            Outcome::Completed => self.note_completed(report, at),
        };
        self.drop_excess();
        is_new
    }

    /// Forgets contents of which nothing was heard for too long.
    pub fn forget_old(&mut self, now: Millis) {
        let is_recent = |suspect: &Suspect| now.since(suspect.last_change()) < RETENTION;
        self.suspects.retain(is_recent);
        let is_recent = |clearing: &Clearing| now.since(clearing.completed.at) < RETENTION;
        self.clearings.retain(is_recent);
    }

    /// Returns the first changes after the change with the number `after`, at most `most`.
    #[must_use]
    pub fn changes(&self, after: u64, most: usize, now: Millis) -> Changes {
        if after >= self.latest {
            return Changes {
                reports: Vec::new(),
                through: self.latest,
            };
        }
        let mut changed = Vec::new();
        for suspect in &self.suspects {
            let report = |outcome, at| Report {
                content: suspect.content,
                wider: suspect.wider,
                outcome,
                age: now.since(at),
            };
            for crash in &suspect.crashes {
                let outcome = Outcome::Crashed(crash.incarnation);
                changed.push((crash.change, report(outcome, crash.at)));
            }
            if let Some(done) = suspect.completed {
                changed.push((done.change, report(Outcome::Completed, done.at)));
            }
        }
        for clearing in &self.clearings {
            let report = Report {
                content: clearing.content,
                wider: None,
                outcome: Outcome::Completed,
                age: now.since(clearing.completed.at),
            };
            changed.push((clearing.completed.change, report));
        }
        changed.retain(|(change, _)| *change > after);
        changed.sort_by_key(|(change, _)| *change);
        let is_cut = changed.len() > most;
        changed.truncate(most);
        let through = match changed.last() {
            Some((change, _)) if is_cut => *change,
            _ => self.latest,
        };
        Changes {
            reports: changed.into_iter().map(|(_, report)| report).collect(),
            through,
        }
    }

    fn find(&self, content: Content) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&content, |suspect| suspect.content)
    }

    fn note_crash(&mut self, report: Report, incarnation: Incarnation, at: Millis) -> bool {
        let before = self.latest;
        let found = self.find(report.content);
        let index = found.unwrap_or_else(|index| self.insert(index, report.content));
        let suspect = &mut self.suspects[index];
        if suspect.wider.is_none() && report.wider.is_some() {
            suspect.wider = report.wider;
            // Whoever was told of these crashes is told what the content is a part of.
            for crash in &mut suspect.crashes {
                self.latest += 1;
                crash.change = self.latest;
            }
        }
        if suspect.add_crash(incarnation, at, self.latest + 1) {
            self.latest += 1;
        }
        self.latest > before
    }

    fn note_completed(&mut self, report: Report, at: Millis) -> bool {
        let before = self.latest;
        if let Ok(index) = self.find(report.content)
            && self.suspects[index].complete(at, self.latest + 1)
        {
            self.latest += 1;
        }
        let wider = report.wider.map(|wider| [wider.body, wider.resource]);
        self.clear(report.content, at);
        for content in wider.into_iter().flatten() {
            self.clear(content, at);
        }
        self.latest > before
    }

    /// Records that a body or a resource ran to its end, if that clears it of a crash.
    fn clear(&mut self, content: Content, at: Millis) {
        let cleared = self.cleared_at(content);
        let is_cleared =
            |crash: &Crash| crash.at <= at && cleared.is_none_or(|done| crash.at > done);
        let is_accused = |suspect: &Suspect| {
            suspect.is_part_of(content) && suspect.crashes.iter().any(is_cleared)
        };
        if !self.suspects.iter().any(is_accused) {
            return;
        }
        self.latest += 1;
        let clearing = Clearing {
            content,
            completed: Completion {
                at,
                change: self.latest,
            },
        };
        match self.find_clearing(content) {
            Ok(index) => self.clearings[index] = clearing,
            Err(index) => self.clearings.insert(index, clearing),
        }
    }

    fn find_clearing(&self, content: Content) -> Result<usize, usize> {
        self.clearings
            .binary_search_by_key(&content, |clearing| clearing.content)
    }

    /// Returns when a body or a resource last ran to its end.
    fn cleared_at(&self, content: Content) -> Option<Millis> {
        let found = self.find_clearing(content).ok();
        found.map(|index| self.clearings[index].completed.at)
    }

    fn insert(&mut self, index: usize, content: Content) -> usize {
        let suspect = Suspect {
            content,
            wider: None,
            crashes: Vec::new(),
            completed: None,
        };
        self.suspects.insert(index, suspect);
        index
    }

    /// Drops what is too much: of the contents with the fewest crashes that aren't needed for a refusal,
    /// the one whose last crash is the longest ago.
    fn drop_excess(&mut self) {
        if self.clearings.len() > MAX_CLEARINGS {
            let clearings = self.clearings.iter().enumerate();
            let oldest = clearings.min_by_key(|(_, clearing)| clearing.completed.at);
            if let Some((index, _)) = oldest {
                self.clearings.remove(index);
            }
        }
        if self.suspects.len() <= MAX_SUSPECTS {
            return;
        }
        let key = |index: &usize| {
            let suspect = &self.suspects[*index];
            (suspect.crashes.len(), suspect.last_change())
        };
        let mut indices: Vec<usize> = (0..self.suspects.len()).collect();
        indices.sort_by_key(key);
        let is_needed = |index: &usize| {
            let suspect = &self.suspects[*index];
            self.verdict(suspect.content, suspect.wider) != Verdict::Allowed
        };
        let unneeded = indices.iter().find(|index| !is_needed(index));
        if let Some(index) = unneeded.or(indices.first()).copied() {
            self.suspects.remove(index);
        }
    }
}

impl Suspect {
    fn includes(&self, incarnation: Incarnation) -> bool {
        let mut crashes = self.crashes.iter();
        crashes.any(|crash| crash.incarnation == incarnation)
    }

    /// Returns whether a digest is that of the suspect's body or resource.
    fn is_part_of(&self, content: Content) -> bool {
        let is_wider = |wider: Scope| wider.body == content || wider.resource == content;
        self.wider.is_some_and(is_wider)
    }

    fn last_change(&self) -> Millis {
        let crashed = self.crashes.last().map(|crash| crash.at);
        let completed = self.completed.map(|done| done.at);
        crashed.max(completed).unwrap_or(Millis::ZERO)
    }

    fn add_crash(&mut self, incarnation: Incarnation, at: Millis, change: u64) -> bool {
        let is_known = |crash: &Crash| crash.incarnation == incarnation;
        let is_cleared = self.completed.is_some_and(|done| at <= done.at);
        if is_cleared || self.crashes.iter().any(is_known) || self.crashes.len() >= MAX_REMEMBERED {
            return false;
        }
        let index = self.crashes.partition_point(|crash| crash.at <= at);
        let crash = Crash {
            incarnation,
            at,
            change,
        };
        self.crashes.insert(index, crash);
        true
    }

    /// Records that the content ran to its end, if that clears it of a crash.
    fn complete(&mut self, at: Millis, change: u64) -> bool {
        let count = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        let clears = self.crashes.len() < count;
        if clears {
            self.completed = Some(Completion { at, change });
        }
        clears
    }
}

mod group;
#[cfg(test)]
mod tests;
