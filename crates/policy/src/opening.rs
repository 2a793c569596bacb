//! Admits whole programs to a service that can't carry all of them to their end.
//!
//! The load is callers who begin programs faster than the engines end them, for seconds at a time. A
//! program is of use only as a whole. If all begin, each gets a part of the engines, and most end
//! late or not at all after they have been worked on. So while the engines are occupied, programs
//! are refused at their first turn, before anything is spent on them, and those that have begun are
//! carried to their end.
//!
//! A program occupies about one slot until it ends, so the requests at the engines tell how many
//! programs are under way, and are counted as this VM knows them. VMs learn of each other's
//! requests late and see the same figures. So the share of the programs that begin falls
//! gradually between two bounds, as otherwise all VMs would let programs in and refuse them at the same
//! moments. While slots are free, no program is refused.
//!
//! The more urgent a program's rank, the higher the bounds. A workspace that began more than its
//! fair share of the programs that this VM has let begin lately has lower ones, so it is refused first.

use wire::clock::Millis;

use crate::decay;

/// The occupied part of the slots from which programs of the most urgent rank are refused.
const FULL: f64 = 1.625;
/// How much earlier those of the next rank are.
const RANK_STEP: f64 = 0.25;
/// The last rank that has bounds of its own.
const LAST_RANK: u8 = 2;
/// How much later than the first programs the last ones are refused, as a part of the slots.
const SPREAD: f64 = 0.25;
/// How much earlier programs of a workspace are refused for each fair share that it is over its own.
const EXCESS_STEP: f64 = 0.125;
/// The most by which a workspace's excess lowers the bounds.
const MAX_EXCESS: f64 = 0.25;
/// The lowest bound: while slots are free, no program is refused.
const MIN_BOUND: f64 = 1.0;
/// Half-life of a workspace's recent programs: about a burst.
const HALF_LIFE: Millis = Millis::new(4_000);
/// The fewest programs from which fair shares are told.
const MIN_PROGRAMS: f64 = 4.0;
/// The most workspaces whose programs are counted.
const MAX_WORKSPACES: usize = 256;
/// A count below this is forgotten.
const MIN_COUNT: f64 = 0.05;
/// The part of its time that a refused program may wait until it is sent again, so that it can still
/// end in time.
const MAX_WAIT_SHARE: f64 = 0.15;
/// The shortest wait: the time in which VMs learn of each other's requests.
const MIN_WAIT: Millis = Millis::new(100);
/// The longest wait of a program that states no time.
const DEFAULT_MAX_WAIT: Millis = Millis::new(1_000);

/// How many requests a service's usable engines have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Room {
    /// Requests at the engines, those that wait there included.
    pub occupied: u32,
    /// Requests that the engines work on at once.
    pub slots: u32,
    /// How long a request of the service takes.
    pub turn: Millis,
}

/// A program that asks to begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Program {
    /// Its workspace's id; `None` without workspaces.
    pub workspace: Option<u64>,
    /// The rank of its kind, 0 being the most urgent.
    pub rank: u8,
    /// The time within which it should end.
    pub finish_within: Option<Millis>,
}

/// Whether a program begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It begins.
    Begin,
    /// It doesn't; holds when it may ask again, and the occupied part of the slots that was its bound.
    Refuse(Millis, f64),
}

/// The programs that this VM has let begin lately, by workspace.
#[derive(Debug, Default)]
pub struct Opening {
    /// Sorted by workspace.
    recent: Vec<Recent>,
}

#[derive(Clone, Copy, Debug)]
struct Recent {
    workspace: u64,
    programs: f64,
    updated: Millis,
}

impl Recent {
    fn at(&self, now: Millis) -> f64 {
        self.programs * decay::remaining_weight(now.since(self.updated), HALF_LIFE)
    }
}

impl Opening {
    /// Decides whether a program begins. `draws` are two random numbers from 0 to 1.
    pub fn decide(
        &mut self,
        program: &Program,
        room: Room,
        draws: [f64; 2],
        now: Millis,
    ) -> Verdict {
        let excess = self.excess(program.workspace, now);
        let bound = bound(program.rank, excess);
        let occupied = f64::from(room.occupied) / f64::from(room.slots.max(1));
        let refused = ((occupied - bound) / SPREAD).clamp(0.0, 1.0);
        if room.slots > 0 && draws[0] < refused {
            let over = occupied - bound;
            return Verdict::Refuse(wait(program, room, over, draws[1]), bound);
        }
        self.note(program, now);
        Verdict::Begin
    }

    /// Counts a program that begins.
    pub fn note(&mut self, program: &Program, now: Millis) {
        if let Some(workspace) = program.workspace {
            self.add(workspace, now);
        }
    }

    /// Returns by how many fair shares a workspace's recent programs are over its own.
    fn excess(&self, workspace: Option<u64>, now: Millis) -> f64 {
        let Some(workspace) = workspace else {
            return 0.0;
        };
        let Ok(index) = self.find(workspace) else {
            return 0.0;
        };
        let all: f64 = self.recent.iter().map(|recent| recent.at(now)).sum();
        if all < MIN_PROGRAMS {
            return 0.0;
        }
        let fair = all / f64::from(u32::try_from(self.recent.len()).unwrap_or(u32::MAX));
        (self.recent[index].at(now) / fair - 1.0).max(0.0)
    }

    fn add(&mut self, workspace: u64, now: Millis) {
        match self.find(workspace) {
            Ok(index) => {
                let recent = &mut self.recent[index];
                recent.programs = recent.at(now) + 1.0;
                recent.updated = now;
            }
            Err(index) if self.recent.len() < MAX_WORKSPACES => {
                let recent = Recent {
                    workspace,
                    programs: 1.0,
                    updated: now,
                };
                self.recent.insert(index, recent);
            }
            Err(_) => self.recent.retain(|recent| recent.at(now) >= MIN_COUNT),
        }
    }

    fn find(&self, workspace: u64) -> Result<usize, usize> {
        self.recent
            .binary_search_by_key(&workspace, |recent| recent.workspace)
    }
}

/// Returns the occupied part of the slots up to which a program begins.
fn bound(rank: u8, excess: f64) -> f64 {
    let rank = f64::from(rank.min(LAST_RANK));
    let bound = FULL - RANK_STEP * rank - (EXCESS_STEP * excess).min(MAX_EXCESS);
    bound.max(MIN_BOUND)
}

/// Returns when a refused program may ask again: by chance around the time in which the engines end
/// what is over its bound.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "spans are far below 2^52"
)]
fn wait(program: &Program, room: Room, over: f64, draw: f64) -> Millis {
    let expected = room.turn.as_u64() as f64 * over * (0.5 + draw);
    let max = program.finish_within.map_or(DEFAULT_MAX_WAIT, |within| {
        Millis::new((within.as_u64() as f64 * MAX_WAIT_SHARE) as u64)
    });
    let max = max.as_u64() as f64 * (0.5 + draw / 2.0);
    Millis::new(expected.min(max) as u64).max(MIN_WAIT)
}

#[cfg(test)]
mod tests;
