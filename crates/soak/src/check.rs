//! The checks of a run, how often each was exercised, and the cases that broke it.

use serde::Serialize;
use wire::clock::Millis;

/// How many cases of a broken check a report lists; further ones are only counted.
const MOST_CASES: usize = 20;

/// A check. The description of each variant says what breaks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Check {
    /// A request that a stopping or reloading VM has read ends without its complete answer.
    Lost,
    /// A process that was asked to stop outlasts its grace period or exits with a failure.
    Stops,
    /// A process ends without being asked to.
    Lives,
    /// A stopping VM still reports ready four seconds after SIGTERM.
    Leaves,
    /// Requests end with a closed connection though no disruption came in or shortly before them.
    Calm,
    /// An answer belongs to another request, or no runner has signed it.
    Own,
    /// Events are missing or duplicated, or an answer ends as complete without its last event.
    Order,
    /// A request that may run at most once ran twice.
    Once,
    /// A request ran though its refusal guaranteed that it has not run and never will.
    Refused,
    /// A turn ran though it was refused because the program's budget is spent.
    Spent,
    /// A turn with a complete answer isn't found by a later turn that continues it.
    Kept,
    /// A valid request is rejected with a status that excludes a retry.
    Proper,
    /// A runner received something that no client sent.
    Asked,
    /// The text that a runner received for a turn isn't the earlier inputs and outputs of its chain
    /// followed by its own input.
    Chain,
    /// A program's clients received more tokens than its budget plus those of one turn.
    Budget,
    /// Requests are held past their route's time-out.
    Timely,
    /// Runners go on working for clients that have left.
    Gone,
    /// A leaving runner still receives requests.
    Drains,
    /// An older configuration is still in force after the time allowed for applying the new one.
    Applied,
    /// In the quiet phase at the end, too few turns are served.
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

    /// Returns the property that the check verifies.
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

/// One observation that broke a check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Case {
    /// When, since the start of the run.
    pub at: Millis,
    /// The id of the request; empty if the case is about a process.
    pub request: String,
    /// The name of the VM; empty if the case isn't about one.
    pub vm: String,
    /// What was seen.
    pub what: String,
}

/// The result of one check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Row {
    /// The check.
    pub check: Check,
    /// The property that the check verifies.
    pub text: &'static str,
    /// How often the property was checked.
    pub exercised: u64,
    /// How often it didn't hold.
    pub broken: u64,
    /// The first cases in which it didn't hold.
    pub cases: Vec<Case>,
}

/// The results of all checks.
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
    /// Returns the results of all checks, in the order of [`Check::ALL`].
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.0
    }

    /// Returns the result of one check.
    #[must_use]
    pub fn row(&self, check: Check) -> &Row {
        &self.0[check as usize]
    }

    /// Records that a check was exercised; `broken` is the case in which it didn't hold.
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

    /// Counts the checks that were broken at least once.
    #[must_use]
    pub fn broken_checks(&self) -> usize {
        self.0.iter().filter(|row| row.broken > 0).count()
    }
}
