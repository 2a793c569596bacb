//! Counters and latency histograms, as text for a scraper.

mod by_workspace;

use std::fmt::Write;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use adapter::config::Kind;
use hdrhistogram::Histogram;
use policy::standing::Standing;
use wire::clock::Millis;
use wire::code::Code;

use crate::metrics::by_workspace::Counters;

/// The longest recordable latency in milliseconds: one hour. Longer ones count as this.
const MAX_LATENCY_MS: u64 = 3_600_000;

/// Declares an enum of metrics, each with its exported name and help text.
macro_rules! figures {
    ($(#[$doc:meta])* $kind:ident: $($name:ident = $text:literal, $help:literal;)*) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $kind { $(#[doc = $help] $name,)* }

        impl $kind {
            /// All variants in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the exported name.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }

            /// Returns the help text.
            #[must_use]
            pub const fn help(self) -> &'static str {
                match self { $(Self::$name => $help,)* }
            }
        }
    };
}

figures! {
    /// A counter.
    Counter:
    Requests = "requests", "requests whose headers were read";
    Retried = "attempts_retried", "attempts after the first of a request";
    TurnedAway = "attempts_turned_away", "attempts that a runner refused without running them";
    Resumed = "streams_resumed", "streams that went on after a break";
    OverBudget = "turns_over_budget", "turns refused as their program's tokens are spent";
    Events = "events", "events of streams that were passed on";
    TokensMissed = "prompt_tokens_missed", "prompt tokens that the chosen runner was thought to lack";
    TokensAsked = "prompt_tokens", "prompt tokens of all turns that were placed";
    PlacedHome = "turns_placed_home", "turns placed at a home of their program";
    PlacedElsewhere = "turns_placed_elsewhere", "turns placed elsewhere though their program has a home";
    StoreWeight = "platform_calls_weight", "price of these calls in tenths of a full one";
    StoreFailures = "platform_calls_failed", "calls of the platform's key-value service without an answer";
    ProgramsRefused = "programs_refused", "programs refused at their first turn as the engines were occupied";
    TurnsInTime = "turns_in_time", "turns of scarce services that were sent with time to spare";
    TurnsAtRisk = "turns_at_risk", "turns of scarce services that were sent with little time to spare";
    TurnsLate = "turns_late", "turns of scarce services that were sent when their program was late";
    Blamed = "crashes_blamed", "crashes of runners for which this VM blamed a content";
    SlowdownsHeard = "slowdowns_heard", "readings of how fast a runner's machine is that other VMs told";
    SilencesHeard = "silences_heard", "reports of other VMs that a runner is silent or was reached again";
    RunnersChecked = "runners_checked", "checks of runners that other VMs found silent, or that this one has never reached";
    ConnectsSlow = "connects_slow", "requests that went to another runner as a connection took long";
    ConfigsDropped = "revisions_dropped", "configurations that couldn't be taken";
    ExchangesFailed = "exchanges_failed", "messages to other VMs that weren't answered in time";
    DocumentBytes = "document_bytes", "bytes of configurations that were sent to other VMs";
    Displaced = "answers_displaced", "answers broken off as they had grown into memory that others need";
    AnswersForeign = "answers_foreign", "answers that named another request than the one that waited, or none";
    EntriesUnreadable = "entries_unreadable", "entries that named no runner when they were read";
}

impl Counter {
    /// Returns the counter of turns of a standing.
    #[must_use]
    pub const fn of_standing(standing: Standing) -> Self {
        match standing {
            Standing::InTime => Self::TurnsInTime,
            Standing::AtRisk => Self::TurnsAtRisk,
            Standing::Late => Self::TurnsLate,
        }
    }
}

figures! {
    /// A call of the key-value service by what it is for. The exported name is its label.
    Call:
    ListConfig = "list_config", "the configuration is read";
    WatchConfig = "watch_config", "a change of the configuration is waited for";
    ProveConfig = "prove_config", "it is asked whether the configuration is current";
    ListRunners = "list_runners", "the runners' entries are read";
    WatchRunners = "watch_runners", "a change of the runners' entries is waited for";
    ListOwn = "list_own", "the system's own keys are read";
    CopyOwn = "copy_own", "a copy of the system's own keys is read";
    WatchOwn = "watch_own", "a change of the system's own keys is waited for";
    Grant = "grant", "a lease is taken for the VM's entry or a record";
    Write = "write", "the VM's entry or a record is written";
    Renew = "renew", "the lease of the VM's entry is renewed";
}

