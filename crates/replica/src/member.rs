//! How a VM with a disk joins the list, catches up with the records acknowledged before, and
//! leaves.
//!
//! The list changes one step at a time: the next change is proposed only when enough members hold
//! everything acknowledged under the current list. A joining member is first added to the list,
//! which makes the others refuse requests under the old list, and only then asks for what they
//! hold. What they hold then includes everything acknowledged under the old list.

mod list_change;
mod survey;

use std::io;
use std::sync::Arc;
use std::time::Duration;

use link::client::Client;
use platform::edge::Platform;
use tokio::sync::watch;
use tokio::task::JoinSet;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::event::Event;

use crate::call;
use crate::catch_up;
use crate::catch_up::Scope;
use crate::disk;
use crate::ledger::Account;
use crate::list;
use crate::list::List;
use crate::member::list_change::State;
use crate::message::Answer;
use crate::message::Body;
use crate::message::Holdings;
use crate::message::Status;
use crate::record::Key;
use crate::record::Record;
use crate::server::Member;

/// How often the driver runs.
const STEP_INTERVAL: Duration = Duration::from_millis(200);
/// The pause before a member compares its records again after too few others have answered.
const COMPARE_RETRY_DELAY: Millis = Millis::new(2_000);
/// Turns fetched in one request: typical ones add up to half a megabyte, which is what an answer
/// holds.
const FETCH_BATCH_TURNS: usize = 32;

/// A member that was asked for what it holds, and its answer.
struct Asked {
    member: list::Member,
    answer: Option<Answer>,
}

/// What a member heard from the members of the list before.
struct Sources {
    /// Whether they are enough to hold all that was acknowledged.
    are_enough: bool,
    answered: usize,
    caught_up: usize,
    /// What each other one holds.
    copies: Vec<(list::Member, Holdings)>,
}

/// How many members of the list before were heard in vain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Heard {
    version: u64,
    answered: usize,
    caught_up: usize,
}

/// Whether a member has caught up.
enum Progress {
    Complete,
    Missing,
}

/// Where a member is in its life cycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is in the list or is about to join.
    Member,
    /// It is leaving: others copy what it holds.
    Leaving,
    /// Others hold everything that it held.
    Left,
}

/// Runs a member: keeps its list up to date, catches up, joins, evicts others and leaves.
pub struct Driver {
    /// The member.
    pub member: Arc<Member>,
    /// Client for requests to the other members.
    pub http: Arc<Client>,
    /// Platform whose key-value service stores the list.
    pub platform: Arc<dyn Platform>,
    /// The list's key in the key-value service.
    pub key: String,
    /// The member's entry in the list.
    pub own: list::Member,
    /// How many members may be lost at once.
    pub losses: usize,
    /// How long a silent VM is waited for where the list can't change without it.
    pub max_silence: Millis,
    /// The source of the current time.
    pub clock: Clock,
    /// `Leaving` once operators have asked for the member to leave the list, `Left` once the other
    /// members hold everything that it held.
    pub phase: watch::Sender<Phase>,
}

impl Driver {
    /// Runs the member for as long as the future is polled.
    pub async fn run(self) {
        let mut state = State::default();
        loop {
            self.step(&mut state).await;
            tokio::select! {
                () = self.member.list_changed.notified() => {}
                () = tokio::time::sleep(STEP_INTERVAL) => {}
            }
        }
    }

    async fn step(&self, state: &mut State) {
        if let Err(fault) = self.member.sweep().await {
            disk::log_failed(&fault);
        }
        self.refresh_list(state).await;
        let identity = self.member.identity();
        let list = identity.list;
        let is_listed = list.has_member(&self.own);
        if is_listed && list.version > identity.ready {
            match self.catch_up_with(state, &list).await {
                Progress::Complete => state.behind_since = None,
                Progress::Missing => self.restore(state, &list).await,
            }
            return;
        }
        state.behind_since = None;
        let phase = *self.phase.borrow();
        // A VM whose lost disk is listed takes that one's place before it leaves.
        let is_named = list.find(&self.own.vm).is_some();
        match (phase, is_listed) {
            (Phase::Member, false) => self.join(state, &list).await,
            (Phase::Leaving, false) if is_named => self.join(state, &list).await,
            (Phase::Leaving, false) => self.leave(state, &list).await,
            (Phase::Member | Phase::Leaving, true) => {
                self.compare(state, &list).await;
                let view = self.watch(state, &list).await;
                self.evict(state, &list, &view).await;
                if phase == Phase::Leaving {
                    self.begin_leaving(state, &list, &view).await;
                }
            }
            (Phase::Left, _) => {}
        }
    }

    async fn status(&self, member: &list::Member) -> Option<Status> {
        if *member == self.own {
            return Some(self.member.status());
        }
        match self.ask(member, 0, Body::Status).await? {
            Answer::Status(status) => Some(status),
            _ => None,
        }
    }

    async fn ask(&self, member: &list::Member, version: u64, body: Body) -> Option<Answer> {
        call::ask(&self.http, member.address, version, body).await
    }

