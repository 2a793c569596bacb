//! Client of the replicas: asks the members of a group and evaluates their answers.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use link::client::Client;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::call;
use crate::chain;
use crate::inquiry::Inquiry;
use crate::ledger;
use crate::ledger::Entry;
use crate::list;
use crate::list::Certainty;
use crate::list::List;
use crate::list::Member;
use crate::list::Reset;
use crate::message::Answer;
use crate::message::Body;
use crate::message::Link;
use crate::quorum;
use crate::quorum::Verdict;
use crate::record::Key;
use crate::record::Record;
use crate::record::Reservation;
use crate::record::Settlement;

/// How long to wait for the last members once a majority has a reservation. Answers from all
/// members save a second round; a member that is down or cut off mustn't cost more than that round.
const STRAGGLER_WAIT: Duration = Duration::from_millis(6);
/// How many times a request is sent at most when the list changes in between.
const MAX_TRIES: usize = 3;
/// The pause before asking members again that are still catching up. A change of the list takes
/// them some tens of milliseconds; after a new disk joins, the other members have nothing to copy.
const CATCH_UP_RETRY_DELAY: Duration = Duration::from_millis(40);
/// For how long such members are asked again. A silent member beside them takes the whole time of an answer
/// each time, so that this isn't a number of tries.
const CATCH_UP_WAIT: Duration = Duration::from_millis(320);

/// Why the members gave no reliable answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// Too few members answered.
    #[display("too few members answered")]
    TooFew,
    /// No list of members is known yet.
    #[display("no list of members is known")]
    NoList,
    /// The members don't yet hold everything that was acknowledged before their list, or the list
    /// doesn't name their disks yet.
    #[display("the members with a disk are still catching up")]
    CatchingUp,
    /// The list changed too often during the request.
    #[display("the list of members changed meanwhile")]
    ListChanged,
    /// What was asked for may have been on disks that were lost. Holds how long that may matter.
    #[display("records may have been lost with disks; this matters for {_0} more")]
    RecordsLost(#[error(not(source))] Millis),
}

/// The result of asking the members.
pub type Result<T> = std::result::Result<T, Fault>;

/// The client of one VM.
#[derive(Debug)]
pub struct Replicas {
    http: Arc<Client>,
    list: Mutex<Arc<List>>,
    centre: String,
    losses: usize,
}

/// Whether a majority of the group of every key can serve it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// It can.
    Full,
    /// It answers, but some of it is still catching up.
    CatchingUp,
    /// It doesn't answer.
    TooFew,
}

/// Which members answer, and whether they are enough.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Whether enough members can serve every key.
    pub coverage: Coverage,
    /// How many members answer.
    pub answered: usize,
    /// The VMs of the members that don't answer, or that have another disk than the list names.
    pub silent: Vec<String>,
    /// The VMs of the members that answer and are still catching up.
    pub behind: Vec<String>,
    /// How many members the list has.
    pub members: usize,
}

/// The result of looking up a chain of turns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// Turns from the requested one backwards, and the key of the next earlier turn if the chain
    /// continues.
    Part(Vec<Link>, Option<Key>),
    /// No such turn was ever acknowledged, or it has been dropped.
    Absent,
    /// The bytes of the answer weren't allowed.
    Unread,
}

/// The retries of one request by their reason.
#[derive(Debug, Default)]
struct Retries {
    list_changes: usize,
    /// When members were first found to be catching up.
    catching_up_since: Option<Instant>,
}

impl Retries {
    /// Returns once the request may be sent again, or returns the fault if it may not.
    async fn wait_or_fail(&mut self, fault: Fault) -> Result<()> {
        match fault {
            Fault::ListChanged if self.list_changes + 1 < MAX_TRIES => self.list_changes += 1,
            Fault::CatchingUp => {
                let since = *self.catching_up_since.get_or_insert_with(Instant::now);
                if since.elapsed() >= CATCH_UP_WAIT {
                    return Err(fault);
                }
                tokio::time::sleep(CATCH_UP_RETRY_DELAY).await;
            }
            fault => return Err(fault),
        }
        Ok(())
    }
}

