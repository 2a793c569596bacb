//! Counts and latencies of one node, in the Prometheus text form.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use hdrhistogram::Histogram;
use wire::clock::Millis;
use wire::code::Code;

/// The longest latency that is told apart, in milliseconds: an hour.
const LONGEST: u64 = 60 * 60 * 1000;
/// Significant digits of a latency.
const DIGITS: u8 = 2;
/// The quantiles shown.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 1.0];

/// What an answer that came whole was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A turn, in one piece.
    Whole,
    /// A turn, in parts.
    Stream,
    /// A call of a service, or something shown.
    Plain,
}

impl Kind {
    /// Every kind with its label, in the order of their declaration.
    const ALL: [(Self, &str); 3] = [
        (Self::Whole, "whole"),
        (Self::Stream, "stream"),
        (Self::Plain, "plain"),
    ];
}

/// The measures of one node.
pub struct Metrics(Mutex<State>);

struct State {
    first: Histogram<u64>,
    whole: Histogram<u64>,
    queued: Histogram<u64>,
    appended: Histogram<u64>,
    /// By code, in the order of [`Code::ALL`].
    refused: Vec<u64>,
    /// By kind, in the order of [`Kind::ALL`].
    answered: Vec<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let empty =
            || Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("the bounds are constants");
        Self(Mutex::new(State {
            first: empty(),
            whole: empty(),
            queued: empty(),
            appended: empty(),
            refused: vec![0; Code::ALL.len()],
            answered: vec![0; Kind::ALL.len()],
        }))
    }
}

impl Metrics {
    /// Records the time to the first reply.
    pub fn record_first_reply(&self, span: Millis) {
        self.lock().first.saturating_record(span.as_u64());
    }

    /// Records the time to a whole answer.
    pub fn record_whole_answer(&self, span: Millis) {
        self.lock().whole.saturating_record(span.as_u64());
    }

    /// Records how long a call waited for an endpoint.
    pub fn record_queue_wait(&self, span: Millis) {
        self.lock().queued.saturating_record(span.as_u64());
    }

    /// Records how long an append to a journal took.
    pub fn record_append(&self, span: Millis) {
        self.lock().appended.saturating_record(span.as_u64());
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, code: Code) {
        self.lock().refused[code as usize] += 1;
    }

    /// Counts an answer that came whole.
    pub fn count_answer(&self, kind: Kind) {
        self.lock().answered[kind as usize] += 1;
    }

    /// Renders every measure. Counters that are still zero are told, too: a scraper else misses the
    /// first of a kind, as it knows no value before it.
    #[must_use]
    pub fn render(&self) -> String {
        let state = self.lock();
        let mut out = String::new();
        for (name, help, histogram) in [
            (
                "first_reply",
                "from a request's arrival to its owner's first reply",
                &state.first,
            ),
            (
                "whole_answer",
                "from a turn's arrival to the end of its answer",
                &state.whole,
            ),
            (
                "queue_wait",
                "how long a call waited for an endpoint's slot",
                &state.queued,
            ),
            (
                "journal_append",
                "how long a record took to be durable",
                &state.appended,
            ),
        ] {
            summary(&mut out, name, help, histogram);
        }
        explain(
            &mut out,
            "refused_total",
            "counter",
            "refusals by result code",
        );
        for (code, count) in Code::ALL.iter().zip(&state.refused) {
            let number = code.number();
            let _infallible = writeln!(
                out,
                "chestnutyoke_refused_total{{code=\"CY{number}\"}} {count}"
            );
        }
        explain(
            &mut out,
            "answered_total",
            "counter",
            "answers that came whole",
        );
        for ((_, kind), count) in Kind::ALL.iter().zip(&state.answered) {
            let _infallible = writeln!(
                out,
                "chestnutyoke_answered_total{{kind=\"{kind}\"}} {count}"
            );
        }
        out
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes what stands before a measure: its type and what it tells.
pub fn explain(out: &mut String, name: &str, kind: &str, help: &str) {
    let _infallible = writeln!(
        out,
        "# HELP chestnutyoke_{name} {help}\n# TYPE chestnutyoke_{name} {kind}"
    );
}

#[allow(clippy::cast_precision_loss)] // Milliseconds up to an hour are exact in an f64.
fn summary(out: &mut String, name: &str, help: &str, histogram: &Histogram<u64>) {
    explain(out, &format!("{name}_seconds"), "summary", help);
    let metric = format!("chestnutyoke_{name}_seconds");
    for quantile in QUANTILES {
        let seconds = histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        let _infallible = writeln!(out, "{metric}{{quantile=\"{quantile}\"}} {seconds}");
    }
    let count = histogram.len();
    let sum = histogram.mean() * count as f64 / 1_000.0;
    let _infallible = writeln!(out, "{metric}_sum {sum}\n{metric}_count {count}");
}
