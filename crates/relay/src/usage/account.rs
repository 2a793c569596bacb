//! The requests of one workspace, as one VM knows them.
//!
//! Requests that were sent to runners are counted by slots, whose counts only grow. So what a VM was
//! told once is never replaced by less: not by the next process of a VM that was killed, and not by the
//! next hub, which hasn't heard all VMs yet.

use derive_more::Add;
use policy::quota::Window;
use policy::quota::programs::Programs;
use policy::quota::slots::Slots;
use wire::clock::Millis;

use crate::reports::Reports;
use crate::tally::Origin;
use crate::usage::report::Count;
use crate::usage::report::Entry;
use crate::usage::report::Scope;

/// The part of its limit below which a workspace's requests in a data centre aren't told to others, as
/// one over this number, unless all VMs' requests take up more than [`MIN_TOLD_ALL_DIVISOR`] of it.
/// The counts of single VMs are told however small they are: those of dozens of VMs add up to most of
/// a limit.
const MIN_TOLD_DIVISOR: u64 = 32;
/// The part of its limit from which it is told what all VMs sent, as one over this number. Others need it
/// only if they or the hubs have lost their counts, which matters near the limit.
const MIN_TOLD_ALL_DIVISOR: u64 = 8;

/// The span in which requests are counted that arrive.
const DEMAND_SPAN: Millis = Millis::new(1_000);

/// The requests of a workspace.
#[derive(Debug)]
pub struct Account {
    /// The workspace's id.
    pub workspace: u64,
    /// What this process sent to runners.
    sent: Slots,
    /// Admitted requests of this process that wait for a runner.
    reserved: u32,
    /// The requests that this process got.
    asked: Window,
    /// The programs that this process served.
    pub programs: Programs,
    /// What other VMs and data centres sent, as they told.
    told: Vec<Told>,
    /// The sum of what single VMs told.
    vms: Slots,
    /// The sum of what data centres told.
    centres: Slots,
    /// What all other processes sent at least, from what a hub told and from what was known before
    /// it did.
    others: Slots,
    figures: Reports<Figures>,
    /// When a request was last refused; `None` if none was.
    pub refused_at: Option<Millis>,
    /// The limit that was last looked at, as the number of requests in a window.
    pub allowance: u64,
}

/// What one VM or data centre sent.
#[derive(Debug)]
struct Told {
    origin: Origin,
    /// All that it ever told, also of earlier processes.
    slots: Slots,
    /// The process that told last.
    process: u64,
    /// What that process told. Messages may overtake each other, so it isn't only what was told last.
    of_process: Slots,
}

/// What is valid for a moment only.
#[derive(Clone, Copy, Debug, Default, Add)]
pub struct Figures {
    /// Requests of a process that doesn't tell them by slots.
    pub admitted: u32,
    /// Admitted requests that wait for a runner.
    pub reserved: u32,
    /// Requests of the last second, admitted or not.
    pub asked: u32,
    /// The requests that programs under way are still expected to make.
    pub pending: u32,
}

impl Figures {
    fn higher(self, other: Self) -> Self {
        Self {
            admitted: self.admitted.max(other.admitted),
            reserved: self.reserved.max(other.reserved),
            asked: self.asked.max(other.asked),
            pending: self.pending.max(other.pending),
        }
    }
}

impl Account {
    /// Creates an account without requests. `max_age` says for how long other VMs' figures count.
    #[must_use]
    pub fn new(workspace: u64, max_age: Millis) -> Self {
        Self {
            workspace,
            sent: Slots::default(),
            reserved: 0,
            asked: Window::new(DEMAND_SPAN),
            programs: Programs::default(),
            told: Vec::new(),
            vms: Slots::default(),
            centres: Slots::default(),
            others: Slots::default(),
            figures: Reports::new(max_age),
            refused_at: None,
            allowance: 0,
        }
    }

    /// Forgets what has left the window once a slot has begun.
    pub fn advance(&mut self, slot: u64) {
        self.each_slots(|slots| slots.advance(slot));
        self.told.retain(|told| !told.slots.is_empty());
    }

    /// Adds `by` to the numbers of all slots.
    pub fn renumber(&mut self, by: u64) {
        self.each_slots(|slots| slots.renumber(by));
    }

    fn each_slots(&mut self, change: impl Fn(&mut Slots)) {
        change(&mut self.sent);
        change(&mut self.vms);
        change(&mut self.centres);
        change(&mut self.others);
        for told in &mut self.told {
            change(&mut told.slots);
            change(&mut told.of_process);
        }
    }

    /// Counts a request that arrives and returns how many did in the last second.
    pub fn note_asked(&mut self, now: Millis) -> u32 {
        self.asked.add(now);
        self.asked.count(now)
    }

    /// Admits a request, which waits for a runner.
    pub const fn reserve(&mut self) {
        self.reserved += 1;
    }

    /// Takes an admitted request back that wasn't sent.
    pub const fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Records that an admitted request was sent to a runner.
    pub fn note_sent(&mut self, slot: u64) {
        self.release();
        self.sent.add(slot, 1);
    }

    /// Returns this process's requests.
    #[must_use]
    pub fn own(&self) -> u32 {
        self.sent.sum() + self.reserved
    }

    /// Returns the requests of all other VMs.
    #[must_use]
    pub fn others(&self, now: Millis) -> u32 {
        let figures = self.figures(now);
        let sent: u32 = self.sent.numbers().map(|slot| self.others_in(slot)).sum();
        sent + figures.admitted + figures.reserved
    }

