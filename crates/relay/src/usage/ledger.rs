//! All counts of a VM.

use adapter::config::Limit;
use policy::quota;
use policy::quota::Contact;
use policy::quota::Demand;
use policy::quota::Draws;
use policy::quota::PER_MILLE;
use policy::quota::Pressure;
use policy::quota::Step;
use policy::quota::Verdict;
use policy::quota::slots;
use policy::quota::slots::SLOTS;
use wire::clock::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::tally::Origin;
use crate::usage::Known;
use crate::usage::Shown;
use crate::usage::account::Account;
use crate::usage::account::Figures;
use crate::usage::contact;
use crate::usage::contact::Fleet;
use crate::usage::contact::Hearing;
use crate::usage::report::Count;
use crate::usage::report::Entry;
use crate::usage::report::Report;
use crate::usage::report::Scope;
use crate::usage::report::Sum;

/// For how many windows another VM's figures are kept without an update.
const REPORT_WINDOWS: u64 = 2;
/// The most workspaces whose counts a message tells. Those nearest to their limits come first.
const MAX_TOLD: usize = 256;

/// The age from which a report is dropped. Longer than a message takes that was lost and sent again.
const MAX_REPORT_AGE: Millis = Millis::new(800);

/// All counts of a VM.
#[derive(Debug)]
pub struct Ledger {
    window: Millis,
    started_at: Millis,
    slot_span: Millis,
    /// The common time at which the process started. VMs that hear each other have the same common time,
    /// and so number slots alike: each takes over the latest time that it hears.
    started_common: Millis,
    seed: u64,
    /// The number of draws that were made.
    draws: u64,
    /// Sorted by the workspaces' ids.
    accounts: Vec<Account>,
    hearing: Hearing,
    /// Since when this VM or one that it heard counts.
    counting_since: Millis,
}

impl Ledger {
    /// Creates the counts of a process that starts at `now`.
    #[must_use]
    pub fn new(vm: &str, window: Millis, now: Millis) -> Self {
        let slot_span = slots::span(window);
        Self {
            window,
            started_at: now,
            slot_span,
            // Leaves room for the window before.
            started_common: Millis::new(slot_span.as_u64() * SLOTS as u64),
            seed: xxh3_64_with_seed(vm.as_bytes(), now.as_u64()),
            draws: 0,
            accounts: Vec::new(),
            hearing: Hearing::new(report_max_age(window), now),
            counting_since: now,
        }
    }

    fn common_time(&self, now: Millis) -> Millis {
        self.started_common.plus(now.since(self.started_at))
    }

    fn slot(&self, now: Millis) -> u64 {
        slots::number(self.common_time(now), self.slot_span)
    }

    fn account(&mut self, workspace: u64, now: Millis) -> &mut Account {
        let index = self.account_index(workspace, now);
        &mut self.accounts[index]
    }

    /// Finds a workspace's account, or creates it, and lets it forget what has left the window.
    fn account_index(&mut self, workspace: u64, now: Millis) -> usize {
        let found = self
            .accounts
            .binary_search_by_key(&workspace, |account| account.workspace);
        let index = found.unwrap_or_else(|index| {
            let account = Account::new(workspace, report_max_age(self.window));
            self.accounts.insert(index, account);
            index
        });
        let slot = self.slot(now);
        self.accounts[index].advance(slot);
        index
    }

    /// Returns a request's place in its program.
    pub fn step(
        &mut self,
        workspace: u64,
        program: Option<u64>,
        shown: Shown,
        now: Millis,
    ) -> Step {
        let programs = &self.account(workspace, now).programs;
        let has_begun = program.is_some_and(|program| programs.has_begun(program));
        if has_begun || shown == Shown::HasBegun {
            Step::Continues
        } else {
            Step::Opens(programs.expected())
        }
    }