    /// Copies everything that was acknowledged before this list: first all accounts, without which no turn can be
    /// admitted, then the turns.
    ///
    /// By [`catch_up::has_enough_sources`], the members that answer must intersect every majority
    /// of every group of the previous list. They then hold whatever was acknowledged. Because they
    /// refuse requests under the previous list, the others are too few to store a turn or to be
    /// certain that one is absent, so nobody continues with the old list beside the new one. At
    /// least one member of every group must itself have caught up before. A member is a disk: a VM
    /// that has lost it doesn't answer for it.
    async fn catch_up_with(&self, state: &mut State, list: &List) -> Progress {
        let started = self.clock.now();
        let ready = self.member.status().ready;
        let scope = catch_up::scope(list, &self.own, ready, self.losses);
        let sources = self.find_sources(list, scope, ready).await;
        if !sources.are_enough {
            let heard = Heard {
                version: list.version,
                answered: sources.answered,
                caught_up: sources.caught_up,
            };
            if state.heard.replace(heard) != Some(heard) {
                log::warn!(
                    "event=E{} text=\"{}\" version={} heard={} whole={} before={}",
                    Event::RecordsMissing.number(),
                    Event::RecordsMissing.text(),
                    list.version,
                    heard.answered,
                    heard.caught_up,
                    list.before.len()
                );
            }
            tokio::time::sleep(STEP_INTERVAL).await;
            return Progress::Missing;
        }
        state.heard = None;
        self.member.note_accounts(list.version);
        for (member, holdings) in &sources.copies {
            if !self.copy_turns(member, list, holdings).await {
                return Progress::Missing;
            }
        }
        if let Err(fault) = self.member.set_ready(list.version).await {
            disk::log_failed(&fault);
            return Progress::Missing;
        }
        log::info!(
            "event=E{} text=\"{}\" version={} heard={} ms={}",
            Event::RecordsLearnt.number(),
            Event::RecordsLearnt.text(),
            list.version,
            sources.answered,
            self.clock.now().since(started).as_u64()
        );
        Progress::Complete
    }

    /// Asks members of the list before for what they hold, and copies their accounts, until they are enough.
    async fn find_sources(&self, list: &List, scope: Scope, ready: u64) -> Sources {
        let mut answered = Vec::new();
        let mut caught_up = Vec::new();
        let mut copies = Vec::new();
        if let Some(own) = list.before.iter().find(|member| **member == self.own) {
            answered.push(own);
            if ready + 1 >= list.version {
                caught_up.push(own);
            }
        }
        let has_enough = |answered: &[_], caught_up: &[_]| {
            catch_up::has_enough_sources(list, answered, caught_up, self.losses)
        };
        let mut asked = self.ask_holdings(&list.before, list, scope);
        // The others may be silent, and aren't waited for.
        while !has_enough(&answered, &caught_up)
            && let Some((member, holdings)) = self.next_holdings(list, &mut asked).await
        {
            let Some(member) = list.before.iter().find(|known| **known == member) else {
                continue;
            };
            if !self.copy_accounts(member, list, &holdings).await {
                continue;
            }
            answered.push(member);
            if holdings.ready + 1 >= list.version {
                caught_up.push(member);
            }
            copies.push((member.clone(), holdings));
        }
        Sources {
            are_enough: has_enough(&answered, &caught_up),
            answered: answered.len(),
            caught_up: caught_up.len(),
            copies,
        }
    }

    /// Returns whether a member copies a key when it catches up with a list.
    fn must_copy(&self, list: &List, key: Key) -> bool {
        catch_up::must_copy(list, &list.previous(), &self.own, key, self.losses)
    }

    /// Copies the accounts of a member of the list before. Returns whether that is all that its disk holds.
    async fn copy_accounts(&self, member: &list::Member, list: &List, holdings: &Holdings) -> bool {
        let accounts = holdings.accounts.iter();
        let accounts: Vec<Account> = accounts
            .filter(|account| self.must_copy(list, account.program))
            .cloned()
            .collect();
        if let Err(fault) = self.member.merge_accounts(&accounts).await {
            disk::log_failed(&fault);
            return false;
        }
        self.is_its_disk(member, list).await
    }

    /// Copies the turns of a member of the list before. Returns whether that is all that its disk holds.
    async fn copy_turns(&self, member: &list::Member, list: &List, holdings: &Holdings) -> bool {
        let mut missing = self.member.missing(&holdings.turns);
        missing.retain(|key| self.must_copy(list, *key));
        if let Err(fault) = self.fetch(member, list, missing).await {
            log::warn!(
                "text=\"a member's records not copied\" member={} fault=\"{fault}\"",
                member.vm
            );
            return false;
        }
        self.is_its_disk(member, list).await
    }

    /// Returns whether the listed disk of a member answers at its address. Asked after a copy, so that all that was
    /// copied came from that disk: a VM whose disk was lost answers at the same address, also to itself, with the
    /// little that it has.
    async fn is_its_disk(&self, member: &list::Member, list: &List) -> bool {
        let Some(status) = self.status(member).await else {
            return false;
        };
        let is_its_disk = status.disk == member.disk;
        if !is_its_disk {
            log_replaced(member, list);
        }
        is_its_disk
    }