impl Call {
    /// Returns the price of a call in tenths of a full one.
    #[must_use]
    pub const fn weight(self) -> u64 {
        match self {
            Self::CopyOwn | Self::Renew => 1,
            Self::ListConfig
            | Self::WatchConfig
            | Self::ProveConfig
            | Self::ListRunners
            | Self::WatchRunners
            | Self::ListOwn
            | Self::WatchOwn
            | Self::Grant
            | Self::Write => 10,
        }
    }

    /// Returns whether the call waits at the service for a change.
    #[must_use]
    pub const fn is_watch(self) -> bool {
        matches!(
            self,
            Self::WatchConfig | Self::WatchRunners | Self::WatchOwn
        )
    }
}

figures! {
    /// The outcome of a request, counted by the kind of the request.
    Outcome:
    Answered = "requests_answered", "answers of runners that were passed on";
    Refused = "requests_refused", "requests refused by the system that had not run";
    Failed = "requests_failed", "requests that may have run and got no whole answer";
    Gone = "callers_gone", "requests whose caller left before the answer was whole";
}

figures! {
    /// Why a stream ended early.
    Break:
    Runner = "runner", "its runner broke off";
    Late = "late", "its time was over";
    Unkept = "unkept", "its turn couldn't be kept";
}

figures! {
    /// A measured latency.
    Latency:
    Wait = "wait_ms", "from a request's arrival until it is sent to the runner that answers it";
    Prepare = "prepare_ms", "from a turn's arrival until its history and tokens are there";
    FirstEvent = "first_event_ms", "from a stream's arrival to its first event";
    WholeAnswer = "whole_answer_ms", "from a request's arrival to the end of its answer";
    Sync = "sync_ms", "from a stream's last event until its turn is kept";
    StoreCall = "platform_call_ms", "how long a call of the platform's key-value service took";
}

/// The kinds of requests with their labels; `None` is a request that was refused before it had a
/// route.
const KINDS: [(Option<Kind>, &str); 4] = [
    (Some(Kind::Stream), "stream"),
    (Some(Kind::Idempotent), "idempotent"),
    (Some(Kind::AtMostOnce), "at_most_once"),
    (None, "unrouted"),
];

/// Name and help of the refusal counters.
const REFUSALS: (&str, &str) = ("refusals", "refusals by result code");
/// Name and help of the counters of calls of the key-value service.
const STORE_CALLS: (&str, &str) = (
    "platform_calls",
    "calls of the platform's key-value service by what they are for",
);
/// Name and help of the counters of requests over their workspace's limit.
const OVER_LIMIT: (&str, &str) = (
    "requests_over_limit",
    "requests over their workspace's limit, or over the VM's share of it",
);
/// Name and help of the counters of broken streams.
const BREAKS: (&str, &str) = (
    "streams_broken",
    "streams that ended before they were whole",
);

/// All metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    counters: Vec<AtomicU64>,
    /// Indexed by outcome, then by kind.
    outcomes: Vec<AtomicU64>,
    refusals: Vec<AtomicU64>,
    breaks: Vec<AtomicU64>,
    over_limit: Mutex<Counters>,
    store_calls: Vec<AtomicU64>,
    latencies: Vec<Mutex<Histogram<u64>>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || {
            let created = Histogram::new_with_max(MAX_LATENCY_MS, 2);
            Mutex::new(created.unwrap_or_else(|_| Histogram::new(1).expect("one digit is allowed")))
        };
        Self {
            counters: zeros(Counter::ALL.len()),
            outcomes: zeros(Outcome::ALL.len() * KINDS.len()),
            refusals: zeros(Code::ALL.len()),
            breaks: zeros(Break::ALL.len()),
            over_limit: Mutex::default(),
            store_calls: zeros(Call::ALL.len()),
            latencies: Latency::ALL.iter().map(|_| histogram()).collect(),
        }
    }
}

fn zeros(count: usize) -> Vec<AtomicU64> {
    (0..count).map(|_| AtomicU64::new(0)).collect()
}

impl Metrics {
    /// Increments a counter.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Adds `amount` to a counter.
    pub fn add(&self, counter: Counter, amount: u64) {
        self.counters[counter as usize].fetch_add(amount, Ordering::Relaxed);
    }

    /// Returns the value of a counter.
    #[must_use]
    pub fn value(&self, counter: Counter) -> u64 {
        self.counters[counter as usize].load(Ordering::Relaxed)
    }

