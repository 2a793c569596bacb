//! Results of a run for the callers.

use hdrhistogram::Histogram;
use policy::class::Class;

use super::work::CALLERS;
use super::work::FLOODING_CALLER;
use super::work::Program;

/// Longest program latency that the histogram distinguishes, in milliseconds.
const LONGEST: u64 = 100_000_000;

/// The state of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// It is in progress.
    Open,
    /// All its turns were answered.
    Finished,
    /// Its caller gave up on it, after refusals or for lack of an answer.
    Lost,
}

/// The record of one program.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    /// Its state.
    pub status: Status,
    /// When it ended.
    pub ended: u64,
    /// Time between its requests and their answers, summed over its turns.
    pub latency: u64,
    /// Tokens of history that were prefilled repeatedly.
    pub recomputed: u64,
    /// Number of its calls that were refused.
    pub refusals: u32,
    /// Tokens generated for it, in calls that ended.
    pub generated: u64,
}

impl Record {
    /// Creates the record of a program that hasn't begun.
    pub const fn new() -> Self {
        Self {
            status: Status::Open,
            ended: 0,
            latency: 0,
            recomputed: 0,
            refusals: 0,
            generated: 0,
        }
    }
}

/// Percentiles of program latency, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Latency {
    /// Number of programs.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 95th percentile.
    pub p95: u64,
    /// The 99th percentile.
    pub p99: u64,
}

/// A line of the table.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Latency of finished urgent programs.
    pub urgent: Latency,
    /// Latency of finished urgent programs, without those of [`FLOODING_CALLER`].
    pub other_urgent: Latency,
    /// Latency of finished routine programs.
    pub routine: Latency,
    /// Share of urgent programs that didn't finish.
    pub urgent_lost: f64,
    /// Share of urgent programs that didn't finish, without those of [`FLOODING_CALLER`].
    pub other_urgent_lost: f64,
    /// Share of routine programs that didn't finish.
    pub routine_lost: f64,
    /// Thousands of history tokens prefilled repeatedly, per hundred programs begun.
    pub recomputed: f64,
    /// Smallest ratio of a caller's share to its max-min fair share.
    pub min_fairness: f64,
    /// Tokens per second of finished programs.
    pub goodput: f64,
    /// Tokens generated per second, useful or not.
    pub generated: f64,
}

/// Summarizes the records of the programs that began within a window.
pub fn summarize(programs: &[Program], records: &[Record], from: u64, until: u64) -> Outcome {
    let all = || programs.iter().zip(records);
    let within = || all().filter(|(p, _)| p.arrival >= from && p.arrival < until);
    let recomputed: u64 = within().map(|(_, r)| r.recomputed).sum();
    let seconds = (until - from) as f64 / 1000.0;
    let ended = |r: &Record| r.ended >= from && r.ended < until;
    let finished = all().filter(|(_, r)| r.status == Status::Finished && ended(r));
    let goodput: u64 = finished.map(|(p, _)| p.output()).sum();
    let generated: u64 = all()
        .filter(|(_, r)| ended(r))
        .map(|(_, r)| r.generated)
        .sum();
    Outcome {
        urgent: latency(within(), Class::Urgent),
        other_urgent: latency(
            within().filter(|(p, _)| p.caller != FLOODING_CALLER),
            Class::Urgent,
        ),
        routine: latency(within(), Class::Routine),
        urgent_lost: lost(within(), Class::Urgent),
        other_urgent_lost: lost(
            within().filter(|(p, _)| p.caller != FLOODING_CALLER),
            Class::Urgent,
        ),
        routine_lost: lost(within(), Class::Routine),
        recomputed: recomputed as f64 / 10.0 / (within().count() as f64).max(1.0),
        min_fairness: min_fairness(within()),
        goodput: goodput as f64 / seconds,
        generated: generated as f64 / seconds,
    }
}

fn latency<'a>(records: impl Iterator<Item = (&'a Program, &'a Record)>, class: Class) -> Latency {
    let mut histogram = Histogram::<u64>::new_with_max(LONGEST, 3).expect("the bounds are allowed");
    for (program, record) in records {
        if program.class == class && record.status == Status::Finished {
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

fn lost<'a>(records: impl Iterator<Item = (&'a Program, &'a Record)>, class: Class) -> f64 {
    let mut count = 0.0;
    let mut lost = 0.0;
    for (_, record) in records.filter(|(program, _)| program.class == class) {
        count += 1.0;
        if record.status != Status::Finished {
            lost += 1.0;
        }
    }
    lost / f64::max(count, 1.0)
}

/// Returns the smallest ratio of what a caller received to its max-min fair share of the total.
fn min_fairness<'a>(records: impl Iterator<Item = (&'a Program, &'a Record)>) -> f64 {
    let mut requested = [0.0; CALLERS];
    let mut received = [0.0; CALLERS];
    for (program, record) in records {
        requested[program.caller] += program.output() as f64;
        if record.status == Status::Finished {
            received[program.caller] += program.output() as f64;
        }
    }
    let level = water_level(&requested, received.iter().sum());
    let ratios = requested
        .iter()
        .zip(&received)
        .filter(|(requested, _)| **requested > 0.0);
    let ratios = ratios.map(|(requested, received)| received / requested.min(level));
    ratios.fold(1.0, f64::min)
}

/// Returns the share of each caller that wants more than its share, if `total` is split max-min
/// fairly.
fn water_level(requested: &[f64], total: f64) -> f64 {
    let mut sorted = requested.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = total;
    for (index, amount) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - index) as f64;
        if *amount >= level {
            return level.max(1.0);
        }
        left -= amount;
    }
    f64::INFINITY
}
