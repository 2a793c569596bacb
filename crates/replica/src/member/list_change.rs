//! How a VM with a disk learns of a new list and proposes to change the list.

use platform::edge::Compare;
use platform::edge::Entry;
use platform::edge::Fault;
use platform::edge::Outcome;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use wire::clock::Millis;
use wire::event::Event;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::disk;
use crate::list::List;
use crate::member::Driver;
use crate::member::Heard;
use crate::member::Phase;
use crate::message::Answer;
use crate::message::Body;
use crate::outlook;
use crate::outlook::Outlook;
use crate::outlook::View;
use crate::unresponsive;

/// How often a member reads a copy of the list from the key-value service. Other VMs' requests
/// announce changes; this is for a member that none of them reaches.
const LIST_READ_INTERVAL: Millis = Millis::new(5_000);
/// How often a VM that has to change the list reads it while no member answers: a tenth of the time
/// within which a VM with an empty disk has to be a complete replica again.
const LIST_READ_INTERVAL_PENDING: Millis = Millis::new(500);
/// Time for each member of the list over which VMs spread their proposals to change it. When all
/// VMs with a disk start at once, each may propose after every change, and all but one of the
/// proposals are refused. On small VMs a new list is known to most members after some fifty
/// milliseconds.
const PROPOSAL_SPREAD_PER_MEMBER: Millis = Millis::new(100);
/// The longest time over which proposals are spread.
const MAX_PROPOSAL_SPREAD: Millis = Millis::new(600);
/// How long a VM waits before it proposes again after the key-value service has failed.
const PROPOSAL_RETRY_PAUSE: Millis = Millis::new(500);

/// A VM that doesn't answer.
pub(super) struct Silence {
    pub(super) vm: String,
    /// When it was first found not to answer.
    pub(super) since: Millis,
    /// When it was last found not to answer.
    pub(super) seen_at: Millis,
}

/// What a driver remembers between its steps.
#[derive(Default)]
pub(super) struct State {
    /// The list's revision in the key-value service when it was last read or written.
    revision: u64,
    /// The list's version at that revision.
    version: u64,
    list_read_at: Option<Millis>,
    pub(super) unresponsive: unresponsive::Members,
    /// The number of pauses after which records were last compared with the other members.
    pub(super) compared_pauses: u64,
    /// When records may be compared again.
    pub(super) next_compare: Millis,
    /// Whether the last read of the key-value service failed.
    in_outage: bool,
    /// When a call for a proposal last failed.
    proposal_failed_at: Option<Millis>,
    /// The version of the list for which a change that waits was last logged.
    waits_logged: u64,
    /// The sources that were last heard in vain.
    pub(super) heard: Option<Heard>,
    /// Since when the member hasn't caught up with its list.
    pub(super) behind_since: Option<Millis>,
    /// VMs that don't answer, sorted by name.
    pub(super) silent: Vec<Silence>,
    /// How many complete members were last logged as too few; zero if there were enough.
    pub(super) short_logged: Option<usize>,
    /// Whether it was logged that the VM can't be emptied.
    pub(super) retirement_logged: bool,
}

impl State {
    /// Returns whether a VM didn't answer when it was last asked.
    pub(super) fn is_silent(&self, vm: &str) -> bool {
        let silent = &self.silent;
        silent
            .binary_search_by(|known| known.vm.as_str().cmp(vm))
            .is_ok()
    }

    /// Returns whether the last read of the list is at least `interval` ago, and notes the time if
    /// so.
    fn is_read_due(&mut self, interval: Millis, now: Millis) -> bool {
        let is_due = self.list_read_at.is_none_or(|at| now.since(at) >= interval);
        if is_due {
            self.list_read_at = Some(now);
        }
        is_due
    }
}

/// Whether any member answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Answer,
    Silence,
}

impl Driver {
    /// Looks for a newer list: a member reads a copy of the list now and then. A VM that has to
    /// change the list asks the members, and reads the list itself if none of them answers.
    pub(super) async fn refresh_list(&self, state: &mut State) {
        let list = self.member.identity().list;
        let is_stable = list.has_member(&self.own) && *self.phase.borrow() == Phase::Member;
        if is_stable {
            if state.is_read_due(LIST_READ_INTERVAL, self.clock.now()) {
                let read = self.platform.read_copy(&self.key).await;
                self.note_read(state, read).await;
            }
            return;
        }
        if self.learn_newer(state, &list).await == Asked::Silence
            && state.is_read_due(LIST_READ_INTERVAL_PENDING, self.clock.now())
        {
            self.read_latest(state).await;
        }
    }

    async fn read_latest(&self, state: &mut State) {
        let read = self.platform.read(&self.key).await;
        if matches!(read, Ok(None)) {
            state.revision = 0;
            state.version = 0;
        }
        self.note_read(state, read).await;
    }

