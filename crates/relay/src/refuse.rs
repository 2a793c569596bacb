//! Refusals of the system's own: which one, told in the log, and rendered.

use adapter::config::Kind;
use hyper::Response;
use link::body::Body;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::event::Event;

use crate::answer;
use crate::metrics::Outcome;
use crate::node::Node;

/// When a request that found no runner may come again: about the time in which a runner ends a
/// request, or in which a new one is listed.
pub const RETRY: Millis = Millis::new(250);

/// What is known of a request that is refused.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    /// Its id.
    pub request: &'a str,
    /// Its program, if it names one.
    pub program: &'a str,
    /// Its route, if it has got one.
    pub route: &'a str,
    /// The kind of that route.
    pub kind: Option<Kind>,
    /// How long ago it arrived.
    pub waited: Millis,
}

/// Yields the refusal of a request whose time is over; `runs` counts the runners that may have run
/// it.
#[must_use]
pub fn late(runs: u32) -> Refusal {
    if runs == 0 {
        return Refusal::new(Code::WaitedTooLong, "").retry_after(RETRY);
    }
    Refusal::new(Code::OutcomeUnknown, "").ran(Ran::Unknown)
}

/// Yields the refusal of a request that no runner took; `runs` counts those that may have run it.
#[must_use]
pub fn nowhere(runs: u32) -> Refusal {
    if runs == 0 {
        return Refusal::new(Code::NoEndpoint, "none takes it").retry_after(RETRY);
    }
    Refusal::new(Code::EndpointFailed, "").ran(Ran::Unknown)
}

/// Answers a request whose task has died: whether a runner has it isn't known.
#[must_use]
pub fn died(node: &Node, request: &str) -> Response<Body> {
    let refusal = Refusal::new(Code::Internal, "").ran(Ran::Unknown);
    let subject = Subject {
        request,
        ..Subject::default()
    };
    answer(node, &refusal, &subject)
}

/// Logs and renders a refusal.
#[must_use]
pub fn answer(node: &Node, refusal: &Refusal, subject: &Subject<'_>) -> Response<Body> {
    let outcome = match refusal.ran {
        Ran::No => Outcome::Refused,
        Ran::Unknown | Ran::Yes => Outcome::Failed,
    };
    node.metrics.count_outcome(subject.kind, outcome);
    node.metrics.count_refusal(refusal.code);
    let Subject {
        request,
        program,
        route,
        waited,
        ..
    } = subject;
    let table = node.table();
    log::warn!(
        "event=E{} text=\"{}\" request={request} program={program} route={route} revision={} code=CY{} ran={:?} waited_ms={} runners_age_ms={} why=\"{}\"",
        Event::RequestRefused.number(),
        Event::RequestRefused.text(),
        table.version,
        refusal.code.number(),
        refusal.ran,
        waited.as_u64(),
        node.runners_age().as_u64(),
        refusal.message
    );
    answer::refusal(refusal, request)
}
