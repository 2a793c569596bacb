//! Decides which call of the key-value service comes next for a VM's own entry in the directory,
//! and after which pause.

use std::time::Duration;

use platform::edge;
use platform::edge::Lease;
use platform::edge::Outcome;
use wire::clock::Millis;
use wire::event::Event;

use crate::directory;
use crate::directory::Claim;
use crate::ingest;
use crate::node::Node;

/// How long an entry lasts without renewal. Long compared to a short outage of the service,
/// because the entry of a dead VM costs the others only unanswered messages.
pub const LEASE_TTL: Millis = Millis::new(20_000);
/// Interval of renewals: three fit into [`LEASE_TTL`].
pub const RENEW_INTERVAL: Millis = Millis::new(6_000);
/// How often a VM checks without a call whether it has to do something.
const CHECK_INTERVAL: Millis = Millis::new(250);
/// The same before the directory has been read for the first time.
const FIRST_CHECK_INTERVAL: Millis = Millis::new(20);
/// The pause after the first failed call; it doubles with each further one.
const FIRST_RETRY_PAUSE: Millis = Millis::new(300);
/// The longest pause after failed calls.
const MAX_RETRY_PAUSE: Millis = Millis::new(2_400);

/// A VM's own registration as a state machine, without making the calls.
#[derive(Debug, Default)]
pub struct Registration {
    lease: Option<Lease>,
    renewed_at: Millis,
    phase: Phase,
    failures: u32,
}

#[derive(Clone, Copy, Debug, Default)]
enum Phase {
    /// The entry is there, or there is no free slot.
    #[default]
    Idle,
    /// A slot is free, which is left to larger VMs until then.
    Defer(Millis),
    /// The directory has just been read.
    Listed,
}

/// The next action of a registration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait.
    Pause(Duration),
    /// Read the directory.
    List,
    /// Write the entry under a new lease, provided that the key has this revision.
    Write {
        /// The key.
        key: String,
        /// Its revision; 0 if it must not exist.
        revision: u64,
    },
    /// Renew the lease.
    Renew(Lease),
}

impl Registration {
    /// Returns the next action.
    pub fn step(&mut self, node: &Node) -> Step {
        let now = node.clock.now();
        let settings = &node.settings;
        let directory = node.directory();
        let is_listed = directory.lists(&settings.vm);
        if let Some(lease) = self.lease
            && is_listed
        {
            return self.renewal(lease, now);
        }
        if self.lease.take().is_some() {
            log_lost(node);
        }
        if directory.revision == 0 {
            return Step::Pause(FIRST_CHECK_INTERVAL.as_duration());
        }
        let Claim::Write { key, revision } = directory.claim(&settings.vm, &settings.centre) else {
            self.phase = Phase::Idle;
            return Step::Pause(CHECK_INTERVAL.as_duration());
        };
        match self.phase {
            Phase::Idle if is_listed => Step::Write { key, revision },
            Phase::Idle => {
                let delay = directory::claim_delay(&settings.vm, settings.capacity);
                self.phase = Phase::Defer(now.plus(delay));
                Step::Pause(delay.as_duration())
            }
            Phase::Defer(until) if now < until => Step::Pause(until.since(now).as_duration()),
            Phase::Defer(_) => Step::List,
            Phase::Listed => Step::Write { key, revision },
        }
    }

    fn renewal(&self, lease: Lease, now: Millis) -> Step {
        let age = now.since(self.renewed_at);
        if age >= RENEW_INTERVAL {
            return Step::Renew(lease);
        }
        let left = RENEW_INTERVAL.since(age);
        Step::Pause(left.min(CHECK_INTERVAL).as_duration())
    }

    /// Applies the answer to [`Step::List`], whose entries are in the directory already. Returns
    /// how long to wait before the next step.
    pub fn listed(&mut self, listed: Result<(), &edge::Fault>) -> Duration {
        match listed {
            Ok(()) => {
                self.failures = 0;
                self.phase = Phase::Listed;
                Duration::ZERO
            }
            Err(_) => self.failed(),
        }
    }

    /// Applies the answer to [`Step::Write`]. Returns how long to wait before the next step.
    ///
    /// A refusal shows who has the slot, so the next step doesn't need to read the directory. If what
    /// it shows can't be read, the slot stays free as far as the VM knows, so it pauses.
    pub fn written(
        &mut self,
        node: &Node,
        entry: directory::Entry,
        lease: Lease,
        written: edge::Result<Outcome>,
    ) -> Duration {
        match written {
            Ok(Outcome::Applied(revision)) => {
                self.failures = 0;
                self.phase = Phase::Idle;
                self.lease = Some(lease);
                self.renewed_at = node.clock.now();
                log::info!(
                    "event=E{} text=\"{}\" vm={} key={}",
                    Event::EntryWritten.number(),
                    Event::EntryWritten.text(),
                    entry.vm,
                    entry.key
                );
                let entry = directory::Entry { revision, ..entry };
                ingest::change_directory(node, |directory| directory.set(entry));
                Duration::ZERO
            }
            Ok(Outcome::Refused(present)) => {
                let found: Vec<_> = present.iter().filter_map(directory::decode).collect();
                let is_known = found.len() == present.len();
                ingest::change_directory(node, |directory| {
                    directory.remove(&entry.key, u64::MAX);
                    for present in found {
                        directory.set(present);
                    }
                });
                if is_known {
                    Duration::ZERO
                } else {
                    self.retry_pause()
                }
            }
            Err(_) => self.failed(),
        }
    }

    /// Applies the answer to [`Step::Renew`]. Returns how long to wait before the next step.
    pub fn renewed(&mut self, node: &Node, renewed: &edge::Result<bool>) -> Duration {
        match renewed {
            Ok(true) => {
                self.failures = 0;
                self.renewed_at = node.clock.now();
                Duration::ZERO
            }
            Ok(false) => {
                self.lease = None;
                log_lost(node);
                Duration::ZERO
            }
            Err(_) => self.failed(),
        }
    }

    /// Returns the pause after a failed call.
    pub fn failed(&mut self) -> Duration {
        if matches!(self.phase, Phase::Listed) {
            self.phase = Phase::Idle;
        }
        self.retry_pause()
    }

    fn retry_pause(&mut self) -> Duration {
        let pause = FIRST_RETRY_PAUSE.as_duration() * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        pause.min(MAX_RETRY_PAUSE.as_duration())
    }
}

fn log_lost(node: &Node) {
    log::warn!(
        "event=E{} text=\"{}\" vm={}",
        Event::EntryLost.number(),
        Event::EntryLost.text(),
        node.settings.vm
    );
}

#[cfg(test)]
mod tests;
