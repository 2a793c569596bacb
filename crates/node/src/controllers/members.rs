//! Which VMs there are and which of them are up.
//!
//! Each VM sends a heartbeat to a few others each [`ROUND`] and is answered with one. A heartbeat
//! carries the sender's own line, news of others and a digest of all that the sender knows, so the
//! traffic of a VM doesn't grow with the fleet, and news reaches all in a number of rounds that
//! grows with its logarithm.
//!
//! A VM that doesn't answer is *suspected*; the suspicion is news, and the VM that hears it of
//! itself refutes it with a higher incarnation. One that doesn't for [`SUSPICION`] is *down*. A VM
//! back from a pause is told that it is down by the first that it speaks to, and comes up again
//! in the same way. Nothing that must not happen twice rests on any of this: see the journal.

use std::net::SocketAddr;

use rand::Rng;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use wire::id;
use xxhash_rust::xxh3::Xxh3;

pub mod broadcast;
pub mod exchange;
pub mod heartbeat;
pub mod listings;
pub mod loads;
pub mod owners;

use broadcast::Queue;
use heartbeat::Liveness;
use heartbeat::Status;

/// The time between two rounds of heartbeats.
pub const ROUND_INTERVAL: Millis = Millis::new(1_000);
/// VMs of the own data centre that get a heartbeat each round. With 2 a VM hears 4 frames from its
/// centre each round, and is missed by no one for a whole round in `e^-2`, one in seven.
pub const FANOUT: usize = 2;
/// Each so many rounds one VM of another data centre gets a heartbeat too.
const REMOTE_EVERY: u64 = 2;
/// Each so many rounds one VM that is down gets a heartbeat too: after a cut both sides think the
/// other down, and no one else would ever speak across again.
const DOWN_EVERY: u64 = 3;
/// How long a suspected VM has to refute: two rounds for the news to reach it and one for its
/// answer to get about.
pub const SUSPICION_TIMEOUT: Millis = Millis::new(3_000);
/// How long a VM that is down is remembered: long enough that no heartbeat of before its death is
/// still about, short enough that the 170 VMs replaced on an ordinary day don't pile up.
const DOWN_RETENTION: Millis = Millis::new(60 * 60 * 1_000);
/// A gap between two rounds from which on this VM was paused itself: what it thinks of others'
/// silence is then worth nothing.
const PAUSE_THRESHOLD: Millis = Millis::new(2_500);

/// Why a VM is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// It was suspected and didn't refute in time.
    Silent,
    /// It was suspected, and the platform's list no longer has it.
    Unlisted,
    /// Another VM says so.
    Told,
}

/// A VM came up or went down, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It is up.
    Up(id::Vm),
    /// It is down.
    Down(id::Vm, Reason),
}

/// What is known of one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// What is told of it.
    pub status: Status,
    /// Since when it has been in its present state.
    pub since: Millis,
    /// Whether the platform's list had it.
    was_listed: bool,
}

/// The VMs, this one among them.
#[derive(Clone, Debug)]
pub struct Table {
    me: id::Vm,
    centre: id::Centre,
    /// Sorted by name.
    members: Vec<Member>,
    updates: Queue<id::Vm>,
    changes: Vec<Change>,
    /// The centre's VMs in a drawn order, taken from the end; each is met once before any twice.
    next_targets: Vec<id::Vm>,
    rounds: u64,
    last_round: Option<Millis>,
}

/// Where the platform's list has a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// Live.
    Live,
    /// About to leave.
    Leaving,
    /// Not at all.
    Absent,
}

impl Table {
    /// Makes the table of a VM that starts. Its incarnation is the time, so that it is above any
    /// of an earlier run; where the clock was set back, others tell it a higher one.
    #[must_use]
    pub fn new(mut status: Status, now: Millis) -> Self {
        status.liveness = Liveness::Up;
        status.incarnation = now.as_u64();
        let mut table = Self {
            me: status.vm.clone(),
            centre: status.centre.clone(),
            members: Vec::new(),
            updates: Queue::default(),
            changes: Vec::new(),
            next_targets: Vec::new(),
            rounds: 0,
            last_round: None,
        };
        table.merge(&status, now);
        table.changes.clear();
        table
    }

    /// Yields the VMs, sorted by name.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Yields this VM's own line.
    #[must_use]
    pub fn own(&self) -> &Status {
        &self.members[self.own_index()].status
    }

    /// Looks a VM up.
    #[must_use]
    pub fn find(&self, vm: &id::Vm) -> Option<&Member> {
        Some(&self.members[self.position(vm).ok()?])
    }

    /// Changes what this VM tells of itself, which others hear with its next heartbeats.
    pub fn set_own(&mut self, change: impl FnOnce(&mut Status)) {
        let index = self.own_index();
        let before = self.members[index].status.stopping;
        change(&mut self.members[index].status);
        if before != self.members[index].status.stopping {
            self.updates.push(self.me.clone());
        }
    }

