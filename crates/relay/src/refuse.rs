//! Refusals by this process: builds, logs and renders them.

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

/// When a request that found no runner may be retried: about the time in which a runner finishes a
/// request, or in which a new runner is listed.
pub const RETRY_DELAY: Millis = Millis::new(250);

/// What is known about a refused request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Info<'a> {
    /// The request's id.
    pub request: &'a str,
    /// Its program; empty if it names none.
    pub program: &'a str,
    /// Its workspace; empty if it has none, or none yet.
    pub workspace: &'a str,
    /// Its route; empty if it has none yet.
    pub route: &'a str,
    /// The kind of that route.
    pub kind: Option<Kind>,
    /// How long ago it arrived.
    pub waited: Millis,
}

/// Returns the refusal of a request whose deadline has passed; `possible_runs` counts the runners
/// that may have run it.
#[must_use]
pub fn timed_out(possible_runs: u32) -> Refusal {
    if possible_runs == 0 {
        return Refusal::new(Code::WaitedTooLong, "").retry_after(RETRY_DELAY);
    }
    Refusal::new(Code::OutcomeUnknown, "").ran(Ran::Unknown)
}

/// Returns the refusal of a request that no runner took; `possible_runs` counts the runners that
/// may have run it.
#[must_use]
pub fn no_runner(possible_runs: u32) -> Refusal {
    if possible_runs == 0 {
        return Refusal::new(Code::NoEndpoint, "no runner took the request")
            .retry_after(RETRY_DELAY);
    }
    Refusal::new(Code::EndpointFailed, "").ran(Ran::Unknown)
}

/// Answers a request whose task has died. It isn't known whether a runner has the request.
#[must_use]
pub fn task_died(node: &Node, request: &str) -> Response<Body> {
    let refusal = Refusal::new(Code::Internal, "").ran(Ran::Unknown);
    let info = Info {
        request,
        ..Info::default()
    };
    respond(node, &refusal, &info)
}

/// Logs a refusal, and builds the response for it.
#[must_use]
pub fn respond(node: &Node, refusal: &Refusal, info: &Info<'_>) -> Response<Body> {
    let outcome = match refusal.ran {
        Ran::No => Outcome::Refused,
        Ran::Unknown | Ran::Yes => Outcome::Failed,
    };
    node.metrics.count_outcome(info.kind, outcome);
    node.metrics.count_refusal(refusal.code);
    let Info {
        request,
        program,
        workspace,
        route,
        waited,
        ..
    } = info;
    let table = node.table();
    let code = refusal.code;
    // What decides comes first, because collectors truncate long lines.
    log::warn!(
        "event=E{} text=\"{}\" request={request} program={program} code=CY{} ran={:?} waited_ms={} why=\"{}\" route={route} revision={} revision_age_ms={} runners_age_ms={} workspace={workspace} code_text=\"{}\"",
        Event::RequestRefused.number(),
        Event::RequestRefused.text(),
        code.number(),
        refusal.ran,
        waited.as_u64(),
        refusal.detail(),
        table.version,
        node.config_age().as_u64(),
        node.runners_age().as_u64(),
        code.text()
    );
    answer::refusal(refusal, request)
}
