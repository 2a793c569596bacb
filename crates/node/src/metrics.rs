//! Counters and latencies of one node, in the Prometheus text format.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use hdrhistogram::Histogram;
use wire::clock::Millis;
use wire::code::Code;

/// The longest latency that the histograms resolve, in milliseconds: one hour.
const MAX_LATENCY_MS: u64 = 60 * 60 * 1000;
/// The histograms' precision in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The quantiles in a summary.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 1.0];

/// The kind of a complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A turn, as one JSON document.
    Whole,
    /// A turn, streamed.
    Stream,
    /// A service call or a shown program.
    Plain,
}

impl Kind {
    /// Every kind with its label, in declaration order.
    const ALL: [(Self, &str); 3] = [
        (Self::Whole, "whole"),
        (Self::Stream, "stream"),
        (Self::Plain, "plain"),
    ];
}

/// The metrics of one node.
pub struct Metrics(Mutex<State>);

struct State {
    first_reply: Histogram<u64>,
    whole_answer: Histogram<u64>,
    queue_wait: Histogram<u64>,
    journal_append: Histogram<u64>,
    /// By code, in the order of [`Code::ALL`].
    refused: Vec<u64>,
    /// By kind, in the order of [`Kind::ALL`].
    answered: Vec<u64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
                .expect("the bounds are constants")
        };
        Self(Mutex::new(State {
            first_reply: empty(),
            whole_answer: empty(),
            queue_wait: empty(),
            journal_append: empty(),
            refused: vec![0; Code::ALL.len()],
            answered: vec![0; Kind::ALL.len()],
        }))
    }
}

impl Metrics {
    /// Records the time to the first reply.
    pub fn record_first_reply(&self, elapsed: Millis) {
        self.lock().first_reply.saturating_record(elapsed.as_u64());
    }

    /// Records the time to the end of a complete answer.
    pub fn record_whole_answer(&self, elapsed: Millis) {
        self.lock().whole_answer.saturating_record(elapsed.as_u64());
    }

    /// Records how long a call waited for an endpoint.
    pub fn record_queue_wait(&self, elapsed: Millis) {
        self.lock().queue_wait.saturating_record(elapsed.as_u64());
    }

    /// Records how long an append to a journal took.
    pub fn record_append(&self, elapsed: Millis) {
        self.lock()
            .journal_append
            .saturating_record(elapsed.as_u64());
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, code: Code) {
        self.lock().refused[code as usize] += 1;
    }

    /// Counts a complete answer.
    pub fn count_answer(&self, kind: Kind) {
        self.lock().answered[kind as usize] += 1;
    }

    /// Renders every metric. Counters that are still zero are included, because a scraper that
    /// knows no earlier value doesn't see the first increment.
    #[must_use]
    pub fn render(&self) -> String {
        let state = self.lock();
        let mut out = String::new();
        for (name, help, histogram) in [
            (
                "first_reply",
                "from a request's arrival to its owner's first reply",
                &state.first_reply,
            ),
            (
                "whole_answer",
                "from a turn's arrival to the end of its answer",
                &state.whole_answer,
            ),
            (
                "queue_wait",
                "how long a call waited for an endpoint's slot",
                &state.queue_wait,
            ),
            (
                "journal_append",
                "how long a record took to be durable",
                &state.journal_append,
            ),
        ] {
            summary(&mut out, name, help, histogram);
        }
        write_header(
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
        write_header(
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

/// Writes the header of a metric: its help and its type.
pub fn write_header(out: &mut String, name: &str, kind: &str, help: &str) {
    let _infallible = writeln!(
        out,
        "# HELP chestnutyoke_{name} {help}\n# TYPE chestnutyoke_{name} {kind}"
    );
}

#[allow(clippy::cast_precision_loss)] // Milliseconds up to an hour are exact in an f64.
fn summary(out: &mut String, name: &str, help: &str, histogram: &Histogram<u64>) {
    write_header(out, &format!("{name}_seconds"), "summary", help);
    let metric = format!("chestnutyoke_{name}_seconds");
    for quantile in QUANTILES {
        let seconds = histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        let _infallible = writeln!(out, "{metric}{{quantile=\"{quantile}\"}} {seconds}");
    }
    let count = histogram.len();
    let sum = histogram.mean() * count as f64 / 1_000.0;
    let _infallible = writeln!(out, "{metric}_sum {sum}\n{metric}_count {count}");
}