    /// Yields who came up and went down since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes what is told of a VM, by itself or by another.
    pub fn merge(&mut self, received: &Status, now: Millis) {
        if received.vm == self.me && self.position(&self.me).is_ok() {
            self.refute(received);
            return;
        }
        match self.position(&received.vm) {
            Err(index) => self.add(index, received, now),
            Ok(index) => self.update(index, received, now),
        }
    }

    /// Notes that a VM didn't answer.
    pub fn suspect(&mut self, vm: &id::Vm, now: Millis) {
        if *vm == self.me {
            return;
        }
        let Ok(index) = self.position(vm) else { return };
        let member = &mut self.members[index];
        if member.status.liveness == Liveness::Up {
            member.status.liveness = Liveness::Suspect;
            member.since = now;
            self.updates.push(vm.clone());
        }
    }

    /// Takes the platform's list, which lags both ways. That a VM leaves is taken at its word. That
    /// it is gone counts only for one that was listed and is suspected: one that speaks is up.
    pub fn apply_list(&mut self, lookup: impl Fn(&id::Vm) -> Listed, now: Millis) {
        for index in 0..self.members.len() {
            let vm = self.members[index].status.vm.clone();
            match lookup(&vm) {
                Listed::Live => self.members[index].was_listed = true,
                Listed::Leaving => {
                    self.members[index].was_listed = true;
                    if !self.members[index].status.stopping {
                        self.members[index].status.stopping = true;
                        self.updates.push(vm);
                    }
                }
                Listed::Absent => {
                    let suspect = self.members[index].status.liveness == Liveness::Suspect;
                    if self.members[index].was_listed && suspect {
                        self.mark_down(index, Reason::Unlisted, now);
                    }
                }
            }
        }
    }

    /// Begins a round: ends suspicions that weren't refuted, and draws whom to send a heartbeat.
    pub fn begin_round<R: Rng>(&mut self, now: Millis, random: &mut R) -> Vec<id::Vm> {
        let gap = self.last_round.map_or(Millis::ZERO, |last| now.since(last));
        self.last_round = Some(now);
        self.rounds += 1;
        if gap >= PAUSE_THRESHOLD {
            self.resume_after_pause(gap);
        }
        self.expire(now);
        self.targets(random)
    }

    /// Draws whom to send a heartbeat, as in a round, for news that shouldn't wait.
    pub fn targets<R: Rng>(&mut self, random: &mut R) -> Vec<id::Vm> {
        let mut targets = Vec::with_capacity(FANOUT + 2);
        for _ in 0..FANOUT {
            if let Some(vm) = self
                .next_in_centre(random)
                .filter(|vm| !targets.contains(vm))
            {
                targets.push(vm);
            }
        }
        if self.rounds.is_multiple_of(REMOTE_EVERY) {
            let remote =
                |m: &Member| m.status.centre != self.centre && m.status.liveness != Liveness::Down;
            targets.extend(self.pick_random(remote, random));
        }
        if self.rounds.is_multiple_of(DOWN_EVERY) {
            targets.extend(self.pick_random(|m| m.status.liveness == Liveness::Down, random));
        }
        targets
    }

    /// Picks up to `most` lines for a heartbeat to a VM that are news. What is thought of that VM
    /// itself, where it isn't thought up, goes with each: only it can tell better.
    pub fn take_updates(&mut self, to: &id::Vm, max: usize) -> Vec<Status> {
        let sends = broadcast::transmit_limit(self.members.len());
        let names = self.updates.take(max, sends);
        let others = names.iter().filter(|vm| *vm != to);
        let mut statuses: Vec<Status> = others
            .filter_map(|vm| Some(self.find(vm)?.status.clone()))
            .collect();
        let not_up = self.find(to).filter(|m| m.status.liveness != Liveness::Up);
        statuses.extend(not_up.map(|m| m.status.clone()));
        statuses
    }

    /// Adds all lines to a digest, so that two VMs that know the same have the same digest.
    pub fn digest(&self, hash: &mut Xxh3) {
        for Member { status, .. } in &self.members {
            hash.update(status.vm.as_str().as_bytes());
            hash.update(&status.incarnation.to_le_bytes());
            hash.update(&[status.liveness.into(), u8::from(status.stopping)]);
        }
    }

    fn own_index(&self) -> usize {
        self.position(&self.me).unwrap_or_default()
    }

    fn position(&self, vm: &id::Vm) -> std::result::Result<usize, usize> {
        self.members.binary_search_by(|m| m.status.vm.cmp(vm))
    }

    fn add(&mut self, index: usize, received: &Status, now: Millis) {
        let member = Member {
            status: received.clone(),
            since: now,
            was_listed: false,
        };
        self.members.insert(index, member);
        self.updates.push(received.vm.clone());
        if received.liveness != Liveness::Down {
            self.changes.push(Change::Up(received.vm.clone()));
        }
    }