    /// Decides whether a request of a workspace is admitted.
    pub fn decide(
        &mut self,
        workspace: u64,
        limit: Limit,
        step: Step,
        fleet: Fleet,
        now: Millis,
    ) -> (Verdict, Known) {
        let draws = self.draw(workspace);
        let window = self.window;
        let limit = quota::Limit {
            milli_per_second: limit.milli_per_second,
            burst: limit.burst,
            window,
        };
        let contact = self.contact(workspace, fleet, now);
        let lag = self.hearing.news_age(now);
        let counted_for = now.since(self.counting_since);
        let allowance = limit.allowance();
        let account = self.account(workspace, now);
        account.allowance = allowance;
        let figures = account.figures(now);
        let usage = quota::Usage {
            own: account.own(),
            others: account.others(now),
            pending: account.programs.pending(now) + figures.pending,
            demand: Demand {
                own: account.note_asked(now),
                others: figures.asked,
                lag,
            },
            pressure: pressure(account, now, window),
            contact,
            counted_for,
        };
        let verdict = quota::decide(&limit, usage, step, draws);
        if verdict != Verdict::Admit {
            account.refused_at = Some(now);
        }
        (verdict, Known { usage, allowance })
    }

    fn draw(&mut self, workspace: u64) -> Draws {
        self.draws += 1;
        let draw = |number: u64| xxh3_64_with_seed(&number.to_le_bytes(), self.seed) % PER_MILLE;
        Draws {
            request: draw(self.draws),
            lot: draw(workspace),
        }
    }

    fn both(&self, now: Millis) -> contact::Now {
        contact::Now {
            own: now,
            common: self.common_time(now),
        }
    }

    fn contact(&mut self, workspace: u64, fleet: Fleet, now: Millis) -> Contact {
        let both = self.both(now);
        let index = self.account_index(workspace, now);
        let account = &self.accounts[index];
        let then = |common| account.all_until(slots::number(common, self.slot_span));
        self.hearing.contact(fleet, then, both)
    }

    /// Returns whether requests can be admitted: a VM that has just started has to hear others first.
    pub fn knows_others(&mut self, fleet: Fleet, now: Millis) -> bool {
        let both = self.both(now);
        self.hearing.contact(fleet, |_| 0, both) != Contact::None
    }

    /// Counts a request that arrives and isn't decided yet.
    pub fn note_asked(&mut self, workspace: u64, now: Millis) {
        self.account(workspace, now).note_asked(now);
    }

    /// Counts an admitted request of a program.
    pub fn reserve(&mut self, workspace: u64, program: Option<u64>, now: Millis) {
        let account = self.account(workspace, now);
        account.reserve();
        if let Some(program) = program {
            account.programs.note(program, now);
        }
    }

    /// Takes an admitted request back that wasn't sent.
    pub fn release(&mut self, workspace: u64, now: Millis) {
        self.account(workspace, now).release();
    }

    /// Records that an admitted request was sent to a runner.
    pub fn note_sent(&mut self, workspace: u64, now: Millis) {
        let slot = self.slot(now);
        self.account(workspace, now).note_sent(slot);
    }

    /// Records what a process of another VM tells.
    ///
    /// An old report is dropped: it was on its way for long, or its sender has just started and not heard of
    /// the common time. Its next report tells the same.
    pub fn note(&mut self, origin: &Origin, process: u64, report: &Report, now: Millis) {
        let made_at = Millis::new(report.at);
        if self.common_time(now).since(made_at) > MAX_REPORT_AGE {
            return;
        }
        self.adopt_time(made_at, now);
        self.hearing.note(origin, report, now);
        self.note_counting(Millis::new(report.counted_for), now);
        let newest = slots::number(made_at, self.slot_span);
        let slot_of = |count: &Count| newest.saturating_sub(u64::from(count.age));
        for entry in &report.entries {
            self.account(entry.workspace, now);
        }
        let slot = self.slot(now);
        for account in &mut self.accounts {
            account.advance(slot);
            let entry = find(&report.entries, account.workspace);
            account.note(origin, process, entry, slot_of, now);
        }
    }

    fn note_counting(&mut self, counted_for: Millis, now: Millis) {
        let since = now.as_u64().saturating_sub(counted_for.as_u64());
        self.counting_since = self.counting_since.min(Millis::new(since));
    }

