//! Counts the requests of workspaces that have a limit, at this VM and, as they tell, at the others.
//!
//! The counts travel with the exchange of the VMs, summed up by hubs in the same way as the figures
//! about runners (`tally`). `policy::quota` decides what they mean.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use adapter::config::Limit;
use derive_more::Add;
use derive_more::Display;
use policy::quota;
use policy::quota::Contact;
use policy::quota::Pressure;
use policy::quota::Step;
use policy::quota::Verdict;
use policy::quota::Window;
use policy::quota::programs::Programs;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use xxhash_rust::xxh3::xxh3_64;

use crate::node::Node;
use crate::reports::Reports;
use crate::tally::Origin;
use crate::workspace::Workspace;

/// For how many windows another VM's count is kept without an update. The requests that it admitted
/// stay in the window for one, and it may go on for as long as its configuration counts as current.
const REPORT_WINDOWS: u64 = 2;
/// A VM that hasn't heard any other for this long has lost contact. Longer than the silence of a hub
/// that is replaced by another one.
const CONTACT_TIMEOUT: Millis = Millis::new(1_500);
/// The most workspaces whose counts a message tells. Those nearest to their limits come first.
const MAX_TOLD: usize = 256;
/// The part of its limit below which a workspace's count in a data centre isn't told to others, as
/// one over this number. If no data centre tells a count, the sum is too low by this part for each.
/// The counts of single VMs are told however small they are: those of dozens of VMs add up to most of
/// a limit.
const MIN_TOLD_DIVISOR: u64 = 32;

/// A workspace's requests in the last window, from one VM or summed over several.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// The workspace's id.
    pub workspace: u64,
    /// The requests that were admitted.
    pub admitted: u32,
    /// The requests that programs under way are still expected to make.
    pub pending: u32,
}

/// All counts of a VM.
#[derive(Debug)]
pub struct Ledger {
    window: Millis,
    /// Sorted by the workspaces' ids.
    accounts: Vec<Account>,
    /// When this VM last heard another one.
    heard_at: Option<Millis>,
    /// Since when this VM or one that it heard counts.
    counting_since: Millis,
}

#[derive(Debug)]
struct Account {
    workspace: u64,
    own: Window,
    programs: Programs,
    /// Own count when this VM last heard another one.
    own_then: u32,
    reports: Reports<Count>,
    /// When a request was last refused; `None` if none was.
    refused_at: Option<Millis>,
    /// The limit that was last looked at, as the number of requests in a window.
    allowance: u64,
}

/// Requests of other VMs.
#[derive(Clone, Copy, Debug, Default, Add)]
struct Count {
    admitted: u32,
    pending: u32,
}

impl Count {
    fn higher(self, other: Self) -> Self {
        Self {
            admitted: self.admitted.max(other.admitted),
            pending: self.pending.max(other.pending),
        }
    }
}

/// A request that was counted. Unless it is sent, it is taken back when this is dropped.
#[derive(Debug)]
pub struct Admission {
    node: Arc<Node>,
    workspace: u64,
    sent: AtomicBool,
    /// What was known when it was admitted.
    pub known: Known,
}

/// What a VM knew of a workspace's requests when it decided on one.
#[derive(Clone, Copy, Debug, Display)]
#[display("{usage},allowed:{allowance}")]
pub struct Known {
    usage: quota::Usage,
    allowance: u64,
}

impl Admission {
    /// Records that the request was sent to a runner.
    pub fn note_sent(&self) {
        self.sent.store(true, Ordering::Relaxed);
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if !self.sent.load(Ordering::Relaxed) {
            let now = self.node.clock.now();
            self.node.usage().take_back(self.workspace, now);
        }
    }
}

/// What a request itself shows of its place in its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shown {
    /// The program has begun.
    HasBegun,
    /// Nothing.
    Nothing,
}

/// Counts a request of a workspace, or refuses it if it is over the workspace's limit.
///
/// # Errors
///
/// Refuses a request that is over the limit, or over what this VM may admit alone.
pub fn admit(
    node: &Arc<Node>,
    workspace: &Workspace,
    program: Option<&str>,
    shown: Shown,
) -> Result<Option<Admission>, Refusal> {
    let Some(limit) = workspace.limit else {
        return Ok(None);
    };
    let now = node.clock.now();
    let vms = node.peers().count_all();
    let mut ledger = node.usage();
    let program = program.map(|id| xxh3_64(id.as_bytes()));
    let step = ledger.step(workspace.id, program, shown);
    let (verdict, known) = ledger.decide(workspace.id, limit, step, vms, now);
    let (code, span) = match verdict {
        Verdict::Admit => {
            ledger.add(workspace.id, program, now);
            return Ok(Some(Admission {
                node: node.clone(),
                workspace: workspace.id,
                sent: AtomicBool::new(false),
                known,
            }));
        }
        Verdict::OverLimit(span) => (Code::OverLimit, span),
        Verdict::OverShare(span) => (Code::OverShare, span),
    };
    node.metrics.count_over_limit(&workspace.name);
    let detail = format!("{} ({known})", workspace.name);
    Err(Refusal::new(code, &detail).retry_after(span))
}

impl Ledger {
    /// Creates the counts of a process that starts at `now`.
    #[must_use]
    pub fn new(window: Millis, now: Millis) -> Self {
        Self {
            window,
            accounts: Vec::new(),
            heard_at: None,
            counting_since: now,
        }
    }

