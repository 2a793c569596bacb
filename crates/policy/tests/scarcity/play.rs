//! Programs, callers and engines on a virtual clock, in steps of [`TICK`] milliseconds.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and spans stay far below 2^52"
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use policy::opening;
use policy::opening::Opening;
use policy::opening::Room;
use policy::opening::Verdict;
use policy::standing;
use policy::standing::Standing;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::clock::Millis;

const TICK: u64 = 5;
const ENGINES: usize = 44;
const SLOTS: usize = 12;
/// Requests that an engine lets wait.
const MAX_WAITING: usize = 24;
/// Time of a turn that runs alone.
const ALONE_MS: f64 = 300.0;
/// Part of its speed that a turn loses to each other one at its engine.
const SLOWDOWN: f64 = 0.036;
const PAUSE_MS: u64 = 50;
const DEADLINE_MS: u64 = 3_000;
const RETRY_MS: u64 = 250;
/// Bursts and the pauses between them; programs begin until [`END_MS`].
const BURST_MS: u64 = 4_000;
const CYCLE_MS: u64 = 10_000;
const END_MS: u64 = 40_000;
const PAUSE_LOAD: f64 = 0.5;
const VMS: usize = 24;
/// How often VMs learn of the engines' requests.
const LAG_MS: u64 = 100;
const WORKSPACES: usize = 8;
/// What a late program is worth to its caller beside one in time.
const LATE_WORTH: f64 = 0.3;

/// In which order engines admit turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// By rank.
    Rank,
    /// By rank and standing; late turns yield only within their rank.
    WithinRank,
    /// By `policy::standing`.
    Standing,
    /// By `policy::standing`, and turns of programs under way before first turns.
    UnderWayFirst,
    /// By `policy::standing`, and programs begin by `policy::opening`.
    Opening,
    /// By `policy::standing`, and turns wait at the VMs until an engine has a free slot.
    Held,
}

impl Order {
    pub const ALL: [Self; 6] = [
        Self::Rank,
        Self::WithinRank,
        Self::Standing,
        Self::UnderWayFirst,
        Self::Opening,
        Self::Held,
    ];

    fn priority(self, rank: u8, left: u64, is_first: bool) -> u8 {
        let needed = Millis::new(ALONE_MS as u64);
        let standing = Standing::of(Some(Millis::new(left)), needed);
        match self {
            Self::Rank => standing::of_rank(rank),
            Self::WithinRank if standing == Standing::Late => standing::of_rank(rank) + 1,
            Self::UnderWayFirst if is_first => standing::of_rank(rank) + 1,
            _ => standing.priority(rank),
        }
    }
}

/// What callers got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Share of the programs of each rank that ended in time.
    pub in_time: [f64; 2],
    /// The same, where a program that took at most twice its aim counts as [`LATE_WORTH`].
    pub worth: [f64; 2],
    /// Share in time of the worst workspace.
    pub worst_workspace: f64,
    /// Share of the engines' work that went to programs that failed or took more than twice their aim.
    pub wasted: f64,
}

impl Outcome {
    /// Returns what both ranks got together.
    pub fn total_worth(&self) -> f64 {
        self.worth.iter().sum()
    }
}

struct Program {
    rank: u8,
    workspace: usize,
    turns: u32,
    done: u32,
    began: u64,
    aim: u64,
    /// Refusals of the present sending, and sendings of the present turn.
    refused: u32,
    resent: u32,
    work: f64,
    ended: Option<u64>,
}

struct Turn {
    program: usize,
    priority: u8,
    deadline: u64,
    left: f64,
}

#[derive(Default)]
struct Engine {
    running: Vec<Turn>,
    /// By priority and order of arrival.
    waiting: Vec<Turn>,
}

impl Engine {
    fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }
}

struct Play {
    order: Order,
    now: u64,
    random: ChaCha8Rng,
    programs: Vec<Program>,
    engines: Vec<Engine>,
    due: BinaryHeap<Reverse<(u64, usize)>>,
    /// Turns that wait at the VMs, by priority and order of arrival.
    held: Vec<Turn>,
    vms: Vec<Opening>,
    /// Requests at the engines as VMs know them.
    occupied: u32,
}

