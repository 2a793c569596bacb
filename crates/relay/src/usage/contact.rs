//! How many of the other VMs a VM hears, itself or through its hub.
//!
//! VMs that don't hear each other admit requests that the others don't know of. So each counts how many it
//! hears: together they may take that part of the limit which was left when they last heard all.

use policy::quota::Contact;
use wire::clock::Millis;

use crate::tally::Origin;
use crate::usage::report::AllHeard;
use crate::usage::report::Report;

/// A VM counts as silent that hasn't been heard for this many times as long as news take to all VMs.
const SILENCE_LAGS: u64 = 4;
/// VMs that haven't been heard for this long don't count any more. Longer than most cuts.
const REMOVAL_TIMEOUT: Millis = Millis::new(30_000);
/// How long a process counts as heard that doesn't say which VMs it hears.
const OLDER_TIMEOUT: Millis = Millis::new(1_500);
/// How long after its start a VM doesn't go by the number of VMs that it knows itself, unless it hears all and
/// learns of no further one. When all VMs start, they learn of each other one by one.
const SETTLING_TIME: Millis = Millis::new(2_000);
/// A VM that sees no other one in the directory for this long after its start is the only one. When all
/// VMs start, none is in the directory at first.
const ALONE_AFTER: Millis = Millis::new(500);

/// What a VM hears.
#[derive(Debug)]
pub struct Hearing {
    started_at: Millis,
    /// How long it takes until all VMs know what one of them tells, which grows with their number.
    lag: Millis,
    /// For how long senders are remembered.
    memory: Millis,
    senders: Vec<Sender>,
    /// When all VMs were last heard, by this one or one that told it.
    all: Option<AllHeard>,
    /// When a process was last heard that doesn't say which VMs it hears.
    older_heard_at: Option<Millis>,
    /// Since when all VMs that are known have been heard; `None` while some aren't.
    complete: Option<Complete>,
}

/// All VMs that are known are heard.
#[derive(Clone, Copy, Debug)]
struct Complete {
    /// Their number.
    vms: u32,
    /// The time from which on there were neither more nor fewer of them.
    since: Millis,
}

/// A VM or data centre that tells its requests, or the hub that tells those of all.
#[derive(Debug)]
struct Sender {
    origin: Origin,
    heard_at: Millis,
    /// The VMs that it speaks for.
    vms: u32,
    /// Those of them that it hears, itself included.
    heard: u32,
}

/// What a VM knows of all VMs by itself; it is counted.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// The number of VMs.
    pub vms: u32,
    /// The number of VMs of its data centre.
    pub centre_vms: u32,
    /// The number of data centres with VMs.
    pub centres: u32,
    /// How long it takes until all VMs know what one of them tells.
    pub lag: Millis,
}

/// The present.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// The time of the VM's own clock.
    pub own: Millis,
    /// The common time of the VMs that hear each other.
    pub common: Millis,
}

/// How many VMs there are, and how many of them are heard; this one is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Count {
    /// The VMs that are heard.
    pub heard: u32,
    /// All VMs.
    pub vms: u32,
}

impl Hearing {
    /// Creates the state of a process that starts at `now`.
    #[must_use]
    pub const fn new(memory: Millis, now: Millis) -> Self {
        Self {
            started_at: now,
            lag: Millis::ZERO,
            memory,
            senders: Vec::new(),
            all: None,
            older_heard_at: None,
            complete: None,
        }
    }

    /// Records that a process was heard that doesn't say which VMs it hears.
    pub const fn note_older(&mut self, now: Millis) {
        self.older_heard_at = Some(now);
    }

    /// Records a report.
    pub fn note(&mut self, origin: &Origin, report: &Report, now: Millis) {
        let memory = self.memory;
        self.senders
            .retain(|sender| sender.origin != *origin && now.since(sender.heard_at) < memory);
        self.senders.push(Sender {
            origin: origin.clone(),
            heard_at: now,
            vms: report.vms,
            heard: report.heard,
        });
        if let Some(told) = report.all_heard {
            self.note_all(told, Millis::new(report.at));
        }
    }

    /// Takes over a later time at which all VMs were heard. One with fewer VMs counts only if those that are
    /// missing haven't been heard for long: a VM that has just started doesn't know of them.
    fn note_all(&mut self, told: AllHeard, common: Millis) {
        let is_valid = |all: &AllHeard| common.since(Millis::new(all.at)) < REMOVAL_TIMEOUT;
        let replaces = match self.all.filter(is_valid) {
            None => true,
            Some(all) if told.vms == all.vms => told.at > all.at,
            Some(all) => told.vms > all.vms && is_valid(&told),
        };
        if replaces {
            self.all = Some(told);
        }
    }

    /// Returns when all VMs were last heard.
    #[must_use]
    pub const fn all_heard(&self) -> Option<AllHeard> {
        self.all
    }

    /// Follows a change of the common time, which is later by `by` now.
    pub fn adopt_time(&mut self, by: Millis) {
        if let Some(all) = &mut self.all {
            all.at += by.as_u64();
        }
    }

    /// Returns whether a VM told its own requests.
    #[must_use]
    pub fn has_heard(&self, vm: &str) -> bool {
        let is_of = |sender: &Sender| matches!(&sender.origin, Origin::Vm(name) if name == vm);
        self.senders.iter().any(is_of)
    }

    fn is_recent(&self, sender: &Sender, now: Millis) -> bool {
        now.since(sender.heard_at).as_u64() < self.lag.as_u64() * SILENCE_LAGS
    }

