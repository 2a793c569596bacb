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

/// The measures of one node.
pub struct Metrics(Mutex<State>);

struct State {
    first: Histogram<u64>,
    whole: Histogram<u64>,
    queued: Histogram<u64>,
    appended: Histogram<u64>,
    refused: Vec<(Code, u64)>,
    counts: Vec<(&'static str, u64)>,
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
            refused: Vec::new(),
            counts: Vec::new(),
        }))
    }
}

impl Metrics {
    /// Records the time to the first reply.
    pub fn first(&self, span: Millis) {
        self.lock().first.saturating_record(span.as_u64());
    }

    /// Records the time to a whole answer.
    pub fn whole(&self, span: Millis) {
        self.lock().whole.saturating_record(span.as_u64());
    }

    /// Records how long a call waited for an endpoint.
    pub fn queued(&self, span: Millis) {
        self.lock().queued.saturating_record(span.as_u64());
    }

    /// Records how long an append to a journal took.
    pub fn appended(&self, span: Millis) {
        self.lock().appended.saturating_record(span.as_u64());
    }

    /// Counts a refusal.
    pub fn refused(&self, code: Code) {
        let mut state = self.lock();
        match state.refused.binary_search_by_key(&code, |(c, _)| *c) {
            Ok(at) => state.refused[at].1 += 1,
            Err(at) => state.refused.insert(at, (code, 1)),
        }
    }

    /// Counts an event of a kind.
    pub fn count(&self, name: &'static str) {
        let mut state = self.lock();
        match state.counts.binary_search_by_key(&name, |(n, _)| *n) {
            Ok(at) => state.counts[at].1 += 1,
            Err(at) => state.counts.insert(at, (name, 1)),
        }
    }

    /// Yields how often an event of a kind was counted.
    #[must_use]
    pub fn counted(&self, name: &str) -> u64 {
        let state = self.lock();
        let found = state.counts.iter().find(|(n, _)| *n == name);
        found.map_or(0, |(_, count)| *count)
    }

    /// Renders every measure.
    #[must_use]
    pub fn render(&self) -> String {
        let state = self.lock();
        let mut out = String::new();
        for (name, histogram) in [
            ("first_reply", &state.first),
            ("whole_answer", &state.whole),
            ("queue_wait", &state.queued),
            ("journal_append", &state.appended),
        ] {
            summary(&mut out, name, histogram);
        }
        out.push_str("# TYPE chestnutyoke_refused_total counter\n");
        for (code, count) in &state.refused {
            let number = code.number();
            let _infallible = writeln!(
                out,
                "chestnutyoke_refused_total{{code=\"CY{number}\"}} {count}"
            );
        }
        for (name, count) in &state.counts {
            let _infallible = writeln!(
                out,
                "# TYPE chestnutyoke_{name}_total counter\nchestnutyoke_{name}_total {count}"
            );
        }
        out
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[allow(clippy::cast_precision_loss)] // Milliseconds up to an hour are exact in an f64.
fn summary(out: &mut String, name: &str, histogram: &Histogram<u64>) {
    let metric = format!("chestnutyoke_{name}_seconds");
    let _infallible = writeln!(out, "# TYPE {metric} summary");
    for quantile in QUANTILES {
        let seconds = histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        let _infallible = writeln!(out, "{metric}{{quantile=\"{quantile}\"}} {seconds}");
    }
    let count = histogram.len();
    let sum = histogram.mean() * count as f64 / 1_000.0;
    let _infallible = writeln!(out, "{metric}_sum {sum}\n{metric}_count {count}");
}