impl Replicas {
    /// Creates a client for a VM in this data centre. `losses` members may be lost at once.
    #[must_use]
    pub fn new(http: Arc<Client>, centre: &str, losses: usize) -> Self {
        Self {
            http,
            list: Mutex::default(),
            centre: centre.to_owned(),
            losses,
        }
    }

    /// Returns the list in use.
    #[must_use]
    pub fn list(&self) -> Arc<List> {
        let list = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        list.clone()
    }

    /// Adopts a list if it is newer.
    pub fn adopt(&self, list: List) {
        let mut own = self.list.lock().unwrap_or_else(PoisonError::into_inner);
        if list.version <= own.version {
            return;
        }
        list::log_list_change(&list, own.version);
        *own = Arc::new(list);
    }

    /// Syncs records to a majority of the group of `key`.
    ///
    /// # Errors
    ///
    /// Fails if no majority can be reached; the records may still be on some members.
    pub async fn apply(&self, key: Key, records: Vec<Record>) -> Result<()> {
        let mut retries = Retries::default();
        loop {
            match self.apply_once(key, &records).await {
                Err(fault) => retries.wait_or_fail(fault).await?,
                Ok(()) => return Ok(()),
            }
        }
    }

    async fn apply_once(&self, key: Key, records: &[Record]) -> Result<()> {
        let (list, group) = self.group(key)?;
        let mut answers = self.ask_all(&list, &group, Body::Apply(records.to_vec()))?;
        let mut done = 0;
        let mut failed = 0;
        let mut fault = Fault::TooFew;
        while let Some(answer) = answers.recv().await {
            match answer {
                // A member that is still catching up has stored the records nevertheless.
                Some(Answer::Applied(_) | Answer::NotReady) => done += 1,
                other => {
                    fault = self.fault_after(fault, other);
                    failed += 1;
                }
            }
            match quorum::write_state(group.len(), done, failed) {
                quorum::State::Waiting => {}
                quorum::State::Majority | quorum::State::All => return Ok(()),
                quorum::State::Failed => return Err(fault),
            }
        }
        Err(fault)
    }

    /// Returns why a request fails if this answer doesn't count: `fault` so far, or a reason that
    /// passes sooner. Adopts the list of a member that uses a newer one.
    fn fault_after(&self, fault: Fault, answer: Option<Answer>) -> Fault {
        match (answer, fault) {
            (Some(Answer::Newer(newer)), _) => {
                self.adopt(newer);
                Fault::ListChanged
            }
            (Some(Answer::NotReady | Answer::OtherDisk(_)), Fault::TooFew) => Fault::CatchingUp,
            (_, fault) => fault,
        }
    }

    /// Reserves tokens if they fit the program's budget, and syncs another reservation of the same
    /// program with them, if any.
    ///
    /// # Errors
    ///
    /// Fails if no majority can be reached; the reservation may then count against the budget.
    pub async fn reserve(
        &self,
        reservation: Reservation,
        with: Option<Reservation>,
        budget: u64,
    ) -> Result<Verdict> {
        let mut retries = Retries::default();
        loop {
            match self.reserve_once(&reservation, with, budget).await {
                Err(fault) => retries.wait_or_fail(fault).await?,
                outcome => return outcome,
            }
        }
    }

    async fn reserve_once(
        &self,
        reservation: &Reservation,
        with: Option<Reservation>,
        budget: u64,
    ) -> Result<Verdict> {
        let (list, group) = self.group(reservation.program)?;
        let reservations = with.into_iter().chain([*reservation]);
        let body = Body::Apply(reservations.map(Record::Reserve).collect());
        let mut answers = self.ask_all(&list, &group, body)?;
        let mut known = Vec::new();
        let mut failed = 0;
        let mut fault = Fault::TooFew;
        let mut deadline = Instant::now() + call::ANSWER_TIMEOUT * 2;
        let mut state = quorum::State::Waiting;
        // Ends early when the time for the stragglers is over.
        while let Ok(Some(answer)) = timeout_at(deadline, answers.recv()).await {
            match answer {
                Some(Answer::Applied(entries)) => known.push(entries),
                other => {
                    fault = self.fault_after(fault, other);
                    failed += 1;
                }
            }
            let before = state;
            state = quorum::write_state(group.len(), known.len(), failed);
            match state {
                quorum::State::Majority if failed + known.len() == group.len() => break,
                quorum::State::Majority if before == quorum::State::Waiting => {
                    deadline = Instant::now() + STRAGGLER_WAIT;
                }
                quorum::State::Waiting | quorum::State::Majority => {}
                quorum::State::All | quorum::State::Failed => break,
            }
        }
        let own = Entry {
            turn: reservation.turn,
            most: reservation.most,
            used: None,
        };
        match state {
            quorum::State::All => {}
            quorum::State::Majority => {
                known.extend(
                    self.read_entries(&list, &group, reservation.program)
                        .await?,
                );
            }
            quorum::State::Waiting | quorum::State::Failed => return Err(fault),
        }
        let entries = self.complete(quorum::union(&known))?;
        Ok(quorum::check_budget(&entries, &own, budget))
    }

