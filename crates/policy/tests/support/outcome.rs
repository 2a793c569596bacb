//! What callers got.

use hdrhistogram::Histogram;
use policy::class::Class;

use super::work::CALLERS;
use super::work::FLOODER;
use super::work::Program;

/// The longest program latency that is told apart, in milliseconds.
const LONGEST: u64 = 100_000_000;

/// What became of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It isn't over.
    Open,
    /// It finished whole.
    Whole,
    /// Its caller gave up on it, after refusals or for want of an answer.
    Lost,
}

/// One program's record.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// What became of it.
    pub fate: Fate,
    /// When it was over.
    pub ended: u64,
    /// Time between its requests and their answers, summed over its turns.
    pub latency: u64,
    /// Tokens of history that were prefilled again.
    pub again: u64,
    /// Whether any of its calls was refused.
    pub refusals: u32,
    /// Tokens generated for it, in calls that ended.
    pub made: u64,
}

impl Record {
    /// Builds the record of a program that hasn't begun.
    pub const fn new() -> Self {
        Self {
            fate: Fate::Open,
            ended: 0,
            latency: 0,
            again: 0,
            refusals: 0,
            made: 0,
        }
    }
}

/// Percentiles of program latency in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latency {
    /// How many programs it is made of.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// 95 in 100 are below.
    pub p95: u64,
    /// 99 in 100 are below.
    pub p99: u64,
}

/// A line of the table.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Urgent programs that finished.
    pub urgent: Latency,
    /// Urgent programs that finished, without those of [`FLOODER`].
    pub others: Latency,
    /// Routine programs that finished.
    pub routine: Latency,
    /// The share of urgent programs that didn't finish.
    pub urgent_lost: f64,
    /// The share of urgent programs that didn't finish, without those of [`FLOODER`].
    pub others_lost: f64,
    /// The share of routine programs that didn't finish.
    pub routine_lost: f64,
    /// Thousands of history tokens prefilled again for each hundred programs begun.
    pub again: f64,
    /// The least that a caller got of what max-min fairness gives it.
    pub worst: f64,
    /// Tokens a second of programs that finished whole.
    pub goodput: f64,
    /// Tokens a second that were generated, whether of use or not.
    pub generated: f64,
}

/// Sums the records of programs that began within a window up.
pub fn sum(programs: &[Program], records: &[Record], from: u64, until: u64) -> Outcome {
    let all = || programs.iter().zip(records);
    let within = || all().filter(|(p, _)| p.arrival >= from && p.arrival < until);
    let again: u64 = within().map(|(_, r)| r.again).sum();
    let seconds = (until - from) as f64 / 1000.0;
    let ended = |r: &Record| r.ended >= from && r.ended < until;
    let whole = all().filter(|(_, r)| r.fate == Fate::Whole && ended(r));
    let goodput: u64 = whole.map(|(p, _)| p.output()).sum();
    let generated: u64 = all().filter(|(_, r)| ended(r)).map(|(_, r)| r.made).sum();
    Outcome {
        urgent: latency(within(), Class::Urgent),
        others: latency(within().filter(|(p, _)| p.caller != FLOODER), Class::Urgent),
        routine: latency(within(), Class::Routine),
        urgent_lost: lost(within(), Class::Urgent),
        others_lost: lost(within().filter(|(p, _)| p.caller != FLOODER), Class::Urgent),
        routine_lost: lost(within(), Class::Routine),
        again: again as f64 / 10.0 / (within().count() as f64).max(1.0),
        worst: worst(within()),
        goodput: goodput as f64 / seconds,
        generated: generated as f64 / seconds,
    }
}

fn latency<'a>(of: impl Iterator<Item = (&'a Program, &'a Record)>, class: Class) -> Latency {
    let mut histogram = Histogram::<u64>::new_with_max(LONGEST, 3).expect("the bounds are allowed");
    for (program, record) in of {
        if program.class == class && record.fate == Fate::Whole {
            histogram.saturating_record(record.latency);
        }
    }
    Latency {
        count: histogram.len(),
        p50: histogram.value_at_quantile(0.5),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
    }
}

fn lost<'a>(of: impl Iterator<Item = (&'a Program, &'a Record)>, class: Class) -> f64 {
    let mut count = 0.0;
    let mut lost = 0.0;
    for (_, record) in of.filter(|(program, _)| program.class == class) {
        count += 1.0;
        if record.fate != Fate::Whole {
            lost += 1.0;
        }
    }
    lost / f64::max(count, 1.0)
}

/// Yields the least ratio of what a caller got to its max-min fair part of all that was got.
fn worst<'a>(of: impl Iterator<Item = (&'a Program, &'a Record)>) -> f64 {
    let mut asked = [0.0; CALLERS];
    let mut got = [0.0; CALLERS];
    for (program, record) in of {
        asked[program.caller] += program.output() as f64;
        if record.fate == Fate::Whole {
            got[program.caller] += program.output() as f64;
        }
    }
    let level = water_level(&asked, got.iter().sum());
    let ratios = asked.iter().zip(&got).filter(|(asked, _)| **asked > 0.0);
    let ratios = ratios.map(|(asked, got)| got / asked.min(level));
    ratios.fold(1.0, f64::min)
}

/// Yields the part of each caller that asks for more, where `total` is shared out max-min fairly.
fn water_level(asked: &[f64], total: f64) -> f64 {
    let mut sorted = asked.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = total;
    for (index, ask) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - index) as f64;
        if *ask >= level {
            return level.max(1.0);
        }
        left -= ask;
    }
    f64::INFINITY
}
