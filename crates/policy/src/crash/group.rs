//! The contents that have something in common, and the crashes that accuse all of them.

use wire::clock::Millis;

use crate::crash::Content;
use crate::crash::Crash;
use crate::crash::Incarnation;
use crate::crash::Ledger;
use crate::crash::MAX_BODIES;
use crate::crash::MAX_CRASHES;
use crate::crash::MIN_BODIES;
use crate::crash::MIN_CRASHES;
use crate::crash::MIN_LEAD;
use crate::crash::Outcome;
use crate::crash::Report;
use crate::crash::SETTLE_TIME;
use crate::crash::Scope;
use crate::crash::Suspect;
use crate::crash::Width;

/// The contents that are the same at a width.
#[derive(Clone, Copy, Debug)]
pub(super) struct Group {
    /// How much they have in common.
    pub(super) width: Width,
    /// The digest of what they have in common.
    content: Content,
    /// What one of them is a part of.
    wider: Option<Scope>,
}

/// A crash that accuses a group.
#[derive(Clone, Copy, Debug)]
pub(super) struct Accusation<'a> {
    suspect: &'a Suspect,
    crash: Crash,
    /// The digest of the suspect at the next narrower width.
    part: Content,
    /// Whether the part was the only one of the group there, or which of them was doesn't matter.
    is_alone: bool,
}

/// Returns the groups of a content, the narrowest first.
pub(super) fn of(content: Content, wider: Option<Scope>) -> impl Iterator<Item = Group> {
    let group = move |width, content| Group {
        width,
        content,
        wider,
    };
    let body = wider.map(|wider| group(Width::Body, wider.body));
    let resource = wider.map(|wider| group(Width::Resource, wider.resource));
    let exact = Some(group(Width::Exact, content));
    [exact, body, resource].into_iter().flatten()
}

/// Returns how much accusations of a width count. One part counts once, however often it was there.
pub(super) fn weight(width: Width, accusations: &[Accusation<'_>]) -> usize {
    let alone = accusations.iter().filter(|one| one.is_alone);
    let mut parts: Vec<Content> = alone.map(|one| one.part).collect();
    parts.sort_unstable();
    let repeated = parts.chunk_by(|a, b| a == b).filter(|same| same.len() > 1);
    let repeated = repeated.count();
    let crashes = parts.len();
    parts.dedup();
    match width {
        Width::Exact => crashes,
        Width::Body if parts.len() > 1 => crashes,
        Width::Body => parts.len(),
        Width::Resource => parts.len() + repeated.saturating_sub(1),
    }
}

impl Width {
    /// Returns the weight of accusations that may suffice for a refusal.
    #[must_use]
    pub const fn min_weight(self) -> usize {
        match self {
            Self::Exact | Self::Body => MIN_CRASHES,
            Self::Resource => MIN_BODIES,
        }
    }

    /// Returns the weight of accusations that suffices whatever else was running.
    const fn max_weight(self) -> usize {
        match self {
            Self::Exact | Self::Body => MAX_CRASHES,
            Self::Resource => MAX_BODIES,
        }
    }
}

impl Accusation<'_> {
    pub(super) fn settled_at(&self) -> Millis {
        self.crash.at.plus(SETTLE_TIME)
    }

    pub(super) fn report(&self) -> Report {
        Report {
            content: self.suspect.content,
            wider: self.suspect.wider,
            outcome: Outcome::Crashed(self.crash.incarnation),
            age: Millis::ZERO,
        }
    }
}

impl Group {
    /// Returns whether one of two groups is a part of the other.
    fn is_nested(&self, other: &Self) -> bool {
        let (narrow, wide) = if self.width < other.width {
            (self, other)
        } else {
            (other, self)
        };
        if narrow.width == wide.width {
            return narrow.content == wide.content;
        }
        narrow.wider.is_some_and(|wider| match wide.width {
            Width::Exact => false,
            Width::Body => wider.body == wide.content,
            Width::Resource => wider.resource == wide.content,
        })
    }
}