    fn update(&mut self, index: usize, received: &Status, now: Millis) {
        let member = &mut self.members[index];
        if received.rank() < member.status.rank() {
            return;
        }
        if received.rank() == member.status.rank() {
            let revision = member.status.revision.max(received.revision);
            member.status.revision = revision;
            if received.stopping && !member.status.stopping {
                member.status.stopping = true;
                self.updates.push(received.vm.clone());
            }
            return;
        }
        let previous = member.status.liveness;
        // The list's word that the VM leaves holds for as long as it runs.
        let leaving = member.status.stopping && member.status.incarnation == received.incarnation;
        member.status = received.clone();
        member.status.stopping |= leaving;
        if previous != received.liveness {
            member.since = now;
        }
        self.updates.push(received.vm.clone());
        match (previous, received.liveness) {
            (Liveness::Down, Liveness::Up | Liveness::Suspect) => {
                self.changes.push(Change::Up(received.vm.clone()));
            }
            (Liveness::Up | Liveness::Suspect, Liveness::Down) => {
                let change = Change::Down(received.vm.clone(), Reason::Told);
                self.changes.push(change);
            }
            _ => {}
        }
    }

    /// Answers a line about this VM itself that says it isn't up, or that an earlier run got to a
    /// higher incarnation.
    fn refute(&mut self, received: &Status) {
        let index = self.own_index();
        let own = &mut self.members[index].status;
        if received.stopping && received.incarnation == own.incarnation {
            own.stopping = true;
        }
        let disputed = received.incarnation == own.incarnation && received.liveness != Liveness::Up;
        if disputed || received.incarnation > own.incarnation {
            own.incarnation = received.incarnation + 1;
            self.updates.push(self.me.clone());
        }
    }

    /// Starts anew after this VM was paused: the suspicions that it held ran out while no one could
    /// refute to it, and ending them now would have it think VMs down that are up. Others may think
    /// this VM down; a higher incarnation tells them better without waiting to be told.
    fn resume_after_pause(&mut self, gap: Millis) {
        for member in &mut self.members {
            if member.status.liveness == Liveness::Suspect {
                member.since = member.since.plus(gap);
            }
        }
        let index = self.own_index();
        self.members[index].status.incarnation += 1;
        self.updates.push(self.me.clone());
    }

    fn expire(&mut self, now: Millis) {
        for index in 0..self.members.len() {
            let member = &self.members[index];
            if member.status.liveness == Liveness::Suspect
                && now.since(member.since) >= SUSPICION_TIMEOUT
            {
                self.mark_down(index, Reason::Silent, now);
            }
        }
        self.members
            .retain(|m| m.status.liveness != Liveness::Down || now.since(m.since) < DOWN_RETENTION);
    }

    fn mark_down(&mut self, index: usize, reason: Reason, now: Millis) {
        let member = &mut self.members[index];
        member.status.liveness = Liveness::Down;
        member.since = now;
        let vm = member.status.vm.clone();
        self.updates.push(vm.clone());
        self.changes.push(Change::Down(vm, reason));
    }

    fn next_in_centre<R: Rng>(&mut self, random: &mut R) -> Option<id::Vm> {
        for _ in 0..2 {
            while let Some(vm) = self.next_targets.pop() {
                if self
                    .find(&vm)
                    .is_some_and(|m| m.status.liveness != Liveness::Down)
                {
                    return Some(vm);
                }
            }
            self.next_targets = self.same_centre();
            shuffle(&mut self.next_targets, random);
        }
        None
    }

    /// Yields the other VMs of the own data centre that aren't down.
    #[must_use]
    pub fn same_centre(&self) -> Vec<id::Vm> {
        let others = self.members.iter().map(|m| &m.status);
        others
            .filter(|l| l.centre == self.centre && l.liveness != Liveness::Down && l.vm != self.me)
            .map(|l| l.vm.clone())
            .collect()
    }

    fn pick_random<R: Rng>(
        &self,
        wanted: impl Fn(&Member) -> bool,
        random: &mut R,
    ) -> Option<id::Vm> {
        let matching: Vec<&Member> = self.members.iter().filter(|m| wanted(m)).collect();
        if matching.is_empty() {
            return None;
        }
        let index = random.random_range(0..matching.len());
        Some(matching[index].status.vm.clone())
    }
}

/// Builds the line of a VM that is known from settings only. Its incarnation is below any real one.
#[must_use]
pub fn seed(vm: &id::Vm, centre: &id::Centre, address: SocketAddr) -> Status {
    Status {
        vm: vm.clone(),
        centre: centre.clone(),
        address,
        size: 1,
        process: 0,
        incarnation: 0,
        liveness: Liveness::Up,
        stopping: false,
        revision: 0,
    }
}

fn shuffle<R: Rng>(list: &mut [id::Vm], random: &mut R) {
    for last in (1..list.len()).rev() {
        list.swap(last, random.random_range(0..=last));
    }
}

#[cfg(test)]
mod tests;
