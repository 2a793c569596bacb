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

pub mod beat;
pub mod exchange;
pub mod listings;
pub mod loads;
pub mod owners;
pub mod spread;

use beat::Life;
use beat::Line;
use spread::Spread;

/// The time between two rounds of heartbeats.
pub const ROUND: Millis = Millis::new(1_000);
/// VMs of the own data centre that get a heartbeat each round. With 2 a VM hears 4 frames from its
/// centre each round, and is missed by no one for a whole round in `e^-2`, one in seven.
pub const FANOUT: usize = 2;
/// Each so many rounds one VM of another data centre gets a heartbeat too.
const ACROSS: u64 = 2;
/// Each so many rounds one VM that is down gets a heartbeat too: after a cut both sides think the
/// other down, and no one else would ever speak across again.
const REVIVE: u64 = 3;
/// How long a suspected VM has to refute: two rounds for the news to reach it and one for its
/// answer to get about.
pub const SUSPICION: Millis = Millis::new(3_000);
/// How long a VM that is down is remembered: long enough that no heartbeat of before its death is
/// still about, short enough that the 170 VMs replaced on an ordinary day don't pile up.
const FORGET: Millis = Millis::new(60 * 60 * 1_000);
/// A gap between two rounds from which on this VM was paused itself: what it thinks of others'
/// silence is then worth nothing.
const PAUSE: Millis = Millis::new(2_500);

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
    pub line: Line,
    /// Since when it has been in its present state.
    pub since: Millis,
    /// Whether the platform's list had it.
    listed: bool,
}