    /// Adopts the list that was read, and logs when the key-value service fails and returns.
    async fn note_read(&self, state: &mut State, read: platform::edge::Result<Option<Entry>>) {
        match read {
            Ok(entry) => {
                if state.in_outage {
                    log::info!(
                        "event=E{} text=\"{}\"",
                        Event::OutageEnded.number(),
                        Event::OutageEnded.text()
                    );
                }
                state.in_outage = false;
                if let Some(entry) = entry {
                    self.adopt_entry(state, &entry).await;
                }
            }
            Err(fault) => {
                if !state.in_outage {
                    log::warn!(
                        "event=E{} text=\"{}\" fault=\"{fault}\"",
                        Event::OutageBegan.number(),
                        Event::OutageBegan.text()
                    );
                }
                state.in_outage = true;
                state.proposal_failed_at = Some(self.clock.now());
            }
        }
    }

    /// Adopts the list of an entry unless a newer entry is known, as a copy may be old.
    async fn adopt_entry(&self, state: &mut State, entry: &Entry) {
        if entry.revision < state.revision {
            return;
        }
        match rmp_serde::from_slice::<List>(&entry.value) {
            Ok(list) => {
                state.revision = entry.revision;
                state.version = list.version;
                self.adopt(&list).await;
            }
            Err(fault) => log::error!("text=\"list of members not decoded\" fault=\"{fault}\""),
        }
    }

    pub(super) async fn adopt(&self, list: &List) {
        if let Err(fault) = self.member.adopt(list).await {
            disk::log_failed(&fault);
        }
    }

    /// Proposes the next list if enough members hold what was acknowledged under the current one.
    pub(super) async fn propose(&self, state: &mut State, list: &List, view: &View, next: &List) {
        if outlook::outlook(list, view, self.losses) == Outlook::Usable {
            state.waits_logged = 0;
            self.submit(state, list, next).await;
            return;
        }
        if std::mem::replace(&mut state.waits_logged, list.version) != list.version {
            log::info!(
                "event=E{} text=\"{}\" version={} ready={} answered={} members={}",
                Event::ChangeWaits.number(),
                Event::ChangeWaits.text(),
                list.version,
                view.caught_up(&list.members, list.version).len(),
                view.present(&list.members).len(),
                list.members.len()
            );
        }
    }

    /// Writes the next list unless another one has taken the current one's place.
    pub(super) async fn submit(&self, state: &mut State, list: &List, next: &List) {
        let failed_at = state.proposal_failed_at;
        let has_just_failed =
            failed_at.is_some_and(|at| self.clock.now().since(at) < PROPOSAL_RETRY_PAUSE);
        if next.members.is_empty() || has_just_failed {
            return;
        }
        tokio::time::sleep(proposal_delay(&self.own.vm, list).as_duration()).await;
        self.learn_newer(state, list).await;
        if state.version != list.version {
            self.read_latest(state).await;
        }
        let current = self.member.identity().list;
        if current.version != list.version || state.version != list.version {
            return;
        }
        self.write_list(state, next).await;
    }

    /// Asks members in turn, up to the first that answers, whether the list has changed. That costs
    /// the key-value service nothing. Those that didn't answer before are asked last.
    async fn learn_newer(&self, state: &State, list: &List) -> Asked {
        let mut others = list.members.clone();
        others.retain(|member| *member != self.own);
        let first = choice(&self.own.vm, list) % (others.len() as u64).max(1);
        others.rotate_left(usize::try_from(first).unwrap_or(0));
        others.sort_by_key(|member| state.is_silent(&member.vm));
        for member in &others {
            match self.ask(member, list.version, Body::List).await {
                Some(Answer::Newer(newer)) => {
                    self.adopt(&newer).await;
                    return Asked::Answer;
                }
                Some(_) => return Asked::Answer,
                None => {}
            }
        }
        Asked::Silence
    }

    async fn write_list(&self, state: &mut State, next: &List) {
        let value = match rmp_serde::to_vec(next) {
            Ok(value) => value,
            Err(fault) => {
                log::error!("text=\"the list of members can't be encoded\" fault=\"{fault}\"");
                return;
            }
        };
        let txn = Txn {
            compares: vec![Compare {
                key: self.key.clone(),
                revision: state.revision,
            }],
            writes: vec![Write::Put {
                key: self.key.clone(),
                value,
                lease: None,
            }],
        };
        match self.platform.commit(&txn, Priority::Claim).await {
            Ok(Outcome::Applied(revision)) => {
                state.revision = revision;
                state.version = next.version;
                self.adopt(next).await;
            }
            Ok(Outcome::Refused(present)) => {
                if let Some(entry) = present.first() {
                    self.adopt_entry(state, entry).await;
                }
            }
            // It may have taken effect, so the list is read again before the next proposal.
            Err(Fault::Unknown(_)) => state.version = u64::MAX,
            Err(fault) => {
                state.proposal_failed_at = Some(self.clock.now());
                log::warn!("text=\"list of members not written\" fault=\"{fault}\"");
            }
        }
    }
}

/// Returns how long a VM waits before it proposes to change a list. The VMs choose different times,
/// each another one for each list.
fn proposal_delay(vm: &str, list: &List) -> Millis {
    let members = list.members.len() as u64;
    let spread = PROPOSAL_SPREAD_PER_MEMBER.as_u64() * members;
    let spread = spread.min(MAX_PROPOSAL_SPREAD.as_u64());
    Millis::new(choice(vm, list) % spread.max(1))
}

/// Returns a number that differs between VMs, and between lists for the same VM.
fn choice(vm: &str, list: &List) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), list.version)
}

#[cfg(test)]
mod tests;