    fn recent(&self, now: Millis) -> impl Iterator<Item = &Sender> {
        let senders = self.senders.iter();
        senders.filter(move |sender| self.is_recent(sender, now))
    }

    /// Returns the age of what this VM knows of others: it takes the lag until all know of a request, and the
    /// time since a VM that should tell this one did.
    #[must_use]
    pub fn news_age(&self, now: Millis) -> Millis {
        self.lag.plus(self.oldest_news(now))
    }

    /// Counts the VMs of all data centres that are heard.
    pub fn count(&mut self, fleet: Fleet, now: Now) -> Count {
        let count = self.count_heard(fleet, now);
        let known = self.complete.filter(|known| known.vms == count.vms);
        let begun = Complete {
            vms: count.vms,
            since: now.own,
        };
        let is_complete = count.heard >= count.vms;
        self.complete = is_complete.then_some(known.unwrap_or(begun));
        count
    }

    fn count_heard(&mut self, fleet: Fleet, now: Now) -> Count {
        let Now { own: now, common } = now;
        self.lag = fleet.lag;
        let is_hub = |sender: &&Sender| sender.origin == Origin::Others;
        let hub = self.recent(now).find(is_hub);
        if let Some(hub) = hub {
            return Count {
                heard: hub.heard + 1,
                vms: hub.vms + 1,
            };
        }
        let heard = 1 + self.recent(now).map(|sender| sender.heard).sum::<u32>();
        // VMs that are gone for good don't count for ever, unless this one can't know.
        let is_cut_off = heard == 1 && fleet.vms > 1;
        let is_valid =
            |all: &AllHeard| is_cut_off || common.since(Millis::new(all.at)) < REMOVAL_TIMEOUT;
        let remembered = self.all.filter(is_valid).map_or(0, |all| all.vms);
        let vms = Self::known_vms(self.recent(now), fleet)
            .max(remembered)
            .max(heard);
        let is_settled = now.since(self.started_at) >= SETTLING_TIME;
        if heard == vms && is_settled {
            let at = common.since(self.oldest_news(now)).as_u64();
            self.note_all(AllHeard { at, vms }, common);
        }
        Count { heard, vms }
    }

    /// Returns the number of VMs by what this one knows itself. A hub that hears all other hubs goes by what
    /// they tell; otherwise those of a silent data centre count as long as the directory lists some.
    fn known_vms<'a>(recent: impl Iterator<Item = &'a Sender>, fleet: Fleet) -> u32 {
        let centres = recent.filter(|sender| matches!(sender.origin, Origin::Centre(_)));
        let told: Vec<u32> = centres.map(|sender| sender.vms).collect();
        if !told.is_empty() && told.len() + 1 >= fleet.centres as usize {
            fleet.centre_vms + told.iter().sum::<u32>()
        } else {
            fleet.vms
        }
    }

    /// Returns how long ago the VM or data centre was heard that was heard least recently, without silent ones.
    fn oldest_news(&self, now: Millis) -> Millis {
        let ages = self.recent(now).map(|sender| now.since(sender.heard_at));
        ages.max().unwrap_or_default()
    }

    /// Counts the VMs of the own data centre that are heard.
    #[must_use]
    pub fn count_in_centre(&self, fleet: Fleet, now: Millis) -> Count {
        let is_vm = |sender: &&Sender| matches!(sender.origin, Origin::Vm(_));
        let heard = 1 + self
            .recent(now)
            .filter(is_vm)
            .map(|sender| sender.heard)
            .sum::<u32>();
        Count {
            heard,
            vms: fleet.centre_vms.max(heard),
        }
    }

    /// Returns whether the VM has just started, and may learn of others yet that nobody told it of.
    ///
    /// VMs that have all just started hear each other one by one, and none knows what was sent before. If
    /// they were cut off from each other now, each would go on with the part of the whole limit that those
    /// have which it heard last.
    fn is_joining(&self, now: Millis) -> bool {
        let is_stable = |complete: Complete| now.since(complete.since) >= self.lag;
        let is_settled = now.since(self.started_at) >= SETTLING_TIME;
        self.all.is_none() && !is_settled && !self.complete.is_some_and(is_stable)
    }

    /// Returns how this VM hears the others. `then` are the workspace's requests up to the time at which
    /// it last heard all, in the common time.
    pub fn contact(&mut self, fleet: Fleet, then: impl Fn(Millis) -> u32, now: Now) -> Contact {
        let count = self.count(fleet, now);
        // While VMs are replaced by a later version, some hear older processes only.
        let is_recent = |at| now.own.since(at) < OLDER_TIMEOUT;
        if self.older_heard_at.is_some_and(is_recent) {
            return Contact::Kept;
        }
        let has_heard_any = !self.senders.is_empty();
        if count.vms <= 1 && !has_heard_any {
            let is_alone = now.own.since(self.started_at) >= ALONE_AFTER;
            return if is_alone {
                Contact::Kept
            } else {
                Contact::None
            };
        }
        if self.is_joining(now.own) {
            return Contact::None;
        }
        if count.heard >= count.vms {
            return Contact::Kept;
        }
        if count.heard == 1 && self.all.is_none() {
            return Contact::None;
        }
        Contact::Partial {
            then: self.all.map_or(0, |all| then(Millis::new(all.at))),
            heard: count.heard,
            vms: count.vms,
        }
    }
}

#[cfg(test)]
mod tests;
