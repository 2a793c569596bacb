//! One change of the configuration, from the operator's edit to an outcome that is true.
//!
//! A compare-and-swap lets one of two operators who race succeed. A lost answer leaves the change
//! in doubt: the write may have taken effect, or may still do so. Only two things settle it: the
//! document names the change's nonce, or the key has moved past the revision that the change
//! expected without naming it. Until then the change is *unknown*, and is told as such.
//!
//! [`Change`] decides and [`run`] does the traffic.

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

/// How many nonces of earlier revisions the document names. A change is settled by them unless
/// more others were accepted while its answer was lost; at the letter's 2,400 changes a day 64
/// are half an hour's, in 600 bytes.
pub const RECENT: usize = 64;

/// How often a change that names no expected revision starts anew after it lost a race. Each lost
/// race means that another change was accepted; eight operators at once all succeed.
const TRIES: u32 = 8;

/// The pause between two tries to settle a change in doubt: a few times the platform's answer
/// time, so that an outage isn't met with a burst.
const PAUSE: Duration = Duration::from_millis(50);

/// What became of a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is part of the configuration from this revision on.
    Accepted(Box<Config>),
    /// It isn't and won't be part of the configuration, which stands at this revision.
    Conflict {
        /// The revision.
        revision: u64,
    },
    /// It may be part of the configuration, or become so later, as this revision.
    Unknown {
        /// The revision.
        revision: u64,
    },
    /// It was never sent, as the platform doesn't answer.
    NotSent(edge::Fault),
    /// It isn't allowed.
    Bad(Refusal),
}

/// What is to be done next for a change.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Read the key, and call [`Change::on_read`].
    Read,
    /// Run the transaction, and call [`Change::on_commit`].
    Commit(Txn),
    /// The change is over.
    Done(Outcome),
}

/// A change under way.
#[derive(Clone, Debug)]
pub struct Change {
    edit: Edit,
    nonce: u64,
    expected: Option<u64>,
    deadline: Millis,
    tries: u32,
    sent: Option<Sent>,
}

/// The write of a change.
#[derive(Clone, Debug)]
struct Sent {
    /// The platform's revision of the key that the write compares with.
    base: u64,
    config: Config,
    txn: Txn,
    /// Whether an answer to it was lost.
    doubt: bool,
}

impl Change {
    /// Begins a change. `nonce` is drawn at random and used for no other change; with an
    /// `expected` revision of the configuration the change is made to that one only.
    #[must_use]
    pub fn new(edit: Edit, nonce: u64, expected: Option<u64>, deadline: Millis) -> Self {
        Self {
            edit,
            nonce,
            expected,
            deadline,
            tries: 0,
            sent: None,
        }
    }

    /// Takes what the key holds.
    pub fn on_read(&mut self, read: edge::Result<Option<Entry>>, now: Millis) -> Step {
        match (read, &self.sent) {
            (Ok(entry), None) => self.build(entry.as_ref()),
            (Err(fault), None) => Step::Done(Outcome::NotSent(fault)),
            (Ok(entry), Some(sent)) if revision_of(entry.as_ref()) == sent.base => {
                let txn = sent.txn.clone();
                self.until_deadline(Step::Commit(txn), now)
            }
            (Ok(entry), Some(_)) => self.settle(entry.as_ref()),
            (Err(_), Some(_)) => self.until_deadline(Step::Read, now),
        }
    }

    /// Takes what became of the transaction.
    pub fn on_commit(&mut self, outcome: edge::Result<edge::Outcome>, now: Millis) -> Step {
        let Some(sent) = &mut self.sent else {
            return Step::Read;
        };
        match outcome {
            Ok(edge::Outcome::Applied(_)) => {
                Step::Done(Outcome::Accepted(Box::new(sent.config.clone())))
            }
            Ok(edge::Outcome::Refused(entries)) => {
                let entry = entries.into_iter().find(|entry| entry.key == KEY);
                self.settle(entry.as_ref())
            }
            Err(edge::Fault::Unknown(_)) => {
                sent.doubt = true;
                self.until_deadline(Step::Read, now)
            }
            // The write of this try had no effect, but an earlier one of the same bytes may have.
            Err(_) if sent.doubt => self.until_deadline(Step::Read, now),
            Err(fault) => Step::Done(Outcome::NotSent(fault)),
        }
    }

