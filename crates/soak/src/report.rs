//! The report of a run.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use serde::Serialize;
use wire::clock::Millis;

use crate::check::Case;
use crate::check::Results;
use crate::disk::Stalls;
use crate::oracle::Counts;
use crate::schedule::Step;

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// When clients began. Like all times here it counts from the start of the run.
    pub traffic_from: Millis,
    /// The faults that were applied, and when.
    pub done: Vec<Step>,
    /// How many attempts of clients ended in which way.
    pub counts: Counts,
    /// The same counts once a second.
    pub samples: Vec<Sample>,
    /// The results of the checks.
    pub checks: Results,
    /// Connections that closed on a request without any disruption in or shortly before it, if they
    /// were few enough not to break a check.
    #[serde(rename = "calm")]
    pub undisturbed_closes: Vec<Case>,
    /// The longest delay of the soak itself: its clients and runners made no progress for this long, and
    /// perhaps the processes under test as well.
    pub late: Millis,
    /// The stalls of the disk that the processes write to.
    pub disk: Stalls,
}

/// The counts of attempts at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// The time.
    pub at: Millis,
    /// How many attempts had ended in which way.
    pub counts: Counts,
}

impl Report {
    /// Returns whether all checks held.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.checks.broken_checks() == 0
    }
}

impl Display for Report {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(out, "seed {}", self.seed)?;
        for step in &self.done {
            writeln!(out, "{:>8} {:?}", step.at.as_u64(), step.fault)?;
        }
        let Counts {
            served,
            taken_up,
            not_taken_up,
            refused,
            spent,
            failed,
            cut,
            unsent,
            given_up,
        } = self.counts;
        writeln!(
            out,
            "attempts: {served} served, {refused} refused, {taken_up} streams taken up, {not_taken_up} not, {spent} over budget, {failed} failed, {cut} cut, {unsent} unsent, {given_up} given up; the longest delay of the soak itself was {} ms",
            self.late.as_u64()
        )?;
        writeln!(
            out,
            "{} disk syncs took longer than 250 ms; the longest sync took {} ms",
            self.disk.count,
            self.disk.longest.as_u64()
        )?;
        for row in self.checks.rows() {
            let state = match (row.exercised, row.broken) {
                (0, _) => "never exercised".to_owned(),
                (exercised, 0) => format!("held {exercised} times"),
                (exercised, broken) => format!("BROKEN {broken} of {exercised} times"),
            };
            writeln!(
                out,
                "{:<9} {state}: {}",
                format!("{:?}", row.check),
                row.text
            )?;
            for case in &row.cases {
                write_case(out, case)?;
            }
        }
        for case in &self.undisturbed_closes {
            write_case(out, case)?;
        }
        Ok(())
    }
}

fn write_case(out: &mut Formatter<'_>, case: &Case) -> fmt::Result {
    let Case {
        at,
        request,
        vm,
        what,
    } = case;
    writeln!(out, "  at {} ms {vm} {request}: {what}", at.as_u64())
}
