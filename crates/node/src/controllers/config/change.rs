//! One change of the configuration, from the operator's edit to a reliable outcome.
//!
//! A compare-and-swap lets one of two racing operators succeed. If an answer is lost, the change is
//! in doubt: the write may have taken effect, or may still do so. The doubt is resolved only if the
//! document contains the change's nonce, or if the key has moved past the revision that the write
//! compares with and the document doesn't contain it. Until then the outcome is *unknown*, and the
//! operator is told so.
//!
//! [`Change`] decides and [`run`] does the I/O.

use std::time::Duration;

use platform::edge;
use platform::edge::Compare;
use platform::edge::Entry;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use settings::config::Config;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::code::Refusal;

use super::KEY;
use super::edit::Edit;
use super::parse;

/// Number of nonces of earlier revisions that the document keeps. They resolve a change in doubt
/// unless more other changes were accepted while its answer was lost. At 2,400 changes a day, 64
/// cover half an hour, in 600 bytes.
pub const MAX_RECENT_NONCES: usize = 64;

/// The maximum number of tries of a change that names no expected revision. Each try that loses a
/// race means that another change was accepted, so when eight operators make a change at once,
/// each succeeds by its eighth try.
const MAX_TRIES: u32 = 8;

/// The delay between two attempts to resolve a change in doubt: a few times the platform's response
/// time, so that an outage doesn't cause a burst of requests.
const READ_BACK_DELAY: Duration = Duration::from_millis(50);

/// The outcome of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is part of the configuration from this revision on.
    Accepted(Box<Config>),
    /// It isn't part of the configuration and won't be. The configuration is at this revision.
    Conflict {
        /// The revision.
        revision: u64,
    },
    /// It may be part of the configuration, or may become so later, as this revision.
    Unknown {
        /// The revision.
        revision: u64,
    },
    /// It was never sent because the platform doesn't answer.
    NotSent(edge::Fault),
    /// It isn't allowed.
    Bad(Refusal),
}

/// The next step of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read the key, and call [`Change::on_read`].
    Read,
    /// Run the transaction, and call [`Change::on_commit`].
    Commit(Txn),
    /// The change is finished.
    Done(Outcome),
}

/// A change in progress.
#[derive(Clone, Debug)]
pub struct Change {
    edit: Edit,
    nonce: u64,
    expected: Option<u64>,
    deadline: Millis,
    tries: u32,
    attempt: Option<Attempt>,
}

/// The write of a change.
#[derive(Clone, Debug)]
struct Attempt {
    /// The platform's revision of the key that the write compares with.
    base_revision: u64,
    config: Config,
    txn: Txn,
    /// Whether an answer to the write was lost.
    in_doubt: bool,
}

impl Change {
    /// Makes a change. `nonce` must be random and used for no other change. With an `expected`
    /// revision of the configuration, the change is made only to that one.
    #[must_use]
    pub fn new(edit: Edit, nonce: u64, expected: Option<u64>, deadline: Millis) -> Self {
        Self {
            edit,
            nonce,
            expected,
            deadline,
            tries: 0,
            attempt: None,
        }
    }

    /// Handles the value read from the key.
    pub fn on_read(&mut self, read: edge::Result<Option<Entry>>, now: Millis) -> Step {
        match (read, &self.attempt) {
            (Ok(entry), None) => self.build(entry.as_ref()),
            (Err(fault), None) => Step::Done(Outcome::NotSent(fault)),
            (Ok(entry), Some(attempt)) if revision_of(entry.as_ref()) == attempt.base_revision => {
                let txn = attempt.txn.clone();
                self.until_deadline(Step::Commit(txn), now)
            }
            (Ok(entry), Some(_)) => self.resolve(entry.as_ref()),
            (Err(_), Some(_)) => self.until_deadline(Step::Read, now),
        }
    }