/// Plays bursts of `load` times what the engines can do.
pub fn play(load: f64, order: Order, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let programs = programs(load, &mut random);
    let due = programs.iter().enumerate();
    let due = due.map(|(index, program)| Reverse((program.began, index)));
    let mut play = Play {
        order,
        now: 0,
        random,
        due: due.collect(),
        programs,
        held: Vec::new(),
        vms: (0..VMS).map(|_| Opening::default()).collect(),
        occupied: 0,
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
    };
    while play.now < 2 * END_MS {
        play.step();
    }
    outcome(&play.programs)
}

fn programs(load: f64, random: &mut ChaCha8Rng) -> Vec<Program> {
    let slowed = 1.0 + SLOWDOWN * (SLOTS - 1) as f64;
    let turns_a_ms = (ENGINES * SLOTS) as f64 / (ALONE_MS * slowed);
    let mean_turns = 0.45 * 3.0 + 0.45 * 7.0 + 0.1 * 14.0;
    let mut programs = Vec::new();
    for began in 0..END_MS {
        let in_burst = began % CYCLE_MS < BURST_MS;
        let load = if in_burst { load } else { PAUSE_LOAD };
        let expected = load * turns_a_ms / mean_turns;
        let count = expected as u64 + u64::from(random.random_bool(expected.fract()));
        for _ in 0..count {
            let kind: f64 = random.random();
            let (rank, turns) = match kind {
                ..0.45 => (0, 3),
                ..0.9 => (1, 7),
                _ => (1, 14),
            };
            let alone = u64::from(turns) * (ALONE_MS as u64 + PAUSE_MS + 24);
            programs.push(Program {
                rank,
                // Two workspaces send three quarters of the programs of a burst.
                workspace: if in_burst && random.random_bool(0.75) {
                    random.random_range(0..2)
                } else {
                    random.random_range(0..WORKSPACES)
                },
                turns,
                done: 0,
                began,
                aim: alone * 8 / 5 + 200,
                refused: 0,
                resent: 0,
                work: 0.0,
                ended: None,
            });
        }
    }
    programs
}

impl Play {
    fn step(&mut self) {
        self.now += TICK;
        if self.now.is_multiple_of(LAG_MS) {
            let loads = self.engines.iter().map(Engine::load);
            self.occupied = loads.sum::<usize>() as u32;
        }
        while let Some(Reverse((at, program))) = self.due.peek().copied()
            && at <= self.now
        {
            self.due.pop();
            self.send(program);
        }
        while !self.held.is_empty()
            && let Some(engine) = self.engines.iter_mut().find(|engine| engine.load() < SLOTS)
        {
            engine.waiting.push(self.held.remove(0));
        }
        for index in 0..ENGINES {
            self.run(index);
        }
        let now = self.now;
        let late = self.held.extract_if(.., |turn| turn.deadline <= now);
        let late: Vec<usize> = late.map(|turn| turn.program).collect();
        for program in late {
            self.fail(program);
        }
    }

    /// Returns when a program that may not begin may ask again.
    fn opening(&mut self, index: usize, left: u64) -> Option<u64> {
        let program = &self.programs[index];
        let asked = opening::Program {
            workspace: Some(program.workspace as u64),
            rank: program.rank,
            finish_within: Some(Millis::new(left)),
        };
        let room = Room {
            occupied: self.occupied,
            slots: (ENGINES * SLOTS) as u32,
            turn: Millis::new(ALONE_MS as u64),
        };
        let vm = self.random.random_range(0..VMS);
        let draws = [self.random.random(), self.random.random()];
        match self.vms[vm].decide(&asked, room, draws, Millis::new(self.now)) {
            Verdict::Begin => None,
            Verdict::Refuse(span, _) => Some(span.as_u64()),
        }
    }