    /// Asks the other members concurrently for what they hold. Concurrent requests cost one timeout in
    /// total when several members don't answer.
    fn ask_holdings(&self, members: &[list::Member], list: &List, scope: Scope) -> JoinSet<Asked> {
        let body = match scope {
            Scope::All => Body::Keys,
            Scope::Gained => Body::Gained {
                vm: self.own.vm.clone(),
                losses: self.losses,
            },
        };
        let mut asked = JoinSet::new();
        let Some(bytes) = call::encode(list.version, body) else {
            return asked;
        };
        for member in members.iter().filter(|member| **member != self.own) {
            let (http, bytes) = (self.http.clone(), bytes.clone());
            let (member, list) = (member.clone(), list.clone());
            asked.spawn(async move {
                let answer = call::ask_with_list(&http, &member, &list, bytes).await;
                Asked { member, answer }
            });
        }
        asked
    }

    /// Returns the next answer that tells what a member holds; `None` once all have answered or failed.
    async fn next_holdings(
        &self,
        list: &List,
        asked: &mut JoinSet<Asked>,
    ) -> Option<(list::Member, Holdings)> {
        while let Some(next) = asked.join_next().await {
            let Ok(Asked { member, answer }) = next else {
                continue;
            };
            match answer {
                Some(Answer::Keys(holdings)) => return Some((member, holdings)),
                Some(Answer::Newer(newer)) => self.adopt(&newer).await,
                Some(Answer::OtherDisk(_)) => log_replaced(&member, list),
                _ => {}
            }
        }
        None
    }

    /// Fetches turns from a member, in this order.
    async fn fetch(
        &self,
        member: &list::Member,
        list: &List,
        mut missing: Vec<Key>,
    ) -> io::Result<()> {
        while !missing.is_empty() {
            if self.member.status().version > list.version {
                return Err(io::Error::other("the list has changed"));
            }
            let batch: Vec<Key> = missing.iter().take(FETCH_BATCH_TURNS).copied().collect();
            let body = Body::Fetch(batch.clone());
            let answer = call::ask_disk(&self.http, member, list.version, body).await;
            let Some(Answer::Turns(turns)) = answer else {
                return Err(io::Error::other("no answer"));
            };
            if turns.is_empty() {
                // The member has dropped these turns in the meantime.
                missing.drain(..batch.len());
                continue;
            }
            let got: Vec<Key> = turns.iter().map(|turn| turn.key).collect();
            let records = turns.into_iter().map(Record::Turn).collect();
            if let Answer::Failed(fault) = self.member.apply(records).await {
                return Err(io::Error::other(fault));
            }
            missing.retain(|key| !got.contains(key));
        }
        Ok(())
    }

    /// Compares records with the other members after the start and after each pause in which no
    /// write came, until enough of them have answered. Copies records that a majority got while this
    /// member was away, so that they survive the next loss of a member.
    async fn compare(&self, state: &mut State, list: &List) {
        let pauses = self.member.pauses();
        let now = self.clock.now();
        if state.compared_pauses == pauses || now < state.next_compare {
            return;
        }
        let mut compared = vec![&self.own];
        let mut asked = self.ask_holdings(&list.members, list, Scope::All);
        while let Some((member, holdings)) = self.next_holdings(list, &mut asked).await {
            if let Err(fault) = self.copy_held(&member, list, &holdings).await {
                log::warn!(
                    "text=\"a member's records not compared\" member={} fault=\"{fault}\"",
                    member.vm
                );
                continue;
            }
            compared.extend(list.members.iter().find(|known| **known == member));
        }
        // Whatever was acknowledged meanwhile is on one of these, too.
        let needed = list::blocking_size(list.group_size(self.losses));
        if list.covers(&compared, self.losses, needed) {
            state.compared_pauses = pauses;
        } else {
            state.next_compare = self.clock.now().plus(COMPARE_RETRY_DELAY);
        }
    }

    /// Copies what a member holds and this one has to hold under the list.
    async fn copy_held(
        &self,
        member: &list::Member,
        list: &List,
        holdings: &Holdings,
    ) -> io::Result<()> {
        let is_held = |key| list.group(key, self.losses).contains(&&self.own);
        let accounts = holdings.accounts.iter();
        let accounts: Vec<Account> = accounts
            .filter(|account| is_held(account.program))
            .cloned()
            .collect();
        self.member.merge_accounts(&accounts).await?;
        let mut missing = self.member.missing(&holdings.turns);
        missing.retain(|key| is_held(*key));
        self.fetch(member, list, missing).await
    }
}

/// Logs that another disk answers at a member's address.
fn log_replaced(member: &list::Member, list: &List) {
    log::info!(
        "event=E{} text=\"{}\" member={} version={}",
        Event::DiskReplaced.number(),
        Event::DiskReplaced.text(),
        member.vm,
        list.version
    );
}
