//! Counters and latency histograms, as text for a scraper.

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hdrhistogram::Histogram;
use wire::clock::Millis;

/// The longest span that a histogram tells apart, in milliseconds: an hour.
const LONGEST: u64 = 3_600_000;

/// Declares what is counted or timed: a name for scrapers and an explanation each.
macro_rules! figures {
    ($(#[$doc:meta])* $kind:ident: $($name:ident = $text:literal, $help:literal;)*) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $kind { $(#[doc = $help] $name,)* }

        impl $kind {
            /// Every one, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Yields its name.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Yields what it tells.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self { $(Self::$name => $help,)* }
            }
        }
    };
}

figures! {
    /// What is counted.
    Counter:
    Requests = "requests", "requests whose headers were read";
    Answered = "requests_answered", "answers of runners that were passed on";
    Refused = "requests_refused", "requests refused by the system that had not run";
    Failed = "requests_failed", "requests that may have run and got no whole answer";
    Retried = "attempts_retried", "attempts after the first of a request";
    TurnedAway = "attempts_turned_away", "attempts that a runner refused without running them";
    Gone = "callers_gone", "requests whose caller left before the answer was whole";
    Resumed = "streams_resumed", "streams that went on after a break";
    OverBudget = "turns_over_budget", "turns refused as their program's tokens are spent";
    Events = "events", "events of streams that were passed on";
    TokensMissed = "prompt_tokens_missed", "prompt tokens that the chosen runner was thought to lack";
    TokensAsked = "prompt_tokens", "prompt tokens of all turns that were placed";
    StoreCalls = "platform_calls", "calls of the platform's key-value service";
}

figures! {
    /// What is timed.
    Span:
    Prepare = "prepare_ms", "from a turn's arrival until its history and tokens are there";
    First = "first_event_ms", "from a stream's arrival to its first event";
    Whole = "whole_answer_ms", "from a request's arrival to the end of its answer";
    Sync = "sync_ms", "from a stream's last event until its turn is kept";
}

/// All figures of a process.
#[derive(Debug)]
pub struct Metrics {
    counters: Vec<AtomicU64>,
    spans: Vec<Mutex<Histogram<u64>>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || {
            let made = Histogram::new_with_max(LONGEST, 2);
            Mutex::new(made.unwrap_or_else(|_| Histogram::new(1).expect("one digit is allowed")))
        };
        Self {
            counters: Counter::ALL.iter().map(|_| AtomicU64::new(0)).collect(),
            spans: Span::ALL.iter().map(|_| histogram()).collect(),
        }
    }
}

impl Metrics {
    /// Adds one.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds some.
    pub fn add(&self, counter: Counter, more: u64) {
        self.counters[counter as usize].fetch_add(more, Ordering::Relaxed);
    }

    /// Yields a counter's value.
    #[must_use]
    pub fn value(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Notes a span.
    pub fn time(&self, span: Span, took: Millis) {
        let histogram = &self.spans[span as usize];
        let mut histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(took.as_u64());
    }

    /// Renders all figures, with `gauges` of the moment.
    #[must_use]
    pub fn render(&self, gauges: &[(&str, u64)]) -> String {
        let mut out = String::new();
        for counter in Counter::ALL {
            explain(&mut out, counter.name(), counter.help());
            line(&mut out, counter.name(), "", self.value(*counter));
        }
        for span in Span::ALL {
            explain(&mut out, span.name(), span.help());
            let histogram = &self.spans[*span as usize];
            let histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
            for (label, quantile) in [("0.5", 0.5), ("0.95", 0.95), ("0.99", 0.99)] {
                let label = format!("{{quantile=\"{label}\"}}");
                line(
                    &mut out,
                    span.name(),
                    &label,
                    histogram.value_at_quantile(quantile),
                );
            }
            line(&mut out, span.name(), "_count", histogram.len());
        }
        for (name, value) in gauges {
            line(&mut out, name, "", *value);
        }
        out
    }
}

fn explain(out: &mut String, name: &str, help: &str) {
    // Writing to a string doesn't fail.
    let _never = writeln!(out, "# HELP chestnutyoke_{name} {help}");
}

fn line(out: &mut String, name: &str, label: &str, value: u64) {
    // Writing to a string doesn't fail.
    let _never = writeln!(out, "chestnutyoke_{name}{label} {value}");
}
