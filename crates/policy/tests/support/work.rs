//! The load patterns: which caller sends what, and when. Programs are generated before a run, so
//! that every set of rules gets the same ones.

use policy::class::Class;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::deployment::Deployment;

/// A load pattern.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// Arrivals at a share of the saturating load.
    Steady(f64),
    /// 0.6 of the load, and five times as much for ten seconds in each minute.
    Burst,
    /// Two callers of forty send most of 1.3 times the load.
    FewCallers,
    /// Five programs in a hundred make ten times as many calls, without pauses.
    HotPrograms,
    /// 0.7 of the load; the fastest endpoint becomes ten times slower after a third of the time.
    SlowEndpoint,
    /// 0.7 of the load; the fastest endpoint fails every call in the middle third of the time.
    FailingEndpoint,
    /// 0.9 of the load; a twentieth of the programs are ten times as long.
    LongAmongShort,
    /// Only the urgent programs of twice the load.
    UrgentAlone,
    /// Four times the load in programs; most of it is one caller's urgent calls, in short programs.
    UrgentFlood,
}

impl Pattern {
    /// Returns its name in the table.
    pub fn name(self) -> String {
        match self {
            Self::Steady(load) => format!("steady {load:.2}"),
            Self::Burst => "burst".into(),
            Self::FewCallers => "few callers".into(),
            Self::HotPrograms => "hot programs".into(),
            Self::SlowEndpoint => "slow endpoint".into(),
            Self::FailingEndpoint => "failing endpoint".into(),
            Self::LongAmongShort => "long among short".into(),
            Self::UrgentAlone => "urgent alone".into(),
            Self::UrgentFlood => "urgent flood".into(),
        }
    }

    /// Returns the load at a time, as a share of the saturating load.
    fn load(self, at: u64) -> f64 {
        match self {
            Self::Steady(load) => load,
            Self::Burst if at % 60_000 < 10_000 => 3.0,
            Self::Burst => 0.6,
            Self::FewCallers => 1.3,
            Self::HotPrograms => 0.8,
            Self::SlowEndpoint | Self::FailingEndpoint => 0.7,
            Self::LongAmongShort => 0.9,
            Self::UrgentAlone => 2.0,
            Self::UrgentFlood => 4.0,
        }
    }
}

/// Number of callers.
pub const CALLERS: usize = 40;
/// The caller that floods in [`Pattern::UrgentFlood`].
pub const FLOODING_CALLER: usize = 0;
/// Share of programs that are urgent.
const URGENT_SHARE: f64 = 0.03;
/// Mean number of turns of an urgent program.
const MEAN_URGENT_TURNS: f64 = 2.0;
/// Most turns of a program, as in the largest program of the modelled workload.
const MAX_TURNS: usize = 77;

/// A turn of a program.
#[derive(Clone, Copy, Debug)]
pub struct Turn {
    /// Prompt tokens that it adds.
    pub added_prompt: u64,
    /// Tokens that it generates.
    pub output: u64,
    /// Pause for a tool call after it, in milliseconds.
    pub pause: u64,
}

/// A program.
#[derive(Clone, Debug)]
pub struct Program {
    /// Its caller.
    pub caller: usize,
    /// Its class.
    pub class: Class,
    /// When it begins.
    pub arrival: u64,
    /// Its turns.
    pub turns: Vec<Turn>,
}

impl Program {
    /// Returns the tokens that it generates in total.
    pub fn output(&self) -> u64 {
        self.turns.iter().map(|turn| turn.output).sum()
    }
}

/// Generates the programs of a pattern; `rate` is the saturating load in programs per second.
pub fn programs(
    deployment: &Deployment,
    pattern: Pattern,
    rate: f64,
    span: u64,
    seed: u64,
) -> Vec<Program> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut programs = Vec::new();
    let mut at = 0.0;
    loop {
        let load = pattern.load(at as u64);
        at += exponential(&mut rng, 1000.0 / (rate * load));
        if at >= span as f64 {
            return programs;
        }
        let program = program(deployment, pattern, at as u64, &mut rng);
        if pattern != Pattern::UrgentAlone || program.class == Class::Urgent {
            programs.push(program);
        }
    }
}

fn program(
    deployment: &Deployment,
    pattern: Pattern,
    arrival: u64,
    rng: &mut ChaCha8Rng,
) -> Program {
    let caller = caller(pattern, rng);
    let flood = pattern == Pattern::UrgentFlood && caller == FLOODING_CALLER;
    let urgent = rng.random::<f64>() < URGENT_SHARE || flood;
    let draw: f64 = rng.random();
    let special = match pattern {
        Pattern::HotPrograms | Pattern::LongAmongShort => draw < 0.05 && !urgent,
        _ => false,
    };
    let mean = match (urgent, special) {
        (true, _) => MEAN_URGENT_TURNS,
        (_, true) => deployment.turns * 10.0,
        _ => deployment.turns,
    };
    let pause = match (pattern, special) {
        (Pattern::HotPrograms, true) => 50.0,
        _ => deployment.pause,
    };
    let count = (exponential(rng, mean).ceil() as usize).clamp(1, MAX_TURNS);
    let turns = (0..count).map(|n| Turn {
        added_prompt: around_mean(
            rng,
            if n == 0 {
                deployment.first_prompt
            } else {
                deployment.added_prompt
            },
        ),
        output: around_mean(rng, deployment.output),
        pause: exponential(rng, pause) as u64,
    });
    Program {
        caller,
        class: if urgent {
            Class::Urgent
        } else {
            Class::Routine
        },
        arrival,
        turns: turns.collect(),
    }
}

fn caller(pattern: Pattern, rng: &mut ChaCha8Rng) -> usize {
    let heavy_callers = match pattern {
        Pattern::FewCallers => 2,
        Pattern::UrgentFlood => 1,
        _ => 0,
    };
    if heavy_callers > 0 && rng.random::<f64>() < 0.7 {
        return rng.random_range(0..heavy_callers);
    }
    rng.random_range(heavy_callers..CALLERS)
}

/// Returns a sample of the exponential distribution.
fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Returns a positive random number with the given mean: half of the mean plus an exponential half.
fn around_mean(rng: &mut ChaCha8Rng, mean: f64) -> u64 {
    (mean / 2.0 + exponential(rng, mean / 2.0)).ceil() as u64
}
