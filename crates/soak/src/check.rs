//! What a run checks, how often each check was exercised, and what broke it.

use serde::Serialize;
use wire::clock::Millis;

/// The most cases of a broken check that a report names; the rest is counted.
const MOST_CASES: usize = 20;

/// A check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Check {
    /// A request that a stopping VM has read ends without its whole answer.
    Lost,
    /// A process outlasts its grace, or stops without success.
    Stops,
    /// A process ends though nobody asked it to.
    Lives,
    /// A VM that stops still says that it is ready four seconds later.
    Leaves,
    /// Without any fault near, requests end with a closed connection.
    Calm,
    /// An answer belongs to another request, or no runner has signed it.
    Own,
    /// Events are missing, come twice, or an answer looks whole without its last one.
    Order,
    /// A request that may run once ran twice.
    Once,
    /// A request was refused with a promise not to run, and ran.
    Refused,
    /// A turn that its budget didn't hold ran.
    Spent,
    /// A turn that was answered whole isn't found.
    Kept,
    /// A proper request is turned away for good.
    Proper,
    /// A runner got something that no client sent.
    Asked,
    /// A turn's text isn't its chain's earlier inputs and outputs and then its own input.
    Chain,
    /// A program's clients got more tokens than its budget and one turn.
    Budget,
    /// Requests that take longer than their route allows are held on.
    Timely,
    /// Runners go on working for clients that have left.
    Gone,
    /// A runner that leaves still gets requests.
    Drains,
    /// An older configuration is still in force.
    Applied,
    /// Without any fault near at the end, too few turns are served.
    Served,
}

impl Check {
    /// All checks.
    pub const ALL: [Self; 20] = [
        Self::Lost,
        Self::Stops,
        Self::Lives,
        Self::Leaves,
        Self::Calm,
        Self::Own,
        Self::Order,
        Self::Once,
        Self::Refused,
        Self::Spent,
        Self::Kept,
        Self::Proper,
        Self::Asked,
        Self::Chain,
        Self::Budget,
        Self::Timely,
        Self::Gone,
        Self::Drains,
        Self::Applied,
        Self::Served,
    ];

    /// Says what holds.
    #[must_use]
    pub const fn text(self) -> &'static str {
        match self {
            Self::Lost => "a stopping or reloading VM answers whole what it has read",
            Self::Stops => "a process that is asked to stop ends by itself, in time, with success",
            Self::Lives => "no process ends unasked",
            Self::Leaves => "a stopping VM isn't ready four seconds later",
            Self::Calm => "without a fault near, hardly a connection closes on its request",
            Self::Own => "an answer is a runner's and belongs to its request",
            Self::Order => "events come once and in order; what looks whole is whole",
            Self::Once => "what may run once runs once at most",
            Self::Refused => "what is refused with a promise never runs",
            Self::Spent => "a turn over its budget never runs",
            Self::Kept => "a turn that was answered whole is found",
            Self::Proper => "a proper request isn't turned away for good",
            Self::Asked => "runners get what clients sent, unchanged",
            Self::Chain => "a turn's text is its chain's inputs and outputs, and its input",
            Self::Budget => "programs get no more tokens than their budget and one turn",
            Self::Timely => "what takes longer than its route allows ends then",
            Self::Gone => "runners hear of it when a client leaves",
            Self::Drains => "a leaving runner gets nothing new",
            Self::Applied => "a configuration is in force everywhere in time",
            Self::Served => "in the quiet at the end, a quarter of the turns or more is served",
        }
    }
}

/// What broke a check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Case {
    /// When, since the start of the run.
    pub at: Millis,
    /// The request; empty where it is about a process.
    pub request: String,
    /// The VM; empty where it isn't about one.
    pub vm: String,
    /// What was seen.
    pub what: String,
}

/// A check's part of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The check.
    pub check: Check,
    /// What holds.
    pub text: &'static str,
    /// How often it was looked at.
    pub exercised: u64,
    /// How often it didn't hold.
    pub broken: u64,
    /// The first cases.
    pub cases: Vec<Case>,
}

/// All checks' parts of the report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Results(Vec<Row>);

impl Default for Results {
    fn default() -> Self {
        let row = |check: Check| Row {
            check,
            text: check.text(),
            exercised: 0,
            broken: 0,
            cases: Vec::new(),
        };
        Self(Check::ALL.into_iter().map(row).collect())
    }
}

impl Results {
    /// Yields the rows.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.0
    }

    /// Yields a check's row.
    #[must_use]
    pub fn row(&self, check: Check) -> &Row {
        &self.0[check as usize]
    }

    /// Notes that a check was looked at; `broken` tells what didn't hold.
    pub fn record(&mut self, check: Check, broken: Option<Case>) {
        let row = &mut self.0[check as usize];
        row.exercised += 1;
        let Some(case) = broken else {
            return;
        };
        row.broken += 1;
        if row.cases.len() < MOST_CASES {
            row.cases.push(case);
        }
    }

    /// Counts the checks that didn't hold.
    #[must_use]
    pub fn broken_checks(&self) -> usize {
        self.0.iter().filter(|row| row.broken > 0).count()
    }
}