impl Ledger {
    /// Returns the crashes that accuse a group, sorted by time, each once.
    pub(super) fn accusations(&self, group: Group) -> Vec<Accusation<'_>> {
        if group.width == Width::Exact {
            let found = self.find(group.content).ok();
            let suspect = found.map(|index| &self.suspects[index]);
            let crashes = suspect.into_iter().flat_map(of_suspect);
            return crashes.collect();
        }
        let cleared_at = self.cleared_at(group.content);
        let is_accusing = |one: &Accusation| cleared_at.is_none_or(|done| one.crash.at > done);
        let mut all: Vec<Accusation> = Vec::new();
        for suspect in &self.suspects {
            let Some(wider) = suspect.wider else {
                continue;
            };
            let (content, part) = if group.width == Width::Body {
                (wider.body, suspect.content)
            } else {
                (wider.resource, wider.body)
            };
            if content == group.content {
                let crashes = of_suspect(suspect).map(|one| Accusation { part, ..one });
                all.extend(crashes.filter(is_accusing));
            }
        }
        all.sort_by_key(|one| (one.crash.incarnation, one.part));
        all.dedup_by_key(|one| (one.crash.incarnation, one.part));
        let mut kept: Vec<Accusation> = Vec::new();
        for same in all.chunk_by(|a, b| a.crash.incarnation == b.crash.incarnation) {
            kept.push(Accusation {
                is_alone: group.width == Width::Body || same.len() == 1,
                ..same[0]
            });
        }
        kept.sort_by_key(|one| one.crash.at);
        kept
    }

    /// Returns whether a group is refused, without regard to wider ones.
    pub(super) fn is_refused(&self, group: Group) -> bool {
        let accusations = self.accusations(group);
        let Some(suspected_at) = suspicion(group.width, &accusations) else {
            return false;
        };
        let explains = |rival: &Group| {
            let known = self.accusations(*rival);
            let at = suspicion(rival.width, &known);
            let is_earlier = at.is_some_and(|at| at.plus(MIN_LEAD) < suspected_at);
            let is_better = (known.len(), group.width) > (accusations.len(), rival.width)
                && accusations
                    .iter()
                    .all(|one| includes(&known, one.crash.incarnation));
            if is_earlier || is_better {
                return self.suffice(*rival, &known);
            }
            let elsewhere = known
                .into_iter()
                .filter(|one| !includes(&accusations, one.crash.incarnation));
            self.suffice(*rival, &elsewhere.collect::<Vec<_>>())
        };
        let rivals = self.rivals(group, &accusations);
        let culprits: Vec<Group> = rivals.into_iter().filter(explains).collect();
        let is_unexplained = |one: &Accusation| {
            let mut culprits = culprits.iter();
            !culprits.any(|culprit| includes(&self.accusations(*culprit), one.crash.incarnation))
        };
        let unexplained = accusations.into_iter().filter(is_unexplained);
        self.suffice(group, &unexplained.collect::<Vec<_>>())
    }

    /// Returns whether these accusations of a group suffice to refuse it.
    fn suffice(&self, group: Group, accusations: &[Accusation<'_>]) -> bool {
        let weight = weight(group.width, accusations);
        if weight < group.width.min_weight() || weight >= group.width.max_weight() {
            return weight >= group.width.max_weight();
        }
        let was_there = |rival: &Group| {
            let mut known = self.accusations(*rival);
            known.retain(|one| one.is_alone);
            let mut accusations = accusations.iter();
            accusations.all(|one| includes(&known, one.crash.incarnation))
        };
        let rivals = self.rivals(group, &accusations[..1]);
        !rivals.iter().any(was_there)
    }

    /// Returns the groups that were at one of these crashes, without those that are a part of the group
    /// or that it is a part of.
    fn rivals(&self, group: Group, accusations: &[Accusation<'_>]) -> Vec<Group> {
        let was_there = |suspect: &&Suspect| {
            let mut accusations = accusations.iter();
            accusations.any(|one| suspect.includes(one.crash.incarnation))
        };
        let suspects = self.suspects.iter().filter(was_there);
        let groups = suspects.flat_map(|suspect| of(suspect.content, suspect.wider));
        let mut rivals: Vec<Group> = groups.filter(|rival| !rival.is_nested(&group)).collect();
        rivals.sort_by_key(|rival| (rival.width, rival.content));
        rivals.dedup_by_key(|rival| (rival.width, rival.content));
        rivals
    }
}

fn of_suspect(suspect: &Suspect) -> impl Iterator<Item = Accusation<'_>> {
    suspect.crashes.iter().map(|crash| Accusation {
        suspect,
        crash: *crash,
        part: suspect.content,
        is_alone: true,
    })
}

fn includes(accusations: &[Accusation<'_>], incarnation: Incarnation) -> bool {
    let mut accusations = accusations.iter();
    accusations.any(|one| one.crash.incarnation == incarnation)
}

/// Returns when the accusations of a group first were as many as may suffice, if they are.
fn suspicion(width: Width, accusations: &[Accusation<'_>]) -> Option<Millis> {
    let mut alone = accusations.iter().filter(|one| one.is_alone);
    let last = alone.nth(width.min_weight() - 1)?;
    Some(last.crash.at)
}