    /// Returns a program's entries, unless they may lack some.
    fn complete(&self, entries: Vec<Entry>) -> Result<Vec<Entry>> {
        if entries.iter().any(Entry::says_incomplete) {
            let left = reset_remains(&self.list()).unwrap_or(ledger::RETENTION);
            return Err(Fault::RecordsLost(left));
        }
        Ok(entries)
    }

    /// Checks that the account of a program that has run turns wasn't lost as a whole.
    ///
    /// # Errors
    ///
    /// Fails if it may have been, or if no majority answers.
    pub async fn check_account(&self, program: Key) -> Result<()> {
        let list = self.list();
        let is_incomplete = |reset: &Reset| reset.accounts == Certainty::Some;
        if !list.reset.as_ref().is_some_and(is_incomplete) {
            return Ok(());
        }
        let Some(left) = reset_remains(&list) else {
            return Ok(());
        };
        if self.entries(program).await?.is_empty() {
            return Err(Fault::RecordsLost(left));
        }
        Ok(())
    }

    /// Returns a program's entries: all that were acknowledged.
    ///
    /// # Errors
    ///
    /// Fails if no majority answers.
    pub async fn entries(&self, program: Key) -> Result<Vec<Entry>> {
        let mut retries = Retries::default();
        loop {
            let (list, group) = self.group(program)?;
            match self.read_entries(&list, &group, program).await {
                Ok(known) => return self.complete(quorum::union(&known)),
                Err(fault) => retries.wait_or_fail(fault).await?,
            }
        }
    }

    /// Reads a program's entries from a majority.
    async fn read_entries(
        &self,
        list: &Arc<List>,
        group: &[Member],
        program: Key,
    ) -> Result<Vec<Vec<Entry>>> {
        let mut answers = self.ask_all(list, group, Body::Account(program))?;
        let mut known = Vec::new();
        let mut fault = Fault::TooFew;
        while let Some(answer) = answers.recv().await {
            match answer {
                Some(Answer::Account(entries)) => known.push(entries),
                Some(Answer::Newer(newer)) => {
                    self.adopt(newer);
                    return Err(Fault::ListChanged);
                }
                Some(Answer::NotReady | Answer::OtherDisk(_)) => fault = Fault::CatchingUp,
                _ => {}
            }
            if known.len() >= list::majority(group.len()) {
                return Ok(known);
            }
        }
        Err(fault)
    }

    /// Records how many tokens an attempt used.
    ///
    /// # Errors
    ///
    /// Fails if no majority can be reached; all reserved tokens then count against the budget.
    pub async fn settle(&self, settlement: Settlement) -> Result<()> {
        self.apply(settlement.program, vec![Record::Settle(settlement)])
            .await
    }

    /// Finds a turn and the turns that it continues, and notes in `inquiry` what each member said. Of an answer
    /// no more is read than `may_read` allows, which gets the bytes that it has: first as its head states them.
    ///
    /// # Errors
    ///
    /// Fails if too few members answer to be certain that there is no such turn.
    pub async fn chain(
        &self,
        key: Key,
        inquiry: &mut Inquiry,
        mut may_read: impl FnMut(u64) -> bool + Send,
    ) -> Result<Found> {
        let mut retries = Retries::default();
        loop {
            match self.chain_once(key, inquiry, &mut may_read).await {
                Err(fault) => retries.wait_or_fail(fault).await?,
                outcome => return outcome,
            }
        }
    }