    fn build(&mut self, entry: Option<&Entry>) -> Step {
        let current = match entry.map(|entry| parse(&entry.value)) {
            None => Config::default(),
            Some(Ok(config)) => config,
            Some(Err(fault)) => return Step::Done(bad(&fault.to_string())),
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
                let detail = format!("the document would have {} bytes", value.len());
                return Step::Done(bad(&detail));
            }
            Err(fault) => return Step::Done(bad(&fault.to_string())),
        };
        let base = revision_of(entry);
        let txn = swap(base, value);
        self.sent = Some(Sent {
            base,
            config,
            txn: txn.clone(),
            doubt: false,
        });
        Step::Commit(txn)
    }

    /// Decides by a document that has moved past the revision that the write compares with: the
    /// write can't take effect any more, so the document says for good whether it did.
    fn settle(&mut self, entry: Option<&Entry>) -> Step {
        let Some(sent) = &self.sent else {
            return Step::Read;
        };
        let unknown = Outcome::Unknown {
            revision: sent.config.revision,
        };
        let Some(Ok(current)) = entry.map(|entry| parse(&entry.value)) else {
            return Step::Done(unknown);
        };
        match nonce_at(&current, sent.config.revision) {
            Some(nonce) if nonce == self.nonce => {
                Step::Done(Outcome::Accepted(Box::new(sent.config.clone())))
            }
            // So many others were accepted since that the document no longer tells.
            None if sent.doubt => Step::Done(unknown),
            _ => self.anew(current.revision),
        }
    }

    fn anew(&mut self, revision: u64) -> Step {
        self.sent = None;
        self.tries += 1;
        if self.expected.is_some() || self.tries >= TRIES {
            return Step::Done(Outcome::Conflict { revision });
        }
        Step::Read
    }

    fn until_deadline(&self, step: Step, now: Millis) -> Step {
        match &self.sent {
            Some(sent) if sent.doubt && now >= self.deadline => Step::Done(Outcome::Unknown {
                revision: sent.config.revision,
            }),
            _ => step,
        }
    }
}

/// Makes a change, pausing between tries to settle one in doubt.
pub async fn run(platform: &dyn Platform, clock: &Clock, mut change: Change) -> Outcome {
    let mut step = Step::Read;
    loop {
        step = match step {
            Step::Read => {
                if change.sent.as_ref().is_some_and(|sent| sent.doubt) {
                    tokio::time::sleep(PAUSE).await;
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

/// Looks up the nonce of the change that made a revision; `None` where the document no longer
/// says, or hasn't got there.
#[must_use]
pub fn nonce_at(config: &Config, revision: u64) -> Option<u64> {
    let back = config.revision.checked_sub(revision)?;
    match usize::try_from(back).ok()? {
        0 => Some(config.nonce),
        back => config.recent.get(back - 1).copied(),
    }
}

fn stamp(config: &mut Config, current: &Config, nonce: u64) {
    config.revision = current.revision + 1;
    config.nonce = nonce;
    config.recent.clone_from(&current.recent);
    config.recent.insert(0, current.nonce);
    config.recent.truncate(RECENT);
}

fn revision_of(entry: Option<&Entry>) -> u64 {
    entry.map_or(0, |entry| entry.revision)
}

fn swap(base: u64, value: Vec<u8>) -> Txn {
    Txn {
        compares: vec![Compare {
            key: KEY.to_owned(),
            revision: base,
        }],
        writes: vec![Write::Put {
            key: KEY.to_owned(),
            value,
            lease: None,
        }],
    }
}

fn bad(detail: &str) -> Outcome {
    Outcome::Bad(Refusal::new(wire::code::Code::BadChange, detail))
}

#[cfg(test)]
mod tests;
