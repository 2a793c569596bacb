//! What a run found.

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

/// What a run found.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// When clients began, since the start of the run, as all times here.
    pub traffic_from: Millis,
    /// What was done, and when.
    pub done: Vec<Step>,
    /// How clients' attempts ended.
    pub counts: Counts,
    /// How many had ended so by then, second by second.
    pub samples: Vec<Sample>,
    /// The checks.
    pub checks: Results,
    /// Connections that closed on their request without a fault near, where they were few.
    pub calm: Vec<Case>,
    /// The longest time by which the soak itself was late: its clients and runners stood still for
    /// so long, and the processes perhaps as well.
    pub late: Millis,
    /// Whether the disk that the processes write to stood still.
    pub disk: Stalls,
}

/// How clients' attempts had ended by a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Sample {
    /// When.
    pub at: Millis,
    /// How they had ended.
    pub counts: Counts,
}

impl Report {
    /// Tells whether all checks held.
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
            refused,
            spent,
            failed,
            cut,
            unsent,
            given_up,
        } = self.counts;
        writeln!(
            out,
            "attempts: {served} served, {refused} refused, {spent} over budget, {failed} failed, {cut} cut, {unsent} unsent, {given_up} given up; the soak was late by {} ms at most",
            self.late.as_u64()
        )?;
        writeln!(
            out,
            "the disk stood still {} times, for {} ms at most",
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
        for case in &self.calm {
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