    /// Handles the result of the transaction.
    pub fn on_commit(&mut self, outcome: edge::Result<edge::Outcome>, now: Millis) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::Read;
        };
        match outcome {
            Ok(edge::Outcome::Applied(_)) => {
                Step::Done(Outcome::Accepted(Box::new(attempt.config.clone())))
            }
            Ok(edge::Outcome::Refused(entries)) => {
                let entry = entries.into_iter().find(|entry| entry.key == KEY);
                self.resolve(entry.as_ref())
            }
            Err(edge::Fault::Unknown(_)) => {
                attempt.in_doubt = true;
                self.until_deadline(Step::Read, now)
            }
            // This write had no effect, but an earlier one with the same bytes may have had one.
            Err(_) if attempt.in_doubt => self.until_deadline(Step::Read, now),
            Err(fault) => Step::Done(Outcome::NotSent(fault)),
        }
    }

    fn build(&mut self, entry: Option<&Entry>) -> Step {
        let current = match entry.map(|entry| parse(&entry.value)) {
            None => Config::default(),
            Some(Ok(config)) => config,
            Some(Err(fault)) => return Step::Done(invalid(&fault.to_string())),
        };
        if self.expected.is_some_and(|r| r != current.revision) {
            return Step::Done(Outcome::Conflict {
                revision: current.revision,
            });
        }
        let mut config = current.clone();
        if let Err(refusal) = self.edit.apply(&mut config) {
            return Step::Done(Outcome::Bad(refusal));
        }
        stamp(&mut config, &current, self.nonce);
        let value = match serde_json::to_vec(&config) {
            Ok(value) if value.len() <= edge::MAX_VALUE => value,
            Ok(value) => {
                let detail = format!(
                    "the configuration would have {} bytes, too many for one value",
                    value.len()
                );
                return Step::Done(invalid(&detail));
            }
            Err(fault) => return Step::Done(invalid(&fault.to_string())),
        };
        let base_revision = revision_of(entry);
        let txn = compare_and_swap(base_revision, value);
        self.attempt = Some(Attempt {
            base_revision,
            config,
            txn: txn.clone(),
            in_doubt: false,
        });
        Step::Commit(txn)
    }

    /// Decides by a document that has moved past the revision that the write compares with. The
    /// write can't take effect any more, so the document shows definitely whether it did.
    fn resolve(&mut self, entry: Option<&Entry>) -> Step {
        let Some(attempt) = &self.attempt else {
            return Step::Read;
        };
        let unknown = Outcome::Unknown {
            revision: attempt.config.revision,
        };
        let Some(Ok(current)) = entry.map(|entry| parse(&entry.value)) else {
            return Step::Done(unknown);
        };
        match nonce_at(&current, attempt.config.revision) {
            Some(nonce) if nonce == self.nonce => {
                Step::Done(Outcome::Accepted(Box::new(attempt.config.clone())))
            }
            // So many other changes were accepted since that the document no longer shows it.
            None if attempt.in_doubt => Step::Done(unknown),
            _ => self.retry(current.revision),
        }
    }

    fn retry(&mut self, revision: u64) -> Step {
        self.attempt = None;
        self.tries += 1;
        if self.expected.is_some() || self.tries >= MAX_TRIES {
            return Step::Done(Outcome::Conflict { revision });
        }
        Step::Read
    }

    fn until_deadline(&self, step: Step, now: Millis) -> Step {
        match &self.attempt {
            Some(attempt) if attempt.in_doubt && now >= self.deadline => {
                Step::Done(Outcome::Unknown {
                    revision: attempt.config.revision,
                })
            }
            _ => step,
        }
    }
}

/// Makes a change, with a delay between attempts to resolve one in doubt.
pub async fn run(platform: &dyn Platform, clock: &Clock, mut change: Change) -> Outcome {
    let mut step = Step::Read;
    loop {
        step = match step {
            Step::Read => {
                if change
                    .attempt
                    .as_ref()
                    .is_some_and(|attempt| attempt.in_doubt)
                {
                    tokio::time::sleep(READ_BACK_DELAY).await;
                }
                let read = platform.read(KEY).await;
                change.on_read(read, clock.now())
            }
            Step::Commit(txn) => {
                let outcome = platform.commit(&txn, Priority::Change).await;
                change.on_commit(outcome, clock.now())
            }
            Step::Done(outcome) => return outcome,
        };
    }
}

/// Returns the nonce of the change that made a revision; `None` if the document no longer contains
/// it, or hasn't reached that revision.
#[must_use]
pub fn nonce_at(config: &Config, revision: u64) -> Option<u64> {
    let offset = config.revision.checked_sub(revision)?;
    match usize::try_from(offset).ok()? {
        0 => Some(config.nonce),
        offset => config.recent.get(offset - 1).copied(),
    }
}

fn stamp(config: &mut Config, current: &Config, nonce: u64) {
    config.revision = current.revision + 1;
    config.nonce = nonce;
    config.recent.clone_from(&current.recent);
    config.recent.insert(0, current.nonce);
    config.recent.truncate(MAX_RECENT_NONCES);
}

fn revision_of(entry: Option<&Entry>) -> u64 {
    entry.map_or(0, |entry| entry.revision)
}

fn compare_and_swap(base_revision: u64, value: Vec<u8>) -> Txn {
    Txn {
        compares: vec![Compare {
            key: KEY.to_owned(),
            revision: base_revision,
        }],
        writes: vec![Write::Put {
            key: KEY.to_owned(),
            value,
            lease: None,
        }],
    }
}

fn invalid(detail: &str) -> Outcome {
    Outcome::Bad(Refusal::new(wire::code::Code::BadChange, detail))
}

#[cfg(test)]
mod tests;