/// The VMs, this one among them.
#[derive(Clone, Debug)]
pub struct Table {
    me: id::Vm,
    centre: id::Centre,
    /// Sorted by name.
    members: Vec<Member>,
    news: Spread<id::Vm>,
    changes: Vec<Change>,
    /// The centre's VMs in a drawn order, taken from the end; each is met once before any twice.
    turn: Vec<id::Vm>,
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
    pub fn new(mut line: Line, now: Millis) -> Self {
        line.life = Life::Up;
        line.incarnation = now.as_u64();
        let mut table = Self {
            me: line.vm.clone(),
            centre: line.centre.clone(),
            members: Vec::new(),
            news: Spread::default(),
            changes: Vec::new(),
            turn: Vec::new(),
            rounds: 0,
            last_round: None,
        };
        table.merge(&line, now);
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
    pub fn own(&self) -> &Line {
        &self.members[self.own_at()].line
    }

    /// Looks a VM up.
    #[must_use]
    pub fn find(&self, vm: &id::Vm) -> Option<&Member> {
        Some(&self.members[self.at(vm).ok()?])
    }

    /// Changes what this VM tells of itself, which others hear with its next heartbeats.
    pub fn set_own(&mut self, change: impl FnOnce(&mut Line)) {
        let at = self.own_at();
        let before = self.members[at].line.stopping;
        change(&mut self.members[at].line);
        if before != self.members[at].line.stopping {
            self.news.push(self.me.clone());
        }
    }

    /// Yields who came up and went down since the last call.
    pub fn drain(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Takes what is told of a VM, by itself or by another.
    pub fn merge(&mut self, told: &Line, now: Millis) {
        if told.vm == self.me && self.at(&self.me).is_ok() {
            self.refute(told);
            return;
        }
        match self.at(&told.vm) {
            Err(at) => self.add(at, told, now),
            Ok(at) => self.update(at, told, now),
        }
    }

    /// Notes that a VM didn't answer.
    pub fn missed(&mut self, vm: &id::Vm, now: Millis) {
        if *vm == self.me {
            return;
        }
        let Ok(at) = self.at(vm) else { return };
        let member = &mut self.members[at];
        if member.line.life == Life::Up {
            member.line.life = Life::Suspect;
            member.since = now;
            self.news.push(vm.clone());
        }
    }

    /// Takes the platform's list, which lags both ways. That a VM leaves is taken at its word. That
    /// it is gone counts only for one that was listed and is suspected: one that speaks is up.
    pub fn listed(&mut self, standing: impl Fn(&id::Vm) -> Listed, now: Millis) {
        for at in 0..self.members.len() {
            let vm = self.members[at].line.vm.clone();
            match standing(&vm) {
                Listed::Live => self.members[at].listed = true,
                Listed::Leaving => {
                    self.members[at].listed = true;
                    if !self.members[at].line.stopping {
                        self.members[at].line.stopping = true;
                        self.news.push(vm);
                    }
                }
                Listed::Absent => {
                    let suspect = self.members[at].line.life == Life::Suspect;
                    if self.members[at].listed && suspect {
                        self.down(at, Reason::Unlisted, now);
                    }
                }
            }
        }
    }

    /// Begins a round: ends suspicions that weren't refuted, and draws whom to send a heartbeat.
    pub fn round<R: Rng>(&mut self, now: Millis, random: &mut R) -> Vec<id::Vm> {
        let gap = self.last_round.map_or(Millis::ZERO, |last| now.since(last));
        self.last_round = Some(now);
        self.rounds += 1;
        if gap >= PAUSE {
            self.woke(gap);
        }
        self.expire(now);
        self.targets(random)
    }

    /// Draws whom to send a heartbeat, as in a round, for news that shouldn't wait.
    pub fn targets<R: Rng>(&mut self, random: &mut R) -> Vec<id::Vm> {
        let mut targets = Vec::with_capacity(FANOUT + 2);
        for _ in 0..FANOUT {
            if let Some(vm) = self.next_near(random).filter(|vm| !targets.contains(vm)) {
                targets.push(vm);
            }
        }
        if self.rounds.is_multiple_of(ACROSS) {
            let far = |m: &Member| m.line.centre != self.centre && m.line.life != Life::Down;
            targets.extend(self.draw(far, random));
        }
        if self.rounds.is_multiple_of(REVIVE) {
            targets.extend(self.draw(|m| m.line.life == Life::Down, random));
        }
        targets
    }

    /// Picks up to `most` lines for a heartbeat to a VM that are news. What is thought of that VM
    /// itself, where it isn't thought up, goes with each: only it can tell better.
    pub fn news(&mut self, to: &id::Vm, most: usize) -> Vec<Line> {
        let sends = spread::sends(self.members.len());
        let names = self.news.take(most, sends);
        let told = names.iter().filter(|vm| *vm != to);
        let mut lines: Vec<Line> = told
            .filter_map(|vm| Some(self.find(vm)?.line.clone()))
            .collect();
        let doubted = self.find(to).filter(|m| m.line.life != Life::Up);
        lines.extend(doubted.map(|m| m.line.clone()));
        lines
    }

    /// Adds all lines to a digest, so that two VMs that know the same have the same digest.
    pub fn digest(&self, hash: &mut Xxh3) {
        for Member { line, .. } in &self.members {
            hash.update(line.vm.as_str().as_bytes());
            hash.update(&line.incarnation.to_le_bytes());
            hash.update(&[line.life.into(), u8::from(line.stopping)]);
        }
    }

    fn own_at(&self) -> usize {
        self.at(&self.me).unwrap_or_default()
    }

    fn at(&self, vm: &id::Vm) -> std::result::Result<usize, usize> {
        self.members.binary_search_by(|m| m.line.vm.cmp(vm))
    }

    fn add(&mut self, at: usize, told: &Line, now: Millis) {
        let member = Member {
            line: told.clone(),
            since: now,
            listed: false,
        };
        self.members.insert(at, member);
        self.news.push(told.vm.clone());
        if told.life != Life::Down {
            self.changes.push(Change::Up(told.vm.clone()));
        }
    }

    fn update(&mut self, at: usize, told: &Line, now: Millis) {
        let member = &mut self.members[at];
        if told.rank() < member.line.rank() {
            return;
        }
        if told.rank() == member.line.rank() {
            let revision = member.line.revision.max(told.revision);
            member.line.revision = revision;
            if told.stopping && !member.line.stopping {
                member.line.stopping = true;
                self.news.push(told.vm.clone());
            }
            return;
        }
        let was = member.line.life;
        // The list's word that the VM leaves holds for as long as it runs.
        let leaves = member.line.stopping && member.line.incarnation == told.incarnation;
        member.line = told.clone();
        member.line.stopping |= leaves;
        if was != told.life {
            member.since = now;
        }
        self.news.push(told.vm.clone());
        match (was, told.life) {
            (Life::Down, Life::Up | Life::Suspect) => {
                self.changes.push(Change::Up(told.vm.clone()));
            }
            (Life::Up | Life::Suspect, Life::Down) => {
                let change = Change::Down(told.vm.clone(), Reason::Told);
                self.changes.push(change);
            }
            _ => {}
        }
    }

    /// Answers a line about this VM itself that says it isn't up, or that an earlier run got to a
    /// higher incarnation.
    fn refute(&mut self, told: &Line) {
        let at = self.own_at();
        let own = &mut self.members[at].line;
        if told.stopping && told.incarnation == own.incarnation {
            own.stopping = true;
        }
        let doubted = told.incarnation == own.incarnation && told.life != Life::Up;
        if doubted || told.incarnation > own.incarnation {
            own.incarnation = told.incarnation + 1;
            self.news.push(self.me.clone());
        }
    }

    /// Starts anew after this VM was paused: the suspicions that it held ran out while no one could
    /// refute to it, and ending them now would have it think VMs down that are up. Others may think
    /// this VM down; a higher incarnation tells them better without waiting to be told.
    fn woke(&mut self, gap: Millis) {
        for member in &mut self.members {
            if member.line.life == Life::Suspect {
                member.since = member.since.plus(gap);
            }
        }
        let at = self.own_at();
        self.members[at].line.incarnation += 1;
        self.news.push(self.me.clone());
    }

    fn expire(&mut self, now: Millis) {
        for at in 0..self.members.len() {
            let member = &self.members[at];
            if member.line.life == Life::Suspect && now.since(member.since) >= SUSPICION {
                self.down(at, Reason::Silent, now);
            }
        }
        self.members
            .retain(|m| m.line.life != Life::Down || now.since(m.since) < FORGET);
    }

    fn down(&mut self, at: usize, reason: Reason, now: Millis) {
        let member = &mut self.members[at];
        member.line.life = Life::Down;
        member.since = now;
        let vm = member.line.vm.clone();
        self.news.push(vm.clone());
        self.changes.push(Change::Down(vm, reason));
    }

    fn next_near<R: Rng>(&mut self, random: &mut R) -> Option<id::Vm> {
        for _ in 0..2 {
            while let Some(vm) = self.turn.pop() {
                if self.find(&vm).is_some_and(|m| m.line.life != Life::Down) {
                    return Some(vm);
                }
            }
            self.turn = self.near();
            shuffle(&mut self.turn, random);
        }
        None
    }

    /// Yields the other VMs of the own data centre that aren't down.
    #[must_use]
    pub fn near(&self) -> Vec<id::Vm> {
        let near = self.members.iter().map(|m| &m.line);
        near.filter(|l| l.centre == self.centre && l.life != Life::Down && l.vm != self.me)
            .map(|l| l.vm.clone())
            .collect()
    }

    fn draw<R: Rng>(&self, wanted: impl Fn(&Member) -> bool, random: &mut R) -> Option<id::Vm> {
        let matching: Vec<&Member> = self.members.iter().filter(|m| wanted(m)).collect();
        if matching.is_empty() {
            return None;
        }
        let at = random.random_range(0..matching.len());
        Some(matching[at].line.vm.clone())
    }
}

/// Builds the line of a VM that is known from settings only. Its incarnation is below any real one.
#[must_use]
pub fn seed(vm: &id::Vm, centre: &id::Centre, address: SocketAddr) -> Line {
    Line {
        vm: vm.clone(),
        centre: centre.clone(),
        address,
        size: 1,
        process: 0,
        incarnation: 0,
        life: Life::Up,
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