    /// Counts the outcome of a request of a kind; `None` if it had no route yet.
    pub fn count_outcome(&self, kind: Option<Kind>, outcome: Outcome) {
        let kind_index = KINDS.iter().position(|(known, _)| *known == kind);
        let index = outcome as usize * KINDS.len() + kind_index.unwrap_or_default();
        self.outcomes[index].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a refusal by its code.
    pub fn count_refusal(&self, code: Code) {
        self.refusals[code as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a request that is over the limit of its workspace.
    pub fn count_over_limit(&self, workspace: &str) {
        self.over_limit().count(workspace);
    }

    fn over_limit(&self) -> MutexGuard<'_, Counters> {
        self.over_limit
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a stream that ended early.
    pub fn count_break(&self, cause: Break) {
        self.breaks[cause as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call of the key-value service.
    pub fn count_store_call(&self, call: Call) {
        self.store_calls[call as usize].fetch_add(1, Ordering::Relaxed);
        self.add(Counter::StoreWeight, call.weight());
    }

    /// Records a latency.
    pub fn record(&self, latency: Latency, took: Millis) {
        let histogram = &self.latencies[latency as usize];
        let mut histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
        histogram.saturating_record(took.as_u64());
    }

    /// Renders `gauges` and all metrics. The figures that tell most of the VM's state come first,
    /// because some scrapers read only the first kilobytes.
    #[must_use]
    pub fn render(&self, gauges: &[(&str, u64)]) -> String {
        let mut out = render(gauges);
        let calls = Call::ALL.iter();
        let calls = calls.map(|call| format!("call=\"{}\"", call.name()));
        family(&mut out, STORE_CALLS, calls, &self.store_calls);
        for counter in Counter::ALL {
            explain(&mut out, counter.name(), counter.help());
            line(&mut out, counter.name(), "", self.value(*counter));
        }
        for (outcome, values) in Outcome::ALL.iter().zip(self.outcomes.chunks(KINDS.len())) {
            let labels = KINDS.iter().map(|(_, label)| format!("kind=\"{label}\""));
            family(&mut out, (outcome.name(), outcome.help()), labels, values);
        }
        let codes = Code::ALL.iter();
        let codes = codes.map(|code| format!("code=\"CY{}\"", code.number()));
        family(&mut out, REFUSALS, codes, &self.refusals);
        explain(&mut out, OVER_LIMIT.0, OVER_LIMIT.1);
        for (workspace, count) in self.over_limit().all() {
            let label = format!("{{workspace=\"{workspace}\"}}");
            line(&mut out, OVER_LIMIT.0, &label, count);
        }
        let causes = Break::ALL.iter();
        let causes = causes.map(|cause| format!("cause=\"{}\"", cause.name()));
        family(&mut out, BREAKS, causes, &self.breaks);
        for (latency, histogram) in Latency::ALL.iter().zip(&self.latencies) {
            let histogram = histogram.lock().unwrap_or_else(PoisonError::into_inner);
            summary(&mut out, *latency, &histogram);
        }
        out
    }
}

/// Renders gauges.
#[must_use]
pub fn render(gauges: &[(&str, u64)]) -> String {
    let mut out = String::new();
    for (name, value) in gauges {
        line(&mut out, name, "", *value);
    }
    out
}

/// Renders the counters of one name, each with its label. Includes counters that are zero:
/// otherwise a scraper would miss the first increment, as it knows no value before it.
fn family(
    out: &mut String,
    (name, help): (&str, &str),
    labels: impl Iterator<Item = String>,
    values: &[AtomicU64],
) {
    explain(out, name, help);
    for (label, value) in labels.zip(values) {
        let value = value.load(Ordering::Relaxed);
        line(out, name, &format!("{{{label}}}"), value);
    }
}

fn summary(out: &mut String, latency: Latency, histogram: &Histogram<u64>) {
    explain(out, latency.name(), latency.help());
    for (label, quantile) in [("0.5", 0.5), ("0.95", 0.95), ("0.99", 0.99)] {
        let label = format!("{{quantile=\"{label}\"}}");
        let value = histogram.value_at_quantile(quantile);
        line(out, latency.name(), &label, value);
    }
    line(out, latency.name(), "_count", histogram.len());
}

fn explain(out: &mut String, name: &str, help: &str) {
    // Writing to a string can't fail.
    let _written = writeln!(out, "# HELP chestnutyoke_{name} {help}");
}

fn line(out: &mut String, name: &str, label: &str, value: u64) {
    // Writing to a string can't fail.
    let _written = writeln!(out, "chestnutyoke_{name}{label} {value}");
}
