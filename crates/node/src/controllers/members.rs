//! Membership: which VMs exist and which of them are up.
//!
//! Each VM sends a heartbeat to a few others every [`ROUND_INTERVAL`], and each is answered with a
//! heartbeat. A heartbeat carries the sender's own status, updates on other VMs and a digest of
//! everything that the sender knows. The traffic of a VM therefore doesn't grow with the fleet, and
//! an update reaches all VMs in a number of rounds that grows with the logarithm of the fleet.
//!
//! A VM that doesn't answer is *suspected*. The suspicion is spread as an update; when the
//! suspected VM receives it, it refutes it with a higher incarnation. A VM that doesn't refute
//! within [`SUSPICION_TIMEOUT`] is *down*. A VM that resumes after a pause learns from the first VM
//! it contacts that it is thought to be down, and comes up again with a higher incarnation as well.
//! Membership only decides whom to ask: what must not happen twice is protected by the journal.

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
/// Number of VMs of the own data centre that get a heartbeat each round. With 2, a VM receives 4
/// frames from its centre each round on average, and the probability that nobody contacts it for a
/// whole round is `e^-2`, one in seven.
pub const FANOUT: usize = 2;
/// Every so many rounds, one VM of another data centre gets a heartbeat too.
const REMOTE_EVERY: u64 = 2;
/// Every so many rounds, one VM that is down gets a heartbeat too: after a network partition both
/// sides think the other down, and without this no VM would contact the other side again.
const DOWN_EVERY: u64 = 3;
/// How long a suspected VM has to refute: two rounds for the suspicion to reach it and one for its
/// refutation to spread.
pub const SUSPICION_TIMEOUT: Millis = Millis::new(3_000);
/// How long a VM that is down is remembered: long enough that no heartbeat from before its death is
/// still in transit, short enough that the 170 VMs replaced on an ordinary day don't accumulate.
const DOWN_RETENTION: Millis = Millis::new(60 * 60 * 1_000);
/// If at least this much time passes between two rounds, this VM assumes that it was paused itself.
/// It then concludes nothing from the silence of others.
const PAUSE_THRESHOLD: Millis = Millis::new(2_500);

/// Why a VM is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// It was suspected and didn't refute in time.
    Silent,
    /// It was suspected, and the platform's list no longer contains it.
    Unlisted,
    /// Another VM reported that it is down.
    Told,
}

/// A VM that came up or went down, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The VM is up.
    Up(id::Vm),
    /// The VM is down.
    Down(id::Vm, Reason),
}

/// What is known of one VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its latest status.
    pub status: Status,
    /// Since when it has been up, suspected or down.
    pub since: Millis,
    /// Whether the platform's list has ever contained it.
    was_listed: bool,
}

/// The table of all VMs, including this one.
#[derive(Clone, Debug)]
pub struct Table {
    me: id::Vm,
    centre: id::Centre,
    /// Sorted by name.
    members: Vec<Member>,
    updates: Queue<id::Vm>,
    changes: Vec<Change>,
    /// The other VMs of the centre in random order, taken from the end. Each gets one heartbeat
    /// before any gets a second.
    next_targets: Vec<id::Vm>,
    rounds: u64,
    last_round: Option<Millis>,
}

/// What the platform's list says about a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// It is live.
    Live,
    /// It is about to leave.
    Leaving,
    /// It isn't in the list.
    Absent,
}

impl Table {
    /// Makes the table of a VM that starts. Its incarnation is the time, so that it is higher than
    /// that of any earlier run. If the clock was set back, other VMs report a higher one and this
    /// VM exceeds that.
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

    /// Returns the VMs, sorted by name.
    #[must_use]
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns this VM's own status.
    #[must_use]
    pub fn own(&self) -> &Status {
        &self.members[self.own_index()].status
    }

    /// Looks up a VM.
    #[must_use]
    pub fn find(&self, vm: &id::Vm) -> Option<&Member> {
        Some(&self.members[self.position(vm).ok()?])
    }

    /// Changes this VM's own status, which others receive with its next heartbeats.
    pub fn set_own(&mut self, change: impl FnOnce(&mut Status)) {
        let index = self.own_index();
        let before = self.members[index].status.stopping;
        change(&mut self.members[index].status);
        if before != self.members[index].status.stopping {
            self.updates.push(self.me.clone());
        }
    }

    /// Returns which VMs came up and went down since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Merges a VM's status, received from that VM or from another one.
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

    /// Suspects a VM that didn't answer.
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

    /// Applies the platform's list, which lags both for new and for removed VMs. An entry that says
    /// a VM is leaving is always believed. A missing entry counts only for a VM that was listed
    /// before and is suspected: a VM that answers is up.
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

    /// Begins a round: marks VMs as down whose suspicion wasn't refuted in time, and picks the VMs
    /// that get a heartbeat.
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

    /// Picks the VMs that get a heartbeat, as in a round, for updates that shouldn't wait.
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

    /// Takes up to `max` statuses to spread with a heartbeat to a VM. If the receiver itself isn't
    /// thought to be up, its status is added to every heartbeat, because only the receiver can
    /// refute it.
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

    /// Adds all statuses to a digest. Two VMs that know the same have the same digest.
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
        // Once the platform's list says that the VM is leaving, that holds as long as this process
        // runs.
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

    /// Refutes a status of this VM itself that says it isn't up, or that has a higher incarnation
    /// because it stems from an earlier run.
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

    /// Adjusts the state after this VM was paused. Suspicions ran out during the pause while nobody
    /// could refute them to this VM, so ending them now would mark healthy VMs as down. Others may
    /// think that this VM is down; a higher incarnation corrects them without waiting for their
    /// report.
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

    /// Returns the other VMs of the own data centre that aren't down.
    #[must_use]
    pub fn same_centre(&self) -> Vec<id::Vm> {
        let others = self.members.iter().map(|m| &m.status);
        others
            .filter(|s| s.centre == self.centre && s.liveness != Liveness::Down && s.vm != self.me)
            .map(|s| s.vm.clone())
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

/// Builds the status of a VM that is known from the settings only. Its incarnation is lower than
/// any real one.
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