    async fn chain_once(
        &self,
        key: Key,
        inquiry: &mut Inquiry,
        may_read: &mut (impl FnMut(u64) -> bool + Send),
    ) -> Result<Found> {
        let (list, group) = self.group(key)?;
        let found = chain::read(
            &self.http,
            &list,
            group,
            &self.centre,
            key,
            inquiry,
            may_read,
        );
        let found = found.await.map_err(|fault| match fault {
            chain::Fault::Newer(newer) => {
                self.adopt(newer);
                Fault::ListChanged
            }
            chain::Fault::CatchingUp => Fault::CatchingUp,
            chain::Fault::TooFew => Fault::TooFew,
        })?;
        match reset_remains(&list) {
            Some(left) if found == Found::Absent => Err(Fault::RecordsLost(left)),
            Some(_) | None => Ok(found),
        }
    }

    /// Returns whether enough members answer within `limit` to serve every key, and which members
    /// don't, or are still catching up.
    pub async fn reachable(&self, limit: Duration) -> Reach {
        let list = self.list();
        let mut answered = Vec::new();
        let mut caught_up = Vec::new();
        let mut silent = Vec::new();
        let mut behind = Vec::new();
        let mut requests = Vec::new();
        for member in &list.members {
            let http = self.http.clone();
            let (address, version) = (member.address, list.version);
            requests.push(tokio::spawn(async move {
                let answer = call::ask(&http, address, version, Body::Status);
                timeout(limit, answer).await.ok().flatten()
            }));
        }
        for (member, answer) in list.members.iter().zip(requests) {
            let status = match answer.await {
                Ok(Some(Answer::Status(status))) if status.disk == member.disk => Some(status),
                _ => None,
            };
            let Some(status) = status else {
                silent.push(member.vm.clone());
                continue;
            };
            answered.push(member);
            if status.has_caught_up() {
                caught_up.push(member);
            } else {
                behind.push(member.vm.clone());
            }
        }
        Reach {
            coverage: self.coverage(&list, &answered, &caught_up),
            answered: answered.len(),
            silent,
            behind,
            members: list.members.len(),
        }
    }

    fn coverage(&self, list: &List, answered: &[&Member], caught_up: &[&Member]) -> Coverage {
        let needed = list::majority(list.group_size(self.losses));
        if list.members.is_empty() || !list.covers(answered, self.losses, needed) {
            return Coverage::TooFew;
        }
        if list.covers(caught_up, self.losses, needed) {
            Coverage::Full
        } else {
            Coverage::CatchingUp
        }
    }

    fn group(&self, key: Key) -> Result<(Arc<List>, Vec<Member>)> {
        let list = self.list();
        if list.members.is_empty() {
            return Err(Fault::NoList);
        }
        let group = list.group(key, self.losses);
        let group = group.into_iter().cloned().collect();
        Ok((list, group))
    }

    /// Asks members concurrently. Each answer is sent as it arrives, `None` for a failure. The
    /// requests run to the end even if the receiver is dropped, so that every copy is written.
    fn ask_all(
        &self,
        list: &Arc<List>,
        group: &[Member],
        body: Body,
    ) -> Result<mpsc::Receiver<Option<Answer>>> {
        let bytes = call::encode(list.version, body).ok_or(Fault::TooFew)?;
        let (sender, receiver) = mpsc::channel(group.len().max(1));
        for member in group {
            let (http, list) = (self.http.clone(), list.clone());
            let (member, bytes, sender) = (member.clone(), bytes.clone(), sender.clone());
            tokio::spawn(async move {
                let answer = call::ask_with_list(&http, &member, &list, bytes).await;
                // The receiver may already have enough answers and be dropped.
                let _receiver_gone = sender.send(answer).await;
            });
        }
        Ok(receiver)
    }
}

/// Returns for how long records from before the last reset of the list are still kept; `None` if there are none.
fn reset_remains(list: &List) -> Option<Millis> {
    let reset = list.reset.as_ref()?;
    let age = Clock::System.now().since(reset.at);
    (age < ledger::RETENTION).then(|| ledger::RETENTION.since(age))
}