    /// Takes over a common time that is later. What this VM counted by a time that the others don't share
    /// gets other numbers; what it counted by nearly the same time keeps those that the others know.
    fn adopt_time(&mut self, common: Millis, now: Millis) {
        let by = common.since(self.common_time(now));
        let slot = self.slot(now);
        self.started_common = self.started_common.plus(by);
        if by > MAX_REPORT_AGE {
            let passed = self.slot(now) - slot;
            for account in &mut self.accounts {
                account.renumber(passed);
            }
            self.hearing.adopt_time(by);
        }
    }

    /// Records what a process tells that doesn't count by slots: its requests of the last window, sorted
    /// by workspace, and for how long they were counted.
    pub fn note_sums(&mut self, origin: &Origin, sums: &[Sum], counted_for: Millis, now: Millis) {
        self.hearing.note_older(now);
        self.note_counting(counted_for, now);
        for sum in sums {
            self.account(sum.workspace, now);
        }
        for account in &mut self.accounts {
            let found = sums.binary_search_by_key(&account.workspace, |sum| sum.workspace);
            let figures = found.ok().map(|index| Figures {
                admitted: sums[index].admitted,
                pending: sums[index].pending,
                ..Figures::default()
            });
            account.note_sum(origin, figures, now);
        }
    }

    /// Returns the requests that are told, sorted by workspace.
    fn entries(
        &mut self,
        scope: Scope<'_>,
        speaks_for: impl Fn(&Origin) -> bool,
        now: Millis,
    ) -> Vec<Entry> {
        let slot = self.slot(now);
        let mut told = Vec::new();
        for account in &mut self.accounts {
            account.advance(slot);
            if let Some(entry) = account.entry(scope, &speaks_for, now) {
                told.push((account.left(), entry));
            }
        }
        told.sort_by_key(|(left, _)| *left);
        told.truncate(MAX_TOLD);
        let mut entries: Vec<Entry> = told.into_iter().map(|(_, entry)| entry).collect();
        entries.sort_by_key(|entry| entry.workspace);
        entries
    }

    /// Returns what is told of the VMs of a scope. `speaks_for` selects the origins that belong to it.
    ///
    /// A VM whose own requests aren't known is told nothing: it would count them as those of others.
    pub fn report(
        &mut self,
        scope: Scope<'_>,
        fleet: Fleet,
        speaks_for: impl Fn(&Origin) -> bool,
        now: Millis,
    ) -> Report {
        let is_told = match scope {
            Scope::Own | Scope::Centre => true,
            Scope::AllBut(vm) => self.hearing.has_heard(vm),
        };
        let entries = if is_told {
            self.entries(scope, speaks_for, now)
        } else {
            Vec::new()
        };
        let all = self.hearing.count(fleet, self.both(now));
        let of_scope = match scope {
            Scope::Own => contact::Count { heard: 1, vms: 1 },
            Scope::Centre => self.hearing.count_in_centre(fleet, now),
            Scope::AllBut(_) => contact::Count {
                heard: all.heard.saturating_sub(1),
                vms: all.vms.saturating_sub(1),
            },
        };
        // Others go by it for what the VMs sent that this one doesn't hear.
        let counted_for = if all.heard < all.vms {
            Millis::ZERO
        } else {
            now.since(self.counting_since).min(self.window)
        };
        Report {
            at: self.common_time(now).as_u64(),
            entries,
            counted_for: counted_for.as_u64(),
            vms: of_scope.vms,
            heard: of_scope.heard,
            all_heard: self.hearing.all_heard(),
        }
    }
}

/// Returns for how long what another VM told is kept without an update.
const fn report_max_age(window: Millis) -> Millis {
    Millis::new(window.as_u64() * REPORT_WINDOWS)
}

fn find(entries: &[Entry], workspace: u64) -> Option<&Entry> {
    let found = entries.binary_search_by_key(&workspace, |entry| entry.workspace);
    found.ok().map(|index| &entries[index])
}

fn pressure(account: &Account, now: Millis, window: Millis) -> Pressure {
    let span = quota::pressure_span(window);
    if account.refused_at.is_some_and(|at| now.since(at) < span) {
        Pressure::High
    } else {
        Pressure::Low
    }
}

#[cfg(test)]
mod tests;