    fn send(&mut self, index: usize) {
        let program = &self.programs[index];
        let left = (program.began + program.aim).saturating_sub(self.now);
        let first = program.done == 0;
        if first
            && self.order == Order::Opening
            && let Some(after) = self.opening(index, left)
        {
            return self.refuse(index, after);
        }
        let program = &self.programs[index];
        let turn = Turn {
            program: index,
            priority: self.order.priority(program.rank, left, first),
            deadline: self.now + DEADLINE_MS,
            left: ALONE_MS,
        };
        let offset = self.random.random_range(0..ENGINES);
        let engines = (0..ENGINES).map(|engine| (engine + offset) % ENGINES);
        let load = |engine: &usize| self.engines[*engine].load();
        let engine = engines.min_by_key(load).expect("there are engines");
        if self.order == Order::Held {
            let place = self
                .held
                .partition_point(|other| other.priority <= turn.priority);
            self.held.insert(place, turn);
            return;
        }
        let waiting = &mut self.engines[engine].waiting;
        if waiting.len() >= MAX_WAITING {
            return self.refuse(index, RETRY_MS);
        }
        let place = waiting.partition_point(|other| other.priority <= turn.priority);
        waiting.insert(place, turn);
    }

    fn refuse(&mut self, index: usize, after: u64) {
        let program = &mut self.programs[index];
        if program.refused > 0 {
            return self.fail(index);
        }
        program.refused = 1;
        self.due.push(Reverse((self.now + after, index)));
    }

    /// A caller sends a turn that failed again from its start, at most twice.
    fn fail(&mut self, index: usize) {
        let program = &mut self.programs[index];
        program.refused = 0;
        program.resent += 1;
        if program.resent <= 2 {
            let after = self.random.random_range(100..400);
            self.due.push(Reverse((self.now + after, index)));
        }
    }

    fn run(&mut self, index: usize) {
        let now = self.now;
        let engine = &mut self.engines[index];
        let late = engine.waiting.extract_if(.., |turn| turn.deadline <= now);
        let mut failed: Vec<usize> = late.map(|turn| turn.program).collect();
        while engine.running.len() < SLOTS && !engine.waiting.is_empty() {
            engine.running.push(engine.waiting.remove(0));
        }
        let others = engine.running.len().saturating_sub(1) as f64;
        let done = TICK as f64 / (1.0 + SLOWDOWN * others);
        for turn in &mut engine.running {
            turn.left -= done;
            self.programs[turn.program].work += done;
        }
        let ended = engine.running.extract_if(.., |turn| turn.left <= 0.0);
        let ended: Vec<usize> = ended.map(|turn| turn.program).collect();
        let late = engine.running.extract_if(.., |turn| turn.deadline <= now);
        failed.extend(late.map(|turn| turn.program));
        for program in ended {
            self.end(program);
        }
        for program in failed {
            self.fail(program);
        }
    }

    fn end(&mut self, index: usize) {
        let program = &mut self.programs[index];
        program.done += 1;
        program.refused = 0;
        program.resent = 0;
        if program.done == program.turns {
            program.ended = Some(self.now);
        } else {
            self.due.push(Reverse((self.now + PAUSE_MS, index)));
        }
    }
}

fn outcome(programs: &[Program]) -> Outcome {
    let within = |program: &Program, aims: u64| {
        let ended = program.ended;
        ended.is_some_and(|ended| ended - program.began <= aims * program.aim)
    };
    let share = |of: &dyn Fn(&Program) -> bool, aims: u64| {
        let all: Vec<&Program> = programs.iter().filter(|program| of(program)).collect();
        let good = all.iter().filter(|program| within(program, aims)).count();
        good as f64 / all.len().max(1) as f64
    };
    let ranks = |aims| [0, 1].map(|rank| share(&|program: &Program| program.rank == rank, aims));
    let workspaces = (0..WORKSPACES).map(|id| share(&|program| program.workspace == id, 1));
    let work = |of: &dyn Fn(&Program) -> bool| {
        let works = programs.iter().filter(|program| of(program));
        works.map(|program| program.work).sum::<f64>()
    };
    let (in_time, useful) = (ranks(1), ranks(2));
    Outcome {
        in_time,
        worth: [0, 1].map(|rank| {
            let late = useful[rank] - in_time[rank];
            in_time[rank] + LATE_WORTH * late
        }),
        worst_workspace: workspaces.fold(1.0, f64::min),
        wasted: work(&|program| !within(program, 2)) / work(&|_| true),
    }
}
