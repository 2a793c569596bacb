//! The filters for a caller's request on the entry VM, the one that accepted it. They run in this
//! order: [`parse`], [`authenticate`], [`route`], [`forward`], [`answer`].

pub mod answer;
pub mod authenticate;
pub mod forward;
pub mod header;
pub mod parse;
pub mod route;

use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use policy::stop;
use settings::config::Class;
use wire::ask::Ask;
use wire::ask::Body;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::event::Event;
use wire::id;

use crate::core::Core;
use crate::http::Response;
use crate::http::body;
use crate::http::body::Reader;
use crate::http::body::State;
use crate::http::listen::Admission;
use crate::view::View;

/// The outcome of a filter.
pub type Result<T> = std::result::Result<T, Refusal>;

/// The `retry-after` of a request that is refused for lack of connections. Connections become free
/// as routine turns end, and a turn takes seconds.
const CONNECTION_RETRY_AFTER: Millis = Millis::new(2_000);

/// Answers one request from a caller.
pub async fn handle(core: Arc<Core>, request: Request<Incoming>, admission: Admission) -> Response {
    let arrived_at = core.clock.now();
    let (head, incoming) = request.into_parts();
    let mut request_body = Reader::new(&head.headers, incoming);
    match run(&core, &head, &mut request_body, admission, arrived_at).await {
        Ok(response) => response,
        Err(refusal) => {
            log::info!(
                "{} code={} ran={:?} detail={:?}",
                Event::RequestRefused,
                refusal.code.number(),
                refusal.ran,
                refusal.message
            );
            core.metrics.count_refusal(refusal.code);
            let mut response = answer::refuse(&refusal);
            if request_body.state() == State::AwaitsContinue {
                // The caller still waits for `100 Continue`. Its body is never read, so the
                // connection can't be reused.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let limit = core.settings.limits.body;
            request_body.discard(limit, discard_time(&core)).await;
            response
        }
    }
}

/// Returns how long the rest of a refused body may be read. A stopping node limits it so that the
/// refusal is sent before the process ends.
fn discard_time(core: &Core) -> Millis {
    let Some(stop) = core.stop.get() else {
        return body::DISCARD_TIMEOUT;
    };
    let remaining = stop.left(core.clock.now());
    body::DISCARD_TIMEOUT.min(Millis::new(remaining.as_u64() / 2))
}

/// A request that no filter refused.
enum Accepted {
    /// This VM has answered it.
    Answered(Response),
    /// It goes to the owner of its program.
    Forward {
        ask: Ask,
        format: answer::Format,
        timing: answer::Timing,
    },
}

async fn run(
    core: &Arc<Core>,
    head: &Parts,
    body: &mut Reader,
    admission: Admission,
    arrived_at: Millis,
) -> Result<Response> {
    // A call with an idempotency key may have been sent before, and only its owner's journal knows
    // whether that request ran. If the refusal said that it didn't, the caller would send the call
    // again under another key, and both might run.
    let earlier = parse::earlier_run(head);
    let accepted = check(core, head, body, admission, arrived_at).await;
    match accepted.map_err(|refusal| refusal.ran(earlier))? {
        Accepted::Answered(response) => Ok(response),
        Accepted::Forward {
            ask,
            format,
            timing,
        } => {
            let program = ask.program.clone();
            let replies = forward::ask(core, ask);
            answer::answer(core, format, &program, timing, replies).await
        }
    }
}

/// Runs the filters that come before the request is forwarded to its owner.
async fn check(
    core: &Arc<Core>,
    head: &Parts,
    body: &mut Reader,
    admission: Admission,
    arrived_at: Millis,
) -> Result<Accepted> {
    if admission == Admission::None {
        return Err(no_connection());
    }
    let parsed = tokio::select! {
        biased;
        parsed = parse::parse(&core.settings.limits, head, body) => parsed?,
        () = wait_for_unassigned_deadline(core) => return Err(shutting_down()),
    };
    let view = core.view();
    if let Some(response) = answer::probe(&view, &parsed.action) {
        return Ok(Accepted::Answered(response));
    }
    let caller = authenticate::caller(&view.config, parsed.token)?
        .name
        .clone();
    if parsed.action == parse::Action::Models {
        return Ok(Accepted::Answered(answer::models(&view.config)));
    }
    let format = answer::Format::of(&parsed.action);
    let ask = ask(core, &view, caller, parsed)?;
    let class = authenticate::class(&view.config, &ask)?;
    if admission == Admission::UrgentOnly && class != Class::Urgent {
        return Err(no_connection());
    }
    let deadline = ask.deadline;
    let timing = answer::Timing {
        arrived_at,
        deadline,
    };
    check_stop(core, timing)?;
    // The owner counts the deadline from now. Without subtracting the time spent on receiving a
    // slow body, the ask would outlast its caller's wait.
    let spent = core.clock.now().since(arrived_at);
    let ask = Ask {
        deadline: deadline.map(|deadline| deadline.since(spent)),
        ..ask
    };
    Ok(Accepted::Forward {
        ask,
        format,
        timing,
    })
}

/// Returns the refusal for a request that exceeds the connection limit.
fn no_connection() -> Refusal {
    Refusal::new(Code::TooManyConnections, "").retry_after(CONNECTION_RETRY_AFTER)
}

/// Refuses a request that may outlast a stopping VM: its answer would be cut off when the process
/// ends. Only the request's own deadline bounds its duration, because a runner may go on for as
/// long as it keeps sending output.
fn check_stop(core: &Core, timing: answer::Timing) -> Result<()> {
    let accepted = core
        .stop
        .get()
        .is_none_or(|stop| stop.takes(timing.latest_end()));
    if accepted {
        return Ok(());
    }
    Err(shutting_down())
}

/// Waits until a stopping node gives up the work that no endpoint has taken. The caller of this
/// function then refuses a request that hasn't arrived completely; without that, the end of the
/// process would cut the request off without an answer.
async fn wait_for_unassigned_deadline(core: &Core) {
    core.stopping.cancelled().await;
    let Some(stop) = core.stop.get() else {
        return;
    };
    let remaining = stop.unassigned_deadline().since(core.clock.now());
    tokio::time::sleep(remaining.as_duration()).await;
}

fn shutting_down() -> Refusal {
    Refusal::new(Code::ShuttingDown, "").retry_after(stop::RETRY)
}

/// Turns a parsed request into the [`Ask`] for its program's owner.
fn ask(core: &Core, view: &View, caller: id::Caller, parsed: parse::Parsed) -> Result<Ask> {
    let named = parsed.program;
    let is_new = named.is_none();
    let program = match (named, &parsed.key, &parsed.action) {
        (Some(program), ..) => program,
        // The same key yields the same program, so that a retried request isn't run twice.
        (None, Some(key), parse::Action::Chat(_) | parse::Action::Call(_)) => {
            route::program_of_key(&caller, key)
        }
        (None, ..) => route::generate(core, view),
    };
    let body = match parsed.action {
        parse::Action::Chat(request) => Body::Chat(wire::ask::Chat {
            turn: if is_new { Some(1) } else { parsed.turn },
            request,
        }),
        parse::Action::Call(call) => Body::Call(wire::ask::Call {
            key: parsed.key,
            ..call
        }),
        parse::Action::Create => Body::Create,
        parse::Action::Show => Body::Show,
        parse::Action::End => Body::End,
        parse::Action::Models | parse::Action::Health | parse::Action::Ready => {
            return Err(Refusal::new(Code::Internal, "not a request to an owner"));
        }
    };
    Ok(Ask {
        program,
        caller,
        revision: view.config.revision,
        deadline: parsed.deadline,
        hops: 0,
        body,
    })
}