    /// Returns what all VMs sent up to a slot, as far as this VM knows.
    #[must_use]
    pub fn all_until(&self, last: u64) -> u32 {
        let slots = self.sent.numbers().filter(|slot| *slot <= last);
        slots.map(|slot| self.all_in(slot)).sum()
    }

    /// Returns the other VMs' figures that are valid for a moment.
    #[must_use]
    pub fn figures(&self, now: Millis) -> Figures {
        self.figures.all(now, Figures::higher)
    }

    fn others_in(&self, slot: u64) -> u32 {
        let told = self.vms.count(slot) + self.centres.count(slot);
        told.max(self.others.count(slot))
    }

    /// Records what another VM's process tells; `slot_of` returns the slot of a count.
    pub fn note(
        &mut self,
        origin: &Origin,
        process: u64,
        entry: Option<&Entry>,
        slot_of: impl Fn(&Count) -> u64,
        now: Millis,
    ) {
        let figures = entry.map(|entry| Figures {
            admitted: 0,
            reserved: entry.reserved,
            asked: entry.asked,
            pending: entry.pending,
        });
        self.figures.note(origin, figures, now);
        let Some(entry) = entry else {
            return;
        };
        if *origin == Origin::Others {
            for count in &entry.sent {
                self.others.raise(slot_of(count), count.requests);
            }
            return;
        }
        if !entry.sent.is_empty() {
            self.add_sent(origin, process, &entry.sent, &slot_of);
        }
        for count in &entry.all {
            let slot = slot_of(count);
            let others = count.requests.saturating_sub(self.sent.count(slot));
            self.others.raise(slot, others);
        }
    }

    fn add_sent(
        &mut self,
        origin: &Origin,
        process: u64,
        sent: &[Count],
        slot_of: impl Fn(&Count) -> u64,
    ) {
        let newest = self.sent.newest();
        let index = self.told_index(origin, process);
        let told = &mut self.told[index];
        if told.process != process {
            told.process = process;
            told.of_process = Slots::new(newest);
        }
        let sums = match origin {
            Origin::Centre(_) => &mut self.centres,
            Origin::Vm(_) | Origin::Others => &mut self.vms,
        };
        for count in sent {
            let slot = slot_of(count);
            told.of_process.raise(slot, count.requests);
            sums.add(slot, told.slots.raise(slot, count.requests));
        }
    }

    fn told_index(&mut self, origin: &Origin, process: u64) -> usize {
        let found = self.told.iter().position(|told| told.origin == *origin);
        found.unwrap_or_else(|| {
            let slots = Slots::new(self.sent.newest());
            self.told.push(Told {
                origin: origin.clone(),
                slots: slots.clone(),
                process,
                of_process: slots,
            });
            self.told.len() - 1
        })
    }

    /// Records what a process tells that doesn't count by slots.
    pub fn note_sum(&mut self, origin: &Origin, figures: Option<Figures>, now: Millis) {
        self.figures.note(origin, figures, now);
    }

    /// Returns what is told of the workspace; `None` if that is nothing.
    pub fn entry(
        &mut self,
        scope: Scope<'_>,
        speaks_for: impl Fn(&Origin) -> bool,
        now: Millis,
    ) -> Option<Entry> {
        let figures = self.figures.sum(now, speaks_for);
        let sent = match scope {
            Scope::Own => self.counts(|slot| self.sent.count(slot)),
            Scope::Centre => self.counts(|slot| self.sent.count(slot) + self.vms.count(slot)),
            Scope::AllBut(vm) => {
                let told = self.told_by(vm);
                let of_vm = |slot| told.map_or(0, |told| told.of_process.count(slot));
                self.counts(|slot| self.all_in(slot).saturating_sub(of_vm(slot)))
            }
        };
        let all = self.all();
        let is_near = all * MIN_TOLD_ALL_DIVISOR >= self.allowance;
        let own: u64 = sent.iter().map(|count| u64::from(count.requests)).sum();
        let is_small = own * MIN_TOLD_DIVISOR < self.allowance && !is_near;
        if is_small && scope != Scope::Own {
            return None;
        }
        let entry = Entry {
            workspace: self.workspace,
            sent,
            all: match scope {
                Scope::Own | Scope::Centre if is_near => self.counts(|slot| self.all_in(slot)),
                _ => Vec::new(),
            },
            reserved: self.reserved + figures.reserved,
            asked: self.asked.count(now) + figures.asked,
            pending: self.programs.pending(now) + figures.pending,
        };
        let is_empty = entry.sent.is_empty() && entry.all.is_empty();
        let is_empty = is_empty && entry.reserved == 0 && entry.asked == 0;
        (!is_empty).then_some(entry)
    }

    /// Returns how many requests are left of the limit, as far as this VM knows.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.allowance.saturating_sub(self.all())
    }

    fn all(&self) -> u64 {
        let slots = self.sent.numbers();
        slots.map(|slot| u64::from(self.all_in(slot))).sum()
    }

    fn all_in(&self, slot: u64) -> u32 {
        self.sent.count(slot) + self.others_in(slot)
    }

    fn told_by(&self, vm: &str) -> Option<&Told> {
        let is_of = |told: &&Told| matches!(&told.origin, Origin::Vm(name) if name == vm);
        self.told.iter().find(is_of)
    }

    fn counts(&self, requests: impl Fn(u64) -> u32) -> Vec<Count> {
        let newest = self.sent.newest();
        let counts = self.sent.numbers().map(|slot| Count {
            age: u8::try_from(newest - slot).unwrap_or(u8::MAX),
            requests: requests(slot),
        });
        counts.filter(|count| count.requests > 0).collect()
    }
}
