//! How a VM with a disk joins the list, catches up with the records acknowledged before, and
//! leaves.
//!
//! The list changes one step at a time: the next change is proposed only when enough members hold
//! everything acknowledged under the current list. A joining member is first added to the list,
//! which makes the others refuse requests under the old list, and only then asks for what they
//! hold. What they hold then includes everything acknowledged under the old list.

mod list_change;

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
        if list.version > identity.ready && list.has_member(&self.own) {
            self.catch_up_with(&list).await;
            return;
        }
        let phase = *self.phase.borrow();
        match (phase, list.has_member(&self.own)) {
            (Phase::Member, false) => self.propose(state, &list, &list.with(&self.own)).await,
            (Phase::Member, true) => {
                self.compare(state, &list).await;
                self.evict(state, &list).await;
            }
            (Phase::Leaving, true) => {
                self.propose(state, &list, &list.without(&self.own.vm))
                    .await;
            }
            (Phase::Leaving, false) => self.leave(&list).await,
            (Phase::Left, _) => {}
        }
    }

    /// Returns the members that hold everything acknowledged before the list.
    async fn ready_members<'a>(&self, list: &'a List) -> Vec<&'a list::Member> {
        let mut ready = Vec::new();
        for member in &list.members {
            let Some(status) = self.status(member).await else {
                continue;
            };
            if status.disk == member.disk && status.ready >= list.version {
                ready.push(member);
            }
        }
        ready
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

    /// Copies everything that was acknowledged before this list.
    ///
    /// By [`catch_up::has_enough_sources`], the members that answer must intersect every majority
    /// of every group of the previous list. They then hold whatever was acknowledged. Because they
    /// refuse requests under the previous list, the others are too few to store a turn or to be
    /// certain that one is absent, so nobody continues with the old list beside the new one. At
    /// least one member of every group must itself have caught up before. A member is a disk: a VM
    /// that has lost it doesn't answer for it.
    async fn catch_up_with(&self, list: &List) {
        let started = self.clock.now();
        let mut answered = Vec::new();
        let mut caught_up = Vec::new();
        let ready = self.member.status().ready;
        let scope = catch_up::scope(list, &self.own, ready, self.losses);
        if let Some(own) = list.before.iter().find(|member| **member == self.own) {
            answered.push(own);
            if ready + 1 >= list.version {
                caught_up.push(own);
            }
        }
        let before = list.previous();
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
            if !self.copy_from(member, list, &before, &holdings).await {
                continue;
            }
            answered.push(member);
            if holdings.ready + 1 >= list.version {
                caught_up.push(member);
            }
        }
        let enough = has_enough(&answered, &caught_up);
        if !enough {
            log::warn!(
                "event=E{} text=\"{}\" version={} heard={} whole={} before={}",
                Event::RecordsMissing.number(),
                Event::RecordsMissing.text(),
                list.version,
                answered.len(),
                caught_up.len(),
                list.before.len()
            );
            tokio::time::sleep(STEP_INTERVAL).await;
            return;
        }
        if let Err(fault) = self.member.set_ready(list.version).await {
            disk::log_failed(&fault);
            return;
        }
        log::info!(
            "event=E{} text=\"{}\" version={} heard={} ms={}",
            Event::RecordsLearnt.number(),
            Event::RecordsLearnt.text(),
            list.version,
            answered.len(),
            self.clock.now().since(started).as_u64()
        );
    }

    /// Copies what a member of the list `before` holds. Returns whether that is all that its disk holds.
    async fn copy_from(
        &self,
        member: &list::Member,
        list: &List,
        before: &List,
        holdings: &Holdings,
    ) -> bool {
        let wanted = |key| catch_up::must_copy(list, before, &self.own, key, self.losses);
        if let Err(fault) = self.copy_missing(member, list, holdings, wanted).await {
            log::warn!(
                "text=\"a member's records not copied\" member={} fault=\"{fault}\"",
                member.vm
            );
            return false;
        }
        // Asked afterwards, so that all that was copied came from that disk: a VM whose disk was lost answers
        // at the same address, also to itself, with the little that it has.
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

    async fn copy_missing(
        &self,
        member: &list::Member,
        list: &List,
        holdings: &Holdings,
        wanted: impl Fn(Key) -> bool,
    ) -> io::Result<()> {
        let accounts = holdings.accounts.iter();
        let accounts: Vec<Account> = accounts
            .filter(|account| wanted(account.program))
            .cloned()
            .collect();
        self.member.merge_accounts(&accounts).await?;
        let mut missing = self.member.missing(&holdings.turns);
        missing.retain(|key| wanted(*key));
        while !missing.is_empty() {
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
            let wanted = |key| list.group(key, self.losses).contains(&&self.own);
            if let Err(fault) = self.copy_missing(&member, list, &holdings, wanted).await {
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

    /// Proposes to remove an unresponsive member if the list has more members than it needs, or
    /// exactly two.
    async fn evict(&self, state: &mut State, list: &List) {
        let has_spare = list.members.len() > 2 * self.losses + 1;
        if !has_spare && list.members.len() != 2 {
            state.unresponsive.clear();
            return;
        }
        let mut responsive: Vec<&list::Member> = Vec::new();
        for member in &list.members {
            if self.status(member).await.is_some() {
                responsive.push(member);
            }
        }
        let now = self.clock.now();
        let answered: Vec<&str> = responsive.iter().map(|member| member.vm.as_str()).collect();
        state.unresponsive.record_answers(list, &answered, now);
        // In a partition, the side with too few members leaves the list alone because the other
        // side will come back. In a list of two, each member holds everything because a write needs
        // both; neither can continue without the other until the list changes, and only one of them
        // can change it.
        let enough = responsive.len() > 2 * self.losses || list.members.len() == 2;
        if !enough || responsive.first().is_none_or(|first| **first != self.own) {
            return;
        }
        if let Some(vm) = state.unresponsive.to_evict(list, now) {
            log::warn!(
                "event=E{} text=\"{}\" member={vm}",
                Event::MemberEvicted.number(),
                Event::MemberEvicted.text()
            );
            let next = list.without(vm);
            self.propose(state, list, &next).await;
        }
    }

    /// Completes leaving the list once the remaining members have caught up and so hold all that
    /// this member held.
    async fn leave(&self, list: &List) {
        if self.ready_members(list).await.len() < list.members.len() {
            return;
        }
        log::info!(
            "event=E{} text=\"{}\" version={}",
            Event::MemberLeft.number(),
            Event::MemberLeft.text(),
            list.version
        );
        self.phase.send_replace(Phase::Left);
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