    fn find(&self, workspace: u64) -> Result<usize, usize> {
        self.accounts
            .binary_search_by_key(&workspace, |account| account.workspace)
    }

    fn account(&mut self, workspace: u64) -> &mut Account {
        let index = self.find(workspace).unwrap_or_else(|index| {
            let account = Account {
                workspace,
                own: Window::new(self.window),
                programs: Programs::default(),
                own_then: 0,
                reports: Reports::new(report_max_age(self.window)),
                refused_at: None,
                allowance: 0,
            };
            self.accounts.insert(index, account);
            index
        });
        &mut self.accounts[index]
    }

    /// Returns a request's place in its program.
    fn step(&mut self, workspace: u64, program: Option<u64>, shown: Shown) -> Step {
        let programs = &self.account(workspace).programs;
        let has_begun = program.is_some_and(|program| programs.has_begun(program));
        if has_begun || shown == Shown::HasBegun {
            Step::Continues
        } else {
            Step::Opens(programs.expected())
        }
    }

    /// Decides whether a request of a workspace is admitted. `vms` is the number of all VMs.
    pub fn decide(
        &mut self,
        workspace: u64,
        limit: Limit,
        step: Step,
        vms: u32,
        now: Millis,
    ) -> (Verdict, Known) {
        let window = self.window;
        let limit = quota::Limit {
            milli_per_second: limit.milli_per_second,
            burst: limit.burst,
            window,
        };
        let keeps_contact = vms <= 1
            || self
                .heard_at
                .is_some_and(|heard_at| now.since(heard_at) < CONTACT_TIMEOUT);
        let counted_for = now.since(self.counting_since);
        let account = self.account(workspace);
        account.allowance = limit.allowance();
        let others = account.reports.all(now, Count::higher);
        let usage = quota::Usage {
            own: account.own.count(now),
            others: others.admitted,
            pending: account.programs.pending(now) + others.pending,
            pressure: account.pressure(now, window),
            contact: if keeps_contact {
                Contact::Kept
            } else {
                Contact::Lost {
                    own_then: account.own_then,
                    vms,
                }
            },
            counted_for,
        };
        let verdict = quota::decide(&limit, usage, step);
        if verdict != Verdict::Admit {
            account.refused_at = Some(now);
        }
        let allowance = limit.allowance();
        (verdict, Known { usage, allowance })
    }

    /// Counts a request of a program.
    pub fn add(&mut self, workspace: u64, program: Option<u64>, now: Millis) {
        let account = self.account(workspace);
        account.own.add(now);
        if let Some(program) = program {
            account.programs.note(program, now);
        }
    }

    fn take_back(&mut self, workspace: u64, now: Millis) {
        self.account(workspace).own.take_back(now);
    }

    /// Records what another VM tells; `uses` is sorted by workspace. `counted_for` says for how long
    /// the VMs that it has heard have counted.
    pub fn note(&mut self, origin: &Origin, uses: &[Use], counted_for: Millis, now: Millis) {
        self.heard_at = Some(now);
        let since = Millis::new(now.as_u64().saturating_sub(counted_for.as_u64()));
        self.counting_since = self.counting_since.min(since);
        for told in uses {
            self.account(told.workspace);
        }
        for account in &mut self.accounts {
            let found = uses.binary_search_by_key(&account.workspace, |told| told.workspace);
            let told = found.ok().map(|index| Count {
                admitted: uses[index].admitted,
                pending: uses[index].pending,
            });
            account.own_then = account.own.count(now);
            account.reports.note(origin, told, now);
        }
    }

    /// Returns for how long this VM or one that it has heard has counted, up to the window.
    #[must_use]
    pub fn counted_for(&self, now: Millis) -> Millis {
        now.since(self.counting_since).min(self.window)
    }

    /// Returns the sums of this VM's own counts and those of the origins that `speaks_for` selects,
    /// sorted by workspace.
    pub fn uses(&mut self, now: Millis, speaks_for: impl Fn(&Origin) -> bool) -> Vec<Use> {
        let mut told = Vec::new();
        for account in &mut self.accounts {
            let others = account.reports.sum(now, &speaks_for);
            let admitted = account.own.count(now) + others.admitted;
            let is_small = u64::from(admitted) * MIN_TOLD_DIVISOR < account.allowance;
            if admitted > 0 && (others.admitted == 0 || !is_small) {
                let use_ = Use {
                    workspace: account.workspace,
                    admitted,
                    pending: account.programs.pending(now) + others.pending,
                };
                let left = account.allowance.saturating_sub(u64::from(admitted));
                told.push((left, use_));
            }
        }
        told.sort_by_key(|(left, _)| *left);
        told.truncate(MAX_TOLD);
        let mut uses: Vec<Use> = told.into_iter().map(|(_, use_)| use_).collect();
        uses.sort_by_key(|use_| use_.workspace);
        uses
    }
}

impl Account {
    fn pressure(&self, now: Millis, window: Millis) -> Pressure {
        let span = quota::pressure_span(window);
        let is_recent = |at| now.since(at) < span;
        if self.refused_at.is_some_and(is_recent) {
            Pressure::High
        } else {
            Pressure::Low
        }
    }
}

/// Returns for how long another VM's count is kept without an update.
fn report_max_age(window: Millis) -> Millis {
    Millis::new(window.as_u64() * REPORT_WINDOWS)
}

#[cfg(test)]
mod tests;
